//! The model of the queueing cases: entry nodes, hops, and a node beside each target.
//!
//! A request enters at one of several entry nodes, goes to a target of the first service, and from
//! there on to a target of each further service. A hop's slot is held for the hop's own work. Each
//! answer carries the load of its target at the time it was sent. Entry nodes aren't told that a
//! target was restarted, which is the harder case.

use std::time::Duration;

use admit::{Admission, Event, Finish, Limits, Offer, RequestKey, Tuning, Verdict};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use route::{Attempts, OutcomeKind, RouteKey, Ticket};
use wire::{InstanceId, Load, Time};

use crate::queue_load::{Kind, Source};
use crate::queue_pick::{Entry, Pick};
use crate::queue_target::{Target, TargetCfg};
use crate::schedule::Schedule;

/// One-way latency between failure domains.
const HOP: Duration = Duration::from_micros(500);
/// Time to open a connection.
const CONNECT: Duration = Duration::from_millis(1);
/// Nodes through which requests enter.
const ENTRIES: usize = 4;
/// Distance between the seeds of two hops' entry nodes.
const ENTRIES_APART: usize = 100;
/// Which failed attempts are tried again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Retries {
    /// Refusals, within the budget of the route crate.
    Budget,
    None,
    /// The caller sends the request again after each deadline, up to this many attempts.
    AfterTimeout(u32),
}

/// What decides at the target and at the entry.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Policy {
    pub(crate) pick: Pick,
    /// Parameters of the admission; without, there is no limit before the target's queue.
    pub(crate) admission: Option<Tuning>,
    pub(crate) retries: Retries,
    /// Whether the bounds apply; other policies are for comparison.
    pub(crate) bounded: bool,
}

impl Policy {
    /// The policy of the product.
    pub(crate) fn ours() -> Policy {
        Policy {
            pick: Pick::Route,
            admission: Some(Tuning::default()),
            retries: Retries::Budget,
            bounded: true,
        }
    }

    /// No limit before the target's queue, two random choices, no retries: the best that targets
    /// do without admission when they aren't overloaded.
    pub(crate) fn open() -> Policy {
        Policy {
            pick: Pick::TwoChoices,
            admission: None,
            retries: Retries::None,
            bounded: false,
        }
    }
}

/// A case.
#[derive(Clone, Debug)]
pub(crate) struct Case {
    pub(crate) policy: Policy,
    /// Targets of each service on the path.
    pub(crate) hops: Vec<Vec<TargetCfg>>,
    pub(crate) kinds: Vec<Kind>,
    /// Arrivals end here; the run ends when all requests have.
    pub(crate) until: Time,
    pub(crate) queue: u32,
    pub(crate) connections: u32,
    pub(crate) seed: u64,
}

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum End {
    Done,
    /// Refused without having run at any hop but the ones before.
    Refused,
}

/// A request with its outcome.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    pub(crate) kind: usize,
    pub(crate) caller: usize,
    pub(crate) arrived: Time,
    pub(crate) deadline: Time,
    pub(crate) end: Option<(Time, End)>,
    service: Duration,
    work: u64,
    hop: usize,
    entry: usize,
    tried: Attempts,
    tries: u32,
}

impl Request {
    /// Returns the time that a complete response took, if it came within the deadline.
    pub(crate) fn in_time(&self) -> Option<Duration> {
        match self.end {
            Some((at, End::Done)) if at <= self.deadline => Some(at - self.arrived),
            _ => None,
        }
    }

    /// Returns the time that the refusal took.
    pub(crate) fn refused_after(&self) -> Option<Duration> {
        match self.end {
            Some((at, End::Refused)) => Some(at - self.arrived),
            _ => None,
        }
    }
}

/// Attempts at one hop.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct HopCount {
    /// Requests that the hop above accepted, or callers sent.
    pub(crate) calls: u64,
    /// Attempts for them.
    pub(crate) attempts: u64,
}

/// What a run shows.
#[derive(Debug)]
pub(crate) struct Outcome {
    pub(crate) requests: Vec<Request>,
    pub(crate) hops: Vec<HopCount>,
}

#[derive(Debug)]
enum Step {
    Arrive(usize),
    /// An attempt reaches the node beside its target.
    Reach(usize),
    /// A target's slot is free again.
    Served(usize),
    /// The answer of an attempt reaches the node that sent it.
    Answer(usize, OutcomeKind, Option<Load>),
    Wake(usize, usize),
    /// The caller of a policy without refusals gives up an attempt.
    Timeout(usize),
    /// A target was restarted and is cold.
    Restart(usize, usize),
}

