//! Messages between nodes. A connection carries many concurrent calls; tarpc matches the replies to
//! them and carries their cancellations and deadlines.
//!
//! A call passes a request from the entry node to the target-side node. A large body is staged: it
//! is uploaded in parts before its call (see `transfer`).

use std::net::SocketAddr;
use std::time::Duration;

use admit::QueueState;
use bytes::Bytes;
use memory::Body;
use rollout::{KnownOrder, Report};
use serde::{Deserialize, Serialize};
use usage::{Grant, UsageReport};
use wire::{Code, Domain, Fingerprint, Load, Refusal, ServiceName, UnixMillis};

use crate::names::HeaderField;
use crate::rollouts::ReportReply;
use crate::transfer::Part;

/// Calls between nodes.
#[tarpc::service]
pub(crate) trait Link {
    /// Introduces the calling node; returns this node's status, the nodes that this node knows, and
    /// what it knows of the calling node's target.
    async fn hello(from: Status) -> HelloReply;
    /// Announces the calling node's status and returns that of this node; also the heartbeat.
    async fn status(from: Status) -> Status;
    /// Asks whether the body of `call`, described by `staged_body`, may be uploaded before the
    /// call.
    async fn announce_body(call: Call) -> BodyReply;
    /// Uploads a part of an announced body. `false` means that there is no memory for the part, or
    /// that the body is not known.
    async fn body_part(part: Part) -> bool;
    /// Withdraws an announced body whose call was cancelled.
    async fn withdraw_body(transfer: u64);
    /// Runs a request at the target of this node.
    async fn call(call: Call) -> Reply;
    /// Returns a part of the body of a response that is staged at this node; `None` if there is none.
    async fn response_part(transfer: u64, index: u32) -> Option<Bytes>;
    /// Drops the body of a response that is staged at this node.
    async fn release_response(transfer: u64);
    /// Notifies this node that a target died while it ran a request.
    async fn strike(strike: StrikeNotice);
    /// Announces the version of the calling node, a reader, and whether its reads of the log
    /// succeed.
    async fn announce_reader(announcement: ReaderAnnouncement);
    /// Reports to this node as the decider of the roll-out that `known` orders.
    async fn report_rollout(known: KnownOrder, report: Report) -> ReportReply;
    /// Returns the version in force at this node, and the time since that was known to be the newest.
    async fn newest_version() -> Option<(u64, Duration)>;
    /// Reports the usage of organisations at the node with this link address, to this node, which adds
    /// it up; returns what that node may admit. `None` if this node has no limits.
    async fn report_usage(link: SocketAddr, report: UsageReport) -> Option<Vec<Grant>>;
    /// Returns the update from version `base_version` to the newest one, or `None` if there is no
    /// newer one.
    async fn update_from(base_version: u64) -> Option<VersionUpdate>;
    /// Takes a token of this node's part of the service's retry budget for a request of the calling
    /// node; `false` if none is left.
    async fn lend_retry(service: ServiceName) -> bool;
    /// Notifies this node that a target has completed a request with this fingerprint, against which there
    /// were strikes.
    async fn run_completed(fingerprint: Fingerprint);
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
    /// How often the log has been restored, as far as the node knows.
    pub(crate) log_restores: Option<u64>,
    /// Speed of the instance's network link in megabits per second.
    pub(crate) link_mbps: u32,
    /// Whether the node is shutting down.
    pub(crate) is_leaving: bool,
    /// State of the target's queue, as peers should see it.
    pub(crate) queue: WireQueue,
    /// Departed incarnations of the node's target.
    pub(crate) departed: Vec<DepartedIncarnation>,
}

/// A departed incarnation of a target, with the target's name and the start time of the
/// incarnation, `None` if that is unknown.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct DepartedIncarnation {
    pub(crate) name: String,
    pub(crate) started: Option<UnixMillis>,
}

/// State of a target's queue. Zero slots in `load` mean that the target takes no requests.
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
    /// Link addresses of the other nodes that the replying node knows.
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
    /// Priority of the route; 0 is the most urgent.
    pub(crate) priority: u32,
    /// Milliseconds to the end of the latency objective, 0 if it has passed.
    pub(crate) due_ms: u64,
    /// Milliseconds to the deadline.
    pub(crate) remaining_ms: u64,
    /// Whether the request may be sent again after a target may have run it.
    pub(crate) is_repeatable: bool,
    /// Whether no other target will be tried if this one refuses.
    pub(crate) is_last_resort: bool,
    /// Longest wait for a slot in milliseconds; `None` if only the deadline bounds the wait.
    pub(crate) max_wait_ms: Option<u32>,
    /// When the call was sent, in microseconds of the sender's clock.
    pub(crate) sent_us: u64,
    pub(crate) request_id: String,
    pub(crate) method: String,
    pub(crate) path: String,
    pub(crate) headers: Vec<HeaderField>,
    pub(crate) body: Body,
    /// Set if the body was uploaded before the call; `body` is empty then.
    pub(crate) staged_body: Option<StagedBody>,
}

/// Identifies a body that is transferred apart from its call or response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct StagedBody {
    /// Number of the transfer, unique in the sending process.
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
    /// Milliseconds from the arrival of the call until it got a slot or was refused.
    pub(crate) queued_ms: u32,
    /// Milliseconds from the start in the slot to the outcome.
    pub(crate) target_ms: u32,
}

/// Outcome of a call.
#[derive(Clone, Debug, Serialize, Deserialize)]
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
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Answer {
    pub(crate) status: u16,
    pub(crate) headers: Vec<HeaderField>,
    pub(crate) body: Body,
    /// Set if the body has to be fetched; `body` is empty then.
    pub(crate) staged: Option<StagedBody>,
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

/// Announces a strike: a target died while it ran the request with this fingerprint.
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
    /// Whether the reader's reads of the log succeed.
    pub(crate) can_read: bool,
    /// Delta from the version of the reader's previous announcement; `None` if the version is the
    /// same or the reader no longer keeps the previous one.
    pub(crate) delta: Option<VersionUpdate>,
    /// Orders of roll-outs that the reader knows.
    pub(crate) orders: Vec<KnownOrder>,
}

/// Update to a newer version: an encoded [`config::RoutingDelta`] from an older version, or the
/// whole table as a delta from none.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct VersionUpdate(pub(crate) Bytes);
