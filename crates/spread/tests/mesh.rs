//! Several nodes under lost, doubled, delayed and reordered messages, restarts, partitions and
//! outages of the log.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::rngs::Xoshiro256PlusPlus;
use rand::{RngExt, SeedableRng};
use spread::{Action, ConfigText, Contact, Event, FetchError, JoinAnswer, Origin, Peer};
use spread::{Settings, Spread};
use wire::{Digest, Domain, InstanceId, Time, Version};

const NODES: usize = 7;
const DOMAINS: usize = 3;
const STEP_MS: u64 = 10;
const TROUBLE_MS: u64 = 20_000;
/// The goal for the time until a version is active everywhere.
const GOAL_MS: u64 = 9_000;

fn text(n: u64) -> ConfigText {
    let text = format!("text {n}");
    let digest = Digest::of(text.as_bytes());
    ConfigText {
        version: Version(n),
        digest,
        text: text.into(),
    }
}

fn addr(i: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7_000 + i as u16))
}

struct Node {
    spread: Spread,
    up: bool,
    boot: u64,
    ready: bool,
    reads_log: bool,
    log_at: u64,
    /// Newest version seen active on each node.
    floors: BTreeMap<usize, Version>,
    /// What peers that have been reachable since the boot knew of this node then.
    past: BTreeMap<usize, Version>,
}

enum Msg {
    /// A datagram or the answer to a call of the boot with this number.
    Event(Option<u64>, Event),
    Probe(Version, Digest),
    Fetch(u64),
    Join(u64, Contact),
}

struct Mesh {
    now_ms: u64,
    rng: Xoshiro256PlusPlus,
    nodes: Vec<Node>,
    queue: BTreeMap<(u64, u64), (usize, usize, Msg)>,
    sent: u64,
    loss: f64,
    published: u64,
    log_up: bool,
    cut: Option<usize>,
}

impl Mesh {
    fn new(seed: u64) -> Mesh {
        let mut mesh = Mesh {
            now_ms: 0,
            rng: Xoshiro256PlusPlus::seed_from_u64(seed),
            nodes: Vec::new(),
            queue: BTreeMap::new(),
            sent: 0,
            loss: 0.2,
            published: 0,
            log_up: true,
            cut: None,
        };
        mesh.nodes = (0..NODES).map(|i| mesh.node(i, 0)).collect();
        mesh
    }

    fn node(&mut self, i: usize, boot: u64) -> Node {
        let settings = Settings {
            me: InstanceId(i as u64),
            domain: domain(i),
            seeds: (0..NODES).filter(|j| *j != i).map(addr).collect(),
        };
        Node {
            spread: Spread::new(settings, self.rng.random()),
            up: true,
            boot,
            ready: false,
            reads_log: false,
            log_at: 0,
            floors: BTreeMap::new(),
            past: BTreeMap::new(),
        }
    }

    fn linked(&self, a: usize, b: usize) -> bool {
        let is_cut = |i: usize| self.cut == Some(i % DOMAINS);
        self.nodes[a].up && self.nodes[b].up && is_cut(a) == is_cut(b)
    }

    fn send(&mut self, from: usize, to: usize, max_ms: u64, msg: Msg) {
        let at = self.now_ms + self.rng.random_range(1..=max_ms);
        self.sent += 1;
        self.queue.insert((at, self.sent), (from, to, msg));
    }

    /// Sends a datagram, which can be lost or doubled and overtake others.
    fn datagram(&mut self, from: usize, to: usize, msg: impl Fn() -> Msg) {
        for p in [1.0 - self.loss, self.loss / 2.0] {
            if self.rng.random_bool(p) {
                self.send(from, to, 500, msg());
            }
        }
    }

    fn event(&mut self, i: usize, event: Event) {
        let now = Time::from_millis(self.now_ms);
        let before = self.nodes[i].spread.active().version;
        let actions = self.nodes[i].spread.handle(now, event);
        let after = self.nodes[i].spread.active().version;
        assert!(after >= before, "node {i} went from {before} to {after}");
        for a in actions {
            self.act(i, a);
        }
    }

