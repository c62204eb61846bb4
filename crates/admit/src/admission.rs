//! The state machine that assigns the target's slots to requests.

use std::collections::BTreeSet;
use std::time::Duration;

use slotmap::SlotMap;
use wire::{Code, Load, Refusal, Time};

use crate::classes::{Classes, CompletedRun, Likely, ScanTimer};
use crate::concurrency::ConcurrencyLimit;
use crate::fair::{FairQueue, Order};
use crate::limits::{Limits, Tuning};
use crate::offer::{Event, Finish, Offer, RequestKey, Verdict};
use crate::reserve::ShortDemand;
use crate::sojourn::OverloadDetector;

/// Number of mean service times that must remain before the deadline when a request starts, but at
/// most half of the time from arrival to deadline. The request would hardly finish in time
/// otherwise.
const START_MARGIN_FACTOR: u32 = 2;
/// A long request may wait if more places are free than this many times the waiting long requests
/// of the same caller. With a factor of one, a single caller takes half of the few places that
/// start in time, too many when seven other callers compete.
const FREE_PLACES_PER_LONG_REQUEST: usize = 2;
/// Interval at which the limits are computed anew while requests wait and either a slot is free or
/// the cold-start ramp is in progress.
const LIMIT_RECHECK_INTERVAL: Duration = Duration::from_millis(10);
/// Bounds of the `retry_after` of a refusal for any reason but a drain.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(10);
const MAX_RETRY_AFTER: Duration = Duration::from_secs(1);
/// `retry_after` of a refusal for a drain: all nodes know of the drain after this time.
const DRAIN_RETRY_AFTER: Duration = Duration::from_secs(3);

#[derive(Clone, Copy, Debug)]
enum State {
    Queued,
    Running {
        started: Time,
        /// Number of other requests that ran when this one started.
        others_running: u32,
    },
    /// Refused, but the event wasn't polled yet. The entry stays so that its key isn't reused.
    Refused,
}

#[derive(Debug)]
struct Request {
    offer: Offer,
    is_long: bool,
    /// The request is a probe: admitted as short work although its class is unknown.
    is_probe: bool,
    /// Reclassified as long while it ran.
    is_overtime: bool,
    is_cancelled: bool,
    /// Bucket of the caller in the [`FairQueue`].
    bucket: u64,
    /// Arrival sequence number.
    seq: u64,
    arrived: Time,
    /// Time at which the request is refused if it still waits.
    start_by: Time,
    /// Expected service time in microseconds, at least 1.
    cost_us: u64,
    state: State,
}

/// Admission control of one target, with separate queues for short and long requests.
#[derive(Debug)]
pub struct Admission {
    limits: Limits,
    tuning: Tuning,
    concurrency: ConcurrencyLimit,
    classes: Classes,
    short_demand: ShortDemand,
    overload: OverloadDetector,
    overtime_scan: ScanTimer,
    requests: SlotMap<RequestKey, Request>,
    short_queue: FairQueue,
    long_queue: FairQueue,
    /// Queued requests by the time at which they are refused.
    expiries: BTreeSet<(Time, RequestKey)>,
    running_short: u32,
    running_long: u32,
    /// Number of queued and running probes.
    active_probes: u32,
    /// Time until which waiting short work takes precedence if the concurrency limit is one.
    long_paused_until: Time,
    /// Sequence number of the next request that starts or is queued.
    next_seq: u64,
    is_draining: bool,
    /// Decisions that weren't polled yet.
    events: Vec<Event>,
    /// Latest time that any call has passed as `now`.
    now: Time,
}

impl Admission {
    /// Creates the admission control of a target that starts at `now`.
    pub fn new(limits: Limits, now: Time) -> Admission {
        Admission::with_tuning(limits, Tuning::default(), now)
    }

    /// Creates the admission control of a target that starts at `now`, with non-default parameters.
    pub fn with_tuning(limits: Limits, tuning: Tuning, now: Time) -> Admission {
        Admission {
            concurrency: ConcurrencyLimit::new(&limits, tuning.has_adaptive_limit, now),
            classes: Classes::new(),
            short_demand: ShortDemand::new(tuning.reserve, now),
            overload: OverloadDetector::new(tuning.sojourn_target, tuning.sojourn_interval),
            overtime_scan: ScanTimer::default(),
            requests: SlotMap::with_key(),
            short_queue: FairQueue::default(),
            long_queue: FairQueue::default(),
            expiries: BTreeSet::new(),
            running_short: 0,
            running_long: 0,
            active_probes: 0,
            long_paused_until: now,
            next_seq: 0,
            is_draining: false,
            events: Vec::new(),
            limits,
            tuning,
            now,
        }
    }

