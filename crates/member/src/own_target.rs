//! What a node knows of the target beside it, from the target's own reports.
//!
//! Reports may be late, doubled, from an earlier life of the target, or from another writer.
//! [`OwnTarget`] orders them by the start of the life and the sequence number within it, and keeps
//! what must not be undone: a life that was told that its leaving is known gets no work again.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use wire::{ServiceName, Time, UnixMillis};

/// Lives that have left and are remembered; a target has one life at a time, and late reports
/// come from the last few.
const MAX_LEFT: usize = 16;
/// Time after which a life that was said to have left, without its start being named, may be
/// accepted again on a newer report. Late reports arrive within a few seconds.
const LEAVE_DOUBT: Duration = Duration::from_secs(10);
/// Reports in a row after which a life is used although its health endpoint did not confirm it.
/// Two reports that both arrive late, in order, are unlikely; an endpoint can be wrong for long.
const REPORTS_WITHOUT_HEALTH: u32 = 2;

/// Identifies one life of a target.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LifeId {
    /// The identifier that the target gives itself.
    pub name: Arc<str>,
    /// When the target says that it has started.
    pub started: UnixMillis,
}

/// Whether a target takes work, by its own word.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetState {
    /// It takes work.
    Ready,
    /// It finishes what it has and leaves.
    Draining,
}

/// A report of a target about itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetReport {
    /// Which life reports.
    pub life: LifeId,
    /// Grows with each report of a life.
    pub sequence: u64,
    /// Its service.
    pub service: ServiceName,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes work.
    pub state: TargetState,
    /// How much longer it is slow after its start.
    pub cold_for: Duration,
}

/// What a report led to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reported {
    /// It is older than what is known, or from a life that has left.
    Stale,
    /// It confirms what is known.
    Same,
    /// It changes what is known.
    Changed,
    /// It names a life that is new here; its health endpoint should confirm it.
    NewLife,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Confirmed {
    /// Not yet; this many reports have come.
    Reports(u32),
    Yes,
}

#[derive(Clone, Debug)]
struct Life {
    report: TargetReport,
    cold_until: Time,
    confirmed: Confirmed,
    /// A connection was refused since the last report.
    down: bool,
}

#[derive(Clone, Debug)]
struct Left {
    name: Arc<str>,
    /// Unknown where the target left without saying when it had started.
    started: Option<UnixMillis>,
    at: Time,
}

impl Left {
    fn is(&self, life: &LifeId, now: Time) -> bool {
        let same_life = match self.started {
            Some(started) => started == life.started,
            None => now.since(self.at) < LEAVE_DOUBT,
        };
        self.name == life.name && same_life
    }
}

/// The target beside a node.
#[derive(Clone, Debug, Default)]
pub struct OwnTarget {
    life: Option<Life>,
    left: VecDeque<Left>,
}

impl OwnTarget {
    /// Makes a target of which nothing is known.
    pub fn new() -> OwnTarget {
        OwnTarget::default()
    }

    /// Takes a report.
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

    /// Takes the target's word that it leaves. Returns whether the present life is meant.
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

    /// Takes an answer of the health endpoint. `name` is the identifier in that answer.
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

    /// Takes an answer that names another life at the target's address: the known one is gone.
    pub fn replaced_by(&mut self, name: &str) {
        if self
            .life
            .as_ref()
            .is_some_and(|l| *l.report.life.name != *name)
        {
            self.life = None;
        }
    }

    /// Notes that the target refuses connections.
    pub fn connection_refused(&mut self) {
        if let Some(life) = &mut self.life {
            life.down = true;
        }
    }

    /// Notes that the target accepts connections.
    pub fn connected(&mut self) {
        if let Some(life) = &mut self.life {
            life.down = false;
        }
    }

    /// Returns whether the target refuses connections.
    pub fn is_down(&self) -> bool {
        self.life.as_ref().is_some_and(|l| l.down)
    }

    /// Returns the last report of a life that takes work, if there is one.
    pub fn usable(&self) -> Option<&TargetReport> {
        self.life
            .as_ref()
            .filter(|l| l.is_usable())
            .map(|l| &l.report)
    }

    /// Returns the last report of the present life.
    pub fn present(&self) -> Option<&TargetReport> {
        self.life.as_ref().map(|l| &l.report)
    }

    /// Returns whether the target is still slow after its start.
    pub fn is_cold(&self, now: Time) -> bool {
        self.life.as_ref().is_some_and(|l| now < l.cold_until)
    }

    /// Returns the lives that have left, for the node's next life.
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

    /// A life that started later replaces the known one. One that started earlier is a late
    /// report, unless the known one is gone: the target's clock may have been set back.
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
