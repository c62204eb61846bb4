//! Helpers that build nodes, peers, configurations and events for tests.

use std::net::SocketAddr;

use spread::{ConfigText, Event, Origin, Peer, Settings, Spread};
use wire::{Digest, Domain, InstanceId, Version};

/// Configuration of version `n`. Each version has its own text; that of version 0, before the first
/// publication, is empty.
pub(crate) fn config(n: u64) -> ConfigText {
    if n == 0 {
        return ConfigText::default();
    }
    let text = format!("text {n}");
    let (version, digest) = (Version(n), Digest::of(text.as_bytes()));
    ConfigText {
        version,
        digest,
        text: text.into(),
    }
}

/// Address of the node with identifier `id`.
pub(crate) fn addr(id: u64) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7_000 + id as u16))
}

/// Failure domain of the node with identifier `id`, selected by the hundreds digit.
fn domain(id: u64) -> Domain {
    Domain::from(["a", "b", "c", "d"][id as usize / 100])
}

/// Node that has just started, with the addresses of the nodes `seeds` in its settings and
/// `random_seed` for its random number generator.
pub(crate) fn node(id: u64, seeds: impl IntoIterator<Item = u64>, random_seed: u64) -> Spread {
    let seeds = seeds.into_iter().map(addr).collect();
    let (me, domain) = (InstanceId(id), domain(id));
    Spread::new(Settings { me, domain, seeds }, random_seed)
}

/// Member `id` of the membership view, in the failure domain given by its identifier.
pub(crate) fn peer(id: u64, is_ready: bool) -> Peer {
    Peer {
        id: InstanceId(id),
        domain: domain(id),
        is_ready,
    }
}

/// Event: the node `from` reports that the version of `config` is active there, in a message of
/// kind `origin`.
pub(crate) fn version_reported(from: u64, config: &ConfigText, origin: Origin) -> Event {
    let (from, version, digest) = (InstanceId(from), config.version, config.digest);
    Event::VersionReported {
        from,
        version,
        digest,
        origin,
    }
}
