//! An entry node of the queueing cases: how it picks targets and retries refusals.

use std::time::Duration;

use rand::RngExt;
use rand::rngs::StdRng;
use route::{
    Attempts, Failure, InstanceView, Outcome, PickRequest, Picker, PickerCfg, RetryBudget,
    RouteKey, State, Ticket,
};
use wire::{Domain, InstanceId, Time};

/// Failure domains of a site.
const DOMAINS: [&str; 3] = ["a", "b", "c"];
/// Id of the first entry node; the ids of targets are lower.
const FIRST_ENTRY_ID: u64 = 1_000;

/// How an entry node picks a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PickPolicy {
    /// The picker of the route crate.
    Route,
    /// Of two random targets, the one with fewer requests in flight from this entry node.
    TwoChoices,
    /// The target with the fewest requests in flight from this entry node.
    LeastConnections,
    /// Each target in turn.
    RoundRobin,
}

/// A node that sends requests to the targets of one hop: an entry node, or for further hops a
/// target-side node.
#[derive(Debug)]
pub(crate) struct Entry {
    policy: PickPolicy,
    picker: Picker,
    retries: RetryBudget,
    /// Requests in flight to each target; each holds a connection.
    in_flight: Vec<u32>,
    /// Connections opened to each target so far; they stay open.
    connections: Vec<u32>,
    /// Target whose turn it is under round robin; ties under least connections go to the next one.
    next_target: usize,
}

impl Entry {
    /// Creates the node `index` of a hop whose targets declare `slots`.
    pub(crate) fn new(policy: PickPolicy, index: usize, slots: &[u32], seed: u64) -> Entry {
        let node = InstanceId(FIRST_ENTRY_ID + index as u64);
        let mut picker = Picker::new(PickerCfg::new(node, domain(index)), seed);
        let views: Vec<InstanceView> = slots.iter().enumerate().map(instance_view).collect();
        picker.set_instances(Time::ZERO, &views);
        Entry {
            policy,
            picker,
            retries: RetryBudget::default(),
            in_flight: vec![0; slots.len()],
            connections: vec![0; slots.len()],
            next_target: index,
        }
    }

    /// Records a request from a caller or the previous hop, for the retry budget.
    pub(crate) fn record_request(&mut self, now: Time) {
        self.retries.record_request(now);
    }

    /// Picks the index of a target. Returns `None` if the route crate's picker has none to offer.
    pub(crate) fn pick(&mut self, now: Time, tried: &Attempts, rng: &mut StdRng) -> Option<usize> {
        let n = self.in_flight.len();
        self.next_target = (self.next_target + 1) % n;
        match self.policy {
            PickPolicy::Route => {
                let pick_request = PickRequest {
                    exclude: tried.tried(),
                    is_hedge: false,
                    is_repeatable: tried.is_idempotent(),
                };
                Some(self.picker.pick(now, &pick_request)?.id.0 as usize)
            }
            PickPolicy::TwoChoices => Some(self.less_loaded(rng)),
            PickPolicy::LeastConnections => (0..n)
                .map(|i| (self.next_target + i) % n)
                .min_by_key(|i| self.in_flight[*i]),
            PickPolicy::RoundRobin => Some(self.next_target),
        }
    }

    fn less_loaded(&self, rng: &mut StdRng) -> usize {
        let n = self.in_flight.len();
        let a = rng.random_range(0..n);
        let b = (a + rng.random_range(1..n.max(2))) % n;
        if self.in_flight[b] < self.in_flight[a] {
            b
        } else {
            a
        }
    }

    /// Records the start of an attempt. Also returns whether it has to open a connection.
    pub(crate) fn begin(&mut self, now: Time, target: usize, route: RouteKey) -> (Ticket, bool) {
        self.in_flight[target] += 1;
        let opens_connection = self.in_flight[target] > self.connections[target];
        self.connections[target] += u32::from(opens_connection);
        let ticket = self.picker.begin(now, InstanceId(target as u64), route);
        (ticket, opens_connection)
    }

    /// Records the end of an attempt.
    pub(crate) fn end(&mut self, now: Time, target: usize, ticket: Ticket, outcome: Outcome) {
        self.in_flight[target] -= 1;
        self.picker.end(now, ticket, outcome);
    }

    /// Takes a token for a retry after a refusal. Returns `false` if no retry is allowed.
    pub(crate) fn try_retry(
        &mut self,
        now: Time,
        tried: &Attempts,
        outcome: Outcome,
        remaining: Duration,
        route: RouteKey,
    ) -> bool {
        let failure = Failure {
            kind: outcome.kind,
            is_from_upstream: false,
            response_started: false,
            replayable: true,
            remaining,
        };
        let median = self.picker.median(route);
        self.retries.try_retry(now, tried, &failure, median).is_ok()
    }

    /// Returns the token of a retry for which no target was available.
    pub(crate) fn refund(&mut self) {
        self.retries.refund();
    }
}

fn domain(index: usize) -> Domain {
    Domain::from(DOMAINS[index % DOMAINS.len()])
}

fn instance_view((index, slots): (usize, &u32)) -> InstanceView {
    InstanceView {
        id: InstanceId(index as u64),
        domain: domain(index),
        slots: *slots,
        state: State::Ready,
        is_fresh: false,
    }
}
