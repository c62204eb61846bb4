//! Simulated mesh on a virtual clock. The network can lose, duplicate, delay and reorder messages,
//! and partition failure domains.

// Each test file and the example use only a part of this module.
#![allow(dead_code, unreachable_pub)]

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use member::{
    Action, Body, Change, Config, Event, LocalState, MAX_MSG_BYTES, Member, Msg, RawRecord, Record,
    Rumour, SEAL_HEADER_BYTES, State, Table, Update,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use wire::{Domain, Incarnation, InstanceId, Time, Version};

/// One-way network latency without extra delay.
const BASE_LATENCY: Duration = Duration::from_micros(500);
/// Maximum number of members that answer a join request.
const MAX_JOIN_SEEDS: usize = 3;
pub const DOMAINS: usize = 3;
pub const SERVICES: usize = 3;

#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// Probability that a message is lost.
    pub loss: f64,
    /// Probability that a message is duplicated.
    pub duplication: f64,
    /// Maximum random extra delay; reorders messages.
    pub max_extra_delay: Duration,
}

/// Traffic of the whole mesh.
#[derive(Debug, Default, Clone, Copy)]
pub struct Traffic {
    /// Datagrams sent, without duplicates made by the network.
    pub messages: u64,
    /// Bytes of these datagrams, sealed.
    pub bytes: u64,
    /// Bytes of tables and join answers, which are not sent as datagrams.
    pub table_bytes: u64,
}

#[derive(Debug)]
pub struct Node {
    pub member: Member,
    pub is_live: bool,
    pub is_paused: bool,
    pub changes: Vec<Change>,
    pub rumours: Vec<Rumour>,
    pub received_versions: BTreeMap<InstanceId, Version>,
    pub table_exchanges: usize,
    wake_at: Time,
    version: Version,
}

#[derive(Debug)]
enum Delivery {
    Datagram { from: usize, bytes: Vec<u8> },
    Join,
    Table(Table),
}

#[derive(Debug)]
pub struct Net {
    pub now: Time,
    pub nodes: Vec<Node>,
    pub faults: Faults,
    /// Failure domains that are partitioned from all others.
    pub partitioned: BTreeSet<Domain>,
    pub traffic: Traffic,
    /// Node and instance: messages to the node that come from the instance or carry the instance's
    /// record are dropped.
    pub blocked_updates: Option<(usize, InstanceId)>,
    ids: BTreeMap<InstanceId, usize>,
    addrs: BTreeMap<SocketAddr, usize>,
    wakes: BTreeSet<(Time, usize)>,
    deliveries: BTreeMap<(Time, u64), (usize, Delivery)>,
    next_seq: u64,
    rng: StdRng,
    cfg: Config,
}

pub fn addr(i: usize, port: u16) -> SocketAddr {
    let host = u16::try_from(i).unwrap().to_be_bytes();
    SocketAddr::from(([10, 0, host[0], host[1]], port))
}

pub fn domain(i: usize) -> Domain {
    format!("dar-{}", i % DOMAINS).as_str().into()
}

pub fn record(i: usize, incarnation: u64) -> Record {
    let services = ["ledger-svc", "sampling-svc", "evidence-svc"];
    let raw = RawRecord {
        name: format!("ledger-host-{i:04}").into(),
        incarnation: Incarnation(incarnation),
        service: services[i / DOMAINS % SERVICES].into(),
        region: "africa-east".into(),
        domain: domain(i),
        gossip: addr(i, 7001),
        rpc: addr(i, 7002),
        data: addr(i, 7003),
        state: State::Starting,
        version: Version(0),
        digest_prefix: 0,
        slots: 18,
    };
    raw.try_into().unwrap()
}

/// Returns a push message of member `from`, with incarnation 0 and version 1.
pub fn push(from: usize, updates: Vec<Update>) -> Msg {
    Msg {
        from: record(from, 0).id,
        incarnation: record(from, 0).incarnation,
        version: Version(1),
        digest_prefix: 7,
        requests_record: false,
        body: Body::Push,
        updates,
    }
}

impl Net {
    /// Delivers a push message of member `from` with these updates to member `to`.
    pub fn push(&mut self, to: usize, from: usize, updates: Vec<Update>) {
        let (msg, from) = (push(from, updates), addr(from, 7001));
        self.handle(to, Event::Received { from, msg });
    }

