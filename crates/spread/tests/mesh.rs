//! Several nodes under lost, doubled, delayed and reordered messages, restarts, partitions and
//! outages of the log.

mod common;

use std::collections::BTreeMap;

use common::{addr, heard, node, peer, text};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::rngs::Xoshiro256PlusPlus;
use rand::{RngExt, SeedableRng};
use spread::{Action, ConfigText, Contact, Event, FetchError, JoinAnswer, Origin, Spread};
use wire::{InstanceId, Time, Version};

const NODES: u64 = 7;
const DOMAINS: u64 = 3;
const STEP_MS: u64 = 10;
const TROUBLE_MS: u64 = 20_000;
/// The goal for the time until a version is active everywhere.
const GOAL_MS: u64 = 9_000;

#[derive(Default)]
struct Node {
    down: bool,
    boot: u64,
    ready: bool,
    reads_log: bool,
    log_at: u64,
    /// Whether the last read reached the end.
    at_end: bool,
    /// Version that was active before the last restart.
    had: Version,
    /// Whether the log was away for this node since its last start.
    was_away: bool,
    /// Newest version seen active on each node.
    floors: BTreeMap<u64, Version>,
    /// What peers that have been reachable since the boot knew of this node then.
    past: BTreeMap<u64, Version>,
}

/// Sender, receiver, the only boot that may receive it, content.
type Message = (u64, u64, Option<u64>, Event);

struct Mesh {
    now_ms: u64,
    rng: Xoshiro256PlusPlus,
    spreads: Vec<Spread>,
    nodes: Vec<Node>,
    /// Messages by time of arrival and number.
    queue: BTreeMap<(u64, u64), Message>,
    sent: u64,
    loss: f64,
    published: u64,
    log_up: bool,
    cut: Option<u64>,
}

/// Identifier of node `i`; its hundreds digit is the failure domain.
fn id(i: u64) -> u64 {
    i % DOMAINS * 100 + i
}

fn index(id: InstanceId) -> u64 {
    id.0 % 100
}

fn start(i: u64, rng: &mut Xoshiro256PlusPlus) -> Spread {
    let seeds = (0..NODES).filter(|j| *j != i).map(id);
    node(id(i), seeds, rng.random())
}

impl Mesh {
    fn new(seed: u64) -> Mesh {
        let mut rng = Xoshiro256PlusPlus::seed_from_u64(seed);
        Mesh {
            now_ms: 0,
            spreads: (0..NODES).map(|i| start(i, &mut rng)).collect(),
            nodes: (0..NODES).map(|_| Node::default()).collect(),
            rng,
            queue: BTreeMap::new(),
            sent: 0,
            loss: 0.2,
            published: 0,
            log_up: true,
            cut: None,
        }
    }

    fn at(&mut self, i: u64) -> &mut Node {
        &mut self.nodes[i as usize]
    }

    fn active(&self, i: u64) -> ConfigText {
        self.spreads[i as usize].active().clone()
    }

    fn linked(&self, a: u64, b: u64) -> bool {
        let is_cut = |i| self.cut == Some(i % DOMAINS);
        let is_down = |i: u64| self.nodes[i as usize].down;
        !is_down(a) && !is_down(b) && is_cut(a) == is_cut(b)
    }

    /// Answers a call of node `to`, if both are linked now and when the answer arrives.
    fn answer(&mut self, from: u64, to: u64, max_ms: u64, event: Event) {
        if self.linked(from, to) {
            let boot = self.at(to).boot;
            self.send(from, to, max_ms, Some(boot), event);
        }
    }

    fn send(&mut self, from: u64, to: u64, max_ms: u64, boot: Option<u64>, event: Event) {
        let at = self.now_ms + self.rng.random_range(1..=max_ms);
        self.sent += 1;
        self.queue.insert((at, self.sent), (from, to, boot, event));
    }

    /// Sends a datagram, which can be lost or doubled and overtake others.
    fn datagram(&mut self, from: u64, to: u64, origin: Origin) {
        let event = heard(id(from), &self.active(from), origin);
        for p in [1.0 - self.loss, self.loss / 2.0] {
            if self.rng.random_bool(p) {
                self.send(from, to, 500, None, event.clone());
            }
        }
    }

