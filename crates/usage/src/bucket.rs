//! Limits and token buckets.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use wire::Time;

/// Requests that an organisation may make, over all nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct UsageLimit {
    /// Thousandths of a request per second.
    pub milli_per_s: u64,
    /// Requests in addition, in a short time.
    pub burst: u64,
}

impl UsageLimit {
    /// Returns the requests per second.
    pub fn rate_per_s(self) -> f64 {
        self.milli_per_s as f64 / 1_000.0
    }
}

/// A token bucket.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Bucket {
    tokens: f64,
    updated_at: Time,
}

impl Bucket {
    pub(crate) fn new(now: Time, tokens: f64) -> Bucket {
        Bucket {
            tokens,
            updated_at: now,
        }
    }

    /// Takes a token, or returns the time until there is one.
    pub(crate) fn try_take(&mut self, now: Time, rate: f64, max: f64) -> Result<(), Duration> {
        let earned = rate * now.since(self.updated_at).as_secs_f64();
        self.tokens = (self.tokens + earned).min(max);
        self.updated_at = now;
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        let missing = 1.0 - self.tokens;
        let wait = missing / rate.max(f64::MIN_POSITIVE);
        Err(Duration::try_from_secs_f64(wait).unwrap_or(Duration::MAX))
    }

    pub(crate) fn give_back(&mut self) {
        self.tokens += 1.0;
    }
}
