//! Expected latency per route and instance, and the age at which a request counts as late.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::{OutlierCfg, Quantiles, RouteKey};

/// Routes with their own statistics. Requests of further routes aren't judged.
const MAX_ROUTES: usize = 1_024;
/// Step of the speed estimate per sample: follows a lasting change within about 50 samples and
/// stays within a few percent of the median otherwise.
const SPEED_STEP: f64 = 0.03;
/// Bounds of the speed factor. Targets differ by up to three times.
const SPEED_RANGE: (f64, f64) = (0.2, 3.0);

/// Latency of an instance relative to its service: the median of latency over expected latency.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Speed(f64);

impl Default for Speed {
    fn default() -> Self {
        Speed(1.0)
    }
}

impl Speed {
    pub(crate) fn factor(self) -> f64 {
        self.0
    }

    pub(crate) fn update(&mut self, ratio: f64) {
        let step = if ratio > self.0 {
            1.0 + SPEED_STEP
        } else {
            1.0 / (1.0 + SPEED_STEP)
        };
        self.0 = (self.0 * step).clamp(SPEED_RANGE.0, SPEED_RANGE.1);
    }
}

/// Median latencies of the service per route.
#[derive(Clone, Debug, Default)]
pub(crate) struct Judge {
    routes: BTreeMap<RouteKey, Quantiles>,
}

impl Judge {
    pub(crate) fn record(&mut self, route: RouteKey, latency: Duration) {
        if self.routes.len() < MAX_ROUTES || self.routes.contains_key(&route) {
            self.routes.entry(route).or_default().record(latency);
        }
    }

    pub(crate) fn median(&self, route: RouteKey) -> Option<Duration> {
        self.routes.get(&route)?.median()
    }

    pub(crate) fn retain(&mut self, mut keep: impl FnMut(RouteKey) -> bool) {
        self.routes.retain(|k, _| keep(*k));
    }

    /// Returns the age beyond which a request on an instance of this speed is late.
    ///
    /// `max` bounds it as a multiple of the service's median.
    pub(crate) fn limit(
        &self,
        cfg: &OutlierCfg,
        route: RouteKey,
        s: Speed,
        max: f64,
    ) -> Option<Duration> {
        let factor = (cfg.late_factor * s.factor()).min(max);
        Some(self.median(route)?.mul_f64(factor).max(cfg.late_min))
    }
}
