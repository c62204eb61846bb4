//! Nodes inside this process.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use config::{Publication, PublicationId, Record};
use fakes::FakeLog;
use node::{Faults, Node, Settings};
use plat::{Batch, BoxFuture, Log, LogError};
use wire::{Offset, Version};

/// Failure domains of the meshes.
pub(crate) const DOMAINS: usize = 3;
/// First two bytes of the addresses of the nodes; the third one is the failure domain.
const NET: [u8; 2] = [127, 90];
const POLL: Duration = Duration::from_millis(2);

/// A switch that cuts the first failure domain off from the others and from the log.
#[derive(Clone, Debug, Default)]
pub(crate) struct Cut(Arc<AtomicBool>);

impl Cut {
    pub(crate) fn set(&self, cut: bool) {
        self.0.store(cut, Ordering::SeqCst);
    }

    fn is_set(&self) -> bool {
        self.0.load(Ordering::SeqCst)
    }
}

/// The log as a node of one failure domain reaches it.
#[derive(Debug)]
struct CutLog {
    log: FakeLog,
    cut: Cut,
    domain: usize,
}

impl CutLog {
    fn check(&self) -> Result<(), LogError> {
        match self.domain == 0 && self.cut.is_set() {
            true => Err(LogError::NoAnswer {
                reason: "cut".to_owned(),
            }),
            false => Ok(()),
        }
    }
}

impl Log for CutLog {
    fn append<'a>(
        &'a self,
        stream: &'a str,
        records: Vec<Vec<u8>>,
    ) -> BoxFuture<'a, Result<Offset, LogError>> {
        Box::pin(async move {
            self.check()?;
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
            self.check()?;
            let batch = self.log.read(stream, from, wait).await?;
            // An answer that was waited for does not cross a cut that came meanwhile.
            self.check()?;
            Ok(batch)
        })
    }
}

/// Nodes inside this process that share a log stand-in.
pub(crate) struct Mesh {
    pub(crate) log: FakeLog,
    pub(crate) nodes: Vec<Node>,
    pub(crate) cut: Cut,
    loss: f64,
    seeds: Vec<SocketAddr>,
}

fn address(domain: usize, i: usize) -> IpAddr {
    let byte = |n: usize| u8::try_from(n).unwrap_or(u8::MAX);
    Ipv4Addr::new(
        NET[0],
        NET[1] + byte(i / 250),
        byte(domain),
        1 + byte(i % 250),
    )
    .into()
}

impl Mesh {
    pub(crate) fn new(loss: f64) -> Mesh {
        Mesh {
            log: FakeLog::new(),
            nodes: Vec::new(),
            cut: Cut::default(),
            loss,
            seeds: Vec::new(),
        }
    }

    /// Starts the next node, beside a target of `service`.
    pub(crate) async fn add(&mut self, service: &str) -> &Node {
        let i = self.nodes.len();
        let domain = i % DOMAINS;
        let mut settings = settings(service, domain, i, &self.seeds);
        let cut = self.cut.clone();
        let separated = move |to: SocketAddr| {
            let IpAddr::V4(ip) = to.ip() else {
                return false;
            };
            cut.is_set() && (domain == 0) != (ip.octets()[2] == 0)
        };
        settings.faults = Faults {
            loss: self.loss,
            cut: Some(Arc::new(separated)),
        };
        let log = CutLog {
            log: self.log.clone(),
            cut: self.cut.clone(),
            domain,
        };
        let node = Node::start(settings, Arc::new(log))
            .await
            .expect("a node starts");
        if self.seeds.len() < DOMAINS {
            self.seeds.push(node.addresses().rpc);
        }
        self.nodes.push(node);
        &self.nodes[i]
    }

    /// Publishes a text on `base`.
    pub(crate) async fn publish(&self, base: u64, text: &str) {
        let id = PublicationId::from_random(rand::random());
        let publication = Publication {
            id,
            base: Version(base),
            text: text.to_owned(),
        };
        let raw = Record::Publication(publication)
            .encode()
            .expect("a record is encoded");
        self.log
            .append(node::CONFIG_STREAM, vec![raw])
            .await
            .expect("the log takes the record");
    }

    /// Waits until each node is ready with `version`; returns the time, or `None` after `within`.
    pub(crate) async fn wait_version(&self, version: u64, within: Duration) -> Option<Duration> {
        let has = |n: &Node| n.is_ready() && n.version().0 >= version;
        self.wait(within, has).await
    }

    /// Waits until each node knows all the others.
    pub(crate) async fn wait_members(&self, within: Duration) -> Option<Duration> {
        let all = self.nodes.len();
        self.wait(within, |n| n.members() >= all).await
    }

    async fn wait(&self, within: Duration, reached: impl Fn(&Node) -> bool) -> Option<Duration> {
        let began = Instant::now();
        while !self.nodes.iter().all(&reached) {
            if began.elapsed() > within {
                return None;
            }
            tokio::time::sleep(POLL).await;
        }
        Some(began.elapsed())
    }

    pub(crate) fn control_bytes(&self) -> u64 {
        self.nodes.iter().map(Node::control_bytes).sum()
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
    Settings::try_from(text.as_str()).expect("valid settings")
}

/// Returns a text with `services` services of one route each; `edit` makes versions differ.
pub(crate) fn text(services: usize, edit: u64) -> String {
    let mut out = String::from("format = 1\nmesh = \"bench\"\n");
    for i in 0..services {
        // One service changes from version to version, as in an ordinary publication.
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
