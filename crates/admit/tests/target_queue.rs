//! `TargetQueue`: order of service, refusals and measurements. Checks of staged bodies.

use std::time::Duration;

use admit::{
    Job, JobEvent, JobKey, JobOutcome, JobVerdict, TargetQueue, check_staged_body, transit_time,
};
use proptest::prelude::*;
use wire::{Code, Time};

const ROUTE: u64 = 1;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn at(n: u64) -> Time {
    Time::from_millis(n)
}

/// Makes a request that arrives at 100 s. `objective` and `deadline` are times in milliseconds.
fn job(priority: u32, objective: u64, deadline: u64) -> Job {
    Job {
        route: ROUTE,
        priority,
        organisation: None,
        arrived: at(100_000),
        objective: at(objective),
        deadline: at(deadline),
        is_last_resort: false,
        max_wait: Duration::MAX,
    }
}

fn run(q: &mut TargetQueue, now: Time, j: Job) -> JobKey {
    match q.offer(now, j) {
        JobVerdict::Run(key) => key,
        verdict => panic!("expected a slot, got {verdict:?}"),
    }
}

fn wait(q: &mut TargetQueue, now: Time, j: Job) -> JobKey {
    match q.offer(now, j) {
        JobVerdict::Wait(key) => key,
        verdict => panic!("expected a place in the queue, got {verdict:?}"),
    }
}

/// Creates a queue that has learned a service time of 100 ms.
fn queue_with_100_ms_service(slots: u32) -> TargetQueue {
    let mut q = TargetQueue::new(slots);
    for i in 0..200 {
        let key = run(&mut q, at(i * 100), job(1, 1_000_000, 1_000_000));
        q.finish(at(i * 100 + 100), key, JobOutcome::Completed);
    }
    q
}

/// Guards against service in order of arrival, or before requests of higher priority.
#[test]
fn waiting_requests_are_ordered_by_priority_then_objective() {
    let mut q = queue_with_100_ms_service(1);
    let now = at(100_000);
    let first = run(&mut q, now, job(1, 200_000, 200_000));
    let late = wait(&mut q, now, job(1, 101_000, 103_000));
    let soon = wait(&mut q, now, job(1, 100_500, 103_000));
    let low_priority = wait(&mut q, now, job(2, 100_900, 103_000));
    let urgent = wait(&mut q, now, job(0, 100_900, 103_000));
    let mut order = Vec::new();
    let mut running = first;
    for step in 1..=4 {
        let later = now + ms(step);
        q.finish(later, running, JobOutcome::Unmeasured);
        let [JobEvent::Run(key)] = q.dispatch(later)[..] else {
            panic!("expected exactly one request to start");
        };
        order.push(key);
        running = key;
    }
    assert_eq!(order, [urgent, soon, late, low_priority]);
}

/// Guards against requests that are queued although they can't finish by their deadline from their
/// place in the queue.
#[test]
fn request_that_cannot_finish_by_its_deadline_is_refused_at_once() {
    let mut q = queue_with_100_ms_service(1);
    let now = at(100_000);
    run(&mut q, now, job(1, 200_000, 200_000));
    wait(&mut q, now, job(1, 100_300, 100_300));
    let refused = q.offer(now, job(1, 100_301, 100_250));
    let JobVerdict::Refuse(refusal) = refused else {
        panic!("expected a refusal, got {refused:?}");
    };
    assert_eq!(refusal.code, Code::CannotStartInTime);
    assert!(refusal.retry_after.is_some_and(|d| d >= ms(100)));
}

/// Guards against a waiting request that starts too late to finish by its deadline.
#[test]
fn waiting_request_that_can_no_longer_finish_is_refused() {
    let mut q = queue_with_100_ms_service(1);
    let now = at(100_000);
    let running = run(&mut q, now, job(1, 200_000, 200_000));
    let key = wait(&mut q, now, job(1, 100_400, 100_400));
    let later = at(100_350);
    q.finish(later, running, JobOutcome::Completed);
    let events = q.dispatch(later);
    assert!(matches!(events[..], [JobEvent::Refuse(k, _)] if k == key));
    assert!(q.is_idle());
}

/// Guards against requests that start at a draining or failed target.
#[test]
fn a_closed_queue_refuses_new_and_waiting_requests() {
    let mut q = queue_with_100_ms_service(1);
    let now = at(100_000);
    run(&mut q, now, job(1, 200_000, 200_000));
    let key = wait(&mut q, now, job(1, 101_000, 103_000));
    q.set_open(false);
    let events = q.dispatch(now);
    assert!(matches!(events[..], [JobEvent::Refuse(k, r)] if k == key && r.code == Code::Draining));
    let offered = q.offer(now, job(0, 101_000, 103_000));
    assert!(matches!(offered, JobVerdict::Refuse(r) if r.code == Code::Draining));
    assert_eq!(q.state(now).load.slots, 0);
}

