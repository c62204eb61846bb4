//! Actor around the [`Spread`] state machine: applies versions, fetches configuration texts from
//! peers and serves them to peers.

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

use crate::datagram::{ActiveVersion, Datagram};
use crate::gossip::{MergeJoinAnswer, Sender};
use crate::rpc::{self, FetchReply, FetchRequest, JoinReply, Payload};
use crate::shared::Shared;

/// Number of configuration texts retained as bases of deltas, the active one included. A peer with
/// an older version gets the full text.
const MAX_RETAINED_TEXTS: usize = 8;

/// Number of join requests, from the first on, that ask for the member table in any case. A
/// starting node sends up to 16 join requests for versions and floors; asking for the table each
/// time would transfer 16 tables.
const MAX_JOINS_WITH_MEMBERS: u32 = 4;
/// While a node knows fewer members than this, each join request asks for the member table.
const MIN_KNOWN_MEMBERS: usize = 8;

/// Actor that distributes the configuration: the only owner of the [`Spread`] state machine.
#[derive(Debug)]
pub(crate) struct Control {
    shared: Arc<Shared>,
    spread: Spread,
    sender: Sender,
    wake: watch::Sender<Time>,
    read_log: watch::Sender<bool>,
    /// Texts applied most recently, the active one last.
    retained_texts: VecDeque<ConfigText>,
    /// Number of join requests so far that asked for the member table.
    joins_with_members: u32,
    /// Deltas to the active text, by base version. Cleared when another version is applied.
    deltas: BTreeMap<Version, Delta>,
}

