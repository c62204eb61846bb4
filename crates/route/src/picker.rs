//! Choice of an instance for each attempt.
//!
//! An attempt without a response is late from a certain age, at which a late check finds it. Late
//! and failed attempts raise the suspicion against their instance, prompt ones lower it. From a
//! quarter of the ejection threshold an instance is a suspect; at the threshold it is ejected (see
//! `outlier`). An instance that often refuses requests for lack of room counts as full.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rand::rngs::Xoshiro256PlusPlus;
use rand::{RngExt, SeedableRng};
use slotmap::SlotMap;
use wire::{Code, Domain, InstanceId, Load, Time};

use crate::outlier::{Ejection, Evidence, OVERTAKEN_LATE_SHARE, clamp_suspicion};
use crate::peer::{Peer, Ramp};
use crate::route_latency::RouteLatencies;
use crate::spillover::Spillover;
use crate::subset::subset;
use crate::{
    InstanceView, Outcome, OutcomeKind, OutlierCfg, Pick, PickRequest, RouteKey, State, Ticket,
    max_ejected,
};

/// Interval at which the lists of instances and the use of the own domain are recomputed.
const REFRESH_INTERVAL: Duration = Duration::from_millis(5);
/// Backoff after a refusal for lack of room. The next response from the instance ends it early.
const BUSY_BACKOFF: Duration = Duration::from_millis(50);
/// Share of recent attempts refused for lack of room above which an instance counts as full.
const FULL_RATE: f64 = 0.1;
/// Suspicion from which an instance is a suspect, as a share of the ejection threshold. One late
/// request is enough, unless late requests are usual for the instance.
const SUSPECT_THRESHOLD_SHARE: f64 = 0.25;
/// Idle time after which a suspect gets the next request. A node that rarely uses an instance would
/// otherwise take long to tell whether the instance is slow.
const SUSPECT_MAX_IDLE: Duration = Duration::from_millis(50);
/// Suspicion from which an instance is ejected in place of one that no failed probe has confirmed
/// to be slow, as a multiple of the ejection threshold.
const REPLACE_THRESHOLD_FACTOR: f64 = 1.4;
/// Delay of a late check beyond which this process itself may have been stalled.
const STALL_THRESHOLD: Duration = Duration::from_millis(20);
/// Time that a stalled process gets to read responses that arrived during the stall.
const STALL_GRACE_PERIOD: Duration = Duration::from_millis(10);
/// Maximum number of late checks per attempt. One that was deferred counts once.
const MAX_LATE_CHECKS: u32 = 3;
/// Backoff after a refusal for draining. Membership reports the drain within this time.
const DRAINING_BACKOFF: Duration = Duration::from_secs(3);

/// Settings of a picker.
#[derive(Clone, Debug)]
pub struct PickerCfg {
    /// The entry node that owns the picker.
    pub node: InstanceId,
    /// Failure domain of `node`.
    pub domain: Domain,
    /// Maximum number of instances that the node uses, draining ones excluded.
    pub subset: usize,
    /// Number of random candidates that are compared for each pick.
    pub choices: usize,
    /// Factor on the cost of an instance in another failure domain.
    pub cross_domain_factor: f64,
    /// Number of requests that a reported queue adds to the cost of an instance if it holds at
    /// least one request per slot; a shorter queue adds proportionally less.
    pub load_hint_weight: f64,
    /// Time in which a newly started instance ramps up to its full share.
    pub slow_start: Duration,
    /// Time in which a readmitted instance ramps up to its full share.
    pub readmit_ramp: Duration,
    /// Settings of outlier detection.
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
            cross_domain_factor: 1.25,
            load_hint_weight: 1.0,
            slow_start: Duration::from_secs(5),
            readmit_ramp: Duration::from_secs(1),
            outlier: OutlierCfg::default(),
        }
    }
}

/// Counters of a picker since its creation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PickerStats {
    /// Ejections of an instance.
    pub ejections: u64,
    /// Readmissions after probes; an ejection that ends for another reason isn't counted.
    pub readmissions: u64,
    /// Requests sent to ejected instances as probes, or to idle suspects.
    pub probes: u64,
    /// Picks of an ejected instance because no other one remained.
    pub ejected_picks: u64,
    /// Picks outside the own failure domain, probes excluded.
    pub cross_domain: u64,
    /// All picks, probes excluded.
    pub picks: u64,
}

