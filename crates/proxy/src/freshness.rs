//! Proof that the routing table in force was the newest one at some time.
//!
//! A key that the operators take away must not run a request after a bound, also at a node that is cut
//! off or was suspended. So a node that serves requests with keys proves again and again that its table
//! is the newest: by its own reads of the log, or by asking a reader. The proof counts from before the
//! question was sent, so that a slow reply makes it older, not newer. Once it is too old, requests with
//! keys are refused as not run.

use std::sync::Arc;
use std::time::Duration;

use wire::Time;

use crate::link::context;
use crate::shared::{Shared, sleep_unless_stopped};

/// Time between two questions to a reader.
const ASK_INTERVAL: Duration = Duration::from_millis(800);
/// Timeout of a question.
const ASK_TIMEOUT: Duration = Duration::from_millis(500);
/// Readers that are asked in turn.
const MAX_READERS_ASKED: usize = 2;
/// Part of the bound that is left for a request from the check of its key to the target's acceptance.
const MARGIN: Duration = Duration::from_millis(200);

/// When the table in force was last known to be the newest.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Freshness {
    proven_at: Option<Time>,
}

impl Freshness {
    /// Records that the table was the newest at `at`.
    pub(crate) fn record(&mut self, at: Time) {
        self.proven_at = self.proven_at.max(Some(at));
    }

    /// Returns the age of the proof; `None` without one.
    pub(crate) fn age(&self, now: Time) -> Option<Duration> {
        self.proven_at.map(|at| now.since(at))
    }
}

impl Shared {
    /// Returns whether a key that the table holds can't have been taken away for longer than the
    /// operators allow.
    pub(crate) fn are_keys_confirmed(&self, now: Time) -> bool {
        let Some(bound) = self.settings.bounds.revoke_time else {
            return true;
        };
        let age = self.freshness.lock().age(now);
        age.is_some_and(|age| age + MARGIN <= bound)
    }

    fn needs_proof(&self) -> bool {
        let table = self.versions.table();
        let has_keys = table.is_some_and(|t| t.organisations().is_some());
        has_keys && self.settings.bounds.revoke_time.is_some()
    }
}

/// Asks readers for proofs while this node does not read the log itself, until the node stops.
pub(crate) async fn keep_fresh(shared: Arc<Shared>) {
    while sleep_unless_stopped(&shared, ASK_INTERVAL).await {
        if shared.needs_proof() {
            ask_readers(&shared).await;
        }
    }
}

async fn ask_readers(shared: &Shared) {
    let readers = shared.peers.lock().readers(&shared.settings.domain);
    for client in readers.into_iter().take(MAX_READERS_ASKED) {
        let asked_at = shared.now();
        let reply = client.newest_version(context(ASK_TIMEOUT));
        let Ok(Ok(Some((version, age)))) = tokio::time::timeout(ASK_TIMEOUT, reply).await else {
            continue;
        };
        if version > shared.versions.number() {
            // The table is fetched by the task that follows announced versions.
            shared.version_behind.notify_one();
            return;
        }
        let age_us = u64::try_from(age.as_micros()).unwrap_or(u64::MAX);
        let at = Time::from_micros(asked_at.as_micros().saturating_sub(age_us));
        shared.freshness.lock().record(at);
        return;
    }
}

/// Returns the version in force and the age of its proof, for a peer that asks.
pub(crate) fn newest_version(shared: &Shared) -> Option<(u64, Duration)> {
    // A version that is put in force in between makes the reply's version newer than its proof, never
    // older.
    let age = shared.freshness.lock().age(shared.now())?;
    Some((shared.versions.number(), age))
}
