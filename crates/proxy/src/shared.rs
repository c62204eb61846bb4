//! State shared by the tasks of a node. Locks are held briefly, never across an await.

use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, OnceLock, Weak};
use std::time::Duration;

use admit::{Departure, JobEvent, JobKey, LinkLoad, QueueState, TargetQueue};
use member::{OwnTarget, TargetIncarnation};
use memory::Account;
use ops::{Metric, Metrics};
use parking_lot::Mutex;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rollout::Admission;
use route::{
    AttemptAges, Quarantine, QuarantineCfg, RouteAverages, SharedBudgetCfg, SharedBudgets, Splitter,
};
use slotmap::SecondaryMap;
use tokio::sync::{Notify, mpsc, oneshot, watch};
use tokio_util::task::TaskTracker;
use usage::{Ledger, LocalUsage, Tallies};
use wire::{Fingerprint, Refusal, ServiceName, Time};

use crate::clock::Clock;
use crate::connections::Connections;
use crate::freshness::Freshness;
use crate::latency::Latencies;
use crate::message::{Call, DepartedIncarnation, Status};
use crate::outbox::Outbox;
use crate::peers::{PeerKey, Peers};
use crate::readers::{self, ReaderLiveness};
use crate::rollouts::Rollouts;
use crate::settings::{Settings, TargetSettings};
use crate::transfer::{Inbox, Uploads};
use crate::upstream::Upstream;
use crate::versions::Versions;

/// Slots assumed until the target has reported its own number.
const INITIAL_SLOTS: u32 = 1;
/// Lifecycle phase of a node; each phase follows the one before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Phase {
    /// Starts or serves.
    Serving,
    /// Not ready any more, but still accepts requests.
    Leaving,
    /// Asks callers to close their connections.
    Closing,
    /// Refuses new requests.
    Refusing,
    /// Ends the requests in progress with an error response, since the grace period is nearly over.
    Aborting,
    /// All tasks end.
    Stopped,
}

/// State of this node's target.
#[derive(Debug)]
pub(crate) struct TargetSide {
    pub(crate) own: OwnTarget,
    pub(crate) queue: TargetQueue,
    /// Notifies each queued request that it has got a slot or is refused.
    pub(crate) waiters: SecondaryMap<JobKey, oneshot::Sender<Result<(), Refusal>>>,
    /// Requests that hold a slot; they are suspects if the target dies.
    pub(crate) running: SecondaryMap<JobKey, Arc<Call>>,
    /// When the target last responded or was last probed with a connection.
    pub(crate) last_response_at: Time,
}

/// The state of a node.
pub(crate) struct Shared {
    pub(crate) settings: Settings,
    pub(crate) clock: Clock,
    /// Random number drawn at the start of the process.
    pub(crate) boot_id: u64,
    pub(crate) versions: Versions,
    pub(crate) peers: Mutex<Peers>,
    pub(crate) target: Mutex<TargetSide>,
    pub(crate) target_settings: Mutex<TargetSettings>,
    pub(crate) upstream: Upstream,
    pub(crate) splitter: Mutex<Splitter>,
    pub(crate) attempt_ages: Mutex<AttemptAges>,
    pub(crate) route_averages: Mutex<RouteAverages>,
    retry_budgets: Mutex<SharedBudgets>,
    /// See [`Shared::set_registered`].
    is_registered: AtomicBool,
    pub(crate) quarantine: Mutex<Quarantine>,
    pub(crate) rng: Mutex<SmallRng>,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) latencies: Latencies,
    pub(crate) phase: watch::Sender<Phase>,
    /// Set once, when the node begins to shut down.
    departure: OnceLock<Departure>,
    /// Peers that have become known and need a connection.
    pub(crate) new_peers: mpsc::UnboundedSender<PeerKey>,
    /// Wakes the task that announces a changed status to the peers.
    pub(crate) status_changed: Notify,
    /// Wakes the task that asks peers for a newer version.
    pub(crate) version_behind: Notify,
    /// When a reader whose reads of the log succeed last announced itself.
    pub(crate) reader_liveness: Mutex<ReaderLiveness>,
    /// Whether this node's own reads of versions succeed.
    pub(crate) is_log_readable: AtomicBool,
    /// Departed incarnations of this node's target that the log has recorded.
    pub(crate) recorded_departures: watch::Sender<Vec<DepartedIncarnation>>,
    /// Wakes the task that records departures.
    pub(crate) departures_changed: Notify,
    /// Wakes the task that queries the target's health endpoint.
    pub(crate) health_check_due: Notify,
    /// Number of times that a probe found the target dead with requests in its slots.
    pub(crate) target_losses: watch::Sender<u64>,
    /// Short tasks, such as announcements to peers.
    pub(crate) tasks: TaskTracker,
    /// Sequence number of the last status.
    sequence: AtomicU64,
    /// Memory that is held for callers, the target, peers and the log.
    pub(crate) memory: Arc<Account>,
    /// The connections of callers.
    pub(crate) connections: Arc<Connections>,
    /// Responses that peers may fetch.
    pub(crate) outbox: Outbox,
    /// Large responses on this node's link.
    pub(crate) link_load: Mutex<LinkLoad>,
    /// Newest version that a peer has announced.
    pub(crate) newest_announced: AtomicU64,
    /// Since when this node has to hear from the others before it trusts the log alone.
    pub(crate) settling_since: Mutex<Time>,
    /// When the table in force was last known to be the newest.
    pub(crate) freshness: Mutex<Freshness>,
    /// Usage of organisations at this node, and that of all nodes if this one adds it up.
    pub(crate) usage: Mutex<LocalUsage>,
    pub(crate) usage_ledger: Mutex<Ledger>,
    pub(crate) tallies: Mutex<Tallies>,
    /// Bodies that peers have announced and whose requests have not started.
    pub(crate) uploads: Arc<Uploads>,
    /// Those bodies, by connection of a peer.
    inboxes: Mutex<Vec<Weak<Inbox>>>,
    /// `None` if the operators of the deployment order no roll-outs.
    pub(crate) rollouts: Option<Rollouts>,
    /// Number of the next body upload to a peer.
    transfers: AtomicU64,
    /// Requests of callers whose response is not completely written.
    pub(crate) requests_in_progress: AtomicUsize,
}

