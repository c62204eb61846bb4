//! The limit of concurrent requests: adaptive, with a ramp after a cold start.

use std::time::Duration;

use wire::Time;

use crate::limits::Limits;

/// Fraction of the declared slots that are usable at the beginning of a cold start.
const COLD_START_FRACTION: f64 = 0.25;
/// Service times per adjustment of the limit. With exponential service times the mean of 256
/// samples is within 19% of the true mean (three standard deviations), below the 25% of
/// [`DECREASE_RATIO`].
const SAMPLES_PER_ADJUSTMENT: u32 = 256;
/// Mean ratio of service time to unloaded service time above which the limit decreases: the target
/// then queues requests internally. The unloaded service time is that with few requests running.
const DECREASE_RATIO: f64 = 1.25;
/// Mean ratio below which the limit increases again.
const INCREASE_RATIO: f64 = 1.1;

/// A sample counts as near the limit if at most one in this many slots was free.
const NEAR_LIMIT_DIVISOR: u32 = 8;

/// Adapts the concurrency limit to the target's actual capacity. A target that runs fewer requests
/// at once than it declares has longer service times when full than when nearly empty.
#[derive(Debug)]
pub(crate) struct ConcurrencyLimit {
    declared: u32,
    cold_start: Duration,
    started_at: Time,
    /// The adaptive limit; `None` if it is disabled.
    adaptive: Option<u32>,
    /// Sum and number of the samples since the last adjustment.
    ratio_sum: f64,
    samples: u32,
}

impl ConcurrencyLimit {
    pub(crate) fn new(limits: &Limits, is_adaptive: bool, now: Time) -> ConcurrencyLimit {
        ConcurrencyLimit {
            declared: limits.max_concurrency(),
            cold_start: limits.cold_start,
            started_at: now,
            adaptive: is_adaptive.then_some(limits.max_concurrency()),
            ratio_sum: 0.0,
            samples: 0,
        }
    }

    /// Applies new limits. A cold-start ramp in progress continues.
    pub(crate) fn set_limits(&mut self, limits: &Limits) {
        self.cold_start = limits.cold_start;
        if self.declared != limits.max_concurrency() {
            self.declared = limits.max_concurrency();
            self.adaptive = self.adaptive.map(|_| self.declared);
            (self.ratio_sum, self.samples) = (0.0, 0);
        }
    }

    /// Begins the cold-start ramp and resets the adaptive limit, after a restart of the target.
    pub(crate) fn restart(&mut self, now: Time) {
        self.started_at = now;
        self.adaptive = self.adaptive.map(|_| self.declared);
        (self.ratio_sum, self.samples) = (0.0, 0);
    }

    /// Returns how many requests may run concurrently at `now`: the adaptive limit, or that of the
    /// cold-start ramp if it is lower.
    pub(crate) fn limit(&self, now: Time) -> u32 {
        let limit = self.adaptive.unwrap_or(self.declared);
        if !self.is_cold(now) {
            return limit;
        }
        let elapsed = (now - self.started_at).as_secs_f64() / self.cold_start.as_secs_f64();
        let fraction = COLD_START_FRACTION + (1.0 - COLD_START_FRACTION) * elapsed;
        let ramp = (f64::from(self.declared) * fraction) as u32;
        limit.min(ramp.max(1).min(self.declared))
    }

    /// Returns whether the cold-start ramp is in progress.
    pub(crate) fn is_cold(&self, now: Time) -> bool {
        now - self.started_at < self.cold_start
    }

    /// Returns whether the service time with `running` concurrent requests counts as unloaded: at
    /// most a quarter of the slots, or one, in use.
    pub(crate) fn is_lightly_loaded(&self, running: u32) -> bool {
        running <= (self.declared / 4).max(1)
    }

    /// Adds a sample: the ratio of a service time to the route's unloaded one, measured while
    /// `running` requests ran.
    pub(crate) fn add_sample(&mut self, now: Time, ratio: f64, running: u32) {
        let Some(limit) = self.adaptive else { return };
        // Only samples near the limit show whether the limit is right. If samples from half the
        // limit on counted, a limit lowered under overload would rise as soon as demand falls.
        if self.is_cold(now) || running + limit / NEAR_LIMIT_DIVISOR < limit {
            return;
        }
        self.ratio_sum += ratio;
        self.samples += 1;
        if self.samples < SAMPLES_PER_ADJUSTMENT {
            return;
        }
        let mean = self.ratio_sum / f64::from(self.samples);
        (self.ratio_sum, self.samples) = (0.0, 0);
        self.adaptive = Some(if mean > DECREASE_RATIO {
            (limit - 1).max(1)
        } else if mean < INCREASE_RATIO {
            (limit + 1).min(self.declared)
        } else {
            limit
        });
    }
}
