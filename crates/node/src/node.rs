//! Start and graceful shutdown of a node: its listeners, actors and tasks.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use axum::Router;
use axum::serve::ListenerExt;
use kameo::actor::{ActorRef, Spawn};
use member::{Member, Record};
use ops::{Metrics, Tracer};
use plat::Log;
use snafu::ResultExt;
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::watch;
use tokio::task::JoinSet;
use wire::{Incarnation, Time, Version};

use crate::claims::{self, ClaimActor, ClaimArgs, ClaimTick};
use crate::control::{Control, ControlArgs, ControlTick};
use crate::error::{BindSnafu, MetricsSnafu, StartError, TracesSnafu};
use crate::gossip::{Gossip, GossipArgs, Sender, Tick};
use crate::settings::Settings;
use crate::shared::{Actors, Shared};
use crate::{claim_stream, entry, gossip, local, operator, peers, reader, rpc, target};

/// Interval of the checks for overdue requests: a fifth of the time within which outlier ejection
/// has to remove a slow instance.
const PICKER_POLL_INTERVAL: Duration = Duration::from_millis(100);
const METRICS_FLUSH_INTERVAL: Duration = Duration::from_secs(1);
/// Shortest time for which a draining node keeps its listeners open, so that peers receive the
/// draining state before the node stops.
const LEAVE_GRACE_PERIOD: Duration = Duration::from_millis(500);
/// Time for the tasks to end after `stop` is set. Tasks that remain then are aborted; they hold
/// connections that outlasted the drain timeout.
const TASK_JOIN_TIMEOUT: Duration = Duration::from_secs(3);
/// Pause between checks whether a draining node still has requests in progress.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Addresses on which a node listens, with the ports that the operating system chose.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
    /// Requests of callers (HTTP).
    pub callers: SocketAddr,
    /// Requests forwarded by other nodes (HTTP).
    pub peers: SocketAddr,
    /// Announcements of the target (HTTP, loopback only).
    pub target: SocketAddr,
    /// Joins, member tables and configuration texts between nodes (tarpc).
    pub rpc: SocketAddr,
    /// Membership and version announcements (UDP).
    pub gossip: SocketAddr,
    /// Health and state for operators (HTTP).
    pub operator: SocketAddr,
}

/// A running node.
#[derive(Debug)]
pub struct Node {
    shared: Arc<Shared>,
    addresses: Addresses,
    /// Stops listeners and tasks when set to true; listeners let requests in progress end.
    stop: watch::Sender<bool>,
    tasks: JoinSet<()>,
}

struct Listeners {
    callers: TcpListener,
    peers: TcpListener,
    target: TcpListener,
    rpc: TcpListener,
    operator: TcpListener,
    gossip: Arc<UdpSocket>,
}

impl Listeners {
    async fn new(s: &Settings) -> Result<Listeners, StartError> {
        // The target runs on the same instance, so no other host may reach its listener.
        let loopback: IpAddr = if s.address.is_loopback() {
            s.address
        } else {
            [127, 0, 0, 1].into()
        };
        Ok(Listeners {
            callers: bind_tcp("callers", (s.address, s.ports.callers).into()).await?,
            peers: bind_tcp("peers", (s.address, s.ports.peers).into()).await?,
            target: bind_tcp("target", (loopback, s.ports.target).into()).await?,
            rpc: bind_tcp("rpc", (s.address, s.ports.rpc).into()).await?,
            operator: bind_tcp("operator", (s.address, s.ports.operator).into()).await?,
            gossip: bind_udp((s.address, s.ports.gossip).into()).await?,
        })
    }

    fn addresses(&self) -> std::io::Result<Addresses> {
        Ok(Addresses {
            callers: self.callers.local_addr()?,
            peers: self.peers.local_addr()?,
            target: self.target.local_addr()?,
            rpc: self.rpc.local_addr()?,
            gossip: self.gossip.local_addr()?,
            operator: self.operator.local_addr()?,
        })
    }
}

