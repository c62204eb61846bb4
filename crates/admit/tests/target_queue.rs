//! The queue in front of one target: order, refusals, and what is measured.

use std::time::Duration;

use admit::{Admit, Ended, Job, JobKey, Settled, TargetQueue, arrival_time, may_send_body};
use proptest::prelude::*;
use wire::{Code, Time};

const ROUTE: u64 = 1;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn at(n: u64) -> Time {
    Time::from_millis(n)
}

fn job(priority: u32, due: u64, deadline: u64) -> Job {
    Job {
        route: ROUTE,
        priority,
        arrived: at(100_000),
        due: at(due),
        deadline: at(deadline),
        last_resort: false,
        max_wait: Duration::MAX,
    }
}

fn run(q: &mut TargetQueue, now: Time, j: Job) -> JobKey {
    match q.offer(now, j) {
        Admit::Run(key) => key,
        other => panic!("expected a slot, got {other:?}"),
    }
}

fn wait(q: &mut TargetQueue, now: Time, j: Job) -> JobKey {
    match q.offer(now, j) {
        Admit::Wait(key) => key,
        other => panic!("expected a place in the queue, got {other:?}"),
    }
}

/// Teaches the queue that requests take 100 ms.
fn measured(slots: u32) -> TargetQueue {
    let mut q = TargetQueue::new(slots);
    for i in 0..200 {
        let key = run(&mut q, at(i * 100), job(1, 1_000_000, 1_000_000));
        q.end(at(i * 100 + 100), key, Ended::Answered);
    }
    q
}

/// Guards against lesser work that goes before more urgent work, and against arrival order.
#[test]
fn priority_then_objective_decide() {
    let mut q = measured(1);
    let now = at(100_000);
    let held = run(&mut q, now, job(1, 200_000, 200_000));
    let late = wait(&mut q, now, job(1, 101_000, 103_000));
    let soon = wait(&mut q, now, job(1, 100_500, 103_000));
    let lesser = wait(&mut q, now, job(2, 100_900, 103_000));
    let urgent = wait(&mut q, now, job(0, 100_900, 103_000));
    let mut order = Vec::new();
    let mut running = held;
    for step in 1..=4 {
        let then = now + ms(step);
        q.end(then, running, Ended::Dropped);
        let [Settled::Run(key)] = q.settle(then)[..] else {
            panic!("one request starts");
        };
        order.push(key);
        running = key;
    }
    assert_eq!(order, [urgent, soon, late, lesser]);
}

/// Guards against requests that wait although their place in the queue gives them no chance.
#[test]
fn what_cannot_be_answered_in_time_is_refused_at_once() {
    let mut q = measured(1);
    let now = at(100_000);
    run(&mut q, now, job(1, 200_000, 200_000));
    wait(&mut q, now, job(1, 100_300, 100_300));
    let refused = q.offer(now, job(1, 100_301, 100_250));
    let Admit::Refuse(refusal) = refused else {
        panic!("expected a refusal, got {refused:?}");
    };
    assert_eq!(refusal.code, Code::CannotStartInTime);
    assert!(refusal.retry_after.is_some_and(|d| d >= ms(100)));
}

/// Guards against a waiting request that is started too late to finish.
#[test]
fn a_request_that_lost_its_chance_while_waiting_is_refused() {
    let mut q = measured(1);
    let now = at(100_000);
    let held = run(&mut q, now, job(1, 200_000, 200_000));
    let key = wait(&mut q, now, job(1, 100_400, 100_400));
    let then = at(100_350);
    q.end(then, held, Ended::Answered);
    let settled = q.settle(then);
    assert!(matches!(settled[..], [Settled::Refuse(k, _)] if k == key));
    assert!(q.is_idle());
}

/// Guards against work at a target that leaves or is down.
#[test]
fn a_closed_queue_refuses_new_and_waiting_requests() {
    let mut q = measured(1);
    let now = at(100_000);
    run(&mut q, now, job(1, 200_000, 200_000));
    let key = wait(&mut q, now, job(1, 101_000, 103_000));
    q.set_open(false);
    let settled = q.settle(now);
    assert!(matches!(settled[..], [Settled::Refuse(k, r)] if k == key && r.code == Code::Draining));
    let offered = q.offer(now, job(0, 101_000, 103_000));
    assert!(matches!(offered, Admit::Refuse(r) if r.code == Code::Draining));
    assert_eq!(q.state(now).load.slots, 0);
}

