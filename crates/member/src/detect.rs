//! Failure detection: probes, suspicion, and loss of whole failure domains.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use wire::{Domain, Incarnation, InstanceId, Time};

use crate::event::Change;
use crate::machine::{Member, Peer};
use crate::message::{Body, Update};
use crate::queue::Subject;
use crate::table::{Entry, Suspicion};

/// Members probed per period in each unresponsive failure domain, in addition to the probe round.
const SILENT_DOMAIN_PROBES: usize = 2;
/// Maximum number of unreachable failure domains probed per period, with one probe each.
const DOWN_DOMAIN_PROBES: usize = 4;
/// Maximum number of probes in flight on behalf of other members.
const MAX_RELAYS: usize = 256;
/// While a failure domain is unresponsive, suspicions of its members are extended up to this
/// multiple of the suspicion timeout.
const SILENT_EXTENSION: u32 = 2;
/// Minimum number of known members of a failure domain for it to be declared unreachable.
const MIN_DOMAIN_MEMBERS: usize = 2;

/// A probe without an ack so far.
#[derive(Debug)]
pub(crate) struct Probe {
    target: InstanceId,
    pub(crate) sent: Time,
    /// Whether the direct timeout has passed and indirect probes were requested. Set from the start
    /// for probes that are not repeated through other members.
    pub(crate) asked_others: bool,
    kind: ProbeKind,
}

/// Consequence of a probe that times out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ProbeKind {
    /// The probed member becomes suspect.
    Health,
    /// None. The probe checks for the recovery of a failure domain, or compares tables.
    Hint,
}

/// A probe on behalf of another member, requested by [`Body::PingReq`].
#[derive(Debug)]
pub(crate) struct Relay {
    to: SocketAddr,
    /// Sequence number chosen by the requester.
    seq: u32,
    until: Time,
}

impl Member {
    pub(crate) fn tick(&mut self) {
        self.expire_probes();
        if self.now >= self.next_probe {
            self.probe_round();
            self.next_probe = self.next_probe + self.cfg.probe_period;
            if self.next_probe <= self.now {
                self.next_probe = self.now + self.cfg.probe_period;
            }
        }
        self.expire_suspicions();
        if self.now >= self.next_sync {
            self.forget();
            self.sync_round();
        }
    }

    fn probe_round(&mut self) {
        let now = self.now;
        self.relays.retain(|_, r| r.until > now);
        if let Some(peer) = self.next_target() {
            self.start_probe(peer, ProbeKind::Health, false);
        }
        for domain in self.silent_domains() {
            let wanted = |e: &Entry| e.record.domain == domain && e.suspicion.is_none();
            for peer in self.pick(SILENT_DOMAIN_PROBES, wanted) {
                self.start_probe(peer, ProbeKind::Health, false);
            }
        }
        let down: Vec<Domain> = self
            .domains
            .down()
            .take(DOWN_DOMAIN_PROBES)
            .cloned()
            .collect();
        for domain in down {
            for peer in self.pick(1, |e| e.record.domain == domain) {
                self.start_probe(peer, ProbeKind::Hint, false);
            }
        }
    }

    fn next_target(&mut self) -> Option<Peer> {
        for _ in 0..2 {
            while let Some(id) = self.ring.next() {
                if let Some(e) = self.table.get(id)
                    && !self.domains.is_down(&e.record.domain)
                {
                    return Some(Peer::of(e));
                }
            }
            let ids = self.table.records().map(|r| r.id);
            self.ring.refill(ids, &mut self.rng);
        }
        None
    }

    /// Returns the domains with a suspect from which no message has arrived since the suspicion.
    fn silent_domains(&self) -> BTreeSet<Domain> {
        let silent = |e: &&Entry| e.suspicion.is_some_and(|s| self.is_silent(e, s));
        let entries = self.table.iter().filter(silent);
        entries.map(|e| e.record.domain.clone()).collect()
    }

