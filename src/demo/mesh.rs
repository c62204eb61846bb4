//! Nodes, targets and log of one site.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};

use config::{Publication, PublicationId, Record, Snapshot};
use fakes::{Announcer, FakeLog, LogServer, TargetCfg, TargetServer};
use node::{Addresses, Node, Settings};
use plat::{HttpLog, Log};
use wire::Version;

use super::site::Site;
use crate::util::{self, CliError, Result};

const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(500);
/// Pause between checks of a condition on all nodes.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Factors on the service time, assigned to the targets of a service in turn, as on hardware of
/// different ages.
const SERVICE_TIME_FACTORS: [f64; 3] = [1.0, 1.5, 2.0];

/// A node, its target, and the task that announces the target to the node.
pub(crate) struct Instance {
    pub(crate) service: &'static str,
    pub(crate) addresses: Addresses,
    node: Node,
    target: TargetServer,
    announcer: Announcer,
}

/// A running site.
pub(crate) struct Mesh {
    name: &'static str,
    log: LogServer,
    pub(crate) instances: Vec<Instance>,
}

impl Mesh {
    /// Starts the log, the nodes and the targets.
    pub(crate) async fn start(site: &Site, seed: u64) -> Result<Mesh> {
        let loopback = ([127, 0, 0, 1], 0).into();
        let log = LogServer::start(loopback, FakeLog::new())
            .await
            .map_err(util::failure)?;
        let mut mesh = Mesh {
            name: site.name,
            log,
            instances: Vec::new(),
        };
        for service in site.services {
            for i in 0..service.target_count {
                mesh.add_instance(site, service.name, i, seed).await?;
            }
        }
        Ok(mesh)
    }

    /// Starts instance `i` of a service. The first three nodes are the seeds of all later ones.
    async fn add_instance(
        &mut self,
        site: &Site,
        service: &'static str,
        i: usize,
        seed: u64,
    ) -> Result<()> {
        let seeds: Vec<String> = self
            .instances
            .iter()
            .take(3)
            .map(|p| format!("\"{}\"", p.addresses.rpc))
            .collect();
        let text = format!(
            r#"mesh = "{}"
name = "{service}-{i}"
service = "{service}"
region = "{}"
domain = "{}"
address = "127.0.0.1"
seeds = [{}]
random_seed = {seed}
log = {{ url = "{}" }}
ports = {{ callers = 0, peers = 0, target = 0, rpc = 0, gossip = 0, operator = 0 }}
keys = {{ send = {{ number = 1, secret = "demo-secret-of-this-process" }} }}
"#,
            site.name,
            site.region,
            site.domains[i % site.domains.len()],
            seeds.join(", "),
            self.log.url(),
        );
        let settings = Settings::try_from(text.as_str()).map_err(util::failure)?;
        let log = HttpLog::new(&settings.log_url).map_err(util::failure)?;
        let node = Node::start(settings, Arc::new(log))
            .await
            .map_err(util::failure)?;
        let cfg = TargetCfg {
            initial_service_time_factor: SERVICE_TIME_FACTORS[i % SERVICE_TIME_FACTORS.len()],
            ..TargetCfg::new(service, site.slots)
        };
        let loopback = ([127, 0, 0, 1], 0).into();
        let target = TargetServer::start(loopback, cfg)
            .await
            .map_err(util::failure)?;
        let addresses = node.addresses();
        let url = format!("http://{}", addresses.target);
        let announcer = Announcer::start(&url, service, target.addr(), ANNOUNCE_INTERVAL);
        let announcer = announcer.map_err(util::failure)?;
        self.instances.push(Instance {
            service,
            addresses,
            node,
            target,
            announcer,
        });
        Ok(())
    }

    /// Publishes `text`, based on the newest version in force on any node.
    pub(crate) async fn publish(&self, text: &str) -> Result<()> {
        Snapshot::compile(Version(1), self.name, text).map_err(util::failure)?;
        let base = self.versions().into_keys().max().unwrap_or(0);
        let id = PublicationId::from_random(rand::random());
        let text = text.to_owned();
        let record = Record::Publication(Publication {
            id,
            base: Version(base),
            text,
        });
        let raw = record.encode().map_err(util::failure)?;
        let appended = self.log.log().append(node::CONFIG_STREAM, vec![raw]).await;
        appended.map(|_| ()).map_err(util::failure)
    }

