//! Monotonic and wall-clock time.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use wire::{Time, UnixMillis};

/// Monotonic clock that starts at [`Time::ZERO`] when the node starts. The state machines read no
/// clock; each call to them passes the time of this one.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    start: Instant,
}

impl Clock {
    pub(crate) fn new() -> Clock {
        Clock {
            start: Instant::now(),
        }
    }

    pub(crate) fn now(self) -> Time {
        Time::ZERO + self.start.elapsed()
    }

    /// Converts a time of this clock into an instant for tokio's timers.
    pub(crate) fn to_tokio_instant(self, t: Time) -> tokio::time::Instant {
        (self.start + t.since(Time::ZERO)).into()
    }
}

/// Returns the wall-clock time; 0 if the clock is set before the Unix epoch.
pub(crate) fn unix_now() -> UnixMillis {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    UnixMillis(u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX))
}
