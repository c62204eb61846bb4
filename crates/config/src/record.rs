//! Records of the publication stream, encoded as one byte for the format number and the postcard
//! encoding of [`Record`].

use serde::{Deserialize, Serialize};
use snafu::Snafu;
use wire::{Code, Offset, Version};

use crate::id::PublicationId;

/// Format number of the records that this build writes and reads.
pub const RECORD_FORMAT: u8 = 1;

/// A configuration text that an operator proposes as the next version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Publication {
    /// Identifier for deduplication; the same for every append of this publication.
    pub id: PublicationId,
    /// Version that the operator edited. The publication is rejected unless this is the current
    /// version.
    pub base: Version,
    /// Proposed configuration text.
    pub text: String,
}

/// The state of a [`Fold`](crate::Fold) at an offset. A fold starts from it when earlier records
/// have expired from the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Checkpoint {
    /// Offset of the last record that the state includes.
    pub as_of: Offset,
    /// Configuration version at `as_of`.
    pub version: Version,
    /// Configuration text of `version`; empty at version 0.
    pub text: String,
    /// Outcomes of the most recent publications, oldest first, at most
    /// [`MAX_RECENT_IDS`](crate::MAX_RECENT_IDS).
    pub recent: Vec<PublicationOutcome>,
}

/// A publication with its outcome.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PublicationOutcome {
    /// Identifier of the publication.
    pub id: PublicationId,
    /// Outcome of the publication's first append; later appends don't change the outcome.
    pub outcome: Outcome,
}

/// Whether a publication was accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The publication became this version.
    Accepted(Version),
    /// The publication was rejected with this code.
    Rejected(Code),
}

/// A record of the publication stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// A proposed next version.
    Publication(Publication),
    /// The state of a [`Fold`](crate::Fold) at an earlier offset.
    Checkpoint(Checkpoint),
}

/// Reason why a record can't be encoded or decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum RecordError {
    /// The format number is not [`RECORD_FORMAT`]; a later build wrote the record.
    #[snafu(display("unsupported record format {format}, this build reads {RECORD_FORMAT}"))]
    UnknownFormat {
        /// Format number of the record.
        format: u8,
    },
    /// The record doesn't match its format, or can't be encoded.
    #[snafu(display("malformed publication record"))]
    Malformed,
}

impl Record {
    /// Encodes the record to append it to the log.
    ///
    /// # Errors
    ///
    /// Fails when postcard can't encode the record.
    pub fn encode(&self) -> Result<Vec<u8>, RecordError> {
        postcard::to_extend(self, vec![RECORD_FORMAT]).map_err(|_| RecordError::Malformed)
    }

    /// Decodes a record read from the log.
    ///
    /// # Errors
    ///
    /// Fails when the format number is unknown, or when the rest is not a postcard-encoded record
    /// or has trailing bytes.
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
