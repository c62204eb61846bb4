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
const RELAY_OUTSIDE: usize = 1;

impl Member {
    /// Sends a message with as many updates as fit. `claimed` is the receiver's incarnation from
    /// the ping that this message answers, and `None` for other messages. If it is newer than the
    /// known one, the message requests the receiver's record; if older, it carries the newer
    /// record.
    pub(crate) fn send(
        &mut self,
        to: SocketAddr,
        id: InstanceId,
        claimed: Option<Incarnation>,
        body: Body,
    ) {
        let mut msg = self.empty_msg(body);
        msg.ask = claimed.is_some_and(|inc| self.lacks(id, inc));
        msg.updates.extend(self.notice(id, claimed));
        let used = encoded_bytes(&msg);
        let limit = self.cfg.transmissions(self.table.len());
        let updates = self.queue.take(MAX_MSG_BYTES.saturating_sub(used), limit);
        msg.updates.extend(updates);
        self.out.push(Action::Send { to, msg });
    }

    /// Sends a record to one member, outside the queue.
    pub(crate) fn send_record(&mut self, to: SocketAddr, id: InstanceId, record: Record) {
        let mut msg = self.empty_msg(Body::Push);
        msg.updates.push(Update::Alive(record));
        msg.updates.extend(self.notice(id, None));
        self.out.push(Action::Send { to, msg });
    }

    fn empty_msg(&self, body: Body) -> Msg {
        Msg {
            from: self.own.id,
            incarnation: self.own.incarnation,
            version: self.own.version,
            digest_prefix: self.own.digest_prefix,
            ask: false,
            body,
            updates: Vec::new(),
        }
    }

    /// Returns whether incarnation `claimed` of `id` is newer than the known one.
    fn lacks(&self, id: InstanceId, claimed: Incarnation) -> bool {
        self.standing(id).is_none_or(|(inc, _)| inc < claimed)
    }

    /// Returns the known state of receiver `id` if the receiver may have to refute it: its
    /// suspicion, its death, or a record with a higher incarnation than it `claimed` after a
    /// restart.
    fn notice(&self, id: InstanceId, claimed: Option<Incarnation>) -> Option<Update> {
        let (incarnation, rank) = self.standing(id)?;
        let outdated = claimed.is_some_and(|c| c < incarnation);
        match rank {
            Rank::Suspect => Some(Update::Suspect { id, incarnation }),
            Rank::Down => Some(Update::Down {
                id,
                incarnation,
                version: self.history.floor(id),
            }),
            Rank::Alive if outdated => Some(Update::Alive(self.table.get(id)?.record.clone())),
            Rank::Alive => None,
        }
    }

    /// Pushes urgent updates to several peers, at most once per push interval.
    pub(crate) fn push_urgent(&mut self) {
        if self.now < self.next_push || !self.queue.has_urgent() {
            return;
        }
        self.next_push = self.now + self.cfg.push_gap;
        let peers = self.push_peers();
        if peers.is_empty() {
            return;
        }
        let mut msg = self.empty_msg(Body::Push);
        let budget = MAX_MSG_BYTES.saturating_sub(encoded_bytes(&msg));
        let members = self.table.len();
        let rest = self.cfg.transmissions_after_push(members);
        let sent = self.cfg.transmissions(members).saturating_sub(rest);
        msg.updates = self.queue.take_urgent(budget, sent);
        self.announced = true;
        self.wide_push = false;
        self.counters.pushes += 1;
        for peer in peers {
            let msg = msg.clone();
            self.out.push(Action::Send { to: peer.addr, msg });
        }
    }

    fn push_peers(&mut self) -> Vec<Peer> {
        let own = self.own.domain.clone();
        let fanout = self.cfg.domain_fanout;
        let mut peers = self.pick_reachable(fanout, |e| e.record.domain == own);
        if self.wide_push {
            let others: BTreeSet<Domain> = self.table.records().map(|r| r.domain.clone()).collect();
            for d in others.iter().filter(|d| **d != own) {
                peers.extend(self.pick_reachable(1, |e| e.record.domain == *d));
            }
        }
        // If the own failure domain has fewer peers than the fan-out, peers of other domains
        // replace the missing ones.
        let missing = (fanout + RELAY_OUTSIDE).saturating_sub(peers.len());
        let chosen: BTreeSet<InstanceId> = peers.iter().map(|p| p.id).collect();
        let fresh = |e: &Entry| e.record.domain != own && !chosen.contains(&e.record.id);
        peers.extend(self.pick_reachable(missing, fresh));
        peers
    }

    /// Returns up to `n` random members that are neither suspect nor in an unreachable domain.
    pub(crate) fn pick_reachable(
        &mut self,
        n: usize,
        wanted: impl Fn(&Entry) -> bool,
    ) -> Vec<Peer> {
        let down: BTreeSet<Domain> = self.domains.down().cloned().collect();
        let reachable = |e: &Entry| e.suspicion.is_none() && !down.contains(&e.record.domain);
        self.pick(n, |e| reachable(e) && wanted(e))
    }
}
