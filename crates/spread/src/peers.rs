//! The membership view: choice of log readers and of the recipients of announcements.

use std::collections::{BTreeMap, BTreeSet};

use rand::Rng;
use rand::seq::{IndexedRandom, IteratorRandom};
use wire::{Domain, Fingerprint, InstanceId};

use crate::event::Peer;

/// Number of nodes of a failure domain that read the log. The second covers a failure of the first.
pub const READERS_PER_DOMAIN: usize = 2;
/// Number of peers of the own failure domain to which a node announces a new version.
const LOCAL_FANOUT: usize = 4;
/// Number of peers of other failure domains to which a node that is no reader announces a new
/// version.
const REMOTE_FANOUT: usize = 1;

/// Returns the rank of a member for reading the log, by rendezvous hashing. The readers of a
/// failure domain are its [`READERS_PER_DOMAIN`] ready members of the highest rank, so a node that
/// stores only part of the members has to retain these.
pub fn reader_rank(domain: &Domain, id: InstanceId) -> Fingerprint {
    Fingerprint::of(&[b"log reader", domain.0.as_bytes(), &id.0.to_le_bytes()])
}

#[derive(Debug)]
pub(crate) struct Peers {
    me: InstanceId,
    domain: Domain,
    members: BTreeMap<InstanceId, Peer>,
    has_view: bool,
}

impl Peers {
    pub(crate) fn new(me: InstanceId, domain: Domain) -> Peers {
        Peers {
            me,
            domain,
            members: BTreeMap::new(),
            has_view: false,
        }
    }

    /// Replaces the view and returns the members that are no longer in it.
    pub(crate) fn replace(&mut self, peers: Vec<Peer>) -> Vec<InstanceId> {
        self.has_view = true;
        let others = peers.into_iter().filter(|p| p.id != self.me);
        let new: BTreeMap<_, _> = others.map(|p| (p.id, p)).collect();
        let old = std::mem::replace(&mut self.members, new);
        let departed = old.into_keys().filter(|id| !self.members.contains_key(id));
        departed.collect()
    }

    /// Returns whether the node has received a membership view since it started.
    pub(crate) fn has_view(&self) -> bool {
        self.has_view
    }

    pub(crate) fn ids(&self) -> impl Iterator<Item = InstanceId> {
        self.members.keys().copied()
    }

    pub(crate) fn is_local(&self, id: InstanceId) -> bool {
        self.members
            .get(&id)
            .is_some_and(|p| p.domain == self.domain)
    }

    /// Returns whether this node is one of the readers of its failure domain, provided that it is
    /// ready itself.
    pub(crate) fn is_reader(&self) -> bool {
        let rank = |id| (reader_rank(&self.domain, id), id);
        let own_rank = rank(self.me);
        let ready = self
            .members
            .values()
            .filter(|p| p.is_ready && p.domain == self.domain);
        ready
            .filter(|p| rank(p.id) > own_rank)
            .take(READERS_PER_DOMAIN)
            .count()
            < READERS_PER_DOMAIN
    }

    /// Returns whether this node would be a reader if all members of its failure domain were ready.
    pub(crate) fn is_potential_reader(&self) -> bool {
        let rank = |id| (reader_rank(&self.domain, id), id);
        let own_rank = rank(self.me);
        let local = self.members.values().filter(|p| p.domain == self.domain);
        local.filter(|p| rank(p.id) > own_rank).count() < READERS_PER_DOMAIN
    }

    /// Returns the readers of the own failure domain, without this node, which is not ready.
    pub(crate) fn readers(&self) -> Vec<InstanceId> {
        let ready = self
            .members
            .values()
            .filter(|p| p.is_ready && p.domain == self.domain);
        let mut ids: Vec<_> = ready
            .map(|p| (reader_rank(&self.domain, p.id), p.id))
            .collect();
        ids.sort_unstable_by(|a, b| b.cmp(a));
        ids.truncate(READERS_PER_DOMAIN);
        ids.into_iter().map(|(_, id)| id).collect()
    }

    /// Chooses the recipients of an announcement, without `except`: up to [`LOCAL_FANOUT`] peers of
    /// the own failure domain and [`REMOTE_FANOUT`] of the others. If this node is a reader, the
    /// latter are one of each other failure domain, so that a version reaches all domains in one
    /// step.
    pub(crate) fn announcement_recipients(
        &self,
        is_reader: bool,
        except: Option<InstanceId>,
        rng: &mut impl Rng,
    ) -> Vec<InstanceId> {
        let mut domains: BTreeMap<&Domain, Vec<InstanceId>> = BTreeMap::new();
        for p in self.members.values().filter(|p| Some(p.id) != except) {
            domains.entry(&p.domain).or_default().push(p.id);
        }
        let local = domains.remove(&self.domain).unwrap_or_default();
        let mut recipients = local.into_iter().sample(rng, LOCAL_FANOUT);
        if is_reader {
            recipients.extend(domains.values().filter_map(|ids| ids.choose(rng)));
        } else {
            let remote: BTreeSet<_> = domains.into_values().flatten().collect();
            recipients.extend(remote.into_iter().sample(rng, REMOTE_FANOUT));
        }
        recipients
    }
}
