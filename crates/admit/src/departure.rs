//! Requests of a node that shuts down.
//!
//! It answers planned stops: callers go on sending to a node for some seconds after the stop was
//! announced, and what still runs at the end of the grace period is cut off. A request that can't end
//! before that is refused while it has not run.

use std::time::Duration;

use wire::Time;

/// Time for the response of a target to reach its caller.
const RETURN_TIME: Duration = Duration::from_millis(200);
/// Number of mean service times that must remain for a request: few take longer.
const SERVICE_MARGIN_FACTOR: f64 = 2.0;
/// Part of the objective that must remain while the service time of a route is unknown.
const DECLARED_SERVICE_FRACTION: f64 = 0.5;

/// The end of the requests of a node that shuts down.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Departure {
    /// When a target has to have responded.
    ends_at: Time,
}

impl Departure {
    /// Describes a shutdown that aborts its requests at `abort_at`.
    pub fn new(abort_at: Time) -> Departure {
        let us = abort_at.as_micros();
        let return_us = u64::try_from(RETURN_TIME.as_micros()).unwrap_or(u64::MAX);
        Departure {
            ends_at: Time::from_micros(us.saturating_sub(return_us)),
        }
    }

    /// Returns `deadline`, or the end of the shutdown's requests if that is earlier: a target stops its
    /// work at the deadline that it gets, and responds.
    pub fn limit(&self, deadline: Time) -> Time {
        deadline.min(self.ends_at)
    }

    /// Returns until when a request has to be complete and handed to a target. `mean_service` is the
    /// mean service time of its route, `None` while that is unknown.
    pub fn latest_start(&self, mean_service: Option<Duration>, objective: Duration) -> Time {
        let needed = match mean_service {
            Some(mean) => mean.mul_f64(SERVICE_MARGIN_FACTOR),
            None => objective.mul_f64(DECLARED_SERVICE_FRACTION),
        };
        let needed_us = u64::try_from(needed.as_micros()).unwrap_or(u64::MAX);
        Time::from_micros(self.ends_at.as_micros().saturating_sub(needed_us))
    }
}
