//! Roll-outs at this node: the orders that it knows, what it admits to its target, and its reports to
//! the decider of the roll-out.
//!
//! Any node can decide on a roll-out, see `deciding`; the reporting nodes choose it by rank. The
//! limits are kept beside the targets: a node that may admit no requests says so to its peers like
//! one without slots, so that entry nodes need not know of a roll-out.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::Duration;

use log::{info, warn};
use ops::Metric;
use parking_lot::Mutex;
use plat::KeyedRecord;
use rollout::{Admission, Evidence, Gate, KnownOrder, Order, OrderBook, OrderId, Plan, Report};
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;
use wire::{ServiceName, Time};

use crate::deciding::{self, Deciding};
use crate::link::context;
use crate::message::{Failure, LinkClient, Outcome};
use crate::settings::RolloutSettings;
use crate::shared::{Phase, Shared, sleep_unless_stopped};

/// Time between the reports of a node.
const REPORT_INTERVAL: Duration = Duration::from_millis(400);
/// Timeout of a report to the decider.
const REPORT_TIMEOUT: Duration = Duration::from_millis(600);
/// Nodes that are asked in turn while the ones before them can't decide. Three cover the loss of a
/// node and one that can't reach the log.
const MAX_NODES_ASKED: usize = 3;

/// State of roll-outs at one node.
#[derive(Debug)]
pub(crate) struct Rollouts {
    pub(crate) settings: RolloutSettings,
    pub(crate) state: Mutex<State>,
    /// Wakes the task that reports.
    changed: Notify,
    /// Wakes the task that decides.
    pub(crate) decision_due: Notify,
}

#[derive(Debug, Default)]
pub(crate) struct State {
    pub(crate) book: OrderBook,
    pub(crate) gate: Gate,
    /// What the target's responses showed since the order became known.
    evidence: Evidence,
    /// Admission that the target's queue has, and whether it admits requests.
    applied: Option<(Admission, bool)>,
    /// Roll-outs on which this node decides.
    pub(crate) deciding: BTreeMap<ServiceName, Deciding>,
}

/// Reply to a report.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(crate) enum ReportReply {
    /// What the reporting node admits.
    Plan(Plan),
    /// The node begins to decide and has no plan yet.
    Starting,
    /// The node can't decide, for example because it can't reach the log.
    Unable,
    /// What the reporting node admits unless another node can decide: this one has decided and no
    /// longer reaches the log.
    Cut(Plan),
}

impl Rollouts {
    pub(crate) fn new(settings: RolloutSettings) -> Rollouts {
        Rollouts {
            settings,
            state: Mutex::default(),
            changed: Notify::new(),
            decision_due: Notify::new(),
        }
    }
}

/// Learns the orders among records of the operators' stream.
pub(crate) fn learn<'a>(shared: &Shared, records: impl Iterator<Item = &'a KeyedRecord>) {
    let Some(rollouts) = &shared.rollouts else {
        return;
    };
    for record in records.filter(|r| !r.value.is_empty()) {
        if !record
            .key
            .starts_with(rollouts.settings.order_prefix.as_bytes())
        {
            continue;
        }
        let raw = (rollouts.settings.decode_order)(&record.value);
        let id = OrderId(record.offset.0);
        match raw.and_then(|raw| Order::try_from((id, raw)).map_err(|e| e.to_string())) {
            Ok(order) => learn_order(shared, &order, Duration::ZERO),
            Err(reason) => {
                let code = wire::Code::OrderInvalid.number();
                warn!(event = "order_refused", offset = record.offset.0, code, reason = reason.as_str(); "roll-out order not usable; ignored");
            }
        }
    }
    orders_known(shared);
}

/// Learns the orders that a reader has announced.
pub(crate) fn learn_announced(shared: &Shared, orders: &[KnownOrder]) {
    for known in orders {
        learn_order(shared, &known.order, known.age);
    }
    orders_known(shared);
}

pub(crate) fn learn_order(shared: &Shared, order: &Order, age: Duration) {
    let Some(rollouts) = &shared.rollouts else {
        return;
    };
    let is_newer = rollouts.state.lock().book.learn(shared.now(), order, age);
    if is_newer {
        info!(event = "rollout_order", service:% = order.service, target:% = order.target_version, order = order.id.0, duration_ms = order.duration.as_millis() as u64; "roll-out order known");
    }
}

/// Returns the orders that this node knows, to announce them.
pub(crate) fn known_orders(shared: &Shared) -> Vec<KnownOrder> {
    let rollouts = shared.rollouts.as_ref();
    rollouts.map_or(Vec::new(), |r| r.state.lock().book.known(shared.now()))
}