#[derive(Clone, Copy, Debug)]
struct Attempt {
    request: usize,
    hop: usize,
    entry: usize,
    target: usize,
    key: Option<RequestKey>,
    ticket: Ticket,
}

#[derive(Debug)]
struct Node {
    target: Target,
    admission: Option<Admission>,
    /// Limits after a restart.
    cold: Limits,
    /// Queued and running attempts by key.
    by_key: slotmap::SecondaryMap<RequestKey, usize>,
    wake: Option<Time>,
}

#[derive(Debug)]
struct Model {
    retries: Retries,
    sources: Vec<Source>,
    nodes: Vec<Vec<Node>>,
    entries: Vec<Vec<Entry>>,
    requests: Vec<Request>,
    attempts: Vec<Attempt>,
    hops: Vec<HopCount>,
    schedule: Schedule<Step>,
    until: Time,
    rng: StdRng,
}

/// Runs a case.
pub(crate) fn run(case: &Case) -> Outcome {
    let mut model = Model::new(case);
    while let Some((now, step)) = model.schedule.pop() {
        model.step(now, step);
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
        let mut above = ENTRIES;
        let mut entries: Vec<Vec<Entry>> = Vec::new();
        for hop in &case.hops {
            let slots: Vec<u32> = hop.iter().map(|t| t.declared).collect();
            let seed = |i| case.seed * 10_000 + (entries.len() * ENTRIES_APART + i) as u64;
            let entry = |i| Entry::new(case.policy.pick, i, &slots, seed(i));
            let row = (0..above).map(entry).collect();
            entries.push(row);
            above = hop.len();
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
            hops: vec![HopCount::default(); nodes.len()],
            nodes,
            entries,
            requests: Vec::new(),
            attempts: Vec::new(),
            schedule: Schedule::new(),
            until: case.until,
            rng: StdRng::seed_from_u64(case.seed.wrapping_add(1 << 32)),
        };
        for kind in 0..model.sources.len() {
            model.plan_arrival(Time::ZERO, kind);
        }
        for (hop, targets) in case.hops.iter().enumerate() {
            for (target, cfg) in targets.iter().enumerate() {
                if let Some(at) = cfg.cold_from {
                    model.schedule.push(at, Step::Restart(hop, target));
                }
            }
        }
        model
    }

    fn step(&mut self, now: Time, step: Step) {
        match step {
            Step::Arrive(kind) => self.arrive(now, kind),
            Step::Reach(attempt) => self.reach(now, attempt),
            Step::Served(attempt) => self.served(now, attempt),
            Step::Answer(attempt, end, load) => {
                self.answer(now, attempt, route::Outcome { kind: end, load });
            }
            Step::Wake(hop, target) => {
                self.nodes[hop][target].wake = None;
                self.poll(now, hop, target);
            }
            Step::Timeout(request) => self.timeout(now, request),
            Step::Restart(hop, target) => self.restart(now, hop, target),
        }
    }

    fn plan_arrival(&mut self, now: Time, kind: usize) {
        let at = self.sources[kind].next_after(now);
        if at < self.until {
            self.schedule.push(at, Step::Arrive(kind));
        }
    }

    fn arrive(&mut self, now: Time, kind: usize) {
        let drawn = self.sources[kind].draw();
        let deadline = now + self.sources[kind].kind.deadline;
        let entry = self.rng.random_range(0..ENTRIES);
        self.requests.push(Request {
            kind,
            caller: drawn.caller,
            arrived: now,
            deadline,
            end: None,
            service: drawn.service,
            work: drawn.work,
            hop: 0,
            entry,
            tried: Attempts::default(),
            tries: 0,
        });
        self.call(now, self.requests.len() - 1);
        self.plan_arrival(now, kind);
    }

    /// Sends the first attempt of a request's current hop.
    fn call(&mut self, now: Time, request: usize) {
        let r = &mut self.requests[request];
        r.tries = 0;
        r.tried = Attempts::new(true);
        let (hop, entry) = (r.hop, r.entry);
        self.hops[hop].calls += 1;
        self.entries[hop][entry].request(now);
        self.attempt(now, request);
    }

    /// Sends a request to a target. Returns `false` if none is left for it.
    fn attempt(&mut self, now: Time, request: usize) -> bool {
        let r = &mut self.requests[request];
        let (hop, entry) = (r.hop, r.entry);
        let e = &mut self.entries[hop][entry];
        let Some(target) = e.pick(now, &r.tried, &mut self.rng) else {
            return false;
        };
        r.tries += 1;
        r.tried.add(InstanceId(target as u64));
        self.hops[hop].attempts += 1;
        let kind = &self.sources[r.kind].kind;
        let (ticket, opens) = e.begin(now, target, RouteKey(kind.route));
        let delay = if opens { HOP + CONNECT } else { HOP };
        self.attempts.push(Attempt {
            request,
            hop,
            entry,
            target,
            key: None,
            ticket,
        });
        let id = self.attempts.len() - 1;
        self.schedule.push(now + delay, Step::Reach(id));
        if let Retries::AfterTimeout(most) = self.retries
            && r.tries < most
        {
            self.schedule
                .push(now + kind.deadline, Step::Timeout(request));
        }
        true
    }

    fn reach(&mut self, now: Time, id: usize) {
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
            operation: kind.route * 1_000_000 + r.kind as u64 * 1_000 + r.work,
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
                self.schedule.push(now + HOP, Step::Answer(id, end, load));
            }
        }
        self.poll(now, hop, target);
    }

    fn hand_over(&mut self, now: Time, id: usize) {
        let Attempt { hop, target, .. } = self.attempts[id];
        self.nodes[hop][target].target.push(id);
        self.begin(now, hop, target);
    }

    fn begin(&mut self, now: Time, hop: usize, target: usize) {
        let t = &mut self.nodes[hop][target].target;
        while let Some(id) = t.begin(now) {
            let service = self.requests[self.attempts[id].request].service;
            let at = now + service.mul_f64(t.cfg.slowness);
            self.schedule.push(at, Step::Served(id));
        }
    }

    fn served(&mut self, now: Time, id: usize) {
        let Attempt {
            hop, target, key, ..
        } = self.attempts[id];
        let node = &mut self.nodes[hop][target];
        node.target.end();
        if let (Some(admission), Some(key)) = (&mut node.admission, key) {
            node.by_key.remove(key);
            admission.finish(now, key, Finish { is_complete: true });
        }
        let load = node.admission.as_ref().map(Admission::load);
        self.schedule
            .push(now + HOP, Step::Answer(id, OutcomeKind::Ok, load));
        self.poll(now, hop, target);
        self.begin(now, hop, target);
    }

    fn poll(&mut self, now: Time, hop: usize, target: usize) {
        let node = &mut self.nodes[hop][target];
        let Some(admission) = &mut node.admission else {
            return;
        };
        let events = admission.poll(now);
        if let Some(at) = admission.next_wake() {
            let at = at.max(now + Duration::from_micros(1));
            if node.wake.is_none_or(|t| at < t) {
                node.wake = Some(at);
                self.schedule.push(at, Step::Wake(hop, target));
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
                    let id = node.by_key.remove(key).expect("a refused key is known");
                    let load = node.admission.as_ref().map(Admission::load);
                    let end = OutcomeKind::Refused(refusal.code);
                    self.schedule.push(now + HOP, Step::Answer(id, end, load));
                }
            }
        }
    }

    fn answer(&mut self, now: Time, id: usize, outcome: route::Outcome) {
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
        let last_hop = hop + 1 == self.hops.len();
        let r = &mut self.requests[request];
        if r.end.is_some() || r.hop != hop {
            return;
        }
        let done = outcome.kind == OutcomeKind::Ok;
        if done && !last_hop {
            r.hop += 1;
            r.entry = target;
            return self.call(now, request);
        }
        if !done && self.retry(now, request, outcome) {
            return;
        }
        let r = &mut self.requests[request];
        r.end = Some((now, if done { End::Done } else { End::Refused }));
        r.tried = Attempts::default();
    }

    fn retry(&mut self, now: Time, request: usize, outcome: route::Outcome) -> bool {
        let r = &self.requests[request];
        let (hop, entry, left) = (r.hop, r.entry, r.deadline - now);
        let route = RouteKey(self.sources[r.kind].kind.route);
        let e = &mut self.entries[hop][entry];
        if self.retries != Retries::Budget || !e.may_retry(now, &r.tried, outcome, left, route) {
            return false;
        }
        let sent = self.attempt(now, request);
        if !sent {
            self.entries[hop][entry].refund();
        }
        sent
    }

    fn restart(&mut self, now: Time, hop: usize, target: usize) {
        let node = &mut self.nodes[hop][target];
        if let Some(admission) = &mut node.admission {
            admission.set_limits(now, node.cold);
            admission.restart(now);
        }
    }

    fn timeout(&mut self, now: Time, request: usize) {
        if self.requests[request].end.is_none() && now < self.until {
            self.attempt(now, request);
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
        cold: limits(case, cfg, cfg.cold_start),
        by_key: slotmap::SecondaryMap::new(),
        wake: None,
    }
}

fn limits(case: &Case, cfg: &TargetCfg, cold_start: Duration) -> Limits {
    Limits {
        slots: cfg.declared,
        connections: case.connections,
        queue: case.queue,
        cold_start,
    }
}
