//! Deterministic replay of one claim stream.
//!
//! The clock of a stream is the latest wall-clock time in its records; entries expire by this
//! clock. A closed claim is one that lost or was released. Its id is remembered for a while, so
//! that a late copy of its record has no effect.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use wire::{Fingerprint, Offset, UnixMillis};

use crate::record::{Checkpoint, Claim, ClaimId, Done, Outcome, Record, RecordError, Release};
use crate::{Key, MAX_SKEW};

/// How long entries and closed claims are remembered beyond the end of their use. Two clocks may
/// differ by [`MAX_SKEW`] in either direction.
const SKEW_MARGIN: Duration = Duration::from_secs(2 * MAX_SKEW.as_secs());
/// Limit on the total size of the kept responses of one stream. The oldest are evicted first,
/// because a retry usually follows soon after the first attempt.
const MAX_TOTAL_ANSWER_BYTES: usize = 4 * 1024 * 1024;
/// Limit on remembered closed claims. If one is evicted early, a late copy of the claim may hold
/// its key again, but can't run: the claiming node has already abandoned the claim.
const MAX_CLOSED_CLAIMS: usize = 16_384;
/// Time, by the clock of the stream, between two removals of what has expired. Expired entries have
/// no effect, and removing them at each record would scan the whole table.
const SWEEP_INTERVAL: Duration = Duration::from_secs(10);
/// Limit on the entries, and on the closed claims, in one part of a checkpoint. The limit keeps a
/// part to about 32 KB.
const ENTRIES_PER_PART: usize = 512;
/// Limit on incomplete checkpoints that are assembled at the same time.
const MAX_PARTIAL_CHECKPOINTS: usize = 4;

/// The state of a claimed key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The claim that holds the key.
    pub holder: ClaimId,
    /// Fingerprint of the holder's request.
    pub fingerprint: Fingerprint,
    /// Deadline of the holder's request.
    pub deadline: UnixMillis,
    /// Last time at which the entry is valid.
    pub expires_at: UnixMillis,
    /// Result of the holder's run; `None` until the stream contains it.
    pub outcome: Option<Outcome>,
}

/// The effect of a record on the replayed state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Applied {
    /// The claim holds its key.
    Won(ClaimId),
    /// The claim was rejected and can't win later.
    Lost(ClaimId),
    /// The record is a copy of a claim that was decided before, or a claim whose release came
    /// first.
    Duplicate(ClaimId),
    /// A release of this claim was read: its request was not handed over.
    Released(ClaimId, Key),
    /// The outcome of the claim's run was read.
    Done(ClaimId, Key),
    /// The record is part of a checkpoint, which this replay does not need.
    Checkpoint,
    /// The record completed a checkpoint, whose state replaced that of this replay. Reading
    /// continues at [`Fold::next_offset`], which may be before this record.
    Adopted,
    /// The replay awaits a checkpoint. The record was skipped, or stored as part of a checkpoint
    /// that is still incomplete.
    Skipped,
    /// The record has a later format; the replay stops before it.
    UnsupportedFormat {
        /// The format byte of the record.
        format: u8,
    },
    /// The record can't be decoded and was skipped.
    Malformed,
}

/// Parts of one checkpoint, by their index.
type Parts = BTreeMap<u32, Checkpoint>;

/// Replicated state of one claim stream: the result of applying its records in order. Equal
/// prefixes of the stream give equal states on all nodes.
#[derive(Clone, Debug, Default)]
pub struct Fold {
    next_offset: Offset,
    /// Latest wall-clock time in the records applied so far.
    clock: UnixMillis,
    entries: BTreeMap<Key, Entry>,
    /// Claims that lost or were released, with the time until which each id is remembered.
    closed_claims: BTreeMap<ClaimId, UnixMillis>,
    /// Keys and claims with a kept response, oldest first.
    answers: VecDeque<(Key, ClaimId)>,
    /// Total size of the kept responses.
    answers_bytes: usize,
    /// Value of `clock` when expired entries were last removed.
    last_sweep: UnixMillis,
    /// Latest timestamp of a `UUIDv7` key whose expired entry was removed. Keys up to it stay
    /// refused: a longer claim window could otherwise accept a key that has already run.
    expired_up_to: UnixMillis,
    /// Offset of the latest checkpoint part read.
    last_checkpoint: Option<Offset>,
    /// Set while older records have expired and no complete checkpoint has been read.
    assembly: Option<CheckpointAssembly>,
}

