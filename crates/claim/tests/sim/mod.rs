//! Simulation of several nodes that share one claim stream, whose appends are lost, delayed or
//! duplicated.

use std::collections::{BTreeMap, BTreeSet};

use claim::{Action, BootId, Cfg, ClaimRequest, Event, Fold, Key, Now, Outcome, ReqId, Shard};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use wire::{Executed, Fingerprint, InstanceId, Offset, Time, UnixMillis};

const START_MS: u64 = 1_800_000_000_000;
/// Number of records that the log retains, if they include a checkpoint.
const RETAINED_RECORDS: usize = 150;

struct Node {
    shard: Shard,
    /// Events in transit to the node, by arrival time in milliseconds and sequence number. They are
    /// lost when the node restarts.
    inbox: BTreeMap<(u64, u64), Event>,
    /// Time in milliseconds.
    paused_until: u64,
    /// Whether the node has adopted a checkpoint.
    adopted: bool,
}

/// Counters of the events in a simulation, to check that the faults took place.
#[derive(Debug, Default)]
pub(crate) struct Counters {
    /// Hand-overs to the target.
    pub(crate) handed: u64,
    /// Appends whose reply was lost.
    pub(crate) lost_replies: u64,
    /// Batches written after their append had got no reply.
    pub(crate) late_copies: u64,
    /// Hand-overs of a key that an earlier request released.
    pub(crate) rerun_after_release: u64,
    pub(crate) restarts: u64,
    /// Checkpoints adopted.
    pub(crate) adopted: u64,
    /// Requests answered with a kept response.
    pub(crate) answers: u64,
    /// Comparisons of a node's state with the expected one.
    pub(crate) compared: u64,
}

/// The simulated nodes, their log and the target, with what the checks need to know.
pub(crate) struct World {
    rng: StdRng,
    /// Time in milliseconds since the start.
    now: u64,
    /// Last number given to a boot id, a request, an event or a scheduled append.
    seq: u64,
    nodes: Vec<Node>,
    /// All records of the stream, by offset, including those that have expired.
    records: Vec<Vec<u8>>,
    /// Oldest offset that the log retains.
    oldest: usize,
    /// Time in milliseconds until which the log is unavailable.
    log_down_until: u64,
    /// Batches that are yet to be written, by time in milliseconds and sequence number.
    scheduled_appends: BTreeMap<(u64, u64), Vec<Vec<u8>>>,
    /// Expected state after each prefix of the stream, formatted by [`state_text`].
    expected_states: Vec<String>,
    /// Replay of all records, without faults.
    reference: Fold,
    /// Keys of all requests.
    keys: BTreeMap<ReqId, Key>,
    /// Requests that were handed over to the target.
    handed_over: BTreeSet<ReqId>,
    /// Requests that were answered or refused.
    replied: BTreeSet<ReqId>,
    /// Pending requests, each with its node and its deadline in milliseconds.
    pending: BTreeMap<ReqId, (usize, u64)>,
    /// Keys of requests that were dropped before the hand-over.
    released_keys: BTreeSet<Key>,
    /// Number of hand-overs by key, at most one each.
    runs: BTreeMap<Key, u64>,
    pub(crate) counters: Counters,
}

impl World {
    pub(crate) fn new(seed: u64, nodes: usize) -> World {
        let mut world = World {
            rng: StdRng::seed_from_u64(seed),
            now: 0,
            seq: 0,
            nodes: Vec::new(),
            records: Vec::new(),
            oldest: 0,
            log_down_until: 0,
            scheduled_appends: BTreeMap::new(),
            expected_states: vec![state_text(&Fold::new())],
            reference: Fold::new(),
            keys: BTreeMap::new(),
            handed_over: BTreeSet::new(),
            replied: BTreeSet::new(),
            pending: BTreeMap::new(),
            released_keys: BTreeSet::new(),
            runs: BTreeMap::new(),
            counters: Counters::default(),
        };
        for i in 0..nodes {
            let node = world.start(i);
            world.nodes.push(node);
        }
        world
    }

    /// Starts a process of node `i`, with a new boot id.
    fn start(&mut self, i: usize) -> Node {
        self.seq += 1;
        let cfg = Cfg::new(InstanceId(i as u64), BootId(self.seq));
        Node {
            shard: Shard::new(cfg, self.rng.random()),
            inbox: BTreeMap::new(),
            paused_until: 0,
            adopted: false,
        }
    }

    pub(crate) fn run(&mut self, steps_ms: u64) {
        for _ in 0..steps_ms {
            self.now += 1;
            self.inject_faults();
            self.apply_due_appends();
            if self.rng.random_bool(0.2) {
                self.send_request();
            }
            for i in 0..self.nodes.len() {
                if self.nodes[i].paused_until <= self.now {
                    self.step(i);
                }
            }
        }
    }

