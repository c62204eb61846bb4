//! Sizes of the two organisations, and percentiles of outcomes.

use std::time::Duration;

use hdrhistogram::Histogram;
use wire::Time;

use crate::queue_load::{Kind, Rate, Spread};
use crate::queue_model::{Policy, Request, Retries};
use crate::queue_pick::Pick;
use crate::queue_target::TargetCfg;

/// Mean service time of a lookup on the fastest target.
pub(crate) const LOOKUP: Duration = Duration::from_millis(2);
/// Deadline of short requests.
pub(crate) const SHORT_DEADLINE: Duration = Duration::from_millis(250);
/// The slowest target takes this many times as long as the fastest.
const SLOWEST: f64 = 3.0;
/// Time until a restarted target has all its slots.
pub(crate) const COLD_START: Duration = Duration::from_secs(5);
/// Largest latency that is told apart, in microseconds.
const MAX_US: u64 = 60_000_000;
/// Attempts per request under the policy with retries after each timeout. Without a cap, a run at
/// three times the capacity doesn't end in useful time.
const BASELINE_ATTEMPTS: u32 = 5;
/// Callers of equal demand.
pub(crate) const CALLERS: usize = 8;

/// An organisation's services.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Site {
    pub(crate) name: &'static str,
    /// Targets of each service.
    pub(crate) services: &'static [usize],
    pub(crate) slots: u32,
    pub(crate) connections: u32,
}

/// The organisations of the design page.
pub(crate) const SITES: [Site; 2] = [
    Site {
        name: "indus",
        services: &[4, 3, 5],
        slots: 6,
        connections: 130,
    },
    Site {
        name: "ledger",
        services: &[4, 3, 3],
        slots: 18,
        connections: 120,
    },
];

/// Returns targets whose speeds differ evenly up to [`SLOWEST`] times.
pub(crate) fn targets(count: usize, slots: u32) -> Vec<TargetCfg> {
    let last = (count - 1).max(1) as f64;
    (0..count)
        .map(|i| TargetCfg {
            declared: slots,
            slots,
            slowness: 1.0 + (SLOWEST - 1.0) * i as f64 / last,
            cold_from: None,
            cold_start: COLD_START,
        })
        .collect()
}

/// Returns the slots in units of the fastest target that can be used at `now`.
pub(crate) fn capacity(targets: &[TargetCfg], now: Time) -> f64 {
    let each = |t: &TargetCfg| f64::from(t.slots_at(now)) / t.slowness;
    targets.iter().map(each).sum()
}

/// Returns lookups at `rate` from callers of equal demand.
pub(crate) fn lookups(rate: Rate) -> Kind {
    Kind {
        rate,
        route: 1,
        paths: 200,
        class: admit::Class::Short,
        mean: LOOKUP,
        spread: Spread::Tailed,
        deadline: SHORT_DEADLINE,
        callers: vec![1.0; CALLERS],
    }
}

/// Returns the value that 99 of 100 don't exceed, in milliseconds; NaN without values.
pub(crate) fn p99_ms(values: impl Iterator<Item = Duration>) -> f64 {
    // A bounded histogram: `saturating_record` doesn't resize one without bounds.
    let mut h = Histogram::<u64>::new_with_bounds(1, MAX_US, 3).expect("the bounds are valid");
    for v in values {
        let us = u64::try_from(v.as_micros()).unwrap_or(u64::MAX);
        h.saturating_record(us);
    }
    if h.is_empty() {
        return f64::NAN;
    }
    h.value_at_quantile(0.99) as f64 / 1_000.0
}

/// Returns a request's time to its complete response. One without a response in time counts as its
/// whole deadline, so that refusing slow requests doesn't improve the figure.
pub(crate) fn latency(r: &Request) -> Duration {
    r.in_time().unwrap_or(r.deadline - r.arrived)
}

/// Returns the policies to run: with the baseline, all side by side. Each of the others differs
/// from ours in what its name says; the last two have no admission.
pub(crate) fn policies(baseline: bool) -> Vec<(&'static str, Policy)> {
    let ours = Policy::ours();
    if !baseline {
        return vec![("", ours)];
    }
    // The bounds belong to --check, which runs all services.
    let other = Policy {
        bounded: false,
        ..ours
    };
    let fifo = admit::Tuning {
        is_newest_first_under_overload: false,
        ..admit::Tuning::default()
    };
    let with_pick = |pick| Policy { pick, ..other };
    let no_queue_limit = Policy {
        admission: None,
        ..other
    };
    let unlimited_retries = Policy {
        pick: Pick::RoundRobin,
        retries: Retries::AfterTimeout(BASELINE_ATTEMPTS),
        ..no_queue_limit
    };
    vec![
        (".ours", other),
        (".round_robin", with_pick(Pick::RoundRobin)),
        (".least_connections", with_pick(Pick::LeastConnections)),
        (
            ".fifo",
            Policy {
                admission: Some(fifo),
                ..other
            },
        ),
        (".no_queue_limit", no_queue_limit),
        (".retries_to_5_attempts", unlimited_retries),
    ]
}

/// Measures each service of a site on a thread of its own.
///
/// The baseline takes the first service only, so that all its policies end in useful time.
pub(crate) fn each_service<T: Send>(
    site: &Site,
    baseline: bool,
    measure: impl Fn(usize) -> T + Sync,
) -> Vec<T> {
    let services = if baseline {
        &site.services[..1]
    } else {
        site.services
    };
    in_parallel(services, |n| measure(*n))
}

/// Measures each item on a thread of its own. The results have the order of the items.
pub(crate) fn in_parallel<I: Sync, T: Send>(
    items: &[I],
    measure: impl Fn(&I) -> T + Sync,
) -> Vec<T> {
    std::thread::scope(|scope| {
        let measure = &measure;
        let threads: Vec<_> = items
            .iter()
            .map(|i| scope.spawn(move || measure(i)))
            .collect();
        let join =
            |t: std::thread::ScopedJoinHandle<'_, T>| t.join().expect("a measurement panics");
        threads.into_iter().map(join).collect()
    })
}
