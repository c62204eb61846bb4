//! Case `crest`: overload. Demand rises to three times the capacity within 1 s and falls back after
//! 20 s.
//!
//! One target of each service restarts when the rise begins, and starts cold.

use std::time::Duration;

use wire::Time;

use crate::figure::{Bound, Figure};
use crate::queue_chain;
use crate::queue_load::Rate;
use crate::queue_model::{Case, Outcome, Policy, run as run_case};
use crate::queue_sizes::{
    CALLERS, LOOKUP, SITES, Site, capacity, in_parallel, latency, lookups, measure_services,
    p99_ms, policies, targets,
};
use crate::queue_target::TargetCfg;

/// Demand over capacity before and after the step.
const BASE_LOAD: f64 = 0.5;
/// Demand over capacity during the step.
pub(crate) const STEP_LOAD: f64 = 3.0;
/// Time at which demand begins to rise: the start of the step.
pub(crate) const RISE: Time = Time::from_millis(5_000);
/// Time at which demand falls: the end of the step.
pub(crate) const FALL: Time = Time::from_millis(25_000);
/// End of the arrivals.
const ARRIVALS_END: Time = Time::from_millis(31_000);
/// Time that demand takes to rise. Figures of the step leave it out.
const RAMP_TIME: Duration = Duration::from_secs(1);
/// Arrivals before this time open connections and don't count for the p99 before the step.
const WARM_UP_END: Time = Time::from_millis(1_000);
/// Arrivals after the step are grouped into windows of this length to find the end of recovery.
const WINDOW: Duration = Duration::from_millis(250);
/// A window, of about a thousand arrivals, has recovered if its p99 is at most this factor over the
/// p99 before the step.
const MAX_RATIO: f64 = 1.5;
/// Demand of the demanding caller over that of each other caller.
const DEMANDING_CALLER_WEIGHT: f64 = 3.0;

/// Declared over true slots in the variant whose targets have fewer slots than they declare.
const OVERDECLARED_FACTOR: u32 = 2;

/// Measurements of one service, or for each field the worst of several services.
#[derive(Clone, Copy, Debug)]
struct Measured {
    /// Work completed in time during the step, over the capacity.
    goodput: f64,
    /// p99 of the time to a refusal.
    refusal_p99_ms: f64,
    /// Time from the end of the step until the p99 has recovered.
    recovery_s: f64,
    /// Attempts per request.
    attempts_per_request: f64,
    /// Largest deviation of a caller's completed requests from the mean.
    caller_deviation: f64,
    /// The same with one demanding caller; NaN under baseline policies.
    demanding_deviation: f64,
    /// p99 of the requests completed in time during the step.
    accepted_p99_ms: f64,
    /// The same with targets that declare too many slots; NaN under baseline policies.
    overdeclared_p99_ms: f64,
}

pub(crate) fn run(seed: u64, baseline: bool) -> Vec<Figure> {
    let mut figures = Vec::new();
    for (suffix, policy) in policies(baseline) {
        let (rows, chain) = std::thread::scope(|scope| {
            let chain = scope.spawn(|| queue_chain::run(suffix, policy, seed));
            let rows = in_parallel(&SITES, |site| {
                let measured = measure_services(site, baseline, |n| measure(site, n, policy, seed))
                    .into_iter()
                    .reduce(worst)
                    .expect("site without services");
                report(&format!("crest{suffix}.{}", site.name), &measured, policy)
            });
            (rows, chain.join().expect("measurement panicked"))
        });
        figures.extend(rows.into_iter().flatten());
        figures.extend(chain);
    }
    figures
}

fn report(name: &str, measured: &Measured, policy: Policy) -> Vec<Figure> {
    let bound = |b| if policy.has_bounds { b } else { Bound::None };
    let f = |what, value, unit, b| Figure::new(format!("{name}.{what}"), value, unit, bound(b));
    let max_deviation = Bound::AtMost(0.1);
    let mut figures = vec![
        f("goodput", measured.goodput, "share", Bound::AtLeast(0.95)),
        f(
            "refusal_p99",
            measured.refusal_p99_ms,
            "ms",
            Bound::AtMost(20.0),
        ),
        f("recovery", measured.recovery_s, "s", Bound::AtMost(2.0)),
        f(
            "attempts",
            measured.attempts_per_request,
            "x",
            Bound::AtMost(1.1),
        ),
        f(
            "caller_deviation",
            measured.caller_deviation,
            "share",
            max_deviation,
        ),
        f(
            "demanding_deviation",
            measured.demanding_deviation,
            "share",
            max_deviation,
        ),
        f("accepted_p99", measured.accepted_p99_ms, "ms", Bound::None),
        f(
            "overdeclared_p99",
            measured.overdeclared_p99_ms,
            "ms",
            Bound::None,
        ),
    ];
    figures.retain(|f| policy.has_bounds || !f.value.is_nan());
    figures
}

fn worst(a: Measured, b: Measured) -> Measured {
    Measured {
        goodput: a.goodput.min(b.goodput),
        refusal_p99_ms: a.refusal_p99_ms.max(b.refusal_p99_ms),
        recovery_s: a.recovery_s.max(b.recovery_s),
        attempts_per_request: a.attempts_per_request.max(b.attempts_per_request),
        caller_deviation: a.caller_deviation.max(b.caller_deviation),
        demanding_deviation: a.demanding_deviation.max(b.demanding_deviation),
        accepted_p99_ms: a.accepted_p99_ms.max(b.accepted_p99_ms),
        overdeclared_p99_ms: a.overdeclared_p99_ms.max(b.overdeclared_p99_ms),
    }
}

