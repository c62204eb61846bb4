//! The state machine that gives out the target's slots.

use std::collections::BTreeSet;
use std::time::Duration;

use slotmap::SlotMap;
use wire::{Code, Load, Refusal, Time};

use crate::classes::{Classes, Known, NextScan, Run};
use crate::concurrency::Concurrency;
use crate::fair::{FairQueue, Order};
use crate::limits::{Limits, Tuning};
use crate::offer::{Event, Finish, Key, Offer, Verdict};
use crate::reserve::ShortDemand;
use crate::sojourn::Sojourn;

/// A request is refused when less than this many times its usual service time is left before its
/// deadline, since it could start but hardly end in time.
const START_MARGIN: u32 = 2;
/// Places that must be free for each one that a caller's long work holds. With one, a caller alone
/// takes half of the few places that start in time, which leaves too few to seven others.
const LONG_FREE_PER_OWN: usize = 2;
/// How often the limits of classes are computed again while work waits beside a free slot.
const RECHECK: Duration = Duration::from_millis(10);
/// Bounds of `retry_after`.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(10);
const MAX_RETRY_AFTER: Duration = Duration::from_secs(1);
/// A draining target is known to all nodes after this time.
const DRAIN_RETRY_AFTER: Duration = Duration::from_secs(3);

#[derive(Clone, Copy, Debug)]
enum State {
    Queued,
    Running {
        since: Time,
        beside: u32,
    },
    /// The refusal wasn't polled yet. The entry stays so that no new key takes its place.
    Refused,
}

#[derive(Debug)]
struct Request {
    offer: Offer,
    long: bool,
    /// Runs as short work although its class isn't known.
    probe: bool,
    /// Turned out long while it ran.
    overtime: bool,
    cancelled: bool,
    bucket: u64,
    seq: u64,
    arrived: Time,
    start_by: Time,
    cost_us: u64,
    state: State,
}

/// Admission to one target.
#[derive(Debug)]
pub struct Admission {
    limits: Limits,
    tuning: Tuning,
    concurrency: Concurrency,
    classes: Classes,
    demand: ShortDemand,
    sojourn: Sojourn,
    scan: NextScan,
    requests: SlotMap<Key, Request>,
    short: FairQueue,
    long: FairQueue,
    /// Queued requests by the time at which they are refused.
    expiries: BTreeSet<(Time, Key)>,
    running_short: u32,
    running_long: u32,
    probes: u32,
    /// On a target with one slot, short work goes first until then.
    long_rests_until: Time,
    arrivals: u64,
    draining: bool,
    events: Vec<Event>,
    now: Time,
}

impl Admission {
    /// Makes the admission to a target that starts now.
    pub fn new(limits: Limits, now: Time) -> Admission {
        Admission::with_tuning(limits, Tuning::default(), now)
    }

    /// Makes the admission to a target that starts now, with other parameters.
    pub fn with_tuning(limits: Limits, tuning: Tuning, now: Time) -> Admission {
        Admission {
            concurrency: Concurrency::new(&limits, tuning.measured_limit, now),
            classes: Classes::new(),
            demand: ShortDemand::new(tuning.reserve, now),
            sojourn: Sojourn::new(tuning.sojourn_target, tuning.sojourn_interval),
            scan: NextScan::default(),
            requests: SlotMap::with_key(),
            short: FairQueue::default(),
            long: FairQueue::default(),
            expiries: BTreeSet::new(),
            running_short: 0,
            running_long: 0,
            probes: 0,
            long_rests_until: now,
            arrivals: 0,
            draining: false,
            events: Vec::new(),
            limits,
            tuning,
            now,
        }
    }

    /// Takes new limits. Running and queued requests keep their places.
    pub fn set_limits(&mut self, now: Time, limits: Limits) {
        self.advance(now);
        self.limits = limits;
        self.concurrency.set_limits(&limits);
    }

    /// Begins a cold start: the target was started again.
    pub fn restart(&mut self, now: Time) {
        self.advance(now);
        self.concurrency.restart(now);
    }

    /// Decides on a request.
    pub fn offer(&mut self, now: Time, offer: &Offer) -> Verdict {
        self.advance(now);
        if self.draining {
            return Verdict::Refuse(refusal(Code::Draining, DRAIN_RETRY_AFTER));
        }
        let (long, probe) = self.classify(offer);
        if !long {
            self.demand.seen(now);
        }
        if now >= offer.deadline {
            return Verdict::Refuse(self.refuse_waiting(Code::CannotStartInTime, long));
        }
        let bucket = self.queue(long).bucket(offer.caller);
        let request = self.request(offer, long, probe, bucket);
        let (queue, other) = if long {
            (&self.long, &self.short)
        } else {
            (&self.short, &self.long)
        };
        let first = queue.is_empty() && (other.is_empty() || !self.may_start(!long));
        if first && self.may_start(long) {
            let cost_us = request.cost_us;
            self.queue(long).charge(bucket, cost_us);
            let key = self.insert(request);
            self.start(key);
            return Verdict::Run(key);
        }
        match self.check_queue(&request) {
            Ok(()) => Verdict::Queue(self.enqueue(request)),
            Err(code) => Verdict::Refuse(self.refuse_waiting(code, long)),
        }
    }

