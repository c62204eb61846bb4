//! What is known about one instance.

use std::time::Duration;

use wire::{Code, InstanceId, Load, Time};

use crate::outlier::{Ejection, Usual};
use crate::route_latency::Speed;
use crate::{Kind, State, View};

/// Age beyond which a reported load says nothing.
const LOAD_MAX_AGE: Duration = Duration::from_secs(2);
/// Share of its slots that a fresh or readmitted instance begins with.
const RAMP_START: f64 = 0.1;

/// Weight of one attempt in the share of refusals; it follows within about 30 attempts.
const REFUSES_SHARE: f64 = 1.0 / 32.0;

/// A time span during which the share of an instance grows.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Ramp {
    from: Time,
    length: Duration,
}

impl Ramp {
    pub(crate) fn new(from: Time, length: Duration) -> Ramp {
        Ramp { from, length }
    }

    /// Returns the share that the instance takes at `now`, or `None` when the ramp is over.
    fn share(self, now: Time) -> Option<f64> {
        let passed = now.since(self.from);
        if passed >= self.length {
            return None;
        }
        let x = passed.as_secs_f64() / self.length.as_secs_f64();
        Some(RAMP_START + (1.0 - RAMP_START) * x)
    }
}

#[derive(Clone, Debug)]
pub(crate) struct Peer {
    pub(crate) id: InstanceId,
    pub(crate) local: bool,
    pub(crate) slots: u32,
    pub(crate) state: State,
    pub(crate) in_flight: u32,
    pub(crate) last_begun: Time,
    pub(crate) speed: Speed,
    pub(crate) suspicion: f64,
    pub(crate) usual: Usual,
    pub(crate) ejection: Option<Ejection>,
    pub(crate) ramp: Option<Ramp>,
    /// Share of recent attempts that were refused for lack of room.
    pub(crate) refuses: f64,
    /// Refused for lack of room; other instances are preferred until then.
    pub(crate) busy_until: Time,
    /// Refused because it is draining; membership will report it soon.
    pub(crate) drains_until: Time,
    pub(crate) load: Option<(Time, Load)>,
}

impl Peer {
    pub(crate) fn new(view: &View, local: bool, ramp: Option<Ramp>) -> Peer {
        Peer {
            id: view.id,
            local,
            slots: view.slots.max(1),
            state: view.state,
            in_flight: 0,
            last_begun: Time::ZERO,
            speed: Speed::default(),
            suspicion: 0.0,
            usual: Usual::default(),
            ejection: None,
            ramp,
            refuses: 0.0,
            busy_until: Time::ZERO,
            drains_until: Time::ZERO,
            load: None,
        }
    }

    /// Returns whether the instance takes new requests at all.
    pub(crate) fn takes_work(&self, now: Time) -> bool {
        self.state == State::Ready && now >= self.drains_until
    }

    /// Counts the end of an attempt.
    pub(crate) fn count_end(&mut self, kind: Kind) {
        let refused = match kind {
            Kind::Ok => 0.0,
            Kind::Refused(Code::QueueFull | Code::CannotStartInTime | Code::OverFairShare) => 1.0,
            _ => return,
        };
        self.refuses += (refused - self.refuses) * REFUSES_SHARE;
    }

    /// Returns the requests that the instance holds: own ones, or those reported if they are more.
    ///
    /// A report can be wrong, so it counts for at most the slots and as many in the queue.
    pub(crate) fn occupied(&self, now: Time) -> u32 {
        let reported = match self.load {
            Some((at, load)) if now.since(at) < LOAD_MAX_AGE => load
                .in_flight
                .saturating_add(load.queued)
                .min(2 * self.slots),
            _ => 0,
        };
        self.in_flight.max(reported)
    }

    /// Returns the relative waiting time of one more request. The hint adds at most one to it.
    pub(crate) fn cost(&self, now: Time, hint_weight: f64) -> f64 {
        let slots = f64::from(self.slots);
        let hint = match self.load {
            Some((at, load)) if now.since(at) < LOAD_MAX_AGE => {
                (f64::from(load.queued) / slots).min(1.0) * hint_weight
            }
            _ => 0.0,
        };
        let share = self.ramp.and_then(|r| r.share(now)).unwrap_or(1.0);
        (f64::from(self.in_flight + 1) + hint) * self.speed.factor() / (slots * share)
    }
}