async fn bind_tcp(what: &'static str, addr: SocketAddr) -> Result<TcpListener, StartError> {
    TcpListener::bind(addr)
        .await
        .context(BindSnafu { what, addr })
}

async fn bind_udp(addr: SocketAddr) -> Result<Arc<UdpSocket>, StartError> {
    let socket = UdpSocket::bind(addr).await.context(BindSnafu {
        what: "gossip",
        addr,
    })?;
    Ok(Arc::new(socket))
}

impl Node {
    /// Binds the listeners and starts the node. The node refuses requests until it has a recent
    /// enough configuration.
    ///
    /// # Errors
    ///
    /// Fails if an address can't be bound, or an exporter or an HTTP client can't be set up.
    pub async fn start(settings: Settings, log: Arc<dyn Log>) -> Result<Node, StartError> {
        let metrics = Arc::new(Metrics::new(settings.statsd).context(MetricsSnafu)?);
        let tracer = match &settings.trace {
            Some(cfg) => Tracer::new(cfg).context(TracesSnafu)?,
            None => Tracer::disabled(),
        };
        let listeners = Listeners::new(&settings).await?;
        let at = SocketAddr::new(settings.address, 0);
        let addresses = listeners.addresses().context(BindSnafu {
            what: "addresses",
            addr: at,
        })?;
        let shared = Shared::new(settings, log, metrics, tracer)?;
        let (stop, stopped) = watch::channel(false);
        let mut node = Node {
            shared,
            addresses,
            stop,
            tasks: JoinSet::new(),
        };
        node.start_actors(&listeners, &stopped);
        node.start_listeners(listeners, &stopped);
        Ok(node)
    }

    /// Returns the addresses on which the node listens.
    pub fn addresses(&self) -> Addresses {
        self.addresses
    }

    /// Returns whether the node has a configuration that is recent enough to serve requests.
    pub fn is_ready(&self) -> bool {
        self.shared.is_ready()
    }

    /// Returns the configuration version in force.
    pub fn version(&self) -> Version {
        self.shared.snapshot().version()
    }

    /// Returns the number of live, reachable members in scope, this node included.
    pub fn live_member_count(&self) -> usize {
        self.shared.members.load().len()
    }

    /// Returns the number of live, reachable members in scope that take requests, this node included.
    pub fn ready_member_count(&self) -> usize {
        let members = self.shared.members.load();
        members
            .values()
            .filter(|r| r.state == member::State::Ready)
            .count()
    }

    /// Returns the bytes of control traffic sent since the start, over UDP and tarpc.
    pub fn control_bytes_sent(&self) -> u64 {
        self.shared.metrics.get(ops::Metric::ControlBytesOut)
    }

    /// Returns the state of the node and its view of the mesh, as served at `/state`.
    pub async fn report(&self) -> operator::StateReport {
        operator::state_report(&self.shared).await
    }

    /// Shuts down gracefully: refuses new requests, waits up to the drain timeout for requests in
    /// progress, then joins all tasks.
    pub async fn shutdown(mut self) {
        log::info!(
            "node draining: refusing new requests until those in progress end or the drain timeout passes"
        );
        self.shared.start_draining();
        let drain = tokio::time::timeout(
            self.shared.settings.drain_timeout,
            self.wait_until_drained(),
        );
        if drain.await.is_err() {
            log::warn!("drain timeout passed; aborting the requests still in progress");
        }
        if let Some(actors) = self.shared.actors.get() {
            let _ = actors.gossip.ask(gossip::Leave).await;
        }
        let _ = self.stop.send(true);
        self.stop_actors().await;
        self.shared.tasks.close();
        if tokio::time::timeout(TASK_JOIN_TIMEOUT, join_all(&mut self.tasks))
            .await
            .is_err()
        {
            self.tasks.shutdown().await;
        }
        let tracer = self.shared.tracer.clone();
        // The exporter blocks while it sends the remaining spans.
        let _ = tokio::task::spawn_blocking(move || tracer.shutdown()).await;
        self.shared.metrics.flush();
        log::info!("node stopped");
    }

