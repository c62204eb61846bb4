//! Part of case `crest`: a chain of nine calls under the same demand step.
//!
//! Each hop has the same capacity, so all are full as soon as the first is. A refusal is retried
//! only by the node that sent the attempt, within that node's retry budget. A hop holds a slot only
//! for its own work.

use std::time::Duration;

use wire::Time;

use crate::crest::{FALL, demand_step};
use crate::figure::{Bound, Figure};
use crate::queue_load::Kind;
use crate::queue_model::{Case, Outcome, Policy, run as run_case};
use crate::queue_sizes::{LOOKUP, SITES, capacity, lookups, targets};

/// Services on the chain.
const HOP_COUNT: usize = 9;
/// Targets of each service.
const TARGETS_PER_HOP: usize = 4;
/// Deadline of the whole chain.
const DEADLINE: Duration = Duration::from_secs(1);

pub(crate) fn run(suffix: &str, policy: Policy, seed: u64) -> Vec<Figure> {
    let site = &SITES[0];
    let hop = targets(TARGETS_PER_HOP, site.slots);
    let capacity = capacity(&hop, Time::ZERO);
    let case = Case {
        policy,
        hops: vec![hop; HOP_COUNT],
        kinds: vec![Kind {
            deadline: DEADLINE,
            ..lookups(demand_step(capacity))
        }],
        until: FALL,
        queue: 64,
        connections: site.connections,
        seed,
    };
    let outcome = run_case(&case);
    let bound = if policy.has_bounds {
        Bound::AtMost(1.1)
    } else {
        Bound::None
    };
    let name = |what| format!("crest{suffix}.chain.{what}");
    vec![
        Figure::new(
            name("worst_hop_attempts"),
            worst_hop_attempts(&outcome),
            "x",
            bound,
        ),
        Figure::new(
            name("all_hops_attempts"),
            all_hops_attempts(&outcome),
            "x",
            bound,
        ),
        Figure::new(
            name("complete"),
            complete_share(&outcome, capacity),
            "share",
            Bound::None,
        ),
    ]
}

/// Returns the largest ratio of attempts to calls of any hop.
fn worst_hop_attempts(outcome: &Outcome) -> f64 {
    let attempts_per_call =
        |h: &crate::queue_model::HopCounts| h.attempts as f64 / h.calls.max(1) as f64;
    outcome
        .hops
        .iter()
        .map(attempts_per_call)
        .fold(0.0, f64::max)
}

/// Returns the attempts over the calls of all hops together.
fn all_hops_attempts(outcome: &Outcome) -> f64 {
    let sum =
        |f: fn(&crate::queue_model::HopCounts) -> u64| outcome.hops.iter().map(f).sum::<u64>();
    sum(|h| h.attempts) as f64 / sum(|h| h.calls) as f64
}

/// Returns the chains completed in time during the step, over the capacity of one hop.
fn complete_share(outcome: &Outcome, capacity: f64) -> f64 {
    let from = crate::crest::RISE + Duration::from_secs(1);
    let completed = outcome
        .requests
        .iter()
        .filter(|r| r.timely_latency().is_some() && r.arrived >= from)
        .count();
    completed as f64 * LOOKUP.as_secs_f64() / (capacity * (FALL - from).as_secs_f64())
}
