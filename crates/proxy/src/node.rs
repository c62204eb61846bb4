//! A running node: its listeners and tasks, its graceful shutdown, and the handle for the platform
//! adapter.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use member::{ReportOutcome, TargetReport, TargetState};
use ops::{Metric, MetricKind, Metrics};
use snafu::{ResultExt, Snafu};
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use wire::UnixMillis;

use crate::settings::{Settings, TargetSettings};
use crate::shared::{Phase, Shared};
use crate::state::{self, NodeState};
use crate::{
    beside, connections, deciding, departures, freshness, health, link, listen, restores, rollouts,
    source, usage_limits,
};

/// Fraction of the grace period after which a leaving node asks callers to close their connections.
/// By then, callers have seen two failed readiness checks, which are a second apart, and send no
/// new requests to the node.
const CLOSE_AT_FRACTION: f64 = 0.4;
/// Fraction of the grace period after which new requests are refused. Requests in progress have
/// until `ABORT_AT_FRACTION`.
const REFUSE_AT_FRACTION: f64 = 0.5;
/// Fraction of the grace period after which requests in progress get an error response that says
/// that their outcome is unknown, so that each caller gets a response.
const ABORT_AT_FRACTION: f64 = 0.87;
/// Fraction of the grace period after which the node stops, even if requests are still in progress.
const STOP_AT_FRACTION: f64 = 0.92;
/// Time between checks whether all requests have ended.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time for tasks to end by themselves after the node has stopped; the others are cancelled.
const JOIN_TIMEOUT: Duration = Duration::from_millis(200);

/// Why a node did not start.
#[derive(Debug, Snafu)]
pub enum StartError {
    /// A listener can't be bound to its address.
    #[snafu(display("cannot listen on {addr}: {source}"))]
    Bind {
        /// Address of the listener, as in the settings.
        addr: SocketAddr,
        /// Error of the operating system.
        source: std::io::Error,
    },
}

/// A running node. [`Node::shutdown`] stops it gracefully.
#[derive(Debug)]
pub struct Node {
    shared: Arc<Shared>,
    tasks: JoinSet<()>,
}

/// A handle to a running node, for the platform adapter. Clones refer to the same node.
#[derive(Clone, Debug)]
pub struct Handle(Arc<Shared>);

impl Node {
    /// Binds the listeners and starts the node. The node is ready for requests once it has a
    /// routing table.
    ///
    /// # Errors
    ///
    /// Fails if a listener can't be bound to its address.
    pub async fn start(settings: Settings, metrics: Arc<Metrics>) -> Result<Node, StartError> {
        let caller_listener = bind(settings.caller_addr).await?;
        let link_listener = bind(settings.peer_addr).await?;
        let (new_peers, known_peers) = mpsc::unbounded_channel();
        let shared = Shared::new(settings, metrics, new_peers);
        log::info!(event = "start", name = shared.settings.name.as_str(), life = shared.boot_id; "node started");
        let mut tasks = JoinSet::new();
        tasks.spawn(listen::serve(shared.clone(), caller_listener));
        tasks.spawn(link::serve(shared.clone(), link_listener));
        tasks.spawn(link::dial_all(shared.clone(), known_peers));
        tasks.spawn(link::announce_status(shared.clone()));
        tasks.spawn(departures::keep_recorded(shared.clone()));
        tasks.spawn(restores::follow(shared.clone()));
        tasks.spawn(source::follow_versions(shared.clone()));
        tasks.spawn(source::fetch_announced_versions(shared.clone()));
        tasks.spawn(source::announce_as_reader(shared.clone()));
        tasks.spawn(connections::relieve_memory(shared.clone()));
        tasks.spawn(freshness::keep_fresh(shared.clone()));
        tasks.spawn(usage_limits::report(shared.clone()));
        tasks.spawn(rollouts::report(shared.clone()));
        tasks.spawn(deciding::decide(shared.clone()));
        tasks.spawn(health::confirm_incarnations(shared.clone()));
        tasks.spawn(health::probe_when_unresponsive(shared.clone()));
        Ok(Node { shared, tasks })
    }

    /// Returns a handle to the node.
    pub fn handle(&self) -> Handle {
        Handle(self.shared.clone())
    }

