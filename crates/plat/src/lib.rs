//! Client of the platform's append-only log.
//!
//! [`Log`] is the only interface through which the rest of the system sees the log, so another log
//! protocol needs one more implementation of it and nothing else.

mod http;
mod keyed;
mod message;

use std::fmt;
use std::future::Future;
use std::pin::Pin;
use std::time::Duration;

use snafu::Snafu;
use wire::Offset;

pub use http::{
    APPEND_TIMEOUT, ClientError, HttpLog, READ_MARGIN, http_client, no_answer, parse_base, sent,
    success,
};
pub use keyed::{Keyed, KeyedError, KeyedLog, MAX_KEY_BYTES, Newest, decode_keyed, encode_keyed};
pub use message::{Append, Appended, Page, PageRecord};

/// A boxed future, so that [`Log`] can be used as a trait object.
pub type BoxFuture<'a, T> = Pin<Box<dyn Future<Output = T> + Send + 'a>>;

/// Why a call to the log failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum LogError {
    /// The log did not take the call. Nothing was written.
    #[snafu(display("log refused the call with HTTP status {status}"))]
    Refused {
        /// HTTP status of the answer.
        status: u16,
    },
    /// No usable answer came. An append may have taken effect.
    #[snafu(display("no answer from the log: {reason}"))]
    NoAnswer {
        /// Reason given by the transport.
        reason: String,
    },
    /// The read position has expired.
    #[snafu(display("offset {from} has expired, the oldest is {oldest}"))]
    Expired {
        /// Requested offset.
        from: Offset,
        /// Oldest offset that the log still keeps.
        oldest: Offset,
    },
}

impl LogError {
    /// Returns whether an append that failed this way may have taken effect.
    pub const fn may_have_written(&self) -> bool {
        matches!(self, LogError::NoAnswer { .. })
    }
}

/// A record with its position.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Position in the stream.
    pub offset: Offset,
    /// Content.
    pub data: Vec<u8>,
}

/// The answer to a read.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Batch {
    /// Records in ascending order of offset, without gaps.
    pub records: Vec<Record>,
    /// Oldest offset that the stream still keeps.
    pub oldest: Offset,
    /// Offset that the next appended record will get.
    pub end: Offset,
}

/// The platform's append-only log.
pub trait Log: fmt::Debug + Send + Sync + 'static {
    /// Appends `records` to `stream` in one call and returns the offset of the first one.
    ///
    /// # Errors
    ///
    /// Fails when the log refuses or doesn't answer; see [`LogError::may_have_written`].
    fn append<'a>(
        &'a self,
        stream: &'a str,
        records: Vec<Vec<u8>>,
    ) -> BoxFuture<'a, Result<Offset, LogError>>;

    /// Reads records of `stream` from `from` on, waiting up to `wait` for the first one.
    ///
    /// # Errors
    ///
    /// Fails when the log doesn't answer or when `from` has expired.
    fn read<'a>(
        &'a self,
        stream: &'a str,
        from: Offset,
        wait: Duration,
    ) -> BoxFuture<'a, Result<Batch, LogError>>;
}
