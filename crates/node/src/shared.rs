//! State shared by the listeners and actors of a node.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::sync::OnceLock;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use admit::Limits;
use arc_swap::ArcSwap;
use config::{Repeat, Snapshot};
use kameo::actor::ActorRef;
use member::{Record, Scope};
use ops::{Metric, Metrics, Tracer};
use parking_lot::Mutex;
use plat::Log;
use route::{Quarantine, QuarantineCfg, Strike};
use snafu::ResultExt;
use tokio::sync::{Notify, watch};
use tokio_util::task::TaskTracker;
use wire::{Code, Fingerprint, Incarnation, InstanceId, Refusal};

use crate::claims::ClaimActor;
use crate::clock::Clock;
use crate::control::Control;
use crate::datagram::ActiveVersion;
use crate::error::{ClientSnafu, StartError};
use crate::gate::Gate;
use crate::gossip::{Gossip, StartRumour};
use crate::log_end::LogEnd;
use crate::services::Services;
use crate::settings::Settings;
use crate::target::{Phase, Target};

/// Idle connections kept per peer; more are closed after use.
const MAX_IDLE_CONNECTIONS_PER_PEER: usize = 64;
const IDLE_CONNECTION_TIMEOUT: Duration = Duration::from_secs(65);
const PEER_CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Limits of the target while the active configuration doesn't have its service.
const UNKNOWN_SERVICE_LIMITS: Limits = Limits {
    slots: 1,
    connections: 1,
    queue: 0,
    cold_start: Duration::ZERO,
};
/// Time from the start of a target until it takes its full load.
const COLD_START: Duration = Duration::from_secs(2);

/// Handles of the node's actors.
#[derive(Debug)]
pub(crate) struct Actors {
    pub(crate) gossip: ActorRef<Gossip>,
    pub(crate) control: ActorRef<Control>,
    pub(crate) claims: ActorRef<ClaimActor>,
}

/// Guard that counts a request as in progress until it is dropped.
#[derive(Debug)]
pub(crate) struct InProgress(Arc<AtomicUsize>);

impl Drop for InProgress {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

/// State shared by the listeners and actors of a node.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) id: InstanceId,
    pub(crate) settings: Settings,
    pub(crate) clock: Clock,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) tracer: Tracer,
    pub(crate) log: Arc<dyn Log>,
    pub(crate) log_end: LogEnd,
    pub(crate) services: Services,
    pub(crate) target: Target,
    pub(crate) gate: Arc<Gate>,
    pub(crate) peer_client: reqwest::Client,
    pub(crate) target_client: reqwest::Client,
    /// Wakes [`report_changes`](crate::local::report_changes): the target's phase, the node's state
    /// or the scope may have changed.
    pub(crate) local_changed: Notify,
    /// Unset until the actors have been spawned at the start of the node.
    pub(crate) actors: OnceLock<Actors>,
    /// Number of requests of callers and peers whose responses have not ended.
    pub(crate) requests: Arc<AtomicUsize>,
    /// Detached tasks; joined at shutdown.
    pub(crate) tasks: TaskTracker,
    /// Whether a route to the target's service has `repeat = never`, which needs claims.
    pub(crate) claims_wanted: watch::Sender<bool>,
    /// Live members in scope whose failure domain is reachable, as last published by [`Gossip`].
    pub(crate) members: ArcSwap<BTreeMap<InstanceId, Record>>,
    /// Members in slow start: those that became ready within `FRESH_PERIOD` of `gossip`.
    pub(crate) fresh_instances: ArcSwap<BTreeSet<InstanceId>>,
    snapshot: ArcSwap<Snapshot>,
    is_ready: AtomicBool,
    is_draining: AtomicBool,
    quarantine: Mutex<Quarantine>,
}

