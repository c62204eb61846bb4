//! Choice of the connection that is closed when a node runs short of connections or of memory.
//!
//! It answers crowds of callers that open connections and send nothing, that do not read what they have
//! asked for, or that stop short of the end of what they send. A caller that reads or sends at an
//! ordinary pace is never chosen; those who come after it wait or are refused instead.

use std::time::Duration;

use wire::Time;

/// Time for which a connection may wait for its caller before it can be closed for lack of memory. A
/// caller on a slow link, or one whose process was paused, has gone on within this time.
const STALL_GRACE: Duration = Duration::from_secs(2);
/// Slowest ordinary pace: that of a caller with a hundredth of a link of 13 Mbit/s.
const ORDINARY_BYTES_PER_S: usize = 16 << 10;
/// Length of the two windows in which bytes are counted.
const PACE_WINDOW: Duration = Duration::from_secs(2);
/// Memory of a connection below which closing it frees too little to matter.
const MIN_HELD_BYTES: usize = 8 << 10;

/// Counts the bytes that a caller has read or sent in the last seconds.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pace {
    window_began_at: Time,
    bytes: usize,
    bytes_before: usize,
}

impl Pace {
    /// Counts `bytes` at `now`.
    pub fn record(&mut self, now: Time, bytes: usize) {
        self.advance(now);
        self.bytes += bytes;
    }

    /// Returns whether the caller has read or sent at an ordinary pace of late.
    pub fn is_ordinary(&self, now: Time) -> bool {
        let mut pace = *self;
        pace.advance(now);
        let window = PACE_WINDOW + now.since(pace.window_began_at);
        let bytes = pace.bytes_before + pace.bytes;
        bytes as f64 >= ORDINARY_BYTES_PER_S as f64 * window.as_secs_f64()
    }

    fn advance(&mut self, now: Time) {
        let elapsed = now.since(self.window_began_at);
        if elapsed < PACE_WINDOW {
            return;
        }
        let is_next = elapsed < 2 * PACE_WINDOW;
        self.bytes_before = if is_next { self.bytes } else { 0 };
        self.bytes = 0;
        self.window_began_at = if is_next {
            self.window_began_at + PACE_WINDOW
        } else {
            now
        };
    }
}

/// What a node knows of a connection.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConnectionState {
    /// Bytes that the node holds for it, or has promised to hold: received or to be written.
    pub held_bytes: usize,
    /// Requests without a completely written response.
    pub in_progress: usize,
    /// Time since bytes were last received or written.
    pub idle_for: Duration,
    /// Time for which the node has been waiting for the caller to read or to send; zero while the
    /// caller waits for the node.
    pub waiting_for: Duration,
    /// Whether the caller reads or sends at an ordinary pace.
    pub is_moving: bool,
}

impl ConnectionState {
    /// Returns whether the caller has begun to read or to send and does not go on.
    pub fn is_stalled(&self) -> bool {
        self.waiting_for >= STALL_GRACE && !self.is_moving
    }
}

/// Returns the connection to close for a new one: the one that has been idle for longest among those
/// without a request in progress, or else the one that has been stalled for longest. `None` if there is
/// neither.
pub fn longest_idle<K>(conns: impl Iterator<Item = (K, ConnectionState)>) -> Option<K> {
    let idle = conns.filter(|(_, s)| s.in_progress == 0 || s.is_stalled());
    idle.max_by_key(|(_, s)| (s.in_progress == 0, s.idle_for))
        .map(|(key, _)| key)
}

/// Returns the connection to close when memory is short: of those that are stalled, the one that has
/// held most for longest. `None` if none is stalled, or none of them holds much.
pub fn worst_holder<K>(conns: impl Iterator<Item = (K, ConnectionState)>) -> Option<K> {
    let holders = conns.filter(|(_, s)| s.held_bytes >= MIN_HELD_BYTES && s.is_stalled());
    let byte_ms = |s: &ConnectionState| s.held_bytes as u128 * s.waiting_for.as_millis();
    holders.max_by_key(|(_, s)| byte_ms(s)).map(|(key, _)| key)
}
