//! How an entry node picks targets: with the route crate's picker, or by a baseline policy.

use std::fmt;
use std::time::Duration;

use route::{
    Hedge, HedgeCfg, InstanceView, Outcome, Pick, PickRequest, Picker, PickerCfg, RouteKey, State,
    Ticket,
};
use wire::{Domain, InstanceId, Time};

/// The only route of the case.
pub(crate) const ROUTE: RouteKey = RouteKey(1);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Policy {
    /// The picker and the hedging of the route crate.
    Route,
    RoundRobin,
    LeastConnections,
}

impl fmt::Display for Policy {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Policy::Route => "route",
            Policy::RoundRobin => "round_robin",
            Policy::LeastConnections => "least_connections",
        })
    }
}

/// Returns the failure domain of the entry node or target `i`.
pub(crate) fn domain(i: usize) -> Domain {
    Domain::from(["dar-a", "dar-b", "dar-c"][i % 3])
}

/// An entry node.
#[derive(Debug)]
pub(crate) struct Entry {
    policy: Policy,
    pub(crate) picker: Picker,
    pub(crate) hedge: Hedge,
    /// Requests in flight to each target.
    in_flight: Vec<u32>,
    /// Number of picks so far, offset by the node's index; selects the target under round robin.
    pick_count: usize,
}

impl Entry {
    pub(crate) fn new(policy: Policy, index: usize, targets: &[u32], seed: u64) -> Entry {
        let node = InstanceId(1_000 + index as u64);
        let mut picker = Picker::new(PickerCfg::new(node, domain(index)), seed + index as u64);
        let views: Vec<InstanceView> = targets
            .iter()
            .enumerate()
            .map(|(i, s)| instance_view(i, *s))
            .collect();
        picker.set_instances(Time::ZERO, &views);
        Entry {
            policy,
            picker,
            hedge: Hedge::new(HedgeCfg::default()),
            in_flight: vec![0; targets.len()],
            pick_count: index,
        }
    }

    /// Returns the index of the picked target, and whether the request is a probe. For a hedge,
    /// `tried` is the target of the first attempt.
    pub(crate) fn pick(
        &mut self,
        now: Time,
        tried: Option<usize>,
        can_hedge: bool,
    ) -> Option<(usize, bool)> {
        let n = self.in_flight.len();
        self.pick_count += 1;
        match self.policy {
            Policy::RoundRobin => Some((self.pick_count % n, false)),
            Policy::LeastConnections => (0..n)
                .map(|i| (self.pick_count + i) % n)
                .min_by_key(|i| self.in_flight[*i])
                .map(|i| (i, false)),
            Policy::Route => {
                let exclude: Vec<InstanceId> =
                    tried.iter().map(|t| InstanceId(*t as u64)).collect();
                let pick_request = PickRequest {
                    exclude: &exclude,
                    is_hedge: tried.is_some(),
                    is_repeatable: can_hedge,
                };
                let Pick { id, is_probe } = self.picker.pick(now, &pick_request)?;
                Some((id.0 as usize, is_probe))
            }
        }
    }

    /// Returns how long to wait for the response before a hedge; `None` while latencies are
    /// unknown. A probe isn't hedged before its reply is overdue.
    pub(crate) fn hedge_delay(&self, target: usize, is_probe: bool) -> Option<Duration> {
        let delay = self.hedge.delay(ROUTE)?;
        if !is_probe {
            return Some(delay);
        }
        let overdue_after = self.picker.late_after(InstanceId(target as u64), ROUTE)?;
        Some(delay.max(overdue_after))
    }

    pub(crate) fn begin(&mut self, now: Time, target: usize) -> Ticket {
        self.in_flight[target] += 1;
        self.picker.begin(now, InstanceId(target as u64), ROUTE)
    }

    pub(crate) fn end(&mut self, now: Time, target: usize, ticket: Ticket, outcome: Outcome) {
        self.in_flight[target] -= 1;
        self.picker.end(now, ticket, outcome);
    }
}

fn instance_view(index: usize, slots: u32) -> InstanceView {
    InstanceView {
        id: InstanceId(index as u64),
        domain: domain(index),
        slots,
        state: State::Ready,
        is_fresh: false,
    }
}
