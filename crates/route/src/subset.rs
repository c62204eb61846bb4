//! Choice of the instances to which a node keeps connections.

use wire::{Domain, InstanceId};

use crate::{InstanceView, State};

/// One of this many connections is reserved for other failure domains, so that spillover is
/// possible.
const CROSS_DOMAIN_DIVISOR: usize = 5;

/// Returns the views that `node` uses: all of a service of up to `limit` instances, or `limit` of a
/// larger one.
///
/// Instances in the own domain come first. Rendezvous hashing spreads the nodes over the instances
/// and changes few connections when an instance joins or leaves. Draining instances don't count
/// towards the limit, and none of a larger service is used.
pub(crate) fn subset<'a>(
    views: &'a [InstanceView],
    node: InstanceId,
    domain: &Domain,
    limit: usize,
) -> Vec<&'a InstanceView> {
    let active = |v: &&InstanceView| v.state != State::Draining;
    if views.iter().filter(active).count() <= limit {
        return views.iter().collect();
    }
    let (mut own, mut other_domains): (Vec<&InstanceView>, Vec<&InstanceView>) = views
        .iter()
        .filter(active)
        .partition(|v| v.domain == *domain);
    for group in [&mut own, &mut other_domains] {
        group.sort_by_key(|v| (std::cmp::Reverse(rendezvous_weight(node, v.id)), v.id));
    }
    let reserved = other_domains.len().min(limit / CROSS_DOMAIN_DIVISOR);
    own.truncate(limit - reserved);
    other_domains.truncate(limit - own.len());
    own.append(&mut other_domains);
    own
}

/// Hashes the two ids with the finaliser of splitmix64.
fn rendezvous_weight(node: InstanceId, id: InstanceId) -> u64 {
    let mut x = node.0.rotate_left(32) ^ id.0.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