    fn is_silent(&self, e: &Entry, s: Suspicion) -> bool {
        let heard = self.domains.heard(&e.record.domain);
        heard.is_none_or(|at| at < s.since)
    }

    pub(crate) fn start_probe(&mut self, peer: Peer, kind: ProbeKind, sync: bool) {
        let seq = self.new_seq();
        let probe = Probe {
            target: peer.id,
            sent: self.now,
            asked_others: kind == ProbeKind::Hint,
            kind,
        };
        self.probes.insert(seq, probe);
        self.counters.probes += 1;
        self.send(peer.addr, peer.id, None, Body::Ping { seq, sync });
    }

    fn new_seq(&mut self) -> u32 {
        self.next_seq = self.next_seq.wrapping_add(1);
        self.next_seq
    }

    fn expire_probes(&mut self) {
        let (direct, whole) = (self.cfg.direct_timeout, self.cfg.probe_period);
        let mut late = Vec::new();
        let mut over = Vec::new();
        for (&seq, p) in &mut self.probes {
            if self.now >= p.sent + whole {
                over.push(seq);
            } else if !p.asked_others && self.now >= p.sent + direct {
                p.asked_others = true;
                late.push((seq, p.target));
            }
        }
        for (seq, target) in late {
            self.ask_others(seq, target);
        }
        for seq in over {
            if let Some(p) = self.probes.remove(&seq)
                && p.kind == ProbeKind::Health
            {
                self.counters.unanswered += 1;
                self.suspect(p.target);
            }
        }
    }

    fn ask_others(&mut self, seq: u32, target: InstanceId) {
        let Some(addr) = self.table.get(target).map(|e| e.record.gossip) else {
            return;
        };
        self.counters.indirect += 1;
        // The second direct ping reduces false suspicions tenfold at 5% loss. Each false suspicion
        // costs traffic in the whole mesh, and their number grows with the mesh.
        self.send(addr, target, None, Body::Ping { seq, sync: false });
        let n = self.cfg.indirect_probes;
        for peer in self.pick_reachable(n, |e| e.record.id != target) {
            let body = Body::PingReq { seq, target, addr };
            self.send(peer.addr, peer.id, None, body);
        }
    }

    fn suspect(&mut self, id: InstanceId) {
        let Some(e) = self.table.get(id) else { return };
        let spared = self.is_spared(&e.record.domain);
        if spared || e.suspicion.is_some() {
            return;
        }
        let (peer, incarnation) = (Peer::of(e), e.record.incarnation);
        self.counters.suspicions += 1;
        self.apply(Update::Suspect { id, incarnation }, true);
        // Notifies the suspect at once, so that it can refute the suspicion before it is declared
        // dead.
        self.send(peer.addr, id, None, Body::Push);
    }

    pub(crate) fn is_spared(&self, domain: &Domain) -> bool {
        let grace = self.cfg.domain_grace;
        self.domains.is_spared(self.now, domain, grace)
    }

    fn expire_suspicions(&mut self) {
        let due = |e: &&Entry| e.suspicion.is_some_and(|s| s.deadline <= self.now);
        let ids: Vec<InstanceId> = self.table.iter().filter(due).map(|e| e.record.id).collect();
        for id in ids {
            self.expire_suspicion(id);
        }
    }

    fn expire_suspicion(&mut self, id: InstanceId) {
        let Some((e, s)) = self.table.get(id).and_then(|e| Some((e, e.suspicion?))) else {
            return;
        };
        let domain = e.record.domain.clone();
        let silent = self.is_silent(e, s);
        if silent && self.is_domain_lost(&domain) {
            self.set_domain(&domain, self.domains.epoch(&domain).saturating_add(1));
            return;
        }
        let latest = s.since + self.suspicion_time() * SILENT_EXTENSION;
        if silent && self.now < latest {
            let deadline = self.now + self.cfg.probe_period;
            self.set_suspicion(id, Suspicion { deadline, ..s });
            return;
        }
        self.counters.deaths += 1;
        let version = self.history.floor(id);
        let incarnation = s.incarnation;
        self.apply(
            Update::Down {
                id,
                incarnation,
                version,
            },
            true,
        );
    }

