//! Invariants of `Admission` over random sequences of calls, and freedom from starvation.

use std::collections::BTreeMap;
use std::time::Duration;

use admit::{Admission, Class, Event, Finish, Limits, Offer, RequestKey, Reserve, Tuning, Verdict};
use googletest::prelude::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use wire::{Executed, Refusal, Time};

const LIMITS: Limits = Limits {
    slots: 4,
    connections: 100,
    queue: 16,
    cold_start: Duration::ZERO,
};

#[derive(Clone, Debug)]
enum Step {
    Offer {
        long: bool,
        caller: u64,
        timeout_ms: u64,
    },
    /// Finishes the n-th running request; the flag says whether its response is complete.
    Finish(usize, bool),
    /// Cancels the n-th queued or running request.
    Cancel(usize),
    /// Advances the clock by this many milliseconds.
    Wait(u64),
    Drain,
    Resume,
    /// Sets the number of slots.
    Limits(u32),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let offer =
        (prop::bool::weighted(0.3), 0..5u64, 1..200u64).prop_map(|(long, caller, t)| Step::Offer {
            long,
            caller,
            timeout_ms: t,
        });
    let step = prop_oneof![
        10 => offer,
        6 => (0..8usize, any::<bool>()).prop_map(|(n, is_complete)| Step::Finish(n, is_complete)),
        1 => (0..20usize).prop_map(Step::Cancel),
        5 => (0..30u64).prop_map(Step::Wait),
        1 => Just(Step::Drain),
        1 => Just(Step::Resume),
        1 => (0..6u32).prop_map(Step::Limits),
    ];
    prop::collection::vec(step, 1..300)
}

fn proptest_config() -> ProptestConfig {
    ProptestConfig {
        cases: 300,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(7),
        ..ProptestConfig::default()
    }
}

/// Calls `Admission`, tracks the state of all requests and checks each decision against it.
#[derive(Debug)]
struct Checker {
    admission: Admission,
    now: Time,
    slots: u32,
    draining: bool,
    /// Deadline of each queued request and whether it is long. A request is removed at its event,
    /// so a second event for it fails the test.
    queued: BTreeMap<RequestKey, (Time, bool)>,
    /// Running requests and whether they are long.
    running: BTreeMap<RequestKey, bool>,
}

impl Checker {
    fn new() -> Checker {
        // A fixed fraction makes the slot limit of long requests predictable.
        let tuning = Tuning {
            reserve: Reserve::Fraction(0.5),
            has_adaptive_limit: false,
            ..Tuning::default()
        };
        Checker {
            admission: Admission::with_tuning(LIMITS, tuning, Time::ZERO),
            now: Time::ZERO,
            slots: LIMITS.slots,
            draining: false,
            queued: BTreeMap::new(),
            running: BTreeMap::new(),
        }
    }

    fn step(&mut self, step: &Step) {
        match *step {
            Step::Offer {
                long,
                caller,
                timeout_ms,
            } => self.offer(long, caller, timeout_ms),
            Step::Finish(n, is_complete) => self.finish(n, is_complete),
            Step::Cancel(n) => self.cancel(n),
            Step::Wait(ms) => self.now = self.now + Duration::from_millis(ms),
            Step::Drain => {
                self.draining = true;
                self.admission.drain(self.now);
            }
            Step::Resume => {
                self.poll();
                self.draining = false;
                self.admission.resume(self.now);
            }
            Step::Limits(slots) => {
                self.slots = slots;
                let limits = Limits { slots, ..LIMITS };
                self.admission.set_limits(self.now, limits);
            }
        }
        self.poll();
        let load = self.admission.load();
        assert_eq!(load.in_flight as usize, self.running.len());
        assert_eq!(load.queued as usize, self.queued.len());
        assert!(
            !self.draining || self.queued.is_empty(),
            "a request is queued while draining"
        );
        // A wake-up must be scheduled if and only if requests are queued.
        assert_eq!(
            self.admission.next_wake().is_some(),
            !self.queued.is_empty()
        );
    }

    fn offer(&mut self, long: bool, caller: u64, timeout_ms: u64) {
        let class = if long { Class::Long } else { Class::Short };
        let offer = Offer {
            route: u64::from(long),
            operation: 0,
            class,
            caller,
            deadline: self.now + Duration::from_millis(timeout_ms),
        };
        match self.admission.offer(self.now, &offer) {
            Verdict::Run(key) => self.started(key, offer.deadline, long),
            Verdict::Queue(key) => {
                let old = self.queued.insert(key, (offer.deadline, long));
                assert!(old.is_none(), "a key is in use for two requests");
            }
            Verdict::Refuse(refusal) => check_refusal(&refusal),
        }
    }

    fn finish(&mut self, n: usize, is_complete: bool) {
        if let Some(key) = self.running.keys().nth(n).copied() {
            self.running.remove(&key);
            self.admission.finish(self.now, key, Finish { is_complete });
        }
    }

    fn cancel(&mut self, n: usize) {
        let live = self.queued.keys().chain(self.running.keys());
        if let Some(key) = live.copied().nth(n) {
            self.queued.remove(&key);
            self.admission.cancel(self.now, key);
        }
    }

