//! Limits, cancellation, drain and learning of `Admission`.

use std::time::Duration;

use admit::{Admission, Class, Event, Finish, Limits, Offer, RequestKey, Verdict};
use googletest::prelude::*;
use wire::{Code, Time};

const LIMITS: Limits = Limits {
    slots: 4,
    connections: 100,
    queue: 8,
    cold_start: Duration::ZERO,
};

fn ms(n: u64) -> Time {
    Time::from_millis(n)
}

fn offer(class: Class, route: u64, caller: u64, deadline: Time) -> Offer {
    Offer {
        route,
        operation: route,
        class,
        caller,
        deadline,
    }
}

fn short(caller: u64) -> Offer {
    offer(Class::Short, 1, caller, ms(10_000))
}

/// Offers requests until one doesn't run at once; that one stays queued if it isn't refused.
/// Returns the keys of the running ones.
fn fill(admission: &mut Admission, now: Time, offer: &Offer) -> Vec<RequestKey> {
    let mut keys = Vec::new();
    while let Verdict::Run(key) = admission.offer(now, offer) {
        keys.push(key);
        assert!(keys.len() < 100, "100 requests run at once on 4 slots");
    }
    keys
}

// Guards against requests that start beyond a limit, and against refusals with the wrong code.
#[gtest]
fn offers_at_a_limit() {
    struct Row {
        name: &'static str,
        limits: Limits,
        offers: Vec<Offer>,
        /// Expected number of offers that run at once.
        run: usize,
        /// Expected code of the last offer's refusal; `None` if that offer isn't refused.
        code: Option<Code>,
    }
    let one_caller = |n| vec![short(1); n];
    let rows = [
        Row {
            name: "more offers than slots",
            limits: LIMITS,
            offers: one_caller(6),
            run: 4,
            code: None,
        },
        Row {
            name: "fewer connections than slots",
            limits: Limits {
                connections: 2,
                ..LIMITS
            },
            offers: one_caller(3),
            run: 2,
            code: None,
        },
        Row {
            name: "a caller beyond its fair share of the queue",
            limits: LIMITS,
            offers: one_caller(9),
            run: 4,
            code: Some(Code::OverFairShare),
        },
        Row {
            name: "no queue",
            limits: Limits { queue: 0, ..LIMITS },
            offers: one_caller(5),
            run: 4,
            code: Some(Code::QueueFull),
        },
        Row {
            name: "a deadline that has passed",
            limits: LIMITS,
            offers: vec![offer(Class::Short, 1, 1, ms(0))],
            run: 0,
            code: Some(Code::CannotStartInTime),
        },
        Row {
            name: "a cold target",
            limits: Limits {
                cold_start: Duration::from_secs(5),
                ..LIMITS
            },
            offers: one_caller(2),
            run: 1,
            code: None,
        },
        Row {
            name: "long requests without short ones leave one slot free",
            limits: LIMITS,
            offers: vec![offer(Class::Long, 2, 1, ms(10_000)); 4],
            run: 3,
            code: None,
        },
    ];
    for row in rows {
        let mut admission = Admission::new(row.limits, ms(0));
        let verdicts: Vec<_> = row
            .offers
            .iter()
            .map(|o| admission.offer(ms(0), o))
            .collect();
        let run = verdicts
            .iter()
            .filter(|v| matches!(v, Verdict::Run(_)))
            .count();
        expect_that!(run, eq(row.run), "{}", row.name);
        let code = match verdicts.last() {
            Some(Verdict::Refuse(r)) => Some(r.code),
            _ => None,
        };
        expect_that!(code, eq(row.code), "{}", row.name);
    }
}

// Guards against a cancelled request that frees its slot while the target still processes it.
#[gtest]
fn cancelled_run_keeps_its_slot() {
    let mut admission = Admission::new(LIMITS, ms(0));
    let keys = fill(&mut admission, ms(0), &short(1));
    admission.cancel(ms(1), keys[0]);
    expect_that!(admission.poll(ms(1)), is_empty());
    admission.finish(ms(2), keys[0], Finish { is_complete: false });
    expect_that!(
        admission.poll(ms(2)),
        elements_are![matches_pattern!(Event::Start(_))]
    );
}

