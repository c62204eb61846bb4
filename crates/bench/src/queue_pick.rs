//! An entry node of the queueing cases: choice of a target and retries.

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
/// Keeps the ids of entry nodes apart from those of targets.
const FIRST_ENTRY_ID: u64 = 1_000;

/// How an entry node chooses a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Pick {
    /// The picker of the route crate.
    Route,
    /// The less loaded of two random targets by the entry's own requests in flight.
    TwoChoices,
    /// The target with the fewest own requests in flight.
    LeastConnections,
    /// Each target in turn.
    RoundRobin,
}

/// A node that sends requests to the targets of one hop.
#[derive(Debug)]
pub(crate) struct Entry {
    how: Pick,
    picker: Picker,
    retries: RetryBudget,
    /// Requests that hold a connection.
    in_flight: Vec<u32>,
    connections: Vec<u32>,
    turn: usize,
}

impl Entry {
    /// Makes the entry node `index` of a hop whose targets have `slots`.
    pub(crate) fn new(how: Pick, index: usize, slots: &[u32], seed: u64) -> Entry {
        let node = InstanceId(FIRST_ENTRY_ID + index as u64);
        let mut picker = Picker::new(PickerCfg::new(node, domain(index)), seed);
        let views: Vec<InstanceView> = slots.iter().enumerate().map(view).collect();
        picker.set_instances(Time::ZERO, &views);
        Entry {
            how,
            picker,
            retries: RetryBudget::default(),
            in_flight: vec![0; slots.len()],
            connections: vec![0; slots.len()],
            turn: index,
        }
    }

    /// Counts a request that arrived from above.
    pub(crate) fn request(&mut self, now: Time) {
        self.retries.record_request(now);
    }

    /// Chooses a target, or none if each was tried.
    pub(crate) fn pick(&mut self, now: Time, tried: &Attempts, rng: &mut StdRng) -> Option<usize> {
        let n = self.in_flight.len();
        self.turn = (self.turn + 1) % n;
        match self.how {
            Pick::Route => {
                let pick_request = PickRequest {
                    exclude: tried.tried(),
                    is_hedge: false,
                    is_repeatable: tried.is_idempotent(),
                };
                Some(self.picker.pick(now, &pick_request)?.id.0 as usize)
            }
            Pick::TwoChoices => Some(self.less_loaded(rng)),
            Pick::LeastConnections => (0..n)
                .map(|i| (self.turn + i) % n)
                .min_by_key(|i| self.in_flight[*i]),
            Pick::RoundRobin => Some(self.turn),
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

    /// Counts an attempt. Returns whether a connection has to be opened for it.
    pub(crate) fn begin(&mut self, now: Time, target: usize, route: RouteKey) -> (Ticket, bool) {
        self.in_flight[target] += 1;
        let opens = self.in_flight[target] > self.connections[target];
        self.connections[target] += u32::from(opens);
        let ticket = self.picker.begin(now, InstanceId(target as u64), route);
        (ticket, opens)
    }

    /// Counts the end of an attempt.
    pub(crate) fn end(&mut self, now: Time, target: usize, ticket: Ticket, outcome: Outcome) {
        self.in_flight[target] -= 1;
        self.picker.end(now, ticket, outcome);
    }

    /// Takes a token for a retry after a refusal, if one is allowed.
    pub(crate) fn may_retry(
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

    /// Gives back the token of a retry for which no target was left.
    pub(crate) fn refund(&mut self) {
        self.retries.refund();
    }
}

fn domain(index: usize) -> Domain {
    Domain::from(DOMAINS[index % DOMAINS.len()])
}

fn view((index, slots): (usize, &u32)) -> InstanceView {
    InstanceView {
        id: InstanceId(index as u64),
        domain: domain(index),
        slots: *slots,
        state: State::Ready,
        is_fresh: false,
    }
}
