//! Actor around the [`Member`] state machine: sends and receives datagrams, publishes the member
//! view and spreads rumours (strikes, which gossip carries to all members).

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use kameo::Actor;
use kameo::actor::ActorRef;
use kameo::message::{Context, Message};
use member::{Action, Change, Event, JoinAnswer, LocalState, Member, Record, Rumour, Scope, Table};
use ops::{Metric, Metrics};
use rand::rngs::Xoshiro256PlusPlus;
use rand::{RngExt, SeedableRng};
use route::InstanceView;
use spread::Origin;
use tokio::net::UdpSocket;
use tokio::sync::watch;
use wire::{Code, Incarnation, InstanceId, KeyRing, MAX_DATAGRAM_BYTES, SealError, Time, Version};

use crate::control::{PeersChanged, VersionReport};
use crate::datagram::Datagram;
use crate::rpc::{self, JoinReply, JoinRequest};
use crate::services::Instance;
use crate::settings::{NetworkFaults, Settings};
use crate::shared::Shared;

/// Slow start: an instance that became ready less than this long ago gets its share of requests
/// gradually.
const FRESH_PERIOD: Duration = Duration::from_secs(5);
/// An instance discovered within this time after this node's start counts as established, because
/// the instance may have been ready for long.
const STARTUP_PERIOD: Duration = Duration::from_secs(5);

/// Seals, counts and sends datagrams.
#[derive(Clone, Debug)]
pub(crate) struct Sender {
    socket: Arc<UdpSocket>,
    keys: KeyRing,
    metrics: Arc<Metrics>,
    faults: NetworkFaults,
    rng: Xoshiro256PlusPlus,
}

impl Sender {
    pub(crate) fn new(
        socket: Arc<UdpSocket>,
        settings: &Settings,
        metrics: Arc<Metrics>,
    ) -> Sender {
        Sender {
            socket,
            keys: settings.keys.clone(),
            metrics,
            faults: settings.faults.clone(),
            rng: Xoshiro256PlusPlus::seed_from_u64(settings.random_seed ^ settings.id().0),
        }
    }

    /// Sends without blocking. A datagram is dropped if the socket buffer is full; the protocols
    /// tolerate lost datagrams.
    pub(crate) fn send(&mut self, to: SocketAddr, datagram: &Datagram) {
        let Ok(buf) = self.keys.seal(datagram) else {
            self.metrics.count(Metric::DroppedOversized);
            return;
        };
        let is_dropped =
            self.faults.datagram_loss > 0.0 && self.rng.random_bool(self.faults.datagram_loss);
        if is_dropped || self.faults.is_cut(to) {
            return;
        }
        if self.socket.try_send_to(&buf, to).is_ok() {
            self.metrics.count(Metric::DatagramsOut);
            self.metrics.add(Metric::ControlBytesOut, buf.len() as u64);
        }
    }
}

/// Membership actor: the only owner of the [`Member`] state machine.
#[derive(Debug)]
pub(crate) struct Gossip {
    shared: Arc<Shared>,
    member: Member,
    sender: Sender,
    wake: watch::Sender<Time>,
    /// Incarnation of each ready instance, and the time at which this node first saw that
    /// incarnation ready; `None` if the instance counts as established.
    ready_since: BTreeMap<InstanceId, (Incarnation, Option<Time>)>,
}

/// Arguments of [`Gossip`].
pub(crate) struct GossipArgs {
    pub(crate) shared: Arc<Shared>,
    pub(crate) member: Member,
    pub(crate) sender: Sender,
    /// Receives the time at which the next [`Tick`] is due.
    pub(crate) wake: watch::Sender<Time>,
}

impl Actor for Gossip {
    type Args = GossipArgs;
    type Error = std::convert::Infallible;

    async fn on_start(args: GossipArgs, _: ActorRef<Self>) -> Result<Self, Self::Error> {
        let GossipArgs {
            shared,
            member,
            sender,
            wake,
        } = args;
        let mut gossip = Gossip {
            shared,
            member,
            sender,
            wake,
            ready_since: BTreeMap::new(),
        };
        gossip.handle_event(Event::Tick).await;
        Ok(gossip)
    }
}