    async fn wait_until_drained(&self) {
        tokio::time::sleep(LEAVE_GRACE_PERIOD).await;
        while self.shared.requests.load(Ordering::SeqCst) > 0 || !self.shared.gate.is_idle() {
            tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
        }
        self.shared.tasks.close();
        self.shared.tasks.wait().await;
    }

    async fn stop_actors(&self) {
        let Some(actors) = self.shared.actors.get() else {
            return;
        };
        stop_actor(&actors.claims).await;
        stop_actor(&actors.control).await;
        stop_actor(&actors.gossip).await;
    }

    fn start_actors(&mut self, listeners: &Listeners, stopped: &watch::Receiver<bool>) {
        let s = &self.shared;
        let sender = Sender::new(listeners.gossip.clone(), &s.settings, s.metrics.clone());
        let seed = s.settings.random_seed ^ s.id.0;
        let (gossip_wake, control_wake, claim_wake) = (
            watch::Sender::new(Time::MAX),
            watch::Sender::new(Time::MAX),
            watch::Sender::new(Time::MAX),
        );
        let follow = claims::follow_channels();
        let followers: Vec<_> = follow.iter().map(watch::Sender::subscribe).collect();
        let (gossip_due, control_due, claim_due) = (
            gossip_wake.subscribe(),
            control_wake.subscribe(),
            claim_wake.subscribe(),
        );

        let (read_log, reading) = watch::channel(false);
        let control = Control::spawn(ControlArgs {
            shared: s.clone(),
            sender: sender.clone(),
            wake: control_wake,
            read_log,
        });
        let gossip = Gossip::spawn(GossipArgs {
            shared: s.clone(),
            member: Member::new(member::Config::default(), self.own_record(), seed),
            sender,
            wake: gossip_wake,
        });
        let claims = ClaimActor::spawn(ClaimArgs {
            shared: s.clone(),
            wake: claim_wake,
            follow,
        });
        let actors = Actors {
            gossip: gossip.clone(),
            control: control.clone(),
            claims: claims.clone(),
        };
        let _ = s.actors.set(actors);

        let (shared, stop) = (self.shared.clone(), stopped);
        let clock = shared.clock;
        let g = gossip.clone();
        self.tasks.spawn(run_timer(
            clock,
            gossip_due,
            stop.clone(),
            async move || {
                let _ = g.tell(Tick).await;
            },
        ));
        let c = control.clone();
        self.tasks.spawn(run_timer(
            clock,
            control_due,
            stop.clone(),
            async move || {
                let _ = c.tell(ControlTick).await;
            },
        ));
        let k = claims.clone();
        self.tasks
            .spawn(run_timer(clock, claim_due, stop.clone(), async move || {
                let _ = k.tell(ClaimTick).await;
            }));
        for (i, follower) in followers.into_iter().enumerate() {
            let claim_actor = claims.clone();
            self.tasks.spawn(claim_stream::read_stream(
                shared.clone(),
                claim_actor,
                i,
                follower,
                stop.clone(),
            ));
        }
        self.tasks.spawn(reader::read_log(
            shared.clone(),
            control,
            reading,
            stop.clone(),
        ));
        self.tasks.spawn(gossip::receive(
            shared.clone(),
            listeners.gossip.clone(),
            stop.clone(),
        ));
        self.tasks
            .spawn(local::report_changes(shared.clone(), stop.clone()));
        self.tasks
            .spawn(shared.gate.clone().run_timer(stop.clone()));
        self.tasks.spawn(poll_pickers(shared.clone(), stop.clone()));
        self.tasks.spawn(flush_metrics(shared, stop.clone()));
    }