    /// Ends a running request and frees its slot. Unknown keys are ignored.
    pub fn finish(&mut self, now: Time, key: Key, finish: Finish) {
        self.advance(now);
        let Some(State::Running { since, beside }) = self.requests.get(key).map(|r| r.state) else {
            return;
        };
        let Some(request) = self.requests.remove(key) else {
            return;
        };
        let service = now - since;
        // Others may have begun since the run began.
        let beside = beside.max(self.running() - 1);
        self.running_short -= u32::from(!request.long);
        self.running_long -= u32::from(request.long);
        self.probes -= u32::from(request.probe);
        if request.long {
            self.long_rests_until = now + service;
        }
        if finish.ok && !request.cancelled {
            self.learn(now, &request, service, beside);
        }
    }

    /// Gives up a request. A queued one is removed and gets no event. A running one keeps its slot
    /// until [`Admission::finish`], because the target may go on with it.
    pub fn cancel(&mut self, now: Time, key: Key) {
        self.advance(now);
        let Some(request) = self.requests.get_mut(key) else {
            return;
        };
        match request.state {
            State::Running { .. } => {
                request.cancelled = true;
                return;
            }
            State::Queued => self.dequeue(key),
            State::Refused => self.events.retain(|e| !is_refusal_of(e, key)),
        }
        self.requests.remove(key);
    }

    /// Returns the decisions on queued requests since the last call.
    pub fn poll(&mut self, now: Time) -> Vec<Event> {
        self.advance(now);
        self.dispatch();
        for event in &self.events {
            if let Event::Refuse(key, _) = event {
                self.requests.remove(*key);
            }
        }
        std::mem::take(&mut self.events)
    }

    /// Returns when [`Admission::poll`] must be called even if nothing else happens.
    pub fn next_wake(&self) -> Option<Time> {
        if !self.events.is_empty() {
            return Some(self.now);
        }
        let mut wake = self.expiries.first()?.0;
        if let Some(t) = self.overload_expiry() {
            wake = wake.min(t);
        }
        let limit = self.concurrency.limit(self.now);
        if self.running() < limit || self.concurrency.is_cold(self.now) {
            wake = wake.min(self.now + RECHECK);
        }
        Some(wake)
    }

    /// Returns the counts of running and waiting requests.
    pub fn load(&self) -> Load {
        let count = |n: usize| u32::try_from(n).unwrap_or(u32::MAX);
        Load {
            in_flight: self.running(),
            queued: count(self.short.len() + self.long.len()),
            slots: self.concurrency.limit(self.now),
        }
    }

    /// Returns how many slots long work may hold now.
    pub fn long_limit(&self, now: Time) -> u32 {
        self.demand.long_limit(now, self.concurrency.limit(now))
    }

    /// Refuses all queued and all new requests. Running ones go on.
    pub fn drain(&mut self, now: Time) {
        self.advance(now);
        self.draining = true;
        while let Some(key) = self.short.oldest().or_else(|| self.long.oldest()) {
            self.refuse(key, refusal(Code::Draining, DRAIN_RETRY_AFTER));
        }
    }

    /// Accepts requests again.
    pub fn resume(&mut self, now: Time) {
        self.advance(now);
        self.draining = false;
    }

    /// Returns whether nothing runs or waits.
    pub fn is_idle(&self) -> bool {
        self.requests.is_empty()
    }

    fn running(&self) -> u32 {
        self.running_short + self.running_long
    }

    fn queue(&mut self, long: bool) -> &mut FairQueue {
        if long {
            &mut self.long
        } else {
            &mut self.short
        }
    }

    fn queue_len(&self, long: bool) -> usize {
        if long {
            self.long.len()
        } else {
            self.short.len()
        }
    }

    /// Returns whether the request counts as long, and whether it is a probe.
    fn classify(&self, offer: &Offer) -> (bool, bool) {
        match self.classes.class(offer) {
            Known::Short => (false, false),
            Known::Long => (true, false),
            Known::No { probes } if self.probes < probes => (false, true),
            Known::No { .. } => (true, false),
        }
    }

