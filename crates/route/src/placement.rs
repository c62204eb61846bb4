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
/// Instances that are compared for one request.
const COMPARED: usize = 5;
/// Service times after which a report says little of the queue.
const QUEUE_LIFETIME: u32 = 8;
/// Least such time in seconds; reports travel for some milliseconds.
const MIN_LIFETIME_S: f64 = 0.02;
/// Price of a kilobyte that crosses failure domains, as a part of the objective. The tariff takes 1 %
/// of the mean worth of a request per kilobyte; a wait takes about a fifth of the part of the
/// objective that it fills, since most requests that wait are still on time.
const REMOTE_PER_KB: f64 = 0.01 * 5.0;
/// Price of an answer that is expected after the objective, in objectives: it loses 0.5 to 0.7 of
/// its worth, on the scale of `REMOTE_PER_KB`.
const LATE: f64 = 0.6 * 5.0;
/// Least objective by which bytes are priced. Calls of running work have shorter ones, and stand for
/// the request that needs them.
const MIN_OBJECTIVE: Duration = Duration::from_millis(400);
/// Bytes of heads and frames beside the bodies of a request and its answer.
const FRAME_BYTES: usize = 600;
/// Weight of a new measurement of the time on the way: about the last 8 requests count.
const WAY_WEIGHT: f64 = 0.125;
/// Bodies below this measure the time that each request takes on the way, larger ones what each
/// kilobyte adds.
const SMALL_BYTES: usize = 4_000;
/// Failure rate from which an instance counts as failing everything.
const MAX_FAILING: f64 = 0.95;
/// Failure rate from which an instance with room is not worth asking in place of another.
const FAILING: f64 = 0.5;
/// Time to ask another instance beside its time on the way: the refusal's way back over a domain's
/// border and the work of two nodes on a tenth of a core.
const ASKING_AGAIN: Duration = Duration::from_millis(10);
/// Longest wait that is told to callers of a full service.
const MAX_ROOM: Duration = Duration::from_secs(5);

/// What a request can win and what it carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Stake {
    /// Time within which an answer has its full worth.
    pub objective: Duration,
    /// What is left of it.
    pub left: Duration,
    /// Bytes of the request's body.
    pub body_bytes: usize,
    /// Usual bytes of an answer's body.
    pub answer_bytes: usize,
}

/// What is known of an instance.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate<K> {
    /// Key that the choice returns.
    pub key: K,
    /// Whether it is in the failure domain of the entry node.
    pub near: bool,
    /// The load that its node has told last.
    pub load: Load,
    /// Age of that report.
    pub age: Duration,
    /// Requests sent to it since that report.
    pub sent_since: u32,
    /// Mean time that a request holds a slot there.
    pub service: Duration,
    /// Part of the recent requests that it failed, 0 to 1.
    pub failing: f64,
    /// Measured time on the way to and from it, beside queue and target.
    pub on_the_way: Duration,
    /// Whether its node has been silent for longer than usual.
    pub silent: bool,
}

/// Measured time on the way to one instance and back. A slow link or a busy node beside a fast
/// target is part of that target's speed.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct WayTime {
    each_s: f64,
    per_kb_s: f64,
}

impl WayTime {
    /// Takes the time that a request with a body of this size took on the way.
    pub fn measure(&mut self, took: Duration, body_bytes: usize) {
        let took = took.as_secs_f64();
        if body_bytes < SMALL_BYTES {
            self.each_s += WAY_WEIGHT * (took - self.each_s);
            return;
        }
        let per_kb = (took - self.each_s).max(0.0) / kilobytes(body_bytes);
        self.per_kb_s += WAY_WEIGHT * (per_kb - self.per_kb_s);
    }

    /// Returns the expected time on the way of a request with a body of this size.
    pub fn expected(&self, body_bytes: usize) -> Duration {
        let body = if body_bytes < SMALL_BYTES {
            0.0
        } else {
            self.per_kb_s * kilobytes(body_bytes)
        };
        Duration::from_secs_f64(self.each_s + body)
    }
}

/// Estimates what an answer of the instance costs: the time until it, and the prices of bytes that
/// cross failure domains and of being late as time. `usual` is the usual number of requests a slot in
/// the service.
pub fn cost<K>(c: &Candidate<K>, usual: f64, stake: &Stake) -> Duration {
    let slots = f64::from(c.load.slots.max(1));
    let present = present(c, usual);
    let service = c.service.as_secs_f64();
    let waiting = (present + 1.0 - slots).max(0.0);
    let wait = waiting * service / slots;
    let full = FULL_PENALTY * service * (present / slots).min(1.0);
    let remote = if c.near { 0.0 } else { remote_price(stake) };
    let served = 1.0 - c.failing.clamp(0.0, MAX_FAILING);
    let way = c.on_the_way.as_secs_f64();
    let time = (service + wait + full + way) / (served * served);
    // The penalty of a full target is a caution, not a time that its requests take.
    let answered = service + wait + way;
    let late = if answered > stake.left.as_secs_f64() && !stake.left.is_zero() {
        LATE * stake.objective.as_secs_f64()
    } else {
        0.0
    };
    Duration::from_secs_f64(time + remote + late)
}

