//! Selection of the readers: the nodes that read versions from the log.
//!
//! Only two nodes of each failure domain read and announce new versions to the others, since each
//! read is priced and transfers a whole configuration text. A node that has received no
//! announcement of a working reader within the timeout reads the log itself.

use std::net::SocketAddr;
use std::time::Duration;

use spread::{READERS_PER_DOMAIN, reader_rank};
use wire::{Domain, Fingerprint, InstanceId, Time};

/// Time between two announcements of a reader.
pub(crate) const READER_ANNOUNCE_INTERVAL: Duration = Duration::from_millis(400);
/// Time without an announcement of a working reader after which a node reads the log itself; two
/// announcements are missing by then. This time and the read fit into the 2 s in which a version
/// must be applied.
const READER_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Rank of a node in the selection of readers, the highest first: by the speed of its link in
/// megabits per second, then by rendezvous hashing, then by link address.
pub(crate) type Rank = (u32, Fingerprint, SocketAddr);

/// Returns the rank of the node with the address `link`.
pub(crate) fn rank(domain: &Domain, link: SocketAddr, link_mbps: u32) -> Rank {
    let id = InstanceId::of(&link.to_string());
    (link_mbps, reader_rank(domain, id), link)
}

/// Returns whether a node with rank `own` is a reader, given the ranks of the other ready nodes of
/// its failure domain.
pub(crate) fn is_reader(own: Rank, others: impl Iterator<Item = Rank>) -> bool {
    others.filter(|r| *r > own).count() < READERS_PER_DOMAIN
}

/// When a working reader last announced itself to this node.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ReaderLiveness {
    last_announced_at: Option<Time>,
}

impl ReaderLiveness {
    /// Records an announcement of a reader whose reads succeed.
    pub(crate) fn record_announcement(&mut self, now: Time) {
        self.last_announced_at = Some(now);
    }

    /// Returns whether a working reader has announced itself within the timeout.
    pub(crate) fn has_working_reader(&self, now: Time) -> bool {
        self.last_announced_at
            .is_some_and(|at| now.since(at) <= READER_TIMEOUT)
    }
}
