//! Decides which failed attempts are retried.

use std::time::Duration;

use wire::{Code, Executed, InstanceId, Time};

use crate::{Budget, BudgetCfg, OutcomeKind};

/// Maximum number of different instances that a request is sent to, hedges included.
pub const MAX_ATTEMPTS: usize = 3;
/// Retries per request that the budget allows.
const RETRY_SHARE: f64 = 0.1;
/// Retries per second that a service with few requests may make.
const RETRY_FLOOR_PER_S: f64 = 1.0;
/// Maximum balance of the retry budget, in retries. It covers the loss of one instance with 20
/// requests in flight.
const RETRY_BURST: f64 = 20.0;

/// Instances that a request was sent to.
#[derive(Clone, Debug, Default)]
pub struct Attempts {
    tried: Vec<InstanceId>,
    is_idempotent: bool,
}

impl Attempts {
    /// Makes the empty list of a request's attempts.
    pub fn new(is_idempotent: bool) -> Attempts {
        Attempts {
            tried: Vec::with_capacity(MAX_ATTEMPTS),
            is_idempotent,
        }
    }

    /// Records an attempt on an instance.
    pub fn add(&mut self, id: InstanceId) {
        self.tried.push(id);
    }

    /// Returns the instances tried so far, in the order of the attempts.
    pub fn tried(&self) -> &[InstanceId] {
        &self.tried
    }

    /// Returns whether fewer than `MAX_ATTEMPTS` instances were tried.
    pub fn has_remaining(&self) -> bool {
        self.tried.len() < MAX_ATTEMPTS
    }

    /// Returns whether the request is idempotent: it can be retried even if an earlier attempt may
    /// have run.
    pub fn is_idempotent(&self) -> bool {
        self.is_idempotent
    }
}

/// A failed attempt, as seen by the node that sent it.
#[derive(Clone, Copy, Debug)]
pub struct Failure {
    /// How the attempt ended.
    pub kind: OutcomeKind,
    /// Whether the failure comes from an upstream hop, a node further on the way to the target,
    /// which has already decided on retries.
    pub is_from_upstream: bool,
    /// Whether the first byte of the response arrived.
    pub response_started: bool,
    /// Whether the request can be sent again because its whole body is still buffered.
    pub replayable: bool,
    /// Time until the request's deadline.
    pub remaining: Duration,
}

/// Reason why an attempt isn't retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denial {
    /// The attempt succeeded, was overtaken by a hedge, or was cancelled by the caller.
    NotAFailure,
    /// The failure comes from an upstream hop, which has already decided on retries.
    FromUpstream,
    /// The response has started, and a part of it may have reached the caller.
    ResponseStarted,
    /// The request's body is no longer available.
    NotReplayable,
    /// The request may have run, and it isn't idempotent.
    MayHaveRun,
    /// Another instance would refuse the request as well, or must not get it because the caller is
    /// over its fair share.
    SameEverywhere,
    /// The request was sent to `MAX_ATTEMPTS` instances.
    AttemptsUsedUp,
    /// The time until the deadline is zero or below the service's median latency on the route.
    TooLate,
    /// The retry budget is exhausted.
    NoBudget,
}

/// Decides on the retries of one service within its budget.
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
    /// Records a request from a caller, which adds `RETRY_SHARE` of a token to the budget.
    pub fn record_request(&mut self, now: Time) {
        self.budget.record_request(now);
    }

    /// Decides whether the failed attempt is retried, and takes a token for the retry if
    /// [`costs_token`]. `median` is the service's median latency on the route, `None` while it is
    /// unknown.
    ///
    /// # Errors
    ///
    /// Returns the reason against a retry. No token is taken then.
    pub fn try_retry(
        &mut self,
        now: Time,
        attempts: &Attempts,
        failure: &Failure,
        median: Option<Duration>,
    ) -> Result<(), Denial> {
        if let Some(denial) = denial_for(attempts, failure) {
            return Err(denial);
        }
        if !attempts.has_remaining() {
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

    /// Puts back the token of a retry for which no instance was available.
    pub fn refund(&mut self) {
        self.budget.refund();
    }
}

/// Returns whether a retry after this failure takes a token from the budget. A draining instance
/// refuses every request, which is no sign of overload, so a retry after that refusal takes none.
pub fn costs_token(kind: OutcomeKind) -> bool {
    kind != OutcomeKind::Refused(Code::Draining)
}

fn denial_for(attempts: &Attempts, f: &Failure) -> Option<Denial> {
    if matches!(
        f.kind,
        OutcomeKind::Ok | OutcomeKind::Cancelled | OutcomeKind::Overtaken
    ) {
        return Some(Denial::NotAFailure);
    }
    if f.response_started {
        return Some(Denial::ResponseStarted);
    }
    if f.is_from_upstream {
        return Some(Denial::FromUpstream);
    }
    if !f.replayable {
        return Some(Denial::NotReplayable);
    }
    match f.kind {
        OutcomeKind::ConnectFailed => None,
        OutcomeKind::Refused(code) => denial_for_refusal(code, attempts.is_idempotent()),
        _ if attempts.is_idempotent() => None,
        _ => Some(Denial::MayHaveRun),
    }
}

fn denial_for_refusal(code: Code, is_idempotent: bool) -> Option<Denial> {
    match code {
        // These refusals depend on the instance, and no target has received any bytes.
        Code::NotReady
        | Code::OutOfScope
        | Code::QueueFull
        | Code::CannotStartInTime
        | Code::Draining
        | Code::TargetDown
        | Code::NotReleased => None,
        Code::TargetLost | Code::TargetTimeout | Code::PeerLost if is_idempotent => None,
        // This includes the refusal of a caller over its fair share. With retries, that caller
        // would also get the shares of other callers at further targets.
        _ if code.executed() == Some(Executed::No) => Some(Denial::SameEverywhere),
        _ => Some(Denial::MayHaveRun),
    }
}
