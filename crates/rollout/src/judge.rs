//! Sequential tests of an instance against the old version.
//!
//! Two properties of a response are tested on each route: whether it is a failure, and whether it is
//! slow, which means twice as slow as nearly all of the old version's or abandoned by its caller. Both
//! are tested with a cumulative sum of log-likelihood ratios, which is bounded below by 0, so that a
//! version that turns bad late is found as fast as one that is bad from the start.

use std::collections::BTreeMap;

use crate::evidence::{Evidence, RouteEvidence, RouteId};

/// Sum at which an instance counts as bad. An instance like the old version reaches it about once in
/// `e^8`, some 3,000, responses per unit of drift; a bad version needs more than one such instance.
const BAD_AT: f64 = 8.0;
/// Sum of the failures at which a version counts as fit: about one bad version in `e^3`, some 20, shows
/// as little. It is then still watched, with both versions at work.
pub(crate) const FIT_AT: f64 = -3.0;
/// The sum that has to do when the time for more evidence is over: the version is rather fit than bad.
/// A good version with little traffic should not be rolled back.
pub(crate) const LAST_FIT_AT: f64 = 0.0;
/// Measured responses of an instance from which its slowness counts.
const MIN_INSTANCE_TIMED: u64 = 5;
/// Smallest share of failures that is assumed of the old version. Single failures of a version that
/// hardly fails would else weigh too much.
const MIN_FAILURE_SHARE: f64 = 0.02;
/// Smallest share of slow responses that is assumed of the old version: work differs in length.
const MIN_SLOW_SHARE: f64 = 0.05;
/// Largest share that is assumed of the old version. Above it, the test can't tell both apart.
const MAX_SHARE: f64 = 0.6;
/// What a bad version adds at least to the old version's share of failures or slow responses. A
/// version that fails less is no worse than the old one under a usual fault.
const MIN_EXCESS: f64 = 0.15;
/// Factor of a bad version's share on the old version's share, and the largest share that results.
const MIN_FACTOR: f64 = 3.0;
const MAX_BAD_SHARE: f64 = 0.95;
/// Quantile of the old version's response times, and buckets above it from which a response counts as
/// slow: two buckets are a factor of 2. A high quantile contains the slower machines.
const SLOW_QUANTILE: f64 = 0.9;
const SLOW_BUCKETS: usize = 2;
/// First bucket of responses that count as slow however fast the others are: 32 ms. Below it, the delays
/// of a busy machine can't be told from a slow version, and few callers notice them.
const MIN_SLOW_BUCKET: usize = 11;
/// Measured responses of the old version on a route below which slowness is not tested there.
const MIN_TIMED: u64 = 20;

/// Whether an instance, or a version, is bad.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Nothing speaks against it.
    Fit,
    /// It fails or is slow more often than the old version.
    Bad,
}

/// Shares of one route at the old version.
#[derive(Clone, Copy, Debug)]
struct RouteBaseline {
    failure_share: f64,
    /// First bucket of slow responses and their share; `None` if too few were measured.
    slow: Option<(usize, f64)>,
}

/// Failures and response times of the old version, against which instances are tested.
#[derive(Clone, Debug, Default)]
pub struct Baseline {
    routes: BTreeMap<RouteId, RouteBaseline>,
}

impl From<&Evidence> for Baseline {
    fn from(old: &Evidence) -> Baseline {
        let routes = old.routes.iter().map(|(r, e)| (*r, e.into()));
        Baseline {
            routes: routes.collect(),
        }
    }
}

impl From<&RouteEvidence> for RouteBaseline {
    fn from(old: &RouteEvidence) -> RouteBaseline {
        let share = |part: u64, all: u64| part as f64 / all.max(1) as f64;
        let timed = old.timed();
        let usual = old
            .quantile_bucket(SLOW_QUANTILE)
            .filter(|_| timed >= MIN_TIMED);
        RouteBaseline {
            failure_share: share(old.failures, old.answers),
            slow: usual.map(|bucket| {
                let first = (bucket + SLOW_BUCKETS).max(MIN_SLOW_BUCKET);
                (first, share(old.slow(first), timed + old.abandoned))
            }),
        }
    }
}

