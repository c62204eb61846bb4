//! Checks before a body is uploaded to a target-side node ahead of its request (a staged body).

use std::time::Duration;

use wire::{Code, Refusal, Time};

use crate::{Job, TargetQueue};

/// Fraction of a link's bandwidth that is available to bodies. The rest carries other messages and
/// framing overhead.
const BODY_BANDWIDTH_FRACTION: f64 = 0.8;

/// Estimates the transit time of a body of `len` bytes on a link of `link_mbps` Mbit/s on which
/// `arriving` bytes of other bodies are still in transit.
pub fn transit_time(arriving: usize, len: usize, link_mbps: u32) -> Duration {
    let bytes_per_s = f64::from(link_mbps.max(1)) * 1e6 / 8.0 * BODY_BANDWIDTH_FRACTION;
    Duration::from_secs_f64((arriving + len) as f64 / bytes_per_s)
}

/// Decides whether a body may be uploaded ahead of its request.
///
/// Keeps bodies off a saturated link: a body whose request is refused after the upload has delayed
/// all others in vain. `transit` is the expected transit time of the body, `expected` the number of
/// requests whose bodies are already in transit.
///
/// # Errors
///
/// Fails with the refusal that the request would get when its body has arrived, if the queue stays
/// as it is.
pub fn check_staged_body(
    queue: &TargetQueue,
    now: Time,
    job: &Job,
    transit: Duration,
    expected: usize,
) -> Result<(), Refusal> {
    let arrived = now + transit;
    let latest = if job.is_last_resort {
        job.deadline
    } else {
        job.objective
    };
    if arrived >= latest {
        return Err(Code::CannotStartInTime.into());
    }
    queue.check_offer(arrived, job, expected)
}
