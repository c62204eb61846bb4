//! Seeded arrivals of the queueing cases.

use std::time::Duration;

use admit::Class;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use wire::Time;

/// Distribution of service times around their mean.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Distribution {
    /// Half of the mean, plus an exponential part whose mean is the other half.
    ShiftedExponential,
    /// Uniform between 0.8 and 1.2 times the mean.
    Uniform,
}

/// Arrivals per second over time.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Rate {
    /// The same rate throughout.
    Steady(f64),
    /// `low` until `rise_at`, then a linear rise to `high` within 1 s; `low` again from `fall_at`
    /// on.
    Step {
        low: f64,
        high: f64,
        rise_at: Time,
        fall_at: Time,
    },
}

impl Rate {
    fn at(self, now: Time) -> f64 {
        match self {
            Rate::Steady(r) => r,
            Rate::Step {
                low,
                high,
                rise_at,
                fall_at,
            } => {
                if now >= fall_at {
                    return low;
                }
                low + (high - low) * (now - rise_at).as_secs_f64().min(1.0)
            }
        }
    }

    fn peak(self) -> f64 {
        match self {
            Rate::Steady(r) => r,
            Rate::Step { low, high, .. } => low.max(high),
        }
    }
}

/// Properties of the requests of one kind.
#[derive(Clone, Debug)]
pub(crate) struct Kind {
    pub(crate) rate: Rate,
    pub(crate) route: u64,
    /// Number of different request paths; each is an operation of its own to the admission.
    pub(crate) paths: u64,
    /// Declared class, or `Auto`.
    pub(crate) class: Class,
    /// Mean service time on the fastest target.
    pub(crate) mean_service: Duration,
    pub(crate) distribution: Distribution,
    /// Deadline, counted from the arrival.
    pub(crate) deadline: Duration,
    /// Relative demand of each caller.
    pub(crate) callers: Vec<f64>,
}

/// A request as its caller sends it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Arrival {
    /// Index of the request path.
    pub(crate) path: u64,
    /// Index of the caller.
    pub(crate) caller: usize,
    /// Service time on the fastest target.
    pub(crate) service: Duration,
}

/// Draws the requests of one kind. Each kind has a random number generator of its own, so that
/// adding a kind doesn't change the others.
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

    /// Returns the time of the next arrival after `now`: a Poisson process of variable rate, drawn
    /// by thinning one at the peak rate.
    pub(crate) fn next_arrival(&mut self, now: Time) -> Time {
        let peak = self.kind.rate.peak();
        let mut at = now;
        loop {
            at = at + Duration::from_secs_f64(self.draw_exponential() / peak);
            if self.rng.random::<f64>() * peak < self.kind.rate.at(at) {
                return at;
            }
        }
    }

    /// Draws the properties of the next request.
    pub(crate) fn draw(&mut self) -> Arrival {
        let factor = match self.kind.distribution {
            Distribution::ShiftedExponential => 0.5 + 0.5 * self.draw_exponential(),
            Distribution::Uniform => self.rng.random_range(0.8..1.2),
        };
        Arrival {
            path: self.rng.random_range(0..self.kind.paths),
            caller: self.draw_caller(),
            service: self.kind.mean_service.mul_f64(factor),
        }
    }

    /// Draws the index of a caller, weighted by demand.
    fn draw_caller(&mut self) -> usize {
        let total: f64 = self.kind.callers.iter().sum();
        let mut remaining = self.rng.random::<f64>() * total;
        for (i, weight) in self.kind.callers.iter().enumerate() {
            remaining -= weight;
            if remaining < 0.0 {
                return i;
            }
        }
        self.kind.callers.len() - 1
    }

    /// Draws from the exponential distribution with mean 1.
    fn draw_exponential(&mut self) -> f64 {
        -(1.0 - self.rng.random::<f64>()).ln()
    }
}
