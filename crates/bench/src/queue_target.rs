//! A target of the queueing cases: slots, a plain first-in first-out queue and a cold start.

use std::collections::VecDeque;
use std::time::Duration;

use wire::Time;

/// Share of its slots that a target can use right after a restart.
const COLD_SLOT_SHARE: f64 = 1.0 / 3.0;

/// Properties of a target.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TargetCfg {
    /// Slots that it declares to the mesh.
    pub(crate) declared_slots: u32,
    /// Slots that it has once it is warm.
    pub(crate) slots: u32,
    /// Factor on each service time; 1 for the fastest target.
    pub(crate) slowness: f64,
    /// Time of its restart; `None` if it doesn't restart during the case.
    pub(crate) restarts_at: Option<Time>,
    /// Time from the restart until all slots can be used.
    pub(crate) cold_start: Duration,
}

impl TargetCfg {
    /// Returns the slots that can be used at `now`.
    pub(crate) fn slots_at(&self, now: Time) -> u32 {
        let Some(from) = self.restarts_at.filter(|t| now >= *t) else {
            return self.slots;
        };
        let progress = ((now - from).as_secs_f64() / self.cold_start.as_secs_f64()).min(1.0);
        let share = COLD_SLOT_SHARE + (1.0 - COLD_SLOT_SHARE) * progress;
        ((f64::from(self.slots) * share) as u32).max(1)
    }
}

/// The requests inside a target, by their id.
#[derive(Debug)]
pub(crate) struct Target {
    pub(crate) cfg: TargetCfg,
    busy_slots: u32,
    queue: VecDeque<usize>,
}

impl Target {
    pub(crate) fn new(cfg: TargetCfg) -> Target {
        Target {
            cfg,
            busy_slots: 0,
            queue: VecDeque::new(),
        }
    }

    /// Queues a request.
    pub(crate) fn push(&mut self, id: usize) {
        self.queue.push_back(id);
    }

    /// Starts the next request. Returns `None` if no slot is free or the queue is empty.
    pub(crate) fn start_next(&mut self, now: Time) -> Option<usize> {
        if self.busy_slots >= self.cfg.slots_at(now) {
            return None;
        }
        let id = self.queue.pop_front()?;
        self.busy_slots += 1;
        Some(id)
    }

    /// Frees the slot of a finished request.
    pub(crate) fn finish(&mut self) {
        self.busy_slots -= 1;
    }
}