impl Shared {
    pub(crate) fn new(
        settings: Settings,
        log: Arc<dyn Log>,
        metrics: Arc<Metrics>,
        tracer: Tracer,
    ) -> Result<Arc<Shared>, StartError> {
        let clock = Clock::new();
        let id = settings.id();
        let seed = settings.random_seed ^ id.0;
        let snapshot = Arc::new(Snapshot::empty(&settings.mesh));
        Ok(Arc::new(Shared {
            id,
            clock,
            metrics,
            tracer,
            log,
            log_end: LogEnd::default(),
            services: Services::new(settings.domain.clone(), id, seed),
            target: Target::default(),
            gate: Gate::new(clock, UNKNOWN_SERVICE_LIMITS),
            peer_client: http_client(PEER_CONNECT_TIMEOUT)?,
            target_client: http_client(crate::target_side::CONNECT_TIMEOUT)?,
            local_changed: Notify::new(),
            actors: OnceLock::new(),
            requests: Arc::default(),
            tasks: TaskTracker::new(),
            claims_wanted: watch::Sender::new(false),
            members: ArcSwap::default(),
            fresh_instances: ArcSwap::default(),
            snapshot: ArcSwap::new(snapshot),
            is_ready: AtomicBool::new(false),
            is_draining: AtomicBool::new(false),
            quarantine: Mutex::new(Quarantine::new(QuarantineCfg::default())),
            settings,
        }))
    }

    /// Returns the configuration in force. A request uses one snapshot from start to end.
    pub(crate) fn snapshot(&self) -> Arc<Snapshot> {
        self.snapshot.load_full()
    }

    /// Returns the version and digest of the configuration in force.
    pub(crate) fn active_version(&self) -> ActiveVersion {
        let s = self.snapshot.load();
        ActiveVersion {
            version: s.version(),
            digest: s.digest(),
        }
    }

    /// Returns the services whose members this node keeps under `snapshot`.
    pub(crate) fn scope(&self, snapshot: &Snapshot) -> Scope {
        match snapshot.scope() {
            config::Scope::All => Scope::All,
            config::Scope::Depends => {
                Scope::Services(snapshot.services_in_scope(&self.settings.service))
            }
        }
    }

    /// Puts a version in force. The snapshot is swapped atomically, so a request never sees parts of
    /// two versions.
    pub(crate) fn set_snapshot(&self, next: Arc<Snapshot>) {
        self.services
            .set_scope(&next.services_in_scope(&self.settings.service));
        self.refresh_instances();
        let own = next.service(&self.settings.service);
        self.gate
            .set_limits(own.map_or(UNKNOWN_SERVICE_LIMITS, |s| Limits {
                slots: s.slots,
                connections: s.connections,
                queue: s.queue,
                cold_start: COLD_START,
            }));
        let own_service = &self.settings.service;
        let needs_claims =
            |r: &config::Route| r.service == *own_service && r.repeat == Repeat::Never;
        self.claims_wanted
            .send_replace(next.routes().iter().any(needs_claims));
        self.metrics.set(Metric::Version, next.version().0);
        self.metrics.count(Metric::VersionsApplied);
        log::info!(
            "config in force version={} digest={}",
            next.version(),
            next.digest()
        );
        self.snapshot.store(next);
        self.local_changed.notify_one();
    }

    /// Updates the pickers with the current members.
    pub(crate) fn refresh_instances(&self) {
        let members = self.members.load();
        let fresh = self.fresh_instances.load();
        // The member record of this node lags behind the node's state, which reaches membership
        // only through `report_changes`.
        let own_state = self.own_state();
        let with_own_state = |r: &Record| match r.id == self.id {
            true => Record {
                state: own_state,
                ..r.clone()
            },
            false => r.clone(),
        };
        let to_instance =
            |r: &Record| crate::gossip::to_instance(&with_own_state(r), fresh.contains(&r.id));
        let instances: Vec<_> = members.values().map(to_instance).collect();
        self.services.set_instances(self.clock.now(), &instances);
        self.metrics.set(Metric::Members, members.len() as u64);
    }

    /// Returns the membership state of the own instance, derived from the phases of node and target.
    pub(crate) fn own_state(&self) -> member::State {
        match self.target.phase(self.clock.now()) {
            _ if self.is_draining() => member::State::Draining,
            Phase::Draining => member::State::Draining,
            Phase::Up if self.is_ready() => member::State::Ready,
            _ => member::State::Starting,
        }
    }

    /// Passes a change of the own instance's state to the pickers and to membership.
    pub(crate) fn publish_own_state(&self) {
        self.refresh_instances();
        self.local_changed.notify_one();
    }

