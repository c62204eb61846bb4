//! Exponential back-off with full jitter.

use std::time::Duration;

use rand::{Rng, RngExt};

/// Bound of the first delay.
const FIRST: Duration = Duration::from_millis(100);
/// Bound of each delay.
const MAX: Duration = Duration::from_secs(5);

/// Returns the delay after `failures` failures in a row: evenly distributed up to a bound that
/// doubles with each failure, so that nodes that failed together don't come back together.
pub(crate) fn delay(failures: u32, rng: &mut impl Rng) -> Duration {
    let doublings = failures.saturating_sub(1).min(16);
    let bound = (FIRST * (1 << doublings)).min(MAX);
    Duration::from_micros(rng.random_range(0..=micros(bound)))
}

fn micros(d: Duration) -> u64 {
    u64::try_from(d.as_micros()).unwrap_or(u64::MAX)
}
