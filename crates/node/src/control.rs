//! The actor round [`Spread`]: applying versions, fetching texts, and serving them to peers.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;

use config::{Delta, Snapshot};
use kameo::Actor;
use kameo::actor::ActorRef;
use kameo::message::{Context, Message};
use member::State;
use spread::{
    Action, ConfigText, Contact, Event, FetchError, JoinAnswer, Origin, Peer, Spread, Status,
};
use tokio::sync::watch;
use wire::{Digest, InstanceId, Time, Version};

use crate::datagram::{Active, Datagram};
use crate::gossip::{Joined, Sender};
use crate::rpc::{self, FetchReply, FetchRequest, JoinReply, Payload};
use crate::shared::Shared;

/// Earlier texts kept as bases of deltas. A node that is further behind gets the whole text.
const KEPT_TEXTS: usize = 8;

/// A starting node asks up to 16 others for versions and floors; asking each for its members would
/// cost that many tables.
const JOINS_WITH_MEMBERS: u32 = 4;
/// A node that knows fewer members than this goes on asking for them.
const KNOWN_AFTER_JOIN: usize = 8;

/// Owns the spread of configuration.
#[derive(Debug)]
pub(crate) struct Control {
    shared: Arc<Shared>,
    spread: Spread,
    sender: Sender,
    wake: watch::Sender<Time>,
    read_log: watch::Sender<bool>,
    texts: VecDeque<ConfigText>,
    /// Questions to join that asked for the members too.
    joins_with_members: u32,
    /// Deltas from earlier texts to the newest one.
    deltas: BTreeMap<Version, Delta>,
}

/// Arguments of [`Control`].
pub(crate) struct ControlArgs {
    pub(crate) shared: Arc<Shared>,
    pub(crate) sender: Sender,
    /// Told when the next [`ControlTick`] is due.
    pub(crate) wake: watch::Sender<Time>,
    /// Tells the reader of the log whether to read.
    pub(crate) read_log: watch::Sender<bool>,
}

impl Actor for Control {
    type Args = ControlArgs;
    type Error = std::convert::Infallible;

    async fn on_start(args: ControlArgs, _: ActorRef<Self>) -> Result<Self, Self::Error> {
        let ControlArgs {
            shared,
            sender,
            wake,
            read_log,
        } = args;
        let s = &shared.settings;
        let own = SocketAddr::new(s.address, s.ports.rpc);
        let settings = spread::Settings {
            me: shared.id,
            domain: s.domain.clone(),
            seeds: s.seeds.iter().copied().filter(|a| *a != own).collect(),
        };
        let spread = Spread::new(settings, s.random_seed ^ shared.id.0);
        wake.send_replace(shared.clock.now());
        let (texts, deltas) = (VecDeque::new(), BTreeMap::new());
        Ok(Control {
            shared,
            spread,
            sender,
            wake,
            read_log,
            texts,
            deltas,
            joins_with_members: 0,
        })
    }
}

impl Control {
    async fn handle_event(&mut self, event: Event, me: &ActorRef<Self>) {
        let mut events = VecDeque::from([event]);
        while let Some(event) = events.pop_front() {
            for action in self.spread.handle(self.shared.clock.now(), event) {
                events.extend(self.perform(action, me).await);
            }
        }
    }

    /// Does what the spread asks for; returns the result if it is known at once.
    async fn perform(&mut self, action: Action, me: &ActorRef<Self>) -> Option<Event> {
        match action {
            Action::ReadLog(on) => {
                self.read_log.send_replace(on);
            }
            Action::Join { to } => self.start_join(to, me),
            Action::Confirm { to } => self.start_confirm(to, me),
            Action::Announce {
                to,
                version,
                digest,
            } => self.announce(to, version, digest),
            Action::Fetch {
                from,
                version,
                digest,
            } => self.start_fetch(from, version, digest, me),
            Action::Apply(text) => return Some(self.apply(text).await),
            Action::Ready => self.shared.set_ready(true),
            Action::NotReady => self.shared.set_ready(false),
        }
        None
    }

