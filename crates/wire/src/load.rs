//! The load of a target, counted by the target-side node.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// Requests and slots of one target. Responses carry the load in the `briarlug-load` header.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Number of requests that hold a slot.
    pub in_flight: u32,
    /// Number of requests that wait for a slot.
    pub queued: u32,
    /// Number of slots that may be used at present.
    pub slots: u32,
}

impl fmt::Display for Load {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}/{}", self.in_flight, self.queued, self.slots)
    }
}

impl FromStr for Load {
    type Err = std::num::ParseIntError;

    fn from_str(s: &str) -> Result<Load, Self::Err> {
        let mut parts = s.splitn(3, '/');
        let mut next = || parts.next().unwrap_or("").parse();
        Ok(Load {
            in_flight: next()?,
            queued: next()?,
            slots: next()?,
        })
    }
}
