//! A budget for extra work as a share of the requests.

use std::time::Duration;

use wire::Time;

/// Seconds over which the floor is granted.
const FLOOR_PERIOD: Duration = Duration::from_secs(1);
/// Parts of a token. Integers keep the balance exact over any history.
const PARTS: u64 = 1_000_000;

/// Settings of a budget.
#[derive(Clone, Copy, Debug)]
pub struct BudgetCfg {
    /// Extra attempts per request.
    pub share: f64,
    /// Extra attempts that a quiet service may make per second.
    pub floor_per_s: f64,
    /// Most extra attempts that can be saved up.
    pub burst: f64,
}

/// A token bucket that is filled by requests, with a floor for quiet times.
///
/// The floor tops up only what the requests of a period didn't earn, so a busy service gets the
/// share and nothing beyond it.
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
    /// Makes a budget that holds one period's floor.
    pub fn new(cfg: BudgetCfg) -> Budget {
        let floor = parts(cfg.floor_per_s);
        Budget {
            per_request: parts(cfg.share),
            floor,
            burst: parts(cfg.burst).max(floor),
            balance: floor,
            earned: 0,
            period_start: None,
        }
    }

    /// Counts a request that arrived from a caller.
    pub fn request(&mut self, now: Time) {
        self.advance(now);
        self.earned = self.earned.saturating_add(self.per_request);
        self.balance = (self.balance + self.per_request).min(self.burst);
    }

    /// Takes one token, or returns `false` if there is none.
    pub fn try_spend(&mut self, now: Time) -> bool {
        self.advance(now);
        let Some(rest) = self.balance.checked_sub(PARTS) else {
            return false;
        };
        self.balance = rest;
        true
    }

    /// Gives back a token that was taken for an attempt that wasn't made.
    pub fn refund(&mut self) {
        self.balance = (self.balance + PARTS).min(self.burst);
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

fn parts(tokens: f64) -> u64 {
    (tokens * PARTS as f64).round() as u64
}