slotmap::new_key_type! {
    struct PeerKey;
}

/// An attempt in flight.
#[derive(Debug)]
struct Attempt {
    peer: PeerKey,
    route: RouteKey,
    begun: Time,
    /// Age from which the attempt is late; `None` while the route's latency is unknown.
    late_after: Option<Duration>,
    /// Time of the next late check; `None` if no further one is due.
    late_check_at: Option<Time>,
    /// Number of late checks that found the attempt without a response: at once, twice and four
    /// times `late_after`.
    late_count: u32,
    /// Whether the attempt has given its first evidence about the instance.
    is_judged: bool,
    /// Whether a late check of the attempt was deferred because this process may have been stalled.
    is_deferred: bool,
    has_response: bool,
}

impl Attempt {
    /// Returns whether the attempt counts as late if a hedge overtakes it at `now`.
    fn is_late_when_overtaken(&self, now: Time) -> bool {
        self.late_after
            .is_some_and(|age| now.since(self.begun) >= age.mul_f64(OVERTAKEN_LATE_SHARE))
    }
}

/// Chooses instances of one service for one entry node.
#[derive(Debug)]
pub struct Picker {
    cfg: PickerCfg,
    rng: Xoshiro256PlusPlus,
    peers: SlotMap<PeerKey, Peer>,
    by_id: BTreeMap<InstanceId, PeerKey>,
    attempts: SlotMap<Ticket, Attempt>,
    /// Pending late checks in the order of their times.
    late_checks: BTreeSet<(Time, Ticket)>,
    latencies: RouteLatencies,
    /// Ready instances that aren't ejected. The first `local_count` are in the own domain.
    usable: Vec<PeerKey>,
    local_count: usize,
    ejected: Vec<PeerKey>,
    /// Usable instances whose suspicion is at least `SUSPECT_THRESHOLD_SHARE` of the threshold.
    suspects: Vec<PeerKey>,
    spillover: Spillover,
    /// When the lists of instances and `spillover` are next recomputed.
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
            attempts: SlotMap::with_key(),
            late_checks: BTreeSet::new(),
            latencies: RouteLatencies::default(),
            usable: Vec::new(),
            local_count: 0,
            ejected: Vec::new(),
            suspects: Vec::new(),
            spillover: Spillover::default(),
            refresh_at: Time::ZERO,
            stats: PickerStats::default(),
        }
    }

    /// Replaces the set of instances. Instances that were in the old set keep their statistics.
    pub fn set_instances(&mut self, now: Time, views: &[InstanceView]) {
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
        self.readmit_surplus();
        self.rebuild(now);
    }

    fn set_instance(&mut self, now: Time, view: &InstanceView) {
        let is_local = view.domain == self.cfg.domain;
        let ramp = Ramp::new(now, self.cfg.slow_start);
        let Some(&key) = self.by_id.get(&view.id) else {
            let peer = Peer::new(view, is_local, view.is_fresh.then_some(ramp));
            self.by_id.insert(view.id, self.peers.insert(peer));
            return;
        };
        let peer = &mut self.peers[key];
        if view.state != State::Ready {
            peer.ejection = None;
        } else if peer.state != State::Ready {
            // A new incarnation: evidence against the previous one doesn't count.
            peer.suspicion = 0.0;
            peer.draining_until = Time::ZERO;
            peer.ramp = view.is_fresh.then_some(ramp);
        }
        peer.is_local = is_local;
        peer.slots = view.slots.max(1);
        peer.state = view.state;
    }

    /// Readmits the longest-ejected instances while more are ejected than the limit allows, as
    /// after the service has shrunk.
    fn readmit_surplus(&mut self) {
        let ready = self.ready_count();
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

    /// Chooses an instance. Returns `None` if no instance accepts requests, if the request has
    /// tried all that do, or if the tried instances and at least half of the others are full.
    pub fn pick(&mut self, now: Time, request: &PickRequest<'_>) -> Option<Pick> {
        self.advance(now);
        if self.is_full_everywhere(request) {
            return None;
        }
        if let Some(id) = self.choose_probe(now, request) {
            return Some(Pick { id, is_probe: true });
        }
        let key = self
            .choose_usable(now, request)
            .or_else(|| self.last_resort(now, request))?;
        let peer = &self.peers[key];
        self.stats.picks += 1;
        self.stats.cross_domain += u64::from(!peer.is_local);
        Some(Pick {
            id: peer.id,
            is_probe: false,
        })
    }

    /// Records that an attempt is sent to `id` at `now`. Each ticket must be passed to `end` once.
    pub fn begin(&mut self, now: Time, id: InstanceId, route: RouteKey) -> Ticket {
        let key = self.by_id.get(&id).copied().unwrap_or_default();
        let mut late_after = None;
        if let Some(peer) = self.peers.get_mut(key) {
            peer.in_flight += 1;
            peer.last_attempt_at = now;
            late_after = late_limit(&self.latencies, &self.cfg.outlier, route, peer);
        }
        let late_check_at = late_after.map(|age| now + age);
        let ticket = self.attempts.insert(Attempt {
            peer: key,
            route,
            begun: now,
            late_after,
            late_check_at,
            late_count: 0,
            is_judged: false,
            is_deferred: false,
            has_response: false,
        });
        if let Some(at) = late_check_at {
            self.late_checks.insert((at, ticket));
        }
        ticket
    }

    /// Records the start of the response; only the first call for a ticket counts. The transfer
    /// time of the response's body is no measure of the instance and isn't recorded.
    pub fn record_response_start(&mut self, now: Time, ticket: Ticket, load: Option<Load>) {
        self.advance(now);
        let Some(attempt) = self.attempts.get_mut(ticket) else {
            return;
        };
        if attempt.has_response {
            return;
        }
        attempt.has_response = true;
        let (key, route, latency) = (attempt.peer, attempt.route, now.since(attempt.begun));
        let was_stalled = attempt.is_deferred && !attempt.is_judged;
        if let Some(peer) = self.peers.get_mut(key) {
            // A slot is free again. A longer backoff would leave instances idle under overload.
            peer.busy_until = now;
            if let Some(load) = load {
                peer.load = Some((now, load));
            }
        }
        if was_stalled {
            self.judge(now, ticket, Evidence::Inconclusive);
            return;
        }
        let median = self.latencies.median(route);
        if let Some(peer) = self.peers.get_mut(key) {
            if let Some(median) = median {
                peer.latency_ratio
                    .update(latency.as_secs_f64() / median.as_secs_f64());
            }
            // Probe latencies of a slow instance would distort the service's median.
            if peer.ejection.is_none() {
                self.latencies.record(route, latency);
            }
        }
        self.judge(now, ticket, Evidence::Prompt);
    }

    /// Records the end of an attempt. A ticket that has already ended is ignored.
    pub fn end(&mut self, now: Time, ticket: Ticket, outcome: Outcome) {
        match outcome.kind {
            OutcomeKind::Ok => self.record_response_start(now, ticket, outcome.load),
            _ => self.advance(now),
        }
        self.record_outcome(now, ticket, outcome.kind);
        let Some(attempt) = self.attempts.remove(ticket) else {
            return;
        };
        if let Some(at) = attempt.late_check_at {
            self.late_checks.remove(&(at, ticket));
        }
        if let Some(peer) = self.peers.get_mut(attempt.peer) {
            peer.in_flight -= 1;
            peer.record_end(outcome.kind);
            if let Some(load) = outcome.load {
                peer.load = Some((now, load));
            }
        }
    }

    fn record_outcome(&mut self, now: Time, ticket: Ticket, kind: OutcomeKind) {
        match kind {
            OutcomeKind::Ok | OutcomeKind::Cancelled => {}
            OutcomeKind::Overtaken => {
                let evidence = self.overtaken_evidence(now, ticket);
                self.judge(now, ticket, evidence);
            }
            OutcomeKind::ConnectFailed | OutcomeKind::ConnectionLost => {
                self.judge(now, ticket, Evidence::Error);
            }
            // The deadline may have been short, so a time-out counts as an error only while the
            // route's latency is unknown.
            OutcomeKind::TimedOut => {
                if self
                    .attempts
                    .get(ticket)
                    .is_some_and(|a| a.late_after.is_none())
                {
                    self.judge(now, ticket, Evidence::Error);
                }
            }
            OutcomeKind::Refused(code) => self.record_refusal(now, ticket, code),
        }
    }

    /// Returns the evidence of an attempt that a hedge has overtaken at `now`.
    fn overtaken_evidence(&self, now: Time, ticket: Ticket) -> Evidence {
        let is_late = self
            .attempts
            .get(ticket)
            .is_some_and(|a| a.is_late_when_overtaken(now));
        let is_probe = self
            .attempts
            .get(ticket)
            .is_some_and(|a| self.peers.get(a.peer).is_some_and(|p| p.ejection.is_some()));
        if is_late && !is_probe {
            Evidence::Late
        } else {
            Evidence::Inconclusive
        }
    }

    /// Sets the backoff, or applies the evidence, that follows from a refusal with `code`.
    fn record_refusal(&mut self, now: Time, ticket: Ticket, code: Code) {
        let key = self
            .attempts
            .get(ticket)
            .map(|a| a.peer)
            .unwrap_or_default();
        let Some(peer) = self.peers.get_mut(key) else {
            return;
        };
        match code {
            Code::QueueFull | Code::CannotStartInTime => peer.busy_until = now + BUSY_BACKOFF,
            Code::Draining => {
                peer.draining_until = now + DRAINING_BACKOFF;
                self.refresh_at = now;
            }
            Code::NotReady | Code::TargetDown | Code::TargetLost | Code::PeerLost => {
                self.judge(now, ticket, Evidence::Error);
            }
            _ => {}
        }
    }

    /// Ends the late checks of an attempt and applies its evidence, unless the attempt has been
    /// judged before.
    fn judge(&mut self, now: Time, ticket: Ticket, evidence: Evidence) {
        let Some(attempt) = self.attempts.get_mut(ticket) else {
            return;
        };
        if let Some(at) = attempt.late_check_at.take() {
            self.late_checks.remove(&(at, ticket));
        }
        if std::mem::replace(&mut attempt.is_judged, true) {
            if (1..MAX_LATE_CHECKS).contains(&attempt.late_count)
                && let Some(peer) = self.peers.get_mut(attempt.peer)
            {
                peer.baseline.record_late_end();
            }
            return;
        }
        let (key, begun) = (attempt.peer, attempt.begun);
        self.apply_evidence(now, key, begun, evidence);
    }

    /// Defers a late check that ran with a delay, once per attempt: this process may have been
    /// stalled, and the response may be waiting in a socket buffer. Returns whether it deferred.
    fn defer_late_check(&mut self, now: Time, ticket: Ticket) -> bool {
        let Some(attempt) = self.attempts.get_mut(ticket) else {
            return false;
        };
        if std::mem::replace(&mut attempt.is_deferred, true) {
            return false;
        }
        let at = now + STALL_GRACE_PERIOD;
        attempt.late_check_at = Some(at);
        self.late_checks.insert((at, ticket));
        true
    }

    /// Records a late attempt and schedules its next late check, if any remains.
    fn record_late(&mut self, now: Time, ticket: Ticket) {
        let Some(attempt) = self.attempts.get_mut(ticket) else {
            return;
        };
        let is_first = !std::mem::replace(&mut attempt.is_judged, true);
        attempt.late_count += 1;
        attempt.late_check_at = match attempt.late_after {
            Some(age) if attempt.late_count < MAX_LATE_CHECKS => {
                Some(attempt.begun + age * 2_u32.pow(attempt.late_count))
            }
            _ => None,
        };
        if let Some(at) = attempt.late_check_at {
            self.late_checks.insert((at, ticket));
        }
        let evidence = if is_first {
            Evidence::Late
        } else {
            Evidence::VeryLate
        };
        let (key, begun) = (attempt.peer, attempt.begun);
        self.apply_evidence(now, key, begun, evidence);
    }

    fn apply_evidence(&mut self, now: Time, key: PeerKey, begun: Time, evidence: Evidence) {
        let is_late = matches!(evidence, Evidence::Late | Evidence::VeryLate);
        let are_others_full = is_late && self.are_others_full(key);
        let cfg = &self.cfg.outlier;
        let Some(peer) = self.peers.get_mut(key) else {
            return;
        };
        if are_others_full && peer.ejection.is_none() {
            return;
        }
        let change = peer.baseline.record(cfg, evidence, peer.ejection.is_some());
        let Some(ejection) = &mut peer.ejection else {
            peer.suspicion = clamp_suspicion(cfg, peer.suspicion + change);
            if peer.suspicion >= cfg.threshold {
                self.try_eject(now, key);
            }
            return;
        };
        // Attempts from before the ejection led to it and are no evidence of a recovery.
        if begun < ejection.since || evidence == Evidence::VeryLate {
            return;
        }
        if ejection.record_probe_result(cfg, now, evidence) {
            peer.ejection = None;
            peer.suspicion = 0.0;
            peer.ramp = Some(Ramp::new(now, self.cfg.readmit_ramp));
            self.stats.readmissions += 1;
            self.rebuild(now);
        }
    }

    /// Returns whether at least half of the ready instances other than `key`, and at least one, are
    /// full. Latency then depends on queueing and is weak evidence against an instance.
    fn are_others_full(&self, key: PeerKey) -> bool {
        let others = || {
            self.peers
                .iter()
                .filter(|(k, p)| *k != key && p.state == State::Ready)
        };
        let full = others().filter(|(_, p)| p.refusal_rate > FULL_RATE).count();
        full > 0 && full * 2 >= others().count()
    }

    /// Returns whether the request has tried an instance, and all tried ones and at least half of
    /// the others are full. A further attempt would most likely be refused as well, only later.
    fn is_full_everywhere(&self, request: &PickRequest<'_>) -> bool {
        let tried = || request.exclude.iter().filter_map(|id| self.by_id.get(id));
        tried().next().is_some()
            && tried().all(|k| self.peers[*k].refusal_rate > FULL_RATE && self.are_others_full(*k))
    }

    /// Ejects an instance, unless the ejection limit is reached and no other ejection can be
    /// replaced, or the median suspicion of the other instances is that of a suspect.
    fn try_eject(&mut self, now: Time, key: PeerKey) {
        let max = max_ejected(self.ready_count());
        if max == 0 || self.peers[key].state != State::Ready {
            return;
        }
        let ejected = self.peers.values().filter(|p| p.ejection.is_some()).count();
        let mut replaced = None;
        if ejected >= max {
            replaced = self.unconfirmed_ejection(key);
            if replaced.is_none() {
                return;
            }
        }
        let mut other_suspicions: Vec<f64> = self
            .peers
            .iter()
            .filter(|(k, p)| *k != key && p.state == State::Ready && p.ejection.is_none())
            .map(|(_, p)| p.suspicion)
            .collect();
        other_suspicions.sort_unstable_by(f64::total_cmp);
        let median = other_suspicions
            .get(other_suspicions.len() / 2)
            .copied()
            .unwrap_or(0.0);
        if median >= self.cfg.outlier.threshold * SUSPECT_THRESHOLD_SHARE {
            return;
        }
        if let Some(replaced) = replaced {
            self.peers[replaced].ejection = None;
            self.peers[replaced].suspicion = 0.0;
        }
        self.peers[key].ejection = Some(Ejection::new(&self.cfg.outlier, now));
        self.stats.ejections += 1;
        self.rebuild(now);
    }

    /// Returns an ejected instance that may be readmitted so that `key` can be ejected: none of the
    /// returned instance's probes has failed yet. Returns `None` if there is none, or if the
    /// suspicion of `key` isn't well above the ejection threshold.
    fn unconfirmed_ejection(&self, key: PeerKey) -> Option<PeerKey> {
        if self.peers[key].suspicion < self.cfg.outlier.threshold * REPLACE_THRESHOLD_FACTOR {
            return None;
        }
        let unconfirmed = |p: &Peer| p.ejection.is_some_and(|e| !e.is_confirmed);
        self.peers
            .iter()
            .find(|(_, p)| unconfirmed(p))
            .map(|(k, _)| k)
    }

    /// Runs the late checks that are due, and rebuilds the lists of instances if their refresh is
    /// due.
    fn advance(&mut self, now: Time) {
        while let Some(&(at, ticket)) = self.late_checks.first() {
            if at > now {
                break;
            }
            self.late_checks.remove(&(at, ticket));
            if now.since(at) <= STALL_THRESHOLD || !self.defer_late_check(now, ticket) {
                self.record_late(now, ticket);
            }
        }
        if now >= self.refresh_at {
            self.rebuild(now);
        }
    }

    fn rebuild(&mut self, now: Time) {
        self.refresh_at = now + REFRESH_INTERVAL;
        self.usable.clear();
        self.ejected.clear();
        self.suspects.clear();
        for is_local in [true, false] {
            // Iteration in the order of ids keeps choices deterministic.
            for &key in self.by_id.values() {
                let peer = &self.peers[key];
                if peer.is_local != is_local {
                    continue;
                }
                if !peer.accepts_requests(now) {
                    // The instance becomes usable again at the end of its backoff.
                    if now < peer.draining_until {
                        self.refresh_at = self.refresh_at.min(peer.draining_until);
                    }
                    continue;
                }
                match peer.ejection {
                    None => {
                        self.usable.push(key);
                        if peer.suspicion >= self.cfg.outlier.threshold * SUSPECT_THRESHOLD_SHARE {
                            self.suspects.push(key);
                        }
                    }
                    Some(_) => self.ejected.push(key),
                }
            }
            if is_local {
                self.local_count = self.usable.len();
            }
        }
        self.spillover.update(now, self.own_domain_use(now));
    }

    /// Returns the number of outstanding requests per slot in the own domain, or `None` if it has
    /// no usable instance.
    fn own_domain_use(&self, now: Time) -> Option<f64> {
        let locals = &self.usable[..self.local_count];
        let slots: u32 = locals.iter().map(|k| self.peers[*k].slots).sum();
        let outstanding: u32 = locals
            .iter()
            .map(|k| self.peers[*k].outstanding_requests(now))
            .sum();
        (slots > 0).then(|| f64::from(outstanding) / f64::from(slots))
    }

    fn ready_count(&self) -> usize {
        let ready = |p: &&Peer| p.state == State::Ready;
        self.peers.values().filter(ready).count()
    }

    /// Returns a suspect that has been idle for `SUSPECT_MAX_IDLE`.
    ///
    /// Returns `None` if more than half of the usable instances are suspects: the service as a
    /// whole is then slow, and the ordinary choice spreads the load.
    fn idle_suspect(&self, now: Time, request: &PickRequest<'_>) -> Option<InstanceId> {
        if self.suspects.len() > (self.usable.len() / 2).max(1) {
            return None;
        }
        let is_idle = |p: &&Peer| {
            p.ejection.is_none()
                && now >= p.last_attempt_at + SUSPECT_MAX_IDLE
                && now >= p.busy_until
                && p.in_flight < p.slots
        };
        let suspects = self.suspects.iter().map(|key| &self.peers[*key]);
        let mut idle = suspects.filter(is_idle).map(|p| p.id);
        idle.find(|id| !request.exclude.contains(id))
    }

    /// Returns an instance to probe: an idle suspect, or else an ejected instance whose probe is
    /// due. Returns `None` for a hedge.
    fn choose_probe(&mut self, now: Time, request: &PickRequest<'_>) -> Option<InstanceId> {
        if request.is_hedge {
            return None;
        }
        if let Some(id) = self.idle_suspect(now, request) {
            self.stats.probes += 1;
            return Some(id);
        }
        for key in &self.ejected {
            let peer = &mut self.peers[*key];
            let id = peer.id;
            let Some(ejection) = &mut peer.ejection else {
                continue;
            };
            let is_due = ejection.is_probe_due(&self.cfg.outlier, now, request.is_repeatable);
            if is_due && !request.exclude.contains(&id) {
                ejection.record_probe_sent(now);
                self.stats.probes += 1;
                return Some(id);
            }
        }
        None
    }

    /// Returns a usable instance that isn't in backoff: one in the own domain with a free slot
    /// unless requests spill over, or else one in any domain.
    fn choose_usable(&mut self, now: Time, request: &PickRequest<'_>) -> Option<PeerKey> {
        if !self.spillover.is_on()
            && let Some(key) = self.cheapest_of_sample(now, request, 0..self.local_count)
            && self.peers[key].in_flight < self.peers[key].slots
        {
            return Some(key);
        }
        self.cheapest_of_sample(now, request, 0..self.usable.len())
    }

    /// Returns the candidate of least cost among a few random ones that aren't in backoff.
    fn cheapest_of_sample(
        &mut self,
        now: Time,
        request: &PickRequest<'_>,
        range: std::ops::Range<usize>,
    ) -> Option<PeerKey> {
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
            if request.exclude.contains(&peer.id) || now < peer.busy_until {
                continue;
            }
            let factor = if peer.is_local {
                1.0
            } else {
                self.cfg.cross_domain_factor
            };
            let cost = peer.cost(now, self.cfg.load_hint_weight) * factor;
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

    /// Returns the cheapest untried usable instance even if it is in backoff, or else the cheapest
    /// untried ejected one.
    fn last_resort(&mut self, now: Time, request: &PickRequest<'_>) -> Option<PeerKey> {
        let peers = &self.peers;
        let cheapest = |keys: &[PeerKey]| {
            keys.iter()
                .copied()
                .filter(|k| !request.exclude.contains(&peers[*k].id))
                .min_by(|a, b| {
                    let cost = |k: &PeerKey| peers[*k].cost(now, self.cfg.load_hint_weight);
                    cost(a).total_cmp(&cost(b))
                })
        };
        if let Some(key) = cheapest(&self.usable) {
            return Some(key);
        }
        let key = cheapest(&self.ejected)?;
        self.stats.ejected_picks += 1;
        Some(key)
    }

    /// Runs the late checks that are due, for a node without other traffic.
    pub fn run_late_checks(&mut self, now: Time) {
        self.advance(now);
    }

    /// Returns when the next late check is due, or `None` if `run_late_checks` needn't be called.
    pub fn next_late_check(&self) -> Option<Time> {
        self.late_checks.first().map(|(at, _)| *at)
    }

    /// Returns the service's median latency on a route, or `None` while it is unknown.
    pub fn median(&self, route: RouteKey) -> Option<Duration> {
        self.latencies.median(route)
    }

    /// Returns the age at which a request to an instance becomes late, or `None` while that age is
    /// unknown.
    ///
    /// A probe must not be hedged before that age: a probe that a hedge overtakes is inconclusive,
    /// and a slow but healthy instance would stay ejected.
    pub fn late_after(&self, id: InstanceId, route: RouteKey) -> Option<Duration> {
        let peer = self.peers.get(*self.by_id.get(&id)?)?;
        late_limit(&self.latencies, &self.cfg.outlier, route, peer)
    }

    /// Drops the statistics of routes for which `keep` returns `false`.
    pub fn retain_routes(&mut self, keep: impl FnMut(RouteKey) -> bool) {
        self.latencies.retain(keep);
    }

    /// Returns the ejected instances, without those that accept no requests for another reason.
    pub fn ejected(&self) -> impl Iterator<Item = InstanceId> + '_ {
        self.ejected.iter().map(|k| self.peers[*k].id)
    }

    /// Returns the number of attempts in flight from this node to an instance, 0 for an unknown
    /// one.
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

/// Returns the age at which a request to `peer` is late, or `None` while the route's median latency
/// is unknown.
fn late_limit(
    latencies: &RouteLatencies,
    cfg: &OutlierCfg,
    route: RouteKey,
    peer: &Peer,
) -> Option<Duration> {
    let max = match peer.ejection {
        None => cfg.late_factor_max,
        Some(_) => cfg.probe_factor_max,
    };
    latencies.late_limit(cfg, route, peer.latency_ratio, max)
}
