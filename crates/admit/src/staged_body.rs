//! Bodies that are on their way to a node.

use std::time::Duration;

use wire::{Code, Refusal, Time};

use crate::{Job, TargetQueue};

/// Part of a link's speed that bodies get beside other messages and the overhead of frames.
const LINK_SHARE: f64 = 0.8;

/// Estimates when a body has arrived behind `arriving` bytes of others on a link.
pub fn arrival_time(arriving: usize, len: usize, link_mbps: u32) -> Duration {
    let bytes_per_s = f64::from(link_mbps.max(1)) * 1e6 / 8.0 * LINK_SHARE;
    Duration::from_secs_f64((arriving + len) as f64 / bytes_per_s)
}

/// Decides whether a body may be sent ahead of its request.
///
/// The load that it answers is more bodies than a link carries: each one that is refused after it
/// has crossed has held up all others. `arrival` is the time until the body has crossed, `coming` the
/// number of requests whose bodies are on the way.
///
/// # Errors
///
/// Fails with the refusal that the request would get when its body has arrived, if the queue stays
/// as it is.
pub fn may_send_body(
    queue: &TargetQueue,
    now: Time,
    job: &Job,
    arrival: Duration,
    coming: usize,
) -> Result<(), Refusal> {
    let arrived = now + arrival;
    let latest = if job.last_resort {
        job.deadline
    } else {
        job.due
    };
    if arrived >= latest {
        return Err(Code::CannotStartInTime.into());
    }
    queue.would_take(arrived, job, coming)
}
