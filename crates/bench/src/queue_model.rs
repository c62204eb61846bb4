//! The model of the queueing cases: entry nodes, hops, and a node beside each target.
//!
//! A request enters at one of several entry nodes, goes to a target of the first service, and from
//! there on to a target of each further service. A hop's slot is held for the hop's own work. Load
//! reports aren't modelled as an input: neither admission nor the choice of a target reads them,
//! so late and wrong reports change nothing.

use std::time::Duration;

use admit::{Admission, Event, Finish, Key, Limits, Offer, Tuning, Verdict};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use wire::Time;

use crate::queue_load::{Kind, Source};
use crate::queue_pick::{Pick, pick};
use crate::queue_target::{Target, TargetCfg};
use crate::schedule::Schedule;

/// One-way latency between failure domains.
const HOP: Duration = Duration::from_micros(500);
/// Time to open a connection.
const CONNECT: Duration = Duration::from_millis(1);
/// Nodes through which requests enter.
const ENTRIES: usize = 4;
/// An entry doesn't count its requests in flight beyond this age, eight times the mean of a lookup
/// on a middling target. Requests that wait or run this long are long work, which says nothing
/// about the wait of short work.
const COUNTED_AGE: Duration = Duration::from_millis(32);
/// Instances that a request is sent to at most.
const MAX_ATTEMPTS: u32 = 3;
/// Retries per first attempt.
const RETRY_BUDGET: f64 = 0.1;
/// Retries that an idle node saves up.
const RETRY_BURST: f64 = 10.0;
/// A refusal that took longer than this isn't followed by a retry, so that the second refusal
/// still reaches the caller in time.
const RETRY_WITHIN: Duration = Duration::from_millis(4);

/// What decides at the target and at the entry.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Policy {
    /// Admission, two random choices, retries within a budget.
    Admit(Tuning),
    /// No limit before the target's queue, two random choices, no retries: the best that targets
    /// do without admission when they aren't overloaded.
    Open,
    /// No limit before the target's queue, round robin, a retry after each timeout.
    Plain,
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
    Answer(usize, End),
    Wake(usize, usize),
    /// The caller of a plain entry gives up an attempt.
    Timeout(usize),
    /// An attempt has been in flight for [`COUNTED_AGE`].
    Aged(usize),
    /// A target was restarted and is cold.
    Restart(usize, usize),
}

#[derive(Clone, Copy, Debug)]
struct Attempt {
    request: usize,
    hop: usize,
    entry: usize,
    target: usize,
    key: Option<Key>,
    /// Whether the entry counts it for its choices.
    counted: bool,
}

#[derive(Debug)]
struct Node {
    target: Target,
    admission: Option<Admission>,
    /// Limits after a restart.
    cold: Limits,
    /// Queued and running attempts by key.
    by_key: slotmap::SecondaryMap<Key, usize>,
    wake: Option<Time>,
}

/// A node that sends requests to the targets of one hop.
#[derive(Clone, Debug)]
struct Entry {
    /// Requests that hold a connection.
    in_flight: Vec<u32>,
    /// Those of them that count for the choice of a target.
    counted: Vec<u32>,
    connections: Vec<u32>,
    turn: usize,
    retries: f64,
}

