//! Restores of the log from an older copy.
//!
//! What the log has acknowledged holds only until it is restored. Each answer of the log says how often
//! that has happened, and nodes tell each other in their statuses. After a restore each node reads the
//! newest version again, registers again and records the departures of its target again.
//!
//! A restored log may lack versions that are in force at nodes. A read of it proves that a table is the
//! newest only once this node has heard from most of the others, and none of them has a newer version.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use wire::Time;

use crate::shared::{Phase, Shared};

/// Longest wait for the others' statuses, also where most of them have gone or none is registered.
/// Nodes register again as soon as the log is back, with a backoff of less than a second.
const SETTLE_TIME: Duration = Duration::from_secs(2);

/// Announces each restore of the log to all peers and asks for their statuses, until the node stops.
pub(crate) async fn follow(shared: Arc<Shared>) {
    let log = &shared.settings.source.log;
    let mut known = None;
    loop {
        let count = tokio::select! {
            count = log.restores().wait_beyond(known) => count,
            () = shared.wait_for_phase(Phase::Stopped) => return,
        };
        // The first number that becomes known is that of the log's past.
        if known.is_some() {
            log::warn!(event = "log_restored", restores = count.unwrap_or_default(); "the log was restored from an older copy; registering again and reading the newest version");
            *shared.settling_since.lock() = shared.now();
            shared.status_changed.notify_one();
        }
        known = count;
    }
}

impl Shared {
    /// Returns whether this node has heard from enough others since its start and the last restore of the
    /// log. A log that does not count its restores has none.
    pub(crate) fn is_settled(&self, now: Time) -> bool {
        let log = &self.settings.source.log;
        if log.restores().count().is_none() {
            return true;
        }
        let since = *self.settling_since.lock();
        now.since(since) >= SETTLE_TIME || self.peers.lock().has_heard_majority(since)
    }

    /// Records that the log, read at `at`, had no newer version than the table in force, if that proves
    /// that there is none.
    pub(crate) fn record_log_proof(&self, at: Time) {
        let newest_announced = self.newest_announced.load(Ordering::Relaxed);
        if self.versions.number() >= newest_announced && self.is_settled(self.now()) {
            self.freshness.lock().record(at);
        }
    }
}
