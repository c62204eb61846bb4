//! Account of the memory that a node takes for others, from the first byte until it is no longer
//! needed.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use tokio::sync::Notify;

/// Largest body that may exceed the limit of its pool, by `SMALL_DIVISOR` of it for all such bodies, so
/// that ordinary responses do not wait for large ones that are not read.
const SMALL_BYTES: usize = 64 << 10;
const SMALL_DIVISOR: usize = 4;
/// Time between two attempts to get memory, if none is released meanwhile.
const RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// The memory is used up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct OutOfMemory;

/// The node's memory for one purpose, such as the bodies of all requests.
#[derive(Debug)]
pub(crate) struct BodyPool {
    held_bytes: AtomicUsize,
    max_bytes: usize,
    /// Wakes those who wait for memory.
    released: Notify,
    /// Wakes the task that frees memory.
    shortage: Arc<Notify>,
}

impl BodyPool {
    /// Creates a pool of `max_bytes`; `shortage` is notified when it is used up.
    pub(crate) fn new(max_bytes: usize, shortage: Arc<Notify>) -> Arc<BodyPool> {
        Arc::new(BodyPool {
            held_bytes: AtomicUsize::new(0),
            max_bytes,
            released: Notify::new(),
            shortage,
        })
    }

    /// Returns how many bytes more may be taken.
    pub(crate) fn free_bytes(&self) -> usize {
        let held_bytes = self.held_bytes.load(Ordering::Relaxed);
        self.max_bytes.saturating_sub(held_bytes)
    }

    /// Returns whether at least half of the memory is free.
    pub(crate) fn is_half_free(&self) -> bool {
        self.free_bytes() > self.max_bytes / 2
    }

    /// Begins an account.
    pub(crate) fn account(self: &Arc<BodyPool>) -> BodyMemory {
        BodyMemory {
            pool: self.clone(),
            bytes: 0,
        }
    }

    fn try_take(&self, bytes: usize) -> bool {
        let small = if bytes <= SMALL_BYTES {
            self.max_bytes / SMALL_DIVISOR
        } else {
            0
        };
        let limit = self.max_bytes + small;
        let take = |held: usize| held.checked_add(bytes).filter(|sum| *sum <= limit);
        let (set, get) = (Ordering::Relaxed, Ordering::Relaxed);
        self.held_bytes.fetch_update(set, get, take).is_ok()
    }
}

/// The part of a pool that one body or connection takes; released on drop.
#[derive(Debug)]
pub(crate) struct BodyMemory {
    pool: Arc<BodyPool>,
    bytes: usize,
}

impl BodyMemory {
    /// Counts `bytes` more. Fails if all together exceed the limit; the bytes count all the same.
    pub(crate) fn add(&mut self, bytes: usize) -> Result<(), OutOfMemory> {
        self.bytes += bytes;
        let held_bytes = self.pool.held_bytes.fetch_add(bytes, Ordering::Relaxed) + bytes;
        if held_bytes > self.pool.max_bytes {
            self.pool.shortage.notify_one();
            return Err(OutOfMemory);
        }
        Ok(())
    }

    /// Counts `bytes` more as soon as there is room for them. Fails if there never will be.
    pub(crate) async fn wait_for(&mut self, bytes: usize) -> Result<(), OutOfMemory> {
        if bytes > self.pool.max_bytes {
            return Err(OutOfMemory);
        }
        while !self.pool.try_take(bytes) {
            self.pool.shortage.notify_one();
            // A release between the attempt and the wait is found by the next attempt.
            let _ = tokio::time::timeout(RETRY_INTERVAL, self.pool.released.notified()).await;
        }
        self.bytes += bytes;
        Ok(())
    }

    /// Counts `bytes` instead of what was counted before, also beyond the limit.
    pub(crate) fn set(&mut self, bytes: usize) {
        // Wrapping subtraction makes one addition of a difference of either sign.
        let change = bytes.wrapping_sub(self.bytes);
        let before = self.pool.held_bytes.fetch_add(change, Ordering::Relaxed);
        if bytes < self.bytes {
            self.pool.released.notify_waiters();
        } else if bytes > self.bytes && before.wrapping_add(change) > self.pool.max_bytes {
            self.pool.shortage.notify_one();
        }
        self.bytes = bytes;
    }
}

impl Drop for BodyMemory {
    fn drop(&mut self) {
        self.set(0);
    }
}
