//! Replay of the publication stream: a replicated state machine over the records of the log.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use wire::{Code, Digest, Offset, Version};

use crate::id::PublicationId;
use crate::limits::{MAX_BUFFERED_BYTES, MAX_BUFFERED_RECORDS, MAX_RECENT_IDS};
use crate::record::{Checkpoint, Outcome, Publication, PublicationOutcome, Record, RecordError};
use crate::snapshot::Snapshot;

/// Effect of a record on a [`Fold`].
#[derive(Clone, Debug)]
pub enum RecordEffect {
    /// The publication became the current version.
    Accepted {
        /// Identifier of the publication.
        id: PublicationId,
        /// The new version.
        snapshot: Arc<Snapshot>,
    },
    /// The publication was rejected; the current version stays.
    Rejected {
        /// Identifier of the publication.
        id: PublicationId,
        /// Result code of the rejection.
        code: Code,
    },
    /// A retried append of a publication whose outcome is known; no effect.
    Duplicate {
        /// Identifier of the publication.
        id: PublicationId,
        /// Outcome of its first append.
        outcome: Outcome,
    },
    /// The record is a checkpoint, and the fold already has the state that it describes.
    Checkpoint,
    /// The fold replaced its state by that of a checkpoint.
    CheckpointAdopted(Arc<Snapshot>),
    /// The record has an unknown format, written by a later build. The fold has stopped before it
    /// and applies no more records.
    UnsupportedFormat {
        /// Format number of the record.
        format: u8,
    },
    /// The record can't be applied before a checkpoint or the missing earlier records arrive. It is
    /// buffered until then, unless it is dropped because the buffer is full.
    Buffered,
    /// The record is part of the state already, or precedes the records that are still used while
    /// the fold waits for a checkpoint; no effect.
    AlreadyApplied,
    /// The record can't be decoded, or it is a checkpoint that is not valid at this offset; no
    /// effect.
    Malformed,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Position {
    /// The state includes every record before this offset.
    Next(Offset),
    /// The state lacks records before offset `from` that have expired, or that were dropped from
    /// the full buffer. The fold can continue only from a checkpoint that covers every record
    /// before `from`.
    NeedsCheckpoint { from: Offset },
}

/// A replicated state machine that replays the records of the publication stream into numbered
/// configuration versions.
///
/// The state depends only on the records up to the last applied offset. It doesn't depend on the
/// order in which the records arrive or on the offset at which this fold started.
#[derive(Clone, Debug)]
pub struct Fold {
    mesh: Arc<str>,
    position: Position,
    snapshot: Arc<Snapshot>,
    /// Outcomes of the last [`MAX_RECENT_IDS`] publications, oldest first.
    recent: VecDeque<PublicationOutcome>,
    buffered: RecordBuffer,
    /// Format of the record at which the fold stopped; `None` while it applies records.
    unsupported_format: Option<u8>,
    /// Highest `as_of` of the checkpoints read.
    last_checkpoint_offset: Option<Offset>,
}

impl Fold {
    /// Creates a fold at version 0 that expects the record at offset 0 next.
    pub fn new(mesh: &str) -> Fold {
        Fold {
            mesh: mesh.into(),
            position: Position::Next(Offset(0)),
            snapshot: Arc::new(Snapshot::empty(mesh)),
            recent: VecDeque::new(),
            buffered: RecordBuffer::default(),
            unsupported_format: None,
            last_checkpoint_offset: None,
        }
    }

    /// Notes that records before `oldest` have expired from the log. If the state lacks some of
    /// them, the fold keeps its version and buffers records until a checkpoint covers the gap. If a
    /// buffered record is such a checkpoint, returns the effects of the checkpoint and of the
    /// buffered records after it, otherwise nothing.
    pub fn set_oldest_offset(&mut self, oldest: Offset) -> Vec<RecordEffect> {
        let from = match self.position {
            Position::Next(next) => next,
            Position::NeedsCheckpoint { from } => from,
        };
        if oldest <= from || self.unsupported_format.is_some() {
            return Vec::new();
        }
        self.position = Position::NeedsCheckpoint { from: oldest };
        self.buffered.drop_before(oldest);
        let buffered_records = self.buffered.records.iter();
        let usable = buffered_records
            .filter_map(|(o, raw)| usable_checkpoint(oldest, *o, raw))
            .next();
        usable.map_or_else(Vec::new, |c| self.adopt_checkpoint(c))
    }

