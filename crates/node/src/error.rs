//! Errors at the start of a node.

use snafu::Snafu;

/// Error that keeps a node from starting.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum StartError {
    /// A listener's socket could not be bound, or its local address could not be read.
    #[snafu(display("cannot listen for {what} on {addr}: {source}"))]
    Bind {
        /// Key of the listener in `ports`, or `addresses` if no single listener is concerned.
        what: &'static str,
        /// Address that the listener was to be bound to.
        addr: std::net::SocketAddr,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The HTTP client for peers or for the target could not be built.
    #[snafu(display("cannot set up an HTTP client: {source}"))]
    Client {
        /// Error of the HTTP client's builder.
        source: reqwest::Error,
    },
    /// The statsd export of metrics could not be set up.
    #[snafu(display("{source}"))]
    Metrics {
        /// Error of the statsd exporter.
        source: ops::StatsdError,
    },
    /// The trace export could not be set up.
    #[snafu(display("{source}"))]
    Traces {
        /// Error of the trace exporter.
        source: ops::TraceError,
    },
}
