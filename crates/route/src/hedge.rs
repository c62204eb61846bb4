//! Hedging: a second attempt for an idempotent request that takes unusually long.

use std::collections::BTreeMap;
use std::time::Duration;

use wire::Time;

use crate::{Budget, BudgetCfg, Quantiles, RouteKey};

/// Routes with their own statistics. Further routes aren't hedged.
const MAX_ROUTES: usize = 1_024;

/// Settings of hedging.
#[derive(Clone, Copy, Debug)]
pub struct HedgeCfg {
    /// Hedges per request, at most.
    pub share: f64,
    /// Most hedges that can be saved up for a sudden straggler.
    pub burst: f64,
    /// Shortest delay of a hedge; below it, scheduling noise would decide.
    pub min_delay: Duration,
}

impl Default for HedgeCfg {
    fn default() -> Self {
        HedgeCfg {
            share: 0.05,
            burst: 20.0,
            min_delay: Duration::from_millis(1),
        }
    }
}

/// Learns when a hedge is due, and keeps the budget.
#[derive(Clone, Debug)]
pub struct Hedge {
    cfg: HedgeCfg,
    budget: Budget,
    routes: BTreeMap<RouteKey, Quantiles>,
}

impl Hedge {
    /// Makes an empty state. Hedges start with the first earned token; there is no floor.
    pub fn new(cfg: HedgeCfg) -> Hedge {
        Hedge {
            budget: Budget::new(BudgetCfg {
                share: cfg.share,
                floor_per_s: 0.0,
                burst: cfg.burst,
            }),
            cfg,
            routes: BTreeMap::new(),
        }
    }

    /// Counts a request that arrived from a caller.
    pub fn request(&mut self, now: Time) {
        self.budget.request(now);
    }

    /// Adds the latency of a first attempt, or its age when a hedge has overtaken it. Without the
    /// latter, hedges would hide the tail, and the delay would shrink more and more.
    pub fn observe(&mut self, route: RouteKey, latency: Duration) {
        if self.routes.len() < MAX_ROUTES || self.routes.contains_key(&route) {
            self.routes.entry(route).or_default().record(latency);
        }
    }

    /// Returns how long to wait before a hedge is sent, or `None` while that isn't known.
    pub fn delay(&self, route: RouteKey) -> Option<Duration> {
        let tail = self.routes.get(&route)?.tail()?;
        Some(tail.max(self.cfg.min_delay))
    }

    /// Takes a token for a hedge that is due, or returns `false` if the budget is used up.
    pub fn try_spend(&mut self, now: Time) -> bool {
        self.budget.try_spend(now)
    }

    /// Gives back a token when no instance was left for the hedge.
    pub fn refund(&mut self) {
        self.budget.refund();
    }

    /// Forgets the routes for which `keep` is false.
    pub fn retain(&mut self, mut keep: impl FnMut(RouteKey) -> bool) {
        self.routes.retain(|k, _| keep(*k));
    }
}
