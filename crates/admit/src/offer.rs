//! Requests and decisions.

use slotmap::new_key_type;
use wire::{Refusal, Time};

new_key_type! {
    /// Identifies a queued or running request until its refusal, cancellation or finish.
    pub struct Key;
}

/// The declared class of a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Class {
    /// Requests of ordinary length.
    Short,
    /// Requests that run many times longer than the rest.
    Long,
    /// Learned from service times.
    Auto,
}

/// A request that asks for a slot.
#[derive(Clone, Copy, Debug)]
pub struct Offer {
    /// Identity of the route.
    pub route: u64,
    /// Hash of method and path; tells long from short requests on a route that has both.
    pub work: u64,
    /// Declared class.
    pub class: Class,
    /// Identity of the caller, for fair shares.
    pub caller: u64,
    /// The request must not start after this time.
    pub deadline: Time,
}

/// The decision on an offer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The request holds a slot and must be handed to the target now.
    Run(Key),
    /// The request waits; an [`Event`] with this key follows unless it is cancelled.
    Queue(Key),
    /// The request was not handed to the target.
    Refuse(Refusal),
}

/// A decision on a queued request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// The request holds a slot and must be handed to the target now.
    Start(Key),
    /// The request was not handed to the target; its key is no longer valid.
    Refuse(Key, Refusal),
}

/// The end of a running request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Finish {
    /// Whether the response is complete. Service times of other runs aren't learned.
    pub ok: bool,
}