impl Gossip {
    async fn handle_event(&mut self, event: Event) {
        let now = self.shared.clock.now();
        let actions = self.member.handle(now, event);
        self.perform(actions).await;
    }

    async fn perform(&mut self, actions: Vec<Action>) {
        let mut is_view_changed = false;
        for action in actions {
            match action {
                Action::Send { to, msg } => {
                    let active = self.shared.active_version();
                    self.sender.send(to, &Datagram::Member { msg, active });
                }
                Action::Changed(change) => {
                    is_view_changed = true;
                    log_change(&change);
                }
                // `dispatch` reports the version from the datagram, which has the full digest.
                Action::PeerVersion { .. } => {}
                Action::Rumour(Rumour::Strike {
                    fingerprint,
                    instance,
                    incarnation,
                }) => {
                    self.shared
                        .record_strike(fingerprint, instance, incarnation);
                }
                Action::ExchangeTables { peer_id } => self.start_exchange(peer_id),
            }
        }
        if is_view_changed {
            self.publish_view().await;
        }
        self.wake.send_replace(self.member.next_wake());
    }

    /// Publishes this node and the members of reachable failure domains to the pickers and to
    /// `Control`.
    async fn publish_view(&mut self) {
        let reachable = |r: &&Record| !self.member.is_domain_unreachable(&r.domain);
        let others = self.member.records().filter(reachable);
        let all: BTreeMap<InstanceId, Record> = others
            .chain([self.member.own()])
            .cloned()
            .map(|r| (r.id, r))
            .collect();
        self.update_fresh_instances(&all);
        self.shared.members.store(Arc::new(all));
        self.shared.refresh_instances();
        if let Some(actors) = self.shared.actors.get() {
            let _ = actors.control.tell(PeersChanged).await;
        }
    }

    /// Updates the set of instances in slow start. Instances discovered ready while this node starts
    /// are left out, since they may have been ready for long.
    fn update_fresh_instances(&mut self, members: &BTreeMap<InstanceId, Record>) {
        let now = self.shared.clock.now();
        let is_ready = |r: &&Record| r.state == member::State::Ready;
        let ready = members.values().filter(is_ready);
        let incarnations: BTreeMap<_, _> = ready.map(|r| (r.id, r.incarnation)).collect();
        let is_starting = now.since(Time::ZERO) < STARTUP_PERIOD;
        let since = |id, incarnation| match self.ready_since.get(&id) {
            Some((known, since)) if *known == incarnation => (incarnation, *since),
            _ if is_starting => (incarnation, None),
            _ => (incarnation, Some(now)),
        };
        let ready_since: BTreeMap<_, _> = incarnations
            .into_iter()
            .map(|(id, incarnation)| (id, since(id, incarnation)))
            .collect();
        let is_fresh = |since: &Option<Time>| since.is_some_and(|t| now - t < FRESH_PERIOD);
        let fresh = ready_since.iter().filter(|(_, (_, since))| is_fresh(since));
        self.shared
            .fresh_instances
            .store(Arc::new(fresh.map(|(id, _)| *id).collect()));
        self.ready_since = ready_since;
    }

    /// Starts a task that exchanges member tables with a peer (anti-entropy).
    fn start_exchange(&self, peer_id: InstanceId) {
        let Some(addr) = self.shared.members.load().get(&peer_id).map(|r| r.rpc) else {
            return;
        };
        let scope = self.member.scope().clone();
        let table = self.member.tables_in_scope(&scope);
        let shared = self.shared.clone();
        shared.clone().tasks.spawn(async move {
            let Ok(theirs) = rpc::exchange(&shared, addr, scope, table).await else {
                return;
            };
            if let Some(actors) = shared.actors.get() {
                let _ = actors.gossip.tell(MergeTable(theirs)).await;
            }
        });
    }
}

fn log_change(change: &Change) {
    match change {
        Change::Up(r) => log::info!(
            "member added to the view; it may get requests once ready name={} domain={}",
            r.name,
            r.domain
        ),
        Change::Updated(r) => log::debug!("member updated name={} state={:?}", r.name, r.state),
        Change::Down(id) => log::info!("member removed from the view id={id}"),
        Change::DomainDown(d) => log::warn!("domain unreachable, excluded from routing domain={d}"),
        Change::DomainUp(d) => log::info!("domain reachable again, used for routing domain={d}"),
    }
}

