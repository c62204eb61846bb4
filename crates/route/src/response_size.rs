//! Usual sizes of the answers of routes, for the price of the way to other failure domains.

use std::collections::HashMap;
use std::sync::Arc;

/// Weight of a new answer in the moving average: about the last 16 count.
const WEIGHT: f64 = 1.0 / 16.0;

/// Mean bytes of an answer's body, a route.
#[derive(Clone, Debug, Default)]
pub struct AnswerSizes {
    routes: HashMap<Arc<str>, f64>,
}

impl AnswerSizes {
    /// Takes the size of an answer.
    pub fn measure(&mut self, route: &Arc<str>, bytes: usize) {
        match self.routes.get_mut(route) {
            Some(mean) => *mean += WEIGHT * (bytes as f64 - *mean),
            None => {
                self.routes.insert(route.clone(), bytes as f64);
            }
        }
    }

    /// Returns the usual size, 0 before the first answer.
    pub fn usual(&self, route: &str) -> usize {
        self.routes.get(route).map_or(0, |mean| *mean as usize)
    }

    /// Drops the state of routes for which `keep` returns `false`.
    pub fn retain(&mut self, mut keep: impl FnMut(&str) -> bool) {
        self.routes.retain(|name, _| keep(name));
    }
}
