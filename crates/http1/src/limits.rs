//! Limits of a connection.

use std::time::Duration;

use snafu::{Snafu, ensure};

/// Largest number of requests that a caller may have in progress on one connection.
const MAX_READ_AHEAD_REQUESTS: usize = 1_024;

/// Limits on the requests and the idle times of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum size of a request head in bytes.
    pub header_bytes: usize,
    /// Maximum size of a request body in bytes.
    pub body_bytes: usize,
    /// Time within which a request head must arrive, counted from its first byte.
    pub header_timeout: Duration,
    /// Time after which a connection without a request in progress is closed, and after which one
    /// is dropped whose caller reads none of a response.
    pub idle_timeout: Duration,
    /// How far requests are read ahead.
    pub read_ahead: ReadAhead,
}

/// How far a connection reads ahead of the response that is due next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReadAhead {
    requests: usize,
    bytes: usize,
}

/// Reason why read-ahead settings are invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum ReadAheadError {
    /// The number of requests is out of range.
    #[snafu(display("{requests} requests are not between 1 and {MAX_READ_AHEAD_REQUESTS}"))]
    Requests {
        /// The number of requests.
        requests: usize,
    },
    /// No bytes may be held, so that no request could be read ahead.
    #[snafu(display("at least 1 byte must be allowed"))]
    Bytes,
}

impl ReadAhead {
    /// Returns how many requests may be in progress at once.
    pub fn requests(self) -> usize {
        self.requests
    }

    /// Returns how many bytes of unparsed requests, and of responses that wait for earlier ones,
    /// the connection holds before it reads no further request.
    pub fn bytes(self) -> usize {
        self.bytes
    }
}

impl TryFrom<(usize, usize)> for ReadAhead {
    type Error = ReadAheadError;

    /// Checks a number of requests and of bytes.
    fn try_from((requests, bytes): (usize, usize)) -> Result<ReadAhead, ReadAheadError> {
        ensure!(
            (1..=MAX_READ_AHEAD_REQUESTS).contains(&requests),
            RequestsSnafu { requests }
        );
        ensure!(bytes > 0, BytesSnafu);
        Ok(ReadAhead { requests, bytes })
    }
}

impl Default for ReadAhead {
    fn default() -> ReadAhead {
        ReadAhead {
            requests: 32,
            bytes: 64 << 10,
        }
    }
}
