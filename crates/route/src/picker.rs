//! Choice of an instance for each attempt.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rand::rngs::Xoshiro256PlusPlus;
use rand::{RngExt, SeedableRng};
use slotmap::SlotMap;
use wire::{Code, Domain, InstanceId, Load, Time};

use crate::outlier::{Ejection, Evidence, OVERTAKEN_SHARE, bounded};
use crate::peer::{Peer, Ramp};
use crate::route_latency::Judge;
use crate::spill::Spill;
use crate::subset::subset;
use crate::{Ask, Kind, Outcome, OutlierCfg, Pick, RouteKey, State, Ticket, View, max_ejected};

/// Time between two computations of the own domain's use.
const REFRESH: Duration = Duration::from_millis(5);
/// How long a refusal for lack of room keeps requests away, unless the instance answers before.
const BUSY: Duration = Duration::from_millis(50);
/// Share of refusals for lack of room from which on an instance is full.
const FULL_SHARE: f64 = 0.1;
/// Share of the threshold from which on an instance is a suspect: one late request.
const SUSPECT_SHARE: f64 = 0.25;
/// Longest time without a request to a suspect. A node that rarely uses an instance would
/// otherwise be slow to find out whether it is slowed.
const SUSPECT_WAIT: Duration = Duration::from_millis(50);
/// Suspicion at which an instance takes the place of an ejected one, over the threshold.
const SWAP_SHARE: f64 = 1.4;
/// Delay in finding a late request from which on this process may have been stalled.
const STALL: Duration = Duration::from_millis(20);
/// Time that a stalled process has for the answers that have arrived meanwhile.
const GRACE: Duration = Duration::from_millis(10);
/// Times that one request can be found late.
const MAX_LATENESS: u32 = 3;
/// How long a refusal for draining keeps requests away; membership reports it within this time.
const DRAINING: Duration = Duration::from_secs(3);

/// Settings of a picker.
#[derive(Clone, Debug)]
pub struct PickerCfg {
    /// The node that picks.
    pub node: InstanceId,
    /// Its failure domain.
    pub domain: Domain,
    /// Most instances that the node uses.
    pub subset: usize,
    /// Candidates that are compared for each pick.
    pub choices: usize,
    /// Factor on the cost of an instance in another failure domain.
    pub foreign_factor: f64,
    /// Weight of the reported queue length, in requests.
    pub hint_weight: f64,
    /// Time over which a fresh instance reaches its full share.
    pub slow_start: Duration,
    /// Time over which a readmitted instance reaches its full share.
    pub readmit_ramp: Duration,
    /// Outlier detection.
    pub outlier: OutlierCfg,
}

impl PickerCfg {
    /// Returns the default settings for a node in `domain`.
    pub fn new(node: InstanceId, domain: Domain) -> PickerCfg {
        PickerCfg {
            node,
            domain,
            subset: 20,
            choices: 2,
            foreign_factor: 1.25,
            hint_weight: 1.0,
            slow_start: Duration::from_secs(5),
            readmit_ramp: Duration::from_secs(1),
            outlier: OutlierCfg::default(),
        }
    }
}

/// Counters of a picker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PickerStats {
    /// Instances ejected.
    pub ejections: u64,
    /// Instances readmitted.
    pub readmissions: u64,
    /// Probes sent.
    pub probes: u64,
    /// Picks of an ejected instance because nothing else was left.
    pub panics: u64,
    /// Picks outside the own failure domain.
    pub foreign: u64,
    /// Picks.
    pub picks: u64,
}

slotmap::new_key_type! {
    struct PeerKey;
}

/// A request in flight.
#[derive(Debug)]
struct Call {
    peer: PeerKey,
    route: RouteKey,
    begun: Time,
    /// Age at which it is late, if a latency is known.
    limit: Option<Duration>,
    /// When it becomes late, or older; `None` once that doesn't matter any more.
    due: Option<Time>,
    /// How often it was found late: at the limit, at twice and at four times the limit.
    lateness: u32,
    judged: bool,
    /// Whether its judgement was put off.
    deferred: bool,
    answered: bool,
}

impl Call {
    /// Returns whether losing to a hedge at `now` counts as late.
    fn overtaken_late(&self, now: Time) -> bool {
        self.limit
            .is_some_and(|limit| now.since(self.begun) >= limit.mul_f64(OVERTAKEN_SHARE))
    }
}

