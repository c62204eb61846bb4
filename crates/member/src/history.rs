//! Last known incarnation and version of each instance, retained after its death.
//!
//! One bounded table serves three purposes: tombstones, which prevent old updates from reviving a
//! dead incarnation; version floors, the highest version received from each instance, below which
//! the instance must not go after a restart; and deduplication of updates about instances out of
//! scope, which are relayed but not stored.

use std::collections::BTreeMap;
use std::time::Duration;

use wire::{Incarnation, InstanceId, Time, Version};

use crate::event::Tombstone;

/// Liveness claimed by an update. For the same incarnation, a later variant overrides an earlier
/// one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Rank {
    Alive,
    Suspect,
    Down,
}

/// Order of the updates about one instance; the higher value wins.
pub(crate) type Precedence = (Incarnation, Rank);

#[derive(Debug)]
struct InstanceHistory {
    /// `None` if no update was received or the tombstone has expired.
    precedence: Option<Precedence>,
    /// Highest version received, the version floor.
    version_floor: Version,
    /// Time at which the tombstone was created; `None` while the instance is not dead.
    dead_at: Option<Time>,
    /// Sequence number of the last change, the key in [`History::order`].
    last_change: u64,
}

/// Bounded table of instance histories. The least recently changed one is evicted when it is full.
#[derive(Debug)]
pub(crate) struct History {
    entries: BTreeMap<InstanceId, InstanceHistory>,
    /// Instances by the sequence number of their last change, oldest first.
    order: BTreeMap<u64, InstanceId>,
    next_seq: u64,
    max_entries: usize,
}

impl History {
    pub(crate) fn new(max_entries: usize) -> History {
        History {
            entries: BTreeMap::new(),
            order: BTreeMap::new(),
            next_seq: 0,
            max_entries,
        }
    }

    /// Returns the precedence of the last applied update about `id`.
    pub(crate) fn precedence(&self, id: InstanceId) -> Option<Precedence> {
        self.entries.get(&id).and_then(|h| h.precedence)
    }

    /// Returns the highest version received from `id`, or 0 if none is known.
    pub(crate) fn version_floor(&self, id: InstanceId) -> Version {
        self.entries
            .get(&id)
            .map_or(Version(0), |h| h.version_floor)
    }

    pub(crate) fn set_precedence(&mut self, now: Time, id: InstanceId, precedence: Precedence) {
        let h = self.entry_mut(id);
        h.precedence = Some(precedence);
        h.dead_at = (precedence.1 == Rank::Down).then_some(now);
    }

    pub(crate) fn raise_version_floor(&mut self, id: InstanceId, version: Version) {
        let h = self.entry_mut(id);
        h.version_floor = h.version_floor.max(version);
    }

    /// Returns the tombstones, ordered by instance.
    pub(crate) fn tombstones(&self) -> Vec<Tombstone> {
        let dead = |(&id, h): (&InstanceId, &InstanceHistory)| match h.precedence {
            Some((incarnation, Rank::Down)) => Some(Tombstone {
                id,
                incarnation,
                version: h.version_floor,
            }),
            _ => None,
        };
        self.entries.iter().filter_map(dead).collect()
    }

    /// Removes tombstones older than `ttl`; version floors are retained.
    pub(crate) fn expire(&mut self, now: Time, ttl: Duration) {
        for h in self.entries.values_mut() {
            if h.dead_at.is_some_and(|at| now.since(at) > ttl) {
                h.precedence = None;
                h.dead_at = None;
            }
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    fn entry_mut(&mut self, id: InstanceId) -> &mut InstanceHistory {
        let last_change = self.next_seq;
        self.next_seq += 1;
        let previous_change = self.entries.get(&id).map(|h| h.last_change);
        match previous_change {
            Some(at) => _ = self.order.remove(&at),
            None if self.entries.len() >= self.max_entries => self.evict_oldest(),
            None => {}
        }
        self.order.insert(last_change, id);
        let h = self.entries.entry(id).or_insert(InstanceHistory {
            precedence: None,
            version_floor: Version(0),
            dead_at: None,
            last_change,
        });
        h.last_change = last_change;
        h
    }

    fn evict_oldest(&mut self) {
        if let Some((_, id)) = self.order.pop_first() {
            self.entries.remove(&id);
        }
    }
}
