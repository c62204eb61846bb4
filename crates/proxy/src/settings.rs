//! What a node is told at its start.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use plat::KeyedLog;
use wire::{Domain, ServiceName};

use crate::names::HeaderNames;
use crate::versions::DecodeVersion;

/// Settings of a node.
#[derive(Debug)]
pub struct Settings {
    /// Name of the instance, for logs.
    pub name: String,
    /// Where callers on this instance send their requests.
    pub callers: SocketAddr,
    /// Where other nodes send their calls.
    pub link: SocketAddr,
    /// The own failure domain.
    pub domain: Domain,
    /// Speed of the instance's link in megabits per second.
    pub link_mbps: u32,
    /// What may change while the node runs.
    pub target: TargetSettings,
    /// Names of the headers.
    pub names: HeaderNames,
    /// Time bounds and budgets.
    pub bounds: Bounds,
    /// The log that versions and nodes are found in.
    pub source: Source,
}

/// The target beside the node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetSettings {
    /// Its service.
    pub service: ServiceName,
    /// Its address.
    pub addr: SocketAddr,
}

/// Time bounds and budgets, as the operators state them.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Time between SIGTERM and SIGKILL.
    pub grace: Duration,
    /// Repeated arrivals that a service may get per request, over all nodes.
    pub retry_ratio: f64,
    /// Window of the retry budget.
    pub retry_window: Duration,
    /// Repeated arrivals that a service may get in a window beside the ratio, over all nodes.
    pub retry_slack: f64,
    /// Memory that the process may use, in bytes.
    pub memory: usize,
}

/// Where versions and nodes are found.
#[derive(Clone)]
pub struct Source {
    /// The log.
    pub log: Arc<dyn KeyedLog>,
    /// Stream in which the operators keep the routing table.
    pub version_stream: String,
    /// Key of the routing table in that stream.
    pub version_key: String,
    /// Reads a routing table.
    pub decode: DecodeVersion,
    /// Stream in which nodes leave their addresses.
    pub node_stream: String,
}

impl std::fmt::Debug for Source {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Source")
            .field("version_stream", &self.version_stream)
            .field("node_stream", &self.node_stream)
            .finish_non_exhaustive()
    }
}
