//! The simulation of the queueing cases: entry nodes, and hops of targets with their target-side
//! nodes.
//!
//! A request enters at one of several entry nodes, goes to a target of the first service, and from
//! there on to a target of each further service. A hop holds a slot only for its own work. Each
//! response carries the load of its target at the time it was sent. Entry nodes aren't notified of
//! a target's restart, which is the harder case for them.

use std::time::Duration;

use admit::{Admission, Event, Finish, Limits, Offer, RequestKey, Tuning, Verdict};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use route::{Attempts, OutcomeKind, RouteKey, Ticket};
use wire::{InstanceId, Load, Time};

use crate::queue_load::{Kind, Source};
use crate::queue_pick::{Entry, PickPolicy};
use crate::queue_target::{Target, TargetCfg};
use crate::schedule::Schedule;

/// One-way latency between failure domains.
const HOP_LATENCY: Duration = Duration::from_micros(500);
/// Time to open a connection.
const CONNECT_TIME: Duration = Duration::from_millis(1);
/// Number of entry nodes.
const ENTRY_COUNT: usize = 4;
/// Distance between the random seeds of the nodes that send to one hop and those of the next hop.
const ENTRY_SEED_STRIDE: usize = 100;

/// Which failed attempts are retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Retries {
    /// Refusals, within the retry budget of the route crate.
    Budget,
    /// Nothing is retried.
    None,
    /// The caller resends the request whenever the deadline has passed, up to this many attempts.
    AfterTimeout(u32),
}

/// How nodes pick targets, admit requests and retry.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Policy {
    pub(crate) pick: PickPolicy,
    /// Parameters of the admission; `None` lets all requests through to the target's queue.
    pub(crate) admission: Option<Tuning>,
    pub(crate) retries: Retries,
    /// Whether the bounds apply to the figures; if not, they are for comparison only.
    pub(crate) has_bounds: bool,
}

impl Policy {
    /// Returns the policy of the product.
    pub(crate) fn product() -> Policy {
        Policy {
            pick: PickPolicy::Route,
            admission: Some(Tuning::default()),
            retries: Retries::Budget,
            has_bounds: true,
        }
    }

    /// Returns the policy without admission and retries, with two random choices. It gives the
    /// lowest latency without admission while targets aren't overloaded.
    pub(crate) fn without_admission() -> Policy {
        Policy {
            pick: PickPolicy::TwoChoices,
            admission: None,
            retries: Retries::None,
            has_bounds: false,
        }
    }
}

/// Targets, demand and policy of a run.
#[derive(Clone, Debug)]
pub(crate) struct Case {
    pub(crate) policy: Policy,
    /// Targets of each service, in the order of the calls.
    pub(crate) hops: Vec<Vec<TargetCfg>>,
    /// Kinds of requests; [`Request::kind`] is an index into them.
    pub(crate) kinds: Vec<Kind>,
    /// End of the arrivals; the run goes on until all requests have ended.
    pub(crate) until: Time,
    /// Queue limit of each target-side node.
    pub(crate) queue: u32,
    /// Connection limit of each target.
    pub(crate) connections: u32,
    pub(crate) seed: u64,
}

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum End {
    /// Completed at the last hop.
    Done,
    /// Refused without having run at its current hop; earlier hops have run it.
    Refused,
}

/// A request, and how far it has got.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    pub(crate) kind: usize,
    pub(crate) caller: usize,
    pub(crate) arrived: Time,
    pub(crate) deadline: Time,
    /// When and how it ended; `None` while it is in progress.
    pub(crate) end: Option<(Time, End)>,
    /// Service time on the fastest target of each hop.
    service: Duration,
    /// Index of the request path.
    path: u64,
    /// Current hop.
    hop: usize,
    /// Node that sends it to the current hop.
    entry: usize,
    /// Targets tried at the current hop.
    tried: Attempts,
    /// Number of attempts at the current hop.
    attempt_count: u32,
}

impl Request {
    /// Returns the latency of a request that completed within its deadline.
    pub(crate) fn timely_latency(&self) -> Option<Duration> {
        match self.end {
            Some((at, End::Done)) if at <= self.deadline => Some(at - self.arrived),
            _ => None,
        }
    }

    /// Returns the time from the arrival to the final refusal, if it was refused.
    pub(crate) fn refusal_latency(&self) -> Option<Duration> {
        match self.end {
            Some((at, End::Refused)) => Some(at - self.arrived),
            _ => None,
        }
    }
}

/// Calls and attempts at one hop.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct HopCounts {
    /// Requests that callers sent, or that the previous hop completed.
    pub(crate) calls: u64,
    /// Attempts for these requests.
    pub(crate) attempts: u64,
}

