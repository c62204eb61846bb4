//! Spillover from the own failure domain to others.

use std::time::Duration;

use wire::Time;

/// Outstanding requests per slot of the own domain from which requests spill over.
const ENTER_USE: f64 = 0.5;
/// Outstanding requests per slot at or below which spillover ends. The hysteresis keeps traffic
/// from alternating.
const LEAVE_USE: f64 = 0.3;
/// Minimum duration of spillover.
const MIN_DWELL: Duration = Duration::from_millis(500);

/// Whether requests spill over to other failure domains, with hysteresis.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Spillover {
    is_on: bool,
    changed_at: Option<Time>,
}

impl Spillover {
    pub(crate) fn is_on(self) -> bool {
        self.is_on
    }

    /// Updates the state. `used` is the number of outstanding requests per slot of the own domain,
    /// or `None` if that domain has no usable instance; requests then spill over.
    pub(crate) fn update(&mut self, now: Time, used: Option<f64>) {
        let Some(used) = used else {
            self.set(now, true);
            return;
        };
        let has_dwelt = self.changed_at.is_none_or(|at| now.since(at) >= MIN_DWELL);
        if used >= ENTER_USE {
            self.set(now, true);
        } else if used <= LEAVE_USE && has_dwelt {
            self.set(now, false);
        }
    }

    fn set(&mut self, now: Time, on: bool) {
        if self.is_on != on {
            self.is_on = on;
            self.changed_at = Some(now);
        }
    }
}
