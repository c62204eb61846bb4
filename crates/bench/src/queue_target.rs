//! A target of the queueing cases: slots, a plain first-in first-out queue and a cold start.

use std::collections::VecDeque;
use std::time::Duration;

use wire::Time;

/// Share of its slots that a cold target has at first.
const COLD_SHARE: f64 = 1.0 / 3.0;

/// A target's true properties.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TargetCfg {
    /// Slots that it declares.
    pub(crate) declared: u32,
    /// Slots that it has.
    pub(crate) slots: u32,
    /// Factor on each service time.
    pub(crate) slowness: f64,
    /// Time at which it is restarted, if that happens during the case.
    pub(crate) cold_from: Option<Time>,
    /// Time that its cold start takes.
    pub(crate) cold_start: Duration,
}

impl TargetCfg {
    /// Returns the slots that can be used at `now`.
    pub(crate) fn slots_at(&self, now: Time) -> u32 {
        let Some(from) = self.cold_from.filter(|t| now >= *t) else {
            return self.slots;
        };
        let done = ((now - from).as_secs_f64() / self.cold_start.as_secs_f64()).min(1.0);
        let share = COLD_SHARE + (1.0 - COLD_SHARE) * done;
        ((f64::from(self.slots) * share) as u32).max(1)
    }
}

/// The work inside a target.
#[derive(Debug)]
pub(crate) struct Target {
    pub(crate) cfg: TargetCfg,
    busy: u32,
    waiting: VecDeque<usize>,
}

impl Target {
    pub(crate) fn new(cfg: TargetCfg) -> Target {
        Target {
            cfg,
            busy: 0,
            waiting: VecDeque::new(),
        }
    }

    /// Takes a request.
    pub(crate) fn push(&mut self, id: usize) {
        self.waiting.push_back(id);
    }

    /// Returns the next request that begins to run, if a slot is free.
    pub(crate) fn begin(&mut self, now: Time) -> Option<usize> {
        if self.busy >= self.cfg.slots_at(now) {
            return None;
        }
        let id = self.waiting.pop_front()?;
        self.busy += 1;
        Some(id)
    }

    /// Frees the slot of a request that ended.
    pub(crate) fn end(&mut self) {
        self.busy -= 1;
    }
}
