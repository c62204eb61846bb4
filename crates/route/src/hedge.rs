//! Hedging: a second attempt for an idempotent request that is slower than most.

use std::collections::BTreeMap;
use std::time::Duration;

use wire::Time;

use crate::{Budget, BudgetCfg, Quantiles, RouteKey};

/// Maximum number of routes with statistics. Requests of further routes aren't hedged.
const MAX_ROUTES: usize = 1_024;

/// Settings of hedging.
#[derive(Clone, Copy, Debug)]
pub struct HedgeCfg {
    /// Maximum number of hedges per request, 0 to 1.
    pub budget_share: f64,
    /// Maximum balance of the budget, in hedges. It covers an instance that suddenly becomes slow.
    pub burst: f64,
    /// Shortest delay of a hedge. Below it, scheduling noise would decide.
    pub min_delay: Duration,
}

impl Default for HedgeCfg {
    fn default() -> Self {
        HedgeCfg {
            budget_share: 0.05,
            burst: 20.0,
            min_delay: Duration::from_millis(1),
        }
    }
}

/// Hedge delays per route, and the budget for hedges.
#[derive(Clone, Debug)]
pub struct Hedge {
    cfg: HedgeCfg,
    budget: Budget,
    routes: BTreeMap<RouteKey, Quantiles>,
}

impl Hedge {
    /// Makes a state without latencies or tokens. There is no floor: only requests add tokens.
    pub fn new(cfg: HedgeCfg) -> Hedge {
        Hedge {
            budget: Budget::new(BudgetCfg {
                share: cfg.budget_share,
                floor_per_s: 0.0,
                burst: cfg.burst,
            }),
            cfg,
            routes: BTreeMap::new(),
        }
    }

    /// Records a request from a caller, which adds `HedgeCfg::budget_share` of a token.
    pub fn record_request(&mut self, now: Time) {
        self.budget.record_request(now);
    }

    /// Records the latency of a first attempt, or its age when a hedge overtook it. Without the
    /// ages of overtaken attempts, hedges would hide the tail and the delay would shrink more and
    /// more.
    pub fn record_latency(&mut self, route: RouteKey, latency: Duration) {
        if self.routes.len() < MAX_ROUTES || self.routes.contains_key(&route) {
            self.routes.entry(route).or_default().record(latency);
        }
    }

    /// Returns how long after the first attempt a hedge is sent: the route's tail latency, but at
    /// least `HedgeCfg::min_delay`. Returns `None` while the tail latency is unknown.
    pub fn delay(&self, route: RouteKey) -> Option<Duration> {
        let tail = self.routes.get(&route)?.tail()?;
        Some(tail.max(self.cfg.min_delay))
    }

    /// Takes a token for a hedge, or returns `false` if the budget is exhausted.
    pub fn try_spend(&mut self, now: Time) -> bool {
        self.budget.try_spend(now)
    }

    /// Puts back the token of a hedge for which no instance was available.
    pub fn refund(&mut self) {
        self.budget.refund();
    }

    /// Drops the statistics of routes for which `keep` returns `false`.
    pub fn retain(&mut self, mut keep: impl FnMut(RouteKey) -> bool) {
        self.routes.retain(|k, _| keep(*k));
    }
}
