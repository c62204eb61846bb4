//! Selection of the readers: the nodes that read versions from the log.
//!
//! One node of each failure domain reads and announces new versions to the others, since each read
//! is priced and transfers a whole configuration text. If no working reader announces itself within
//! the timeout, other nodes read, too: first a few and then more, so that a large domain does not
//! flood the log.

use std::net::SocketAddr;
use std::time::Duration;

use spread::reader_rank;
use wire::{Domain, Fingerprint, InstanceId, Time};

/// Time between two announcements of a reader.
pub(crate) const READER_ANNOUNCE_INTERVAL: Duration = Duration::from_millis(400);
/// Number of nodes of a failure domain that read while all is well.
const READERS_PER_DOMAIN: usize = 1;
/// Time without an announcement of a working reader after which further nodes read the log; two
/// announcements are missing by then. This time and the read fit into the 2 s in which a version
/// must be applied.
const READER_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Time in which the number of nodes that read doubles while no working reader announces itself.
const DOUBLING_INTERVAL: Duration = Duration::from_millis(150);
/// Largest number of doublings; more nodes than that are in no failure domain.
const MAX_DOUBLINGS: u32 = 20;

/// Rank of a node in the selection of readers, the highest first: by the speed of its link in
/// megabits per second, then by rendezvous hashing, then by link address.
pub(crate) type Rank = (u32, Fingerprint, SocketAddr);

/// Returns the rank of the node with the address `link`.
pub(crate) fn rank(domain: &Domain, link: SocketAddr, link_mbps: u32) -> Rank {
    let id = InstanceId::of(&link.to_string());
    (link_mbps, reader_rank(domain, id), link)
}

/// Returns the position of a node with rank `own` among the `others`, the ready nodes of its failure
/// domain; 0 is the first.
pub(crate) fn position(own: Rank, others: impl Iterator<Item = Rank>) -> usize {
    others.filter(|r| *r > own).count()
}

/// When a working reader last announced itself to this node.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReaderLiveness {
    /// The start of the node before the first announcement.
    last_announced_at: Time,
}

impl ReaderLiveness {
    /// Makes the state of a node that starts at `now`.
    pub(crate) fn new(now: Time) -> ReaderLiveness {
        ReaderLiveness {
            last_announced_at: now,
        }
    }

    /// Records an announcement of a reader whose reads succeed.
    pub(crate) fn record_announcement(&mut self, now: Time) {
        self.last_announced_at = now;
    }

    /// Returns whether the node at `position` of its failure domain reads the log.
    pub(crate) fn is_reader(&self, now: Time, position: usize) -> bool {
        position < self.reader_count(now)
    }

    /// Returns how many nodes of the failure domain read the log.
    fn reader_count(&self, now: Time) -> usize {
        let silence = now.since(self.last_announced_at);
        if silence <= READER_TIMEOUT {
            return READERS_PER_DOMAIN;
        }
        let elapsed = silence.as_millis() - READER_TIMEOUT.as_millis();
        let doublings = 1 + (elapsed / DOUBLING_INTERVAL.as_millis()) as u32;
        READERS_PER_DOMAIN << doublings.min(MAX_DOUBLINGS)
    }
}
