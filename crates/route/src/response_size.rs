//! Mean response sizes per route, for the cost of traffic between failure domains.

use std::collections::HashMap;
use std::sync::Arc;

/// Weight of a new response in the moving average, which covers about the last 16.
const SAMPLE_WEIGHT: f64 = 1.0 / 16.0;

/// Mean size of the response bodies of each route, in bytes.
#[derive(Clone, Debug, Default)]
pub struct ResponseSizes {
    routes: HashMap<Arc<str>, f64>,
}

impl ResponseSizes {
    /// Records the body size of a response.
    pub fn record(&mut self, route: &Arc<str>, bytes: usize) {
        match self.routes.get_mut(route) {
            Some(mean) => *mean += SAMPLE_WEIGHT * (bytes as f64 - *mean),
            None => {
                self.routes.insert(route.clone(), bytes as f64);
            }
        }
    }

    /// Returns the mean size in bytes, 0 before the first response.
    pub fn mean_bytes(&self, route: &str) -> usize {
        self.routes.get(route).map_or(0, |mean| *mean as usize)
    }

    /// Drops the state of routes for which `keep` returns `false`.
    pub fn retain(&mut self, mut keep: impl FnMut(&str) -> bool) {
        self.routes.retain(|name, _| keep(name));
    }
}