/// Result of a run.
#[derive(Debug)]
pub(crate) struct Outcome {
    pub(crate) requests: Vec<Request>,
    pub(crate) hops: Vec<HopCounts>,
}

/// An event of the simulation; the numbers are indices.
#[derive(Debug)]
enum SimEvent {
    /// A request of this kind arrives at an entry node.
    RequestArrived(usize),
    /// An attempt reaches the target-side node.
    AttemptArrived(usize),
    /// A target has finished an attempt and frees its slot.
    Finished(usize),
    /// The response of an attempt reaches the node that sent the attempt.
    Response(usize, OutcomeKind, Option<Load>),
    /// The admission of a hop and target asked to be polled now.
    PollAdmission(usize, usize),
    /// An attempt's deadline has passed; the caller retries under `Retries::AfterTimeout`.
    DeadlinePassed(usize),
    /// The target of this hop and index restarts cold.
    TargetRestart(usize, usize),
}

#[derive(Clone, Copy, Debug)]
struct Attempt {
    request: usize,
    hop: usize,
    entry: usize,
    target: usize,
    /// Key in the admission; `None` if it was refused on arrival, or without admission.
    key: Option<RequestKey>,
    ticket: Ticket,
}

/// A target and its target-side node.
#[derive(Debug)]
struct Node {
    target: Target,
    admission: Option<Admission>,
    /// Limits that apply from a restart on.
    limits_after_restart: Limits,
    /// Queued and running attempts by key.
    by_key: slotmap::SecondaryMap<RequestKey, usize>,
    /// Time of the earliest scheduled poll of the admission.
    next_poll: Option<Time>,
}

#[derive(Debug)]
struct Model {
    retries: Retries,
    sources: Vec<Source>,
    /// Targets of each hop.
    nodes: Vec<Vec<Node>>,
    /// Nodes that send to each hop.
    entries: Vec<Vec<Entry>>,
    requests: Vec<Request>,
    attempts: Vec<Attempt>,
    hops: Vec<HopCounts>,
    schedule: Schedule<SimEvent>,
    until: Time,
    rng: StdRng,
}

/// Runs a case until no event is left.
pub(crate) fn run(case: &Case) -> Outcome {
    let mut model = Model::new(case);
    while let Some((now, step)) = model.schedule.pop() {
        model.handle(now, step);
    }
    Outcome {
        requests: model.requests,
        hops: model.hops,
    }
}

impl Model {
    fn new(case: &Case) -> Model {
        let node = |cfg: &TargetCfg| node(case, cfg);
        let nodes: Vec<Vec<Node>> = case
            .hops
            .iter()
            .map(|h| h.iter().map(node).collect())
            .collect();
        let mut entry_count = ENTRY_COUNT;
        let mut entries: Vec<Vec<Entry>> = Vec::new();
        for hop in &case.hops {
            let slots: Vec<u32> = hop.iter().map(|t| t.declared_slots).collect();
            let seed = |i| case.seed * 10_000 + (entries.len() * ENTRY_SEED_STRIDE + i) as u64;
            let entry = |i| Entry::new(case.policy.pick, i, &slots, seed(i));
            let row = (0..entry_count).map(entry).collect();
            entries.push(row);
            entry_count = hop.len();
        }
        let source = |(i, k): (usize, &Kind)| {
            Source::new(
                k.clone(),
                case.seed.wrapping_mul(1_000).wrapping_add(i as u64),
            )
        };
        let mut model = Model {
            retries: case.policy.retries,
            sources: case.kinds.iter().enumerate().map(source).collect(),
            hops: vec![HopCounts::default(); nodes.len()],
            nodes,
            entries,
            requests: Vec::new(),
            attempts: Vec::new(),
            schedule: Schedule::new(),
            until: case.until,
            rng: StdRng::seed_from_u64(case.seed.wrapping_add(1 << 32)),
        };
        for kind in 0..model.sources.len() {
            model.schedule_arrival(Time::ZERO, kind);
        }
        for (hop, targets) in case.hops.iter().enumerate() {
            for (target, cfg) in targets.iter().enumerate() {
                if let Some(at) = cfg.restarts_at {
                    model
                        .schedule
                        .push(at, SimEvent::TargetRestart(hop, target));
                }
            }
        }
        model
    }

    fn handle(&mut self, now: Time, step: SimEvent) {
        match step {
            SimEvent::RequestArrived(kind) => self.arrive(now, kind),
            SimEvent::AttemptArrived(attempt) => self.offer_attempt(now, attempt),
            SimEvent::Finished(attempt) => self.finish_attempt(now, attempt),
            SimEvent::Response(attempt, end, load) => {
                self.handle_response(now, attempt, route::Outcome { kind: end, load });
            }
            SimEvent::PollAdmission(hop, target) => {
                self.nodes[hop][target].next_poll = None;
                self.poll_admission(now, hop, target);
            }
            SimEvent::DeadlinePassed(request) => self.retry_after_timeout(now, request),
            SimEvent::TargetRestart(hop, target) => self.restart_target(now, hop, target),
        }
    }

