//! Outlier detection: ejection, probing and readmission of instances.
//!
//! A request is late once its age exceeds a limit (the late limit), even while it is in flight, and
//! prompt if its response starts before that. Counting per request, not per unit of time, keeps one
//! long request from outweighing many short ones.
//!
//! A sequential probability ratio test (CUSUM) sums the evidence: each result adds the logarithm of
//! its likelihood on a slowed instance over its likelihood on this instance while healthy. The sum
//! is the suspicion. The second likelihood is learned, so an instance that often runs long requests
//! isn't suspected for them.

use std::time::Duration;

use wire::Time;

/// Settings of outlier detection.
#[derive(Clone, Copy, Debug)]
pub struct OutlierCfg {
    /// Age at which a request is late, as a multiple of the instance's median latency.
    pub late_factor: f64,
    /// Upper bound of the age in `late_factor`, as a multiple of the service's median latency.
    pub late_factor_max: f64,
    /// `late_factor_max` for requests to an ejected instance. The bound is wider, since a healthy
    /// instance on slow hardware would otherwise fail a tenth of its probes by chance.
    pub probe_factor_max: f64,
    /// Lower bound of the age at which a request is late. Below this bound, scheduling noise would
    /// decide.
    pub late_min: Duration,
    /// Sum of log likelihood ratios at which an instance is ejected.
    pub threshold: f64,
    /// Time from the ejection to the first probe.
    pub probe_after: Duration,
    /// Longest backoff between probes, which bounds the time from recovery to readmission.
    pub probe_after_max: Duration,
    /// Number of consecutive prompt probes that readmit an instance.
    pub prompt_probes_to_readmit: u32,
    /// How long a due probe waits for a repeatable request before any request is used.
    pub repeatable_probe_wait: Duration,
}

impl Default for OutlierCfg {
    fn default() -> Self {
        OutlierCfg {
            late_factor: 4.0,
            late_factor_max: 6.0,
            probe_factor_max: 9.0,
            late_min: Duration::from_millis(1),
            // One false ejection per about 20,000 requests, if they are independent.
            threshold: 10.0,
            probe_after: Duration::from_millis(500),
            probe_after_max: Duration::from_millis(1_000),
            prompt_probes_to_readmit: 2,
            repeatable_probe_wait: Duration::from_millis(300),
        }
    }
}

/// Age from which an overtaken request counts as late, as a share of the late limit. Being
/// overtaken alone is weak evidence: hedges are sent after a tail quantile of the service's
/// latency, which a slow but healthy instance often exceeds.
pub(crate) const OVERTAKEN_LATE_SHARE: f64 = 0.5;
/// Factor by which the backoff grows with each failed probe.
const PROBE_BACKOFF_FACTOR: f64 = 2.0;
/// Share of the requests to a slowed instance that are late. The same value is taken for the share
/// of its late requests that become very late.
const SLOWED_LATE_RATE: f64 = 0.8;
/// Number of consecutive errors that eject an instance.
const ERRORS_TO_EJECT: f64 = 3.0;
/// Weight of one request in the learned rates, which adapt within a few hundred requests.
const LEARNING_RATE: f64 = 1.0 / 200.0;
/// Bounds of the learned share of late requests. At the lower bound, three late requests eject.
const LATE_RATE_RANGE: (f64, f64) = (0.02, 0.7);
/// Bounds of the learned share of late requests that become very late. The lower bound keeps a
/// single request from ejecting, however old: ln(0.8 / 0.02) + 2 ln(0.8 / 0.05) is under 10.
const VERY_LATE_RATE_RANGE: (f64, f64) = (0.05, 0.7);
/// Upper bound of the suspicion as a multiple of the threshold, so that prompt responses can bring
/// it down again.
const SUSPICION_CAP: f64 = 1.5;

/// Returns how many of `ready` instances may be ejected at the same time: a third, rounded down.
pub const fn max_ejected(ready: usize) -> usize {
    ready / 3
}

/// Evidence of an attempt about its instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Evidence {
    Prompt,
    Late,
    /// The attempt reached twice, then four times the late limit.
    VeryLate,
    Error,
    /// A hedge overtook the attempt before it counted as late, or overtook a probe, or this process
    /// may have been stalled.
    Inconclusive,
}

/// State of an ejected instance.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Ejection {
    pub(crate) since: Time,
    /// From when the next probe is due.
    pub(crate) next_probe: Time,
    /// Time from a probe that isn't prompt to the next one.
    backoff: Duration,
    /// Number of consecutive prompt probes.
    prompt_probes: u32,
    /// Whether a probe has failed since the ejection.
    pub(crate) is_confirmed: bool,
}

