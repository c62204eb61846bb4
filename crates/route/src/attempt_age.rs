//! Age of a caller's first attempt, derived from the time-out that the caller states.
//!
//! Callers state their remaining time. For all first attempts of a route that time is the same, for
//! a retry it is shorter by the time since the first attempt. The value of a response depends on
//! the time since the first attempt, so a retry is older than its own arrival time shows.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use wire::Time;

/// Interval after which the longest time-outs rotate. The current and the previous interval count,
/// so a time-out that isn't stated again expires after 30 to 60 s of steady traffic.
const ROTATION_PERIOD: Duration = Duration::from_secs(30);
/// Smallest share of the longest time-out that counts as age. A smaller difference is transit time.
const MIN_AGE_SHARE: f64 = 0.03;

/// Longest stated time-out per route.
#[derive(Clone, Debug, Default)]
pub struct AttemptAges {
    routes: HashMap<Arc<str>, LongestTimeout>,
}

#[derive(Clone, Copy, Debug)]
struct LongestTimeout {
    period_start: Time,
    /// Longest time-out stated in the current interval.
    current: Duration,
    /// Longest time-out stated in the previous interval.
    previous: Duration,
}

impl AttemptAges {
    /// Returns the time since the first attempt of a request whose caller now states `remaining`
    /// time. It is 0 for a first attempt.
    pub fn age(&mut self, now: Time, route: &Arc<str>, remaining: Duration) -> Duration {
        let longest = match self.routes.get_mut(route) {
            Some(longest) => longest,
            None => self.routes.entry(route.clone()).or_insert(LongestTimeout {
                period_start: now,
                current: remaining,
                previous: Duration::ZERO,
            }),
        };
        if now.since(longest.period_start) > ROTATION_PERIOD {
            longest.period_start = now;
            longest.previous = longest.current;
            longest.current = Duration::ZERO;
        }
        longest.current = longest.current.max(remaining);
        let full = longest.current.max(longest.previous);
        let age = full - remaining;
        if age < full.mul_f64(MIN_AGE_SHARE) {
            return Duration::ZERO;
        }
        age
    }

    /// Drops the state of routes for which `keep` returns `false`.
    pub fn retain(&mut self, mut keep: impl FnMut(&str) -> bool) {
        self.routes.retain(|name, _| keep(name));
    }
}
