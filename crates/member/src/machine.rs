//! The membership state machine and its view of the mesh.

use std::collections::BTreeMap;
use std::mem;
use std::net::SocketAddr;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use wire::{Domain, Incarnation, InstanceId, ServiceName, Time, Version};

use crate::config::Config;
use crate::detect::{Probe, Relay};
use crate::domains::Domains;
use crate::event::{Action, Change, Counters, Event, LocalState, Scope};
use crate::history::{History, Standing};
use crate::message::{Msg, Rumour, Update};
use crate::queue::Queue;
use crate::record::{Record, State};
use crate::ring::Ring;
use crate::rumours::Rumours;
use crate::table::{Entry, Table};

/// The own process counts as paused if more than this many probe periods pass between two events.
const PAUSE_PERIODS: u32 = 3;

/// One member of the mesh. Detects failures, and sends, applies and relays updates.
#[derive(Debug)]
pub struct Member {
    pub(crate) cfg: Config,
    pub(crate) rng: StdRng,
    pub(crate) own: Record,
    /// Whether an announcement of this member has been pushed to a peer since the start.
    pub(crate) announced: bool,
    pub(crate) now: Time,
    started: bool,
    pub(crate) table: Table,
    pub(crate) history: History,
    pub(crate) queue: Queue,
    pub(crate) domains: Domains,
    pub(crate) rumours: Rumours,
    pub(crate) ring: Ring,
    pub(crate) probes: BTreeMap<u32, Probe>,
    pub(crate) relays: BTreeMap<u32, Relay>,
    pub(crate) next_seq: u32,
    pub(crate) next_probe: Time,
    pub(crate) next_push: Time,
    /// Whether the next push goes to all failure domains.
    pub(crate) wide_push: bool,
    pub(crate) next_sync: Time,
    /// Peer of the last table comparison, if it found a mismatch.
    pub(crate) differs: Option<InstanceId>,
    /// Recovered failure domain from which the next comparison peer is chosen.
    pub(crate) sync_domain: Option<Domain>,
    pub(crate) out: Vec<Action>,
    pub(crate) counters: Counters,
}

/// Numbers of entries in the bounded tables of a [`Member`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Sizes {
    /// Stored records, contacts included.
    pub records: usize,
    /// Instances whose last incarnation and version are retained.
    pub history: usize,
    /// Updates queued for transmission.
    pub queue: usize,
}

impl Member {
    /// Creates a member that knows only itself. `record.incarnation` may be any number; one that
    /// was not used before a restart saves a refutation. All random choices depend on `seed`.
    pub fn new(cfg: Config, record: Record, seed: u64) -> Member {
        Member {
            rng: StdRng::seed_from_u64(seed),
            announced: false,
            now: Time::ZERO,
            started: false,
            table: Table::new(&record, cfg.max_records),
            history: History::new(cfg.max_history),
            queue: Queue::new(cfg.max_queue),
            domains: Domains::default(),
            rumours: Rumours::new(cfg.max_rumours),
            ring: Ring::default(),
            probes: BTreeMap::new(),
            relays: BTreeMap::new(),
            next_seq: 0,
            next_probe: Time::ZERO,
            next_push: Time::ZERO,
            wide_push: false,
            next_sync: Time::ZERO,
            differs: None,
            sync_domain: None,
            out: Vec::new(),
            counters: Counters::default(),
            own: record,
            cfg,
        }
    }

    /// Handles an event and returns the actions for the node to carry out.
    pub fn handle(&mut self, now: Time, event: Event) -> Vec<Action> {
        self.advance(now);
        match event {
            Event::Tick => self.tick(),
            Event::Received { from, msg } => self.received(from, msg),
            Event::SetLocal(local) => self.set_local(local),
            Event::Interest(scope) => self.set_scope(scope),
            Event::JoinAnswer(answer) => self.joined(answer),
            Event::Rumour { payload } => self.start_rumour(payload),
        }
        self.finish()
    }

