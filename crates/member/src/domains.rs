//! Reachability of failure domains.

use std::collections::BTreeMap;
use std::time::Duration;

use wire::{Domain, Time};

#[derive(Debug, Default)]
struct Reach {
    /// Number of reachability changes, agreed across the mesh; odd while the domain is unreachable.
    epoch: u32,
    /// Time of the last message from a member of the domain.
    heard: Option<Time>,
    /// Time of the last reachability change that this member applied.
    changed: Option<Time>,
}

/// Known failure domains, at most [`MAX_DOMAINS`].
#[derive(Debug, Default)]
pub(crate) struct Domains {
    reach: BTreeMap<Domain, Reach>,
}

/// Maximum number of failure domains tracked. Only faulty records can name more.
const MAX_DOMAINS: usize = 1_024;

impl Domains {
    pub(crate) fn is_down(&self, domain: &Domain) -> bool {
        self.epoch(domain) % 2 == 1
    }

    pub(crate) fn epoch(&self, domain: &Domain) -> u32 {
        self.reach.get(domain).map_or(0, |r| r.epoch)
    }

    /// Returns whether members of `domain` must not be suspected, because the domain is unreachable
    /// or recovered less than `grace` ago.
    pub(crate) fn is_spared(&self, now: Time, domain: &Domain, grace: Duration) -> bool {
        let recent = |at: Time| now.since(at) < grace;
        let changed = self.reach.get(domain).and_then(|r| r.changed);
        self.is_down(domain) || changed.is_some_and(recent)
    }

    pub(crate) fn heard(&self, domain: &Domain) -> Option<Time> {
        self.reach.get(domain).and_then(|r| r.heard)
    }

    pub(crate) fn note_heard(&mut self, now: Time, domain: &Domain) {
        if let Some(r) = self.entry(domain) {
            r.heard = Some(now);
        }
    }

    /// Sets the epoch and returns whether this changes the reachability.
    pub(crate) fn set_epoch(&mut self, now: Time, domain: &Domain, epoch: u32) -> bool {
        let Some(r) = self.entry(domain) else {
            return false;
        };
        let flipped = r.epoch % 2 != epoch % 2;
        r.epoch = epoch;
        if flipped {
            r.changed = Some(now);
        }
        flipped
    }

    pub(crate) fn down(&self) -> impl Iterator<Item = &Domain> {
        let down = self.reach.iter().filter(|(_, r)| r.epoch % 2 == 1);
        down.map(|(d, _)| d)
    }

    /// Returns the domains that have been unreachable for longer than `retention`.
    pub(crate) fn expired(&self, now: Time, retention: Duration) -> Vec<Domain> {
        let old =
            |r: &Reach| r.epoch % 2 == 1 && r.changed.is_some_and(|at| now.since(at) > retention);
        let expired = self.reach.iter().filter(|(_, r)| old(r));
        expired.map(|(d, _)| d.clone()).collect()
    }

    /// Returns the epochs of all domains that have been unreachable at least once.
    pub(crate) fn epochs(&self) -> Vec<(Domain, u32)> {
        let known = self.reach.iter().filter(|(_, r)| r.epoch > 0);
        known.map(|(d, r)| (d.clone(), r.epoch)).collect()
    }

    /// Shifts all stored times by the length of a pause of the own process.
    pub(crate) fn shift(&mut self, by: Duration) {
        for r in self.reach.values_mut() {
            r.heard = r.heard.map(|t| t + by);
            r.changed = r.changed.map(|t| t + by);
        }
    }

    fn entry(&mut self, domain: &Domain) -> Option<&mut Reach> {
        if !self.reach.contains_key(domain) {
            if self.reach.len() >= MAX_DOMAINS {
                return None;
            }
            self.reach.insert(domain.clone(), Reach::default());
        }
        self.reach.get_mut(domain)
    }
}
