//! Deterministic replay of one claim stream.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use wire::{Fingerprint, Offset, UnixMillis};

use crate::record::{Checkpoint, Claim, ClaimId, Done, Outcome, Record, RecordError, Release};
use crate::{Key, MAX_SKEW};

/// Two clocks may differ by [`MAX_SKEW`] in either direction.
const SKEW_MARGIN: Duration = Duration::from_secs(2 * MAX_SKEW.as_secs());
/// Total size of the kept responses of one stream. The oldest are evicted first, because a retry
/// usually follows soon after the first attempt.
const MAX_ANSWERS_BYTES: usize = 4 * 1024 * 1024;
/// Limit on remembered claims that lost or were released. Evicting one early can at worst let a
/// late copy hold its key again, but not run: its owner has already abandoned the claim.
const MAX_ENDED: usize = 16_384;
/// Expired entries have no effect, and removing them at each record would scan the whole table.
const SWEEP_EVERY: Duration = Duration::from_secs(10);
/// Limits one part of a checkpoint to about 32 KB.
const PART_ENTRIES: usize = 512;
/// Incomplete checkpoints that are assembled at the same time.
const MAX_ASSEMBLED: usize = 4;

/// The state of a claimed key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The claim that holds the key.
    pub holder: ClaimId,
    /// Fingerprint of the holder's request.
    pub request: Fingerprint,
    /// Deadline of the holder's request.
    pub until: UnixMillis,
    /// Last time at which the entry is valid.
    pub expires: UnixMillis,
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
    /// The record is a copy of a claim that was decided before.
    Repeated(ClaimId),
    /// The claim was released before the hand-over of its request.
    Released(ClaimId, Key),
    /// The outcome of the claim's run was read.
    Done(ClaimId, Key),
    /// The record is part of a checkpoint, which this replay does not need.
    Checkpoint,
    /// The record completed a checkpoint, and its state was adopted. Reading continues at
    /// [`Fold::next`].
    Adopted,
    /// The record was skipped, or stored as part of a checkpoint that is still incomplete.
    Waiting,
    /// The record has a later format; the replay stops before it.
    Behind {
        /// The format byte of the record.
        format: u8,
    },
    /// The record can't be decoded and was skipped.
    Malformed,
}

type Parts = BTreeMap<u32, Checkpoint>;

/// Replicated state of one claim stream: the result of applying its records in order. Equal
/// prefixes give equal states on all nodes.
#[derive(Clone, Debug, Default)]
pub struct Fold {
    next: Offset,
    clock: UnixMillis,
    entries: BTreeMap<Key, Entry>,
    ended: BTreeMap<ClaimId, UnixMillis>,
    answers: VecDeque<(Key, ClaimId)>,
    answers_bytes: usize,
    swept: UnixMillis,
    /// Latest timestamp of a `UUIDv7` key whose expired entry was removed. Keys up to it stay
    /// refused: a longer claim window could otherwise accept a key that has already run.
    forgotten: UnixMillis,
    last_checkpoint: Option<Offset>,
    /// Set while older records have expired and no complete checkpoint has been read.
    waiting: Option<Waiting>,
}

#[derive(Clone, Debug)]
struct Waiting {
    start: Offset,
    parts: BTreeMap<ClaimId, Parts>,
}

impl Fold {
    /// Creates the state of an empty stream.
    pub fn new() -> Fold {
        Fold::default()
    }

    /// Creates an empty state for a stream that starts at `next`. `UUIDv7` keys with a timestamp up
    /// to `forgotten` count as expired.
    pub fn starting_at(next: Offset, forgotten: UnixMillis) -> Fold {
        Fold {
            next,
            forgotten,
            ..Fold::default()
        }
    }

    /// Creates the state for a stream whose records before `oldest` have expired. Records are
    /// skipped until a checkpoint that includes all expired ones has been read.
    pub fn waiting(oldest: Offset) -> Fold {
        let waiting = Waiting {
            start: oldest,
            parts: BTreeMap::new(),
        };
        Fold {
            next: oldest,
            waiting: Some(waiting),
            ..Fold::default()
        }
    }

    /// Returns the offset of the next record to apply.
    pub fn next(&self) -> Offset {
        self.next
    }

    /// Returns the latest wall-clock time in the records applied so far.
    pub fn clock(&self) -> UnixMillis {
        self.clock
    }

