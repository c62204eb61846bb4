//! Attempts to serve a request: choice of the instance, retries and hedging.

use std::fmt::Write;
use std::sync::Arc;
use std::time::Duration;

use ops::Metric;
use route::{
    Candidate, RequestProfile, choose_instance, has_free_slot, max_wait_before_reroute, mean_load,
    time_to_free_slot,
};
use wire::{Code, Refusal, Time};

use crate::beside;
use crate::entry::Pending;
use crate::message::{Answer, Failure, Outcome, Times};
use crate::peers::PeerKey;
use crate::remote;
use crate::shared::{Phase, Shared};

/// Refusals by instances after which the caller is refused. A third instance rarely has room when
/// the two ranked first have none, and each attempt delays the refusal.
const MAX_REFUSALS: u32 = 2;
/// The same limit while some instance probably has a free slot. Each attempt finds such an instance
/// with about the same chance, so where half of the instances are full, four attempts leave one
/// request in sixteen unserved.
const MAX_REFUSALS_WITH_FREE_SLOT: u32 = 4;

/// Fraction of the latency objective after which a hedge is sent. The remainder suffices for most
/// requests, and few take this long at a healthy target.
const HEDGE_DELAY_FRACTION: f64 = 0.7;
/// Shortest time before an attempt is hedged.
const MIN_HEDGE_DELAY: Duration = Duration::from_millis(30);

/// Latency objective where the route sets none: that of a request which a person waits for.
const DEFAULT_OBJECTIVE: Duration = Duration::from_secs(1);

/// Final outcome of a request at the entry node.
#[derive(Debug)]
pub(crate) enum FinalOutcome {
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
enum Destination {
    /// The target of this node.
    Local,
    /// The target of another node.
    Peer(PeerKey),
}

/// State of a request across its attempts.
#[derive(Debug, Default)]
struct Progress {
    excluded: Vec<Destination>,
    refusals: u32,
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
pub(crate) async fn run(shared: &Arc<Shared>, pending: &Pending) -> FinalOutcome {
    let mut progress = Progress::default();
    let remaining = pending.deadline.since(shared.now());
    let done = tokio::select! {
        done = tokio::time::timeout(remaining, run_attempts(shared, pending, &mut progress)) => done.ok(),
        () = shared.wait_for_phase(Phase::Aborting) => None,
    };
    match done {
        Some(done) => done,
        // A target may have received the last attempt.
        None => FinalOutcome::Refused {
            refusal: Code::TargetTimeout.into(),
            maybe_ran: true,
            sends: progress.sends,
            loads: progress.loads,
        },
    }
}

async fn run_attempts(
    shared: &Arc<Shared>,
    pending: &Pending,
    progress: &mut Progress,
) -> FinalOutcome {
    loop {
        let now = shared.now();
        let candidates = candidates(shared, pending, now);
        let time_to_slot = time_to_free_slot(&candidates);
        let eligible: Vec<_> = candidates
            .into_iter()
            .filter(|c| !progress.excluded.contains(&c.key))
            .collect();
        let chosen = choose_instance(
            &mut *shared.rng.lock(),
            &eligible,
            &placement_input(shared, pending, now),
        );
        progress.loads = format_loads(&eligible);
        let Some(chosen) = chosen else {
            let refusal = progress.refusal.unwrap_or(Code::NoInstance.into());
            return progress.final_refusal(refusal, Some(time_to_slot));
        };
        let refusal_limit = max_refusals(&eligible);
        if let Some(refusal) = progress
            .refusal
            .filter(|_| progress.refusals >= refusal_limit)
        {
            return progress.final_refusal(refusal, Some(time_to_slot));
        }
        let is_last = eligible.len() == 1 || progress.refusals + 1 >= refusal_limit;
        let slot_terms = SlotTerms {
            is_last_resort: is_last,
            max_wait: max_wait_before_reroute(&eligible, &chosen).filter(|_| !is_last),
        };
        let ended =
            attempt_with_hedge(shared, pending, progress, &eligible, chosen, slot_terms).await;
        progress.times = ended.times;
        if let Some(done) = decide_next(
            shared,
            pending,
            progress,
            ended.destination,
            ended.outcome,
            time_to_slot,
        ) {
            return done;
        }
    }
}

fn placement_input(shared: &Shared, pending: &Pending, now: Time) -> RequestProfile {
    RequestProfile {
        objective: pending.route.objective.unwrap_or(DEFAULT_OBJECTIVE),
        remaining: pending.due.since(now),
        body_bytes: pending.call.body.len(),
        response_bytes: shared.response_sizes.lock().mean_bytes(&pending.route.name),
    }
}

/// Conditions under which an attempt waits for a slot.
#[derive(Clone, Copy, Debug)]
struct SlotTerms {
    /// Whether no other instance will be tried after this one.
    is_last_resort: bool,
    /// Longest wait for a slot; `None` if only the deadline bounds it.
    max_wait: Option<Duration>,
}

/// Returns the number of refusals by instances after which the caller is refused.
fn max_refusals(eligible: &[Candidate<Destination>]) -> u32 {
    let mean_load = mean_load(eligible);
    if eligible.iter().any(|c| has_free_slot(c, mean_load)) {
        MAX_REFUSALS_WITH_FREE_SLOT
    } else {
        MAX_REFUSALS
    }
}

/// An attempt that has ended.
struct EndedAttempt {
    destination: Destination,
    outcome: Outcome,
    times: Times,
}

impl EndedAttempt {
    fn new(destination: Destination, outcome: Outcome, times: Times) -> EndedAttempt {
        EndedAttempt {
            destination,
            outcome,
            times,
        }
    }

