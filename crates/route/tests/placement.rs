//! Placement by the expected time until the response, and the split of a route over services.

use std::sync::Arc;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use route::{
    Candidate, RequestProfile, RouteAverages, Splitter, TransitTime, choose_instance, cost,
    has_free_slot, max_wait_before_reroute, mean_load, relative_service, time_to_free_slot,
};
use wire::{Load, ServiceName};

fn candidate(key: u32, in_flight: u32, queued: u32) -> Candidate<u32> {
    Candidate {
        key,
        is_local: true,
        reported_load: Load {
            in_flight,
            queued,
            slots: 6,
        },
        report_age: Duration::ZERO,
        sent_since: 0,
        service_time: Duration::from_millis(100),
        failure_rate: 0.0,
        transit_time: Duration::ZERO,
        is_unresponsive: false,
    }
}

fn choose(candidates: &[Candidate<u32>], body_bytes: usize) -> Option<u32> {
    choose_instance(
        &mut SmallRng::seed_from_u64(1),
        candidates,
        &profile(body_bytes),
    )
}

fn profile(body_bytes: usize) -> RequestProfile {
    RequestProfile {
        objective: Duration::from_millis(400),
        remaining: Duration::from_millis(400),
        body_bytes,
        response_bytes: 0,
        relative_service: 1.0,
    }
}

/// Guards against a choice by the number of requests alone, or by outdated reports alone.
#[test]
fn lowest_expected_latency_is_chosen() {
    let free = candidate(1, 1, 0);
    let full = candidate(2, 6, 3);
    let slow = Candidate {
        service_time: Duration::from_millis(400),
        ..candidate(3, 0, 0)
    };
    let failing = Candidate {
        failure_rate: 0.6,
        ..candidate(4, 0, 0)
    };
    let many_sent_since = Candidate {
        sent_since: 12,
        ..candidate(5, 0, 0)
    };
    for worse in [full, slow, failing, many_sent_since] {
        assert_eq!(choose(&[worse, free], 0), Some(1), "against {}", worse.key);
    }
}

/// Guards against requests to an instance without slots, and against no choice although one
/// remains.
#[test]
fn instances_without_slots_are_excluded_and_unresponsive_ones_come_last() {
    let mut without_slots = candidate(1, 0, 0);
    without_slots.reported_load.slots = 0;
    let unresponsive = Candidate {
        is_unresponsive: true,
        ..candidate(2, 0, 0)
    };
    let full = candidate(3, 6, 20);
    assert_eq!(choose(&[without_slots], 0), None);
    assert_eq!(choose(&[without_slots, unresponsive], 0), Some(2));
    assert_eq!(choose(&[without_slots, unresponsive, full], 0), Some(3));
}

/// Guards against requests that cross failure domains although they would be in time in their own,
/// and against those that stay although they would be late there; large bodies stay longer.
#[test]
fn requests_stay_in_their_domain_until_they_would_be_late() {
    let remote = Candidate {
        is_local: false,
        ..candidate(2, 0, 0)
    };
    let chosen = |queued, body_bytes| choose(&[candidate(1, 6, queued), remote], body_bytes);
    // A queue of 1 means a wait of 33 ms, one of 12 a wait of 217 ms.
    for queued in [1, 12] {
        assert_eq!(chosen(queued, 500), Some(1), "{queued} queued");
    }
    // A queue of 24 means a wait of 417 ms, past the objective of 400 ms.
    assert_eq!(chosen(24, 500), Some(2));
    assert_eq!(chosen(24, 60_000), Some(1));
    let time = |c| cost(c, 0.5, &profile(60_000));
    assert!(time(&candidate(1, 6, 60)) > time(&remote));
}

/// Guards against a false report that overflows the sums, which would stop the node.
#[test]
fn a_report_of_any_size_is_handled() {
    let false_report = candidate(1, u32::MAX, u32::MAX);
    let candidates = [false_report, candidate(2, 6, 3)];
    assert_eq!(choose(&candidates, 0), Some(2));
    assert!(!has_free_slot(&false_report, mean_load(&candidates)));
    assert_eq!(time_to_free_slot(&[false_report]), Duration::from_secs(5));
}

