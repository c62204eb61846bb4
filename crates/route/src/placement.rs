//! Choice among the instances of a service by the expected time until the response.
//!
//! Each target-side node knows the queue of its target exactly and reports the load with each
//! response. The entry node chooses the instance that is expected to respond first. In this it
//! counts the requests that it has sent to the instance since the report, and the cost of crossing
//! failure domains.

use std::time::Duration;

use rand::Rng;
use wire::Load;

/// Width of the random variation of a cost estimate, as a share of the estimate. It keeps entry
/// nodes with the same reports from all choosing the same instance.
const JITTER: f64 = 0.2;
/// Service times that the cost of a fully used target has over that of an empty one. Targets slow
/// down when they are nearly full, and reports are delayed.
const FULL_PENALTY_SERVICE_TIMES: f64 = 1.0;
/// Maximum number of instances that are compared for one request.
const SAMPLE_SIZE: usize = 5;
/// Time constant with which a report loses weight, in mean service times of the instance.
const REPORT_LIFETIME_SERVICE_TIMES: u32 = 8;
/// Lower bound of that time constant, in seconds, since reports take some milliseconds to arrive.
/// Also the lower bound of the service time by which [`sample`] weights an instance.
const MIN_REPORT_LIFETIME_S: f64 = 0.02;
/// Cost of a kilobyte that crosses failure domains, as a share of the objective, for the bytes up to
/// `MAX_SMALL_CROSSING_COST`. A wait that ends within the objective costs callers nothing, so a request
/// leaves its domain only if it would be late there, whatever the tariff for bytes is.
const CROSS_DOMAIN_COST_PER_KB: f64 = 1.0;
/// Cost of crossing failure domains with a small body, at most, in objectives. It is less than that
/// of a missed objective.
const MAX_SMALL_CROSSING_COST: f64 = 2.0;
/// Cost of each further kilobyte: the share of a request's mean value that the lowest tariff takes,
/// on the scale of `MISSED_OBJECTIVE_COST`.
const FURTHER_COST_PER_KB: f64 = 0.04;
/// Cost of a response that is expected after the objective, in objectives. Such a response loses
/// most of its value, and a wait of one objective costs a fifth of the value.
const MISSED_OBJECTIVE_COST: f64 = 3.0;
/// Lower bound of the objective from which costs are derived. Calls made by running
/// requests have shorter objectives, but a whole request depends on each of them.
const MIN_OBJECTIVE: Duration = Duration::from_millis(400);
/// Bytes of headers and framing of a request and its response, without the bodies.
const FRAMING_BYTES: usize = 600;
/// Weight of a new sample in the moving averages of transit time, which cover about the last 8
/// requests.
const TRANSIT_SAMPLE_WEIGHT: f64 = 0.125;
/// Requests with bodies below this size measure the transit time per request, larger ones the
/// additional time per kilobyte.
const SMALL_BODY_BYTES: usize = 4_000;
/// Upper bound of the failure rate in the cost, so that the cost stays finite.
const MAX_FAILURE_RATE: f64 = 0.95;
/// Failure rate from which an instance doesn't count as having room for rerouted requests.
const REROUTE_MAX_FAILURE_RATE: f64 = 0.5;
/// Time to reroute a request, apart from the transit time: the refusal's path back across a domain
/// boundary, and the work of two nodes with a tenth of a core each.
const REROUTE_OVERHEAD: Duration = Duration::from_millis(10);
/// Upper bound of the wait that is advised to callers of a full service.
const MAX_ADVISED_WAIT: Duration = Duration::from_secs(5);

/// What the placement of a request depends on: its latency objective, and the bytes it transfers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RequestProfile {
    /// Time within which a response has its full value.
    pub objective: Duration,
    /// Remaining part of the objective; 0 if it has passed.
    pub remaining: Duration,
    /// Size of the request's body in bytes.
    pub body_bytes: usize,
    /// Mean size of a response's body on this route in bytes; 0 if unknown.
    pub response_bytes: usize,
    /// Service time on this route relative to that of all requests of the service; 1 if unknown.
    pub relative_service: f64,
}

/// State of an instance as the entry node knows it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate<K> {
    /// Key that the choice returns.
    pub key: K,
    /// Whether the instance is in the failure domain of the entry node.
    pub is_local: bool,
    /// Load that the instance's target-side node reported last.
    pub reported_load: Load,
    /// Age of the report in `reported_load`.
    pub report_age: Duration,
    /// Number of requests that the entry node has sent to the instance since that report.
    pub sent_since: u32,
    /// Mean time that a request occupies a slot of the instance.
    pub service_time: Duration,
    /// Share of the instance's recent requests that failed, 0 to 1.
    pub failure_rate: f64,
    /// Measured transit time to the instance's node and back, without queueing and service.
    pub transit_time: Duration,
    /// Whether a reply from the instance's node has been outstanding for longer than expected.
    pub is_unresponsive: bool,
}

