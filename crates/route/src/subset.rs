//! Choice of the instances that a node keeps connections to.

use wire::{Domain, InstanceId};

use crate::{State, View};

/// One of this many places is kept for other failure domains, so that spillover stays possible.
const FOREIGN_SHARE: usize = 5;

/// Returns the views that `node` uses: all of a small service, or `limit` of a large one.
///
/// Own-domain instances come first. Rendezvous hashing spreads the nodes over the instances and
/// moves few of them when an instance joins or leaves. Draining instances take no place.
pub(crate) fn subset<'a>(
    views: &'a [View],
    node: InstanceId,
    domain: &Domain,
    limit: usize,
) -> Vec<&'a View> {
    let active = |v: &&View| v.state != State::Draining;
    if views.iter().filter(active).count() <= limit {
        return views.iter().collect();
    }
    let (mut own, mut foreign): (Vec<&View>, Vec<&View>) = views
        .iter()
        .filter(active)
        .partition(|v| v.domain == *domain);
    for part in [&mut own, &mut foreign] {
        part.sort_by_key(|v| (std::cmp::Reverse(weight(node, v.id)), v.id));
    }
    let reserved = foreign.len().min(limit / FOREIGN_SHARE);
    own.truncate(limit - reserved);
    foreign.truncate(limit - own.len());
    own.append(&mut foreign);
    own
}

/// Mixes the two ids with the finaliser of splitmix64.
fn weight(node: InstanceId, id: InstanceId) -> u64 {
    let mut x = node.0.rotate_left(32) ^ id.0.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
