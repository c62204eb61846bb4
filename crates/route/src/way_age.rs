//! How much longer than usual a message was on the way.

use std::time::Duration;

use wire::Time;

/// Compares the clocks of the two ends of a connection. They start at different times, so only the
/// difference to the fastest message so far says something.
///
/// The load that it answers is a link that stands still and then delivers all at once: the callers
/// of what comes late may have left, and the word of that comes behind it.
#[derive(Clone, Copy, Debug, Default)]
pub struct WayAge {
    /// Least difference of arrival and departure in microseconds.
    least: Option<i128>,
}

impl WayAge {
    /// Takes a message that left at `sent` microseconds on the other end's clock and arrives now;
    /// returns by how much it is slower than the fastest one.
    pub fn measure(&mut self, now: Time, sent: u64) -> Duration {
        let took = i128::from(now.as_micros()) - i128::from(sent);
        let least = self.least.map_or(took, |least| least.min(took));
        self.least = Some(least);
        Duration::from_micros(u64::try_from(took - least).unwrap_or(u64::MAX))
    }
}
