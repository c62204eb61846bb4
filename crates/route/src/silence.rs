//! How long a node, or a whole failure domain, has owed an answer.

use std::time::Duration;

use wire::Time;

/// Whether answers are owed, and since when.
///
/// The load that it answers is a failure domain that is cut off: its nodes fall silent at once, and
/// if each one had to be found silent by itself, each would lose requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Silence {
    owed_since: Option<Time>,
}

impl Silence {
    /// Notes that a question was sent. Only the oldest one that is owed counts.
    pub fn asked(&mut self, now: Time) {
        self.owed_since.get_or_insert(now);
    }

    /// Notes an answer. Questions that were sent before it are not waited for any more: it shows
    /// that the way there and back works.
    pub fn answered(&mut self) {
        self.owed_since = None;
    }

    /// Returns for how long an answer has been owed.
    pub fn owed_for(&self, now: Time) -> Duration {
        self.owed_since.map_or(Duration::ZERO, |at| now.since(at))
    }
}
