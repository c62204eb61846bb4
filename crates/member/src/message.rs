//! Messages between members, sent as datagrams.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use wire::{Domain, Fingerprint, Incarnation, InstanceId, MAX_DATAGRAM_BYTES, Version};

use crate::record::{Record, WireError, check_count, check_incarnation, check_limit, check_name};

/// Size of the header that sealing adds to a datagram.
pub const SEAL_HEADER_BYTES: usize = 22;
/// Bytes reserved in each datagram for data that the node adds.
pub const NODE_BYTES: usize = 64;
/// Largest encoded [`Msg`] in bytes.
pub const MAX_MSG_BYTES: usize = MAX_DATAGRAM_BYTES - SEAL_HEADER_BYTES - NODE_BYTES;
/// Maximum number of updates in one message.
pub const MAX_UPDATES: usize = 64;

/// Highest epoch of a failure domain accepted; see [`Update::Domain`].
pub const MAX_EPOCH: u32 = 1 << 30;

/// A message from one member to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "RawMsg", into = "RawMsg")]
pub struct Msg {
    /// Sender.
    pub from: InstanceId,
    /// Current incarnation of the sender.
    pub incarnation: Incarnation,
    /// Configuration version that is active on the sender.
    pub version: Version,
    /// First four bytes of that version's digest.
    pub digest_prefix: u32,
    /// Whether the sender requests the receiver's record, because it has none of the receiver's
    /// current incarnation.
    pub requests_record: bool,
    /// Purpose of the message.
    pub body: Body,
    /// Piggybacked updates, at most [`MAX_UPDATES`].
    pub updates: Vec<Update>,
}

/// Wire form of a [`Msg`], before its lists and names are validated.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RawMsg {
    from: InstanceId,
    incarnation: Incarnation,
    version: Version,
    digest_prefix: u32,
    requests_record: bool,
    body: Body,
    updates: Vec<Update>,
}

/// Purpose of a [`Msg`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Requests a [`Body::Ack`] with the same sequence number.
    Ping {
        /// Sequence number of the probe, chosen by the sender.
        seq: u32,
        /// Whether the ack must carry the hashes of the receiver's table.
        wants_hashes: bool,
    },
    /// Acknowledges a ping, or relays the ack of a probe requested by [`Body::PingReq`].
    Ack {
        /// Sequence number of the ping or ping request.
        seq: u32,
        /// Hashes of the sender's table; `None` unless the ping requested them.
        hashes: Option<TableHashes>,
    },
    /// Requests that the receiver probes `probed` and relays the ack (indirect probe).
    PingReq {
        /// Sequence number of the probe, chosen by the sender.
        seq: u32,
        /// Member to probe.
        probed: InstanceId,
        /// Address of that member.
        addr: SocketAddr,
    },
    /// Carries updates only; not acknowledged.
    Push,
}

/// Hashes over a member's table, compared to detect that two tables differ.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableHashes {
    /// Hash of the scope. `whole` is comparable only between members with equal scope hashes.
    pub scope: u64,
    /// Hash of all records in scope, the own one included.
    pub whole: u64,
    /// Hash of the records of the service of the member that sends the hashes.
    pub service: u64,
}

/// A change that each member applies and relays when it first receives it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Update {
    /// The instance is alive with this record.
    Alive(Record),
    /// The instance did not acknowledge a probe in time.
    Suspect {
        /// Suspected instance.
        id: InstanceId,
        /// Incarnation that was probed; a higher one refutes the suspicion.
        incarnation: Incarnation,
    },
    /// The instance was declared dead or has departed.
    Down {
        /// Dead or departed instance.
        id: InstanceId,
        /// Incarnation that has ended; a higher one is alive again.
        incarnation: Incarnation,
        /// Highest version received from the instance.
        version: Version,
    },
    /// Reachability of a failure domain. The higher epoch wins; an odd one means unreachable.
    Domain {
        /// Failure domain that changed.
        domain: Domain,
        /// Number of reachability changes so far, at most [`MAX_EPOCH`].
        epoch: u32,
    },
    /// A rumour started by the node.
    Rumour(Rumour),
}

/// An event that is delivered to every member once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Rumour {
    /// A strike against a request, counted towards its quarantine: a target died while running the
    /// request with this fingerprint.
    Strike {
        /// Fingerprint of the request.
        fingerprint: Fingerprint,
        /// Instance whose target died.
        instance: InstanceId,
        /// Identifier of the target's incarnation; its death counts only once.
        incarnation: u64,
    },
}

impl TryFrom<RawMsg> for Msg {
    type Error = WireError;

    fn try_from(raw: RawMsg) -> Result<Msg, WireError> {
        check_count(raw.updates.len(), MAX_UPDATES)?;
        check_incarnation(raw.incarnation)?;
        raw.updates.iter().try_for_each(check_update)?;
        Ok(Msg {
            from: raw.from,
            incarnation: raw.incarnation,
            version: raw.version,
            digest_prefix: raw.digest_prefix,
            requests_record: raw.requests_record,
            body: raw.body,
            updates: raw.updates,
        })
    }
}

impl From<Msg> for RawMsg {
    fn from(m: Msg) -> RawMsg {
        RawMsg {
            from: m.from,
            incarnation: m.incarnation,
            version: m.version,
            digest_prefix: m.digest_prefix,
            requests_record: m.requests_record,
            body: m.body,
            updates: m.updates,
        }
    }
}

fn check_update(update: &Update) -> Result<(), WireError> {
    match update {
        Update::Suspect { incarnation, .. } | Update::Down { incarnation, .. } => {
            check_incarnation(*incarnation)
        }
        Update::Domain { domain, epoch } => check_domain(domain, *epoch),
        // Records are validated when they are decoded.
        Update::Alive(_) | Update::Rumour(_) => Ok(()),
    }
}

pub(crate) fn check_domain(domain: &Domain, epoch: u32) -> Result<(), WireError> {
    check_name("domain", &domain.0)?;
    check_limit("epoch", epoch.into(), MAX_EPOCH.into())
}

/// Returns the encoded size of `value` in bytes.
pub(crate) fn encoded_bytes<T: Serialize>(value: &T) -> usize {
    let size = postcard::ser_flavors::Size::default();
    // The size-counting encoder can't fail on the types of this module. If it did, the fallback is
    // too large for any message, so the value would never be sent.
    postcard::serialize_with_flavor(value, size).unwrap_or(MAX_DATAGRAM_BYTES)
}
