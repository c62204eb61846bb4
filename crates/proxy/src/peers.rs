//! The other nodes, as this node knows them.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use admit::QueueState;
use route::Candidate;
use slotmap::{SlotMap, new_key_type};
use wire::{Domain, ServiceName, Time};

use crate::message::{LeftLife, LinkClient, Status};

/// A node that has owed an answer to a status call for longer is placed last. Round trips take a
/// few milliseconds; a busy node on a fifth of a core may take some tens more.
const SILENT_AFTER: Duration = Duration::from_millis(250);
/// A node that has owed an answer for longer gets no requests: most of them would be lost, and a
/// refusal now serves the caller better than an unknown outcome later.
const UNUSED_AFTER: Duration = Duration::from_millis(600);

new_key_type! {
    /// Another node.
    pub(crate) struct PeerKey;
}

/// The other nodes.
#[derive(Debug, Default)]
pub(crate) struct Peers {
    by_key: SlotMap<PeerKey, Peer>,
    by_link: HashMap<SocketAddr, PeerKey>,
}

#[derive(Debug)]
struct Peer {
    link: SocketAddr,
    /// Set while a connection to the node stands.
    client: Option<LinkClient>,
    status: Option<Status>,
    sent_since: u32,
    /// When a status call was sent that has not been answered.
    asked: Option<Time>,
    left: Vec<LeftLife>,
}

impl Peers {
    /// Adds a node. Returns its key if it was not known.
    pub(crate) fn add(&mut self, link: SocketAddr) -> Option<PeerKey> {
        if self.by_link.contains_key(&link) {
            return None;
        }
        let key = self.by_key.insert(Peer {
            link,
            client: None,
            status: None,
            sent_since: 0,
            asked: None,
            left: Vec::new(),
        });
        self.by_link.insert(link, key);
        Some(key)
    }

    pub(crate) fn connected(&mut self, key: PeerKey, client: LinkClient, status: Status) {
        if let Some(peer) = self.by_key.get_mut(key) {
            peer.client = Some(client);
            peer.asked = None;
            peer.take_status(status);
        }
    }

    pub(crate) fn disconnected(&mut self, key: PeerKey) {
        if let Some(peer) = self.by_key.get_mut(key) {
            peer.client = None;
            peer.status = None;
            peer.asked = None;
        }
    }

    pub(crate) fn asked(&mut self, now: Time, key: PeerKey) {
        if let Some(peer) = self.by_key.get_mut(key) {
            peer.asked = Some(now);
        }
    }

    /// Takes the answer to a status call.
    pub(crate) fn answered(&mut self, key: PeerKey, status: Status) {
        if let Some(peer) = self.by_key.get_mut(key) {
            peer.asked = None;
            peer.take_status(status);
        }
    }

    /// Takes a status that a node sent by itself. One of another life of the node, or an older
    /// one, says nothing about what the present connection leads to.
    pub(crate) fn told(&mut self, status: Status) {
        let Some(key) = self.by_link.get(&status.link) else {
            return;
        };
        let Some(peer) = self.by_key.get_mut(*key) else {
            return;
        };
        let known = peer.status.as_ref();
        if known.is_some_and(|s| s.life == status.life && s.sequence < status.sequence) {
            peer.take_status(status);
        }
    }

    /// Takes the queue state that came with a reply.
    pub(crate) fn queue(&mut self, key: PeerKey, queue: QueueState) {
        if let Some(status) = self.by_key.get_mut(key).and_then(|p| p.status.as_mut()) {
            status.queue = queue.into();
        }
        if let Some(peer) = self.by_key.get_mut(key) {
            peer.sent_since = 0;
        }
    }

    pub(crate) fn sent(&mut self, key: PeerKey) {
        if let Some(peer) = self.by_key.get_mut(key) {
            peer.sent_since += 1;
        }
    }

    /// Returns the connected nodes of a service as candidates for placement.
    pub(crate) fn candidates(
        &self,
        now: Time,
        service: &ServiceName,
        domain: &Domain,
    ) -> Vec<Candidate<PeerKey>> {
        let owes = |p: &Peer| p.asked.map_or(Duration::ZERO, |at| now.since(at));
        self.by_key
            .iter()
            .filter(|(_, p)| p.client.is_some() && owes(p) <= UNUSED_AFTER)
            .filter_map(|(key, p)| {
                let status = p.status.as_ref().filter(|s| s.service == *service)?;
                let queue = QueueState::from(status.queue);
                Some(Candidate {
                    key,
                    near: status.domain == *domain,
                    load: queue.load,
                    sent_since: p.sent_since,
                    service: queue.service,
                    failing: f64::from(queue.failing),
                    silent: owes(p) > SILENT_AFTER,
                })
            })
            .collect()
    }

    pub(crate) fn client(&self, key: PeerKey) -> Option<LinkClient> {
        self.by_key.get(key)?.client.clone()
    }

    pub(crate) fn clients(&self) -> Vec<(PeerKey, LinkClient)> {
        self.by_key
            .iter()
            .filter_map(|(key, p)| Some((key, p.client.clone()?)))
            .collect()
    }

    pub(crate) fn link(&self, key: PeerKey) -> Option<SocketAddr> {
        Some(self.by_key.get(key)?.link)
    }

    pub(crate) fn links(&self) -> Vec<SocketAddr> {
        self.by_key.values().map(|p| p.link).collect()
    }

    /// Returns what the node at `link` has told of lives of its target that have left.
    pub(crate) fn left_at(&self, link: SocketAddr) -> Vec<LeftLife> {
        let peer = self.by_link.get(&link).and_then(|k| self.by_key.get(*k));
        peer.map(|p| p.left.clone()).unwrap_or_default()
    }

    /// Returns the number of nodes, the own one not included.
    pub(crate) fn len(&self) -> usize {
        self.by_key.len()
    }
}

impl Peer {
    fn take_status(&mut self, status: Status) {
        for life in &status.left {
            if !self.left.contains(life) {
                self.left.push(life.clone());
            }
        }
        self.sent_since = 0;
        self.status = Some(status);
    }
}
