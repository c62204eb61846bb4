//! Application of received updates.

use wire::{Domain, Incarnation, InstanceId, Version};

use crate::event::{Action, Change};
use crate::history::{Precedence, Rank};
use crate::machine::Member;
use crate::message::{Rumour, Update};
use crate::record::{Record, State};
use crate::table::{InsertOutcome, Suspicion};

/// A claim that a failure domain is unreachable is refuted if a message from the domain arrived
/// within this many probe periods.
const DOMAIN_REFUTE_PERIODS: u32 = 3;

impl Member {
    /// Applies an update. If it is about an instance and changes what this member knows, it is
    /// queued for other members only if `relay` is set. Rumours and changes of a failure domain are
    /// always queued.
    pub(crate) fn apply(&mut self, update: Update, relay: bool) {
        let is_news = match update {
            Update::Alive(r) => self.apply_alive(r, relay),
            Update::Suspect { id, incarnation } => self.apply_suspect(id, incarnation, relay),
            Update::Down {
                id,
                incarnation,
                version,
            } => self.apply_down_update(id, incarnation, version, relay),
            Update::Domain { domain, epoch } => self.apply_domain(&domain, epoch),
            Update::Rumour(r) => self.apply_rumour(r),
        };
        let counter = if is_news {
            &mut self.counters.applied_updates
        } else {
            &mut self.counters.ineffective_updates
        };
        *counter += 1;
    }

    /// Returns whether an update with this precedence supersedes the known state of `id`.
    fn supersedes_known(&self, id: InstanceId, precedence: Precedence) -> bool {
        self.precedence(id).is_none_or(|known| precedence > known)
    }

    fn apply_alive(&mut self, r: Record, relay: bool) -> bool {
        if r.id == self.own.id {
            let is_contradiction = !r.is_same_announcement(&self.own);
            self.refute_if_needed(r.incarnation, is_contradiction);
            return false;
        }
        if r.state == State::Left {
            self.history.raise_version_floor(r.id, r.version);
            return self.apply_down(r.id, r.incarnation, relay);
        }
        let precedence = (r.incarnation, Rank::Alive);
        if !self.supersedes_known(r.id, precedence) {
            self.send_conflicting_record(&r);
            return false;
        }
        self.history.set_precedence(self.now, r.id, precedence);
        self.history.raise_version_floor(r.id, r.version);
        if relay {
            self.enqueue(Update::Alive(r.clone()), true);
        }
        self.store_record(r);
        true
    }

    /// Sends the stored record to an instance that announced a different one with the same
    /// incarnation, so that it takes the next incarnation. Only the instance can resolve the
    /// conflict, which occurs when it restarts while the members with its old record are
    /// partitioned from it.
    fn send_conflicting_record(&mut self, r: &Record) {
        let stored = self.table.get(r.id).map(|e| &e.record);
        let conflict =
            stored.filter(|h| h.incarnation == r.incarnation && !h.is_same_announcement(r));
        if let Some(stored) = conflict.cloned() {
            self.send_record(r.gossip, r.id, stored);
        }
    }

    fn store_record(&mut self, r: Record) {
        let was_known = self.table.get(r.id).is_some();
        match self.table.insert(r.clone()) {
            InsertOutcome::Added => self.report(Change::Up(r.clone())),
            InsertOutcome::Replaced => self.report(Change::Updated(r.clone())),
            InsertOutcome::Contact => {}
            InsertOutcome::Full => self.counters.dropped += 1,
        }
        if !was_known && self.table.get(r.id).is_some() {
            self.ring.insert(r.id, &mut self.rng);
        }
    }

    fn apply_suspect(&mut self, id: InstanceId, incarnation: Incarnation, relay: bool) -> bool {
        if id == self.own.id {
            self.refute_if_needed(incarnation, true);
            return false;
        }
        let precedence = (incarnation, Rank::Suspect);
        if !self.supersedes_known(id, precedence) || self.is_member_exempt(id) {
            return false;
        }
        self.history.set_precedence(self.now, id, precedence);
        let suspicion = Suspicion {
            incarnation,
            since: self.now,
            deadline: self.now + self.suspicion_timeout(),
        };
        self.set_suspicion(id, suspicion);
        if relay {
            self.enqueue(Update::Suspect { id, incarnation }, false);
        }
        true
    }

    /// Applies the death of an instance and its version floor. A higher floor is relayed even if
    /// the death is known, so that all members converge on the highest version received from the
    /// instance.
    fn apply_down_update(
        &mut self,
        id: InstanceId,
        incarnation: Incarnation,
        version: Version,
        relay: bool,
    ) -> bool {
        let is_floor_raised = version > self.history.version_floor(id);
        self.history.raise_version_floor(id, version);
        if self.apply_down(id, incarnation, relay) {
            return true;
        }
        let is_known = self.precedence(id) == Some((incarnation, Rank::Down));
        if is_floor_raised && is_known && relay {
            self.enqueue_down(id, incarnation);
        }
        is_floor_raised && is_known
    }

    fn enqueue_down(&mut self, id: InstanceId, incarnation: Incarnation) {
        let version = self.history.version_floor(id);
        let down = Update::Down {
            id,
            incarnation,
            version,
        };
        self.enqueue(down, false);
    }

    fn apply_down(&mut self, id: InstanceId, incarnation: Incarnation, relay: bool) -> bool {
        if id == self.own.id {
            self.refute_if_needed(incarnation, true);
            return false;
        }
        let precedence = (incarnation, Rank::Down);
        if !self.supersedes_known(id, precedence) || self.is_member_exempt(id) {
            return false;
        }
        self.history.set_precedence(self.now, id, precedence);
        if self.table.remove(id) == Some(true) {
            self.report(Change::Down(id));
        }
        if relay {
            self.enqueue_down(id, incarnation);
        }
        true
    }

    /// Returns whether `id` is known to belong to a failure domain whose members must not be
    /// suspected or declared dead.
    fn is_member_exempt(&self, id: InstanceId) -> bool {
        let domain = self.table.get(id).map(|e| &e.record.domain);
        domain.is_some_and(|d| self.is_exempt_from_suspicion(d))
    }

    fn apply_domain(&mut self, domain: &Domain, epoch: u32) -> bool {
        if epoch <= self.domains.epoch(domain) {
            return false;
        }
        let becomes_unreachable = epoch % 2 == 1 && !self.domains.is_unreachable(domain);
        if !becomes_unreachable {
            self.set_domain_epoch(domain, epoch);
            return true;
        }
        let since_contact = self
            .domains
            .last_contact(domain)
            .map(|at| self.now.since(at));
        let had_contact_within = |limit| since_contact.is_some_and(|t| t < limit);
        if *domain == self.own.domain
            || had_contact_within(self.cfg.probe_period * DOMAIN_REFUTE_PERIODS)
        {
            self.set_domain_epoch(domain, epoch.saturating_add(1));
        } else if had_contact_within(self.suspicion_timeout()) {
            // The last message is too old to refute the claim and too recent to accept it. The
            // probes of this member will decide.
            return false;
        } else {
            self.set_domain_epoch(domain, epoch);
        }
        true
    }

    fn apply_rumour(&mut self, rumour: Rumour) -> bool {
        if !self.rumours.insert(rumour) {
            return false;
        }
        self.enqueue(Update::Rumour(rumour), true);
        self.actions.push(Action::Rumour(rumour));
        true
    }
}
