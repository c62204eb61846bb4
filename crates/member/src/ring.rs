//! Order in which members are probed.

use rand::RngExt;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use wire::InstanceId;

/// A shuffled round over all members. Each member is probed once per round, which bounds the time
/// to detect a dead member.
#[derive(Debug, Default)]
pub(crate) struct Ring {
    remaining: Vec<InstanceId>,
}

impl Ring {
    /// Returns the next member of this round, or `None` at its end.
    pub(crate) fn next(&mut self) -> Option<InstanceId> {
        self.remaining.pop()
    }

    /// Starts a round over `ids`.
    pub(crate) fn refill(&mut self, ids: impl Iterator<Item = InstanceId>, rng: &mut StdRng) {
        self.remaining = ids.collect();
        self.remaining.shuffle(rng);
    }

    /// Inserts a member at a random position of the current round.
    pub(crate) fn insert(&mut self, id: InstanceId, rng: &mut StdRng) {
        let position = rng.random_range(0..=self.remaining.len());
        self.remaining.insert(position, id);
    }
}
