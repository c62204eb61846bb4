//! Usage limits of organisations, over all nodes of a mesh.
//!
//! Each node admits requests by [`LocalUsage`] and reports its counts to one node, whose [`Ledger`] adds
//! them up. An organisation that is far from its limit costs no message of its own and is not delayed.
//! For one near its limit, the ledger divides the limit among the nodes by their demand. What nodes
//! have admitted before they heard of that is taken off what they may admit next, so that the limit
//! holds over a window of some seconds.
//!
//! A reply of the ledger permits something only for a short time. After that a node goes on at its own
//! average and then at an equal share of the limit, and takes off what it has admitted beyond that. A
//! ledger leaves an equal share to each known node that does not report to it, so that two ledgers that
//! each hear from some of the nodes grant no more than the limit together.
//!
//! The crate does no I/O, and the current time is an argument.

mod bucket;
mod ledger;
mod local;
mod tally;

pub use bucket::UsageLimit;
pub use ledger::Ledger;
pub use local::{LedgerId, LocalUsage};
pub use tally::{Tallies, Tally};

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Time for which a node whose reports are not answered goes on at its own average, and for which a new
/// ledger grants nothing to others: until then, replies of another ledger may still have an effect.
pub(crate) const HOLD_TIME: Duration = Duration::from_secs(3);

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

/// Report of a node to a ledger.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageReport {
    /// Counts of the organisations that were active.
    pub counts: Vec<UsageCount>,
    /// Whether another ledger has answered the node last, so that its reply may still have an effect.
    pub follows_other: bool,
}

/// What a node may admit of an organisation that is near its limit.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Grant {
    /// The organisation.
    pub organisation: OrganisationId,
    /// Requests per second.
    pub rate_per_s: f64,
}