/// Parts of checkpoints, collected until one checkpoint is complete.
#[derive(Clone, Debug)]
struct CheckpointAssembly {
    /// Oldest offset that had not expired when the assembly began.
    start: Offset,
    /// Parts read so far, by the id of their checkpoint.
    parts: BTreeMap<ClaimId, Parts>,
}

impl Fold {
    /// Creates the state of an empty stream.
    pub fn new() -> Fold {
        Fold::default()
    }

    /// Creates an empty state for a stream that starts at `next_offset`. `UUIDv7` keys with a
    /// timestamp up to `expired_up_to` count as expired.
    pub fn starting_at(next_offset: Offset, expired_up_to: UnixMillis) -> Fold {
        Fold {
            next_offset,
            expired_up_to,
            ..Fold::default()
        }
    }

    /// Creates the state for a stream whose records before `oldest` have expired. Records are
    /// skipped until a checkpoint that includes all expired ones has been read.
    pub fn awaiting_checkpoint(oldest: Offset) -> Fold {
        let assembly = CheckpointAssembly {
            start: oldest,
            parts: BTreeMap::new(),
        };
        Fold {
            next_offset: oldest,
            assembly: Some(assembly),
            ..Fold::default()
        }
    }

    /// Returns the offset of the next record to apply.
    pub fn next_offset(&self) -> Offset {
        self.next_offset
    }

    /// Returns the latest wall-clock time in the records applied so far.
    pub fn clock(&self) -> UnixMillis {
        self.clock
    }

    /// Returns whether records are skipped until a checkpoint has been read.
    pub fn is_awaiting_checkpoint(&self) -> bool {
        self.assembly.is_some()
    }

    /// Returns the number of entries in memory, including expired ones that are not yet removed.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no entries are in memory.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the offset of the latest checkpoint part, or `None` if none has been read.
    pub fn last_checkpoint(&self) -> Option<Offset> {
        self.last_checkpoint
    }

    /// Returns the entry of `key` that is valid both at wall-clock time `at` and by the clock of
    /// the stream.
    pub fn get(&self, key: &Key, at: UnixMillis) -> Option<&Entry> {
        let at = at.max(self.clock);
        self.entries.get(key).filter(|e| e.expires_at >= at)
    }

    /// Returns whether a `UUIDv7` key may have had an entry that has expired at `at` or by the
    /// clock of the stream. Always false for other keys, which may be used again after they have
    /// expired.
    pub fn may_have_expired(&self, key: &Key, at: UnixMillis) -> bool {
        let at = at.max(self.clock);
        let expired = |e: &Entry| e.expires_at < at;
        key.time()
            .is_some_and(|t| t <= self.expired_up_to || self.entries.get(key).is_some_and(expired))
    }

    /// Returns whether a record with the time `at` would trigger the removal of expired entries.
    pub fn is_sweep_due(&self, at: UnixMillis) -> bool {
        at >= self.last_sweep + SWEEP_INTERVAL
    }

    /// Returns the entries that have not expired, in the order of their keys.
    pub fn live_entries(&self) -> impl Iterator<Item = (&Key, &Entry)> {
        self.entries
            .iter()
            .filter(|(_, e)| e.expires_at >= self.clock)
    }

    /// Returns the remembered claims that lost or were released, each with the time until which its
    /// id is remembered.
    pub fn closed_claims(&self) -> impl Iterator<Item = (&ClaimId, UnixMillis)> {
        let remembered = self
            .closed_claims
            .iter()
            .map(|(id, remember_until)| (id, *remember_until));
        remembered.filter(|(_, remember_until)| *remember_until >= self.clock)
    }

