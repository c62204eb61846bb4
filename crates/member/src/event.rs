//! Input and output of the state machine.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use wire::{Domain, Incarnation, InstanceId, ServiceName, Version};

use crate::message::{Msg, Rumour, check_domain};
use crate::record::{Record, State, WireError, check_count, check_incarnation};

/// Most records or tombstones in one table on the wire.
pub const MAX_TABLE_RECORDS: usize = 32_768;

/// Services whose members are kept in full.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Scope {
    /// All services.
    All,
    /// These services and the own one.
    Services(BTreeSet<ServiceName>),
}

impl Scope {
    /// Returns whether `service` is listed.
    pub fn contains(&self, service: &ServiceName) -> bool {
        match self {
            Scope::All => true,
            Scope::Services(set) => set.contains(service),
        }
    }
}

/// What the own node says of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LocalState {
    /// Whether the target takes work.
    pub state: State,
    /// Active configuration version.
    pub version: Version,
    /// First four bytes of its digest.
    pub digest_prefix: u32,
    /// Requests that the target runs at once.
    pub slots: u32,
}

/// Input of [`Member::handle`](crate::Member::handle).
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed; see [`Member::next_wake`](crate::Member::next_wake).
    Tick,
    /// A datagram was opened.
    Received {
        /// Address that sent it.
        from: SocketAddr,
        /// Content.
        msg: Msg,
    },
    /// The own state or version has changed.
    SetLocal(LocalState),
    /// The services in scope have changed.
    Interest(Scope),
    /// A member answered the node's request to join.
    JoinAnswer(JoinAnswer),
    /// The own node starts a rumour.
    Rumour {
        /// Content.
        payload: Rumour,
    },
}

/// Output of [`Member::handle`](crate::Member::handle).
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Seal and send a message.
    Send {
        /// Receiver.
        to: SocketAddr,
        /// Content.
        msg: Msg,
    },
    /// The view has changed.
    Changed(Change),
    /// A message told the version that is active on its sender.
    Heard {
        /// Sender.
        from: InstanceId,
        /// Its active version.
        version: Version,
        /// First four bytes of that version's digest.
        digest_prefix: u32,
    },
    /// A rumour was heard for the first time.
    Rumour(Rumour),
    /// Exchange tables in both directions with this member over a reliable transport.
    Exchange {
        /// The other member; its record is known.
        with: InstanceId,
    },
}

/// A change of the view. Records are reported only for services in scope.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// An instance has come up.
    Up(Record),
    /// The record of an instance has changed.
    Updated(Record),
    /// An instance is dead or has left.
    Down(InstanceId),
    /// A failure domain is unreachable; its records are kept.
    DomainDown(Domain),
    /// A failure domain is reachable again.
    DomainUp(Domain),
}

/// A dead incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tombstone {
    /// Instance.
    pub id: InstanceId,
    /// Dead incarnation.
    pub incarnation: Incarnation,
    /// Last version heard from the instance.
    pub version: Version,
}

/// Records and dead incarnations that one member passes to another over a reliable transport.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "RawTable", into = "RawTable")]
pub struct Table {
    /// Records of live instances.
    pub records: Vec<Record>,
    /// Dead incarnations, of any service.
    pub dead: Vec<Tombstone>,
}

/// A [`Table`] as it travels, before its lengths are checked.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RawTable {
    records: Vec<Record>,
    dead: Vec<Tombstone>,
}

impl TryFrom<RawTable> for Table {
    type Error = WireError;

    fn try_from(raw: RawTable) -> Result<Table, WireError> {
        check_count(raw.records.len(), MAX_TABLE_RECORDS)?;
        check_count(raw.dead.len(), MAX_TABLE_RECORDS)?;
        for t in &raw.dead {
            check_incarnation(t.incarnation)?;
        }
        Ok(Table {
            records: raw.records,
            dead: raw.dead,
        })
    }
}

impl From<Table> for RawTable {
    fn from(t: Table) -> RawTable {
        RawTable {
            records: t.records,
            dead: t.dead,
        }
    }
}

/// Answer to an instance that joins.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "RawJoinAnswer", into = "RawJoinAnswer")]
pub struct JoinAnswer {
    /// Last version heard from the asker in any of its lives.
    pub floor: Version,
    /// Last incarnation heard of the asker.
    pub incarnation: Option<Incarnation>,
    /// Members of services outside the asker's scope.
    pub contacts: Vec<Record>,
    /// Members in the asker's scope.
    pub table: Table,
    /// Reachability of failure domains as counted by [`Update::Domain`](crate::Update::Domain).
    pub domains: Vec<(Domain, u32)>,
    /// Version that is active on the answering member.
    pub version: Version,
    /// First four bytes of that version's digest.
    pub digest_prefix: u32,
}

/// A [`JoinAnswer`] as it travels, before its lengths are checked.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RawJoinAnswer {
    floor: Version,
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
            floor: raw.floor,
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
            floor: a.floor,
            incarnation: a.incarnation,
            contacts: a.contacts,
            table: a.table,
            domains: a.domains,
            version: a.version,
            digest_prefix: a.digest_prefix,
        }
    }
}

/// Events that a member counts. Datagrams and bytes are counted by the node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Probes started.
    pub probes: u64,
    /// Probes that were repeated through other members.
    pub indirect: u64,
    /// Probes that got no answer.
    pub unanswered: u64,
    /// Suspicions raised by this member.
    pub suspicions: u64,
    /// Deaths declared by this member.
    pub deaths: u64,
    /// Rumours of the own death or of an earlier life that were refuted.
    pub refutations: u64,
    /// Updates that were news.
    pub applied: u64,
    /// Updates that were known already or outdated.
    pub outdated: u64,
    /// Pushes of urgent updates.
    pub pushes: u64,
    /// Failure domains that became unreachable.
    pub domain_downs: u64,
    /// Failure domains that became reachable again.
    pub domain_ups: u64,
    /// Comparisons of the table that found a difference.
    pub sync_differences: u64,
    /// Exchanges of tables requested.
    pub exchanges: u64,
    /// Times that the own process was found to have been paused.
    pub pauses: u64,
    /// Records and updates dropped because a limit was reached.
    pub dropped: u64,
}
