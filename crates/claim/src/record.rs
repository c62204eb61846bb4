//! Records of a claim stream. A record is one format byte followed by its postcard encoding.

use serde::{Deserialize, Serialize};
use snafu::Snafu;
use wire::{Fingerprint, InstanceId, Offset, UnixMillis};

use crate::Key;
use crate::fold::Entry;

/// Format byte of the records that this version writes.
pub const FORMAT: u8 = 1;
/// Maximum size in bytes of an encoded response that is kept to answer repeats of its request.
pub const MAX_ANSWER_BYTES: usize = 4 * 1024;

/// Boot id: a number drawn at process start. It must be unique among the processes of an instance.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct BootId(pub u64);

/// Identifies one claim. A retried append carries the same claim id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ClaimId {
    /// The node that makes the claim.
    pub node: InstanceId,
    /// Boot id of the node's process.
    pub boot: BootId,
    /// Sequence number, unique within the process and the stream.
    pub seq: u64,
}

/// Result of a run that has ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The target responded, and the response was kept.
    Kept(Answer),
    /// The target responded; the response was too large to keep or has been evicted.
    NotKept {
        /// HTTP status of the response.
        status: u16,
    },
    /// The run ended without a response, so the target may or may not have executed the request.
    NoResponse,
}

impl Outcome {
    /// Returns the outcome of a run that ended with a response of this status. `answer` is the
    /// encoded response; it is not kept if it is over [`MAX_ANSWER_BYTES`].
    pub fn of(status: u16, answer: Vec<u8>) -> Outcome {
        if answer.len() > MAX_ANSWER_BYTES {
            return Outcome::NotKept { status };
        }
        Outcome::Kept(Answer {
            status,
            body: answer,
        })
    }

    /// Returns the outcome without a kept response, of which only the status remains.
    pub(crate) fn without_answer(&self) -> Outcome {
        match self {
            Outcome::Kept(a) => Outcome::NotKept { status: a.status },
            other => other.clone(),
        }
    }
}

/// A kept response. The node decides how headers are encoded into `body`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// HTTP status of the target's response.
    pub status: u16,
    /// Encoded headers and content, at most [`MAX_ANSWER_BYTES`].
    pub body: Vec<u8>,
}

/// Claims a key for one request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The key to claim.
    pub key: Key,
    /// Fingerprint that tells a repeat from another request with the same key.
    pub fingerprint: Fingerprint,
    /// Id of this claim.
    pub id: ClaimId,
    /// Time of the claim by the wall clock of the claiming node.
    pub at: UnixMillis,
    /// Milliseconds from `at` to the deadline of the request. After its deadline, the request is
    /// not run.
    pub ttl_ms: u32,
    /// How long the entry of the key is retained, in seconds. The record carries it because nodes
    /// with different configuration versions must expire the entry at the same offset.
    pub retention_s: u32,
}

/// Frees a key whose request was not handed over to a target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Release {
    /// The key to free.
    pub key: Key,
    /// The released claim.
    pub id: ClaimId,
    /// Time of the release by the wall clock of the claiming node.
    pub at: UnixMillis,
    /// Deadline of the claim. The claim id is remembered for twice [`MAX_SKEW`](crate::MAX_SKEW)
    /// after the deadline; a copy of the claim that is appended later has no effect anyway.
    pub deadline: UnixMillis,
}

/// Records the outcome of a run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Done {
    /// Key of the request that ran.
    pub key: Key,
    /// The claim under which the request ran.
    pub id: ClaimId,
    /// End of the run by the wall clock of the claiming node.
    pub at: UnixMillis,
    /// Result of the run.
    pub outcome: Outcome,
}

/// One part of the state of a stream, for nodes that start reading after older records have
/// expired. It carries no response bodies, so on such a node the repeat of a request that got a
/// response is refused with code 407.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Checkpoint {
    /// Id that all parts of the checkpoint share, which tells concurrent checkpoints apart.
    pub id: ClaimId,
    /// Offset of the last record that the state includes.
    pub as_of: Offset,
    /// Latest wall-clock time in the records up to `as_of`.
    pub clock: UnixMillis,
    /// Latest timestamp of a `UUIDv7` key whose entry has expired and was removed.
    pub expired_up_to: UnixMillis,
    /// Index of this part, from 0.
    pub part: u32,
    /// Number of parts of the checkpoint.
    pub parts: u32,
    /// The entries of this part, by key.
    pub entries: Vec<(Key, Entry)>,
    /// Claims that lost or were released, each with the time until which its id is remembered.
    pub closed_claims: Vec<(ClaimId, UnixMillis)>,
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

/// Reasons why a record can't be decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum RecordError {
    /// The format byte is above [`FORMAT`]: a later version wrote the record.
    #[snafu(display("claim record has format {format}, which this version can't read"))]
    Format {
        /// The format byte of the record.
        format: u8,
    },
    /// The record is empty, has an invalid format byte, or its content is not valid postcard.
    #[snafu(display("malformed claim record"))]
    Malformed,
}

impl Record {
    /// Encodes the record, with its format byte.
    pub fn encode(&self) -> Vec<u8> {
        // Encoding these types into a growable buffer can't fail.
        postcard::to_extend(self, vec![FORMAT]).unwrap_or_default()
    }

    /// Decodes a record, with its format byte.
    ///
    /// # Errors
    ///
    /// Returns an error if the format is unknown or the content can't be decoded.
    pub fn decode(data: &[u8]) -> Result<Record, RecordError> {
        match data.split_first() {
            Some((&FORMAT, body)) => postcard::from_bytes(body).map_err(|_| RecordError::Malformed),
            Some((&format, _)) if format > FORMAT => Err(RecordError::Format { format }),
            _ => Err(RecordError::Malformed),
        }
    }
}
