//! Deduplication of rumours: each is reported and relayed once.

use std::collections::{BTreeSet, VecDeque};

use crate::message::Rumour;

/// The most recently received rumours. The oldest is evicted once `max_entries` is exceeded.
#[derive(Debug)]
pub(crate) struct Rumours {
    seen: BTreeSet<Rumour>,
    order: VecDeque<Rumour>,
    max_entries: usize,
}

impl Rumours {
    pub(crate) fn new(max_entries: usize) -> Rumours {
        Rumours {
            seen: BTreeSet::new(),
            order: VecDeque::new(),
            max_entries,
        }
    }

    /// Adds `rumour` and returns whether it is new.
    pub(crate) fn insert(&mut self, rumour: Rumour) -> bool {
        if !self.seen.insert(rumour) {
            return false;
        }
        self.order.push_back(rumour);
        if self.order.len() > self.max_entries
            && let Some(old) = self.order.pop_front()
        {
            self.seen.remove(&old);
        }
        true
    }
}
