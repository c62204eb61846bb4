//! Inputs and outputs of the state machine.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use wire::{Domain, Incarnation, InstanceId, ServiceName, Version};

use crate::message::{Msg, Rumour, check_domain};
use crate::record::{Record, State, WireError, check_count, check_incarnation};

/// Maximum number of records, and of tombstones, in a table on the wire.
pub const MAX_TABLE_RECORDS: usize = 32_768;

/// Services whose members are all stored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Scope {
    /// All services.
    All,
    /// These services and the member's own service, listed or not.
    Services(BTreeSet<ServiceName>),
}

impl Scope {
    /// Returns whether `service` is listed. The own service isn't added here.
    pub fn contains(&self, service: &ServiceName) -> bool {
        match self {
            Scope::All => true,
            Scope::Services(set) => set.contains(service),
        }
    }
}

/// State of the own instance, as published in its record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LocalState {
    /// Readiness of the instance.
    pub state: State,
    /// Active configuration version.
    pub version: Version,
    /// First four bytes of that version's digest.
    pub digest_prefix: u32,
    /// Number of requests that the target runs concurrently.
    pub slots: u32,
}

/// Input of [`Member::handle`](crate::Member::handle).
#[derive(Clone, Debug)]
pub enum Event {
    /// A timer is due; see [`Member::next_wake`](crate::Member::next_wake).
    Tick,
    /// A message arrived; the node has authenticated and decoded its datagram.
    Received {
        /// Source address of the datagram.
        from: SocketAddr,
        /// Decoded message.
        msg: Msg,
    },
    /// The state, version or slots of the own instance have changed.
    SetLocal(LocalState),
    /// The set of services in scope has changed.
    SetScope(Scope),
    /// A member answered the node's join request.
    JoinAnswer(JoinAnswer),
    /// The own node starts a rumour.
    Rumour {
        /// Rumour to spread.
        payload: Rumour,
    },
}

/// Output of [`Member::handle`](crate::Member::handle).
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Seal a message and send it as a datagram.
    Send {
        /// Destination address.
        to: SocketAddr,
        /// Message to send.
        msg: Msg,
    },
    /// The view of the mesh has changed.
    Changed(Change),
    /// A message arrived, with the configuration version that is active on its sender.
    PeerVersion {
        /// Sender of the message.
        from: InstanceId,
        /// Version active on the sender.
        version: Version,
        /// First four bytes of that version's digest.
        digest_prefix: u32,
    },
    /// A rumour was received for the first time.
    Rumour(Rumour),
    /// Exchange tables in both directions with a member over a reliable transport.
    ExchangeTables {
        /// Member to exchange tables with; its record is stored.
        peer_id: InstanceId,
    },
}

/// A change of the view of the mesh. Instances are reported only for services in scope.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// An instance was added to the view: it started, rejoined, or its service entered the scope.
    Up(Record),
    /// An instance has announced a new record.
    Updated(Record),
    /// An instance was removed from the view: it was declared dead or departed, or its failure
    /// domain was unreachable for longer than the retention time.
    Down(InstanceId),
    /// A failure domain became unreachable; its records are retained.
    DomainDown(Domain),
    /// A failure domain recovered.
    DomainUp(Domain),
}

/// Marks an incarnation of an instance as dead or departed, so that older updates don't revive it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tombstone {
    /// Dead or departed instance.
    pub id: InstanceId,
    /// Incarnation that has ended; a higher one is alive again.
    pub incarnation: Incarnation,
    /// Highest version received from the instance.
    pub version: Version,
}

/// Records and tombstones that one member sends to another over a reliable transport.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "RawTable", into = "RawTable")]
pub struct Table {
    /// Records of live instances.
    pub records: Vec<Record>,
    /// Tombstones of instances of all services.
    pub tombstones: Vec<Tombstone>,
}

/// Wire form of a [`Table`], before its lengths and incarnations are validated.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RawTable {
    records: Vec<Record>,
    tombstones: Vec<Tombstone>,
}

impl TryFrom<RawTable> for Table {
    type Error = WireError;