/// Guards against a target whose immediate failures make it look fast, so that it attracts traffic.
#[test]
fn fast_failures_count_as_failures_and_not_as_service_times() {
    let mut q = queue_with_100_ms_service(1);
    let before = q.state(at(100_000)).service_time;
    for i in 0..50 {
        let now = at(100_000 + i);
        let key = run(&mut q, now, job(1, 200_000, 200_000));
        q.finish(now, key, JobOutcome::Failed);
    }
    let state = q.state(at(100_100));
    assert_eq!(state.service_time, before);
    assert!(state.failure_rate > 0.9, "{}", state.failure_rate);
}

/// Guards against a slowdown of the target that isn't reported before the first slow response.
#[test]
fn age_of_running_requests_raises_the_service_time() {
    let mut q = queue_with_100_ms_service(2);
    run(&mut q, at(100_000), job(1, 200_000, 200_000));
    run(&mut q, at(100_000), job(1, 200_000, 200_000));
    assert!(q.state(at(100_900)).service_time >= ms(900));
}

proptest! {
    /// Guards against slots that are assigned twice or leak, for any order of ends.
    #[test]
    fn slots_are_never_exceeded_and_never_lost(
        slots in 1u32..5,
        steps in proptest::collection::vec((0u8..4, 0usize..16, 0u64..50), 1..200),
    ) {
        let mut q = TargetQueue::new(slots);
        let mut running: Vec<JobKey> = Vec::new();
        let mut waiting: Vec<JobKey> = Vec::new();
        let mut now = at(1_000);
        // Actions 0 and 1 offer a request, 2 ends a running one, 3 removes a waiting one.
        for (action, index, wait) in steps {
            now = now + ms(wait);
            match action {
                0 | 1 => match q.offer(now, Job {
                    route: index as u64,
                    priority: u32::from(action),
                    organisation: None,
                    arrived: now,
                    objective: now + ms(200),
                    deadline: now + ms(1_000),
                    is_last_resort: action == 1,
                    max_wait: if index % 3 == 0 { ms(20) } else { Duration::MAX },
                }) {
                    JobVerdict::Run(key) => running.push(key),
                    JobVerdict::Wait(key) => waiting.push(key),
                    JobVerdict::Refuse(_) => {}
                },
                2 if !running.is_empty() => {
                    let key = running.swap_remove(index % running.len());
                    q.finish(now, key, JobOutcome::Completed);
                }
                3 if !waiting.is_empty() => {
                    let key = waiting.swap_remove(index % waiting.len());
                    q.finish(now, key, JobOutcome::Unmeasured);
                }
                _ => {}
            }
            for event in q.dispatch(now) {
                let key = match event {
                    JobEvent::Run(k) => { running.push(k); k }
                    JobEvent::Refuse(k, _) => k,
                };
                waiting.retain(|w| *w != key);
            }
            let load = q.state(now).load;
            prop_assert_eq!(load.in_flight as usize, running.len());
            prop_assert_eq!(load.queued as usize, waiting.len());
            prop_assert!(load.in_flight <= slots);
            prop_assert!(waiting.is_empty() || load.in_flight == slots);
        }
    }
}

/// Lets the queue learn a service time of 20 ms for the route `short`, besides 100 ms for `ROUTE`.
fn learn_short_route(q: &mut TargetQueue, short: u64) {
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
        q.finish(now + ms(20), key, JobOutcome::Completed);
        let key = run(q, now + ms(20), job(1, 1_000_000, 1_000_000));
        q.finish(now + ms(120), key, JobOutcome::Completed);
    }
}

/// Guards against calls made by running requests that time out behind older, longer requests of
/// the same priority.
#[test]
fn short_work_goes_before_older_long_work() {
    let short = 2;
    let mut q = queue_with_100_ms_service(1);
    learn_short_route(&mut q, short);
    let now = at(100_000);
    let running = run(&mut q, now, job(1, 200_000, 200_000));
    let old = wait(&mut q, now, job(1, 100_400, 103_000));
    let call = wait(
        &mut q,
        now,
        Job {
            route: short,
            ..job(1, 100_500, 100_500)
        },
    );
    q.finish(now, running, JobOutcome::Unmeasured);
    assert_eq!(q.dispatch(now), [JobEvent::Run(call)]);
    q.finish(now, call, JobOutcome::Unmeasured);
    assert_eq!(q.dispatch(now), [JobEvent::Run(old)]);
}