    async fn apply(&mut self, text: ConfigText) -> Event {
        let mesh = &self.shared.settings.mesh;
        let compiled = match text.version {
            Version(0) => Ok(Snapshot::empty(mesh)),
            version => Snapshot::compile_after(&self.shared.snapshot(), version, text.text.clone()),
        };
        let snapshot = match compiled {
            Ok(snapshot) => Arc::new(snapshot),
            Err(rejection) => {
                log::error!(
                    "config not applied version={} reason={rejection:?}",
                    text.version
                );
                return Event::ApplyFailed(text.version);
            }
        };
        let version = text.version;
        self.texts.push_back(text);
        if self.texts.len() > KEPT_TEXTS {
            self.texts.pop_front();
        }
        self.deltas.clear();
        self.shared.set_snapshot(snapshot);
        Event::Applied(version)
    }

    fn announce(&mut self, to: InstanceId, version: Version, digest: Digest) {
        let Some(addr) = self.shared.members.load().get(&to).map(|r| r.gossip) else {
            return;
        };
        let active = Active { version, digest };
        self.sender.send(
            addr,
            &Datagram::Announce {
                from: self.shared.id,
                active,
            },
        );
    }

    fn start_join(&mut self, to: Contact, me: &ActorRef<Self>) {
        let (shared, me) = (self.shared.clone(), me.clone());
        let addr = match to {
            Contact::Seed(addr) => Some(addr),
            Contact::Peer(id) => shared.members.load().get(&id).map(|r| r.rpc),
        };
        // A few answers bring the members; the rest is learned from updates and by comparison.
        let known = shared.members.load().len();
        let members = known < KNOWN_AFTER_JOIN || self.joins_with_members < JOINS_WITH_MEMBERS;
        self.joins_with_members += u32::from(members);
        self.shared.tasks.spawn(async move {
            let scope = shared.scope(&shared.snapshot());
            let reply = match addr {
                Some(addr) => rpc::join(&shared, addr, scope, members).await.ok(),
                None => None,
            };
            let Some(reply) = reply else {
                let _ = me.tell(SpreadEvent(Event::JoinFailed { to })).await;
                return;
            };
            let answer = answer(&reply);
            // Waits until the new members have been passed on to the spread, which has to ask them
            // too before it trusts this answer.
            if let Some(links) = shared.links.get() {
                let _ = links.gossip.ask(Joined(reply.member)).await;
            }
            let _ = me.tell(SpreadEvent(Event::Joined { to, answer })).await;
        });
    }

    fn start_confirm(&self, to: InstanceId, me: &ActorRef<Self>) {
        let (shared, me) = (self.shared.clone(), me.clone());
        let addr = shared.members.load().get(&to).map(|r| r.rpc);
        self.shared.tasks.spawn(async move {
            let reply = match addr {
                Some(addr) => rpc::confirm(&shared, addr).await.ok(),
                None => None,
            };
            let current = reply.and_then(|r| r.current);
            let event = Event::Confirmed {
                from: to,
                current: current.map(|a| (a.version, a.digest)),
            };
            let _ = me.tell(SpreadEvent(event)).await;
        });
    }

    fn start_fetch(&self, from: InstanceId, have: Version, digest: Digest, me: &ActorRef<Self>) {
        let (shared, me) = (self.shared.clone(), me.clone());
        let addr = shared.members.load().get(&from).map(|r| r.rpc);
        let base = self.spread.active().text.clone();
        self.shared.tasks.spawn(async move {
            let req = FetchRequest {
                version: have,
                digest,
            };
            let result = match addr {
                Some(addr) => match rpc::fetch(&shared, addr, req).await {
                    Ok(reply) => unpack(reply, &base),
                    Err(_) => Err(FetchError::Failed),
                },
                None => Err(FetchError::Failed),
            };
            let _ = me.tell(SpreadEvent(Event::Fetched { from, result })).await;
        });
    }