// Guards against a drain that leaves requests waiting, stops running ones, or can't be undone.
#[gtest]
fn drain_refuses_waiting_work_only() {
    let mut admission = Admission::new(LIMITS, ms(0));
    let keys = fill(&mut admission, ms(0), &short(1));
    admission.drain(ms(1));
    let events = admission.poll(ms(1));
    assert_that!(events.len(), eq(1));
    let Event::Refuse(_, refusal) = events[0] else {
        panic!("a waiting request was started");
    };
    expect_that!(refusal.code, eq(Code::Draining));
    expect_that!(admission.load().in_flight, eq(4));
    let verdict = admission.offer(ms(1), &short(1));
    expect_that!(verdict, matches_pattern!(Verdict::Refuse(_)));
    for key in keys {
        admission.finish(ms(2), key, Finish { is_complete: true });
    }
    expect_that!(admission.is_idle(), eq(true));
    admission.resume(ms(3));
    let verdict = admission.offer(ms(3), &short(1));
    expect_that!(verdict, matches_pattern!(Verdict::Run(_)));
}

// Guards against a long route without a declared class that takes all slots although its long
// service time has been learned.
#[gtest]
fn long_class_is_learned() {
    let mut admission = Admission::new(LIMITS, ms(0));
    let auto = |route, at: u64| offer(Class::Auto, route, 1, ms(at + 10_000));
    let mut at = 0;
    for _ in 0..50 {
        let Verdict::Run(key) = admission.offer(ms(at), &auto(1, at)) else {
            panic!("an idle target did not run a request at once");
        };
        at += 2;
        admission.finish(ms(at), key, Finish { is_complete: true });
    }
    let Verdict::Run(key) = admission.offer(ms(at), &auto(2, at)) else {
        panic!("an idle target did not run a request at once");
    };
    // The first request still runs, far longer than the median, so the next ones count as long.
    at += 100;
    let running = fill(&mut admission, ms(at), &auto(2, at));
    expect_that!(running.len() + 1, le(2));
    admission.finish(ms(at + 100), key, Finish { is_complete: true });
    admission.poll(ms(at + 100));
    let verdict = admission.offer(ms(at + 100), &auto(1, at));
    expect_that!(verdict, matches_pattern!(Verdict::Run(_)));
}

// Guards against a concurrency limit that stays at the declared slots although the target runs
// fewer requests at once and queues the rest internally.
#[gtest]
fn limit_falls_at_a_slow_target() {
    let limits = Limits {
        slots: 8,
        queue: 64,
        ..LIMITS
    };
    let mut admission = Admission::new(limits, ms(0));
    let mut now = ms(0);
    let no_deadline = offer(Class::Short, 1, 1, Time::MAX);
    // Offers `n` requests, finishes those that run after `service_ms`, and returns the limit.
    let mut run = |n: usize, service_ms: u64| {
        let mut keys = Vec::new();
        for _ in 0..n {
            match admission.offer(now, &no_deadline) {
                Verdict::Run(key) => keys.push(key),
                Verdict::Queue(key) => admission.cancel(now, key),
                Verdict::Refuse(_) => {}
            }
        }
        now = now + Duration::from_millis(service_ms);
        keys.iter()
            .for_each(|k| admission.finish(now, *k, Finish { is_complete: true }));
        admission.load().slots
    };
    // The target runs four requests at once in 2 ms, so eight take twice as long as one.
    let mut slots = 8;
    for _ in 0..300 {
        run(1, 2);
    }
    for _ in 0..600 {
        slots = run(8, 2 * u64::from(slots).div_ceil(4));
    }
    expect_that!(slots, le(5));
    expect_that!(slots, ge(3));
}
