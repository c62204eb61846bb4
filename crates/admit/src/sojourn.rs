//! Overload detection by time in the queue (CoDel-like).

use std::time::Duration;

use wire::Time;

/// Detects overload: the oldest waiting request has been older than the target sojourn time for a
/// whole interval.
#[derive(Debug)]
pub(crate) struct OverloadDetector {
    sojourn_target: Duration,
    interval: Duration,
    /// Since when the oldest waiting request has been at least as old as `sojourn_target`; `None`
    /// if that request is younger or none waits.
    above_since: Option<Time>,
    is_overloaded: bool,
}

impl OverloadDetector {
    pub(crate) fn new(sojourn_target: Duration, interval: Duration) -> OverloadDetector {
        OverloadDetector {
            sojourn_target,
            interval,
            above_since: None,
            is_overloaded: false,
        }
    }

    /// Updates the state. `oldest` is the arrival time of the oldest waiting request, or `None` if
    /// none waits.
    pub(crate) fn observe(&mut self, now: Time, oldest: Option<Time>) {
        let is_above_target = oldest.is_some_and(|t| now - t >= self.sojourn_target);
        if is_above_target {
            let since = *self.above_since.get_or_insert(now);
            self.is_overloaded |= now - since >= self.interval;
        } else if !self.is_overloaded || oldest.is_none() {
            // Only an empty queue ends overload: the oldest request may be young because older ones
            // were refused.
            self.above_since = None;
            self.is_overloaded = false;
        }
    }

    pub(crate) fn is_overloaded(&self) -> bool {
        self.is_overloaded
    }
}