    /// Applies the record at [`Fold::next_offset`].
    pub fn apply(&mut self, data: &[u8]) -> Applied {
        let record = match Record::decode(data) {
            Err(RecordError::Format { format }) => return Applied::UnsupportedFormat { format },
            decoded => decoded,
        };
        let offset = self.next_offset;
        self.next_offset = offset.next();
        match record {
            Err(_) => Applied::Malformed,
            Ok(Record::Checkpoint(c)) => self.apply_checkpoint_part(offset, c),
            Ok(_) if self.is_awaiting_checkpoint() => Applied::Skipped,
            Ok(Record::Claim(c)) => self.apply_claim(c),
            Ok(Record::Release(r)) => self.apply_release(r),
            Ok(Record::Done(d)) => self.apply_done(d),
        }
    }

    fn apply_claim(&mut self, c: Claim) -> Applied {
        self.advance_clock(c.at);
        let deadline = c.at + Duration::from_millis(c.ttl_ms.into());
        let remember_until = deadline + SKEW_MARGIN;
        if self.holds(&c.key, c.id)
            || self
                .closed_claims
                .get(&c.id)
                .is_some_and(|u| *u >= self.clock)
        {
            return Applied::Duplicate(c.id);
        }
        if remember_until < self.clock {
            // A claim appended this long after its deadline must not hold the key: the claiming
            // node won't run the request, and the id may be forgotten although it was released.
            return Applied::Lost(c.id);
        }
        if self.get(&c.key, c.at).is_some() || self.may_have_expired(&c.key, c.at) {
            self.close_claim(c.id, remember_until);
            return Applied::Lost(c.id);
        }
        let retained_from = c.key.time().map_or(c.at, |t| t.max(c.at));
        let entry = Entry {
            holder: c.id,
            fingerprint: c.fingerprint,
            deadline,
            expires_at: retained_from + Duration::from_secs(c.retention_s.into()) + SKEW_MARGIN,
            outcome: None,
        };
        if let Some(expired) = self.entries.insert(c.key, entry) {
            self.answers_bytes -= answer_bytes(&expired);
        }
        Applied::Won(c.id)
    }

    fn apply_release(&mut self, r: Release) -> Applied {
        self.advance_clock(r.at);
        // The claim may be appended after its release, so its id is remembered in any case.
        self.close_claim(r.id, r.deadline + SKEW_MARGIN);
        if self.holds(&r.key, r.id) && self.entries[&r.key].outcome.is_none() {
            self.entries.remove(&r.key);
        }
        Applied::Released(r.id, r.key)
    }

    fn apply_done(&mut self, d: Done) -> Applied {
        self.advance_clock(d.at);
        if self.holds(&d.key, d.id)
            && let Some(entry) = self.entries.get_mut(&d.key)
            && entry.outcome.is_none()
        {
            if let Outcome::Kept(a) = &d.outcome {
                self.answers_bytes += a.body.len();
                self.answers.push_back((d.key.clone(), d.id));
            }
            entry.outcome = Some(d.outcome);
            self.evict_answers();
        }
        Applied::Done(d.id, d.key)
    }

    fn holds(&self, key: &Key, id: ClaimId) -> bool {
        self.get(key, self.clock).is_some_and(|e| e.holder == id)
    }

    fn close_claim(&mut self, id: ClaimId, remember_until: UnixMillis) {
        self.closed_claims.insert(id, remember_until);
        if self.closed_claims.len() > MAX_CLOSED_CLAIMS {
            let oldest = self
                .closed_claims
                .iter()
                .min_by_key(|(id, remember_until)| (**remember_until, **id));
            if let Some(id) = oldest.map(|(id, _)| *id) {
                self.closed_claims.remove(&id);
            }
        }
    }

    fn evict_answers(&mut self) {
        while self.answers_bytes > MAX_TOTAL_ANSWER_BYTES
            && let Some((key, id)) = self.answers.pop_front()
        {
            if let Some(entry) = self.entries.get_mut(&key)
                && entry.holder == id
            {
                self.answers_bytes -= answer_bytes(entry);
                entry.outcome = entry.outcome.as_ref().map(Outcome::without_answer);
            }
        }
    }

