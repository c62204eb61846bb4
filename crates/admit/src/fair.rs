//! A queue that shares service between callers (start-time fair queueing).

use std::collections::{BTreeMap, BTreeSet};

use crate::offer::Key;

/// Callers with own state. Further ones share [`SHARED_BUCKETS`] entries by hash.
const MAX_CALLERS: usize = 1_024;
/// Entries for callers beyond the table.
const SHARED_BUCKETS: u64 = 64;

/// Requests that a caller without waiting work may fall behind and still catch up later. Callers
/// whose few requests don't always leave one waiting would else get less than their share.
const CREDIT: u64 = 4;

/// Which request of a caller is served first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Order {
    OldestFirst,
    NewestFirst,
}

#[derive(Debug, Default)]
struct Caller {
    /// Virtual time at which the caller's next request starts.
    tag: u64,
    /// Waiting requests by order of arrival.
    waiting: BTreeMap<u64, Key>,
}

/// Waiting requests of one class. Costs are expected service times in microseconds.
#[derive(Debug, Default)]
pub(crate) struct FairQueue {
    callers: BTreeMap<u64, Caller>,
    /// Callers with waiting requests by virtual time.
    ready: BTreeSet<(u64, u64)>,
    /// All waiting requests by order of arrival.
    arrivals: BTreeMap<u64, Key>,
    virtual_time: u64,
}

impl FairQueue {
    pub(crate) fn len(&self) -> usize {
        self.arrivals.len()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.arrivals.is_empty()
    }

    /// Returns the request that has waited longest.
    pub(crate) fn oldest(&self) -> Option<Key> {
        self.arrivals.first_key_value().map(|(_, k)| *k)
    }

    /// Returns how many requests wait in the caller's entry, and the oldest of them.
    pub(crate) fn of_caller(&self, bucket: u64) -> (usize, Option<Key>) {
        self.callers.get(&bucket).map_or((0, None), |c| {
            let oldest = c.waiting.first_key_value().map(|(_, k)| *k);
            (c.waiting.len(), oldest)
        })
    }

    /// Returns the entry that `caller` uses.
    pub(crate) fn bucket(&mut self, caller: u64) -> u64 {
        if self.callers.contains_key(&caller) {
            return caller;
        }
        if self.callers.len() >= MAX_CALLERS {
            self.forget_idle();
        }
        if self.callers.len() >= MAX_CALLERS {
            return caller % SHARED_BUCKETS;
        }
        caller
    }

    /// Counts a request that starts without waiting.
    pub(crate) fn charge(&mut self, bucket: u64, cost: u64) {
        let caller = self.callers.entry(bucket).or_default();
        let start = caller.tag.max(self.virtual_time);
        if caller.waiting.is_empty() {
            caller.tag = start + cost;
        }
        if self.ready.is_empty() {
            // Without a queue nobody is kept waiting, so nobody falls behind.
            self.virtual_time = start;
        }
    }

    pub(crate) fn push(&mut self, bucket: u64, seq: u64, key: Key, cost: u64) {
        let credit = CREDIT * cost;
        self.arrivals.insert(seq, key);
        let caller = self.callers.entry(bucket).or_default();
        if caller.waiting.is_empty() {
            caller.tag = caller.tag.max(self.virtual_time.saturating_sub(credit));
            self.ready.insert((caller.tag, bucket));
        }
        caller.waiting.insert(seq, key);
    }

    /// Takes the next request of the caller that is furthest behind; `cost` gives its cost.
    pub(crate) fn pop(&mut self, order: Order, cost: impl Fn(Key) -> u64) -> Option<Key> {
        let (tag, bucket) = self.ready.pop_first()?;
        self.virtual_time = self.virtual_time.max(tag);
        let caller = self.callers.get_mut(&bucket)?;
        let (seq, key) = match order {
            Order::OldestFirst => caller.waiting.pop_first()?,
            Order::NewestFirst => caller.waiting.pop_last()?,
        };
        caller.tag = tag + cost(key);
        if !caller.waiting.is_empty() {
            self.ready.insert((caller.tag, bucket));
        }
        self.arrivals.remove(&seq);
        Some(key)
    }

    pub(crate) fn remove(&mut self, bucket: u64, seq: u64) {
        self.arrivals.remove(&seq);
        let Some(caller) = self.callers.get_mut(&bucket) else {
            return;
        };
        caller.waiting.remove(&seq);
        if caller.waiting.is_empty() {
            self.ready.remove(&(caller.tag, bucket));
        }
    }

    /// Drops callers whose state is that of a new one; if that frees too little, all without
    /// waiting requests.
    fn forget_idle(&mut self) {
        let v = self.virtual_time;
        self.callers
            .retain(|_, c| !c.waiting.is_empty() || c.tag > v);
        if self.callers.len() >= MAX_CALLERS / 2 {
            self.callers.retain(|_, c| !c.waiting.is_empty());
        }
    }
}
