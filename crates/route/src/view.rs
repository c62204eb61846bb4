//! What the picker is told and what it answers.

use wire::{Code, Domain, InstanceId, Load};

slotmap::new_key_type! {
    /// Identifies a request in flight between `begin` and `end`.
    pub struct Ticket;
}

/// Identifies a route across configuration versions, for example a hash of its prefix.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RouteKey(pub u64);

/// State of an instance as membership reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Takes requests.
    Ready,
    /// Completes its requests and takes no new ones.
    Draining,
    /// Takes no requests yet.
    Starting,
}

/// An instance of the service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct View {
    /// The instance.
    pub id: InstanceId,
    /// Its failure domain.
    pub domain: Domain,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Its state.
    pub state: State,
    /// Whether it started recently, so that its share has to grow slowly.
    pub fresh: bool,
}

/// A request for an instance.
#[derive(Clone, Copy, Debug, Default)]
pub struct Ask<'a> {
    /// Instances that this request has tried already.
    pub exclude: &'a [InstanceId],
    /// Whether this attempt is a hedge. A hedge never probes an ejected instance.
    pub hedge: bool,
    /// Whether the attempt can be hedged or retried when it is slow. Probes prefer such requests.
    pub repeatable: bool,
}

/// The chosen instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pick {
    /// The instance.
    pub id: InstanceId,
    /// Whether the request probes an ejected instance.
    pub probe: bool,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A response arrived, whatever its status.
    Ok,
    /// The instance's node refused the request.
    Refused(Code),
    /// No connection could be opened; nothing was sent.
    ConnectFailed,
    /// The connection broke after bytes were sent.
    Lost,
    /// The attempt's time was up.
    TimedOut,
    /// The caller gave up; says nothing about the instance.
    Cancelled,
    /// A hedge that began later answered first and this attempt was cancelled. It counts against
    /// the instance if the attempt was older than half of the age that makes it late.
    Overtaken,
}

/// Result of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Outcome {
    /// How it ended.
    pub kind: Kind,
    /// Load carried by the response. A hint only: it can be late or wrong.
    pub load: Option<Load>,
}

impl From<Kind> for Outcome {
    fn from(kind: Kind) -> Outcome {
        Outcome { kind, load: None }
    }
}
