//! Case `head_of_line`: head-of-line blocking of short requests by long archive pulls.
//!
//! Lookups and uploads take 60% of each service's capacity. Archive pulls take 100 times as long
//! as a lookup and are offered at twice the capacity.

use std::time::Duration;

use admit::Class;
use wire::Time;

use crate::figure::{Bound, Figure};
use crate::queue_load::{Distribution, Kind, Rate};
use crate::queue_model::{Case, End, Outcome, Policy, Request, run as run_case};
use crate::queue_sizes::{
    CALLERS, LOOKUP, SITES, Site, capacity, in_parallel, latency, lookups, measure_services,
    p99_ms, policies, targets,
};

/// Offered lookups and uploads as a share of the capacity.
const SHORT_LOAD: f64 = 0.6;
/// Share of that short work that is uploads.
const UPLOAD_SHARE: f64 = 1.0 / 3.0;
/// Mean service time of an upload on the fastest target.
const UPLOAD: Duration = Duration::from_millis(3);
/// Offered archive pulls over the capacity.
const ARCHIVE_LOAD: f64 = 2.0;
/// Mean service time of an archive pull over that of a lookup.
const ARCHIVE_WORK_FACTOR: u32 = 100;
const ARCHIVE_DEADLINE: Duration = Duration::from_secs(5);
/// Archive pulls of the heavy caller over those of all other callers together.
const HEAVY_CALLER_WEIGHT: f64 = 9.0;
/// Time during which requests arrive.
const ARRIVAL_TIME: Duration = Duration::from_secs(20);
/// Arrivals before this time aren't counted: connections are being opened and classes learned.
const WARM_UP: Duration = Duration::from_secs(3);
/// Bound of the p99 of short requests over their p99 without archive pulls.
const MAX_P99_RATIO: f64 = 1.5;
/// Bound of the share of archive pulls in the capacity that short work leaves.
const MIN_ARCHIVE_SHARE: f64 = 1.0 / 3.0;
/// Bound of what the callers other than the heavy one get, over their equal share of the completed
/// archive pulls or, if less, over what they offer.
const MIN_FAIR_SHARE: f64 = 0.9;

/// Index of archive pulls in `Case::kinds`.
const ARCHIVE_KIND: usize = 2;

/// A variant of the case.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Variant {
    /// Each kind of request declares its class.
    Declared,
    /// No class is declared, and lookups and archive pulls share a route.
    Undeclared,
    /// One heavy caller sends most archive pulls.
    OneCaller,
}

/// Variants by their name in figures.
const VARIANTS: [(&str, Variant); 3] = [
    ("declared", Variant::Declared),
    ("undeclared", Variant::Undeclared),
    ("one_caller", Variant::OneCaller),
];

/// Measurements of one service, or for each field the worst of several services.
#[derive(Clone, Copy, Debug)]
struct Measured {
    /// p99 of lookups over that without archive pulls.
    lookup_p99_ratio: f64,
    /// p99 of uploads over that without archive pulls.
    upload_p99_ratio: f64,
    /// Archive pulls that neither completed nor were refused within their deadline.
    overdue_archive_pulls: f64,
    /// Share of archive pulls in the capacity that short work leaves.
    archive_share: f64,
    /// What the other callers than the heavy one get, without the warm-up; see `fair_share`.
    fair_share: f64,
    /// The same with the warm-up.
    fair_share_from_start: f64,
}

pub(crate) fn run(seed: u64, baseline: bool) -> Vec<Figure> {
    let of_site = |site: &'static Site| VARIANTS.map(|(name, v)| (site, name, v));
    let runs: Vec<_> = SITES.iter().flat_map(of_site).collect();
    let mut figures = Vec::new();
    for (suffix, policy) in policies(baseline) {
        let rows = in_parallel(&runs, |(site, name, variant)| {
            let measured =
                measure_services(site, baseline, |n| measure(site, n, *variant, policy, seed))
                    .into_iter()
                    .reduce(worst)
                    .expect("site without services");
            let name = format!("head_of_line{suffix}.{}.{name}", site.name);
            report(&name, *variant, &measured, policy)
        });
        figures.extend(rows.into_iter().flatten());
    }
    figures
}

fn report(name: &str, variant: Variant, measured: &Measured, policy: Policy) -> Vec<Figure> {
    let bound = |b| if policy.has_bounds { b } else { Bound::None };
    let f = |what, value, unit, b| Figure::new(format!("{name}.{what}"), value, unit, bound(b));
    let ratio = Bound::AtMost(MAX_P99_RATIO);
    let mut figures = vec![
        f("lookup_p99_ratio", measured.lookup_p99_ratio, "x", ratio),
        f("upload_p99_ratio", measured.upload_p99_ratio, "x", ratio),
        f(
            "archive_others",
            measured.overdue_archive_pulls,
            "req",
            Bound::AtMost(0.0),
        ),
        f(
            "archive_of_left",
            measured.archive_share,
            "share",
            Bound::AtLeast(MIN_ARCHIVE_SHARE),
        ),
    ];
    if variant == Variant::OneCaller {
        figures.push(f(
            "others_fair_share",
            measured.fair_share,
            "share",
            Bound::AtLeast(MIN_FAIR_SHARE),
        ));
        figures.push(f(
            "others_fair_share_from_start",
            measured.fair_share_from_start,
            "share",
            Bound::None,
        ));
    }
    figures
}