impl Ejection {
    pub(crate) fn new(cfg: &OutlierCfg, now: Time) -> Ejection {
        Ejection {
            since: now,
            next_probe: now + cfg.probe_after,
            backoff: cfg.probe_after,
            prompt_probes: 0,
            is_confirmed: false,
        }
    }

    /// Returns whether a request may probe the instance at `now`. `repeatable` tells whether the
    /// request can be hedged or retried; for any other request the probe becomes due later.
    pub(crate) fn is_probe_due(&self, cfg: &OutlierCfg, now: Time, repeatable: bool) -> bool {
        let extra_wait = if repeatable {
            Duration::ZERO
        } else {
            cfg.repeatable_probe_wait
        };
        now >= self.next_probe + extra_wait
    }

    /// Delays the next probe until the result of the sent one is known or the backoff is over.
    pub(crate) fn record_probe_sent(&mut self, now: Time) {
        self.next_probe = now + self.backoff;
    }

    /// Records the result of a probe. Returns whether the instance is readmitted.
    pub(crate) fn record_probe_result(
        &mut self,
        cfg: &OutlierCfg,
        now: Time,
        evidence: Evidence,
    ) -> bool {
        if evidence == Evidence::Prompt {
            self.prompt_probes += 1;
            self.next_probe = now;
            return self.prompt_probes >= cfg.prompt_probes_to_readmit;
        }
        if evidence == Evidence::Inconclusive {
            self.next_probe = now + self.backoff;
            return false;
        }
        // A late probe after a prompt one is common on a recovered instance with slow hardware and
        // rare on a slowed one, so the next probe follows sooner.
        self.is_confirmed = true;
        self.backoff = match std::mem::take(&mut self.prompt_probes) {
            0 => self
                .backoff
                .mul_f64(PROBE_BACKOFF_FACTOR)
                .min(cfg.probe_after_max),
            _ => cfg.probe_after / 2,
        };
        self.next_probe = now + self.backoff;
        false
    }
}

/// Learned rates of late requests of an instance while it is healthy, each 0 to 1.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BaselineRates {
    late: f64,
    /// Share of the late requests that become very late, at each further late check.
    very_late: f64,
}

impl Default for BaselineRates {
    fn default() -> Self {
        BaselineRates {
            late: 0.05,
            very_late: 0.1,
        }
    }
}

impl BaselineRates {
    /// Returns the change of the suspicion, and updates the rates unless the instance is `ejected`.
    pub(crate) fn record(&mut self, cfg: &OutlierCfg, evidence: Evidence, ejected: bool) -> f64 {
        let change = match evidence {
            Evidence::Prompt => ((1.0 - SLOWED_LATE_RATE) / (1.0 - self.late)).ln(),
            Evidence::Late => (SLOWED_LATE_RATE / self.late).ln(),
            Evidence::VeryLate => (SLOWED_LATE_RATE / self.very_late).ln(),
            Evidence::Error => cfg.threshold / ERRORS_TO_EJECT,
            Evidence::Inconclusive => 0.0,
        };
        if !ejected {
            self.learn(evidence);
        }
        change
    }

    fn learn(&mut self, evidence: Evidence) {
        let move_toward = |rate: &mut f64, to: f64, (low, high): (f64, f64)| {
            *rate = (*rate + (to - *rate) * LEARNING_RATE).clamp(low, high);
        };
        match evidence {
            Evidence::Prompt => move_toward(&mut self.late, 0.0, LATE_RATE_RANGE),
            Evidence::Late => move_toward(&mut self.late, 1.0, LATE_RATE_RANGE),
            Evidence::VeryLate => move_toward(&mut self.very_late, 1.0, VERY_LATE_RATE_RANGE),
            Evidence::Error | Evidence::Inconclusive => {}
        }
    }

    /// Records that a late request ended before its next late check.
    pub(crate) fn record_late_end(&mut self) {
        let (low, _) = VERY_LATE_RATE_RANGE;
        self.very_late = (self.very_late * (1.0 - LEARNING_RATE)).max(low);
    }
}

/// Limits a suspicion to the range from 0 to the threshold times `SUSPICION_CAP`.
pub(crate) fn clamp_suspicion(cfg: &OutlierCfg, suspicion: f64) -> f64 {
    suspicion.clamp(0.0, cfg.threshold * SUSPICION_CAP)
}
