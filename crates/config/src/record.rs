//! Records of the publication stream. The first byte is the format number, the rest postcard.

use serde::{Deserialize, Serialize};
use snafu::Snafu;
use wire::{Code, Offset, Version};

use crate::id::PublicationId;

/// The record format that this build writes and reads.
pub const RECORD_FORMAT: u8 = 1;

/// A text that an operator wants to become the next version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Publication {
    /// Identifier by which repeats are recognised.
    pub id: PublicationId,
    /// Version that the operator edited.
    pub base: Version,
    /// New text.
    pub text: String,
}

/// The state of a fold, for folds that start after earlier records have expired.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Checkpoint {
    /// Last offset that the state includes.
    pub as_of: Offset,
    /// Version at that offset.
    pub version: Version,
    /// Text of the version; empty at version 0.
    pub text: String,
    /// Last publications, oldest first.
    pub recent: Vec<Settled>,
}

/// A publication id with its outcome.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Settled {
    /// Identifier of the publication.
    pub id: PublicationId,
    /// What became of it.
    pub outcome: Outcome,
}

/// What became of a publication.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// It became this version.
    Accepted(Version),
    /// It was refused for this reason.
    Rejected(Code),
}

/// A record of the publication stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// A text to become the next version.
    Publication(Publication),
    /// The state of a fold.
    Checkpoint(Checkpoint),
}

/// Why a record was not encoded or decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum RecordError {
    /// A later build wrote the record.
    #[snafu(display("unknown record format {format}"))]
    UnknownFormat {
        /// Format number of the record.
        format: u8,
    },
    /// The record doesn't follow its format.
    #[snafu(display("malformed record"))]
    Malformed,
}

impl Record {
    /// Encodes the record for the log.
    ///
    /// # Errors
    ///
    /// Fails when postcard can't encode the record.
    pub fn encode(&self) -> Result<Vec<u8>, RecordError> {
        postcard::to_extend(self, vec![RECORD_FORMAT]).map_err(|_| RecordError::Malformed)
    }

    /// Decodes a record of the log.
    ///
    /// # Errors
    ///
    /// Fails when the format is unknown or the content doesn't follow it.
    pub fn decode(raw: &[u8]) -> Result<Record, RecordError> {
        match raw.split_first() {
            None => Err(RecordError::Malformed),
            Some((&RECORD_FORMAT, body)) => match postcard::take_from_bytes(body) {
                Ok((record, [])) => Ok(record),
                _ => Err(RecordError::Malformed),
            },
            Some((&format, _)) => Err(RecordError::UnknownFormat { format }),
        }
    }
}
