//! Decisions on roll-outs, at the node that the reporting nodes have chosen.
//!
//! Each step is a record in a stream of the log that the nodes share. It is appended only if no other
//! record has come since the last read, so that of two deciders one finds out and reads again. A
//! step takes effect once it is recorded; a roll-back takes effect at once and is recorded then. A
//! decider keeps nothing else that matters: a successor reads the step and hears the rest in reports.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use log::{info, warn};
use ops::Metric;
use plat::LogError;
use rollout::{Decider, KnownOrder, Order, Reason, Report, Step};
use wire::{Fingerprint, Offset, ServiceName, Time};

use crate::rollouts::{ReportReply, Rollouts, learn_order};
use crate::settings::RolloutStatus;
use crate::shared::{Phase, Shared, sleep_unless_stopped};
use crate::state::EvidenceState;
use crate::step_log::{StepRecord, append, append_keyed, load, status_end, unix_ms};

/// Time between checks whether a step is due.
const DECIDE_INTERVAL: Duration = Duration::from_millis(150);
/// Time that a node has to read the recorded step before others are asked to decide.
const START_TIME: Duration = Duration::from_millis(600);
/// Time for which a node that could not reach the log leaves the decision to others.
const UNABLE_TIME: Duration = Duration::from_secs(1);
/// Time between reads of the recorded step. After a pause, or beyond a cut between nodes, another node
/// may have taken steps, and the next own one may be far off.
const READ_INTERVAL: Duration = Duration::from_secs(1);
/// Time without a report after which a node no longer decides. Its reporters have chosen another one,
/// or the roll-out has ended.
const IDLE_TIME: Duration = Duration::from_secs(5);

/// Rank of a node in the choice of the decider, the highest first: by the speed of its link in
/// megabits per second, then by rendezvous hashing, then by link address.
pub(crate) type Rank = (u32, Fingerprint, SocketAddr);

pub(crate) fn rank(service: &ServiceName, link: SocketAddr, link_mbps: u32) -> Rank {
    let address = link.to_string();
    let hash = Fingerprint::of(&[service.0.as_bytes(), address.as_bytes()]);
    (link_mbps, hash, link)
}

/// A roll-out on which this node decides.
#[derive(Debug)]
pub(crate) enum Deciding {
    /// The recorded step has to be read from the log.
    Starting {
        order: Order,
        since: Time,
        /// Whether an earlier read has failed.
        has_failed: bool,
    },
    /// The log could not be read.
    Unable { until: Time },
    /// Plans are made.
    Active(Box<Active>),
}

/// State of the decision on one roll-out.
#[derive(Debug)]
pub(crate) struct Active {
    decider: Decider,
    /// The step in the log.
    recorded: Step,
    /// End of the stream of steps at the last read or append.
    end: Offset,
    /// When the recorded step was last read or written.
    read_at: Time,
    /// Whether the last call to the log failed.
    is_cut: bool,
    /// Most nodes of the service that have been connected at a time, and by the recorded step.
    expected: usize,
    /// Why the new version is rolled back, if it is: unless its time has run out, it is bad.
    rollback_reason: Reason,
    /// Last status that the operators can read.
    published: Option<RolloutStatus>,
    reported_at: Time,
}

/// Receives a report of a node beside a target of the service.
pub(crate) fn receive(shared: &Shared, known: &KnownOrder, report: Report) -> ReportReply {
    let Some(rollouts) = &shared.rollouts else {
        return ReportReply::Unable;
    };
    if shared.phase() != Phase::Serving {
        return ReportReply::Unable;
    }
    learn_order(shared, &known.order, known.age);
    let now = shared.now();
    let service = &known.order.service;
    let mut state = rollouts.state.lock();
    let Some(order) = state.book.order(service).map(|(order, _)| order.clone()) else {
        return ReportReply::Unable;
    };
    if report.order != order.id {
        // The reporting node learns the newer order from a reader.
        return ReportReply::Starting;
    }
    let mut has_failed = false;
    match state.deciding.get_mut(service) {
        Some(Deciding::Active(active)) => {
            if active.take_order(&order) {
                active.reported_at = now;
                let mut plan = active.decider.report(now, report);
                if active.decider.step() != active.recorded {
                    // The nodes go on reporting until the step is recorded, so that a successor can
                    // record it if this node is lost.
                    plan.step = active.recorded;
                    rollouts.decision_due.notify_one();
                }
                return match active.is_cut {
                    true => ReportReply::Cut(plan),
                    false => ReportReply::Plan(plan),
                };
            }
        }
        Some(Deciding::Unable { until }) if now < *until => return ReportReply::Unable,
        Some(Deciding::Starting {
            order: starting,
            since,
            has_failed,
        }) if starting.id == order.id => {
            return starting_reply(*has_failed || now.since(*since) >= START_TIME);
        }
        Some(Deciding::Unable { .. }) => has_failed = true,
        Some(Deciding::Starting { .. }) | None => {}
    }
    let starting = Deciding::Starting {
        order,
        since: now,
        has_failed,
    };
    state.deciding.insert(service.clone(), starting);
    rollouts.decision_due.notify_one();
    starting_reply(has_failed)
}

