//! Account of the memory that is held for others.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use snafu::Snafu;
use tokio::sync::Notify;

/// Largest body that counts as [`Use::Small`].
pub const SMALL_BYTES: usize = 64 << 10;

/// The account can't hold what is asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("out of memory for callers, targets and peers"))]
pub struct OutOfMemory;

/// What memory is used for. Each use may fill the account up to its own limit, so that callers which
/// upload can't keep the responses of others from being received, and large bodies can't keep small
/// ones out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Use {
    /// Small bodies, received bytes that are not processed, and the state of connections.
    Small,
    /// Large responses of a known length, whose requests have run.
    Response,
    /// Large bodies of requests.
    Request,
    /// Responses whose length is not known before their end.
    UnboundedResponse,
}

impl Use {
    /// Returns the use of a body of `len` bytes that is `large` if it is not small.
    pub fn of(len: usize, large: Use) -> Use {
        if len <= SMALL_BYTES {
            Use::Small
        } else {
            large
        }
    }

    /// Largest part of the account, in percent, that may be in use after a charge.
    fn limit_percent(self) -> usize {
        match self {
            Use::Small => 100,
            Use::Response => 90,
            Use::Request => 75,
            Use::UnboundedResponse => 40,
        }
    }
}

/// The memory of a node for others, in bytes.
#[derive(Debug)]
pub struct Account {
    held_bytes: AtomicUsize,
    max_bytes: usize,
    released: Notify,
    shortage: Notify,
}

impl Account {
    /// Opens an account of `max_bytes`.
    pub fn new(max_bytes: usize) -> Arc<Account> {
        Arc::new(Account {
            held_bytes: AtomicUsize::new(0),
            max_bytes,
            released: Notify::new(),
            shortage: Notify::new(),
        })
    }

    /// Returns the bytes that are held.
    pub fn held_bytes(&self) -> usize {
        self.held_bytes.load(Ordering::Relaxed)
    }

    /// Returns whether `bytes` could be held for `usage` if nothing else were.
    pub fn could_hold(&self, usage: Use, bytes: usize) -> bool {
        bytes <= self.limit(usage)
    }

    /// Returns whether at least half of the memory is free.
    pub fn is_half_free(&self) -> bool {
        self.held_bytes() < self.max_bytes / 2
    }

    /// Returns whether there is room for `bytes` more for `usage`.
    pub fn has_room(&self, usage: Use, bytes: usize) -> bool {
        self.held_bytes().saturating_add(bytes) <= self.limit(usage)
    }

    /// Waits until memory is released after this call.
    pub async fn released(&self) {
        self.released.notified().await;
    }

    /// Waits until a charge has exceeded the account, or one was refused.
    pub async fn shortage(&self) {
        self.shortage.notified().await;
    }

    /// Begins a charge of nothing. Its bytes count in `tally` too.
    pub fn charge(self: &Arc<Account>, tally: Option<&Tally>) -> Charge {
        Charge {
            account: self.clone(),
            tally: tally.cloned(),
            bytes: 0,
        }
    }

    fn limit(&self, usage: Use) -> usize {
        self.max_bytes / 100 * usage.limit_percent()
    }

    fn try_take(&self, usage: Use, bytes: usize) -> Result<(), OutOfMemory> {
        let limit = self.limit(usage);
        let take = |held: usize| held.checked_add(bytes).filter(|sum| *sum <= limit);
        let (set, get) = (Ordering::Relaxed, Ordering::Relaxed);
        match self.held_bytes.fetch_update(set, get, take) {
            Ok(_) => Ok(()),
            Err(_) => {
                self.shortage.notify_one();
                Err(OutOfMemory)
            }
        }
    }
}

/// Sum of the charges that are made for one holder, such as a connection.
#[derive(Clone, Debug, Default)]
pub struct Tally(Arc<AtomicUsize>);

impl Tally {
    /// Returns the bytes of all charges.
    pub fn bytes(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }
}

/// A part of an [`Account`], given back on drop.
#[derive(Debug)]
pub struct Charge {
    account: Arc<Account>,
    tally: Option<Tally>,
    bytes: usize,
}

impl Charge {
    /// Returns the bytes that are charged.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Charges `bytes` more.
    ///
    /// # Errors
    ///
    /// Fails, and charges nothing, if that exceeds the limit of `usage`.
    pub fn try_add(&mut self, usage: Use, bytes: usize) -> Result<(), OutOfMemory> {
        self.account.try_take(usage, bytes)?;
        self.bytes += bytes;
        if let Some(tally) = &self.tally {
            tally.0.fetch_add(bytes, Ordering::Relaxed);
        }
        Ok(())
    }

    /// Charges `bytes` in place of what was charged before, also beyond the limit: for memory that
    /// is in use already.
    pub fn set(&mut self, bytes: usize) {
        if bytes == self.bytes {
            return;
        }
        // Wrapping subtraction makes one addition of a difference of either sign.
        let change = bytes.wrapping_sub(self.bytes);
        let before = self.account.held_bytes.fetch_add(change, Ordering::Relaxed);
        if let Some(tally) = &self.tally {
            tally.0.fetch_add(change, Ordering::Relaxed);
        }
        if bytes < self.bytes {
            self.account.released.notify_waiters();
        } else if before.wrapping_add(change) > self.account.max_bytes {
            self.account.shortage.notify_one();
        }
        self.bytes = bytes;
    }

    /// Splits `bytes` off, or all that is charged if that is less.
    #[must_use]
    pub fn split(&mut self, bytes: usize) -> Charge {
        let bytes = bytes.min(self.bytes);
        self.bytes -= bytes;
        Charge {
            account: self.account.clone(),
            tally: self.tally.clone(),
            bytes,
        }
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        self.set(0);
    }
}
