//! Messages between nodes. A connection carries many calls at once; tarpc matches the replies and
//! carries cancellations and deadlines.

use std::net::SocketAddr;
use std::time::Duration;

use admit::QueueState;
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use wire::{Code, Domain, Fingerprint, Load, Refusal, ServiceName, UnixMillis};

use crate::names::Field;
use crate::transfer::Part;

/// Calls between nodes.
#[tarpc::service]
pub(crate) trait Link {
    /// Introduces the calling node and returns what this node knows.
    async fn hello(from: Status) -> HelloAnswer;
    /// Tells the caller's state and returns the own one; shows that the connection lives.
    async fn status(from: Status) -> Status;
    /// Asks whether the body of a call may be sent ahead of it.
    async fn announce_body(call: Call) -> BodyAnswer;
    /// Takes a part of a body that was announced. `false` means that there is no memory for it.
    async fn body_part(part: Part) -> bool;
    /// Tells that the call of a body will not come.
    async fn withdraw_body(transfer: u64);
    /// Runs a request at the target beside this node.
    async fn call(call: Call) -> Reply;
    /// Tells that a target died while it ran a request.
    async fn strike(strike: StrikeNote);
    /// Tells of a reader's version and whether its reads succeed.
    async fn reader_word(word: ReaderWord);
    /// Returns what brings a node with version `than` to the newest one.
    async fn update_from(than: u64) -> Option<VersionUpdate>;
}

/// What a node says of itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Status {
    /// Where it takes calls of other nodes.
    pub(crate) link: SocketAddr,
    /// Drawn at random at each start of the process.
    pub(crate) life: u64,
    /// Grows with each change of state within a life.
    pub(crate) sequence: u64,
    pub(crate) domain: Domain,
    pub(crate) service: ServiceName,
    /// Version of the routing table in force, 0 for none.
    pub(crate) version: u64,
    /// Speed of the instance's link in megabits per second.
    pub(crate) link_mbps: u32,
    /// Whether the node is about to stop.
    pub(crate) leaving: bool,
    /// The queue of its target.
    pub(crate) queue: WireQueue,
    /// Lives of its target that have left.
    pub(crate) left: Vec<LeftLife>,
}

/// A life of a target that has left.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct LeftLife {
    pub(crate) name: String,
    pub(crate) started: Option<UnixMillis>,
}

/// State of a target's queue. No slots means that it takes no work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct WireQueue {
    load: Load,
    service_us: u32,
    failing_percent: u8,
}

impl From<QueueState> for WireQueue {
    fn from(s: QueueState) -> WireQueue {
        WireQueue {
            load: s.load,
            service_us: u32::try_from(s.service.as_micros()).unwrap_or(u32::MAX),
            failing_percent: (s.failing * 100.0).round().clamp(0.0, 100.0) as u8,
        }
    }
}

impl From<WireQueue> for QueueState {
    fn from(w: WireQueue) -> QueueState {
        QueueState {
            load: w.load,
            service: Duration::from_micros(u64::from(w.service_us)),
            failing: f32::from(w.failing_percent.min(100)) / 100.0,
        }
    }
}

/// The answer to a node that introduces itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct HelloAnswer {
    pub(crate) status: Status,
    /// Other nodes that this one knows.
    pub(crate) nodes: Vec<SocketAddr>,
    /// What this node remembers of the asker's target.
    pub(crate) your_left: Vec<LeftLife>,
}

