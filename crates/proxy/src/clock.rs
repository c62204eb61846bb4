//! The clock for request deadlines and durations.

use std::time::Duration;

use nix::time::{ClockId, clock_gettime};
use wire::Time;

/// The boot-time clock. Unlike the monotonic clock it advances while the machine is suspended, so
/// a request that waited through a suspension is seen to be past its deadline.
#[derive(Clone, Copy, Debug, Default)]
pub struct Clock;

impl Clock {
    /// Returns the time since the machine booted.
    pub fn now(self) -> Time {
        match clock_gettime(ClockId::CLOCK_BOOTTIME) {
            Ok(t) => Time::ZERO + Duration::from(t),
            // Fails only if the kernel lacks this clock; the monotonic clock replaces it then.
            Err(_) => monotonic(),
        }
    }

    /// Converts `at` to an instant for the runtime's timers, where `now` is the current time.
    pub fn instant(self, now: Time, at: Time) -> tokio::time::Instant {
        tokio::time::Instant::now() + at.since(now)
    }
}

fn monotonic() -> Time {
    let t = clock_gettime(ClockId::CLOCK_MONOTONIC).map(Duration::from);
    Time::ZERO + t.unwrap_or_default()
}
