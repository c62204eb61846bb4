//! The proxy node for deployments whose requests carry their own request id.
//!
//! Such a request enters at one node, and only that entry node sends it to targets, so it can run
//! at most once without a record in a log. Requests reach a target only through its target-side
//! node, which decides on slots, queue order and draining.
//!
//! - `listen`, `caller`, `entry`, `attempts`, `remote`: the entry side, from the arrival of a caller's
//!   request to the attempts at single instances.
//! - `beside`, `upstream`, `read_limit`, `health`: the target side.
//! - `link`, `message`, `peers`, `transfer`, `outbox`: connections to other nodes.
//! - `source`, `readers`, `versions`: the log, which nodes read it, and the routing table in force.
//! - `rollouts`, `deciding`, `step_log`: roll-outs of a service's version, at each node and at the one
//!   that decides, and the steps that it records.
//! - `freshness`, `usage_limits`: keys and usage limits of organisations.
//! - `node`: start and graceful shutdown; `shared`: state shared by the tasks; `state`: what operators
//!   see of it;
//!   `memory_wait`: the memory that a node takes for others; `connections`: those of callers, and
//!   which are closed when memory or descriptors run short.

mod attempts;
mod beside;
mod caller;
mod clock;
mod connections;
mod deciding;
mod departures;
mod entry;
mod frames;
mod freshness;
mod health;
mod latency;
mod link;
mod listen;
mod memory_wait;
mod message;
mod names;
mod node;
mod outbox;
mod peers;
mod read_limit;
mod readers;
mod remote;
mod restores;
mod retries;
mod rollouts;
mod settings;
mod shared;
mod source;
mod state;
mod step_log;
mod transfer;
mod upstream;
mod usage_limits;
mod versions;

pub use clock::Clock;
pub use http1::{ReadAhead, ReadAheadError};
pub use names::HeaderNames;
pub use node::{Handle, Node, StartError};
pub use settings::{
    Bounds, LogSource, RolloutSettings, RolloutStatus, Settings, TargetSettings, open_account,
};
pub use state::{EvidenceState, NodeState, OrganisationState, RolloutState};
pub use versions::{DecodeVersion, VersionError};