    /// Returns whether no other attempt can give a better response.
    fn is_conclusive(&self) -> bool {
        matches!(&self.outcome, Outcome::Answer(a) if a.status < 500)
    }
}

/// Makes an attempt and, if it takes most of the latency objective and the request is repeatable, a
/// hedge at another instance. The first response below 500 wins, and the other attempt is
/// cancelled.
async fn attempt_with_hedge(
    shared: &Arc<Shared>,
    pending: &Pending,
    progress: &mut Progress,
    eligible: &[Candidate<Destination>],
    chosen: Destination,
    slot_terms: SlotTerms,
) -> EndedAttempt {
    let now = shared.now();
    let first = attempt(shared, pending, chosen, now, slot_terms);
    tokio::pin!(first);
    let hedge_delay = pending
        .due
        .since(pending.arrived_at)
        .mul_f64(HEDGE_DELAY_FRACTION);
    let wait = (pending.arrived_at + hedge_delay)
        .since(now)
        .max(MIN_HEDGE_DELAY);
    match tokio::time::timeout(wait, &mut first).await {
        Ok((outcome, times)) => return EndedAttempt::new(chosen, outcome, times),
        Err(_) if !pending.call.is_repeatable => {
            let (outcome, times) = first.await;
            return EndedAttempt::new(chosen, outcome, times);
        }
        Err(_) => {}
    }
    let Some(hedge) = choose_hedge(shared, pending, progress, eligible, chosen) else {
        let (outcome, times) = first.await;
        return EndedAttempt::new(chosen, outcome, times);
    };
    // The hedge counts as one more target; the caller of this function counts only one.
    progress.sends += 1;
    shared.metrics.count(Metric::Hedges);
    let hedge_terms = SlotTerms {
        is_last_resort: true,
        max_wait: None,
    };
    let second = attempt(shared, pending, hedge, shared.now(), hedge_terms);
    tokio::pin!(second);
    let (ended, slower) = tokio::select! {
        (outcome, times) = &mut first => (EndedAttempt::new(chosen, outcome, times), hedge),
        (outcome, times) = &mut second => (EndedAttempt::new(hedge, outcome, times), chosen),
    };
    if ended.is_conclusive() {
        return ended;
    }
    let (outcome, times) = if slower == hedge {
        second.await
    } else {
        first.await
    };
    let slower = EndedAttempt::new(slower, outcome, times);
    if slower.is_conclusive() || matches!(ended.outcome, Outcome::Refused(_)) {
        return slower;
    }
    ended
}

/// Chooses the instance for a hedge: one with a free slot, so that hedging adds no load to a full
/// service. Returns `None` if there is none, or the retry budget is spent.
fn choose_hedge(
    shared: &Shared,
    pending: &Pending,
    progress: &Progress,
    eligible: &[Candidate<Destination>],
    chosen: Destination,
) -> Option<Destination> {
    if progress.sends + 2 > pending.route.max_attempts {
        return None;
    }
    let free: Vec<_> = eligible
        .iter()
        .filter(|c| c.key != chosen && !c.is_unresponsive)
        .filter(|c| {
            c.reported_load.in_flight + c.reported_load.queued + c.sent_since
                < c.reported_load.slots
        })
        .copied()
        .collect();
    let placement_input = placement_input(shared, pending, shared.now());
    let hedge = choose_instance(&mut *shared.rng.lock(), &free, &placement_input)?;
    shared
        .try_spend_retry(shared.now(), &pending.call.service)
        .then_some(hedge)
}

/// Records an ended attempt. Returns the final outcome, or `None` if another attempt follows.
fn decide_next(
    shared: &Shared,
    pending: &Pending,
    progress: &mut Progress,
    destination: Destination,
    outcome: Outcome,
    time_to_slot: Duration,
) -> Option<FinalOutcome> {
    match outcome {
        Outcome::Answer(answer) => {
            progress.sends += 1;
            let mut sizes = shared.response_sizes.lock();
            sizes.record(&pending.route.name, answer.body.len());
            drop(sizes);
            let is_failure = answer.status >= 500;
            if is_failure && pending.call.is_repeatable && progress.may_send_again(shared, pending)
            {
                progress.maybe_ran = true;
                progress.excluded.push(destination);
                progress.answer = Some(answer);
                return None;
            }
            Some(progress.final_answer(answer))
        }
        Outcome::Refused(r) => {
            let refusal = Refusal::from(r);
            progress.excluded.push(destination);
            progress.refusals += 1;
            progress.refusal = Some(refusal);
            None
        }
        Outcome::Shed => {
            progress.sends += 1;
            if progress.may_send_again(shared, pending) {
                progress.excluded.push(destination);
                return None;
            }
            Some(progress.final_refusal(Code::QueueFull.into(), Some(time_to_slot)))
        }
        Outcome::Failed(f) => {
            progress.sends += 1;
            progress.maybe_ran = true;
            if pending.call.is_repeatable && progress.may_send_again(shared, pending) {
                // A reused connection that broke is no evidence against the target.
                if f != Failure::ReusedConnection {
                    progress.excluded.push(destination);
                }
                return None;
            }
            Some(progress.final_refusal(f.code().into(), None))
        }
    }
}

impl Progress {
    /// Returns whether the request may be sent to one more target; if so, a retry token is spent.
    fn may_send_again(&self, shared: &Shared, pending: &Pending) -> bool {
        let now = shared.now();
        let is_allowed = self.sends < pending.route.max_attempts
            && now < pending.deadline
            && shared.try_spend_retry(now, &pending.call.service);
        if is_allowed {
            shared.metrics.count(Metric::Retries);
        }
        is_allowed
    }

