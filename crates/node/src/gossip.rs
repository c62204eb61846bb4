//! The actor round [`Member`]: datagrams in and out, the view, rumours.

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

use crate::control::{Heard, PeersChanged};
use crate::datagram::Datagram;
use crate::rpc::{self, JoinReply, JoinRequest};
use crate::services::Instance;
use crate::settings::{Faults, Settings};
use crate::shared::Shared;

/// An instance that began to take work more recently gets its share step by step.
const FRESH: Duration = Duration::from_secs(5);
/// Within this time after the own start, instances are met and not new.
const SETTLING: Duration = Duration::from_secs(5);

/// Seals, counts and sends datagrams.
#[derive(Clone, Debug)]
pub(crate) struct Sender {
    socket: Arc<UdpSocket>,
    keys: KeyRing,
    metrics: Arc<Metrics>,
    faults: Faults,
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

    /// Sends without waiting. A datagram that the kernel can't take now is lost like any other.
    pub(crate) fn send(&mut self, to: SocketAddr, datagram: &Datagram) {
        let Ok(buf) = self.keys.seal(datagram) else {
            self.metrics.count(Metric::DroppedOversized);
            return;
        };
        let lost = self.faults.loss > 0.0 && self.rng.random_bool(self.faults.loss);
        if lost || self.faults.is_cut(to) {
            return;
        }
        if self.socket.try_send_to(&buf, to).is_ok() {
            self.metrics.count(Metric::DatagramsOut);
            self.metrics.add(Metric::ControlBytesOut, buf.len() as u64);
        }
    }
}

/// Owns the membership.
#[derive(Debug)]
pub(crate) struct Gossip {
    shared: Arc<Shared>,
    member: Member,
    sender: Sender,
    wake: watch::Sender<Time>,
    /// Life and time of the first sight of each instance that takes work.
    ready_since: BTreeMap<InstanceId, (Incarnation, Option<Time>)>,
}

/// Arguments of [`Gossip`].
pub(crate) struct GossipArgs {
    pub(crate) shared: Arc<Shared>,
    pub(crate) member: Member,
    pub(crate) sender: Sender,
    /// Told when the next [`Tick`] is due.
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
        let mut changed = false;
        for action in actions {
            match action {
                Action::Send { to, msg } => {
                    let active = self.shared.active();
                    self.sender.send(to, &Datagram::Member { msg, active });
                }
                Action::Changed(change) => {
                    changed = true;
                    log_change(&change);
                }
                // The datagram carries the whole digest too; see `deliver`.
                Action::PeerVersion { .. } => {}
                Action::Rumour(Rumour::Strike {
                    fingerprint,
                    instance,
                    boot,
                }) => {
                    self.shared.count_strike(fingerprint, instance, boot);
                }
                Action::ExchangeTables { peer_id } => self.start_exchange(peer_id),
            }
        }
        if changed {
            self.publish_view().await;
        }
        self.wake.send_replace(self.member.next_wake());
    }

    /// Passes the reachable members on to the pickers and to the spread.
    async fn publish_view(&mut self) {
        let reachable = |r: &&Record| !self.member.is_domain_unreachable(&r.domain);
        let others = self.member.records().filter(reachable);
        let all: BTreeMap<InstanceId, Record> = others
            .chain([self.member.own()])
            .cloned()
            .map(|r| (r.id, r))
            .collect();
        self.note_fresh(&all);
        self.shared.members.store(Arc::new(all));
        self.shared.refresh_instances();
        if let Some(links) = self.shared.links.get() {
            let _ = links.control.tell(PeersChanged).await;
        }
    }

    /// Notes which instances have begun to take work lately. What is ready when this node starts
    /// may have been so for long.
    fn note_fresh(&mut self, members: &BTreeMap<InstanceId, Record>) {
        let now = self.shared.clock.now();
        let takes_work = |r: &&Record| r.state == member::State::Ready;
        let ready = members.values().filter(takes_work);
        let lives: BTreeMap<_, _> = ready.map(|r| (r.id, r.incarnation)).collect();
        let settled = now.since(Time::ZERO) < SETTLING;
        let since = |id, life| match self.ready_since.get(&id) {
            Some((known, since)) if *known == life => (life, *since),
            _ if settled => (life, None),
            _ => (life, Some(now)),
        };
        let ready_since: BTreeMap<_, _> = lives
            .into_iter()
            .map(|(id, life)| (id, since(id, life)))
            .collect();
        let is_fresh = |since: &Option<Time>| since.is_some_and(|t| now - t < FRESH);
        let fresh = ready_since.iter().filter(|(_, (_, since))| is_fresh(since));
        self.shared
            .fresh
            .store(Arc::new(fresh.map(|(id, _)| *id).collect()));
        self.ready_since = ready_since;
    }

    /// Exchanges tables with another member outside the actor.
    fn start_exchange(&self, with: InstanceId) {
        let Some(peer) = self.shared.members.load().get(&with).map(|r| r.rpc) else {
            return;
        };
        let scope = self.member.scope().clone();
        let table = self.member.tables_in_scope(&scope);
        let shared = self.shared.clone();
        shared.clone().tasks.spawn(async move {
            let Ok(theirs) = rpc::exchange(&shared, peer, scope, table).await else {
                return;
            };
            if let Some(links) = shared.links.get() {
                let _ = links.gossip.tell(Merge(theirs)).await;
            }
        });
    }
}