/// Guards against late requests that take slots from on-time ones, and against late requests that
/// wait longer than the maximum of 50 ms.
#[test]
fn late_requests_start_after_on_time_ones_and_wait_briefly() {
    let mut q = queue_with_100_ms_service(6);
    let now = at(100_000);
    let running: Vec<_> = (0..6)
        .map(|_| run(&mut q, now, job(1, 200_000, 200_000)))
        .collect();
    let late = wait(&mut q, now, job(1, 100_000, 103_000));
    let fresh = wait(&mut q, now, job(1, 100_400, 103_000));
    q.finish(now, running[0], JobOutcome::Unmeasured);
    assert_eq!(q.dispatch(now), [JobEvent::Run(fresh)]);
    let later = now + ms(60);
    assert!(matches!(q.dispatch(later)[..], [JobEvent::Refuse(key, _)] if key == late));
}

/// Guards against queueing a request that will miss its objective while another target could meet
/// the objective, and against refusing such a request when no other target is left to try.
#[test]
fn request_that_will_be_late_waits_only_at_its_last_resort() {
    let mut q = queue_with_100_ms_service(6);
    let now = at(100_000);
    for _ in 0..6 {
        run(&mut q, now, job(1, 200_000, 200_000));
    }
    let soon = job(1, 100_112, 103_000);
    assert!(matches!(q.offer(now, soon), JobVerdict::Refuse(_)));
    let last = Job {
        is_last_resort: true,
        ..soon
    };
    assert!(matches!(q.offer(now, last), JobVerdict::Wait(_)));
}

/// Guards against requests that wait at a full target although another target has free slots.
#[test]
fn request_is_refused_if_its_wait_exceeds_max_wait() {
    let now = at(100_000);
    let mut q = queue_with_100_ms_service(1);
    run(&mut q, now, job(1, 200_000, 200_000));
    let short_wait = Job {
        max_wait: ms(50),
        ..job(1, 200_000, 200_000)
    };
    let refused = q.offer(now, short_wait);
    assert!(
        matches!(refused, JobVerdict::Refuse(r) if r.code == Code::CannotStartInTime),
        "{refused:?}"
    );
    wait(&mut q, now, job(1, 200_000, 200_000));
}

/// Guards against bodies that are uploaded ahead of a request that is then refused.
#[test]
fn body_is_uploaded_only_if_its_request_would_be_admitted() {
    let now = at(100_000);
    let free = queue_with_100_ms_service(4);
    let mut full = queue_with_100_ms_service(1);
    run(&mut full, now, job(1, 200_000, 200_000));
    let last_resort = |objective| Job {
        is_last_resort: true,
        ..job(1, objective, 101_000)
    };
    let short_wait = Job {
        max_wait: ms(50),
        ..job(1, 100_500, 101_000)
    };
    // Name, queue, request, transit time of the body in ms, requests expected before it, whether
    // the body may be uploaded.
    let cases = [
        ("free slots", &free, job(1, 100_500, 101_000), 100, 0, true),
        (
            "misses the objective here",
            &free,
            job(1, 100_500, 101_000),
            600,
            0,
            false,
        ),
        (
            "misses the objective at its last resort",
            &free,
            last_resort(100_500),
            600,
            0,
            true,
        ),
        (
            "misses the deadline",
            &free,
            last_resort(100_500),
            1_000,
            0,
            false,
        ),
        (
            "expected requests take the slots",
            &free,
            short_wait,
            100,
            8,
            false,
        ),
        (
            "expected requests leave one slot",
            &free,
            short_wait,
            100,
            3,
            true,
        ),
        ("full target", &full, short_wait, 100, 0, false),
    ];
    for (name, q, job, transit, expected, is_allowed) in cases {
        let result = check_staged_body(q, now, &job, ms(transit), expected);
        assert_eq!(result.is_ok(), is_allowed, "{name}: {result:?}");
    }
}

/// Guards against transit-time estimates that ignore bodies that are already in transit.
#[test]
fn bodies_in_transit_add_to_the_transit_time() {
    let alone = transit_time(0, 70_000, 7);
    assert!(alone > ms(80) && alone < ms(120), "{alone:?}");
    assert_eq!(transit_time(70_000, 70_000, 7), alone * 2);
    assert!(transit_time(0, 70_000, 1_000) < ms(1));
}

/// A request of `route` at `now` whose caller wants the response within `objective_ms`, and waits for
/// three times that.
fn job_of(route: u64, now: Time, objective_ms: u64) -> Job {
    Job {
        route,
        arrived: now,
        objective: now + ms(objective_ms),
        deadline: now + ms(3 * objective_ms),
        ..job(1, 0, 0)
    }
}

