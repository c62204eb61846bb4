//! The node process: listeners, sockets and timers around the state machines of the mesh.
//!
//! - `node`: start and graceful shutdown.
//! - `entry`, `call`, `attempt`: entry side, from a caller's request to the attempts at single
//!   instances. `peers`: requests forwarded by other nodes. `target_side`: target side, with
//!   admission and hand-over to the target. `once`: requests that must not be repeated.
//! - `keys`: idempotency keys issued to callers. `strikes`: notifications between nodes of requests
//!   that crash targets.
//! - `gossip`, `control`, `claims`: actors around the state machines of the crates `member`, `spread`
//!   and `claim`.
//! - `rpc`: joins, member tables and configuration texts between nodes (tarpc).
//! - `reader`, `log_end`: reading of the publication stream and checks of its end.

mod attempt;
mod body;
mod call;
mod claim_stream;
mod claims;
mod clock;
mod control;
mod datagram;
mod entry;
mod error;
mod gate;
mod gossip;
mod headers;
mod keys;
mod local;
mod log_end;
mod node;
mod once;
mod operator;
mod peers;
mod problem;
mod reader;
mod rpc;
mod services;
mod settings;
mod shared;
mod strikes;
mod target;
mod target_side;

pub use error::StartError;
pub use node::{Addresses, Node};
pub use operator::{MemberReport, StateReport};
pub use reader::{CONFIG_STREAM, replay_to_end};
pub use settings::{Cut, NetworkFaults, Ports, Settings, SettingsError};