/// Guards against an advised wait that ignores the queues.
#[test]
fn time_to_room_follows_shortest_queue() {
    let long = candidate(1, 6, 11);
    let short = candidate(2, 6, 2);
    assert_eq!(time_to_free_slot(&[long, short]), Duration::from_millis(50));
    assert_eq!(time_to_free_slot(&[candidate(1, 2, 0)]), Duration::ZERO);
}

/// Guards against shares that deviate from the weights in a small sample, and against a state that
/// outlives a change of the weights.
#[test]
fn split_follows_weights() {
    let route: Arc<str> = "r".into();
    let split = [
        (ServiceName::from("a"), 90),
        (ServiceName::from("b"), 10),
        (ServiceName::from("c"), 0),
    ];
    for phase in [0, 7, u64::MAX] {
        let mut s = Splitter::default();
        let mut count = [0; 3];
        for _ in 0..50 {
            let service = s.choose(&route, &split, phase).unwrap();
            let i = split.iter().position(|(n, _)| *n == service).unwrap();
            count[i] += 1;
        }
        assert!((44..=46).contains(&count[0]), "{count:?}");
        assert_eq!(count[2], 0);
        let new_split = [(ServiceName::from("b"), 1)];
        assert_eq!(s.choose(&route, &new_split, phase).unwrap(), new_split[0].0);
    }
}

/// Guards against requests to a fast target behind a slow link or a busy node.
#[test]
fn transit_time_counts() {
    let mut transit = TransitTime::default();
    for _ in 0..40 {
        transit.record(Duration::from_millis(20), 100);
        transit.record(Duration::from_millis(90), 70_000);
    }
    let is_close =
        |d: Duration, ms: u64| d.abs_diff(Duration::from_millis(ms)) < Duration::from_millis(3);
    assert!(
        is_close(transit.expected(500), 20),
        "{:?}",
        transit.expected(500)
    );
    assert!(
        is_close(transit.expected(70_000), 90),
        "{:?}",
        transit.expected(70_000)
    );
    let slow_link = Candidate {
        transit_time: Duration::from_millis(150),
        ..candidate(1, 0, 0)
    };
    assert_eq!(choose(&[slow_link, candidate(2, 3, 0)], 0), Some(2));
}

/// Guards against entry nodes that all choose the instance with an old report of an empty queue.
#[test]
fn stale_report_falls_back_to_mean_load() {
    let old_empty = Candidate {
        report_age: Duration::from_secs(3),
        ..candidate(1, 0, 0)
    };
    let busy = [candidate(3, 6, 4), candidate(4, 6, 4), candidate(5, 6, 4)];
    let fresh = candidate(2, 4, 0);
    let [a, b, c] = busy;
    assert_eq!(choose(&[old_empty, fresh, a, b, c], 0), Some(2));
}

/// Guards against requests that queue while other instances have free slots, and against rerouting
/// in a service that is full.
#[test]
fn free_slots_elsewhere_bound_the_wait() {
    let full = candidate(1, 6, 4);
    let free = Candidate {
        transit_time: Duration::from_millis(20),
        ..candidate(2, 2, 0)
    };
    let unresponsive = Candidate {
        is_unresponsive: true,
        ..candidate(3, 0, 0)
    };
    let failing = Candidate {
        failure_rate: 0.8,
        ..candidate(4, 0, 0)
    };
    let wait = max_wait_before_reroute(&[full, free], &1).unwrap();
    assert!(
        wait >= free.transit_time && wait < full.service_time,
        "{wait:?}"
    );
    assert_eq!(max_wait_before_reroute(&[full, free], &2), None);
    assert_eq!(
        max_wait_before_reroute(&[full, unresponsive, failing], &1),
        None
    );
    // A report older than several service times is replaced by the mean load.
    let old = Candidate {
        report_age: Duration::from_secs(60),
        ..candidate(5, 6, 0)
    };
    let busy: Vec<_> = (6..9).map(|key| candidate(key, 6, 0)).collect();
    let lightly_loaded: Vec<_> = (6..9).map(|key| candidate(key, 1, 0)).collect();
    let with = |others: &[Candidate<u32>]| [&[old], others].concat();
    assert!(!has_free_slot(&old, mean_load(&with(&busy))));
    assert!(has_free_slot(&old, mean_load(&with(&lightly_loaded))));
}