    pub(crate) fn set_ready(&self, ready: bool) {
        if self.is_ready.swap(ready, Ordering::SeqCst) != ready {
            log::info!("node ready={ready} version={}", self.snapshot().version());
            self.metrics.set(Metric::Ready, u64::from(ready));
            self.publish_own_state();
        }
    }

    pub(crate) fn is_ready(&self) -> bool {
        self.is_ready.load(Ordering::SeqCst)
    }

    pub(crate) fn start_draining(&self) {
        self.is_draining.store(true, Ordering::SeqCst);
        self.gate.drain();
        self.publish_own_state();
    }

    pub(crate) fn is_draining(&self) -> bool {
        self.is_draining.load(Ordering::SeqCst)
    }

    /// Counts a request as in progress for as long as the returned guard exists.
    pub(crate) fn in_progress(&self) -> InProgress {
        self.requests.fetch_add(1, Ordering::SeqCst);
        InProgress(self.requests.clone())
    }

    /// Returns a refusal while the node is draining or has no recent enough configuration.
    pub(crate) fn check_serving(&self) -> Result<(), Refusal> {
        if self.is_draining() {
            return Err(Code::Draining.into());
        }
        if !self.is_ready() {
            return Err(Code::NotReady.into());
        }
        Ok(())
    }

    pub(crate) fn is_quarantined(&self, fp: Fingerprint) -> bool {
        let is_quarantined = self.quarantine.lock().is_quarantined(self.clock.now(), fp);
        if is_quarantined {
            self.metrics.count(Metric::QuarantineRefusals);
        }
        is_quarantined
    }

    pub(crate) fn quarantined_fingerprints(&self) -> Vec<Fingerprint> {
        self.quarantine.lock().quarantined(self.clock.now())
    }

    pub(crate) fn clear_strikes(&self, fp: Fingerprint) {
        self.quarantine.lock().clear(fp);
    }

    /// Counts a strike, received from a peer or issued here.
    pub(crate) fn record_strike(&self, fp: Fingerprint, instance: InstanceId, incarnation: u64) {
        let now = self.clock.now();
        let strike = self
            .quarantine
            .lock()
            .strike(now, fp, instance, Incarnation(incarnation));
        if strike != Strike::Known {
            self.metrics.count(Metric::Strikes);
        }
        if strike == Strike::Quarantined {
            log::warn!(
                "request quarantined: requests with this fingerprint are refused after repeated target crashes fingerprint={:016x}",
                fp.0
            );
        }
    }

    /// Counts a strike for a crash of this node's target and announces it to the mesh.
    pub(crate) async fn issue_strike(&self, fp: Fingerprint, incarnation: u64) {
        self.record_strike(fp, self.id, incarnation);
        if let Some(actors) = self.actors.get() {
            let rumour = member::Rumour::Strike {
                fingerprint: fp,
                instance: self.id,
                incarnation,
            };
            // Sending fails only after the gossip actor has stopped, when the node is about to exit.
            let _ = actors.gossip.tell(StartRumour(rumour)).await;
        }
    }

    /// Returns all members in scope, including those of unreachable failure domains.
    pub(crate) async fn all_members(&self) -> Vec<Record> {
        match self.actors.get() {
            Some(actors) => actors
                .gossip
                .ask(crate::gossip::GetAllMembers)
                .await
                .unwrap_or_default(),
            None => Vec::new(),
        }
    }

    /// Sets the phase of a target that is up to down, after a liveness check found the target dead.
    pub(crate) fn mark_target_lost(&self) {
        if self.target.phase(self.clock.now()) == Phase::Up {
            log::warn!(
                "target lost: its address accepts no connections; the target is down until it announces itself again"
            );
            self.target.set_phase(Phase::Down);
            self.publish_own_state();
        }
    }
}

fn http_client(connect_timeout: Duration) -> Result<reqwest::Client, StartError> {
    reqwest::Client::builder()
        .no_proxy()
        .redirect(reqwest::redirect::Policy::none())
        // Only `route` and `claim` decide about retries.
        .retry(reqwest::retry::never())
        .connect_timeout(connect_timeout)
        .tcp_nodelay(true)
        .pool_max_idle_per_host(MAX_IDLE_CONNECTIONS_PER_PEER)
        .pool_idle_timeout(IDLE_CONNECTION_TIMEOUT)
        .build()
        .context(ClientSnafu)
}