/// Guards against a target that fails at once and so looks like the fastest one.
#[test]
fn fast_failures_count_as_failures_and_not_as_service_times() {
    let mut q = measured(1);
    let before = q.state(at(100_000)).service;
    for i in 0..50 {
        let now = at(100_000 + i);
        let key = run(&mut q, now, job(1, 200_000, 200_000));
        q.end(now, key, Ended::Failed);
    }
    let state = q.state(at(100_100));
    assert_eq!(state.service, before);
    assert!(state.failing > 0.9, "{}", state.failing);
}

/// Guards against a target that has turned slow and shows it only when its first answer is in.
#[test]
fn running_requests_that_age_raise_the_service_time() {
    let mut q = measured(2);
    run(&mut q, at(100_000), job(1, 200_000, 200_000));
    run(&mut q, at(100_000), job(1, 200_000, 200_000));
    assert!(q.state(at(100_900)).service >= ms(900));
}

proptest! {
    /// Guards against slots that are given out twice or lost, whatever ends in whatever order.
    #[test]
    fn slots_are_never_exceeded_and_never_lost(
        slots in 1u32..5,
        steps in proptest::collection::vec((0u8..4, 0usize..16, 0u64..50), 1..200),
    ) {
        let mut q = TargetQueue::new(slots);
        let mut held: Vec<JobKey> = Vec::new();
        let mut waiting: Vec<JobKey> = Vec::new();
        let mut now = at(1_000);
        for (what, which, wait) in steps {
            now = now + ms(wait);
            match what {
                0 | 1 => match q.offer(now, Job {
                    route: which as u64,
                    priority: u32::from(what),
                    arrived: now,
                    due: now + ms(200),
                    deadline: now + ms(1_000),
                    last_resort: what == 1,
                    max_wait: if which % 3 == 0 { ms(20) } else { Duration::MAX },
                }) {
                    Admit::Run(key) => held.push(key),
                    Admit::Wait(key) => waiting.push(key),
                    Admit::Refuse(_) => {}
                },
                2 if !held.is_empty() => {
                    let key = held.swap_remove(which % held.len());
                    q.end(now, key, Ended::Answered);
                }
                3 if !waiting.is_empty() => {
                    let key = waiting.swap_remove(which % waiting.len());
                    q.end(now, key, Ended::Dropped);
                }
                _ => {}
            }
            for s in q.settle(now) {
                let key = match s { Settled::Run(k) => { held.push(k); k } Settled::Refuse(k, _) => k };
                waiting.retain(|w| *w != key);
            }
            let load = q.state(now).load;
            prop_assert_eq!(load.in_flight as usize, held.len());
            prop_assert_eq!(load.queued as usize, waiting.len());
            prop_assert!(load.in_flight <= slots);
            prop_assert!(waiting.is_empty() || load.in_flight == slots);
        }
    }
}

/// Teaches the queue a second route whose requests take 20 ms, among others of 100 ms.
fn with_short_route(q: &mut TargetQueue, short: u64) {
    for i in 0..64 {
        let now = at(50_000 + i * 100);
        let key = run(
            q,
            now,
            Job {
                route: short,
                ..job(1, 1_000_000, 1_000_000)
            },
        );
        q.end(now + ms(20), key, Ended::Answered);
        let key = run(q, now + ms(20), job(1, 1_000_000, 1_000_000));
        q.end(now + ms(120), key, Ended::Answered);
    }
}

