//! Confirm requests: how a starting node learns the current version without reading the log.
//!
//! A confirm request asks a node that follows the log whether its active version is current. The
//! recipient reads the end of the log, and one such read answers the requests of many starting
//! nodes. Otherwise a restart of many nodes at once would read the log once per node, although the
//! log grows more slowly than the fleet. The read has to begin after the asking node has started,
//! because only then does it cover each version that was active on that node before the restart.

use std::collections::BTreeSet;
use std::ops::Range;
use std::time::Duration;

use rand::seq::IteratorRandom;
use rand::{Rng, RngExt};
use wire::{InstanceId, Time};

/// Range of the random time after which a node that is still starting reads the log itself,
/// whatever its peers have answered. The range is wide, so that nodes that wait for the first
/// readers of a new mesh don't all read at the same time.
pub const LOG_READ_FALLBACK: Range<Duration> = Duration::from_secs(1)..Duration::from_secs(3);
/// Time after the start of a node during which its membership view is taken as incomplete. When all
/// nodes of a mesh start, they need about this long to learn of each other; before that, too many
/// would rank themselves among the readers.
pub const MEMBERSHIP_SETTLE_TIME: Duration = Duration::from_millis(500);
/// A confirm request without a reply for this long counts as failed and goes to another node.
const CONFIRM_TIMEOUT: Duration = Duration::from_secs(1);

#[derive(Clone, Copy, Debug)]
struct PendingConfirm {
    to: InstanceId,
    sent_at: Time,
}

#[derive(Debug, Default)]
pub(crate) struct ConfirmRequests {
    /// Nodes that are expected to follow the log and have not failed to confirm.
    candidates: BTreeSet<InstanceId>,
    /// Nodes that could not confirm or have departed, until they state that they follow the log.
    failed: BTreeSet<InstanceId>,
    pending: Option<PendingConfirm>,
    /// End of the time drawn from [`LOG_READ_FALLBACK`], which starts with the first event.
    fallback_at: Option<Time>,
    /// Readers of the own failure domain according to the membership view.
    domain_readers: Vec<InstanceId>,
}

impl ConfirmRequests {
    /// Adds `id`, which has stated that it follows the log, also if it could not confirm before.
    pub(crate) fn add_candidate(&mut self, id: InstanceId) {
        self.failed.remove(&id);
        self.candidates.insert(id);
    }

    /// Adds `id`, which may follow the log, unless it could not confirm before.
    pub(crate) fn add_candidate_unless_failed(&mut self, id: InstanceId) {
        if !self.failed.contains(&id) {
            self.candidates.insert(id);
        }
    }

    /// Replaces the readers of the own failure domain and adds them as candidates.
    pub(crate) fn set_readers(&mut self, ids: Vec<InstanceId>) {
        for id in &ids {
            self.add_candidate_unless_failed(*id);
        }
        self.domain_readers = ids;
    }

    /// Removes `id` from the candidates, because it could not confirm or has departed.
    pub(crate) fn record_failure(&mut self, id: InstanceId) {
        self.candidates.remove(&id);
        self.failed.insert(id);
        self.pending.take_if(|p| p.to == id);
    }

    /// Records that `id` has confirmed its version; it remains a candidate.
    pub(crate) fn record_reply(&mut self, id: InstanceId) {
        self.pending.take_if(|p| p.to == id);
    }

    /// Returns the node that is due a confirm request now, and marks the request as sent.
    pub(crate) fn next_request(&mut self, now: Time, rng: &mut impl Rng) -> Option<InstanceId> {
        if let Some(p) = self.pending {
            if now.since(p.sent_at) < CONFIRM_TIMEOUT {
                return None;
            }
            self.record_failure(p.to);
        }
        // One log read answers all requests that a node has received, so requests that concentrate
        // on few nodes cause fewer reads.
        let readers = self
            .candidates
            .iter()
            .filter(|id| self.domain_readers.contains(id));
        let to = readers
            .choose(rng)
            .or_else(|| self.candidates.iter().choose(rng));
        let to = *to?;
        self.pending = Some(PendingConfirm { to, sent_at: now });
        Some(to)
    }

    /// Returns whether the node has to read the log itself: no candidate is left, no request is
    /// pending, and either all readers of the own failure domain have failed to confirm or
    /// `is_potential_reader` is set. When a mesh starts, the potential readers thus read the log
    /// and the other nodes wait for them.
    pub(crate) fn is_exhausted(&self, is_potential_reader: bool) -> bool {
        let all_failed = self
            .domain_readers
            .iter()
            .all(|id| self.failed.contains(id));
        let have_readers_failed = !self.domain_readers.is_empty() && all_failed;
        self.candidates.is_empty()
            && self.pending.is_none()
            && (have_readers_failed || is_potential_reader)
    }

    /// Returns whether the node has been starting for so long that it reads the log itself, see
    /// [`LOG_READ_FALLBACK`].
    pub(crate) fn is_fallback_due(&mut self, now: Time, rng: &mut impl Rng) -> bool {
        let fallback_at = *self
            .fallback_at
            .get_or_insert_with(|| now + rng.random_range(LOG_READ_FALLBACK));
        now >= fallback_at
    }
}
