//! What the mesh knows of an instance, as a checked type and as it travels.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use snafu::{Snafu, ensure};
use wire::{Domain, Incarnation, InstanceId, ServiceName, Version};

/// Longest instance, service, region or domain name in bytes. Four such names, three addresses and
/// the numbers fit into one datagram.
pub const MAX_NAME_BYTES: usize = 64;
/// Most slots that an instance may declare.
pub const MAX_SLOTS: u32 = 65_536;

/// Highest incarnation accepted. An instance takes the one after the highest that it hears of, so a
/// faulty peer must not be able to use up the numbers.
pub const MAX_INCARNATION: u64 = 1 << 62;

/// Why a message or record from the wire was not accepted.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum WireError {
    /// A name is empty or too long.
    #[snafu(display("{field} has {bytes} bytes, allowed are 1 to {MAX_NAME_BYTES}"))]
    NameLength {
        /// Field of the record.
        field: &'static str,
        /// Length of the name.
        bytes: usize,
    },
    /// The declared slots are over [`MAX_SLOTS`].
    #[snafu(display("{slots} slots, allowed are at most {MAX_SLOTS}"))]
    TooManySlots {
        /// Declared slots.
        slots: u32,
    },
    /// A counter is so high that it can't come from a working member.
    #[snafu(display("{field} is {value}, allowed are at most {limit}"))]
    TooHigh {
        /// Field of the message.
        field: &'static str,
        /// Value of the field.
        value: u64,
        /// Limit of the field.
        limit: u64,
    },
    /// A list is longer than its limit.
    #[snafu(display("{count} entries, allowed are at most {limit}"))]
    TooMany {
        /// Length of the list.
        count: usize,
        /// Limit of the list.
        limit: usize,
    },
}

/// Whether an instance takes work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum State {
    /// The node runs; its target takes no work yet.
    Starting,
    /// The target takes work.
    Ready,
    /// The target finishes what it has and takes no new work.
    Draining,
    /// The instance has left on its own accord.
    Left,
}

/// An instance of the mesh.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "RawRecord", into = "RawRecord")]
pub struct Record {
    /// Identifier, always the hash of `name`.
    pub id: InstanceId,
    /// Name from the settings.
    pub name: Arc<str>,
    /// Life of the instance and refutations within it.
    pub incarnation: Incarnation,
    /// Service of the target.
    pub service: ServiceName,
    /// Region of the failure domain.
    pub region: Arc<str>,
    /// Failure domain.
    pub domain: Domain,
    /// Address for membership datagrams.
    pub gossip: SocketAddr,
    /// Address for calls between nodes.
    pub rpc: SocketAddr,
    /// Address for requests between nodes.
    pub data: SocketAddr,
    /// Whether the instance takes work.
    pub state: State,
    /// Last configuration version that was active on the instance.
    pub version: Version,
    /// First four bytes of that version's digest.
    pub digest_prefix: u32,
    /// Requests that the target runs at once.
    pub slots: u32,
}

impl Record {
    /// Returns whether `other` says the same of this incarnation. Versions are left out: they
    /// change with each publication and travel in message headers.
    pub(crate) fn same_life(&self, other: &Record) -> bool {
        let key = |r: &Record| (r.incarnation, r.state, r.slots, r.gossip, r.rpc, r.data);
        key(self) == key(other) && self.service == other.service && self.domain == other.domain
    }
}

/// A [`Record`] as it travels. The identifier is derived from the name and not sent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RawRecord {
    /// See [`Record::name`].
    pub name: Arc<str>,
    /// See [`Record::incarnation`].
    pub incarnation: Incarnation,
    /// See [`Record::service`].
    pub service: ServiceName,
    /// See [`Record::region`].
    pub region: Arc<str>,
    /// See [`Record::domain`].
    pub domain: Domain,
    /// See [`Record::gossip`].
    pub gossip: SocketAddr,
    /// See [`Record::rpc`].
    pub rpc: SocketAddr,
    /// See [`Record::data`].
    pub data: SocketAddr,
    /// See [`Record::state`].
    pub state: State,
    /// See [`Record::version`].
    pub version: Version,
    /// See [`Record::digest_prefix`].
    pub digest_prefix: u32,
    /// See [`Record::slots`].
    pub slots: u32,
}

impl TryFrom<RawRecord> for Record {
    type Error = WireError;

    fn try_from(raw: RawRecord) -> Result<Record, WireError> {
        check_name("name", &raw.name)?;
        check_name("service", &raw.service.0)?;
        check_name("region", &raw.region)?;
        check_name("domain", &raw.domain.0)?;
        check_incarnation(raw.incarnation)?;
        let slots = raw.slots;
        ensure!(slots <= MAX_SLOTS, TooManySlotsSnafu { slots });
        Ok(Record {
            id: InstanceId::of(&raw.name),
            name: raw.name,
            incarnation: raw.incarnation,
            service: raw.service,
            region: raw.region,
            domain: raw.domain,
            gossip: raw.gossip,
            rpc: raw.rpc,
            data: raw.data,
            state: raw.state,
            version: raw.version,
            digest_prefix: raw.digest_prefix,
            slots,
        })
    }
}

impl From<Record> for RawRecord {
    fn from(r: Record) -> RawRecord {
        RawRecord {
            name: r.name,
            incarnation: r.incarnation,
            service: r.service,
            region: r.region,
            domain: r.domain,
            gossip: r.gossip,
            rpc: r.rpc,
            data: r.data,
            state: r.state,
            version: r.version,
            digest_prefix: r.digest_prefix,
            slots: r.slots,
        }
    }
}

pub(crate) fn check_name(field: &'static str, name: &str) -> Result<(), WireError> {
    let bytes = name.len();
    let ok = (1..=MAX_NAME_BYTES).contains(&bytes);
    ensure!(ok, NameLengthSnafu { field, bytes });
    Ok(())
}

pub(crate) fn check_count(count: usize, limit: usize) -> Result<(), WireError> {
    ensure!(count <= limit, TooManySnafu { count, limit });
    Ok(())
}

pub(crate) fn check_incarnation(incarnation: Incarnation) -> Result<(), WireError> {
    check_limit("incarnation", incarnation.0, MAX_INCARNATION)
}

pub(crate) fn check_limit(field: &'static str, value: u64, limit: u64) -> Result<(), WireError> {
    let too_high = TooHighSnafu {
        field,
        value,
        limit,
    };
    ensure!(value <= limit, too_high);
    Ok(())
}
