//! Slots that long work leaves to short work.

use std::time::Duration;

use wire::Time;

use crate::limits::Reserve;

/// Short work counts as present for this long after its last arrival.
const RECENT: Duration = Duration::from_secs(5);
/// Time constant of the average of short work. A few hundred lookups long, so that one burst
/// doesn't close the slots of long work.
const DEMAND_SECS: f64 = 1.0;

/// Measures the slots that short work needs and derives the limit of long work.
#[derive(Debug)]
pub(crate) struct ShortDemand {
    reserve: Reserve,
    average: f64,
    updated: Time,
    last_seen: Option<Time>,
}

impl ShortDemand {
    pub(crate) fn new(reserve: Reserve, now: Time) -> ShortDemand {
        ShortDemand {
            reserve,
            average: 0.0,
            updated: now,
            last_seen: None,
        }
    }

    /// Records that short work arrived.
    pub(crate) fn seen(&mut self, now: Time) {
        self.last_seen = Some(now);
    }

    /// Adds the time since the last update, during which `present` short requests ran or waited.
    pub(crate) fn update(&mut self, now: Time, present: f64) {
        let elapsed = (now - self.updated).as_secs_f64();
        self.updated = now;
        self.average += (present - self.average) * (1.0 - (-elapsed / DEMAND_SECS).exp());
    }

    /// Returns how many of `slots` long work may hold.
    pub(crate) fn long_limit(&self, now: Time, slots: u32) -> u32 {
        let recent = self.last_seen.is_some_and(|t| now - t < RECENT);
        if !recent {
            // One slot stays free so that the first short request doesn't wait for a long one.
            return slots.saturating_sub(1).max(1);
        }
        let limit = match self.reserve {
            Reserve::Share(share) => (f64::from(slots) * share).floor(),
            Reserve::Measured(deviations) => {
                // Poisson arrivals: the variance of the number in service is its mean.
                let kept = self.average + deviations * self.average.sqrt();
                (f64::from(slots) - kept.ceil()).min((f64::from(slots) / 2.0).floor())
            }
        };
        (limit.max(1.0) as u32).min(slots.max(1))
    }
}
