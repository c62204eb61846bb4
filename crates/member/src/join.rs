//! Joining, table transfer and table comparison (anti-entropy).

use std::collections::{BTreeMap, BTreeSet};

use wire::{Domain, InstanceId, ServiceName, Time};

use crate::detect::ProbeKind;
use crate::event::{Action, Change, JoinAnswer, Scope, Table};
use crate::machine::{Member, Peer};
use crate::message::{TableHashes, Update};
use crate::record::{Record, State};
use crate::table::CONTACTS_PER_DOMAIN;

impl Member {
    /// Returns the live members of `service`, including this member, and all tombstones.
    pub fn table(&self, service: &ServiceName) -> Table {
        self.table_where(|r| r.service == *service)
    }

    /// Returns the live members of all services in `scope`, including this member, and all
    /// tombstones.
    pub fn tables_in_scope(&self, scope: &Scope) -> Table {
        self.table_where(|r| scope.contains(&r.service))
    }

    /// Merges a table received from another member. Changes are not relayed; other members find
    /// them by their own table comparisons.
    pub fn merge(&mut self, now: Time, table: Table) -> Vec<Action> {
        self.advance_clock(now);
        self.merge_table(table);
        self.flush_actions()
    }

    /// Answers a join request of instance `joiner`. `scope` is that instance's scope, including its
    /// own service.
    pub fn join_answer(&self, joiner: InstanceId, scope: &Scope) -> JoinAnswer {
        JoinAnswer {
            version_floor: self.version_floor(joiner),
            incarnation: self.precedence(joiner).map(|(inc, _)| inc),
            contacts: self.contacts_outside(scope),
            table: self.tables_in_scope(scope),
            domains: self.domains.epochs(),
            version: self.own.version,
            digest_prefix: self.own.digest_prefix,
        }
    }

    fn table_where(&self, is_included: impl Fn(&Record) -> bool) -> Table {
        let live = self.table.records().chain([&self.own]);
        let live = live.filter(|r| r.state != State::Left && is_included(r));
        Table {
            records: live.cloned().collect(),
            tombstones: self.history.tombstones(),
        }
    }

    fn contacts_outside(&self, scope: &Scope) -> Vec<Record> {
        let mut per_domain: BTreeMap<&Domain, usize> = BTreeMap::new();
        let mut services = BTreeSet::new();
        let mut contacts = Vec::new();
        let known = self.table.records().chain([&self.own]);
        for r in known.filter(|r| !scope.contains(&r.service)) {
            let count = per_domain.entry(&r.domain).or_default();
            let is_first_of_service = services.insert(&r.service);
            if *count < CONTACTS_PER_DOMAIN || is_first_of_service {
                *count += 1;
                contacts.push(r.clone());
            }
        }
        contacts
    }

    pub(crate) fn handle_join_answer(&mut self, answer: JoinAnswer) {
        if let Some(inc) = answer.incarnation {
            self.refute_if_needed(inc, !self.has_announced);
        }
        self.history
            .raise_version_floor(self.own.id, answer.version_floor);
        for (domain, epoch) in answer.domains {
            self.apply(Update::Domain { domain, epoch }, true);
        }
        for r in answer.contacts {
            self.apply(Update::Alive(r), false);
        }
        self.merge_table(answer.table);
        // The first comparison is early because instances that start at the same time are missing
        // in each other's join answers.
        self.next_sync_at =
            self.now + self.cfg.sync_recheck_delay + self.jitter(self.cfg.sync_recheck_delay);
    }

    fn merge_table(&mut self, table: Table) {
        for t in table.tombstones {
            let (id, incarnation, version) = (t.id, t.incarnation, t.version);
            self.apply(
                Update::Down {
                    id,
                    incarnation,
                    version,
                },
                false,
            );
        }
        for r in table.records {
            self.apply(Update::Alive(r), false);
        }
    }

    pub(crate) fn request_exchange(&mut self, peer_id: InstanceId) {
        self.counters.table_exchanges += 1;
        self.actions.push(Action::ExchangeTables { peer_id });
    }

    /// Starts a table comparison with the peer of the last mismatch, else with a random member in
    /// scope. After the recovery of a failure domain, the random member is one of that domain; if
    /// none can be chosen there, this round compares no tables.
    pub(crate) fn sync_round(&mut self) {
        self.next_sync_at = self.now + self.cfg.sync_period;
        if let Some(peer) = self.sync_peer() {
            self.start_probe(peer, ProbeKind::Exploratory, true);
        }
    }

    fn sync_peer(&mut self) -> Option<Peer> {
        let repeat_with = self.last_mismatch.and_then(|id| self.table.get(id));
        if let Some(e) = repeat_with.filter(|e| e.suspicion.is_none()) {
            return Some(Peer::of(e));
        }
        let domain = self.recovered_domain.take();
        let scoped: BTreeSet<InstanceId> = self.table.records_in_scope().map(|r| r.id).collect();
        let in_domain = |r: &Record| domain.as_ref().is_none_or(|d| r.domain == *d);
        let peers = self
            .pick_reachable_members(1, |e| scoped.contains(&e.record.id) && in_domain(&e.record));
        peers.first().copied()
    }

    /// Schedules an early comparison with a member of a recovered failure domain. The random delay
    /// spreads the load on that domain's members.
    pub(crate) fn schedule_sync_after_recovery(&mut self, domain: &Domain) {
        self.recovered_domain = Some(domain.clone());
        self.next_sync_at = self.now + self.jitter(self.cfg.sync_recheck_delay);
    }

    /// Compares the own table with the hashes of `peer_id`. The first mismatch schedules a second
    /// comparison, the second one in a row requests an exchange of tables.
    pub(crate) fn compare_tables(&mut self, peer_id: InstanceId, theirs: TableHashes) {
        let Some(service) = self.table.get(peer_id).map(|e| e.record.service.clone()) else {
            return;
        };
        let ours = self.table.hashes(&self.own, &service);
        let is_equal = if ours.scope == theirs.scope {
            ours.whole == theirs.whole
        } else {
            ours.service == theirs.service
        };
        let previous_mismatch = self.last_mismatch.take();
        if is_equal {
            return;
        }
        self.counters.table_mismatches += 1;
        if previous_mismatch == Some(peer_id) {
            self.request_exchange(peer_id);
        } else {
            self.last_mismatch = Some(peer_id);
            self.next_sync_at = self.now + self.cfg.sync_recheck_delay;
        }
    }

    /// Drops expired tombstones and the records of failure domains that have been unreachable for
    /// longer than the retention time.
    pub(crate) fn drop_expired(&mut self) {
        self.history.expire(self.now, self.cfg.tombstone_ttl);
        for domain in self.domains.expired(self.now, self.cfg.domain_retention) {
            let ids: Vec<_> = self.table.in_domain(&domain).map(|e| e.record.id).collect();
            for id in ids {
                if self.table.remove(id) == Some(true) {
                    self.report(Change::Down(id));
                }
            }
        }
    }
}
