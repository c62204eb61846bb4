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
    /// Maximum balance of extra attempts, but at least the floor of one period.
    pub burst: f64,
}

/// A token bucket that requests fill, with a floor for times of low traffic.
///
/// After each period, the floor adds what the requests of the period didn't, up to a balance of one
/// floor, or of one token if that is more. A busy service therefore gets its share and nothing more.
#[derive(Clone, Debug)]
pub struct Budget {
    // Amounts are in units, `UNITS_PER_TOKEN` per token.
    per_request: u64,
    floor: u64,
    burst: u64,
    balance: u64,
    /// Units that requests have added in the current period.
    earned: u64,
    period_start: Option<Time>,
}

impl Budget {
    /// Makes a budget with a balance of one period's floor.
    pub fn new(cfg: BudgetCfg) -> Budget {
        let mut budget = Budget::empty(cfg);
        budget.balance = budget.floor;
        budget
    }

    /// Makes a budget with what the floor has granted in `time`.
    pub fn after(cfg: BudgetCfg, time: Duration) -> Budget {
        let mut budget = Budget::empty(cfg);
        let granted = to_units(cfg.floor_per_s * time.as_secs_f64());
        budget.balance = granted.min(budget.floor_balance());
        budget
    }

    fn empty(cfg: BudgetCfg) -> Budget {
        let mut budget = Budget {
            per_request: 0,
            floor: 0,
            burst: 0,
            balance: 0,
            earned: 0,
            period_start: None,
        };
        budget.set_cfg(cfg);
        budget
    }

    /// Changes the settings. The balance stays, up to the new burst.
    pub fn set_cfg(&mut self, cfg: BudgetCfg) {
        self.per_request = to_units(cfg.share);
        self.floor = to_units(cfg.floor_per_s);
        self.burst = to_units(cfg.burst).max(self.floor);
        self.balance = self.balance.min(self.burst);
    }

    /// Records a request from a caller, which adds `BudgetCfg::share` of a token.
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

    /// Puts back the token of an attempt that wasn't made.
    pub fn refund(&mut self) {
        self.balance = (self.balance + UNITS_PER_TOKEN).min(self.burst);
    }

    /// Balance up to which the floor fills the budget: one token at least, or a low floor would never
    /// allow an attempt.
    fn floor_balance(&self) -> u64 {
        self.floor.max(UNITS_PER_TOKEN).min(self.burst)
    }

    fn advance(&mut self, now: Time) {
        let start = *self.period_start.get_or_insert(now);
        if now.since(start) < FLOOR_PERIOD {
            return;
        }
        let missing = self.floor.saturating_sub(self.earned);
        let max = self.floor_balance();
        if self.balance < max {
            self.balance = (self.balance + missing).min(max);
        }
        self.earned = 0;
        self.period_start = Some(now);
    }
}

fn to_units(tokens: f64) -> u64 {
    (tokens * UNITS_PER_TOKEN as f64).round() as u64
}
