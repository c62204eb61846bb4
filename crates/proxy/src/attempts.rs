//! Attempts to serve a request: choice of the instance, retries and hedging.

use std::fmt::Write;
use std::sync::Arc;
use std::time::Duration;

use ops::Metric;
use route::{Candidate, Stake, has_room, place, room_elsewhere, time_to_room, usual_load};
use wire::{Code, Refusal, Time};

use crate::beside;
use crate::entry::Pending;
use crate::message::{Answer, Failure, Outcome, Times};
use crate::peers::PeerKey;
use crate::remote;
use crate::shared::{Phase, Shared};

/// Refusals by instances after which the caller is refused. A third instance rarely has room when
/// the two ranked first have none, and each attempt delays the refusal.
const MAX_BOUNCES: u32 = 2;
/// The same limit while some instance probably has a free slot. Each attempt finds such an instance
/// with about the same chance, so where half of the instances are full, four attempts leave one
/// request in sixteen unserved.
const MAX_BOUNCES_WITH_ROOM: u32 = 4;

/// Fraction of the latency objective after which a hedge is sent. The remainder suffices for most
/// requests, and few take this long at a healthy target.
const HEDGE_SHARE: f64 = 0.7;
/// Shortest time before an attempt is hedged.
const MIN_HEDGE_DELAY: Duration = Duration::from_millis(30);

/// Latency objective where the route sets none: that of a request which a person waits for.
const DEFAULT_OBJECTIVE: Duration = Duration::from_secs(1);

/// Final outcome of a request at the entry node.
#[derive(Debug)]
pub(crate) enum Final {
    /// The response of a target.
    Answer {
        /// The response to forward.
        answer: Answer,
        /// Number of targets to which the request was sent.
        sends: u32,
        /// Queueing and target time of the last attempt.
        times: Times,
    },
    /// An error response of the node itself.
    Refused {
        /// Result code and Retry-After.
        refusal: Refusal,
        /// Whether a target may have run the request.
        maybe_ran: bool,
        /// Number of targets to which the request was sent.
        sends: u32,
        /// Loads of the eligible instances at the last placement, for the log.
        loads: String,
    },
}

/// Instance to which an attempt goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Place {
    /// The target of this node.
    Own,
    /// The target of another node.
    Peer(PeerKey),
}

/// State of a request across its attempts.
#[derive(Debug, Default)]
struct Progress {
    avoid: Vec<Place>,
    bounces: u32,
    sends: u32,
    maybe_ran: bool,
    /// Loads of the eligible instances at the last placement.
    loads: String,
    /// Queueing and target time of the last attempt.
    times: Times,
    /// Most recent refusal by an instance.
    refusal: Option<Refusal>,
    /// 5xx response of a target, forwarded if no later attempt gives a better one.
    answer: Option<Answer>,
}

/// Makes attempts until one is final, the retry rules forbid another one, the deadline passes or
/// the node aborts its requests.
pub(crate) async fn run(shared: &Arc<Shared>, pending: &Pending) -> Final {
    let mut progress = Progress::default();
    let left = pending.limit.since(shared.now());
    let done = tokio::select! {
        done = tokio::time::timeout(left, tries(shared, pending, &mut progress)) => done.ok(),
        () = shared.reached(Phase::Ending) => None,
    };
    match done {
        Some(done) => done,
        // A target may have received the last attempt.
        None => Final::Refused {
            refusal: Code::TargetTimeout.into(),
            maybe_ran: true,
            sends: progress.sends,
            loads: progress.loads,
        },
    }
}

async fn tries(shared: &Arc<Shared>, pending: &Pending, progress: &mut Progress) -> Final {
    loop {
        let now = shared.now();
        let candidates = candidates(shared, pending, now);
        let room = time_to_room(&candidates);
        let open: Vec<_> = candidates
            .into_iter()
            .filter(|c| !progress.avoid.contains(&c.key))
            .collect();
        let chosen = place(&mut *shared.rng.lock(), &open, &stake(shared, pending, now));
        progress.loads = loads(&open);
        let Some(chosen) = chosen else {
            let refusal = progress.refusal.unwrap_or(Code::NoInstance.into());
            return progress.refused(refusal, Some(room));
        };
        let most = max_bounces(&open);
        if let Some(refusal) = progress.refusal.filter(|_| progress.bounces >= most) {
            return progress.refused(refusal, Some(room));
        }
        let last = open.len() == 1 || progress.bounces + 1 >= most;
        let standing = Standing {
            last_resort: last,
            max_wait: room_elsewhere(&open, &chosen).filter(|_| !last),
        };
        let tried = hedged(shared, pending, progress, &open, chosen, standing).await;
        progress.times = tried.times;
        if let Some(done) = next(shared, pending, progress, tried.place, tried.outcome, room) {
            return done;
        }
    }
}