    /// Waits until `version` is in force on all nodes and returns how long that took.
    pub(crate) async fn wait_for_version(
        &self,
        version: u64,
        timeout: Duration,
    ) -> Result<Duration> {
        let in_force = |p: &Instance| p.node.is_ready() && p.node.version().0 >= version;
        self.wait_until(
            &format!("version {version} to be in force on all nodes"),
            timeout,
            in_force,
        )
        .await
    }

    /// Waits until each node knows all targets as ready and returns how long that took.
    pub(crate) async fn wait_for_targets(&self, timeout: Duration) -> Result<Duration> {
        let n = self.instances.len();
        self.wait_until("target discovery", timeout, |p| {
            p.node.ready_member_count() >= n
        })
        .await
    }

    /// Waits until `condition` holds for all instances; `what` describes it in the error.
    async fn wait_until(
        &self,
        what: &str,
        timeout: Duration,
        condition: impl Fn(&Instance) -> bool,
    ) -> Result<Duration> {
        let started_at = Instant::now();
        while !self.instances.iter().all(&condition) {
            if started_at.elapsed() > timeout {
                let reason = format!(
                    "{}: timed out after {timeout:?} waiting for {what}",
                    self.name
                );
                return Err(CliError::Failed { reason });
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Ok(started_at.elapsed())
    }

    /// Starts the drain of the target of the first instance and returns the index of that instance.
    pub(crate) async fn drain_first(&self) -> Result<usize> {
        let url = format!("http://{}/drain", self.instances[0].addresses.target);
        let client = util::http_client()?;
        client.post(url).send().await.map_err(util::failure)?;
        Ok(0)
    }

    /// Returns the number of requests that the target of an instance has started.
    pub(crate) fn started_requests(&self, instance: usize) -> u64 {
        self.instances[instance].target.stats().started
    }

    /// Returns the number of runs by idempotency key, over all targets.
    pub(crate) fn runs_by_key(&self) -> HashMap<String, u64> {
        let mut runs = HashMap::new();
        for p in &self.instances {
            for (key, n) in p.target.stats().runs_by_key {
                *runs.entry(key).or_default() += n;
            }
        }
        runs
    }

    /// Returns the number of nodes by version in force.
    pub(crate) fn versions(&self) -> BTreeMap<u64, usize> {
        let mut versions = BTreeMap::new();
        for p in &self.instances {
            *versions.entry(p.node.version().0).or_default() += 1;
        }
        versions
    }

    /// Returns the bytes of control traffic sent by all nodes.
    pub(crate) fn control_bytes_sent(&self) -> u64 {
        self.instances
            .iter()
            .map(|p| p.node.control_bytes_sent())
            .sum()
    }

    /// Returns the control traffic in bytes per node and second, given the total `before` and the
    /// time since.
    pub(crate) fn control_rate(&self, before: u64, elapsed: Duration) -> f64 {
        let sent = self.control_bytes_sent() - before;
        sent as f64 / self.instances.len() as f64 / elapsed.as_secs_f64()
    }

    /// Returns one line per node with the URLs of its caller and operator listeners.
    pub(crate) fn address_listing(&self) -> String {
        let mut out = format!("{}: log {}\n", self.name, self.log.url());
        for p in &self.instances {
            let (callers, operator) = (p.addresses.callers, p.addresses.operator);
            out += &format!(
                "  {:<14} http://{callers}  operator http://{operator}\n",
                p.service
            );
        }
        out
    }

    /// Stops the instances, then the log, and waits for their tasks to end.
    pub(crate) async fn stop(self) {
        let shutdowns = self.instances.into_iter().map(|p| async move {
            p.announcer.stop().await;
            p.node.shutdown().await;
            p.target.stop().await;
        });
        futures_util::future::join_all(shutdowns).await;
        self.log.stop().await;
    }
}