    /// Shuts down gracefully within the grace period: notifies callers and other nodes, drains the
    /// requests in progress, and joins all tasks.
    pub async fn shutdown(mut self) {
        let grace_period = self.shared.settings.bounds.grace_period;
        let start = tokio::time::Instant::now();
        log::info!(event = "leaving"; "shutting down; requests in progress have until the end of the grace period");
        let abort_at = self.shared.now() + grace_period.mul_f64(ABORT_AT_FRACTION);
        self.shared.begin_departure(abort_at);
        self.shared.status_changed.notify_one();
        tokio::time::sleep_until(start + grace_period.mul_f64(CLOSE_AT_FRACTION)).await;
        self.enter_phase(Phase::Closing);
        tokio::time::sleep_until(start + grace_period.mul_f64(REFUSE_AT_FRACTION)).await;
        self.enter_phase(Phase::Refusing);
        let drain = tokio::time::timeout_at(
            start + grace_period.mul_f64(ABORT_AT_FRACTION),
            self.wait_until_drained(),
        );
        if drain.await.is_err() {
            log::warn!(event = "cut"; "requests are still in progress near the end of the grace period; ending them with an error response");
            self.enter_phase(Phase::Aborting);
            let abort = tokio::time::timeout_at(
                start + grace_period.mul_f64(STOP_AT_FRACTION),
                self.wait_until_drained(),
            );
            if abort.await.is_err() {
                log::warn!(event = "unanswered"; "requests are still in progress after they were aborted; stopping without a response to them");
            }
        }
        self.enter_phase(Phase::Stopped);
        self.shared.tasks.close();
        let tasks_ended = async { while self.tasks.join_next().await.is_some() {} };
        if tokio::time::timeout(JOIN_TIMEOUT, tasks_ended)
            .await
            .is_err()
        {
            self.tasks.shutdown().await;
        }
        log::info!(event = "stop"; "node stopped");
    }

    fn enter_phase(&self, phase: Phase) {
        self.shared.phase.send_replace(phase);
        self.shared.status_changed.notify_one();
    }

    /// Waits until no request of a caller or a peer is in progress.
    async fn wait_until_drained(&self) {
        loop {
            let is_drained = self.shared.requests_in_progress.load(Ordering::Relaxed) == 0
                && self.shared.target.lock().queue.is_idle();
            if is_drained {
                return;
            }
            tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
        }
    }
}

impl Handle {
    /// Returns whether callers may send requests to the node.
    pub fn is_ready(&self) -> bool {
        self.0.is_ready()
    }

    /// Applies a report of the target about its state, and returns what the report changed. A
    /// draining report announces a departure, which is recorded in the log before the return, unless
    /// the log takes too long.
    pub async fn apply_report(&self, report: &TargetReport) -> ReportOutcome {
        let outcome = beside::apply_report(&self.0, report);
        if report.state == TargetState::Draining {
            departures::wait_until_recorded(&self.0).await;
        }
        outcome
    }

    /// Records the target's announcement that it shuts down. That incarnation gets no new requests
    /// from now on. `started` is its start time, `None` if unknown. The departure is recorded in the
    /// log before the return, unless the log takes too long.
    pub async fn deregister_target(&self, name: &str, started: Option<UnixMillis>) {
        let now = self.0.now();
        let present = self
            .0
            .target
            .lock()
            .own
            .record_departure(now, name, started);
        log::info!(event = "target_leaves", target_id = name, present; "a target announced that it is shutting down");
        self.0.target_changed(now);
        departures::wait_until_recorded(&self.0).await;
    }

    /// Returns the present settings of the target.
    pub fn target_settings(&self) -> TargetSettings {
        self.0.target_settings.lock().clone()
    }

    /// Applies changed settings of the target.
    pub fn set_target(&self, target: TargetSettings) {
        self.0.upstream.set_addr(target.addr);
        *self.0.target_settings.lock() = target;
        self.0.status_changed.notify_one();
    }

    /// Returns the metrics in the Prometheus text format.
    pub fn metrics_text(&self) -> String {
        let mut out = String::new();
        for m in Metric::ALL {
            let name = m.name().replace('.', "_");
            let suffix = match m.kind() {
                MetricKind::Counter => "_total",
                MetricKind::Gauge => "",
            };
            out.push_str(&format!(
                "briarlug_{name}{suffix} {}\n",
                self.0.metrics.get(*m)
            ));
        }
        self.0.latencies.write_text(&mut out);
        state::write_metrics(&self.0, &mut out);
        out
    }

    /// Returns what the node knows of roll-outs and organisations.
    pub fn state(&self) -> NodeState {
        state::read(&self.0)
    }
}

async fn bind(addr: SocketAddr) -> Result<TcpListener, StartError> {
    TcpListener::bind(addr).await.context(BindSnafu { addr })
}
