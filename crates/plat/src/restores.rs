//! Restores of the log from an older copy.
//!
//! A log that is restored from a copy has lost what it acknowledged after the copy was made, and gives
//! the lost offsets out again. It says in its answers how often that has happened. Offsets and
//! acknowledgements hold only until the next restore.

use tokio::sync::watch;

/// How often a log has been restored, as far as its client knows. Clones share the number.
#[derive(Clone, Debug)]
pub struct Restores(watch::Sender<Option<u64>>);

impl Default for Restores {
    fn default() -> Self {
        Restores(watch::Sender::new(None))
    }
}

impl Restores {
    /// Records a number that the log or another of its clients has named. It never goes back.
    pub fn record(&self, count: Option<u64>) {
        self.0.send_if_modified(|known| {
            let is_newer = count > *known;
            *known = count.max(*known);
            is_newer
        });
    }

    /// Returns the largest number known; `None` before the first answer that names one.
    pub fn count(&self) -> Option<u64> {
        *self.0.borrow()
    }

    /// Waits until a number above `count` is known, and returns it. Any number is above `None`.
    pub async fn wait_beyond(&self, count: Option<u64>) -> Option<u64> {
        let mut known = self.0.subscribe();
        // Doesn't fail, as `self` owns the sender.
        known.wait_for(|n| *n > count).await.map_or(count, |n| *n)
    }
}