/// Timer event at the time that the state machine asked for.
pub(crate) struct Tick;
/// A membership message from a datagram that passed authentication, with the sender's address.
pub(crate) struct Received(pub(crate) SocketAddr, pub(crate) member::Msg);
/// Sets the state of this node's own record.
pub(crate) struct SetLocal(pub(crate) LocalState);
/// Sets the services whose members this node keeps.
pub(crate) struct SetScope(pub(crate) Scope);
/// Merges a peer's reply to a join request.
pub(crate) struct MergeJoinAnswer(pub(crate) JoinAnswer);
/// Starts to spread a rumour.
pub(crate) struct StartRumour(pub(crate) Rumour);
/// Merges a peer's member table into that of this node.
pub(crate) struct MergeTable(pub(crate) Table);
/// Builds the reply to a peer's [`JoinRequest`].
pub(crate) struct MakeJoinReply(pub(crate) JoinRequest);
/// Merges a peer's member table and returns that of this node, limited to the peer's scope.
pub(crate) struct TableExchange(pub(crate) Scope, pub(crate) Table);

macro_rules! forward {
    ($msg:ty, $pattern:pat => $event:expr) => {
        impl Message<$msg> for Gossip {
            type Reply = ();

            async fn handle(&mut self, $pattern: $msg, _: &mut Context<Self, ()>) {
                self.handle_event($event).await;
            }
        }
    };
}

forward!(Tick, _ => Event::Tick);
forward!(Received, Received(from, msg) => Event::Received { from, msg });
forward!(SetScope, SetScope(scope) => Event::SetScope(scope));
forward!(MergeJoinAnswer, MergeJoinAnswer(answer) => Event::JoinAnswer(answer));
forward!(StartRumour, StartRumour(payload) => Event::Rumour { payload });

impl Message<SetLocal> for Gossip {
    type Reply = ();

    async fn handle(&mut self, SetLocal(local): SetLocal, _: &mut Context<Self, ()>) {
        self.handle_event(Event::SetLocal(local)).await;
        // `Member` reports changes of peers only, but pickers choose the own target too.
        self.publish_view().await;
    }
}

/// Raises a peer's version floor after a [`Datagram::Announce`], which isn't a membership message.
pub(crate) struct RaiseVersionFloor(pub(crate) InstanceId, pub(crate) Version);

impl Message<RaiseVersionFloor> for Gossip {
    type Reply = ();

    async fn handle(&mut self, raise: RaiseVersionFloor, _: &mut Context<Self, ()>) {
        self.member.raise_version_floor(raise.0, raise.1);
    }
}

impl Message<MergeTable> for Gossip {
    type Reply = ();

    async fn handle(&mut self, MergeTable(table): MergeTable, _: &mut Context<Self, ()>) {
        let actions = self.member.merge(self.shared.clock.now(), table);
        self.perform(actions).await;
    }
}

impl Message<MakeJoinReply> for Gossip {
    type Reply = JoinReply;

    async fn handle(
        &mut self,
        MakeJoinReply(req): MakeJoinReply,
        _: &mut Context<Self, JoinReply>,
    ) -> JoinReply {
        let mut answer = self.member.join_answer(req.id, &req.scope);
        if !req.wants_members {
            answer.contacts.clear();
            answer.table = Table::default();
        }
        JoinReply {
            from: self.shared.id,
            active: self.shared.active_version(),
            answer,
            follows_log: self.shared.log_end.is_followed(),
        }
    }
}

/// Member table of this node, the reply to [`TableExchange`].
#[derive(kameo::Reply)]
pub(crate) struct OwnTable(pub(crate) Table);

impl Message<TableExchange> for Gossip {
    type Reply = OwnTable;

    async fn handle(
        &mut self,
        TableExchange(scope, theirs): TableExchange,
        _: &mut Context<Self, OwnTable>,
    ) -> OwnTable {
        let ours = self.member.tables_in_scope(&scope);
        let actions = self.member.merge(self.shared.clock.now(), theirs);
        self.perform(actions).await;
        OwnTable(ours)
    }
}

