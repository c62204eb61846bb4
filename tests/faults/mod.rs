//! Helpers of the tests with faults: an observer of versions, a relay of time, settings that change.
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

use crate::common::{Mesh, Proc, Spec, TEXT, spec};

/// Meshes of one test process that run at once; more would measure the machine.
const MESHES: usize = 3;
const OBSERVE: Duration = Duration::from_millis(50);
const STATE_TIMEOUT: Duration = Duration::from_millis(800);

pub const LOG_DOWN: LogFaults = LogFaults {
    down: true,
    lose_answers: 0,
    append_delay_ms: 0,
    retain: 0,
};

/// Waits for a turn to run a mesh.
pub async fn turn() -> SemaphorePermit<'static> {
    static TURNS: Semaphore = Semaphore::const_new(MESHES);
    TURNS.acquire().await.unwrap()
}

/// Two nodes in each of three failure domains, so that each node reads the log.
pub fn small() -> Vec<Spec> {
    const DOMAINS: [&str; 3] = ["pk-north-a", "pk-north-b", "pk-north-c"];
    (0..6)
        .map(|i| spec(["ledger-view", "title-desk"][i / 3], i % 3, DOMAINS[i % 3]))
        .collect()
}

/// The example text with another comment, so that each number gives another digest.
pub fn text(n: u64) -> String {
    format!("{TEXT}\n# edit {n}\n")
}

pub fn publication(base: u64, text: &str) -> (PublicationId, Record) {
    let id = PublicationId::from_random(rand::random());
    let text = text.to_owned();
    let base = Version(base);
    (id, Record::Publication(Publication { id, base, text }))
}

/// Appends raw records to the publication stream.
pub async fn append(mesh: &Mesh, raw: Vec<u8>) {
    let log = HttpLog::new(&mesh.log_url).unwrap();
    log.append(node::CONFIG_STREAM, vec![raw]).await.unwrap();
}

#[derive(Debug, Deserialize)]
pub struct Counts {
    pub appends: u64,
    pub reads: BTreeMap<String, u64>,
}

pub async fn counts(mesh: &Mesh) -> Counts {
    let url = format!("{}/counts", mesh.log_url);
    let res = mesh.client.get(url).send().await.unwrap();
    res.json().await.unwrap()
}

pub fn signal(mesh: &Mesh, i: usize, name: &str) {
    mesh.nodes[i].proc.as_ref().unwrap().signal(name);
}

/// Kills the nodes at once, without a chance to shut down.
pub fn kill_all(mesh: &mut Mesh, nodes: &[usize]) {
    for i in nodes {
        signal(mesh, *i, "KILL");
    }
    for i in nodes {
        mesh.kill_node(*i);
    }
}

/// Makes the log refuse all calls, and waits until those in progress have ended.
pub async fn log_down(mesh: &Mesh) {
    mesh.set_log_faults(LOG_DOWN).await;
}

pub async fn log_up(mesh: &Mesh) {
    mesh.set_log_faults(LogFaults::default()).await;
}

/// Changes the settings file of a node; takes effect at its next start.
pub fn edit_settings(mesh: &Mesh, i: usize, edit: impl FnOnce(String) -> String) {
    let name = format!("{}.toml", mesh.nodes[i].spec.name);
    let path: PathBuf = mesh.wrk.create("unused", "").with_file_name(&name);
    let old = std::fs::read_to_string(path).unwrap();
    mesh.wrk.create(&name, &edit(old));
}

pub async fn wait_for(mesh: &Mesh, nodes: &[usize], what: &str, f: impl Fn(&StateReport) -> bool) {
    for i in nodes {
        mesh.wait_state(*i, what, &f).await;
    }
}

pub fn everyone(mesh: &Mesh) -> Vec<usize> {
    (0..mesh.nodes.len()).collect()
}

