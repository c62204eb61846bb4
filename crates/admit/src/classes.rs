//! Learned classes and service times.

use std::collections::BTreeMap;
use std::time::Duration;

use wire::Time;

use crate::offer::{Class, Offer};

/// Work is long when it takes over this many times the median.
const LONG_FACTOR: f64 = 8.0;
/// Long work turns short again below this many times the median. Hysteresis keeps work near the
/// threshold from changing class with each sample.
const SHORT_FACTOR: f64 = 4.0;
/// Weight of a new service time in an average.
const ALPHA: f64 = 1.0 / 16.0;
/// Service times over which the unloaded one is averaged. With fewer, the noise of the average alone
/// made the measured limit fall at healthy targets.
const UNLOADED_SAMPLES: u32 = 256;
/// Entries per generation of a table; two generations are kept.
const GENERATION: usize = 512;
/// Runs of unknown work that may turn out long at once, on average.
const EXPECTED_SURPRISES: f64 = 0.25;
/// Assumed share of long work among unknown work of a new route.
const FIRST_SURPRISE_SHARE: f64 = 0.25;
/// Weight of one run of unknown work in the learned share.
const SURPRISE_ALPHA: f64 = 1.0 / 64.0;
/// Service time assumed before the first sample, in microseconds.
const FIRST_SERVICE_US: f64 = 1_000.0;

/// Buckets per doubling of the service time.
const PER_OCTAVE: f64 = 4.0;
/// Buckets of the histogram; the last begins at 2^35 us (9.5 hours).
const BUCKETS: usize = 144;
/// Samples after which older ones count half.
const HALVE_AT: u32 = 1_024;

/// A histogram of service times that forgets older ones.
#[derive(Debug)]
struct Median {
    counts: [u32; BUCKETS],
    total: u32,
    value: Option<f64>,
}

impl Median {
    fn add(&mut self, us: f64) {
        let bucket = (us.max(1.0).log2() * PER_OCTAVE) as usize;
        self.counts[bucket.min(BUCKETS - 1)] += 1;
        self.total += 1;
        if self.total >= HALVE_AT {
            self.counts.iter_mut().for_each(|c| *c /= 2);
            self.total = self.counts.iter().sum();
        }
        // The sum over the buckets costs more than the rest; a few samples hardly move it.
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
        Some(((bucket as f64 + 0.5) / PER_OCTAVE).exp2())
    }
}

/// A bounded table that forgets entries that weren't used during a whole generation.
#[derive(Debug)]
struct Table<K, V> {
    current: BTreeMap<K, V>,
    previous: BTreeMap<K, V>,
}

impl<K: Ord + Copy, V> Table<K, V> {
    fn new() -> Self {
        Table {
            current: BTreeMap::new(),
            previous: BTreeMap::new(),
        }
    }

    fn get(&self, k: K) -> Option<&V> {
        self.current.get(&k).or_else(|| self.previous.get(&k))
    }

    fn entry(&mut self, k: K, new: impl FnOnce() -> V) -> &mut V {
        if self.current.len() >= GENERATION && !self.current.contains_key(&k) {
            self.previous = std::mem::take(&mut self.current);
        }
        let previous = &mut self.previous;
        self.current
            .entry(k)
            .or_insert_with(|| previous.remove(&k).unwrap_or_else(new))
    }
}

/// An average service time and the class that follows from it.
#[derive(Debug)]
struct Estimate {
    mean_us: f64,
    long: bool,
}

impl Estimate {
    fn first(us: f64) -> Estimate {
        Estimate {
            mean_us: us,
            long: false,
        }
    }

    fn add(&mut self, us: f64, median: f64) {
        self.mean_us += (us - self.mean_us) * ALPHA;
        self.judge(median);
    }

    fn judge(&mut self, median: f64) {
        let factor = if self.long { SHORT_FACTOR } else { LONG_FACTOR };
        self.long = self.mean_us > factor * median;
    }
}

#[derive(Debug)]
struct Route {
    estimate: Estimate,
    /// Average while few other requests ran.
    unloaded_us: f64,
    unloaded_samples: u32,
    /// Whether single runs were of both classes.
    short_seen: bool,
    long_seen: bool,
    /// Share of runs of unknown work that were long.
    surprises: f64,
}

/// What is known about an offered request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Known {
    Short,
    Long,
    /// Nothing; this many such requests may run at once as short work.
    No {
        probes: u32,
    },
}

/// Learned classes and service times of one target.
#[derive(Debug)]
pub(crate) struct Classes {
    median: Median,
    routes: Table<u64, Route>,
    works: Table<(u64, u64), Estimate>,
    short_us: f64,
    long_us: Option<f64>,
}

impl Classes {
    pub(crate) fn new() -> Classes {
        Classes {
            median: Median {
                counts: [0; BUCKETS],
                total: 0,
                value: None,
            },
            routes: Table::new(),
            works: Table::new(),
            short_us: FIRST_SERVICE_US,
            long_us: None,
        }
    }

