//! Helpers for fault tests: a limit on concurrent meshes, log outages, node restarts, edited
//! settings, and an observer of configuration versions.
#![allow(dead_code, unreachable_pub, missing_debug_implementations)]

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant};

use config::{Publication, PublicationId, Record};
use fakes::LogFaults;
use node::StateReport;
use parking_lot::Mutex;
use plat::{HttpLog, Log};
use serde::Deserialize;
use tokio::sync::{Semaphore, SemaphorePermit};
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;
use wire::Version;

use crate::common::{CONFIG_TEXT, Mesh, NodeSpec, Proc, spec};

/// Limit on concurrent meshes per test process; with more, time bounds fail for lack of CPU time.
const MAX_CONCURRENT_MESHES: usize = 3;
const OBSERVE_INTERVAL: Duration = Duration::from_millis(50);
const STATE_TIMEOUT: Duration = Duration::from_millis(800);

pub const LOG_DOWN: LogFaults = LogFaults {
    down: true,
    lose_answers: 0,
    append_delay_ms: 0,
    retain: 0,
};

/// Waits until fewer than `MAX_CONCURRENT_MESHES` meshes run in this process. A mesh counts as long
/// as its permit is held.
pub async fn mesh_permit() -> SemaphorePermit<'static> {
    static PERMITS: Semaphore = Semaphore::const_new(MAX_CONCURRENT_MESHES);
    PERMITS.acquire().await.unwrap()
}

/// Six nodes, two in each of three failure domains. Two nodes per domain read the log, so here all
/// do.
pub fn six_node_specs() -> Vec<NodeSpec> {
    const DOMAINS: [&str; 3] = ["pk-north-a", "pk-north-b", "pk-north-c"];
    (0..6)
        .map(|i| spec(["ledger-view", "title-desk"][i / 3], i % 3, DOMAINS[i % 3]))
        .collect()
}

/// Returns the example configuration with a comment that gives each `n` a different digest.
pub fn config_text(n: u64) -> String {
    format!("{CONFIG_TEXT}\n# edit {n}\n")
}

/// Returns a publication record with a random id, and the id.
pub fn publication(base: u64, text: &str) -> (PublicationId, Record) {
    let id = PublicationId::from_random(rand::random());
    let text = text.to_owned();
    let base = Version(base);
    (id, Record::Publication(Publication { id, base, text }))
}

/// Appends an encoded record to the configuration stream without validating it.
pub async fn append_raw(mesh: &Mesh, raw: Vec<u8>) {
    let log = HttpLog::new(&mesh.log_url).unwrap();
    log.append(node::CONFIG_STREAM, vec![raw]).await.unwrap();
}

/// Requests that the fake log has received.
#[derive(Debug, Deserialize)]
pub struct LogCounts {
    pub appends: u64,
    /// Reads by stream name.
    pub reads: BTreeMap<String, u64>,
}

pub async fn log_counts(mesh: &Mesh) -> LogCounts {
    let url = format!("{}/counts", mesh.log_url);
    let res = mesh.client.get(url).send().await.unwrap();
    res.json().await.unwrap()
}

pub fn signal_node(mesh: &Mesh, i: usize, name: &str) {
    mesh.nodes[i].proc.as_ref().unwrap().signal(name);
}

/// Sends SIGKILL to all nodes, then waits for their exit, so that they die at the same time.
pub fn kill_nodes(mesh: &mut Mesh, nodes: &[usize]) {
    for i in nodes {
        signal_node(mesh, *i, "KILL");
    }
    for i in nodes {
        mesh.kill_node(*i);
    }
}

/// Makes the log refuse all calls; returns when the calls in progress have ended.
pub async fn make_log_unavailable(mesh: &Mesh) {
    mesh.set_log_faults(LOG_DOWN).await;
}

pub async fn restore_log(mesh: &Mesh) {
    mesh.set_log_faults(LogFaults::default()).await;
}

/// Rewrites the settings file of a node; takes effect at its next start.
pub fn edit_settings(mesh: &Mesh, i: usize, edit: impl FnOnce(String) -> String) {
    let name = format!("{}.toml", mesh.nodes[i].spec.name);
    let path: PathBuf = mesh.wrk.create("unused", "").with_file_name(&name);
    let old = std::fs::read_to_string(path).unwrap();
    mesh.wrk.create(&name, &edit(old));
}

/// Waits until the state of each of the nodes meets the condition.
pub async fn wait_for_nodes(
    mesh: &Mesh,
    nodes: &[usize],
    what: &str,
    f: impl Fn(&StateReport) -> bool,
) {
    for i in nodes {
        mesh.wait_for_state(*i, what, &f).await;
    }
}

