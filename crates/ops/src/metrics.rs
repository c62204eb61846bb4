//! Counters and gauges, held in the process and sent to StatsD at each [`Metrics::flush`].
//!
//! Counting is one relaxed atomic add, cheap enough for the request path. A flush sends all gauges
//! and the increases of the counters through cadence; nodes flush once a second.

use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicU64, Ordering};

use cadence::{BufferedUdpMetricSink, Counted, Gauged, StatsdClient};
use parking_lot::Mutex;
use snafu::{ResultExt, Snafu};

/// The type of a metric.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MetricKind {
    /// Never decreases; a flush sends the increase since the previous flush.
    Counter,
    /// Holds the latest value; every flush sends it.
    Gauge,
}

macro_rules! metrics {
    ($($(#[$doc:meta])* $name:ident = $kind:ident $statsd_name:literal, $unit:literal;)*) => {
        /// A metric. The table for operators is `docs/metrics.md`.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
        #[repr(usize)]
        pub enum Metric { $($(#[$doc])* $name,)* }

        impl Metric {
            /// All metrics, in the order of the table.
            pub const ALL: &'static [Metric] = &[$(Metric::$name),*];

            /// Returns the name under which the metric is sent, without the prefix `briarlug`.
            pub const fn name(self) -> &'static str {
                match self { $(Metric::$name => $statsd_name,)* }
            }

            /// Returns the unit, as the table for operators shows it.
            pub const fn unit(self) -> &'static str {
                match self { $(Metric::$name => $unit,)* }
            }

            /// Returns whether the metric is a counter or a gauge.
            pub const fn kind(self) -> MetricKind {
                match self { $(Metric::$name => MetricKind::$kind,)* }
            }
        }
    };
}

metrics! {
    /// Requests received by the listener for callers.
    EntryRequests = Counter "request.entry", "requests";
    /// Requests received by the listener for peers.
    HopRequests = Counter "request.hop", "requests";
    /// Responses that were forwarded completely.
    ResponsesCompleted = Counter "answer.whole", "answers";
    /// Responses that broke off before their end.
    ResponsesBroken = Counter "answer.broken", "answers";
    /// Refusals with `executed: "no"`.
    RefusedNotRun = Counter "refused.not_run", "requests";
    /// Refusals with `executed: "unknown"`.
    RefusedOutcomeUnknown = Counter "refused.unknown", "requests";
    /// Attempts beyond the first.
    Retries = Counter "attempt.retry", "attempts";
    /// Attempts beyond the first that the retry budget forbade.
    RetriesDenied = Counter "attempt.retry_denied", "attempts";
    /// Hedged attempts.
    Hedges = Counter "attempt.hedge", "attempts";
    /// Requests dispatched to the target.
    HandOvers = Counter "target.handed_over", "requests";
    /// Failed attempts to connect to the target.
    TargetConnectFailed = Counter "target.connect_failed", "connects";
    /// Connections to the target that broke after the hand-over.
    TargetLost = Counter "target.lost", "requests";
    /// Requests that the caller cancelled, for example by disconnecting.
    Cancelled = Counter "request.cancelled", "requests";
    /// Strikes that this node has counted, its own and those reported by peers.
    Strikes = Counter "quarantine.strike", "strikes";
    /// Requests refused because they are quarantined.
    QuarantineRefusals = Counter "quarantine.refused", "requests";
    /// Requests refused because their key is unknown or not confirmed.
    KeyRefusals = Counter "organisation.key_refused", "requests";
    /// Requests refused because their organisation has used up its limit.
    UsageRefusals = Counter "organisation.over_limit", "requests";
    /// Connections of callers closed because connections or memory ran short.
    CallersEvicted = Counter "caller.evicted", "connections";
    /// Calls refused because a roll-out does not release the target's version.
    RolloutRefusals = Counter "rollout.refused", "requests";
    /// Steps of roll-outs that this node has recorded as their decider.
    RolloutSteps = Counter "rollout.step", "steps";
    /// Claims that this node won.
    ClaimsWon = Counter "claim.won", "claims";
    /// Requests refused when they asked for a claim, for example because another holder won the
    /// claim; without those counted in `ClaimsUnavailable`.
    ClaimsLost = Counter "claim.lost", "claims";
    /// Claims that the log did not decide in time.
    ClaimsUnavailable = Counter "claim.unavailable", "claims";
    /// Responses replayed from the claim stream.
    ClaimResponsesReplayed = Counter "claim.repeated", "answers";
    /// Appends to the log, whatever their result.
    LogAppends = Counter "log.append", "calls";
    /// Failed calls to the log, appends and reads.
    LogFailures = Counter "log.failure", "calls";
    /// Datagrams sent.
    DatagramsOut = Counter "control.datagram_out", "datagrams";
    /// Datagrams received and accepted.
    DatagramsIn = Counter "control.datagram_in", "datagrams";
    /// Control bytes sent, in datagrams and in transfers between nodes.
    ControlBytesOut = Counter "control.bytes_out", "bytes";
    /// Control bytes received, in datagrams and in transfers between nodes.
    ControlBytesIn = Counter "control.bytes_in", "bytes";
    /// Control messages dropped for an invalid MAC or an unknown key number.
    DroppedBadMac = Counter "control.dropped.bad_mac", "messages";
    /// Control messages dropped because they belong to another mesh.
    DroppedForeignMesh = Counter "control.dropped.foreign_mesh", "messages";
    /// Control messages dropped for an unknown wire version.
    DroppedWireVersion = Counter "control.dropped.wire_version", "messages";
    /// Control messages dropped because they can't be decoded.
    DroppedMalformed = Counter "control.dropped.malformed", "messages";
    /// Control messages dropped because they exceed the size limit.
    DroppedOversized = Counter "control.dropped.oversized", "messages";
    /// Versions applied: publications accepted by the replicated state or fetched from a peer.
    VersionsApplied = Counter "config.applied", "versions";
    /// Publications rejected by the replicated state.
    PublicationsRejected = Counter "config.rejected", "publications";
    /// Versions for which two different digests were seen.
    VersionConflicts = Counter "config.conflict", "versions";
    /// Whether a roll-out keeps this node's target from requests: 1 if it does, otherwise 0.
    RolloutClosed = Gauge "rollout.closed", "0 or 1";
    /// Configuration version in force.
    Version = Gauge "config.version", "version";
    /// Whether the node is ready: 1 if it is, otherwise 0.
    Ready = Gauge "node.ready", "0 or 1";
    /// Members that this node considers live, itself included.
    Members = Gauge "member.live", "members";
    /// Requests that hold a slot of the target.
    InFlight = Gauge "target.in_flight", "requests";
    /// Requests that wait for a slot of the target.
    Queued = Gauge "target.queued", "requests";
    /// Instances that this node has ejected from routing.
    Ejected = Gauge "route.ejected", "instances";
}

const METRIC_COUNT: usize = Metric::ALL.len();

/// The StatsD server to which metrics are sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Statsd {
    /// UDP address of the server.
    pub addr: SocketAddr,
}

/// The reason why the StatsD client could not be set up.
#[derive(Debug, Snafu)]
pub enum StatsdError {
    /// A local UDP socket could not be bound or made non-blocking.
    #[snafu(display("cannot set up a local UDP socket for StatsD metrics: {source}"))]
    Bind {
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The StatsD client rejected the server's address.
    #[snafu(display("cannot set up the StatsD client: {source}"))]
    Client {
        /// Error of the StatsD library.
        source: cadence::MetricError,
    },
}

/// The metrics of one node.
#[derive(Debug)]
pub struct Metrics {
    values: [AtomicU64; METRIC_COUNT],
    last_sent: Mutex<[u64; METRIC_COUNT]>,
    client: Option<StatsdClient>,
}

impl Metrics {
    /// Creates a set of metrics, all zero. They are sent to `statsd`, or nowhere if that is `None`.
    ///
    /// # Errors
    ///
    /// Fails when the UDP socket or the StatsD client can't be set up.
    pub fn new(statsd: Option<Statsd>) -> Result<Metrics, StatsdError> {
        let client = statsd.map(|s| statsd_client(s.addr)).transpose()?;
        Ok(Metrics {
            values: std::array::from_fn(|_| AtomicU64::new(0)),
            last_sent: Mutex::new([0; METRIC_COUNT]),
            client,
        })
    }

    /// Adds 1 to the counter `m`.
    pub fn count(&self, m: Metric) {
        self.add(m, 1);
    }

    /// Adds `n` to the counter `m`.
    pub fn add(&self, m: Metric, n: u64) {
        self.values[m as usize].fetch_add(n, Ordering::Relaxed);
    }

    /// Sets the gauge `m` to `value`.
    pub fn set(&self, m: Metric, value: u64) {
        self.values[m as usize].store(value, Ordering::Relaxed);
    }

    /// Returns the current value of a gauge, or the total of a counter since the start.
    pub fn get(&self, m: Metric) -> u64 {
        self.values[m as usize].load(Ordering::Relaxed)
    }

    /// Sends all gauges, and the increases of the counters that changed since the previous flush.
    /// Failures to send are ignored.
    pub fn flush(&self) {
        let Some(client) = &self.client else { return };
        let mut last_sent = self.last_sent.lock();
        for m in Metric::ALL {
            let value = self.get(*m);
            let previous = &mut last_sent[*m as usize];
            match m.kind() {
                MetricKind::Gauge => client.gauge_with_tags(m.name(), value).send(),
                MetricKind::Counter if value > *previous => {
                    client.count_with_tags(m.name(), value - *previous).send();
                }
                MetricKind::Counter => {}
            }
            *previous = value;
        }
        // The server may be unreachable; metrics are sent on a best-effort basis.
        let _ = client.flush();
    }
}

fn statsd_client(addr: SocketAddr) -> Result<StatsdClient, StatsdError> {
    let local = if addr.is_ipv4() {
        "0.0.0.0:0"
    } else {
        "[::]:0"
    };
    let socket = UdpSocket::bind(local).context(BindSnafu)?;
    socket.set_nonblocking(true).context(BindSnafu)?;
    let sink = BufferedUdpMetricSink::from(addr, socket).context(ClientSnafu)?;
    Ok(StatsdClient::from_sink("briarlug", sink))
}
