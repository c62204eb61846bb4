//! The clock by which requests are timed.

use std::time::Duration;

use nix::time::{ClockId, clock_gettime};
use wire::Time;

/// A clock that also counts the time that the machine is suspended, so that a request that waited
/// through a suspension is known to be late.
#[derive(Clone, Copy, Debug, Default)]
pub struct Clock;

impl Clock {
    /// Returns the time since the machine has started.
    pub fn now(self) -> Time {
        match clock_gettime(ClockId::CLOCK_BOOTTIME) {
            Ok(t) => Time::ZERO + Duration::from(t),
            // The kernel refuses only clocks that it does not have; then the monotonic one serves.
            Err(_) => monotonic(),
        }
    }

    /// Returns the instant of the runtime's timers for `at`.
    pub fn instant(self, now: Time, at: Time) -> tokio::time::Instant {
        tokio::time::Instant::now() + at.since(now)
    }
}

fn monotonic() -> Time {
    let t = clock_gettime(ClockId::CLOCK_MONOTONIC).map(Duration::from);
    Time::ZERO + t.unwrap_or_default()
}