/// Returns the reply of a node that reads the recorded step. If the log does not answer it, the reports
/// go on to the next node.
fn starting_reply(is_overdue: bool) -> ReportReply {
    match is_overdue {
        true => ReportReply::Unable,
        false => ReportReply::Starting,
    }
}

impl Active {
    /// Returns what operators see of the evidence.
    pub(crate) fn evidence(&self) -> EvidenceState {
        let (bad, judged) = self.decider.bad_instances();
        let (requests, exposed) = self.decider.exposure();
        EvidenceState {
            step: self.recorded,
            requests,
            exposed,
            bad,
            judged,
        }
    }

    /// Takes `order` if it is the one that is decided on, or repeats it. Returns whether it is.
    fn take_order(&mut self, order: &Order) -> bool {
        let present = self.decider.order();
        if present.id == order.id {
            return true;
        }
        let is_repeat =
            present.target_version == order.target_version && !self.decider.step().is_final();
        if is_repeat {
            self.decider.adopt_repeat(order.clone());
        }
        is_repeat
    }
}

/// Decides on the roll-outs for which this node gets reports, until the node stops.
pub(crate) async fn decide(shared: Arc<Shared>) {
    let Some(rollouts) = &shared.rollouts else {
        return;
    };
    loop {
        tokio::select! {
            is_running = sleep_unless_stopped(&shared, DECIDE_INTERVAL) => if !is_running { return },
            () = rollouts.decision_due.notified() => {}
        }
        let services: Vec<_> = rollouts.state.lock().deciding.keys().cloned().collect();
        for service in services {
            decide_on(&shared, rollouts, &service).await;
        }
    }
}

async fn decide_on(shared: &Shared, rollouts: &Rollouts, service: &ServiceName) {
    let starting = match rollouts.state.lock().deciding.get(service) {
        Some(Deciding::Starting { order, .. }) => Some(order.clone()),
        _ => None,
    };
    if let Some(order) = starting {
        return start(shared, rollouts, order).await;
    }
    if let Some((step, reason, record)) = due_step(shared, rollouts, service) {
        take_step(shared, rollouts, service, step, reason, record).await;
    }
    publish_status(shared, rollouts, service).await;
    if let Some(order) = order_to_read(shared, rollouts, service) {
        reload(shared, rollouts, service, &order).await;
    }
}

/// Returns the order whose recorded step should be read again.
fn order_to_read(shared: &Shared, rollouts: &Rollouts, service: &ServiceName) -> Option<Order> {
    let now = shared.now();
    let mut state = rollouts.state.lock();
    let Some(Deciding::Active(active)) = state.deciding.get_mut(service) else {
        return None;
    };
    let is_due = !active.recorded.is_final() && now.since(active.read_at) >= READ_INTERVAL;
    is_due.then(|| {
        active.read_at = now;
        active.decider.order().clone()
    })
}

/// Reads the recorded step, or records the first one, and begins to decide.
async fn start(shared: &Shared, rollouts: &Rollouts, order: Order) {
    let started = match load(shared, rollouts, &order).await {
        Ok((Some(record), end)) => Ok((record, end)),
        Ok((None, end)) => {
            let expected = expected_reports(shared, &order.service);
            let record = new_record(shared, rollouts, &order, Step::Canary, expected);
            let appended = append(shared, rollouts, &record, end).await;
            appended.map(|end| (record, end))
        }
        Err(e) => Err(e),
    };
    let now = shared.now();
    let service = order.service.clone();
    let deciding = match started {
        Ok((record, end)) => {
            let step = record.step;
            info!(event = "rollout_decider", service:% = order.service, target:% = order.target_version, step = step.as_str(); "this node decides on the roll-out");
            let ordered_at = ordered_at(rollouts, &record, now);
            let exposure = rollouts.settings.exposure;
            Deciding::Active(Box::new(Active {
                decider: Decider::new(order, exposure, ordered_at, step, now),
                recorded: step,
                end,
                read_at: now,
                is_cut: false,
                expected: record.expected as usize,
                rollback_reason: Reason::Bad,
                published: None,
                reported_at: now,
            }))
        }
        Err(e) => {
            warn!(event = "rollout_log_failed", service:% = order.service, error:% = e; "cannot read or record the step of the roll-out; leaving the decision to other nodes");
            Deciding::Unable {
                until: now + UNABLE_TIME,
            }
        }
    };
    rollouts.state.lock().deciding.insert(service, deciding);
}

