//! Updates queued to be piggybacked on the next messages.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use wire::{Domain, InstanceId};

use crate::message::{MAX_UPDATES, Rumour, Update, encoded_bytes};

/// Maximum number of queued updates in one message; one place is reserved for a correction to the
/// receiver.
const MAX_TAKEN: usize = MAX_UPDATES - 1;

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
struct Item {
    update: Update,
    /// Encoded size.
    bytes: usize,
    /// Number of transmissions so far.
    sent: u32,
    /// Position in the order of insertion.
    seq: u64,
    /// Whether the update still has to be pushed.
    urgent: bool,
}

#[derive(Debug)]
pub(crate) struct Queue {
    items: BTreeMap<Subject, Item>,
    next: u64,
    max: usize,
}

impl Queue {
    pub(crate) fn new(max: usize) -> Queue {
        Queue {
            items: BTreeMap::new(),
            next: 0,
            max,
        }
    }

    /// Adds an update and returns how many updates were dropped to stay within the limit.
    pub(crate) fn push(&mut self, update: Update, urgent: bool) -> u64 {
        let item = Item {
            bytes: encoded_bytes(&update),
            sent: 0,
            seq: self.next,
            urgent,
            update,
        };
        self.next += 1;
        self.items.insert(Subject::of(&item.update), item);
        if self.items.len() <= self.max {
            return 0;
        }
        self.drop_most_sent();
        1
    }

    pub(crate) fn remove(&mut self, subject: &Subject) {
        self.items.remove(subject);
    }

    pub(crate) fn has_urgent(&self) -> bool {
        self.items.values().any(|i| i.urgent)
    }

    pub(crate) fn len(&self) -> usize {
        self.items.len()
    }

    /// Returns updates that fit into `budget` bytes, those with the fewest transmissions first and
    /// newer ones before older ones. Counts one transmission for each and removes those that reach
    /// `limit`.
    pub(crate) fn take(&mut self, budget: usize, limit: u32) -> Vec<Update> {
        let chosen = self.select(budget, |_| true);
        let mut send = |s: &Subject| self.send(s, limit);
        chosen.iter().filter_map(&mut send).collect()
    }

    /// Returns urgent updates that fit into `budget` bytes. Clears their urgent flag and raises
    /// their transmission count to `sent`.
    pub(crate) fn take_urgent(&mut self, budget: usize, sent: u32) -> Vec<Update> {
        let chosen = self.select(budget, |i| i.urgent);
        let mut push = |s: &Subject| {
            let i = self.items.get_mut(s)?;
            i.urgent = false;
            i.sent = i.sent.max(sent);
            Some(i.update.clone())
        };
        chosen.iter().filter_map(&mut push).collect()
    }

    fn select(&self, mut budget: usize, wanted: impl Fn(&Item) -> bool) -> Vec<Subject> {
        let mut order: Vec<_> = self.items.iter().filter(|(_, i)| wanted(i)).collect();
        order.sort_by_key(|(_, i)| (i.sent, Reverse(i.seq)));
        let mut chosen = Vec::new();
        for (subject, i) in order {
            if chosen.len() == MAX_TAKEN {
                break;
            }
            if i.bytes <= budget {
                budget -= i.bytes;
                chosen.push(subject.clone());
            }
        }
        chosen
    }

    fn send(&mut self, subject: &Subject, limit: u32) -> Option<Update> {
        let i = self.items.get_mut(subject)?;
        i.sent += 1;
        if i.sent < limit {
            return Some(i.update.clone());
        }
        self.items.remove(subject).map(|i| i.update)
    }

    fn drop_most_sent(&mut self) {
        let worst = |(_, i): &(&Subject, &Item)| (i.sent, Reverse(i.seq));
        let subject = self.items.iter().max_by_key(worst).map(|(s, _)| s.clone());
        if let Some(s) = subject {
            self.items.remove(&s);
        }
    }
}