    /// Applies the record at `offset`, and the buffered records that can be applied after it.
    /// Returns the effect of each, in the order in which they are applied.
    pub fn apply(&mut self, offset: Offset, raw: &[u8]) -> Vec<RecordEffect> {
        if let Some(format) = self.unsupported_format {
            return vec![RecordEffect::UnsupportedFormat { format }];
        }
        match self.position {
            Position::Next(next) if offset < next => vec![RecordEffect::AlreadyApplied],
            Position::Next(next) if offset == next => {
                let mut out = vec![self.apply_next(offset, raw)];
                self.apply_buffered(&mut out);
                out
            }
            Position::Next(_) => {
                self.buffered.insert(offset, raw);
                self.buffered.trim_newest();
                vec![RecordEffect::Buffered]
            }
            Position::NeedsCheckpoint { from } => self.buffer_until_checkpoint(from, offset, raw),
        }
    }

    /// Returns the first offset that is neither applied nor buffered, which the reader has to read
    /// next.
    pub fn next_offset(&self) -> Offset {
        match self.position {
            Position::Next(next) => next,
            Position::NeedsCheckpoint { from } => self.buffered.first_missing(from),
        }
    }

    /// Returns whether the state lacks expired records, so that only a checkpoint can advance it.
    pub fn needs_checkpoint(&self) -> bool {
        matches!(self.position, Position::NeedsCheckpoint { .. })
    }

    /// Returns the unknown format number of the record at which the fold stopped; `None` while it
    /// applies records.
    pub fn unsupported_format(&self) -> Option<u8> {
        self.unsupported_format
    }

    /// Returns the snapshot of the current version.
    pub fn snapshot(&self) -> &Arc<Snapshot> {
        &self.snapshot
    }

    /// Returns the outcome of a publication, if it is one of the last [`MAX_RECENT_IDS`]
    /// publications.
    pub fn outcome(&self, id: PublicationId) -> Option<Outcome> {
        let found = self.recent.iter().rev().find(|p| p.id == id);
        found.map(|p| p.outcome)
    }

    /// Returns the highest `as_of` of the checkpoints that were read and used or found to be part
    /// of the state; `None` before the first. It tells how old the last checkpoint is.
    pub fn last_checkpoint_offset(&self) -> Option<Offset> {
        self.last_checkpoint_offset
    }

    /// Returns a checkpoint of the state, or `None` if no record has been applied or the state
    /// lacks expired records.
    pub fn checkpoint(&self) -> Option<Record> {
        let Position::Next(next) = self.position else {
            return None;
        };
        Some(Record::Checkpoint(Checkpoint {
            as_of: Offset(next.0.checked_sub(1)?),
            version: self.snapshot.version(),
            text: self.snapshot.text().to_string(),
            recent: self.recent.iter().copied().collect(),
        }))
    }

    /// Applies the buffered records that follow the state without a gap.
    fn apply_buffered(&mut self, out: &mut Vec<RecordEffect>) {
        while let Position::Next(next) = self.position
            && self.unsupported_format.is_none()
            && let Some(raw) = self.buffered.remove(next)
        {
            out.push(self.apply_next(next, &raw));
        }
        if self.unsupported_format.is_some() {
            self.buffered = RecordBuffer::default();
        }
    }

    /// Applies the record at `offset`, which the position expects next.
    fn apply_next(&mut self, offset: Offset, raw: &[u8]) -> RecordEffect {
        let effect = match Record::decode(raw) {
            Ok(Record::Publication(p)) => self.apply_publication(p),
            Ok(Record::Checkpoint(c)) if c.as_of < offset => {
                self.note_checkpoint(&c);
                RecordEffect::Checkpoint
            }
            Ok(Record::Checkpoint(_)) | Err(RecordError::Malformed) => RecordEffect::Malformed,
            Err(RecordError::UnknownFormat { format }) => {
                self.unsupported_format = Some(format);
                return RecordEffect::UnsupportedFormat { format };
            }
        };
        self.position = Position::Next(offset.next());
        effect
    }

    fn apply_publication(&mut self, p: Publication) -> RecordEffect {
        let id = p.id;
        if let Some(outcome) = self.outcome(id) {
            return RecordEffect::Duplicate { id, outcome };
        }
        match self.compile_publication(p) {
            Ok(snapshot) => {
                self.snapshot = Arc::new(snapshot);
                self.record_outcome(id, Outcome::Accepted(self.snapshot.version()));
                let snapshot = Arc::clone(&self.snapshot);
                RecordEffect::Accepted { id, snapshot }
            }
            Err(code) => {
                self.record_outcome(id, Outcome::Rejected(code));
                RecordEffect::Rejected { id, code }
            }
        }
    }

    fn compile_publication(&self, p: Publication) -> Result<Snapshot, Code> {
        let current = self.snapshot.version();
        if p.base != current {
            return Err(Code::StaleBase);
        }
        Snapshot::compile_after(&self.snapshot, current.next(), p.text).map_err(|r| r.code)
    }

    fn record_outcome(&mut self, id: PublicationId, outcome: Outcome) {
        self.recent.push_back(PublicationOutcome { id, outcome });
        if self.recent.len() > MAX_RECENT_IDS {
            self.recent.pop_front();
        }
    }

