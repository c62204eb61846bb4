//! Messages between nodes. A connection carries many concurrent calls; tarpc matches the replies
//! and carries cancellations and deadlines.

use std::net::SocketAddr;
use std::time::Duration;

use admit::QueueState;
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use wire::{Code, Domain, Fingerprint, Load, Refusal, ServiceName, UnixMillis};

use crate::names::HeaderField;
use crate::transfer::Part;

/// Calls between nodes.
#[tarpc::service]
pub(crate) trait Link {
    /// Introduces the calling node; returns this node's status and what it knows of the mesh.
    async fn hello(from: Status) -> HelloReply;
    /// Announces the calling node's status and returns this node's; serves as heartbeat.
    async fn status(from: Status) -> Status;
    /// Asks whether the body of a call may be uploaded before the call.
    async fn announce_body(call: Call) -> BodyReply;
    /// Uploads a part of an announced body. `false` means that there is no memory for it.
    async fn body_part(part: Part) -> bool;
    /// Withdraws an announced body whose call was cancelled.
    async fn withdraw_body(transfer: u64);
    /// Runs a request at the target of this node.
    async fn call(call: Call) -> Reply;
    /// Notifies this node that a target died while it ran a request.
    async fn strike(strike: StrikeNotice);
    /// Announces a reader's version, and whether its reads succeed.
    async fn announce_reader(announcement: ReaderAnnouncement);
    /// Returns the update from version `base_version` to the newest one, or `None` if there is no
    /// newer one.
    async fn update_from(base_version: u64) -> Option<VersionUpdate>;
}

/// State that a node announces to its peers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Status {
    /// Address for the calls of other nodes.
    pub(crate) link: SocketAddr,
    /// Random number drawn at the start of the process.
    pub(crate) boot_id: u64,
    /// Grows with each status of the same boot id.
    pub(crate) sequence: u64,
    pub(crate) domain: Domain,
    pub(crate) service: ServiceName,
    /// Version of the routing table in force, 0 for none.
    pub(crate) version: u64,
    /// Speed of the instance's network link in megabits per second.
    pub(crate) link_mbps: u32,
    /// Whether the node is shutting down.
    pub(crate) is_leaving: bool,
    /// State of the target's queue, as peers should see it.
    pub(crate) queue: WireQueue,
    /// Departed incarnations of the node's target.
    pub(crate) departed: Vec<DepartedIncarnation>,
}

/// A departed incarnation of a target. `started` is `None` if its start time is unknown.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct DepartedIncarnation {
    pub(crate) name: String,
    pub(crate) started: Option<UnixMillis>,
}

/// State of a target's queue. Zero slots mean that it takes no work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct WireQueue {
    load: Load,
    service_time_us: u32,
    failing_percent: u8,
}

impl From<QueueState> for WireQueue {
    fn from(s: QueueState) -> WireQueue {
        WireQueue {
            load: s.load,
            service_time_us: u32::try_from(s.service_time.as_micros()).unwrap_or(u32::MAX),
            failing_percent: (s.failure_rate * 100.0).round().clamp(0.0, 100.0) as u8,
        }
    }
}

impl From<WireQueue> for QueueState {
    fn from(w: WireQueue) -> QueueState {
        QueueState {
            load: w.load,
            service_time: Duration::from_micros(u64::from(w.service_time_us)),
            failure_rate: f32::from(w.failing_percent.min(100)) / 100.0,
        }
    }
}

/// Reply to `hello`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct HelloReply {
    pub(crate) status: Status,
    /// Links of the other nodes that the replying node knows.
    pub(crate) nodes: Vec<SocketAddr>,
    /// Departed incarnations of the calling node's target that the replying node remembers.
    pub(crate) your_departed: Vec<DepartedIncarnation>,
}

/// A request from the entry node to the target-side node.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Call {
    pub(crate) service: ServiceName,
    /// Hash of the route's name.
    pub(crate) route: u64,
    pub(crate) priority: u32,
    /// Milliseconds to the end of the latency objective, 0 if it has passed.
    pub(crate) due_ms: u64,
    /// Milliseconds to the deadline.
    pub(crate) remaining_ms: u64,
    pub(crate) is_repeatable: bool,
    /// Whether no other target will be tried if this one refuses.
    pub(crate) is_last_resort: bool,
    /// Longest wait for a slot in milliseconds; `None` if no other instance is likely to have a
    /// free one.
    pub(crate) max_wait_ms: Option<u32>,
    /// When the call was sent, in microseconds of the sender's clock.
    pub(crate) sent_us: u64,
    pub(crate) request_id: String,
    pub(crate) method: String,
    pub(crate) path: String,
    pub(crate) headers: Vec<HeaderField>,
    pub(crate) body: Bytes,
    /// Set if the body was uploaded before the call; `body` is empty then.
    pub(crate) staged_body: Option<StagedBody>,
}

/// Identifies a body that was uploaded before its call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct StagedBody {
    /// Number of the transfer on the connection.
    pub(crate) transfer: u64,
    /// Length of the body in bytes.
    pub(crate) len: usize,
}

/// Reply to the announcement of a body.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(crate) struct BodyReply {
    pub(crate) queue: WireQueue,
    /// Why the body should not be uploaded; `None` if it may be.
    pub(crate) refusal: Option<WireRefusal>,
}

/// Reply to a call.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Reply {
    pub(crate) queue: WireQueue,
    pub(crate) outcome: Outcome,
    pub(crate) times: Times,
}

/// Times of a call at the target-side node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Times {
    /// Milliseconds until it got a slot.
    pub(crate) queued_ms: u32,
    /// Milliseconds from the hand-over to the end of the response.
    pub(crate) target_ms: u32,
}

/// Outcome of a call.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum Outcome {
    /// The target responded.
    Answer(Answer),
    /// The request did not reach the target and will not.
    Refused(WireRefusal),
    /// The target refused the request and states that it has not run it.
    Shed,
    /// The request was dispatched to the target, and its outcome is unknown.
    Failed(Failure),
}

/// Why the outcome of a call is unknown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Failure {
    /// A reused connection to the target broke before any byte of the response.
    ReusedConnection,
    /// The connection to the target broke, or the response was not valid.
    Broken,
    /// The target did not respond before the deadline.
    Timeout,
    /// The call to the target-side node failed.
    PeerLost,
}

impl Failure {
    pub(crate) fn code(self) -> Code {
        match self {
            Failure::ReusedConnection | Failure::Broken => Code::TargetLost,
            Failure::Timeout => Code::TargetTimeout,
            Failure::PeerLost => Code::PeerLost,
        }
    }
}

/// A complete response of a target.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Answer {
    pub(crate) status: u16,
    pub(crate) headers: Vec<HeaderField>,
    pub(crate) body: Bytes,
}

/// A refusal as sent between nodes.
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

/// Announces that a target died while it ran the request with this fingerprint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct StrikeNotice {
    pub(crate) fingerprint: Fingerprint,
    /// Hash of the target's name.
    pub(crate) target: u64,
    /// Start of the target's incarnation.
    pub(crate) started: UnixMillis,
}

/// Announcement of a node that reads versions in the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ReaderAnnouncement {
    pub(crate) link: SocketAddr,
    /// Version of the routing table in force at the reader.
    pub(crate) version: u64,
    /// Whether its reads succeed.
    pub(crate) can_read: bool,
    /// Delta from the version of its previous announcement, if that was another one.
    pub(crate) delta: Option<VersionUpdate>,
}

/// Update to a newer version: an encoded [`config::RoutingDelta`], from the version that the
/// receiver has or from none.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct VersionUpdate(pub(crate) Bytes);
