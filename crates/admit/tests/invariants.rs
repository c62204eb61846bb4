//! Invariants over random sequences of events.

use std::collections::BTreeMap;
use std::time::Duration;

use admit::{Admission, Class, Event, Finish, Key, Limits, Offer, Reserve, Tuning, Verdict};
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
    /// Ends the n-th running request.
    Finish(usize, bool),
    /// Cancels the n-th live request.
    Cancel(usize),
    Wait(u64),
    Drain,
    Resume,
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
        6 => (0..8usize, any::<bool>()).prop_map(|(n, ok)| Step::Finish(n, ok)),
        1 => (0..20usize).prop_map(Step::Cancel),
        5 => (0..30u64).prop_map(Step::Wait),
        1 => Just(Step::Drain),
        1 => Just(Step::Resume),
        1 => (0..6u32).prop_map(Step::Limits),
    ];
    prop::collection::vec(step, 1..300)
}

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 300,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(7),
        ..ProptestConfig::default()
    }
}

/// Follows each request and checks each decision.
#[derive(Debug)]
struct Checker {
    admission: Admission,
    now: Time,
    slots: u32,
    draining: bool,
    /// Queued and running requests with deadline and class; each is removed by its one outcome.
    queued: BTreeMap<Key, (Time, bool)>,
    running: BTreeMap<Key, bool>,
}

impl Checker {
    fn new() -> Checker {
        // A fixed share makes the limit of long work predictable.
        let tuning = Tuning {
            reserve: Reserve::Share(0.5),
            measured_limit: false,
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
            Step::Finish(n, ok) => self.finish(n, ok),
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
            "waits while draining"
        );
        // A queued request must not be forgotten: it needs a time at which it is looked at.
        assert_eq!(
            self.admission.next_wake().is_some(),
            !self.queued.is_empty()
        );
    }

    fn offer(&mut self, long: bool, caller: u64, timeout_ms: u64) {
        let class = if long { Class::Long } else { Class::Short };
        let offer = Offer {
            route: u64::from(long),
            work: 0,
            class,
            caller,
            deadline: self.now + Duration::from_millis(timeout_ms),
        };
        match self.admission.offer(self.now, &offer) {
            Verdict::Run(key) => self.started(key, offer.deadline, long),
            Verdict::Queue(key) => {
                let old = self.queued.insert(key, (offer.deadline, long));
                assert!(old.is_none(), "a key is in use twice");
            }
            Verdict::Refuse(refusal) => check_refusal(&refusal),
        }
    }

    fn finish(&mut self, n: usize, ok: bool) {
        if let Some(key) = self.running.keys().nth(n).copied() {
            self.running.remove(&key);
            self.admission.finish(self.now, key, Finish { ok });
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
            let (deadline, long) = self.queued.remove(&key).expect("one outcome per request");
            match event {
                Event::Start(_) => self.started(key, deadline, long),
                Event::Refuse(_, refusal) => check_refusal(&refusal),
            }
        }
    }

    fn started(&mut self, key: Key, deadline: Time, long: bool) {
        assert!(self.now <= deadline, "started after its deadline");
        assert!(!self.draining, "started while draining");
        self.running.insert(key, long);
        assert!(self.running.len() <= self.slots as usize, "over the slots");
        let short_waits = self.queued.values().any(|(_, long)| !long);
        let limit = (self.slots as usize / 2).max(1);
        let running_long = self.running.values().filter(|long| **long).count();
        assert!(
            !(long && short_waits) || running_long <= limit,
            "long work over its limit while short work waits"
        );
    }

