//! Datagrams between members.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use wire::{Domain, Fingerprint, Incarnation, InstanceId, MAX_DATAGRAM_BYTES, Version};

use crate::record::{Record, WireError, check_count, check_incarnation, check_limit, check_name};

/// Bytes that sealing adds in front of the payload.
pub const SEAL_HEADER_BYTES: usize = 22;
/// Bytes of each datagram that are left to the node.
pub const NODE_BYTES: usize = 64;
/// Largest encoded [`Msg`] in bytes.
pub const MAX_MSG_BYTES: usize = MAX_DATAGRAM_BYTES - SEAL_HEADER_BYTES - NODE_BYTES;
/// Most updates in one message.
pub const MAX_UPDATES: usize = 64;

/// Highest epoch of a failure domain accepted; see [`Update::Domain`].
pub const MAX_EPOCH: u32 = 1 << 30;

/// A message from one member to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "RawMsg", into = "RawMsg")]
pub struct Msg {
    /// Sender.
    pub from: InstanceId,
    /// Incarnation of the sender.
    pub incarnation: Incarnation,
    /// Configuration version that is active on the sender.
    pub version: Version,
    /// First four bytes of that version's digest.
    pub digest_prefix: u32,
    /// Whether the sender asks for the receiver's record.
    pub ask: bool,
    /// Purpose of the message.
    pub body: Body,
    /// Updates that travel with the message.
    pub updates: Vec<Update>,
}

/// A [`Msg`] as it travels, before its lists and names are checked.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RawMsg {
    from: InstanceId,
    incarnation: Incarnation,
    version: Version,
    digest_prefix: u32,
    ask: bool,
    body: Body,
    updates: Vec<Update>,
}

/// Purpose of a [`Msg`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Asks for an [`Body::Ack`] with the same number.
    Ping {
        /// Number of the probe, chosen by the sender.
        seq: u32,
        /// Whether the answer shall carry the state of the table.
        sync: bool,
    },
    /// Answers a ping, or passes on the answer to a [`Body::PingReq`].
    Ack {
        /// Number of the probe.
        seq: u32,
        /// State of the table, if the ping asked for it.
        sync: Option<Sync>,
    },
    /// Asks the receiver to probe `target`.
    PingReq {
        /// Number of the probe, chosen by the sender.
        seq: u32,
        /// Member to probe.
        target: InstanceId,
        /// Address of that member.
        addr: SocketAddr,
    },
    /// Carries urgent updates; not answered.
    Push,
}

/// Hashes over a member's table, by which two members find out that their tables differ.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sync {
    /// Hash of the scope. The whole tables are comparable only when the scopes are equal.
    pub scope: u64,
    /// Hash of all records in scope.
    pub whole: u64,
    /// Hash of the records of the sender's own service.
    pub service: u64,
}

/// News that is passed on by each member that hears of it first.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Update {
    /// The instance lives and has this record.
    Alive(Record),
    /// The instance didn't answer a probe.
    Suspect {
        /// Instance.
        id: InstanceId,
        /// Incarnation that didn't answer.
        incarnation: Incarnation,
    },
    /// The incarnation is dead or has left.
    Down {
        /// Instance.
        id: InstanceId,
        /// Dead incarnation.
        incarnation: Incarnation,
        /// Last version heard from the instance.
        version: Version,
    },
    /// Reachability of a failure domain. The higher epoch wins; an odd one means unreachable.
    Domain {
        /// Failure domain.
        domain: Domain,
        /// Number of changes so far.
        epoch: u32,
    },
    /// A rumour of the layers above.
    Rumour(Rumour),
}

/// Something that all members shall hear of once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Rumour {
    /// A target died while it ran the request with this fingerprint.
    Strike {
        /// Fingerprint of the request.
        fingerprint: Fingerprint,
        /// Instance whose target died.
        instance: InstanceId,
        /// Boot of the target, so that each death counts once.
        boot: u64,
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
            ask: raw.ask,
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
            ask: m.ask,
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
        // Records are checked when they are decoded.
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
    // An encoder that only counts fails on no type of this module; the limit keeps a value that
    // could not be encoded out of every message.
    postcard::serialize_with_flavor(value, size).unwrap_or(MAX_DATAGRAM_BYTES)
}