impl std::fmt::Debug for Shared {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Shared")
            .field("name", &self.settings.name)
            .field("version", &self.versions.number())
            .finish_non_exhaustive()
    }
}

impl Shared {
    pub(crate) fn new(
        settings: Settings,
        metrics: Arc<Metrics>,
        new_peers: mpsc::UnboundedSender<PeerKey>,
    ) -> Arc<Shared> {
        let mut rng = SmallRng::from_rng(&mut rand::rng());
        let boot_id = rng.next_u64();
        Arc::new(Shared {
            clock: Clock,
            boot_id,
            versions: Versions::new(settings.source.decode),
            peers: Mutex::default(),
            target: Mutex::new(TargetSide {
                own: OwnTarget::new(),
                queue: TargetQueue::new(INITIAL_SLOTS),
                waiters: SecondaryMap::new(),
                running: SecondaryMap::new(),
                last_response_at: Time::ZERO,
            }),
            target_settings: Mutex::new(settings.target.clone()),
            upstream: Upstream::new(settings.target.addr),
            splitter: Mutex::default(),
            attempt_ages: Mutex::default(),
            route_averages: Mutex::default(),
            retry_budgets: Mutex::new(SharedBudgets::new(SharedBudgetCfg {
                ratio: settings.bounds.retry_ratio,
                window: settings.bounds.retry_window,
                slack: settings.bounds.retry_slack,
            })),
            is_registered: AtomicBool::new(false),
            quarantine: Mutex::new(Quarantine::new(quarantine_cfg(&mut rng))),
            rng: Mutex::new(rng),
            metrics,
            latencies: Latencies::default(),
            phase: watch::Sender::new(Phase::Serving),
            departure: OnceLock::new(),
            new_peers,
            status_changed: Notify::new(),
            version_behind: Notify::new(),
            reader_liveness: Mutex::default(),
            is_log_readable: AtomicBool::new(false),
            recorded_departures: watch::Sender::new(Vec::new()),
            departures_changed: Notify::new(),
            health_check_due: Notify::new(),
            target_losses: watch::Sender::new(0),
            tasks: TaskTracker::new(),
            sequence: AtomicU64::new(0),
            memory: settings.memory.clone(),
            connections: Connections::new(settings.bounds.max_callers),
            outbox: Outbox::default(),
            link_load: Mutex::default(),
            newest_announced: AtomicU64::new(0),
            settling_since: Mutex::new(Clock.now()),
            freshness: Mutex::default(),
            usage: Mutex::default(),
            usage_ledger: Mutex::default(),
            tallies: Mutex::default(),
            uploads: Arc::default(),
            inboxes: Mutex::default(),
            rollouts: settings.rollouts.clone().map(Rollouts::new),
            transfers: AtomicU64::new(0),
            requests_in_progress: AtomicUsize::new(0),
            settings,
        })
    }

    /// Returns a number for a body upload that is unique in this process.
    pub(crate) fn next_transfer_id(&self) -> u64 {
        self.transfers.fetch_add(1, Ordering::Relaxed)
    }

