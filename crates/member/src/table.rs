//! Records stored by a member.
//!
//! All members of services in scope are stored. Of the others only contacts are stored: up to three
//! per failure domain, and one per service, so that the table of a service that enters the scope
//! can be fetched from one of its members. Contacts are selected by a hash that includes the own
//! identifier, so members store different contacts and the mesh stays connected.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use wire::{Domain, Incarnation, InstanceId, ServiceName, Time};

use crate::event::Scope;
use crate::history::{Precedence, Rank};
use crate::message::TableHashes;
use crate::record::Record;

/// Contacts stored per failure domain, besides those that are the only contact of their service.
pub const CONTACTS_PER_DOMAIN: usize = 3;

/// Suspicion of a member that did not acknowledge a probe. The member is declared dead at
/// `deadline` unless it refutes the suspicion.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Suspicion {
    pub(crate) incarnation: Incarnation,
    pub(crate) since: Time,
    pub(crate) deadline: Time,
}

#[derive(Debug)]
pub(crate) struct Entry {
    pub(crate) record: Record,
    pub(crate) suspicion: Option<Suspicion>,
    is_in_scope: bool,
}

/// Outcome of [`Table::insert`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum InsertOutcome {
    /// The record is in scope and new.
    Added,
    /// The record is in scope and replaced an older one.
    Replaced,
    /// The record is out of scope; it may have been dropped at once if its domain has enough
    /// contacts.
    Contact,
    /// The record was dropped because the table is full.
    Full,
}

#[derive(Debug)]
pub(crate) struct Table {
    own_id: InstanceId,
    own_service: ServiceName,
    scope: Scope,
    entries: BTreeMap<InstanceId, Entry>,
    interned_names: BTreeSet<Arc<str>>,
    max_entries: usize,
}