    /// Starts `n` members within one second, sets them ready and waits until all views are
    /// complete.
    pub fn with_ready_members(n: usize, seed: u64, faults: Faults) -> Net {
        let mut net = Net::empty(seed, faults);
        for i in 0..n {
            net.add(i);
            net.run(Duration::from_millis(1_000 / n as u64));
            net.set_state(i, State::Ready);
        }
        net.run_until_converged(Duration::from_secs(30)).unwrap();
        net
    }

    pub fn empty(seed: u64, faults: Faults) -> Net {
        Net {
            now: Time::from_millis(1_000_000),
            nodes: Vec::new(),
            faults,
            partitioned: BTreeSet::new(),
            traffic: Traffic::default(),
            blocked_updates: None,
            ids: BTreeMap::new(),
            addrs: BTreeMap::new(),
            wakes: BTreeSet::new(),
            deliveries: BTreeMap::new(),
            next_seq: 0,
            rng: StdRng::seed_from_u64(seed),
            cfg: Config::default(),
        }
    }

    fn add(&mut self, i: usize) {
        let node = Node {
            member: Member::new(self.cfg.clone(), record(i, 0), 0),
            is_live: false,
            is_paused: false,
            changes: Vec::new(),
            rumours: Vec::new(),
            received_versions: BTreeMap::new(),
            table_exchanges: 0,
            wake_at: Time::ZERO,
            version: Version(1),
        };
        self.ids.insert(node.member.own().id, i);
        self.addrs.insert(addr(i, 7001), i);
        self.nodes.push(node);
        self.start(i);
    }

    /// Starts or restarts instance `i` without stored state, with its initial incarnation 0.
    pub fn start(&mut self, i: usize) {
        let seed = self.rng.random();
        let node = &mut self.nodes[i];
        node.member = Member::new(self.cfg.clone(), record(i, 0), seed);
        node.is_live = true;
        node.is_paused = false;
        self.handle(i, Event::Tick);
        self.schedule(i, BASE_LATENCY, Delivery::Join);
    }

    pub fn kill(&mut self, i: usize) {
        self.nodes[i].is_live = false;
        self.wakes.remove(&(self.nodes[i].wake_at, i));
    }

    pub fn pause(&mut self, i: usize) {
        self.nodes[i].is_paused = true;
        self.wakes.remove(&(self.nodes[i].wake_at, i));
    }

    pub fn resume(&mut self, i: usize) {
        self.nodes[i].is_paused = false;
        self.handle(i, Event::Tick);
    }

    pub fn set_state(&mut self, i: usize, state: State) {
        let local = LocalState {
            state,
            version: self.nodes[i].version,
            digest_prefix: 7,
            slots: 18,
        };
        self.handle(i, Event::SetLocal(local));
    }

    /// Makes a configuration version active on `i`.
    pub fn publish(&mut self, i: usize, version: u64) {
        self.nodes[i].version = Version(version);
        self.set_state(i, self.nodes[i].member.own().state);
    }

    pub fn handle(&mut self, i: usize, event: Event) {
        let actions = self.nodes[i].member.handle(self.now, event);
        self.perform(i, actions);
    }

    fn perform(&mut self, i: usize, actions: Vec<Action>) {
        for a in actions {
            match a {
                Action::Send { to, msg } => self.send(i, to, msg),
                Action::Changed(c) => self.nodes[i].changes.push(c),
                Action::PeerVersion { from, version, .. } => {
                    self.nodes[i].received_versions.insert(from, version);
                }
                Action::Rumour(r) => self.nodes[i].rumours.push(r),
                Action::ExchangeTables { peer_id } => self.exchange(i, self.ids[&peer_id]),
            }
        }
        let node = &mut self.nodes[i];
        self.wakes.remove(&(node.wake_at, i));
        // The timer of a node has a resolution of one millisecond.
        node.wake_at = node
            .member
            .next_wake()
            .max(self.now + Duration::from_millis(1));
        self.wakes.insert((node.wake_at, i));
    }

