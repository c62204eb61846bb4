//! How long a reply from a node, or from any node of a failure domain, has been outstanding.

use std::time::Duration;

use wire::Time;

/// Whether a reply is outstanding, and since when.
///
/// When a failure domain is partitioned off, all its nodes become unresponsive at once. Detecting
/// each of them separately would lose requests to each one, so a domain has a state of its own.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OverdueReply {
    outstanding_since: Option<Time>,
}

impl OverdueReply {
    /// Records that a request was sent. Only the oldest outstanding one counts.
    pub fn record_request(&mut self, now: Time) {
        self.outstanding_since.get_or_insert(now);
    }

    /// Records a reply. It ends the wait for all earlier requests too, since it shows that the
    /// network path works in both directions.
    pub fn record_reply(&mut self) {
        self.outstanding_since = None;
    }

    /// Returns for how long a reply has been outstanding, 0 if none is.
    pub fn outstanding_for(&self, now: Time) -> Duration {
        self.outstanding_since
            .map_or(Duration::ZERO, |at| now.since(at))
    }
}
