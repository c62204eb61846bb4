//! Checks of the end of the publication stream on behalf of starting nodes.

use std::time::Duration;

use parking_lot::Mutex;
use plat::Log;
use tokio::time::Instant;
use wire::{Offset, Version};

use crate::reader::CONFIG_STREAM;

/// Minimum time between two checks; bounds the load on the log when many nodes start.
const GAP: Duration = Duration::from_millis(200);
const READ_TIMEOUT: Duration = Duration::from_millis(500);
/// Time for this node's reader to apply records that a check has found, before the next read.
const CATCH_UP: Duration = Duration::from_millis(50);
const TRIES: usize = 3;

/// End of the publication stream as this node's reader has seen it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Position {
    /// Offset of the first record that has not been applied.
    pub(crate) next: Offset,
    /// Version that results from the records before that offset.
    pub(crate) version: Version,
}

#[derive(Clone, Copy, Debug)]
struct Check {
    began: Instant,
    version: Option<Version>,
}

/// End of the publication stream, known while this node follows it.
#[derive(Debug, Default)]
pub(crate) struct LogEnd {
    position: Mutex<Option<Position>>,
    last: tokio::sync::Mutex<Option<Check>>,
}

impl LogEnd {
    /// Sets the reader's position; `None` if it doesn't follow the stream up to its end.
    pub(crate) fn set(&self, position: Option<Position>) {
        *self.position.lock() = position;
    }

    pub(crate) fn is_followed(&self) -> bool {
        self.position.lock().is_some()
    }

    /// Returns the version at the end of the stream, confirmed by a read that begins after this call;
    /// `None` if it can't be confirmed. Concurrent calls share one read.
    pub(crate) async fn check(&self, log: &dyn Log) -> Option<Version> {
        let asked = Instant::now();
        let mut last = self.last.lock().await;
        if let Some(check) = *last {
            if check.began >= asked {
                return check.version;
            }
            tokio::time::sleep_until(check.began + GAP).await;
        }
        let began = Instant::now();
        let version = self.read(log).await;
        *last = Some(Check { began, version });
        version
    }

    async fn read(&self, log: &dyn Log) -> Option<Version> {
        for _ in 0..TRIES {
            let Position { next, version } = (*self.position.lock())?;
            let read = log.read(CONFIG_STREAM, next, Duration::ZERO);
            let batch = tokio::time::timeout(READ_TIMEOUT, read).await.ok()?.ok()?;
            if batch.records.is_empty() && batch.end <= next {
                return Some(version);
            }
            tokio::time::sleep(CATCH_UP).await;
        }
        None
    }
}