/// Runs requests of `ROUTE` one after the other, each for 400 ms; returns when the last has ended.
fn run_long_requests(q: &mut TargetQueue, from: u64) -> u64 {
    let mut t = from;
    for _ in 0..100 {
        let key = run(q, at(t), job_of(ROUTE, at(t), 1_200));
        t += 400;
        q.finish(at(t), key, JobOutcome::Completed);
    }
    t
}

/// Guards against a route that is never served because its first request is expected to take as long
/// as the requests of other routes, so that none ever shows how short they are.
#[test]
fn a_new_route_beside_long_requests_is_served() {
    let mut q = TargetQueue::new(4);
    let mut t = run_long_requests(&mut q, 1_000);
    // The target is busy with long requests, and has a free slot.
    for _ in 0..3 {
        run(&mut q, at(t), job_of(ROUTE, at(t), 1_200));
    }
    for _ in 0..20 {
        let key = run(&mut q, at(t), job_of(2, at(t), 120));
        t += 30;
        q.finish(at(t), key, JobOutcome::Completed);
    }
}

/// Guards against a route that is refused for good once its requests have taken longer than their
/// callers wait, with slots free, and against many requests that are cut off to learn that.
#[test]
fn a_route_is_served_again_after_a_slow_spell() {
    let mut q = TargetQueue::new(4);
    // One request ends after its deadline.
    let key = run(&mut q, at(0), job_of(2, at(0), 120));
    q.finish(at(2_000), key, JobOutcome::Completed);
    // The target stays slow for 10 s, then takes 30 ms.
    let (mut probes, mut served) = (0, 0);
    for t in (2_000..20_000).step_by(20) {
        let now = at(t);
        if let JobVerdict::Run(key) = q.offer(now, job_of(2, now, 120)) {
            if t < 12_000 {
                probes += 1;
                q.finish(now + ms(360), key, JobOutcome::Failed);
            } else {
                served += 1;
                q.finish(now + ms(15), key, JobOutcome::Completed);
            }
        }
    }
    assert!((5..=10).contains(&probes), "{probes} probes in 10 s");
    assert!(served >= 340, "{served} of 400 served afterwards");
}

/// Guards against several requests at a time that probe a slow route.
#[test]
fn a_slow_route_gets_one_probe_at_a_time() {
    let mut q = TargetQueue::new(4);
    let key = run(&mut q, at(0), job_of(2, at(0), 120));
    q.finish(at(2_000), key, JobOutcome::Completed);
    run(&mut q, at(5_000), job_of(2, at(5_000), 120));
    for t in [5_000, 5_100, 6_500] {
        let verdict = q.offer(at(t), job_of(2, at(t), 120));
        assert!(matches!(verdict, JobVerdict::Refuse(_)), "{verdict:?}");
    }
}

/// Guards against a target that no node chooses any more for what it was, so that it never shows that
/// it has recovered.
#[test]
fn an_idle_target_reports_less_and_less_of_a_bad_spell() {
    let mut q = TargetQueue::new(4);
    let mut t = run_long_requests(&mut q, 1_000);
    for _ in 0..100 {
        let key = run(&mut q, at(t), job_of(ROUTE, at(t), 1_200));
        q.finish(at(t + 1), key, JobOutcome::Failed);
        t += 1;
    }
    let bad = q.state(at(t));
    assert!(bad.service_time >= ms(390) && bad.failure_rate > 0.9);
    let later = q.state(at(t + 15_000));
    assert!(later.service_time <= ms(60), "{later:?}");
    assert!(later.failure_rate < 0.05, "{later:?}");
    // One outcome counts for what was forgotten.
    let now = t + 15_000;
    let key = run(&mut q, at(now), job_of(ROUTE, at(now), 1_200));
    q.finish(at(now + 30), key, JobOutcome::Completed);
    let recovered = q.state(at(now + 30));
    assert!(recovered.service_time <= ms(60) && recovered.failure_rate < 0.05);
}

/// Guards against an instance that gets no requests beside one that has answered a single request: the
/// first sample would replace the assumption that both started with.
#[test]
fn the_first_sample_does_not_replace_the_initial_assumption() {
    let mut q = TargetQueue::new(4);
    let unused = q.state(at(900_000)).service_time;
    let key = run(&mut q, at(900_000), job_of(ROUTE, at(900_000), 1_200));
    q.finish(at(900_001), key, JobOutcome::Completed);
    let used = q.state(at(900_001)).service_time;
    assert!(used >= unused.mul_f64(0.9), "{used:?} of {unused:?}");
}