    pub(crate) fn set_suspicion(&mut self, id: InstanceId, suspicion: Suspicion) {
        if let Some(e) = self.table.get_mut(id) {
            e.suspicion = Some(suspicion);
        }
    }

    /// Returns whether `domain` is not the own failure domain, has enough known members, and most
    /// of them are suspect.
    fn is_domain_lost(&self, domain: &Domain) -> bool {
        if *domain == self.own.domain {
            return false;
        }
        let (mut members, mut suspects) = (0, 0);
        for e in self.table.in_domain(domain) {
            members += 1;
            suspects += usize::from(e.suspicion.is_some());
        }
        members >= MIN_DOMAIN_MEMBERS && 2 * suspects > members
    }

    /// Records that a message from a failure domain arrived, and marks the domain reachable.
    pub(crate) fn note_heard(&mut self, domain: &Domain) {
        self.domains.note_heard(self.now, domain);
        if self.domains.is_down(domain) {
            self.set_domain(domain, self.domains.epoch(domain).saturating_add(1));
        }
    }

    /// Sets the epoch of a failure domain and queues it for all members.
    pub(crate) fn set_domain(&mut self, domain: &Domain, epoch: u32) {
        if self.domains.set_epoch(self.now, domain, epoch) {
            self.clear_suspicions(domain);
            if epoch % 2 == 1 {
                self.counters.domain_downs += 1;
                self.report(Change::DomainDown(domain.clone()));
            } else {
                self.counters.domain_ups += 1;
                self.report(Change::DomainUp(domain.clone()));
                self.sync_after_return(domain);
            }
        }
        let domain = domain.clone();
        self.wide_push = true;
        self.enqueue(Update::Domain { domain, epoch }, true);
    }

    /// Clears the suspicions of single members of a failure domain whose reachability changed, and
    /// drops their queued updates.
    fn clear_suspicions(&mut self, domain: &Domain) {
        let suspects = self.table.iter_mut().filter(|e| e.record.domain == *domain);
        for e in suspects {
            if e.suspicion.take().is_some() {
                self.queue.remove(&Subject::Member(e.record.id));
            }
        }
    }

    pub(crate) fn answer(
        &mut self,
        from: SocketAddr,
        id: InstanceId,
        incarnation: Incarnation,
        body: Body,
    ) {
        match body {
            Body::Ping { seq, sync } => {
                let own = &self.own;
                let sync = sync.then(|| self.table.sync(own, &own.service));
                self.send(from, id, Some(incarnation), Body::Ack { seq, sync });
            }
            Body::Ack { seq, sync } => {
                self.answered(seq);
                if let Some(theirs) = sync {
                    self.compare(id, theirs);
                }
            }
            Body::PingReq { seq, target, addr } => self.relay(from, seq, Peer { id: target, addr }),
            Body::Push => {}
        }
    }

    fn answered(&mut self, seq: u32) {
        if let Some(p) = self.probes.remove(&seq) {
            let domain = self.table.get(p.target).map(|e| e.record.domain.clone());
            if let Some(d) = domain {
                self.note_heard(&d);
            }
        } else if let Some(r) = self.relays.remove(&seq) {
            let body = Body::Ack {
                seq: r.seq,
                sync: None,
            };
            self.send(r.to, InstanceId::default(), None, body);
        }
    }

    fn relay(&mut self, to: SocketAddr, theirs: u32, target: Peer) {
        if self.relays.len() >= MAX_RELAYS {
            self.counters.dropped += 1;
            return;
        }
        let seq = self.new_seq();
        let until = self.now + self.cfg.probe_period;
        self.relays.insert(
            seq,
            Relay {
                to,
                seq: theirs,
                until,
            },
        );
        self.send(
            target.addr,
            target.id,
            None,
            Body::Ping { seq, sync: false },
        );
    }
}