    /// Returns the time by which the next [`Event::Tick`] is due.
    pub fn next_wake(&self) -> Time {
        if !self.started {
            return Time::ZERO;
        }
        let (direct, whole) = (self.cfg.direct_timeout, self.cfg.probe_period);
        let probe = |p: &Probe| p.sent + if p.asked_others { whole } else { direct };
        let probes = self.probes.values().map(probe);
        let suspicions = self.table.iter().filter_map(|e| e.suspicion);
        let push = self.queue.has_urgent().then_some(self.next_push);
        probes
            .chain(suspicions.map(|s| s.deadline))
            .chain(push.filter(|_| self.table.len() > 0))
            .chain([self.next_probe, self.next_sync])
            .min()
            .unwrap_or(self.next_probe)
    }

    /// Returns the record of this member.
    pub fn own(&self) -> &Record {
        &self.own
    }

    /// Returns the stored record of another instance.
    pub fn record(&self, id: InstanceId) -> Option<&Record> {
        self.table.get(id).map(|e| &e.record)
    }

    /// Returns the stored records in scope, without the own one, ordered by identifier.
    pub fn records(&self) -> impl Iterator<Item = &Record> {
        self.table.scoped()
    }

    /// Returns all stored records, contacts included, without the own one.
    pub fn peers(&self) -> impl Iterator<Item = &Record> {
        self.table.records()
    }

    /// Returns whether `id` is suspected of having failed.
    pub fn is_suspect(&self, id: InstanceId) -> bool {
        self.table.get(id).is_some_and(|e| e.suspicion.is_some())
    }

    /// Returns whether `domain` is unreachable.
    pub fn is_domain_down(&self, domain: &Domain) -> bool {
        self.domains.is_down(domain)
    }

    /// Returns the highest version received from `id`, also before a restart; 0 if none is known.
    pub fn floor(&self, id: InstanceId) -> Version {
        self.history.floor(id)
    }

    /// Raises the version floor of `id` to a version that the node received outside this protocol.
    /// A lower version has no effect.
    pub fn note_version(&mut self, id: InstanceId, version: Version) {
        self.history.note_version(id, version);
    }

    /// Returns the services whose members are all stored.
    pub fn scope(&self) -> &Scope {
        self.table.scope()
    }

    /// Returns the protocol counters.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// Returns the current numbers of entries.
    pub fn sizes(&self) -> Sizes {
        Sizes {
            records: self.table.len(),
            history: self.history.len(),
            queue: self.queue.len(),
        }
    }

    pub(crate) fn standing(&self, id: InstanceId) -> Option<Standing> {
        let kept = self.table.standing(id);
        kept.or_else(|| self.history.standing(id))
    }

    pub(crate) fn suspicion_time(&self) -> Duration {
        self.cfg.suspicion(self.table.len() + 1)
    }

    pub(crate) fn report(&mut self, change: Change) {
        self.out.push(Action::Changed(change));
    }

    pub(crate) fn enqueue(&mut self, update: Update, urgent: bool) {
        self.counters.dropped += self.queue.push(update, urgent);
    }

    /// Returns up to `n` random members that satisfy `wanted`.
    pub(crate) fn pick(&mut self, n: usize, wanted: impl Fn(&Entry) -> bool) -> Vec<Peer> {
        let entries = self.table.iter().filter(|e| wanted(e));
        let mut peers: Vec<Peer> = entries.map(Peer::of).collect();
        let (chosen, _) = peers.partial_shuffle(&mut self.rng, n);
        chosen.to_vec()
    }

    pub(crate) fn jitter(&mut self, up_to: Duration) -> Duration {
        up_to.mul_f64(self.rng.random::<f64>())
    }

    /// Announces the own state to all failure domains.
    pub(crate) fn announce(&mut self) {
        let update = if self.own.state == State::Left {
            Update::Down {
                id: self.own.id,
                incarnation: self.own.incarnation,
                version: self.own.version,
            }
        } else {
            Update::Alive(self.own.clone())
        };
        self.wide_push = true;
        self.enqueue(update, true);
    }

    /// Refutes a claim about this member by announcing the incarnation after `incarnation`. A claim
    /// about the current incarnation is refuted only if it is `wrong`, one about an older
    /// incarnation never.
    pub(crate) fn heard_of_self(&mut self, incarnation: Incarnation, wrong: bool) {
        let own = self.own.incarnation;
        let outdated = incarnation < own || (incarnation == own && !wrong);
        if outdated || self.own.state == State::Left {
            return;
        }
        self.counters.refutations += 1;
        self.own.incarnation = next(incarnation);
        self.announce();
    }

