//! The order in which members are probed.

use rand::RngExt;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use wire::InstanceId;

/// A shuffled round over all members. Each one is probed once per round, which bounds the time
/// until a dead member is noticed.
#[derive(Debug, Default)]
pub(crate) struct Ring {
    rest: Vec<InstanceId>,
}

impl Ring {
    /// Returns the next member of this round, if the round isn't over.
    pub(crate) fn next(&mut self) -> Option<InstanceId> {
        self.rest.pop()
    }

    /// Starts a round over `ids`.
    pub(crate) fn refill(&mut self, ids: impl Iterator<Item = InstanceId>, rng: &mut StdRng) {
        self.rest = ids.collect();
        self.rest.shuffle(rng);
    }

    /// Adds a member at a random place of the current round.
    pub(crate) fn insert(&mut self, id: InstanceId, rng: &mut StdRng) {
        let at = rng.random_range(0..=self.rest.len());
        self.rest.insert(at, id);
    }
}