pub fn in_domain(mesh: &Mesh, domain: &str) -> Vec<usize> {
    let own = |i: &usize| mesh.nodes[*i].spec.domain == domain;
    everyone(mesh).into_iter().filter(own).collect()
}

/// Returns the digests in force, each once.
pub async fn digests(mesh: &Mesh) -> Vec<String> {
    let mut all = Vec::new();
    for i in everyone(mesh) {
        all.push(mesh.state(i).await.expect("a state").digest);
    }
    all.sort();
    all.dedup();
    all
}

/// Starts nodes together and returns how long it takes until all are ready with the version.
pub async fn start_all(mesh: &mut Mesh, nodes: &[usize], version: u64) -> Duration {
    let began = Instant::now();
    for i in nodes {
        mesh.start_node(*i);
    }
    let has = |s: &StateReport| s.ready && s.version >= version;
    wait_for(mesh, nodes, "ready after restart", has).await;
    began.elapsed()
}

#[derive(Default)]
struct Seen {
    newest: BTreeMap<String, u64>,
    digests: BTreeMap<u64, String>,
    reports: u64,
    faults: Vec<String>,
}

impl Seen {
    fn note(&mut self, s: &StateReport) {
        self.reports += 1;
        let newest = self.newest.entry(s.name.clone()).or_default();
        let before = *newest;
        *newest = before.max(s.version);
        if s.version < before && (s.ready || s.version > 0) {
            let StateReport {
                name,
                version,
                ready,
                ..
            } = s;
            let fault = format!("{name} has version {version} (ready={ready}), had {before}");
            self.faults.push(fault);
        }
        let first = self.digests.entry(s.version).or_insert(s.digest.clone());
        if *first != s.digest {
            let fault = format!("{} has another digest for version {}", s.name, s.version);
            self.faults.push(fault);
        }
    }
}

/// Reads the state of all nodes in a loop and notes versions that went down, also across restarts,
/// and second digests of a version.
pub struct Observer {
    seen: Arc<Mutex<Seen>>,
    stop: CancellationToken,
    tasks: Vec<JoinHandle<()>>,
}

impl Observer {
    pub fn start(mesh: &Mesh) -> Observer {
        let seen = Arc::<Mutex<Seen>>::default();
        let stop = CancellationToken::new();
        let watch = |url: String| {
            let (seen, stop, client) = (seen.clone(), stop.clone(), mesh.client.clone());
            tokio::spawn(async move {
                while !stop.is_cancelled() {
                    let res = client.get(&url).timeout(STATE_TIMEOUT).send().await;
                    if let Ok(res) = res
                        && let Ok(s) = res.json::<StateReport>().await
                    {
                        seen.lock().note(&s);
                    }
                    tokio::time::sleep(OBSERVE).await;
                }
            })
        };
        let urls = mesh.nodes.iter().map(|n| n.operator() + "/state");
        let tasks = urls.map(watch).collect();
        Observer { seen, stop, tasks }
    }

    /// Stops, and fails if anything was wrong.
    pub async fn check(self) {
        self.stop.cancel();
        for t in self.tasks {
            t.await.unwrap();
        }
        let seen = std::mem::take(&mut *self.seen.lock());
        assert!(seen.reports > 0, "no state was observed");
        assert!(seen.faults.is_empty(), "{:#?}", seen.faults);
    }
}

/// Returns the resident memory of a process in bytes.
pub fn resident(proc: &Proc) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{}/status", proc.id())).unwrap();
    let line = status.lines().find(|l| l.starts_with("VmRSS:")).unwrap();
    let kb: u64 = line.split_whitespace().nth(1).unwrap().parse().unwrap();
    kb << 10
}

pub fn rpc_addr(mesh: &Mesh, i: usize) -> SocketAddr {
    SocketAddr::new(mesh.nodes[i].addr, 7103)
}

pub fn metric(s: &StateReport, name: &str) -> u64 {
    s.metrics.get(name).copied().unwrap_or_default()
}
