//! State of the target that a node serves, derived from the target's own reports.
//!
//! Reports may be delayed, duplicated, from an earlier incarnation of the target, or from another
//! sender. [`OwnTarget`] orders them by the start time of the incarnation and the sequence number
//! within it. A departure, which a target announces by a draining report or by deregistering, is
//! final: once it has been acknowledged to an incarnation, that incarnation gets no requests again.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use wire::{ServiceName, Time, UnixMillis};

/// Number of departed incarnations retained. A few suffice, because a target has one incarnation at
/// a time and delayed reports come from the most recent ones.
const MAX_DEPARTED: usize = 16;
/// Time for which a departure announced without a start time blocks reports with the same name.
/// Delayed reports arrive within a few seconds, so later ones come from a new incarnation.
const DEPARTURE_WITHOUT_START_TTL: Duration = Duration::from_secs(10);
/// Number of reports in sequence that confirm an incarnation without its health endpoint. Two
/// delayed reports that arrive in order are unlikely, while an endpoint can be wrong for long.
const REPORTS_TO_CONFIRM: u32 = 2;

/// Identifies one incarnation of a target, the time between its start and its end.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct TargetIncarnation {
    /// Identifier chosen by the target.
    pub name: Arc<str>,
    /// Start time by the target's clock, which may be set back between incarnations.
    pub started: UnixMillis,
}

/// Readiness of a target, as reported by itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetState {
    /// Accepts requests.
    Ready,
    /// Completes requests in flight, accepts no new ones and then departs.
    Draining,
}

/// Status report sent by a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetReport {
    /// Incarnation that sent the report.
    pub incarnation: TargetIncarnation,
    /// Increases with each report of an incarnation.
    pub sequence: u64,
    /// Service that the target belongs to.
    pub service: ServiceName,
    /// Address for requests to the target.
    pub address: SocketAddr,
    /// Number of requests that the target runs concurrently.
    pub slots: u32,
    /// Readiness of the target.
    pub state: TargetState,
    /// Remaining warm-up time, in which the target is slower than usual; zero if it is warm.
    pub warmup_remaining: Duration,
    /// Version of the target's software; empty if the target reports none.
    pub software: Arc<str>,
}

/// Outcome of [`OwnTarget::apply_report`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportOutcome {
    /// Ignored: the report is older than the last one, or from an earlier or departed incarnation.
    Stale,
    /// Applied; state, slots and usability are unchanged.
    Same,
    /// Applied; state, slots or usability have changed.
    Changed,
    /// Applied; the report is the first of a new incarnation, which is not used until its health
    /// endpoint or further reports confirm it.
    NewLife,
}

/// Whether an incarnation is known to be running.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Confirmation {
    /// Not confirmed; this many reports have been received.
    Pending(u32),
    /// Confirmed by the health endpoint or by [`REPORTS_TO_CONFIRM`] reports.
    Confirmed,
}

/// The incarnation that the last accepted report came from.
#[derive(Clone, Debug)]
struct CurrentIncarnation {
    /// Last accepted report. The state stays `Draining` once it has been.
    report: TargetReport,
    /// End of the warm-up, in which the target is slower than usual.
    cold_until: Time,
    confirmation: Confirmation,
    /// Whether the target refused a connection. Cleared by the next report, a successful health
    /// check or an accepted connection.
    is_down: bool,
}

/// A departed incarnation.
#[derive(Clone, Debug)]
struct DepartedIncarnation {
    name: Arc<str>,
    /// `None` if the target announced its departure without a start time.
    started: Option<UnixMillis>,
    /// Time at which the departure was recorded.
    departed_at: Time,
}

impl DepartedIncarnation {
    /// Returns whether a report of incarnation `id` has to be treated as one of this departed
    /// incarnation.
    fn matches(&self, id: &TargetIncarnation, now: Time) -> bool {
        let is_same = match self.started {
            Some(started) => started == id.started,
            None => now.since(self.departed_at) < DEPARTURE_WITHOUT_START_TTL,
        };
        self.name == id.name && is_same
    }
}

