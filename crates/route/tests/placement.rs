//! Placement by the time until the answer, and the split of a route over services.

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

fn chosen(candidates: &[Candidate<u32>], body: usize) -> Option<u32> {
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

/// Guards against choices by the number of requests alone, or by old reports alone.
#[test]
fn the_instance_that_answers_first_is_chosen() {
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
    let flooded = Candidate {
        sent_since: 12,
        ..candidate(5, 0, 0)
    };
    for worse in [full, slow, failing, flooded] {
        assert_eq!(chosen(&[worse, free], 0), Some(1), "against {}", worse.key);
    }
}

/// Guards against work for an instance that takes none, and against none although one is left.
#[test]
fn instances_without_slots_are_never_chosen_and_silent_ones_last() {
    let mut closed = candidate(1, 0, 0);
    closed.load.slots = 0;
    let silent = Candidate {
        silent: true,
        ..candidate(2, 0, 0)
    };
    let full = candidate(3, 6, 20);
    assert_eq!(chosen(&[closed], 0), None);
    assert_eq!(chosen(&[closed, silent], 0), Some(2));
    assert_eq!(chosen(&[closed, silent, full], 0), Some(3));
}

/// Guards against large bodies that cross failure domains although waiting is cheaper, and against
/// small ones that wait.
#[test]
fn large_bodies_stay_near_until_the_wait_costs_more() {
    let busy = candidate(1, 6, 1);
    let far = Candidate {
        near: false,
        ..candidate(2, 0, 0)
    };
    assert_eq!(chosen(&[busy, far], 500), Some(2));
    assert_eq!(chosen(&[busy, far], 60_000), Some(1));
    let time = |c| cost(c, 0.5, &stake(60_000));
    assert!(time(&candidate(1, 6, 60)) > time(&far));
}

/// Guards against advice that ignores the queue.
#[test]
fn room_comes_after_the_shortest_queue() {
    let long = candidate(1, 6, 11);
    let short = candidate(2, 6, 2);
    assert_eq!(time_to_room(&[long, short]), Duration::from_millis(50));
    assert_eq!(time_to_room(&[candidate(1, 2, 0)]), Duration::ZERO);
}

/// Guards against shares that are off in a small sample, and against a state that outlives a
/// change of weights.
#[test]
fn each_part_of_a_split_gets_its_weight() {
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
        let moved = [(ServiceName::from("b"), 1)];
        assert_eq!(s.choose(&route, &moved, phase).unwrap(), moved[0].0);
    }
}

/// Guards against work for a fast target behind a slow link or a busy node.
#[test]
fn the_time_on_the_way_counts() {
    let mut way = WayTime::default();
    for _ in 0..40 {
        way.measure(Duration::from_millis(20), 100);
        way.measure(Duration::from_millis(90), 70_000);
    }
    let near =
        |d: Duration, ms: u64| d.abs_diff(Duration::from_millis(ms)) < Duration::from_millis(3);
    assert!(near(way.expected(500), 20), "{:?}", way.expected(500));
    assert!(near(way.expected(70_000), 90), "{:?}", way.expected(70_000));
    let slow_link = Candidate {
        on_the_way: Duration::from_millis(150),
        ..candidate(1, 0, 0)
    };
    assert_eq!(chosen(&[slow_link, candidate(2, 3, 0)], 0), Some(2));
}

/// Guards against entry nodes that all choose the instance whose old report shows it empty.
#[test]
fn an_old_report_counts_as_the_usual_load() {
    let old_empty = Candidate {
        age: Duration::from_secs(3),
        ..candidate(1, 0, 0)
    };
    let busy = [candidate(3, 6, 4), candidate(4, 6, 4), candidate(5, 6, 4)];
    let fresh = candidate(2, 4, 0);
    let [a, b, c] = busy;
    assert_eq!(chosen(&[old_empty, fresh, a, b, c], 0), Some(2));
}

/// Guards against requests that wait beside free slots, and against asking around in a service that
/// is full.
#[test]
fn others_with_room_bound_the_wait() {
    let full = candidate(1, 6, 4);
    let free = Candidate {
        on_the_way: Duration::from_millis(20),
        ..candidate(2, 2, 0)
    };
    let silent = Candidate {
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
    assert_eq!(room_elsewhere(&[full, silent, failing], &1), None);
    // A report that is older than some service times says that the load is as usual.
    let old = Candidate {
        age: Duration::from_secs(60),
        ..candidate(5, 6, 0)
    };
    let busy: Vec<_> = (6..9).map(|key| candidate(key, 6, 0)).collect();
    let quiet: Vec<_> = (6..9).map(|key| candidate(key, 1, 0)).collect();
    let with = |others: &[Candidate<u32>]| [&[old], others].concat();
    assert!(!has_room(&old, usual_load(&with(&busy))));
    assert!(has_room(&old, usual_load(&with(&quiet))));
}

/// Guards against bytes that cross failure domains for a short wait, although the objective leaves
/// time for it, and against large answers that count as nothing.
#[test]
fn what_crosses_is_priced_by_the_objective_and_the_answer() {
    let busy = candidate(1, 6, 5);
    let far = Candidate {
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
    let chosen = |s: &Stake| place(&mut SmallRng::seed_from_u64(1), &[busy, far], s);
    assert_eq!(chosen(&stake(400, 1_000)), Some(2));
    assert_eq!(chosen(&stake(400, 20_000)), Some(1));
    assert_eq!(chosen(&stake(4_000, 4_000)), Some(1));
    // What would be late nearby is worth more far away, unless it is late already.
    assert_eq!(chosen(&stake(150, 20_000)), Some(2));
    let late = Stake {
        left: Duration::ZERO,
        ..stake(150, 20_000)
    };
    assert_eq!(chosen(&late), Some(1));
}

/// Guards against a route's usual answer that is forgotten, or kept after the route has gone.
#[test]
fn the_usual_size_of_answers_is_learnt() {
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
