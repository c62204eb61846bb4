//! Declared limits of a target and tunable parameters of admission.

use std::time::Duration;

/// Declared limits of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Requests that the target runs at once.
    pub slots: u32,
    /// Connections that the target accepts.
    pub connections: u32,
    /// Requests that may wait.
    pub queue: u32,
    /// Time that the target needs to reach full capacity after its start.
    pub cold_start: Duration,
}

impl Limits {
    /// Returns the number of requests that may run at once: each holds one connection.
    pub(crate) fn at_once(&self) -> u32 {
        self.slots.min(self.connections)
    }
}

/// How many slots long work leaves to short work while short work is present.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Reserve {
    /// Long work may hold this share of the slots, rounded down, at least one.
    Share(f64),
    /// Long work may hold what the measured short work and this many standard deviations of it
    /// leave, at most half of the slots, at least one.
    Measured(f64),
}

/// Parameters that the benchmark compares. The defaults are the values kept.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tuning {
    /// Slots left to short work.
    pub reserve: Reserve,
    /// Serve the newest request first under overload.
    pub newest_first: bool,
    /// Time in the queue above which a standing queue counts as overload.
    pub sojourn_target: Duration,
    /// How long the queue must stand before overload is declared.
    pub sojourn_interval: Duration,
    /// Longest wait of short work under overload. Leaves time for the refusal to reach the
    /// caller within 20 ms of arrival.
    pub overload_wait: Duration,
    /// Adjust the limit below the declared slots by measurement.
    pub measured_limit: bool,
}

impl Default for Tuning {
    fn default() -> Tuning {
        Tuning {
            // With half of six slots kept, short work at 60% load (3.6 slots) overloads its part.
            reserve: Reserve::Measured(1.0),
            newest_first: true,
            sojourn_target: Duration::from_millis(5),
            sojourn_interval: Duration::from_millis(100),
            overload_wait: Duration::from_millis(10),
            measured_limit: true,
        }
    }
}
