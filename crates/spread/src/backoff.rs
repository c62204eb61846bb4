//! Exponential backoff with full jitter.

use std::time::Duration;

use rand::{Rng, RngExt};

/// Upper bound of the delay after the first failure.
const INITIAL_BOUND: Duration = Duration::from_millis(100);
/// Upper bound of the delay after any number of failures.
const MAX_BOUND: Duration = Duration::from_secs(5);

/// Returns the delay after `failures` consecutive failures. It is uniformly distributed up to a
/// bound that doubles with each failure, so that nodes that failed together don't retry together.
pub(crate) fn delay(failures: u32, rng: &mut impl Rng) -> Duration {
    let doublings = failures.saturating_sub(1).min(16);
    let bound = (INITIAL_BOUND * (1 << doublings)).min(MAX_BOUND);
    Duration::from_micros(rng.random_range(0..=micros(bound)))
}

fn micros(d: Duration) -> u64 {
    u64::try_from(d.as_micros()).unwrap_or(u64::MAX)
}
