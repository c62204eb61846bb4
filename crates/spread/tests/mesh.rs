//! Simulated mesh under lost, duplicated, delayed and reordered messages, restarts, partitions and
//! outages of the log.

mod common;

use std::collections::BTreeMap;

use common::{addr, config, node, peer, version_reported};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::rngs::Xoshiro256PlusPlus;
use rand::{RngExt, SeedableRng};
use spread::{Action, ConfigText, Contact, Event, FetchError, JoinAnswer, Origin, Spread};
use wire::{InstanceId, Time, Version};

const NODES: u64 = 7;
const DOMAINS: u64 = 3;
const STEP_MS: u64 = 10;
/// Time during which faults are injected.
const FAULT_PHASE_MS: u64 = 20_000;
/// Target for the time from the end of the faults until the newest version is active on all nodes.
const CONVERGENCE_LIMIT_MS: u64 = 9_000;

#[derive(Default)]
struct Node {
    is_down: bool,
    /// Number of restarts.
    boot: u64,
    is_ready: bool,
    is_reading_log: bool,
    /// Version up to which the node has replayed the log.
    replayed: u64,
    /// Whether the last read reached the end of the log.
    is_at_log_end: bool,
    /// Version that was active before the last restart.
    version_before_restart: Version,
    /// Whether the node has failed to read the log since its last start.
    was_log_down: bool,
    /// Newest version that each node has reported to this one as active.
    floors: BTreeMap<u64, Version>,
    /// Floor of this node that each peer knew when this node last started; only peers that have
    /// been reachable ever since.
    peer_floors: BTreeMap<u64, Version>,
}

/// Sender, receiver, boot of the receiver that may receive the message (`None`: any), content.
type Message = (u64, u64, Option<u64>, Event);

struct Mesh {
    now_ms: u64,
    rng: Xoshiro256PlusPlus,
    spreads: Vec<Spread>,
    nodes: Vec<Node>,
    /// Messages in flight, by time of arrival in ms and sequence number.
    queue: BTreeMap<(u64, u64), Message>,
    sent_count: u64,
    /// Probability that a datagram is lost or a fetch fails. A datagram is duplicated, or the
    /// result of a fetch lost, with half this probability.
    loss_rate: f64,
    /// Newest version in the log.
    published: u64,
    is_log_up: bool,
    /// Failure domain that is partitioned from the others and from the log.
    cut_domain: Option<u64>,
}