    /// Returns whether records are skipped until a checkpoint has been read.
    pub fn is_waiting(&self) -> bool {
        self.waiting.is_some()
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

    /// Returns the entry of `key` that is valid at wall-clock time `at`.
    pub fn get(&self, key: &Key, at: UnixMillis) -> Option<&Entry> {
        let at = at.max(self.clock);
        self.entries.get(key).filter(|e| e.expires >= at)
    }

    /// Returns whether a `UUIDv7` key may have had an entry that has expired at `at`. Always false
    /// for other keys, which may be used again after they have expired.
    pub fn is_forgotten(&self, key: &Key, at: UnixMillis) -> bool {
        let at = at.max(self.clock);
        let expired = |e: &Entry| e.expires < at;
        key.time()
            .is_some_and(|t| t <= self.forgotten || self.entries.get(key).is_some_and(expired))
    }

    /// Returns whether a record with the time `at` would trigger the removal of expired entries.
    pub fn is_clock_behind(&self, at: UnixMillis) -> bool {
        at >= self.swept + SWEEP_EVERY
    }

    /// Returns the entries that have not expired, in the order of their keys.
    pub fn live(&self) -> impl Iterator<Item = (&Key, &Entry)> {
        self.entries.iter().filter(|(_, e)| e.expires >= self.clock)
    }

    /// Returns the remembered claims that lost or were released, each with the time until which its
    /// id is remembered.
    pub fn ended(&self) -> impl Iterator<Item = (&ClaimId, UnixMillis)> {
        let live = self.ended.iter().map(|(id, until)| (id, *until));
        live.filter(|(_, until)| *until >= self.clock)
    }

    /// Applies the record at [`Fold::next`].
    pub fn apply(&mut self, data: &[u8]) -> Applied {
        let record = match Record::decode(data) {
            Err(RecordError::Format { format }) => return Applied::Behind { format },
            other => other,
        };
        let offset = self.next;
        self.next = offset.next();
        match record {
            Err(_) => Applied::Malformed,
            Ok(Record::Checkpoint(c)) => self.checkpoint_part(offset, c),
            Ok(_) if self.is_waiting() => Applied::Waiting,
            Ok(Record::Claim(c)) => self.claim(c),
            Ok(Record::Release(r)) => self.release(r),
            Ok(Record::Done(d)) => self.done(d),
        }
    }

    fn claim(&mut self, c: Claim) -> Applied {
        self.advance(c.at);
        let until = c.at + Duration::from_millis(c.ttl_ms.into());
        let remember = until + SKEW_MARGIN;
        if self.holds(&c.key, c.id) || self.ended.get(&c.id).is_some_and(|u| *u >= self.clock) {
            return Applied::Repeated(c.id);
        }
        if remember < self.clock {
            // A claim appended after its deadline must not hold the key: its owner won't run it,
            // and its id may no longer be remembered as released.
            return Applied::Lost(c.id);
        }
        if self.get(&c.key, c.at).is_some() || self.is_forgotten(&c.key, c.at) {
            self.end(c.id, remember);
            return Applied::Lost(c.id);
        }
        let from = c.key.time().map_or(c.at, |t| t.max(c.at));
        let entry = Entry {
            holder: c.id,
            request: c.request,
            until,
            expires: from + Duration::from_secs(c.keep_s.into()) + SKEW_MARGIN,
            outcome: None,
        };
        if let Some(expired) = self.entries.insert(c.key, entry) {
            self.answers_bytes -= answer_bytes(&expired);
        }
        Applied::Won(c.id)
    }

    fn release(&mut self, r: Release) -> Applied {
        self.advance(r.at);
        // The claim may be appended after its release, so its id is remembered in any case.
        self.end(r.id, r.until + SKEW_MARGIN);
        if self.holds(&r.key, r.id) && self.entries[&r.key].outcome.is_none() {
            self.entries.remove(&r.key);
        }
        Applied::Released(r.id, r.key)
    }

    fn done(&mut self, d: Done) -> Applied {
        self.advance(d.at);
        if self.holds(&d.key, d.id)
            && let Some(entry) = self.entries.get_mut(&d.key)
            && entry.outcome.is_none()
        {
            if let Outcome::Kept(a) = &d.outcome {
                self.answers_bytes += a.body.len();
                self.answers.push_back((d.key.clone(), d.id));
            }
            entry.outcome = Some(d.outcome);
            self.drop_answers();
        }
        Applied::Done(d.id, d.key)
    }

    fn holds(&self, key: &Key, id: ClaimId) -> bool {
        self.get(key, self.clock).is_some_and(|e| e.holder == id)
    }

    fn end(&mut self, id: ClaimId, remember: UnixMillis) {
        self.ended.insert(id, remember);
        if self.ended.len() > MAX_ENDED {
            let oldest = self.ended.iter().min_by_key(|(id, until)| (**until, **id));
            if let Some(id) = oldest.map(|(id, _)| *id) {
                self.ended.remove(&id);
            }
        }
    }

    fn drop_answers(&mut self) {
        while self.answers_bytes > MAX_ANSWERS_BYTES
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
    fn advance(&mut self, at: UnixMillis) {
        self.clock = self.clock.max(at);
        if self.clock < self.swept + SWEEP_EVERY {
            return;
        }
        self.swept = self.clock;
        let clock = self.clock;
        let mut freed = 0;
        let mut forgotten = self.forgotten;
        self.entries.retain(|key, e| {
            let keep = e.expires >= clock;
            if !keep {
                freed += answer_bytes(e);
                forgotten = forgotten.max(key.time().unwrap_or_default());
            }
            keep
        });
        self.forgotten = forgotten;
        self.answers_bytes -= freed;
        let entries = &self.entries;
        let is_kept = |key: &Key, id: ClaimId| entries.get(key).is_some_and(|e| e.holder == id);
        self.answers.retain(|(key, id)| is_kept(key, *id));
        self.ended.retain(|_, until| *until >= clock);
    }

    /// Returns the state as checkpoint records. Returns none before the first record has been
    /// applied or while this replay itself still needs a checkpoint.
    pub fn checkpoint(&self, id: ClaimId) -> Vec<Record> {
        let Some(as_of) = self.next.0.checked_sub(1).map(Offset) else {
            return Vec::new();
        };
        if self.is_waiting() {
            return Vec::new();
        }
        let strip = |(key, e): (&Key, &Entry)| {
            let outcome = e.outcome.as_ref().map(Outcome::without_answer);
            (
                key.clone(),
                Entry {
                    outcome,
                    ..e.clone()
                },
            )
        };
        let entries: Vec<_> = self.live().map(strip).collect();
        let ended: Vec<_> = self.ended().map(|(id, until)| (*id, until)).collect();
        let parts = entries.len().max(ended.len()).div_ceil(PART_ENTRIES).max(1);
        let part = |i: usize| {
            Record::Checkpoint(Checkpoint {
                id,
                as_of,
                clock: self.clock,
                forgotten: self.forgotten,
                part: u32::try_from(i).unwrap_or(u32::MAX),
                parts: u32::try_from(parts).unwrap_or(u32::MAX),
                entries: slice(&entries, i).to_vec(),
                ended: slice(&ended, i).to_vec(),
            })
        };
        (0..parts).map(part).collect()
    }

    fn checkpoint_part(&mut self, offset: Offset, c: Checkpoint) -> Applied {
        self.last_checkpoint = Some(offset);
        let Some(waiting) = &mut self.waiting else {
            return Applied::Checkpoint;
        };
        if c.as_of.next() < waiting.start {
            return Applied::Waiting;
        }
        if !waiting.parts.contains_key(&c.id) && waiting.parts.len() >= MAX_ASSEMBLED {
            waiting.parts.pop_first();
        }
        let (id, total) = (c.id, c.parts);
        let parts = waiting.parts.entry(id).or_default();
        parts.insert(c.part, c);
        if !u32::try_from(parts.len()).is_ok_and(|n| n == total) {
            return Applied::Waiting;
        }
        let parts = std::mem::take(parts);
        self.adopt(parts.into_values());
        Applied::Adopted
    }

    fn adopt(&mut self, parts: impl Iterator<Item = Checkpoint>) {
        let mut fold = Fold {
            last_checkpoint: self.last_checkpoint,
            ..Fold::default()
        };
        for c in parts {
            fold.next = c.as_of.next();
            fold.clock = c.clock;
            fold.forgotten = c.forgotten;
            fold.entries.extend(c.entries);
            fold.ended.extend(c.ended);
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

fn slice<T>(all: &[T], part: usize) -> &[T] {
    let from = (part * PART_ENTRIES).min(all.len());
    &all[from..(from + PART_ENTRIES).min(all.len())]
}
