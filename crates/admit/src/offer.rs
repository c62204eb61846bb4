//! Requests that [`Admission`](crate::Admission) decides on, and its decisions.

use slotmap::new_key_type;
use wire::{Refusal, Time};

new_key_type! {
    /// Identifies a queued or running request until its refusal, cancellation or finish.
    pub struct RequestKey;
}

/// The declared class of a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Class {
    /// The service time is of the order that is usual for the target.
    Short,
    /// The service time is many times that of the other requests.
    Long,
    /// Not declared: learned from measured service times.
    Auto,
}

/// A request for a slot.
#[derive(Clone, Copy, Debug)]
pub struct Offer {
    /// Identifies the route.
    pub route: u64,
    /// Hash of method and path; separates long from short requests on a route that has both.
    pub operation: u64,
    /// Declared class of the route.
    pub class: Class,
    /// Identifies the caller for fair queueing.
    pub caller: u64,
    /// Deadline of the request, which is refused if it can't start early enough before it.
    pub deadline: Time,
}

/// Decision on an offered request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The request holds a slot and must be dispatched to the target now.
    Run(RequestKey),
    /// The request waits; an [`Event`] with this key follows unless it is cancelled.
    Queue(RequestKey),
    /// The request is refused and never reaches the target.
    Refuse(Refusal),
}

/// Decision on a queued request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// The request holds a slot and must be dispatched to the target now.
    Start(RequestKey),
    /// The request is refused and never reaches the target. Its key is no longer valid.
    Refuse(RequestKey, Refusal),
}

/// Outcome of a running request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Finish {
    /// Whether the target completed the response. Otherwise the service time is not learned.
    pub is_complete: bool,
}
