//! Retry budgets that the nodes of a mesh share, while nodes restart and know only some of the others.

use std::collections::VecDeque;
use std::time::Duration;

use googletest::prelude::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use route::{RepeatReason, SharedBudgetCfg, SharedBudgets};
use wire::{ServiceName, Time};

const WINDOW: Duration = Duration::from_secs(10);
const CFG: SharedBudgetCfg = SharedBudgetCfg {
    ratio: 0.2,
    window: WINDOW,
    slack: 60.0,
};

fn desk() -> ServiceName {
    "desk".into()
}

/// Makes the budgets of a node that knows the number of nodes.
fn budgets(nodes: usize) -> SharedBudgets {
    let mut budgets = SharedBudgets::new(CFG);
    budgets.record_nodes(Time::ZERO, nodes);
    budgets
}

/// Takes tokens until none is left; returns their number.
fn spend_all(budgets: &mut SharedBudgets, now: Time, reason: RepeatReason) -> usize {
    (0..1_000)
        .take_while(|_| budgets.try_spend(now, &desk(), reason))
        .count()
}

/// Guards against an allowance that each restart grants anew, and against the part of a whole mesh for
/// a node that does not know the others yet.
#[gtest]
fn a_started_node_has_no_tokens() {
    let mut unregistered = SharedBudgets::new(CFG);
    for ms in 0..5_000 {
        let now = Time::from_millis(ms);
        expect_that!(
            spend_all(&mut unregistered, now, RepeatReason::CutOff),
            eq(0)
        );
    }
    let mut alone = budgets(1);
    expect_that!(
        spend_all(&mut alone, Time::ZERO, RepeatReason::CutOff),
        eq(0)
    );
}

/// Guards against budgets that start anew, or grow, when the number of known nodes changes.
#[gtest]
fn a_change_of_the_number_of_nodes_grants_nothing() {
    let mut budgets = budgets(3);
    for _ in 0..25 {
        budgets.record_request(Time::ZERO, &desk());
    }
    for nodes in [4, 2, 5, 1] {
        budgets.record_nodes(Time::ZERO, nodes);
    }
    // 25 requests add 3 tokens.
    expect_that!(
        spend_all(&mut budgets, Time::ZERO, RepeatReason::CutOff),
        eq(3)
    );
}

/// Guards against a mesh so large that a node's part never holds a whole token, not even for a request
/// that was cut off.
#[gtest]
fn nodes_of_a_large_mesh_repeat_requests_that_were_cut_off() {
    let mut budgets = budgets(300);
    for _ in 0..9 {
        budgets.record_request(Time::ZERO, &desk());
    }
    let mut try_spend = |reason| budgets.try_spend(Time::ZERO, &desk(), reason);
    expect_that!(try_spend(RepeatReason::Optional), eq(false));
    expect_that!(try_spend(RepeatReason::CutOff), eq(true));
}

/// Guards against a quiet service of a large mesh whose requests are never repeated, because a node's
/// part of the slack for a second is less than a token.
#[gtest]
fn a_quiet_service_earns_one_token() {
    let mut budgets = budgets(12);
    let spent_at = |budgets: &mut SharedBudgets, s: u64| {
        spend_all(budgets, Time::from_millis(s * 1_000), RepeatReason::CutOff)
    };
    expect_that!(spent_at(&mut budgets, 0), eq(0));
    let spent: usize = (1..=20).map(|s| spent_at(&mut budgets, s)).sum();
    // 0.15 tokens a second.
    expect_that!(spent, eq(2));
    expect_that!(spent_at(&mut budgets, 1_000), eq(1));
}

/// Guards against hedges, and repeats of refused requests, that leave nothing for requests which were
/// cut off.
#[gtest]
fn requests_that_were_cut_off_come_first() {
    let mut budgets = budgets(3);
    let (mut optional, mut cut_off) = (0, 0);
    for ms in (0..10_000).step_by(10) {
        let now = Time::from_millis(ms);
        // 12 tokens a second, and always a refused request that wants one.
        budgets.record_request(now, &desk());
        optional += spend_all(&mut budgets, now, RepeatReason::Optional);
        // A request was cut off in each of the last 5 s.
        if ms >= 5_000 && ms % 100 == 0 && cut_off as u64 <= (ms - 5_000) / 1_000 {
            let is_spent = budgets.try_spend(now, &desk(), RepeatReason::CutOff);
            cut_off += usize::from(is_spent);
        }
    }
    expect_that!(cut_off, eq(5));
    expect_that!(optional, ge(100));
}

/// A node of the simulated mesh.
struct Node {
    budgets: SharedBudgets,
    started_at: u64,
}

/// Time of a started node until it knows the number of nodes, in milliseconds.
const REGISTRATION_MS: u64 = 20;
const STEP_MS: u64 = 10;

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        cases: 64,
        rng_seed: RngSeed::Fixed(46),
        ..ProptestConfig::default()
    })]

    /// Guards against a mesh that exceeds the budget of a service in some window while its nodes
    /// restart one after the other or at once and targets refuse every request.
    #[test]
    fn the_sum_of_all_nodes_stays_within_the_budget(
        nodes in 1..40_usize,
        requests_per_step in 0..20_usize,
        restarts in prop::collection::vec((0..3_000_u64, 0..40_usize), 0..40),
    ) {
        let mut mesh: Vec<_> = (0..nodes)
            .map(|_| Node { budgets: SharedBudgets::new(CFG), started_at: 0 })
            .collect();
        let mut window = VecDeque::new();
        let (mut sent, mut repeated) = (0, 0);
        for step in 0..3_000 {
            let ms = step * STEP_MS;
            let now = Time::from_millis(ms);
            for (_, k) in restarts.iter().filter(|(at, _)| *at == step) {
                mesh[k % nodes] = Node { budgets: SharedBudgets::new(CFG), started_at: ms };
            }
            let mut repeats = 0;
            for (k, node) in mesh.iter_mut().enumerate() {
                if ms >= node.started_at + REGISTRATION_MS {
                    node.budgets.record_nodes(now, nodes);
                }
                for _ in (k..requests_per_step).step_by(nodes) {
                    node.budgets.record_request(now, &desk());
                }
                repeats += spend_all(&mut node.budgets, now, RepeatReason::CutOff);
            }
            sent += requests_per_step;
            repeated += repeats;
            window.push_back((ms, requests_per_step, repeats));
            while window.front().is_some_and(|(at, ..)| at + (WINDOW.as_millis() as u64) <= ms) {
                let (_, old_requests, old_repeats) = window.pop_front().expect("checked above");
                sent -= old_requests;
                repeated -= old_repeats;
            }
            // A token is granted in whole parts, so each node may be one request's part ahead.
            let allowed = CFG.ratio * sent as f64 + CFG.slack;
            prop_assert!(repeated as f64 <= allowed, "{repeated} of {allowed} at {ms} ms");
        }
    }
}
