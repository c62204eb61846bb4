//! The routing table in force.
//!
//! A version is taken whole, and only if it is newer than the one in force, whoever brings it.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

use arc_swap::ArcSwapOption;
use bytes::Bytes;
use config::{RawRouting, Routing, RoutingDelta, RoutingDeltaError, RoutingError};
use parking_lot::Mutex;
use snafu::{ResultExt, Snafu};
use tokio::sync::watch;

use crate::message::VersionUpdate;

/// Reads the text of a version, in the format of the deployment.
pub type DecodeVersion = fn(&[u8]) -> Result<RawRouting, String>;

/// Tables that are kept so that nodes which lag by a few versions get the difference. They share
/// the rules that are equal.
const MAX_KEPT: usize = 8;

/// Why a version was not taken.
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
    /// The update of another node can't be used.
    #[snafu(display("{source}"))]
    Update {
        /// Cause.
        source: RoutingDeltaError,
    },
}

/// What became of a version.
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

/// The version in force, and the last ones for nodes that lag.
pub(crate) struct Versions {
    decode: DecodeVersion,
    table: ArcSwapOption<Routing>,
    kept: Mutex<Kept>,
    number: watch::Sender<u64>,
}

/// The last tables, the newest one last.
#[derive(Default)]
struct Kept {
    tables: VecDeque<Arc<Routing>>,
    /// Encoded updates to the newest table, by the version that they start from: most nodes lag by
    /// the same versions.
    updates: HashMap<u64, VersionUpdate>,
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
            number: watch::Sender::new(0),
        }
    }

    /// Puts a text in force if it is valid and newer.
    pub(crate) fn adopt(&self, text: &[u8]) -> Result<Adopted, VersionError> {
        let raw = (self.decode)(text).map_err(|reason| VersionError::Unreadable { reason })?;
        let version = raw.version;
        if version <= self.number() {
            return Ok(Adopted::NotNewer { version });
        }
        let mut table = Routing::try_from(raw).context(InvalidSnafu)?;
        if let Some(present) = self.table() {
            table.share_with(&present);
        }
        Ok(self.install(table))
    }

    /// Puts the update of another node in force if it is valid and newer.
    pub(crate) fn adopt_update(&self, update: &VersionUpdate) -> Result<Adopted, VersionError> {
        let present = self.table();
        let delta = RoutingDelta::decode(&update.0).context(UpdateSnafu)?;
        let table = delta.apply(present.as_deref()).context(UpdateSnafu)?;
        Ok(self.install(table))
    }

    /// Puts a table in force if it is newer.
    fn install(&self, table: Routing) -> Adopted {
        let version = table.version().0;
        let table = Arc::new(table);
        // The lock makes the comparison and the change one step.
        let mut kept = self.kept.lock();
        if version <= self.number() {
            return Adopted::NotNewer { version };
        }
        self.table.store(Some(table.clone()));
        if kept.tables.len() == MAX_KEPT {
            kept.tables.pop_front();
        }
        kept.tables.push_back(table);
        kept.updates.clear();
        self.number.send_replace(version);
        Adopted::Yes { version }
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
        self.kept.lock().update(than)
    }

    /// Returns the difference to the version in force for a node with version `than`, or `None` if
    /// that version is not kept or not older.
    pub(crate) fn difference_from(&self, than: u64) -> Option<VersionUpdate> {
        let mut kept = self.kept.lock();
        kept.base(than)?;
        kept.update(than)
    }
}

impl Kept {
    fn base(&self, version: u64) -> Option<&Arc<Routing>> {
        self.tables.iter().find(|t| t.version().0 == version)
    }

    fn update(&mut self, than: u64) -> Option<VersionUpdate> {
        let newest = self.tables.back().filter(|t| t.version().0 > than)?;
        let base = self.base(than);
        let from = base.map_or(0, |b| b.version().0);
        if let Some(update) = self.updates.get(&from) {
            return Some(update.clone());
        }
        let delta = RoutingDelta::between(base.map(Arc::as_ref), newest);
        let update = match delta.encode() {
            Ok(bytes) => VersionUpdate(Bytes::from(bytes)),
            Err(e) => {
                log::warn!(event = "version_not_encoded", error:% = e; "other nodes read it in the log");
                return None;
            }
        };
        self.updates.insert(from, update.clone());
        Some(update)
    }
}