    fn event(&mut self, i: u64, event: Event) {
        let now = Time::from_millis(self.now_ms);
        let before = self.active(i).version;
        let actions = self.spreads[i as usize].handle(now, event);
        let after = self.active(i).version;
        assert!(after >= before, "node {i} went from {before} to {after}");
        for a in actions {
            self.act(i, a);
        }
    }

    fn act(&mut self, i: u64, action: Action) {
        let past = self.at(i).past.values().max().copied().unwrap_or_default();
        match action {
            Action::ReadLog(on) => self.at(i).reads_log = on,
            Action::Ready => {
                let active = self.active(i).version;
                assert!(
                    active >= past,
                    "node {i} is ready with {active}, had {past}"
                );
                // With the log at hand, no version is forgotten, whoever else has died.
                let had = self.at(i).had;
                let safe = active >= had || self.at(i).was_away;
                assert!(safe, "node {i} is ready with {active}, had {had}");
                self.at(i).ready = true;
            }
            Action::NotReady => self.at(i).ready = false,
            Action::Join { to } => self.join(i, to),
            Action::Confirm { to } => self.confirm(i, to),
            Action::Announce { to, .. } => self.datagram(i, index(to), Origin::Announce),
            Action::Fetch { from, .. } => self.fetch(i, from),
            Action::Apply(t) => {
                assert!(
                    t.version >= past,
                    "node {i} applies {}, had {past}",
                    t.version
                );
                assert_eq!(t, text(t.version.0), "node {i} applies another text");
                self.answer(i, i, 50, Event::Applied(t.version));
            }
        }
    }

    fn join(&mut self, i: u64, to: Contact) {
        let j = match to {
            Contact::Seed(a) => (0..NODES).find(|j| addr(id(*j)) == a).expect("a node"),
            Contact::Peer(id) => index(id),
        };
        let ConfigText {
            version, digest, ..
        } = self.active(j);
        let floor = self.at(j).floors.get(&i).copied().unwrap_or_default();
        let from = InstanceId(id(j));
        let answer = JoinAnswer {
            from,
            version,
            digest,
            floor,
            follows_log: self.at(j).reads_log && self.at(j).at_end,
        };
        self.answer(j, i, 900, Event::Joined { to, answer });
    }

    /// Lets node `from` check the end of the log at once.
    fn confirm(&mut self, i: u64, from: InstanceId) {
        let j = index(from);
        let t = self.active(j);
        let reaches = self.log_up && self.cut != Some(j % DOMAINS);
        let follows = self.at(j).reads_log && self.at(j).at_end;
        let current = reaches && follows && t.version >= Version(self.published);
        let current = current.then_some((t.version, t.digest));
        self.answer(j, i, 900, Event::Confirmed { from, current });
    }

    fn fetch(&mut self, i: u64, from: InstanceId) {
        let text = self.active(index(from));
        let failed = self.rng.random_bool(self.loss);
        let result = if failed {
            Err(FetchError::Failed)
        } else {
            Ok(text)
        };
        if !self.rng.random_bool(self.loss / 2.0) {
            self.answer(index(from), i, 100, Event::Fetched { from, result });
        }
    }

    fn deliver(&mut self, from: u64, to: u64, boot: Option<u64>, event: Event) {
        if !self.linked(from, to) || boot.is_some_and(|b| b != self.at(to).boot) {
            return;
        }
        if let Event::Announced {
            version, origin, ..
        } = event
        {
            let floor = self.at(to).floors.entry(from).or_default();
            *floor = version.max(*floor);
            // One of two probes is taken for an acknowledgement, so that this ends.
            if origin == Origin::Probe && self.rng.random_bool(0.5) {
                self.datagram(to, from, Origin::Probe);
            }
        }
        self.event(to, event);
    }

    fn read_log(&mut self, i: u64) {
        if !self.log_up || self.cut == Some(i % DOMAINS) {
            self.at(i).at_end = false;
            self.at(i).was_away = true;
            return self.event(i, Event::LogDown);
        }
        let at = self.published.min(self.at(i).log_at + 3);
        self.at(i).log_at = at;
        let (snapshot, at_end) = (text(at), at == self.published);
        self.at(i).at_end = at_end;
        self.event(i, Event::LogTail { snapshot, at_end });
    }

