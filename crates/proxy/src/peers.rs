//! Peers: the other nodes, with their connections, reported states and responsiveness.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use admit::QueueState;
use route::{Candidate, OverdueReply, TransitTime};
use slotmap::{SlotMap, new_key_type};
use tokio::sync::Notify;
use wire::{Domain, ServiceName, Time};

use crate::deciding;
use crate::message::{DepartedIncarnation, LinkClient, Status};
use crate::readers;

/// A peer is the last choice for requests if a status call to it has been outstanding for longer,
/// or one to its failure domain without a reply from any node there. Round trips take a few
/// milliseconds; a busy node on a fifth of a core may take some tens more.
const UNRESPONSIVE_AFTER: Duration = Duration::from_millis(250);
/// A peer gets no requests if it or its failure domain, as above, has not replied for longer. Most
/// of the requests would be lost, and an immediate refusal serves the caller better than a late
/// unknown outcome.
const EXCLUDED_AFTER: Duration = Duration::from_millis(600);

/// Time for which a lost peer counts as one that may be cut off rather than gone.
const LOST_FOR: Duration = Duration::from_secs(60);

/// Number of peers in other failure domains to which a reader announces versions.
const MAX_FAR_RECIPIENTS: usize = 2;

new_key_type! {
    /// Identifies a peer for the lifetime of this process.
    pub(crate) struct PeerKey;
}

/// All known peers, connected or not.
#[derive(Debug, Default)]
pub(crate) struct Peers {
    by_key: SlotMap<PeerKey, Peer>,
    by_link: HashMap<SocketAddr, PeerKey>,
    /// Oldest outstanding status call to each failure domain, cleared by a reply of any node there.
    domain_status_calls: HashMap<Domain, OverdueReply>,
}

#[derive(Debug)]
struct Peer {
    link: SocketAddr,
    /// `None` while no connection is established.
    client: Option<LinkClient>,
    /// Last known status; `None` while no connection is established.
    status: Option<Status>,
    /// When the peer last sent its status or queue state.
    updated_at: Time,
    /// When the peer last sent its status.
    status_at: Time,
    /// Requests sent to the peer since `updated_at`.
    sent_since: u32,
    transit: TransitTime,
    /// Oldest outstanding status call to the peer.
    status_calls: OverdueReply,
    /// Wakes the task that makes the status calls to the peer.
    suspicion: Arc<Notify>,
    /// All departed incarnations of the peer's target that the peer has reported to this process.
    departed: Vec<DepartedIncarnation>,
}

impl Peers {
    /// Adds a peer. Returns its key, or `None` if it is known already.
    pub(crate) fn add(&mut self, link: SocketAddr) -> Option<PeerKey> {
        if self.by_link.contains_key(&link) {
            return None;
        }
        let key = self.by_key.insert(Peer {
            link,
            client: None,
            status: None,
            updated_at: Time::ZERO,
            status_at: Time::ZERO,
            sent_since: 0,
            transit: TransitTime::default(),
            status_calls: OverdueReply::default(),
            suspicion: Arc::default(),
            departed: Vec::new(),
        });
        self.by_link.insert(link, key);
        Some(key)
    }

    pub(crate) fn mark_connected(
        &mut self,
        now: Time,
        key: PeerKey,
        client: LinkClient,
        status: Status,
    ) {
        if let Some(peer) = self.by_key.get_mut(key) {
            peer.client = Some(client);
            peer.apply_status(now, status);
        }
        self.record_reply(key);
    }

    pub(crate) fn mark_disconnected(&mut self, key: PeerKey) {
        if let Some(peer) = self.by_key.get_mut(key) {
            peer.client = None;
            peer.status = None;
            peer.status_calls.record_reply();
        }
    }

    /// Records that a status call to the peer is being made.
    pub(crate) fn record_probe(&mut self, now: Time, key: PeerKey) {
        let Some(peer) = self.by_key.get_mut(key) else {
            return;
        };
        peer.status_calls.record_request(now);
        if let Some(status) = &peer.status {
            let domain = self
                .domain_status_calls
                .entry(status.domain.clone())
                .or_default();
            domain.record_request(now);
        }
    }

