//! Message assembly with piggybacked updates, and the push of urgent updates.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use wire::{Domain, Incarnation, InstanceId};

use crate::event::Action;
use crate::history::Rank;
use crate::machine::{Member, Peer};
use crate::message::{Body, MAX_MSG_BYTES, Msg, Update, encoded_bytes};
use crate::record::Record;
use crate::table::Entry;

/// Number of peers outside the own failure domain that a relayed update is pushed to. One suffices
/// because the origin has already pushed the update to each domain.
const RELAY_FANOUT_OUTSIDE_DOMAIN: usize = 1;

impl Member {
    /// Sends a message to member `id` with as many updates as fit. `claimed` is the receiver's
    /// incarnation from the ping that this message answers, and `None` for other messages. If
    /// `claimed` is newer than the known incarnation, the message requests the receiver's record;
    /// if `claimed` is older, the message carries the known state (see [`Member::correction_for`]).
    pub(crate) fn send(
        &mut self,
        to: SocketAddr,
        id: InstanceId,
        claimed: Option<Incarnation>,
        body: Body,
    ) {
        let mut msg = self.empty_msg(body);
        msg.requests_record = claimed.is_some_and(|inc| self.is_newer_than_known(id, inc));
        msg.updates.extend(self.correction_for(id, claimed));
        let used_bytes = encoded_bytes(&msg);
        let limit = self.cfg.transmit_limit(self.table.len());
        let updates = self
            .queue
            .take(MAX_MSG_BYTES.saturating_sub(used_bytes), limit);
        msg.updates.extend(updates);
        self.actions.push(Action::Send { to, msg });
    }

    /// Sends a record to one member, outside the queue.
    pub(crate) fn send_record(&mut self, to: SocketAddr, id: InstanceId, record: Record) {
        let mut msg = self.empty_msg(Body::Push);
        msg.updates.push(Update::Alive(record));
        msg.updates.extend(self.correction_for(id, None));
        self.actions.push(Action::Send { to, msg });
    }

    fn empty_msg(&self, body: Body) -> Msg {
        Msg {
            from: self.own.id,
            incarnation: self.own.incarnation,
            version: self.own.version,
            digest_prefix: self.own.digest_prefix,
            requests_record: false,
            body,
            updates: Vec::new(),
        }
    }

    /// Returns whether incarnation `claimed` of `id` is newer than the known one.
    fn is_newer_than_known(&self, id: InstanceId, claimed: Incarnation) -> bool {
        self.precedence(id).is_none_or(|(inc, _)| inc < claimed)
    }

    /// Returns the known state of receiver `id` if the receiver may have to refute that state: a
    /// suspicion, a death, or a record with a higher incarnation than the `claimed` one, which the
    /// receiver chose after a restart.
    fn correction_for(&self, id: InstanceId, claimed: Option<Incarnation>) -> Option<Update> {
        let (incarnation, rank) = self.precedence(id)?;
        let is_outdated = claimed.is_some_and(|c| c < incarnation);
        match rank {
            Rank::Suspect => Some(Update::Suspect { id, incarnation }),
            Rank::Down => Some(Update::Down {
                id,
                incarnation,
                version: self.history.version_floor(id),
            }),
            Rank::Alive if is_outdated => Some(Update::Alive(self.table.get(id)?.record.clone())),
            Rank::Alive => None,
        }
    }

    /// Pushes urgent updates to several peers, at most once per push interval.
    pub(crate) fn push_urgent(&mut self) {
        if self.now < self.next_push_at || !self.queue.has_urgent() {
            return;
        }
        self.next_push_at = self.now + self.cfg.push_interval;
        let peers = self.push_peers();
        if peers.is_empty() {
            return;
        }
        let mut msg = self.empty_msg(Body::Push);
        let budget = MAX_MSG_BYTES.saturating_sub(encoded_bytes(&msg));
        let peer_count = self.table.len();
        let after_push = self.cfg.transmit_limit_after_push(peer_count);
        let transmissions = self
            .cfg
            .transmit_limit(peer_count)
            .saturating_sub(after_push);
        msg.updates = self.queue.take_urgent(budget, transmissions);
        self.has_announced = true;
        self.push_to_all_domains = false;
        self.counters.pushes += 1;
        for peer in peers {
            let msg = msg.clone();
            self.actions.push(Action::Send { to: peer.addr, msg });
        }
    }

    fn push_peers(&mut self) -> Vec<Peer> {
        let own = self.own.domain.clone();
        let fanout = self.cfg.domain_fanout;
        let mut peers = self.pick_reachable_members(fanout, |e| e.record.domain == own);
        if self.push_to_all_domains {
            let others: BTreeSet<Domain> = self.table.records().map(|r| r.domain.clone()).collect();
            for d in others.iter().filter(|d| **d != own) {
                peers.extend(self.pick_reachable_members(1, |e| e.record.domain == *d));
            }
        }
        // If the own failure domain has fewer peers than the fan-out, peers of other domains
        // replace the missing ones.
        let missing = (fanout + RELAY_FANOUT_OUTSIDE_DOMAIN).saturating_sub(peers.len());
        let chosen: BTreeSet<InstanceId> = peers.iter().map(|p| p.id).collect();
        let is_other_domain_peer =
            |e: &Entry| e.record.domain != own && !chosen.contains(&e.record.id);
        peers.extend(self.pick_reachable_members(missing, is_other_domain_peer));
        peers
    }

    /// Returns up to `n` random members that are neither suspect nor in an unreachable domain.
    pub(crate) fn pick_reachable_members(
        &mut self,
        n: usize,
        is_eligible: impl Fn(&Entry) -> bool,
    ) -> Vec<Peer> {
        let unreachable: BTreeSet<Domain> = self.domains.unreachable().cloned().collect();
        let is_reachable =
            |e: &Entry| e.suspicion.is_none() && !unreachable.contains(&e.record.domain);
        self.pick_members(n, |e| is_reachable(e) && is_eligible(e))
    }
}
