//! Learned service times of one target and the classes that follow from them.

use std::collections::BTreeMap;
use std::time::Duration;

use wire::Time;

use crate::offer::{Class, Offer};

/// A route, or one of its operations (method and path), becomes long when its average service time
/// exceeds this many times the target's median; a run is long above the same threshold.
const LONG_FACTOR: f64 = 8.0;
/// A long route or operation becomes short again at this many times the median or less. The
/// hysteresis keeps those near the threshold from changing class with each sample.
const SHORT_FACTOR: f64 = 4.0;
/// Weight of a new service time in a moving average.
const AVERAGE_WEIGHT: f64 = 1.0 / 16.0;
/// Samples in the average unloaded service time of a route. With fewer, noise in the average would
/// lower the adaptive concurrency limit of healthy targets.
const UNLOADED_SAMPLES: u32 = 256;
/// Maximum entries per generation of a table. Two generations are kept.
const GENERATION_CAPACITY: usize = 512;
/// Allowed mean number of long runs among the concurrent probes. A probe is a request of unknown
/// class that is admitted as short work.
const MAX_MEAN_LONG_PROBES: f64 = 0.25;
/// Assumed fraction of long runs among the probes of a new route.
const INITIAL_LONG_PROBE_FRACTION: f64 = 0.25;
/// Weight of one probe in the learned fraction of long probes.
const LONG_PROBE_WEIGHT: f64 = 1.0 / 64.0;
/// Mean service time of short work before the first sample.
const INITIAL_SERVICE_US: f64 = 1_000.0;

/// Histogram buckets per doubling of the service time.
const BUCKETS_PER_OCTAVE: f64 = 4.0;
/// Number of histogram buckets. The last one begins at 2^35.75 us (16 hours).
const BUCKET_COUNT: usize = 144;
/// Number of samples at which all counts are halved, so that older samples lose weight.
const HALVING_SAMPLE_COUNT: u32 = 1_024;

/// Estimates the median service time with a logarithmic histogram in which older samples decay.
#[derive(Debug)]
struct MedianEstimator {
    counts: [u32; BUCKET_COUNT],
    total: u32,
    /// The median in microseconds; `None` before the first sample.
    value: Option<f64>,
}

impl MedianEstimator {
    fn add(&mut self, us: f64) {
        let bucket = (us.max(1.0).log2() * BUCKETS_PER_OCTAVE) as usize;
        self.counts[bucket.min(BUCKET_COUNT - 1)] += 1;
        self.total += 1;
        if self.total >= HALVING_SAMPLE_COUNT {
            self.counts.iter_mut().for_each(|c| *c /= 2);
            self.total = self.counts.iter().sum();
        }
        // After the first 16 samples, the median is computed on every 16th only: summing the
        // buckets is the most expensive part, and a few samples hardly change the result.
        if self.total <= 16 || self.total.is_multiple_of(16) {
            self.value = self.compute();
        }
    }

    fn compute(&self) -> Option<f64> {
        let mut seen = 0;
        let bucket = self.counts.iter().position(|c| {
            seen += c;
            seen * 2 >= self.total
        })?;
        Some(((bucket as f64 + 0.5) / BUCKETS_PER_OCTAVE).exp2())
    }
}

/// A bounded table that evicts entries that weren't written during a whole generation.
#[derive(Debug)]
struct GenerationalTable<K, V> {
    current: BTreeMap<K, V>,
    previous: BTreeMap<K, V>,
}

impl<K: Ord + Copy, V> GenerationalTable<K, V> {
    fn new() -> Self {
        GenerationalTable {
            current: BTreeMap::new(),
            previous: BTreeMap::new(),
        }
    }

    fn get(&self, k: K) -> Option<&V> {
        self.current.get(&k).or_else(|| self.previous.get(&k))
    }

    fn entry(&mut self, k: K, new: impl FnOnce() -> V) -> &mut V {
        if self.current.len() >= GENERATION_CAPACITY && !self.current.contains_key(&k) {
            self.previous = std::mem::take(&mut self.current);
        }
        let previous = &mut self.previous;
        self.current
            .entry(k)
            .or_insert_with(|| previous.remove(&k).unwrap_or_else(new))
    }
}

