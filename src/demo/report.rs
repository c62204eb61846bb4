//! The table of the demo and the promises that it checks.

use std::collections::{BTreeMap, HashMap};
use std::fmt;
use std::time::Duration;

use super::load::Tally;

/// Goal for a version to be in force everywhere.
const CONVERGENCE_GOAL: Duration = Duration::from_secs(2);

/// What a run of a site showed.
pub(crate) struct Report {
    name: &'static str,
    tally: Tally,
    pub(crate) convergence: [Duration; 2],
    /// Control bytes per node and second.
    pub(crate) control_rate: f64,
    pub(crate) versions: BTreeMap<u64, usize>,
    pub(crate) broken: Vec<String>,
}

impl Report {
    pub(crate) fn new(name: &'static str, tally: Tally) -> Report {
        Report {
            name,
            tally,
            convergence: [Duration::ZERO; 2],
            control_rate: 0.0,
            versions: BTreeMap::new(),
            broken: Vec::new(),
        }
    }

    /// Checks the promises.
    pub(crate) fn check(&mut self, started_after_drain: u64, runs: &HashMap<String, u64>) {
        self.broken.extend(
            self.tally
                .wrong
                .iter()
                .map(|w| format!("answer not whole: {w}")),
        );
        for (key, n) in runs {
            if *n > 1 {
                self.broken.push(format!("key {key} ran {n} times"));
            }
            if self.tally.keys.get(key) == Some(&false) {
                self.broken
                    .push(format!("key {key} was called not run but ran"));
            }
        }
        if started_after_drain > 0 {
            self.broken
                .push(format!("{started_after_drain} requests after the drain"));
        }
        if self.versions.keys().any(|v| *v != 2) {
            self.broken
                .push(format!("versions in force: {:?}", self.versions));
        }
        if self.convergence.iter().any(|c| *c > CONVERGENCE_GOAL) {
            self.broken
                .push(format!("convergence took {:?}", self.convergence));
        }
    }

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
        let refused: usize = t.refused.values().sum();
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
            t.whole,
            refused,
            t.broken,
            versions.join(", "),
            ms(self.convergence[0]),
            ms(self.convergence[1]),
            self.control_rate
        )?;
        for (code, n) in &t.refused {
            let title = wire::Code::from_number(*code).map_or("?", wire::Code::title);
            writeln!(f, "    refused {code} {title}: {n}")?;
        }
        for promise in &self.broken {
            writeln!(f, "    BROKEN {promise}")?;
        }
        Ok(())
    }
}