    /// Records a reply of the peer, which shows that the network path to its failure domain works
    /// in both directions.
    fn record_reply(&mut self, key: PeerKey) {
        let Some(peer) = self.by_key.get_mut(key) else {
            return;
        };
        peer.status_calls.record_reply();
        let domain = peer.status.as_ref().map(|s| &s.domain);
        if let Some(domain) = domain.and_then(|d| self.domain_status_calls.get_mut(d)) {
            domain.record_reply();
        }
    }

    /// Applies the reply to a status call.
    pub(crate) fn apply_status_reply(&mut self, now: Time, key: PeerKey, status: Status) {
        if let Some(peer) = self.by_key.get_mut(key) {
            peer.apply_status(now, status);
        }
        self.record_reply(key);
    }

    /// Applies a status that a peer announced. Ignores a status with another boot id, which is not
    /// from the process that this node is connected to, and one that is not newer than the known
    /// one.
    pub(crate) fn apply_announced_status(&mut self, now: Time, status: Status) {
        let Some(key) = self.by_link.get(&status.link) else {
            return;
        };
        let Some(peer) = self.by_key.get_mut(*key) else {
            return;
        };
        let known = peer.status.as_ref();
        if known.is_some_and(|s| s.boot_id == status.boot_id && s.sequence < status.sequence) {
            peer.apply_status(now, status);
        }
    }

    /// Records the transit time of a request with a body of `body_bytes`.
    pub(crate) fn record_transit(&mut self, key: PeerKey, transit: Duration, body_bytes: usize) {
        if let Some(peer) = self.by_key.get_mut(key) {
            peer.transit.record(transit, body_bytes);
        }
    }

    /// Applies the queue state that came with a reply of the peer.
    pub(crate) fn update_queue(&mut self, now: Time, key: PeerKey, queue: QueueState) {
        if let Some(status) = self.by_key.get_mut(key).and_then(|p| p.status.as_mut()) {
            status.queue = queue.into();
        }
        if let Some(peer) = self.by_key.get_mut(key) {
            peer.updated_at = now;
            peer.sent_since = 0;
        }
        self.record_reply(key);
    }

    /// Requests an immediate status call if the peer has sent no state for `idle`.
    pub(crate) fn suspect(&self, now: Time, key: PeerKey, idle: Duration) {
        if let Some(peer) = self.by_key.get(key)
            && now.since(peer.updated_at) >= idle
        {
            peer.suspicion.notify_one();
        }
    }

    /// Returns the notification that wakes the task which makes the status calls to the peer.
    pub(crate) fn suspicion(&self, key: PeerKey) -> Option<Arc<Notify>> {
        Some(self.by_key.get(key)?.suspicion.clone())
    }

    /// Records the version that a reader, the peer at `link`, has announced.
    pub(crate) fn record_version(&mut self, link: SocketAddr, version: u64) {
        let peer = self
            .by_link
            .get(&link)
            .and_then(|k| self.by_key.get_mut(*k));
        if let Some(status) = peer.and_then(|p| p.status.as_mut()) {
            status.version = version;
        }
    }

    pub(crate) fn count_sent(&mut self, key: PeerKey) {
        if let Some(peer) = self.by_key.get_mut(key) {
            peer.sent_since += 1;
        }
    }

    /// Returns the connected peers of a service as candidates for a request with a body of
    /// `body_bytes`, without those that `EXCLUDED_AFTER` excludes. `domain` is that of this node.
    pub(crate) fn candidates(
        &self,
        now: Time,
        service: &ServiceName,
        domain: &Domain,
        body_bytes: usize,
    ) -> Vec<Candidate<PeerKey>> {
        self.by_key
            .iter()
            .filter(|(_, p)| p.client.is_some())
            .filter_map(|(key, p)| {
                let status = p.status.as_ref().filter(|s| s.service == *service)?;
                let domain_calls = self.domain_status_calls.get(&status.domain).copied();
                let overdue = p
                    .status_calls
                    .outstanding_for(now)
                    .max(domain_calls.unwrap_or_default().outstanding_for(now));
                if overdue > EXCLUDED_AFTER {
                    return None;
                }
                let queue = QueueState::from(status.queue);
                Some(Candidate {
                    key,
                    is_local: status.domain == *domain,
                    reported_load: queue.load,
                    report_age: now.since(p.updated_at),
                    sent_since: p.sent_since,
                    service_time: queue.service_time,
                    failure_rate: f64::from(queue.failure_rate),
                    transit_time: p.transit.expected(body_bytes),
                    is_unresponsive: overdue > UNRESPONSIVE_AFTER,
                })
            })
            .collect()
    }