fn log_change(change: &Change) {
    match change {
        Change::Up(r) => log::info!("member up name={} domain={}", r.name, r.domain),
        Change::Updated(r) => log::debug!("member updated name={} state={:?}", r.name, r.state),
        Change::Down(id) => log::info!("member down id={id}"),
        Change::DomainDown(d) => log::warn!("failure domain unreachable domain={d}"),
        Change::DomainUp(d) => log::info!("failure domain reachable domain={d}"),
    }
}

/// Time has passed.
pub(crate) struct Tick;
/// A datagram was opened.
pub(crate) struct Received(pub(crate) SocketAddr, pub(crate) member::Msg);
/// The state of the own instance.
pub(crate) struct SetLocal(pub(crate) LocalState);
/// The services in scope have changed.
pub(crate) struct SetScope(pub(crate) Scope);
/// A member answered the join.
pub(crate) struct Joined(pub(crate) JoinAnswer);
/// Starts a rumour.
pub(crate) struct StartRumour(pub(crate) Rumour);
/// Takes over the table of another member.
pub(crate) struct Merge(pub(crate) Table);
/// Asks for the answer to an instance that joins.
pub(crate) struct MakeJoinReply(pub(crate) JoinRequest);
/// Takes over a table and asks for the own one in the sender's scope.
pub(crate) struct Exchange(pub(crate) Scope, pub(crate) Table);

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
forward!(Joined, Joined(answer) => Event::JoinAnswer(answer));
forward!(StartRumour, StartRumour(payload) => Event::Rumour { payload });

impl Message<SetLocal> for Gossip {
    type Reply = ();

    async fn handle(&mut self, SetLocal(local): SetLocal, _: &mut Context<Self, ()>) {
        self.handle_event(Event::SetLocal(local)).await;
        // Membership reports changes of others only, but the own target is picked like any other.
        self.publish_view().await;
    }
}

/// A peer told its active version outside of a membership message.
pub(crate) struct NoteVersion(pub(crate) InstanceId, pub(crate) Version);

impl Message<NoteVersion> for Gossip {
    type Reply = ();

    async fn handle(&mut self, note: NoteVersion, _: &mut Context<Self, ()>) {
        self.member.raise_version_floor(note.0, note.1);
    }
}

impl Message<Merge> for Gossip {
    type Reply = ();

