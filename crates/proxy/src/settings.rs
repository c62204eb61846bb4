//! Settings with which a node is started.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http1::ReadAhead;
use memory::Account;
use plat::KeyedLog;
use rollout::{ExposureCfg, Order, RawOrder, Step};
use wire::{Domain, ServiceName};

use crate::names::HeaderNames;
use crate::versions::DecodeVersion;

/// Part of the process's memory, in percent, that is held for others. The rest is for the process itself,
/// its routing tables, what the kernel buffers, and copies in flight. On the smallest machines in use, of
/// 160 MB, requests get 68 MB of it, enough for a body of the largest size.
const ACCOUNT_PERCENT: usize = 57;

/// Settings of a node. Only `target` can change while the node runs.
#[derive(Debug)]
pub struct Settings {
    /// Name of the instance, for log lines.
    pub name: String,
    /// Address on which callers of this instance send their requests.
    pub caller_addr: SocketAddr,
    /// Address for the calls of other nodes; it also identifies the node to them.
    pub peer_addr: SocketAddr,
    /// Failure domain of the instance.
    pub domain: Domain,
    /// Speed of the instance's network link in megabits per second.
    pub link_mbps: u32,
    /// Initial settings of the target; [`Handle::set_target`](crate::Handle::set_target) changes
    /// them.
    pub target: TargetSettings,
    /// Names of the headers that the deployment uses.
    pub header_names: HeaderNames,
    /// Grace period, retry budget, times for new versions and memory limit.
    pub bounds: Bounds,
    /// Log with the versions of the routing table and the addresses of the nodes.
    pub source: LogSource,
    /// Roll-outs of a service's version; `None` for deployments whose operators order none.
    pub rollouts: Option<RolloutSettings>,
    /// Memory that is held for callers, the target, peers and the log; see [`open_account`].
    pub memory: Arc<Account>,
}

/// Opens the account of the memory that a node of `memory_bytes` holds for others.
pub fn open_account(memory_bytes: usize) -> Arc<Account> {
    Account::new(memory_bytes / 100 * ACCOUNT_PERCENT)
}

/// Settings of the node's target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetSettings {
    /// Service that the target is an instance of.
    pub service: ServiceName,
    /// Address on which the target accepts requests.
    pub addr: SocketAddr,
}

/// Grace period, retry budget, times for new versions and limits on memory and read-ahead, as set by
/// the operators.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Grace period of a shutdown: the time between SIGTERM and SIGKILL.
    pub grace_period: Duration,
    /// Retries that may arrive at a service per request, over all nodes.
    pub retry_ratio: f64,
    /// Time window over which the retry budget is counted.
    pub retry_window: Duration,
    /// Retries that may arrive at a service per window in addition to the ratio, over all nodes.
    pub retry_slack: f64,
    /// Longest time from the publication of a version until it must be in force.
    pub apply_time: Duration,
    /// Time after the end of a fault of the network or the log from which `apply_time` holds again.
    pub recovery_time: Duration,
    /// Memory that the process may use, in bytes.
    pub memory_bytes: usize,
    /// Most connections of callers at a time.
    pub max_callers: usize,
    /// Most connections of peers at a time.
    pub max_links: usize,
    /// Time from the publication of a version that takes a key away until no request with that key may
    /// run; `None` if only `apply_time` holds.
    pub revoke_time: Option<Duration>,
    /// How far requests that callers pipeline are read ahead, for each connection.
    pub read_ahead: ReadAhead,
}

/// The log from which a node reads versions of the routing table and the addresses of the nodes.
#[derive(Clone)]
pub struct LogSource {
    /// Client of the log.
    pub log: Arc<dyn KeyedLog>,
    /// Stream to which the operators publish versions of the routing table.
    pub version_stream: String,
    /// Key of the routing table in that stream.
    pub version_key: String,
    /// Decodes the configuration text of a version.
    pub decode: DecodeVersion,
    /// Stream in which each node registers its address.
    pub node_stream: String,
}

/// Where orders of roll-outs come from, where their state goes, and their bounds.
#[derive(Clone)]
pub struct RolloutSettings {
    /// Start of the keys of orders in the stream of versions.
    pub order_prefix: String,
    /// Decodes an order. The error says what is wrong with the text.
    pub decode_order: fn(&[u8]) -> Result<RawOrder, String>,
    /// Stream in which the nodes record the step of each roll-out.
    pub step_stream: String,
    /// Stream in which the operators read the status of each roll-out.
    pub status_stream: String,
    /// Encodes the key and the value of a status.
    pub encode_status: fn(&Order, RolloutStatus) -> (String, Vec<u8>),
    /// Requests that a version may get before it has proved fit.
    pub exposure: ExposureCfg,
}

/// Status of a roll-out for the operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RolloutStatus {
    /// Neither ended nor rolled back.
    Running,
    /// All requests go to the new version, and the old targets may be stopped.
    Succeeded,
    /// All requests go to the old version.
    RolledBack,
}

impl From<Step> for RolloutStatus {
    fn from(step: Step) -> RolloutStatus {
        match step {
            Step::Canary | Step::Parallel | Step::Switch => RolloutStatus::Running,
            Step::Succeeded => RolloutStatus::Succeeded,
            Step::RolledBack => RolloutStatus::RolledBack,
        }
    }
}

impl std::fmt::Debug for RolloutSettings {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("RolloutSettings")
            .field("order_prefix", &self.order_prefix)
            .field("step_stream", &self.step_stream)
            .field("status_stream", &self.status_stream)
            .field("exposure", &self.exposure)
            .finish_non_exhaustive()
    }
}

impl std::fmt::Debug for LogSource {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("LogSource")
            .field("version_stream", &self.version_stream)
            .field("node_stream", &self.node_stream)
            .finish_non_exhaustive()
    }
}