/// Chooses instances of one service for one node.
#[derive(Debug)]
pub struct Picker {
    cfg: PickerCfg,
    rng: Xoshiro256PlusPlus,
    peers: SlotMap<PeerKey, Peer>,
    by_id: BTreeMap<InstanceId, PeerKey>,
    calls: SlotMap<Ticket, Call>,
    due: BTreeSet<(Time, Ticket)>,
    judge: Judge,
    /// Ready instances that aren't ejected, own domain first; `locals` of them are in it.
    usable: Vec<PeerKey>,
    locals: usize,
    ejected: Vec<PeerKey>,
    /// Usable instances with some suspicion.
    suspects: Vec<PeerKey>,
    spill: Spill,
    refresh_at: Time,
    stats: PickerStats,
}

impl Picker {
    /// Makes a picker without instances.
    pub fn new(cfg: PickerCfg, seed: u64) -> Picker {
        Picker {
            cfg,
            rng: Xoshiro256PlusPlus::seed_from_u64(seed),
            peers: SlotMap::with_key(),
            by_id: BTreeMap::new(),
            calls: SlotMap::with_key(),
            due: BTreeSet::new(),
            judge: Judge::default(),
            usable: Vec::new(),
            locals: 0,
            ejected: Vec::new(),
            suspects: Vec::new(),
            spill: Spill::default(),
            refresh_at: Time::ZERO,
            stats: PickerStats::default(),
        }
    }

    /// Replaces the instances. Statistics of those that stay are kept.
    pub fn set_instances(&mut self, now: Time, views: &[View]) {
        let chosen = subset(views, self.cfg.node, &self.cfg.domain, self.cfg.subset);
        let ids: BTreeSet<InstanceId> = chosen.iter().map(|v| v.id).collect();
        let peers = &mut self.peers;
        self.by_id.retain(|id, key| {
            let stays = ids.contains(id);
            if !stays {
                peers.remove(*key);
            }
            stays
        });
        for view in chosen {
            self.set_instance(now, view);
        }
        self.keep_ejections_bounded();
        self.rebuild(now);
    }

    fn set_instance(&mut self, now: Time, view: &View) {
        let local = view.domain == self.cfg.domain;
        let ramp = Ramp::new(now, self.cfg.slow_start);
        let Some(&key) = self.by_id.get(&view.id) else {
            let peer = Peer::new(view, local, view.fresh.then_some(ramp));
            self.by_id.insert(view.id, self.peers.insert(peer));
            return;
        };
        let peer = &mut self.peers[key];
        if view.state != State::Ready {
            peer.ejection = None;
        } else if peer.state != State::Ready {
            // A new life: what was seen of the last one doesn't count.
            peer.suspicion = 0.0;
            peer.drains_until = Time::ZERO;
            peer.ramp = view.fresh.then_some(ramp);
        }
        peer.local = local;
        peer.slots = view.slots.max(1);
        peer.state = view.state;
    }

    /// Readmits the earliest ejected instances when the service has become too small for them.
    fn keep_ejections_bounded(&mut self) {
        let ready = self.ready();
        let mut ejected: Vec<(Time, PeerKey)> = self
            .peers
            .iter()
            .filter_map(|(key, p)| Some((p.ejection?.since, key)))
            .collect();
        ejected.sort_unstable();
        let surplus = ejected.len().saturating_sub(max_ejected(ready));
        for (_, key) in &ejected[..surplus] {
            self.peers[*key].ejection = None;
            self.peers[*key].suspicion = 0.0;
        }
    }

    /// Chooses an instance, or `None` if none takes work, all were tried, or the instances tried
    /// and most others are full.
    pub fn pick(&mut self, now: Time, ask: &Ask<'_>) -> Option<Pick> {
        self.advance(now);
        if self.is_full_everywhere(ask) {
            return None;
        }
        if let Some(id) = self.probe(now, ask) {
            return Some(Pick { id, probe: true });
        }
        let key = self
            .choose(now, ask)
            .or_else(|| self.last_resort(now, ask))?;
        let peer = &self.peers[key];
        self.stats.picks += 1;
        self.stats.foreign += u64::from(!peer.local);
        Some(Pick {
            id: peer.id,
            probe: false,
        })
    }

