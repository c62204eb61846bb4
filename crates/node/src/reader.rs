//! Reader of the publication stream. It also appends the checkpoints from which the stream can be
//! replayed after the log has dropped its older records.

use std::sync::Arc;
use std::time::Duration;

use config::{Fold, RecordEffect};
use kameo::actor::ActorRef;
use ops::Metric;
use plat::{Batch, Log, LogError};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use spread::{ConfigText, Event};
use tokio::sync::watch;
use wire::{Offset, Time};

use crate::control::{Control, SpreadEvent};
use crate::log_end::Position;
use crate::shared::Shared;

/// Name of the publication stream in the log.
pub const CONFIG_STREAM: &str = "config";

/// Longest wait of a read at the end of the stream for a new record.
const LONG_POLL_TIMEOUT: Duration = Duration::from_secs(5);
/// Range of the random delay after a failed read or without a checkpoint, in milliseconds.
const RETRY_DELAY_MS: std::ops::Range<u64> = 100..1_000;
/// Largest random delay of a checkpoint, as a fraction of the checkpoint period. The
/// checkpoint of the first reader restarts the checkpoint period of the other readers.
const CHECKPOINT_JITTER: f64 = 0.5;

/// Replays the publication stream into `fold`, from the next offset of `fold` on. Stops at the end
/// of the stream, at the first record of an unsupported format, or after a batch without any
/// effect.
///
/// # Errors
///
/// Fails if the log can't be read.
pub async fn replay_to_end(log: &dyn Log, fold: &mut Fold) -> Result<(), LogError> {
    loop {
        match log
            .read(CONFIG_STREAM, fold.next_offset(), Duration::ZERO)
            .await
        {
            Ok(batch) => {
                let end = batch.end;
                let effects = apply_batch(fold, batch);
                if fold.next_offset() >= end
                    || effects.is_empty()
                    || fold.unsupported_format().is_some()
                {
                    return Ok(());
                }
            }
            Err(LogError::Expired { oldest, .. }) => {
                fold.set_oldest_offset(oldest);
            }
            Err(e) => return Err(e),
        }
    }
}

fn apply_batch(fold: &mut Fold, batch: Batch) -> Vec<RecordEffect> {
    batch
        .records
        .iter()
        .flat_map(|r| fold.apply(r.offset, &r.data))
        .collect()
}

/// Reads the publication stream while `reading` is true, until `stop`.
pub(crate) async fn read_log(
    shared: Arc<Shared>,
    control: ActorRef<Control>,
    mut reading: watch::Receiver<bool>,
    mut stop: watch::Receiver<bool>,
) {
    let mut reader = Reader::new(shared, control);
    while !*stop.borrow() {
        if !*reading.borrow_and_update() {
            reader.pause();
            tokio::select! {
                _ = reading.changed() => reader.reset_checkpoint(),
                _ = stop.changed() => {}
            }
            continue;
        }
        tokio::select! {
            () = reader.step() => {}
            _ = reading.changed() => {}
            _ = stop.changed() => {}
        }
    }
}

struct Reader {
    shared: Arc<Shared>,
    control: ActorRef<Control>,
    fold: Fold,
    rng: StdRng,
    /// Whether the last report covered the stream up to its end; if so, reads are long polls.
    at_end: bool,
    /// Whether a record of an unsupported format was reported; it is reported once.
    is_format_reported: bool,
    /// Time from which a checkpoint is appended, once the end of the stream is reached.
    checkpoint_due: Time,
    /// Offset of the newest checkpoint at the last report, `None` if none was read. A newer one in
    /// the stream restarts the checkpoint period.
    last_checkpoint: Option<Offset>,
}

impl Reader {
    fn new(shared: Arc<Shared>, control: ActorRef<Control>) -> Reader {
        let fold = Fold::new(&shared.settings.mesh);
        let rng = StdRng::seed_from_u64(shared.settings.random_seed ^ shared.id.0);
        let mut reader = Reader {
            shared,
            control,
            fold,
            rng,
            at_end: false,
            is_format_reported: false,
            checkpoint_due: Time::MAX,
            last_checkpoint: None,
        };
        reader.reset_checkpoint();
        reader
    }

    /// Marks the stream as not followed. Clearing `at_end` makes the next step report in any case,
    /// since a cancelled step may have applied records without reporting them.
    fn pause(&mut self) {
        self.at_end = false;
        self.shared.log_end.set_position(None);
    }

