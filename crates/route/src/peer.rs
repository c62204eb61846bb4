//! State and statistics of one instance, as an entry node sees it.

use std::time::Duration;

use wire::{Code, InstanceId, Load, Time};

use crate::outlier::{BaselineRates, Ejection};
use crate::route_latency::LatencyRatio;
use crate::{InstanceView, OutcomeKind, State};

/// Age beyond which a reported load is ignored.
const LOAD_MAX_AGE: Duration = Duration::from_secs(2);
/// Share of its slots with which a newly started or readmitted instance begins.
const RAMP_START_SHARE: f64 = 0.1;

/// Weight of one attempt in the moving average of refusals, which adapts within about 30 attempts.
const REFUSAL_RATE_WEIGHT: f64 = 1.0 / 32.0;

/// A linear slow start of an instance.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Ramp {
    start: Time,
    length: Duration,
}

impl Ramp {
    pub(crate) fn new(start: Time, length: Duration) -> Ramp {
        Ramp { start, length }
    }

    /// Returns the share of its slots that the instance gets at `now`, or `None` after the ramp.
    fn share(self, now: Time) -> Option<f64> {
        let passed = now.since(self.start);
        if passed >= self.length {
            return None;
        }
        let progress = passed.as_secs_f64() / self.length.as_secs_f64();
        Some(RAMP_START_SHARE + (1.0 - RAMP_START_SHARE) * progress)
    }
}

/// An instance with the statistics of the attempts on it.
#[derive(Clone, Debug)]
pub(crate) struct Peer {
    pub(crate) id: InstanceId,
    pub(crate) is_local: bool,
    pub(crate) slots: u32,
    pub(crate) state: State,
    pub(crate) in_flight: u32,
    pub(crate) last_attempt_at: Time,
    pub(crate) latency_ratio: LatencyRatio,
    /// Evidence that the instance is slowed, a sum of log likelihood ratios. The instance is
    /// ejected when the sum reaches `OutlierCfg::threshold`.
    pub(crate) suspicion: f64,
    pub(crate) baseline: BaselineRates,
    pub(crate) ejection: Option<Ejection>,
    pub(crate) ramp: Option<Ramp>,
    /// Share of recent attempts that the instance refused for lack of room, 0 to 1.
    pub(crate) refusal_rate: f64,
    /// End of the backoff after a refusal for lack of room; other instances are preferred until
    /// then.
    pub(crate) busy_until: Time,
    /// End of the backoff after a refusal for draining. Membership reports the drain before then.
    pub(crate) draining_until: Time,
    /// Load reported last, and when it arrived.
    pub(crate) load: Option<(Time, Load)>,
}

impl Peer {
    pub(crate) fn new(view: &InstanceView, is_local: bool, ramp: Option<Ramp>) -> Peer {
        Peer {
            id: view.id,
            is_local,
            slots: view.slots.max(1),
            state: view.state,
            in_flight: 0,
            last_attempt_at: Time::ZERO,
            latency_ratio: LatencyRatio::default(),
            suspicion: 0.0,
            baseline: BaselineRates::default(),
            ejection: None,
            ramp,
            refusal_rate: 0.0,
            busy_until: Time::ZERO,
            draining_until: Time::ZERO,
            load: None,
        }
    }

    /// Returns whether the instance accepts new requests.
    pub(crate) fn accepts_requests(&self, now: Time) -> bool {
        self.state == State::Ready && now >= self.draining_until
    }

    /// Updates the refusal rate at the end of an attempt.
    pub(crate) fn record_end(&mut self, kind: OutcomeKind) {
        let refused = match kind {
            OutcomeKind::Ok => 0.0,
            OutcomeKind::Refused(
                Code::QueueFull | Code::CannotStartInTime | Code::OverFairShare,
            ) => 1.0,
            _ => return,
        };
        self.refusal_rate += (refused - self.refusal_rate) * REFUSAL_RATE_WEIGHT;
    }

    /// Returns the outstanding requests of the instance: those of this node, or those reported, if
    /// that is more.
    ///
    /// A report can be wrong, so it counts for at most two requests per slot, one running and one
    /// queued.
    pub(crate) fn outstanding_requests(&self, now: Time) -> u32 {
        let reported = match self.load {
            Some((at, load)) if now.since(at) < LOAD_MAX_AGE => load
                .in_flight
                .saturating_add(load.queued)
                .min(2 * self.slots),
            _ => 0,
        };
        self.in_flight.max(reported)
    }

    /// Returns the relative waiting time of one more request. The reported queue adds at most
    /// `hint_weight` requests to it.
    pub(crate) fn cost(&self, now: Time, hint_weight: f64) -> f64 {
        let slots = f64::from(self.slots);
        let hint = match self.load {
            Some((at, load)) if now.since(at) < LOAD_MAX_AGE => {
                (f64::from(load.queued) / slots).min(1.0) * hint_weight
            }
            _ => 0.0,
        };
        let share = self.ramp.and_then(|r| r.share(now)).unwrap_or(1.0);
        (f64::from(self.in_flight + 1) + hint) * self.latency_ratio.factor() / (slots * share)
    }
}