/// Returns when the order of `record` was given, by the earlier of this node's own knowledge and the
/// record. The latter depends on the clocks of two machines, so it can be off by their difference.
fn ordered_at(rollouts: &Rollouts, record: &StepRecord, now: Time) -> Time {
    let known = rollouts.state.lock();
    let known = known.book.order(&record.order.service).map(|(_, at)| at);
    let since_record = unix_ms().saturating_sub(record.recorded_unix_ms);
    let age_us = record
        .age_ms
        .saturating_add(since_record)
        .saturating_mul(1_000);
    let by_record = Time::from_micros(now.as_micros().saturating_sub(age_us));
    known.map_or(by_record, |at| at.min(by_record))
}

/// Returns a step that is due, with the reason and its record. Ends a decision without reports.
fn due_step(
    shared: &Shared,
    rollouts: &Rollouts,
    service: &ServiceName,
) -> Option<(Step, Reason, StepRecord)> {
    let now = shared.now();
    let connected = expected_reports(shared, service);
    let (step, reason, order, expected) = {
        let mut state = rollouts.state.lock();
        let Some(Deciding::Active(active)) = state.deciding.get_mut(service) else {
            return None;
        };
        let is_idle = now.since(active.reported_at) > IDLE_TIME;
        let is_recorded = active.decider.step() == active.recorded;
        let is_published = active.published == Some(RolloutStatus::from(active.recorded));
        if is_idle && is_recorded && (is_published || !active.recorded.is_final()) {
            state.deciding.remove(service);
            return None;
        }
        active.expected = active.expected.max(connected);
        let expected = active.expected;
        let decider = &mut active.decider;
        let (step, reason) = if decider.step() != active.recorded {
            (decider.step(), active.rollback_reason)
        } else {
            let next = decider.next(now, expected)?;
            if next.step == Step::RolledBack {
                // A roll-back does not wait for the log.
                decider.enter(now, next.step);
                active.rollback_reason = next.reason;
            }
            (next.step, next.reason)
        };
        (step, reason, decider.order().clone(), expected)
    };
    let record = new_record(shared, rollouts, &order, step, expected);
    Some((step, reason, record))
}

/// Returns the number of connected nodes of a service, this one included.
fn expected_reports(shared: &Shared, service: &ServiceName) -> usize {
    let own = usize::from(shared.service() == *service);
    shared.peers.lock().count_of(service) + own
}

/// Records a step, and begins it once it is recorded.
async fn take_step(
    shared: &Shared,
    rollouts: &Rollouts,
    service: &ServiceName,
    step: Step,
    reason: Reason,
    record: StepRecord,
) {
    let Some(end) = end_of(rollouts, service) else {
        return;
    };
    let result = append(shared, rollouts, &record, end).await;
    let now = shared.now();
    match result {
        Ok(end) => {
            shared.metrics.count(Metric::RolloutSteps);
            let mut state = rollouts.state.lock();
            let Some(Deciding::Active(active)) = state.deciding.get_mut(service) else {
                return;
            };
            let (bad, judged) = active.decider.bad_instances();
            let (requests, exposed) = active.decider.exposure();
            let age_ms = active.decider.age(now).as_millis() as u64;
            info!(
                event = "rollout_step", service:% = service, target:% = record.order.target_version,
                step = step.as_str(), reason = reason.as_str(), age_ms, bad, judged, requests,
                exposed;
                "step of the roll-out taken"
            );
            active.recorded = step;
            active.end = end;
            active.read_at = now;
            active.is_cut = false;
            if active.decider.step() != Step::RolledBack {
                active.decider.enter(now, step);
            }
        }
        Err(LogError::Conflict { .. }) => {
            reload(shared, rollouts, service, &record.order).await;
        }
        Err(e) => {
            let mut state = rollouts.state.lock();
            if let Some(Deciding::Active(active)) = state.deciding.get_mut(service) {
                active.is_cut = true;
            }
            warn!(event = "rollout_log_failed", service:% = service, step = step.as_str(), error:% = e; "cannot record the step of the roll-out; trying again");
        }
    }
}

