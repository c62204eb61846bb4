//! Attempts to serve a request: choice of the instance, retries and hedging.

use std::fmt::Write;
use std::sync::Arc;
use std::time::Duration;

use ops::Metric;
use route::{
    Candidate, RepeatReason, RequestProfile, choose_instance, has_free_slot,
    max_wait_before_reroute, mean_load, relative_service, time_to_free_slot,
};
use wire::{Code, Refusal, Time};

use crate::beside::{self, Origin};
use crate::entry::Pending;
use crate::message::{Answer, Failure, Outcome, Times};
use crate::peers::PeerKey;
use crate::remote;
use crate::retries;
use crate::shared::{Phase, Shared};

/// Number of refusals by instances after which the caller is refused. When the two instances ranked
/// first have no room, a third one rarely has, and each attempt delays the refusal.
const MAX_REFUSALS: u32 = 2;
/// The limit in place of `MAX_REFUSALS` while some instance probably has a free slot. Each attempt
/// has about the same chance of a free slot, so if half of the instances are full, four attempts
/// leave one request in sixteen unserved.
const MAX_REFUSALS_WITH_FREE_SLOT: u32 = 4;

/// Fraction of the latency objective, counted from the arrival of the request, after which a hedge
/// is sent: a second attempt at another instance while the first one continues. The rest of the
/// objective suffices for most requests, and few take this long at a healthy target.
const HEDGE_DELAY_FRACTION: f64 = 0.7;
/// Shortest time from the start of an attempt to its hedge.
const MIN_HEDGE_DELAY: Duration = Duration::from_millis(30);

/// Time between two rounds of attempts of a leaving node for a request that was cut off.
const ROOM_WAIT: Duration = Duration::from_millis(100);

/// Latency objective for the choice of an instance where the route sets none: that of a request
/// which a person waits for. For `Pending::due` the entry node assumes its default timeout instead.
pub(crate) const DEFAULT_OBJECTIVE: Duration = Duration::from_secs(1);

