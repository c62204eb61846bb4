//! What travels between nodes over UDP.

use serde::{Deserialize, Serialize};
use wire::{Digest, InstanceId, Version};

/// The configuration that is active on the sender.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Active {
    pub(crate) version: Version,
    pub(crate) digest: Digest,
}

/// A control datagram.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) enum Datagram {
    /// Membership. Each message carries the active version, so that nodes that missed an
    /// announcement catch up (anti-entropy).
    Member { msg: member::Msg, active: Active },
    /// The sender has adopted a version and serves it over tarpc.
    Announce { from: InstanceId, active: Active },
}
