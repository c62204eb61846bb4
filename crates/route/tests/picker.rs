//! Choice of an instance by the picker.

use std::collections::BTreeMap;
use std::time::Duration;

use googletest::prelude::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use route::{
    InstanceView, OutcomeKind, PickRequest, Picker, PickerCfg, RouteKey, State, Ticket, max_ejected,
};
use wire::{Code, Domain, InstanceId, Time};

const ROUTE: RouteKey = RouteKey(7);

fn view(id: u64, domain: &str) -> InstanceView {
    InstanceView {
        id: InstanceId(id),
        domain: Domain::from(domain),
        slots: 6,
        state: State::Ready,
        is_fresh: false,
    }
}

fn picker(views: &[InstanceView]) -> Picker {
    let mut p = Picker::new(PickerCfg::new(InstanceId(1_000), Domain::from("a")), 1);
    p.set_instances(Time::ZERO, views);
    p
}

fn pick_id(p: &mut Picker, now: Time, exclude: &[u64]) -> Option<u64> {
    let exclude: Vec<InstanceId> = exclude.iter().copied().map(InstanceId).collect();
    let request = PickRequest {
        exclude: &exclude,
        ..PickRequest::default()
    };
    p.pick(now, &request).map(|pick| pick.id.0)
}

/// Counts picks per instance. Each attempt stays in flight until `hold` more picks have been made.
fn count_picks(p: &mut Picker, from: Time, picks: usize, hold: usize) -> BTreeMap<u64, usize> {
    let mut in_flight: Vec<(u64, Ticket)> = Vec::new();
    let mut counts = BTreeMap::new();
    for i in 0..picks {
        let now = from + Duration::from_micros(100 * i as u64);
        if in_flight.len() == hold {
            p.end(now, in_flight.remove(0).1, OutcomeKind::Ok.into());
        }
        let id = pick_id(p, now, &[]).expect("an instance");
        in_flight.push((id, p.begin(now, InstanceId(id), ROUTE)));
        *counts.entry(id).or_default() += 1;
    }
    for (_, ticket) in in_flight {
        p.end(
            from + Duration::from_secs(1),
            ticket,
            OutcomeKind::Ok.into(),
        );
    }
    counts
}

/// Guards against picks of instances that don't accept requests, and against a second attempt on
/// the same instance.
#[gtest]
fn only_ready_untried_instances_are_picked() {
    let cases: [(State, &[u64], Option<u64>); 5] = [
        (State::Ready, &[], Some(1)),
        (State::Ready, &[1], None),
        (State::Draining, &[], None),
        (State::Starting, &[], None),
        (State::Draining, &[1], None),
    ];
    for (state, exclude, want) in cases {
        let mut p = picker(&[InstanceView {
            state,
            ..view(1, "a")
        }]);
        expect_that!(
            pick_id(&mut p, Time::ZERO, exclude),
            eq(want),
            "{state:?} {exclude:?}"
        );
    }
}

/// Guards against picks of an instance that refused because it drains, before membership reports
/// the drain, and against a backoff that never ends.
#[gtest]
fn draining_refusal_pauses_picks() {
    let mut p = picker(&[view(1, "a")]);
    let t = p.begin(Time::ZERO, InstanceId(1), ROUTE);
    p.end(Time::ZERO, t, OutcomeKind::Refused(Code::Draining).into());
    expect_that!(pick_id(&mut p, Time::from_millis(2_999), &[]), none());
    expect_that!(pick_id(&mut p, Time::from_millis(3_001), &[]), some(eq(1)));
}

/// Guards against picks outside the own failure domain while that domain has room, and against the
/// lack of such picks when the domain is full.
#[gtest]
fn own_domain_first_then_spillover() {
    let views = [view(1, "a"), view(2, "a"), view(3, "b"), view(4, "c")];
    let light = count_picks(&mut picker(&views), Time::ZERO, 200, 3);
    expect_that!(
        light.keys().collect::<Vec<_>>(),
        elements_are![eq(&&1), eq(&&2)]
    );
    let heavy = count_picks(&mut picker(&views), Time::ZERO, 200, 18);
    expect_that!(heavy.len(), eq(4));
    let mut p = picker(&views);
    let busy = [1, 2].map(|id| p.begin(Time::ZERO, InstanceId(id), ROUTE));
    for t in busy {
        p.end(Time::ZERO, t, OutcomeKind::Refused(Code::QueueFull).into());
    }
    expect_that!(pick_id(&mut p, Time::ZERO, &[]), some(ge(3)));
}