/// Final outcome of a request at the entry node.
#[derive(Debug)]
pub(crate) enum FinalOutcome {
    /// The response of a target.
    Answer {
        /// The response to forward.
        answer: Answer,
        /// See [`Progress::sends`].
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
        /// See [`Progress::sends`].
        sends: u32,
        /// Loads of the eligible instances at the last choice of an instance, for the log.
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
    /// Instances that have failed and get no further attempt.
    excluded: Vec<Destination>,
    /// Instances that have refused the request.
    refused_by: Vec<Destination>,
    /// Number of attempts that an instance refused before its target got the request.
    refusals: u32,
    /// Number of attempts in which a target got or may have got the request. A hedge counts when it
    /// starts, another attempt when it ends.
    sends: u32,
    /// Whether a target may have run the request.
    maybe_ran: bool,
    /// Whether a token of the retry budget has been spent for an attempt that has reached no target.
    holds_token: bool,
    /// Loads of the eligible instances at the last choice of an instance.
    loads: String,
    /// Queueing and target time of the last attempt.
    times: Times,
    /// Most recent refusal by an instance.
    refusal: Option<Refusal>,
    /// Most recent 5xx response of a target, forwarded if no later attempt gets a response.
    answer: Option<Answer>,
}

/// Makes attempts until the outcome of one is final, no instance is left, the retry rules forbid
/// another attempt, the deadline passes, or the node aborts its requests.
pub(crate) async fn run(shared: &Arc<Shared>, pending: &Pending) -> FinalOutcome {
    let mut progress = Progress::default();
    let remaining = pending.deadline.since(shared.now());
    let final_outcome = tokio::select! {
        final_outcome = tokio::time::timeout(remaining, run_attempts(shared, pending, &mut progress)) => final_outcome.ok(),
        () = shared.wait_for_phase(Phase::Aborting) => None,
    };
    match final_outcome {
        Some(final_outcome) => final_outcome,
        // The deadline or the abort ended an attempt, whose request a target may have run.
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
            .filter(|c| !progress.refused_by.contains(&c.key))
            .collect();
        let chosen = choose_instance(
            &mut *shared.rng.lock(),
            &eligible,
            &request_profile(shared, pending, now, &eligible),
        );
        progress.loads = format_loads(&eligible);
        let Some(chosen) = chosen else {
            if progress.wait_for_room(shared, pending).await {
                continue;
            }
            let refusal = progress.refusal.unwrap_or(Code::NoInstance.into());
            return progress.refuse(shared, pending, refusal, time_to_slot);
        };
        let refusal_limit = max_refusals(&eligible);
        if let Some(refusal) = progress
            .refusal
            .filter(|_| progress.refusals >= refusal_limit)
        {
            if progress.wait_for_room(shared, pending).await {
                continue;
            }
            return progress.refuse(shared, pending, refusal, time_to_slot);
        }
        let is_last = eligible.len() == 1 || progress.refusals + 1 >= refusal_limit;
        let slot_terms = SlotTerms {
            is_last_resort: is_last,
            max_wait: max_wait_before_reroute(&eligible, &chosen).filter(|_| !is_last),
        };
        let ended =
            attempt_with_hedge(shared, pending, progress, &eligible, chosen, slot_terms).await;
        progress.times = ended.times;
        if let Some(final_outcome) = decide_next(
            shared,
            pending,
            progress,
            ended.destination,
            ended.outcome,
            time_to_slot,
        )
        .await
        {
            return final_outcome;
        }
    }
}

fn request_profile(
    shared: &Shared,
    pending: &Pending,
    now: Time,
    candidates: &[Candidate<Destination>],
) -> RequestProfile {
    let averages = shared.route_averages.lock();
    let service = averages.mean_service(&pending.route.name);
    RequestProfile {
        objective: pending.route.objective.unwrap_or(DEFAULT_OBJECTIVE),
        remaining: pending.due.since(now),
        body_bytes: pending.call.body.len(),
        response_bytes: averages.mean_bytes(&pending.route.name),
        relative_service: service.map_or(1.0, |s| relative_service(candidates, s)),
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

/// Returns the number of refusals by instances after which the caller is refused: more while one of
/// the `eligible` instances probably has a free slot.
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

    /// Returns whether the target gave a response below 500, so that no other attempt is needed.
    fn is_conclusive(&self) -> bool {
        matches!(&self.outcome, Outcome::Answer(a) if a.status < 500)
    }
}

/// Makes an attempt at `chosen` and, if that takes most of the latency objective and the request is
/// repeatable, a hedge at another instance. The first response below 500 wins, and the other
/// attempt is cancelled. Without such a response, the attempt that ended first counts, unless it
/// was refused.
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
    // `decide_next` counts only the attempt that is returned.
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

/// Chooses the instance for a hedge and takes a token of the retry budget for it. Only an instance
/// with a free slot is chosen, so that hedging adds no load to a full service. Returns `None` if
/// there is no such instance, the route allows no further attempt, or the retry budget is spent.
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
        .filter(|c| c.outstanding() < c.reported_load.slots)
        .copied()
        .collect();
    let profile = request_profile(shared, pending, shared.now(), eligible);
    let hedge = choose_instance(&mut *shared.rng.lock(), &free, &profile)?;
    retries::try_spend(shared, &pending.call.service, RepeatReason::Optional).then_some(hedge)
}

/// Records an ended attempt. Returns the final outcome, or `None` if another attempt follows.
/// `time_to_slot` is the estimated time until some instance has a free slot.
async fn decide_next(
    shared: &Shared,
    pending: &Pending,
    progress: &mut Progress,
    destination: Destination,
    outcome: Outcome,
    time_to_slot: Duration,
) -> Option<FinalOutcome> {
    if !matches!(outcome, Outcome::Refused(_)) {
        progress.holds_token = false;
    }
    match outcome {
        Outcome::Answer(answer) => {
            progress.sends += 1;
            let is_failure = answer.status >= 500;
            if !is_failure {
                if destination != Destination::Local {
                    // The node beside the target notifies the others.
                    let _ = beside::record_completed(shared, &pending.call);
                }
                let service = Duration::from_millis(progress.times.target_ms.into());
                let mut averages = shared.route_averages.lock();
                averages.record(&pending.route.name, answer.body.len(), service);
            }
            if is_failure
                && pending.call.is_repeatable
                && progress
                    .may_send_again(shared, pending, RepeatReason::Optional)
                    .await
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
            progress.refused_by.push(destination);
            progress.refusals += 1;
            progress.refusal = Some(refusal);
            None
        }
        Outcome::Shed => {
            progress.sends += 1;
            if progress
                .may_send_again(shared, pending, RepeatReason::Optional)
                .await
            {
                progress.excluded.push(destination);
                return None;
            }
            Some(progress.final_refusal(Code::QueueFull.into(), Some(time_to_slot)))
        }
        Outcome::Failed(f) => {
            progress.sends += 1;
            progress.maybe_ran = true;
            if pending.call.is_repeatable
                && progress
                    .may_send_again(shared, pending, RepeatReason::CutOff)
                    .await
            {
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
    /// Returns whether the request may be sent once more; if so, a token of the retry budget is
    /// spent. While this node shuts down, a request that was cut off waits for a token, because its
    /// caller could not send it again here.
    async fn may_send_again(
        &mut self,
        shared: &Shared,
        pending: &Pending,
        reason: RepeatReason,
    ) -> bool {
        let now = shared.now();
        if self.sends >= pending.route.max_attempts || now >= pending.deadline {
            return false;
        }
        let service = &pending.call.service;
        let must_wait = reason == RepeatReason::CutOff
            && shared.phase() != Phase::Serving
            && self.answer.is_none();
        self.holds_token = if must_wait {
            retries::wait_for_token(shared, service).await;
            true
        } else {
            retries::try_spend(shared, service, reason)
        };
        if self.holds_token {
            shared.metrics.count(Metric::Retries);
        } else {
            shared.metrics.count(Metric::RetriesDenied);
        }
        self.holds_token
    }

    /// Waits until the instances may be asked again for a request that was cut off in a run while this
    /// node shuts down: its caller could not send it again here. Returns `false` for others.
    async fn wait_for_room(&mut self, shared: &Shared, pending: &Pending) -> bool {
        let is_cut_off = self.maybe_ran && pending.call.is_repeatable;
        if shared.phase() == Phase::Serving || !is_cut_off || self.answer.is_some() {
            return false;
        }
        tokio::time::sleep(ROOM_WAIT).await;
        self.refusals = 0;
        self.refused_by.clear();
        true
    }

    /// Ends the request since no further attempt is made, and puts back an unused token.
    fn refuse(
        &mut self,
        shared: &Shared,
        pending: &Pending,
        refusal: Refusal,
        time_to_slot: Duration,
    ) -> FinalOutcome {
        if self.holds_token {
            let service = &pending.call.service;
            shared.with_retry_budgets(shared.now(), |b| b.refund(service));
        }
        self.final_refusal(refusal, Some(time_to_slot))
    }

    fn final_answer(&self, answer: Answer) -> FinalOutcome {
        FinalOutcome::Answer {
            answer,
            sends: self.sends,
            times: self.times,
        }
    }

    /// Ends the request with a 5xx response that a target gave earlier, or else with `refusal` and
    /// `time_to_slot` as its Retry-After.
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

/// Returns the instances of the service that take requests: those of peers, and that of this node.
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
    call.remaining_ms = as_millis_u64(pending.target_deadline(shared).since(now));
    call.due_ms = as_millis_u64(pending.due.since(now));
    match destination {
        Destination::Local => {
            let reply = beside::run(shared, call, Origin::Local).await;
            (reply.outcome, reply.times)
        }
        Destination::Peer(key) => remote::call_peer(shared, pending, key, call).await,
    }
}

/// Formats the loads at the choice of an instance for the log, as one entry for each instance,
/// separated by commas: `IN_FLIGHT/QUEUED/SLOTS+SENT_SINCE/near:SERVICE_TIMEms:FAILURES%`, with
/// `far` for `near` in another failure domain. SENT_SINCE is the number of requests that this node
/// has sent to the instance since it reported its load.
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
