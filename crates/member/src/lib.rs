//! Membership: SWIM-style failure detection and scoped dissemination.
//!
//! [`Member`] is a state machine without I/O. The node passes in datagrams and the time, and
//! carries out the returned actions. A member stores all records of the services in its scope and,
//! as contacts, a few records of other services, but it relays updates about all instances. Members
//! compare hashes of their tables periodically and exchange the tables if these differ.
//!
//! Two values order the updates about an instance. The incarnation is a number that the instance
//! raises whenever its state changes, and when it refutes a false claim about itself. The version
//! is that of the configuration active on the instance. The version floor of an instance is the
//! highest version received from it; the instance must not go below its floor after a restart.

mod config;
mod detect;
mod domains;
mod event;
mod gossip;
mod history;
mod join;
mod machine;
mod message;
mod own_target;
mod queue;
mod record;
mod ring;
mod rumours;
mod table;
mod update;

pub use config::Config;
pub use event::{
    Action, Change, Counters, Event, JoinAnswer, LocalState, MAX_TABLE_RECORDS, RawJoinAnswer,
    RawTable, Scope, Table, Tombstone,
};
pub use machine::{Member, Sizes};
pub use message::{
    Body, MAX_EPOCH, MAX_MSG_BYTES, MAX_UPDATES, Msg, NODE_BYTES, RawMsg, Rumour,
    SEAL_HEADER_BYTES, TableHashes, Update,
};
pub use own_target::{OwnTarget, ReportOutcome, TargetIncarnation, TargetReport, TargetState};
pub use record::{MAX_INCARNATION, MAX_NAME_BYTES, MAX_SLOTS, RawRecord, Record, State, WireError};
pub use table::CONTACTS_PER_DOMAIN;
