//! The routing table in force.
//!
//! A version is taken whole, and only if it is newer than the one in force, whoever brings it.

use std::collections::VecDeque;
use std::sync::Arc;

use arc_swap::ArcSwapOption;
use bytes::Bytes;
use config::{Delta, RawRouting, Routing, RoutingError};
use parking_lot::Mutex;
use snafu::Snafu;
use tokio::sync::watch;

use crate::message::VersionUpdate;

/// Reads the text of a version, in the format of the deployment.
pub type DecodeVersion = fn(&[u8]) -> Result<RawRouting, String>;

/// Texts that are kept so that nodes which lag by a few versions get a delta. Texts have some 100 KB.
const MAX_KEPT: usize = 8;
/// Ends of rows in the texts of the deployments, after which they are cut into lines for deltas.
const ROW_END: &str = "],[";
const ROW_CUT: &str = "],\n[";

/// Why a text was not taken.
#[derive(Clone, Debug, Snafu)]
pub enum VersionError {
    /// It can't be read.
    #[snafu(display("not readable: {reason}"))]
    Unreadable {
        /// What the decoder said.
        reason: String,
    },
    /// It breaks a rule.
    #[snafu(display("not valid: {source}"))]
    Invalid {
        /// The rule.
        source: RoutingError,
    },
    /// A delta does not fit the version in force.
    #[snafu(display("the delta does not fit the version in force"))]
    OtherBase,
}

/// What became of a text.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Adopted {
    /// It is in force.
    Yes {
        /// Its number.
        version: u64,
    },
    /// A version at least as new is in force.
    NotNewer {
        /// Its number.
        version: u64,
    },
}

#[derive(Clone, Debug)]
struct Kept {
    version: u64,
    text: Bytes,
}

/// The version in force, and the last texts for nodes that lag.
pub(crate) struct Versions {
    decode: DecodeVersion,
    table: ArcSwapOption<Routing>,
    kept: Mutex<VecDeque<Kept>>,
    /// The delta that was asked for last, with its base: most nodes lag by the same versions.
    delta: Mutex<Option<(u64, u64, Delta)>>,
    number: watch::Sender<u64>,
}

impl std::fmt::Debug for Versions {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Versions")
            .field("number", &self.number())
            .finish_non_exhaustive()
    }
}

impl Versions {
    pub(crate) fn new(decode: DecodeVersion) -> Versions {
        Versions {
            decode,
            table: ArcSwapOption::empty(),
            kept: Mutex::default(),
            delta: Mutex::default(),
            number: watch::Sender::new(0),
        }
    }

    /// Puts a text in force if it is valid and newer.
    pub(crate) fn adopt(&self, text: Bytes) -> Result<Adopted, VersionError> {
        let raw = (self.decode)(&text).map_err(|reason| VersionError::Unreadable { reason })?;
        let version = raw.version;
        // The lock makes the comparison and the change one step.
        let mut kept = self.kept.lock();
        if version <= self.number() {
            return Ok(Adopted::NotNewer { version });
        }
        let table = Routing::try_from(raw).map_err(|source| VersionError::Invalid { source })?;
        self.table.store(Some(Arc::new(table)));
        if kept.len() == MAX_KEPT {
            kept.pop_front();
        }
        kept.push_back(Kept { version, text });
        self.number.send_replace(version);
        Ok(Adopted::Yes { version })
    }

    /// Puts the update of another node in force if it is valid and newer.
    pub(crate) fn adopt_update(&self, update: VersionUpdate) -> Result<Adopted, VersionError> {
        match update {
            VersionUpdate::Whole(text) => self.adopt(text),
            VersionUpdate::Delta(delta) => {
                let present = self.kept.lock().back().map(|k| k.text.clone());
                let base = present.as_deref().and_then(lines);
                let result = base.and_then(|base| delta.apply(&base).ok());
                let text = result.ok_or(VersionError::OtherBase)?;
                self.adopt(text.replace('\n', "").into())
            }
        }
    }

    pub(crate) fn table(&self) -> Option<Arc<Routing>> {
        self.table.load_full()
    }

    /// Returns the number of the version in force, 0 for none.
    pub(crate) fn number(&self) -> u64 {
        *self.number.borrow()
    }

    pub(crate) fn changes(&self) -> watch::Receiver<u64> {
        self.number.subscribe()
    }

    /// Returns what a node with version `than` needs, or `None` if the one in force isn't newer.
    pub(crate) fn update_from(&self, than: u64) -> Option<VersionUpdate> {
        let kept = self.kept.lock();
        let newest = kept.back().filter(|k| k.version > than)?;
        let base = kept.iter().find(|k| k.version == than);
        Some(match base.and_then(|base| self.delta(base, newest)) {
            Some(delta) => VersionUpdate::Delta(delta),
            None => VersionUpdate::Whole(newest.text.clone()),
        })
    }

    fn delta(&self, base: &Kept, newest: &Kept) -> Option<Delta> {
        let mut last = self.delta.lock();
        if let Some((from, to, delta)) = &*last
            && (*from, *to) == (base.version, newest.version)
        {
            return Some(delta.clone());
        }
        let delta = Delta::between(&lines(&base.text)?, &lines(&newest.text)?);
        *last = Some((base.version, newest.version, delta.clone()));
        Some(delta)
    }
}

/// Cuts a text into lines, one a row; `None` if it has lines of its own.
fn lines(text: &[u8]) -> Option<String> {
    let text = std::str::from_utf8(text).ok()?;
    (!text.contains('\n')).then(|| text.replace(ROW_END, ROW_CUT))
}
