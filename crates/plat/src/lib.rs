//! Client of the platform's append-only log.
//!
//! The rest of the system uses the log only through [`Log`] and [`KeyedLog`], so that another log
//! protocol needs only another implementation of these traits.

mod http;
mod keyed;
mod message;
mod restores;

use std::fmt;
use std::future::Future;
use std::pin::Pin;
use std::time::Duration;

use snafu::Snafu;
use wire::Offset;

pub use http::{
    APPEND_TIMEOUT, ClientError, HttpLog, LONG_POLL_MARGIN, append_response, check_status,
    http_client, no_response_error, parse_base, read_body,
};
pub use keyed::{
    KeyedError, KeyedLog, KeyedRecord, MAX_KEY_BYTES, NewestRecords, decode_keyed, encode_keyed,
};
pub use message::{Append, Appended, Page, PageRecord};
pub use restores::Restores;

/// A boxed future; it allows [`Log`] to be used as a trait object.
pub type BoxFuture<'a, T> = Pin<Box<dyn Future<Output = T> + Send + 'a>>;

/// The reason why a call to the log failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum LogError {
    /// The log refused the call, or an append could not connect to the log. Nothing was written.
    #[snafu(display("log refused the call or is unreachable: HTTP status {status}"))]
    Refused {
        /// HTTP status of the response; 503 if an append could not connect.
        status: u16,
    },
    /// The call got no usable response. An append may have taken effect.
    #[snafu(display("no usable response from the log: {reason}"))]
    NoUsableResponse {
        /// Error of the transport or the decoder, or the HTTP status.
        reason: String,
    },
    /// The record at the requested offset is no longer retained.
    #[snafu(display("offset {from} has expired; the oldest retained offset is {oldest}"))]
    Expired {
        /// Requested offset.
        from: Offset,
        /// Oldest offset that the log still retains.
        oldest: Offset,
    },
    /// A conditional append found the stream at another end. Nothing was written.
    #[snafu(display("the stream ends at offset {end}, not where the append expected"))]
    Conflict {
        /// Offset that the next record will get.
        end: Offset,
    },
}

impl LogError {
    /// Returns whether an append that failed this way may have taken effect.
    pub const fn may_have_written(&self) -> bool {
        matches!(self, LogError::NoUsableResponse { .. })
    }
}

/// A record of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Position of the record in the stream.
    pub offset: Offset,
    /// Content of the record, opaque to the log.
    pub data: Vec<u8>,
}

/// The result of a read.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Batch {
    /// Records in ascending order of offset, without gaps; may stop short of `end`.
    pub records: Vec<Record>,
    /// Oldest offset of the stream that the log still retains.
    pub oldest: Offset,
    /// Offset that the next record appended to the stream will get.
    pub end: Offset,
    /// How often the log had been restored when it answered; `None` for a log that does not say.
    pub restores: Option<u64>,
}

/// The platform's append-only log.
pub trait Log: fmt::Debug + Send + Sync + 'static {
    /// Appends `records` to `stream` in one call and returns the offset of the first one.
    ///
    /// # Errors
    ///
    /// Fails when the log refuses the call or gives no usable response. In the latter case the
    /// records may have been appended; see [`LogError::may_have_written`].
    fn append<'a>(
        &'a self,
        stream: &'a str,
        records: Vec<Vec<u8>>,
    ) -> BoxFuture<'a, Result<Offset, LogError>>;

    /// Reads records of `stream` from the offset `from` on. If there are none yet, waits up to
    /// `wait` for the first one (long poll) and returns a batch without records after that time.
    ///
    /// # Errors
    ///
    /// Fails when the log refuses the call, gives no usable response, or no longer retains `from`.
    fn read<'a>(
        &'a self,
        stream: &'a str,
        from: Offset,
        wait: Duration,
    ) -> BoxFuture<'a, Result<Batch, LogError>>;
}
