//! Why a node did not start.

use snafu::Snafu;

/// Why a node did not start.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum StartError {
    /// An address could not be bound.
    #[snafu(display("cannot listen for {what} on {addr}: {source}"))]
    Bind {
        /// Purpose of the listener.
        what: &'static str,
        /// Address.
        addr: std::net::SocketAddr,
        /// Cause.
        source: std::io::Error,
    },
    /// An HTTP client could not be made.
    #[snafu(display("cannot set up an HTTP client: {source}"))]
    Client {
        /// Cause.
        source: reqwest::Error,
    },
    /// The metrics export could not be set up.
    #[snafu(display("{source}"))]
    Metrics {
        /// Cause.
        source: ops::StatsdError,
    },
    /// The trace export could not be set up.
    #[snafu(display("{source}"))]
    Traces {
        /// Cause.
        source: ops::TraceError,
    },
}
