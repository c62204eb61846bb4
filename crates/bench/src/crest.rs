//! Case `crest`: demand steps to three times the capacity within 1 s and stays there for 20 s.
//!
//! One target of each service is restarted at the step and is cold.

use std::time::Duration;

use wire::Time;

use crate::figure::{Bound, Figure};
use crate::queue_chain;
use crate::queue_load::Rate;
use crate::queue_model::{Case, Outcome, Policy, run as run_case};
use crate::queue_sizes::{
    CALLERS, LOOKUP, SITES, Site, capacity, each_service, in_parallel, latency, lookups, p99_ms,
    policies, targets,
};
use crate::queue_target::TargetCfg;

/// Demand over capacity before and after the step.
const LOW: f64 = 0.5;
/// Demand over capacity during the step.
pub(crate) const HIGH: f64 = 3.0;
pub(crate) const UP: Time = Time::from_millis(5_000);
pub(crate) const DOWN: Time = Time::from_millis(25_000);
const UNTIL: Time = Time::from_millis(31_000);
/// Demand has reached its height this long after the step began.
const RAMP: Duration = Duration::from_secs(1);
/// Arrivals before this time open connections and aren't counted as normal.
const WARM_UP: Time = Time::from_millis(1_000);
/// Arrivals are grouped by this time to see when the p99 is normal again.
const GROUP: Duration = Duration::from_millis(250);
/// Up to this factor over the p99 before the step, a group of about a thousand is normal.
const NORMAL: f64 = 1.5;
/// Demand of the one demanding caller over that of each other one.
const DEMANDING: f64 = 3.0;

/// Declared over true slots in the variant with targets that are slower than they declare.
const OVERDECLARED: u32 = 2;

/// Figures of one service, or the worst of several.
#[derive(Clone, Copy, Debug)]
struct Seen {
    goodput: f64,
    refusal_ms: f64,
    recovery_s: f64,
    attempts: f64,
    unfair: f64,
    unfair_demanding: f64,
    accepted_ms: f64,
    overdeclared_ms: f64,
}

pub(crate) fn run(seed: u64, baseline: bool) -> Vec<Figure> {
    let mut figures = Vec::new();
    for (suffix, policy) in policies(baseline) {
        let (rows, chain) = std::thread::scope(|scope| {
            let chain = scope.spawn(|| queue_chain::run(suffix, policy, seed));
            let rows = in_parallel(&SITES, |site| {
                let seen = each_service(site, baseline, |n| measure(site, n, policy, seed))
                    .into_iter()
                    .reduce(worst)
                    .expect("a site has services");
                report(&format!("crest{suffix}.{}", site.name), &seen, policy)
            });
            (rows, chain.join().expect("a measurement panics"))
        });
        figures.extend(rows.into_iter().flatten());
        figures.extend(chain);
    }
    figures
}

fn report(name: &str, seen: &Seen, policy: Policy) -> Vec<Figure> {
    let bound = |b| if policy.bounded { b } else { Bound::None };
    let f = |what, value, unit, b| Figure::new(format!("{name}.{what}"), value, unit, bound(b));
    let tenth = Bound::AtMost(0.1);
    let mut figures = vec![
        f("goodput", seen.goodput, "share", Bound::AtLeast(0.95)),
        f("refusal_p99", seen.refusal_ms, "ms", Bound::AtMost(20.0)),
        f("recovery", seen.recovery_s, "s", Bound::AtMost(2.0)),
        f("attempts", seen.attempts, "x", Bound::AtMost(1.1)),
        f("caller_deviation", seen.unfair, "share", tenth),
        f("demanding_deviation", seen.unfair_demanding, "share", tenth),
        f("accepted_p99", seen.accepted_ms, "ms", Bound::None),
        f("overdeclared_p99", seen.overdeclared_ms, "ms", Bound::None),
    ];
    figures.retain(|f| policy.bounded || !f.value.is_nan());
    figures
}

fn worst(a: Seen, b: Seen) -> Seen {
    Seen {
        goodput: a.goodput.min(b.goodput),
        refusal_ms: a.refusal_ms.max(b.refusal_ms),
        recovery_s: a.recovery_s.max(b.recovery_s),
        attempts: a.attempts.max(b.attempts),
        unfair: a.unfair.max(b.unfair),
        unfair_demanding: a.unfair_demanding.max(b.unfair_demanding),
        accepted_ms: a.accepted_ms.max(b.accepted_ms),
        overdeclared_ms: a.overdeclared_ms.max(b.overdeclared_ms),
    }
}