/// Applies that the orders known now are those in force.
fn orders_known(shared: &Shared) {
    let Some(rollouts) = &shared.rollouts else {
        return;
    };
    let now = shared.now();
    let service = shared.service();
    let is_other = {
        let mut state = rollouts.state.lock();
        let order = state.book.order(&service).map(|(order, _)| order.clone());
        let is_other = state.gate.record_orders(now, order.as_ref());
        if is_other {
            state.evidence = Evidence::default();
        }
        is_other
    };
    refresh(shared, now);
    if is_other {
        rollouts.changed.notify_one();
    }
}

/// Applies a report of the target.
pub(crate) fn record_target(shared: &Shared, now: Time, software: &str, is_new: bool) {
    let Some(rollouts) = &shared.rollouts else {
        return;
    };
    let is_running = {
        let mut state = rollouts.state.lock();
        let has_changed = is_new || state.gate.software().is_none_or(|s| *s.0 != *software);
        state.gate.record_target(now, &software.into(), is_new);
        has_changed && state.gate.running_order().is_some()
    };
    if shared.is_log_readable.load(Ordering::Relaxed) {
        // A reader gets each order from its long poll at once.
        orders_known(shared);
    } else {
        refresh(shared, now);
    }
    if is_running {
        rollouts.changed.notify_one();
    }
}

/// Applies the admission to the target's queue if it has changed.
fn refresh(shared: &Shared, now: Time) {
    let Some(rollouts) = &shared.rollouts else {
        return;
    };
    let has_changed = {
        let mut state = rollouts.state.lock();
        let admission = match state.gate.admission(now) {
            // The number of requests alone changes neither the slots nor what peers know.
            Admission::Limited { slots, .. } => Admission::Limited { slots, until: 0 },
            other => other,
        };
        let present = Some((admission, state.gate.may_admit(now)));
        let has_changed = state.applied != present;
        state.applied = present;
        has_changed
    };
    if has_changed {
        shared.target_changed(now);
    }
}

impl Shared {
    /// Returns what the roll-out of the target's service lets this node admit.
    pub(crate) fn admission(&self, now: Time) -> Admission {
        let rollouts = self.rollouts.as_ref();
        rollouts.map_or(Admission::Open, |r| r.state.lock().gate.admission(now))
    }

    /// Returns how many of `slots` peers may know of: none if no request would be admitted.
    pub(crate) fn released_slots(&self, now: Time, slots: u32) -> u32 {
        let Some(rollouts) = &self.rollouts else {
            return slots;
        };
        let state = rollouts.state.lock();
        match state.gate.admission(now) {
            _ if !state.gate.may_admit(now) => 0,
            Admission::Limited { slots: limit, .. } => slots.min(limit),
            Admission::Open | Admission::Closed => slots,
        }
    }

    /// Returns whether the roll-out admits another request now.
    pub(crate) fn is_released(&self, now: Time) -> bool {
        let rollouts = self.rollouts.as_ref();
        rollouts.is_none_or(|r| r.state.lock().gate.may_admit(now))
    }
}

/// Counts a request that was admitted to the target's queue.
pub(crate) fn count_admitted(shared: &Shared) {
    if let Some(rollouts) = &shared.rollouts {
        rollouts.state.lock().gate.count_admitted();
    }
}

/// Records what the outcome of a call shows of the target's version.
pub(crate) fn record_outcome(shared: &Shared, route: u64, took: Duration, outcome: &Outcome) {
    let Some(rollouts) = &shared.rollouts else {
        return;
    };
    let is_failure = match outcome {
        Outcome::Answer(answer) => answer.status >= 500,
        Outcome::Failed(Failure::Broken | Failure::Timeout) => true,
        // A reused connection that broke is no sign of the version, and the others have not run.
        Outcome::Failed(Failure::ReusedConnection | Failure::PeerLost)
        | Outcome::Refused(_)
        | Outcome::Shed => return,
    };
    let took = (!is_cold(shared)).then_some(took);
    let mut state = rollouts.state.lock();
    if state.gate.running_order().is_some() {
        state.evidence.record(route, took, is_failure);
    }
}

/// Records a call that was cancelled while the target worked on it.
pub(crate) fn record_abandoned(shared: &Shared, route: u64) {
    let Some(rollouts) = &shared.rollouts else {
        return;
    };
    let is_cold = is_cold(shared);
    let mut state = rollouts.state.lock();
    if state.gate.running_order().is_some() && !is_cold {
        state.evidence.record_abandoned(route);
    }
}

fn is_cold(shared: &Shared) -> bool {
    shared.target.lock().own.is_cold(shared.now())
}

