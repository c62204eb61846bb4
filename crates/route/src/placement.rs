//! Choice among the instances of a service by the time until the answer.
//!
//! Each node beside a target knows that target's queue exactly and tells it with each answer. The
//! entry node takes the instance that will answer first, after adding what it has sent there since
//! and the price of carrying the request to another failure domain.

use std::time::Duration;

use rand::Rng;
use wire::Load;

/// Part by which an estimate is varied at random, so that entry nodes with the same reports do not
/// all choose the same instance.
const JITTER: f64 = 0.2;
/// Part of the service time that a fully used target adds over an empty one. Targets slow down
/// when they are nearly full, and reports are late.
const FULL_PENALTY: f64 = 1.0;
/// Price of a kilobyte that crosses failure domains, as time. The tariff takes 0.65 % of a request's
/// worth per kilobyte, which is 2.6 ms of an objective of 400 ms; a wait takes about a fifth of the
/// part of the objective that it fills, since most requests that wait are still on time.
const REMOTE_PER_KB: Duration = Duration::from_millis(13);
/// Bytes of heads and frames beside the bodies of a request and its answer.
const FRAME_BYTES: usize = 600;
/// Failure rate from which an instance counts as failing everything.
const MAX_FAILING: f64 = 0.95;
/// Longest wait that is told to callers of a full service.
const MAX_ROOM: Duration = Duration::from_secs(5);

/// What is known of an instance.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate<K> {
    /// Key that the choice returns.
    pub key: K,
    /// Whether it is in the failure domain of the entry node.
    pub near: bool,
    /// The load that its node has told last.
    pub load: Load,
    /// Requests sent to it since that report.
    pub sent_since: u32,
    /// Mean time that a request holds a slot there.
    pub service: Duration,
    /// Part of the recent requests that it failed, 0 to 1.
    pub failing: f64,
    /// Whether its node has been silent for longer than usual.
    pub silent: bool,
}

/// Estimates the time from sending a request until its answer.
pub fn expected_time<K>(c: &Candidate<K>, body_bytes: usize) -> Duration {
    let slots = f64::from(c.load.slots.max(1));
    let present = f64::from(c.load.in_flight + c.load.queued + c.sent_since);
    let service = c.service.as_secs_f64();
    let waiting = (present + 1.0 - slots).max(0.0);
    let wait = waiting * service / slots;
    let full = FULL_PENALTY * service * (present / slots).min(1.0);
    let remote = if c.near {
        0.0
    } else {
        remote_price(body_bytes)
    };
    let served = 1.0 - c.failing.clamp(0.0, MAX_FAILING);
    Duration::from_secs_f64((service + wait + full) / (served * served) + remote)
}

/// Returns the key of the instance that is expected to answer first; silent ones come last.
pub fn place<K: Copy>(
    rng: &mut impl Rng,
    candidates: &[Candidate<K>],
    body_bytes: usize,
) -> Option<K> {
    let mut best: Option<(bool, f64, K)> = None;
    for c in candidates.iter().filter(|c| c.load.slots > 0) {
        let varied = 1.0 + JITTER * (unit(rng) - 0.5);
        let cost = expected_time(c, body_bytes).as_secs_f64() * varied;
        let better = best.is_none_or(|(silent, least, _)| (c.silent, cost) < (silent, least));
        if better {
            best = Some((c.silent, cost, c.key));
        }
    }
    best.map(|(_, _, key)| key)
}

/// Estimates when the first of the instances will have a free slot for one more request.
pub fn time_to_room<K>(candidates: &[Candidate<K>]) -> Duration {
    candidates
        .iter()
        .filter(|c| c.load.slots > 0)
        .map(|c| {
            let present = c.load.in_flight + c.load.queued + c.sent_since;
            let over = (present + 1).saturating_sub(c.load.slots);
            c.service * over / c.load.slots
        })
        .min()
        .unwrap_or(MAX_ROOM)
        .min(MAX_ROOM)
}

fn remote_price(body_bytes: usize) -> f64 {
    let kb = (body_bytes + FRAME_BYTES) as f64 / 1_000.0;
    REMOTE_PER_KB.as_secs_f64() * kb
}

/// Returns a number in [0, 1).
fn unit(rng: &mut impl Rng) -> f64 {
    f64::from(rng.next_u32()) / (f64::from(u32::MAX) + 1.0)
}