    fn try_from(raw: RawTable) -> Result<Table, WireError> {
        check_count(raw.records.len(), MAX_TABLE_RECORDS)?;
        check_count(raw.tombstones.len(), MAX_TABLE_RECORDS)?;
        for t in &raw.tombstones {
            check_incarnation(t.incarnation)?;
        }
        Ok(Table {
            records: raw.records,
            tombstones: raw.tombstones,
        })
    }
}

impl From<Table> for RawTable {
    fn from(t: Table) -> RawTable {
        RawTable {
            records: t.records,
            tombstones: t.tombstones,
        }
    }
}

/// Answer to a join request.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "RawJoinAnswer", into = "RawJoinAnswer")]
pub struct JoinAnswer {
    /// Highest version received from the joining instance, also before a restart; 0 if none is
    /// known.
    pub version_floor: Version,
    /// Last known incarnation of the joining instance; `None` if it is unknown.
    pub incarnation: Option<Incarnation>,
    /// Contacts: some members of services outside the joining instance's scope.
    pub contacts: Vec<Record>,
    /// Members in the joining instance's scope, and all tombstones.
    pub table: Table,
    /// Epochs of the failure domains that have been unreachable at least once; see
    /// [`Update::Domain`](crate::Update::Domain).
    pub domains: Vec<(Domain, u32)>,
    /// Version that is active on the answering member.
    pub version: Version,
    /// First four bytes of that version's digest.
    pub digest_prefix: u32,
}

/// Wire form of a [`JoinAnswer`], before its lengths and numbers are validated.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RawJoinAnswer {
    version_floor: Version,
    incarnation: Option<Incarnation>,
    contacts: Vec<Record>,
    table: Table,
    domains: Vec<(Domain, u32)>,
    version: Version,
    digest_prefix: u32,
}

impl TryFrom<RawJoinAnswer> for JoinAnswer {
    type Error = WireError;

    fn try_from(raw: RawJoinAnswer) -> Result<JoinAnswer, WireError> {
        check_count(raw.contacts.len(), MAX_TABLE_RECORDS)?;
        check_count(raw.domains.len(), MAX_TABLE_RECORDS)?;
        raw.incarnation.map_or(Ok(()), check_incarnation)?;
        for (domain, epoch) in &raw.domains {
            check_domain(domain, *epoch)?;
        }
        Ok(JoinAnswer {
            version_floor: raw.version_floor,
            incarnation: raw.incarnation,
            contacts: raw.contacts,
            table: raw.table,
            domains: raw.domains,
            version: raw.version,
            digest_prefix: raw.digest_prefix,
        })
    }
}

impl From<JoinAnswer> for RawJoinAnswer {
    fn from(a: JoinAnswer) -> RawJoinAnswer {
        RawJoinAnswer {
            version_floor: a.version_floor,
            incarnation: a.incarnation,
            contacts: a.contacts,
            table: a.table,
            domains: a.domains,
            version: a.version,
            digest_prefix: a.digest_prefix,
        }
    }
}

/// Protocol counters of a member since its start. Datagrams and bytes are counted by the node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Probes started by this member, without those on behalf of others.
    pub probes: u64,
    /// Probes repeated, directly and through other members, after the direct timeout.
    pub indirect_probes: u64,
    /// Health probes that timed out.
    pub unanswered_probes: u64,
    /// Suspicions raised by this member.
    pub suspicions: u64,
    /// Deaths declared by this member.
    pub deaths: u64,
    /// Refuted claims about this member: suspicion, death, or a record from before its restart.
    pub refutations: u64,
    /// Updates that changed what this member knows.
    pub applied_updates: u64,
    /// Updates without effect: duplicate, outdated, rejected, or about this member.
    pub ineffective_updates: u64,
    /// Pushes of urgent updates, each to several peers.
    pub pushes: u64,
    /// Failure domains that became unreachable.
    pub domain_losses: u64,
    /// Failure domains that recovered.
    pub domain_recoveries: u64,
    /// Table comparisons that found a mismatch.
    pub table_mismatches: u64,
    /// Table exchanges requested.
    pub table_exchanges: u64,
    /// Detected pauses of the own process.
    pub pauses: u64,
    /// Records, updates and ping requests dropped because a limit was reached.
    pub dropped: u64,
}
