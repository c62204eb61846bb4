//! Entry nodes and targets of the case `straggler` on a virtual clock.

use std::time::Duration;

use hdrhistogram::Histogram;
use rand::rngs::Xoshiro256PlusPlus;
use rand::{RngExt, SeedableRng};
use route::{Outcome, OutcomeKind, Ticket};
use wire::{InstanceId, Load, Time};

use super::MEAN_WORK;
use super::policy::{Entry, Policy, ROUTE, domain};
use super::target::{Report, Slowdown, Started, Target};
use crate::schedule::Schedule;

/// Number of entry nodes.
const ENTRY_COUNT: usize = 6;
/// One-way latency between failure domains.
const HOP_LATENCY: Duration = Duration::from_micros(500);
/// Arrivals before this time warm up the entry nodes and aren't measured.
const MEASURE_FROM: Time = Time::from_millis(3_000);
/// Period of the slowdown, from here to `SLOWDOWN_END`.
const SLOWDOWN_START: Time = Time::from_millis(13_000);
const SLOWDOWN_END: Time = Time::from_millis(18_000);
/// End of the arrivals.
const ARRIVALS_END: Time = Time::from_millis(25_000);

#[derive(Clone, Debug)]
pub(crate) struct Case {
    pub(crate) name: &'static str,
    /// Slots of each target.
    pub(crate) slots: u32,
    /// Factor on the service time of each target.
    pub(crate) slowness: [f64; 4],
    /// Index of the target with the slowdown.
    pub(crate) slowed: usize,
    /// Whether requests may be hedged.
    pub(crate) can_hedge: bool,
    /// Offered load as a share of the capacity of all targets.
    pub(crate) load: f64,
    /// Whether the target after the slowed one always reports that it is idle, or else that it is
    /// full.
    pub(crate) is_false_load_idle: bool,
}

/// Tail latencies in seconds.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TailLatency {
    pub(crate) p99: f64,
    pub(crate) p999: f64,
}

#[derive(Debug)]
pub(crate) struct Measured {
    /// Latencies before the slowdown.
    pub(crate) healthy: TailLatency,
    /// Latencies of requests that arrived during the slowdown.
    pub(crate) slow: TailLatency,
    /// Seconds from the start of the slowdown until the last entry node ejected the target; `None`
    /// if one never did.
    pub(crate) ejected_after: Option<f64>,
    /// Seconds from the end of the slowdown until the last entry node ended its ejection; `None` if
    /// one never did.
    pub(crate) recovered_after: Option<f64>,
    /// Largest share of the targets that an entry node had ejected at once.
    pub(crate) ejected_share: f64,
    /// Hedges per request.
    pub(crate) hedge_share: f64,
    /// Hedges per request that arrived during the slowdown.
    pub(crate) hedge_share_slow: f64,
    /// Share of the requests that got a response.
    pub(crate) answered_share: f64,
    /// Ejections of other targets, or of the slowed one outside the slowdown.
    pub(crate) false_ejections: u64,
}

#[derive(Debug)]
enum Event {
    Arrive { entry: usize },
    Reach { attempt: usize },
    Cancel { attempt: usize },
    Done { attempt: usize },
    Response { attempt: usize, load: Load },
    HedgeDue { request: usize },
}

#[derive(Debug)]
struct Request {
    entry: usize,
    arrived: Time,
    /// Seconds of work on the fastest target.
    work: f64,
    attempts: Vec<usize>,
    has_response: bool,
}

#[derive(Debug)]
struct Attempt {
    request: usize,
    target: usize,
    ticket: Ticket,
    sent_at: Time,
    /// Whether its entry node still waits for the response.
    is_open: bool,
}

/// Ejections by one entry node.
#[derive(Clone, Debug, Default)]
struct Ejections {
    /// Whether each target is ejected.
    ejected: Vec<bool>,
    /// First time after the start of the slowdown at which the slowed target was ejected.
    ejected_at: Option<Time>,
    /// End of the slowed target's last ejection since the start of the slowdown; `None` without one
    /// or while it is ejected.
    recovered_at: Option<Time>,
}

