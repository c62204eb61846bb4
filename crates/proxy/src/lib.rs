//! The node of deployments whose requests carry their own identifiers.
//!
//! Such a request enters at one node and is sent by that node only, so at most one run needs no
//! record in a log. The node beside a target is the only way to it: slots, order of work and
//! leaving are settled there.
//!
//! - `listen`, `entry`, `attempts`, `remote`: requests of callers, from their arrival to the
//!   attempts at single instances.
//! - `beside`, `upstream`, `health`: the side that faces the target.
//! - `link`, `message`, `peers`, `transfer`: other nodes.
//! - `source`, `readers`, `versions`: the log, who reads it, and the routing table in force.
//! - `node`: start and graceful shutdown; `shared`: what the tasks share.

mod attempts;
mod beside;
mod clock;
mod entry;
mod health;
mod latency;
mod link;
mod listen;
mod message;
mod names;
mod node;
mod peers;
mod readers;
mod remote;
mod settings;
mod shared;
mod source;
mod transfer;
mod upstream;
mod versions;

pub use clock::Clock;
pub use names::HeaderNames;
pub use node::{Handle, Node, StartError};
pub use settings::{Bounds, Settings, Source, TargetSettings};
pub use versions::{DecodeVersion, VersionError};