fn measure(site: &Site, count: usize, policy: Policy, seed: u64) -> Seen {
    let mut case = case(site, count, policy, seed);
    let equal = run_case(&case);
    // The baseline leaves the variants out.
    let (mut demanding_deviation, mut overdeclared_ms) = (f64::NAN, f64::NAN);
    if policy.bounded {
        case.kinds[0].callers[0] = DEMANDING;
        demanding_deviation = deviation(&run_case(&case));
        case.kinds[0].callers[0] = 1.0;
        let targets = case.hops[0].iter_mut();
        targets.for_each(|t| t.declared *= OVERDECLARED);
        overdeclared_ms = accepted_p99(&run_case(&case));
    }
    let hop = equal.hops[0];
    Seen {
        goodput: goodput(&case.hops[0], &equal),
        refusal_ms: refusal_p99(&equal),
        recovery_s: recovery(&equal),
        attempts: hop.attempts as f64 / hop.calls as f64,
        unfair: deviation(&equal),
        unfair_demanding: demanding_deviation,
        accepted_ms: accepted_p99(&equal),
        overdeclared_ms,
    }
}

fn case(site: &Site, count: usize, policy: Policy, seed: u64) -> Case {
    let mut targets = targets(count, site.slots);
    let warm = capacity(&targets, Time::ZERO);
    targets[0].cold_from = Some(UP);
    Case {
        policy,
        hops: vec![targets],
        kinds: vec![lookups(step(warm))],
        until: UNTIL,
        queue: 64,
        connections: site.connections,
        seed,
    }
}

/// Returns the demand on a service with `capacity` slots of the fastest target.
pub(crate) fn step(capacity: f64) -> Rate {
    let per_second = capacity / LOOKUP.as_secs_f64();
    Rate::Step {
        low: LOW * per_second,
        high: HIGH * per_second,
        up: UP,
        down: DOWN,
    }
}

/// Returns the work completed in time over the capacity while demand is high.
fn goodput(targets: &[TargetCfg], outcome: &Outcome) -> f64 {
    let (from, to) = (UP + RAMP, DOWN);
    let in_step = |r: &&crate::queue_model::Request| {
        r.in_time().is_some() && r.end.is_some_and(|(at, _)| at >= from && at < to)
    };
    let done = outcome.requests.iter().filter(in_step).count() as f64;
    // The capacity grows while a target is cold.
    let ms = (to - from).as_millis() as u64;
    let slots: f64 = (0..ms)
        .map(|i| capacity(targets, from + Duration::from_millis(i)))
        .sum();
    done * LOOKUP.as_secs_f64() / (slots / 1_000.0)
}

fn refusal_p99(outcome: &Outcome) -> f64 {
    let p99 = p99_ms(outcome.requests.iter().filter_map(|r| r.refused_after()));
    // Without refusals there is none that took too long.
    if p99.is_nan() { 0.0 } else { p99 }
}

/// Returns the p99 of requests completed in time while demand is high.
fn accepted_p99(outcome: &Outcome) -> f64 {
    let counted = outcome
        .requests
        .iter()
        .filter(|r| r.arrived >= UP + RAMP && r.arrived < DOWN);
    p99_ms(counted.filter_map(|r| r.in_time()))
}

/// Returns the time from the end of the high demand to the last group whose p99 isn't normal.
fn recovery(outcome: &Outcome) -> f64 {
    let between = |from: Time, to: Time| {
        let counted = outcome
            .requests
            .iter()
            .filter(move |r| r.arrived >= from && r.arrived < to);
        p99_ms(counted.map(latency))
    };
    let normal = between(WARM_UP, UP);
    let groups = ((UNTIL - DOWN).as_millis() / GROUP.as_millis()) as u32;
    let slow = |i: &u32| between(DOWN + GROUP * *i, DOWN + GROUP * (*i + 1)) > normal * NORMAL;
    let last = (0..groups).rev().find(slow);
    last.map_or(0.0, |i| (GROUP * (i + 1)).as_secs_f64())
}

/// Returns the largest deviation of a caller's completed requests from the mean while demand is
/// high.
fn deviation(outcome: &Outcome) -> f64 {
    let mut done = [0.0; CALLERS];
    for r in &outcome.requests {
        let counted = r.arrived >= UP + RAMP && r.arrived < DOWN;
        if counted && r.in_time().is_some() {
            done[r.caller] += 1.0;
        }
    }
    let mean = done.iter().sum::<f64>() / CALLERS as f64;
    let off = |d: &f64| (d - mean).abs() / mean;
    done.iter().map(off).fold(0.0, f64::max)
}