    fn schedule_arrival(&mut self, now: Time, kind: usize) {
        let at = self.sources[kind].next_arrival(now);
        if at < self.until {
            self.schedule.push(at, SimEvent::RequestArrived(kind));
        }
    }

    fn arrive(&mut self, now: Time, kind: usize) {
        let drawn = self.sources[kind].draw();
        let deadline = now + self.sources[kind].kind.deadline;
        let entry = self.rng.random_range(0..ENTRY_COUNT);
        self.requests.push(Request {
            kind,
            caller: drawn.caller,
            arrived: now,
            deadline,
            end: None,
            service: drawn.service,
            path: drawn.path,
            hop: 0,
            entry,
            tried: Attempts::default(),
            attempt_count: 0,
        });
        self.call_hop(now, self.requests.len() - 1);
        self.schedule_arrival(now, kind);
    }

    /// Sends the first attempt of a request at its current hop.
    fn call_hop(&mut self, now: Time, request: usize) {
        let r = &mut self.requests[request];
        r.attempt_count = 0;
        r.tried = Attempts::new(true);
        let (hop, entry) = (r.hop, r.entry);
        self.hops[hop].calls += 1;
        self.entries[hop][entry].record_request(now);
        self.send_attempt(now, request);
    }

    /// Sends an attempt of a request at its current hop. Returns `false` if no target is available.
    fn send_attempt(&mut self, now: Time, request: usize) -> bool {
        let r = &mut self.requests[request];
        let (hop, entry) = (r.hop, r.entry);
        let e = &mut self.entries[hop][entry];
        let Some(target) = e.pick(now, &r.tried, &mut self.rng) else {
            return false;
        };
        r.attempt_count += 1;
        r.tried.add(InstanceId(target as u64));
        self.hops[hop].attempts += 1;
        let kind = &self.sources[r.kind].kind;
        let (ticket, opens_connection) = e.begin(now, target, RouteKey(kind.route));
        let delay = if opens_connection {
            HOP_LATENCY + CONNECT_TIME
        } else {
            HOP_LATENCY
        };
        self.attempts.push(Attempt {
            request,
            hop,
            entry,
            target,
            key: None,
            ticket,
        });
        let id = self.attempts.len() - 1;
        self.schedule
            .push(now + delay, SimEvent::AttemptArrived(id));
        if let Retries::AfterTimeout(max_attempts) = self.retries
            && r.attempt_count < max_attempts
        {
            self.schedule
                .push(now + kind.deadline, SimEvent::DeadlinePassed(request));
        }
        true
    }

    /// Offers an attempt to the admission of its target-side node.
    fn offer_attempt(&mut self, now: Time, id: usize) {
        let Attempt {
            hop,
            target,
            request,
            ..
        } = self.attempts[id];
        let r = &self.requests[request];
        let kind = &self.sources[r.kind].kind;
        let offer = Offer {
            route: kind.route,
            operation: kind.route * 1_000_000 + r.kind as u64 * 1_000 + r.path,
            class: kind.class,
            caller: r.caller as u64,
            deadline: r.deadline,
        };
        let node = &mut self.nodes[hop][target];
        let Some(admission) = &mut node.admission else {
            return self.hand_over(now, id);
        };
        match admission.offer(now, &offer) {
            Verdict::Run(key) => {
                self.attempts[id].key = Some(key);
                node.by_key.insert(key, id);
                self.hand_over(now, id);
            }
            Verdict::Queue(key) => {
                self.attempts[id].key = Some(key);
                node.by_key.insert(key, id);
            }
            Verdict::Refuse(r) => {
                let load = Some(admission.load());
                let end = OutcomeKind::Refused(r.code);
                self.schedule
                    .push(now + HOP_LATENCY, SimEvent::Response(id, end, load));
            }
        }
        self.poll_admission(now, hop, target);
    }

    /// Passes an admitted attempt to its target.
    fn hand_over(&mut self, now: Time, id: usize) {
        let Attempt { hop, target, .. } = self.attempts[id];
        self.nodes[hop][target].target.push(id);
        self.start_queued(now, hop, target);
    }

    /// Starts queued attempts of a target while slots are free.
    fn start_queued(&mut self, now: Time, hop: usize, target: usize) {
        let t = &mut self.nodes[hop][target].target;
        while let Some(id) = t.start_next(now) {
            let service = self.requests[self.attempts[id].request].service;
            let at = now + service.mul_f64(t.cfg.slowness);
            self.schedule.push(at, SimEvent::Finished(id));
        }
    }

