//! Admission of requests at the node beside a target.
//!
//! [`Admission`] decides for each request whether it runs now, waits, or is refused. All work for
//! the target passes through it, so its counts are authoritative. It does no I/O: the current
//! time is an argument, and the caller acts on the verdicts and events.
//!
//! - `admission`: slots, the two class queues, drain.
//! - `classes`: learned classes and service times.
//! - `concurrency`: the measured limit below the declared slots, and the ramp of a cold start.
//! - `reserve`: slots that long work leaves to short work.
//! - `fair`: fair shares between callers.
//! - `sojourn`: overload detection by time in the queue.
//! - `staged_body`: bodies that are on their way to a node.
//! - `target_queue`: one queue a target, ordered by priority and objective, for deployments whose
//!   routes state both.

mod admission;
mod classes;
mod concurrency;
mod fair;
mod limits;
mod offer;
mod reserve;
mod sojourn;
mod staged_body;
mod target_queue;

pub use admission::Admission;
pub use limits::{Limits, Reserve, Tuning};
pub use offer::{Class, Event, Finish, Key, Offer, Verdict};
pub use staged_body::{arrival_time, may_send_body};
pub use target_queue::{Admit, Ended, Job, JobKey, QueueState, RouteId, Settled, TargetQueue};