pub(crate) struct Sim {
    case: Case,
    rng: Xoshiro256PlusPlus,
    events: Schedule<Event>,
    entries: Vec<Entry>,
    ejections: Vec<Ejections>,
    targets: Vec<Target>,
    requests: Vec<Request>,
    attempts: Vec<Attempt>,
    /// Mean time between arrivals at one entry node, in seconds.
    mean_interval: f64,
    healthy: Histogram<u64>,
    slow: Histogram<u64>,
    hedges: u64,
    hedges_slow: u64,
    ejected_share: f64,
    false_ejections: u64,
}

impl Sim {
    pub(crate) fn new(case: &Case, policy: Policy, seed: u64) -> Sim {
        let slots = [case.slots; 4];
        let speed: f64 = case.slowness.iter().map(|s| 1.0 / s).sum();
        let capacity = speed * f64::from(case.slots) / MEAN_WORK.as_secs_f64();
        let histogram =
            || Histogram::new_with_max(60_000_000, 3).unwrap_or_else(|_| unreachable!());
        let node_ejections = Ejections {
            ejected: vec![false; slots.len()],
            ..Ejections::default()
        };
        Sim {
            rng: Xoshiro256PlusPlus::seed_from_u64(seed),
            events: Schedule::new(),
            entries: (0..ENTRY_COUNT)
                .map(|i| Entry::new(policy, i, &slots, seed * 100))
                .collect(),
            ejections: vec![node_ejections; ENTRY_COUNT],
            targets: (0..slots.len()).map(|i| target(case, i)).collect(),
            requests: Vec::new(),
            attempts: Vec::new(),
            mean_interval: ENTRY_COUNT as f64 / (capacity * case.load),
            healthy: histogram(),
            slow: histogram(),
            hedges: 0,
            hedges_slow: 0,
            ejected_share: 0.0,
            false_ejections: 0,
            case: Case {
                can_hedge: case.can_hedge && policy == Policy::Route,
                ..case.clone()
            },
        }
    }

    pub(crate) fn run(mut self) -> Measured {
        for entry in 0..ENTRY_COUNT {
            self.schedule_arrival(Time::ZERO, entry);
        }
        while let Some((now, event)) = self.events.pop() {
            let entry = self.handle(now, event);
            if let Some(entry) = entry {
                self.record_ejections(now, entry);
            }
        }
        self.into_measured()
    }

    /// Handles an event. Returns the entry node whose ejections it may have changed.
    fn handle(&mut self, now: Time, event: Event) -> Option<usize> {
        match event {
            Event::Arrive { entry } => {
                self.arrive(now, entry);
                return Some(entry);
            }
            Event::Reach { attempt } => {
                let a = &self.attempts[attempt];
                let work = self.requests[a.request].work;
                let started = self.targets[a.target].enqueue(now, attempt, work);
                self.schedule_done(started);
            }
            Event::Cancel { attempt } => {
                let target = self.attempts[attempt].target;
                if let Some(started) = self.targets[target].remove(now, attempt) {
                    self.schedule_done(started);
                }
            }
            Event::Done { attempt } => self.finish_attempt(now, attempt),
            Event::Response { attempt, load } => return self.handle_response(now, attempt, load),
            Event::HedgeDue { request } => self.send_hedge(now, request),
        }
        None
    }

    fn schedule_arrival(&mut self, now: Time, entry: usize) {
        let wait = Duration::from_secs_f64(self.draw_exponential() * self.mean_interval);
        if now + wait < ARRIVALS_END {
            self.events.push(now + wait, Event::Arrive { entry });
        }
    }

    /// Draws from the exponential distribution with mean 1.
    fn draw_exponential(&mut self) -> f64 {
        -(1.0 - self.rng.random::<f64>()).ln()
    }

