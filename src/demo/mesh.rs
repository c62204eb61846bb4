//! Nodes, targets and the log of one site.

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

const ANNOUNCE_EVERY: Duration = Duration::from_millis(500);
const POLL: Duration = Duration::from_millis(5);
/// Slowness of the targets of a service in turn: they were bought over years.
const SLOWNESS: [f64; 3] = [1.0, 1.5, 2.0];

/// A node with its target.
pub(crate) struct Place {
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
    pub(crate) places: Vec<Place>,
}

impl Mesh {
    /// Starts the log, the nodes and the targets.
    pub(crate) async fn start(site: &Site, seed: u64) -> Result<Mesh> {
        let any = ([127, 0, 0, 1], 0).into();
        let log = LogServer::start(any, FakeLog::new())
            .await
            .map_err(util::failed)?;
        let mut mesh = Mesh {
            name: site.name,
            log,
            places: Vec::new(),
        };
        for service in site.services {
            for i in 0..service.targets {
                mesh.add(site, service.name, i, seed).await?;
            }
        }
        Ok(mesh)
    }

    async fn add(&mut self, site: &Site, service: &'static str, i: usize, seed: u64) -> Result<()> {
        let seeds: Vec<String> = self
            .places
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
        let settings = Settings::try_from(text.as_str()).map_err(util::failed)?;
        let log = HttpLog::new(&settings.log_url).map_err(util::failed)?;
        let node = Node::start(settings, Arc::new(log))
            .await
            .map_err(util::failed)?;
        let cfg = TargetCfg {
            initial_service_time_factor: SLOWNESS[i % SLOWNESS.len()],
            ..TargetCfg::new(service, site.slots)
        };
        let any = ([127, 0, 0, 1], 0).into();
        let target = TargetServer::start(any, cfg).await.map_err(util::failed)?;
        let addresses = node.addresses();
        let url = format!("http://{}", addresses.target);
        let announcer = Announcer::start(&url, service, target.addr(), ANNOUNCE_EVERY);
        let announcer = announcer.map_err(util::failed)?;
        self.places.push(Place {
            service,
            addresses,
            node,
            target,
            announcer,
        });
        Ok(())
    }

    /// Publishes `text` on the current version.
    pub(crate) async fn publish(&self, text: &str) -> Result<()> {
        Snapshot::compile(Version(1), self.name, text).map_err(util::failed)?;
        let base = self.versions().into_keys().max().unwrap_or(0);
        let id = PublicationId::from_random(rand::random());
        let text = text.to_owned();
        let record = Record::Publication(Publication {
            id,
            base: Version(base),
            text,
        });
        let raw = record.encode().map_err(util::failed)?;
        let appended = self.log.log().append(node::CONFIG_STREAM, vec![raw]).await;
        appended.map(|_| ()).map_err(util::failed)
    }

    /// Waits until each node has `version` in force and returns how long that took.
    pub(crate) async fn wait_version(&self, version: u64, within: Duration) -> Result<Duration> {
        let all = |p: &Place| p.node.is_ready() && p.node.version().0 >= version;
        self.wait(
            &format!("version {version} in force on all nodes"),
            within,
            all,
        )
        .await
    }

    /// Waits until each node knows all targets as ready.
    pub(crate) async fn wait_targets(&self, within: Duration) -> Result<Duration> {
        let n = self.places.len();
        self.wait("all targets known", within, |p| p.node.ready_members() >= n)
            .await
    }

    async fn wait(
        &self,
        what: &str,
        within: Duration,
        reached: impl Fn(&Place) -> bool,
    ) -> Result<Duration> {
        let began = Instant::now();
        while !self.places.iter().all(&reached) {
            if began.elapsed() > within {
                let reason = format!("{}: {what}: not within {within:?}", self.name);
                return Err(CliError::Failed { reason });
            }
            tokio::time::sleep(POLL).await;
        }
        Ok(began.elapsed())
    }

    /// Lets the target of the first place drain and returns its position.
    pub(crate) async fn drain_one(&self) -> Result<usize> {
        let url = format!("http://{}/drain", self.places[0].addresses.target);
        let client = util::http_client()?;
        client.post(url).send().await.map_err(util::failed)?;
        Ok(0)
    }

    /// Returns how many requests a target has begun.
    pub(crate) fn started(&self, place: usize) -> u64 {
        self.places[place].target.stats().started
    }

    /// Returns the number of runs of each key over all targets.
    pub(crate) fn runs_by_key(&self) -> HashMap<String, u64> {
        let mut runs = HashMap::new();
        for p in &self.places {
            for (key, n) in p.target.stats().runs_by_key {
                *runs.entry(key).or_default() += n;
            }
        }
        runs
    }

    /// Returns the number of nodes for each version in force.
    pub(crate) fn versions(&self) -> BTreeMap<u64, usize> {
        let mut versions = BTreeMap::new();
        for p in &self.places {
            *versions.entry(p.node.version().0).or_default() += 1;
        }
        versions
    }

    /// Returns the control bytes that all nodes have sent.
    pub(crate) fn control_bytes(&self) -> u64 {
        self.places.iter().map(|p| p.node.control_bytes()).sum()
    }

    /// Returns the control bytes per node and second since `before`.
    pub(crate) fn rate(&self, before: u64, elapsed: Duration) -> f64 {
        let sent = self.control_bytes() - before;
        sent as f64 / self.places.len() as f64 / elapsed.as_secs_f64()
    }

    /// Returns the addresses for callers and operators.
    pub(crate) fn listing(&self) -> String {
        let mut out = format!("{}: log {}\n", self.name, self.log.url());
        for p in &self.places {
            let (callers, operator) = (p.addresses.callers, p.addresses.operator);
            out += &format!(
                "  {:<14} http://{callers}  operator http://{operator}\n",
                p.service
            );
        }
        out
    }

    /// Stops everything and joins it.
    pub(crate) async fn stop(self) {
        let leaving = self.places.into_iter().map(|p| async move {
            p.announcer.stop().await;
            p.node.shutdown().await;
            p.target.stop().await;
        });
        futures_util::future::join_all(leaving).await;
        self.log.stop().await;
    }
}
