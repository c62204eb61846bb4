//! Queue of records to append: groups them into batches, allows one append in flight and retries a
//! failed append with backoff.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use wire::Time;

const MAX_BATCH_RECORDS: usize = 500;
const MAX_BATCH_BYTES: usize = 256 * 1024;
const BACK_OFF_MIN: Duration = Duration::from_millis(20);
const BACK_OFF_MAX: Duration = Duration::from_secs(2);

/// The kind of a record, by its purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Kind {
    Claim,
    Release,
    Done,
    Checkpoint,
    /// Only advances the clock of the stream.
    Mark,
}

impl Kind {
    /// Returns whether a confirmed append completes a record of this kind, without reading it back.
    fn is_settled_by_answer(self) -> bool {
        matches!(self, Kind::Checkpoint | Kind::Mark)
    }
}

/// Identifies a record of this process by its kind and sequence number.
pub(crate) type ItemId = (Kind, u64);

/// The records of one append call, from the call until its reply.
#[derive(Debug)]
pub(crate) struct Flight {
    pub(crate) batch: u64,
    pub(crate) records: Vec<Vec<u8>>,
    ids: Vec<ItemId>,
}

#[derive(Debug, PartialEq, Eq)]
enum Place {
    Queued,
    InFlight,
    Written,
}

#[derive(Debug)]
struct Item {
    data: Vec<u8>,
    place: Place,
    /// Whether an earlier append of the record may have taken effect.
    unsure: bool,
}

/// The records of this process that are not yet confirmed to be in the stream.
#[derive(Debug)]
pub(crate) struct Outbox {
    items: BTreeMap<ItemId, Item>,
    queue: VecDeque<ItemId>,
    flight: Option<Flight>,
    last_batch: u64,
    claim_window: Duration,
    outcome_window: Duration,
    flush_at: Time,
    hold_until: Time,
    failures: u32,
    rng: StdRng,
}

impl Outbox {
    /// Creates an empty outbox. To share an append with others, an outcome is held back for at most
    /// `outcome_window` and any other record for at most `claim_window`. `seed` is the seed of the
    /// backoff jitter.
    pub(crate) fn new(claim_window: Duration, outcome_window: Duration, seed: u64) -> Outbox {
        Outbox {
            items: BTreeMap::new(),
            queue: VecDeque::new(),
            flight: None,
            last_batch: 0,
            claim_window,
            outcome_window,
            flush_at: Time::ZERO,
            hold_until: Time::ZERO,
            failures: 0,
            rng: StdRng::seed_from_u64(seed),
        }
    }

    /// Queues a record. Its append is retried until the record is removed by [`Outbox::seen`] or
    /// [`Outbox::cancel`].
    pub(crate) fn push(&mut self, now: Time, id: ItemId, data: Vec<u8>) {
        let window = match id.0 {
            Kind::Done => self.outcome_window,
            _ => self.claim_window,
        };
        self.flush_by(now + window);
        let item = Item {
            data,
            place: Place::Queued,
            unsure: false,
        };
        self.items.insert(id, item);
        self.queue.push_back(id);
    }

    /// Removes a record that has been read from the stream.
    pub(crate) fn seen(&mut self, id: ItemId) {
        self.items.remove(&id);
    }

    /// Removes a record and returns whether it may be in the stream already or be appended later.
    pub(crate) fn cancel(&mut self, id: ItemId) -> bool {
        let item = self.items.remove(&id);
        item.is_some_and(|i| i.unsure || i.place != Place::Queued)
    }

    /// Returns whether a record of this kind is not yet confirmed.
    pub(crate) fn has(&self, kind: Kind) -> bool {
        self.items
            .range((kind, 0)..=(kind, u64::MAX))
            .next()
            .is_some()
    }

    /// Returns the number and records of the next batch if its append is due and none is in flight.
    pub(crate) fn flush(&mut self, now: Time) -> Option<(u64, Vec<Vec<u8>>)> {
        if self.flight.is_some() || now < self.due()? {
            return None;
        }
        let (mut ids, mut records, mut bytes) = (Vec::new(), Vec::new(), 0);
        while let Some(id) = self.queue.front().copied() {
            if let Some(item) = self.items.get_mut(&id)
                && item.place == Place::Queued
            {
                bytes += item.data.len();
                if !ids.is_empty() && (bytes > MAX_BATCH_BYTES || ids.len() == MAX_BATCH_RECORDS) {
                    break;
                }
                item.place = Place::InFlight;
                records.push(item.data.clone());
                ids.push(id);
            }
            self.queue.pop_front();
        }
        if ids.is_empty() {
            return None;
        }
        self.last_batch += 1;
        self.flight = Some(Flight {
            batch: self.last_batch,
            records: records.clone(),
            ids,
        });
        Some((self.last_batch, records))
    }

    /// Handles the confirmation of an append and returns the batch. Returns `None` unless `batch`
    /// is the one in flight.
    pub(crate) fn appended(&mut self, batch: u64) -> Option<Flight> {
        let flight = self.flight.take_if(|f| f.batch == batch)?;
        self.failures = 0;
        for id in &flight.ids {
            if id.0.is_settled_by_answer() {
                self.items.remove(id);
            } else if let Some(item) = self.items.get_mut(id) {
                item.place = Place::Written;
            }
        }
        Some(flight)
    }

    /// Queues the records of a failed append again and starts the backoff.
    pub(crate) fn failed(&mut self, now: Time, batch: u64, may_have_written: bool) {
        let Some(flight) = self.flight.take_if(|f| f.batch == batch) else {
            return;
        };
        for id in flight.ids.iter().rev() {
            if let Some(item) = self.items.get_mut(id) {
                item.place = Place::Queued;
                item.unsure |= may_have_written;
                self.queue.push_front(*id);
            }
        }
        let most = BACK_OFF_MIN * 2_u32.saturating_pow(self.failures);
        self.failures = (self.failures + 1).min(16);
        let most = most.min(BACK_OFF_MAX);
        self.hold_until = now + most.mul_f64(self.rng.random_range(0.5..1.0));
    }

    /// Queues appended records again that were not read back, after their offsets may have been
    /// skipped.
    pub(crate) fn requeue_written(&mut self, now: Time) {
        self.flush_by(now + self.claim_window);
        for (id, item) in &mut self.items {
            if item.place == Place::Written {
                item.place = Place::Queued;
                item.unsure = true;
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
        if self.flight.is_some() {
            return None;
        }
        self.due()
    }

    fn flush_by(&mut self, at: Time) {
        let is_earlier = self.queue.is_empty() || at < self.flush_at;
        if is_earlier {
            self.flush_at = at;
        }
    }

    fn due(&self) -> Option<Time> {
        (!self.queue.is_empty()).then(|| self.flush_at.max(self.hold_until))
    }
}