    fn arrive(&mut self, now: Time, entry: usize) {
        self.schedule_arrival(now, entry);
        // Half of the mean work is the same for all requests; the other half is exponential.
        let work = MEAN_WORK.as_secs_f64() * (0.5 + 0.5 * self.draw_exponential());
        let request = self.requests.len();
        self.requests.push(Request {
            entry,
            arrived: now,
            work,
            attempts: Vec::new(),
            has_response: false,
        });
        let can_hedge = self.case.can_hedge;
        let node = &mut self.entries[entry];
        node.hedge.record_request(now);
        let Some((target, is_probe)) = node.pick(now, None, can_hedge) else {
            return;
        };
        let delay = node.hedge_delay(target, is_probe);
        self.send(now, request, target);
        if let Some(delay) = delay.filter(|_| can_hedge) {
            self.events.push(now + delay, Event::HedgeDue { request });
        }
    }

    fn send(&mut self, now: Time, request: usize, target: usize) {
        let entry = self.requests[request].entry;
        let attempt = self.attempts.len();
        self.attempts.push(Attempt {
            request,
            target,
            ticket: self.entries[entry].begin(now, target),
            sent_at: now,
            is_open: true,
        });
        self.requests[request].attempts.push(attempt);
        self.events
            .push(now + latency(entry, target), Event::Reach { attempt });
    }

    fn send_hedge(&mut self, now: Time, request: usize) {
        let r = &self.requests[request];
        let tried = self.attempts[r.attempts[0]].target;
        let node = &mut self.entries[r.entry];
        if r.has_response || !node.hedge.try_spend(now) {
            return;
        }
        let Some((target, _)) = node.pick(now, Some(tried), true) else {
            node.hedge.refund();
            return;
        };
        self.hedges += 1;
        self.hedges_slow += u64::from(in_slowdown(self.requests[request].arrived));
        self.send(now, request, target);
    }

    fn schedule_done(&mut self, started: Option<Started>) {
        if let Some((attempt, at)) = started {
            self.events.push(at, Event::Done { attempt });
        }
    }

    fn finish_attempt(&mut self, now: Time, attempt: usize) {
        let a = &self.attempts[attempt];
        let target = &mut self.targets[a.target];
        // The target no longer has a cancelled attempt.
        let Some(started) = target.remove(now, attempt) else {
            return;
        };
        let load = target.report(now);
        let arrives_at = now + latency(self.requests[a.request].entry, a.target);
        self.events
            .push(arrives_at, Event::Response { attempt, load });
        self.schedule_done(started);
    }

    /// Handles a response. Returns its entry node, or `None` if the attempt was cancelled.
    fn handle_response(&mut self, now: Time, attempt: usize, load: Load) -> Option<usize> {
        let request = self.attempts[attempt].request;
        let entry = self.requests[request].entry;
        if !self.attempts[attempt].is_open {
            return None;
        }
        let outcome = Outcome {
            kind: OutcomeKind::Ok,
            load: Some(load),
        };
        self.close_attempt(now, attempt, outcome);
        self.requests[request].has_response = true;
        for other in self.requests[request].attempts.clone() {
            self.cancel_attempt(now, other, attempt);
        }
        self.record_latency(now, request);
        Some(entry)
    }

    fn cancel_attempt(&mut self, now: Time, attempt: usize, winner: usize) {
        if !self.attempts[attempt].is_open {
            return;
        }
        let is_overtaken = self.attempts[attempt].sent_at < self.attempts[winner].sent_at;
        let kind = if is_overtaken {
            OutcomeKind::Overtaken
        } else {
            OutcomeKind::Cancelled
        };
        let (request, target) = (
            self.attempts[attempt].request,
            self.attempts[attempt].target,
        );
        self.close_attempt(now, attempt, kind.into());
        let at = now + latency(self.requests[request].entry, target);
        self.events.push(at, Event::Cancel { attempt });
    }

    fn close_attempt(&mut self, now: Time, attempt: usize, outcome: Outcome) {
        let a = &mut self.attempts[attempt];
        a.is_open = false;
        let r = &self.requests[a.request];
        let node = &mut self.entries[r.entry];
        node.end(now, a.target, a.ticket, outcome);
        if r.attempts[0] == attempt {
            node.hedge.record_latency(ROUTE, now - a.sent_at);
        }
    }

