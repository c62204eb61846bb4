//! The load of a target as its node counts it.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// Work at one target; travels on answers in the `briarlug-load` header.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Requests that hold a slot.
    pub in_flight: u32,
    /// Requests that wait for a slot.
    pub queued: u32,
    /// Slots that may be used now.
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