    fn request(&self, offer: &Offer, long: bool, probe: bool, bucket: u64) -> Request {
        let typical = self.classes.typical(long);
        let left = offer.deadline - self.now;
        // Half of the time is left for a run of unknown length.
        let margin = if self.classes.is_known(long) {
            (typical * START_MARGIN).min(left / 2)
        } else {
            left / 2
        };
        Request {
            offer: *offer,
            long,
            probe,
            overtime: false,
            cancelled: false,
            bucket,
            seq: self.arrivals,
            arrived: self.now,
            start_by: self.now + (left - margin),
            cost_us: u64::try_from(typical.as_micros()).unwrap_or(1).max(1),
            state: State::Queued,
        }
    }

    fn insert(&mut self, request: Request) -> Key {
        self.arrivals += 1;
        self.probes += u32::from(request.probe);
        self.requests.insert(request)
    }

    fn enqueue(&mut self, request: Request) -> Key {
        let (long, bucket, seq) = (request.long, request.bucket, request.seq);
        let (start_by, cost_us) = (request.start_by, request.cost_us);
        let key = self.insert(request);
        self.queue(long).push(bucket, seq, key, cost_us);
        self.expiries.insert((start_by, key));
        key
    }

    /// Removes a queued request from all indexes but the map of requests.
    fn dequeue(&mut self, key: Key) {
        let Some(r) = self.requests.get_mut(key) else {
            return;
        };
        self.probes -= u32::from(std::mem::take(&mut r.probe));
        self.expiries.remove(&(r.start_by, key));
        let (long, bucket, seq) = (r.long, r.bucket, r.seq);
        self.queue(long).remove(bucket, seq);
    }

    /// Decides whether a request may wait; may refuse an older one of the same caller for it.
    fn check_queue(&mut self, request: &Request) -> Result<(), Code> {
        let bounded_wait = !request.long && self.newest_first();
        let places = self.free_places(request.long);
        let in_time = if bounded_wait {
            usize::MAX
        } else {
            self.places_in_time(request)
        };
        let queue = if request.long {
            &self.long
        } else {
            &self.short
        };
        let (own, oldest) = queue.of_caller(request.bucket);
        // A caller's part of the queue depends on what is free, so a further caller always finds
        // some place.
        let per_own = if request.long { LONG_FREE_PER_OWN } else { 1 };
        if own * per_own < places.min(in_time) {
            return Ok(());
        }
        let code = if in_time == 0 {
            Code::CannotStartInTime
        } else if places == 0 {
            Code::QueueFull
        } else {
            Code::OverFairShare
        };
        let Some(oldest) = oldest.filter(|_| bounded_wait) else {
            return Err(code);
        };
        let refusal = self.refuse_waiting(code, false);
        self.refuse(oldest, refusal);
        Ok(())
    }

    /// Returns how many more requests of a class may wait.
    fn free_places(&self, long: bool) -> usize {
        let all = self.limits.queue as usize;
        // Neither class may fill the queue. Short work that did so starved long work, which then
        // had no place to wait for its slots.
        let most = if long {
            all.div_ceil(2)
        } else {
            (all * 3).div_ceil(4)
        };
        let free = all.saturating_sub(self.short.len() + self.long.len());
        free.min(most.saturating_sub(self.queue_len(long)))
    }

    /// Returns how many more requests with this one's deadline would start in time.
    fn places_in_time(&self, request: &Request) -> usize {
        let slots = self.class_slots(request.long);
        if !self.classes.is_known(request.long) {
            // A node that has just started knows no length. The queue's own bound and the deadline
            // hold; guessing a length refused a burst that would have been served in time.
            return usize::MAX;
        }
        let left = (request.start_by - self.now).as_secs_f64();
        let typical = self.classes.typical(request.long).as_secs_f64();
        let starts = (left / typical.max(1e-6) * f64::from(slots)) as usize;
        starts.saturating_sub(self.queue_len(request.long))
    }

    /// Returns how many slots a class can use.
    fn class_slots(&self, long: bool) -> u32 {
        let limit = self.concurrency.limit(self.now);
        let slots = if long {
            self.demand.long_limit(self.now, limit)
        } else {
            limit.saturating_sub(self.running_long)
        };
        slots.max(1)
    }

    fn newest_first(&self) -> bool {
        self.tuning.newest_first && self.sojourn.is_overloaded()
    }

