//! Failure detection and dissemination in a simulated mesh with network faults.

mod net;

use std::time::Duration;

use googletest::prelude::*;
use member::{Action, Change, Config, Event, Member, Rumour, Scope, State, Table, Update};
use net::{Faults, Net, addr, domain, push, record};
use proptest::prelude::{ProptestConfig, any, prop_oneof, proptest};
use proptest::strategy::Strategy;
use proptest::test_runner::RngSeed;
use wire::{Fingerprint, InstanceId, Time, Version};

const NO_FAULTS: Faults = Faults {
    loss: 0.0,
    duplication: 0.0,
    max_extra_delay: Duration::ZERO,
};
const LOSSY: Faults = Faults {
    loss: 0.05,
    ..NO_FAULTS
};
const LOSSY_AND_REORDERING: Faults = Faults {
    loss: 0.1,
    duplication: 0.1,
    max_extra_delay: Duration::from_millis(250),
};

/// Limit for convergence of all views. In a group of up to 12, detection (a probe round and an
/// extended suspicion) and repair by table comparison each take well under this.
const CONVERGENCE_LIMIT: Duration = Duration::from_secs(45);

fn secs(s: u64) -> Duration {
    Duration::from_secs(s)
}

fn config(cases: u32, seed: u64) -> ProptestConfig {
    let rng_seed = RngSeed::Fixed(seed);
    ProptestConfig {
        cases,
        rng_seed,
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

fn is_down(c: &Change) -> bool {
    matches!(c, Change::Down(_))
}

/// Runs a single member for `seconds` and returns the changes that it reports.
fn tick(m: &mut Member, now: &mut Time, seconds: u64) -> Vec<Change> {
    let end = *now + secs(seconds);
    let mut changes = Vec::new();
    while *now < end {
        *now = *now + Duration::from_millis(50);
        let actions = m.handle(*now, Event::Tick).into_iter();
        changes.extend(actions.filter_map(|a| match a {
            Action::Changed(c) => Some(c),
            _ => None,
        }));
    }
    changes
}

/// Step of a fault sequence. The `usize` is the index of a member, that of `Partition` the index of
/// a failure domain.
#[derive(Clone, Copy, Debug)]
enum Step {
    Kill(usize),
    Start(usize),
    /// Pauses a member for this many seconds.
    Pause(usize, u64),
    SetState(usize, State),
    Partition(usize),
    /// Ends all partitions.
    Heal,
    /// Waits for this many milliseconds.
    Wait(u64),
}

fn step(n: usize) -> impl Strategy<Value = Step> {
    let state = || {
        prop_oneof![
            proptest::strategy::Just(State::Ready),
            proptest::strategy::Just(State::Draining),
            proptest::strategy::Just(State::Left),
        ]
    };
    prop_oneof![
        (0..n).prop_map(Step::Kill),
        (0..n).prop_map(Step::Start),
        (0..n, 1..40_u64).prop_map(|(i, s)| Step::Pause(i, s)),
        (0..n, state()).prop_map(|(i, s)| Step::SetState(i, s)),
        (0..3_usize).prop_map(Step::Partition),
        proptest::strategy::Just(Step::Heal),
        (0..20_000_u64).prop_map(Step::Wait),
    ]
}

fn run_step(net: &mut Net, step: Step) {
    match step {
        Step::Kill(i) => net.kill(i),
        Step::Start(i) => net.start(i),
        Step::Pause(i, s) if net.nodes[i].is_live => {
            net.pause(i);
            net.run(secs(s));
            net.resume(i);
        }
        Step::SetState(i, state) if net.nodes[i].is_live => {
            net.set_state(i, state);
            if state == State::Left {
                net.run(Duration::from_millis(50));
                net.kill(i);
            }
        }
        Step::Partition(d) => _ = net.partitioned.insert(domain(d)),
        Step::Heal => net.partitioned.clear(),
        Step::Wait(ms) => net.run(Duration::from_millis(ms)),
        Step::Pause(..) | Step::SetState(..) => {}
    }
}

proptest! {
    #![proptest_config(config(48, 11))]

    /// Guards against live members that stay missing and dead ones that stay listed after any
    /// sequence of kills, restarts, pauses, drains and partitions, on a network that loses,
    /// duplicates and reorders messages.
    #[test]
    fn views_converge_after_any_faults(
        seed in any::<u64>(),
        steps in proptest::collection::vec(step(9), 1..14),
    ) {
        let mut net = Net::with_ready_members(9, seed, NO_FAULTS);
        net.faults = LOSSY_AND_REORDERING;
        for s in steps {
            run_step(&mut net, s);
        }
        net.faults = Faults { loss: 0.0, ..LOSSY_AND_REORDERING };
        net.partitioned.clear();
        let converged = net.run_until_converged(CONVERGENCE_LIMIT);
        proptest::prop_assert!(converged.is_ok(), "{converged:?}");
    }
}

/// Guards against a stale record on partitioned members after an instance restarts with the
/// incarnation that it had before the restart.
#[gtest]
fn reused_incarnation_after_restart_is_detected() {
    let mut net = Net::with_ready_members(9, 7_756_953_041_471_277_229, NO_FAULTS);
    net.faults = LOSSY_AND_REORDERING;
    let steps = [
        Step::Kill(8),
        Step::Partition(1),
        Step::Partition(0),
        Step::Wait(6_384),
    ];
    for s in steps
        .into_iter()
        .chain([Step::Pause(7, 37), Step::Start(2), Step::Heal])
    {
        run_step(&mut net, s);
    }
    net.faults.loss = 0.0;
    expect_that!(net.run_until_converged(CONVERGENCE_LIMIT), ok(anything()));
}

/// Guards against updates that are not relayed by members that don't store the record themselves.
#[gtest]
fn state_change_is_relayed_by_members_out_of_scope() {
    for seed in 0..5 {
        let mut net = Net::with_ready_members(60, seed, LOSSY);
        for i in 0..60 {
            let own = net.nodes[i].member.own().service.clone();
            net.handle(i, Event::SetScope(Scope::Services([own].into())));
        }
        net.run(secs(30));
        net.set_state(31, State::Draining);
        let took = net.dissemination_time(31, State::Draining, secs(3));
        expect_that!(took, some(anything()), "seed {seed}");
        net.kill(31);
        net.run(secs(30));
        let id = record(31, 0).id;
        let storing = net
            .live()
            .filter(|&i| net.nodes[i].member.record(id).is_some());
        expect_that!(storing.count(), eq(0), "seed {seed}");
    }
}

/// Guards against a joining member that is missing in the view of another member.
#[gtest]
fn new_mesh_converges_to_complete_views() {
    for n in [2, 12, 50] {
        let net = Net::with_ready_members(n, 1, LOSSY);
        expect_that!(net.first_view_mismatch(), none(), "{n} members");
    }
}

/// Guards against a state change that reaches some members later than 3 s: a draining target would
/// still get requests, and a ready one would get none.
#[gtest]
fn state_change_reaches_all_members_within_three_seconds() {
    for (n, seeds) in [(12, 20), (50, 10), (200, 2)] {
        for seed in 0..seeds {
            let mut net = Net::with_ready_members(n, seed, LOSSY);
            for state in [State::Draining, State::Ready, State::Starting] {
                let took = net.dissemination_time(n / 2, State::Ready, secs(0));
                expect_that!(took.is_some() || state != State::Draining, eq(true));
                net.set_state(n / 2, state);
                let took = net.dissemination_time(n / 2, state, secs(3));
                expect_that!(
                    took,
                    some(anything()),
                    "{n} members, seed {seed}, {state:?}"
                );
            }
        }
    }
}

/// Guards against live members that are declared dead because of lost messages.
#[gtest]
fn no_false_deaths_at_five_percent_loss() {
    for seed in 0..3 {
        let mut net = Net::with_ready_members(30, seed, LOSSY);
        net.clear_changes();
        net.run(secs(300));
        let deaths: usize = (0..30).map(|i| net.changes(i, is_down)).sum();
        expect_that!(deaths, eq(0), "seed {seed}");
    }
}

/// Guards against a restarted instance that stays down because of tombstones or delayed updates.
/// The instance restarts with its initial incarnation, before or after its death was detected.
#[gtest]
fn restarted_instance_rejoins() {
    for down_for in [0, 1, 4, 30] {
        for seed in 0..5 {
            let mut net = Net::with_ready_members(12, seed, LOSSY);
            net.kill(5);
            net.run(secs(down_for));
            net.start(5);
            let took = net.dissemination_time(5, State::Starting, secs(15));
            expect_that!(took, some(anything()), "down for {down_for} s, seed {seed}");
            expect_that!(
                net.run_until_converged(secs(20)),
                ok(anything()),
                "down for {down_for} s, seed {seed}"
            );
        }
    }
}

/// Guards against an outdated update that revives a dead member.
#[gtest]
fn outdated_update_does_not_revive_dead_member() {
    let mut net = Net::with_ready_members(12, 3, NO_FAULTS);
    let old = net.nodes[0].member.record(record(5, 0).id).unwrap().clone();
    net.kill(5);
    net.run(secs(30));
    net.clear_changes();
    net.push(0, 1, vec![Update::Alive(old)]);
    net.run(secs(5));
    expect_that!(net.nodes[0].changes, eq(&vec![]));
    expect_that!(net.first_view_mismatch(), none());
}

/// Guards against a partitioned failure domain that is reported, on either side, as the deaths of
/// its members, and against a domain that stays unreachable after the partition heals.
#[gtest]
fn partitioned_domain_is_reported_once_and_recovers() {
    for (n, seeds) in [(12, 10), (50, 3)] {
        for seed in 0..seeds {
            let mut net = Net::with_ready_members(n, seed, LOSSY);
            net.clear_changes();
            net.partitioned.insert(domain(0));
            net.run(secs(30));
            for i in 0..n {
                let is_domain_loss =
                    |c: &Change| matches!(c, Change::DomainDown(d) if *d != domain(i));
                let expected = if i % 3 == 0 { 2 } else { 1 };
                expect_that!(
                    net.changes(i, is_domain_loss),
                    eq(expected),
                    "{n} members, seed {seed}: domains lost by {i}"
                );
            }
            net.partitioned.clear();
            let converged = net.run_until_converged(secs(2));
            expect_that!(converged, ok(anything()), "{n} members, seed {seed}");
            net.run(secs(60));
            for i in 0..n {
                let is_domain_recovery = |c: &Change| matches!(c, Change::DomainUp(_));
                let expected = if i % 3 == 0 { 2 } else { 1 };
                expect_that!(
                    net.changes(i, is_domain_recovery),
                    eq(expected),
                    "{n} members, seed {seed}: domains recovered for {i}"
                );
                expect_that!(
                    net.changes(i, is_down),
                    eq(0),
                    "{n} members, seed {seed}: deaths reported by {i}"
                );
            }
        }
    }
}

/// Guards against views that stay outdated after a partition: members that died during it and stay
/// listed, and members that started during it and stay missing.
#[gtest]
fn changes_during_partition_are_received_after_it() {
    for seed in 0..5 {
        let mut net = Net::with_ready_members(12, seed, LOSSY);
        net.kill(9);
        net.run_until_converged(secs(40)).unwrap();
        net.partitioned.insert(domain(0));
        net.run(secs(20));
        net.kill(3);
        net.start(9);
        net.set_state(6, State::Draining);
        net.run(secs(20));
        net.partitioned.clear();
        expect_that!(
            net.run_until_converged(CONVERGENCE_LIMIT),
            ok(anything()),
            "seed {seed}"
        );
    }
}

/// Guards against single deaths in a large unreachable domain: probing half of its members takes
/// longer than one suspicion timeout. Also guards against suspicions during the grace period after
/// the domain recovers, and against a member that never suspects again after that period.
#[gtest]
fn members_of_unreachable_domain_are_not_suspected_until_grace_period_ends() {
    let mut m = Member::new(Config::default(), record(0, 0), 1);
    let mut now = Time::ZERO;
    let records = (0..40).map(|i| record(3 * i + 1, 0)).collect();
    let tombstones = Vec::new();
    m.merge(
        now,
        Table {
            records,
            tombstones,
        },
    );
    let changes = tick(&mut m, &mut now, 30);
    expect_that!(changes, eq(&vec![Change::DomainDown(domain(1))]));
    let (from, msg) = (addr(1, 7001), push(1, Vec::new()));
    let actions = m.handle(now, Event::Received { from, msg });
    let recovery = Action::Changed(Change::DomainUp(domain(1)));
    expect_that!(actions.contains(&recovery), eq(true));
    let suspects = |m: &Member| m.records().filter(|r| m.is_suspect(r.id)).count();
    expect_that!(tick(&mut m, &mut now, 4), eq(&vec![]));
    expect_that!(suspects(&m), eq(0));
    tick(&mut m, &mut now, 4);
    expect_that!(suspects(&m), gt(0));
}

/// Guards against a domain that is declared unreachable while one of its members responds.
#[gtest]
fn domain_with_live_member_is_not_unreachable() {
    let mut net = Net::with_ready_members(12, 4, LOSSY);
    net.clear_changes();
    for i in [0, 3, 6] {
        net.kill(i);
    }
    expect_that!(net.run_until_converged(CONVERGENCE_LIMIT), ok(anything()));
    for i in net.live() {
        let is_domain_loss = |c: &Change| matches!(c, Change::DomainDown(_));
        expect_that!(net.changes(i, is_domain_loss), eq(0), "member {i}");
        expect_that!(net.changes(i, is_down), eq(3), "member {i}");
    }
}

/// Guards against a process that declares all other members dead when it resumes after a pause.
#[gtest]
fn paused_member_causes_no_false_deaths() {
    for seconds in [2, 10, 60] {
        let mut net = Net::with_ready_members(12, 6, LOSSY);
        net.clear_changes();
        // A suspicion that is pending during the pause must not expire when the process resumes.
        let (id, incarnation) = (record(7, 0).id, net.nodes[7].member.own().incarnation);
        net.push(4, 1, vec![Update::Suspect { id, incarnation }]);
        net.pause(4);
        net.run(secs(seconds));
        net.resume(4);
        net.run(secs(30));
        expect_that!(net.changes(4, is_down), eq(0), "paused for {seconds} s");
        expect_that!(net.first_view_mismatch(), none(), "paused for {seconds} s");
    }
}

/// Guards against an instance that restarts below the version that was active before its death,
/// also if only a few members had received that version.
#[gtest]
fn version_floor_is_retained_after_death() {
    for seed in 0..5 {
        let mut net = Net::with_ready_members(50, seed, LOSSY);
        net.publish(5, 41);
        net.run(Duration::from_millis(1_500));
        net.kill(5);
        net.run(secs(900));
        let id = record(5, 0).id;
        for i in net.live() {
            let m = &net.nodes[i].member;
            expect_that!(m.record(id), none(), "seed {seed}, member {i}");
            let answer = m.join_answer(id, m.scope());
            expect_that!(
                answer.version_floor,
                eq(Version(41)),
                "seed {seed}, member {i}"
            );
        }
    }
}

/// Guards against rumours that are lost, or delivered more than once to a member.
#[gtest]
fn rumour_is_delivered_once_to_each_member() {
    let mut net = Net::with_ready_members(50, 8, LOSSY_AND_REORDERING);
    let strike = |incarnation| Rumour::Strike {
        fingerprint: Fingerprint(9),
        instance: InstanceId(3),
        incarnation,
    };
    for incarnation in 0..20 {
        net.handle(
            7,
            Event::Rumour {
                payload: strike(incarnation),
            },
        );
    }
    net.run(secs(6));
    for i in (0..50).filter(|i| *i != 7) {
        let mut received = net.nodes[i].rumours.clone();
        received.sort();
        let all: Vec<Rumour> = (0..20).map(strike).collect();
        expect_that!(received, eq(&all), "member {i}");
    }
}

/// Guards against a table that stays outdated after all transmissions of an update were lost.
#[gtest]
fn missed_update_is_repaired_by_anti_entropy() {
    for seed in 0..5 {
        let mut net = Net::with_ready_members(12, seed, NO_FAULTS);
        net.blocked_updates = Some((2, record(5, 0).id));
        net.set_state(5, State::Draining);
        let id = record(5, 0).id;
        let took = (0..30).find(|_| {
            net.run(secs(1));
            net.nodes[2].member.record(id).map(|r| r.state) == Some(State::Draining)
        });
        expect_that!(took, some(anything()), "seed {seed}");
    }
}