/// The target that a node serves. Tracks its current incarnation and the departed ones.
#[derive(Clone, Debug, Default)]
pub struct OwnTarget {
    current: Option<CurrentIncarnation>,
    departed: VecDeque<DepartedIncarnation>,
}

impl OwnTarget {
    /// Creates a target without a known incarnation.
    pub fn new() -> OwnTarget {
        OwnTarget::default()
    }

    /// Applies a report of the target.
    pub fn apply_report(&mut self, now: Time, report: &TargetReport) -> ReportOutcome {
        if self
            .departed
            .iter()
            .any(|d| d.matches(&report.incarnation, now))
        {
            return ReportOutcome::Stale;
        }
        let Some(known) = &mut self.current else {
            return self.start_incarnation(now, report);
        };
        if known.report.incarnation != report.incarnation {
            return self.report_of_other_incarnation(now, report);
        }
        // An incarnation that drains stays so, and a delayed report of that counts, if the start time
        // shows that it is from this incarnation.
        let is_final =
            report.state == TargetState::Draining && report.incarnation.started != UnixMillis(0);
        if report.sequence <= known.report.sequence && !is_final {
            return ReportOutcome::Stale;
        }
        let was_usable = known.is_usable();
        let before = (known.report.state, known.report.slots);
        let was_draining = known.report.state == TargetState::Draining;
        known.report = report.clone();
        if was_draining {
            known.report.state = TargetState::Draining;
        }
        let is_draining = known.report.state == TargetState::Draining;
        known.cold_until = now + report.warmup_remaining;
        known.is_down = false;
        if let Confirmation::Pending(n) = known.confirmation {
            known.confirmation = confirmation_after(n + 1);
        }
        let after = (known.report.state, known.report.slots);
        let is_same = before == after && was_usable == known.is_usable();
        if is_draining {
            self.push_departure_of(now, &report.incarnation);
        }
        if is_same {
            ReportOutcome::Same
        } else {
            ReportOutcome::Changed
        }
    }

    /// Records that the incarnation with this name and start time departs, and sets the current one
    /// to draining if it matches. Without a start time, any incarnation with this name matches.
    /// Returns whether the current incarnation matched.
    pub fn record_departure(&mut self, now: Time, name: &str, started: Option<UnixMillis>) -> bool {
        self.push_departure(now, name.into(), started);
        let matching = self.current.as_mut().filter(|c| {
            *c.report.incarnation.name == *name
                && started.is_none_or(|s| s == c.report.incarnation.started)
        });
        let Some(current) = matching else {
            return false;
        };
        current.report.state = TargetState::Draining;
        let incarnation = current.report.incarnation.clone();
        self.push_departure_of(now, &incarnation);
        true
    }

    /// Applies a response of the health endpoint, in which the target identifies itself as `name`.
    /// Only a healthy response with the name of the current incarnation has an effect.
    pub fn record_health_check(&mut self, name: &str, is_healthy: bool) {
        let Some(c) = &mut self.current else { return };
        if *c.report.incarnation.name != *name {
            return;
        }
        if is_healthy {
            c.confirmation = Confirmation::Confirmed;
            c.is_down = false;
        }
    }

    /// Drops the current incarnation if a target with a different `name` responds at its address.
    pub fn drop_if_replaced_by(&mut self, name: &str) {
        if self
            .current
            .as_ref()
            .is_some_and(|c| *c.report.incarnation.name != *name)
        {
            self.current = None;
        }
    }

    /// Records that the target refused a connection.
    pub fn record_refused_connection(&mut self) {
        if let Some(current) = &mut self.current {
            current.is_down = true;
        }
    }

    /// Records that the target accepted a connection.
    pub fn record_accepted_connection(&mut self) {
        if let Some(current) = &mut self.current {
            current.is_down = false;
        }
    }