/// Announces to peers that this instance leaves the mesh.
pub(crate) struct Leave;

impl Message<Leave> for Gossip {
    type Reply = ();

    async fn handle(&mut self, _: Leave, _: &mut Context<Self, ()>) {
        let own = self.member.own();
        let local = LocalState {
            state: member::State::Left,
            version: own.version,
            digest_prefix: own.digest_prefix,
            slots: own.slots,
        };
        self.handle_event(Event::SetLocal(local)).await;
        // A tick pushes urgent updates, so one is run now instead of at its time.
        self.handle_event(Event::Tick).await;
    }
}

/// Requests the records of all members in scope, including the own one and those of unreachable
/// failure domains.
pub(crate) struct GetAllMembers;

impl Message<GetAllMembers> for Gossip {
    type Reply = Vec<Record>;

    async fn handle(
        &mut self,
        _: GetAllMembers,
        _: &mut Context<Self, Vec<Record>>,
    ) -> Vec<Record> {
        self.member
            .records()
            .chain([self.member.own()])
            .cloned()
            .collect()
    }
}

/// Converts a member record into the form that pickers use. `is_fresh` puts the instance in
/// slow start.
pub(crate) fn to_instance(r: &Record, is_fresh: bool) -> Instance {
    let state = match r.state {
        member::State::Ready => route::State::Ready,
        member::State::Starting => route::State::Starting,
        member::State::Draining | member::State::Left => route::State::Draining,
    };
    let view = InstanceView {
        id: r.id,
        domain: r.domain.clone(),
        slots: r.slots,
        state,
        is_fresh,
    };
    Instance {
        service: r.service.clone(),
        view,
        addr: r.data,
    }
}

/// Receives and dispatches datagrams until `stop`.
pub(crate) async fn receive(
    shared: Arc<Shared>,
    socket: Arc<UdpSocket>,
    mut stop: watch::Receiver<bool>,
) {
    // One byte above the limit, so that an oversized datagram is detected instead of truncated to
    // the limit.
    let mut buf = [0; MAX_DATAGRAM_BYTES + 1];
    while !*stop.borrow() {
        let received = tokio::select! {
            r = socket.recv_from(&mut buf) => r,
            _ = stop.changed() => break,
        };
        // On Linux, an error here reports that an earlier send reached a closed port.
        let Ok((n, from)) = received else { continue };
        match shared.settings.keys.open::<Datagram>(&buf[..n]) {
            Ok(datagram) => {
                shared.metrics.count(Metric::DatagramsIn);
                shared.metrics.add(Metric::ControlBytesIn, n as u64);
                dispatch(&shared, from, datagram);
            }
            Err(e) => shared.metrics.count(drop_metric(e)),
        }
    }
}

fn dispatch(shared: &Shared, from: SocketAddr, datagram: Datagram) {
    let Some(actors) = shared.actors.get() else {
        return;
    };
    // If an actor's mailbox is full, the datagram is dropped; the protocols tolerate lost datagrams.
    match datagram {
        Datagram::Member { msg, active } => {
            let report = VersionReport {
                from: msg.from,
                active,
                origin: Origin::Probe,
            };
            // Most membership messages carry the version that is active here; `Control` doesn't
            // need those.
            if active != shared.active_version() {
                let _ = actors.control.tell(report).try_send();
            }
            let _ = actors.gossip.tell(Received(from, msg)).try_send();
        }
        Datagram::Announce { from, active } => {
            // Raises the sender's version floor now instead of at the sender's next membership
            // message.
            let raise = RaiseVersionFloor(from, active.version);
            let _ = actors.gossip.tell(raise).try_send();
            let report = VersionReport {
                from,
                active,
                origin: Origin::Announcement,
            };
            let _ = actors.control.tell(report).try_send();
        }
    }
}

/// Returns the drop metric for a datagram that could not be opened.
fn drop_metric(e: SealError) -> Metric {
    match e.code() {
        Code::ForeignMesh => Metric::DroppedForeignMesh,
        Code::WireVersion => Metric::DroppedWireVersion,
        Code::Malformed => Metric::DroppedMalformed,
        Code::Oversized => Metric::DroppedOversized,
        _ => Metric::DroppedBadMac,
    }
}
