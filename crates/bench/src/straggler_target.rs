//! A target of the case `straggler`: slots, a FIFO queue, and a slowdown.

use std::collections::VecDeque;
use std::time::Duration;

use wire::{Load, Time};

/// Age of the load in a delayed report.
const REPORT_DELAY: Duration = Duration::from_secs(1);

/// A period during which a target works at [`SLOWDOWN_RATE`].
#[derive(Clone, Copy, Debug)]
pub(crate) struct Slowdown {
    pub(crate) from: Time,
    pub(crate) to: Time,
}

/// Work rate during a slowdown, as a share of the usual rate.
const SLOWDOWN_RATE: f64 = 0.1;

/// How the load in the responses of a target differs from its true load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Report {
    /// The load of [`REPORT_DELAY`] ago.
    Delayed,
    /// No request in flight or queued.
    AlwaysIdle,
    /// All slots taken and a queue of 100 requests per slot.
    AlwaysFull,
}

#[derive(Debug)]
pub(crate) struct Target {
    slots: usize,
    /// Factor on each service time; 1 for the fastest target.
    slowness: f64,
    slowdown: Option<Slowdown>,
    report: Report,
    running: Vec<usize>,
    /// Waiting attempts with their seconds of work on the fastest target.
    queue: VecDeque<(usize, f64)>,
    /// Load after each change, for delayed reports.
    history: VecDeque<(Time, Load)>,
}

/// An attempt that has started, and the time at which it will finish.
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

    /// Queues an attempt with `work` seconds of work. Returns the attempt that starts, if a slot is
    /// free.
    pub(crate) fn enqueue(&mut self, now: Time, attempt: usize, work: f64) -> Option<Started> {
        self.queue.push_back((attempt, work));
        self.start_next(now)
    }

    /// Removes a finished or cancelled attempt. Returns `None` if the target doesn't have it, or
    /// else the attempt that starts in its place, if any.
    pub(crate) fn remove(&mut self, now: Time, attempt: usize) -> Option<Option<Started>> {
        if let Some(i) = self.queue.iter().position(|(a, _)| *a == attempt) {
            self.queue.remove(i);
            self.record_load(now);
            return Some(None);
        }
        let i = self.running.iter().position(|a| *a == attempt)?;
        self.running.swap_remove(i);
        Some(self.start_next(now))
    }

    fn start_next(&mut self, now: Time) -> Option<Started> {
        let mut started = None;
        if self.running.len() < self.slots
            && let Some((attempt, work)) = self.queue.pop_front()
        {
            self.running.push(attempt);
            started = Some((attempt, self.finish_time(now, work * self.slowness)));
        }
        self.record_load(now);
        started
    }

    /// Returns the time at which `work` seconds of work that start now will finish.
    fn finish_time(&self, now: Time, work: f64) -> Time {
        let undisturbed = now + Duration::from_secs_f64(work);
        let Some(slow) = self.slowdown else {
            return undisturbed;
        };
        if undisturbed <= slow.from || now >= slow.to {
            return undisturbed;
        }
        let before = (slow.from - now).as_secs_f64();
        let begin = now.max(slow.from);
        let remaining = work - before;
        let span = (slow.to - begin).as_secs_f64();
        if remaining <= span * SLOWDOWN_RATE {
            return begin + Duration::from_secs_f64(remaining / SLOWDOWN_RATE);
        }
        slow.to + Duration::from_secs_f64(remaining - span * SLOWDOWN_RATE)
    }

    fn record_load(&mut self, now: Time) {
        let load = Load {
            in_flight: self.running.len() as u32,
            queued: self.queue.len() as u32,
            slots: self.slots as u32,
        };
        self.history.push_back((now, load));
    }

    /// Returns the load that a response sent now carries.
    pub(crate) fn report(&mut self, now: Time) -> Load {
        let slots = self.slots as u32;
        let (in_flight, queued) = match self.report {
            Report::AlwaysIdle => (0, 0),
            Report::AlwaysFull => (slots, 100 * slots),
            Report::Delayed => return self.delayed_load(now),
        };
        Load {
            in_flight,
            queued,
            slots,
        }
    }

    /// Returns the load of [`REPORT_DELAY`] ago; zero if the target has had no request until then.
    fn delayed_load(&mut self, now: Time) -> Load {
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
