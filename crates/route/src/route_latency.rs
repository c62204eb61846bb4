//! Median latency per route, latency ratio per instance, and the age at which a request is late.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::{OutlierCfg, Quantiles, RouteKey};

/// Maximum number of routes with statistics. Requests of further routes are never late.
const MAX_ROUTES: usize = 1_024;
/// Relative step of the latency ratio per sample. The ratio adapts to a lasting change within about
/// 50 samples, and stays within a few percent of the median otherwise.
const RATIO_STEP: f64 = 0.03;
/// Bounds of the latency ratio. Targets differ in speed by a factor of up to three.
const RATIO_RANGE: (f64, f64) = (0.2, 3.0);

/// Latency of an instance relative to its service: a running median of the latency divided by the
/// route's median. Above 1, the instance is slower than the service.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LatencyRatio(f64);

impl Default for LatencyRatio {
    fn default() -> Self {
        LatencyRatio(1.0)
    }
}

impl LatencyRatio {
    pub(crate) fn factor(self) -> f64 {
        self.0
    }

    pub(crate) fn update(&mut self, ratio: f64) {
        let step = if ratio > self.0 {
            1.0 + RATIO_STEP
        } else {
            1.0 / (1.0 + RATIO_STEP)
        };
        self.0 = (self.0 * step).clamp(RATIO_RANGE.0, RATIO_RANGE.1);
    }
}

/// Median latencies of the service per route.
#[derive(Clone, Debug, Default)]
pub(crate) struct RouteLatencies {
    routes: BTreeMap<RouteKey, Quantiles>,
}

impl RouteLatencies {
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

    /// Returns the age at which a request to an instance with this latency ratio is late, or `None`
    /// while the route's median is unknown.
    ///
    /// The age is at most `max` times the median, but at least `OutlierCfg::late_min`.
    pub(crate) fn late_limit(
        &self,
        cfg: &OutlierCfg,
        route: RouteKey,
        latency_ratio: LatencyRatio,
        max: f64,
    ) -> Option<Duration> {
        let factor = (cfg.late_factor * latency_ratio.factor()).min(max);
        Some(self.median(route)?.mul_f64(factor).max(cfg.late_min))
    }
}
