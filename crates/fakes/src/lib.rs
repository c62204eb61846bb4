//! Stand-ins for the platform's log and for targets, used by tests and the demo.

mod conn;
mod keyed;
mod log;
mod scripted;
mod target;

pub use keyed::{FakeKeyedLog, KeyedFault};
pub use log::{FakeLog, LogFaults, LogServer};
pub use scripted::{ReceivedRequest, Script, ScriptedTarget, Step};
pub use target::{Announcer, TargetCfg, TargetServer, TargetStats};
