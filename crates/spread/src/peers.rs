//! The membership view and the choices made from it.

use std::collections::{BTreeMap, BTreeSet};

use rand::Rng;
use rand::seq::{IndexedRandom, IteratorRandom};
use wire::{Domain, Fingerprint, InstanceId};

use crate::event::Peer;

/// Nodes of a failure domain that read the log. The second one covers the failure of the first.
pub const READERS_PER_DOMAIN: usize = 2;
/// Peers of the own failure domain that a node tells about a new version.
const LOCAL_FANOUT: usize = 4;
/// Peers of other failure domains that a node tells about a new version.
const REMOTE_FANOUT: usize = 1;

/// Returns the rank of a member for reading the log (rendezvous hashing). The ready members with
/// the highest ranks of a failure domain are its readers, so a node that stores only part of the
/// members has to keep these.
pub fn reader_rank(domain: &Domain, id: InstanceId) -> Fingerprint {
    Fingerprint::of(&[b"log reader", domain.0.as_bytes(), &id.0.to_le_bytes()])
}

#[derive(Debug)]
pub(crate) struct Peers {
    me: InstanceId,
    domain: Domain,
    known: BTreeMap<InstanceId, Peer>,
    seen: bool,
}

impl Peers {
    pub(crate) fn new(me: InstanceId, domain: Domain) -> Peers {
        Peers {
            me,
            domain,
            known: BTreeMap::new(),
            seen: false,
        }
    }

    /// Replaces the view and returns who left it.
    pub(crate) fn replace(&mut self, peers: Vec<Peer>) -> Vec<InstanceId> {
        self.seen = true;
        let others = peers.into_iter().filter(|p| p.id != self.me);
        let new: BTreeMap<_, _> = others.map(|p| (p.id, p)).collect();
        let old = std::mem::replace(&mut self.known, new);
        let gone = old.into_keys().filter(|id| !self.known.contains_key(id));
        gone.collect()
    }

    /// Returns whether a view has arrived.
    pub(crate) fn is_seen(&self) -> bool {
        self.seen
    }

    pub(crate) fn ids(&self) -> impl Iterator<Item = InstanceId> {
        self.known.keys().copied()
    }

    pub(crate) fn is_local(&self, id: InstanceId) -> bool {
        self.known.get(&id).is_some_and(|p| p.domain == self.domain)
    }

    /// Returns whether this node, if it is ready, is one of its failure domain's readers.
    pub(crate) fn is_reader(&self) -> bool {
        let rank = |id| (reader_rank(&self.domain, id), id);
        let mine = rank(self.me);
        let ready = self
            .known
            .values()
            .filter(|p| p.ready && p.domain == self.domain);
        ready
            .filter(|p| rank(p.id) > mine)
            .take(READERS_PER_DOMAIN)
            .count()
            < READERS_PER_DOMAIN
    }

    /// Returns whether this node would be a reader if all members of its failure domain were ready.
    pub(crate) fn would_read(&self) -> bool {
        let rank = |id| (reader_rank(&self.domain, id), id);
        let mine = rank(self.me);
        let local = self.known.values().filter(|p| p.domain == self.domain);
        local.filter(|p| rank(p.id) > mine).count() < READERS_PER_DOMAIN
    }

    /// Returns the readers of the own failure domain.
    pub(crate) fn readers(&self) -> Vec<InstanceId> {
        let ready = self
            .known
            .values()
            .filter(|p| p.ready && p.domain == self.domain);
        let mut ids: Vec<_> = ready
            .map(|p| (reader_rank(&self.domain, p.id), p.id))
            .collect();
        ids.sort_unstable_by(|a, b| b.cmp(a));
        ids.truncate(READERS_PER_DOMAIN);
        ids.into_iter().map(|(_, id)| id).collect()
    }

    /// Chooses whom to tell about a new version: some of the own failure domain and one of another;
    /// a reader tells one of each other failure domain, so that a version crosses at once.
    pub(crate) fn audience(
        &self,
        reader: bool,
        except: Option<InstanceId>,
        rng: &mut impl Rng,
    ) -> Vec<InstanceId> {
        let mut domains: BTreeMap<&Domain, Vec<InstanceId>> = BTreeMap::new();
        for p in self.known.values().filter(|p| Some(p.id) != except) {
            domains.entry(&p.domain).or_default().push(p.id);
        }
        let local = domains.remove(&self.domain).unwrap_or_default();
        let mut to = local.into_iter().sample(rng, LOCAL_FANOUT);
        if reader {
            to.extend(domains.values().filter_map(|ids| ids.choose(rng)));
        } else {
            let remote: BTreeSet<_> = domains.into_values().flatten().collect();
            to.extend(remote.into_iter().sample(rng, REMOTE_FANOUT));
        }
        to
    }
}
