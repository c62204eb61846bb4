//! Result table of the demo, and the guarantees that it checks.

use std::collections::{BTreeMap, HashMap};
use std::fmt;
use std::time::Duration;

use super::load::Tally;

/// Maximum time from a publication until its version is in force on all nodes.
const CONVERGENCE_GOAL: Duration = Duration::from_secs(2);

/// Results of a run of one site.
pub(crate) struct Report {
    name: &'static str,
    tally: Tally,
    /// Time until version 1 and until version 2 was in force on all nodes, each counted from the
    /// end of the version's publication.
    pub(crate) convergence: [Duration; 2],
    /// Control traffic in bytes per node and second.
    pub(crate) control_rate: f64,
    /// Number of nodes by the version in force at the end.
    pub(crate) versions: BTreeMap<u64, usize>,
    /// Descriptions of violated guarantees.
    pub(crate) violations: Vec<String>,
}

impl Report {
    pub(crate) fn new(name: &'static str, tally: Tally) -> Report {
        Report {
            name,
            tally,
            convergence: [Duration::ZERO; 2],
            control_rate: 0.0,
            versions: BTreeMap::new(),
            violations: Vec::new(),
        }
    }

    /// Checks the guarantees and records violations. `started_after_drain` counts the requests that
    /// the drained target started, `runs` the runs by idempotency key.
    pub(crate) fn check_guarantees(
        &mut self,
        started_after_drain: u64,
        runs: &HashMap<String, u64>,
    ) {
        self.violations.extend(
            self.tally
                .mismatches
                .iter()
                .map(|mismatch| format!("response does not match its request: {mismatch}")),
        );
        for (key, n) in runs {
            if *n > 1 {
                self.violations.push(format!("key {key} ran {n} times"));
            }
            if self.tally.may_have_run.get(key) == Some(&false) {
                self.violations.push(format!(
                    "key {key} ran although each of its requests was refused as not run"
                ));
            }
        }
        if started_after_drain > 0 {
            self.violations.push(format!(
                "drained target started {started_after_drain} more requests"
            ));
        }
        if self.versions.keys().any(|v| *v != 2) {
            self.violations.push(format!(
                "version 2 is not in force on all nodes; nodes by version: {:?}",
                self.versions
            ));
        }
        if self.convergence.iter().any(|c| *c > CONVERGENCE_GOAL) {
            self.violations.push(format!(
                "versions 1 and 2 took too long to be in force on all nodes: {:?}",
                self.convergence
            ));
        }
    }

    /// Returns the header line of the table.
    pub(crate) fn header() -> String {
        format!(
            "{:<12} {:>8} {:>7} {:>8} {:>7} {:>9} {:>11} {:>11} {:>13}\n",
            "site",
            "requests",
            "whole",
            "refused",
            "broken",
            "versions",
            "v1 in force",
            "v2 in force",
            "control B/s/n"
        )
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let t = &self.tally;
        let refusals: usize = t.refusals.values().sum();
        let versions: Vec<String> = self
            .versions
            .iter()
            .map(|(v, n)| format!("{v} on {n}"))
            .collect();
        let ms = |d: Duration| format!("{} ms", d.as_millis());
        writeln!(
            f,
            "{:<12} {:>8} {:>7} {:>8} {:>7} {:>9} {:>11} {:>11} {:>13.0}",
            self.name,
            t.sent,
            t.complete,
            refusals,
            t.failed,
            versions.join(", "),
            ms(self.convergence[0]),
            ms(self.convergence[1]),
            self.control_rate
        )?;
        for (code, n) in &t.refusals {
            let title = wire::Code::from_number(*code).map_or("?", wire::Code::title);
            writeln!(f, "    refused {code} {title}: {n}")?;
        }
        for violation in &self.violations {
            writeln!(f, "    BROKEN {violation}")?;
        }
        Ok(())
    }
}