    /// Counts an attempt that is sent to `id` now. Each ticket must be given to `end` once.
    pub fn begin(&mut self, now: Time, id: InstanceId, route: RouteKey) -> Ticket {
        let key = self.by_id.get(&id).copied().unwrap_or_default();
        let mut limit = None;
        if let Some(peer) = self.peers.get_mut(key) {
            peer.in_flight += 1;
            peer.last_begun = now;
            limit = late_limit(&self.judge, &self.cfg.outlier, route, peer);
        }
        let due = limit.map(|limit| now + limit);
        let ticket = self.calls.insert(Call {
            peer: key,
            route,
            begun: now,
            limit,
            due,
            lateness: 0,
            judged: false,
            deferred: false,
            answered: false,
        });
        if let Some(at) = due {
            self.due.insert((at, ticket));
        }
        ticket
    }

    /// Notes that the response has begun. The time its body takes says nothing about the instance.
    pub fn answered(&mut self, now: Time, ticket: Ticket, load: Option<Load>) {
        self.advance(now);
        let Some(call) = self.calls.get_mut(ticket) else {
            return;
        };
        if call.answered {
            return;
        }
        call.answered = true;
        let (key, route, latency) = (call.peer, call.route, now.since(call.begun));
        let stalled = call.deferred && !call.judged;
        if let Some(peer) = self.peers.get_mut(key) {
            // A slot has become free. Waiting longer left instances idle under overload.
            peer.busy_until = now;
            if let Some(load) = load {
                peer.load = Some((now, load));
            }
        }
        if stalled {
            self.decide(now, ticket, Evidence::Unclear);
            return;
        }
        let median = self.judge.median(route);
        if let Some(peer) = self.peers.get_mut(key) {
            if let Some(median) = median {
                peer.speed
                    .update(latency.as_secs_f64() / median.as_secs_f64());
            }
            // Probes of a slow instance don't belong to the service's usual latency.
            if peer.ejection.is_none() {
                self.judge.record(route, latency);
            }
        }
        self.decide(now, ticket, Evidence::Prompt);
    }

    /// Counts the end of an attempt. A ticket that has ended already is ignored.
    pub fn end(&mut self, now: Time, ticket: Ticket, outcome: Outcome) {
        match outcome.kind {
            Kind::Ok => self.answered(now, ticket, outcome.load),
            _ => self.advance(now),
        }
        self.judge_end(now, ticket, outcome.kind);
        let Some(call) = self.calls.remove(ticket) else {
            return;
        };
        if let Some(at) = call.due {
            self.due.remove(&(at, ticket));
        }
        if let Some(peer) = self.peers.get_mut(call.peer) {
            peer.in_flight -= 1;
            peer.count_end(outcome.kind);
            if let Some(load) = outcome.load {
                peer.load = Some((now, load));
            }
        }
    }

    fn judge_end(&mut self, now: Time, ticket: Ticket, kind: Kind) {
        match kind {
            Kind::Ok | Kind::Cancelled => {}
            Kind::Overtaken => {
                let evidence = self.overtaken(now, ticket);
                self.decide(now, ticket, evidence);
            }
            Kind::ConnectFailed | Kind::Lost => self.decide(now, ticket, Evidence::Error),
            // A short deadline isn't the instance's fault. Without a known latency, it may be.
            Kind::TimedOut => {
                if self.calls.get(ticket).is_some_and(|c| c.limit.is_none()) {
                    self.decide(now, ticket, Evidence::Error);
                }
            }
            Kind::Refused(code) => self.refused(now, ticket, code),
        }
    }

    fn overtaken(&self, now: Time, ticket: Ticket) -> Evidence {
        let late = self
            .calls
            .get(ticket)
            .is_some_and(|c| c.overtaken_late(now));
        let probe = self
            .calls
            .get(ticket)
            .is_some_and(|c| self.peers.get(c.peer).is_some_and(|p| p.ejection.is_some()));
        if late && !probe {
            Evidence::Late
        } else {
            Evidence::Unclear
        }
    }

    fn refused(&mut self, now: Time, ticket: Ticket, code: Code) {
        let key = self.calls.get(ticket).map(|c| c.peer).unwrap_or_default();
        let Some(peer) = self.peers.get_mut(key) else {
            return;
        };
        match code {
            Code::QueueFull | Code::CannotStartInTime => peer.busy_until = now + BUSY,
            Code::Draining => {
                peer.drains_until = now + DRAINING;
                self.refresh_at = now;
            }
            Code::NotReady | Code::TargetDown | Code::TargetLost | Code::PeerLost => {
                self.decide(now, ticket, Evidence::Error);
            }
            _ => {}
        }
    }

