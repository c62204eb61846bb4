//! How a starting node learns which version is current without reading the log itself.
//!
//! A return of many nodes at once would read the log once per node, although the log grows more
//! slowly than the fleet. A node that follows the log can check its end for many others with one
//! read. The check has to begin after the start of the asking node, because only then it covers
//! each version that was active there before.

use std::collections::BTreeSet;
use std::ops::Range;
use std::time::Duration;

use rand::seq::IteratorRandom;
use rand::{Rng, RngExt};
use wire::{InstanceId, Time};

/// A starting node reads the log itself, whatever it has heard, after a random time in this range.
/// The range is wide, so that nodes that wait for the first readers of a mesh don't read together.
pub const PATIENCE: Range<Duration> = Duration::from_secs(1)..Duration::from_secs(3);
/// When all nodes of a mesh start, it takes about this long until they know each other. Before that,
/// too many would take themselves for readers.
pub const SETTLE: Duration = Duration::from_millis(500);
/// A check without an answer for this long is taken to another node.
const ANSWER_WITHIN: Duration = Duration::from_secs(1);

#[derive(Clone, Copy, Debug)]
struct Question {
    to: InstanceId,
    at: Time,
}

#[derive(Debug, Default)]
pub(crate) struct Confirm {
    /// Nodes that are expected to follow the log.
    candidates: BTreeSet<InstanceId>,
    /// Nodes that could not confirm, until there is a new sign that they can.
    refused: BTreeSet<InstanceId>,
    asked: Option<Question>,
    patience: Option<Time>,
    /// Readers of the own failure domain as the view names them.
    named: Vec<InstanceId>,
}

impl Confirm {
    /// Notes a sign that `id` follows the log.
    pub(crate) fn may_confirm(&mut self, id: InstanceId) {
        self.refused.remove(&id);
        self.candidates.insert(id);
    }

    /// Notes that `id` may follow the log, unless it could not confirm before.
    pub(crate) fn try_once(&mut self, id: InstanceId) {
        if !self.refused.contains(&id) {
            self.candidates.insert(id);
        }
    }

    /// Notes the readers of the own failure domain.
    pub(crate) fn set_readers(&mut self, ids: Vec<InstanceId>) {
        for id in &ids {
            self.try_once(*id);
        }
        self.named = ids;
    }

    /// Forgets a node that did not confirm.
    pub(crate) fn refused(&mut self, id: InstanceId) {
        self.candidates.remove(&id);
        self.refused.insert(id);
        self.asked.take_if(|q| q.to == id);
    }

    pub(crate) fn answered(&mut self, id: InstanceId) {
        self.asked.take_if(|q| q.to == id);
    }

    /// Returns whom to ask now.
    pub(crate) fn ask(&mut self, now: Time, rng: &mut impl Rng) -> Option<InstanceId> {
        if let Some(q) = self.asked {
            if now.since(q.at) < ANSWER_WITHIN {
                return None;
            }
            self.refused(q.to);
        }
        // Questions to few nodes share more reads.
        let named = self.candidates.iter().filter(|id| self.named.contains(id));
        let to = named
            .choose(rng)
            .or_else(|| self.candidates.iter().choose(rng));
        let to = *to?;
        self.asked = Some(Question { to, at: now });
        Some(to)
    }

    /// Returns whether the node has to read the log itself, because the readers of its failure
    /// domain can't confirm. `would_read` says whether the node would be a reader if all members
    /// that it knows were ready; when a mesh starts, these nodes read and the others wait for them.
    pub(crate) fn is_hopeless(&self, would_read: bool) -> bool {
        let refused = self.named.iter().all(|id| self.refused.contains(id));
        let readers_refused = !self.named.is_empty() && refused;
        self.candidates.is_empty() && self.asked.is_none() && (readers_refused || would_read)
    }

    pub(crate) fn is_patience_over(&mut self, now: Time, rng: &mut impl Rng) -> bool {
        let until = *self
            .patience
            .get_or_insert_with(|| now + rng.random_range(PATIENCE));
        now >= until
    }
}