/// Reports to the decider while a roll-out of the target's service runs, until the node stops.
pub(crate) async fn report(shared: std::sync::Arc<Shared>) {
    let Some(rollouts) = &shared.rollouts else {
        return;
    };
    loop {
        tokio::select! {
            is_running = sleep_unless_stopped(&shared, REPORT_INTERVAL) => if !is_running { return },
            () = rollouts.changed.notified() => {}
        }
        let now = shared.now();
        if let Some((known, report)) = own_report(&shared, now) {
            send_report(&shared, known, report).await;
        }
        // A limited admission ends without a plan.
        refresh(&shared, shared.now());
    }
}

/// Returns the order of the target's service and this node's report, if the roll-out runs.
fn own_report(shared: &Shared, now: Time) -> Option<(KnownOrder, Report)> {
    let rollouts = shared.rollouts.as_ref()?;
    let (in_progress, slots, is_cold) = {
        let target = shared.target.lock();
        let load = target.queue.state(now).load;
        let slots = target.own.usable_report().map_or(0, |r| r.slots);
        (load.in_flight + load.queued, slots, target.own.is_cold(now))
    };
    let state = rollouts.state.lock();
    let order = state.gate.running_order()?.clone();
    let software = state.gate.software()?.clone();
    let (_, learned_at) = state.book.order(&order.service)?;
    let age = now.since(learned_at);
    let report = Report {
        link: shared.settings.peer_addr,
        boot_id: shared.boot_id,
        order: order.id,
        order_age: age,
        software,
        slots,
        admitted: state.gate.admitted(),
        in_progress,
        is_closed: state.gate.admission(now) == Admission::Closed,
        is_cold,
        evidence: state.evidence.clone(),
    };
    Some((KnownOrder { order, age }, report))
}

/// Sends a report to the decider, the first node by rank that can decide, and applies its plan.
async fn send_report(shared: &Shared, known: KnownOrder, report: Report) {
    for client in decider_candidates(shared, &known.order.service) {
        let reply = match client {
            None => Some(deciding::receive(shared, &known, report.clone())),
            Some(client) => {
                let sent =
                    client.report_rollout(context(REPORT_TIMEOUT), known.clone(), report.clone());
                let reply = tokio::time::timeout(REPORT_TIMEOUT, sent).await;
                reply.ok().and_then(Result::ok)
            }
        };
        match reply {
            Some(ReportReply::Plan(plan)) => return apply_plan(shared, plan),
            Some(ReportReply::Cut(plan)) => apply_plan(shared, plan),
            Some(ReportReply::Starting) => return,
            Some(ReportReply::Unable) | None => {}
        }
    }
}

/// Returns the nodes that may decide on the roll-out of a service, in the order in which they are
/// asked; `None` stands for this node. A node with a faster link comes first, as the decider gets
/// the reports of all instances; then rendezvous hashing spreads the services.
fn decider_candidates(shared: &Shared, service: &ServiceName) -> Vec<Option<LinkClient>> {
    let mut all = shared.peers.lock().decider_ranks(service);
    if shared.phase() == Phase::Serving && shared.versions.number() > 0 {
        let s = &shared.settings;
        all.push((deciding::rank(service, s.peer_addr, s.link_mbps), None));
    }
    all.sort_by_key(|(rank, _)| std::cmp::Reverse(*rank));
    let candidates = all.into_iter().map(|(_, client)| client);
    candidates.take(MAX_NODES_ASKED).collect()
}

/// Returns the node that is asked first to decide on the roll-out of a service.
pub(crate) fn first_decider(shared: &Shared, service: &ServiceName) -> Option<SocketAddr> {
    let ranks = shared.peers.lock().decider_ranks(service);
    let s = &shared.settings;
    let own = deciding::rank(service, s.peer_addr, s.link_mbps);
    let all = ranks.into_iter().map(|(rank, _)| rank).chain([own]);
    all.max().map(|(.., link)| link)
}

fn apply_plan(shared: &Shared, plan: Plan) {
    let Some(rollouts) = &shared.rollouts else {
        return;
    };
    let now = shared.now();
    let (before, after) = {
        let mut state = rollouts.state.lock();
        let before = state.gate.step();
        state.gate.apply(now, plan);
        (before, state.gate.step())
    };
    if before != after {
        let step = plan.step.as_str();
        info!(event = "rollout_plan", order = plan.order.0, step, admission:? = plan.admission; "step of the roll-out has changed at this node");
    }
    let is_closed = matches!(plan.admission, Admission::Closed);
    shared
        .metrics
        .set(Metric::RolloutClosed, u64::from(is_closed));
    refresh(shared, now);
}