    fn inject_faults(&mut self) {
        let i = self.rng.random_range(0..self.nodes.len());
        if self.rng.random_bool(0.004) {
            self.nodes[i].paused_until = self.now + self.rng.random_range(5..400);
        }
        if self.rng.random_bool(0.003) {
            self.nodes[i] = self.start(i);
            self.pending.retain(|_, (node, _)| *node != i);
            self.counters.restarts += 1;
        }
        if self.rng.random_bool(0.002) {
            self.log_down_until = self.now + self.rng.random_range(5..200);
        }
        if self.rng.random_bool(0.02) {
            self.handle(i, Event::Checkpoint);
        }
    }

    fn apply_due_appends(&mut self) {
        while let Some(first) = self.scheduled_appends.first_entry()
            && first.key().0 <= self.now
        {
            for data in first.remove() {
                self.reference.apply(&data);
                self.expected_states.push(state_text(&self.reference));
                self.records.push(data);
            }
        }
        let checkpoint = self.reference.last_checkpoint().map_or(0, |o| o.0 as usize);
        let oldest = self.records.len().saturating_sub(RETAINED_RECORDS);
        // Without a checkpoint in the retained records, nodes that restart would only wait, and the
        // races under test would not occur.
        if oldest < checkpoint {
            self.oldest = self.oldest.max(oldest);
        }
    }

    fn send_request(&mut self) {
        self.seq += 1;
        // About ten requests compete for each key, a few of them with another fingerprint.
        let text = format!("key-{}-{}", self.now / 100, self.rng.random_range(0..2));
        let key = Key::try_from(text.as_str()).expect("a valid key");
        let req = ReqId(self.seq);
        self.keys.insert(req, key.clone());
        let claim_req = ClaimRequest {
            req,
            key,
            fingerprint: Fingerprint(u64::from(self.rng.random_bool(0.03))),
            deadline: Time::from_millis(self.now + self.rng.random_range(8..300)),
        };
        let i = self.rng.random_range(0..self.nodes.len());
        self.send(i, 0, Event::Request(claim_req));
    }

    fn send(&mut self, i: usize, delay: u64, event: Event) {
        self.seq += 1;
        let at = (self.now + delay, self.seq);
        self.nodes[i].inbox.insert(at, event);
    }

    /// Delivers the events that have arrived at the node, reads the log and checks the deadlines.
    fn step(&mut self, i: usize) {
        while let Some(first) = self.nodes[i].inbox.first_entry()
            && first.key().0 <= self.now
        {
            let event = first.remove();
            self.deliver(i, event);
        }
        if self.rng.random_bool(0.4) && self.log_down_until <= self.now {
            self.read(i);
        }
        self.handle(i, Event::Tick);
        let is_overdue = |(node, deadline): &(usize, u64)| *node == i && *deadline <= self.now;
        assert!(
            !self.pending.values().any(is_overdue),
            "no action by the deadline"
        );
    }

    /// Passes an event to the node. Checks and counts each hand-over, and sends the end of its run:
    /// a request reaches the target only by [`Event::HandedOver`].
    fn deliver(&mut self, i: usize, event: Event) {
        if let Event::Request(claim_req) = &event {
            let deadline = claim_req.deadline.as_micros() / 1_000;
            self.pending.insert(claim_req.req, (i, deadline));
        }
        if let Event::HandedOver(req) = event {
            let key = self.keys[&req].clone();
            assert!(
                !self.replied.contains(&req),
                "{req:?} ran after its refusal"
            );
            let runs = self.runs.entry(key.clone()).or_default();
            *runs += 1;
            assert!(*runs <= 1, "{key:?} was handed over {runs} times");
            self.counters.rerun_after_release += u64::from(self.released_keys.contains(&key));
            self.counters.handed += 1;
            self.handed_over.insert(req);
            let run_ms = self.rng.random_range(1..60);
            let finished = Event::Finished {
                req,
                status: 200,
                answer: req.0.to_le_bytes().to_vec(),
            };
            let has_no_response = self.rng.random_bool(0.1);
            self.send(
                i,
                run_ms,
                if has_no_response {
                    Event::NoResponse(req)
                } else {
                    finished
                },
            );
        }
        self.handle(i, event);
    }

    /// Lets the node read some records from the log, and the end of the log if it gets there.
    fn read(&mut self, i: usize) {
        let mut from = self.nodes[i].shard.read_from().0 as usize;
        if from < self.oldest {
            let oldest = Offset(self.oldest as u64);
            return self.handle(i, Event::Expired { oldest });
        }
        let until = (from + self.rng.random_range(1..40)).min(self.records.len());
        while from < until {
            let data = self.records[from].clone();
            let offset = Offset(from as u64);
            self.handle(i, Event::Read { offset, data });
            let next = self.nodes[i].shard.read_from().0 as usize;
            if next != from + 1 {
                self.nodes[i].adopted = true;
                self.counters.adopted += 1;
                return;
            }
            from = next;
        }
        if until == self.records.len() {
            let end = Offset(until as u64);
            self.handle(i, Event::End { end });
        }
        self.compare(i);
    }

