//! Transit delay of messages on a connection, relative to the fastest one.

use std::time::Duration;

use wire::Time;

/// Measures by how much a message is slower than the fastest so far on its connection. The clocks
/// of the two ends start at different times, so only relative delays are known.
///
/// A large delay shows a link that stalled and then delivered everything at once. The callers of
/// the delayed requests may have disconnected, and their cancellations arrive behind the requests.
#[derive(Clone, Copy, Debug, Default)]
pub struct TransitDelay {
    /// Smallest difference of arrival and send time, in microseconds; `None` before the first
    /// message.
    min_offset_us: Option<i128>,
}

impl TransitDelay {
    /// Records a message that the other end sent at `sent_us` microseconds on its clock and that
    /// arrives at `now`. Returns by how much it is slower than the fastest message so far.
    pub fn record(&mut self, now: Time, sent_us: u64) -> Duration {
        let offset_us = i128::from(now.as_micros()) - i128::from(sent_us);
        let min_offset_us = self
            .min_offset_us
            .map_or(offset_us, |min_offset_us| min_offset_us.min(offset_us));
        self.min_offset_us = Some(min_offset_us);
        Duration::from_micros(u64::try_from(offset_us - min_offset_us).unwrap_or(u64::MAX))
    }
}