    fn start_listeners(&mut self, listeners: Listeners, stopped: &watch::Receiver<bool>) {
        let s = &self.shared;
        let entry = entry::router(s.clone());
        let peers = peers::router(s.clone());
        let target = target::router(s.clone());
        let operator = operator::router(s.clone());
        self.tasks
            .spawn(serve(listeners.callers, entry, stopped.clone()));
        self.tasks
            .spawn(serve(listeners.peers, peers, stopped.clone()));
        self.tasks
            .spawn(serve(listeners.target, target, stopped.clone()));
        self.tasks
            .spawn(serve(listeners.operator, operator, stopped.clone()));
        self.tasks.spawn(rpc::serve(
            self.shared.clone(),
            listeners.rpc,
            stopped.clone(),
        ));
    }

    fn own_record(&self) -> Record {
        let s = &self.shared.settings;
        Record {
            id: self.shared.id,
            name: s.name.as_str().into(),
            incarnation: first_incarnation(),
            service: s.service.clone(),
            region: s.region.as_str().into(),
            domain: s.domain.clone(),
            gossip: self.addresses.gossip,
            rpc: self.addresses.rpc,
            data: self.addresses.peers,
            state: member::State::Starting,
            version: Version(0),
            digest_prefix: 0,
            slots: 1,
        }
    }
}

/// Returns the incarnation with which this node starts: the Unix time in seconds. The number is
/// above those that the node used before a restart, which saves a refutation. If the clock was set
/// back, one refutation is needed and nothing else.
fn first_incarnation() -> Incarnation {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    Incarnation(since_epoch.as_secs())
}

async fn join_all(tasks: &mut JoinSet<()>) {
    while tasks.join_next().await.is_some() {}
}

async fn stop_actor<A: kameo::Actor>(actor: &ActorRef<A>) {
    let _ = actor.stop_gracefully().await;
    actor.wait_for_shutdown().await;
}

/// Calls `tick` whenever the time in `due` is reached, until `stop`.
async fn run_timer(
    clock: crate::clock::Clock,
    mut due: watch::Receiver<Time>,
    mut stop: watch::Receiver<bool>,
    tick: impl AsyncFn(),
) {
    while !*stop.borrow() {
        let at = *due.borrow_and_update();
        tokio::select! {
            () = tokio::time::sleep_until(clock.to_tokio_instant(at)) => {
                tick().await;
                // The actor sets the next due time while it handles the tick.
                tokio::select! {
                    _ = due.changed() => {}
                    _ = stop.changed() => {}
                }
            }
            _ = due.changed() => {}
            _ = stop.changed() => {}
        }
    }
}

async fn serve(listener: TcpListener, app: Router, mut stop: watch::Receiver<bool>) {
    let listener = listener.tap_io(|tcp| {
        let _ = tcp.set_nodelay(true);
    });
    let app = app.into_make_service_with_connect_info::<SocketAddr>();
    let stopped = async move {
        let _ = stop.wait_for(|s| *s).await;
    };
    if let Err(e) = axum::serve(listener, app)
        .with_graceful_shutdown(stopped)
        .await
    {
        log::error!(
            "HTTP listener failed; its address is not served until the node restarts error={e}"
        );
    }
}

async fn poll_pickers(shared: Arc<Shared>, mut stop: watch::Receiver<bool>) {
    while !*stop.borrow() {
        let now = shared.clock.now();
        for service in shared.services.all().values() {
            service.check_overdue(now);
        }
        let _ = tokio::time::timeout(PICKER_POLL_INTERVAL, stop.changed()).await;
    }
}

async fn flush_metrics(shared: Arc<Shared>, mut stop: watch::Receiver<bool>) {
    while !*stop.borrow() {
        let load = shared.gate.load();
        shared
            .metrics
            .set(ops::Metric::InFlight, load.in_flight.into());
        shared.metrics.set(ops::Metric::Queued, load.queued.into());
        operator::refresh_metrics(&shared).await;
        shared.metrics.flush();
        let _ = tokio::time::timeout(METRICS_FLUSH_INTERVAL, stop.changed()).await;
    }
}