impl<K> Candidate<K> {
    /// Returns the reported requests, and those that the entry node has sent since the report.
    pub fn outstanding(&self) -> u32 {
        let load = &self.reported_load;
        load.in_flight
            .saturating_add(load.queued)
            .saturating_add(self.sent_since)
    }
}

/// Measured transit time to one instance and back. It covers a slow link and a busy target-side
/// node, which delay responses as much as a slow target does.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TransitTime {
    per_request_s: f64,
    per_kb_s: f64,
}

impl TransitTime {
    /// Records that the transit of a request with a body of this size, and of its response, `took`
    /// so long.
    pub fn record(&mut self, took: Duration, body_bytes: usize) {
        let took = took.as_secs_f64();
        if body_bytes < SMALL_BODY_BYTES {
            self.per_request_s += TRANSIT_SAMPLE_WEIGHT * (took - self.per_request_s);
            return;
        }
        let per_kb = (took - self.per_request_s).max(0.0) / kilobytes(body_bytes);
        self.per_kb_s += TRANSIT_SAMPLE_WEIGHT * (per_kb - self.per_kb_s);
    }

    /// Returns the expected transit time of a request with a body of this size.
    pub fn expected(&self, body_bytes: usize) -> Duration {
        let body = if body_bytes < SMALL_BODY_BYTES {
            0.0
        } else {
            self.per_kb_s * kilobytes(body_bytes)
        };
        Duration::from_secs_f64(self.per_request_s + body)
    }
}

/// Estimates the cost of a request on the instance, expressed as time. The cost is the expected
/// time until the response plus a penalty for a full target, both divided by the square of the
/// success rate, plus the costs of crossing failure domains and of missing the objective. Missing
/// an objective that has already passed costs nothing. `mean_load` is the mean number of requests
/// per slot in the service.
pub fn cost<K>(c: &Candidate<K>, mean_load: f64, profile: &RequestProfile) -> Duration {
    let slots = f64::from(c.reported_load.slots.max(1));
    let expected_requests = expected_requests(c, mean_load);
    // The requests before this one take the mean time of the instance.
    let mean_service = c.service_time.as_secs_f64();
    let service = mean_service * profile.relative_service;
    let waiting = (expected_requests + 1.0 - slots).max(0.0);
    let wait = waiting * mean_service / slots;
    let full_penalty =
        FULL_PENALTY_SERVICE_TIMES * mean_service * (expected_requests / slots).min(1.0);
    let cross_domain = if c.is_local {
        0.0
    } else {
        cross_domain_cost(profile)
    };
    let success_rate = 1.0 - c.failure_rate.clamp(0.0, MAX_FAILURE_RATE);
    let transit = c.transit_time.as_secs_f64();
    let time = (service + wait + full_penalty + transit) / (success_rate * success_rate);
    // The penalty for a full target is a safety margin, not a time that requests take.
    let time_to_response = service + wait + transit;
    let late_cost =
        if time_to_response > profile.remaining.as_secs_f64() && !profile.remaining.is_zero() {
            MISSED_OBJECTIVE_COST * priced_objective(profile)
        } else {
            0.0
        };
    Duration::from_secs_f64(time + cross_domain + late_cost)
}

/// Estimates the present number of requests on an instance. The weight of a report decays with its
/// age in favour of the mean load of the service.
fn expected_requests<K>(c: &Candidate<K>, mean_load: f64) -> f64 {
    let reported = f64::from(c.outstanding());
    let lifetime = (c.service_time * REPORT_LIFETIME_SERVICE_TIMES).as_secs_f64();
    let weight = (-c.report_age.as_secs_f64() / lifetime.max(MIN_REPORT_LIFETIME_S)).exp();
    reported * weight + mean_load * f64::from(c.reported_load.slots) * (1.0 - weight)
}

/// Returns whether an instance probably has a free slot, is responsive, and fails less than
/// `REROUTE_MAX_FAILURE_RATE` of its requests.
pub fn has_free_slot<K>(c: &Candidate<K>, mean_load: f64) -> bool {
    let is_healthy = !c.is_unresponsive && c.failure_rate < REROUTE_MAX_FAILURE_RATE;
    is_healthy && expected_requests(c, mean_load) + 1.0 <= f64::from(c.reported_load.slots)
}

/// Returns the maximum wait at `chosen` before the request is rerouted, or `None` if
/// [`has_free_slot`] holds for no other instance.
///
/// Reports get older the more nodes there are, so the choice is often wrong in a service with both
/// full instances and free slots. Rerouting then costs a few milliseconds, waiting a service time.
pub fn max_wait_before_reroute<K: PartialEq>(
    candidates: &[Candidate<K>],
    chosen: &K,
) -> Option<Duration> {
    let mean_load = mean_load(candidates);
    let others = candidates.iter().filter(|c| c.key != *chosen);
    let with_room = others.filter(|c| has_free_slot(c, mean_load));
    let transit = with_room.map(|c| c.transit_time).min()?;
    Some(transit + REROUTE_OVERHEAD)
}

