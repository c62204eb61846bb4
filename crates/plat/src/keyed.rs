//! Keyed streams, of which the log retains the newest record of each key.

use snafu::{Snafu, ensure};
use wire::Offset;

use crate::{BoxFuture, Log, LogError, Restores};

/// Length of the longest key in bytes. A record stores the length of its key in one byte.
pub const MAX_KEY_BYTES: usize = 255;

/// A record of a keyed stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyedRecord {
    /// Key, at most [`MAX_KEY_BYTES`] long.
    pub key: Vec<u8>,
    /// Value; empty if the record removes the key.
    pub value: Vec<u8>,
    /// Position of the record in the stream.
    pub offset: Offset,
}

/// The newest record of each key of a stream, and the offset from which to read on.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct NewestRecords {
    /// One record for each key, in no particular order.
    pub records: Vec<KeyedRecord>,
    /// Offset that the next appended record will get.
    pub end: Offset,
    /// How often the log had been restored when it answered; `None` for a log that does not say.
    pub restores: Option<u64>,
}

/// The reason why a record of a keyed stream can't be encoded or decoded.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum KeyedError {
    /// The key is longer than [`MAX_KEY_BYTES`].
    #[snafu(display("record key of {bytes} bytes exceeds the limit of {MAX_KEY_BYTES} bytes"))]
    KeyTooLong {
        /// Length of the key in bytes.
        bytes: usize,
    },
    /// The record is empty or ends within its key.
    #[snafu(display("record truncated: it is empty or ends within its key"))]
    Truncated,
}

/// A log that also offers keyed streams.
pub trait KeyedLog: Log {
    /// Returns how often the log has been restored, which every answer of the log may raise.
    fn restores(&self) -> &Restores;

    /// Returns the newest record of each key of `stream`.
    ///
    /// # Errors
    ///
    /// Fails when the log refuses the call or gives no usable response.
    fn read_newest<'a>(&'a self, stream: &'a str)
    -> BoxFuture<'a, Result<NewestRecords, LogError>>;

    /// Appends `records` to `stream` like [`Log::append`], but only if the stream ends at `end`.
    ///
    /// # Errors
    ///
    /// Fails with [`LogError::Conflict`] if the stream ends elsewhere, and like [`Log::append`].
    fn append_at<'a>(
        &'a self,
        stream: &'a str,
        end: Offset,
        records: Vec<Vec<u8>>,
    ) -> BoxFuture<'a, Result<Offset, LogError>>;
}

/// Encodes the content of a record: the key's length in one byte, the key, the value.
///
/// # Errors
///
/// Fails when `key` is longer than [`MAX_KEY_BYTES`].
pub fn encode_keyed(key: &[u8], value: &[u8]) -> Result<Vec<u8>, KeyedError> {
    let bytes = key.len();
    let len = u8::try_from(bytes).map_err(|_| KeyedError::KeyTooLong { bytes })?;
    let mut record = Vec::with_capacity(1 + key.len() + value.len());
    record.push(len);
    record.extend_from_slice(key);
    record.extend_from_slice(value);
    Ok(record)
}

/// Decodes the content of the record at `offset`; see [`encode_keyed`].
///
/// # Errors
///
/// Fails when `record` is empty or ends within its key.
pub fn decode_keyed(offset: Offset, record: &[u8]) -> Result<KeyedRecord, KeyedError> {
    let (len, rest) = record.split_first().ok_or(KeyedError::Truncated)?;
    let len = usize::from(*len);
    ensure!(rest.len() >= len, TruncatedSnafu);
    let (key, value) = rest.split_at(len);
    Ok(KeyedRecord {
        key: key.to_vec(),
        value: value.to_vec(),
        offset,
    })
}