    /// Judges an attempt, unless that is done.
    fn decide(&mut self, now: Time, ticket: Ticket, evidence: Evidence) {
        let Some(call) = self.calls.get_mut(ticket) else {
            return;
        };
        if let Some(at) = call.due.take() {
            self.due.remove(&(at, ticket));
        }
        if std::mem::replace(&mut call.judged, true) {
            if (1..MAX_LATENESS).contains(&call.lateness)
                && let Some(peer) = self.peers.get_mut(call.peer)
            {
                peer.usual.late_ended();
            }
            return;
        }
        let (key, begun) = (call.peer, call.begun);
        self.weigh(now, key, begun, evidence);
    }

    /// Gives an attempt that was found late with a delay time for its answer, once: this process
    /// may have been stalled, and the answer may wait in a socket buffer.
    fn defer(&mut self, now: Time, ticket: Ticket) -> bool {
        let Some(call) = self.calls.get_mut(ticket) else {
            return false;
        };
        if std::mem::replace(&mut call.deferred, true) {
            return false;
        }
        let at = now + GRACE;
        call.due = Some(at);
        self.due.insert((at, ticket));
        true
    }

    /// Judges an attempt that is late, and sets the age at which it is judged again.
    fn overdue(&mut self, now: Time, ticket: Ticket) {
        let Some(call) = self.calls.get_mut(ticket) else {
            return;
        };
        let first = !std::mem::replace(&mut call.judged, true);
        call.lateness += 1;
        call.due = match call.limit {
            Some(limit) if call.lateness < MAX_LATENESS => {
                Some(call.begun + limit * 2_u32.pow(call.lateness))
            }
            _ => None,
        };
        if let Some(at) = call.due {
            self.due.insert((at, ticket));
        }
        let evidence = if first {
            Evidence::Late
        } else {
            Evidence::Older
        };
        let (key, begun) = (call.peer, call.begun);
        self.weigh(now, key, begun, evidence);
    }

    fn weigh(&mut self, now: Time, key: PeerKey, begun: Time, evidence: Evidence) {
        let late = matches!(evidence, Evidence::Late | Evidence::Older);
        let overloaded = late && self.is_overloaded(key);
        let cfg = &self.cfg.outlier;
        let Some(peer) = self.peers.get_mut(key) else {
            return;
        };
        if overloaded && peer.ejection.is_none() {
            return;
        }
        let change = peer.usual.weigh(cfg, evidence, peer.ejection.is_some());
        let Some(ejection) = &mut peer.ejection else {
            peer.suspicion = bounded(cfg, peer.suspicion + change);
            if peer.suspicion >= cfg.threshold {
                self.try_eject(now, key);
            }
            return;
        };
        // Requests from before the ejection were its reason and say nothing about a recovery.
        if begun < ejection.since || evidence == Evidence::Older {
            return;
        }
        if ejection.probed(cfg, now, evidence) {
            peer.ejection = None;
            peer.suspicion = 0.0;
            peer.ramp = Some(Ramp::new(now, self.cfg.readmit_ramp));
            self.stats.readmissions += 1;
            self.rebuild(now);
        }
    }

    /// Returns whether at least half of the other instances refuse work for lack of room. Then
    /// latency depends on their queues and says little about an instance.
    fn is_overloaded(&self, key: PeerKey) -> bool {
        let others = || {
            self.peers
                .iter()
                .filter(|(k, p)| *k != key && p.state == State::Ready)
        };
        let full = others().filter(|(_, p)| p.refuses > FULL_SHARE).count();
        full > 0 && full * 2 >= others().count()
    }

    /// Returns whether a further attempt would only be refused again, and later than the first.
    fn is_full_everywhere(&self, ask: &Ask<'_>) -> bool {
        let tried = || ask.exclude.iter().filter_map(|id| self.by_id.get(id));
        tried().next().is_some()
            && tried().all(|k| self.peers[*k].refuses > FULL_SHARE && self.is_overloaded(*k))
    }

    /// Ejects an instance unless too many are out or most others look the same.
    fn try_eject(&mut self, now: Time, key: PeerKey) {
        let limit = max_ejected(self.ready());
        if limit == 0 || self.peers[key].state != State::Ready {
            return;
        }
        let ejected = self.peers.values().filter(|p| p.ejection.is_some()).count();
        let mut gives_way = None;
        if ejected >= limit {
            gives_way = self.least_confirmed(key);
            if gives_way.is_none() {
                return;
            }
        }
        let mut others: Vec<f64> = self
            .peers
            .iter()
            .filter(|(k, p)| *k != key && p.state == State::Ready && p.ejection.is_none())
            .map(|(_, p)| p.suspicion)
            .collect();
        others.sort_unstable_by(f64::total_cmp);
        let median = others.get(others.len() / 2).copied().unwrap_or(0.0);
        if median >= self.cfg.outlier.threshold * SUSPECT_SHARE {
            return;
        }
        if let Some(other) = gives_way {
            self.peers[other].ejection = None;
            self.peers[other].suspicion = 0.0;
        }
        self.peers[key].ejection = Some(Ejection::new(&self.cfg.outlier, now));
        self.stats.ejections += 1;
        self.rebuild(now);
    }

