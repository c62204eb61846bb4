//! Configuration text, compiled snapshots and the fold of the publication stream.
//!
//! A text becomes a [`Snapshot`] by [`Snapshot::compile`], which applies each rule or refuses the
//! text as a whole; [`Snapshot::compile_after`] does the same at less cost. [`Fold`] turns the records of the log into numbered versions; nodes that have
//! read the log up to the same offset hold the same version with the same digest.

mod blocks;
mod check;
mod delta;
mod fold;
mod id;
mod incremental;
mod limits;
mod raw;
mod record;
mod rejection;
mod routing;
mod routing_delta;
mod snapshot;
mod table;

pub use delta::{Delta, DeltaError, diff};
pub use fold::{Applied, Fold};
pub use id::{ParseIdError, PublicationId};
pub use limits::{
    MAX_CHAIN, MAX_RECENT_IDS, MAX_ROUTES, MAX_SERVICES, MAX_TEXT_BYTES, MAX_WAITING_BYTES,
    MAX_WAITING_RECORDS, TEXT_FORMAT,
};
pub use record::{Checkpoint, Outcome, Publication, RECORD_FORMAT, Record, RecordError, Settled};
pub use rejection::Rejection;
pub use routing::{
    CallerLimits, MAX_TABLE_ROUTES, RawRouting, RawRule, RawService, RoutedService, Routing,
    RoutingError, Rule,
};
pub use routing_delta::{RoutingDelta, RoutingDeltaError};
pub use snapshot::{Class, Methods, Repeat, Route, Scope, Service, Snapshot};
