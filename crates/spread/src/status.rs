//! State for the operator page.

use wire::{Digest, Version};

/// What is known about the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogState {
    /// Nothing yet.
    #[default]
    Unknown,
    /// It can be read, but the fold isn't at its end.
    Reading,
    /// The fold is at its end.
    AtEnd,
    /// It can't be read.
    Down,
    /// The fold stopped at a record with this format number.
    Behind(u8),
}

impl LogState {
    pub(crate) const fn is_away(self) -> bool {
        matches!(self, LogState::Down | LogState::Behind(_))
    }
}

/// State and counters of a [`crate::Spread`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Status {
    /// Active version.
    pub version: Version,
    /// Digest of the active version.
    pub digest: Digest,
    /// Newest version heard of; above `version` while the node catches up.
    pub newest_heard: Version,
    /// Version below which the node doesn't serve.
    pub floor: Version,
    /// Whether the node takes requests.
    pub ready: bool,
    /// Whether the node is one of its failure domain's log readers.
    pub reader: bool,
    /// What is known about the log.
    pub log: LogState,
    /// Whether there is a version or a record that this build can't read.
    pub behind: bool,
    /// Whether a fetch is in flight.
    pub fetching: bool,
    /// Peers known to hold a newer version.
    pub sources: usize,
    /// Times that a second digest was seen for a version.
    pub conflicts: u64,
    /// Fetches begun.
    pub fetches: u64,
    /// Fetches that failed or timed out.
    pub fetch_failures: u64,
    /// Announcements sent.
    pub announces: u64,
    /// Versions that couldn't be compiled.
    pub apply_failures: u64,
    /// Texts passed over because they were not newer than the active one.
    pub outdated: u64,
}
