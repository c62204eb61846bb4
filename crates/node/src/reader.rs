//! Reading of the publication stream, and the checkpoints that keep it readable.

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

/// Stream of the publications.
pub const CONFIG_STREAM: &str = "config";

const LONG_POLL: Duration = Duration::from_secs(5);
const RETRY_MS: std::ops::Range<u64> = 100..1_000;
/// Readers write a checkpoint at a random time within this much of the period after it is due; the
/// first one spares the others the append.
const CHECKPOINT_SPREAD: f64 = 0.5;

/// Reads `stream` from the fold's position to its end.
///
/// # Errors
///
/// Fails when the log can't be read.
pub async fn replay_to_end(log: &dyn Log, fold: &mut Fold) -> Result<(), LogError> {
    loop {
        match log
            .read(CONFIG_STREAM, fold.next_offset(), Duration::ZERO)
            .await
        {
            Ok(batch) => {
                let end = batch.end;
                let applied = apply(fold, batch);
                if fold.next_offset() >= end
                    || applied.is_empty()
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

fn apply(fold: &mut Fold, batch: Batch) -> Vec<RecordEffect> {
    batch
        .records
        .iter()
        .flat_map(|r| fold.apply(r.offset, &r.data))
        .collect()
}

/// Reads the publication stream while `reading`, until `stop`.
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
    /// Whether the end of the stream was reported once; then each poll waits.
    at_end: bool,
    behind_told: bool,
    checkpoint_due: Time,
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
            behind_told: false,
            checkpoint_due: Time::MAX,
            last_checkpoint: None,
        };
        reader.reset_checkpoint();
        reader
    }

    /// Stops following the log. A step may have been left before it reported what it applied, so
    /// the next one reports in any case.
    fn pause(&mut self) {
        self.at_end = false;
        self.shared.log_end.set(None);
    }

    async fn step(&mut self) {
        if self.fold.unsupported_format().is_some() {
            if !self.behind_told {
                self.report(Vec::new(), self.fold.next_offset()).await;
            }
            return std::future::pending().await;
        }
        let wait = if self.at_end {
            LONG_POLL
        } else {
            Duration::ZERO
        };
        let read = self
            .shared
            .log
            .read(CONFIG_STREAM, self.fold.next_offset(), wait)
            .await;
        match read {
            Ok(batch) => self.take(batch).await,
            Err(LogError::Expired { oldest, .. }) => {
                let applied = self.fold.set_oldest_offset(oldest);
                self.report(applied, oldest).await;
            }
            Err(_) => {
                self.pause();
                self.shared.metrics.count(Metric::LogFailures);
                self.tell(Event::LogUnavailable).await;
                let ms = self.rng.random_range(RETRY_MS);
                tokio::time::sleep(Duration::from_millis(ms)).await;
            }
        }
        self.write_checkpoint().await;
    }

    async fn take(&mut self, batch: Batch) {
        let end = batch.end;
        let applied = apply(&mut self.fold, batch);
        let quiet = applied.is_empty() && self.at_end;
        if !(quiet && self.is_at(end)) {
            self.report(applied, end).await;
        }
        if self.fold.needs_checkpoint() {
            // Another reader's checkpoint is on its way, or peers have the text.
            let ms = self.rng.random_range(RETRY_MS);
            tokio::time::sleep(Duration::from_millis(ms)).await;
        }
    }

    fn is_at(&self, end: Offset) -> bool {
        self.fold.next_offset() >= end && !self.fold.needs_checkpoint()
    }

    /// Passes the state of the fold on, with `end` as the known end of the stream.
    async fn report(&mut self, applied: Vec<RecordEffect>, end: Offset) {
        for a in applied {
            self.count(&a);
        }
        if let Some(format) = self.fold.unsupported_format() {
            log::warn!("log behind record_format={format}");
            self.pause();
            self.tell(Event::LogFormatUnsupported { format }).await;
            self.behind_told = true;
            return;
        }
        if self.fold.last_checkpoint_offset() != self.last_checkpoint {
            self.last_checkpoint = self.fold.last_checkpoint_offset();
            self.reset_checkpoint();
        }
        self.at_end = self.is_at(end);
        self.shared.log_end.set(self.at_end.then(|| Position {
            next: self.fold.next_offset(),
            version: self.fold.snapshot().version(),
        }));
        let s = self.fold.snapshot();
        let snapshot = ConfigText {
            version: s.version(),
            digest: s.digest(),
            text: s.text().clone(),
        };
        self.tell(Event::LogTail {
            snapshot,
            at_end: self.at_end,
        })
        .await;
    }

    fn count(&self, applied: &RecordEffect) {
        if let RecordEffect::Rejected { id, code } = applied {
            self.shared.metrics.count(Metric::PublicationsRejected);
            log::info!("publication rejected id={id} code={}", code.number());
        }
    }

    async fn tell(&self, event: Event) {
        let _ = self.control.tell(SpreadEvent(event)).await;
    }

    fn reset_checkpoint(&mut self) {
        let period = self.shared.settings.checkpoint_period;
        let extra = self.rng.random_range(0.0..CHECKPOINT_SPREAD);
        self.checkpoint_due = self.shared.clock.now() + period.mul_f64(1.0 + extra);
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