    /// Returns whether there is memory for requests that wait for earlier ones of their caller.
    pub(crate) fn may_read_ahead(&self) -> bool {
        self.memory.is_half_free()
    }

    /// Adds the bodies that are uploaded on a connection of a peer.
    pub(crate) fn add_inbox(&self, inbox: &Arc<Inbox>) {
        let mut all = self.inboxes.lock();
        all.retain(|i| i.strong_count() > 0);
        all.push(Arc::downgrade(inbox));
    }

    /// Drops the bodies that were left by the peer that uploads or fetches them.
    pub(crate) fn drop_idle_bodies(&self, now: Time) {
        self.outbox.drop_idle(now);
        for inbox in self.inboxes.lock().iter().filter_map(Weak::upgrade) {
            inbox.drop_idle(now);
        }
    }

    pub(crate) fn now(&self) -> Time {
        self.clock.now()
    }

    pub(crate) fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    /// Begins the shutdown, in which the requests in progress are aborted at `abort_at`.
    pub(crate) fn begin_departure(&self, abort_at: Time) {
        // A second shutdown of the same node changes nothing.
        let _ = self.departure.set(Departure::new(abort_at));
        self.phase.send_replace(Phase::Leaving);
    }

    /// Returns the end of the node's requests; `None` unless it shuts down.
    pub(crate) fn departure(&self) -> Option<Departure> {
        self.departure.get().copied()
    }

    pub(crate) fn service(&self) -> ServiceName {
        self.target_settings.lock().service.clone()
    }

    /// Returns whether callers may send requests to this node.
    pub(crate) fn is_ready(&self) -> bool {
        self.phase() == Phase::Serving && self.versions.number() > 0
    }

    /// Returns the state of the target's queue; with zero slots while the target takes no requests.
    pub(crate) fn own_queue(&self, now: Time) -> QueueState {
        let mut state = {
            let target = self.target.lock();
            let mut state = target.queue.state(now);
            if target.own.usable_report().is_none() {
                state.load.slots = 0;
            }
            state
        };
        state.load.slots = self.released_slots(now, state.load.slots);
        state
    }

    /// Returns the queue state for peers: with zero slots while this node shuts down, so that peers
    /// send no more requests, and with the announced bodies counted as queued.
    pub(crate) fn queue_for_peers(&self, now: Time) -> QueueState {
        let mut state = self.own_queue(now);
        if self.phase() != Phase::Serving {
            state.load.slots = 0;
        }
        let announced = u32::try_from(self.uploads.bodies()).unwrap_or(u32::MAX);
        state.load.queued = state.load.queued.saturating_add(announced);
        state
    }

    /// Returns this node's status under a new sequence number.
    pub(crate) fn status(&self, now: Time) -> Status {
        let departed = self.departed_incarnations();
        Status {
            link: self.settings.peer_addr,
            boot_id: self.boot_id,
            sequence: self.sequence.fetch_add(1, Ordering::Relaxed) + 1,
            domain: self.settings.domain.clone(),
            service: self.service(),
            version: self.versions.number(),
            log_restores: self.settings.source.log.restores().count(),
            link_mbps: self.settings.link_mbps,
            is_leaving: self.phase() != Phase::Serving,
            queue: self.queue_for_peers(now).into(),
            departed,
        }
    }

    /// Returns the departed incarnations of this node's target.
    pub(crate) fn departed_incarnations(&self) -> Vec<DepartedIncarnation> {
        let target = self.target.lock();
        let departed = target.own.departed();
        let to_message = |(name, started): (&str, _)| DepartedIncarnation {
            name: name.to_owned(),
            started,
        };
        departed.map(to_message).collect()
    }

    /// Adds a peer that has become known and requests a connection to it.
    pub(crate) fn add_peer(&self, link: std::net::SocketAddr) {
        if link == self.settings.peer_addr {
            return;
        }
        let added = self.peers.lock().add(link);
        if let Some(key) = added {
            log::info!(event = "peer_known", link:% = link; "new peer known; connecting to it");
            self.metrics
                .set(Metric::Members, self.peers.lock().len() as u64 + 1);
            // The receiver is dropped when the node stops.
            let _ = self.new_peers.send(key);
        }
    }

    /// Starts queued requests for which a slot is free and notifies those that are refused.
    pub(crate) fn settle(&self, now: Time) {
        let mut target = self.target.lock();
        let events = target.queue.dispatch(now);
        for event in events {
            let (key, result) = match event {
                JobEvent::Run(key) => (key, Ok(())),
                JobEvent::Refuse(key, refusal) => (key, Err(refusal)),
            };
            if let Some(waiter) = target.waiters.remove(key) {
                // If the caller has disconnected, the drop of its `Slot` frees the slot.
                let _ = waiter.send(result);
            }
        }
        self.metrics.set(
            Metric::InFlight,
            target.queue.state(now).load.in_flight.into(),
        );
        self.metrics
            .set(Metric::Queued, target.queue.state(now).load.queued.into());
    }

