//! Outlier detection: when an instance is ejected, probed and readmitted.
//!
//! Each request is judged once: late when its age passes a limit, even while it is in flight, or
//! prompt when it is answered before. Counting per request, and not per unit of time, keeps one
//! long request from weighing more than many short ones.

use std::time::Duration;

use wire::Time;

/// Settings of outlier detection.
#[derive(Clone, Copy, Debug)]
pub struct OutlierCfg {
    /// A request is late beyond this multiple of the instance's usual latency.
    pub late_factor: f64,
    /// Bound of that limit as a multiple of the service's median.
    pub late_factor_max: f64,
    /// Smallest limit; below it, scheduling noise would decide.
    pub late_min: Duration,
    /// Suspicion at which an instance is ejected, in late requests.
    pub threshold: f64,
    /// Suspicion that a prompt answer removes: below a quarter of late requests none remains.
    pub prompt_credit: f64,
    /// Suspicion that a failure adds: three in succession eject.
    pub error_weight: f64,
    /// Wait before the first probe.
    pub probe_after: Duration,
    /// Longest wait between probes; bounds the time to return after a recovery.
    pub probe_after_max: Duration,
    /// Prompt answers in succession that readmit an instance.
    pub passes: u32,
    /// How long a probe waits for a repeatable request before it takes any request.
    pub probe_patience: Duration,
}

impl Default for OutlierCfg {
    fn default() -> Self {
        OutlierCfg {
            late_factor: 4.0,
            late_factor_max: 6.0,
            late_min: Duration::from_millis(1),
            threshold: 4.0,
            prompt_credit: 1.0 / 3.0,
            error_weight: 4.0 / 3.0,
            probe_after: Duration::from_millis(250),
            probe_after_max: Duration::from_millis(800),
            passes: 2,
            probe_patience: Duration::from_millis(300),
        }
    }
}

/// Age of an overtaken request that counts as late, as a share of the limit. Losing to a hedge
/// alone says little: hedges are sent after the service's p95, which is usual for a slow instance.
pub(crate) const OVERTAKEN_SHARE: f64 = 0.5;
/// Growth of the wait between failed probes.
const PROBE_GROWTH: f64 = 1.5;
/// Bound of the suspicion as a multiple of the threshold, so that it can fall again.
const SUSPICION_CAP: f64 = 1.5;

/// Returns how many of `ready` instances may be ejected at once: a third, rounded down.
pub const fn max_ejected(ready: usize) -> usize {
    ready / 3
}

/// What an attempt says about its instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Evidence {
    Prompt,
    Late,
    Error,
    /// Slow, but not slow enough to tell a probe's result.
    Unclear,
}

/// An ejection.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Ejection {
    pub(crate) since: Time,
    pub(crate) next_probe: Time,
    wait: Duration,
    passed: u32,
}

impl Ejection {
    pub(crate) fn new(cfg: &OutlierCfg, now: Time) -> Ejection {
        Ejection {
            since: now,
            next_probe: now + cfg.probe_after,
            wait: cfg.probe_after,
            passed: 0,
        }
    }

    /// Returns whether a request may probe the instance.
    pub(crate) fn probe_due(&self, cfg: &OutlierCfg, now: Time, repeatable: bool) -> bool {
        let patience = if repeatable {
            Duration::ZERO
        } else {
            cfg.probe_patience
        };
        now >= self.next_probe + patience
    }

    /// Holds further probes back until this one is judged or the wait is over.
    pub(crate) fn probe_sent(&mut self, now: Time) {
        self.next_probe = now + self.wait;
    }

    /// Takes the result of a probe. Returns whether the instance is readmitted.
    pub(crate) fn probed(&mut self, cfg: &OutlierCfg, now: Time, evidence: Evidence) -> bool {
        if evidence == Evidence::Prompt {
            self.passed += 1;
            self.next_probe = now;
            return self.passed >= cfg.passes;
        }
        if evidence == Evidence::Unclear {
            self.next_probe = now + self.wait;
            return false;
        }
        self.passed = 0;
        self.wait = self.wait.mul_f64(PROBE_GROWTH).min(cfg.probe_after_max);
        self.next_probe = now + self.wait;
        false
    }
}

/// Returns the suspicion after another piece of evidence.
pub(crate) fn weigh(cfg: &OutlierCfg, suspicion: f64, evidence: Evidence) -> f64 {
    let change = match evidence {
        Evidence::Prompt => -cfg.prompt_credit,
        Evidence::Late => 1.0,
        Evidence::Error => cfg.error_weight,
        Evidence::Unclear => 0.0,
    };
    (suspicion + change).clamp(0.0, cfg.threshold * SUSPICION_CAP)
}