    fn act(&mut self, i: usize, action: Action) {
        let boot = self.nodes[i].boot;
        let past = self.nodes[i]
            .past
            .values()
            .max()
            .copied()
            .unwrap_or_default();
        let active = self.nodes[i].spread.active().version;
        match action {
            Action::ReadLog(on) => self.nodes[i].reads_log = on,
            Action::Ready => {
                assert!(
                    active >= past,
                    "node {i} is ready with {active}, had {past}"
                );
                self.nodes[i].ready = true;
            }
            Action::NotReady => self.nodes[i].ready = false,
            Action::Join { to } => {
                let j = match to {
                    Contact::Seed(a) => usize::from(a.port()) - 7_000,
                    Contact::Peer(id) => index(id),
                };
                self.send(i, j, 400, Msg::Join(boot, to));
            }
            Action::Announce {
                to,
                version,
                digest,
            } => {
                let from = InstanceId(i as u64);
                let event = Event::Announced {
                    from,
                    version,
                    digest,
                    origin: Origin::Announce,
                };
                self.datagram(i, index(to), || Msg::Event(None, event.clone()));
            }
            Action::Fetch { from, .. } => self.send(i, index(from), 50, Msg::Fetch(boot)),
            Action::Apply(t) => {
                assert!(
                    t.version >= past,
                    "node {i} applies {}, had {past}",
                    t.version
                );
                assert_eq!(t, text(t.version.0), "node {i} applies another text");
                self.send(i, i, 50, Msg::Event(Some(boot), Event::Applied(t.version)));
            }
        }
    }

    fn deliver(&mut self, from: usize, to: usize, msg: Msg) {
        if !self.linked(from, to) {
            return;
        }
        let me = InstanceId(to as u64);
        let (version, digest) = (
            self.nodes[to].spread.active().version,
            self.nodes[to].spread.active().digest,
        );
        match msg {
            Msg::Event(Some(boot), _) if boot != self.nodes[to].boot => {}
            Msg::Event(_, event) => {
                if let Event::Announced { version, .. } = event {
                    let floor = self.nodes[to].floors.entry(from).or_default();
                    *floor = (*floor).max(version);
                }
                self.event(to, event);
            }
            Msg::Probe(v, d) => {
                let ack = Event::Announced {
                    from: me,
                    version,
                    digest,
                    origin: Origin::Probe,
                };
                self.datagram(to, from, || Msg::Event(None, ack.clone()));
                let from_id = InstanceId(from as u64);
                let probe = Event::Announced {
                    from: from_id,
                    version: v,
                    digest: d,
                    origin: Origin::Probe,
                };
                self.deliver(from, to, Msg::Event(None, probe));
            }
            Msg::Fetch(boot) => {
                let result = if self.rng.random_bool(self.loss) {
                    Err(FetchError::Failed)
                } else {
                    Ok(self.nodes[to].spread.active().clone())
                };
                if !self.rng.random_bool(self.loss / 2.0) {
                    let fetched = Event::Fetched { from: me, result };
                    self.send(to, from, 50, Msg::Event(Some(boot), fetched));
                }
            }
            Msg::Join(boot, contact) => {
                let floor = self.nodes[to]
                    .floors
                    .get(&from)
                    .copied()
                    .unwrap_or_default();
                let answer = JoinAnswer {
                    from: me,
                    version,
                    digest,
                    floor,
                };
                let joined = Event::Joined {
                    to: contact,
                    answer,
                };
                self.send(to, from, 400, Msg::Event(Some(boot), joined));
            }
        }
    }

    fn view(&self, i: usize) -> Vec<Peer> {
        let others = (0..NODES).filter(|j| *j != i && self.linked(i, *j));
        let peer = |j: usize| Peer {
            id: InstanceId(j as u64),
            domain: domain(j),
            ready: self.nodes[j].ready,
        };
        others.map(peer).collect()
    }

    fn read_log(&mut self, i: usize) {
        if !self.log_up || self.cut == Some(i % DOMAINS) {
            return self.event(i, Event::LogDown);
        }
        let at = self.published.min(self.nodes[i].log_at + 3);
        self.nodes[i].log_at = at;
        let snapshot = if at == 0 {
            ConfigText::default()
        } else {
            text(at)
        };
        self.event(
            i,
            Event::LogTail {
                snapshot,
                at_end: at == self.published,
            },
        );
    }

