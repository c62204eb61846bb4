//! Helpers that build nodes, peers, configurations and events for tests.

use std::net::SocketAddr;

use spread::{ConfigText, Event, Origin, Peer, Settings, Spread};
use wire::{Digest, Domain, InstanceId, Version};

/// Configuration of version `n`; each version has its own text.
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

/// Node that has just started, with the addresses of `seeds` in its settings.
pub(crate) fn node(id: u64, seeds: impl IntoIterator<Item = u64>, seed: u64) -> Spread {
    let seeds = seeds.into_iter().map(addr).collect();
    let (me, domain) = (InstanceId(id), domain(id));
    Spread::new(Settings { me, domain, seeds }, seed)
}

/// Member of the view, in the failure domain of `id`.
pub(crate) fn peer(id: u64, is_ready: bool) -> Peer {
    Peer {
        id: InstanceId(id),
        domain: domain(id),
        is_ready,
    }
}

/// Report of `from` that the version of `config` is active there.
pub(crate) fn announced(from: u64, config: &ConfigText, origin: Origin) -> Event {
    let (from, version, digest) = (InstanceId(from), config.version, config.digest);
    Event::VersionReported {
        from,
        version,
        digest,
        origin,
    }
}
