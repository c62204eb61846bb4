//! Budget for extra attempts as a share of the requests.

use std::time::Duration;

use wire::Time;

/// Period for which the floor is granted.
const FLOOR_PERIOD: Duration = Duration::from_secs(1);
/// Units per token. Integer units keep the balance exact over any number of operations.
const UNITS_PER_TOKEN: u64 = 1_000_000;

/// Settings of a budget.
#[derive(Clone, Copy, Debug)]
pub struct BudgetCfg {
    /// Extra attempts per request, 0 to 1.
    pub share: f64,
    /// Extra attempts per second that a service with few requests may make.
    pub floor_per_s: f64,
    /// Maximum balance of extra attempts. It is raised to one period's floor if that is larger.
    pub burst: f64,
}

/// A token bucket that requests fill, with a floor for times of low traffic.
///
/// The floor adds only what the requests of a period didn't earn, so a busy service gets its share
/// and nothing on top of it.
#[derive(Clone, Debug)]
pub struct Budget {
    per_request: u64,
    floor: u64,
    burst: u64,
    balance: u64,
    earned: u64,
    period_start: Option<Time>,
}

impl Budget {
    /// Makes a budget with a balance of one period's floor.
    pub fn new(cfg: BudgetCfg) -> Budget {
        let floor = to_units(cfg.floor_per_s);
        Budget {
            per_request: to_units(cfg.share),
            floor,
            burst: to_units(cfg.burst).max(floor),
            balance: floor,
            earned: 0,
            period_start: None,
        }
    }

    /// Records a request from a caller, which earns its share of a token.
    pub fn record_request(&mut self, now: Time) {
        self.advance(now);
        self.earned = self.earned.saturating_add(self.per_request);
        self.balance = (self.balance + self.per_request).min(self.burst);
    }

    /// Takes one token, or returns `false` if the balance is below one.
    pub fn try_spend(&mut self, now: Time) -> bool {
        self.advance(now);
        let Some(rest) = self.balance.checked_sub(UNITS_PER_TOKEN) else {
            return false;
        };
        self.balance = rest;
        true
    }

    /// Returns a token for an attempt that was not made.
    pub fn refund(&mut self) {
        self.balance = (self.balance + UNITS_PER_TOKEN).min(self.burst);
    }

    fn advance(&mut self, now: Time) {
        let start = *self.period_start.get_or_insert(now);
        if now.since(start) < FLOOR_PERIOD {
            return;
        }
        let missing = self.floor.saturating_sub(self.earned);
        if self.balance < self.floor {
            self.balance = (self.balance + missing).min(self.floor);
        }
        self.earned = 0;
        self.period_start = Some(now);
    }
}

fn to_units(tokens: f64) -> u64 {
    (tokens * UNITS_PER_TOKEN as f64).round() as u64
}