    /// Returns the reader ranks of the connected peers in `domain` that have a version and are not
    /// shutting down.
    pub(crate) fn reader_ranks(&self, domain: &Domain) -> impl Iterator<Item = readers::Rank> {
        self.by_key.values().filter_map(move |p| {
            let status = p.status.as_ref().filter(|_| p.client.is_some())?;
            let is_eligible = status.domain == *domain && status.version > 0 && !status.is_leaving;
            is_eligible.then(|| readers::rank(&status.domain, p.link, status.link_mbps))
        })
    }

    /// Returns the connected peers in the order in which to ask them for a version newer than
    /// `base_version`. `last_source`, the peer that supplied the present version, comes first if it
    /// has a newer one, since it can send the delta. The others follow by their version, the newest
    /// first; of those with equal versions, or with none newer, the peers in `domain` come first.
    pub(crate) fn update_sources(
        &self,
        domain: &Domain,
        base_version: u64,
        last_source: Option<PeerKey>,
    ) -> Vec<(PeerKey, LinkClient)> {
        let mut sources: Vec<_> = self
            .by_key
            .iter()
            .filter_map(|(key, p)| {
                let status = p.status.as_ref()?;
                let is_last = last_source == Some(key) && status.version > base_version;
                let rank = (
                    !is_last,
                    Reverse(status.version.max(base_version)),
                    status.domain != *domain,
                );
                Some((rank, key, p.client.clone()?))
            })
            .collect();
        sources.sort_by_key(|(rank, ..)| *rank);
        sources
            .into_iter()
            .map(|(_, key, client)| (key, client))
            .collect()
    }

    /// Returns the connected peers to which this node, as a reader in `domain`, announces versions:
    /// all in `domain`, and the `MAX_FAR_RECIPIENTS` of the highest rank elsewhere. These are
    /// likely readers, through which a version reaches a failure domain whose own reads fail.
    pub(crate) fn reader_recipients(&self, domain: &Domain) -> Vec<LinkClient> {
        let is_near = |p: &&Peer| p.status.as_ref().is_some_and(|s| s.domain == *domain);
        let connected = self.by_key.values().filter(|p| p.client.is_some());
        let (near, far): (Vec<_>, Vec<_>) = connected.partition(is_near);
        let mut far: Vec<_> = far
            .into_iter()
            .filter_map(|p| {
                let s = p.status.as_ref()?;
                Some((readers::rank(&s.domain, p.link, s.link_mbps), p))
            })
            .collect();
        far.sort_by_key(|(rank, _)| Reverse(*rank));
        let recipients = near
            .into_iter()
            .chain(far.into_iter().take(MAX_FAR_RECIPIENTS).map(|(_, p)| p));
        recipients.filter_map(|p| p.client.clone()).collect()
    }

    /// Returns the connected peers that may decide on the roll-out of a service, with their ranks.
    pub(crate) fn decider_ranks(
        &self,
        service: &ServiceName,
    ) -> Vec<(deciding::Rank, Option<LinkClient>)> {
        let eligible = self.by_key.values().filter_map(|p| {
            let status = p.status.as_ref()?;
            let client = p.client.clone()?;
            let is_eligible = status.version > 0 && !status.is_leaving;
            let rank = || deciding::rank(service, p.link, status.link_mbps);
            is_eligible.then(|| (rank(), Some(client)))
        });
        eligible.collect()
    }