    fn fetch_reply(&mut self, req: FetchRequest) -> FetchReply {
        let newest = self.spread.active().clone();
        let reply = |payload| FetchReply {
            version: newest.version,
            digest: newest.digest,
            payload,
        };
        if newest.version <= req.version {
            return reply(Payload::Nothing);
        }
        if let Some(delta) = self.deltas.get(&req.version)
            && delta.base() == req.digest
        {
            return reply(Payload::Delta(delta.clone()));
        }
        let base = self
            .texts
            .iter()
            .find(|t| t.version == req.version && t.digest == req.digest);
        let Some(base) = base else {
            return reply(Payload::Whole(newest.text.to_string()));
        };
        let delta = Delta::between(&base.text, &newest.text);
        self.deltas.insert(req.version, delta.clone());
        reply(Payload::Delta(delta))
    }
}

fn answer(reply: &JoinReply) -> JoinAnswer {
    JoinAnswer {
        from: reply.from,
        version: reply.active.version,
        digest: reply.active.digest,
        version_floor: reply.member.version_floor,
        follows_log: reply.follows_log,
    }
}

/// Returns the fetched text; a delta that doesn't give the promised digest counts as a failure,
/// after which the whole text is asked for.
fn unpack(reply: FetchReply, base: &str) -> Result<ConfigText, FetchError> {
    let text = match reply.payload {
        Payload::Nothing => return Err(FetchError::NothingNewer),
        Payload::Whole(text) => text,
        Payload::Delta(delta) => delta.apply(base).map_err(|_| FetchError::Failed)?,
    };
    Ok(ConfigText {
        version: reply.version,
        digest: reply.digest,
        text: text.into(),
    })
}

/// An event of the spread.
pub(crate) struct SpreadEvent(pub(crate) Event);

impl Message<SpreadEvent> for Control {
    type Reply = ();

    async fn handle(&mut self, SpreadEvent(event): SpreadEvent, cx: &mut Context<Self, ()>) {
        self.handle_event(event, cx.actor_ref()).await;
    }
}

/// Time has passed.
pub(crate) struct ControlTick;

impl Message<ControlTick> for Control {
    type Reply = ();

    async fn handle(&mut self, _: ControlTick, cx: &mut Context<Self, ()>) {
        self.handle_event(Event::Tick, cx.actor_ref()).await;
        self.wake
            .send_replace(self.shared.clock.now() + spread::TICK_INTERVAL);
    }
}

/// The view of the members has changed.
pub(crate) struct PeersChanged;

impl Message<PeersChanged> for Control {
    type Reply = ();

    async fn handle(&mut self, _: PeersChanged, cx: &mut Context<Self, ()>) {
        let own = self.shared.id;
        let peer = |r: &member::Record| Peer {
            id: r.id,
            domain: r.domain.clone(),
            // A node serves configuration whether its target takes work or not.
            is_ready: !matches!(r.state, State::Draining | State::Left),
        };
        let members = self.shared.members.load_full();
        let peers = members.values().filter(|r| r.id != own).map(peer).collect();
        self.handle_event(Event::Peers(peers), cx.actor_ref()).await;
    }
}

/// A peer told its active version.
pub(crate) struct Heard {
    pub(crate) from: InstanceId,
    pub(crate) active: Active,
    pub(crate) origin: Origin,
}

impl Message<Heard> for Control {
    type Reply = ();

    async fn handle(&mut self, heard: Heard, cx: &mut Context<Self, ()>) {
        let Heard {
            from,
            active: Active { version, digest },
            origin,
        } = heard;
        let event = Event::VersionReported {
            from,
            version,
            digest,
            origin,
        };
        self.handle_event(event, cx.actor_ref()).await;
    }
}

/// Asks for the configuration for a peer.
pub(crate) struct MakeFetchReply(pub(crate) FetchRequest);

impl Message<MakeFetchReply> for Control {
    type Reply = FetchReply;

    async fn handle(
        &mut self,
        MakeFetchReply(req): MakeFetchReply,
        _: &mut Context<Self, FetchReply>,
    ) -> FetchReply {
        self.fetch_reply(req)
    }
}

/// Asks for state and counters.
pub(crate) struct GetStatus;

/// State and counters of the spread.
#[derive(kameo::Reply)]
pub(crate) struct SpreadStatus(pub(crate) Status);

impl Message<GetStatus> for Control {
    type Reply = SpreadStatus;

    async fn handle(&mut self, _: GetStatus, _: &mut Context<Self, SpreadStatus>) -> SpreadStatus {
        SpreadStatus(self.spread.status())
    }
}