#[derive(Debug)]
struct Model {
    plain: bool,
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
        let mut entries = Vec::new();
        for hop in &case.hops {
            entries.push(vec![Entry::new(hop.len()); above]);
            above = hop.len();
        }
        let source = |(i, k): (usize, &Kind)| {
            Source::new(
                k.clone(),
                case.seed.wrapping_mul(1_000).wrapping_add(i as u64),
            )
        };
        let mut model = Model {
            plain: matches!(case.policy, Policy::Plain),
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
            Step::Answer(attempt, end) => self.answer(now, attempt, end),
            Step::Wake(hop, target) => {
                self.nodes[hop][target].wake = None;
                self.poll(now, hop, target);
            }
            Step::Timeout(request) => self.timeout(now, request),
            Step::Aged(attempt) => self.uncount(attempt),
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
            tries: 0,
        });
        self.call(now, self.requests.len() - 1);
        self.plan_arrival(now, kind);
    }

    /// Sends the first attempt of a request's current hop.
    fn call(&mut self, now: Time, request: usize) {
        let r = &mut self.requests[request];
        r.tries = 0;
        let (hop, entry) = (r.hop, r.entry);
        self.hops[hop].calls += 1;
        let e = &mut self.entries[hop][entry];
        e.retries = (e.retries + RETRY_BUDGET).min(RETRY_BURST);
        self.attempt(now, request, None);
    }

    fn attempt(&mut self, now: Time, request: usize, avoid: Option<usize>) {
        let r = &mut self.requests[request];
        r.tries += 1;
        let (hop, entry) = (r.hop, r.entry);
        self.hops[hop].attempts += 1;
        let how = if self.plain {
            Pick::RoundRobin
        } else {
            Pick::TwoChoices
        };
        let e = &mut self.entries[hop][entry];
        let target = pick(how, &e.counted, avoid, &mut e.turn, &mut self.rng);
        e.in_flight[target] += 1;
        e.counted[target] += 1;
        let mut delay = HOP;
        if e.in_flight[target] > e.connections[target] {
            e.connections[target] += 1;
            delay += CONNECT;
        }
        self.attempts.push(Attempt {
            request,
            hop,
            entry,
            target,
            key: None,
            counted: true,
        });
        let id = self.attempts.len() - 1;
        self.schedule.push(now + COUNTED_AGE, Step::Aged(id));
        self.schedule.push(now + delay, Step::Reach(id));
        if self.plain {
            let timeout = self.sources[self.requests[request].kind].kind.deadline;
            self.schedule.push(now + timeout, Step::Timeout(request));
        }
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
            work: kind.route * 1_000_000 + r.kind as u64 * 1_000 + r.work,
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
            Verdict::Refuse(_) => self
                .schedule
                .push(now + HOP, Step::Answer(id, End::Refused)),
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
            admission.finish(now, key, Finish { ok: true });
        }
        self.schedule.push(now + HOP, Step::Answer(id, End::Done));
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
                Event::Refuse(key, _) => {
                    let id = node.by_key.remove(key).expect("a refused key is known");
                    self.schedule
                        .push(now + HOP, Step::Answer(id, End::Refused));
                }
            }
        }
    }

    fn uncount(&mut self, id: usize) {
        let a = &mut self.attempts[id];
        if std::mem::take(&mut a.counted) {
            self.entries[a.hop][a.entry].counted[a.target] -= 1;
        }
    }

    fn answer(&mut self, now: Time, id: usize, end: End) {
        self.uncount(id);
        let Attempt {
            hop,
            entry,
            target,
            request,
            ..
        } = self.attempts[id];
        let e = &mut self.entries[hop][entry];
        e.in_flight[target] -= 1;
        let last_hop = hop + 1 == self.hops.len();
        let r = &mut self.requests[request];
        if r.end.is_some() || r.hop != hop {
            return;
        }
        if end == End::Done && !last_hop {
            r.hop += 1;
            r.entry = target;
            return self.call(now, request);
        }
        let retry = end == End::Refused
            && r.tries < MAX_ATTEMPTS
            && now - r.arrived < RETRY_WITHIN + HOP * 10 * hop as u32
            && e.retries >= 1.0;
        if retry {
            e.retries -= 1.0;
            return self.attempt(now, request, Some(target));
        }
        r.end = Some((now, end));
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
            self.attempt(now, request, None);
        }
    }
}

impl Entry {
    fn new(targets: usize) -> Entry {
        Entry {
            in_flight: vec![0; targets],
            counted: vec![0; targets],
            connections: vec![0; targets],
            turn: 0,
            retries: 0.0,
        }
    }
}

fn node(case: &Case, cfg: &TargetCfg) -> Node {
    let warm = limits(case, cfg, Duration::ZERO);
    let admission = match case.policy {
        Policy::Admit(tuning) => Some(Admission::with_tuning(warm, tuning, Time::ZERO)),
        Policy::Open | Policy::Plain => None,
    };
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