    fn step(&mut self) {
        self.now_ms += STEP_MS;
        while let Some(e) = self
            .queue
            .first_entry()
            .filter(|e| e.key().0 <= self.now_ms)
        {
            let (from, to, boot, event) = e.remove();
            self.deliver(from, to, boot, event);
        }
        for i in 0..NODES {
            // Nodes are out of step with each other.
            let ms = self.now_ms + 130 * i;
            if self.at(i).down {
                continue;
            }
            if ms.is_multiple_of(100) {
                self.event(i, Event::Tick);
            }
            if self.at(i).reads_log && ms.is_multiple_of(200) {
                self.read_log(i);
            }
            if ms.is_multiple_of(1_000) {
                let others = (0..NODES).filter(|j| *j != i && self.linked(i, *j));
                let view = others.map(|j| peer(id(j), self.nodes[j as usize].ready));
                self.event(i, Event::Peers(view.collect()));
                let to = self.rng.random_range(0..NODES);
                self.datagram(i, to, Origin::Probe);
            }
        }
    }

    fn run(&mut self, ms: u64) {
        for _ in 0..ms / STEP_MS {
            self.step();
        }
    }

    fn restart(&mut self, i: u64) {
        let (boot, had) = (
            self.at(i).boot + 1,
            self.active(i).version.max(self.at(i).had),
        );
        *self.at(i) = Node {
            boot,
            had,
            ..Node::default()
        };
        self.spreads[i as usize] = start(i, &mut self.rng);
        let known = |j| self.nodes[j as usize].floors.get(&i).map(|v| (j, *v));
        let linked = (0..NODES).filter(|j| self.linked(i, *j));
        self.at(i).past = linked.filter_map(known).collect();
        self.event(i, Event::Tick);
    }

    fn trouble(&mut self) {
        let i = self.rng.random_range(0..NODES);
        match self.rng.random_range(0..10) {
            0..=3 if self.log_up => self.published += 1,
            4..=6 if !self.at(i).down => self.at(i).down = true,
            4..=6 => self.restart(i),
            7 => self.log_up = !self.log_up,
            8 => self.cut = Some(i % DOMAINS),
            _ => self.cut = None,
        }
        for i in 0..NODES {
            let mut past = std::mem::take(&mut self.at(i).past);
            past.retain(|j, _| self.linked(i, *j));
            self.at(i).past = past;
        }
    }

    fn end_trouble(&mut self, log_up: bool) {
        (self.loss, self.cut, self.log_up) = (0.05, None, log_up);
        for i in 0..NODES {
            if self.at(i).down {
                self.restart(i);
            }
        }
    }

    /// Returns the nodes that are not ready with the newest version that can be had.
    fn late(&self) -> Vec<String> {
        let active = |s: &Spread| s.active().version;
        let held = self.spreads.iter().map(active).max().unwrap_or_default();
        let newest = if self.log_up {
            Version(self.published)
        } else {
            held
        };
        let can_serve = |s: &Spread| newest > Version(0) && s.status().floor <= newest;
        let wanted = self.spreads.iter().filter(|s| self.log_up || can_serve(s));
        let late = wanted.filter(|s| active(s) < newest || !s.status().is_ready);
        late.map(|s| format!("newest {newest}: {:?}", s.status()))
            .collect()
    }
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
        mesh.run(GOAL_MS);
        prop_assert!(mesh.late().is_empty(), "{:#?}", mesh.late());
    }

    /// Guards against a failure domain that stays behind after a partition because nobody announces
    /// the version again: only probes carry it then.
    #[test]
    fn a_partitioned_domain_catches_up_without_the_log(seed in any::<u64>(), cut in 0..DOMAINS) {
        let mut mesh = Mesh::new(seed);
        mesh.run(3_000);
        (mesh.cut, mesh.published) = (Some(cut), 1);
        mesh.run(30_000);
        mesh.end_trouble(false);
        mesh.run(GOAL_MS);
        prop_assert!(mesh.late().is_empty(), "{:#?}", mesh.late());
    }
}