/// Estimates the requests that an instance has now. What a report said of its queue is worth less
/// the older it is: after a few service times the queue is as long as usual.
fn present<K>(c: &Candidate<K>, usual: f64) -> f64 {
    let told = f64::from(c.load.in_flight + c.load.queued + c.sent_since);
    let lifetime = (c.service * QUEUE_LIFETIME).as_secs_f64();
    let weight = (-c.age.as_secs_f64() / lifetime.max(MIN_LIFETIME_S)).exp();
    told * weight + usual * f64::from(c.load.slots) * (1.0 - weight)
}

/// Returns whether an instance probably has a free slot.
pub fn has_room<K>(c: &Candidate<K>, usual: f64) -> bool {
    let sound = !c.silent && c.failing < FAILING;
    sound && present(c, usual) + 1.0 <= f64::from(c.load.slots)
}

/// Returns how long a request should at most wait at `chosen` before another instance is asked, or
/// `None` if no other one is likely to have a free slot.
///
/// The load that it answers is a service with free slots beside full ones. Reports are older the
/// more nodes there are, so the choice is often wrong, and then asking again costs a few
/// milliseconds where waiting costs a service time.
pub fn room_elsewhere<K: PartialEq>(candidates: &[Candidate<K>], chosen: &K) -> Option<Duration> {
    let usual = usual_load(candidates);
    let others = candidates.iter().filter(|c| c.key != *chosen);
    let free = others.filter(|c| has_room(c, usual));
    let way = free.map(|c| c.on_the_way).min()?;
    Some(way + ASKING_AGAIN)
}

/// Returns the mean number of requests a slot, as reported.
pub fn usual_load<K>(candidates: &[Candidate<K>]) -> f64 {
    let sum = |f: fn(&Load) -> u32| candidates.iter().map(|c| f(&c.load)).sum::<u32>();
    f64::from(sum(|l| l.in_flight + l.queued)) / f64::from(sum(|l| l.slots).max(1))
}

/// Returns the key of the instance that is expected to answer first; silent ones come last.
pub fn place<K: Copy>(rng: &mut impl Rng, candidates: &[Candidate<K>], stake: &Stake) -> Option<K> {
    let usual = usual_load(candidates);
    let mut best: Option<(bool, f64, K)> = None;
    for c in sample(rng, candidates, stake) {
        let varied = 1.0 + JITTER * (unit(rng) - 0.5);
        let cost = cost(c, usual, stake).as_secs_f64() * varied;
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

/// Draws the instances to compare: all of a small service, else some at random by their speed and
/// the price of the way. If
/// all entry nodes compared all instances by reports that are seconds old, they would all take the
/// same one.
fn sample<'a, K>(
    rng: &mut impl Rng,
    candidates: &'a [Candidate<K>],
    stake: &Stake,
) -> Vec<&'a Candidate<K>> {
    let mut open: Vec<_> = candidates.iter().filter(|c| c.load.slots > 0).collect();
    if open.len() <= COMPARED {
        return open;
    }
    // Weighted sampling without replacement: the largest of u^(1/w) are drawn.
    let key = |c: &Candidate<K>, u: f64| {
        let service = c.service.as_secs_f64().max(MIN_LIFETIME_S);
        let remote = if c.near { 0.0 } else { remote_price(stake) };
        let speed = f64::from(c.load.slots) / (service + c.on_the_way.as_secs_f64() + remote);
        u.max(f64::MIN_POSITIVE).ln() / speed
    };
    open.sort_by_cached_key(|c| {
        let key = key(c, unit(rng));
        // Keys are at most 0; the order of the bits of a negative number is reversed.
        (-key).to_bits()
    });
    open.truncate(COMPARED);
    open
}

fn remote_price(stake: &Stake) -> f64 {
    let bytes = stake.body_bytes + stake.answer_bytes + FRAME_BYTES;
    let objective = stake.objective.max(MIN_OBJECTIVE);
    REMOTE_PER_KB * objective.as_secs_f64() * kilobytes(bytes)
}

fn kilobytes(bytes: usize) -> f64 {
    bytes as f64 / 1_000.0
}

/// Returns a number in [0, 1).
fn unit(rng: &mut impl Rng) -> f64 {
    f64::from(rng.next_u32()) / (f64::from(u32::MAX) + 1.0)
}
