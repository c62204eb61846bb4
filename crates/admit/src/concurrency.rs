//! The number of requests that may run at once.

use std::time::Duration;

use wire::Time;

use crate::limits::Limits;

/// Share of the slots that a target gets at the begin of its cold start.
const COLD_SHARE: f64 = 0.25;
/// Service times per adjustment. With exponential service times the mean of 256 is within 19% of
/// the true one (three standard deviations), which is below [`SLOWER`].
const WINDOW: u32 = 256;
/// Service time over its value at low concurrency above which the target is queueing.
const SLOWER: f64 = 1.25;
/// Ratio below which the limit grows again.
const STEADY: f64 = 1.1;

/// Runs within this part of the limit count as near it.
const NEAR: u32 = 8;

/// Adjusts the limit below the declared slots: a target that runs fewer requests at once than it
/// declares takes longer per request when it is full than when it is nearly empty.
#[derive(Debug)]
pub(crate) struct Concurrency {
    declared: u32,
    cold_start: Duration,
    started: Time,
    measured: Option<u32>,
    ratios: f64,
    samples: u32,
}

impl Concurrency {
    pub(crate) fn new(limits: &Limits, measure: bool, now: Time) -> Concurrency {
        Concurrency {
            declared: limits.at_once(),
            cold_start: limits.cold_start,
            started: now,
            measured: measure.then_some(limits.at_once()),
            ratios: 0.0,
            samples: 0,
        }
    }

    /// Takes new limits. The ramp of the cold start goes on.
    pub(crate) fn set_limits(&mut self, limits: &Limits) {
        self.cold_start = limits.cold_start;
        if self.declared != limits.at_once() {
            self.declared = limits.at_once();
            self.measured = self.measured.map(|_| self.declared);
            (self.ratios, self.samples) = (0.0, 0);
        }
    }

    /// Restarts the ramp, for a target that was started again.
    pub(crate) fn restart(&mut self, now: Time) {
        self.started = now;
        self.measured = self.measured.map(|_| self.declared);
        (self.ratios, self.samples) = (0.0, 0);
    }

    /// Returns the number of requests that may run at once.
    pub(crate) fn limit(&self, now: Time) -> u32 {
        let limit = self.measured.unwrap_or(self.declared);
        if !self.is_cold(now) {
            return limit;
        }
        let elapsed = (now - self.started).as_secs_f64() / self.cold_start.as_secs_f64();
        let share = COLD_SHARE + (1.0 - COLD_SHARE) * elapsed;
        let ramp = (f64::from(self.declared) * share) as u32;
        limit.min(ramp.max(1).min(self.declared))
    }

    /// Returns whether the ramp is in progress.
    pub(crate) fn is_cold(&self, now: Time) -> bool {
        now - self.started < self.cold_start
    }

    /// Returns whether a run beside `running` others shows the target's unloaded service time.
    pub(crate) fn is_low(&self, running: u32) -> bool {
        running <= (self.declared / 4).max(1)
    }

    /// Takes a service time over the route's unloaded one, measured while `running` requests ran.
    pub(crate) fn sample(&mut self, now: Time, ratio: f64, running: u32) {
        let Some(limit) = self.measured else { return };
        // Only runs near the limit show whether it is right. With runs from half of it on, a limit
        // that had fallen under overload grew back as soon as demand fell.
        if self.is_cold(now) || running + limit / NEAR < limit {
            return;
        }
        self.ratios += ratio;
        self.samples += 1;
        if self.samples < WINDOW {
            return;
        }
        let mean = self.ratios / f64::from(self.samples);
        (self.ratios, self.samples) = (0.0, 0);
        self.measured = Some(if mean > SLOWER {
            (limit - 1).max(1)
        } else if mean < STEADY {
            (limit + 1).min(self.declared)
        } else {
            limit
        });
    }
}