    /// Pushes urgent updates that are due and returns the collected actions.
    pub(crate) fn finish(&mut self) -> Vec<Action> {
        self.push_urgent();
        mem::take(&mut self.out)
    }

    /// Advances the clock. The first call starts the timers and announces this member; a later call
    /// detects a pause of the process.
    pub(crate) fn advance(&mut self, now: Time) {
        if !self.started {
            self.started = true;
            self.now = now;
            self.next_probe = now + self.jitter(self.cfg.probe_period);
            self.next_sync = now + self.jitter(self.cfg.sync_period);
            self.announce();
            return;
        }
        let step = now.since(self.now);
        self.now = self.now.max(now);
        if step > self.cfg.probe_period * PAUSE_PERIODS {
            self.resume_after(step);
        }
    }

    /// Shifts the timers by the length of a pause of the own process and drops pending probes. Acks
    /// that arrived during the pause were not read, so the elapsed time is no sign of failure.
    fn resume_after(&mut self, pause: Duration) {
        self.counters.pauses += 1;
        self.probes.clear();
        self.relays.clear();
        self.domains.shift(pause);
        for e in self.table.iter_mut() {
            if let Some(s) = &mut e.suspicion {
                s.since = s.since + pause;
                s.deadline = s.deadline + pause;
            }
        }
        self.next_probe = self.now;
        self.next_sync = self.now + self.jitter(self.cfg.sync_recheck);
    }

    fn set_local(&mut self, local: LocalState) {
        self.own.version = local.version;
        self.own.digest_prefix = local.digest_prefix;
        let changed = local.state != self.own.state || local.slots != self.own.slots;
        // A new version alone is not announced, because each message carries the version. One
        // update per publication and member would make traffic grow with the size of the mesh.
        if !changed || self.own.state == State::Left {
            return;
        }
        self.own.state = local.state;
        self.own.slots = local.slots;
        self.own.incarnation = next(self.own.incarnation);
        self.announce();
    }

    fn set_scope(&mut self, scope: Scope) {
        let entered = self.table.set_scope(scope);
        let mut services: Vec<ServiceName> = Vec::new();
        for r in entered {
            if !services.contains(&r.service) {
                services.push(r.service.clone());
                self.exchange(r.id);
            }
            self.report(Change::Up(r));
        }
    }

    fn start_rumour(&mut self, rumour: Rumour) {
        if self.rumours.note(rumour) {
            self.wide_push = true;
            self.enqueue(Update::Rumour(rumour), true);
        }
    }
}

fn next(incarnation: Incarnation) -> Incarnation {
    Incarnation(incarnation.0.saturating_add(1))
}

/// Identifier and gossip address of another member.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Peer {
    pub(crate) id: InstanceId,
    pub(crate) addr: SocketAddr,
}

impl Peer {
    pub(crate) fn of(entry: &Entry) -> Peer {
        Peer {
            id: entry.record.id,
            addr: entry.record.gossip,
        }
    }
}

impl Member {
    fn received(&mut self, from: SocketAddr, msg: Msg) {
        if msg.from == self.own.id {
            return;
        }
        self.note_sender(&msg);
        for u in msg.updates {
            self.apply(u, true);
        }
        self.answer(from, msg.from, msg.incarnation, msg.body);
        if msg.ask && self.own.state != State::Left {
            self.send_record(from, msg.from, self.own.clone());
        }
    }

    fn note_sender(&mut self, msg: &Msg) {
        self.out.push(Action::Heard {
            from: msg.from,
            version: msg.version,
            digest_prefix: msg.digest_prefix,
        });
        self.history.note_version(msg.from, msg.version);
        let Some(e) = self.table.get_mut(msg.from) else {
            return;
        };
        if msg.incarnation >= e.record.incarnation {
            e.record.version = msg.version;
            e.record.digest_prefix = msg.digest_prefix;
        }
        let domain = e.record.domain.clone();
        self.note_heard(&domain);
    }
}