/// Guards against traffic that alternates between domains while the load is close to the limit.
#[gtest]
fn spillover_has_hysteresis() {
    let mut p = picker(&[view(1, "a"), view(2, "b")]);
    let (mut flips, mut last) = (0, 0);
    for ms in 0..2_000 {
        let now = Time::from_millis(ms);
        // The used share of the own domain's slots alternates between a third and a half.
        let in_flight: Vec<Ticket> = (0..2 + ms % 2)
            .map(|_| p.begin(now, InstanceId(1), ROUTE))
            .collect();
        let before = p.stats().cross_domain;
        for _ in 0..10 {
            pick_id(&mut p, now, &[]);
        }
        let crosses = u64::from(p.stats().cross_domain > before);
        flips += u64::from(crosses != last);
        last = crosses;
        in_flight
            .into_iter()
            .for_each(|t| p.end(now, t, OutcomeKind::Cancelled.into()));
    }
    expect_that!(flips, le(8));
}

/// Guards against a distribution that ignores the number of slots or the slow start.
#[gtest]
fn requests_follow_slots_and_slow_start() {
    let mut views = [view(1, "a"), view(2, "a"), view(3, "a")];
    views[1].slots = 18;
    views[2].is_fresh = true;
    let early = count_picks(&mut picker(&views), Time::ZERO, 1_000, 12);
    expect_that!(early[&2] as f64 / early[&1] as f64, ge(1.5));
    expect_that!(early.get(&3).copied().unwrap_or(0), le(early[&1] / 2));
    let late = count_picks(&mut picker(&views), Time::from_millis(6_000), 1_000, 12);
    expect_that!(late[&3] as f64 / late[&1] as f64, ge(0.7));
}

/// Guards against choices that depend on anything but the inputs and the seed.
#[gtest]
fn choices_are_deterministic() {
    let mut views: Vec<InstanceView> = (0..9).map(|i| view(i, "a")).collect();
    let first = count_picks(&mut picker(&views), Time::ZERO, 500, 7);
    views.reverse();
    expect_that!(
        count_picks(&mut picker(&views), Time::ZERO, 500, 7),
        eq(&first)
    );
}

/// Guards against a node that uses too many instances, or none in other failure domains, or that
/// changes more than one of them when one instance leaves.
#[gtest]
fn large_service_uses_a_stable_subset() {
    for (own, want_own) in [(5, 5), (16, 16), (100, 16)] {
        let mut views: Vec<InstanceView> = (0..own).map(|i| view(i, "a")).collect();
        views.extend((1_000..1_100).map(|i| view(i, "b")));
        let mut p = picker(&views);
        let used: Vec<InstanceId> = p.instances().collect();
        expect_that!(used.len(), eq(20));
        expect_that!(used.iter().filter(|id| id.0 < 1_000).count(), eq(want_own));
        views.retain(|v| v.id != used[19]);
        p.set_instances(Time::ZERO, &views);
        expect_that!(p.instances().filter(|id| used.contains(id)).count(), eq(19));
    }
}

#[derive(Clone, Debug)]
enum Op {
    /// Replaces the instances; each is an id and a state as in `views`.
    Set(Vec<(u64, u8)>),
    Pick {
        hedge: bool,
    },
    /// Ends an attempt in flight with an outcome of `KINDS`, given by its index.
    End {
        which: usize,
        kind: usize,
    },
    /// Advances the clock by this many microseconds.
    Wait(u64),
}

fn op() -> impl Strategy<Value = Op> {
    prop_oneof![
        1 => prop::collection::vec((0..8_u64, 0..6_u8), 0..9).prop_map(Op::Set),
        8 => any::<bool>().prop_map(|hedge| Op::Pick { hedge }),
        6 => (any::<usize>(), 0..9_usize).prop_map(|(which, kind)| Op::End { which, kind }),
        4 => (0..400_000_u64).prop_map(Op::Wait),
    ]
}