/// Arguments of [`Control`].
pub(crate) struct ControlArgs {
    pub(crate) shared: Arc<Shared>,
    pub(crate) sender: Sender,
    /// Receives the time at which the next [`ControlTick`] is due.
    pub(crate) wake: watch::Sender<Time>,
    /// Receives whether this node reads the publication stream.
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
        let (retained_texts, deltas) = (VecDeque::new(), BTreeMap::new());
        Ok(Control {
            shared,
            spread,
            sender,
            wake,
            read_log,
            retained_texts,
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

    /// Performs an action of the state machine. Returns its result as an event if the action completes
    /// here; tasks send theirs as [`SpreadEvent`].
    async fn perform(&mut self, action: Action, me: &ActorRef<Self>) -> Option<Event> {
        match action {
            Action::ReadLog(is_reader) => {
                self.read_log.send_replace(is_reader);
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

    /// Compiles a text and puts it in force. If it doesn't compile, the active configuration stays.
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
                    "config text not applied: it does not compile, the node stays on its active configuration version={} reason={rejection:?}",
                    text.version
                );
                return Event::ApplyFailed(text.version);
            }
        };
        let version = text.version;
        self.retained_texts.push_back(text);
        if self.retained_texts.len() > MAX_RETAINED_TEXTS {
            self.retained_texts.pop_front();
        }
        self.deltas.clear();
        self.shared.set_snapshot(snapshot);
        Event::Applied(version)
    }

    fn announce(&mut self, to: InstanceId, version: Version, digest: Digest) {
        let Some(addr) = self.shared.members.load().get(&to).map(|r| r.gossip) else {
            return;
        };
        let active = ActiveVersion { version, digest };
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
        // A few replies with the member table are enough; gossip updates and anti-entropy add the rest.
        let known_members = shared.members.load().len();
        let wants_members =
            known_members < MIN_KNOWN_MEMBERS || self.joins_with_members < MAX_JOINS_WITH_MEMBERS;
        self.joins_with_members += u32::from(wants_members);
        self.shared.tasks.spawn(async move {
            let scope = shared.scope(&shared.snapshot());
            let reply = match addr {
                Some(addr) => rpc::join(&shared, addr, scope, wants_members).await.ok(),
                None => None,
            };
            let Some(reply) = reply else {
                let _ = me.tell(SpreadEvent(Event::JoinFailed { to })).await;
                return;
            };
            let answer = join_answer(&reply);
            // `Spread` has to query the new members too before it trusts this reply, so the members
            // are passed on before the reply.
            if let Some(actors) = shared.actors.get() {
                let _ = actors.gossip.ask(MergeJoinAnswer(reply.answer)).await;
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

    fn start_fetch(
        &self,
        from: InstanceId,
        known_version: Version,
        digest: Digest,
        me: &ActorRef<Self>,
    ) {
        let (shared, me) = (self.shared.clone(), me.clone());
        let addr = shared.members.load().get(&from).map(|r| r.rpc);
        let base = self.spread.active().text.clone();
        self.shared.tasks.spawn(async move {
            let req = FetchRequest {
                version: known_version,
                digest,
            };
            let result = match addr {
                Some(addr) => match rpc::fetch(&shared, addr, req).await {
                    Ok(reply) => extract_config(reply, &base),
                    Err(_) => Err(FetchError::Failed),
                },
                None => Err(FetchError::Failed),
            };
            let _ = me.tell(SpreadEvent(Event::Fetched { from, result })).await;
        });
    }

    fn fetch_reply(&mut self, req: FetchRequest) -> FetchReply {
        let active = self.spread.active().clone();
        let reply = |payload| FetchReply {
            version: active.version,
            digest: active.digest,
            payload,
        };
        if active.version <= req.version {
            return reply(Payload::NoneNewer);
        }
        if let Some(delta) = self.deltas.get(&req.version)
            && delta.base() == req.digest
        {
            return reply(Payload::Delta(delta.clone()));
        }
        let base = self
            .retained_texts
            .iter()
            .find(|t| t.version == req.version && t.digest == req.digest);
        let Some(base) = base else {
            return reply(Payload::Full(active.text.to_string()));
        };
        let delta = Delta::between(&base.text, &active.text);
        self.deltas.insert(req.version, delta.clone());
        reply(Payload::Delta(delta))
    }
}

fn join_answer(reply: &JoinReply) -> JoinAnswer {
    JoinAnswer {
        from: reply.from,
        version: reply.active.version,
        digest: reply.active.digest,
        version_floor: reply.answer.version_floor,
        follows_log: reply.follows_log,
    }
}

/// Extracts the configuration text from a reply. A delta whose result doesn't match the delta's
/// digest is a failed fetch, after which the full text is requested.
fn extract_config(reply: FetchReply, base: &str) -> Result<ConfigText, FetchError> {
    let text = match reply.payload {
        Payload::NoneNewer => return Err(FetchError::NothingNewer),
        Payload::Full(text) => text,
        Payload::Delta(delta) => delta.apply(base).map_err(|_| FetchError::Failed)?,
    };
    Ok(ConfigText {
        version: reply.version,
        digest: reply.digest,
        text: text.into(),
    })
}

/// Passes an event to the [`Spread`] state machine.
pub(crate) struct SpreadEvent(pub(crate) Event);

impl Message<SpreadEvent> for Control {
    type Reply = ();

    async fn handle(&mut self, SpreadEvent(event): SpreadEvent, cx: &mut Context<Self, ()>) {
        self.handle_event(event, cx.actor_ref()).await;
    }
}

/// Periodic timer event, every [`spread::TICK_INTERVAL`].
pub(crate) struct ControlTick;

impl Message<ControlTick> for Control {
    type Reply = ();

    async fn handle(&mut self, _: ControlTick, cx: &mut Context<Self, ()>) {
        self.handle_event(Event::Tick, cx.actor_ref()).await;
        self.wake
            .send_replace(self.shared.clock.now() + spread::TICK_INTERVAL);
    }
}

/// The published member view has changed.
pub(crate) struct PeersChanged;

impl Message<PeersChanged> for Control {
    type Reply = ();

    async fn handle(&mut self, _: PeersChanged, cx: &mut Context<Self, ()>) {
        let own = self.shared.id;
        let peer = |r: &member::Record| Peer {
            id: r.id,
            domain: r.domain.clone(),
            // A node serves configuration even if its target takes no requests.
            is_ready: !matches!(r.state, State::Draining | State::Left),
        };
        let members = self.shared.members.load_full();
        let peers = members.values().filter(|r| r.id != own).map(peer).collect();
        self.handle_event(Event::Peers(peers), cx.actor_ref()).await;
    }
}

/// A peer reported its active version, in a membership message or a [`Datagram::Announce`].
pub(crate) struct VersionReport {
    pub(crate) from: InstanceId,
    pub(crate) active: ActiveVersion,
    pub(crate) origin: Origin,
}

impl Message<VersionReport> for Control {
    type Reply = ();

    async fn handle(&mut self, report: VersionReport, cx: &mut Context<Self, ()>) {
        let VersionReport {
            from,
            active: ActiveVersion { version, digest },
            origin,
        } = report;
        let event = Event::VersionReported {
            from,
            version,
            digest,
            origin,
        };
        self.handle_event(event, cx.actor_ref()).await;
    }
}

/// Builds the reply to a peer's [`FetchRequest`].
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

/// Requests the state and counters of the [`Spread`] state machine.
pub(crate) struct GetStatus;

/// Reply to [`GetStatus`].
#[derive(kameo::Reply)]
pub(crate) struct SpreadStatus(pub(crate) Status);

impl Message<GetStatus> for Control {
    type Reply = SpreadStatus;

    async fn handle(&mut self, _: GetStatus, _: &mut Context<Self, SpreadStatus>) -> SpreadStatus {
        SpreadStatus(self.spread.status())
    }
}
