//! Inputs and results of the picker.

use wire::{Code, Domain, InstanceId, Load};

slotmap::new_key_type! {
    /// Identifies an attempt from `Picker::begin` to `Picker::end`.
    pub struct Ticket;
}

/// Identifies a route across configuration versions, for example by a hash of its prefix.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RouteKey(pub u64);

/// State of an instance as membership reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Accepts requests.
    Ready,
    /// Completes its requests and accepts no new ones.
    Draining,
    /// Accepts no requests yet.
    Starting,
}

/// An instance of the service, as membership reports it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InstanceView {
    /// Id of the instance.
    pub id: InstanceId,
    /// Failure domain of the instance.
    pub domain: Domain,
    /// Number of requests that the instance runs concurrently.
    pub slots: u32,
    /// State of the instance.
    pub state: State,
    /// Whether the instance started recently and gets a slow start.
    pub is_fresh: bool,
}

/// Constraints on the choice of an instance for one attempt.
#[derive(Clone, Copy, Debug, Default)]
pub struct PickRequest<'a> {
    /// Instances that the request has already tried.
    pub exclude: &'a [InstanceId],
    /// Whether this attempt is a hedge. A hedge is never used as a probe.
    pub is_hedge: bool,
    /// Whether the attempt can be hedged or retried if it is slow. Probes prefer such requests.
    pub is_repeatable: bool,
}

/// Choice of an instance for one attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pick {
    /// Id of the chosen instance.
    pub id: InstanceId,
    /// Whether the attempt probes an ejected instance or an idle suspect.
    pub is_probe: bool,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OutcomeKind {
    /// A response arrived, whatever its status.
    Ok,
    /// The instance's node refused the request.
    Refused(Code),
    /// No connection could be opened; nothing was sent.
    ConnectFailed,
    /// The connection failed after bytes were sent.
    ConnectionLost,
    /// The attempt timed out.
    TimedOut,
    /// The caller cancelled the request, which is no evidence against the instance.
    Cancelled,
    /// A hedge that was sent later got the first response, and this attempt was cancelled. That
    /// counts against the instance if the attempt had reached half of the age at which it is late.
    Overtaken,
}

/// Result of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Outcome {
    /// How the attempt ended.
    pub kind: OutcomeKind,
    /// Load reported with the response; `None` if there was none. It can be outdated or wrong and
    /// is only a hint.
    pub load: Option<Load>,
}

impl From<OutcomeKind> for Outcome {
    fn from(kind: OutcomeKind) -> Outcome {
        Outcome { kind, load: None }
    }
}
