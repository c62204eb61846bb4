//! Reachability of failure domains.

use std::collections::BTreeMap;
use std::time::Duration;

use wire::{Domain, Time};

#[derive(Debug, Default)]
struct DomainState {
    /// Number of reachability changes, agreed across the mesh; odd while the domain is unreachable.
    epoch: u32,
    /// Time of the last message from a member of the domain.
    last_contact: Option<Time>,
    /// Time of the last reachability change that this member applied.
    changed_at: Option<Time>,
}

/// Known failure domains, at most [`MAX_DOMAINS`].
#[derive(Debug, Default)]
pub(crate) struct Domains {
    domains: BTreeMap<Domain, DomainState>,
}

/// Maximum number of failure domains tracked. Only faulty records can name more.
const MAX_DOMAINS: usize = 1_024;

impl Domains {
    pub(crate) fn is_unreachable(&self, domain: &Domain) -> bool {
        self.epoch(domain) % 2 == 1
    }

    pub(crate) fn epoch(&self, domain: &Domain) -> u32 {
        self.domains.get(domain).map_or(0, |r| r.epoch)
    }

    /// Returns whether members of `domain` must not be suspected, because the domain is unreachable
    /// or recovered less than `grace` ago.
    pub(crate) fn is_exempt(&self, now: Time, domain: &Domain, grace: Duration) -> bool {
        let in_grace_period = |at: Time| now.since(at) < grace;
        let changed_at = self.domains.get(domain).and_then(|r| r.changed_at);
        self.is_unreachable(domain) || changed_at.is_some_and(in_grace_period)
    }

    pub(crate) fn last_contact(&self, domain: &Domain) -> Option<Time> {
        self.domains.get(domain).and_then(|r| r.last_contact)
    }

    pub(crate) fn record_contact(&mut self, now: Time, domain: &Domain) {
        if let Some(r) = self.entry(domain) {
            r.last_contact = Some(now);
        }
    }

    /// Sets the epoch and returns whether this changes the reachability.
    pub(crate) fn set_epoch(&mut self, now: Time, domain: &Domain, epoch: u32) -> bool {
        let Some(r) = self.entry(domain) else {
            return false;
        };
        let has_flipped = r.epoch % 2 != epoch % 2;
        r.epoch = epoch;
        if has_flipped {
            r.changed_at = Some(now);
        }
        has_flipped
    }

    pub(crate) fn unreachable(&self) -> impl Iterator<Item = &Domain> {
        let unreachable = self.domains.iter().filter(|(_, r)| r.epoch % 2 == 1);
        unreachable.map(|(d, _)| d)
    }

    /// Returns the domains that have been unreachable for longer than `ttl`.
    pub(crate) fn expired(&self, now: Time, ttl: Duration) -> Vec<Domain> {
        let is_expired =
            |r: &DomainState| r.epoch % 2 == 1 && r.changed_at.is_some_and(|t| now.since(t) > ttl);
        let expired = self.domains.iter().filter(|(_, r)| is_expired(r));
        expired.map(|(d, _)| d.clone()).collect()
    }

    /// Returns the epochs of all domains that have been unreachable at least once.
    pub(crate) fn epochs(&self) -> Vec<(Domain, u32)> {
        let known = self.domains.iter().filter(|(_, r)| r.epoch > 0);
        known.map(|(d, r)| (d.clone(), r.epoch)).collect()
    }

    /// Shifts all stored times by the length of a pause of the own process.
    pub(crate) fn shift_times(&mut self, by: Duration) {
        for r in self.domains.values_mut() {
            r.last_contact = r.last_contact.map(|t| t + by);
            r.changed_at = r.changed_at.map(|t| t + by);
        }
    }

    fn entry(&mut self, domain: &Domain) -> Option<&mut DomainState> {
        if !self.domains.contains_key(domain) {
            if self.domains.len() >= MAX_DOMAINS {
                return None;
            }
            self.domains.insert(domain.clone(), DomainState::default());
        }
        self.domains.get_mut(domain)
    }
}