/// Guards against calls of running work that fail behind older requests of their callers' rank.
#[test]
fn short_work_goes_before_older_long_work() {
    let short = 2;
    let mut q = measured(1);
    with_short_route(&mut q, short);
    let now = at(100_000);
    let held = run(&mut q, now, job(1, 200_000, 200_000));
    let old = wait(&mut q, now, job(1, 100_400, 103_000));
    let call = wait(
        &mut q,
        now,
        Job {
            route: short,
            ..job(1, 100_500, 100_500)
        },
    );
    q.end(now, held, Ended::Dropped);
    assert_eq!(q.settle(now), [Settled::Run(call)]);
    q.end(now, call, Ended::Dropped);
    assert_eq!(q.settle(now), [Settled::Run(old)]);
}

/// Guards against slots for work that is late already while other work can still be on time, and
/// against late work that is held although it has no chance.
#[test]
fn late_work_gets_what_is_left() {
    let mut q = measured(6);
    let now = at(100_000);
    let held: Vec<_> = (0..6)
        .map(|_| run(&mut q, now, job(1, 200_000, 200_000)))
        .collect();
    let late = wait(&mut q, now, job(1, 100_000, 103_000));
    let fresh = wait(&mut q, now, job(1, 100_400, 103_000));
    q.end(now, held[0], Ended::Dropped);
    assert_eq!(q.settle(now), [Settled::Run(fresh)]);
    let then = now + ms(60);
    assert!(matches!(q.settle(then)[..], [Settled::Refuse(key, _)] if key == late));
}

/// Guards against a late answer where another target could answer on time, and against none where
/// there is no other one.
#[test]
fn only_the_last_resort_takes_what_will_be_late() {
    let mut q = measured(6);
    let now = at(100_000);
    for _ in 0..6 {
        run(&mut q, now, job(1, 200_000, 200_000));
    }
    let soon = job(1, 100_112, 103_000);
    assert!(matches!(q.offer(now, soon), Admit::Refuse(_)));
    let last = Job {
        last_resort: true,
        ..soon
    };
    assert!(matches!(q.offer(now, last), Admit::Wait(_)));
}

/// Guards against requests that wait at a full target while another one has free slots.
#[test]
fn a_request_waits_no_longer_than_asking_elsewhere_takes() {
    let now = at(100_000);
    let mut q = measured(1);
    run(&mut q, now, job(1, 200_000, 200_000));
    let hurried = Job {
        max_wait: ms(50),
        ..job(1, 200_000, 200_000)
    };
    let refused = q.offer(now, hurried);
    assert!(
        matches!(refused, Admit::Refuse(r) if r.code == Code::CannotStartInTime),
        "{refused:?}"
    );
    wait(&mut q, now, job(1, 200_000, 200_000));
}

/// Guards against bodies that cross a link and are refused then.
#[test]
fn a_body_is_sent_only_where_its_request_will_be_taken() {
    let now = at(100_000);
    let free = measured(4);
    let mut full = measured(1);
    run(&mut full, now, job(1, 200_000, 200_000));
    let last = |due| Job {
        last_resort: true,
        ..job(1, due, 101_000)
    };
    let hurried = Job {
        max_wait: ms(50),
        ..job(1, 100_500, 101_000)
    };
    // Queue, request, time until the body has crossed, requests that come before, whether it may go.
    let cases = [
        ("room", &free, job(1, 100_500, 101_000), 100, 0, true),
        ("late there", &free, job(1, 100_500, 101_000), 600, 0, false),
        ("late anywhere", &free, last(100_500), 600, 0, true),
        ("too late", &free, last(100_500), 1_000, 0, false),
        ("others come first", &free, hurried, 100, 8, false),
        ("one slot is left", &free, hurried, 100, 3, true),
        ("full", &full, hurried, 100, 0, false),
    ];
    for (name, q, job, arrival, coming, may) in cases {
        let result = may_send_body(q, now, &job, ms(arrival), coming);
        assert_eq!(result.is_ok(), may, "{name}: {result:?}");
    }
}

/// Guards against estimates that leave out what is already on the way.
#[test]
fn bodies_on_the_way_delay_the_next_one() {
    let alone = arrival_time(0, 70_000, 7);
    assert!(alone > ms(80) && alone < ms(120), "{alone:?}");
    assert_eq!(arrival_time(70_000, 70_000, 7), alone * 2);
    assert!(arrival_time(0, 70_000, 1_000) < ms(1));
}
