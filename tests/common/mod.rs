//! Helpers for tests that run nodes, targets and the log as real processes.
#![allow(
    dead_code,
    unreachable_pub,
    missing_docs,
    missing_debug_implementations
)]

use std::io::{BufRead, BufReader};
use std::net::{IpAddr, Ipv4Addr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::{Duration, Instant};

use fakes::{LogFaults, TargetStats};
use node::StateReport;

pub const CONFIG_TEXT: &str = include_str!("../../examples/indus-vale.toml");
const READY_TIMEOUT: Duration = Duration::from_secs(15);
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Temporary directory of one test, in which its commands run; removed on drop.
pub struct Workdir {
    dir: PathBuf,
}

impl Workdir {
    pub fn new(name: &str) -> Workdir {
        let dir =
            Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}-{}", std::process::id()));
        std::fs::create_dir_all(&dir).unwrap();
        Workdir { dir }
    }

    pub fn path(&self, name: &str) -> PathBuf {
        self.dir.join(name)
    }

    pub fn create(&self, name: &str, text: &str) -> PathBuf {
        let path = self.dir.join(name);
        std::fs::write(&path, text).unwrap();
        path
    }

    pub fn command(&self, name: &str) -> Command {
        let mut cmd = Command::new(env!("CARGO_BIN_EXE_briarlug"));
        cmd.current_dir(&self.dir).arg(name);
        cmd
    }
}

impl Drop for Workdir {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

pub fn stdout(out: &Output) -> String {
    String::from_utf8_lossy(&out.stdout).into_owned()
}

pub fn stderr(out: &Output) -> String {
    String::from_utf8_lossy(&out.stderr).into_owned()
}

/// Child process, killed on drop.
pub struct Proc {
    child: Child,
}

impl Proc {
    pub fn spawn(cmd: &mut Command) -> Proc {
        Proc {
            child: cmd.stdin(Stdio::null()).spawn().unwrap(),
        }
    }

    /// Starts a fake server and returns it with the address that it prints on its first line.
    pub fn spawn_listening(cmd: &mut Command) -> (Proc, String) {
        let mut proc = Proc::spawn(cmd.stdout(Stdio::piped()));
        let mut line = String::new();
        BufReader::new(proc.child.stdout.take().unwrap())
            .read_line(&mut line)
            .unwrap();
        let addr = line
            .trim()
            .strip_prefix("listening ")
            .expect("the fake server did not print `listening ADDRESS`");
        (proc, addr.to_owned())
    }

