//! Which failed attempts are tried again.

use std::time::Duration;

use wire::{Code, Executed, InstanceId, Time};

use crate::{Budget, BudgetCfg, Kind};

/// Different instances that a request may be sent to, hedges included.
pub const MAX_ATTEMPTS: usize = 3;
/// Retries per request.
const RETRY_SHARE: f64 = 0.1;
/// Retries per second that a quiet service may make.
const RETRY_FLOOR_PER_S: f64 = 1.0;
/// Most retries saved up; absorbs the failures of one lost instance with 20 requests in flight.
const RETRY_BURST: f64 = 20.0;

/// The instances that a request was sent to.
#[derive(Clone, Debug, Default)]
pub struct Attempts {
    tried: Vec<InstanceId>,
    idempotent: bool,
}

impl Attempts {
    /// Makes the record of a request that was sent nowhere yet.
    pub fn new(idempotent: bool) -> Attempts {
        Attempts {
            tried: Vec::with_capacity(MAX_ATTEMPTS),
            idempotent,
        }
    }

    /// Adds an instance that the request is sent to.
    pub fn add(&mut self, id: InstanceId) {
        self.tried.push(id);
    }

    /// Returns the instances tried so far.
    pub fn tried(&self) -> &[InstanceId] {
        &self.tried
    }

    /// Returns whether another instance may be tried.
    pub fn any_left(&self) -> bool {
        self.tried.len() < MAX_ATTEMPTS
    }

    /// Returns whether the request may run more than once.
    pub fn idempotent(&self) -> bool {
        self.idempotent
    }
}

/// A failed attempt, as the node that sent it sees it.
#[derive(Clone, Copy, Debug)]
pub struct Failure {
    /// How the attempt ended.
    pub kind: Kind,
    /// Whether the refusal was passed on by a hop further down, which decided on its own retry.
    pub from_below: bool,
    /// Whether the first byte of the response arrived.
    pub response_started: bool,
    /// Whether the whole request can be sent again: no part of its body is gone.
    pub replayable: bool,
    /// Time left until the request's deadline.
    pub remaining: Duration,
}

/// Why an attempt isn't repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denial {
    /// The attempt didn't fail, or the caller gave up.
    NotAFailure,
    /// A hop further down has decided already.
    FromBelow,
    /// A part of the response was passed on.
    ResponseStarted,
    /// The request's body is gone.
    NotReplayable,
    /// The operation may have run and must not run twice.
    MayHaveRun,
    /// Another instance would answer the same.
    SameEverywhere,
    /// The request went to as many instances as allowed.
    AttemptsUsedUp,
    /// The time left is under the service's median.
    TooLate,
    /// The budget is used up.
    NoBudget,
}

/// Decides on retries and keeps their budget.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    budget: Budget,
}

impl Default for RetryBudget {
    fn default() -> Self {
        RetryBudget {
            budget: Budget::new(BudgetCfg {
                share: RETRY_SHARE,
                floor_per_s: RETRY_FLOOR_PER_S,
                burst: RETRY_BURST,
            }),
        }
    }
}

impl RetryBudget {
    /// Counts a request that arrived from a caller.
    pub fn request(&mut self, now: Time) {
        self.budget.request(now);
    }

    /// Takes a token if the failed attempt may be followed by another one.
    ///
    /// # Errors
    ///
    /// The reason why it may not. No token is taken then.
    pub fn may_retry(
        &mut self,
        now: Time,
        attempts: &Attempts,
        failure: &Failure,
        median: Option<Duration>,
    ) -> Result<(), Denial> {
        if let Some(denial) = denial(attempts, failure) {
            return Err(denial);
        }
        if !attempts.any_left() {
            return Err(Denial::AttemptsUsedUp);
        }
        if failure.remaining.is_zero() || median.is_some_and(|m| failure.remaining < m) {
            return Err(Denial::TooLate);
        }
        if !costs_token(failure.kind) || self.budget.try_spend(now) {
            Ok(())
        } else {
            Err(Denial::NoBudget)
        }
    }

    /// Gives back a token when no instance was left for the retry.
    pub fn refund(&mut self) {
        self.budget.refund();
    }
}

/// Returns whether a retry after such a failure counts against the budget. An instance that drains
/// refuses all at once, and that says nothing about load.
pub fn costs_token(kind: Kind) -> bool {
    kind != Kind::Refused(Code::Draining)
}

fn denial(attempts: &Attempts, f: &Failure) -> Option<Denial> {
    if matches!(f.kind, Kind::Ok | Kind::Cancelled | Kind::Overtaken) {
        return Some(Denial::NotAFailure);
    }
    if f.response_started {
        return Some(Denial::ResponseStarted);
    }
    if f.from_below {
        return Some(Denial::FromBelow);
    }
    if !f.replayable {
        return Some(Denial::NotReplayable);
    }
    match f.kind {
        Kind::ConnectFailed => None,
        Kind::Refused(code) => refused(code, attempts.idempotent()),
        _ if attempts.idempotent() => None,
        _ => Some(Denial::MayHaveRun),
    }
}

fn refused(code: Code, idempotent: bool) -> Option<Denial> {
    match code {
        // Depend on the instance, and nothing was handed to a target.
        Code::NotReady
        | Code::OutOfScope
        | Code::QueueFull
        | Code::CannotStartInTime
        | Code::Draining
        | Code::TargetDown => None,
        Code::TargetLost | Code::TargetTimeout | Code::PeerLost if idempotent => None,
        // A caller over its share would otherwise get shares of further targets.
        _ if code.executed() == Some(Executed::No) => Some(Denial::SameEverywhere),
        _ => Some(Denial::MayHaveRun),
    }
}
