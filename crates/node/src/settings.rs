//! Settings of a node: raw TOML to checked values.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use ops::{LogFormat, Statsd, TraceCfg};
use serde::Deserialize;
use snafu::Snafu;
use wire::{Code, Domain, InstanceId, KeyRing, MeshKey, ServiceName};

const MAX_NAME_BYTES: usize = 64;
const MIN_SECRET_BYTES: usize = 16;
const DRAIN_TIMEOUT_S: (u64, u64) = (1, 3_600);
const CHECKPOINT_S: (u64, u64) = (1, 86_400);
const MAX_SEEDS: usize = 64;

/// Why settings were refused.
#[derive(Debug, PartialEq, Eq, Snafu)]
pub enum SettingsError {
    /// Not TOML, an unknown key, or a value of the wrong type.
    #[snafu(display("{}: line {line}: {reason}", Code::SettingsUnreadable))]
    Unreadable {
        /// Line, from 1.
        line: usize,
        /// Reason with the name of the key.
        reason: String,
    },
    /// A value is out of range or unsafe.
    #[snafu(display("{}: {key}: {reason}", Code::SettingsInvalid))]
    Invalid {
        /// Name of the key.
        key: &'static str,
        /// Reason.
        reason: String,
    },
}

impl SettingsError {
    /// Returns the numbered code.
    pub const fn code(&self) -> Code {
        match self {
            SettingsError::Unreadable { .. } => Code::SettingsUnreadable,
            SettingsError::Invalid { .. } => Code::SettingsInvalid,
        }
    }
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct RawSettings {
    mesh: String,
    name: String,
    service: String,
    region: String,
    domain: String,
    address: IpAddr,
    #[serde(default)]
    seeds: Vec<SocketAddr>,
    #[serde(default = "default_random_seed")]
    random_seed: u64,
    #[serde(default = "default_drain_timeout_s")]
    drain_timeout_s: u64,
    log: RawLog,
    ports: RawPorts,
    keys: RawKeys,
    trace: Option<RawTrace>,
    metrics: Option<RawMetrics>,
    #[serde(default)]
    logs: RawLogs,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct RawLog {
    url: String,
    #[serde(default = "default_checkpoint_s")]
    checkpoint_s: u64,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct RawPorts {
    callers: u16,
    peers: u16,
    target: u16,
    rpc: u16,
    gossip: u16,
    operator: u16,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct RawKeys {
    send: RawKey,
    also: Option<RawKey>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct RawKey {
    number: u8,
    secret: String,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct RawTrace {
    endpoint: String,
    sample: f64,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct RawMetrics {
    statsd: SocketAddr,
}

#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct RawLogs {
    #[serde(default)]
    json: bool,
}

fn default_random_seed() -> u64 {
    1
}

fn default_checkpoint_s() -> u64 {
    3_600
}

fn default_drain_timeout_s() -> u64 {
    30
}

/// Ports of a node. Port 0 lets the operating system choose, which only tests want.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Ports {
    /// Requests of callers (HTTP).
    pub callers: u16,
    /// Requests of other nodes (HTTP).
    pub peers: u16,
    /// Announcements of the target (HTTP, loopback only).
    pub target: u16,
    /// Transfers between nodes (tarpc).
    pub rpc: u16,
    /// Gossip (UDP).
    pub gossip: u16,
    /// Health and state for operators (HTTP).
    pub operator: u16,
}

/// Decides whether traffic with an address is cut.
pub type Cut = Arc<dyn Fn(SocketAddr) -> bool + Send + Sync>;

/// Faults of the network between nodes, for benchmarks and tests. No key of the settings file sets
/// them.
#[derive(Clone, Default)]
pub struct Faults {
    /// Share of sent datagrams that are lost, from 0 to 1.
    pub loss: f64,
    /// Addresses of control traffic that can't be reached.
    pub cut: Option<Cut>,
}

impl Faults {
    pub(crate) fn is_cut(&self, addr: SocketAddr) -> bool {
        self.cut.as_ref().is_some_and(|cut| cut(addr))
    }
}

impl std::fmt::Debug for Faults {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Faults")
            .field("loss", &self.loss)
            .finish_non_exhaustive()
    }
}

/// Checked settings of a node.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of the mesh.
    pub mesh: String,
    /// Name of the instance.
    pub name: String,
    /// Service of the target beside the node.
    pub service: ServiceName,
    /// Region of the instance.
    pub region: String,
    /// Failure domain of the instance.
    pub domain: Domain,
    /// Address of the instance.
    pub address: IpAddr,
    /// Addresses for transfers (`ports.rpc`) of other nodes.
    pub seeds: Vec<SocketAddr>,
    /// Seed of the random choices; combined with the instance's name.
    pub random_seed: u64,
    /// How long a graceful shutdown waits for requests in progress.
    pub drain_timeout: Duration,
    /// URL of the platform's log.
    pub log_url: String,
    /// Time between two checkpoints of the publication stream; at most a third of the time for
    /// which the log keeps records.
    pub checkpoint_period: Duration,
    /// Ports.
    pub ports: Ports,
    /// Keys of the mesh.
    pub keys: KeyRing,
    /// Trace export, off if absent.
    pub trace: Option<TraceCfg>,
    /// Metrics export, off if absent.
    pub statsd: Option<Statsd>,
    /// Shape of log lines.
    pub log_format: LogFormat,
    /// Faults of the network between nodes.
    pub faults: Faults,
}

impl Settings {
    /// Returns the identifier of the instance.
    pub fn id(&self) -> InstanceId {
        InstanceId::of(&self.name)
    }
}

impl TryFrom<&str> for Settings {
    type Error = SettingsError;

    fn try_from(text: &str) -> Result<Settings, SettingsError> {
        let raw: RawSettings = toml::from_str(text).map_err(|e| SettingsError::Unreadable {
            line: e
                .span()
                .map_or(1, |s| 1 + text[..s.start].matches('\n').count()),
            reason: e.message().to_owned(),
        })?;
        raw.try_into()
    }
}

impl TryFrom<RawSettings> for Settings {
    type Error = SettingsError;

    fn try_from(raw: RawSettings) -> Result<Settings, SettingsError> {
        check_name("mesh", &raw.mesh)?;
        check_name("name", &raw.name)?;
        check_name("service", &raw.service)?;
        check_name("region", &raw.region)?;
        check_name("domain", &raw.domain)?;
        check_address(raw.address)?;
        check_seeds(&raw.seeds)?;
        check_url("log.url", &raw.log.url)?;
        check_ports(&raw.ports)?;
        if !(DRAIN_TIMEOUT_S.0..=DRAIN_TIMEOUT_S.1).contains(&raw.drain_timeout_s) {
            let (least, most) = DRAIN_TIMEOUT_S;
            return invalid(
                "drain_timeout_s",
                format!("must be {least} to {most} seconds"),
            );
        }
        if !(CHECKPOINT_S.0..=CHECKPOINT_S.1).contains(&raw.log.checkpoint_s) {
            let (least, most) = CHECKPOINT_S;
            return invalid(
                "log.checkpoint_s",
                format!("must be {least} to {most} seconds"),
            );
        }
        Ok(Settings {
            keys: key_ring(&raw.mesh, &raw.keys)?,
            trace: raw.trace.map(|t| trace(t, &raw.name)).transpose()?,
            statsd: raw.metrics.map(|m| Statsd { addr: m.statsd }),
            log_format: if raw.logs.json {
                LogFormat::Json
            } else {
                LogFormat::Text
            },
            faults: Faults::default(),
            mesh: raw.mesh,
            name: raw.name,
            service: raw.service.as_str().into(),
            region: raw.region,
            domain: raw.domain.as_str().into(),
            address: raw.address,
            seeds: raw.seeds,
            random_seed: raw.random_seed,
            drain_timeout: Duration::from_secs(raw.drain_timeout_s),
            log_url: raw.log.url,
            checkpoint_period: Duration::from_secs(raw.log.checkpoint_s),
            ports: raw.ports.into(),
        })
    }
}

impl From<RawPorts> for Ports {
    fn from(raw: RawPorts) -> Ports {
        Ports {
            callers: raw.callers,
            peers: raw.peers,
            target: raw.target,
            rpc: raw.rpc,
            gossip: raw.gossip,
            operator: raw.operator,
        }
    }
}

fn invalid<T>(key: &'static str, reason: impl Into<String>) -> Result<T, SettingsError> {
    Err(SettingsError::Invalid {
        key,
        reason: reason.into(),
    })
}

fn check_name(key: &'static str, value: &str) -> Result<(), SettingsError> {
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    if value.is_empty() || value.len() > MAX_NAME_BYTES || !value.chars().all(allowed) {
        let reason = format!("must be 1 to {MAX_NAME_BYTES} letters, digits, '-', '_' or '.'");
        return invalid(key, reason);
    }
    Ok(())
}

fn check_address(address: IpAddr) -> Result<(), SettingsError> {
    // Other nodes dial this address, so a wildcard would name no instance.
    if address.is_unspecified() || address.is_multicast() {
        return invalid(
            "address",
            "must be an address of this instance, not a wildcard",
        );
    }
    Ok(())
}

fn check_seeds(seeds: &[SocketAddr]) -> Result<(), SettingsError> {
    if seeds.len() > MAX_SEEDS {
        return invalid("seeds", format!("must be at most {MAX_SEEDS}"));
    }
    if seeds
        .iter()
        .any(|s| s.ip().is_unspecified() || s.port() == 0)
    {
        return invalid("seeds", "must name an address and a port");
    }
    Ok(())
}

fn check_url(key: &'static str, url: &str) -> Result<(), SettingsError> {
    let parsed = reqwest::Url::parse(url);
    if !parsed.is_ok_and(|u| u.scheme() == "http" && u.has_host()) {
        return invalid(key, "must be an http:// URL with a host");
    }
    Ok(())
}

fn check_ports(p: &RawPorts) -> Result<(), SettingsError> {
    let tcp = [p.callers, p.peers, p.target, p.rpc, p.operator];
    for (i, port) in tcp.iter().enumerate() {
        if *port != 0 && tcp[..i].contains(port) {
            return invalid("ports", format!("port {port} is used twice"));
        }
    }
    Ok(())
}

fn key_ring(mesh: &str, raw: &RawKeys) -> Result<KeyRing, SettingsError> {
    let key = |k: &RawKey| {
        if k.secret.len() < MIN_SECRET_BYTES {
            return invalid(
                "keys",
                format!("a secret needs {MIN_SECRET_BYTES} bytes or more"),
            );
        }
        Ok(MeshKey::new(k.number, &k.secret))
    };
    let send = key(&raw.send)?;
    let also = raw.also.as_ref().map(key).transpose()?;
    if raw
        .also
        .as_ref()
        .is_some_and(|k| k.number == raw.send.number)
    {
        return invalid("keys", "two keys have the same number");
    }
    Ok(KeyRing::new(mesh, send, also))
}

fn trace(raw: RawTrace, instance: &str) -> Result<TraceCfg, SettingsError> {
    check_url("trace.endpoint", &raw.endpoint)?;
    if !(0.0..=1.0).contains(&raw.sample) {
        return invalid("trace.sample", "must be 0 to 1");
    }
    Ok(TraceCfg {
        endpoint: raw.endpoint,
        sample: raw.sample,
        instance: instance.to_owned(),
    })
}
