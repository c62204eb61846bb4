//! Roll-outs: moves the requests of a service from its old software version to a new one, as an
//! operator has ordered, or back if the new version proves to be bad.
//!
//! - [`Order`]: what the operator asked for.
//! - [`OrderBook`]: the orders that a node knows.
//! - [`Evidence`]: what an instance has seen of its target's responses.
//! - [`Judge`]: the sequential tests that compare an instance with the old version.
//! - [`Decider`]: collects the reports of all instances of the service, limits how many requests
//!   the new version gets, and decides on the next [`Step`].
//! - [`Gate`]: what the node beside a target admits.
//!
//! The crate does no I/O, and the current time is an argument.

mod book;
mod budget;
mod canaries;
mod decider;
mod evidence;
mod gate;
mod judge;
mod order;
mod plan;

pub use book::{KnownOrder, OrderBook};
pub use budget::{Exposure, ExposureCfg};
pub use decider::{Decider, Reason, Transition};
pub use evidence::{Evidence, RouteEvidence, RouteId};
pub use gate::Gate;
pub use judge::{Baseline, Judge, Verdict};
pub use order::{Order, OrderError, OrderId, RawOrder, SoftwareVersion};
pub use plan::{Admission, Plan, Report, Step};