    fn send(&mut self, i: usize, to: SocketAddr, msg: Msg) {
        let bytes = postcard::to_stdvec(&msg).unwrap();
        assert!(bytes.len() <= MAX_MSG_BYTES, "{} bytes", bytes.len());
        self.traffic.messages += 1;
        self.traffic.bytes += (bytes.len() + SEAL_HEADER_BYTES) as u64;
        let to = self.addrs[&to];
        let copies = 1 + usize::from(self.rng.random_bool(self.faults.duplication));
        for _ in 0..copies {
            let is_lost = self.rng.random_bool(self.faults.loss) || !self.can_reach(i, to);
            let delay = BASE_LATENCY + self.faults.max_extra_delay.mul_f64(self.rng.random());
            if !is_lost {
                let bytes = bytes.clone();
                self.schedule(to, delay, Delivery::Datagram { from: i, bytes });
            }
        }
    }

    fn can_reach(&self, a: usize, b: usize) -> bool {
        let is_partitioned = |i: usize| self.partitioned.contains(&domain(i));
        domain(a) == domain(b) || !is_partitioned(a) && !is_partitioned(b)
    }

    /// Sends the tables of the services in the scope of `a` in both directions between `a` and `b`.
    fn exchange(&mut self, a: usize, b: usize) {
        self.nodes[a].table_exchanges += 1;
        if !self.can_reach(a, b) || !self.is_running(b) {
            return;
        }
        for (from, to) in [(a, b), (b, a)] {
            let scope = self.nodes[a].member.scope().clone();
            let table = self.nodes[from].member.tables_in_scope(&scope);
            self.traffic.table_bytes += postcard::to_stdvec(&table).unwrap().len() as u64;
            self.schedule(to, BASE_LATENCY, Delivery::Table(table));
        }
    }

    fn is_running(&self, i: usize) -> bool {
        self.nodes[i].is_live && !self.nodes[i].is_paused
    }

    fn schedule(&mut self, to: usize, delay: Duration, delivery: Delivery) {
        self.next_seq += 1;
        self.deliveries
            .insert((self.now + delay, self.next_seq), (to, delivery));
    }

    /// Delivers messages and fires timers for the virtual time `d`.
    pub fn run(&mut self, d: Duration) {
        let end = self.now + d;
        loop {
            let delivery_at = self.deliveries.first_key_value().map(|(k, _)| k.0);
            let wake_at = self.wakes.first().map(|w| w.0);
            let next = delivery_at
                .unwrap_or(Time::MAX)
                .min(wake_at.unwrap_or(Time::MAX));
            if next > end {
                break;
            }
            self.now = next;
            if delivery_at == Some(next) {
                let (_, (to, delivery)) = self.deliveries.pop_first().unwrap();
                self.deliver(to, delivery);
            } else if let Some((_, i)) = self.wakes.pop_first() {
                self.handle(i, Event::Tick);
            }
        }
        self.now = end;
    }

    fn deliver(&mut self, to: usize, delivery: Delivery) {
        if !self.is_running(to) {
            // A paused node sends its join request later.
            if matches!(delivery, Delivery::Join) && self.nodes[to].is_live {
                self.schedule(to, Duration::from_secs(1), Delivery::Join);
            }
            return;
        }
        match delivery {
            Delivery::Datagram { from, bytes } => self.receive(to, from, &bytes),
            Delivery::Join => self.join(to),
            Delivery::Table(table) => {
                let actions = self.nodes[to].member.merge(self.now, table);
                self.perform(to, actions);
            }
        }
    }

    fn receive(&mut self, to: usize, from: usize, bytes: &[u8]) {
        let msg: Msg = postcard::from_bytes(bytes).unwrap();
        let is_blocked = |(node, id)| {
            let carries_record = |u: &Update| matches!(u, Update::Alive(r) if r.id == id);
            node == to && (msg.from == id || msg.updates.iter().any(carries_record))
        };
        if !self.blocked_updates.is_some_and(is_blocked) {
            self.handle(
                to,
                Event::Received {
                    from: addr(from, 7001),
                    msg,
                },
            );
        }
    }