/// Returns the mean number of reported requests per slot.
pub fn mean_load<K>(candidates: &[Candidate<K>]) -> f64 {
    let sum = |f: fn(&Load) -> f64| candidates.iter().map(|c| f(&c.reported_load)).sum::<f64>();
    let reported = sum(|l| f64::from(l.in_flight.saturating_add(l.queued)));
    reported / sum(|l| f64::from(l.slots)).max(1.0)
}

/// Returns the mean service time of a route's requests relative to that of all requests on the
/// instances; 1 if there are none.
pub fn relative_service<K>(candidates: &[Candidate<K>], route_service: Duration) -> f64 {
    let total: Duration = candidates.iter().map(|c| c.service_time).sum();
    if total.is_zero() {
        return 1.0;
    }
    route_service.as_secs_f64() * candidates.len() as f64 / total.as_secs_f64()
}

/// Returns the key of the instance of least cost among a sample. Unresponsive instances come last;
/// instances without slots are excluded. Returns `None` if no instance has slots.
pub fn choose_instance<K: Copy>(
    rng: &mut impl Rng,
    candidates: &[Candidate<K>],
    profile: &RequestProfile,
) -> Option<K> {
    let mean_load = mean_load(candidates);
    let mut best: Option<(bool, f64, K)> = None;
    for c in sample(rng, candidates, profile) {
        let jitter = 1.0 + JITTER * (random_unit(rng) - 0.5);
        let cost = cost(c, mean_load, profile).as_secs_f64() * jitter;
        let is_better = best.is_none_or(|(is_unresponsive, least, _)| {
            (c.is_unresponsive, cost) < (is_unresponsive, least)
        });
        if is_better {
            best = Some((c.is_unresponsive, cost, c.key));
        }
    }
    best.map(|(_, _, key)| key)
}

/// Estimates how long it takes until one of the instances has a free slot for one more request, at
/// most `MAX_ADVISED_WAIT`.
pub fn time_to_free_slot<K>(candidates: &[Candidate<K>]) -> Duration {
    candidates
        .iter()
        .filter(|c| c.reported_load.slots > 0)
        .map(|c| {
            let slots = c.reported_load.slots;
            let excess = c.outstanding().saturating_add(1).saturating_sub(slots);
            let rounds = f64::from(excess) / f64::from(slots);
            c.service_time.min(MAX_ADVISED_WAIT).mul_f64(rounds)
        })
        .min()
        .unwrap_or(MAX_ADVISED_WAIT)
        .min(MAX_ADVISED_WAIT)
}

/// Draws the instances to compare: all of a service of up to `SAMPLE_SIZE`, else a random sample
/// that is weighted by speed and the cost of crossing failure domains. Without sampling, all entry
/// nodes would choose the same instance from reports that are seconds old.
fn sample<'a, K>(
    rng: &mut impl Rng,
    candidates: &'a [Candidate<K>],
    profile: &RequestProfile,
) -> Vec<&'a Candidate<K>> {
    let mut with_slots: Vec<_> = candidates
        .iter()
        .filter(|c| c.reported_load.slots > 0)
        .collect();
    if with_slots.len() <= SAMPLE_SIZE {
        return with_slots;
    }
    // Weighted sampling without replacement: the largest of u^(1/w) are drawn.
    let key = |c: &Candidate<K>, u: f64| {
        let service = c.service_time.as_secs_f64().max(MIN_REPORT_LIFETIME_S);
        let cross_domain = if c.is_local {
            0.0
        } else {
            cross_domain_cost(profile)
        };
        let speed = f64::from(c.reported_load.slots)
            / (service + c.transit_time.as_secs_f64() + cross_domain);
        u.max(f64::MIN_POSITIVE).ln() / speed
    };
    with_slots.sort_by_cached_key(|c| {
        let key = key(c, random_unit(rng));
        // Keys are at most 0. A float's bits order like its value only if it isn't negative, so the
        // negated keys are sorted, the largest key first.
        (-key).to_bits()
    });
    with_slots.truncate(SAMPLE_SIZE);
    with_slots
}

fn cross_domain_cost(profile: &RequestProfile) -> f64 {
    let bytes = profile.body_bytes + profile.response_bytes + FRAMING_BYTES;
    let objectives = (CROSS_DOMAIN_COST_PER_KB * kilobytes(bytes))
        .min(MAX_SMALL_CROSSING_COST + FURTHER_COST_PER_KB * kilobytes(bytes));
    objectives * priced_objective(profile)
}

/// Returns the objective in seconds from which the costs of bytes and of lateness are derived.
fn priced_objective(profile: &RequestProfile) -> f64 {
    profile.objective.max(MIN_OBJECTIVE).as_secs_f64()
}

fn kilobytes(bytes: usize) -> f64 {
    bytes as f64 / 1_000.0
}

/// Returns a random number in [0, 1).
fn random_unit(rng: &mut impl Rng) -> f64 {
    f64::from(rng.next_u32()) / (f64::from(u32::MAX) + 1.0)
}