const KINDS: [OutcomeKind; 9] = [
    OutcomeKind::Ok,
    OutcomeKind::Ok,
    OutcomeKind::Refused(Code::TargetDown),
    OutcomeKind::Refused(Code::QueueFull),
    OutcomeKind::ConnectFailed,
    OutcomeKind::ConnectionLost,
    OutcomeKind::TimedOut,
    OutcomeKind::Cancelled,
    OutcomeKind::Overtaken,
];

/// Makes instances from ids and states: 0 is draining, 1 starting, any other number ready.
fn views(states: &[(u64, u8)]) -> Vec<InstanceView> {
    let unique: BTreeMap<u64, u8> = states.iter().copied().collect();
    let state = |n| [State::Draining, State::Starting].get(n as usize).copied();
    let domain = |id| ["a", "b", "c"][id as usize % 3];
    unique
        .into_iter()
        .map(|(id, s)| InstanceView {
            state: state(s).unwrap_or(State::Ready),
            ..view(id, domain(id))
        })
        .collect()
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(11),
        cases: 400,
        ..ProptestConfig::default()
    })]

    /// Guards, over random histories, against picks of draining or tried instances, against more
    /// than a third of the instances ejected, against no pick while an untried ready instance
    /// remains, and against in-flight counts that leak or underflow.
    #[test]
    fn invariants_hold_over_any_history(ops in prop::collection::vec(op(), 1..300)) {
        let mut now = Time::from_millis(1);
        let mut current = views(&[(0, 5), (1, 5), (2, 5), (3, 5)]);
        let mut p = picker(&current);
        // Attempts in flight: the instance, its incarnation and the ticket.
        let mut open: Vec<(InstanceId, u32, Ticket)> = Vec::new();
        let mut incarnations: BTreeMap<InstanceId, u32> = BTreeMap::new();
        for op in ops {
            match op {
                Op::Wait(us) => now = now + Duration::from_micros(us),
                Op::Set(states) => {
                    let next = views(&states);
                    for departed in current.iter().filter(|v| next.iter().all(|n| n.id != v.id)) {
                        *incarnations.entry(departed.id).or_default() += 1;
                    }
                    current = next;
                    p.set_instances(now, &current);
                }
                Op::End { which, kind } if !open.is_empty() => {
                    let (_, _, ticket) = open.swap_remove(which % open.len());
                    p.end(now, ticket, KINDS[kind].into());
                    p.end(now, ticket, KINDS[kind].into());
                }
                Op::End { .. } => {}
                Op::Pick { hedge } => {
                    let tried: Vec<InstanceId> =
                        open.last().filter(|_| hedge).map(|o| o.0).into_iter().collect();
                    let request = PickRequest { exclude: &tried, is_hedge: hedge, is_repeatable: hedge };
                    if let Some(pick) = p.pick(now, &request) {
                        prop_assert!(!tried.contains(&pick.id));
                        let v = current.iter().find(|v| v.id == pick.id);
                        prop_assert_eq!(v.map(|v| v.state), Some(State::Ready));
                        let incarnation = incarnations.get(&pick.id).copied().unwrap_or(0);
                        open.push((pick.id, incarnation, p.begin(now, pick.id, ROUTE)));
                    } else {
                        let untried = |v: &&InstanceView| v.state == State::Ready && !tried.contains(&v.id);
                        prop_assert_eq!(current.iter().filter(untried).count(), 0);
                    }
                }
            }
            let ready = current.iter().filter(|v| v.state == State::Ready).count();
            prop_assert!(p.ejected().count() <= max_ejected(ready));
            for v in &current {
                let incarnation = incarnations.get(&v.id).copied().unwrap_or(0);
                let in_flight = open.iter().filter(|o| (o.0, o.1) == (v.id, incarnation)).count();
                prop_assert_eq!(p.in_flight(v.id), in_flight as u32);
            }
        }
    }
}