    fn finish_attempt(&mut self, now: Time, id: usize) {
        let Attempt {
            hop, target, key, ..
        } = self.attempts[id];
        let node = &mut self.nodes[hop][target];
        node.target.finish();
        if let (Some(admission), Some(key)) = (&mut node.admission, key) {
            node.by_key.remove(key);
            admission.finish(now, key, Finish { is_complete: true });
        }
        let load = node.admission.as_ref().map(Admission::load);
        self.schedule.push(
            now + HOP_LATENCY,
            SimEvent::Response(id, OutcomeKind::Ok, load),
        );
        self.poll_admission(now, hop, target);
        self.start_queued(now, hop, target);
    }

    fn poll_admission(&mut self, now: Time, hop: usize, target: usize) {
        let node = &mut self.nodes[hop][target];
        let Some(admission) = &mut node.admission else {
            return;
        };
        let events = admission.poll(now);
        if let Some(at) = admission.next_wake() {
            let at = at.max(now + Duration::from_micros(1));
            if node.next_poll.is_none_or(|t| at < t) {
                node.next_poll = Some(at);
                self.schedule.push(at, SimEvent::PollAdmission(hop, target));
            }
        }
        for event in events {
            let node = &mut self.nodes[hop][target];
            match event {
                Event::Start(key) => {
                    let id = node.by_key[key];
                    self.hand_over(now, id);
                }
                Event::Refuse(key, refusal) => {
                    let id = node
                        .by_key
                        .remove(key)
                        .expect("admission refused an unknown key");
                    let load = node.admission.as_ref().map(Admission::load);
                    let end = OutcomeKind::Refused(refusal.code);
                    self.schedule
                        .push(now + HOP_LATENCY, SimEvent::Response(id, end, load));
                }
            }
        }
    }

    /// Handles a response: calls the next hop, retries, or ends the request.
    fn handle_response(&mut self, now: Time, id: usize, outcome: route::Outcome) {
        let Attempt {
            hop,
            entry,
            target,
            request,
            ticket,
            ..
        } = self.attempts[id];
        let e = &mut self.entries[hop][entry];
        e.end(now, target, ticket, outcome);
        let is_last_hop = hop + 1 == self.hops.len();
        let r = &mut self.requests[request];
        if r.end.is_some() || r.hop != hop {
            return;
        }
        let is_done = outcome.kind == OutcomeKind::Ok;
        if is_done && !is_last_hop {
            r.hop += 1;
            r.entry = target;
            return self.call_hop(now, request);
        }
        if !is_done && self.retry_refused(now, request, outcome) {
            return;
        }
        let r = &mut self.requests[request];
        r.end = Some((now, if is_done { End::Done } else { End::Refused }));
        r.tried = Attempts::default();
    }

    /// Retries a refused request within the retry budget. Returns whether an attempt was sent.
    fn retry_refused(&mut self, now: Time, request: usize, outcome: route::Outcome) -> bool {
        let r = &self.requests[request];
        let (hop, entry, remaining) = (r.hop, r.entry, r.deadline - now);
        let route = RouteKey(self.sources[r.kind].kind.route);
        let e = &mut self.entries[hop][entry];
        if self.retries != Retries::Budget || !e.try_retry(now, &r.tried, outcome, remaining, route)
        {
            return false;
        }
        let was_sent = self.send_attempt(now, request);
        if !was_sent {
            self.entries[hop][entry].refund();
        }
        was_sent
    }

    fn restart_target(&mut self, now: Time, hop: usize, target: usize) {
        let node = &mut self.nodes[hop][target];
        if let Some(admission) = &mut node.admission {
            admission.set_limits(now, node.limits_after_restart);
            admission.restart(now);
        }
    }

    fn retry_after_timeout(&mut self, now: Time, request: usize) {
        if self.requests[request].end.is_none() && now < self.until {
            self.send_attempt(now, request);
        }
    }
}

fn node(case: &Case, cfg: &TargetCfg) -> Node {
    let warm = limits(case, cfg, Duration::ZERO);
    let tuning = case.policy.admission;
    let admission = tuning.map(|t| Admission::with_tuning(warm, t, Time::ZERO));
    Node {
        target: Target::new(*cfg),
        admission,
        limits_after_restart: limits(case, cfg, cfg.cold_start),
        by_key: slotmap::SecondaryMap::new(),
        next_poll: None,
    }
}

fn limits(case: &Case, cfg: &TargetCfg, cold_start: Duration) -> Limits {
    Limits {
        slots: cfg.declared_slots,
        connections: case.connections,
        queue: case.queue,
        cold_start,
    }
}
