//! Application of received updates.

use wire::{Domain, Incarnation, InstanceId, Version};

use crate::event::{Action, Change};
use crate::history::{Rank, Standing};
use crate::machine::Member;
use crate::message::{Rumour, Update};
use crate::record::{Record, State};
use crate::table::{Inserted, Suspicion};

/// A claim that a failure domain is unreachable is refuted if a message from the domain arrived
/// within this many probe periods.
const REFUTE_PERIODS: u32 = 3;

impl Member {
    /// Applies an update. If `relay` is set, an update that changes the view is queued for other
    /// members.
    pub(crate) fn apply(&mut self, update: Update, relay: bool) {
        let news = match update {
            Update::Alive(r) => self.apply_alive(r, relay),
            Update::Suspect { id, incarnation } => self.apply_suspect(id, incarnation, relay),
            Update::Down {
                id,
                incarnation,
                version,
            } => self.apply_death(id, incarnation, version, relay),
            Update::Domain { domain, epoch } => self.apply_domain(&domain, epoch),
            Update::Rumour(r) => self.apply_rumour(r),
        };
        let counter = if news {
            &mut self.counters.applied
        } else {
            &mut self.counters.outdated
        };
        *counter += 1;
    }

    /// Returns whether an update with this precedence supersedes the known state of `id`.
    fn is_news(&self, id: InstanceId, standing: Standing) -> bool {
        self.standing(id).is_none_or(|known| standing > known)
    }

    fn apply_alive(&mut self, r: Record, relay: bool) -> bool {
        if r.id == self.own.id {
            let wrong = !r.same_life(&self.own);
            self.heard_of_self(r.incarnation, wrong);
            return false;
        }
        if r.state == State::Left {
            self.history.note_version(r.id, r.version);
            return self.apply_down(r.id, r.incarnation, relay);
        }
        let standing = (r.incarnation, Rank::Alive);
        if !self.is_news(r.id, standing) {
            self.report_conflict(&r);
            return false;
        }
        self.history.note(self.now, r.id, standing);
        self.history.note_version(r.id, r.version);
        if relay {
            self.enqueue(Update::Alive(r.clone()), true);
        }
        self.store(r);
        true
    }

    /// Sends the stored record to an instance that announced a different one with the same
    /// incarnation, so that it takes the next incarnation. Only the instance can resolve the
    /// conflict, which occurs when it restarts while the members with its old record are cut off.
    fn report_conflict(&mut self, r: &Record) {
        let held = self.table.get(r.id).map(|e| &e.record);
        let conflict = held.filter(|h| h.incarnation == r.incarnation && !h.same_life(r));
        if let Some(held) = conflict.cloned() {
            self.send_record(r.gossip, r.id, held);
        }
    }

    fn store(&mut self, r: Record) {
        let known = self.table.get(r.id).is_some();
        match self.table.insert(r.clone()) {
            Inserted::Added => self.report(Change::Up(r.clone())),
            Inserted::Replaced => self.report(Change::Updated(r.clone())),
            Inserted::Contact => {}
            Inserted::Full => self.counters.dropped += 1,
        }
        if !known && self.table.get(r.id).is_some() {
            self.ring.insert(r.id, &mut self.rng);
        }
    }

    fn apply_suspect(&mut self, id: InstanceId, incarnation: Incarnation, relay: bool) -> bool {
        if id == self.own.id {
            self.heard_of_self(incarnation, true);
            return false;
        }
        let standing = (incarnation, Rank::Suspect);
        if !self.is_news(id, standing) || self.is_member_spared(id) {
            return false;
        }
        self.history.note(self.now, id, standing);
        let suspicion = Suspicion {
            incarnation,
            since: self.now,
            deadline: self.now + self.suspicion_time(),
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
    fn apply_death(
        &mut self,
        id: InstanceId,
        incarnation: Incarnation,
        version: Version,
        relay: bool,
    ) -> bool {
        let raised = version > self.history.floor(id);
        self.history.note_version(id, version);
        if self.apply_down(id, incarnation, relay) {
            return true;
        }
        let known = self.standing(id) == Some((incarnation, Rank::Down));
        if raised && known && relay {
            self.enqueue_down(id, incarnation);
        }
        raised && known
    }

    fn enqueue_down(&mut self, id: InstanceId, incarnation: Incarnation) {
        let version = self.history.floor(id);
        let down = Update::Down {
            id,
            incarnation,
            version,
        };
        self.enqueue(down, false);
    }

    fn apply_down(&mut self, id: InstanceId, incarnation: Incarnation, relay: bool) -> bool {
        if id == self.own.id {
            self.heard_of_self(incarnation, true);
            return false;
        }
        let standing = (incarnation, Rank::Down);
        if !self.is_news(id, standing) || self.is_member_spared(id) {
            return false;
        }
        self.history.note(self.now, id, standing);
        if self.table.remove(id) == Some(true) {
            self.report(Change::Down(id));
        }
        if relay {
            self.enqueue_down(id, incarnation);
        }
        true
    }

    /// Returns whether `id` belongs to a failure domain whose members must not be suspected.
    fn is_member_spared(&self, id: InstanceId) -> bool {
        let domain = self.table.get(id).map(|e| &e.record.domain);
        domain.is_some_and(|d| self.is_spared(d))
    }

    fn apply_domain(&mut self, domain: &Domain, epoch: u32) -> bool {
        if epoch <= self.domains.epoch(domain) {
            return false;
        }
        let goes_down = epoch % 2 == 1 && !self.domains.is_down(domain);
        if !goes_down {
            self.set_domain(domain, epoch);
            return true;
        }
        let silent_for = self.domains.heard(domain).map(|at| self.now.since(at));
        let heard_within = |limit| silent_for.is_some_and(|t| t < limit);
        if *domain == self.own.domain || heard_within(self.cfg.probe_period * REFUTE_PERIODS) {
            self.set_domain(domain, epoch.saturating_add(1));
        } else if heard_within(self.suspicion_time()) {
            // The last message is too old to refute the claim and too recent to accept it. The
            // probes of this member will decide.
            return false;
        } else {
            self.set_domain(domain, epoch);
        }
        true
    }

    fn apply_rumour(&mut self, rumour: Rumour) -> bool {
        if !self.rumours.note(rumour) {
            return false;
        }
        self.enqueue(Update::Rumour(rumour), true);
        self.out.push(Action::Rumour(rumour));
        true
    }
}