    fn record_latency(&mut self, now: Time, request: usize) {
        let arrived = self.requests[request].arrived;
        let us = (now - arrived).as_micros() as u64;
        if in_slowdown(arrived) {
            self.slow.saturating_record(us);
        } else if arrived >= MEASURE_FROM && arrived < SLOWDOWN_START {
            self.healthy.saturating_record(us);
        }
    }

    fn record_ejections(&mut self, now: Time, entry: usize) {
        let n = self.targets.len();
        let ejected: Vec<InstanceId> = self.entries[entry].picker.ejected().collect();
        self.ejected_share = self.ejected_share.max(ejected.len() as f64 / n as f64);
        for target in 0..n {
            let is_ejected = ejected.contains(&InstanceId(target as u64));
            let was_ejected =
                std::mem::replace(&mut self.ejections[entry].ejected[target], is_ejected);
            if is_ejected != was_ejected {
                self.record_ejection_change(now, entry, target, is_ejected);
            }
            // A target that was ejected already when the slowdown began counts as ejected.
            if is_ejected && target == self.case.slowed && now >= SLOWDOWN_START {
                self.ejections[entry].ejected_at.get_or_insert(now);
            }
        }
    }

    fn record_ejection_change(&mut self, now: Time, entry: usize, target: usize, is_ejected: bool) {
        let is_expected = target == self.case.slowed && in_slowdown(now);
        let node_ejections = &mut self.ejections[entry];
        if is_ejected && !is_expected {
            self.false_ejections += 1;
        }
        if target != self.case.slowed || now < SLOWDOWN_START {
            return;
        }
        if is_ejected {
            node_ejections.recovered_at = None;
        } else {
            node_ejections.recovered_at = Some(now);
        }
    }

    fn into_measured(self) -> Measured {
        let last = |times: Vec<Option<Time>>, from: Time| -> Option<f64> {
            let all: Option<Vec<Time>> = times.into_iter().collect();
            all?.into_iter().max().map(|t| (t - from).as_secs_f64())
        };
        let ejected = self.ejections.iter().map(|w| w.ejected_at).collect();
        let recovered = self.ejections.iter().map(|w| w.recovered_at).collect();
        let slow_requests = self
            .requests
            .iter()
            .filter(|r| in_slowdown(r.arrived))
            .count();
        let answered = self.requests.iter().filter(|r| r.has_response).count();
        Measured {
            answered_share: answered as f64 / self.requests.len() as f64,
            healthy: tail_latency(&self.healthy),
            slow: tail_latency(&self.slow),
            ejected_after: last(ejected, SLOWDOWN_START),
            recovered_after: last(recovered, SLOWDOWN_END),
            ejected_share: self.ejected_share,
            hedge_share: self.hedges as f64 / self.requests.len() as f64,
            hedge_share_slow: self.hedges_slow as f64 / slow_requests as f64,
            false_ejections: self.false_ejections,
        }
    }
}

fn target(case: &Case, index: usize) -> Target {
    let is_slowed = index == case.slowed;
    let slowdown = is_slowed.then_some(Slowdown {
        from: SLOWDOWN_START,
        to: SLOWDOWN_END,
    });
    let report = match (index == (case.slowed + 1) % 4, case.is_false_load_idle) {
        (false, _) => Report::Delayed,
        (true, true) => Report::AlwaysIdle,
        (true, false) => Report::AlwaysFull,
    };
    Target::new(case.slots as usize, case.slowness[index], slowdown, report)
}

/// Returns the one-way latency between an entry node and a target.
fn latency(entry: usize, target: usize) -> Duration {
    if domain(entry) == domain(target) {
        Duration::ZERO
    } else {
        HOP_LATENCY
    }
}

fn in_slowdown(at: Time) -> bool {
    at >= SLOWDOWN_START && at < SLOWDOWN_END
}

fn tail_latency(h: &Histogram<u64>) -> TailLatency {
    TailLatency {
        p99: h.value_at_quantile(0.99) as f64 / 1e6,
        p999: h.value_at_quantile(0.999) as f64 / 1e6,
    }
}
