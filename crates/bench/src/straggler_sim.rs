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

const ENTRIES: usize = 6;
/// One-way latency between failure domains.
const HOP: Duration = Duration::from_micros(500);
const MEASURE_FROM: Time = Time::from_millis(3_000);
const SLOW_FROM: Time = Time::from_millis(13_000);
const SLOW_TO: Time = Time::from_millis(18_000);
const END: Time = Time::from_millis(25_000);

#[derive(Clone, Debug)]
pub(crate) struct Case {
    pub(crate) name: &'static str,
    pub(crate) slots: u32,
    /// Factor on the service time of each target.
    pub(crate) slowness: [f64; 4],
    /// Index of the target that is slowed tenfold.
    pub(crate) slowed: usize,
    pub(crate) hedging: bool,
    /// Offered load as a share of the capacity of all targets.
    pub(crate) load: f64,
    /// Whether the false load report shows an idle target, or else a full one.
    pub(crate) false_load_is_idle: bool,
}

/// Latencies in seconds.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Tail {
    pub(crate) p99: f64,
    pub(crate) p999: f64,
}

#[derive(Debug)]
pub(crate) struct Measured {
    pub(crate) healthy: Tail,
    pub(crate) slow: Tail,
    /// Seconds until the last entry node ejected the slowed target.
    pub(crate) ejected_after: Option<f64>,
    /// Seconds until the last entry node used it again.
    pub(crate) back_after: Option<f64>,
    pub(crate) ejected_share: f64,
    pub(crate) hedge_share: f64,
    pub(crate) hedge_share_slow: f64,
    /// Share of the requests that were answered.
    pub(crate) answered: f64,
    /// Ejections of other targets, or of this one outside the slowdown.
    pub(crate) false_ejections: u64,
}

#[derive(Debug)]
enum Event {
    Arrive { entry: usize },
    Reach { attempt: usize },
    Cancel { attempt: usize },
    Done { attempt: usize },
    Answer { attempt: usize, load: Load },
    HedgeDue { request: usize },
}

#[derive(Debug)]
struct Request {
    entry: usize,
    at: Time,
    work: f64,
    attempts: Vec<usize>,
    answered: bool,
}

#[derive(Debug)]
struct Attempt {
    request: usize,
    target: usize,
    ticket: Ticket,
    begun: Time,
    open: bool,
}

/// What one entry node saw of the targets' ejections.
#[derive(Clone, Debug, Default)]
struct Watch {
    out: Vec<bool>,
    ejected_at: Option<Time>,
    back_at: Option<Time>,
}

