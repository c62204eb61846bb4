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
use crate::detect::{Probe, RelayedProbe};
use crate::domains::Domains;
use crate::event::{Action, Change, Counters, Event, LocalState, Scope};
use crate::history::{History, Precedence};
use crate::message::{Msg, Rumour, Update};
use crate::queue::Queue;
use crate::record::{Record, State};
use crate::ring::Ring;
use crate::rumours::Rumours;
use crate::table::{Entry, Table};

/// The own process counts as paused if more than this many probe periods pass between two events.
const PAUSE_THRESHOLD_PERIODS: u32 = 3;

/// One member of the mesh. Detects failures, and sends, applies and relays updates.
#[derive(Debug)]
pub struct Member {
    pub(crate) cfg: Config,
    pub(crate) rng: StdRng,
    pub(crate) own: Record,
    /// Whether an announcement of this member has been pushed to a peer since the start.
    pub(crate) has_announced: bool,
    pub(crate) now: Time,
    is_started: bool,
    pub(crate) table: Table,
    pub(crate) history: History,
    pub(crate) queue: Queue,
    pub(crate) domains: Domains,
    pub(crate) rumours: Rumours,
    pub(crate) ring: Ring,
    pub(crate) probes: BTreeMap<u32, Probe>,
    pub(crate) relayed_probes: BTreeMap<u32, RelayedProbe>,
    pub(crate) next_seq: u32,
    pub(crate) next_probe_at: Time,
    pub(crate) next_push_at: Time,
    /// Whether the next push goes to all failure domains.
    pub(crate) push_to_all_domains: bool,
    pub(crate) next_sync_at: Time,
    /// Peer of the last table comparison, if the tables differed and no exchange was requested yet.
    /// The next comparison is made with this peer, unless it is suspect.
    pub(crate) last_mismatch: Option<InstanceId>,
    /// Recovered failure domain; the next random comparison peer is one of its members.
    pub(crate) recovered_domain: Option<Domain>,
    pub(crate) actions: Vec<Action>,
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
            has_announced: false,
            now: Time::ZERO,
            is_started: false,
            table: Table::new(&record, cfg.max_records),
            history: History::new(cfg.max_history),
            queue: Queue::new(cfg.max_queue),
            domains: Domains::default(),
            rumours: Rumours::new(cfg.max_rumours),
            ring: Ring::default(),
            probes: BTreeMap::new(),
            relayed_probes: BTreeMap::new(),
            next_seq: 0,
            next_probe_at: Time::ZERO,
            next_push_at: Time::ZERO,
            push_to_all_domains: false,
            next_sync_at: Time::ZERO,
            last_mismatch: None,
            recovered_domain: None,
            actions: Vec::new(),
            counters: Counters::default(),
            own: record,
            cfg,
        }
    }

    /// Handles an event and returns the actions for the node to carry out.
    pub fn handle(&mut self, now: Time, event: Event) -> Vec<Action> {
        self.advance_clock(now);
        match event {
            Event::Tick => self.tick(),
            Event::Received { from, msg } => self.handle_msg(from, msg),
            Event::SetLocal(local) => self.set_local(local),
            Event::SetScope(scope) => self.set_scope(scope),
            Event::JoinAnswer(answer) => self.handle_join_answer(answer),
            Event::Rumour { payload } => self.start_rumour(payload),
        }
        self.flush_actions()
    }

    /// Returns the time by which the next [`Event::Tick`] is due.
    pub fn next_wake(&self) -> Time {
        if !self.is_started {
            return Time::ZERO;
        }
        let (direct, timeout) = (self.cfg.direct_timeout, self.cfg.probe_period);
        let due = |p: &Probe| p.sent + if p.is_final_stage { timeout } else { direct };
        let probes = self.probes.values().map(due);
        let suspicions = self.table.iter().filter_map(|e| e.suspicion);
        let push = self.queue.has_urgent().then_some(self.next_push_at);
        probes
            .chain(suspicions.map(|s| s.deadline))
            .chain(push.filter(|_| self.table.len() > 0))
            .chain([self.next_probe_at, self.next_sync_at])
            .min()
            .unwrap_or(self.next_probe_at)
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
        self.table.records_in_scope()
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
    pub fn is_domain_unreachable(&self, domain: &Domain) -> bool {
        self.domains.is_unreachable(domain)
    }

    /// Returns the highest version received from `id`, also before a restart; 0 if none is known.
    pub fn version_floor(&self, id: InstanceId) -> Version {
        self.history.version_floor(id)
    }

    /// Raises the version floor of `id` to a version that the node received outside this protocol.
    /// A lower version has no effect.
    pub fn raise_version_floor(&mut self, id: InstanceId, version: Version) {
        self.history.raise_version_floor(id, version);
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

    /// Returns the precedence of the last applied update about `id`, `None` if none is known.
    pub(crate) fn precedence(&self, id: InstanceId) -> Option<Precedence> {
        let stored = self.table.precedence(id);
        stored.or_else(|| self.history.precedence(id))
    }

    pub(crate) fn suspicion_timeout(&self) -> Duration {
        self.cfg.suspicion_timeout(self.table.len() + 1)
    }

    pub(crate) fn report(&mut self, change: Change) {
        self.actions.push(Action::Changed(change));
    }

    pub(crate) fn enqueue(&mut self, update: Update, is_urgent: bool) {
        self.counters.dropped += self.queue.push(update, is_urgent);
    }

    /// Returns up to `n` random members that satisfy `is_eligible`.
    pub(crate) fn pick_members(
        &mut self,
        n: usize,
        is_eligible: impl Fn(&Entry) -> bool,
    ) -> Vec<Peer> {
        let entries = self.table.iter().filter(|e| is_eligible(e));
        let mut peers: Vec<Peer> = entries.map(Peer::of).collect();
        let (chosen, _) = peers.partial_shuffle(&mut self.rng, n);
        chosen.to_vec()
    }

    /// Returns a random duration below `up_to`.
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
        self.push_to_all_domains = true;
        self.enqueue(update, true);
    }

    /// Refutes a claim about this member by announcing the incarnation after `incarnation`. A claim
    /// about the current incarnation is refuted only if `is_contradiction` is set, one about an
    /// older incarnation never.
    pub(crate) fn refute_if_needed(&mut self, incarnation: Incarnation, is_contradiction: bool) {
        let own = self.own.incarnation;
        let is_outdated = incarnation < own || (incarnation == own && !is_contradiction);
        if is_outdated || self.own.state == State::Left {
            return;
        }
        self.counters.refutations += 1;
        self.own.incarnation = next_incarnation(incarnation);
        self.announce();
    }

    /// Pushes urgent updates that are due and returns the collected actions.
    pub(crate) fn flush_actions(&mut self) -> Vec<Action> {
        self.push_urgent();
        mem::take(&mut self.actions)
    }

    /// Advances the clock. The first call starts the timers and announces this member; a later call
    /// detects a pause of the process.
    pub(crate) fn advance_clock(&mut self, now: Time) {
        if !self.is_started {
            self.is_started = true;
            self.now = now;
            self.next_probe_at = now + self.jitter(self.cfg.probe_period);
            self.next_sync_at = now + self.jitter(self.cfg.sync_period);
            self.announce();
            return;
        }
        let step = now.since(self.now);
        self.now = self.now.max(now);
        if step > self.cfg.probe_period * PAUSE_THRESHOLD_PERIODS {
            self.shift_timers(step);
        }
    }

    /// Shifts the timers by the length of a pause of the own process and drops pending probes. Acks
    /// that arrived during the pause were not read, so the elapsed time is no sign of failure.
    fn shift_timers(&mut self, pause: Duration) {
        self.counters.pauses += 1;
        self.probes.clear();
        self.relayed_probes.clear();
        self.domains.shift_times(pause);
        for e in self.table.iter_mut() {
            if let Some(s) = &mut e.suspicion {
                s.since = s.since + pause;
                s.deadline = s.deadline + pause;
            }
        }
        self.next_probe_at = self.now;
        self.next_sync_at = self.now + self.jitter(self.cfg.sync_recheck_delay);
    }

    fn set_local(&mut self, local: LocalState) {
        self.own.version = local.version;
        self.own.digest_prefix = local.digest_prefix;
        let has_changed = local.state != self.own.state || local.slots != self.own.slots;
        // A new version alone is not announced, because each message carries the version. One
        // update per publication and member would make traffic grow with the size of the mesh.
        if !has_changed || self.own.state == State::Left {
            return;
        }
        self.own.state = local.state;
        self.own.slots = local.slots;
        self.own.incarnation = next_incarnation(self.own.incarnation);
        self.announce();
    }

    fn set_scope(&mut self, scope: Scope) {
        let entered = self.table.set_scope(scope);
        let mut services: Vec<ServiceName> = Vec::new();
        for r in entered {
            if !services.contains(&r.service) {
                services.push(r.service.clone());
                self.request_exchange(r.id);
            }
            self.report(Change::Up(r));
        }
    }

    fn start_rumour(&mut self, rumour: Rumour) {
        if self.rumours.insert(rumour) {
            self.push_to_all_domains = true;
            self.enqueue(Update::Rumour(rumour), true);
        }
    }
}

fn next_incarnation(incarnation: Incarnation) -> Incarnation {
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
    fn handle_msg(&mut self, from: SocketAddr, msg: Msg) {
        if msg.from == self.own.id {
            return;
        }
        self.record_sender(&msg);
        for u in msg.updates {
            self.apply(u, true);
        }
        self.handle_body(from, msg.from, msg.incarnation, msg.body);
        if msg.requests_record && self.own.state != State::Left {
            self.send_record(from, msg.from, self.own.clone());
        }
    }

    fn record_sender(&mut self, msg: &Msg) {
        self.actions.push(Action::PeerVersion {
            from: msg.from,
            version: msg.version,
            digest_prefix: msg.digest_prefix,
        });
        self.history.raise_version_floor(msg.from, msg.version);
        let Some(e) = self.table.get_mut(msg.from) else {
            return;
        };
        if msg.incarnation >= e.record.incarnation {
            e.record.version = msg.version;
            e.record.digest_prefix = msg.digest_prefix;
        }
        let domain = e.record.domain.clone();
        self.record_contact(&domain);
    }
}