    /// Returns the connected peers that probably read the log, those of the highest rank in `domain`
    /// first.
    pub(crate) fn readers(&self, domain: &Domain) -> Vec<LinkClient> {
        let mut all: Vec<_> = self
            .by_key
            .values()
            .filter_map(|p| {
                let s = p
                    .status
                    .as_ref()
                    .filter(|s| s.version > 0 && !s.is_leaving)?;
                let rank = readers::rank(&s.domain, p.link, s.link_mbps);
                Some((s.domain != *domain, Reverse(rank), p.client.clone()?))
            })
            .collect();
        all.sort_by_key(|(is_far, rank, _)| (*is_far, *rank));
        all.into_iter().map(|(_, _, client)| client).collect()
    }

    /// Returns whether this node is connected to more than half of the nodes that it has known for the
    /// last while, itself included.
    pub(crate) fn has_majority(&self, now: Time) -> bool {
        2 * (self.connected_count() + 1) > self.recently_known(now)
    }

    /// Returns the number of nodes that are connected or were so in the last while, this one included.
    pub(crate) fn recently_known(&self, now: Time) -> usize {
        let lost = self
            .by_key
            .values()
            .filter(|p| p.client.is_none() && p.updated_at > Time::ZERO)
            .filter(|p| now.since(p.updated_at) < LOST_FOR)
            .count();
        self.connected_count() + lost + 1
    }

    /// Returns the number that the process of the connected peer at `link` has drawn at its start.
    pub(crate) fn boot_id(&self, link: SocketAddr) -> Option<u64> {
        let peer = self.by_key.get(*self.by_link.get(&link)?)?;
        Some(peer.status.as_ref()?.boot_id)
    }

    /// Requests an immediate status call to the peer at `link`.
    pub(crate) fn suspect_link(&self, link: SocketAddr) {
        let key = self.by_link.get(&link);
        if let Some(peer) = key.and_then(|k| self.by_key.get(*k)) {
            peer.suspicion.notify_one();
        }
    }

    /// Returns whether more than half of the known nodes, this one and at least one peer among them, have
    /// sent their status since `since`.
    pub(crate) fn has_heard_majority(&self, since: Time) -> bool {
        let connected = self.by_key.values().filter(|p| p.client.is_some());
        let heard = connected.filter(|p| p.status_at >= since).count();
        heard > 0 && 2 * (heard + 1) > self.by_key.len() + 1
    }

    /// Returns the number of connected peers of a service.
    pub(crate) fn count_of(&self, service: &ServiceName) -> usize {
        let statuses = self.by_key.values().filter(|p| p.client.is_some());
        statuses
            .filter_map(|p| p.status.as_ref())
            .filter(|s| s.service == *service)
            .count()
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

    /// Returns the failure domain of a connected peer.
    pub(crate) fn domain(&self, key: PeerKey) -> Option<&Domain> {
        let status = self.by_key.get(key)?.status.as_ref()?;
        Some(&status.domain)
    }

    pub(crate) fn link(&self, key: PeerKey) -> Option<SocketAddr> {
        Some(self.by_key.get(key)?.link)
    }

    pub(crate) fn links(&self) -> Vec<SocketAddr> {
        self.by_key.values().map(|p| p.link).collect()
    }

    /// Returns the departed incarnations that the peer at `link` has reported of its target.
    pub(crate) fn departed_at(&self, link: SocketAddr) -> Vec<DepartedIncarnation> {
        let peer = self.by_link.get(&link).and_then(|k| self.by_key.get(*k));
        peer.map(|p| p.departed.clone()).unwrap_or_default()
    }

    /// Returns the number of known peers, without this node.
    pub(crate) fn len(&self) -> usize {
        self.by_key.len()
    }

    pub(crate) fn connected_count(&self) -> usize {
        self.by_key.values().filter(|p| p.client.is_some()).count()
    }
}

impl Peer {
    fn apply_status(&mut self, now: Time, status: Status) {
        self.updated_at = now;
        self.status_at = now;
        for incarnation in &status.departed {
            if !self.departed.contains(incarnation) {
                self.departed.push(incarnation.clone());
            }
        }
        self.sent_since = 0;
        self.status = Some(status);
    }
}