    async fn handle(&mut self, Merge(table): Merge, _: &mut Context<Self, ()>) {
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
        let mut member = self.member.join_answer(req.id, &req.scope);
        if !req.members {
            member.contacts.clear();
            member.table = Table::default();
        }
        JoinReply {
            from: self.shared.id,
            active: self.shared.active(),
            member,
            follows_log: self.shared.log_end.is_followed(),
        }
    }
}

/// The own table.
#[derive(kameo::Reply)]
pub(crate) struct OwnTable(pub(crate) Table);

impl Message<Exchange> for Gossip {
    type Reply = OwnTable;

    async fn handle(
        &mut self,
        Exchange(scope, theirs): Exchange,
        _: &mut Context<Self, OwnTable>,
    ) -> OwnTable {
        let ours = self.member.tables_in_scope(&scope);
        let actions = self.member.merge(self.shared.clock.now(), theirs);
        self.perform(actions).await;
        OwnTable(ours)
    }
}

/// Tells the others that this instance leaves.
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
        // The push of an urgent update is due at the next tick.
        self.handle_event(Event::Tick).await;
    }
}

/// Asks for all members in scope, the own instance and those of unreachable domains included.
pub(crate) struct AllMembers;

impl Message<AllMembers> for Gossip {
    type Reply = Vec<Record>;

    async fn handle(&mut self, _: AllMembers, _: &mut Context<Self, Vec<Record>>) -> Vec<Record> {
        self.member
            .records()
            .chain([self.member.own()])
            .cloned()
            .collect()
    }
}

/// Returns a member as the pickers see it.
pub(crate) fn instance(r: &Record, is_fresh: bool) -> Instance {
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

/// Receives datagrams until `stop`.
pub(crate) async fn receive(
    shared: Arc<Shared>,
    socket: Arc<UdpSocket>,
    mut stop: watch::Receiver<bool>,
) {
    // One byte more than allowed, so that an oversized datagram is seen as such.
    let mut buf = [0; MAX_DATAGRAM_BYTES + 1];
    while !*stop.borrow() {
        let received = tokio::select! {
            r = socket.recv_from(&mut buf) => r,
            _ = stop.changed() => break,
        };
        // On Linux, errors here tell of earlier sends to closed ports.
        let Ok((n, from)) = received else { continue };
        match shared.settings.keys.open::<Datagram>(&buf[..n]) {
            Ok(datagram) => {
                shared.metrics.count(Metric::DatagramsIn);
                shared.metrics.add(Metric::ControlBytesIn, n as u64);
                deliver(&shared, from, datagram);
            }
            Err(e) => shared.metrics.count(dropped(e)),
        }
    }
}

fn deliver(shared: &Shared, from: SocketAddr, datagram: Datagram) {
    let Some(links) = shared.links.get() else {
        return;
    };
    // A full mailbox drops the datagram, which the protocols allow for.
    match datagram {
        Datagram::Member { msg, active } => {
            let heard = Heard {
                from: msg.from,
                active,
                origin: Origin::Probe,
            };
            // Most probes tell what is known already.
            if active != shared.active() {
                let _ = links.control.tell(heard).try_send();
            }
            let _ = links.gossip.tell(Received(from, msg)).try_send();
        }
        Datagram::Announce { from, active } => {
            // The floor of the sender is known from here on, not only from its next probe.
            let note = NoteVersion(from, active.version);
            let _ = links.gossip.tell(note).try_send();
            let heard = Heard {
                from,
                active,
                origin: Origin::Announcement,
            };
            let _ = links.control.tell(heard).try_send();
        }
    }
}

fn dropped(e: SealError) -> Metric {
    match e.code() {
        Code::ForeignMesh => Metric::DroppedForeignMesh,
        Code::WireVersion => Metric::DroppedWireVersion,
        Code::Malformed => Metric::DroppedMalformed,
        Code::Oversized => Metric::DroppedOversized,
        _ => Metric::DroppedBadMac,
    }
}
