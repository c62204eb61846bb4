//! Start-time fair queueing (SFQ) between callers.

use std::collections::{BTreeMap, BTreeSet};

use crate::offer::RequestKey;

/// Callers with a bucket of their own. Further ones share [`SHARED_BUCKETS`] buckets by hash.
const MAX_CALLERS: usize = 1_024;
/// Buckets for callers beyond [`MAX_CALLERS`].
const SHARED_BUCKETS: u64 = 64;

/// How far a caller's start tag may lag behind the virtual time, in requests. Without this credit
/// callers that don't always have a request waiting get less than their fair share.
const MAX_LAG_REQUESTS: u64 = 4;

/// Order in which the requests of one caller are served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Order {
    OldestFirst,
    NewestFirst,
}

#[derive(Debug, Default)]
struct Caller {
    /// Start tag: virtual time at which the caller's next request starts.
    start_tag: u64,
    /// Waiting requests by arrival sequence number.
    waiting: BTreeMap<u64, RequestKey>,
}

/// Waiting requests of one class. Costs and virtual times are expected service times in
/// microseconds.
#[derive(Debug, Default)]
pub(crate) struct FairQueue {
    /// Callers by bucket.
    callers: BTreeMap<u64, Caller>,
    /// Start tag and bucket of each caller with waiting requests.
    backlogged: BTreeSet<(u64, u64)>,
    /// All waiting requests by arrival sequence number.
    by_arrival: BTreeMap<u64, RequestKey>,
    /// Highest start tag of a request that has started. Never decreases.
    virtual_time: u64,
}

impl FairQueue {
    pub(crate) fn len(&self) -> usize {
        self.by_arrival.len()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.by_arrival.is_empty()
    }

    /// Returns the request that has waited longest.
    pub(crate) fn oldest(&self) -> Option<RequestKey> {
        self.by_arrival.first_key_value().map(|(_, k)| *k)
    }

    /// Returns how many requests wait in a bucket, and the oldest of them.
    pub(crate) fn backlog_of(&self, bucket: u64) -> (usize, Option<RequestKey>) {
        self.callers.get(&bucket).map_or((0, None), |c| {
            let oldest = c.waiting.first_key_value().map(|(_, k)| *k);
            (c.waiting.len(), oldest)
        })
    }

    /// Returns the bucket that `caller` uses: one of its own, or a shared one if the table is full.
    pub(crate) fn bucket(&mut self, caller: u64) -> u64 {
        if self.callers.contains_key(&caller) {
            return caller;
        }
        if self.callers.len() >= MAX_CALLERS {
            self.evict_idle();
        }
        if self.callers.len() >= MAX_CALLERS {
            return caller % SHARED_BUCKETS;
        }
        caller
    }

    /// Charges a request that starts without waiting to its caller, unless the caller has others
    /// waiting.
    pub(crate) fn charge(&mut self, bucket: u64, cost: u64) {
        let caller = self.callers.entry(bucket).or_default();
        let start = caller.start_tag.max(self.virtual_time);
        if caller.waiting.is_empty() {
            caller.start_tag = start + cost;
        }
        if self.backlogged.is_empty() {
            // While no request waits, no caller can fall behind.
            self.virtual_time = start;
        }
    }

    /// Queues a request. `seq` is its arrival sequence number; its `cost` limits how far the start
    /// tag of a caller without other waiting requests lags behind.
    pub(crate) fn push(&mut self, bucket: u64, seq: u64, key: RequestKey, cost: u64) {
        let credit = MAX_LAG_REQUESTS * cost;
        self.by_arrival.insert(seq, key);
        let caller = self.callers.entry(bucket).or_default();
        if caller.waiting.is_empty() {
            caller.start_tag = caller
                .start_tag
                .max(self.virtual_time.saturating_sub(credit));
            self.backlogged.insert((caller.start_tag, bucket));
        }
        caller.waiting.insert(seq, key);
    }

    /// Takes the next request of the caller with the lowest start tag. `cost` returns the cost of
    /// a request.
    pub(crate) fn pop(
        &mut self,
        order: Order,
        cost: impl Fn(RequestKey) -> u64,
    ) -> Option<RequestKey> {
        let (start_tag, bucket) = self.backlogged.pop_first()?;
        self.virtual_time = self.virtual_time.max(start_tag);
        let caller = self.callers.get_mut(&bucket)?;
        let (seq, key) = match order {
            Order::OldestFirst => caller.waiting.pop_first()?,
            Order::NewestFirst => caller.waiting.pop_last()?,
        };
        caller.start_tag = start_tag + cost(key);
        if !caller.waiting.is_empty() {
            self.backlogged.insert((caller.start_tag, bucket));
        }
        self.by_arrival.remove(&seq);
        Some(key)
    }

    /// Removes a waiting request that is refused or cancelled.
    pub(crate) fn remove(&mut self, bucket: u64, seq: u64) {
        self.by_arrival.remove(&seq);
        let Some(caller) = self.callers.get_mut(&bucket) else {
            return;
        };
        caller.waiting.remove(&seq);
        if caller.waiting.is_empty() {
            self.backlogged.remove(&(caller.start_tag, bucket));
        }
    }

    /// Evicts callers that have no waiting request and whose start tag isn't above the virtual
    /// time. If half of [`MAX_CALLERS`] or more remain, evicts all callers without waiting
    /// requests. An evicted caller counts as new when it returns.
    fn evict_idle(&mut self) {
        let v = self.virtual_time;
        self.callers
            .retain(|_, c| !c.waiting.is_empty() || c.start_tag > v);
        if self.callers.len() >= MAX_CALLERS / 2 {
            self.callers.retain(|_, c| !c.waiting.is_empty());
        }
    }
}
