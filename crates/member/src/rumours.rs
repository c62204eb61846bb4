//! Memory of the rumours heard, so that each is reported and passed on once.

use std::collections::{BTreeSet, VecDeque};

use crate::message::Rumour;

#[derive(Debug)]
pub(crate) struct Rumours {
    seen: BTreeSet<Rumour>,
    order: VecDeque<Rumour>,
    max: usize,
}

impl Rumours {
    pub(crate) fn new(max: usize) -> Rumours {
        Rumours {
            seen: BTreeSet::new(),
            order: VecDeque::new(),
            max,
        }
    }

    /// Returns whether `rumour` is new, and remembers it.
    pub(crate) fn note(&mut self, rumour: Rumour) -> bool {
        if !self.seen.insert(rumour) {
            return false;
        }
        self.order.push_back(rumour);
        if self.order.len() > self.max
            && let Some(old) = self.order.pop_front()
        {
            self.seen.remove(&old);
        }
        true
    }
}
