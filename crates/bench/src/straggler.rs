//! Case `straggler`: one target of four is slowed tenfold for 5 s.

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

/// The p99 during the slowdown over the healthy p99.
const P99_RATIO: f64 = 1.5;
/// Time from the start of the slowdown to the ejection on the last entry node.
const EJECTED_MS: f64 = 500.0;
/// Time from the end of the slowdown to the return on the last entry node.
const BACK_MS: f64 = 2_000.0;
/// Largest share of the service that is ejected at once.
const EJECTED_SHARE: f64 = 1.0 / 3.0;
/// Hedges per request.
const HEDGE_SHARE: f64 = 0.05;

const EQUAL: [f64; 4] = [1.0; 4];
const MIXED: [f64; 4] = [1.0, 1.5, 2.0, 3.0];

pub(crate) fn run(seed: u64, baseline: bool) -> Vec<Figure> {
    let rows = in_parallel(&cases(seed), |case| {
        let mut figures = bounded(case, seed);
        if baseline {
            figures.extend(compared(case, seed, Policy::RoundRobin));
            figures.extend(compared(case, seed, Policy::LeastConnections));
        }
        figures
    });
    rows.into_iter().flatten().collect()
}

/// The slowed target changes with the seed, so that fast and slow ones are covered.
fn cases(seed: u64) -> Vec<Case> {
    let slowed = (seed % 4) as usize;
    let case = |name, slots, slowness, hedging| Case {
        name,
        slots,
        slowness,
        slowed,
        hedging,
        load: 0.5,
        false_load_is_idle: seed % 2 == 1,
    };
    vec![
        case("equal", 6, EQUAL, true),
        case("mixed", 6, MIXED, true),
        case("large", 18, MIXED, true),
        case("no_hedges", 6, MIXED, false),
    ]
}

fn bounded(case: &Case, seed: u64) -> Vec<Figure> {
    let m = Sim::new(case, Policy::Route, seed).run();
    let name = |figure: &str| format!("straggler.{}.{figure}", case.name);
    // The stated goal covers requests that may be hedged and those that may not.
    vec![
        Figure::new(name("p99_healthy"), ms(m.healthy.p99), "ms", Bound::None),
        Figure::new(name("p99_ratio"), ratio(&m), "x", Bound::AtMost(P99_RATIO)),
        Figure::new(
            name("ejected_after"),
            ms(m.ejected_after),
            "ms",
            Bound::AtMost(EJECTED_MS),
        ),
        Figure::new(
            name("back_after"),
            ms(m.back_after),
            "ms",
            Bound::AtMost(BACK_MS),
        ),
        Figure::new(
            name("ejected_share"),
            m.ejected_share,
            "",
            Bound::AtMost(EJECTED_SHARE),
        ),
        Figure::new(
            name("hedge_share"),
            m.hedge_share,
            "",
            Bound::AtMost(HEDGE_SHARE),
        ),
        Figure::new(name("answered"), m.answered, "", Bound::AtLeast(1.0)),
        Figure::new(
            name("hedge_share_slow"),
            m.hedge_share_slow,
            "",
            Bound::AtMost(HEDGE_SHARE),
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

fn compared(case: &Case, seed: u64, policy: Policy) -> Vec<Figure> {
    let m = Sim::new(case, policy, seed).run();
    let name = |figure: &str| format!("straggler.{}.{policy}.{figure}", case.name);
    vec![
        Figure::new(name("p99_healthy"), ms(m.healthy.p99), "ms", Bound::None),
        Figure::new(name("p99_ratio"), ratio(&m), "x", Bound::None),
    ]
}

fn ratio(m: &Measured) -> f64 {
    m.slow.p99 / m.healthy.p99
}

/// NaN for something that didn't happen fails each bound.
fn ms(s: impl Into<Option<f64>>) -> f64 {
    s.into().map_or(f64::NAN, |s| s * 1_000.0)
}

/// Mean service time of the fastest target.
pub(crate) const MEAN_WORK: Duration = Duration::from_millis(8);
