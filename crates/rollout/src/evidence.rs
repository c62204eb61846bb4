//! What an instance has seen of its target's responses, by route.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Identifies a route: a hash of its name.
pub type RouteId = u64;

/// Number of buckets of response times. Bucket `i` holds times below `2^(i/2)` ms that are in no
/// earlier one, the last bucket all others; the last bound is 65 s.
const TIME_BUCKETS: usize = 33;
/// Largest number of routes with evidence of their own; further ones are not recorded. It bounds the
/// size of a report.
const MAX_ROUTES: usize = 32;

/// Cumulative counts of one route.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteEvidence {
    /// Responses and failed attempts.
    pub answers: u64,
    /// Responses that report a failure of the target, and attempts without a valid response.
    pub failures: u64,
    /// Requests that were cancelled while the target worked on them; not in `answers`. A slow version
    /// shows in these rather than in its response times, because its callers leave or are served by a
    /// hedge.
    pub abandoned: u64,
    /// Sum of the response times in milliseconds.
    pub total_ms: u64,
    /// Number of response times by bucket, up to the last bucket that is not empty. Times during the
    /// target's warm-up are not counted.
    pub times: Vec<u64>,
}

/// Cumulative counts of all routes of an instance.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evidence {
    /// Counts by route.
    pub routes: BTreeMap<RouteId, RouteEvidence>,
}

impl RouteEvidence {
    fn record(&mut self, took: Option<Duration>, is_failure: bool) {
        self.answers += 1;
        self.failures += u64::from(is_failure);
        let Some(took) = took else { return };
        self.total_ms += took.as_millis() as u64;
        let bucket = bucket(took);
        if self.times.len() <= bucket {
            self.times.resize(bucket + 1, 0);
        }
        self.times[bucket] += 1;
    }

    /// Adds the counts of `other`.
    pub fn add(&mut self, other: &RouteEvidence) {
        self.answers += other.answers;
        self.failures += other.failures;
        self.abandoned += other.abandoned;
        self.total_ms += other.total_ms;
        if self.times.len() < other.times.len() {
            self.times.resize(other.times.len(), 0);
        }
        for (n, o) in self.times.iter_mut().zip(&other.times) {
            *n += o;
        }
    }

    /// Returns the counts since `earlier`, an earlier state of the same counts.
    #[must_use]
    pub fn since(&self, earlier: &RouteEvidence) -> RouteEvidence {
        let old = |i: usize| earlier.times.get(i).copied().unwrap_or(0);
        RouteEvidence {
            answers: self.answers.saturating_sub(earlier.answers),
            failures: self.failures.saturating_sub(earlier.failures),
            abandoned: self.abandoned.saturating_sub(earlier.abandoned),
            total_ms: self.total_ms.saturating_sub(earlier.total_ms),
            times: (self.times.iter().enumerate())
                .map(|(i, n)| n.saturating_sub(old(i)))
                .collect(),
        }
    }

    /// Returns the number of measured response times.
    pub fn timed(&self) -> u64 {
        self.times.iter().sum()
    }

    /// Returns the number of requests that took at least bucket `first`, with those abandoned.
    pub fn slow(&self, first: usize) -> u64 {
        self.times.iter().skip(first).sum::<u64>() + self.abandoned
    }

    /// Returns the bucket that holds the quantile `q` of the response times; `None` without any.
    pub fn quantile_bucket(&self, q: f64) -> Option<usize> {
        let needed = (self.timed() as f64 * q).ceil() as u64;
        let mut seen = 0;
        self.times.iter().position(|n| {
            seen += n;
            needed > 0 && seen >= needed
        })
    }
}

impl Evidence {
    /// Records a response, or an attempt without a valid one. `took` is the response time, `None` if
    /// it says nothing about the version, for example while the target warms up.
    pub fn record(&mut self, route: RouteId, took: Option<Duration>, is_failure: bool) {
        if let Some(counts) = self.counts_of(route) {
            counts.record(took, is_failure);
        }
    }

    /// Records a request that was cancelled while the target worked on it.
    pub fn record_abandoned(&mut self, route: RouteId) {
        if let Some(counts) = self.counts_of(route) {
            counts.abandoned += 1;
        }
    }

    fn counts_of(&mut self, route: RouteId) -> Option<&mut RouteEvidence> {
        if self.routes.len() >= MAX_ROUTES && !self.routes.contains_key(&route) {
            return None;
        }
        Some(self.routes.entry(route).or_default())
    }

    /// Adds the counts of `other`.
    pub fn add(&mut self, other: &Evidence) {
        for (route, counts) in &other.routes {
            self.routes.entry(*route).or_default().add(counts);
        }
    }

    /// Returns the counts since `earlier`, an earlier state of the same counts.
    #[must_use]
    pub fn since(&self, earlier: &Evidence) -> Evidence {
        let none = RouteEvidence::default();
        let changes = self.routes.iter().map(|(route, counts)| {
            let before = earlier.routes.get(route).unwrap_or(&none);
            (*route, counts.since(before))
        });
        Evidence {
            routes: changes.collect(),
        }
    }

    /// Returns the number of answers on all routes.
    pub fn answers(&self) -> u64 {
        self.routes.values().map(|r| r.answers).sum()
    }

    /// Returns the mean of the measured response times; `None` without any.
    pub fn mean_time(&self) -> Option<Duration> {
        let timed: u64 = self.routes.values().map(RouteEvidence::timed).sum();
        let total_ms: u64 = self.routes.values().map(|r| r.total_ms).sum();
        (timed > 0).then(|| Duration::from_millis(total_ms / timed))
    }
}

/// Returns the bucket of a response time.
fn bucket(took: Duration) -> usize {
    let ms = took.as_secs_f64() * 1_000.0;
    let log = if ms < 1.0 { 0.0 } else { 2.0 * ms.log2() };
    (log.floor() as usize + usize::from(ms >= 1.0)).min(TIME_BUCKETS - 1)
}