fn worst(a: Measured, b: Measured) -> Measured {
    Measured {
        lookup_p99_ratio: a.lookup_p99_ratio.max(b.lookup_p99_ratio),
        upload_p99_ratio: a.upload_p99_ratio.max(b.upload_p99_ratio),
        overdue_archive_pulls: a.overdue_archive_pulls.max(b.overdue_archive_pulls),
        archive_share: a.archive_share.min(b.archive_share),
        fair_share: a.fair_share.min(b.fair_share),
        fair_share_from_start: a.fair_share_from_start.min(b.fair_share_from_start),
    }
}

fn measure(site: &Site, count: usize, variant: Variant, policy: Policy, seed: u64) -> Measured {
    let mut case = case(site, count, variant, policy, seed);
    let mixed = run_case(&case);
    case.kinds.truncate(ARCHIVE_KIND);
    let without_archive = run_case(&case);
    // The reference is the lower p99 with and without admission: if admission slowed the reference,
    // the ratio would hide its cost.
    case.policy = Policy::without_admission();
    let without_admission = run_case(&case);
    let reference = |kind| p99_of(&without_archive, kind).min(p99_of(&without_admission, kind));
    let ratio = |kind| p99_of(&mixed, kind) / reference(kind);
    Measured {
        lookup_p99_ratio: ratio(0),
        upload_p99_ratio: ratio(1),
        overdue_archive_pulls: overdue_archive_pulls(&mixed) as f64,
        archive_share: archive_share(&case, &mixed),
        fair_share: fair_share(&mixed, WARM_UP),
        fair_share_from_start: fair_share(&mixed, Duration::ZERO),
    }
}

fn case(site: &Site, count: usize, variant: Variant, policy: Policy, seed: u64) -> Case {
    let targets = targets(count, site.slots);
    let capacity = capacity(&targets, Time::ZERO);
    let rate = |share: f64, mean: Duration| Rate::Steady(capacity * share / mean.as_secs_f64());
    let lookups = lookups(rate(SHORT_LOAD * (1.0 - UPLOAD_SHARE), LOOKUP));
    let uploads = Kind {
        rate: rate(SHORT_LOAD * UPLOAD_SHARE, UPLOAD),
        route: 2,
        mean_service: UPLOAD,
        ..lookups.clone()
    };
    let mut archive_share = Kind {
        rate: rate(ARCHIVE_LOAD, LOOKUP * ARCHIVE_WORK_FACTOR),
        route: 3,
        paths: 16,
        class: Class::Long,
        mean_service: LOOKUP * ARCHIVE_WORK_FACTOR,
        distribution: Distribution::Uniform,
        deadline: ARCHIVE_DEADLINE,
        ..lookups.clone()
    };
    if variant == Variant::OneCaller {
        archive_share.callers[0] = HEAVY_CALLER_WEIGHT * (CALLERS - 1) as f64;
    }
    let mut kinds = vec![lookups, uploads, archive_share];
    if variant == Variant::Undeclared {
        kinds[ARCHIVE_KIND].route = kinds[0].route;
        kinds.iter_mut().for_each(|k| k.class = Class::Auto);
    }
    Case {
        policy,
        hops: vec![targets],
        kinds,
        until: Time::ZERO + ARRIVAL_TIME,
        queue: 64,
        connections: site.connections,
        seed,
    }
}

/// Returns the p99 of the requests of one kind after the warm-up, in milliseconds.
fn p99_of(outcome: &Outcome, kind: usize) -> f64 {
    let counted = outcome
        .requests
        .iter()
        .filter(|r| r.kind == kind && r.arrived >= Time::ZERO + WARM_UP);
    p99_ms(counted.map(latency))
}

/// Counts archive pulls that neither completed nor were refused within their deadline.
fn overdue_archive_pulls(outcome: &Outcome) -> usize {
    let is_in_time = |at: Time, deadline: Time| at <= deadline;
    outcome
        .requests
        .iter()
        .filter(|r| r.kind == ARCHIVE_KIND)
        .filter(|r| !r.end.is_some_and(|(at, _)| is_in_time(at, r.deadline)))
        .count()
}

/// Returns the archive pulls completed in time as a share of the capacity that short work leaves.
/// Each counts with its mean service time.
fn archive_share(case: &Case, outcome: &Outcome) -> f64 {
    let (from, to) = (Time::ZERO + WARM_UP, case.until);
    let completed = outcome.requests.iter().filter(|r| {
        r.kind == ARCHIVE_KIND
            && r.timely_latency().is_some()
            && r.end.is_some_and(|(at, _)| at >= from && at < to)
    });
    let work = (LOOKUP * ARCHIVE_WORK_FACTOR).as_secs_f64() * completed.count() as f64;
    let remaining = capacity(&case.hops[0], Time::ZERO) * (1.0 - SHORT_LOAD);
    work / (remaining * (to - from).as_secs_f64())
}

/// Returns the completed archive pulls of all callers but the heavy one, over their equal share of
/// all completed pulls or, if less, over what they offered. Counts arrivals from `after` the start
/// on.
fn fair_share(outcome: &Outcome, after: Duration) -> f64 {
    let counted = |r: &&Request| r.kind == ARCHIVE_KIND && r.arrived >= Time::ZERO + after;
    let pulls = || outcome.requests.iter().filter(counted);
    let is_done = |r: &&Request| matches!(r.end, Some((_, End::Done)));
    let is_of_others = |r: &&Request| r.caller != 0;
    let equal_share =
        (CALLERS - 1) as f64 / CALLERS as f64 * pulls().filter(is_done).count() as f64;
    let offered = pulls().filter(is_of_others).count() as f64;
    pulls().filter(is_done).filter(is_of_others).count() as f64 / equal_share.min(offered)
}
