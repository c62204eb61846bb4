//! Settings of a node: decoded from TOML, then validated.

mod fault;

use std::net::{IpAddr, SocketAddr, UdpSocket};
use std::sync::Arc;
use std::time::Duration;

use ops::{LogFormat, Statsd, TraceCfg};
use serde::Deserialize;
use wire::{Domain, InstanceId, KeyRing, MeshKey, ServiceName};

pub use fault::SettingsError;
use fault::{InvalidSetting, invalid};

const MAX_NAME_BYTES: usize = 64;
const MIN_SECRET_BYTES: usize = 16;
const DRAIN_TIMEOUT_RANGE_S: (u64, u64) = (1, 3_600);
const CHECKPOINT_PERIOD_RANGE_S: (u64, u64) = (1, 86_400);
const MAX_SEEDS: usize = 64;

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

/// Ports of a node. With port 0, which is for tests, the operating system chooses one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Ports {
    /// Requests of callers (HTTP).
    pub callers: u16,
    /// Requests forwarded by other nodes (HTTP).
    pub peers: u16,
    /// Announcements of the target (HTTP, loopback only).
    pub target: u16,
    /// Joins, member tables and configuration texts between nodes (tarpc).
    pub rpc: u16,
    /// Membership and version announcements (UDP).
    pub gossip: u16,
    /// Health and state for operators (HTTP).
    pub operator: u16,
}

/// Predicate that returns whether control traffic to an address is cut.
pub type Cut = Arc<dyn Fn(SocketAddr) -> bool + Send + Sync>;

/// Injected faults of control traffic between nodes, for benchmarks and tests. No key of the
/// settings file sets them.
#[derive(Clone, Default)]
pub struct NetworkFaults {
    /// Fraction of sent datagrams that are dropped, from 0 to 1.
    pub datagram_loss: f64,
    /// Selects the addresses to which control traffic fails; `None` for none.
    pub is_cut_off: Option<Cut>,
}

impl NetworkFaults {
    pub(crate) fn is_cut(&self, addr: SocketAddr) -> bool {
        self.is_cut_off
            .as_ref()
            .is_some_and(|is_cut_off| is_cut_off(addr))
    }
}

impl std::fmt::Debug for NetworkFaults {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Faults")
            .field("loss", &self.datagram_loss)
            .finish_non_exhaustive()
    }
}

/// Validated settings of a node.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of the mesh.
    pub mesh: String,
    /// Name of the instance.
    pub name: String,
    /// Service of the instance's target.
    pub service: ServiceName,
    /// Region of the instance.
    pub region: String,
    /// Failure domain of the instance.
    pub domain: Domain,
    /// Address of the instance, on which the node listens and which other nodes dial.
    pub address: IpAddr,
    /// Addresses (with `ports.rpc`) of nodes through which this one joins the mesh.
    pub seeds: Vec<SocketAddr>,
    /// Seed of the random number generators; combined with the instance's identifier.
    pub random_seed: u64,
    /// Time for which a graceful shutdown waits for requests in progress.
    pub drain_timeout: Duration,
    /// URL of the platform's log.
    pub log_url: String,
    /// Time between two checkpoints of the publication stream; at most a third of the log's retention
    /// period.
    pub checkpoint_period: Duration,
    /// Ports on which the node listens.
    pub ports: Ports,
    /// Keys that authenticate traffic between nodes.
    pub keys: KeyRing,
    /// Trace export; `None` turns it off.
    pub trace: Option<TraceCfg>,
    /// Metrics export; `None` turns it off.
    pub statsd: Option<Statsd>,
    /// Format of log lines.
    pub log_format: LogFormat,
    /// Injected network faults; none unless a benchmark or a test sets them.
    pub faults: NetworkFaults,
}

impl Settings {
    /// Returns the identifier of the instance, derived from its name.
    pub fn id(&self) -> InstanceId {
        InstanceId::of(&self.name)
    }

    /// Checks that `address` is an address of this instance. `text` is the settings file's content, in
    /// which an error is located.
    ///
    /// # Errors
    ///
    /// Fails with the line of the key `address` if the operating system can't bind the address.
    pub fn check_local_address(&self, text: &str) -> Result<(), SettingsError> {
        match UdpSocket::bind((self.address, 0)) {
            Ok(_) => Ok(()),
            Err(e) => {
                let reason = format!("{} is not an address of this instance: {e}", self.address);
                let result = invalid("address", reason);
                result.map_err(|f: InvalidSetting| f.locate(text))
            }
        }
    }
}

impl TryFrom<&str> for Settings {
    type Error = SettingsError;

    fn try_from(text: &str) -> Result<Settings, SettingsError> {
        let raw: RawSettings =
            toml::from_str(text).map_err(|e| fault::unreadable_settings(text, &e))?;
        Settings::validate(raw).map_err(|f| f.locate(text))
    }
}

