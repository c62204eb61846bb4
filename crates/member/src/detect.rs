//! Failure detection: probes, suspicion, and loss of whole failure domains.
//!
//! A failure domain is unresponsive while one of its members is suspect and no message has arrived
//! from the domain since that suspicion began. An unresponsive domain is declared unreachable if
//! most of its members are suspect when a suspicion expires, and reachable again as soon as a
//! message arrives from the domain.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use wire::{Domain, Incarnation, InstanceId, Time};

use crate::event::Change;
use crate::machine::{Member, Peer};
use crate::message::{Body, Update};
use crate::queue::Subject;
use crate::table::{Entry, Suspicion};

/// Members probed per period in each unresponsive failure domain, in addition to the probe round.
const UNRESPONSIVE_DOMAIN_PROBES: usize = 2;
/// Maximum number of unreachable failure domains probed per period, with one probe each.
const MAX_UNREACHABLE_DOMAIN_PROBES: usize = 4;
/// Maximum number of probes in flight on behalf of other members.
const MAX_RELAYED_PROBES: usize = 256;
/// While a failure domain is unresponsive, suspicions of its members are extended up to this
/// multiple of the suspicion timeout.
const MAX_SUSPICION_FACTOR: u32 = 2;
/// Minimum number of known members of a failure domain for it to be declared unreachable.
const MIN_MEMBERS_FOR_DOMAIN_LOSS: usize = 2;

/// A probe without an ack so far.
#[derive(Debug)]
pub(crate) struct Probe {
    probed: InstanceId,
    pub(crate) sent: Time,
    /// Whether only the probe timeout is left to expire: indirect probes were already requested, or
    /// the probe is exploratory and not repeated through other members.
    pub(crate) is_final_stage: bool,
    kind: ProbeKind,
}

/// Consequence of a probe that times out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ProbeKind {
    /// The probed member becomes suspect.
    Health,
    /// None. The probe checks for the recovery of a failure domain, or compares tables.
    Exploratory,
}

/// A probe on behalf of another member, requested by [`Body::PingReq`].
#[derive(Debug)]
pub(crate) struct RelayedProbe {
    requester: SocketAddr,
    /// Sequence number chosen by the requester.
    seq: u32,
    expires_at: Time,
}

impl Member {
    pub(crate) fn tick(&mut self) {
        self.expire_probes();
        if self.now >= self.next_probe_at {
            self.probe_round();
            self.next_probe_at = self.next_probe_at + self.cfg.probe_period;
            if self.next_probe_at <= self.now {
                self.next_probe_at = self.now + self.cfg.probe_period;
            }
        }
        self.expire_suspicions();
        if self.now >= self.next_sync_at {
            self.drop_expired();
            self.sync_round();
        }
    }

    fn probe_round(&mut self) {
        let now = self.now;
        self.relayed_probes.retain(|_, r| r.expires_at > now);
        if let Some(peer) = self.next_probe_peer() {
            self.start_probe(peer, ProbeKind::Health, false);
        }
        for domain in self.unresponsive_domains() {
            let is_eligible = |e: &Entry| e.record.domain == domain && e.suspicion.is_none();
            for peer in self.pick_members(UNRESPONSIVE_DOMAIN_PROBES, is_eligible) {
                self.start_probe(peer, ProbeKind::Health, false);
            }
        }
        let unreachable: Vec<Domain> = self
            .domains
            .unreachable()
            .take(MAX_UNREACHABLE_DOMAIN_PROBES)
            .cloned()
            .collect();
        for domain in unreachable {
            for peer in self.pick_members(1, |e| e.record.domain == domain) {
                self.start_probe(peer, ProbeKind::Exploratory, false);
            }
        }
    }

    fn next_probe_peer(&mut self) -> Option<Peer> {
        for _ in 0..2 {
            while let Some(id) = self.ring.next() {
                if let Some(e) = self.table.get(id)
                    && !self.domains.is_unreachable(&e.record.domain)
                {
                    return Some(Peer::of(e));
                }
            }
            let ids = self.table.records().map(|r| r.id);
            self.ring.refill(ids, &mut self.rng);
        }
        None
    }

