//! Stand-ins for the platform's log and for targets, used by tests and the demo.

mod conn;
mod log;
mod target;

pub use log::{FakeLog, LogFaults, LogServer};
pub use target::{Announcer, TargetCfg, TargetServer, TargetStats};