/// Guards against bytes that cross failure domains to avoid a short wait for which the objective
/// leaves time, and against large responses whose bytes cost nothing.
#[test]
fn cross_domain_cost_follows_objective_and_response_size() {
    let busy = candidate(1, 6, 5);
    let remote = Candidate {
        is_local: false,
        ..candidate(2, 0, 0)
    };
    let profile = |objective_ms, response_bytes| {
        let objective = Duration::from_millis(objective_ms);
        RequestProfile {
            objective,
            remaining: objective,
            body_bytes: 0,
            response_bytes,
            relative_service: 1.0,
        }
    };
    let choose =
        |p: &RequestProfile| choose_instance(&mut SmallRng::seed_from_u64(1), &[busy, remote], p);
    assert_eq!(choose(&profile(400, 1_000)), Some(1));
    assert_eq!(choose(&profile(150, 1_000)), Some(2));
    assert_eq!(choose(&profile(400, 20_000)), Some(1));
    assert_eq!(choose(&profile(4_000, 4_000)), Some(1));
    // A request that would miss its objective in the own domain crosses domains, unless the
    // objective has already passed.
    assert_eq!(choose(&profile(150, 20_000)), Some(2));
    let late = RequestProfile {
        remaining: Duration::ZERO,
        ..profile(150, 20_000)
    };
    assert_eq!(choose(&late), Some(1));
}

/// Guards against calls that cross failure domains, or are hedged at a faster instance, as if they
/// took as long as the other requests of the service.
#[test]
fn a_short_request_is_not_expected_late_at_an_instance_with_long_ones() {
    // Both run long requests; the remote instance is a little faster.
    let local = candidate(1, 2, 0);
    let remote = Candidate {
        is_local: false,
        service_time: Duration::from_millis(50),
        ..candidate(2, 2, 0)
    };
    let candidates = [local, remote];
    let relative_service = relative_service(&candidates, Duration::from_millis(15));
    assert_eq!(relative_service, 0.2);
    let profile = |relative_service| RequestProfile {
        objective: Duration::from_millis(60),
        remaining: Duration::from_millis(60),
        relative_service,
        ..profile(0)
    };
    let choose = |p| choose_instance(&mut SmallRng::seed_from_u64(1), &candidates, &p);
    assert_eq!(choose(profile(1.0)), Some(2));
    assert_eq!(choose(profile(relative_service)), Some(1));
}

/// Guards against averages that aren't tracked, or are retained after their route is removed.
#[test]
fn averages_are_tracked_per_route() {
    let (a, b): (Arc<str>, Arc<str>) = ("a".into(), "b".into());
    let mut averages = RouteAverages::default();
    assert_eq!(averages.mean_bytes("a"), 0);
    assert_eq!(averages.mean_service("a"), None);
    for _ in 0..100 {
        averages.record(&a, 1_500, Duration::from_millis(80));
        averages.record(&b, 90, Duration::from_millis(10));
    }
    let bytes = |averages: &RouteAverages| (averages.mean_bytes("a"), averages.mean_bytes("b"));
    assert_eq!(bytes(&averages), (1_500, 90));
    assert_eq!(averages.mean_service("a"), Some(Duration::from_millis(80)));
    averages.retain(|name| name == "a");
    assert_eq!(bytes(&averages), (1_500, 0));
    assert_eq!(averages.mean_service("b"), None);
}
