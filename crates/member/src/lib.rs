//! Membership: SWIM-style failure detection and scoped dissemination.
//!
//! [`Member`] is a state machine without I/O. The node passes in datagrams and the time, and
//! carries out the returned actions. A member stores the records of services in scope and a few
//! contacts elsewhere, but relays updates about all instances.
//!
//! Two values order the updates about an instance. The incarnation is a number that the instance
//! raises whenever its state changes, and when it refutes a false claim about itself. The version
//! is that of the configuration active on the instance.

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