    /// After a change in the target's state, sets the slots of the queue, opens or closes the
    /// queue, and announces the changed status to the peers.
    pub(crate) fn target_changed(&self, now: Time) {
        let admission = self.admission(now);
        {
            let mut target = self.target.lock();
            let slots = target.own.usable_report().map(|r| match admission {
                Admission::Limited { slots, .. } => r.slots.min(slots),
                Admission::Open | Admission::Closed => r.slots,
            });
            if let Some(slots) = slots {
                target.queue.set_slots(slots);
            }
            let is_open = slots.is_some() && admission != Admission::Closed;
            target.queue.set_open(is_open);
        }
        self.settle(now);
        self.status_changed.notify_one();
    }

    /// Calls `f` with this node's parts of the retry budgets.
    pub(crate) fn with_retry_budgets<T>(
        &self,
        now: Time,
        f: impl FnOnce(&mut SharedBudgets) -> T,
    ) -> T {
        let is_registered = self.is_registered.load(Ordering::Relaxed);
        let node_count = is_registered.then(|| self.peers.lock().len() + 1);
        let mut budgets = self.retry_budgets.lock();
        if let Some(node_count) = node_count {
            budgets.record_nodes(now, node_count);
        }
        f(&mut budgets)
    }

    /// Records that this node has read the registered nodes from the log, so that it knows their
    /// number.
    pub(crate) fn set_registered(&self, now: Time) {
        self.is_registered.store(true, Ordering::Relaxed);
        self.with_retry_budgets(now, |_| ());
    }

    /// Returns whether a request is quarantined because it crashed targets.
    pub(crate) fn is_quarantined(&self, now: Time, fp: impl FnOnce() -> Fingerprint) -> bool {
        let mut quarantine = self.quarantine.lock();
        // The quarantine is nearly always empty; the body need not be hashed then.
        if quarantine.is_empty() {
            return false;
        }
        quarantine.is_quarantined(now, fp())
    }

    /// Returns whether a request that enters the mesh here is refused because requests like it crashed
    /// targets.
    pub(crate) fn must_refuse(&self, now: Time, fp: impl FnOnce() -> Fingerprint) -> bool {
        let mut quarantine = self.quarantine.lock();
        if quarantine.is_empty() {
            return false;
        }
        quarantine.must_refuse(now, fp())
    }

    /// Returns the present incarnation of the target; `None` while the target may get no requests.
    pub(crate) fn target_incarnation(&self) -> Option<TargetIncarnation> {
        self.target
            .lock()
            .own
            .usable_report()
            .map(|r| r.incarnation.clone())
    }

    /// Returns whether this node should read versions from the log: its rank makes it a reader of
    /// its failure domain, or no working reader has announced itself in time.
    pub(crate) fn should_read(&self, now: Time) -> bool {
        let s = &self.settings;
        let own = readers::rank(&s.domain, s.peer_addr, s.link_mbps);
        let peers = self.peers.lock();
        readers::is_reader(own, peers.reader_ranks(&s.domain))
            || !self.reader_liveness.lock().has_working_reader(now)
    }

    /// Waits until a probe finds the target dead the next time.
    pub(crate) async fn wait_for_target_loss(&self) {
        let mut rx = self.target_losses.subscribe();
        // The sender lives as long as `self`.
        let _ = rx.changed().await;
    }

    /// Waits until the node has reached `phase`.
    pub(crate) async fn wait_for_phase(&self, phase: Phase) {
        let mut rx = self.phase.subscribe();
        // The sender lives as long as `self`.
        let _ = rx.wait_for(|p| *p >= phase).await;
    }
}

/// Returns the settings of the quarantine. It ends at a different time at each node: the request that the
/// first one lets through shows the others whether it still crashes targets.
fn quarantine_cfg(rng: &mut SmallRng) -> QuarantineCfg {
    let cfg = QuarantineCfg::default();
    let unit = f64::from(rng.next_u32()) / f64::from(u32::MAX);
    QuarantineCfg {
        duration: cfg.duration.mul_f64(1.0 + unit),
        ..cfg
    }
}

/// Sleeps for `period`, or until the node stops. Returns whether the node is still running.
pub(crate) async fn sleep_unless_stopped(shared: &Shared, period: Duration) -> bool {
    tokio::select! {
        () = tokio::time::sleep(period) => true,
        () = shared.wait_for_phase(Phase::Stopped) => false,
    }
}