/// Log-likelihood ratio of a bad version to the old one, for `hits` responses with a property among
/// `all`. `share` is the old version's share of such responses.
fn log_ratio(hits: u64, all: u64, share: f64, min_share: f64) -> f64 {
    let old = share.clamp(min_share, MAX_SHARE);
    let bad = (old + MIN_EXCESS).max(old * MIN_FACTOR).min(MAX_BAD_SHARE);
    let hit = (bad / old).ln();
    let miss = ((1.0 - bad) / (1.0 - old)).ln();
    hits as f64 * hit + all.saturating_sub(hits) as f64 * miss
}

impl Baseline {
    /// Returns the log-likelihood ratios of failures and of slowness on a route.
    fn log_ratios(&self, route: RouteId, counts: &RouteEvidence) -> [f64; 2] {
        let old = self.routes.get(&route);
        let share = old.map_or(0.0, |b| b.failure_share);
        let failures = log_ratio(counts.failures, counts.answers, share, MIN_FAILURE_SHARE);
        let slow = old.and_then(|b| b.slow).map_or(0.0, |(first, share)| {
            let all = counts.timed() + counts.abandoned;
            log_ratio(counts.slow(first), all, share, MIN_SLOW_SHARE)
        });
        [failures, slow]
    }

    /// Returns how much the failures in `evidence` speak for a bad version.
    pub(crate) fn failure_ratio(&self, evidence: &Evidence) -> f64 {
        let ratios = evidence.routes.iter().map(|(r, c)| self.log_ratios(*r, c));
        ratios.map(|r| r[0]).sum()
    }

    /// Returns whether an instance with this evidence is rather slow than not; `None` if too little was
    /// measured.
    pub(crate) fn is_slow(&self, evidence: &Evidence) -> Option<bool> {
        let timed: u64 = evidence
            .routes
            .values()
            .map(|r| r.timed() + r.abandoned)
            .sum();
        let ratios = evidence.routes.iter().map(|(r, c)| self.log_ratios(*r, c));
        (timed >= MIN_INSTANCE_TIMED).then(|| ratios.map(|r| r[1]).sum::<f64>() > 0.0)
    }

    /// Judges the failures that a version has shown; it is fit from the sum `fit_at` on. `None` if the
    /// evidence is not enough to tell. Slowness depends on the machines too, so that it is judged by
    /// instance only.
    pub(crate) fn judge_failures(&self, all: &Evidence, fit_at: f64) -> Option<Verdict> {
        let ratios = all.routes.iter().map(|(r, c)| self.log_ratios(*r, c)[0]);
        let ratios: Vec<_> = ratios.collect();
        let sum: f64 = ratios.iter().sum();
        if sum >= BAD_AT || ratios.iter().any(|r| *r >= BAD_AT) {
            return Some(Verdict::Bad);
        }
        (sum <= fit_at).then_some(Verdict::Fit)
    }
}

/// The tests of one instance.
#[derive(Clone, Debug, Default)]
pub struct Judge {
    /// Cumulative sums for failures and for slowness, by route.
    routes: BTreeMap<RouteId, [f64; 2]>,
    /// The same over all routes.
    all: [f64; 2],
    is_bad: bool,
}

impl Judge {
    /// Adds what the instance has shown since the last call. The verdict `Bad` is kept.
    pub fn add(&mut self, news: &Evidence, baseline: &Baseline) -> Verdict {
        for (route, counts) in &news.routes {
            let ratios = baseline.log_ratios(*route, counts);
            for sums in [self.routes.entry(*route).or_default(), &mut self.all] {
                for (sum, ratio) in sums.iter_mut().zip(ratios) {
                    *sum = (*sum + ratio).max(0.0);
                    self.is_bad |= *sum >= BAD_AT;
                }
            }
        }
        self.verdict()
    }

    /// Returns the verdict so far.
    pub fn verdict(&self) -> Verdict {
        if self.is_bad {
            Verdict::Bad
        } else {
            Verdict::Fit
        }
    }
}
