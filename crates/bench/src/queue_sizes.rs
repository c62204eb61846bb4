//! Sizes, policies and percentiles that the queueing cases share.

use std::time::Duration;

use hdrhistogram::Histogram;
use wire::Time;

use crate::queue_load::{Distribution, Kind, Rate};
use crate::queue_model::{Policy, Request, Retries};
use crate::queue_pick::PickPolicy;
use crate::queue_target::TargetCfg;

/// Mean service time of a lookup on the fastest target.
pub(crate) const LOOKUP: Duration = Duration::from_millis(2);
/// Deadline of short requests.
pub(crate) const SHORT_DEADLINE: Duration = Duration::from_millis(250);
/// Service time of the slowest target of a service over that of the fastest.
const MAX_SLOWNESS: f64 = 3.0;
/// Time from a restart until a target can use all its slots.
pub(crate) const COLD_START: Duration = Duration::from_secs(5);
/// Largest latency that histograms record, in microseconds; longer ones count as this.
const MAX_US: u64 = 60_000_000;
/// Most attempts per request under the policy that retries after each timeout. Without a limit, a
/// run at three times the capacity doesn't end in useful time.
const MAX_BASELINE_ATTEMPTS: u32 = 5;
/// Number of callers. Their demand is equal unless a case says otherwise.
pub(crate) const CALLERS: usize = 8;

/// The services of an organisation.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Site {
    pub(crate) name: &'static str,
    /// Number of targets of each service.
    pub(crate) services: &'static [usize],
    /// Slots of each target.
    pub(crate) slots: u32,
    /// Connection limit of each target.
    pub(crate) connections: u32,
}

/// The two organisations that the mesh is designed for.
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

/// Returns `count` targets whose slowness rises in even steps from 1 to [`MAX_SLOWNESS`].
pub(crate) fn targets(count: usize, slots: u32) -> Vec<TargetCfg> {
    let last = (count - 1).max(1) as f64;
    (0..count)
        .map(|i| TargetCfg {
            declared_slots: slots,
            slots,
            slowness: 1.0 + (MAX_SLOWNESS - 1.0) * i as f64 / last,
            restarts_at: None,
            cold_start: COLD_START,
        })
        .collect()
}

/// Returns the slots that can be used at `now`, each divided by the slowness of its target.
pub(crate) fn capacity(targets: &[TargetCfg], now: Time) -> f64 {
    let effective_slots = |t: &TargetCfg| f64::from(t.slots_at(now)) / t.slowness;
    targets.iter().map(effective_slots).sum()
}

/// Returns lookups at `rate` from callers of equal demand.
pub(crate) fn lookups(rate: Rate) -> Kind {
    Kind {
        rate,
        route: 1,
        paths: 200,
        class: admit::Class::Short,
        mean_service: LOOKUP,
        distribution: Distribution::ShiftedExponential,
        deadline: SHORT_DEADLINE,
        callers: vec![1.0; CALLERS],
    }
}

/// Returns the 99th percentile in milliseconds; NaN without values.
pub(crate) fn p99_ms(values: impl Iterator<Item = Duration>) -> f64 {
    // The histogram has bounds, since `saturating_record` doesn't resize one without.
    let mut h =
        Histogram::<u64>::new_with_bounds(1, MAX_US, 3).expect("histogram bounds are not valid");
    for v in values {
        let us = u64::try_from(v.as_micros()).unwrap_or(u64::MAX);
        h.saturating_record(us);
    }
    if h.is_empty() {
        return f64::NAN;
    }
    h.value_at_quantile(0.99) as f64 / 1_000.0
}

/// Returns the latency of a request. One that wasn't completed in time counts as its whole
/// deadline, so that refusing slow requests doesn't improve the figure.
pub(crate) fn latency(r: &Request) -> Duration {
    r.timely_latency().unwrap_or(r.deadline - r.arrived)
}

/// Returns the policies to run, each with its suffix in figure names: the product's alone, or with
/// `baseline` the product's and all others. Those differ from it in what their suffix says; the
/// last two have no admission.
pub(crate) fn policies(baseline: bool) -> Vec<(&'static str, Policy)> {
    let product = Policy::product();
    if !baseline {
        return vec![("", product)];
    }
    // Bounds apply to --check only, which runs all services.
    let product_without_bounds = Policy {
        has_bounds: false,
        ..product
    };
    let fifo = admit::Tuning {
        is_newest_first_under_overload: false,
        ..admit::Tuning::default()
    };
    let with_pick = |pick| Policy {
        pick,
        ..product_without_bounds
    };
    let no_queue_limit = Policy {
        admission: None,
        ..product_without_bounds
    };
    let unlimited_retries = Policy {
        pick: PickPolicy::RoundRobin,
        retries: Retries::AfterTimeout(MAX_BASELINE_ATTEMPTS),
        ..no_queue_limit
    };
    vec![
        (".ours", product_without_bounds),
        (".round_robin", with_pick(PickPolicy::RoundRobin)),
        (
            ".least_connections",
            with_pick(PickPolicy::LeastConnections),
        ),
        (
            ".fifo",
            Policy {
                admission: Some(fifo),
                ..product_without_bounds
            },
        ),
        (".no_queue_limit", no_queue_limit),
        (".retries_to_5_attempts", unlimited_retries),
    ]
}

/// Calls `measure` with the number of targets of each service of a site, on a thread each.
///
/// The baseline takes the first service only, so that all its policies end in useful time.
pub(crate) fn measure_services<T: Send>(
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

/// Calls `measure` with each item on a thread of its own. Results are in the order of the items.
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
            |t: std::thread::ScopedJoinHandle<'_, T>| t.join().expect("measurement panicked");
        threads.into_iter().map(join).collect()
    })
}