    /// Checks that the node has the expected state for the prefix that it has read.
    fn compare(&mut self, i: usize) {
        let fold = self.nodes[i].shard.fold();
        if fold.is_awaiting_checkpoint() {
            return;
        }
        let next = fold.next_offset().0 as usize;
        assert_eq!(
            state_text(fold),
            self.expected_states[next],
            "node {i} at {next}"
        );
        self.counters.compared += 1;
    }

    fn handle(&mut self, i: usize, event: Event) {
        let now = Now {
            mono: Time::from_millis(self.now),
            wall: UnixMillis(START_MS + self.now + 40 * i as u64),
        };
        for action in self.nodes[i].shard.handle(now, event) {
            match action {
                Action::Append { batch, records } => self.append(i, batch, records),
                Action::Run(req) => {
                    self.check_single_action(req);
                    self.hand_over(i, req);
                }
                Action::Answer { req, answer } => self.check_answer(req, &answer.body),
                Action::Refuse { req, refusal } => {
                    if refusal.code.executed() == Some(Executed::No) {
                        assert!(
                            !self.handed_over.contains(&req),
                            "{req:?} was refused after its run"
                        );
                    }
                    self.check_single_action(req);
                    self.replied.insert(req);
                }
            }
        }
    }

    /// Lets the node hand over or cancel a request that it may run.
    fn hand_over(&mut self, i: usize, req: ReqId) {
        let delay = self.rng.random_range(0..30);
        let event = if self.rng.random_bool(0.3) {
            self.released_keys.insert(self.keys[&req].clone());
            Event::Cancelled(req)
        } else {
            Event::HandedOver(req)
        };
        self.send(i, delay, event);
    }

    /// Checks that the request gets exactly one action: run, answer or refuse.
    fn check_single_action(&mut self, req: ReqId) {
        let pending = self.pending.remove(&req);
        assert!(pending.is_some(), "a second action for {req:?}");
    }

    fn check_answer(&mut self, req: ReqId, body: &[u8]) {
        let run = ReqId(u64::from_le_bytes(body.try_into().expect("eight bytes")));
        assert!(self.handed_over.contains(&run), "an answer without a run");
        assert_eq!(self.keys[&run], self.keys[&req], "an answer of another key");
        self.check_single_action(req);
        self.replied.insert(req);
        self.counters.answers += 1;
    }

    /// Handles an append. It fails while the log is unavailable. Otherwise the batch is written and
    /// confirmed, or the append gets no reply and the batch is written later, once, twice or never.
    fn append(&mut self, i: usize, batch: u64, records: Vec<Vec<u8>>) {
        if self.log_down_until > self.now {
            return self.fail_append(i, batch, false);
        }
        let delay = self.rng.random_range(0..12);
        if self.rng.random_bool(0.8) {
            // Appends that are due are written first, so that `first` is the offset of this one.
            self.apply_due_appends();
            let first = Offset(self.records.len() as u64);
            self.scheduled_appends.insert((self.now, 0), records);
            self.apply_due_appends();
            return self.send(i, delay, Event::Appended { batch, first });
        }
        self.fail_append(i, batch, true);
        self.counters.lost_replies += 1;
        let copies = self.rng.random_range(0..3);
        for _ in 0..copies {
            self.seq += 1;
            let at = self.now + self.rng.random_range(0..400);
            self.scheduled_appends
                .insert((at, self.seq), records.clone());
            self.counters.late_copies += 1;
        }
    }

    /// Tells the node after a delay that an append has failed.
    fn fail_append(&mut self, i: usize, batch: u64, may_have_written: bool) {
        let delay = self.rng.random_range(1..40);
        let failed = Event::AppendFailed {
            batch,
            may_have_written,
        };
        self.send(i, delay, failed);
    }
}

/// Formats the state that must be equal on all nodes. Checkpoints carry no response bodies, so only
/// the status of a response is included.
fn state_text(fold: &Fold) -> String {
    let outcome = |o: &Option<Outcome>| match o {
        Some(Outcome::Kept(a)) => format!("{}", a.status),
        Some(Outcome::NotKept { status }) => format!("{status}"),
        without_status => format!("{without_status:?}"),
    };
    let entries = fold.live_entries().map(|(key, e)| {
        let (holder, deadline, expires_at) = (e.holder, e.deadline, e.expires_at);
        format!(
            "{key:?} {holder:?} {deadline:?} {expires_at:?} {}\n",
            outcome(&e.outcome)
        )
    });
    let closed_claims: Vec<_> = fold.closed_claims().collect();
    format!(
        "{:?}\n{}{closed_claims:?}",
        fold.clock(),
        entries.collect::<String>()
    )
}
