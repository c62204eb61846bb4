//! Queue of records to append: groups them into batches, allows one append in flight and retries a
//! failed append with backoff.
//!
//! A record is confirmed when it has been read back from the stream. Checkpoints and clock advances
//! are confirmed by the reply to their append.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use wire::Time;

const MAX_BATCH_RECORDS: usize = 500;
const MAX_BATCH_BYTES: usize = 256 * 1024;
/// Upper bound of the backoff after the first failure. The bound doubles with each further failure;
/// each backoff is drawn from the upper half of the range up to its bound.
const MIN_BACKOFF: Duration = Duration::from_millis(20);
/// Largest upper bound of a backoff.
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// The kind of a record, by its purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Kind {
    Claim,
    Release,
    Done,
    Checkpoint,
    /// Only advances the clock of the stream.
    ClockAdvance,
}

impl Kind {
    /// Returns whether a record of this kind is confirmed by the reply to its append.
    fn is_complete_on_append(self) -> bool {
        matches!(self, Kind::Checkpoint | Kind::ClockAdvance)
    }
}

/// Identifies a record of this process by its kind and sequence number.
pub(crate) type ItemId = (Kind, u64);

/// The records of one append call, from the call until its reply.
#[derive(Debug)]
pub(crate) struct Batch {
    pub(crate) number: u64,
    pub(crate) records: Vec<Vec<u8>>,
    ids: Vec<ItemId>,
}

#[derive(Debug, PartialEq, Eq)]
enum RecordState {
    Queued,
    InFlight,
    Written,
}

#[derive(Debug)]
struct Item {
    data: Vec<u8>,
    state: RecordState,
    /// Whether an earlier append of the record may have taken effect.
    may_be_written: bool,
}

/// The records of this process that are not yet confirmed to be in the stream.
#[derive(Debug)]
pub(crate) struct Outbox {
    items: BTreeMap<ItemId, Item>,
    /// Records to append, in order. May contain ids that are no longer in `items`.
    queue: VecDeque<ItemId>,
    in_flight: Option<Batch>,
    /// Number of the last batch; batches count from 1.
    last_batch: u64,
    claim_batch_window: Duration,
    outcome_batch_window: Duration,
    /// Time of the next append, unless a backoff ends later. Only valid while `queue` is not empty.
    flush_at: Time,
    /// End of the backoff after the last failure.
    backoff_until: Time,
    consecutive_failures: u32,
    rng: StdRng,
}

impl Outbox {
    /// Creates an empty outbox. To share an append with others, an outcome is held back for at most
    /// `outcome_batch_window` and any other record for at most `claim_batch_window`. `seed` is the
    /// seed of the backoff jitter.
    pub(crate) fn new(
        claim_batch_window: Duration,
        outcome_batch_window: Duration,
        seed: u64,
    ) -> Outbox {
        Outbox {
            items: BTreeMap::new(),
            queue: VecDeque::new(),
            in_flight: None,
            last_batch: 0,
            claim_batch_window,
            outcome_batch_window,
            flush_at: Time::ZERO,
            backoff_until: Time::ZERO,
            consecutive_failures: 0,
            rng: StdRng::seed_from_u64(seed),
        }
    }

    /// Queues a record. Its append is retried until the record is removed by [`Outbox::confirm`] or
    /// [`Outbox::cancel`].
    pub(crate) fn push(&mut self, now: Time, id: ItemId, data: Vec<u8>) {
        let window = match id.0 {
            Kind::Done => self.outcome_batch_window,
            _ => self.claim_batch_window,
        };
        self.schedule_flush(now + window);
        let item = Item {
            data,
            state: RecordState::Queued,
            may_be_written: false,
        };
        self.items.insert(id, item);
        self.queue.push_back(id);
    }

    /// Removes a record that has been read from the stream.
    pub(crate) fn confirm(&mut self, id: ItemId) {
        self.items.remove(&id);
    }

    /// Removes a record and returns whether it may be in the stream already or be appended later.
    pub(crate) fn cancel(&mut self, id: ItemId) -> bool {
        let item = self.items.remove(&id);
        item.is_some_and(|i| i.may_be_written || i.state != RecordState::Queued)
    }

