//! The clocks of the process.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use wire::{Time, UnixMillis};

/// Reads the monotonic and the wall clock for the core, which reads no clock itself.
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

    /// Returns the instant of the runtime's timers for a point of this clock.
    pub(crate) fn instant(self, t: Time) -> tokio::time::Instant {
        (self.start + t.since(Time::ZERO)).into()
    }
}

/// Returns the wall-clock time.
pub(crate) fn unix_now() -> UnixMillis {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    UnixMillis(u64::try_from(since.as_millis()).unwrap_or(u64::MAX))
}
