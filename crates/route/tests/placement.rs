//! Placement by the expected time until the response, and the split of a route over services.

use std::sync::Arc;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use route::{
    AnswerSizes, Candidate, Splitter, Stake, WayTime, cost, has_room, place, room_elsewhere,
    time_to_room, usual_load,
};
use wire::{Load, ServiceName};

fn candidate(key: u32, in_flight: u32, queued: u32) -> Candidate<u32> {
    Candidate {
        key,
        near: true,
        load: Load {
            in_flight,
            queued,
            slots: 6,
        },
        age: Duration::ZERO,
        sent_since: 0,
        service: Duration::from_millis(100),
        failing: 0.0,
        on_the_way: Duration::ZERO,
        silent: false,
    }
}

fn choose_instance(candidates: &[Candidate<u32>], body: usize) -> Option<u32> {
    place(&mut SmallRng::seed_from_u64(1), candidates, &stake(body))
}

fn stake(body_bytes: usize) -> Stake {
    Stake {
        objective: Duration::from_millis(400),
        left: Duration::from_millis(400),
        body_bytes,
        answer_bytes: 0,
    }
}

/// Guards against a choice by the number of requests alone, or by outdated reports alone.
#[test]
fn lowest_expected_latency_is_chosen() {
    let free = candidate(1, 1, 0);
    let full = candidate(2, 6, 3);
    let slow = Candidate {
        service: Duration::from_millis(400),
        ..candidate(3, 0, 0)
    };
    let failing = Candidate {
        failing: 0.6,
        ..candidate(4, 0, 0)
    };
    let many_sent_since = Candidate {
        sent_since: 12,
        ..candidate(5, 0, 0)
    };
    for worse in [full, slow, failing, many_sent_since] {
        assert_eq!(
            choose_instance(&[worse, free], 0),
            Some(1),
            "against {}",
            worse.key
        );
    }
}

/// Guards against requests to an instance without slots, and against no choice although one
/// remains.
#[test]
fn instances_without_slots_are_excluded_and_unresponsive_ones_come_last() {
    let mut without_slots = candidate(1, 0, 0);
    without_slots.load.slots = 0;
    let unresponsive = Candidate {
        silent: true,
        ..candidate(2, 0, 0)
    };
    let full = candidate(3, 6, 20);
    assert_eq!(choose_instance(&[without_slots], 0), None);
    assert_eq!(choose_instance(&[without_slots, unresponsive], 0), Some(2));
    assert_eq!(
        choose_instance(&[without_slots, unresponsive, full], 0),
        Some(3)
    );
}

/// Guards against large bodies that cross failure domains although waiting costs less, and against
/// small ones that wait instead.
#[test]
fn large_bodies_stay_local_until_waiting_costs_more() {
    let busy = candidate(1, 6, 1);
    let remote = Candidate {
        near: false,
        ..candidate(2, 0, 0)
    };
    assert_eq!(choose_instance(&[busy, remote], 500), Some(2));
    assert_eq!(choose_instance(&[busy, remote], 60_000), Some(1));
    let time = |c| cost(c, 0.5, &stake(60_000));
    assert!(time(&candidate(1, 6, 60)) > time(&remote));
}

/// Guards against an advised wait that ignores the queues.
#[test]
fn time_to_room_follows_shortest_queue() {
    let long = candidate(1, 6, 11);
    let short = candidate(2, 6, 2);
    assert_eq!(time_to_room(&[long, short]), Duration::from_millis(50));
    assert_eq!(time_to_room(&[candidate(1, 2, 0)]), Duration::ZERO);
}

/// Guards against shares that deviate in a small sample, and against a state that outlives a change
/// of the weights.
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
    let mut transit = WayTime::default();
    for _ in 0..40 {
        transit.measure(Duration::from_millis(20), 100);
        transit.measure(Duration::from_millis(90), 70_000);
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
        on_the_way: Duration::from_millis(150),
        ..candidate(1, 0, 0)
    };
    assert_eq!(
        choose_instance(&[slow_link, candidate(2, 3, 0)], 0),
        Some(2)
    );
}

