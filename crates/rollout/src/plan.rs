//! Messages between the decider of a roll-out and the nodes beside the service's targets.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::evidence::Evidence;
use crate::order::{OrderId, SoftwareVersion};

/// Step of a roll-out. It only grows, but for a roll-back, which may follow each of the first three.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Step {
    /// The new version gets a limited number of requests.
    Canary,
    /// Both versions get all requests that they can serve.
    Parallel,
    /// The new version gets all requests; those at the old one end.
    Switch,
    /// The old version has no requests, and its targets may be stopped.
    Succeeded,
    /// The old version gets all requests.
    RolledBack,
}

impl Step {
    /// Returns whether no step follows.
    pub const fn is_final(self) -> bool {
        matches!(self, Step::Succeeded | Step::RolledBack)
    }

    /// Returns the name of the step in logs and records.
    pub const fn as_str(self) -> &'static str {
        match self {
            Step::Canary => "canary",
            Step::Parallel => "parallel",
            Step::Switch => "switch",
            Step::Succeeded => "succeeded",
            Step::RolledBack => "rolled_back",
        }
    }
}

/// What the node beside a target admits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Admission {
    /// All requests.
    Open,
    /// Requests until `until` have been admitted since the order became known to the node, at most
    /// `slots` at the same time.
    Limited {
        /// Slots that may be used.
        slots: u32,
        /// Number of admitted requests at which the node stops.
        until: u64,
    },
    /// No requests.
    Closed,
}

/// Report of the node beside a target of the service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Address of the node.
    pub link: SocketAddr,
    /// Random number drawn at the start of the node's process.
    pub boot_id: u64,
    /// Order that the report is about.
    pub order: OrderId,
    /// Time since the order became known to any node that passed it on.
    pub order_age: Duration,
    /// Software version of the target.
    pub software: SoftwareVersion,
    /// Slots of the target; 0 if it takes no requests for another reason than the roll-out.
    pub slots: u32,
    /// Requests admitted since the order became known to the node.
    pub admitted: u64,
    /// Requests that run or wait beside the target.
    pub in_progress: u32,
    /// Whether the node admits no requests because of the roll-out.
    pub is_closed: bool,
    /// Whether the target is still warming up.
    pub is_cold: bool,
    /// What the target's responses showed since the order became known to the node.
    pub evidence: Evidence,
}

/// Reply to a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Plan {
    /// Order that the plan is about.
    pub order: OrderId,
    /// Step of the roll-out.
    pub step: Step,
    /// What the reporting node admits from now on.
    pub admission: Admission,
}
