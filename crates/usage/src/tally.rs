//! Counts of what became of the requests of each organisation, for operators.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use crate::OrganisationId;

/// What became of requests at one node since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tally {
    /// Requests that were sent to targets, whatever their outcome.
    pub sent: u64,
    /// Requests beyond the usage limit.
    pub over_limit: u64,
    /// Requests that were refused as not run for another reason.
    pub refused: u64,
}

/// Counts by organisation.
#[derive(Clone, Debug, Default)]
pub struct Tallies {
    by_id: HashMap<OrganisationId, Tally>,
}

impl Tally {
    fn all(&self) -> u64 {
        self.sent + self.over_limit + self.refused
    }

    fn add(&mut self, other: Tally) {
        self.sent += other.sent;
        self.over_limit += other.over_limit;
        self.refused += other.refused;
    }
}

impl Tallies {
    /// Returns the counts of an organisation, to add a request.
    pub fn of(&mut self, organisation: OrganisationId) -> &mut Tally {
        self.by_id.entry(organisation).or_default()
    }

    /// Returns the `count` organisations with the most requests, and the sum of the others. Operators
    /// see a bounded number of lines with any number of organisations.
    pub fn top(&self, count: usize) -> (Vec<(OrganisationId, Tally)>, Tally) {
        let mut all: Vec<_> = self.by_id.iter().map(|(id, t)| (*id, *t)).collect();
        all.sort_unstable_by_key(|(id, t)| (std::cmp::Reverse(t.all()), *id));
        let mut rest = Tally::default();
        for (_, tally) in all.drain(count.min(all.len())..) {
            rest.add(tally);
        }
        (all, rest)
    }
}