impl Settings {
    fn validate(raw: RawSettings) -> Result<Settings, InvalidSetting> {
        check_name("mesh", &raw.mesh)?;
        check_name("name", &raw.name)?;
        check_name("service", &raw.service)?;
        check_name("region", &raw.region)?;
        check_name("domain", &raw.domain)?;
        check_address(raw.address)?;
        check_seeds(&raw)?;
        check_url("log.url", &raw.log.url)?;
        check_ports(&raw.ports)?;
        check_seconds(
            "drain_timeout_s",
            raw.drain_timeout_s,
            DRAIN_TIMEOUT_RANGE_S,
        )?;
        check_seconds(
            "log.checkpoint_s",
            raw.log.checkpoint_s,
            CHECKPOINT_PERIOD_RANGE_S,
        )?;
        Ok(Settings {
            keys: key_ring(&raw.mesh, &raw.keys)?,
            trace: raw.trace.map(|t| trace_cfg(t, &raw.name)).transpose()?,
            statsd: raw.metrics.map(|m| statsd_cfg(&m)).transpose()?,
            log_format: if raw.logs.json {
                LogFormat::Json
            } else {
                LogFormat::Text
            },
            faults: NetworkFaults::default(),
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

fn check_name(key: &str, value: &str) -> Result<(), InvalidSetting> {
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    if value.is_empty() || value.len() > MAX_NAME_BYTES || !value.chars().all(allowed) {
        let reason = format!("must be 1 to {MAX_NAME_BYTES} letters, digits, '-', '_' or '.'");
        return invalid(key, reason);
    }
    Ok(())
}

fn check_seconds(key: &str, n: u64, (least, most): (u64, u64)) -> Result<(), InvalidSetting> {
    match (least..=most).contains(&n) {
        true => Ok(()),
        false => invalid(key, format!("{n} is not within {least} to {most} seconds")),
    }
}

// Other nodes dial this address, so it must not be a wildcard, multicast or broadcast address.
fn check_address(address: IpAddr) -> Result<(), InvalidSetting> {
    let is_broadcast = matches!(address, IpAddr::V4(a) if a.is_broadcast());
    if address.is_unspecified() || address.is_multicast() || is_broadcast {
        let reason = format!("{address} is not the address of one instance");
        return invalid("address", reason);
    }
    Ok(())
}

fn check_seeds(raw: &RawSettings) -> Result<(), InvalidSetting> {
    let n = raw.seeds.len();
    if n > MAX_SEEDS {
        return invalid("seeds", format!("{n} seeds, the limit is {MAX_SEEDS}"));
    }
    for seed in &raw.seeds {
        if seed.ip().is_unspecified() || seed.port() == 0 {
            let reason = format!("{seed} does not name an address and a port");
            return invalid("seeds", reason);
        }
        // Only this instance's `ports.rpc` is known here, so a wrong port is detected only in the
        // seed that is this instance. Where all instances use the same ports, that detects any
        // wrong port that all seeds share.
        if seed.ip() == raw.address && raw.ports.rpc != 0 && seed.port() != raw.ports.rpc {
            let reason = format!(
                "{seed} is this instance, but its `ports.rpc` is {}",
                raw.ports.rpc
            );
            return invalid("seeds", reason);
        }
    }
    Ok(())
}

fn check_url(key: &str, url: &str) -> Result<(), InvalidSetting> {
    let parsed = reqwest::Url::parse(url);
    if !parsed.is_ok_and(|u| u.scheme() == "http" && u.has_host()) {
        return invalid(key, "must be an http:// URL with a host");
    }
    Ok(())
}

// The gossip port is UDP, so it may have the number of a TCP port.
fn check_ports(p: &RawPorts) -> Result<(), InvalidSetting> {
    let tcp = [
        ("callers", p.callers),
        ("peers", p.peers),
        ("target", p.target),
        ("rpc", p.rpc),
        ("operator", p.operator),
    ];
    for (i, (name, port)) in tcp.iter().enumerate() {
        let other = tcp[..i].iter().find(|(_, o)| o == port && *port != 0);
        if let Some((other, _)) = other {
            let reason = format!("port {port} is used by `ports.{other}`");
            return invalid(format!("ports.{name}"), reason);
        }
    }
    Ok(())
}

fn key_ring(mesh: &str, raw: &RawKeys) -> Result<KeyRing, InvalidSetting> {
    let send = mesh_key("keys.send.secret", &raw.send)?;
    let also = match &raw.also {
        Some(k) => Some(mesh_key("keys.also.secret", k)?),
        None => None,
    };
    if raw
        .also
        .as_ref()
        .is_some_and(|k| k.number == raw.send.number)
    {
        let reason = format!("{} is the number of `keys.send`", raw.send.number);
        return invalid("keys.also.number", reason);
    }
    Ok(KeyRing::new(mesh, send, also))
}

fn mesh_key(key: &str, raw: &RawKey) -> Result<MeshKey, InvalidSetting> {
    let n = raw.secret.len();
    if n < MIN_SECRET_BYTES {
        let reason = format!("{n} bytes, a secret needs {MIN_SECRET_BYTES} or more");
        return invalid(key, reason);
    }
    Ok(MeshKey::new(raw.number, &raw.secret))
}

fn trace_cfg(raw: RawTrace, instance: &str) -> Result<TraceCfg, InvalidSetting> {
    check_url("trace.endpoint", &raw.endpoint)?;
    if !(0.0..=1.0).contains(&raw.sample) {
        return invalid(
            "trace.sample",
            format!("{} is not within 0 to 1", raw.sample),
        );
    }
    Ok(TraceCfg {
        endpoint: raw.endpoint,
        sample_ratio: raw.sample,
        instance: instance.to_owned(),
    })
}

fn statsd_cfg(raw: &RawMetrics) -> Result<Statsd, InvalidSetting> {
    if raw.statsd.ip().is_unspecified() || raw.statsd.port() == 0 {
        let reason = format!("{} does not name an address and a port", raw.statsd);
        return invalid("metrics.statsd", reason);
    }
    Ok(Statsd { addr: raw.statsd })
}
