//! Spillover from the own failure domain to others.

use std::time::Duration;

use wire::Time;

/// Use of the own domain's slots at which requests spill over.
const ENTER: f64 = 0.5;
/// Use at which they stay in the domain again. The gap keeps traffic from alternating.
const LEAVE: f64 = 0.3;
/// Shortest time between two changes.
const DWELL: Duration = Duration::from_millis(500);

/// Whether requests spill over, with hysteresis.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Spill {
    on: bool,
    changed: Option<Time>,
}

impl Spill {
    pub(crate) fn is_on(self) -> bool {
        self.on
    }

    /// Takes the used share of the own domain's slots, or `None` if it has no usable instance.
    pub(crate) fn update(&mut self, now: Time, used: Option<f64>) {
        let Some(used) = used else {
            self.set(now, true);
            return;
        };
        let dwelt = self.changed.is_none_or(|at| now.since(at) >= DWELL);
        if used >= ENTER {
            self.set(now, true);
        } else if used <= LEAVE && dwelt {
            self.set(now, false);
        }
    }

    fn set(&mut self, now: Time, on: bool) {
        if self.on != on {
            self.on = on;
            self.changed = Some(now);
        }
    }
}
