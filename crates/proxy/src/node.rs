//! A running node: its listeners, tasks, and graceful shutdown.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use member::{ReportOutcome, TargetReport};
use ops::{Kind, Metric, Metrics};
use snafu::{ResultExt, Snafu};
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use wire::UnixMillis;

use crate::settings::{Settings, TargetSettings};
use crate::shared::{Phase, Shared};
use crate::{beside, health, link, listen, source};

/// Parts of the grace period after which a leaving node asks callers to close, and refuses.
/// Callers stop coming after two missed readiness checks, which are a second apart; answers that
/// take longer than the rest of the period are cut.
const CLOSE_AT: f64 = 0.4;
const REFUSE_AT: f64 = 0.5;
/// Part of the period after which what is still in progress is answered as unknown, so that no
/// caller is left without an answer.
const END_AT: f64 = 0.87;
const STOP_AT: f64 = 0.92;
const DRAIN_POLL: Duration = Duration::from_millis(20);
/// Time for tasks to end after the node has stopped.
const JOIN_TIMEOUT: Duration = Duration::from_millis(200);

/// Why a node did not start.
#[derive(Debug, Snafu)]
pub enum StartError {
    /// An address can't be bound.
    #[snafu(display("cannot listen on {addr}: {source}"))]
    Bind {
        /// The address.
        addr: SocketAddr,
        /// Cause.
        source: std::io::Error,
    },
}

/// A running node.
#[derive(Debug)]
pub struct Node {
    shared: Arc<Shared>,
    tasks: JoinSet<()>,
}

/// A handle by which the adapter of a platform speaks to a running node.
#[derive(Clone, Debug)]
pub struct Handle(Arc<Shared>);

impl Node {
    /// Binds the listeners and starts the node. It serves once it has a routing table.
    ///
    /// # Errors
    ///
    /// Fails when an address can't be bound.
    pub async fn start(settings: Settings, metrics: Arc<Metrics>) -> Result<Node, StartError> {
        let callers = bind(settings.callers).await?;
        let peers = bind(settings.link).await?;
        let (new_peers, known_peers) = mpsc::unbounded_channel();
        let shared = Shared::new(settings, metrics, new_peers);
        log::info!(event = "start", name = shared.settings.name.as_str(), life = shared.boot_id; "node started");
        let mut tasks = JoinSet::new();
        tasks.spawn(listen::serve(shared.clone(), callers));
        tasks.spawn(link::serve(shared.clone(), peers));
        tasks.spawn(link::dial_all(shared.clone(), known_peers));
        tasks.spawn(link::announce_status(shared.clone()));
        tasks.spawn(source::register(shared.clone()));
        tasks.spawn(source::follow_versions(shared.clone()));
        tasks.spawn(source::follow_peers(shared.clone()));
        tasks.spawn(source::speak_as_reader(shared.clone()));
        tasks.spawn(health::confirm_lives(shared.clone()));
        tasks.spawn(health::watch_quiet(shared.clone()));
        Ok(Node { shared, tasks })
    }

    /// Returns a handle to the node.
    pub fn handle(&self) -> Handle {
        Handle(self.shared.clone())
    }

    /// Shuts down gracefully within the grace period: callers and nodes are told, requests in
    /// progress end, all tasks are joined.
    pub async fn shutdown(mut self) {
        let grace = self.shared.settings.bounds.grace;
        let start = tokio::time::Instant::now();
        log::info!(event = "leaving"; "the node leaves");
        self.enter(Phase::Leaving);
        tokio::time::sleep_until(start + grace.mul_f64(CLOSE_AT)).await;
        self.enter(Phase::Closing);
        tokio::time::sleep_until(start + grace.mul_f64(REFUSE_AT)).await;
        self.enter(Phase::Refusing);
        let drained = tokio::time::timeout_at(start + grace.mul_f64(END_AT), self.drained());
        if drained.await.is_err() {
            log::warn!(event = "cut"; "the grace period ends before the requests in progress");
            self.enter(Phase::Aborting);
            let answered = tokio::time::timeout_at(start + grace.mul_f64(STOP_AT), self.drained());
            if answered.await.is_err() {
                log::warn!(event = "unanswered"; "requests in progress could not be answered");
            }
        }
        self.enter(Phase::Stopped);
        self.shared.tasks.close();
        let ended = async { while self.tasks.join_next().await.is_some() {} };
        if tokio::time::timeout(JOIN_TIMEOUT, ended).await.is_err() {
            self.tasks.shutdown().await;
        }
        log::info!(event = "stop"; "node stopped");
    }

    fn enter(&self, phase: Phase) {
        self.shared.phase.send_replace(phase);
        self.shared.status_changed.notify_one();
    }

    async fn drained(&self) {
        loop {
            let idle = self.shared.requests_in_progress.load(Ordering::Relaxed) == 0
                && self.shared.target.lock().queue.is_idle();
            if idle {
                return;
            }
            tokio::time::sleep(DRAIN_POLL).await;
        }
    }
}

impl Handle {
    /// Returns whether callers may send requests to the node.
    pub fn is_ready(&self) -> bool {
        self.0.is_ready()
    }

    /// Takes a report of the target about itself.
    pub fn report(&self, report: &TargetReport) -> ReportOutcome {
        beside::apply_report(&self.0, report)
    }

    /// Takes the target's word that it leaves. It gets no new work from now on.
    pub fn leave(&self, name: &str, started: Option<UnixMillis>) {
        let now = self.0.now();
        let present = self
            .0
            .target
            .lock()
            .own
            .record_departure(now, name, started);
        log::info!(event = "target_leaves", target_id = name, present; "the target says that it leaves");
        self.0.target_changed(now);
    }

    /// Returns the target that the settings name.
    pub fn target(&self) -> TargetSettings {
        self.0.target_settings.lock().clone()
    }

    /// Takes changed settings of the target.
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
                Kind::Counter => "_total",
                Kind::Gauge => "",
            };
            out.push_str(&format!(
                "briarlug_{name}{suffix} {}\n",
                self.0.metrics.get(*m)
            ));
        }
        self.0.latencies.write_text(&mut out);
        out
    }
}

async fn bind(addr: SocketAddr) -> Result<TcpListener, StartError> {
    TcpListener::bind(addr).await.context(BindSnafu { addr })
}