    /// Sends a join request to up to [`MAX_JOIN_SEEDS`] running members. If none can answer, the
    /// request is repeated after one second.
    fn join(&mut self, i: usize) {
        let id = self.nodes[i].member.own().id;
        let scope = self.nodes[i].member.scope().clone();
        let others = (0..self.nodes.len()).filter(|&s| s != i && self.is_running(s));
        let seeds: Vec<_> = others
            .filter(|&s| self.can_reach(s, i))
            .take(MAX_JOIN_SEEDS)
            .collect();
        for &s in &seeds {
            let answer = self.nodes[s].member.join_answer(id, &scope);
            self.traffic.table_bytes += postcard::to_stdvec(&answer).unwrap().len() as u64;
            self.handle(i, Event::JoinAnswer(answer));
        }
        if seeds.is_empty() && self.nodes.len() > 1 {
            self.schedule(i, Duration::from_secs(1), Delivery::Join);
        }
    }

    pub fn live(&self) -> impl Iterator<Item = usize> {
        (0..self.nodes.len()).filter(|&i| self.nodes[i].is_live)
    }

    /// Returns the view of `i`: the state of each other member that `i` holds neither suspect nor
    /// in an unreachable failure domain.
    pub fn view(&self, i: usize) -> BTreeMap<usize, State> {
        let m = &self.nodes[i].member;
        let is_reachable = |r: &&Record| !m.is_suspect(r.id) && !m.is_domain_unreachable(&r.domain);
        let records = m.records().filter(is_reachable);
        records.map(|r| (self.ids[&r.id], r.state)).collect()
    }

    /// Returns the view that `i` should have: the state of all other live members.
    pub fn expected_view(&self, i: usize) -> BTreeMap<usize, State> {
        let others = self.live().filter(|&j| j != i);
        others
            .map(|j| (j, self.nodes[j].member.own().state))
            .collect()
    }

    /// Returns the first live member whose view differs from the expected one, and how; `None` if
    /// all views are as expected.
    pub fn first_view_mismatch(&self) -> Option<String> {
        let mismatch = |i: usize| {
            let (view, expected_view) = (self.view(i), self.expected_view(i));
            let missing = expected_view.iter().filter(|(j, s)| view.get(j) != Some(s));
            let m = &self.nodes[i].member;
            let stored = m.records().filter(|r| !m.is_domain_unreachable(&r.domain));
            let extra = stored
                .map(|r| self.ids[&r.id])
                .filter(|j| !expected_view.contains_key(j));
            let (missing, extra): (Vec<_>, Vec<_>) = (missing.collect(), extra.collect());
            let is_correct = missing.is_empty() && extra.is_empty();
            (!is_correct).then(|| format!("member {i}: missing {missing:?}, extra {extra:?}"))
        };
        self.live().find_map(mismatch)
    }

    /// Runs until all views are as expected and returns how long that took, or the first mismatch
    /// after `limit`.
    pub fn run_until_converged(&mut self, limit: Duration) -> Result<Duration, String> {
        let start = self.now;
        while let Some(mismatch) = self.first_view_mismatch() {
            if self.now - start >= limit {
                return Err(mismatch);
            }
            self.run(Duration::from_millis(50));
        }
        Ok(self.now - start)
    }

    /// Returns the time until all live members with `i` in scope have its record with `state`, or
    /// `None` after `limit`.
    pub fn dissemination_time(
        &mut self,
        i: usize,
        state: State,
        limit: Duration,
    ) -> Option<Duration> {
        let (start, id) = (self.now, self.nodes[i].member.own().id);
        while self.now - start <= limit {
            let is_known =
                |j: usize| self.nodes[j].member.record(id).map(|r| r.state) == Some(state);
            let own = self.nodes[i].member.own();
            let has_in_scope = |j: usize| {
                let m = &self.nodes[j].member;
                j != i && (m.own().service == own.service || m.scope().contains(&own.service))
            };
            if self.live().all(|j| !has_in_scope(j) || is_known(j)) {
                return Some(self.now - start);
            }
            self.run(Duration::from_millis(10));
        }
        None
    }

    /// Returns the number of changes reported by `i` that satisfy `is_counted`.
    pub fn changes(&self, i: usize, is_counted: impl Fn(&Change) -> bool) -> usize {
        self.nodes[i]
            .changes
            .iter()
            .filter(|c| is_counted(c))
            .count()
    }

    pub fn clear_changes(&mut self) {
        for n in &mut self.nodes {
            n.changes.clear();
        }
    }
}
