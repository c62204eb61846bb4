//! Case `straggler`: one target of four works at a tenth of its rate for 5 s.

#[path = "straggler_policy.rs"]
mod policy;
#[path = "straggler_sim.rs"]
mod sim;
#[path = "straggler_target.rs"]
mod target;

use std::time::Duration;

use crate::figure::{Bound, Figure};
use crate::queue_sizes::in_parallel;
use policy::Policy;
use sim::{Case, Measured, Sim};

/// Bound of the p99 during the slowdown over the p99 before it.
const MAX_P99_RATIO: f64 = 1.5;
/// Bound of the time from the start of the slowdown until all entry nodes have ejected the target.
const MAX_EJECTED_AFTER_MS: f64 = 500.0;
/// Bound of the time from the end of the slowdown until all entry nodes use the target again.
const MAX_RECOVERED_AFTER_MS: f64 = 2_000.0;
/// Bound of the share of the targets that an entry node ejects at once.
const MAX_EJECTED_SHARE: f64 = 1.0 / 3.0;
/// Bound of the hedges per request.
const MAX_HEDGE_SHARE: f64 = 0.05;

/// Slowness of targets of equal speed.
const EQUAL_SLOWNESS: [f64; 4] = [1.0; 4];
/// Slowness of targets of different speeds.
const MIXED_SLOWNESS: [f64; 4] = [1.0, 1.5, 2.0, 3.0];

pub(crate) fn run(seed: u64, baseline: bool) -> Vec<Figure> {
    let rows = in_parallel(&cases(seed), |case| {
        let mut figures = figures_with_bounds(case, seed);
        if baseline {
            figures.extend(baseline_figures(case, seed, Policy::RoundRobin));
            figures.extend(baseline_figures(case, seed, Policy::LeastConnections));
        }
        figures
    });
    rows.into_iter().flatten().collect()
}

/// Returns the cases. The seed selects the slowed target, so that fast and slow ones are covered.
fn cases(seed: u64) -> Vec<Case> {
    let slowed = (seed % 4) as usize;
    let case = |name, slots, slowness, can_hedge| Case {
        name,
        slots,
        slowness,
        slowed,
        can_hedge,
        load: 0.5,
        is_false_load_idle: seed % 2 == 1,
    };
    vec![
        case("equal", 6, EQUAL_SLOWNESS, true),
        case("mixed", 6, MIXED_SLOWNESS, true),
        case("large", 18, MIXED_SLOWNESS, true),
        case("no_hedges", 6, MIXED_SLOWNESS, false),
    ]
}

fn figures_with_bounds(case: &Case, seed: u64) -> Vec<Figure> {
    let m = Sim::new(case, Policy::Route, seed).run();
    let name = |figure: &str| format!("straggler.{}.{figure}", case.name);
    // The stated objective covers requests that may be hedged and those that may not.
    vec![
        Figure::new(name("p99_healthy"), ms(m.healthy.p99), "ms", Bound::None),
        Figure::new(
            name("p99_ratio"),
            p99_ratio(&m),
            "x",
            Bound::AtMost(MAX_P99_RATIO),
        ),
        Figure::new(
            name("ejected_after"),
            ms(m.ejected_after),
            "ms",
            Bound::AtMost(MAX_EJECTED_AFTER_MS),
        ),
        Figure::new(
            name("back_after"),
            ms(m.recovered_after),
            "ms",
            Bound::AtMost(MAX_RECOVERED_AFTER_MS),
        ),
        Figure::new(
            name("ejected_share"),
            m.ejected_share,
            "",
            Bound::AtMost(MAX_EJECTED_SHARE),
        ),
        Figure::new(
            name("hedge_share"),
            m.hedge_share,
            "",
            Bound::AtMost(MAX_HEDGE_SHARE),
        ),
        Figure::new(name("answered"), m.answered_share, "", Bound::AtLeast(1.0)),
        Figure::new(
            name("hedge_share_slow"),
            m.hedge_share_slow,
            "",
            Bound::AtMost(MAX_HEDGE_SHARE),
        ),
        Figure::new(
            name("false_ejections"),
            m.false_ejections as f64,
            "",
            Bound::None,
        ),
        Figure::new(
            name("p999_ratio"),
            m.slow.p999 / m.healthy.p999,
            "x",
            Bound::None,
        ),
    ]
}

/// Runs a baseline policy; its figures have no bounds.
fn baseline_figures(case: &Case, seed: u64, policy: Policy) -> Vec<Figure> {
    let m = Sim::new(case, policy, seed).run();
    let name = |figure: &str| format!("straggler.{}.{policy}.{figure}", case.name);
    vec![
        Figure::new(name("p99_healthy"), ms(m.healthy.p99), "ms", Bound::None),
        Figure::new(name("p99_ratio"), p99_ratio(&m), "x", Bound::None),
    ]
}

/// Returns the p99 during the slowdown over that before it.
fn p99_ratio(m: &Measured) -> f64 {
    m.slow.p99 / m.healthy.p99
}

/// Converts seconds to milliseconds. `None`, for what didn't happen, becomes NaN, which breaks each
/// bound.
fn ms(s: impl Into<Option<f64>>) -> f64 {
    s.into().map_or(f64::NAN, |s| s * 1_000.0)
}

/// Mean service time of the fastest target.
pub(crate) const MEAN_WORK: Duration = Duration::from_millis(8);
