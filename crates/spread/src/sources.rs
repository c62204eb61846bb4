//! Peers that have reported a newer version than the active one, as sources for a fetch.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rand::Rng;
use rand::seq::IteratorRandom;
use wire::{Digest, InstanceId, Time, Version};

use crate::backoff;

/// Maximum number of sources stored; enough to distribute the load of the fetches.
const MAX_SOURCES: usize = 64;
/// A source that has reported no version for this long is removed.
const SOURCE_EXPIRY: Duration = Duration::from_secs(30);
/// Number of consecutive failed fetches after which a source counts as unreachable.
const MAX_FAILURES: u32 = 3;

#[derive(Clone, Copy, Debug)]
struct Source {
    version: Version,
    digest: Digest,
    reported_at: Time,
    /// Consecutive failed fetches.
    failures: u32,
    /// End of the backoff after the last failed fetch.
    not_before: Time,
}

#[derive(Debug, Default)]
pub(crate) struct Sources {
    by_peer: BTreeMap<InstanceId, Source>,
}

impl Sources {
    /// Records that `id` holds a version. Returns false, and records nothing, if a source has
    /// reported the same version with another digest.
    pub(crate) fn record(
        &mut self,
        now: Time,
        id: InstanceId,
        version: Version,
        digest: Digest,
    ) -> bool {
        let mut sources = self.by_peer.values();
        if sources.any(|s| s.version == version && s.digest != digest) {
            return false;
        }
        let s = self.by_peer.entry(id).or_insert(Source {
            version,
            digest,
            reported_at: now,
            failures: 0,
            not_before: now,
        });
        s.reported_at = now;
        // Datagrams can arrive out of order, so an older version doesn't replace a newer one.
        if version > s.version {
            s.version = version;
            s.digest = digest;
        }
        if self.by_peer.len() > MAX_SOURCES {
            self.evict_oldest();
        }
        true
    }

    /// Removes sources that hold nothing newer than `held` or that have not reported within
    /// [`SOURCE_EXPIRY`].
    pub(crate) fn retain_newer(&mut self, now: Time, held: Version) {
        let is_kept = |s: &Source| s.version > held && now.since(s.reported_at) < SOURCE_EXPIRY;
        self.by_peer.retain(|_, s| is_kept(s));
    }

    pub(crate) fn remove(&mut self, id: InstanceId) {
        self.by_peer.remove(&id);
    }

    /// Removes `id` unless it has reported a version after `at`.
    pub(crate) fn remove_unless_reported_after(&mut self, id: InstanceId, at: Time) {
        self.by_peer.retain(|k, s| *k != id || s.reported_at > at);
    }

    /// Counts a failed fetch from `id` and delays the next one by the backoff.
    pub(crate) fn record_failure(&mut self, now: Time, id: InstanceId, rng: &mut impl Rng) {
        if let Some(s) = self.by_peer.get_mut(&id) {
            s.failures += 1;
            s.not_before = now + backoff::delay(s.failures, rng);
        }
    }

    /// Returns the number of consecutive failed fetches from `id`.
    pub(crate) fn failures(&self, id: InstanceId) -> u32 {
        self.by_peer.get(&id).map_or(0, |s| s.failures)
    }

    /// Returns the newest version that a reachable source has reported.
    pub(crate) fn newest_reachable(&self) -> Option<Version> {
        let reachable = self.by_peer.values().filter(|s| s.failures < MAX_FAILURES);
        reachable.map(|s| s.version).max()
    }

    pub(crate) fn len(&self) -> usize {
        self.by_peer.len()
    }

    /// Chooses a source that is not in backoff and whose version is above `newest_held` and not in
    /// `uncompilable`. Prefers the newest version, then sources for which `is_local` holds, and
    /// breaks ties at random.
    pub(crate) fn choose(
        &self,
        now: Time,
        newest_held: Version,
        uncompilable: &BTreeSet<(Version, Digest)>,
        is_local: impl Fn(InstanceId) -> bool,
        rng: &mut impl Rng,
    ) -> Option<InstanceId> {
        let is_usable = |s: &Source| {
            s.version > newest_held
                && s.not_before <= now
                && !uncompilable.contains(&(s.version, s.digest))
        };
        let usable = || self.by_peer.iter().filter(|(_, s)| is_usable(s));
        let preference = |(id, s): (&InstanceId, &Source)| (s.version, is_local(*id));
        let preferred = usable().map(preference).max()?;
        let tied = usable().filter(|x| preference(*x) == preferred);
        tied.map(|(id, _)| *id).choose(rng)
    }

    /// Removes the source of the oldest version; among equals, the one whose last
    /// report is the oldest.
    fn evict_oldest(&mut self) {
        let oldest = self
            .by_peer
            .iter()
            .min_by_key(|(id, s)| (s.version, s.reported_at, **id));
        if let Some(id) = oldest.map(|(id, _)| *id) {
            self.by_peer.remove(&id);
        }
    }
}
