//! Checks of the end of the publication stream on behalf of starting nodes.

use std::time::Duration;

use parking_lot::Mutex;
use plat::Log;
use tokio::time::Instant;
use wire::{Offset, Version};

use crate::reader::CONFIG_STREAM;

/// Minimum time between two checks; bounds the load on the log when many nodes start.
const MIN_CHECK_INTERVAL: Duration = Duration::from_millis(200);
const READ_TIMEOUT: Duration = Duration::from_millis(500);
/// Time for this node's reader to apply records that a check has found, before the next read.
const CATCH_UP_DELAY: Duration = Duration::from_millis(50);
/// Reads per check; if this node's reader is still behind the end after these, the check fails.
const MAX_READS: usize = 3;

/// End of the publication stream as this node's reader has seen it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Position {
    /// Offset of the first record that has not been applied.
    pub(crate) next_offset: Offset,
    /// Version that results from the records before that offset.
    pub(crate) version: Version,
}

/// The last check: when its read began and the version that it confirmed.
#[derive(Clone, Copy, Debug)]
struct Check {
    started_at: Instant,
    version: Option<Version>,
}

/// End of the publication stream, known while this node follows it.
#[derive(Debug, Default)]
pub(crate) struct LogEnd {
    position: Mutex<Option<Position>>,
    last_check: tokio::sync::Mutex<Option<Check>>,
}

impl LogEnd {
    /// Sets the reader's position; `None` if it doesn't follow the stream up to its end.
    pub(crate) fn set_position(&self, position: Option<Position>) {
        *self.position.lock() = position;
    }

    pub(crate) fn is_followed(&self) -> bool {
        self.position.lock().is_some()
    }

    /// Returns the version at the end of the stream, confirmed by a read that begins after this call;
    /// `None` if it can't be confirmed. Concurrent calls share one read.
    pub(crate) async fn confirmed_version(&self, log: &dyn Log) -> Option<Version> {
        let requested_at = Instant::now();
        let mut last_check = self.last_check.lock().await;
        if let Some(check) = *last_check {
            if check.started_at >= requested_at {
                return check.version;
            }
            tokio::time::sleep_until(check.started_at + MIN_CHECK_INTERVAL).await;
        }
        let started_at = Instant::now();
        let version = self.read_end_version(log).await;
        *last_check = Some(Check {
            started_at,
            version,
        });
        version
    }

    async fn read_end_version(&self, log: &dyn Log) -> Option<Version> {
        for _ in 0..MAX_READS {
            let Position {
                next_offset,
                version,
            } = (*self.position.lock())?;
            let read = log.read(CONFIG_STREAM, next_offset, Duration::ZERO);
            let batch = tokio::time::timeout(READ_TIMEOUT, read).await.ok()?.ok()?;
            if batch.records.is_empty() && batch.end <= next_offset {
                return Some(version);
            }
            tokio::time::sleep(CATCH_UP_DELAY).await;
        }
        None
    }
}
