//! Short forms of values for tests.

use std::net::SocketAddr;

use spread::{ConfigText, Event, Origin, Peer, Settings, Spread};
use wire::{Digest, Domain, InstanceId, Version};

/// Version `n` with its text.
pub(crate) fn text(n: u64) -> ConfigText {
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

pub(crate) fn addr(id: u64) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7_000 + id as u16))
}

/// The hundreds digit of an identifier selects the failure domain.
fn domain(id: u64) -> Domain {
    Domain::from(["a", "b", "c", "d"][id as usize / 100])
}

pub(crate) fn node(id: u64, seeds: impl IntoIterator<Item = u64>, seed: u64) -> Spread {
    let seeds = seeds.into_iter().map(addr).collect();
    let (me, domain) = (InstanceId(id), domain(id));
    Spread::new(Settings { me, domain, seeds }, seed)
}

pub(crate) fn peer(id: u64, ready: bool) -> Peer {
    Peer {
        id: InstanceId(id),
        domain: domain(id),
        ready,
    }
}

pub(crate) fn heard(from: u64, t: &ConfigText, origin: Origin) -> Event {
    let (from, version, digest) = (InstanceId(from), t.version, t.digest);
    Event::Announced {
        from,
        version,
        digest,
        origin,
    }
}
