//! Configuration text, compiled snapshots and the replay of the publication stream.
//!
//! [`Snapshot::compile`] checks a configuration text against every rule and either compiles all of
//! it or rejects it; [`Snapshot::compile_after`] gives the same result and reuses the parts that
//! are unchanged from the previous version. [`Fold`] replays the records of the log into numbered
//! versions: nodes that have applied the log up to the same offset hold the same version with the
//! same digest.
//!
//! [`Routing`] is the routing table of deployments whose versions come from the operator's own
//! store; [`RoutingDelta`] carries the changes from one table to a later one.

mod blocks;
mod check;
mod delta;
mod fold;
mod id;
mod incremental;
mod limits;
mod organisations;
mod raw;
mod record;
mod rejection;
mod routing;
mod routing_delta;
mod snapshot;
mod table;

pub use delta::{Delta, DeltaError, diff};
pub use fold::{Fold, RecordEffect};
pub use id::{ParseIdError, PublicationId};
pub use limits::{
    MAX_BUFFERED_BYTES, MAX_BUFFERED_RECORDS, MAX_CHAIN_SERVICES, MAX_RECENT_IDS, MAX_ROUTES,
    MAX_SERVICES, MAX_TEXT_BYTES, TEXT_FORMAT,
};
pub use organisations::{
    KeyDigest, Organisation, OrganisationError, OrganisationLimit, Organisations, RawOrganisation,
};
pub use record::{
    Checkpoint, Outcome, Publication, PublicationOutcome, RECORD_FORMAT, Record, RecordError,
};
pub use rejection::Rejection;
pub use routing::{
    CallerLimits, MAX_TABLE_ROUTES, RawRoute, RawRouting, RawService, RoutedRoute, RoutedService,
    Routing, RoutingError,
};
pub use routing_delta::{RoutingDelta, RoutingDeltaError};
pub use snapshot::{Class, Methods, Repeat, Route, Scope, Service, Snapshot};
