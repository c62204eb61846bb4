//! Streams whose records have a key, of which the newest record of each key is kept.

use snafu::{Snafu, ensure};
use wire::Offset;

use crate::{BoxFuture, Log, LogError};

/// Longest key in bytes; its length is stored in one byte.
pub const MAX_KEY_BYTES: usize = 255;

/// A record with a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Keyed {
    /// The key.
    pub key: Vec<u8>,
    /// The value; empty where the key has been removed.
    pub value: Vec<u8>,
    /// Position in the stream.
    pub offset: Offset,
}

/// The newest record of each key, and where to read on.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Newest {
    /// The records in any order.
    pub records: Vec<Keyed>,
    /// Offset that the next appended record will get.
    pub end: Offset,
}

/// A record or key that can't be used.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum KeyedError {
    /// The key is too long.
    #[snafu(display("a key of {bytes} bytes, at most {MAX_KEY_BYTES} are allowed"))]
    KeyTooLong {
        /// Its length.
        bytes: usize,
    },
    /// The record ends within its key.
    #[snafu(display("the record ends within its key"))]
    Truncated,
}

/// A log that has streams with keys.
pub trait KeyedLog: Log {
    /// Returns the newest record of each key of `stream`.
    ///
    /// # Errors
    ///
    /// Fails when the log refuses or doesn't answer.
    fn newest<'a>(&'a self, stream: &'a str) -> BoxFuture<'a, Result<Newest, LogError>>;
}

/// Makes the content of a record: one byte with the key's length, the key, the value.
///
/// # Errors
///
/// Fails when the key is too long.
pub fn encode_keyed(key: &[u8], value: &[u8]) -> Result<Vec<u8>, KeyedError> {
    let bytes = key.len();
    let len = u8::try_from(bytes).map_err(|_| KeyedError::KeyTooLong { bytes })?;
    let mut record = Vec::with_capacity(1 + key.len() + value.len());
    record.push(len);
    record.extend_from_slice(key);
    record.extend_from_slice(value);
    Ok(record)
}

/// Reads the content of a record.
///
/// # Errors
///
/// Fails when the record is shorter than its key.
pub fn decode_keyed(offset: Offset, record: &[u8]) -> Result<Keyed, KeyedError> {
    let (len, rest) = record.split_first().ok_or(KeyedError::Truncated)?;
    let len = usize::from(*len);
    ensure!(rest.len() >= len, TruncatedSnafu);
    let (key, value) = rest.split_at(len);
    Ok(Keyed {
        key: key.to_vec(),
        value: value.to_vec(),
        offset,
    })
}
