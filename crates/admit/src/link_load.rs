//! Load of large responses on the network link of a target-side node.
//!
//! It answers a crowd of downloads at targets behind slow links: their slots are free long before the
//! link is, and a response that is ready after its caller has left has used both for nothing. A request
//! whose response can't cross the link in time is refused at once, so that its caller may go where a
//! link has room.

use std::collections::HashMap;
use std::time::Duration;

use wire::{Code, Refusal, Time};

use crate::target_queue::{Job, RouteId};
use crate::transit_time;

/// Smallest mean response that counts. Smaller ones take a few milliseconds on the slowest links.
const MIN_BYTES: usize = 32 << 10;
/// Weight of a new response in the moving average of a route's responses.
const SIZE_WEIGHT: f64 = 1.0 / 16.0;
/// Largest number of routes with an average; the responses of others count as small.
const MAX_ROUTES: usize = 20_000;

/// Responses that are on their way to other nodes, or will be.
#[derive(Clone, Debug, Default)]
pub struct LinkLoad {
    mean_bytes: HashMap<RouteId, f64>,
    /// Expected bytes of the responses to admitted requests.
    expected_bytes: usize,
}

impl LinkLoad {
    /// Records the size of a response.
    pub fn record(&mut self, route: RouteId, bytes: usize) {
        if self.mean_bytes.len() >= MAX_ROUTES && !self.mean_bytes.contains_key(&route) {
            return;
        }
        let mean = self.mean_bytes.entry(route).or_insert(bytes as f64);
        *mean += SIZE_WEIGHT * (bytes as f64 - *mean);
    }

    /// Returns the expected size of a response if it is large, else 0.
    pub fn expected(&self, route: RouteId) -> usize {
        let mean = self.mean_bytes.get(&route).copied().unwrap_or(0.0) as usize;
        if mean >= MIN_BYTES { mean } else { 0 }
    }

    /// Counts the expected response of an admitted request.
    pub fn begin(&mut self, bytes: usize) {
        self.expected_bytes += bytes;
    }

    /// Ends the count of a request that has its response, or has left.
    pub fn end(&mut self, bytes: usize) {
        self.expected_bytes = self.expected_bytes.saturating_sub(bytes);
    }

    /// Returns `job` as it is for the target: its times are earlier by what its response of `bytes`
    /// takes on a link of `link_mbps`, behind the admitted ones and `staged` bytes that are ready.
    /// `service` is the expected service time.
    ///
    /// # Errors
    ///
    /// Fails if the response can't arrive in time even if the request starts at once: by the objective
    /// while another target may be tried, else by the deadline.
    pub fn before_transfer(
        &self,
        now: Time,
        job: Job,
        service: Duration,
        (bytes, staged): (usize, usize),
        link_mbps: u32,
    ) -> Result<Job, Refusal> {
        if bytes == 0 {
            return Ok(job);
        }
        let transfer = transit_time(self.expected_bytes + staged, bytes, link_mbps);
        let latest = if job.is_last_resort {
            job.deadline
        } else {
            job.objective
        };
        if now + service + transfer > latest {
            return Err(Code::CannotStartInTime.into());
        }
        Ok(Job {
            objective: earlier(job.objective, transfer),
            deadline: earlier(job.deadline, transfer),
            ..job
        })
    }
}

fn earlier(at: Time, by: Duration) -> Time {
    let us = u64::try_from(by.as_micros()).unwrap_or(u64::MAX);
    Time::from_micros(at.as_micros().saturating_sub(us))
}