    fn poll(&mut self) {
        for event in self.admission.poll(self.now) {
            let key = match event {
                Event::Start(key) | Event::Refuse(key, _) => key,
            };
            let (deadline, long) = self
                .queued
                .remove(&key)
                .expect("event for a request that is not queued");
            match event {
                Event::Start(_) => self.started(key, deadline, long),
                Event::Refuse(_, refusal) => check_refusal(&refusal),
            }
        }
    }

    fn started(&mut self, key: RequestKey, deadline: Time, long: bool) {
        assert!(self.now <= deadline, "request started after its deadline");
        assert!(!self.draining, "request started while draining");
        self.running.insert(key, long);
        assert!(
            self.running.len() <= self.slots as usize,
            "more requests run than there are slots"
        );
        let short_waits = self.queued.values().any(|(_, long)| !long);
        let limit = (self.slots as usize / 2).max(1);
        let running_long = self.running.values().filter(|long| **long).count();
        assert!(
            !(long && short_waits) || running_long <= limit,
            "long requests over their limit while short ones wait"
        );
    }

    fn finish_all(&mut self) {
        while let Some(key) = self.running.keys().next().copied() {
            self.running.remove(&key);
            self.admission
                .finish(self.now, key, Finish { is_complete: true });
            self.poll();
        }
        // Requests that still wait got no slot, for example because the limits allow none. They
        // must be refused by their deadlines.
        self.now = self.now + Duration::from_secs(1);
        self.poll();
        while let Some(key) = self.running.keys().next().copied() {
            self.running.remove(&key);
            self.admission
                .finish(self.now, key, Finish { is_complete: true });
        }
        let load = self.admission.load();
        assert_eq!((load.in_flight, load.queued), (0, 0));
        assert!(self.queued.is_empty(), "a request got no outcome");
        assert!(self.admission.is_idle());
        assert_eq!(self.admission.next_wake(), None);
    }
}

fn check_refusal(refusal: &Refusal) {
    assert_eq!(refusal.code.executed(), Some(Executed::No));
    let after = refusal.retry_after.expect("refusal without retry_after");
    assert!(after > Duration::ZERO && after <= Duration::from_secs(3));
}

proptest! {
    #![proptest_config(proptest_config())]

    // Guards against missing, duplicate or late outcomes, starts beyond the slots or during a
    // drain, long requests over their limit, refusals of requests that may have run, and counters
    // that don't return to zero.
    #[test]
    fn each_request_has_one_allowed_outcome(steps in steps()) {
        let mut checker = Checker::new();
        for step in &steps {
            checker.step(step);
        }
        checker.finish_all();
    }
}

// Guards against starvation of long requests: under three times the short load that fits, and with
// one caller that sends 90% of the long requests, long requests of that caller and of the other one
// still run. No request waits past its deadline.
#[gtest]
fn long_work_is_not_starved() {
    for slots in [1, 2, 4, 6] {
        let limits = Limits { slots, ..LIMITS };
        let mut admission = Admission::new(limits, Time::ZERO);
        let mut finish_times: BTreeMap<(Time, RequestKey), ()> = BTreeMap::new();
        let mut caller_of_long: BTreeMap<RequestKey, u64> = BTreeMap::new();
        let mut long_starts: BTreeMap<u64, u32> = BTreeMap::new();
        let mut waiting: BTreeMap<RequestKey, Time> = BTreeMap::new();
        for ms in 0..20_000u64 {
            let now = Time::from_millis(ms);
            while let Some((&(at, key), ())) = finish_times.first_key_value() {
                if at > now {
                    break;
                }
                finish_times.remove(&(at, key));
                admission.finish(now, key, Finish { is_complete: true });
            }
            let short = (0..slots.div_ceil(2) * 3).map(|i| (false, u64::from(i)));
            let long = (ms % 20 == 0).then_some((true, if ms % 200 == 0 { 1 } else { 0 }));
            let mut starting = Vec::new();
            for (is_long, caller) in short.chain(long) {
                let timeout = Duration::from_millis(if is_long { 2_000 } else { 50 });
                let offer = Offer {
                    route: u64::from(is_long),
                    operation: 0,
                    class: if is_long { Class::Long } else { Class::Short },
                    caller,
                    deadline: now + timeout,
                };
                let key = match admission.offer(now, &offer) {
                    Verdict::Run(key) => {
                        starting.push(key);
                        key
                    }
                    Verdict::Queue(key) => {
                        waiting.insert(key, offer.deadline);
                        key
                    }
                    Verdict::Refuse(_) => continue,
                };
                if is_long {
                    caller_of_long.insert(key, caller);
                }
            }
            for event in admission.poll(now) {
                match event {
                    Event::Start(key) => {
                        waiting.remove(&key);
                        starting.push(key);
                    }
                    Event::Refuse(key, _) => {
                        waiting.remove(&key);
                        caller_of_long.remove(&key);
                    }
                }
            }
            for key in starting {
                let caller = caller_of_long.remove(&key);
                let service_ms = if caller.is_some() { 100 } else { 2 };
                finish_times.insert((now + Duration::from_millis(service_ms), key), ());
                if let Some(caller) = caller {
                    *long_starts.entry(caller).or_default() += 1;
                }
            }
            assert!(waiting.values().all(|deadline| now <= *deadline));
        }
        expect_that!(
            long_starts.get(&1).copied().unwrap_or(0),
            ge(25),
            "slots {slots}"
        );
        expect_that!(
            long_starts.get(&0).copied().unwrap_or(0),
            ge(25),
            "slots {slots}"
        );
    }
}