/// Identifier of node `i`, whose hundreds digit is the failure domain.
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
            sent_count: 0,
            loss_rate: 0.2,
            published: 0,
            is_log_up: true,
            cut_domain: None,
        }
    }

    fn node_mut(&mut self, i: u64) -> &mut Node {
        &mut self.nodes[i as usize]
    }

    fn active(&self, i: u64) -> ConfigText {
        self.spreads[i as usize].active().clone()
    }

    fn is_linked(&self, a: u64, b: u64) -> bool {
        let is_cut = |i| self.cut_domain == Some(i % DOMAINS);
        let is_down = |i: u64| self.nodes[i as usize].is_down;
        !is_down(a) && !is_down(b) && is_cut(a) == is_cut(b)
    }

    /// Sends the reply of node `from` to a call of node `to`, with a latency of at most `max_ms`.
    /// The reply arrives if both nodes are linked now and on arrival, and `to` has not restarted
    /// meanwhile.
    fn reply(&mut self, from: u64, to: u64, max_ms: u64, event: Event) {
        if self.is_linked(from, to) {
            let boot = self.node_mut(to).boot;
            self.send(from, to, max_ms, Some(boot), event);
        }
    }

    fn send(&mut self, from: u64, to: u64, max_ms: u64, boot: Option<u64>, event: Event) {
        let at = self.now_ms + self.rng.random_range(1..=max_ms);
        self.sent_count += 1;
        self.queue
            .insert((at, self.sent_count), (from, to, boot, event));
    }

    /// Sends a datagram with the active version, which can be lost, duplicated or reordered.
    fn send_datagram(&mut self, from: u64, to: u64, origin: Origin) {
        let event = version_reported(id(from), &self.active(from), origin);
        for p in [1.0 - self.loss_rate, self.loss_rate / 2.0] {
            if self.rng.random_bool(p) {
                self.send(from, to, 500, None, event.clone());
            }
        }
    }

    /// Passes an event to node `i` and performs the actions.
    fn handle_event(&mut self, i: u64, event: Event) {
        let now = Time::from_millis(self.now_ms);
        let before = self.active(i).version;
        let actions = self.spreads[i as usize].handle(now, event);
        let after = self.active(i).version;
        assert!(
            after >= before,
            "node {i} went back from version {before} to {after}"
        );
        for a in actions {
            self.perform(i, a);
        }
    }

    fn perform(&mut self, i: u64, action: Action) {
        let floor = self
            .node_mut(i)
            .peer_floors
            .values()
            .max()
            .copied()
            .unwrap_or_default();
        match action {
            Action::ReadLog(on) => self.node_mut(i).is_reading_log = on,
            Action::Ready => {
                let active = self.active(i).version;
                assert!(
                    active >= floor,
                    "node {i} is ready with version {active}, but its peers know of {floor}"
                );
                // As long as the log can be read, no version is lost, whichever nodes have failed.
                let before = self.node_mut(i).version_before_restart;
                let is_safe = active >= before || self.node_mut(i).was_log_down;
                assert!(
                    is_safe,
                    "node {i} is ready with version {active}, but had {before} before its restart"
                );
                self.node_mut(i).is_ready = true;
            }
            Action::NotReady => self.node_mut(i).is_ready = false,
            Action::Join { to } => self.join(i, to),
            Action::Confirm { to } => self.confirm(i, to),
            Action::Announce { to, .. } => self.send_datagram(i, index(to), Origin::Announcement),
            Action::Fetch { from, .. } => self.fetch(i, from),
            Action::Apply(t) => {
                assert!(
                    t.version >= floor,
                    "node {i} applies version {}, but its peers know of {floor}",
                    t.version
                );
                assert_eq!(
                    t,
                    config(t.version.0),
                    "node {i} applies a text that was not published"
                );
                self.reply(i, i, 50, Event::Applied(t.version));
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
        let floor = self.node_mut(j).floors.get(&i).copied().unwrap_or_default();
        let from = InstanceId(id(j));
        let answer = JoinAnswer {
            from,
            version,
            digest,
            version_floor: floor,
            follows_log: self.node_mut(j).is_reading_log && self.node_mut(j).is_at_log_end,
        };
        self.reply(j, i, 900, Event::Joined { to, answer });
    }

    /// Sends a confirm request to node `from`, which checks the end of the log at once.
    fn confirm(&mut self, i: u64, from: InstanceId) {
        let j = index(from);
        let t = self.active(j);
        let can_read_log = self.is_log_up && self.cut_domain != Some(j % DOMAINS);
        let follows = self.node_mut(j).is_reading_log && self.node_mut(j).is_at_log_end;
        let current = can_read_log && follows && t.version >= Version(self.published);
        let current = current.then_some((t.version, t.digest));
        self.reply(j, i, 900, Event::Confirmed { from, current });
    }

    fn fetch(&mut self, i: u64, from: InstanceId) {
        let config = self.active(index(from));
        let has_failed = self.rng.random_bool(self.loss_rate);
        let result = if has_failed {
            Err(FetchError::Failed)
        } else {
            Ok(config)
        };
        if !self.rng.random_bool(self.loss_rate / 2.0) {
            self.reply(index(from), i, 100, Event::Fetched { from, result });
        }
    }

    fn deliver(&mut self, from: u64, to: u64, boot: Option<u64>, event: Event) {
        if !self.is_linked(from, to) || boot.is_some_and(|b| b != self.node_mut(to).boot) {
            return;
        }
        if let Event::VersionReported {
            version, origin, ..
        } = event
        {
            let floor = self.node_mut(to).floors.entry(from).or_default();
            *floor = version.max(*floor);
            // Half of the probes count as acknowledgements, which are not answered; otherwise the
            // exchange would never end.
            if origin == Origin::Probe && self.rng.random_bool(0.5) {
                self.send_datagram(to, from, Origin::Probe);
            }
        }
        self.handle_event(to, event);
    }

    fn read_log(&mut self, i: u64) {
        if !self.is_log_up || self.cut_domain == Some(i % DOMAINS) {
            self.node_mut(i).is_at_log_end = false;
            self.node_mut(i).was_log_down = true;
            return self.handle_event(i, Event::LogUnavailable);
        }
        let at = self.published.min(self.node_mut(i).replayed + 3);
        self.node_mut(i).replayed = at;
        let (snapshot, at_end) = (config(at), at == self.published);
        self.node_mut(i).is_at_log_end = at_end;
        self.handle_event(i, Event::LogTail { snapshot, at_end });
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
            // The timers of the nodes have different phases.
            let ms = self.now_ms + 130 * i;
            if self.node_mut(i).is_down {
                continue;
            }
            if ms.is_multiple_of(100) {
                self.handle_event(i, Event::Tick);
            }
            if self.node_mut(i).is_reading_log && ms.is_multiple_of(200) {
                self.read_log(i);
            }
            if ms.is_multiple_of(1_000) {
                let others = (0..NODES).filter(|j| *j != i && self.is_linked(i, *j));
                let view = others.map(|j| peer(id(j), self.nodes[j as usize].is_ready));
                self.handle_event(i, Event::Peers(view.collect()));
                let to = self.rng.random_range(0..NODES);
                self.send_datagram(i, to, Origin::Probe);
            }
        }
    }

    fn run(&mut self, ms: u64) {
        for _ in 0..ms / STEP_MS {
            self.step();
        }
    }

    fn restart(&mut self, i: u64) {
        let (boot, version_before_restart) = (
            self.node_mut(i).boot + 1,
            self.active(i)
                .version
                .max(self.node_mut(i).version_before_restart),
        );
        *self.node_mut(i) = Node {
            boot,
            version_before_restart,
            ..Node::default()
        };
        self.spreads[i as usize] = start(i, &mut self.rng);
        let floor = |j| self.nodes[j as usize].floors.get(&i).map(|v| (j, *v));
        let linked = (0..NODES).filter(|j| self.is_linked(i, *j));
        self.node_mut(i).peer_floors = linked.filter_map(floor).collect();
        self.handle_event(i, Event::Tick);
    }

    /// Publishes a version or injects or ends a fault, at random.
    fn inject_fault(&mut self) {
        let i = self.rng.random_range(0..NODES);
        match self.rng.random_range(0..10) {
            0..=3 if self.is_log_up => self.published += 1,
            4..=6 if !self.node_mut(i).is_down => self.node_mut(i).is_down = true,
            4..=6 => self.restart(i),
            7 => self.is_log_up = !self.is_log_up,
            8 => self.cut_domain = Some(i % DOMAINS),
            _ => self.cut_domain = None,
        }
        for i in 0..NODES {
            let mut floors = std::mem::take(&mut self.node_mut(i).peer_floors);
            floors.retain(|j, _| self.is_linked(i, *j));
            self.node_mut(i).peer_floors = floors;
        }
    }

    /// Ends all faults but a small loss rate, and an outage of the log unless `is_log_up`.
    fn end_faults(&mut self, is_log_up: bool) {
        (self.loss_rate, self.cut_domain, self.is_log_up) = (0.05, None, is_log_up);
        for i in 0..NODES {
            if self.node_mut(i).is_down {
                self.restart(i);
            }
        }
    }

    /// Returns the status of the nodes that are not ready with the newest version available.
    /// Without the log, a node whose floor no node holds need not be ready.
    fn unconverged(&self) -> Vec<String> {
        let active = |s: &Spread| s.active().version;
        let held = self.spreads.iter().map(active).max().unwrap_or_default();
        let newest = if self.is_log_up {
            Version(self.published)
        } else {
            held
        };
        let can_serve = |s: &Spread| newest > Version(0) && s.status().version_floor <= newest;
        let expected = self
            .spreads
            .iter()
            .filter(|s| self.is_log_up || can_serve(s));
        let unconverged = expected.filter(|s| active(s) < newest || !s.status().is_ready);
        unconverged
            .map(|s| format!("newest {newest}: {:?}", s.status()))
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

    /// Guards against an active version that decreases on a node, also across its restart, and
    /// against a node that stays outdated or not ready after the faults have ended.
    #[test]
    fn versions_only_grow_and_reach_each_node(seed in any::<u64>(), is_log_up in any::<bool>()) {
        let mut mesh = Mesh::new(seed);
        let mut next_ms = 0;
        while mesh.now_ms < FAULT_PHASE_MS {
            if mesh.now_ms >= next_ms {
                mesh.inject_fault();
                next_ms += mesh.rng.random_range(50..1_000);
            }
            mesh.step();
        }
        mesh.end_faults(is_log_up);
        mesh.run(CONVERGENCE_LIMIT_MS);
        prop_assert!(mesh.unconverged().is_empty(), "{:#?}", mesh.unconverged());
    }

    /// Guards against a failure domain that stays outdated after a partition. The version is not
    /// announced again then, so only probes carry it.
    #[test]
    fn a_partitioned_domain_catches_up_without_the_log(seed in any::<u64>(), domain in 0..DOMAINS) {
        let mut mesh = Mesh::new(seed);
        mesh.run(3_000);
        (mesh.cut_domain, mesh.published) = (Some(domain), 1);
        mesh.run(30_000);
        mesh.end_faults(false);
        mesh.run(CONVERGENCE_LIMIT_MS);
        prop_assert!(mesh.unconverged().is_empty(), "{:#?}", mesh.unconverged());
    }
}