impl Table {
    pub(crate) fn new(own: &Record, max_entries: usize) -> Table {
        Table {
            own_id: own.id,
            own_service: own.service.clone(),
            scope: Scope::All,
            entries: BTreeMap::new(),
            interned_names: BTreeSet::new(),
            max_entries,
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    pub(crate) fn get(&self, id: InstanceId) -> Option<&Entry> {
        self.entries.get(&id)
    }

    pub(crate) fn get_mut(&mut self, id: InstanceId) -> Option<&mut Entry> {
        self.entries.get_mut(&id)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &Entry> {
        self.entries.values()
    }

    pub(crate) fn iter_mut(&mut self) -> impl Iterator<Item = &mut Entry> {
        self.entries.values_mut()
    }

    pub(crate) fn in_domain<'a>(&'a self, domain: &'a Domain) -> impl Iterator<Item = &'a Entry> {
        self.iter().filter(move |e| e.record.domain == *domain)
    }

    pub(crate) fn records(&self) -> impl Iterator<Item = &Record> {
        self.iter().map(|e| &e.record)
    }

    /// Returns the records of services in scope.
    pub(crate) fn records_in_scope(&self) -> impl Iterator<Item = &Record> {
        self.iter().filter(|e| e.is_in_scope).map(|e| &e.record)
    }

    pub(crate) fn scope(&self) -> &Scope {
        &self.scope
    }

    pub(crate) fn is_in_scope(&self, service: &ServiceName) -> bool {
        *service == self.own_service || self.scope.contains(service)
    }

    pub(crate) fn precedence(&self, id: InstanceId) -> Option<Precedence> {
        let e = self.entries.get(&id)?;
        Some(match e.suspicion {
            Some(s) => (s.incarnation, Rank::Suspect),
            None => (e.record.incarnation, Rank::Alive),
        })
    }

    pub(crate) fn insert(&mut self, mut record: Record) -> InsertOutcome {
        let is_in_scope = self.is_in_scope(&record.service);
        let is_known = self.entries.contains_key(&record.id);
        if !is_known && self.entries.len() >= self.max_entries {
            return InsertOutcome::Full;
        }
        self.intern_names(&mut record);
        let domain = record.domain.clone();
        let entry = Entry {
            record,
            suspicion: None,
            is_in_scope,
        };
        self.entries.insert(entry.record.id, entry);
        if !is_in_scope {
            self.trim_contacts(&domain);
            return InsertOutcome::Contact;
        }
        if is_known {
            InsertOutcome::Replaced
        } else {
            InsertOutcome::Added
        }
    }

    /// Removes an entry and returns whether it was in scope, or `None` if there was no entry.
    pub(crate) fn remove(&mut self, id: InstanceId) -> Option<bool> {
        self.entries.remove(&id).map(|e| e.is_in_scope)
    }

    /// Replaces the scope and returns the stored records that entered it.
    pub(crate) fn set_scope(&mut self, scope: Scope) -> Vec<Record> {
        self.scope = scope;
        let mut entered = Vec::new();
        let mut domains = BTreeSet::new();
        let (scope, own) = (&self.scope, &self.own_service);
        for e in self.entries.values_mut() {
            let is_in_scope = e.record.service == *own || scope.contains(&e.record.service);
            if is_in_scope && !e.is_in_scope {
                entered.push(e.record.clone());
            }
            if !is_in_scope {
                domains.insert(e.record.domain.clone());
            }
            e.is_in_scope = is_in_scope;
        }
        for d in domains {
            self.trim_contacts(&d);
        }
        entered
    }

    /// Returns the hashes of all records in scope and of those of `service`, both including `own`.
    pub(crate) fn hashes(&self, own: &Record, service: &ServiceName) -> TableHashes {
        let mut hashes = TableHashes {
            scope: scope_hash(&self.scope, &self.own_service),
            whole: 0,
            service: 0,
        };
        for r in self.records_in_scope().chain([own]) {
            let h = record_hash(r);
            hashes.whole ^= h;
            if r.service == *service {
                hashes.service ^= h;
            }
        }
        hashes
    }

    /// Makes records share one copy of each service, region and domain name.
    fn intern_names(&mut self, record: &mut Record) {
        if self.interned_names.len() > self.entries.len() + 64 {
            self.interned_names.retain(|n| Arc::strong_count(n) > 1);
        }
        let names = [
            &mut record.service.0,
            &mut record.region,
            &mut record.domain.0,
        ];
        for name in names {
            match self.interned_names.get(name) {
                Some(shared) => *name = shared.clone(),
                None => _ = self.interned_names.insert(name.clone()),
            }
        }
    }

    /// Drops the contacts of `domain` beyond [`CONTACTS_PER_DOMAIN`] that are not needed as the
    /// only contact of their service.
    fn trim_contacts(&mut self, domain: &Domain) {
        let contacts = self.entries.values().filter(|e| !e.is_in_scope);
        let weigh = |e: &Entry| (mix(e.record.id.0 ^ mix(self.own_id.0)), e.record.id);
        let mut by_weight: Vec<_> = contacts.map(|e| (weigh(e), &e.record)).collect();
        by_weight.sort_by_key(|(w, _)| *w);
        let (mut services, mut in_domain, mut dropped) = (BTreeSet::new(), 0, Vec::new());
        for (_, r) in by_weight {
            let is_first_of_service = services.insert(&r.service);
            if r.domain != *domain {
                continue;
            }
            in_domain += 1;
            if in_domain > CONTACTS_PER_DOMAIN && !is_first_of_service {
                dropped.push(r.id);
            }
        }
        for id in dropped {
            self.entries.remove(&id);
        }
    }
}

fn scope_hash(scope: &Scope, own: &ServiceName) -> u64 {
    match scope {
        Scope::All => 0,
        Scope::Services(set) => {
            let mut all: BTreeSet<&ServiceName> = set.iter().collect();
            all.insert(own);
            all.iter().fold(1, |h, s| mix(h ^ InstanceId::of(&s.0).0))
        }
    }
}

/// Hashes the identifier, incarnation, state and slots. State and slots are included to detect an
/// instance that restarted with an incarnation used before the restart. Versions are not, because
/// they change too often.
fn record_hash(r: &Record) -> u64 {
    mix(mix(mix(r.id.0) ^ r.incarnation.0) ^ (r.state as u64) << 32 ^ u64::from(r.slots))
}

/// Output function of splitmix64.
fn mix(x: u64) -> u64 {
    let x = x.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
