//! A plain target: slots, a FIFO queue, and a rate that falls for a time.

use std::collections::VecDeque;
use std::time::Duration;

use wire::{Load, Time};

/// How late the load report is.
const REPORT_DELAY: Duration = Duration::from_secs(1);

/// A span of time in which a target works at a tenth of its rate.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Slowdown {
    pub(crate) from: Time,
    pub(crate) to: Time,
}

/// Rate during a slowdown.
const SLOW_RATE: f64 = 0.1;

/// What a load report says instead of the truth.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Report {
    Late,
    AlwaysIdle,
    AlwaysFull,
}

#[derive(Debug)]
pub(crate) struct Target {
    slots: usize,
    slowness: f64,
    slowdown: Option<Slowdown>,
    report: Report,
    running: Vec<usize>,
    queue: VecDeque<(usize, f64)>,
    history: VecDeque<(Time, Load)>,
}

/// An attempt that starts, and when it will be done.
pub(crate) type Started = (usize, Time);

impl Target {
    pub(crate) fn new(
        slots: usize,
        slowness: f64,
        slowdown: Option<Slowdown>,
        report: Report,
    ) -> Target {
        Target {
            slots,
            slowness,
            slowdown,
            report,
            running: Vec::new(),
            queue: VecDeque::new(),
            history: VecDeque::new(),
        }
    }

    /// Takes an attempt with `work` seconds of work.
    pub(crate) fn take(&mut self, now: Time, attempt: usize, work: f64) -> Option<Started> {
        self.queue.push_back((attempt, work));
        self.start(now)
    }

    /// Removes an attempt that is done or cancelled. Returns `None` if it isn't here.
    pub(crate) fn remove(&mut self, now: Time, attempt: usize) -> Option<Option<Started>> {
        if let Some(i) = self.queue.iter().position(|(a, _)| *a == attempt) {
            self.queue.remove(i);
            self.note(now);
            return Some(None);
        }
        let i = self.running.iter().position(|a| *a == attempt)?;
        self.running.swap_remove(i);
        Some(self.start(now))
    }

    fn start(&mut self, now: Time) -> Option<Started> {
        let mut started = None;
        if self.running.len() < self.slots
            && let Some((attempt, work)) = self.queue.pop_front()
        {
            self.running.push(attempt);
            started = Some((attempt, self.done_at(now, work * self.slowness)));
        }
        self.note(now);
        started
    }

    fn done_at(&self, now: Time, work: f64) -> Time {
        let plain = now + Duration::from_secs_f64(work);
        let Some(slow) = self.slowdown else {
            return plain;
        };
        if plain <= slow.from || now >= slow.to {
            return plain;
        }
        let before = (slow.from - now).as_secs_f64();
        let begin = now.max(slow.from);
        let left = work - before;
        let span = (slow.to - begin).as_secs_f64();
        if left <= span * SLOW_RATE {
            return begin + Duration::from_secs_f64(left / SLOW_RATE);
        }
        slow.to + Duration::from_secs_f64(left - span * SLOW_RATE)
    }

    fn note(&mut self, now: Time) {
        let load = Load {
            in_flight: self.running.len() as u32,
            queued: self.queue.len() as u32,
            slots: self.slots as u32,
        };
        self.history.push_back((now, load));
    }

    /// Returns the load that a response carries now.
    pub(crate) fn report(&mut self, now: Time) -> Load {
        let slots = self.slots as u32;
        let (in_flight, queued) = match self.report {
            Report::AlwaysIdle => (0, 0),
            Report::AlwaysFull => (slots, 100 * slots),
            Report::Late => return self.late_report(now),
        };
        Load {
            in_flight,
            queued,
            slots,
        }
    }

    fn late_report(&mut self, now: Time) -> Load {
        while self
            .history
            .get(1)
            .is_some_and(|(at, _)| *at + REPORT_DELAY <= now)
        {
            self.history.pop_front();
        }
        match self.history.front() {
            Some((at, load)) if *at + REPORT_DELAY <= now => *load,
            _ => Load::default(),
        }
    }
}
