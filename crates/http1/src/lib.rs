//! The server side of an HTTP/1.1 connection, without I/O.
//!
//! [`Conn`] reads requests ahead, so that those that a caller pipelines can run concurrently, and
//! writes the responses in the order of the requests (RFC 9112, section 9.3.2). The owner passes
//! it the received bytes and the responses, and takes events and output from it.
//!
//! - `head`: request heads; `body`: framing and decoding of request bodies.
//! - `response`: encoding of responses.
//! - `conn`: the state of a connection; `limits`: its settings.

mod body;
mod conn;
mod head;
mod limits;
mod response;

pub use conn::{Conn, Event, RequestKey};
pub use head::{ParseError, RequestHead};
pub use limits::{Limits, ReadAhead, ReadAheadError};
