//! Last known incarnation and version of each instance, retained after its death.
//!
//! One bounded table serves three purposes: tombstones, which prevent old updates from reviving a
//! dead incarnation; version floors, below which a restarted instance must not go; and
//! deduplication of updates about instances out of scope, which are relayed but not stored.

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
pub(crate) type Standing = (Incarnation, Rank);

#[derive(Debug)]
struct Trace {
    /// `None` if no update was received or the tombstone has expired.
    standing: Option<Standing>,
    /// Highest version received, the version floor.
    version: Version,
    /// Time at which the tombstone was created; `None` while the instance is not dead.
    dead_at: Option<Time>,
    /// Sequence number of the last change, the key in [`History::order`].
    touched: u64,
}

/// Bounded table of instance histories. The least recently changed one is evicted when it is full.
#[derive(Debug)]
pub(crate) struct History {
    traces: BTreeMap<InstanceId, Trace>,
    /// Instances by the sequence number of their last change, oldest first.
    order: BTreeMap<u64, InstanceId>,
    next: u64,
    max: usize,
}

impl History {
    pub(crate) fn new(max: usize) -> History {
        History {
            traces: BTreeMap::new(),
            order: BTreeMap::new(),
            next: 0,
            max,
        }
    }

    /// Returns the precedence of the last applied update about `id`.
    pub(crate) fn standing(&self, id: InstanceId) -> Option<Standing> {
        self.traces.get(&id).and_then(|t| t.standing)
    }

    /// Returns the highest version received from `id`, or 0 if none is known.
    pub(crate) fn floor(&self, id: InstanceId) -> Version {
        self.traces.get(&id).map_or(Version(0), |t| t.version)
    }

    pub(crate) fn note(&mut self, now: Time, id: InstanceId, standing: Standing) {
        let t = self.touch(id);
        t.standing = Some(standing);
        t.dead_at = (standing.1 == Rank::Down).then_some(now);
    }

    pub(crate) fn note_version(&mut self, id: InstanceId, version: Version) {
        let t = self.touch(id);
        t.version = t.version.max(version);
    }

    /// Returns the tombstones, ordered by instance.
    pub(crate) fn tombstones(&self) -> Vec<Tombstone> {
        let dead = |(&id, t): (&InstanceId, &Trace)| match t.standing {
            Some((incarnation, Rank::Down)) => Some(Tombstone {
                id,
                incarnation,
                version: t.version,
            }),
            _ => None,
        };
        self.traces.iter().filter_map(dead).collect()
    }

    /// Removes tombstones older than `ttl`; versions are retained.
    pub(crate) fn expire(&mut self, now: Time, ttl: Duration) {
        for t in self.traces.values_mut() {
            if t.dead_at.is_some_and(|at| now.since(at) > ttl) {
                t.standing = None;
                t.dead_at = None;
            }
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.traces.len()
    }

    fn touch(&mut self, id: InstanceId) -> &mut Trace {
        let touched = self.next;
        self.next += 1;
        let old = self.traces.get(&id).map(|t| t.touched);
        match old {
            Some(at) => _ = self.order.remove(&at),
            None if self.traces.len() >= self.max => self.drop_oldest(),
            None => {}
        }
        self.order.insert(touched, id);
        let t = self.traces.entry(id).or_insert(Trace {
            standing: None,
            version: Version(0),
            dead_at: None,
            touched,
        });
        t.touched = touched;
        t
    }

    fn drop_oldest(&mut self) {
        if let Some((_, id)) = self.order.pop_first() {
            self.traces.remove(&id);
        }
    }
}