fn measure(site: &Site, count: usize, policy: Policy, seed: u64) -> Measured {
    let mut case = case(site, count, policy, seed);
    let equal = run_case(&case);
    // Baseline policies run without the variants.
    let (mut with_demanding, mut overdeclared_p99_ms) = (f64::NAN, f64::NAN);
    if policy.has_bounds {
        case.kinds[0].callers[0] = DEMANDING_CALLER_WEIGHT;
        with_demanding = max_caller_deviation(&run_case(&case));
        case.kinds[0].callers[0] = 1.0;
        let targets = case.hops[0].iter_mut();
        targets.for_each(|t| t.declared_slots *= OVERDECLARED_FACTOR);
        overdeclared_p99_ms = accepted_p99(&run_case(&case));
    }
    let hop = equal.hops[0];
    Measured {
        goodput: goodput(&case.hops[0], &equal),
        refusal_p99_ms: refusal_p99(&equal),
        recovery_s: recovery_time_s(&equal),
        attempts_per_request: hop.attempts as f64 / hop.calls as f64,
        caller_deviation: max_caller_deviation(&equal),
        demanding_deviation: with_demanding,
        accepted_p99_ms: accepted_p99(&equal),
        overdeclared_p99_ms,
    }
}

fn case(site: &Site, count: usize, policy: Policy, seed: u64) -> Case {
    let mut targets = targets(count, site.slots);
    let warm = capacity(&targets, Time::ZERO);
    targets[0].restarts_at = Some(RISE);
    Case {
        policy,
        hops: vec![targets],
        kinds: vec![lookups(demand_step(warm))],
        until: ARRIVALS_END,
        queue: 64,
        connections: site.connections,
        seed,
    }
}

/// Returns the demand step of a service whose capacity is `capacity` slots of the fastest target.
pub(crate) fn demand_step(capacity: f64) -> Rate {
    let per_second = capacity / LOOKUP.as_secs_f64();
    Rate::Step {
        low: BASE_LOAD * per_second,
        high: STEP_LOAD * per_second,
        rise_at: RISE,
        fall_at: FALL,
    }
}

/// Returns the work completed in time during the step, over the capacity.
fn goodput(targets: &[TargetCfg], outcome: &Outcome) -> f64 {
    let (from, to) = (RISE + RAMP_TIME, FALL);
    let in_step = |r: &&crate::queue_model::Request| {
        r.timely_latency().is_some() && r.end.is_some_and(|(at, _)| at >= from && at < to)
    };
    let completed = outcome.requests.iter().filter(in_step).count() as f64;
    // The capacity grows during the cold start of a target, so it is summed by the millisecond.
    let ms = (to - from).as_millis() as u64;
    let slots: f64 = (0..ms)
        .map(|i| capacity(targets, from + Duration::from_millis(i)))
        .sum();
    completed * LOOKUP.as_secs_f64() / (slots / 1_000.0)
}

/// Returns the p99 of the time to a refusal, in milliseconds.
fn refusal_p99(outcome: &Outcome) -> f64 {
    let p99 = p99_ms(outcome.requests.iter().filter_map(|r| r.refusal_latency()));
    // Without refusals, none took too long.
    if p99.is_nan() { 0.0 } else { p99 }
}

/// Returns the p99 of the requests completed in time during the step, in milliseconds.
fn accepted_p99(outcome: &Outcome) -> f64 {
    let counted = outcome
        .requests
        .iter()
        .filter(|r| r.arrived >= RISE + RAMP_TIME && r.arrived < FALL);
    p99_ms(counted.filter_map(|r| r.timely_latency()))
}

/// Returns the seconds from the end of the step to the end of the last window that hasn't
/// recovered.
fn recovery_time_s(outcome: &Outcome) -> f64 {
    let p99 = |from: Time, to: Time| {
        let counted = outcome
            .requests
            .iter()
            .filter(move |r| r.arrived >= from && r.arrived < to);
        p99_ms(counted.map(latency))
    };
    let normal = p99(WARM_UP_END, RISE);
    let windows = ((ARRIVALS_END - FALL).as_millis() / WINDOW.as_millis()) as u32;
    let is_slow = |i: &u32| p99(FALL + WINDOW * *i, FALL + WINDOW * (*i + 1)) > normal * MAX_RATIO;
    let last_slow = (0..windows).rev().find(is_slow);
    last_slow.map_or(0.0, |i| (WINDOW * (i + 1)).as_secs_f64())
}

/// Returns the largest deviation of a caller's requests completed in time during the step from the
/// mean of all callers, as a share of that mean.
fn max_caller_deviation(outcome: &Outcome) -> f64 {
    let mut completed = [0.0; CALLERS];
    for r in &outcome.requests {
        let counted = r.arrived >= RISE + RAMP_TIME && r.arrived < FALL;
        if counted && r.timely_latency().is_some() {
            completed[r.caller] += 1.0;
        }
    }
    let mean = completed.iter().sum::<f64>() / CALLERS as f64;
    let relative_deviation = |n: &f64| (n - mean).abs() / mean;
    completed.iter().map(relative_deviation).fold(0.0, f64::max)
}