/// Guards against entry nodes that all choose the instance with an old report of an empty queue.
#[test]
fn stale_report_falls_back_to_mean_load() {
    let old_empty = Candidate {
        age: Duration::from_secs(3),
        ..candidate(1, 0, 0)
    };
    let busy = [candidate(3, 6, 4), candidate(4, 6, 4), candidate(5, 6, 4)];
    let fresh = candidate(2, 4, 0);
    let [a, b, c] = busy;
    assert_eq!(choose_instance(&[old_empty, fresh, a, b, c], 0), Some(2));
}

/// Guards against requests that queue while other instances have free slots, and against rerouting
/// in a service that is full.
#[test]
fn free_slots_elsewhere_bound_the_wait() {
    let full = candidate(1, 6, 4);
    let free = Candidate {
        on_the_way: Duration::from_millis(20),
        ..candidate(2, 2, 0)
    };
    let unresponsive = Candidate {
        silent: true,
        ..candidate(3, 0, 0)
    };
    let failing = Candidate {
        failing: 0.8,
        ..candidate(4, 0, 0)
    };
    let wait = room_elsewhere(&[full, free], &1).unwrap();
    assert!(wait >= free.on_the_way && wait < full.service, "{wait:?}");
    assert_eq!(room_elsewhere(&[full, free], &2), None);
    assert_eq!(room_elsewhere(&[full, unresponsive, failing], &1), None);
    // A report older than several service times is replaced by the mean load.
    let old = Candidate {
        age: Duration::from_secs(60),
        ..candidate(5, 6, 0)
    };
    let busy: Vec<_> = (6..9).map(|key| candidate(key, 6, 0)).collect();
    let lightly_loaded: Vec<_> = (6..9).map(|key| candidate(key, 1, 0)).collect();
    let with = |others: &[Candidate<u32>]| [&[old], others].concat();
    assert!(!has_room(&old, usual_load(&with(&busy))));
    assert!(has_room(&old, usual_load(&with(&lightly_loaded))));
}

/// Guards against bytes that cross failure domains to avoid a short wait although the objective
/// leaves time for it, and against large responses that count as free.
#[test]
fn cross_domain_cost_follows_objective_and_response_size() {
    let busy = candidate(1, 6, 5);
    let remote = Candidate {
        near: false,
        ..candidate(2, 0, 0)
    };
    let stake = |objective, answer_bytes| {
        let objective = Duration::from_millis(objective);
        Stake {
            objective,
            left: objective,
            body_bytes: 0,
            answer_bytes,
        }
    };
    let choose_instance = |s: &Stake| place(&mut SmallRng::seed_from_u64(1), &[busy, remote], s);
    assert_eq!(choose_instance(&stake(400, 1_000)), Some(2));
    assert_eq!(choose_instance(&stake(400, 20_000)), Some(1));
    assert_eq!(choose_instance(&stake(4_000, 4_000)), Some(1));
    // A request that would miss its objective in the own domain crosses domains, unless the
    // objective has already passed.
    assert_eq!(choose_instance(&stake(150, 20_000)), Some(2));
    let late = Stake {
        left: Duration::ZERO,
        ..stake(150, 20_000)
    };
    assert_eq!(choose_instance(&late), Some(1));
}

/// Guards against a mean response size that isn't tracked, or is retained after its route is
/// removed.
#[test]
fn mean_response_size_is_tracked_per_route() {
    let (a, b): (Arc<str>, Arc<str>) = ("a".into(), "b".into());
    let mut sizes = AnswerSizes::default();
    assert_eq!(sizes.usual("a"), 0);
    for _ in 0..100 {
        sizes.measure(&a, 1_500);
        sizes.measure(&b, 90);
    }
    assert_eq!((sizes.usual("a"), sizes.usual("b")), (1_500, 90));
    sizes.retain(|name| name == "a");
    assert_eq!((sizes.usual("a"), sizes.usual("b")), (1_500, 0));
}
