//! Usage limits of organisations, over all nodes of a mesh.
//!
//! Each node admits requests by [`LocalUsage`] and reports its counts to one node, whose [`Ledger`] adds
//! them up. An organisation that is far from its limit costs no message of its own and is not delayed.
//! For one near its limit, the ledger divides the limit among the nodes by their demand. What nodes
//! have admitted before they heard of that is taken off what they may admit next, so that the limit
//! holds over a window of some seconds.
//!
//! The crate does no I/O, and the current time is an argument.

mod bucket;
mod ledger;
mod local;
mod tally;

pub use bucket::UsageLimit;
pub use ledger::Ledger;
pub use local::LocalUsage;
pub use tally::{Tallies, Tally};

use serde::{Deserialize, Serialize};

/// Identifies an organisation: a hash of its name.
pub type OrganisationId = u64;

/// Requests of an organisation at one node since the node's last report.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageCount {
    /// The organisation.
    pub organisation: OrganisationId,
    /// Requests that arrived.
    pub demanded: u32,
    /// Requests that were admitted, less those that were then refused without a run. It may be
    /// negative if more of the latter were admitted before the last report.
    pub admitted: i32,
}

/// What a node may admit of an organisation that is near its limit.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Grant {
    /// The organisation.
    pub organisation: OrganisationId,
    /// Requests per second.
    pub rate_per_s: f64,
}