pub fn all_nodes(mesh: &Mesh) -> Vec<usize> {
    (0..mesh.nodes.len()).collect()
}

pub fn nodes_in_domain(mesh: &Mesh, domain: &str) -> Vec<usize> {
    let own = |i: &usize| mesh.nodes[*i].spec.domain == domain;
    all_nodes(mesh).into_iter().filter(own).collect()
}

/// Returns the distinct configuration digests in force over all nodes.
pub async fn active_digests(mesh: &Mesh) -> Vec<String> {
    let mut all = Vec::new();
    for i in all_nodes(mesh) {
        all.push(
            mesh.state(i)
                .await
                .expect("no response from the operator listener")
                .digest,
        );
    }
    all.sort();
    all.dedup();
    all
}

/// Starts the nodes at the same time and returns the time until all are ready with the version.
pub async fn start_nodes(mesh: &mut Mesh, nodes: &[usize], version: u64) -> Duration {
    let began = Instant::now();
    for i in nodes {
        mesh.start_node(*i);
    }
    let has = |s: &StateReport| s.ready && s.version >= version;
    wait_for_nodes(mesh, nodes, "ready with the version after the start", has).await;
    began.elapsed()
}

#[derive(Default)]
struct Observations {
    /// Highest version by node name.
    highest_version: BTreeMap<String, u64>,
    /// First digest reported for each version.
    digests: BTreeMap<u64, String>,
    /// State reports received from all nodes.
    reports: u64,
    violations: Vec<String>,
}

impl Observations {
    fn record(&mut self, s: &StateReport) {
        self.reports += 1;
        let highest_version = self.highest_version.entry(s.name.clone()).or_default();
        let before = *highest_version;
        *highest_version = before.max(s.version);
        if s.version < before && (s.ready || s.version > 0) {
            let StateReport {
                name,
                version,
                ready,
                ..
            } = s;
            let violation =
                format!("{name} decreased from version {before} to {version} (ready={ready})");
            self.violations.push(violation);
        }
        let first = self.digests.entry(s.version).or_insert(s.digest.clone());
        if *first != s.digest {
            let violation = format!(
                "{} reports a different digest for version {} than another node",
                s.name, s.version
            );
            self.violations.push(violation);
        }
    }
}

/// Polls the state of all nodes. Records each version that decreases, also across a restart, and
/// each version with two different digests.
pub struct Observer {
    seen: Arc<Mutex<Observations>>,
    stop: CancellationToken,
    tasks: Vec<JoinHandle<()>>,
}

impl Observer {
    pub fn start(mesh: &Mesh) -> Observer {
        let seen = Arc::<Mutex<Observations>>::default();
        let stop = CancellationToken::new();
        let watch = |url: String| {
            let (seen, stop, client) = (seen.clone(), stop.clone(), mesh.client.clone());
            tokio::spawn(async move {
                while !stop.is_cancelled() {
                    let res = client.get(&url).timeout(STATE_TIMEOUT).send().await;
                    if let Ok(res) = res
                        && let Ok(s) = res.json::<StateReport>().await
                    {
                        seen.lock().record(&s);
                    }
                    tokio::time::sleep(OBSERVE_INTERVAL).await;
                }
            })
        };
        let urls = mesh.nodes.iter().map(|n| n.operator_url() + "/state");
        let tasks = urls.map(watch).collect();
        Observer { seen, stop, tasks }
    }

    /// Stops polling and panics if a violation, or no state at all, was observed.
    pub async fn stop_and_check(self) {
        self.stop.cancel();
        for t in self.tasks {
            t.await.unwrap();
        }
        let seen = std::mem::take(&mut *self.seen.lock());
        assert!(seen.reports > 0, "no node reported its state");
        assert!(seen.violations.is_empty(), "{:#?}", seen.violations);
    }
}

/// Returns the resident memory of a process in bytes.
pub fn resident_bytes(proc: &Proc) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{}/status", proc.id())).unwrap();
    let line = status.lines().find(|l| l.starts_with("VmRSS:")).unwrap();
    let kb: u64 = line.split_whitespace().nth(1).unwrap().parse().unwrap();
    kb << 10
}

pub fn rpc_addr(mesh: &Mesh, i: usize) -> SocketAddr {
    SocketAddr::new(mesh.nodes[i].addr, 7103)
}

pub fn metric_value(s: &StateReport, name: &str) -> u64 {
    s.metrics.get(name).copied().unwrap_or_default()
}
