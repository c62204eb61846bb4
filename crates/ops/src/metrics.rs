//! Counters and gauges, kept in the process and sent to StatsD once a second.
//!
//! Counting is one relaxed atomic add, so a counter may sit on the request path. [`Metrics::flush`]
//! sends what has changed through cadence.

use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicU64, Ordering};

use cadence::{BufferedUdpMetricSink, Counted, Gauged, StatsdClient};
use parking_lot::Mutex;
use snafu::{ResultExt, Snafu};

/// How a metric behaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Only grows; sent as the increase since the last flush.
    Counter,
    /// Holds the latest value.
    Gauge,
}

macro_rules! metrics {
    ($($(#[$doc:meta])* $name:ident = $kind:ident $text:literal, $unit:literal;)*) => {
        /// A metric. The table for operators is `docs/metrics.md`.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
        #[repr(usize)]
        pub enum Metric { $($(#[$doc])* $name,)* }

        impl Metric {
            /// All metrics.
            pub const ALL: &'static [Metric] = &[$(Metric::$name),*];

            /// Returns the name under which the metric is sent.
            pub const fn name(self) -> &'static str {
                match self { $(Metric::$name => $text,)* }
            }

            /// Returns the unit.
            pub const fn unit(self) -> &'static str {
                match self { $(Metric::$name => $unit,)* }
            }

            /// Returns the kind.
            pub const fn kind(self) -> Kind {
                match self { $(Metric::$name => Kind::$kind,)* }
            }
        }
    };
}

metrics! {
    /// Requests that arrived at the callers' listener.
    Requests = Counter "request.entry", "requests";
    /// Requests that arrived at the peers' listener.
    Hops = Counter "request.hop", "requests";
    /// Answers passed on whole.
    AnswersWhole = Counter "answer.whole", "answers";
    /// Answers that broke off before their end.
    AnswersBroken = Counter "answer.broken", "answers";
    /// Refusals with `executed: "no"`.
    RefusedNo = Counter "refused.not_run", "requests";
    /// Refusals with `executed: "unknown"`.
    RefusedUnknown = Counter "refused.unknown", "requests";
    /// Attempts beyond the first.
    Retries = Counter "attempt.retry", "attempts";
    /// Hedged attempts.
    Hedges = Counter "attempt.hedge", "attempts";
    /// Requests handed to the target.
    HandedOver = Counter "target.handed_over", "requests";
    /// Failed connects to the target.
    TargetConnectFailed = Counter "target.connect_failed", "connects";
    /// Connections to the target that broke after the hand-over.
    TargetLost = Counter "target.lost", "requests";
    /// Requests that the caller gave up.
    Cancelled = Counter "request.cancelled", "requests";
    /// Strikes counted by this node.
    Strikes = Counter "quarantine.strike", "strikes";
    /// Requests refused because they are quarantined.
    Quarantined = Counter "quarantine.refused", "requests";
    /// Claims decided for this node.
    ClaimsWon = Counter "claim.won", "claims";
    /// Claims that another holder has.
    ClaimsLost = Counter "claim.lost", "claims";
    /// Claims that the log did not settle in time.
    ClaimsUnavailable = Counter "claim.unavailable", "claims";
    /// Answers repeated from the claim stream.
    ClaimsRepeated = Counter "claim.repeated", "answers";
    /// Append calls to the log.
    LogAppends = Counter "log.append", "calls";
    /// Failed calls to the log.
    LogFailures = Counter "log.failure", "calls";
    /// Datagrams sent.
    DatagramsOut = Counter "control.datagram_out", "datagrams";
    /// Datagrams received and accepted.
    DatagramsIn = Counter "control.datagram_in", "datagrams";
    /// Control bytes sent: datagrams and transfers between nodes.
    ControlBytesOut = Counter "control.bytes_out", "bytes";
    /// Control bytes received.
    ControlBytesIn = Counter "control.bytes_in", "bytes";
    /// Control messages dropped for a bad MAC.
    DroppedBadMac = Counter "control.dropped.bad_mac", "messages";
    /// Control messages dropped because they belong to another mesh.
    DroppedForeignMesh = Counter "control.dropped.foreign_mesh", "messages";
    /// Control messages dropped for their wire version.
    DroppedWireVersion = Counter "control.dropped.wire_version", "messages";
    /// Control messages dropped because they can't be decoded.
    DroppedMalformed = Counter "control.dropped.malformed", "messages";
    /// Control messages dropped for their size.
    DroppedOversized = Counter "control.dropped.oversized", "messages";
    /// Publications accepted by the fold or taken over from a peer.
    VersionsApplied = Counter "config.applied", "versions";
    /// Publications rejected by the fold.
    PublicationsRejected = Counter "config.rejected", "publications";
    /// Two digests seen for one version.
    VersionConflicts = Counter "config.conflict", "versions";
    /// Version in force.
    Version = Gauge "config.version", "version";
    /// Whether the node is ready.
    Ready = Gauge "node.ready", "0 or 1";
    /// Members known as live.
    Members = Gauge "member.live", "members";
    /// Requests that hold a slot.
    InFlight = Gauge "target.in_flight", "requests";
    /// Requests that wait for a slot.
    Queued = Gauge "target.queued", "requests";
    /// Instances ejected by this node.
    Ejected = Gauge "route.ejected", "instances";
}

const METRICS: usize = Metric::ALL.len();

/// Where metrics are sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Statsd {
    /// Address of the StatsD server.
    pub addr: SocketAddr,
}

/// The StatsD client could not be set up.
#[derive(Debug, Snafu)]
pub enum StatsdError {
    /// No local socket could be bound.
    #[snafu(display("cannot bind a socket for metrics: {source}"))]
    Bind {
        /// Cause.
        source: std::io::Error,
    },
    /// The client refused the address.
    #[snafu(display("cannot set up the StatsD client: {source}"))]
    Client {
        /// Cause.
        source: cadence::MetricError,
    },
}

/// The metrics of one node.
#[derive(Debug)]
pub struct Metrics {
    values: [AtomicU64; METRICS],
    sent: Mutex<[u64; METRICS]>,
    client: Option<StatsdClient>,
}

impl Metrics {
    /// Makes a set of metrics that is sent to `statsd`, or only kept in the process.
    ///
    /// # Errors
    ///
    /// Fails when the socket or the client can't be set up.
    pub fn new(statsd: Option<Statsd>) -> Result<Metrics, StatsdError> {
        let client = statsd.map(|s| connect(s.addr)).transpose()?;
        Ok(Metrics {
            values: std::array::from_fn(|_| AtomicU64::new(0)),
            sent: Mutex::new([0; METRICS]),
            client,
        })
    }

    /// Adds one to a counter.
    pub fn count(&self, m: Metric) {
        self.add(m, 1);
    }

    /// Adds `n` to a counter.
    pub fn add(&self, m: Metric, n: u64) {
        self.values[m as usize].fetch_add(n, Ordering::Relaxed);
    }

    /// Sets a gauge.
    pub fn set(&self, m: Metric, value: u64) {
        self.values[m as usize].store(value, Ordering::Relaxed);
    }

    /// Returns the present value.
    pub fn get(&self, m: Metric) -> u64 {
        self.values[m as usize].load(Ordering::Relaxed)
    }

    /// Sends all gauges and the counters that have grown since the last flush.
    pub fn flush(&self) {
        let Some(client) = &self.client else { return };
        let mut sent = self.sent.lock();
        for m in Metric::ALL {
            let value = self.get(*m);
            let last = &mut sent[*m as usize];
            match m.kind() {
                Kind::Gauge => client.gauge_with_tags(m.name(), value).send(),
                Kind::Counter if value > *last => {
                    client.count_with_tags(m.name(), value - *last).send();
                }
                Kind::Counter => {}
            }
            *last = value;
        }
        // The server may be away; metrics are best effort.
        let _ = client.flush();
    }
}

fn connect(addr: SocketAddr) -> Result<StatsdClient, StatsdError> {
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