    fn step(&mut self) {
        self.now_ms += STEP_MS;
        while let Some(e) = self.queue.first_entry()
            && e.key().0 <= self.now_ms
        {
            let (from, to, msg) = e.remove();
            self.deliver(from, to, msg);
        }
        for i in 0..NODES {
            // Nodes are out of step with each other.
            let ms = self.now_ms + 130 * i as u64;
            if !self.nodes[i].up {
                continue;
            }
            if ms.is_multiple_of(100) {
                self.event(i, Event::Tick);
            }
            if ms.is_multiple_of(200) && self.nodes[i].reads_log {
                self.read_log(i);
            }
            if ms.is_multiple_of(1_000) {
                let view = self.view(i);
                self.event(i, Event::Peers(view));
                let j = self.rng.random_range(0..NODES);
                let a = self.nodes[i].spread.active();
                let (version, digest) = (a.version, a.digest);
                self.datagram(i, j, || Msg::Probe(version, digest));
            }
        }
    }

    fn restart(&mut self, i: usize) {
        let boot = self.nodes[i].boot + 1;
        self.nodes[i] = self.node(i, boot);
        let linked: Vec<_> = (0..NODES)
            .filter(|j| *j != i && self.linked(i, *j))
            .collect();
        let known = |j: usize| Some((j, *self.nodes[j].floors.get(&i)?));
        self.nodes[i].past = linked.into_iter().filter_map(known).collect();
        self.event(i, Event::Tick);
    }

    fn forget_unlinked(&mut self) {
        for i in 0..NODES {
            let gone = |j: &usize| !self.linked(i, *j);
            let gone: Vec<_> = self.nodes[i].past.keys().copied().filter(gone).collect();
            gone.iter().for_each(|j| _ = self.nodes[i].past.remove(j));
        }
    }

    fn trouble(&mut self) {
        let i = self.rng.random_range(0..NODES);
        match self.rng.random_range(0..10) {
            0..=3 if self.log_up => self.published += 1,
            4..=6 if self.nodes[i].up => self.nodes[i].up = false,
            4..=6 => self.restart(i),
            7 => self.log_up = !self.log_up,
            8 => self.cut = Some(i % DOMAINS),
            _ => self.cut = None,
        }
        self.forget_unlinked();
    }

    fn end_trouble(&mut self, log_up: bool) {
        self.loss = 0.05;
        self.cut = None;
        self.log_up = log_up;
        for i in 0..NODES {
            if !self.nodes[i].up {
                self.restart(i);
            }
        }
    }

    /// Returns the nodes that are not ready with the newest version that can be had.
    fn late(&self) -> Vec<String> {
        let active = |n: &Node| n.spread.active().version;
        let held = self.nodes.iter().map(active).max().unwrap_or_default();
        let newest = if self.log_up {
            Version(self.published)
        } else {
            held
        };
        let can_be_ready =
            |n: &&Node| self.log_up || newest > Version(0) && n.spread.status().floor <= newest;
        let late = self
            .nodes
            .iter()
            .filter(can_be_ready)
            .filter(|n| active(n) < newest || !n.ready);
        late.map(|n| format!("newest {newest}: {:?}", n.spread.status()))
            .collect()
    }
}

fn domain(i: usize) -> Domain {
    Domain::from(["a", "b", "c"][i % DOMAINS])
}

fn index(id: InstanceId) -> usize {
    usize::try_from(id.0).expect("small")
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(0x5eed_0003),
        ..ProptestConfig::default()
    })]

    /// Guards against a version that goes down on a node, also across its restart, and against a
    /// node that stays behind or refuses requests after messages flow again.
    #[test]
    fn versions_only_grow_and_reach_each_node(seed in any::<u64>(), log_up in any::<bool>()) {
        let mut mesh = Mesh::new(seed);
        let mut next_ms = 0;
        while mesh.now_ms < TROUBLE_MS {
            if mesh.now_ms >= next_ms {
                mesh.trouble();
                next_ms += mesh.rng.random_range(50..1_000);
            }
            mesh.step();
        }
        mesh.end_trouble(log_up);
        let end = Duration::from_millis(mesh.now_ms + GOAL_MS);
        while Duration::from_millis(mesh.now_ms) < end && !mesh.late().is_empty() {
            mesh.step();
        }
        prop_assert!(mesh.late().is_empty(), "{:#?}", mesh.late());
    }
}