    /// Advances the clock and, once per sweep interval, removes what has expired.
    fn advance_clock(&mut self, at: UnixMillis) {
        self.clock = self.clock.max(at);
        if self.clock < self.last_sweep + SWEEP_INTERVAL {
            return;
        }
        self.last_sweep = self.clock;
        let clock = self.clock;
        let mut freed_bytes = 0;
        let mut expired_up_to = self.expired_up_to;
        self.entries.retain(|key, e| {
            let is_valid = e.expires_at >= clock;
            if !is_valid {
                freed_bytes += answer_bytes(e);
                expired_up_to = expired_up_to.max(key.time().unwrap_or_default());
            }
            is_valid
        });
        self.expired_up_to = expired_up_to;
        self.answers_bytes -= freed_bytes;
        let entries = &self.entries;
        let is_kept = |key: &Key, id: ClaimId| entries.get(key).is_some_and(|e| e.holder == id);
        self.answers.retain(|(key, id)| is_kept(key, *id));
        self.closed_claims
            .retain(|_, remember_until| *remember_until >= clock);
    }

    /// Returns the state as the records of a checkpoint with this id, one per part. Returns no
    /// records before the first record has been applied, or while this replay itself still awaits a
    /// checkpoint.
    pub fn checkpoint(&self, id: ClaimId) -> Vec<Record> {
        let Some(as_of) = self.next_offset.0.checked_sub(1).map(Offset) else {
            return Vec::new();
        };
        if self.is_awaiting_checkpoint() {
            return Vec::new();
        }
        let strip_answer = |(key, e): (&Key, &Entry)| {
            let outcome = e.outcome.as_ref().map(Outcome::without_answer);
            (
                key.clone(),
                Entry {
                    outcome,
                    ..e.clone()
                },
            )
        };
        let entries: Vec<_> = self.live_entries().map(strip_answer).collect();
        let closed_claims: Vec<_> = self
            .closed_claims()
            .map(|(id, remember_until)| (*id, remember_until))
            .collect();
        let parts = entries
            .len()
            .max(closed_claims.len())
            .div_ceil(ENTRIES_PER_PART)
            .max(1);
        let part = |i: usize| {
            Record::Checkpoint(Checkpoint {
                id,
                as_of,
                clock: self.clock,
                expired_up_to: self.expired_up_to,
                part: u32::try_from(i).unwrap_or(u32::MAX),
                parts: u32::try_from(parts).unwrap_or(u32::MAX),
                entries: part_slice(&entries, i).to_vec(),
                closed_claims: part_slice(&closed_claims, i).to_vec(),
            })
        };
        (0..parts).map(part).collect()
    }

    fn apply_checkpoint_part(&mut self, offset: Offset, c: Checkpoint) -> Applied {
        self.last_checkpoint = Some(offset);
        let Some(assembly) = &mut self.assembly else {
            return Applied::Checkpoint;
        };
        if c.as_of.next() < assembly.start {
            return Applied::Skipped;
        }
        if !assembly.parts.contains_key(&c.id) && assembly.parts.len() >= MAX_PARTIAL_CHECKPOINTS {
            assembly.parts.pop_first();
        }
        let (id, total) = (c.id, c.parts);
        let parts = assembly.parts.entry(id).or_default();
        parts.insert(c.part, c);
        if !u32::try_from(parts.len()).is_ok_and(|n| n == total) {
            return Applied::Skipped;
        }
        let parts = std::mem::take(parts);
        self.adopt_checkpoint(parts.into_values());
        Applied::Adopted
    }

    fn adopt_checkpoint(&mut self, parts: impl Iterator<Item = Checkpoint>) {
        let mut fold = Fold {
            last_checkpoint: self.last_checkpoint,
            ..Fold::default()
        };
        for c in parts {
            fold.next_offset = c.as_of.next();
            fold.clock = c.clock;
            fold.expired_up_to = c.expired_up_to;
            fold.entries.extend(c.entries);
            fold.closed_claims.extend(c.closed_claims);
        }
        *self = fold;
    }
}

fn answer_bytes(entry: &Entry) -> usize {
    match &entry.outcome {
        Some(Outcome::Kept(a)) => a.body.len(),
        _ => 0,
    }
}

fn part_slice<T>(all: &[T], part: usize) -> &[T] {
    let from = (part * ENTRIES_PER_PART).min(all.len());
    &all[from..(from + ENTRIES_PER_PART).min(all.len())]
}
