//! Peers that are known to hold a newer version.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rand::Rng;
use rand::seq::IteratorRandom;
use wire::{Digest, InstanceId, Time, Version};

use crate::backoff;

/// Most sources kept. Any of them can serve the version, so a few spread the load enough.
const MAX_SOURCES: usize = 64;
/// A source that wasn't heard of for this long is forgotten.
const LIFETIME: Duration = Duration::from_secs(30);
/// After this many failed fetches in a row a source counts as unreachable.
const MAX_FAILURES: u32 = 3;

#[derive(Clone, Copy, Debug)]
struct Source {
    version: Version,
    digest: Digest,
    heard: Time,
    failures: u32,
    not_before: Time,
}

#[derive(Debug, Default)]
pub(crate) struct Sources {
    known: BTreeMap<InstanceId, Source>,
}

impl Sources {
    /// Notes that `id` holds a version. Returns false, and notes nothing, if another digest is known
    /// for the version.
    pub(crate) fn hear(
        &mut self,
        now: Time,
        id: InstanceId,
        version: Version,
        digest: Digest,
    ) -> bool {
        let mut known = self.known.values();
        if known.any(|s| s.version == version && s.digest != digest) {
            return false;
        }
        let s = self.known.entry(id).or_insert(Source {
            version,
            digest,
            heard: now,
            failures: 0,
            not_before: now,
        });
        s.heard = now;
        // Datagrams can arrive out of order, so an older version doesn't replace a newer one.
        if version > s.version {
            s.version = version;
            s.digest = digest;
        }
        if self.known.len() > MAX_SOURCES {
            self.evict();
        }
        true
    }

    /// Forgets sources that are gone or that hold nothing newer than `held`.
    pub(crate) fn retain_newer(&mut self, now: Time, held: Version) {
        let keep = |s: &Source| s.version > held && now.since(s.heard) < LIFETIME;
        self.known.retain(|_, s| keep(s));
    }

    pub(crate) fn remove(&mut self, id: InstanceId) {
        self.known.remove(&id);
    }

    pub(crate) fn remove_unless_heard_after(&mut self, id: InstanceId, at: Time) {
        self.known.retain(|k, s| *k != id || s.heard > at);
    }

    /// Delays the next fetch from `id`.
    pub(crate) fn failed(&mut self, now: Time, id: InstanceId, rng: &mut impl Rng) {
        if let Some(s) = self.known.get_mut(&id) {
            s.failures += 1;
            s.not_before = now + backoff::delay(s.failures, rng);
        }
    }

    /// Returns how many fetches from `id` have failed in a row.
    pub(crate) fn failures(&self, id: InstanceId) -> u32 {
        self.known.get(&id).map_or(0, |s| s.failures)
    }

    /// Returns the newest version that a reachable source holds.
    pub(crate) fn newest_reachable(&self) -> Option<Version> {
        let reachable = self.known.values().filter(|s| s.failures < MAX_FAILURES);
        reachable.map(|s| s.version).max()
    }

    pub(crate) fn len(&self) -> usize {
        self.known.len()
    }

    /// Chooses a source of the newest version above `best` that may be fetched now, preferably one
    /// of the own failure domain.
    pub(crate) fn choose(
        &self,
        now: Time,
        best: Version,
        refused: &BTreeSet<(Version, Digest)>,
        is_local: impl Fn(InstanceId) -> bool,
        rng: &mut impl Rng,
    ) -> Option<InstanceId> {
        let usable = |s: &Source| {
            s.version > best && s.not_before <= now && !refused.contains(&(s.version, s.digest))
        };
        let usable = || self.known.iter().filter(|(_, s)| usable(s));
        let order = |(id, s): (&InstanceId, &Source)| (s.version, is_local(*id));
        let first = usable().map(order).max()?;
        let equal = usable().filter(|x| order(*x) == first);
        equal.map(|(id, _)| *id).choose(rng)
    }

    fn evict(&mut self) {
        let oldest = self
            .known
            .iter()
            .min_by_key(|(id, s)| (s.version, s.heard, **id));
        if let Some(id) = oldest.map(|(id, _)| *id) {
            self.known.remove(&id);
        }
    }
}
