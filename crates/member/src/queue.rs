//! Updates queued to be piggybacked on the next messages.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use wire::{Domain, InstanceId};

use crate::message::{MAX_UPDATES, Rumour, Update, encoded_bytes};

/// Maximum number of queued updates in one message; one place is reserved for a correction to the
/// receiver.
const MAX_TAKEN_UPDATES: usize = MAX_UPDATES - 1;

/// Subject of an update. A newer update replaces a queued one with the same subject.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Subject {
    Member(InstanceId),
    Domain(Domain),
    Rumour(Rumour),
}

impl Subject {
    pub(crate) fn of(update: &Update) -> Subject {
        match update {
            Update::Alive(r) => Subject::Member(r.id),
            Update::Suspect { id, .. } | Update::Down { id, .. } => Subject::Member(*id),
            Update::Domain { domain, .. } => Subject::Domain(domain.clone()),
            Update::Rumour(r) => Subject::Rumour(*r),
        }
    }
}

#[derive(Debug)]
struct QueuedUpdate {
    update: Update,
    /// Encoded size.
    bytes: usize,
    /// Number of transmissions so far.
    transmissions: u32,
    /// Position in the order of insertion.
    seq: u64,
    /// Whether the update still has to be pushed, i.e. sent in a message without another purpose.
    is_urgent: bool,
}

#[derive(Debug)]
pub(crate) struct Queue {
    items: BTreeMap<Subject, QueuedUpdate>,
    next_seq: u64,
    max_entries: usize,
}

impl Queue {
    pub(crate) fn new(max_entries: usize) -> Queue {
        Queue {
            items: BTreeMap::new(),
            next_seq: 0,
            max_entries,
        }
    }

    /// Adds an update and returns how many updates were dropped to stay within the limit.
    pub(crate) fn push(&mut self, update: Update, is_urgent: bool) -> u64 {
        let item = QueuedUpdate {
            bytes: encoded_bytes(&update),
            transmissions: 0,
            seq: self.next_seq,
            is_urgent,
            update,
        };
        self.next_seq += 1;
        self.items.insert(Subject::of(&item.update), item);
        if self.items.len() <= self.max_entries {
            return 0;
        }
        self.evict_most_sent();
        1
    }

    pub(crate) fn remove(&mut self, subject: &Subject) {
        self.items.remove(subject);
    }

    pub(crate) fn has_urgent(&self) -> bool {
        self.items.values().any(|i| i.is_urgent)
    }

    pub(crate) fn len(&self) -> usize {
        self.items.len()
    }

    /// Returns updates that fit into `budget` bytes, those with the fewest transmissions first and
    /// newer ones before older ones. Counts one transmission for each and removes those that reach
    /// `limit`.
    pub(crate) fn take(&mut self, budget: usize, limit: u32) -> Vec<Update> {
        let chosen = self.select(budget, |_| true);
        let mut send = |s: &Subject| self.count_transmission(s, limit);
        chosen.iter().filter_map(&mut send).collect()
    }

    /// Returns urgent updates that fit into `budget` bytes, in the order of [`Queue::take`]. Clears
    /// their urgent flag and raises their transmission count to at least `transmissions`.
    pub(crate) fn take_urgent(&mut self, budget: usize, transmissions: u32) -> Vec<Update> {
        let chosen = self.select(budget, |i| i.is_urgent);
        let mut mark_pushed = |s: &Subject| {
            let i = self.items.get_mut(s)?;
            i.is_urgent = false;
            i.transmissions = i.transmissions.max(transmissions);
            Some(i.update.clone())
        };
        chosen.iter().filter_map(&mut mark_pushed).collect()
    }

    fn select(
        &self,
        mut budget: usize,
        is_eligible: impl Fn(&QueuedUpdate) -> bool,
    ) -> Vec<Subject> {
        let mut order: Vec<_> = self.items.iter().filter(|(_, i)| is_eligible(i)).collect();
        order.sort_by_key(|(_, i)| (i.transmissions, Reverse(i.seq)));
        let mut chosen = Vec::new();
        for (subject, i) in order {
            if chosen.len() == MAX_TAKEN_UPDATES {
                break;
            }
            if i.bytes <= budget {
                budget -= i.bytes;
                chosen.push(subject.clone());
            }
        }
        chosen
    }

    fn count_transmission(&mut self, subject: &Subject, limit: u32) -> Option<Update> {
        let i = self.items.get_mut(subject)?;
        i.transmissions += 1;
        if i.transmissions < limit {
            return Some(i.update.clone());
        }
        self.items.remove(subject).map(|i| i.update)
    }

    /// Removes the update with the most transmissions; among equals, the oldest.
    fn evict_most_sent(&mut self) {
        let eviction_rank = |(_, i): &(&Subject, &QueuedUpdate)| (i.transmissions, Reverse(i.seq));
        let subject = self
            .items
            .iter()
            .max_by_key(eviction_rank)
            .map(|(s, _)| s.clone());
        if let Some(s) = subject {
            self.items.remove(&s);
        }
    }
}