pub(crate) struct Sim {
    case: Case,
    rng: Xoshiro256PlusPlus,
    events: Schedule<Event>,
    entries: Vec<Entry>,
    watches: Vec<Watch>,
    targets: Vec<Target>,
    requests: Vec<Request>,
    attempts: Vec<Attempt>,
    /// Mean time between arrivals at one entry node, in seconds.
    gap: f64,
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
        let watch = Watch {
            out: vec![false; slots.len()],
            ..Watch::default()
        };
        Sim {
            rng: Xoshiro256PlusPlus::seed_from_u64(seed),
            events: Schedule::new(),
            entries: (0..ENTRIES)
                .map(|i| Entry::new(policy, i, &slots, seed * 100))
                .collect(),
            watches: vec![watch; ENTRIES],
            targets: (0..slots.len()).map(|i| target(case, i)).collect(),
            requests: Vec::new(),
            attempts: Vec::new(),
            gap: ENTRIES as f64 / (capacity * case.load),
            healthy: histogram(),
            slow: histogram(),
            hedges: 0,
            hedges_slow: 0,
            ejected_share: 0.0,
            false_ejections: 0,
            case: Case {
                hedging: case.hedging && policy == Policy::Route,
                ..case.clone()
            },
        }
    }

    pub(crate) fn run(mut self) -> Measured {
        for entry in 0..ENTRIES {
            self.schedule_arrival(Time::ZERO, entry);
        }
        while let Some((now, event)) = self.events.pop() {
            let entry = self.handle(now, event);
            if let Some(entry) = entry {
                self.watch(now, entry);
            }
        }
        self.measured()
    }

    /// Handles an event. Returns the entry node at which it happened.
    fn handle(&mut self, now: Time, event: Event) -> Option<usize> {
        match event {
            Event::Arrive { entry } => {
                self.arrive(now, entry);
                return Some(entry);
            }
            Event::Reach { attempt } => {
                let a = &self.attempts[attempt];
                let work = self.requests[a.request].work;
                let started = self.targets[a.target].take(now, attempt, work);
                self.schedule_done(started);
            }
            Event::Cancel { attempt } => {
                let target = self.attempts[attempt].target;
                if let Some(started) = self.targets[target].remove(now, attempt) {
                    self.schedule_done(started);
                }
            }
            Event::Done { attempt } => self.done(now, attempt),
            Event::Answer { attempt, load } => return self.answer(now, attempt, load),
            Event::HedgeDue { request } => self.hedge(now, request),
        }
        None
    }

    fn schedule_arrival(&mut self, now: Time, entry: usize) {
        let wait = Duration::from_secs_f64(self.exponential() * self.gap);
        if now + wait < END {
            self.events.push(now + wait, Event::Arrive { entry });
        }
    }

    fn exponential(&mut self) -> f64 {
        -(1.0 - self.rng.random::<f64>()).ln()
    }

    fn arrive(&mut self, now: Time, entry: usize) {
        self.schedule_arrival(now, entry);
        // Half of the work is the same for all requests, the other half varies.
        let work = MEAN_WORK.as_secs_f64() * (0.5 + 0.5 * self.exponential());
        let request = self.requests.len();
        self.requests.push(Request {
            entry,
            at: now,
            work,
            attempts: Vec::new(),
            answered: false,
        });
        let hedging = self.case.hedging;
        let node = &mut self.entries[entry];
        node.hedge.record_request(now);
        let Some((target, is_probe)) = node.pick(now, None, hedging) else {
            return;
        };
        let delay = node.hedge_delay(target, is_probe);
        self.send(now, request, target);
        if let Some(delay) = delay.filter(|_| hedging) {
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
            begun: now,
            open: true,
        });
        self.requests[request].attempts.push(attempt);
        self.events
            .push(now + hop(entry, target), Event::Reach { attempt });
    }

    fn hedge(&mut self, now: Time, request: usize) {
        let r = &self.requests[request];
        let tried = self.attempts[r.attempts[0]].target;
        let node = &mut self.entries[r.entry];
        if r.answered || !node.hedge.try_spend(now) {
            return;
        }
        let Some((target, _)) = node.pick(now, Some(tried), true) else {
            node.hedge.refund();
            return;
        };
        self.hedges += 1;
        self.hedges_slow += u64::from(in_slowdown(self.requests[request].at));
        self.send(now, request, target);
    }

    fn schedule_done(&mut self, started: Option<Started>) {
        if let Some((attempt, at)) = started {
            self.events.push(at, Event::Done { attempt });
        }
    }

    fn done(&mut self, now: Time, attempt: usize) {
        let a = &self.attempts[attempt];
        let target = &mut self.targets[a.target];
        // A cancelled attempt has left the target already.
        let Some(started) = target.remove(now, attempt) else {
            return;
        };
        let load = target.report(now);
        let back = now + hop(self.requests[a.request].entry, a.target);
        self.events.push(back, Event::Answer { attempt, load });
        self.schedule_done(started);
    }

    fn answer(&mut self, now: Time, attempt: usize, load: Load) -> Option<usize> {
        let request = self.attempts[attempt].request;
        let entry = self.requests[request].entry;
        if !self.attempts[attempt].open {
            return None;
        }
        let outcome = Outcome {
            kind: OutcomeKind::Ok,
            load: Some(load),
        };
        self.close(now, attempt, outcome);
        self.requests[request].answered = true;
        for other in self.requests[request].attempts.clone() {
            self.cancel(now, other, attempt);
        }
        self.record(now, request);
        Some(entry)
    }

    fn cancel(&mut self, now: Time, attempt: usize, winner: usize) {
        if !self.attempts[attempt].open {
            return;
        }
        let overtaken = self.attempts[attempt].begun < self.attempts[winner].begun;
        let kind = if overtaken {
            OutcomeKind::Overtaken
        } else {
            OutcomeKind::Cancelled
        };
        let (request, target) = (
            self.attempts[attempt].request,
            self.attempts[attempt].target,
        );
        self.close(now, attempt, kind.into());
        let at = now + hop(self.requests[request].entry, target);
        self.events.push(at, Event::Cancel { attempt });
    }

    fn close(&mut self, now: Time, attempt: usize, outcome: Outcome) {
        let a = &mut self.attempts[attempt];
        a.open = false;
        let r = &self.requests[a.request];
        let node = &mut self.entries[r.entry];
        node.end(now, a.target, a.ticket, outcome);
        if r.attempts[0] == attempt {
            node.hedge.record_latency(ROUTE, now - a.begun);
        }
    }

    fn record(&mut self, now: Time, request: usize) {
        let at = self.requests[request].at;
        let us = (now - at).as_micros() as u64;
        if in_slowdown(at) {
            self.slow.saturating_record(us);
        } else if at >= MEASURE_FROM && at < SLOW_FROM {
            self.healthy.saturating_record(us);
        }
    }

    fn watch(&mut self, now: Time, entry: usize) {
        let n = self.targets.len();
        let out: Vec<InstanceId> = self.entries[entry].picker.ejected().collect();
        self.ejected_share = self.ejected_share.max(out.len() as f64 / n as f64);
        for target in 0..n {
            let is_out = out.contains(&InstanceId(target as u64));
            let was_out = std::mem::replace(&mut self.watches[entry].out[target], is_out);
            if is_out != was_out {
                self.changed(now, entry, target, is_out);
            }
            // A target that happened to be out already when the slowdown began counts as ejected.
            if is_out && target == self.case.slowed && now >= SLOW_FROM {
                self.watches[entry].ejected_at.get_or_insert(now);
            }
        }
    }

    fn changed(&mut self, now: Time, entry: usize, target: usize, is_out: bool) {
        let expected = target == self.case.slowed && in_slowdown(now);
        let watch = &mut self.watches[entry];
        if is_out && !expected {
            self.false_ejections += 1;
        }
        if target != self.case.slowed || now < SLOW_FROM {
            return;
        }
        if is_out {
            watch.back_at = None;
        } else {
            watch.back_at = Some(now);
        }
    }

    fn measured(self) -> Measured {
        let last = |times: Vec<Option<Time>>, from: Time| -> Option<f64> {
            let all: Option<Vec<Time>> = times.into_iter().collect();
            all?.into_iter().max().map(|t| (t - from).as_secs_f64())
        };
        let ejected = self.watches.iter().map(|w| w.ejected_at).collect();
        let back = self.watches.iter().map(|w| w.back_at).collect();
        let slow_requests = self.requests.iter().filter(|r| in_slowdown(r.at)).count();
        let answered = self.requests.iter().filter(|r| r.answered).count();
        Measured {
            answered: answered as f64 / self.requests.len() as f64,
            healthy: tail(&self.healthy),
            slow: tail(&self.slow),
            ejected_after: last(ejected, SLOW_FROM),
            back_after: last(back, SLOW_TO),
            ejected_share: self.ejected_share,
            hedge_share: self.hedges as f64 / self.requests.len() as f64,
            hedge_share_slow: self.hedges_slow as f64 / slow_requests as f64,
            false_ejections: self.false_ejections,
        }
    }
}

fn target(case: &Case, index: usize) -> Target {
    let slowed = index == case.slowed;
    let slowdown = slowed.then_some(Slowdown {
        from: SLOW_FROM,
        to: SLOW_TO,
    });
    let report = match (index == (case.slowed + 1) % 4, case.false_load_is_idle) {
        (false, _) => Report::Late,
        (true, true) => Report::AlwaysIdle,
        (true, false) => Report::AlwaysFull,
    };
    Target::new(case.slots as usize, case.slowness[index], slowdown, report)
}

fn hop(entry: usize, target: usize) -> Duration {
    if domain(entry) == domain(target) {
        Duration::ZERO
    } else {
        HOP
    }
}

fn in_slowdown(at: Time) -> bool {
    at >= SLOW_FROM && at < SLOW_TO
}

fn tail(h: &Histogram<u64>) -> Tail {
    Tail {
        p99: h.value_at_quantile(0.99) as f64 / 1e6,
        p999: h.value_at_quantile(0.999) as f64 / 1e6,
    }
}
