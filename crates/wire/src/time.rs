//! Points in time, monotonic and wall-clock, that are passed as arguments instead of being read
//! from a clock.

use std::ops::{Add, Sub};
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// A point on the monotonic clock of one process, in microseconds since an arbitrary start.
///
/// Times of different processes must not be compared, since each process has its own start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Time(u64);

impl Time {
    /// The start of the clock.
    pub const ZERO: Time = Time(0);
    /// The latest time that can be represented, used for what never happens.
    pub const MAX: Time = Time(u64::MAX);

    /// Creates the time `us` microseconds after the start of the clock.
    pub const fn from_micros(us: u64) -> Self {
        Time(us)
    }

    /// Creates the time `ms` milliseconds after the start of the clock.
    pub const fn from_millis(ms: u64) -> Self {
        Time(ms * 1_000)
    }

    /// Returns the microseconds since the start of the clock.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns the time elapsed since `earlier`, or zero if `earlier` is later than `self`.
    pub fn since(self, earlier: Time) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Time {
    type Output = Time;

    fn add(self, d: Duration) -> Time {
        let us = u64::try_from(d.as_micros()).unwrap_or(u64::MAX);
        Time(self.0.saturating_add(us))
    }
}

impl Sub<Time> for Time {
    type Output = Duration;

    fn sub(self, earlier: Time) -> Duration {
        self.since(earlier)
    }
}

/// Wall-clock time in milliseconds since the Unix epoch.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct UnixMillis(pub u64);

impl Add<Duration> for UnixMillis {
    type Output = UnixMillis;

    fn add(self, d: Duration) -> UnixMillis {
        let ms = u64::try_from(d.as_millis()).unwrap_or(u64::MAX);
        UnixMillis(self.0.saturating_add(ms))
    }
}
