//! State that the listeners and actors of a node share.

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

use crate::claims::ClaimKeeper;
use crate::clock::Clock;
use crate::control::Control;
use crate::datagram::Active;
use crate::error::{ClientSnafu, StartError};
use crate::gate::Gate;
use crate::gossip::{Gossip, StartRumour};
use crate::log_end::LogEnd;
use crate::services::Services;
use crate::settings::Settings;
use crate::target::{Phase, Target};

/// Idle connections to one peer; more are closed after use.
const MAX_IDLE_PER_PEER: usize = 64;
const IDLE_TIMEOUT: Duration = Duration::from_secs(65);
const PEER_CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Limits of a target of a service that the text doesn't have (yet).
const UNKNOWN_SERVICE: Limits = Limits {
    slots: 1,
    connections: 1,
    queue: 0,
    cold_start: Duration::ZERO,
};
/// A target needs this long after its start to take its full load.
const COLD_START: Duration = Duration::from_secs(2);

/// Handles of the actors.
#[derive(Debug)]
pub(crate) struct Links {
    pub(crate) gossip: ActorRef<Gossip>,
    pub(crate) control: ActorRef<Control>,
    pub(crate) claims: ActorRef<ClaimKeeper>,
}

/// Counts a request as in progress until dropped.
#[derive(Debug)]
pub(crate) struct InProgress(Arc<AtomicUsize>);

