//! A mesh of nodes inside this process, on loopback addresses.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use config::{Publication, PublicationId, Record};
use fakes::FakeLog;
use node::{NetworkFaults, Node, Settings};
use plat::{Batch, BoxFuture, Log, LogError};
use wire::{Offset, Version};

/// Number of failure domains of a mesh; nodes are assigned in turn.
pub(crate) const DOMAINS: usize = 3;
/// First two bytes of the node addresses; the second rises by one every 250 nodes. The third byte
/// is the failure domain.
const ADDRESS_PREFIX: [u8; 2] = [127, 90];
/// Interval between checks of a condition that all nodes have to meet.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Switches a network partition on and off that separates the first failure domain from the others
/// and from the log.
#[derive(Clone, Debug, Default)]
pub(crate) struct Partition(Arc<AtomicBool>);

impl Partition {
    pub(crate) fn set(&self, is_active: bool) {
        self.0.store(is_active, Ordering::SeqCst);
    }

    fn is_active(&self) -> bool {
        self.0.load(Ordering::SeqCst)
    }
}

/// The log as seen by a node in `domain`: unreachable from the first domain during a partition.
#[derive(Debug)]
struct PartitionedLog {
    log: FakeLog,
    partition: Partition,
    domain: usize,
}

impl PartitionedLog {
    fn check_reachable(&self) -> Result<(), LogError> {
        match self.domain == 0 && self.partition.is_active() {
            true => Err(LogError::NoUsableResponse {
                reason: "cut".to_owned(),
            }),
            false => Ok(()),
        }
    }
}

impl Log for PartitionedLog {
    fn append<'a>(
        &'a self,
        stream: &'a str,
        records: Vec<Vec<u8>>,
    ) -> BoxFuture<'a, Result<Offset, LogError>> {
        Box::pin(async move {
            self.check_reachable()?;
            self.log.append(stream, records).await
        })
    }

    fn read<'a>(
        &'a self,
        stream: &'a str,
        from: Offset,
        wait: Duration,
    ) -> BoxFuture<'a, Result<Batch, LogError>> {
        Box::pin(async move {
            self.check_reachable()?;
            let batch = self.log.read(stream, from, wait).await?;
            // The reply to a long poll is lost if the partition began during the wait.
            self.check_reachable()?;
            Ok(batch)
        })
    }
}

/// Nodes inside this process that share one fake log.
pub(crate) struct Mesh {
    pub(crate) log: FakeLog,
    pub(crate) nodes: Vec<Node>,
    pub(crate) partition: Partition,
    /// Share of sent datagrams that are lost, from 0 to 1.
    datagram_loss: f64,
    /// RPC addresses of the first `DOMAINS` nodes, one in each failure domain.
    seeds: Vec<SocketAddr>,
}

fn address(domain: usize, i: usize) -> IpAddr {
    let byte = |n: usize| u8::try_from(n).unwrap_or(u8::MAX);
    Ipv4Addr::new(
        ADDRESS_PREFIX[0],
        ADDRESS_PREFIX[1] + byte(i / 250),
        byte(domain),
        1 + byte(i % 250),
    )
    .into()
}

impl Mesh {
    pub(crate) fn new(datagram_loss: f64) -> Mesh {
        Mesh {
            log: FakeLog::new(),
            nodes: Vec::new(),
            partition: Partition::default(),
            datagram_loss,
            seeds: Vec::new(),
        }
    }

    /// Starts the next node, as a target-side node of `service`.
    pub(crate) async fn start_node(&mut self, service: &str) -> &Node {
        let i = self.nodes.len();
        let domain = i % DOMAINS;
        let mut settings = settings(service, domain, i, &self.seeds);
        let partition = self.partition.clone();
        let is_unreachable = move |to: SocketAddr| {
            let IpAddr::V4(ip) = to.ip() else {
                return false;
            };
            partition.is_active() && (domain == 0) != (ip.octets()[2] == 0)
        };
        settings.faults = NetworkFaults {
            datagram_loss: self.datagram_loss,
            is_cut_off: Some(Arc::new(is_unreachable)),
        };
        let log = PartitionedLog {
            log: self.log.clone(),
            partition: self.partition.clone(),
            domain,
        };
        let node = Node::start(settings, Arc::new(log))
            .await
            .expect("node failed to start");
        if self.seeds.len() < DOMAINS {
            self.seeds.push(node.addresses().rpc);
        }
        self.nodes.push(node);
        &self.nodes[i]
    }