fn stake(shared: &Shared, pending: &Pending, now: Time) -> Stake {
    Stake {
        objective: pending.rule.objective.unwrap_or(DEFAULT_OBJECTIVE),
        left: pending.due.since(now),
        body_bytes: pending.call.body.len(),
        answer_bytes: shared.answer_sizes.lock().usual(&pending.rule.name),
    }
}

/// Conditions under which an attempt waits for a slot.
#[derive(Clone, Copy, Debug)]
struct Standing {
    /// Whether no other instance will be tried after this one.
    last_resort: bool,
    /// Longest wait for a slot; `None` if only the deadline bounds it.
    max_wait: Option<Duration>,
}

/// Returns the number of refusals by instances after which the caller is refused.
fn max_bounces(open: &[Candidate<Place>]) -> u32 {
    let usual = usual_load(open);
    if open.iter().any(|c| has_room(c, usual)) {
        MAX_BOUNCES_WITH_ROOM
    } else {
        MAX_BOUNCES
    }
}

/// An attempt that has ended.
struct Tried {
    place: Place,
    outcome: Outcome,
    times: Times,
}

impl Tried {
    fn new(place: Place, outcome: Outcome, times: Times) -> Tried {
        Tried {
            place,
            outcome,
            times,
        }
    }

    /// Returns whether no other attempt can give a better response.
    fn is_good(&self) -> bool {
        matches!(&self.outcome, Outcome::Answer(a) if a.status < 500)
    }
}

/// Makes an attempt and, if it takes most of the latency objective and the request is repeatable, a
/// hedge at another instance. The first response below 500 wins, and the other attempt is
/// cancelled.
async fn hedged(
    shared: &Arc<Shared>,
    pending: &Pending,
    progress: &mut Progress,
    open: &[Candidate<Place>],
    chosen: Place,
    standing: Standing,
) -> Tried {
    let now = shared.now();
    let first = attempt(shared, pending, chosen, now, standing);
    tokio::pin!(first);
    let patience = pending.due.since(pending.arrived).mul_f64(HEDGE_SHARE);
    let wait = (pending.arrived + patience).since(now).max(MIN_HEDGE_DELAY);
    match tokio::time::timeout(wait, &mut first).await {
        Ok((outcome, times)) => return Tried::new(chosen, outcome, times),
        Err(_) if !pending.call.repeatable => {
            let (outcome, times) = first.await;
            return Tried::new(chosen, outcome, times);
        }
        Err(_) => {}
    }
    let Some(other) = hedge_target(shared, pending, progress, open, chosen) else {
        let (outcome, times) = first.await;
        return Tried::new(chosen, outcome, times);
    };
    // The hedge counts as one more target; the caller of this function counts only one.
    progress.sends += 1;
    shared.metrics.count(Metric::Hedges);
    let alone = Standing {
        last_resort: true,
        max_wait: None,
    };
    let second = attempt(shared, pending, other, shared.now(), alone);
    tokio::pin!(second);
    let (tried, rest) = tokio::select! {
        (outcome, times) = &mut first => (Tried::new(chosen, outcome, times), other),
        (outcome, times) = &mut second => (Tried::new(other, outcome, times), chosen),
    };
    if tried.is_good() {
        return tried;
    }
    let (outcome, times) = if rest == other {
        second.await
    } else {
        first.await
    };
    let rest = Tried::new(rest, outcome, times);
    if rest.is_good() || matches!(tried.outcome, Outcome::Refused(_)) {
        return rest;
    }
    tried
}

/// Chooses the instance for a hedge: one with a free slot, so that hedging adds no load to a full
/// service. Returns `None` if there is none, or the retry budget is spent.
fn hedge_target(
    shared: &Shared,
    pending: &Pending,
    progress: &Progress,
    open: &[Candidate<Place>],
    chosen: Place,
) -> Option<Place> {
    if progress.sends + 2 > pending.rule.max_attempts {
        return None;
    }
    let free: Vec<_> = open
        .iter()
        .filter(|c| c.key != chosen && !c.silent)
        .filter(|c| c.load.in_flight + c.load.queued + c.sent_since < c.load.slots)
        .copied()
        .collect();
    let stake = stake(shared, pending, shared.now());
    let other = place(&mut *shared.rng.lock(), &free, &stake)?;
    shared
        .may_repeat(shared.now(), &pending.call.service)
        .then_some(other)
}