    fn end(&mut self) {
        while let Some(key) = self.running.keys().next().copied() {
            self.running.remove(&key);
            self.admission.finish(self.now, key, Finish { ok: true });
            self.poll();
        }
        // What still waits has no slot to wait for, and is refused by its deadline.
        self.now = self.now + Duration::from_secs(1);
        self.poll();
        while let Some(key) = self.running.keys().next().copied() {
            self.running.remove(&key);
            self.admission.finish(self.now, key, Finish { ok: true });
        }
        let load = self.admission.load();
        assert_eq!((load.in_flight, load.queued), (0, 0));
        assert!(self.queued.is_empty(), "a request has no outcome");
        assert!(self.admission.is_idle());
        assert_eq!(self.admission.next_wake(), None);
    }
}

fn check_refusal(refusal: &Refusal) {
    assert_eq!(refusal.code.executed(), Some(Executed::No));
    let after = refusal.retry_after.expect("a refusal says when to retry");
    assert!(after > Duration::ZERO && after <= Duration::from_secs(3));
}

proptest! {
    #![proptest_config(config())]

    // Guards against lost, doubled or late outcomes, work over the slots or after a drain, long
    // work over its limit, refusals that may have run, and counters that don't return to zero.
    #[test]
    fn each_request_has_one_allowed_outcome(steps in steps()) {
        let mut checker = Checker::new();
        for step in &steps {
            checker.step(step);
        }
        checker.end();
    }
}

// Guards against starvation: under three times the short work that fits and with one caller that
// fills the queue, each other caller's long work still runs, and none stays without an outcome.
#[gtest]
fn long_work_is_not_starved() {
    for slots in [1, 2, 4, 6] {
        let limits = Limits { slots, ..LIMITS };
        let mut admission = Admission::new(limits, Time::ZERO);
        let mut ends: BTreeMap<(Time, Key), ()> = BTreeMap::new();
        let mut long_of: BTreeMap<Key, u64> = BTreeMap::new();
        let mut started: BTreeMap<u64, u32> = BTreeMap::new();
        let mut waiting: BTreeMap<Key, Time> = BTreeMap::new();
        for ms in 0..20_000u64 {
            let now = Time::from_millis(ms);
            while let Some((&(at, key), ())) = ends.first_key_value() {
                if at > now {
                    break;
                }
                ends.remove(&(at, key));
                admission.finish(now, key, Finish { ok: true });
            }
            let short = (0..slots.div_ceil(2) * 3).map(|i| (false, u64::from(i)));
            let long = (ms % 20 == 0).then_some((true, if ms % 200 == 0 { 1 } else { 0 }));
            let mut begin = Vec::new();
            for (is_long, caller) in short.chain(long) {
                let timeout = Duration::from_millis(if is_long { 2_000 } else { 50 });
                let offer = Offer {
                    route: u64::from(is_long),
                    work: 0,
                    class: if is_long { Class::Long } else { Class::Short },
                    caller,
                    deadline: now + timeout,
                };
                let key = match admission.offer(now, &offer) {
                    Verdict::Run(key) => {
                        begin.push(key);
                        key
                    }
                    Verdict::Queue(key) => {
                        waiting.insert(key, offer.deadline);
                        key
                    }
                    Verdict::Refuse(_) => continue,
                };
                if is_long {
                    long_of.insert(key, caller);
                }
            }
            for event in admission.poll(now) {
                match event {
                    Event::Start(key) => {
                        waiting.remove(&key);
                        begin.push(key);
                    }
                    Event::Refuse(key, _) => {
                        waiting.remove(&key);
                        long_of.remove(&key);
                    }
                }
            }
            for key in begin {
                let caller = long_of.remove(&key);
                let service = if caller.is_some() { 100 } else { 2 };
                ends.insert((now + Duration::from_millis(service), key), ());
                if let Some(caller) = caller {
                    *started.entry(caller).or_default() += 1;
                }
            }
            assert!(waiting.values().all(|deadline| now <= *deadline));
        }
        expect_that!(
            started.get(&1).copied().unwrap_or(0),
            ge(25),
            "slots {slots}"
        );
        expect_that!(
            started.get(&0).copied().unwrap_or(0),
            ge(25),
            "slots {slots}"
        );
    }
}