/// An average service time and the class derived from it.
#[derive(Debug)]
struct Estimate {
    mean_us: f64,
    is_long: bool,
}

impl Estimate {
    fn new(us: f64) -> Estimate {
        Estimate {
            mean_us: us,
            is_long: false,
        }
    }

    fn add(&mut self, us: f64, median: f64) {
        self.mean_us += (us - self.mean_us) * AVERAGE_WEIGHT;
        self.reclassify(median);
    }

    fn reclassify(&mut self, median: f64) {
        let factor = if self.is_long {
            SHORT_FACTOR
        } else {
            LONG_FACTOR
        };
        self.is_long = self.mean_us > factor * median;
    }
}

#[derive(Debug)]
struct RouteStats {
    estimate: Estimate,
    /// Average service time of short runs while few other requests ran, in microseconds.
    unloaded_us: f64,
    unloaded_samples: u32,
    /// Whether at least one run was short.
    has_short_runs: bool,
    /// Whether at least one run was long.
    has_long_runs: bool,
    /// Moving average of the fraction of probes that were long, 0 to 1.
    long_probe_fraction: f64,
}

/// Class that an offered request is likely to have.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Likely {
    Short,
    Long,
    /// Not known: the request is admitted as short work while fewer than `max_probes` probes run or
    /// wait on the target.
    Unknown {
        max_probes: u32,
    },
}

/// Learned classes and service times of one target.
#[derive(Debug)]
pub(crate) struct Classes {
    median: MedianEstimator,
    routes: GenerationalTable<u64, RouteStats>,
    /// Estimates by route and hash of method and path, for routes that have had both short and long
    /// runs.
    operations: GenerationalTable<(u64, u64), Estimate>,
    /// Moving average of the service times of short work, in microseconds.
    short_mean_us: f64,
    /// Moving average of the service times of long work, in microseconds; `None` before the first
    /// sample.
    long_mean_us: Option<f64>,
}

impl Classes {
    pub(crate) fn new() -> Classes {
        Classes {
            median: MedianEstimator {
                counts: [0; BUCKET_COUNT],
                total: 0,
                value: None,
            },
            routes: GenerationalTable::new(),
            operations: GenerationalTable::new(),
            short_mean_us: INITIAL_SERVICE_US,
            long_mean_us: None,
        }
    }

    /// Returns the declared class of `offer`, or the likely one if none is declared.
    pub(crate) fn predict_class(&self, offer: &Offer) -> Likely {
        let to_class = |is_long| if is_long { Likely::Long } else { Likely::Short };
        match offer.class {
            Class::Short => return Likely::Short,
            Class::Long => return Likely::Long,
            Class::Auto => {}
        }
        let Some(route) = self.routes.get(offer.route) else {
            return Likely::Unknown { max_probes: 1 };
        };
        if !(route.has_short_runs && route.has_long_runs) {
            // A route with long runs only is long, even if its average is below the threshold: the
            // average may come from a single run that hasn't finished yet.
            return to_class(
                route.estimate.is_long || (route.has_long_runs && !route.has_short_runs),
            );
        }
        match self.operations.get((offer.route, offer.operation)) {
            Some(e) => to_class(e.is_long),
            None => Likely::Unknown {
                max_probes: (MAX_MEAN_LONG_PROBES / route.long_probe_fraction).max(1.0) as u32,
            },
        }
    }

    /// Returns the service time above which a run is long, or `None` before the first sample.
    pub(crate) fn long_threshold(&self) -> Option<Duration> {
        let us = self.median.value? * LONG_FACTOR;
        Some(Duration::from_micros(us as u64))
    }

    /// Returns the average service time of a class, or an assumed one before its first sample.
    pub(crate) fn mean_service(&self, is_long: bool) -> Duration {
        let us = match (is_long, self.long_mean_us) {
            (false, _) => self.short_mean_us,
            (true, Some(us)) => us,
            (true, None) => self.short_mean_us * LONG_FACTOR,
        };
        Duration::from_micros(us as u64)
    }

    /// Returns whether a service time of the class is known or has a default: short work has a
    /// default, long work needs a sample.
    pub(crate) fn has_mean_service(&self, is_long: bool) -> bool {
        !is_long || self.long_mean_us.is_some()
    }