fn end_of(rollouts: &Rollouts, service: &ServiceName) -> Option<Offset> {
    match rollouts.state.lock().deciding.get(service)? {
        Deciding::Active(active) => Some(active.end),
        Deciding::Starting { .. } | Deciding::Unable { .. } => None,
    }
}

/// Takes over the recorded step, which another node, or an append of this one whose reply was lost, may
/// have written. Returns whether it could be read.
async fn reload(
    shared: &Shared,
    rollouts: &Rollouts,
    service: &ServiceName,
    order: &Order,
) -> bool {
    let loaded = load(shared, rollouts, order).await;
    let now = shared.now();
    let mut state = rollouts.state.lock();
    let Some(Deciding::Active(active)) = state.deciding.get_mut(service) else {
        return false;
    };
    match loaded {
        Ok((record, end)) => {
            active.end = end;
            active.read_at = now;
            active.is_cut = false;
            let Some(record) = record else { return true };
            active.expected = active.expected.max(record.expected as usize);
            active.recorded = record.step;
            let is_pending_rollback =
                active.decider.step() == Step::RolledBack && !record.step.is_final();
            if !is_pending_rollback && active.decider.step() != record.step {
                active.decider.enter(now, record.step);
            }
            true
        }
        Err(e) => {
            active.is_cut = true;
            warn!(event = "rollout_log_failed", service:% = service, error:% = e; "cannot read the step of the roll-out; trying again");
            false
        }
    }
}

/// Returns the status for the operators, with its order, if it is not the last one that was written.
fn unpublished_status(
    rollouts: &Rollouts,
    service: &ServiceName,
) -> Option<(RolloutStatus, Order)> {
    let state = rollouts.state.lock();
    let Some(Deciding::Active(active)) = state.deciding.get(service) else {
        return None;
    };
    let status = RolloutStatus::from(active.recorded);
    let is_new = active.published != Some(status);
    is_new.then(|| (status, active.decider.order().clone()))
}

/// Writes the status for the operators if the recorded step has changed it. The end of the stream is
/// read before the step, and the status is written only there: another decider may have recorded a
/// later step and written its status.
async fn publish_status(shared: &Shared, rollouts: &Rollouts, service: &ServiceName) {
    let Some((_, order)) = unpublished_status(rollouts, service) else {
        return;
    };
    let end = match status_end(shared, rollouts).await {
        Ok(end) => end,
        Err(e) => {
            warn!(event = "rollout_log_failed", service:% = service, error:% = e; "cannot read the status of the roll-out; trying again");
            return;
        }
    };
    if !reload(shared, rollouts, service, &order).await {
        return;
    }
    let Some((status, order)) = unpublished_status(rollouts, service) else {
        return;
    };
    let (key, value) = (rollouts.settings.encode_status)(&order, status);
    let stream = &rollouts.settings.status_stream;
    let written = append_keyed(shared, stream, end, key.as_bytes(), &value).await;
    match written {
        Ok(()) => {
            info!(event = "rollout_status", service:% = service, target:% = order.target_version, status:? = status; "status of the roll-out written");
            let mut state = rollouts.state.lock();
            if let Some(Deciding::Active(active)) = state.deciding.get_mut(service) {
                active.published = Some(status);
            }
        }
        Err(e) => {
            warn!(event = "rollout_log_failed", service:% = service, error:% = e; "cannot write the status of the roll-out; trying again");
        }
    }
}

fn new_record(
    shared: &Shared,
    rollouts: &Rollouts,
    order: &Order,
    step: Step,
    expected: usize,
) -> StepRecord {
    let now = shared.now();
    let state = rollouts.state.lock();
    let learned_at = state.book.order(&order.service).map_or(now, |(_, at)| at);
    StepRecord {
        order: order.clone(),
        step,
        expected: u32::try_from(expected).unwrap_or(u32::MAX),
        age_ms: now.since(learned_at).as_millis() as u64,
        recorded_unix_ms: unix_ms(),
    }
}