    /// Returns what is known about the class of `offer`.
    pub(crate) fn class(&self, offer: &Offer) -> Known {
        let of = |long| if long { Known::Long } else { Known::Short };
        match offer.class {
            Class::Short => return Known::Short,
            Class::Long => return Known::Long,
            Class::Auto => {}
        }
        let Some(route) = self.routes.get(offer.route) else {
            return Known::No { probes: 1 };
        };
        if !(route.short_seen && route.long_seen) {
            // The average of a route without short runs may be of one early run only.
            return of(route.estimate.long || (route.long_seen && !route.short_seen));
        }
        match self.works.get((offer.route, offer.work)) {
            Some(e) => of(e.long),
            None => Known::No {
                probes: (EXPECTED_SURPRISES / route.surprises).max(1.0) as u32,
            },
        }
    }

    /// Returns the run time above which work is long, if a median is known.
    pub(crate) fn long_over(&self) -> Option<Duration> {
        let us = self.median.value? * LONG_FACTOR;
        Some(Duration::from_micros(us as u64))
    }

    /// Returns the average service time of short or long work.
    pub(crate) fn typical(&self, long: bool) -> Duration {
        let us = match (long, self.long_us) {
            (false, _) => self.short_us,
            (true, Some(us)) => us,
            (true, None) => self.short_us * LONG_FACTOR,
        };
        Duration::from_micros(us as u64)
    }

    /// Returns whether the service time of short or long work has been seen.
    pub(crate) fn is_known(&self, long: bool) -> bool {
        !long || self.long_us.is_some()
    }

    /// Learns that work of this kind is long, from a run that isn't over yet.
    pub(crate) fn overtime(&mut self, offer: &Offer, ran: Duration, probe: bool) {
        if offer.class == Class::Auto {
            self.learn(offer, ran.as_micros() as f64, true, probe);
        }
    }

    /// Learns from a complete run. For short work it returns the service time over the unloaded one
    /// of the route, as soon as that is known well.
    pub(crate) fn finished(&mut self, offer: &Offer, run: &Run) -> Option<f64> {
        let us = run.service.as_micros() as f64;
        if offer.class != Class::Long {
            self.median.add(us);
        }
        let long = match offer.class {
            Class::Short => false,
            Class::Long => true,
            Class::Auto => self.long_over().is_some_and(|d| run.service > d),
        };
        self.average(us, long);
        let median = self.median.value.unwrap_or(us);
        let first = !run.learned;
        if first {
            self.learn(offer, us, long, run.probe);
        }
        let route = self.routes.entry(offer.route, || Route::new(us));
        if route.estimate.long || long {
            route.estimate.judge(median);
            return None;
        }
        if run.low {
            route.unloaded_samples = (route.unloaded_samples + 1).min(UNLOADED_SAMPLES);
            route.unloaded_us += (us - route.unloaded_us) / f64::from(route.unloaded_samples);
        }
        (route.unloaded_samples == UNLOADED_SAMPLES).then(|| us / route.unloaded_us.max(1.0))
    }

    fn average(&mut self, us: f64, long: bool) {
        if long {
            let mean = self.long_us.get_or_insert(us);
            *mean += (us - *mean) * ALPHA;
        } else {
            self.short_us += (us - self.short_us) * ALPHA;
        }
    }

    fn learn(&mut self, offer: &Offer, us: f64, long: bool, probe: bool) {
        let median = self.median.value.unwrap_or(us);
        let route = self.routes.entry(offer.route, || Route::new(us));
        route.estimate.add(us, median);
        route.long_seen |= long;
        route.short_seen |= !long;
        if probe {
            let share = f64::from(u8::from(long));
            route.surprises += (share - route.surprises) * SURPRISE_ALPHA;
        }
        if offer.class != Class::Auto || !(route.long_seen && route.short_seen) {
            return;
        }
        let work = (offer.route, offer.work);
        let known = self.works.get(work).is_some();
        let estimate = self.works.entry(work, || Estimate::first(us));
        if known {
            estimate.add(us, median);
        } else {
            estimate.long = long;
        }
    }
}

impl Route {
    fn new(us: f64) -> Route {
        Route {
            estimate: Estimate::first(us),
            unloaded_us: 0.0,
            unloaded_samples: 0,
            short_seen: false,
            long_seen: false,
            surprises: FIRST_SURPRISE_SHARE,
        }
    }
}

/// A complete run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Run {
    pub(crate) service: Duration,
    /// Few other requests ran when it began.
    pub(crate) low: bool,
    /// Its class was not known when it began.
    pub(crate) probe: bool,
    /// Its class was learned while it ran.
    pub(crate) learned: bool,
}

/// When running requests are next compared with [`Classes::long_over`].
#[derive(Debug, Default)]
pub(crate) struct NextScan(Option<Time>);

impl NextScan {
    /// Returns whether a scan is due, and plans the next one.
    pub(crate) fn is_due(&mut self, now: Time, long_over: Duration) -> bool {
        let due = self.0.is_none_or(|t| now >= t);
        if due {
            self.0 = Some(now + long_over / 4);
        }
        due
    }
}
