//! Quarantine of requests that crash the targets that run them.
//!
//! A strike is recorded against the fingerprint of a request when a target crashes while it runs
//! the request. Strikes on several targets quarantine the fingerprint: its requests are refused.

use std::collections::BTreeMap;
use std::time::Duration;

use wire::{Fingerprint, Incarnation, InstanceId, Time};

/// Maximum number of strikes retained per fingerprint. Two suffice for a quarantine; the others
/// serve to recognise strikes that gossip repeats.
const MAX_STRIKES: usize = 8;

/// Settings of the quarantine.
#[derive(Clone, Copy, Debug)]
pub struct QuarantineCfg {
    /// How long a strike counts.
    pub window: Duration,
    /// How long a fingerprint is quarantined.
    pub duration: Duration,
    /// Number of different targets whose strikes quarantine a fingerprint.
    pub min_targets: usize,
    /// Maximum number of fingerprints in the table.
    pub capacity: usize,
}

impl Default for QuarantineCfg {
    fn default() -> Self {
        QuarantineCfg {
            window: Duration::from_secs(60),
            duration: Duration::from_secs(60),
            min_targets: 2,
            capacity: 4_096,
        }
    }
}

/// Effect of a strike.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Strike {
    /// The strike was recorded before and needn't be announced again.
    Known,
    /// The strike was recorded.
    Counted,
    /// The strike was recorded, and the fingerprint is quarantined from now on.
    Quarantined,
}

#[derive(Clone, Debug)]
struct StrikeRecord {
    instance: InstanceId,
    incarnation: Incarnation,
    at: Time,
    /// Whether a successful run has cancelled the strike. The record is retained so that a delayed
    /// copy of the strike isn't counted again.
    is_void: bool,
}

#[derive(Clone, Debug, Default)]
struct Entry {
    strikes: Vec<StrikeRecord>,
    quarantined_until: Option<Time>,
}

/// Strikes and quarantined fingerprints.
#[derive(Clone, Debug)]
pub struct Quarantine {
    cfg: QuarantineCfg,
    entries: BTreeMap<Fingerprint, Entry>,
    /// Fingerprints in the order of expiry.
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

    /// Records that this incarnation of `instance` died while it ran a request with the fingerprint
    /// `fp`.
    pub fn strike(
        &mut self,
        now: Time,
        fp: Fingerprint,
        instance: InstanceId,
        incarnation: Incarnation,
    ) -> Strike {
        self.expire(now);
        let window = self.cfg.window;
        let old_expiry = self.entries.get(&fp).map(|e| expires_at(e, window));
        let entry = self.entries.entry(fp).or_default();
        entry.strikes.retain(|s| now.since(s.at) < window);
        if entry
            .strikes
            .iter()
            .any(|s| (s.instance, s.incarnation) == (instance, incarnation))
        {
            return Strike::Known;
        }
        if entry.strikes.len() == MAX_STRIKES {
            entry.strikes.remove(0);
        }
        entry.strikes.push(StrikeRecord {
            instance,
            incarnation,
            at: now,
            is_void: false,
        });
        entry.quarantined_until = entry.quarantined_until.filter(|until| now < *until);
        let quarantined = entry.quarantined_until.is_none()
            && distinct_instances(&entry.strikes) >= self.cfg.min_targets;
        if quarantined {
            entry.quarantined_until = Some(now + self.cfg.duration);
        }
        let new_expiry = expires_at(entry, window);
        if let Some(old_expiry) = old_expiry {
            self.expiry.remove(&(old_expiry, fp));
        }
        self.expiry.insert((new_expiry, fp), ());
        self.evict_to_capacity();
        if quarantined {
            Strike::Quarantined
        } else {
            Strike::Counted
        }
    }

    /// Returns whether requests with this fingerprint must be refused.
    pub fn is_quarantined(&mut self, now: Time, fp: Fingerprint) -> bool {
        self.expire(now);
        self.entries
            .get(&fp)
            .and_then(|e| e.quarantined_until)
            .is_some_and(|until| now < until)
    }

    /// Cancels the strikes and the quarantine of a fingerprint, after a request with it has
    /// completed on any target.
    pub fn clear(&mut self, fp: Fingerprint) {
        let window = self.cfg.window;
        let Some(entry) = self.entries.get_mut(&fp) else {
            return;
        };
        let old_expiry = expires_at(entry, window);
        entry.quarantined_until = None;
        entry.strikes.iter_mut().for_each(|s| s.is_void = true);
        self.expiry.remove(&(old_expiry, fp));
        self.expiry.insert((expires_at(entry, window), fp), ());
    }

    /// Returns the quarantined fingerprints in ascending order.
    pub fn quarantined(&self, now: Time) -> Vec<Fingerprint> {
        let is_active = |e: &Entry| e.quarantined_until.is_some_and(|until| now < until);
        self.entries
            .iter()
            .filter(|(_, e)| is_active(e))
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

    /// Evicts the entries that expire first while the table exceeds its capacity.
    fn evict_to_capacity(&mut self) {
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

fn distinct_instances(strikes: &[StrikeRecord]) -> usize {
    let mut ids: Vec<_> = strikes
        .iter()
        .filter(|s| !s.is_void)
        .map(|s| s.instance)
        .collect();
    ids.sort_unstable();
    ids.dedup();
    ids.len()
}

fn expires_at(entry: &Entry, window: Duration) -> Time {
    let last_strike = entry.strikes.iter().map(|s| s.at + window).max();
    last_strike
        .max(entry.quarantined_until)
        .unwrap_or(Time::ZERO)
}