    /// Returns the ejected instance that gives way to `key`: no probe has failed there yet, and the
    /// evidence against `key` is stronger than that which ejects.
    fn least_confirmed(&self, key: PeerKey) -> Option<PeerKey> {
        if self.peers[key].suspicion < self.cfg.outlier.threshold * SWAP_SHARE {
            return None;
        }
        let open = |p: &Peer| p.ejection.is_some_and(|e| !e.confirmed);
        self.peers.iter().find(|(_, p)| open(p)).map(|(k, _)| k)
    }

    /// Judges the requests that have become late, and refreshes the derived state.
    fn advance(&mut self, now: Time) {
        while let Some(&(at, ticket)) = self.due.first() {
            if at > now {
                break;
            }
            self.due.remove(&(at, ticket));
            if now.since(at) <= STALL || !self.defer(now, ticket) {
                self.overdue(now, ticket);
            }
        }
        if now >= self.refresh_at {
            self.rebuild(now);
        }
    }

    fn rebuild(&mut self, now: Time) {
        self.refresh_at = now + REFRESH;
        self.usable.clear();
        self.ejected.clear();
        self.suspects.clear();
        for local in [true, false] {
            // The order of ids makes equal inputs give equal choices.
            for &key in self.by_id.values() {
                let peer = &self.peers[key];
                if peer.local != local {
                    continue;
                }
                if !peer.takes_work(now) {
                    // The end of its draining is worth a look at that time.
                    if now < peer.drains_until {
                        self.refresh_at = self.refresh_at.min(peer.drains_until);
                    }
                    continue;
                }
                match peer.ejection {
                    None => {
                        self.usable.push(key);
                        if peer.suspicion >= self.cfg.outlier.threshold * SUSPECT_SHARE {
                            self.suspects.push(key);
                        }
                    }
                    Some(_) => self.ejected.push(key),
                }
            }
            if local {
                self.locals = self.usable.len();
            }
        }
        self.spill.update(now, self.used(now));
    }

    /// Returns the used share of the own domain's slots.
    fn used(&self, now: Time) -> Option<f64> {
        let locals = &self.usable[..self.locals];
        let slots: u32 = locals.iter().map(|k| self.peers[*k].slots).sum();
        let held: u32 = locals.iter().map(|k| self.peers[*k].occupied(now)).sum();
        (slots > 0).then(|| f64::from(held) / f64::from(slots))
    }

    fn ready(&self) -> usize {
        let ready = |p: &&Peer| p.state == State::Ready;
        self.peers.values().filter(ready).count()
    }

    /// Returns a suspect that had no request for a while.
    ///
    /// Many suspects mean that the service is slow, and then the usual choice spreads the load.
    fn suspect(&self, now: Time, ask: &Ask<'_>) -> Option<InstanceId> {
        if self.suspects.len() > (self.usable.len() / 2).max(1) {
            return None;
        }
        let waits = |p: &&Peer| {
            p.ejection.is_none()
                && now >= p.last_begun + SUSPECT_WAIT
                && now >= p.busy_until
                && p.in_flight < p.slots
        };
        let suspects = self.suspects.iter().map(|key| &self.peers[*key]);
        let mut idle = suspects.filter(waits).map(|p| p.id);
        idle.find(|id| !ask.exclude.contains(id))
    }

    fn probe(&mut self, now: Time, ask: &Ask<'_>) -> Option<InstanceId> {
        if ask.hedge {
            return None;
        }
        if let Some(id) = self.suspect(now, ask) {
            self.stats.probes += 1;
            return Some(id);
        }
        for key in &self.ejected {
            let peer = &mut self.peers[*key];
            let id = peer.id;
            let Some(ejection) = &mut peer.ejection else {
                continue;
            };
            let due = ejection.probe_due(&self.cfg.outlier, now, ask.repeatable);
            if due && !ask.exclude.contains(&id) {
                ejection.probe_sent(now);
                self.stats.probes += 1;
                return Some(id);
            }
        }
        None
    }

