//! The routing table in force.
//!
//! A version is applied as a whole, and only if it is newer than the one in force, whether the log
//! or a peer supplied it.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

use arc_swap::ArcSwapOption;
use bytes::Bytes;
use config::{RawRouting, Routing, RoutingDelta, RoutingDeltaError, RoutingError};
use parking_lot::Mutex;
use snafu::{ResultExt, Snafu};
use tokio::sync::watch;

use crate::message::VersionUpdate;

/// Decodes a configuration text in the format of the deployment. The error says what is wrong with
/// the text.
pub type DecodeVersion = fn(&[u8]) -> Result<RawRouting, String>;

/// Number of recent tables kept, so that nodes that lag by a few versions get a delta. Tables share
/// equal routes.
const MAX_RECENT_TABLES: usize = 8;

/// Why a version was rejected.
#[derive(Clone, Debug, Snafu)]
pub enum VersionError {
    /// The configuration text can't be decoded.
    #[snafu(display("configuration text not readable: {reason}"))]
    Unreadable {
        /// Message of the decoder.
        reason: String,
    },
    /// The routing table violates a validation rule.
    #[snafu(display("routing table not valid: {source}"))]
    Invalid {
        /// Rule that the table violates.
        source: RoutingError,
    },
    /// The update of a peer can't be decoded or applied.
    #[snafu(display("update of a peer not usable: {source}"))]
    Update {
        /// Why the delta can't be decoded or applied.
        source: RoutingDeltaError,
    },
}

/// Result of the adoption of a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Adoption {
    /// The version is in force now.
    Installed {
        /// Number of the version.
        version: u64,
    },
    /// The version is not newer than the one in force and was ignored.
    NotNewer {
        /// Number of the ignored version.
        version: u64,
    },
}

/// The version in force, and recent versions from which deltas for lagging nodes are made.
pub(crate) struct Versions {
    decode: DecodeVersion,
    table: ArcSwapOption<Routing>,
    recent: Mutex<RecentTables>,
    /// Number of the version in force, 0 for none.
    number: watch::Sender<u64>,
}

/// Recent tables in the order of their versions, the newest last.
#[derive(Default)]
struct RecentTables {
    tables: VecDeque<Arc<Routing>>,
    /// Encoded updates to the newest table by their base version, 0 for none; kept because most
    /// lagging nodes ask for the same one.
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
            recent: Mutex::default(),
            number: watch::Sender::new(0),
        }
    }

    /// Puts the version in a configuration text in force if it is valid and newer.
    pub(crate) fn adopt(&self, text: &[u8]) -> Result<Adoption, VersionError> {
        let raw = (self.decode)(text).map_err(|reason| VersionError::Unreadable { reason })?;
        let version = raw.version;
        if version <= self.number() {
            return Ok(Adoption::NotNewer { version });
        }
        let mut table = Routing::try_from(raw).context(InvalidSnafu)?;
        if let Some(current) = self.table() {
            table.share_with(&current);
        }
        Ok(self.install(table))
    }

    /// Applies the update of a peer and puts the resulting version in force if it is valid and
    /// newer.
    pub(crate) fn adopt_update(&self, update: &VersionUpdate) -> Result<Adoption, VersionError> {
        let current = self.table();
        let delta = RoutingDelta::decode(&update.0).context(UpdateSnafu)?;
        let table = delta.apply(current.as_deref()).context(UpdateSnafu)?;
        Ok(self.install(table))
    }

    /// Puts a table in force if it is newer.
    fn install(&self, table: Routing) -> Adoption {
        let version = table.version().0;
        let table = Arc::new(table);
        // The lock makes the comparison and the replacement atomic.
        let mut recent = self.recent.lock();
        if version <= self.number() {
            return Adoption::NotNewer { version };
        }
        self.table.store(Some(table.clone()));
        if recent.tables.len() == MAX_RECENT_TABLES {
            recent.tables.pop_front();
        }
        recent.tables.push_back(table);
        recent.updates.clear();
        self.number.send_replace(version);
        Adoption::Installed { version }
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

    /// Returns the update for a node with version `base_version`: a delta if the table of
    /// `base_version` is still kept, else the whole table. Returns `None` if the version in force
    /// is not newer or can't be encoded.
    pub(crate) fn update_from(&self, base_version: u64) -> Option<VersionUpdate> {
        self.recent.lock().update(base_version)
    }

    /// Returns the delta from version `base_version` to the version in force, or `None` if the
    /// table of `base_version` is not kept, `base_version` is not older, or the delta can't be
    /// encoded.
    pub(crate) fn delta_from(&self, base_version: u64) -> Option<VersionUpdate> {
        let mut recent = self.recent.lock();
        recent.base(base_version)?;
        recent.update(base_version)
    }
}

impl RecentTables {
    fn base(&self, version: u64) -> Option<&Arc<Routing>> {
        self.tables.iter().find(|t| t.version().0 == version)
    }

    fn update(&mut self, base_version: u64) -> Option<VersionUpdate> {
        let newest = self
            .tables
            .back()
            .filter(|t| t.version().0 > base_version)?;
        let base = self.base(base_version);
        let from = base.map_or(0, |b| b.version().0);
        if let Some(update) = self.updates.get(&from) {
            return Some(update.clone());
        }
        let delta = RoutingDelta::between(base.map(Arc::as_ref), newest);
        let update = match delta.encode() {
            Ok(bytes) => VersionUpdate(Bytes::from(bytes)),
            Err(e) => {
                log::warn!(event = "version_not_encoded", error:% = e; "could not encode an update for a peer; the peer needs another source for this version");
                return None;
            }
        };
        self.updates.insert(from, update.clone());
        Some(update)
    }
}
