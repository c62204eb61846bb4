//! Mean response size and service time of each route, for the choice of an instance.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// Weight of a new response in the moving averages, which cover about the last 16.
const SAMPLE_WEIGHT: f64 = 1.0 / 16.0;

/// Averages over the responses of each route.
#[derive(Clone, Debug, Default)]
pub struct RouteAverages {
    routes: HashMap<Arc<str>, Averages>,
}

#[derive(Clone, Copy, Debug)]
struct Averages {
    bytes: f64,
    service_s: f64,
}

impl RouteAverages {
    /// Records the body size of a response, and how long its target took.
    pub fn record(&mut self, route: &Arc<str>, bytes: usize, service: Duration) {
        let sample = Averages {
            bytes: bytes as f64,
            service_s: service.as_secs_f64(),
        };
        match self.routes.get_mut(route) {
            Some(mean) => {
                mean.bytes += SAMPLE_WEIGHT * (sample.bytes - mean.bytes);
                mean.service_s += SAMPLE_WEIGHT * (sample.service_s - mean.service_s);
            }
            None => {
                self.routes.insert(route.clone(), sample);
            }
        }
    }

    /// Returns the mean size in bytes, 0 before the first response.
    pub fn mean_bytes(&self, route: &str) -> usize {
        self.routes.get(route).map_or(0, |mean| mean.bytes as usize)
    }

    /// Returns the mean service time, `None` before the first response.
    pub fn mean_service(&self, route: &str) -> Option<Duration> {
        let mean = self.routes.get(route)?;
        Some(Duration::from_secs_f64(mean.service_s))
    }

    /// Drops the state of routes for which `keep` returns `false`.
    pub fn retain(&mut self, mut keep: impl FnMut(&str) -> bool) {
        self.routes.retain(|name, _| keep(name));
    }
}
