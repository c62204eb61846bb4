//! Quantiles of recent latencies in constant memory.

use std::time::Duration;

/// Buckets per doubling of the latency. A quantile is at most 9% above the true value.
const BUCKETS_PER_DOUBLING: f64 = 8.0;
/// Upper edge of the first bucket, in microseconds.
const FIRST_BUCKET_US: f64 = 50.0;
/// Number of buckets, from 50 us to 14 minutes.
const BUCKETS: usize = 192;
/// Samples per half of the window. The window of two halves covers 512 to 1,024 samples.
const HALF_SAMPLES: u32 = 512;
/// Tail quantile in percent. Hedges after the 95th percentile would use up a budget of 5% in normal
/// operation and leave little for a slow instance; after the 97th, they use half of the budget.
const TAIL_PERCENT: u32 = 97;
/// Minimum number of samples for a quantile.
const MIN_SAMPLES: u32 = 16;
/// Number of samples after which the cached quantiles are recomputed.
const REFRESH_SAMPLES: u32 = 16;

/// Median and 97th percentile of the last 512 to 1,024 latencies.
#[derive(Clone, Debug)]
pub struct Quantiles {
    current: Box<[u16; BUCKETS]>,
    previous: Box<[u16; BUCKETS]>,
    current_count: u32,
    previous_count: u32,
    since_refresh: u32,
    median: Option<Duration>,
    tail: Option<Duration>,
}

impl Default for Quantiles {
    fn default() -> Self {
        Quantiles {
            current: Box::new([0; BUCKETS]),
            previous: Box::new([0; BUCKETS]),
            current_count: 0,
            previous_count: 0,
            since_refresh: 0,
            median: None,
            tail: None,
        }
    }
}

impl Quantiles {
    /// Records a latency.
    pub fn record(&mut self, latency: Duration) {
        if self.current_count == HALF_SAMPLES {
            std::mem::swap(&mut self.current, &mut self.previous);
            self.current.fill(0);
            self.previous_count = self.current_count;
            self.current_count = 0;
        }
        self.current[bucket_index(latency)] += 1;
        self.current_count += 1;
        self.since_refresh += 1;
        if self.median.is_none() || self.since_refresh >= REFRESH_SAMPLES {
            self.refresh();
        }
    }

    /// Returns the median, or `None` below 16 samples.
    pub fn median(&self) -> Option<Duration> {
        self.median
    }

    /// Returns the 97th percentile, or `None` below 16 samples.
    pub fn tail(&self) -> Option<Duration> {
        self.tail
    }

    fn refresh(&mut self) {
        let total = self.current_count + self.previous_count;
        if total < MIN_SAMPLES {
            return;
        }
        self.since_refresh = 0;
        self.median = Some(self.quantile(total.div_ceil(2)));
        self.tail = Some(self.quantile((total * TAIL_PERCENT).div_ceil(100)));
    }

    /// Returns the upper edge of the bucket that holds the sample of this rank, counted from 1.
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

fn bucket_index(latency: Duration) -> usize {
    let us = latency.as_micros() as f64;
    let i = ((us / FIRST_BUCKET_US).log2() * BUCKETS_PER_DOUBLING).ceil();
    (i.max(0.0) as usize).min(BUCKETS - 1)
}

fn upper_edge(bucket: usize) -> Duration {
    let us = FIRST_BUCKET_US * (bucket as f64 / BUCKETS_PER_DOUBLING).exp2();
    Duration::from_micros(us as u64)
}
