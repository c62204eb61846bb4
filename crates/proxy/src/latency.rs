//! Latency histograms in the Prometheus text format.

use std::fmt::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// Upper bounds of the histogram buckets; they cover latency objectives of 100 ms to 4 s.
const BOUNDS_MS: [u64; 12] = [
    5, 10, 25, 50, 100, 200, 300, 500, 1_000, 2_000, 4_000, 8_000,
];

/// The section of a request's lifetime that a histogram covers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Span {
    /// From the arrival of a caller's request to the end of its response.
    Request,
    /// From the offer to the target's queue to the dispatch to the target.
    Queue,
    /// From the dispatch to the target to the end of its response.
    Target,
}

const SPAN_NAMES: [(Span, &str); 3] = [
    (Span::Request, "request"),
    (Span::Queue, "queue"),
    (Span::Target, "target"),
];

#[derive(Debug, Default)]
struct Histogram {
    buckets: [AtomicU64; BOUNDS_MS.len() + 1],
    sum_us: AtomicU64,
}

/// Latency histograms of this node, one for each span.
#[derive(Debug, Default)]
pub(crate) struct Latencies([Histogram; SPAN_NAMES.len()]);

impl Latencies {
    pub(crate) fn record(&self, span: Span, elapsed: Duration) {
        let h = &self.0[span as usize];
        let ms = u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX);
        let bucket = BOUNDS_MS.partition_point(|bound| *bound < ms);
        h.buckets[bucket].fetch_add(1, Ordering::Relaxed);
        let us = u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX);
        h.sum_us.fetch_add(us, Ordering::Relaxed);
    }

    /// Appends the histograms in the Prometheus text format.
    pub(crate) fn write_text(&self, out: &mut String) {
        for (span, name) in SPAN_NAMES {
            let h = &self.0[span as usize];
            let mut count = 0;
            for (i, bucket) in h.buckets.iter().enumerate() {
                count += bucket.load(Ordering::Relaxed);
                let bound = BOUNDS_MS.get(i).map_or("+Inf".into(), u64::to_string);
                // Writing to a `String` does not fail.
                let _ = writeln!(out, "briarlug_{name}_ms_bucket{{le=\"{bound}\"}} {count}");
            }
            let sum = h.sum_us.load(Ordering::Relaxed) / 1_000;
            let _ = writeln!(out, "briarlug_{name}_ms_sum {sum}");
            let _ = writeln!(out, "briarlug_{name}_ms_count {count}");
        }
    }
}
