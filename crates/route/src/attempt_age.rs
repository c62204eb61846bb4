//! How long a caller has been trying, from the time that it has left.
//!
//! Callers state how long they will wait. On a first attempt that is the same for all requests of a
//! kind, on a repeat it is less by what has passed since. An answer's value counts from the first
//! attempt, so a repeat is older than its own arrival says.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use wire::Time;

/// Time after which a longer patience that was not seen again is forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(30);
/// Smallest part of the patience that counts as age; less is the time on the way.
const MIN_SHARE: f64 = 0.03;

/// The longest patience of each route's callers.
#[derive(Clone, Debug, Default)]
pub struct AttemptAges {
    routes: HashMap<Arc<str>, Longest>,
}

#[derive(Clone, Copy, Debug)]
struct Longest {
    since: Time,
    present: Duration,
    previous: Duration,
}

impl AttemptAges {
    /// Returns how long ago the first attempt of a request was made whose caller will wait for
    /// `patience` more.
    pub fn age(&mut self, now: Time, route: &Arc<str>, patience: Duration) -> Duration {
        let longest = match self.routes.get_mut(route) {
            Some(longest) => longest,
            None => self.routes.entry(route.clone()).or_insert(Longest {
                since: now,
                present: patience,
                previous: Duration::ZERO,
            }),
        };
        if now.since(longest.since) > FORGET_AFTER {
            longest.since = now;
            longest.previous = longest.present;
            longest.present = Duration::ZERO;
        }
        longest.present = longest.present.max(patience);
        let full = longest.present.max(longest.previous);
        let age = full - patience;
        if age < full.mul_f64(MIN_SHARE) {
            return Duration::ZERO;
        }
        age
    }

    /// Drops the state of routes for which `keep` returns `false`.
    pub fn retain(&mut self, mut keep: impl FnMut(&str) -> bool) {
        self.routes.retain(|name, _| keep(name));
    }
}