    /// Makes a refusal that asks the caller to wait until the queue has been served.
    fn refuse_waiting(&self, code: Code, long: bool) -> Refusal {
        let waiting = self.queue_len(long) + 1;
        let rounds = waiting as f64 / f64::from(self.class_slots(long));
        let wait = self.classes.typical(long).mul_f64(rounds);
        refusal(code, wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER))
    }

    fn refuse(&mut self, key: Key, refusal: Refusal) {
        self.dequeue(key);
        if let Some(r) = self.requests.get_mut(key) {
            r.state = State::Refused;
        }
        self.events.push(Event::Refuse(key, refusal));
    }

    fn may_start(&self, long: bool) -> bool {
        let limit = self.concurrency.limit(self.now);
        if self.draining || self.running() >= limit {
            return false;
        }
        if !long {
            return true;
        }
        // With one slot for both classes, short work gets as much of its time as long work.
        let rests = limit == 1 && !self.short.is_empty() && self.now < self.long_rests_until;
        !rests && self.running_long < self.demand.long_limit(self.now, limit)
    }

    fn start(&mut self, key: Key) {
        let beside = self.running();
        let Some(r) = self.requests.get_mut(key) else {
            return;
        };
        r.state = State::Running {
            since: self.now,
            beside,
        };
        self.running_short += u32::from(!r.long);
        self.running_long += u32::from(r.long);
    }

    /// Starts queued requests while slots are free.
    fn dispatch(&mut self) {
        loop {
            // Long work goes first within its limit; short work has all other slots.
            let long = !self.long.is_empty() && self.may_start(true);
            if !long && (self.short.is_empty() || !self.may_start(false)) {
                break;
            }
            let order = if !long && self.newest_first() {
                Order::NewestFirst
            } else {
                Order::OldestFirst
            };
            let queue = if long {
                &mut self.long
            } else {
                &mut self.short
            };
            let requests = &self.requests;
            let cost = |k| requests.get(k).map_or(1, |r| r.cost_us);
            let Some(key) = queue.pop(order, cost) else {
                break;
            };
            if let Some(r) = self.requests.get(key) {
                self.expiries.remove(&(r.start_by, key));
            }
            self.start(key);
            self.events.push(Event::Start(key));
        }
        self.observe_sojourn();
    }

    /// Brings time-dependent state up to date.
    fn advance(&mut self, now: Time) {
        // A clock that steps back must not make a wait or a service time negative.
        self.now = now.max(self.now);
        let waiting = self.short.len().min(self.limits.slots as usize) as f64;
        let present = f64::from(self.running_short) + waiting;
        self.demand.update(self.now, present);
        self.observe_sojourn();
        self.scan_overtime();
        self.expire();
    }

    fn observe_sojourn(&mut self) {
        let oldest = self.short.oldest().and_then(|k| self.requests.get(k));
        self.sojourn.observe(self.now, oldest.map(|r| r.arrived));
    }

    /// Returns when the oldest short request is refused because of overload.
    fn overload_expiry(&self) -> Option<Time> {
        if !self.newest_first() {
            return None;
        }
        let oldest = self.requests.get(self.short.oldest()?)?;
        Some(oldest.arrived + self.tuning.overload_wait)
    }

    fn expire(&mut self) {
        while let Some(&(start_by, key)) = self.expiries.first() {
            if start_by > self.now {
                break;
            }
            let long = self.requests.get(key).is_some_and(|r| r.long);
            let refusal = self.refuse_waiting(Code::CannotStartInTime, long);
            self.refuse(key, refusal);
        }
        while self.overload_expiry().is_some_and(|t| t <= self.now) {
            let Some(key) = self.short.oldest() else {
                break;
            };
            let refusal = self.refuse_waiting(Code::QueueFull, false);
            self.refuse(key, refusal);
        }
    }

    /// Counts short requests that have run too long as long work.
    fn scan_overtime(&mut self) {
        let Some(long_over) = self.classes.long_over() else {
            return;
        };
        if self.running_short == 0 || !self.scan.is_due(self.now, long_over) {
            return;
        }
        for r in self.requests.values_mut() {
            let State::Running { since, .. } = r.state else {
                continue;
            };
            let ran = self.now - since;
            if r.long || ran <= long_over {
                continue;
            }
            r.long = true;
            r.overtime = true;
            self.running_short -= 1;
            self.running_long += 1;
            self.classes.overtime(&r.offer, ran, r.probe);
            self.probes -= u32::from(std::mem::take(&mut r.probe));
        }
    }

    fn learn(&mut self, now: Time, request: &Request, service: Duration, beside: u32) {
        let run = Run {
            service,
            low: self.concurrency.is_low(beside + 1),
            probe: request.probe,
            learned: request.overtime,
        };
        if let Some(ratio) = self.classes.finished(&request.offer, &run) {
            self.concurrency.sample(now, ratio, beside + 1);
        }
    }
}

fn refusal(code: Code, retry_after: Duration) -> Refusal {
    Refusal {
        code,
        retry_after: Some(retry_after),
    }
}

fn is_refusal_of(event: &Event, key: Key) -> bool {
    matches!(event, Event::Refuse(k, _) if *k == key)
}
