//! Sockets, files and timers round the core.
//!
//! - `node`: start and graceful shutdown.
//! - `entry`, `call`, `attempt`: requests of callers, from their arrival to the attempts at single
//!   instances. `peers`: requests of other nodes. `beside`: admission and hand-over at the node
//!   beside the target. `once`: requests that must not be repeated.
//! - `keys`: keys for callers. `strikes`: what nodes tell each other of requests that crash targets.
//! - `gossip`, `control`, `claims`: the actors round the state machines of `member`, `spread` and
//!   `claim`.
//! - `rpc`: transfers between nodes.

mod attempt;
mod beside;
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

pub use error::StartError;
pub use node::{Addresses, Node};
pub use operator::{MemberReport, StateReport};
pub use reader::{CONFIG_STREAM, replay_to_end};
pub use settings::{Cut, Faults, Ports, Settings, SettingsError};
