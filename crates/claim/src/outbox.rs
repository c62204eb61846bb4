//! Records on their way to the log: batches, one append in flight, retries with back-off.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use wire::Time;

const MAX_BATCH_RECORDS: usize = 500;
const MAX_BATCH_BYTES: usize = 256 * 1024;
const BACK_OFF_MIN: Duration = Duration::from_millis(20);
const BACK_OFF_MAX: Duration = Duration::from_secs(2);

/// What a record is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Kind {
    Claim,
    Release,
    Done,
    Checkpoint,
    /// Moves the clock of the fold and nothing else.
    Mark,
}

impl Kind {
    /// Returns whether records of this kind count as settled once the log has answered.
    fn is_settled_by_answer(self) -> bool {
        matches!(self, Kind::Checkpoint | Kind::Mark)
    }
}

/// A record of this process, by kind and number.
pub(crate) type ItemId = (Kind, u64);

/// Records to append together.
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
    /// An earlier append of the record may have taken effect.
    unsure: bool,
}

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
    /// Makes an empty outbox. A claim waits at most `claim_window` for others to share its append,
    /// an outcome at most `outcome_window`.
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

    /// Adds a record. It is appended until [`Outbox::seen`] or [`Outbox::cancel`].
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

    /// Removes a record that was read from the stream.
    pub(crate) fn seen(&mut self, id: ItemId) {
        self.items.remove(&id);
    }

    /// Removes a record and returns whether it may be in the stream or get there.
    pub(crate) fn cancel(&mut self, id: ItemId) -> bool {
        let item = self.items.remove(&id);
        item.is_some_and(|i| i.unsure || i.place != Place::Queued)
    }

    /// Returns whether a record of this kind is not settled.
    pub(crate) fn has(&self, kind: Kind) -> bool {
        self.items
            .range((kind, 0)..=(kind, u64::MAX))
            .next()
            .is_some()
    }

    /// Returns the next batch if it is time to append one.
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

    /// Takes the answer to an append and returns the batch, unless the answer is to another one.
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

    /// Queues the records of a failed append again.
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

    /// Queues all records again whose place in the stream can't be seen any more.
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

    /// Returns the number of records that were not seen in the stream.
    pub(crate) fn len(&self) -> usize {
        self.items.len()
    }

    /// Returns when the next batch is due.
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