    /// Applies new limits. Running and queued requests keep their slots and places.
    pub fn set_limits(&mut self, now: Time, limits: Limits) {
        self.advance(now);
        self.limits = limits;
        self.concurrency.set_limits(&limits);
    }

    /// Begins the cold-start ramp, after a restart of the target.
    pub fn restart(&mut self, now: Time) {
        self.advance(now);
        self.concurrency.restart(now);
    }

    /// Decides on a new request.
    pub fn offer(&mut self, now: Time, offer: &Offer) -> Verdict {
        self.advance(now);
        if self.is_draining {
            return Verdict::Refuse(refusal(Code::Draining, DRAIN_RETRY_AFTER));
        }
        let (is_long, is_probe) = self.classify(offer);
        if !is_long {
            self.short_demand.record_arrival(now);
        }
        if now >= offer.deadline {
            return Verdict::Refuse(self.backlog_refusal(Code::CannotStartInTime, is_long));
        }
        let bucket = self.queue_mut(is_long).bucket(offer.caller);
        let request = self.new_request(offer, is_long, is_probe, bucket);
        let (queue, other_queue) = if is_long {
            (&self.long_queue, &self.short_queue)
        } else {
            (&self.short_queue, &self.long_queue)
        };
        let is_next = queue.is_empty() && (other_queue.is_empty() || !self.can_start(!is_long));
        if is_next && self.can_start(is_long) {
            let cost_us = request.cost_us;
            self.queue_mut(is_long).charge(bucket, cost_us);
            let key = self.insert(request);
            self.start(key);
            return Verdict::Run(key);
        }
        match self.claim_place(&request) {
            Ok(()) => Verdict::Queue(self.enqueue(request)),
            Err(code) => Verdict::Refuse(self.backlog_refusal(code, is_long)),
        }
    }

    /// Ends a running request and frees its slot. A key of no running request is ignored.
    pub fn finish(&mut self, now: Time, key: RequestKey, finish: Finish) {
        self.advance(now);
        let Some(State::Running {
            started,
            others_running,
        }) = self.requests.get(key).map(|r| r.state)
        else {
            return;
        };
        let Some(request) = self.requests.remove(key) else {
            return;
        };
        let service_time = now - started;
        // More requests may run now than when this one started.
        let others_running = others_running.max(self.running() - 1);
        self.running_short -= u32::from(!request.is_long);
        self.running_long -= u32::from(request.is_long);
        self.active_probes -= u32::from(request.is_probe);
        if request.is_long {
            self.long_paused_until = now + service_time;
        }
        if finish.is_complete && !request.is_cancelled {
            self.record_completed(now, &request, service_time, others_running);
        }
    }

    /// Cancels a request. A running one keeps its slot until [`Admission::finish`], because the
    /// target may still be processing it. Any other one is removed and gets no event, not even a
    /// refusal that wasn't polled yet.
    pub fn cancel(&mut self, now: Time, key: RequestKey) {
        self.advance(now);
        let Some(request) = self.requests.get_mut(key) else {
            return;
        };
        match request.state {
            State::Running { .. } => {
                request.is_cancelled = true;
                return;
            }
            State::Queued => self.dequeue(key),
            State::Refused => self.events.retain(|e| !is_refusal_of(e, key)),
        }
        self.requests.remove(key);
    }

    /// Starts queued requests in free slots and returns the decisions since the last call.
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