    fn final_answer(&self, answer: Answer) -> FinalOutcome {
        FinalOutcome::Answer {
            answer,
            sends: self.sends,
            times: self.times,
        }
    }

    fn final_refusal(&mut self, refusal: Refusal, time_to_slot: Option<Duration>) -> FinalOutcome {
        if let Some(answer) = self.answer.take() {
            return self.final_answer(answer);
        }
        FinalOutcome::Refused {
            refusal: Refusal {
                retry_after: time_to_slot,
                ..refusal
            },
            maybe_ran: self.maybe_ran,
            sends: self.sends,
            loads: std::mem::take(&mut self.loads),
        }
    }
}

fn candidates(shared: &Shared, pending: &Pending, now: Time) -> Vec<Candidate<Destination>> {
    let service = &pending.call.service;
    let domain = &shared.settings.domain;
    let peers = shared
        .peers
        .lock()
        .candidates(now, service, domain, pending.call.body.len());
    let mut all: Vec<_> = peers
        .into_iter()
        .filter(|c| c.reported_load.slots > 0)
        .map(|c| Candidate {
            key: Destination::Peer(c.key),
            is_local: c.is_local,
            reported_load: c.reported_load,
            report_age: c.report_age,
            sent_since: c.sent_since,
            service_time: c.service_time,
            failure_rate: c.failure_rate,
            transit_time: c.transit_time,
            is_unresponsive: c.is_unresponsive,
        })
        .collect();
    if shared.service() == *service {
        let local = shared.own_queue(now);
        if local.load.slots > 0 {
            all.push(Candidate {
                key: Destination::Local,
                is_local: true,
                reported_load: local.load,
                report_age: Duration::ZERO,
                sent_since: 0,
                service_time: local.service_time,
                failure_rate: f64::from(local.failure_rate),
                transit_time: Duration::ZERO,
                is_unresponsive: false,
            });
        }
    }
    all
}

async fn attempt(
    shared: &Arc<Shared>,
    pending: &Pending,
    destination: Destination,
    now: Time,
    slot_terms: SlotTerms,
) -> (Outcome, Times) {
    let mut call = pending.call.clone();
    call.is_last_resort = slot_terms.is_last_resort;
    call.max_wait_ms = slot_terms.max_wait.map(|d| d.as_millis() as u32);
    call.remaining_ms = as_millis_u64(pending.deadline.since(now));
    call.due_ms = as_millis_u64(pending.due.since(now));
    match destination {
        Destination::Local => {
            let reply = beside::run(shared, call).await;
            (reply.outcome, reply.times)
        }
        Destination::Peer(key) => remote::call_peer(shared, pending, key, call).await,
    }
}

/// Formats the loads behind a placement for the log. Each instance has its load (requests in slots,
/// queued requests, slots), the requests sent to it since that was reported, its distance, its
/// service time and its failures in percent.
fn format_loads(candidates: &[Candidate<Destination>]) -> String {
    let mut out = String::new();
    for c in candidates {
        // Writing to a `String` does not fail.
        let _ = write!(
            out,
            "{}{}+{}/{}:{}ms:{}%",
            if out.is_empty() { "" } else { "," },
            c.reported_load,
            c.sent_since,
            if c.is_local { "near" } else { "far" },
            c.service_time.as_millis(),
            (c.failure_rate * 100.0) as u32
        );
    }
    out
}

pub(crate) fn as_millis_u64(d: Duration) -> u64 {
    u64::try_from(d.as_millis()).unwrap_or(u64::MAX)
}
