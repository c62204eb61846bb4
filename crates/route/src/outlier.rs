//! Outlier detection: when an instance is ejected, probed and readmitted.
//!
//! Each request is judged: late when its age passes a limit, even while it is in flight, or prompt
//! when it is answered before. Counting per request, and not per unit of time, keeps one long
//! request from weighing more than many short ones.
//!
//! The evidence is summed by a sequential probability ratio test (CUSUM): each result adds the
//! logarithm of its likelihood on a slowed instance over the likelihood on this instance when it
//! is healthy. The latter is learned, so an instance that often runs long requests isn't suspected
//! for them.

use std::time::Duration;

use wire::Time;

/// Settings of outlier detection.
#[derive(Clone, Copy, Debug)]
pub struct OutlierCfg {
    /// A request is late beyond this multiple of the instance's usual latency.
    pub late_factor: f64,
    /// Bound of that limit as a multiple of the service's median.
    pub late_factor_max: f64,
    /// The same bound for probes. It is wider, since an instance that is slow by nature would
    /// otherwise fail a tenth of its probes by chance.
    pub probe_factor_max: f64,
    /// Smallest limit; below it, scheduling noise would decide.
    pub late_min: Duration,
    /// Sum of log likelihood ratios at which an instance is ejected.
    pub threshold: f64,
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
            probe_factor_max: 9.0,
            late_min: Duration::from_millis(1),
            // One false alarm in about 20,000 requests, as far as they are independent.
            threshold: 10.0,
            probe_after: Duration::from_millis(500),
            probe_after_max: Duration::from_millis(1_000),
            passes: 2,
            probe_patience: Duration::from_millis(300),
        }
    }
}

/// Age of an overtaken request that counts as late, as a share of the limit. Losing to a hedge
/// alone says little: hedges are sent after a tail
/// quantile of the service, which is usual for a slow instance.
pub(crate) const OVERTAKEN_SHARE: f64 = 0.5;
/// Growth of the wait between failed probes.
const PROBE_GROWTH: f64 = 2.0;
/// Share of the requests to a slowed instance that are late, and of those that grow older.
const SLOWED_LATE: f64 = 0.8;
/// Errors in succession that eject.
const ERRORS: f64 = 3.0;
/// Weight of one request in the learned rates; they follow within a few hundred requests.
const LEARN_SHARE: f64 = 1.0 / 200.0;
/// Bounds of the learned share of late requests. The lower one needs three late ones to eject.
const LATE_RANGE: (f64, f64) = (0.02, 0.7);
/// Bounds of the learned share of late requests that become older. With the lower one, a single
/// request can't eject, however old it is: ln(0.8 / 0.02) + 2 ln(0.8 / 0.05) is under 10.
const OLDER_RANGE: (f64, f64) = (0.05, 0.7);
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
    /// Twice, then four times as old as a late request.
    Older,
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
    /// Whether a probe has failed since.
    pub(crate) confirmed: bool,
}

impl Ejection {
    pub(crate) fn new(cfg: &OutlierCfg, now: Time) -> Ejection {
        Ejection {
            since: now,
            next_probe: now + cfg.probe_after,
            wait: cfg.probe_after,
            passed: 0,
            confirmed: false,
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
        // One late probe after a prompt one is common on a recovered instance that is slow by
        // nature, and rare on a slowed one.
        self.confirmed = true;
        self.wait = match std::mem::take(&mut self.passed) {
            0 => self.wait.mul_f64(PROBE_GROWTH).min(cfg.probe_after_max),
            _ => cfg.probe_after / 2,
        };
        self.next_probe = now + self.wait;
        false
    }
}

/// How often requests of an instance are late while it is healthy.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Usual {
    late: f64,
    /// Of the late requests, those that become twice as old.
    older: f64,
}

impl Default for Usual {
    fn default() -> Self {
        Usual {
            late: 0.05,
            older: 0.1,
        }
    }
}

impl Usual {
    /// Returns the change of the suspicion, and learns unless the instance is `ejected`.
    pub(crate) fn weigh(&mut self, cfg: &OutlierCfg, evidence: Evidence, ejected: bool) -> f64 {
        let change = match evidence {
            Evidence::Prompt => ((1.0 - SLOWED_LATE) / (1.0 - self.late)).ln(),
            Evidence::Late => (SLOWED_LATE / self.late).ln(),
            Evidence::Older => (SLOWED_LATE / self.older).ln(),
            Evidence::Error => cfg.threshold / ERRORS,
            Evidence::Unclear => 0.0,
        };
        if !ejected {
            self.learn(evidence);
        }
        change
    }

    fn learn(&mut self, evidence: Evidence) {
        let toward = |rate: &mut f64, to: f64, (low, high): (f64, f64)| {
            *rate = (*rate + (to - *rate) * LEARN_SHARE).clamp(low, high);
        };
        match evidence {
            Evidence::Prompt => toward(&mut self.late, 0.0, LATE_RANGE),
            Evidence::Late => toward(&mut self.late, 1.0, LATE_RANGE),
            Evidence::Older => toward(&mut self.older, 1.0, OLDER_RANGE),
            Evidence::Error | Evidence::Unclear => {}
        }
    }

    /// Notes that a late request ended before it became older.
    pub(crate) fn late_ended(&mut self) {
        let (low, _) = OLDER_RANGE;
        self.older = (self.older * (1.0 - LEARN_SHARE)).max(low);
    }
}

/// Returns the suspicion after a change.
pub(crate) fn bounded(cfg: &OutlierCfg, suspicion: f64) -> f64 {
    suspicion.clamp(0.0, cfg.threshold * SUSPICION_CAP)
}