    async fn step(&mut self) {
        if self.fold.unsupported_format().is_some() {
            if !self.is_format_reported {
                self.report(Vec::new(), self.fold.next_offset()).await;
            }
            return std::future::pending().await;
        }
        let wait = if self.at_end {
            LONG_POLL_TIMEOUT
        } else {
            Duration::ZERO
        };
        let read = self
            .shared
            .log
            .read(CONFIG_STREAM, self.fold.next_offset(), wait)
            .await;
        match read {
            Ok(batch) => self.handle_batch(batch).await,
            Err(LogError::Expired { oldest, .. }) => {
                let effects = self.fold.set_oldest_offset(oldest);
                self.report(effects, oldest).await;
            }
            Err(_) => {
                self.pause();
                self.shared.metrics.count(Metric::LogFailures);
                self.send_event(Event::LogUnavailable).await;
                let ms = self.rng.random_range(RETRY_DELAY_MS);
                tokio::time::sleep(Duration::from_millis(ms)).await;
            }
        }
        self.write_checkpoint().await;
    }

    async fn handle_batch(&mut self, batch: Batch) {
        let end = batch.end;
        let effects = apply_batch(&mut self.fold, batch);
        let is_idle = effects.is_empty() && self.at_end;
        if !(is_idle && self.has_reached(end)) {
            self.report(effects, end).await;
        }
        if self.fold.needs_checkpoint() {
            // Waits until another reader appends a checkpoint or a peer sends the text.
            let ms = self.rng.random_range(RETRY_DELAY_MS);
            tokio::time::sleep(Duration::from_millis(ms)).await;
        }
    }

    fn has_reached(&self, end: Offset) -> bool {
        self.fold.next_offset() >= end && !self.fold.needs_checkpoint()
    }

    /// Reports the replicated state to [`Control`]; `end` is the last known end of the stream.
    async fn report(&mut self, effects: Vec<RecordEffect>, end: Offset) {
        for effect in effects {
            self.count_rejection(&effect);
        }
        if let Some(format) = self.fold.unsupported_format() {
            log::warn!(
                "publication stream has records of a format that this build does not read; the node stops reading it and takes new versions from peers only record_format={format}"
            );
            self.pause();
            self.send_event(Event::LogFormatUnsupported { format })
                .await;
            self.is_format_reported = true;
            return;
        }
        if self.fold.last_checkpoint_offset() != self.last_checkpoint {
            self.last_checkpoint = self.fold.last_checkpoint_offset();
            self.reset_checkpoint();
        }
        self.at_end = self.has_reached(end);
        self.shared
            .log_end
            .set_position(self.at_end.then(|| Position {
                next_offset: self.fold.next_offset(),
                version: self.fold.snapshot().version(),
            }));
        let current = self.fold.snapshot();
        let snapshot = ConfigText {
            version: current.version(),
            digest: current.digest(),
            text: current.text().clone(),
        };
        self.send_event(Event::LogTail {
            snapshot,
            at_end: self.at_end,
        })
        .await;
    }

    fn count_rejection(&self, effect: &RecordEffect) {
        if let RecordEffect::Rejected { id, code } = effect {
            self.shared.metrics.count(Metric::PublicationsRejected);
            log::info!(
                "publication rejected: its record in the stream has no effect id={id} code={}",
                code.number()
            );
        }
    }

    async fn send_event(&self, event: Event) {
        let _ = self.control.tell(SpreadEvent(event)).await;
    }

    fn reset_checkpoint(&mut self) {
        let period = self.shared.settings.checkpoint_period;
        let jitter = self.rng.random_range(0.0..CHECKPOINT_JITTER);
        self.checkpoint_due = self.shared.clock.now() + period.mul_f64(1.0 + jitter);
    }

    async fn write_checkpoint(&mut self) {
        if self.shared.clock.now() < self.checkpoint_due || !self.at_end {
            return;
        }
        self.reset_checkpoint();
        let Some(Ok(raw)) = self.fold.checkpoint().map(|r| r.encode()) else {
            return;
        };
        self.shared.metrics.count(Metric::LogAppends);
        if self
            .shared
            .log
            .append(CONFIG_STREAM, vec![raw])
            .await
            .is_err()
        {
            self.shared.metrics.count(Metric::LogFailures);
        }
    }
}
