//! The routing table in force.
//!
//! A version is taken whole, and only if it is newer than the one in force, whoever brings it.

use std::sync::Arc;

use arc_swap::ArcSwapOption;
use bytes::Bytes;
use config::{RawRouting, Routing, RoutingError};
use parking_lot::Mutex;
use snafu::Snafu;
use tokio::sync::watch;

use crate::message::VersionText;

/// Reads the text of a version, in the format of the deployment.
pub type DecodeVersion = fn(&[u8]) -> Result<RawRouting, String>;

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

/// The version in force and its text, which other nodes may ask for.
pub(crate) struct Versions {
    decode: DecodeVersion,
    table: ArcSwapOption<Routing>,
    text: Mutex<Option<VersionText>>,
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
            text: Mutex::new(None),
            number: watch::Sender::new(0),
        }
    }

    /// Puts a text in force if it is valid and newer.
    pub(crate) fn adopt(&self, text: Bytes) -> Result<Adopted, VersionError> {
        let raw = (self.decode)(&text).map_err(|reason| VersionError::Unreadable { reason })?;
        let version = raw.version;
        // The lock makes the comparison and the change one step.
        let mut held = self.text.lock();
        if version <= self.number() {
            return Ok(Adopted::NotNewer { version });
        }
        let table = Routing::try_from(raw).map_err(|source| VersionError::Invalid { source })?;
        self.table.store(Some(Arc::new(table)));
        *held = Some(VersionText { version, text });
        self.number.send_replace(version);
        Ok(Adopted::Yes { version })
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

    pub(crate) fn newer_than(&self, than: u64) -> Option<VersionText> {
        self.text.lock().clone().filter(|t| t.version > than)
    }
}
