//! Seeded arrivals of the queueing cases.

use std::time::Duration;

use admit::Class;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use wire::Time;

/// Distribution of service times around a mean.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Spread {
    /// Half of the mean and an exponential part of the same mean.
    Tailed,
    /// Even between 0.8 and 1.2 times the mean.
    Narrow,
}

/// Arrivals per second over time.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Rate {
    Steady(f64),
    /// `low` until `up`, then linear to `high` within 1 s, and `low` again from `down` on.
    Step {
        low: f64,
        high: f64,
        up: Time,
        down: Time,
    },
}

impl Rate {
    fn at(self, now: Time) -> f64 {
        match self {
            Rate::Steady(r) => r,
            Rate::Step {
                low,
                high,
                up,
                down,
            } => {
                if now >= down {
                    return low;
                }
                low + (high - low) * (now - up).as_secs_f64().min(1.0)
            }
        }
    }

    fn most(self) -> f64 {
        match self {
            Rate::Steady(r) => r,
            Rate::Step { low, high, .. } => low.max(high),
        }
    }
}

/// One kind of request.
#[derive(Clone, Debug)]
pub(crate) struct Kind {
    pub(crate) rate: Rate,
    pub(crate) route: u64,
    /// Different paths, each with its own hash.
    pub(crate) paths: u64,
    pub(crate) class: Class,
    pub(crate) mean: Duration,
    pub(crate) spread: Spread,
    pub(crate) deadline: Duration,
    /// Relative demand of each caller.
    pub(crate) callers: Vec<f64>,
}

/// A request as its caller sends it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Arrival {
    pub(crate) work: u64,
    pub(crate) caller: usize,
    /// Service time on the fastest target.
    pub(crate) service: Duration,
}

/// Draws the requests of one kind. Each kind has its own generator, so that adding a kind doesn't
/// change the others.
#[derive(Debug)]
pub(crate) struct Source {
    pub(crate) kind: Kind,
    rng: StdRng,
}

impl Source {
    pub(crate) fn new(kind: Kind, seed: u64) -> Source {
        Source {
            kind,
            rng: StdRng::seed_from_u64(seed),
        }
    }

    /// Returns the time of the next arrival after `now` (Poisson, by thinning).
    pub(crate) fn next_after(&mut self, now: Time) -> Time {
        let most = self.kind.rate.most();
        let mut at = now;
        loop {
            at = at + Duration::from_secs_f64(self.exponential() / most);
            if self.rng.random::<f64>() * most < self.kind.rate.at(at) {
                return at;
            }
        }
    }

    /// Draws a request.
    pub(crate) fn draw(&mut self) -> Arrival {
        let factor = match self.kind.spread {
            Spread::Tailed => 0.5 + 0.5 * self.exponential(),
            Spread::Narrow => self.rng.random_range(0.8..1.2),
        };
        Arrival {
            work: self.rng.random_range(0..self.kind.paths),
            caller: self.caller(),
            service: self.kind.mean.mul_f64(factor),
        }
    }

    fn caller(&mut self) -> usize {
        let total: f64 = self.kind.callers.iter().sum();
        let mut at = self.rng.random::<f64>() * total;
        for (i, w) in self.kind.callers.iter().enumerate() {
            at -= w;
            if at < 0.0 {
                return i;
            }
        }
        self.kind.callers.len() - 1
    }

    fn exponential(&mut self) -> f64 {
        -(1.0 - self.rng.random::<f64>()).ln()
    }
}