    /// Returns whether a record of this kind is not yet confirmed.
    pub(crate) fn has_pending(&self, kind: Kind) -> bool {
        self.items
            .range((kind, 0)..=(kind, u64::MAX))
            .next()
            .is_some()
    }

    /// Returns the number and records of the next batch if its append is due and none is in flight.
    pub(crate) fn next_batch(&mut self, now: Time) -> Option<(u64, Vec<Vec<u8>>)> {
        if self.in_flight.is_some() || now < self.flush_due()? {
            return None;
        }
        let (mut ids, mut records, mut bytes) = (Vec::new(), Vec::new(), 0);
        while let Some(id) = self.queue.front().copied() {
            if let Some(item) = self.items.get_mut(&id)
                && item.state == RecordState::Queued
            {
                bytes += item.data.len();
                if !ids.is_empty() && (bytes > MAX_BATCH_BYTES || ids.len() == MAX_BATCH_RECORDS) {
                    break;
                }
                item.state = RecordState::InFlight;
                records.push(item.data.clone());
                ids.push(id);
            }
            self.queue.pop_front();
        }
        if ids.is_empty() {
            return None;
        }
        self.last_batch += 1;
        self.in_flight = Some(Batch {
            number: self.last_batch,
            records: records.clone(),
            ids,
        });
        Some((self.last_batch, records))
    }

    /// Handles the positive reply to an append and returns the batch. Returns `None` unless `batch`
    /// is the one in flight.
    pub(crate) fn complete(&mut self, batch: u64) -> Option<Batch> {
        let taken = self.in_flight.take_if(|f| f.number == batch)?;
        self.consecutive_failures = 0;
        for id in &taken.ids {
            if id.0.is_complete_on_append() {
                self.items.remove(id);
            } else if let Some(item) = self.items.get_mut(id) {
                item.state = RecordState::Written;
            }
        }
        Some(taken)
    }

    /// Queues the records of a failed append again and starts the backoff.
    pub(crate) fn requeue_failed(&mut self, now: Time, batch: u64, may_have_written: bool) {
        let Some(taken) = self.in_flight.take_if(|f| f.number == batch) else {
            return;
        };
        for id in taken.ids.iter().rev() {
            if let Some(item) = self.items.get_mut(id) {
                item.state = RecordState::Queued;
                item.may_be_written |= may_have_written;
                self.queue.push_front(*id);
            }
        }
        let doubled = MIN_BACKOFF * 2_u32.saturating_pow(self.consecutive_failures);
        self.consecutive_failures = (self.consecutive_failures + 1).min(16);
        let max_backoff = doubled.min(MAX_BACKOFF);
        self.backoff_until = now + max_backoff.mul_f64(self.rng.random_range(0.5..1.0));
    }

    /// Queues again the appended records that were not read back. Must be called when the replay
    /// skips offsets, which may be those of the records.
    pub(crate) fn requeue_written(&mut self, now: Time) {
        self.schedule_flush(now + self.claim_batch_window);
        for (id, item) in &mut self.items {
            if item.state == RecordState::Written {
                item.state = RecordState::Queued;
                item.may_be_written = true;
                self.queue.push_back(*id);
            }
        }
    }

    /// Returns the number of records that are not yet confirmed.
    pub(crate) fn len(&self) -> usize {
        self.items.len()
    }

    /// Returns when the next batch is due, or `None` if nothing is queued or an append is in
    /// flight.
    pub(crate) fn next_wake(&self) -> Option<Time> {
        if self.in_flight.is_some() {
            return None;
        }
        self.flush_due()
    }

    /// Lets the next append be due at `at`, unless it is due earlier.
    fn schedule_flush(&mut self, at: Time) {
        let is_earlier = self.queue.is_empty() || at < self.flush_at;
        if is_earlier {
            self.flush_at = at;
        }
    }

    /// Returns when the next append is due, or `None` if nothing is queued.
    fn flush_due(&self) -> Option<Time> {
        (!self.queue.is_empty()).then(|| self.flush_at.max(self.backoff_until))
    }
}
