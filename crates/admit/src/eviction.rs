//! Choice of the connection that is closed when a node runs short of connections or of memory.
//!
//! It answers crowds of callers that open connections and send nothing, or that do not read what they
//! have asked for. Connections with the least progress for what they hold go first, so that a caller
//! that reads its response is closed last.

use std::time::Duration;

/// Time for which a caller may leave a response unread before its connection is among the first to be
/// closed. A caller on a slow link reads some of it within this time.
const UNREAD_GRACE: Duration = Duration::from_secs(1);
/// Memory of a connection below which closing it frees too little to matter.
const MIN_HELD_BYTES: usize = 32 << 10;

/// What a node knows of a connection.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConnectionState {
    /// Bytes that the node holds for it: received and not processed, or to be written.
    pub held_bytes: usize,
    /// Requests without a completely written response.
    pub in_progress: usize,
    /// Time since bytes were last received or written.
    pub idle_for: Duration,
    /// Time for which output has been waiting for the caller to read.
    pub unread_for: Duration,
}

/// Returns the connection to close for a new one: the one that has been idle for longest among those
/// without a request in progress. `None` if all have one.
pub fn longest_idle<K>(conns: impl Iterator<Item = (K, ConnectionState)>) -> Option<K> {
    let idle = conns.filter(|(_, s)| s.in_progress == 0);
    idle.max_by_key(|(_, s)| s.idle_for).map(|(key, _)| key)
}

/// Returns the connection to close when memory is short: the one that has held most for longest
/// without being read, or else the one that holds most. `None` if none holds much.
pub fn worst_holder<K>(conns: impl Iterator<Item = (K, ConnectionState)>) -> Option<K> {
    let holders = conns.filter(|(_, s)| s.held_bytes >= MIN_HELD_BYTES);
    let rank = |s: &ConnectionState| {
        let is_unread = s.unread_for >= UNREAD_GRACE;
        let byte_ms = s.held_bytes as u128 * s.unread_for.as_millis();
        (
            is_unread,
            if is_unread {
                byte_ms
            } else {
                s.held_bytes as u128
            },
        )
    };
    holders.max_by_key(|(_, s)| rank(s)).map(|(key, _)| key)
}