    /// Learns from a run that is long already, because it is still in progress after `ran`. Does
    /// nothing for a request with a declared class.
    pub(crate) fn record_overtime(&mut self, offer: &Offer, ran: Duration, is_probe: bool) {
        if offer.class == Class::Auto {
            self.learn(offer, ran.as_micros() as f64, true, is_probe);
        }
    }

    /// Learns from a completed run. Returns the ratio of its service time to the unloaded service
    /// time of the route, or `None` for long work and until the route has [`UNLOADED_SAMPLES`]
    /// unloaded samples.
    pub(crate) fn record_completed(&mut self, offer: &Offer, run: &CompletedRun) -> Option<f64> {
        let us = run.service_time.as_micros() as f64;
        if offer.class != Class::Long {
            self.median.add(us);
        }
        let is_long = match offer.class {
            Class::Short => false,
            Class::Long => true,
            Class::Auto => self.long_threshold().is_some_and(|d| run.service_time > d),
        };
        self.update_mean(us, is_long);
        let median = self.median.value.unwrap_or(us);
        let must_learn = !run.was_learned;
        if must_learn {
            self.learn(offer, us, is_long, run.is_probe);
        }
        let route = self.routes.entry(offer.route, || RouteStats::new(us));
        if route.estimate.is_long || is_long {
            route.estimate.reclassify(median);
            return None;
        }
        if run.is_unloaded {
            route.unloaded_samples = (route.unloaded_samples + 1).min(UNLOADED_SAMPLES);
            route.unloaded_us += (us - route.unloaded_us) / f64::from(route.unloaded_samples);
        }
        (route.unloaded_samples == UNLOADED_SAMPLES).then(|| us / route.unloaded_us.max(1.0))
    }

    fn update_mean(&mut self, us: f64, is_long: bool) {
        if is_long {
            let mean = self.long_mean_us.get_or_insert(us);
            *mean += (us - *mean) * AVERAGE_WEIGHT;
        } else {
            self.short_mean_us += (us - self.short_mean_us) * AVERAGE_WEIGHT;
        }
    }

    fn learn(&mut self, offer: &Offer, us: f64, is_long: bool, is_probe: bool) {
        let median = self.median.value.unwrap_or(us);
        let route = self.routes.entry(offer.route, || RouteStats::new(us));
        route.estimate.add(us, median);
        route.has_long_runs |= is_long;
        route.has_short_runs |= !is_long;
        if is_probe {
            let outcome = f64::from(u8::from(is_long));
            route.long_probe_fraction += (outcome - route.long_probe_fraction) * LONG_PROBE_WEIGHT;
        }
        if offer.class != Class::Auto || !(route.has_long_runs && route.has_short_runs) {
            return;
        }
        let operation = (offer.route, offer.operation);
        let has_estimate = self.operations.get(operation).is_some();
        let estimate = self.operations.entry(operation, || Estimate::new(us));
        if has_estimate {
            estimate.add(us, median);
        } else {
            estimate.is_long = is_long;
        }
    }
}

impl RouteStats {
    fn new(us: f64) -> RouteStats {
        RouteStats {
            estimate: Estimate::new(us),
            unloaded_us: 0.0,
            unloaded_samples: 0,
            has_short_runs: false,
            has_long_runs: false,
            long_probe_fraction: INITIAL_LONG_PROBE_FRACTION,
        }
    }
}

/// A run whose response the target completed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CompletedRun {
    pub(crate) service_time: Duration,
    /// Whether few other requests ran at the same time.
    pub(crate) is_unloaded: bool,
    /// Whether the request was admitted as short work although its class was unknown.
    pub(crate) is_probe: bool,
    /// Whether `record_overtime` has already learned from the run, before it ended.
    pub(crate) was_learned: bool,
}

/// Time at which the ages of running requests are next compared with [`Classes::long_threshold`];
/// `None` before the first comparison.
#[derive(Debug, Default)]
pub(crate) struct ScanTimer(Option<Time>);

impl ScanTimer {
    /// Returns whether a scan is due, and if so schedules the next one a quarter of the threshold
    /// later.
    pub(crate) fn poll_due(&mut self, now: Time, long_threshold: Duration) -> bool {
        let is_due = self.0.is_none_or(|t| now >= t);
        if is_due {
            self.0 = Some(now + long_threshold / 4);
        }
        is_due
    }
}
