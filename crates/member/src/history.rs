//! The last incarnation and version heard of each instance, kept after its death.
//!
//! One bounded table serves three purposes: tombstones, which keep old updates from bringing a
//! dead incarnation back; floors, the versions that restarting instances must not go below; and
//! the memory of updates on instances outside the scope, which are passed on but not stored.

use std::collections::BTreeMap;
use std::time::Duration;

use wire::{Incarnation, InstanceId, Time, Version};

use crate::event::Tombstone;

/// What the last update said of an incarnation. A later variant overrides an earlier one of the
/// same incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Rank {
    Alive,
    Suspect,
    Down,
}

/// Position of an update in the order of all updates on one instance.
pub(crate) type Standing = (Incarnation, Rank);

#[derive(Debug)]
struct Trace {
    /// None once a tombstone has expired.
    standing: Option<Standing>,
    version: Version,
    dead_at: Option<Time>,
    touched: u64,
}

#[derive(Debug)]
pub(crate) struct History {
    traces: BTreeMap<InstanceId, Trace>,
    /// Traces by their last change, oldest first.
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

    /// Returns the standing of the last update on `id`.
    pub(crate) fn standing(&self, id: InstanceId) -> Option<Standing> {
        self.traces.get(&id).and_then(|t| t.standing)
    }

    /// Returns the highest version heard from `id`.
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

    /// Forgets incarnations that have been dead for longer than `ttl`; versions are kept.
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