/// A request on its way to the node beside the target.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Call {
    pub(crate) service: ServiceName,
    /// Hash of the route's name.
    pub(crate) route: u64,
    pub(crate) priority: u32,
    /// Milliseconds until the objective, 0 when it has passed.
    pub(crate) due_ms: u64,
    /// Milliseconds until the caller stops waiting.
    pub(crate) left_ms: u64,
    pub(crate) repeatable: bool,
    /// Whether no other target will be asked if this one refuses.
    pub(crate) last_resort: bool,
    /// Longest wait for a slot in milliseconds, none if no other instance is likely to be free.
    pub(crate) max_wait_ms: Option<u32>,
    /// When it left, in microseconds of the sender's clock.
    pub(crate) sent_us: u64,
    pub(crate) request_id: String,
    pub(crate) method: String,
    pub(crate) path: String,
    pub(crate) headers: Vec<Field>,
    pub(crate) body: Bytes,
    /// Where the body is if it has been sent ahead.
    pub(crate) ahead: Option<SentAhead>,
}

/// A body that has been sent ahead of its call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct SentAhead {
    /// Number of the transfer on the connection.
    pub(crate) transfer: u64,
    /// Length of the body in bytes.
    pub(crate) len: usize,
}

/// The answer to a node that wants to send a body.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(crate) struct BodyAnswer {
    pub(crate) queue: WireQueue,
    /// Why it should not be sent.
    pub(crate) refusal: Option<WireRefusal>,
}

/// The reply to a call.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Reply {
    pub(crate) queue: WireQueue,
    pub(crate) outcome: Outcome,
    pub(crate) times: Times,
}

/// Where a call spent its time at the node beside the target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Times {
    /// Milliseconds until it got a slot.
    pub(crate) queued_ms: u32,
    /// Milliseconds from the hand-over to the end of the answer.
    pub(crate) target_ms: u32,
}

/// What became of a call.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum Outcome {
    /// The target has answered.
    Answer(Answer),
    /// The request did not reach the target and will not.
    Refused(WireRefusal),
    /// The target says that it has not run the request.
    Shed,
    /// The request was handed to the target and its outcome isn't known.
    Failed(Failure),
}

/// Why the outcome of a call is not known.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Failure {
    /// A kept connection to the target broke before any byte of the answer.
    KeptConnection,
    /// The connection to the target broke, or the answer was not valid.
    Broken,
    /// The target did not answer in time.
    Timeout,
    /// The node beside the target was lost.
    PeerLost,
}

impl Failure {
    pub(crate) fn code(self) -> Code {
        match self {
            Failure::KeptConnection | Failure::Broken => Code::TargetLost,
            Failure::Timeout => Code::TargetTimeout,
            Failure::PeerLost => Code::PeerLost,
        }
    }
}

/// An answer of a target, whole.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Answer {
    pub(crate) status: u16,
    pub(crate) headers: Vec<Field>,
    pub(crate) body: Bytes,
}

/// A refusal between nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct WireRefusal {
    code: Code,
    retry_after_ms: Option<u32>,
}

impl From<Refusal> for WireRefusal {
    fn from(r: Refusal) -> WireRefusal {
        let ms = |d: Duration| u32::try_from(d.as_millis()).unwrap_or(u32::MAX);
        WireRefusal {
            code: r.code,
            retry_after_ms: r.retry_after.map(ms),
        }
    }
}

impl From<WireRefusal> for Refusal {
    fn from(w: WireRefusal) -> Refusal {
        Refusal {
            code: w.code,
            retry_after: w.retry_after_ms.map(|ms| Duration::from_millis(ms.into())),
        }
    }
}

/// A target died while it ran the request with this fingerprint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct StrikeNote {
    pub(crate) fingerprint: Fingerprint,
    /// Hash of the target's name.
    pub(crate) target: u64,
    /// Start of the target's life.
    pub(crate) started: UnixMillis,
}

/// The word of a node that reads versions in the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ReaderWord {
    pub(crate) link: SocketAddr,
    /// The version that it has in force.
    pub(crate) version: u64,
    /// Whether its reads succeed.
    pub(crate) working: bool,
    /// The difference from the version of its last word, if that was another one.
    pub(crate) difference: Option<VersionUpdate>,
}

/// What brings a node to a newer version: an encoded [`config::RoutingDelta`], from the version
/// that the node has or from none.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct VersionUpdate(pub(crate) Bytes);
