//! Records of a claim stream: one format byte, then postcard.

use serde::{Deserialize, Serialize};
use snafu::Snafu;
use wire::{Fingerprint, InstanceId, Offset, UnixMillis};

use crate::Key;
use crate::fold::Entry;

/// Format number of the records that this version writes.
pub const FORMAT: u8 = 1;
/// Longest answer that is kept for repeats.
pub const MAX_ANSWER_BYTES: usize = 4 * 1024;

/// Identifies one life of a process. It must never repeat on the same instance.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Boot(pub u64);

/// Identifies one claim. A retried append carries the same identifier.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ClaimId {
    /// The claiming node.
    pub node: InstanceId,
    /// Its life.
    pub boot: Boot,
    /// Number of the claim within the life and the stream.
    pub n: u64,
}

/// What is known of a run that has ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The run ended and its answer was kept.
    Kept(Answer),
    /// The run ended; the answer was too large or has been dropped.
    NotKept {
        /// HTTP status of the answer.
        status: u16,
    },
    /// The target was lost during the run.
    Unknown,
}

impl Outcome {
    /// Makes the outcome of a run that ended with this answer.
    pub fn of(status: u16, answer: Vec<u8>) -> Outcome {
        if answer.len() > MAX_ANSWER_BYTES {
            return Outcome::NotKept { status };
        }
        Outcome::Kept(Answer {
            status,
            body: answer,
        })
    }

    pub(crate) fn without_answer(&self) -> Outcome {
        match self {
            Outcome::Kept(a) => Outcome::NotKept { status: a.status },
            other => other.clone(),
        }
    }
}

/// A kept answer. The node decides how headers are put into `body`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Content.
    pub body: Vec<u8>,
}

/// Claims a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The claimed key.
    pub key: Key,
    /// Hash of the request.
    pub request: Fingerprint,
    /// The claim's identifier.
    pub id: ClaimId,
    /// Wall clock of the claiming node.
    pub at: UnixMillis,
    /// Time from `at` to the request's deadline. The claim is not run after it.
    pub ttl_ms: u32,
    /// How long the entry is kept. It travels with the record because nodes that apply different
    /// configuration versions must expire the entry at the same offset.
    pub keep_s: u32,
}

/// Frees a key whose claim was never handed to a target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Release {
    /// The claimed key.
    pub key: Key,
    /// The claim that ends.
    pub id: ClaimId,
    /// Wall clock of the claiming node.
    pub at: UnixMillis,
    /// Deadline of the claim. A copy of the claim that lands later has no effect by itself, so the
    /// identifier needs to be remembered only until then.
    pub until: UnixMillis,
}

/// Stores the outcome of a run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Done {
    /// The claimed key.
    pub key: Key,
    /// The claim that ran.
    pub id: ClaimId,
    /// Wall clock of the claiming node.
    pub at: UnixMillis,
    /// What is known of the run.
    pub outcome: Outcome,
}

/// One part of the state of a fold, for folds that start after older records have expired. Answers
/// are not carried, so a repeat gets code 407 after that.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Checkpoint {
    /// Identifies the checkpoint among concurrent ones.
    pub id: ClaimId,
    /// Last offset that the state includes.
    pub as_of: Offset,
    /// Clock of the fold.
    pub clock: UnixMillis,
    /// Latest time inside of a key that has expired.
    pub forgotten: UnixMillis,
    /// Number of this part, from 0.
    pub part: u32,
    /// Number of parts.
    pub parts: u32,
    /// Entries in this part.
    pub entries: Vec<(Key, Entry)>,
    /// Claims that lost or were released, with the time until which they are remembered.
    pub ended: Vec<(ClaimId, UnixMillis)>,
}

/// A record of a claim stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// See [`Claim`].
    Claim(Claim),
    /// See [`Release`].
    Release(Release),
    /// See [`Done`].
    Done(Done),
    /// See [`Checkpoint`].
    Checkpoint(Checkpoint),
}

/// Why a record can't be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum RecordError {
    /// The record is of a later format.
    #[snafu(display("unknown record format {format}"))]
    Format {
        /// The format byte.
        format: u8,
    },
    /// The record can't be decoded.
    #[snafu(display("malformed record"))]
    Malformed,
}

impl Record {
    /// Encodes the record.
    pub fn encode(&self) -> Vec<u8> {
        // Encoding into a growing buffer has no failure for these types.
        postcard::to_extend(self, vec![FORMAT]).unwrap_or_default()
    }

    /// Decodes a record.
    ///
    /// # Errors
    ///
    /// Fails when the format is unknown or the content can't be decoded.
    pub fn decode(data: &[u8]) -> Result<Record, RecordError> {
        match data.split_first() {
            Some((&FORMAT, body)) => postcard::from_bytes(body).map_err(|_| RecordError::Malformed),
            Some((&format, _)) if format > FORMAT => Err(RecordError::Format { format }),
            _ => Err(RecordError::Malformed),
        }
    }
}
