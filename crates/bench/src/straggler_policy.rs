//! How an entry node chooses: the picker, or a simple policy to compare with.

use std::fmt;
use std::time::Duration;

use route::{
    Hedge, HedgeCfg, InstanceView, Outcome, Pick, PickRequest, Picker, PickerCfg, RouteKey, State,
    Ticket,
};
use wire::{Domain, InstanceId, Time};

pub(crate) const ROUTE: RouteKey = RouteKey(1);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Policy {
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

pub(crate) fn domain(i: usize) -> Domain {
    Domain::from(["dar-a", "dar-b", "dar-c"][i % 3])
}

/// An entry node.
#[derive(Debug)]
pub(crate) struct Entry {
    policy: Policy,
    pub(crate) picker: Picker,
    pub(crate) hedge: Hedge,
    open: Vec<u32>,
    next: usize,
}

impl Entry {
    pub(crate) fn new(policy: Policy, index: usize, targets: &[u32], seed: u64) -> Entry {
        let node = InstanceId(1_000 + index as u64);
        let mut picker = Picker::new(PickerCfg::new(node, domain(index)), seed + index as u64);
        let views: Vec<InstanceView> = targets
            .iter()
            .enumerate()
            .map(|(i, s)| view(i, *s))
            .collect();
        picker.set_instances(Time::ZERO, &views);
        Entry {
            policy,
            picker,
            hedge: Hedge::new(HedgeCfg::default()),
            open: vec![0; targets.len()],
            next: index,
        }
    }

    /// Returns the index of the chosen target, and whether the request is a probe.
    pub(crate) fn pick(
        &mut self,
        now: Time,
        tried: Option<usize>,
        hedged: bool,
    ) -> Option<(usize, bool)> {
        let n = self.open.len();
        self.next += 1;
        match self.policy {
            Policy::RoundRobin => Some((self.next % n, false)),
            Policy::LeastConnections => (0..n)
                .map(|i| (self.next + i) % n)
                .min_by_key(|i| self.open[*i])
                .map(|i| (i, false)),
            Policy::Route => {
                let exclude: Vec<InstanceId> =
                    tried.iter().map(|t| InstanceId(*t as u64)).collect();
                let pick_request = PickRequest {
                    exclude: &exclude,
                    is_hedge: tried.is_some(),
                    is_repeatable: hedged,
                };
                let Pick { id, is_probe } = self.picker.pick(now, &pick_request)?;
                Some((id.0 as usize, is_probe))
            }
        }
    }

    /// Returns how long to wait for the answer before a hedge.
    pub(crate) fn hedge_delay(&self, target: usize, is_probe: bool) -> Option<Duration> {
        let delay = self.hedge.delay(ROUTE)?;
        if !is_probe {
            return Some(delay);
        }
        let late = self.picker.late_after(InstanceId(target as u64), ROUTE)?;
        Some(delay.max(late))
    }

    pub(crate) fn begin(&mut self, now: Time, target: usize) -> Ticket {
        self.open[target] += 1;
        self.picker.begin(now, InstanceId(target as u64), ROUTE)
    }

    pub(crate) fn end(&mut self, now: Time, target: usize, ticket: Ticket, outcome: Outcome) {
        self.open[target] -= 1;
        self.picker.end(now, ticket, outcome);
    }
}

fn view(index: usize, slots: u32) -> InstanceView {
    InstanceView {
        id: InstanceId(index as u64),
        domain: domain(index),
        slots,
        state: State::Ready,
        is_fresh: false,
    }
}