    /// Appends a publication of the configuration text `text` that is based on version `base`.
    pub(crate) async fn publish(&self, base: u64, text: &str) {
        let id = PublicationId::from_random(rand::random());
        let publication = Publication {
            id,
            base: Version(base),
            text: text.to_owned(),
        };
        let raw = Record::Publication(publication)
            .encode()
            .expect("publication cannot be encoded");
        self.log
            .append(node::CONFIG_STREAM, vec![raw])
            .await
            .expect("fake log refused the publication");
    }

    /// Waits until each node is ready with at least `version`. Returns the time taken, or `None` if
    /// that exceeds `within`.
    pub(crate) async fn wait_for_version(
        &self,
        version: u64,
        within: Duration,
    ) -> Option<Duration> {
        let has_version = |n: &Node| n.is_ready() && n.version().0 >= version;
        self.wait_for_all(within, has_version).await
    }

    /// Waits until each node lists all the others as members. Returns the time taken, or `None` if
    /// that exceeds `within`.
    pub(crate) async fn wait_for_members(&self, within: Duration) -> Option<Duration> {
        let count = self.nodes.len();
        self.wait_for_all(within, |n| n.live_member_count() >= count)
            .await
    }

    async fn wait_for_all(
        &self,
        within: Duration,
        is_met: impl Fn(&Node) -> bool,
    ) -> Option<Duration> {
        let started = Instant::now();
        while !self.nodes.iter().all(&is_met) {
            if started.elapsed() > within {
                return None;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Some(started.elapsed())
    }

    /// Returns the control bytes sent by all nodes so far.
    pub(crate) fn control_bytes_sent(&self) -> u64 {
        self.nodes.iter().map(Node::control_bytes_sent).sum()
    }

    pub(crate) async fn stop(self) {
        futures_util::future::join_all(self.nodes.into_iter().map(Node::shutdown)).await;
    }
}

fn settings(service: &str, domain: usize, i: usize, seeds: &[SocketAddr]) -> Settings {
    let seeds: Vec<String> = seeds.iter().map(|s| format!("\"{s}\"")).collect();
    let text = format!(
        r#"mesh = "bench"
name = "{service}-{i}"
service = "{service}"
region = "r"
domain = "d{domain}"
address = "{}"
seeds = [{}]
random_seed = 1
log = {{ url = "http://127.0.0.1:1" }}
ports = {{ callers = 0, peers = 0, target = 0, rpc = 0, gossip = 0, operator = 0 }}
keys = {{ send = {{ number = 1, secret = "secret-of-the-benchmark" }} }}
"#,
        address(domain, i),
        seeds.join(", "),
    );
    Settings::try_from(text.as_str()).expect("settings of a bench node are not valid")
}

/// Returns a configuration text with `services` services of one route each. Texts differ by `edit`.
pub(crate) fn config_text(services: usize, edit: u64) -> String {
    let mut out = String::from("format = 1\nmesh = \"bench\"\n");
    for i in 0..services {
        // In each version one service has a queue limit of its own, as in an ordinary publication.
        let queue = if i as u64 == edit % services as u64 {
            64 + edit % 100
        } else {
            64
        };
        out += &format!(
            "\n[[service]]\nname = \"s{i}\"\nslots = 64\nconnections = 256\nqueue = {queue}\n\n\
             [[route]]\nprefix = \"/s{i}\"\nservice = \"s{i}\"\nrepeat = \"safe\"\ntimeout_ms = 2000\n"
        );
    }
    out
}
