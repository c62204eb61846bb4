//! Datagrams between nodes (UDP).

use serde::{Deserialize, Serialize};
use wire::{Digest, InstanceId, Version};

/// Version and digest of the configuration that is active on a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ActiveVersion {
    pub(crate) version: Version,
    pub(crate) digest: Digest,
}

/// A control datagram. Encoded by position: the order of variants and fields is the wire format.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) enum Datagram {
    /// A membership message. It carries the sender's active version, so that a node that missed an
    /// [`Datagram::Announce`] catches up (anti-entropy).
    Member {
        msg: member::Msg,
        active: ActiveVersion,
    },
    /// Announces that the sender has applied a version and serves it over tarpc.
    Announce {
        from: InstanceId,
        active: ActiveVersion,
    },
}