    /// Returns when [`Admission::poll`] must be called at the latest, or `None` while there is
    /// nothing to decide.
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
            wake = wake.min(self.now + LIMIT_RECHECK_INTERVAL);
        }
        Some(wake)
    }

    /// Returns the counts of running and waiting requests and the present concurrency limit.
    pub fn load(&self) -> Load {
        let count = |n: usize| u32::try_from(n).unwrap_or(u32::MAX);
        Load {
            in_flight: self.running(),
            queued: count(self.short_queue.len() + self.long_queue.len()),
            slots: self.concurrency.limit(self.now),
        }
    }

    /// Returns how many slots long requests may hold at `now`.
    pub fn long_limit(&self, now: Time) -> u32 {
        self.short_demand
            .long_limit(now, self.concurrency.limit(now))
    }

    /// Refuses all queued requests, and new ones until [`Admission::resume`]. Running requests
    /// continue.
    pub fn drain(&mut self, now: Time) {
        self.advance(now);
        self.is_draining = true;
        while let Some(key) = self
            .short_queue
            .oldest()
            .or_else(|| self.long_queue.oldest())
        {
            self.refuse(key, refusal(Code::Draining, DRAIN_RETRY_AFTER));
        }
    }

    /// Ends a drain: accepts new requests again.
    pub fn resume(&mut self, now: Time) {
        self.advance(now);
        self.is_draining = false;
    }

    /// Returns whether no request runs, waits, or has an unpolled refusal.
    pub fn is_idle(&self) -> bool {
        self.requests.is_empty()
    }

    fn running(&self) -> u32 {
        self.running_short + self.running_long
    }

    fn queue_mut(&mut self, is_long: bool) -> &mut FairQueue {
        if is_long {
            &mut self.long_queue
        } else {
            &mut self.short_queue
        }
    }

    fn queue_len(&self, is_long: bool) -> usize {
        if is_long {
            self.long_queue.len()
        } else {
            self.short_queue.len()
        }
    }

    /// Returns whether the request counts as long, and whether it counts as a probe.
    fn classify(&self, offer: &Offer) -> (bool, bool) {
        match self.classes.predict_class(offer) {
            Likely::Short => (false, false),
            Likely::Long => (true, false),
            Likely::Unknown { max_probes } if self.active_probes < max_probes => (false, true),
            Likely::Unknown { .. } => (true, false),
        }
    }

    fn new_request(&self, offer: &Offer, is_long: bool, is_probe: bool, bucket: u64) -> Request {
        let mean_service = self.classes.mean_service(is_long);
        let remaining = offer.deadline - self.now;
        // Keeps half of the remaining time for a run whose service time is unknown.
        let margin = if self.classes.has_mean_service(is_long) {
            (mean_service * START_MARGIN_FACTOR).min(remaining / 2)
        } else {
            remaining / 2
        };
        Request {
            offer: *offer,
            is_long,
            is_probe,
            is_overtime: false,
            is_cancelled: false,
            bucket,
            seq: self.next_seq,
            arrived: self.now,
            start_by: self.now + (remaining - margin),
            cost_us: u64::try_from(mean_service.as_micros()).unwrap_or(1).max(1),
            state: State::Queued,
        }
    }

    fn insert(&mut self, request: Request) -> RequestKey {
        self.next_seq += 1;
        self.active_probes += u32::from(request.is_probe);
        self.requests.insert(request)
    }

    fn enqueue(&mut self, request: Request) -> RequestKey {
        let (is_long, bucket, seq) = (request.is_long, request.bucket, request.seq);
        let (start_by, cost_us) = (request.start_by, request.cost_us);
        let key = self.insert(request);
        self.queue_mut(is_long).push(bucket, seq, key, cost_us);
        self.expiries.insert((start_by, key));
        key
    }

    /// Removes a queued request from all indexes except `requests`.
    fn dequeue(&mut self, key: RequestKey) {
        let Some(r) = self.requests.get_mut(key) else {
            return;
        };
        self.active_probes -= u32::from(std::mem::take(&mut r.is_probe));
        self.expiries.remove(&(r.start_by, key));
        let (is_long, bucket, seq) = (r.is_long, r.bucket, r.seq);
        self.queue_mut(is_long).remove(bucket, seq);
    }

    /// Decides whether a request may wait, or returns the code of its refusal. Under overload, a
    /// short request that gets no place replaces the oldest waiting short request of the same
    /// caller, if there is one; the older request is refused.
    fn claim_place(&mut self, request: &Request) -> Result<(), Code> {
        let has_bounded_wait = !request.is_long && self.serves_newest_first();
        let free_places = self.free_places(request.is_long);
        let startable_places = if has_bounded_wait {
            usize::MAX
        } else {
            self.places_before_deadline(request)
        };
        let queue = if request.is_long {
            &self.long_queue
        } else {
            &self.short_queue
        };
        let (own_waiting, oldest) = queue.backlog_of(request.bucket);
        // A caller's share of the queue depends on the free places, so that a place always remains
        // for another caller.
        let free_per_own = if request.is_long {
            FREE_PLACES_PER_LONG_REQUEST
        } else {
            1
        };
        if own_waiting * free_per_own < free_places.min(startable_places) {
            return Ok(());
        }
        let code = if startable_places == 0 {
            Code::CannotStartInTime
        } else if free_places == 0 {
            Code::QueueFull
        } else {
            Code::OverFairShare
        };
        let Some(oldest) = oldest.filter(|_| has_bounded_wait) else {
            return Err(code);
        };
        let refusal = self.backlog_refusal(code, false);
        self.refuse(oldest, refusal);
        Ok(())
    }

    /// Returns how many more requests of a class may wait.
    fn free_places(&self, is_long: bool) -> usize {
        let limit = self.limits.queue as usize;
        // Neither class may fill the queue: if short requests did, long ones would have no place in
        // which to wait for their slots.
        let class_limit = if is_long {
            limit.div_ceil(2)
        } else {
            (limit * 3).div_ceil(4)
        };
        let free = limit.saturating_sub(self.short_queue.len() + self.long_queue.len());
        free.min(class_limit.saturating_sub(self.queue_len(is_long)))
    }

    /// Returns how many more requests of the same class and `start_by` would start in time;
    /// `usize::MAX` if the class has no known service time.
    fn places_before_deadline(&self, request: &Request) -> usize {
        let slots = self.class_slots(request.is_long);
        if !self.classes.has_mean_service(request.is_long) {
            // On a node that has just started, this class has no service time yet. With a guessed
            // one, a burst that can be served in time would be refused. The queue limit and the
            // deadline still hold.
            return usize::MAX;
        }
        let remaining = (request.start_by - self.now).as_secs_f64();
        let mean_service = self.classes.mean_service(request.is_long).as_secs_f64();
        let starts = (remaining / mean_service.max(1e-6) * f64::from(slots)) as usize;
        starts.saturating_sub(self.queue_len(request.is_long))
    }

    /// Returns how many slots a class can use, at least one.
    fn class_slots(&self, is_long: bool) -> u32 {
        let limit = self.concurrency.limit(self.now);
        let slots = if is_long {
            self.short_demand.long_limit(self.now, limit)
        } else {
            limit.saturating_sub(self.running_long)
        };
        slots.max(1)
    }

    /// Returns whether the newest short request is served first: under overload, if the parameters
    /// ask for it.
    fn serves_newest_first(&self) -> bool {
        self.tuning.is_newest_first_under_overload && self.overload.is_overloaded()
    }

    /// Creates a refusal whose `retry_after` is the expected time until the present queue of the
    /// class and one more request have been served, within the bounds of `retry_after`.
    fn backlog_refusal(&self, code: Code, is_long: bool) -> Refusal {
        let waiting = self.queue_len(is_long) + 1;
        let rounds = waiting as f64 / f64::from(self.class_slots(is_long));
        let wait = self.classes.mean_service(is_long).mul_f64(rounds);
        refusal(code, wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER))
    }

    fn refuse(&mut self, key: RequestKey, refusal: Refusal) {
        self.dequeue(key);
        if let Some(r) = self.requests.get_mut(key) {
            r.state = State::Refused;
        }
        self.events.push(Event::Refuse(key, refusal));
    }

    /// Returns whether a request of the class may start now.
    fn can_start(&self, is_long: bool) -> bool {
        let limit = self.concurrency.limit(self.now);
        if self.is_draining || self.running() >= limit {
            return false;
        }
        if !is_long {
            return true;
        }
        // With one slot for both classes, short work takes precedence after a long run for as long
        // as that run took, and so gets as much slot time as long work.
        let is_paused =
            limit == 1 && !self.short_queue.is_empty() && self.now < self.long_paused_until;
        !is_paused && self.running_long < self.short_demand.long_limit(self.now, limit)
    }

    fn start(&mut self, key: RequestKey) {
        let others_running = self.running();
        let Some(r) = self.requests.get_mut(key) else {
            return;
        };
        r.state = State::Running {
            started: self.now,
            others_running,
        };
        self.running_short += u32::from(!r.is_long);
        self.running_long += u32::from(r.is_long);
    }

    /// Starts queued requests while slots are free.
    fn dispatch(&mut self) {
        loop {
            // Long work takes precedence within its limit; short work gets all other slots.
            let is_long = !self.long_queue.is_empty() && self.can_start(true);
            if !is_long && (self.short_queue.is_empty() || !self.can_start(false)) {
                break;
            }
            let order = if !is_long && self.serves_newest_first() {
                Order::NewestFirst
            } else {
                Order::OldestFirst
            };
            let queue = if is_long {
                &mut self.long_queue
            } else {
                &mut self.short_queue
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

    /// Updates all time-dependent state to `now`.
    fn advance(&mut self, now: Time) {
        // A clock that steps back must not make waits or service times negative.
        self.now = now.max(self.now);
        let waiting = self.short_queue.len().min(self.limits.slots as usize) as f64;
        let present = f64::from(self.running_short) + waiting;
        self.short_demand.update(self.now, present);
        self.observe_sojourn();
        self.reclassify_overtime();
        self.refuse_expired();
    }

    fn observe_sojourn(&mut self) {
        let oldest = self.short_queue.oldest().and_then(|k| self.requests.get(k));
        self.overload.observe(self.now, oldest.map(|r| r.arrived));
    }

    /// Returns when the oldest short request is refused because of overload, or `None` without
    /// overload or without a queued short request.
    fn overload_expiry(&self) -> Option<Time> {
        if !self.serves_newest_first() {
            return None;
        }
        let oldest = self.requests.get(self.short_queue.oldest()?)?;
        Some(oldest.arrived + self.tuning.max_overload_wait)
    }

    /// Refuses requests that have waited until their `start_by`, and under overload short ones that
    /// have waited for `max_overload_wait`.
    fn refuse_expired(&mut self) {
        while let Some(&(start_by, key)) = self.expiries.first() {
            if start_by > self.now {
                break;
            }
            let is_long = self.requests.get(key).is_some_and(|r| r.is_long);
            let refusal = self.backlog_refusal(Code::CannotStartInTime, is_long);
            self.refuse(key, refusal);
        }
        while self.overload_expiry().is_some_and(|t| t <= self.now) {
            let Some(key) = self.short_queue.oldest() else {
                break;
            };
            let refusal = self.backlog_refusal(Code::QueueFull, false);
            self.refuse(key, refusal);
        }
    }

    /// Reclassifies as long the short requests that have run for longer than the threshold.
    fn reclassify_overtime(&mut self) {
        let Some(long_threshold) = self.classes.long_threshold() else {
            return;
        };
        if self.running_short == 0 || !self.overtime_scan.poll_due(self.now, long_threshold) {
            return;
        }
        for r in self.requests.values_mut() {
            let State::Running { started, .. } = r.state else {
                continue;
            };
            let ran = self.now - started;
            if r.is_long || ran <= long_threshold {
                continue;
            }
            r.is_long = true;
            r.is_overtime = true;
            self.running_short -= 1;
            self.running_long += 1;
            self.classes.record_overtime(&r.offer, ran, r.is_probe);
            self.active_probes -= u32::from(std::mem::take(&mut r.is_probe));
        }
    }

    fn record_completed(
        &mut self,
        now: Time,
        request: &Request,
        service_time: Duration,
        others_running: u32,
    ) {
        let run = CompletedRun {
            service_time,
            is_unloaded: self.concurrency.is_lightly_loaded(others_running + 1),
            is_probe: request.is_probe,
            was_learned: request.is_overtime,
        };
        if let Some(ratio) = self.classes.record_completed(&request.offer, &run) {
            self.concurrency.add_sample(now, ratio, others_running + 1);
        }
    }
}

fn refusal(code: Code, retry_after: Duration) -> Refusal {
    Refusal {
        code,
        retry_after: Some(retry_after),
    }
}

fn is_refusal_of(event: &Event, key: RequestKey) -> bool {
    matches!(event, Event::Refuse(k, _) if *k == key)
}
