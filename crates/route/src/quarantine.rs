//! Requests that crash the targets that run them.

use std::collections::BTreeMap;
use std::time::Duration;

use wire::{Fingerprint, Incarnation, InstanceId, Time};

/// Strikes kept per fingerprint; two targets suffice, the rest absorbs repeats in gossip.
const MAX_STRIKES: usize = 8;

/// Settings of the quarantine.
#[derive(Clone, Copy, Debug)]
pub struct QuarantineCfg {
    /// How long a strike counts.
    pub window: Duration,
    /// How long a fingerprint stays quarantined.
    pub hold: Duration,
    /// Different targets that have to die.
    pub targets: usize,
    /// Most fingerprints in the table.
    pub capacity: usize,
}

impl Default for QuarantineCfg {
    fn default() -> Self {
        QuarantineCfg {
            window: Duration::from_secs(60),
            hold: Duration::from_secs(60),
            targets: 2,
            capacity: 4_096,
        }
    }
}

/// What a strike led to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Strike {
    /// It is known already; there is no need to pass it on.
    Known,
    /// It counts.
    Counted,
    /// It counts, and the fingerprint is quarantined from now on.
    Quarantined,
}

#[derive(Clone, Debug)]
struct Mark {
    instance: InstanceId,
    boot: Incarnation,
    at: Time,
    /// Cleared by a success; kept so that a late copy of the strike doesn't count again.
    void: bool,
}

#[derive(Clone, Debug, Default)]
struct Entry {
    marks: Vec<Mark>,
    until: Option<Time>,
}

/// Strikes and quarantined fingerprints.
#[derive(Clone, Debug)]
pub struct Quarantine {
    cfg: QuarantineCfg,
    entries: BTreeMap<Fingerprint, Entry>,
    /// Order of expiry.
    expiry: BTreeMap<(Time, Fingerprint), ()>,
}

impl Quarantine {
    /// Makes an empty table.
    pub fn new(cfg: QuarantineCfg) -> Quarantine {
        Quarantine {
            cfg,
            entries: BTreeMap::new(),
            expiry: BTreeMap::new(),
        }
    }

    /// Counts the death of `instance` in its life `boot` while it ran the request.
    pub fn strike(
        &mut self,
        now: Time,
        fp: Fingerprint,
        instance: InstanceId,
        boot: Incarnation,
    ) -> Strike {
        self.expire(now);
        let window = self.cfg.window;
        let old = self.entries.get(&fp).map(|e| expires_at(e, window));
        let entry = self.entries.entry(fp).or_default();
        entry.marks.retain(|m| now.since(m.at) < window);
        if entry
            .marks
            .iter()
            .any(|m| (m.instance, m.boot) == (instance, boot))
        {
            return Strike::Known;
        }
        if entry.marks.len() == MAX_STRIKES {
            entry.marks.remove(0);
        }
        entry.marks.push(Mark {
            instance,
            boot,
            at: now,
            void: false,
        });
        entry.until = entry.until.filter(|until| now < *until);
        let quarantined = entry.until.is_none() && distinct(&entry.marks) >= self.cfg.targets;
        if quarantined {
            entry.until = Some(now + self.cfg.hold);
        }
        let new = expires_at(entry, window);
        if let Some(old) = old {
            self.expiry.remove(&(old, fp));
        }
        self.expiry.insert((new, fp), ());
        self.shrink();
        if quarantined {
            Strike::Quarantined
        } else {
            Strike::Counted
        }
    }

    /// Returns whether the request must be refused.
    pub fn is_quarantined(&mut self, now: Time, fp: Fingerprint) -> bool {
        self.expire(now);
        self.entries
            .get(&fp)
            .and_then(|e| e.until)
            .is_some_and(|until| now < until)
    }

    /// Cancels the strikes of a request that completed, wherever it ran.
    pub fn clear(&mut self, fp: Fingerprint) {
        let window = self.cfg.window;
        let Some(entry) = self.entries.get_mut(&fp) else {
            return;
        };
        let old = expires_at(entry, window);
        entry.until = None;
        entry.marks.iter_mut().for_each(|m| m.void = true);
        self.expiry.remove(&(old, fp));
        self.expiry.insert((expires_at(entry, window), fp), ());
    }

    /// Returns the quarantined fingerprints in ascending order.
    pub fn quarantined(&self, now: Time) -> Vec<Fingerprint> {
        let held = |e: &Entry| e.until.is_some_and(|until| now < until);
        self.entries
            .iter()
            .filter(|(_, e)| held(e))
            .map(|(fp, _)| *fp)
            .collect()
    }

    /// Returns the number of fingerprints in the table.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether the table is empty.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn expire(&mut self, now: Time) {
        while let Some((&(at, fp), ())) = self.expiry.first_key_value() {
            if at > now {
                return;
            }
            self.remove(at, fp);
        }
    }

    /// Drops the entry that expires first when the table is full.
    fn shrink(&mut self) {
        while self.entries.len() > self.cfg.capacity {
            let Some((&(at, fp), ())) = self.expiry.first_key_value() else {
                return;
            };
            self.remove(at, fp);
        }
    }

    fn remove(&mut self, at: Time, fp: Fingerprint) {
        self.expiry.remove(&(at, fp));
        self.entries.remove(&fp);
    }
}

fn distinct(marks: &[Mark]) -> usize {
    let mut ids: Vec<_> = marks
        .iter()
        .filter(|m| !m.void)
        .map(|m| m.instance)
        .collect();
    ids.sort_unstable();
    ids.dedup();
    ids.len()
}

fn expires_at(entry: &Entry, window: Duration) -> Time {
    let strikes = entry.marks.iter().map(|m| m.at + window).max();
    strikes.max(entry.until).unwrap_or(Time::ZERO)
}
