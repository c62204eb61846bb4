//! Quantiles of recent latencies in constant memory.

use std::time::Duration;

/// Buckets per doubling of the latency: a quantile is at most 9% above the true value.
const BUCKETS_PER_DOUBLING: f64 = 8.0;
/// Latency of the first bucket in microseconds.
const FIRST_BUCKET_US: f64 = 50.0;
/// 192 buckets reach from 50 us to 14 minutes.
const BUCKETS: usize = 192;
/// Samples after which the older half is dropped. Two halves cover 512 to 1,024 samples.
const HALF_SAMPLES: u32 = 512;
/// The tail quantile as a share in percent. Hedges sent after the 95th percentile used up a budget
/// of 5% in normal operation and left little for a straggler; after the 97th they use half of it.
const TAIL_PERCENT: u32 = 97;
/// Samples below which no quantile is given.
const MIN_SAMPLES: u32 = 16;
/// Samples between two computations of the cached quantiles.
const REFRESH_SAMPLES: u32 = 16;

/// Median and 97th percentile of the last several hundred latencies.
#[derive(Clone, Debug)]
pub struct Quantiles {
    current: Box<[u16; BUCKETS]>,
    previous: Box<[u16; BUCKETS]>,
    in_current: u32,
    in_previous: u32,
    since_refresh: u32,
    median: Option<Duration>,
    tail: Option<Duration>,
}

impl Default for Quantiles {
    fn default() -> Self {
        Quantiles {
            current: Box::new([0; BUCKETS]),
            previous: Box::new([0; BUCKETS]),
            in_current: 0,
            in_previous: 0,
            since_refresh: 0,
            median: None,
            tail: None,
        }
    }
}

impl Quantiles {
    /// Adds a latency.
    pub fn record(&mut self, latency: Duration) {
        if self.in_current == HALF_SAMPLES {
            std::mem::swap(&mut self.current, &mut self.previous);
            self.current.fill(0);
            self.in_previous = self.in_current;
            self.in_current = 0;
        }
        self.current[bucket(latency)] += 1;
        self.in_current += 1;
        self.since_refresh += 1;
        if self.median.is_none() || self.since_refresh >= REFRESH_SAMPLES {
            self.refresh();
        }
    }

    /// Returns the median, or `None` while there are too few samples.
    pub fn median(&self) -> Option<Duration> {
        self.median
    }

    /// Returns the 97th percentile, or `None` while there are too few samples.
    pub fn tail(&self) -> Option<Duration> {
        self.tail
    }

    fn refresh(&mut self) {
        let total = self.in_current + self.in_previous;
        if total < MIN_SAMPLES {
            return;
        }
        self.since_refresh = 0;
        self.median = Some(self.quantile(total.div_ceil(2)));
        self.tail = Some(self.quantile((total * TAIL_PERCENT).div_ceil(100)));
    }

    /// Returns the upper edge of the bucket that holds the sample of this rank.
    fn quantile(&self, rank: u32) -> Duration {
        let mut seen = 0;
        for i in 0..BUCKETS {
            seen += u32::from(self.current[i]) + u32::from(self.previous[i]);
            if seen >= rank {
                return upper_edge(i);
            }
        }
        upper_edge(BUCKETS - 1)
    }
}

fn bucket(latency: Duration) -> usize {
    let us = latency.as_micros() as f64;
    let i = ((us / FIRST_BUCKET_US).log2() * BUCKETS_PER_DOUBLING).ceil();
    (i.max(0.0) as usize).min(BUCKETS - 1)
}

fn upper_edge(bucket: usize) -> Duration {
    let us = FIRST_BUCKET_US * (bucket as f64 / BUCKETS_PER_DOUBLING).exp2();
    Duration::from_micros(us as u64)
}
