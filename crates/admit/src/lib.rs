//! Admission control and queueing of requests at a target-side node.
//!
//! [`Admission`] and [`TargetQueue`] decide for each request whether it runs now, waits, or is
//! refused. All requests for the target pass through one of them, so its counts are authoritative.
//! Neither does I/O: the current time is an argument, and the calling code acts on the decisions.
//! A slot is the right to run one request on the target. The class of a request is short or long. A
//! probe here is a request of unknown class that [`Admission`] admits as short work.
//!
//! - `admission`: [`Admission`], with slots, one queue each for short and long requests, and drain.
//! - `classes`: learned classes and service times.
//! - `concurrency`: the adaptive concurrency limit below the declared slots, and the cold-start
//!   ramp.
//! - `departure`: which requests a node that shuts down still takes.
//! - `eviction`: choice of the connection to close when connections or memory run short.
//! - `fair`: fair queueing between callers.
//! - `limits`: declared limits of a target and parameters of [`Admission`].
//! - `link_load`: large responses on the link of the target-side node.
//! - `offer`: requests and decisions of [`Admission`].
//! - `reserve`: slots reserved for short requests.
//! - `sojourn`: overload detection by time in the queue.
//! - `staged_body`: checks before a body is uploaded ahead of its request.
//! - `target_queue`: [`TargetQueue`], a single queue per target ordered by priority and latency
//!   objective, for deployments whose routes declare both.

mod admission;
mod classes;
mod concurrency;
mod departure;
mod eviction;
mod fair;
mod limits;
mod link_load;
mod offer;
mod reserve;
mod sojourn;
mod staged_body;
mod target_queue;

pub use admission::Admission;
pub use departure::Departure;
pub use eviction::{ConnectionState, Pace, longest_idle, worst_holder};
pub use limits::{Limits, Reserve, Tuning};
pub use link_load::LinkLoad;
pub use offer::{Class, Event, Finish, Offer, RequestKey, Verdict};
pub use staged_body::{check_staged_body, transit_time};
pub use target_queue::{
    Job, JobEvent, JobKey, JobOutcome, JobVerdict, OrganisationId, QueueState, RouteId, TargetQueue,
};
