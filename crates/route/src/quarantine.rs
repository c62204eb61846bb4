//! Quarantine of requests that crash the targets that run them.
//!
//! A strike is recorded against the fingerprint of a request when a target crashes while it runs
//! the request. Strikes on several targets quarantine the fingerprint: its requests are refused.
//!
//! A crash ends every request that runs at the target, so that a strike is weak evidence. A completed
//! run with the fingerprint voids the strikes before it. A fingerprint that has completed lately is
//! quarantined only after a second crash that comes some time after the first, with no completed run in
//! between: several targets may crash at once under requests that many callers send.
//!
//! After the quarantine the fingerprint is on probation: one request at a time is let through, and a
//! single strike quarantines it again, each time for longer.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use wire::{Fingerprint, Incarnation, InstanceId, Time};

/// Maximum number of strikes retained per fingerprint. Two suffice for a quarantine; the others
/// serve to recognise strikes that gossip repeats.
const MAX_STRIKES: usize = 8;

/// Strikes within this time after the first one may come from one event that ended several targets.
const EVENT_TIME: Duration = Duration::from_secs(1);
/// Each further quarantine of a fingerprint lasts longer than the one before by this factor.
const REPEAT_FACTOR: u32 = 4;
/// Longest quarantine.
const MAX_DURATION: Duration = Duration::from_secs(3_600);
/// How long a fingerprint stays on probation after its quarantine.
const PROBATION: Duration = Duration::from_secs(600);
/// Time for the one request that is let through on probation to complete or to crash its target.
const TRIAL_TIME: Duration = Duration::from_secs(5);
/// Maximum number of fingerprints whose completed runs are remembered.
const MAX_COMPLETED: usize = 1_024;

/// Settings of the quarantine.
#[derive(Clone, Copy, Debug)]
pub struct QuarantineCfg {
    /// How long a strike counts.
    pub window: Duration,
    /// How long a fingerprint is quarantined.
    pub duration: Duration,
    /// Number of different targets whose strikes quarantine a fingerprint.
    pub min_targets: usize,
    /// Number of strikes that quarantine a fingerprint, even if they all come from one target.
    pub min_strikes: usize,
    /// Maximum number of fingerprints in the table.
    pub capacity: usize,
}

impl Default for QuarantineCfg {
    fn default() -> Self {
        QuarantineCfg {
            window: Duration::from_secs(60),
            duration: Duration::from_secs(60),
            min_targets: 2,
            min_strikes: 3,
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
    /// Number of quarantines since the last completed run.
    quarantines: u32,
    /// When the last request was let through on probation.
    tried_at: Option<Time>,
}

/// Strikes and quarantined fingerprints.
#[derive(Clone, Debug)]
pub struct Quarantine {
    cfg: QuarantineCfg,
    entries: BTreeMap<Fingerprint, Entry>,
    /// Fingerprints in the order of expiry.
    expiry: BTreeMap<(Time, Fingerprint), ()>,
    completed: Completed,
}

impl Quarantine {
    /// Makes an empty table.
    pub fn new(cfg: QuarantineCfg) -> Quarantine {
        Quarantine {
            cfg,
            entries: BTreeMap::new(),
            expiry: BTreeMap::new(),
            completed: Completed::default(),
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
        let has_completed = self.completed.within(now, fp, window);
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
        let is_active = entry.quarantined_until.is_some_and(|until| now < until);
        let quarantined = !is_active && is_suspect(&self.cfg, entry, has_completed);
        if quarantined {
            let factor = REPEAT_FACTOR.saturating_pow(entry.quarantines);
            let duration = self.cfg.duration.saturating_mul(factor).min(MAX_DURATION);
            entry.quarantined_until = Some(now + duration);
            entry.quarantines += 1;
            entry.tried_at = None;
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

    /// Returns whether requests with this fingerprint must be refused where they enter the mesh: also on
    /// probation, unless no other one has been let through lately. That one then counts as let through.
    pub fn must_refuse(&mut self, now: Time, fp: Fingerprint) -> bool {
        if self.is_quarantined(now, fp) {
            return true;
        }
        let Some(entry) = self.entries.get_mut(&fp).filter(|e| e.quarantines > 0) else {
            return false;
        };
        if entry.tried_at.is_some_and(|at| now.since(at) < TRIAL_TIME) {
            return true;
        }
        entry.tried_at = Some(now);
        false
    }

    /// Records a completed run of a request with this fingerprint. Returns whether that has voided a
    /// strike or ended a quarantine, which other nodes should know.
    pub fn record_completed(&mut self, now: Time, fp: Fingerprint) -> bool {
        self.expire(now);
        self.completed.record(now, fp);
        let is_suspected = |e: &Entry| e.quarantines > 0 || e.strikes.iter().any(|s| !s.is_void);
        let has_changed = self.entries.get(&fp).is_some_and(is_suspected);
        if has_changed {
            self.clear(fp);
        }
        has_changed
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
        entry.quarantines = 0;
        entry.tried_at = None;
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

/// Completed runs by fingerprint, the last one of each.
#[derive(Clone, Debug, Default)]
struct Completed {
    at: BTreeMap<Fingerprint, Time>,
    oldest_first: BTreeSet<(Time, Fingerprint)>,
}

impl Completed {
    fn record(&mut self, now: Time, fp: Fingerprint) {
        if let Some(before) = self.at.insert(fp, now) {
            self.oldest_first.remove(&(before, fp));
        }
        self.oldest_first.insert((now, fp));
        if self.at.len() > MAX_COMPLETED
            && let Some((_, oldest)) = self.oldest_first.pop_first()
        {
            self.at.remove(&oldest);
        }
    }

    fn within(&self, now: Time, fp: Fingerprint, time: Duration) -> bool {
        self.at.get(&fp).is_some_and(|at| now.since(*at) < time)
    }
}

/// Returns whether the strikes of a fingerprint are enough to quarantine it.
fn is_suspect(cfg: &QuarantineCfg, entry: &Entry, has_completed: bool) -> bool {
    let mut counted = entry.strikes.iter().filter(|s| !s.is_void);
    let count = counted.clone().count();
    if entry.quarantines > 0 {
        return count > 0;
    }
    if has_completed {
        let first = counted.next().map_or(Time::ZERO, |s| s.at);
        return counted.any(|s| s.at.since(first) >= EVENT_TIME);
    }
    count >= cfg.min_strikes || distinct_instances(&entry.strikes) >= cfg.min_targets
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
    let end_of_probation = entry.quarantined_until.map(|until| until + PROBATION);
    last_strike.max(end_of_probation).unwrap_or(Time::ZERO)
}
