//! Part of case `crest`: a chain of nine calls under the same step.
//!
//! Each hop has the same capacity, so each one is full as soon as the first is. A refusal is
//! retried only at the hop above it, within that node's budget. The slot of a hop is held for the
//! hop's own work.

use std::time::Duration;

use wire::Time;

use crate::crest::{DOWN, step};
use crate::figure::{Bound, Figure};
use crate::queue_load::Kind;
use crate::queue_model::{Case, Outcome, Policy, run as run_case};
use crate::queue_sizes::{LOOKUP, SITES, capacity, lookups, targets};

const HOPS: usize = 9;
const TARGETS: usize = 4;
/// Deadline of the whole chain.
const DEADLINE: Duration = Duration::from_secs(1);

pub(crate) fn run(suffix: &str, policy: Policy, seed: u64) -> Vec<Figure> {
    let site = &SITES[0];
    let hop = targets(TARGETS, site.slots);
    let capacity = capacity(&hop, Time::ZERO);
    let case = Case {
        policy,
        hops: vec![hop; HOPS],
        kinds: vec![Kind {
            deadline: DEADLINE,
            ..lookups(step(capacity))
        }],
        until: DOWN,
        queue: 64,
        connections: site.connections,
        seed,
    };
    let outcome = run_case(&case);
    let bound = if policy.bounded {
        Bound::AtMost(1.1)
    } else {
        Bound::None
    };
    let name = |what| format!("crest{suffix}.chain.{what}");
    vec![
        Figure::new(name("worst_hop_attempts"), worst(&outcome), "x", bound),
        Figure::new(name("all_hops_attempts"), all(&outcome), "x", bound),
        Figure::new(
            name("complete"),
            complete(&outcome, capacity),
            "share",
            Bound::None,
        ),
    ]
}

/// Returns the attempts of the worst hop over the requests that the hop above accepted.
fn worst(outcome: &Outcome) -> f64 {
    let each = |h: &crate::queue_model::HopCount| h.attempts as f64 / h.calls.max(1) as f64;
    outcome.hops.iter().map(each).fold(0.0, f64::max)
}

/// Returns all attempts over all calls.
fn all(outcome: &Outcome) -> f64 {
    let sum = |f: fn(&crate::queue_model::HopCount) -> u64| outcome.hops.iter().map(f).sum::<u64>();
    sum(|h| h.attempts) as f64 / sum(|h| h.calls) as f64
}

/// Returns the chains completed in time while demand is high, over the capacity of one hop.
fn complete(outcome: &Outcome, capacity: f64) -> f64 {
    let from = crate::crest::UP + Duration::from_secs(1);
    let done = outcome
        .requests
        .iter()
        .filter(|r| r.in_time().is_some() && r.arrived >= from)
        .count();
    done as f64 * LOOKUP.as_secs_f64() / (capacity * (DOWN - from).as_secs_f64())
}
