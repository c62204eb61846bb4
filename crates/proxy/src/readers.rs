//! Which nodes read the versions in the log, and what the others know of them.
//!
//! Reads are priced and move whole texts, so two nodes of each failure domain read and tell the
//! others. A node that has not heard of a working reader for a while reads by itself.

use std::net::SocketAddr;
use std::time::Duration;

use spread::{READERS_PER_DOMAIN, reader_rank};
use wire::{Domain, Fingerprint, InstanceId, Time};

/// Time between two words of a reader.
pub(crate) const READER_INTERVAL: Duration = Duration::from_millis(400);
/// Time without a working reader after which a node reads by itself: two words are missing. With
/// a read it stays inside the 2 s in which a version must be applied.
const READER_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Rank of a node for reading: the faster link first, then by rendezvous hashing.
pub(crate) type Rank = (u32, Fingerprint, SocketAddr);

/// Returns the rank of the node at `link`.
pub(crate) fn rank(domain: &Domain, link: SocketAddr, link_mbps: u32) -> Rank {
    let id = InstanceId::of(&link.to_string());
    (link_mbps, reader_rank(domain, id), link)
}

/// Returns whether a node with rank `own` reads, beside the ready nodes of its failure domain.
pub(crate) fn is_reader(own: Rank, others: impl Iterator<Item = Rank>) -> bool {
    others.filter(|r| *r > own).count() < READERS_PER_DOMAIN
}

/// What a node has heard of readers.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Heard {
    working: Option<Time>,
}

impl Heard {
    /// Takes the word of a reader whose reads succeed.
    pub(crate) fn working_reader(&mut self, now: Time) {
        self.working = Some(now);
    }

    /// Returns whether a reader is known to work.
    pub(crate) fn is_served(&self, now: Time) -> bool {
        self.working
            .is_some_and(|at| now.since(at) <= READER_TIMEOUT)
    }
}