/// Records an ended attempt. Returns the final outcome, or `None` if another attempt follows.
fn next(
    shared: &Shared,
    pending: &Pending,
    progress: &mut Progress,
    place: Place,
    outcome: Outcome,
    room: Duration,
) -> Option<Final> {
    match outcome {
        Outcome::Answer(answer) => {
            progress.sends += 1;
            let mut sizes = shared.answer_sizes.lock();
            sizes.measure(&pending.rule.name, answer.body.len());
            drop(sizes);
            let failed = answer.status >= 500;
            if failed && pending.call.repeatable && progress.may_send(shared, pending) {
                progress.maybe_ran = true;
                progress.avoid.push(place);
                progress.answer = Some(answer);
                return None;
            }
            Some(progress.answered(answer))
        }
        Outcome::Refused(r) => {
            let refusal = Refusal::from(r);
            progress.avoid.push(place);
            progress.bounces += 1;
            progress.refusal = Some(refusal);
            None
        }
        Outcome::Shed => {
            progress.sends += 1;
            if progress.may_send(shared, pending) {
                progress.avoid.push(place);
                return None;
            }
            Some(progress.refused(Code::QueueFull.into(), Some(room)))
        }
        Outcome::Failed(f) => {
            progress.sends += 1;
            progress.maybe_ran = true;
            if pending.call.repeatable && progress.may_send(shared, pending) {
                // A reused connection that broke is no evidence against the target.
                if f != Failure::KeptConnection {
                    progress.avoid.push(place);
                }
                return None;
            }
            Some(progress.refused(f.code().into(), None))
        }
    }
}

impl Progress {
    /// Returns whether the request may be sent to one more target; if so, a retry token is spent.
    fn may_send(&self, shared: &Shared, pending: &Pending) -> bool {
        let now = shared.now();
        let allowed = self.sends < pending.rule.max_attempts
            && now < pending.limit
            && shared.may_repeat(now, &pending.call.service);
        if allowed {
            shared.metrics.count(Metric::Retries);
        }
        allowed
    }

    fn answered(&self, answer: Answer) -> Final {
        Final::Answer {
            answer,
            sends: self.sends,
            times: self.times,
        }
    }

    fn refused(&mut self, refusal: Refusal, room: Option<Duration>) -> Final {
        if let Some(answer) = self.answer.take() {
            return self.answered(answer);
        }
        Final::Refused {
            refusal: Refusal {
                retry_after: room,
                ..refusal
            },
            maybe_ran: self.maybe_ran,
            sends: self.sends,
            loads: std::mem::take(&mut self.loads),
        }
    }
}

fn candidates(shared: &Shared, pending: &Pending, now: Time) -> Vec<Candidate<Place>> {
    let service = &pending.call.service;
    let domain = &shared.settings.domain;
    let others = shared
        .peers
        .lock()
        .candidates(now, service, domain, pending.call.body.len());
    let mut all: Vec<_> = others
        .into_iter()
        .filter(|c| c.load.slots > 0)
        .map(|c| Candidate {
            key: Place::Peer(c.key),
            near: c.near,
            load: c.load,
            age: c.age,
            sent_since: c.sent_since,
            service: c.service,
            failing: c.failing,
            on_the_way: c.on_the_way,
            silent: c.silent,
        })
        .collect();
    if shared.service() == *service {
        let own = shared.own_queue(now);
        if own.load.slots > 0 {
            all.push(Candidate {
                key: Place::Own,
                near: true,
                load: own.load,
                age: Duration::ZERO,
                sent_since: 0,
                service: own.service,
                failing: f64::from(own.failing),
                on_the_way: Duration::ZERO,
                silent: false,
            });
        }
    }
    all
}

async fn attempt(
    shared: &Arc<Shared>,
    pending: &Pending,
    place: Place,
    now: Time,
    standing: Standing,
) -> (Outcome, Times) {
    let mut call = pending.call.clone();
    call.last_resort = standing.last_resort;
    call.max_wait_ms = standing.max_wait.map(|d| d.as_millis() as u32);
    call.left_ms = millis(pending.limit.since(now));
    call.due_ms = millis(pending.due.since(now));
    match place {
        Place::Own => {
            let reply = beside::run(shared, call).await;
            (reply.outcome, reply.times)
        }
        Place::Peer(key) => remote::call_peer(shared, pending, key, call).await,
    }
}

/// Formats the loads behind a placement for the log. Each instance has its load (requests in slots,
/// queued requests, slots), the requests sent to it since that was reported, its distance, its
/// service time and its failures in percent.
fn loads(candidates: &[Candidate<Place>]) -> String {
    let mut out = String::new();
    for c in candidates {
        // Writing to a `String` does not fail.
        let _ = write!(
            out,
            "{}{}+{}/{}:{}ms:{}%",
            if out.is_empty() { "" } else { "," },
            c.load,
            c.sent_since,
            if c.near { "near" } else { "far" },
            c.service.as_millis(),
            (c.failing * 100.0) as u32
        );
    }
    out
}

pub(crate) fn millis(d: Duration) -> u64 {
    u64::try_from(d.as_millis()).unwrap_or(u64::MAX)
}