    pub fn id(&self) -> u32 {
        self.child.id()
    }

    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let status = Command::new("kill")
            .args(["-s", name, &id])
            .status()
            .unwrap();
        assert!(status.success());
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Returns the exit code; `None` after the time-out, or when a signal ended the process.
    pub fn wait_exit(&mut self, within: Duration) -> Option<i32> {
        let until = Instant::now() + within;
        while Instant::now() < until {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status.code();
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        None
    }
}

impl Drop for Proc {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Name, service and failure domain of a node.
#[derive(Clone)]
pub struct NodeSpec {
    pub name: String,
    pub service: &'static str,
    pub domain: &'static str,
}

pub fn spec(service: &'static str, n: usize, domain: &'static str) -> NodeSpec {
    NodeSpec {
        name: format!("{service}-{n}"),
        service,
        domain,
    }
}

/// Three services with 12 nodes in three failure domains, as in the example configuration.
pub fn registry() -> Vec<NodeSpec> {
    const DOMAINS: [&str; 3] = ["pk-north-a", "pk-north-b", "pk-north-c"];
    let services = [("ledger-view", 4), ("title-desk", 3), ("gauge-vault", 5)];
    let of = |(s, n): (&'static str, usize)| (0..n).map(move |i| spec(s, i, DOMAINS[i % 3]));
    services.into_iter().flat_map(of).collect()
}

/// A node and its target. A process is `None` while it is not running.
pub struct TestNode {
    pub spec: NodeSpec,
    pub addr: IpAddr,
    settings: PathBuf,
    pub proc: Option<Proc>,
    pub target: Option<Proc>,
    pub target_url: String,
}

const CALLERS_PORT: u16 = 7100;
const PEERS_PORT: u16 = 7101;
const TARGET_PORT: u16 = 7102;
const RPC_PORT: u16 = 7103;
const GOSSIP_PORT: u16 = 7104;
const OPERATOR_PORT: u16 = 7105;

impl TestNode {
    pub fn url(&self, path: &str) -> String {
        format!("http://{}:{CALLERS_PORT}{path}", self.addr)
    }

    pub fn operator_url(&self) -> String {
        format!("http://{}:{OPERATOR_PORT}", self.addr)
    }

    pub fn target_listener_url(&self) -> String {
        format!("http://{}:{TARGET_PORT}", self.addr)
    }

    pub fn gossip_addr(&self) -> String {
        format!("{}:{GOSSIP_PORT}", self.addr)
    }
}

/// Returns a loopback address that is unique per node and test process, so that all nodes can use
/// the same ports and concurrent tests don't collide.
fn next_addr() -> IpAddr {
    static NEXT: AtomicU8 = AtomicU8::new(1);
    let [.., b, c] = std::process::id().to_be_bytes();
    let last = NEXT.fetch_add(1, Ordering::SeqCst);
    assert!(
        last < 250,
        "more than 249 node addresses in one test process"
    );
    Ipv4Addr::new(127, 16 + b % 200, c, last).into()
}

/// A mesh of real processes with a fake log server.
pub struct Mesh {
    pub wrk: Workdir,
    pub log: Proc,
    pub log_url: String,
    pub nodes: Vec<TestNode>,
    pub client: reqwest::Client,
    extra_settings: String,
}

impl Mesh {
    /// Starts the log, the nodes and the targets, without publishing a configuration.
    pub fn start(name: &str, specs: &[NodeSpec]) -> Mesh {
        Mesh::start_with(name, specs, "")
    }

    /// Like `start`, with more TOML at the end of each node's settings file.
    pub fn start_with(name: &str, specs: &[NodeSpec], extra_settings: &str) -> Mesh {
        let wrk = Workdir::new(name);
        let (log, addr) = Proc::spawn_listening(wrk.command("fake").arg("log"));
        let client = reqwest::Client::builder()
            .no_proxy()
            .timeout(Duration::from_secs(30))
            .build()
            .unwrap();
        let mut mesh = Mesh {
            wrk,
            log,
            log_url: format!("http://{addr}"),
            nodes: Vec::new(),
            client,
            extra_settings: extra_settings.to_owned(),
        };
        let addrs: Vec<IpAddr> = specs.iter().map(|_| next_addr()).collect();
        let seeds: Vec<String> = addrs
            .iter()
            .take(3)
            .map(|a| format!("\"{a}:{RPC_PORT}\""))
            .collect();
        for (spec, addr) in specs.iter().zip(&addrs) {
            mesh.add(spec, *addr, &seeds.join(", "));
        }
        mesh
    }

    fn add(&mut self, spec: &NodeSpec, addr: IpAddr, seeds: &str) {
        let NodeSpec {
            name,
            service,
            domain,
        } = spec;
        let (log, extra) = (&self.log_url, &self.extra_settings);
        let text = format!(
            r#"mesh = "indus-vale"
name = "{name}"
service = "{service}"
region = "pk-north"
domain = "{domain}"
address = "{addr}"
seeds = [{seeds}]

[log]
url = "{log}"

[ports]
callers = {CALLERS_PORT}
peers = {PEERS_PORT}
target = {TARGET_PORT}
rpc = {RPC_PORT}
gossip = {GOSSIP_PORT}
operator = {OPERATOR_PORT}

[keys.send]
number = 1
secret = "not-a-secret-for-tests"
{extra}"#
        );
        let settings = self.wrk.create(&format!("{name}.toml"), &text);
        self.nodes.push(TestNode {
            spec: spec.clone(),
            addr,
            settings,
            proc: None,
            target: None,
            target_url: String::new(),
        });
        let i = self.nodes.len() - 1;
        self.start_node(i);
        self.start_target(i);
    }

    pub fn start_node(&mut self, i: usize) {
        let mut cmd = self.wrk.command("node");
        cmd.arg("--settings").arg(&self.nodes[i].settings);
        cmd.env(
            "RUST_LOG",
            std::env::var("RUST_LOG").unwrap_or_else(|_| "off".to_owned()),
        );
        self.nodes[i].proc = Some(Proc::spawn(&mut cmd));
    }

    pub fn start_target(&mut self, i: usize) {
        let mut cmd = self.wrk.command("fake");
        let node = &self.nodes[i];
        cmd.args([
            "target",
            "--service",
            node.spec.service,
            "--node",
            &node.target_listener_url(),
        ]);
        let (proc, addr) = Proc::spawn_listening(&mut cmd);
        self.nodes[i].target = Some(proc);
        self.nodes[i].target_url = format!("http://{addr}");
    }

    /// Kills the node process; its target keeps running.
    pub fn kill_node(&mut self, i: usize) {
        self.nodes[i].proc = None;
    }

    /// Runs `briarlug publish` with the configuration text and returns its output.
    pub fn publish(&self, text: &str, args: &[&str]) -> Output {
        let file = self.wrk.create("published.toml", text);
        self.wrk
            .command("publish")
            .arg(file)
            .args(["--log", &self.log_url])
            .args(args)
            .output()
            .unwrap()
    }

    /// Publishes the example configuration and waits until it is in force and all members are
    /// ready.
    pub async fn publish_and_wait_ready(&self) {
        let out = self.publish(CONFIG_TEXT, &[]);
        assert!(out.status.success(), "{}", stderr(&out));
        self.wait_for_version(1).await;
        self.wait_for_ready_members().await;
    }

    /// Reads the state from the operator listener; `None` if the node doesn't respond.
    pub async fn state(&self, i: usize) -> Option<StateReport> {
        let res = self
            .client
            .get(format!("{}/state", self.nodes[i].operator_url()))
            .send()
            .await;
        res.ok()?.json().await.ok()
    }

    /// Waits until each running node is ready with this version or a later one in force.
    pub async fn wait_for_version(&self, version: u64) {
        for i in 0..self.nodes.len() {
            if self.nodes[i].proc.is_some() {
                let has = |s: &StateReport| s.ready && s.version >= version;
                self.wait_for_state(i, "version", has).await;
            }
        }
    }

    /// Waits until each running node lists as many ready members as there are running nodes.
    pub async fn wait_for_ready_members(&self) {
        let running = self.nodes.iter().filter(|n| n.proc.is_some()).count();
        for i in 0..self.nodes.len() {
            if self.nodes[i].proc.is_some() {
                let all = |s: &StateReport| {
                    s.members.iter().filter(|m| m.state == "ready").count() >= running
                };
                self.wait_for_state(i, "all members ready", all).await;
            }
        }
    }

    /// Waits until the state of a node meets the condition; panics with the last state on time-out.
    pub async fn wait_for_state(
        &self,
        i: usize,
        what: &str,
        wanted: impl Fn(&StateReport) -> bool,
    ) {
        let until = Instant::now() + READY_TIMEOUT;
        loop {
            let state = self.state(i).await;
            if state.as_ref().is_some_and(&wanted) {
                return;
            }
            let name = &self.nodes[i].spec.name;
            assert!(
                Instant::now() < until,
                "{name} did not reach the state '{what}' within {READY_TIMEOUT:?}: {state:#?}"
            );
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    pub async fn set_log_faults(&self, faults: LogFaults) {
        let url = format!("{}/faults", self.log_url);
        let res = self.client.post(url).json(&faults).send().await.unwrap();
        assert!(res.status().is_success());
    }

    pub async fn target_stats(&self, i: usize) -> TargetStats {
        let url = format!("{}/stats", self.nodes[i].target_url);
        self.client
            .get(url)
            .send()
            .await
            .unwrap()
            .json()
            .await
            .unwrap()
    }

    /// Returns how often the targets that respond have run the request with this key, in total.
    pub async fn total_runs(&self, key: &str) -> u64 {
        let mut runs = 0;
        for node in &self.nodes {
            let url = format!("{}/stats", node.target_url);
            if let Ok(res) = self.client.get(url).send().await {
                let stats: TargetStats = res.json().await.unwrap();
                runs += stats.runs_by_key.get(key).copied().unwrap_or(0);
            }
        }
        runs
    }

    /// Returns the indexes of the nodes of a service.
    pub fn nodes_of(&self, service: &str) -> Vec<usize> {
        let own = |i: &usize| self.nodes[*i].spec.service == service;
        (0..self.nodes.len()).filter(own).collect()
    }
}
