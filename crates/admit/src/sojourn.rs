//! Overload detection by time in the queue (CoDel-like).

use std::time::Duration;

use wire::Time;

/// Declares overload when the oldest waiting request has stayed over the target for an interval.
#[derive(Debug)]
pub(crate) struct Sojourn {
    target: Duration,
    interval: Duration,
    above_since: Option<Time>,
    overloaded: bool,
}

impl Sojourn {
    pub(crate) fn new(target: Duration, interval: Duration) -> Sojourn {
        Sojourn {
            target,
            interval,
            above_since: None,
            overloaded: false,
        }
    }

    /// Takes the arrival time of the oldest waiting request.
    pub(crate) fn observe(&mut self, now: Time, oldest: Option<Time>) {
        let standing = oldest.is_some_and(|t| now - t >= self.target);
        if standing {
            let since = *self.above_since.get_or_insert(now);
            self.overloaded |= now - since >= self.interval;
        } else if !self.overloaded || oldest.is_none() {
            // Under overload the oldest request may be young because older ones were refused, so
            // only an empty queue ends it.
            self.above_since = None;
            self.overloaded = false;
        }
    }

    pub(crate) fn is_overloaded(&self) -> bool {
        self.overloaded
    }
}
