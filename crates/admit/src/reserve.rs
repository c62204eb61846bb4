//! Slots reserved for short requests.

use std::time::Duration;

use wire::Time;

use crate::limits::Reserve;

/// Slots stay reserved for this long after the last short request arrived.
const SHORT_ARRIVAL_WINDOW: Duration = Duration::from_secs(5);
/// Time constant of the average number of short requests. It spans a few hundred short lookups, so
/// that one burst doesn't take the slots of long requests.
const AVERAGE_TIME_CONSTANT_SECS: f64 = 1.0;

/// Measures how many slots short requests need and derives the slot limit of long requests.
#[derive(Debug)]
pub(crate) struct ShortDemand {
    reserve: Reserve,
    /// Exponentially weighted average of the number of short requests that run or wait.
    average_present: f64,
    last_update: Time,
    /// `None` until the first short request.
    last_arrival: Option<Time>,
}

impl ShortDemand {
    pub(crate) fn new(reserve: Reserve, now: Time) -> ShortDemand {
        ShortDemand {
            reserve,
            average_present: 0.0,
            last_update: now,
            last_arrival: None,
        }
    }

    /// Records the arrival of a short request.
    pub(crate) fn record_arrival(&mut self, now: Time) {
        self.last_arrival = Some(now);
    }

    /// Updates the average with `present`, the number of short requests that ran or waited since
    /// the last update.
    pub(crate) fn update(&mut self, now: Time, present: f64) {
        let elapsed = (now - self.last_update).as_secs_f64();
        self.last_update = now;
        self.average_present += (present - self.average_present)
            * (1.0 - (-elapsed / AVERAGE_TIME_CONSTANT_SECS).exp());
    }

    /// Returns how many of `slots` long requests may hold: at least one.
    pub(crate) fn long_limit(&self, now: Time, slots: u32) -> u32 {
        let is_recent = self
            .last_arrival
            .is_some_and(|t| now - t < SHORT_ARRIVAL_WINDOW);
        if !is_recent {
            // Keeps one slot free so that the next short request doesn't wait for a long one.
            return slots.saturating_sub(1).max(1);
        }
        let limit = match self.reserve {
            Reserve::Fraction(fraction) => (f64::from(slots) * fraction).floor(),
            Reserve::Measured(deviations) => {
                // With Poisson arrivals the variance of the number in service equals its mean.
                let reserved = self.average_present + deviations * self.average_present.sqrt();
                (f64::from(slots) - reserved.ceil()).min((f64::from(slots) / 2.0).floor())
            }
        };
        (limit.max(1.0) as u32).min(slots.max(1))
    }
}
