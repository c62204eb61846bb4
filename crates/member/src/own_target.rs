//! State of the target that a node serves, derived from the target's own reports.
//!
//! Reports may be delayed, duplicated, from an earlier incarnation of the target, or from another
//! writer. [`OwnTarget`] orders them by the start time of the incarnation and the sequence number
//! within it. A departure is final: once it has been acknowledged to an incarnation, that
//! incarnation gets no requests again.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use wire::{ServiceName, Time, UnixMillis};

/// Number of departed incarnations retained. A few suffice, because a target has one incarnation at
/// a time and delayed reports come from the most recent ones.
const MAX_LEFT: usize = 16;
/// Time for which a departure announced without a start time blocks reports with the same name.
/// Delayed reports arrive within a few seconds, so later ones come from a new incarnation.
const LEAVE_DOUBT: Duration = Duration::from_secs(10);
/// Number of reports in sequence that confirm an incarnation without its health endpoint. Two
/// delayed reports that arrive in order are unlikely, while an endpoint can be wrong for long.
const REPORTS_WITHOUT_HEALTH: u32 = 2;

/// Identifies one incarnation of a target, the time between its start and its end.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LifeId {
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
    pub life: LifeId,
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
    pub cold_for: Duration,
}

/// Outcome of [`OwnTarget::report`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reported {
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
enum Confirmed {
    /// Not confirmed; this many reports have been received.
    Reports(u32),
    /// Confirmed by the health endpoint or by [`REPORTS_WITHOUT_HEALTH`] reports.
    Yes,
}

/// The incarnation that the last accepted report came from.
#[derive(Clone, Debug)]
struct Life {
    /// Last accepted report. The state stays `Draining` once it has been.
    report: TargetReport,
    cold_until: Time,
    confirmed: Confirmed,
    /// Whether the target refused a connection. Cleared by the next report, a successful health
    /// check or an accepted connection.
    down: bool,
}

/// A departed incarnation.
#[derive(Clone, Debug)]
struct Left {
    name: Arc<str>,
    /// `None` if the target announced its departure without a start time.
    started: Option<UnixMillis>,
    /// Time at which the departure was recorded.
    at: Time,
}

impl Left {
    /// Returns whether a report of `life` has to be treated as one of this departed incarnation.
    fn is(&self, life: &LifeId, now: Time) -> bool {
        let same_life = match self.started {
            Some(started) => started == life.started,
            None => now.since(self.at) < LEAVE_DOUBT,
        };
        self.name == life.name && same_life
    }
}

/// The target that a node serves. Tracks its current incarnation and the departed ones.
#[derive(Clone, Debug, Default)]
pub struct OwnTarget {
    life: Option<Life>,
    left: VecDeque<Left>,
}

impl OwnTarget {
    /// Creates a target without a known incarnation.
    pub fn new() -> OwnTarget {
        OwnTarget::default()
    }

    /// Applies a report of the target.
    pub fn report(&mut self, now: Time, report: &TargetReport) -> Reported {
        if self.left.iter().any(|l| l.is(&report.life, now)) {
            return Reported::Stale;
        }
        let Some(known) = &mut self.life else {
            return self.begin(now, report);
        };
        if known.report.life != report.life {
            return self.report_of_other_life(now, report);
        }
        if report.sequence <= known.report.sequence {
            return Reported::Stale;
        }
        let was_usable = known.is_usable();
        let before = (known.report.state, known.report.slots);
        let draining = known.report.state == TargetState::Draining;
        known.report = report.clone();
        if draining {
            known.report.state = TargetState::Draining;
        }
        known.cold_until = now + report.cold_for;
        known.down = false;
        if let Confirmed::Reports(n) = known.confirmed {
            known.confirmed = confirmed_by(n + 1);
        }
        let after = (known.report.state, known.report.slots);
        if before == after && was_usable == known.is_usable() {
            Reported::Same
        } else {
            Reported::Changed
        }
    }