    fn choose(&mut self, now: Time, ask: &Ask<'_>) -> Option<PeerKey> {
        if !self.spill.is_on()
            && let Some(key) = self.best(now, ask, 0..self.locals)
            && self.peers[key].in_flight < self.peers[key].slots
        {
            return Some(key);
        }
        self.best(now, ask, 0..self.usable.len())
    }

    /// Returns the best of a few random candidates with room.
    fn best(&mut self, now: Time, ask: &Ask<'_>, range: std::ops::Range<usize>) -> Option<PeerKey> {
        let n = range.len();
        if n == 0 {
            return None;
        }
        let start = self.rng.random_range(0..n);
        let step = match n <= self.cfg.choices {
            true => 1,
            false => self.rng.random_range(1..n),
        };
        let mut best: Option<(f64, PeerKey)> = None;
        let mut compared = 0;
        for i in 0..n {
            let key = self.usable[range.start + (start + i * step) % n];
            let peer = &self.peers[key];
            if ask.exclude.contains(&peer.id) || now < peer.busy_until {
                continue;
            }
            let foreign = if peer.local {
                1.0
            } else {
                self.cfg.foreign_factor
            };
            let cost = peer.cost(now, self.cfg.hint_weight) * foreign;
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, key));
            }
            compared += 1;
            if compared == self.cfg.choices {
                break;
            }
        }
        best.map(|(_, key)| key)
    }

    /// Returns an instance that is busy, or else one that is ejected.
    fn last_resort(&mut self, now: Time, ask: &Ask<'_>) -> Option<PeerKey> {
        let peers = &self.peers;
        let least = |keys: &[PeerKey]| {
            keys.iter()
                .copied()
                .filter(|k| !ask.exclude.contains(&peers[*k].id))
                .min_by(|a, b| {
                    let cost = |k: &PeerKey| peers[*k].cost(now, self.cfg.hint_weight);
                    cost(a).total_cmp(&cost(b))
                })
        };
        if let Some(key) = least(&self.usable) {
            return Some(key);
        }
        let key = least(&self.ejected)?;
        self.stats.panics += 1;
        Some(key)
    }

    /// Judges the requests that have become late by now, for a node without traffic.
    pub fn poll(&mut self, now: Time) {
        self.advance(now);
    }

    /// Returns when `poll` is worth a call, if at all.
    pub fn next_wake(&self) -> Option<Time> {
        self.due.first().map(|(at, _)| *at)
    }

    /// Returns the service's median latency on a route, once it is known.
    pub fn median(&self, route: RouteKey) -> Option<Duration> {
        self.judge.median(route)
    }

    /// Returns the age at which a request on an instance becomes late, once it is known.
    ///
    /// A probe must not be hedged earlier: overtaken by a hedge, it would show nothing, and a slow
    /// but healthy instance would stay ejected.
    pub fn late_after(&self, id: InstanceId, route: RouteKey) -> Option<Duration> {
        let peer = self.peers.get(*self.by_id.get(&id)?)?;
        late_limit(&self.judge, &self.cfg.outlier, route, peer)
    }

    /// Forgets the statistics of routes for which `keep` is false.
    pub fn retain_routes(&mut self, keep: impl FnMut(RouteKey) -> bool) {
        self.judge.retain(keep);
    }

    /// Returns the ejected instances.
    pub fn ejected(&self) -> impl Iterator<Item = InstanceId> + '_ {
        self.ejected.iter().map(|k| self.peers[*k].id)
    }

    /// Returns the requests in flight to an instance.
    pub fn in_flight(&self, id: InstanceId) -> u32 {
        let key = self.by_id.get(&id).copied().unwrap_or_default();
        self.peers.get(key).map_or(0, |p| p.in_flight)
    }

    /// Returns the instances that this node uses.
    pub fn instances(&self) -> impl Iterator<Item = InstanceId> + '_ {
        self.by_id.keys().copied()
    }

    /// Returns the counters.
    pub fn stats(&self) -> PickerStats {
        self.stats
    }
}

fn late_limit(judge: &Judge, cfg: &OutlierCfg, route: RouteKey, peer: &Peer) -> Option<Duration> {
    let max = match peer.ejection {
        None => cfg.late_factor_max,
        Some(_) => cfg.probe_factor_max,
    };
    judge.limit(cfg, route, peer.speed, max)
}
