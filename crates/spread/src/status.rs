//! State and counters for the operator page.

use wire::{Digest, Version};

/// Result of the latest attempt to read the configuration log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogState {
    /// The log has not been read since the node started.
    #[default]
    Unknown,
    /// The log can be read, but the replay has not reached its end.
    Reading,
    /// The replay has reached the end of the log.
    AtEnd,
    /// The log can't be read.
    Unavailable,
    /// The replay stopped at a record of a later build, with this format number.
    FormatUnsupported(u8),
}

impl LogState {
    pub(crate) const fn is_unavailable(self) -> bool {
        matches!(self, LogState::Unavailable | LogState::FormatUnsupported(_))
    }
}

/// State and counters of a [`crate::Spread`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Status {
    /// Active version.
    pub version: Version,
    /// Digest of the active version.
    pub digest: Digest,
    /// Newest version that a peer has reported or this node has received, also if it is not active.
    pub newest_heard: Version,
    /// Newest version that was active on this instance before its restart, according to its peers.
    /// The node is not ready while its active version is lower.
    pub version_floor: Version,
    /// Whether the node accepts requests.
    pub is_ready: bool,
    /// Whether the node is ready and one of the log readers of its failure domain.
    pub is_reader: bool,
    /// Result of the latest attempt to read the log.
    pub log: LogState,
    /// Whether the log holds a record of a later format, or a newer version can't be compiled by
    /// this build.
    pub needs_newer_build: bool,
    /// Whether a fetch is in flight.
    pub is_fetching: bool,
    /// Number of peers that have reported a newer version than the active one.
    pub source_count: usize,
    /// How often a version was received with another digest than the one known for it.
    pub conflicts: u64,
    /// Fetches started.
    pub fetches: u64,
    /// Fetches that failed or timed out.
    pub fetch_failures: u64,
    /// Announcements sent.
    pub announcements_sent: u64,
    /// Configuration texts that this build couldn't compile.
    pub apply_failures: u64,
    /// Configuration texts discarded because they were older than the active one.
    pub outdated_texts: u64,
}