    /// Records that the incarnation with this name and start time departs, and sets the current one
    /// to draining if it matches. Without a start time, any incarnation with this name matches.
    /// Returns whether the current incarnation matched.
    pub fn leave(&mut self, now: Time, name: &str, started: Option<UnixMillis>) -> bool {
        self.remember_left(now, name, started);
        let present = self.life.as_mut().filter(|l| {
            *l.report.life.name == *name && started.is_none_or(|s| s == l.report.life.started)
        });
        match present {
            Some(life) => {
                life.report.state = TargetState::Draining;
                true
            }
            None => false,
        }
    }

    /// Applies a response of the health endpoint, in which the target identifies itself as `name`.
    /// Only a healthy response of the current incarnation has an effect.
    pub fn health(&mut self, name: &str, healthy: bool) {
        let Some(life) = &mut self.life else { return };
        if *life.report.life.name != *name {
            return;
        }
        if healthy {
            life.confirmed = Confirmed::Yes;
            life.down = false;
        }
    }

    /// Drops the current incarnation if a target with a different `name` responds at its address.
    pub fn replaced_by(&mut self, name: &str) {
        if self
            .life
            .as_ref()
            .is_some_and(|l| *l.report.life.name != *name)
        {
            self.life = None;
        }
    }

    /// Records that the target refused a connection.
    pub fn connection_refused(&mut self) {
        if let Some(life) = &mut self.life {
            life.down = true;
        }
    }

    /// Records that the target accepted a connection.
    pub fn connected(&mut self) {
        if let Some(life) = &mut self.life {
            life.down = false;
        }
    }

    /// Returns whether the target refused the last connection and has not been reported alive
    /// since.
    pub fn is_down(&self) -> bool {
        self.life.as_ref().is_some_and(|l| l.down)
    }

    /// Returns the last report if the current incarnation may get requests: it is ready, confirmed
    /// and not down.
    pub fn usable(&self) -> Option<&TargetReport> {
        self.life
            .as_ref()
            .filter(|l| l.is_usable())
            .map(|l| &l.report)
    }

    /// Returns the last report of the current incarnation, whether or not it may get requests.
    pub fn present(&self) -> Option<&TargetReport> {
        self.life.as_ref().map(|l| &l.report)
    }

    /// Returns whether the target is still warming up.
    pub fn is_cold(&self, now: Time) -> bool {
        self.life.as_ref().is_some_and(|l| now < l.cold_until)
    }

    /// Returns names and start times of the departed incarnations, oldest first. The node passes
    /// them on across its own restart.
    pub fn left(&self) -> impl Iterator<Item = (&str, Option<UnixMillis>)> {
        self.left.iter().map(|l| (&*l.name, l.started))
    }

    fn begin(&mut self, now: Time, report: &TargetReport) -> Reported {
        self.life = Some(Life {
            report: report.clone(),
            cold_until: now + report.cold_for,
            confirmed: confirmed_by(1),
            down: false,
        });
        Reported::NewLife
    }

    /// Applies a report of an incarnation other than the current one. An incarnation that started
    /// later replaces the current one. One that started earlier is a delayed report and ignored,
    /// unless the current one is draining or down: the target's clock may have been set back.
    fn report_of_other_life(&mut self, now: Time, report: &TargetReport) -> Reported {
        let Some(known) = &self.life else {
            return self.begin(now, report);
        };
        let later = report.life.started > known.report.life.started;
        let gone = known.down || known.report.state == TargetState::Draining;
        if !later && !gone {
            return Reported::Stale;
        }
        if known.report.state == TargetState::Draining {
            let LifeId { name, started } = known.report.life.clone();
            self.remember_left(now, &name, Some(started));
        }
        self.begin(now, report)
    }

    fn remember_left(&mut self, now: Time, name: &str, started: Option<UnixMillis>) {
        if self.left.len() == MAX_LEFT {
            self.left.pop_front();
        }
        self.left.push_back(Left {
            name: name.into(),
            started,
            at: now,
        });
    }
}

impl Life {
    fn is_usable(&self) -> bool {
        self.report.state == TargetState::Ready && self.confirmed == Confirmed::Yes && !self.down
    }
}

fn confirmed_by(reports: u32) -> Confirmed {
    if reports >= REPORTS_WITHOUT_HEALTH {
        Confirmed::Yes
    } else {
        Confirmed::Reports(reports)
    }
}