    fn buffer_until_checkpoint(
        &mut self,
        from: Offset,
        offset: Offset,
        raw: &[u8],
    ) -> Vec<RecordEffect> {
        if offset < from {
            return vec![RecordEffect::AlreadyApplied];
        }
        self.buffered.insert(offset, raw);
        if let Some(c) = usable_checkpoint(from, offset, raw) {
            return self.adopt_checkpoint(c);
        }
        if let Some(from) = self.buffered.trim_oldest() {
            self.position = Position::NeedsCheckpoint { from };
        }
        vec![RecordEffect::Buffered]
    }

    fn adopt_checkpoint(&mut self, c: Checkpoint) -> Vec<RecordEffect> {
        let Some(snapshot) = self.compile_checkpoint(&c) else {
            return vec![RecordEffect::Malformed];
        };
        self.note_checkpoint(&c);
        self.snapshot = Arc::new(snapshot);
        self.recent = c.recent.into();
        self.position = Position::Next(c.as_of.next());
        self.buffered.drop_before(c.as_of.next());
        let mut out = vec![RecordEffect::CheckpointAdopted(Arc::clone(&self.snapshot))];
        self.apply_buffered(&mut out);
        out
    }

    /// Compiles the configuration text of a checkpoint. Returns `None` if the checkpoint
    /// contradicts the current version: versions never decrease, and the text of a version never
    /// changes.
    fn compile_checkpoint(&self, c: &Checkpoint) -> Option<Snapshot> {
        let current = &self.snapshot;
        let digest = Digest::of(c.text.as_bytes());
        let is_older = c.version < current.version();
        let is_conflicting = c.version == current.version() && digest != current.digest();
        // Each version takes at least one record, so the version can't exceed the record count.
        let is_impossible = c.version.0 > c.as_of.next().0;
        if is_older || is_conflicting || is_impossible || c.recent.len() > MAX_RECENT_IDS {
            return None;
        }
        if c.version == Version(0) {
            return Some(Snapshot::empty(&self.mesh));
        }
        Snapshot::compile_after(current, c.version, c.text.as_str()).ok()
    }

    fn note_checkpoint(&mut self, c: &Checkpoint) {
        self.last_checkpoint_offset = self.last_checkpoint_offset.max(Some(c.as_of));
    }
}

/// Decodes the record at `offset`. Returns it if it is a checkpoint that covers every record before
/// `from`, and that was made from records before its own offset.
fn usable_checkpoint(from: Offset, offset: Offset, raw: &[u8]) -> Option<Checkpoint> {
    match Record::decode(raw) {
        Ok(Record::Checkpoint(c)) if c.as_of < offset && c.as_of.next() >= from => Some(c),
        _ => None,
    }
}

/// Buffer of records that can't be applied yet, bounded by [`MAX_BUFFERED_RECORDS`] and
/// [`MAX_BUFFERED_BYTES`].
#[derive(Clone, Debug, Default)]
struct RecordBuffer {
    records: BTreeMap<Offset, Vec<u8>>,
    bytes: usize,
}

impl RecordBuffer {
    fn insert(&mut self, offset: Offset, raw: &[u8]) {
        if let std::collections::btree_map::Entry::Vacant(e) = self.records.entry(offset) {
            e.insert(raw.to_vec());
            self.bytes += raw.len();
        }
    }

    fn remove(&mut self, offset: Offset) -> Option<Vec<u8>> {
        let raw = self.records.remove(&offset)?;
        self.bytes -= raw.len();
        Some(raw)
    }

    fn drop_before(&mut self, offset: Offset) {
        self.records = self.records.split_off(&offset);
        self.bytes = self.records.values().map(Vec::len).sum();
    }

    fn is_over_limit(&self) -> bool {
        self.records.len() > MAX_BUFFERED_RECORDS || self.bytes > MAX_BUFFERED_BYTES
    }

    /// Drops the oldest records until the buffer is within its limits. Returns the offset after the
    /// last dropped record, or `None` if none was dropped.
    fn trim_oldest(&mut self) -> Option<Offset> {
        let mut from = None;
        while self.is_over_limit()
            && let Some((&offset, _)) = self.records.first_key_value()
        {
            self.remove(offset);
            from = Some(offset.next());
        }
        from
    }

    /// Drops the newest records until the buffer is within its limits. The reader reads them again
    /// after the missing ones.
    fn trim_newest(&mut self) {
        while self.is_over_limit()
            && let Some((&offset, _)) = self.records.last_key_value()
        {
            self.remove(offset);
        }
    }

    /// Returns the first offset from `from` on that is not in the buffer.
    fn first_missing(&self, from: Offset) -> Offset {
        let buffered_offsets = self.records.range(from..).map(|(o, _)| *o);
        buffered_offsets.fold(from, |next, o| if o == next { o.next() } else { next })
    }
}
