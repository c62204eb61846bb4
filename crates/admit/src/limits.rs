//! Declared limits of a target and tunable parameters of admission.

use std::time::Duration;

/// Declared limits of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum number of requests that the target runs concurrently.
    pub slots: u32,
    /// Maximum number of connections that the target accepts.
    pub connections: u32,
    /// Maximum number of requests that may wait in the queue.
    pub queue: u32,
    /// Time that the target needs to reach full capacity after its start. Zero disables the ramp.
    pub cold_start: Duration,
}

impl Limits {
    /// Returns the maximum number of concurrent requests. Each holds one connection.
    pub(crate) fn max_concurrency(&self) -> u32 {
        self.slots.min(self.connections)
    }
}

/// How many slots are reserved for short requests while short requests arrive.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Reserve {
    /// Long requests may hold this fraction of the slots, rounded down, at least one.
    Fraction(f64),
    /// Reserves the average number of short requests plus this many standard deviations. Long
    /// requests may hold the remaining slots, at most half of all, at least one.
    Measured(f64),
}

/// Parameters of admission, for benchmarks that compare them. Nodes use the defaults.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tuning {
    /// Slots reserved for short requests.
    pub reserve: Reserve,
    /// Whether the newest short request is served first under overload, instead of the oldest.
    pub is_newest_first_under_overload: bool,
    /// Target sojourn time: wait of the oldest short request that is acceptable only for bursts
    /// shorter than `sojourn_interval`.
    pub sojourn_target: Duration,
    /// How long the oldest short request must stay above `sojourn_target` before the target counts
    /// as overloaded.
    pub sojourn_interval: Duration,
    /// Maximum wait of a short request under overload. Leaves time for the refusal to reach the
    /// caller within 20 ms of the request's arrival.
    pub max_overload_wait: Duration,
    /// Whether the concurrency limit adapts below the declared slots to measured service times.
    pub has_adaptive_limit: bool,
}

impl Default for Tuning {
    fn default() -> Tuning {
        Tuning {
            // A fixed reserve would be too small: at 60% load, short requests need 3.6 of six
            // slots, and half of the slots are three.
            reserve: Reserve::Measured(1.0),
            is_newest_first_under_overload: true,
            sojourn_target: Duration::from_millis(5),
            sojourn_interval: Duration::from_millis(100),
            max_overload_wait: Duration::from_millis(10),
            has_adaptive_limit: true,
        }
    }
}