    /// Returns whether the target refused a connection and has not accepted one, sent a report or
    /// passed a health check since.
    pub fn is_down(&self) -> bool {
        self.current.as_ref().is_some_and(|c| c.is_down)
    }

    /// Returns the last report if the current incarnation may get requests: it is ready, confirmed
    /// and not down.
    pub fn usable_report(&self) -> Option<&TargetReport> {
        self.current
            .as_ref()
            .filter(|c| c.is_usable())
            .map(|c| &c.report)
    }

    /// Returns the last report of the current incarnation, whether or not it may get requests.
    pub fn current_report(&self) -> Option<&TargetReport> {
        self.current.as_ref().map(|c| &c.report)
    }

    /// Returns whether the target is still warming up.
    pub fn is_cold(&self, now: Time) -> bool {
        self.current.as_ref().is_some_and(|c| now < c.cold_until)
    }

    /// Returns names and start times of the departed incarnations, oldest first. The node passes
    /// them on across its own restart.
    pub fn departed(&self) -> impl Iterator<Item = (&str, Option<UnixMillis>)> {
        self.departed.iter().map(|d| (&*d.name, d.started))
    }

    fn start_incarnation(&mut self, now: Time, report: &TargetReport) -> ReportOutcome {
        if report.state == TargetState::Draining {
            self.push_departure_of(now, &report.incarnation);
        }
        self.current = Some(CurrentIncarnation {
            report: report.clone(),
            cold_until: now + report.warmup_remaining,
            confirmation: confirmation_after(1),
            is_down: false,
        });
        ReportOutcome::NewLife
    }

    /// Applies a report of an incarnation other than the current one. An incarnation that started
    /// later replaces the current one. A report of one that did not is ignored as delayed, unless
    /// the current one is draining or down: the target's clock may have been set back. A report of
    /// the same name without a start time is no sign of another incarnation.
    ///
    /// The replaced incarnation has ended, so its delayed reports are those of a departed one.
    fn report_of_other_incarnation(&mut self, now: Time, report: &TargetReport) -> ReportOutcome {
        let Some(known) = &self.current else {
            return self.start_incarnation(now, report);
        };
        let (current, other) = (&known.report.incarnation, &report.incarnation);
        let started_later = other.started > current.started;
        let lacks_start = other.started == UnixMillis(0) && other.name == current.name;
        let is_ending = known.is_down || known.report.state == TargetState::Draining;
        if !started_later && (!is_ending || lacks_start) {
            return ReportOutcome::Stale;
        }
        let replaced = current.clone();
        self.push_departure_of(now, &replaced);
        self.start_incarnation(now, report)
    }

    fn push_departure_of(&mut self, now: Time, incarnation: &TargetIncarnation) {
        self.push_departure(now, incarnation.name.clone(), Some(incarnation.started));
    }

    /// Adds a departed incarnation. One that is retained already evicts no other.
    fn push_departure(&mut self, now: Time, name: Arc<str>, started: Option<UnixMillis>) {
        let is_same = |d: &DepartedIncarnation| d.name == name && d.started == started;
        if let Some(known) = self.departed.iter_mut().find(|d| is_same(d)) {
            known.departed_at = now;
            return;
        }
        if self.departed.len() == MAX_DEPARTED {
            self.departed.pop_front();
        }
        self.departed.push_back(DepartedIncarnation {
            name,
            started,
            departed_at: now,
        });
    }
}

impl CurrentIncarnation {
    fn is_usable(&self) -> bool {
        self.report.state == TargetState::Ready
            && self.confirmation == Confirmation::Confirmed
            && !self.is_down
    }
}

fn confirmation_after(reports: u32) -> Confirmation {
    if reports >= REPORTS_TO_CONFIRM {
        Confirmation::Confirmed
    } else {
        Confirmation::Pending(reports)
    }
}