    /// Returns the unresponsive failure domains.
    fn unresponsive_domains(&self) -> BTreeSet<Domain> {
        let is_in_unresponsive =
            |e: &&Entry| e.suspicion.is_some_and(|s| self.is_unresponsive(e, s));
        let entries = self.table.iter().filter(is_in_unresponsive);
        entries.map(|e| e.record.domain.clone()).collect()
    }

    /// Returns whether no message has arrived from the failure domain of `e` since the suspicion
    /// `s` of that member.
    fn is_unresponsive(&self, e: &Entry, s: Suspicion) -> bool {
        let last_contact = self.domains.last_contact(&e.record.domain);
        last_contact.is_none_or(|at| at < s.since)
    }

    pub(crate) fn start_probe(&mut self, peer: Peer, kind: ProbeKind, wants_hashes: bool) {
        let seq = self.next_probe_seq();
        let probe = Probe {
            probed: peer.id,
            sent: self.now,
            is_final_stage: kind == ProbeKind::Exploratory,
            kind,
        };
        self.probes.insert(seq, probe);
        self.counters.probes += 1;
        self.send(peer.addr, peer.id, None, Body::Ping { seq, wants_hashes });
    }

    fn next_probe_seq(&mut self) -> u32 {
        self.next_seq = self.next_seq.wrapping_add(1);
        self.next_seq
    }

    fn expire_probes(&mut self) {
        let (direct, timeout) = (self.cfg.direct_timeout, self.cfg.probe_period);
        let mut direct_timed_out = Vec::new();
        let mut timed_out = Vec::new();
        for (&seq, p) in &mut self.probes {
            if self.now >= p.sent + timeout {
                timed_out.push(seq);
            } else if !p.is_final_stage && self.now >= p.sent + direct {
                p.is_final_stage = true;
                direct_timed_out.push((seq, p.probed));
            }
        }
        for (seq, probed) in direct_timed_out {
            self.probe_indirectly(seq, probed);
        }
        for seq in timed_out {
            if let Some(p) = self.probes.remove(&seq)
                && p.kind == ProbeKind::Health
            {
                self.counters.unanswered_probes += 1;
                self.suspect(p.probed);
            }
        }
    }

    fn probe_indirectly(&mut self, seq: u32, probed: InstanceId) {
        let Some(addr) = self.table.get(probed).map(|e| e.record.gossip) else {
            return;
        };
        self.counters.indirect_probes += 1;
        // The second direct ping reduces false suspicions tenfold at 5% loss. Each false suspicion
        // costs traffic in the whole mesh, and their number grows with the mesh.
        self.send(
            addr,
            probed,
            None,
            Body::Ping {
                seq,
                wants_hashes: false,
            },
        );
        let n = self.cfg.indirect_probes;
        for peer in self.pick_reachable_members(n, |e| e.record.id != probed) {
            let body = Body::PingReq { seq, probed, addr };
            self.send(peer.addr, peer.id, None, body);
        }
    }

    fn suspect(&mut self, id: InstanceId) {
        let Some(e) = self.table.get(id) else { return };
        let is_exempt = self.is_exempt_from_suspicion(&e.record.domain);
        if is_exempt || e.suspicion.is_some() {
            return;
        }
        let (peer, incarnation) = (Peer::of(e), e.record.incarnation);
        self.counters.suspicions += 1;
        self.apply(Update::Suspect { id, incarnation }, true);
        // Notifies the suspect at once, so that it has time to refute the suspicion.
        self.send(peer.addr, id, None, Body::Push);
    }

    pub(crate) fn is_exempt_from_suspicion(&self, domain: &Domain) -> bool {
        let grace = self.cfg.domain_grace;
        self.domains.is_exempt(self.now, domain, grace)
    }

    fn expire_suspicions(&mut self) {
        let is_due = |e: &&Entry| e.suspicion.is_some_and(|s| s.deadline <= self.now);
        let ids: Vec<InstanceId> = self
            .table
            .iter()
            .filter(is_due)
            .map(|e| e.record.id)
            .collect();
        for id in ids {
            self.expire_suspicion(id);
        }
    }