impl Drop for InProgress {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

/// State that the listeners and actors of a node share.
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
    /// Signals that the target's phase or the node's state may have changed.
    pub(crate) local_changed: Notify,
    pub(crate) links: OnceLock<Links>,
    /// Requests of callers and peers whose responses have not ended.
    pub(crate) requests: Arc<AtomicUsize>,
    /// Tasks that outlive the call that started them; joined at shutdown.
    pub(crate) tasks: TaskTracker,
    /// Whether a route to the target's service takes requests that must not be repeated.
    pub(crate) claims_wanted: watch::Sender<bool>,
    /// Live members in scope, as last reported by membership.
    pub(crate) members: ArcSwap<BTreeMap<InstanceId, Record>>,
    /// Those of them that began to take work lately.
    pub(crate) fresh: ArcSwap<BTreeSet<InstanceId>>,
    snapshot: ArcSwap<Snapshot>,
    ready: AtomicBool,
    draining: AtomicBool,
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
            gate: Gate::new(clock, UNKNOWN_SERVICE),
            peer_client: client(PEER_CONNECT_TIMEOUT)?,
            target_client: client(crate::beside::CONNECT_TIMEOUT)?,
            local_changed: Notify::new(),
            links: OnceLock::new(),
            requests: Arc::default(),
            tasks: TaskTracker::new(),
            claims_wanted: watch::Sender::new(false),
            members: ArcSwap::default(),
            fresh: ArcSwap::default(),
            snapshot: ArcSwap::new(snapshot),
            ready: AtomicBool::new(false),
            draining: AtomicBool::new(false),
            quarantine: Mutex::new(Quarantine::new(QuarantineCfg::default())),
            settings,
        }))
    }

    /// Returns the version in force. A request keeps the snapshot that it got here.
    pub(crate) fn snapshot(&self) -> Arc<Snapshot> {
        self.snapshot.load_full()
    }

    /// Returns version and digest in force.
    pub(crate) fn active(&self) -> Active {
        let s = self.snapshot.load();
        Active {
            version: s.version(),
            digest: s.digest(),
        }
    }

    /// Returns the services whose members the node keeps under `snapshot`.
    pub(crate) fn scope(&self, snapshot: &Snapshot) -> Scope {
        match snapshot.scope() {
            config::Scope::All => Scope::All,
            config::Scope::Depends => {
                Scope::Services(snapshot.services_in_scope(&self.settings.service))
            }
        }
    }

    /// Puts a version in force: one pointer is swapped, so each request sees all of it or none.
    pub(crate) fn set_snapshot(&self, next: Arc<Snapshot>) {
        self.services
            .set_scope(&next.services_in_scope(&self.settings.service));
        self.refresh_instances();
        let own = next.service(&self.settings.service);
        self.gate
            .set_limits(own.map_or(UNKNOWN_SERVICE, |s| Limits {
                slots: s.slots,
                connections: s.connections,
                queue: s.queue,
                cold_start: COLD_START,
            }));
        let own_service = &self.settings.service;
        let once = |r: &config::Route| r.service == *own_service && r.repeat == Repeat::Never;
        self.claims_wanted
            .send_replace(next.routes().iter().any(once));
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

    /// Gives the pickers the present members.
    pub(crate) fn refresh_instances(&self) {
        let members = self.members.load();
        let fresh = self.fresh.load();
        // The own state is known here before membership has it.
        let own_state = self.own_state();
        let current = |r: &Record| match r.id == self.id {
            true => Record {
                state: own_state,
                ..r.clone()
            },
            false => r.clone(),
        };
        let instance = |r: &Record| crate::gossip::instance(&current(r), fresh.contains(&r.id));
        let instances: Vec<_> = members.values().map(instance).collect();
        self.services.set_instances(self.clock.now(), &instances);
        self.metrics.set(Metric::Members, members.len() as u64);
    }

    /// Returns the state of the own instance.
    pub(crate) fn own_state(&self) -> member::State {
        match self.target.phase(self.clock.now()) {
            _ if self.is_draining() => member::State::Draining,
            Phase::Draining => member::State::Draining,
            Phase::Up if self.is_ready() => member::State::Ready,
            _ => member::State::Starting,
        }
    }

    /// Acts on a change of the own instance's state.
    pub(crate) fn own_state_changed(&self) {
        self.refresh_instances();
        self.local_changed.notify_one();
    }

    pub(crate) fn set_ready(&self, ready: bool) {
        if self.ready.swap(ready, Ordering::SeqCst) != ready {
            log::info!("node ready={ready} version={}", self.snapshot().version());
            self.metrics.set(Metric::Ready, u64::from(ready));
            self.own_state_changed();
        }
    }

    pub(crate) fn is_ready(&self) -> bool {
        self.ready.load(Ordering::SeqCst)
    }

    pub(crate) fn start_draining(&self) {
        self.draining.store(true, Ordering::SeqCst);
        self.gate.drain();
        self.own_state_changed();
    }

    pub(crate) fn is_draining(&self) -> bool {
        self.draining.load(Ordering::SeqCst)
    }

    pub(crate) fn in_progress(&self) -> InProgress {
        self.requests.fetch_add(1, Ordering::SeqCst);
        InProgress(self.requests.clone())
    }

    /// Refuses requests while the node must not serve.
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
        let quarantined = self.quarantine.lock().is_quarantined(self.clock.now(), fp);
        if quarantined {
            self.metrics.count(Metric::QuarantineRefusals);
        }
        quarantined
    }

    pub(crate) fn quarantined(&self) -> Vec<Fingerprint> {
        self.quarantine.lock().quarantined(self.clock.now())
    }

    pub(crate) fn clear_strikes(&self, fp: Fingerprint) {
        self.quarantine.lock().clear(fp);
    }

    /// Counts a strike heard from another node or made here.
    pub(crate) fn count_strike(&self, fp: Fingerprint, instance: InstanceId, boot: u64) {
        let now = self.clock.now();
        let strike = self
            .quarantine
            .lock()
            .strike(now, fp, instance, Incarnation(boot));
        if strike != Strike::Known {
            self.metrics.count(Metric::Strikes);
        }
        if strike == Strike::Quarantined {
            log::warn!("request quarantined fingerprint={:016x}", fp.0);
        }
    }

    /// Counts a strike of the target beside this node and tells the mesh.
    pub(crate) async fn strike(&self, fp: Fingerprint, boot: u64) {
        self.count_strike(fp, self.id, boot);
        if let Some(links) = self.links.get() {
            let rumour = member::Rumour::Strike {
                fingerprint: fp,
                instance: self.id,
                boot,
            };
            // Gossip has stopped only when the node is about to exit.
            let _ = links.gossip.tell(StartRumour(rumour)).await;
        }
    }

    /// Returns all members in scope, those of unreachable failure domains included.
    pub(crate) async fn all_members(&self) -> Vec<Record> {
        match self.links.get() {
            Some(links) => links
                .gossip
                .ask(crate::gossip::AllMembers)
                .await
                .unwrap_or_default(),
            None => Vec::new(),
        }
    }

    pub(crate) fn target_died(&self) {
        if self.target.phase(self.clock.now()) == Phase::Up {
            log::warn!("target lost");
            self.target.set_phase(Phase::Down);
            self.own_state_changed();
        }
    }
}

fn client(connect_timeout: Duration) -> Result<reqwest::Client, StartError> {
    reqwest::Client::builder()
        .no_proxy()
        .redirect(reqwest::redirect::Policy::none())
        // Repeats are decided by `route` and `claim` only.
        .retry(reqwest::retry::never())
        .connect_timeout(connect_timeout)
        .tcp_nodelay(true)
        .pool_max_idle_per_host(MAX_IDLE_PER_PEER)
        .pool_idle_timeout(IDLE_TIMEOUT)
        .build()
        .context(ClientSnafu)
}
