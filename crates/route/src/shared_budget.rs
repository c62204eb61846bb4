//! One node's parts of the retry budgets that all nodes of a mesh share.
//!
//! The budget of a service is a ratio of its requests, plus a slack for the whole mesh in each window.
//! A node spends the ratio of the requests that it counts itself, and an equal part of the slack. So
//! that the sum holds while nodes restart, a node starts without tokens, and it gets no part of the
//! slack until it knows the number of nodes.

use std::collections::HashMap;
use std::time::Duration;

use wire::{ServiceName, Time};

use crate::{Budget, BudgetCfg};

/// Fraction of the ratio that the nodes spend. A service that runs a repeated request calls other
/// services again, and those calls count as repeats too. With this fraction, such calls and the repeats
/// at the services called stay below the whole ratio together.
const RATIO_FRACTION: f64 = 0.6;
/// Fraction of the slack that all nodes together may save up for a burst.
const BURST_FRACTION: f64 = 0.4;
/// Fraction of the slack that all nodes together may spend per window on a service with few requests.
const FLOOR_FRACTION: f64 = 0.3;
/// Smallest burst of a node. A smaller one would never allow a repeat, however many requests fill it. What
/// it adds to a node's part of the slack is for requests that were cut off: in meshes of that size,
/// hedges and repeats of refused requests load other failure domains and serve no more callers.
const MIN_BURST: f64 = 1.0;
/// Time for which the next token is kept for a request that was cut off and got none. It is longer than
/// the time between two attempts of such a request to get one.
const KEPT_FOR: Duration = Duration::from_millis(300);

/// Settings of the retry budgets of a mesh.
#[derive(Clone, Copy, Debug)]
pub struct SharedBudgetCfg {
    /// Repeats that may arrive at a service per request, over all nodes.
    pub ratio: f64,
    /// Time over which the budget is counted.
    pub window: Duration,
    /// Repeats that may arrive at a service per window in addition to the ratio, over all nodes.
    pub slack: f64,
}

/// Why a request is sent once more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RepeatReason {
    /// The earlier attempt is slow, or no target has run the request: without a repeat, the caller
    /// waits, or gets a refusal that says so.
    Optional,
    /// The request was cut off in a run: without a repeat, the caller gets an error.
    CutOff,
}

/// One node's parts of the retry budgets of all services.
#[derive(Debug)]
pub struct SharedBudgets {
    cfg: SharedBudgetCfg,
    /// Most nodes known so far, 0 while the number is not known.
    nodes: usize,
    /// When the number of nodes became known.
    known_since: Option<Time>,
    by_service: HashMap<ServiceName, Part>,
}

/// This node's part of the budget of one service.
#[derive(Debug)]
struct Part {
    budget: Budget,
    /// End of the time for which the next token is kept; `None` if it is not.
    kept_until: Option<Time>,
}

impl SharedBudgets {
    /// Makes budgets without tokens, for an unknown number of nodes.
    pub fn new(cfg: SharedBudgetCfg) -> SharedBudgets {
        SharedBudgets {
            cfg,
            nodes: 0,
            known_since: None,
            by_service: HashMap::new(),
        }
    }

    /// Records the number of known nodes, this one included. A smaller number than before is ignored:
    /// the other nodes may still spend their parts.
    pub fn record_nodes(&mut self, now: Time, nodes: usize) {
        self.known_since.get_or_insert(now);
        if nodes <= self.nodes {
            return;
        }
        self.nodes = nodes;
        let cfg = part_cfg(&self.cfg, nodes);
        for part in self.by_service.values_mut() {
            part.budget.set_cfg(cfg);
        }
    }

    /// Records a request of a caller to a service, which adds to the service's budget.
    pub fn record_request(&mut self, now: Time, service: &ServiceName) {
        self.part(now, service).budget.record_request(now);
    }

    /// Takes a token for sending a request to a service once more; returns `false` if there is none
    /// for this reason. Requests that were cut off come first.
    pub fn try_spend(&mut self, now: Time, service: &ServiceName, reason: RepeatReason) -> bool {
        let has_burst = slack_part(&self.cfg, self.nodes) * BURST_FRACTION >= MIN_BURST;
        let part = self.part(now, service);
        match reason {
            RepeatReason::Optional if !has_burst => false,
            RepeatReason::Optional if part.kept_until.is_some_and(|t| now < t) => false,
            RepeatReason::Optional => part.budget.try_spend(now),
            RepeatReason::CutOff => {
                let is_spent = part.budget.try_spend(now);
                part.kept_until = (!is_spent).then(|| now + KEPT_FOR);
                is_spent
            }
        }
    }

    /// Puts back the token of a repeat that reached no target.
    pub fn refund(&mut self, service: &ServiceName) {
        if let Some(part) = self.by_service.get_mut(service) {
            part.budget.refund();
        }
    }

    fn part(&mut self, now: Time, service: &ServiceName) -> &mut Part {
        let known_for = self.known_since.map_or(Duration::ZERO, |t| now.since(t));
        self.by_service
            .entry(service.clone())
            .or_insert_with(|| Part {
                budget: Budget::after(part_cfg(&self.cfg, self.nodes), known_for),
                kept_until: None,
            })
    }
}

/// Returns the settings of the part that one of `nodes` nodes has in a budget.
fn part_cfg(cfg: &SharedBudgetCfg, nodes: usize) -> BudgetCfg {
    let slack = slack_part(cfg, nodes);
    BudgetCfg {
        share: cfg.ratio * RATIO_FRACTION,
        floor_per_s: slack * FLOOR_FRACTION / cfg.window.as_secs_f64(),
        burst: (slack * BURST_FRACTION).max(MIN_BURST),
    }
}

/// Returns one node's part of the slack, 0 while the number of nodes is not known.
fn slack_part(cfg: &SharedBudgetCfg, nodes: usize) -> f64 {
    match nodes {
        0 => 0.0,
        n => cfg.slack / n as f64,
    }
}