    fn expire_suspicion(&mut self, id: InstanceId) {
        let Some((e, s)) = self.table.get(id).and_then(|e| Some((e, e.suspicion?))) else {
            return;
        };
        let domain = e.record.domain.clone();
        let is_unresponsive = self.is_unresponsive(e, s);
        if is_unresponsive && self.is_domain_lost(&domain) {
            self.set_domain_epoch(&domain, self.domains.epoch(&domain).saturating_add(1));
            return;
        }
        let latest_deadline = s.since + self.suspicion_timeout() * MAX_SUSPICION_FACTOR;
        if is_unresponsive && self.now < latest_deadline {
            let deadline = self.now + self.cfg.probe_period;
            self.set_suspicion(id, Suspicion { deadline, ..s });
            return;
        }
        self.counters.deaths += 1;
        let version = self.history.version_floor(id);
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
        members >= MIN_MEMBERS_FOR_DOMAIN_LOSS && 2 * suspects > members
    }

    /// Records that a message from a failure domain arrived, and marks the domain reachable.
    pub(crate) fn record_contact(&mut self, domain: &Domain) {
        self.domains.record_contact(self.now, domain);
        if self.domains.is_unreachable(domain) {
            self.set_domain_epoch(domain, self.domains.epoch(domain).saturating_add(1));
        }
    }

    /// Sets the epoch of a failure domain and queues the epoch for all members.
    pub(crate) fn set_domain_epoch(&mut self, domain: &Domain, epoch: u32) {
        if self.domains.set_epoch(self.now, domain, epoch) {
            self.clear_suspicions(domain);
            if epoch % 2 == 1 {
                self.counters.domain_losses += 1;
                self.report(Change::DomainDown(domain.clone()));
            } else {
                self.counters.domain_recoveries += 1;
                self.report(Change::DomainUp(domain.clone()));
                self.schedule_sync_after_recovery(domain);
            }
        }
        let domain = domain.clone();
        self.push_to_all_domains = true;
        self.enqueue(Update::Domain { domain, epoch }, true);
    }

    /// Clears the suspicions of the members of a failure domain whose reachability changed, and
    /// drops the queued updates about these members.
    fn clear_suspicions(&mut self, domain: &Domain) {
        let suspects = self.table.iter_mut().filter(|e| e.record.domain == *domain);
        for e in suspects {
            if e.suspicion.take().is_some() {
                self.queue.remove(&Subject::Member(e.record.id));
            }
        }
    }

    pub(crate) fn handle_body(
        &mut self,
        from: SocketAddr,
        id: InstanceId,
        incarnation: Incarnation,
        body: Body,
    ) {
        match body {
            Body::Ping { seq, wants_hashes } => {
                let own = &self.own;
                let hashes = wants_hashes.then(|| self.table.hashes(own, &own.service));
                self.send(from, id, Some(incarnation), Body::Ack { seq, hashes });
            }
            Body::Ack { seq, hashes } => {
                self.handle_ack(seq);
                if let Some(theirs) = hashes {
                    self.compare_tables(id, theirs);
                }
            }
            Body::PingReq { seq, probed, addr } => self.relay(from, seq, Peer { id: probed, addr }),
            Body::Push => {}
        }
    }

    fn handle_ack(&mut self, seq: u32) {
        if let Some(p) = self.probes.remove(&seq) {
            let domain = self.table.get(p.probed).map(|e| e.record.domain.clone());
            if let Some(d) = domain {
                self.record_contact(&d);
            }
        } else if let Some(r) = self.relayed_probes.remove(&seq) {
            let body = Body::Ack {
                seq: r.seq,
                hashes: None,
            };
            self.send(r.requester, InstanceId::default(), None, body);
        }
    }

    fn relay(&mut self, requester: SocketAddr, requester_seq: u32, probed: Peer) {
        if self.relayed_probes.len() >= MAX_RELAYED_PROBES {
            self.counters.dropped += 1;
            return;
        }
        let seq = self.next_probe_seq();
        let expires_at = self.now + self.cfg.probe_period;
        self.relayed_probes.insert(
            seq,
            RelayedProbe {
                requester,
                seq: requester_seq,
                expires_at,
            },
        );
        self.send(
            probed.addr,
            probed.id,
            None,
            Body::Ping {
                seq,
                wants_hashes: false,
            },
        );
    }
}
