//! Record of an instance: the validated type and its wire form.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use snafu::{Snafu, ensure};
use wire::{Domain, Incarnation, InstanceId, ServiceName, Version};

/// Maximum length of an instance, service, region or domain name. Four such names, three addresses
/// and the numbers of a record fit into one datagram.
pub const MAX_NAME_BYTES: usize = 64;
/// Maximum number of slots (requests that the target runs concurrently) of an instance.
pub const MAX_SLOTS: u32 = 65_536;

/// Highest incarnation accepted. An instance continues after the highest incarnation that it
/// receives for itself, so a faulty peer could otherwise exhaust the numbers.
pub const MAX_INCARNATION: u64 = 1 << 62;

/// Reason for rejecting a message, record or table during decoding.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum WireError {
    /// A name is empty or too long.
    #[snafu(display("{field} is {bytes} bytes long, expected 1 to {MAX_NAME_BYTES}"))]
    NameLength {
        /// Field that holds the name.
        field: &'static str,
        /// Actual length of the name in bytes.
        bytes: usize,
    },
    /// The instance declares more than [`MAX_SLOTS`] slots.
    #[snafu(display("instance declares {slots} slots, expected at most {MAX_SLOTS}"))]
    TooManySlots {
        /// Declared number of slots.
        slots: u32,
    },
    /// An incarnation or epoch is higher than a correct member can send.
    #[snafu(display("{field} is {value}, expected at most {limit}"))]
    TooHigh {
        /// Field that holds the number.
        field: &'static str,
        /// Received value.
        value: u64,
        /// Highest value accepted in this field.
        limit: u64,
    },
    /// A list is longer than its limit.
    #[snafu(display("list has {count} entries, expected at most {limit}"))]
    TooMany {
        /// Actual length of the list.
        count: usize,
        /// Longest list accepted.
        limit: usize,
    },
}

/// Readiness of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum State {
    /// The node is running; its target does not accept requests yet.
    Starting,
    /// The target accepts requests.
    Ready,
    /// The target completes requests in flight and accepts no new ones.
    Draining,
    /// The instance has departed after a graceful shutdown.
    Left,
}

/// Record of an instance of the mesh. Each instance publishes its own.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "RawRecord", into = "RawRecord")]
pub struct Record {
    /// Identifier, the hash of `name`.
    pub id: InstanceId,
    /// Name from the settings.
    pub name: Arc<str>,
    /// Number that the instance raises when its state or slots change and when it refutes a claim
    /// about itself.
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
    /// Readiness of the instance.
    pub state: State,
    /// Configuration version that was active on the instance when it last sent a message.
    pub version: Version,
    /// First four bytes of that version's digest.
    pub digest_prefix: u32,
    /// Number of requests that the target runs concurrently.
    pub slots: u32,
}

impl Record {
    /// Returns whether `other` has the same incarnation, state, slots, service, domain and
    /// addresses. Versions are ignored, because they change with each publication and are sent in
    /// message headers.
    pub(crate) fn is_same_announcement(&self, other: &Record) -> bool {
        let key = |r: &Record| (r.incarnation, r.state, r.slots, r.gossip, r.rpc, r.data);
        key(self) == key(other) && self.service == other.service && self.domain == other.domain
    }
}

/// Wire form of a [`Record`]. The identifier is not sent; it is derived from the name.
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
    let is_allowed = (1..=MAX_NAME_BYTES).contains(&bytes);
    ensure!(is_allowed, NameLengthSnafu { field, bytes });
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
