//! Placement over failure domains of which one has twice the load, at several tariffs for the bytes
//! between them, in a queueing model with exact reports.

use std::collections::VecDeque;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use route::{Candidate, RequestProfile, choose_instance};
use wire::Load;

const DOMAINS: usize = 3;
const SLOTS: usize = 6;
const SERVICE_MS: f64 = 100.0;
const OBJECTIVE_MS: f64 = 400.0;
const TRANSIT_MS: f64 = 3.0;
const REQUESTS: usize = 20_000;
/// Share of the slots of a domain that its own requests take; those of the first take twice as much.
const LOAD: f64 = 0.5;
/// Size of a request and its response, and their price at the lowest tariff in values of a request.
const KILOBYTES: f64 = 2.0;
const PRICE_PER_KB: f64 = 0.01;
/// Value of a late response; that of one in time is 1.
const LATE_VALUE: f64 = 0.3;

/// Chooses one of the candidates for a request.
type Policy = fn(&mut SmallRng, &[Candidate<usize>]) -> usize;

/// A target as its node knows it: when each running and queued request ends.
#[derive(Clone, Default)]
struct Target {
    ends_ms: VecDeque<f64>,
}

impl Target {
    /// Adds a request at `now`; returns when it ends.
    fn add(&mut self, now: f64, service: f64) -> f64 {
        let mut ends: Vec<f64> = self.ends_ms.iter().copied().collect();
        ends.sort_unstable_by(f64::total_cmp);
        let start = if ends.len() < SLOTS {
            now
        } else {
            ends[ends.len() - SLOTS].max(now)
        };
        self.ends_ms.push_back(start + service);
        start + service
    }

    fn load(&mut self, now: f64) -> Load {
        self.ends_ms.retain(|end| *end > now);
        let outstanding = self.ends_ms.len();
        Load {
            in_flight: outstanding.min(SLOTS) as u32,
            queued: outstanding.saturating_sub(SLOTS) as u32,
            slots: SLOTS as u32,
        }
    }
}

fn exponential(rng: &mut SmallRng, mean: f64) -> f64 {
    -mean * (1.0 - rng.random::<f64>()).ln()
}

/// Returns the mean value of a request at each of the `tariffs`.
fn mean_values(policy: Policy, per_domain: usize, tariffs: [f64; 3]) -> [f64; 3] {
    let mut rng = SmallRng::seed_from_u64(per_domain as u64);
    let mut targets = vec![Target::default(); DOMAINS * per_domain];
    let slots = (per_domain * SLOTS) as f64;
    let interval = SERVICE_MS / (slots * LOAD * (DOMAINS + 1) as f64);
    let (mut now, mut in_time, mut late, mut crossed) = (0.0, 0.0, 0.0, 0.0);
    for _ in 0..REQUESTS {
        now += exponential(&mut rng, interval);
        let origin = rng.random_range(0..=DOMAINS) % DOMAINS;
        let candidates: Vec<_> = targets
            .iter_mut()
            .enumerate()
            .map(|(key, t)| candidate(key, key / per_domain == origin, t.load(now)))
            .collect();
        let chosen = policy(&mut rng, &candidates);
        let is_local = chosen / per_domain == origin;
        let service = exponential(&mut rng, SERVICE_MS);
        let transit = if is_local { 0.0 } else { TRANSIT_MS };
        let took = targets[chosen].add(now, service) - now + transit;
        *if took <= OBJECTIVE_MS {
            &mut in_time
        } else {
            &mut late
        } += 1.0;
        crossed += f64::from(u8::from(!is_local));
    }
    tariffs.map(|t| {
        let bytes = crossed * KILOBYTES * PRICE_PER_KB * t;
        (in_time + late * LATE_VALUE - bytes) / REQUESTS as f64
    })
}

fn candidate(key: usize, is_local: bool, reported_load: Load) -> Candidate<usize> {
    let transit_ms = if is_local { 0.0 } else { TRANSIT_MS };
    Candidate {
        key,
        is_local,
        reported_load,
        report_age: Duration::ZERO,
        sent_since: 0,
        service_time: Duration::from_secs_f64(SERVICE_MS / 1_000.0),
        failure_rate: 0.0,
        transit_time: Duration::from_secs_f64(transit_ms / 1_000.0),
        is_unresponsive: false,
    }
}

fn choose(rng: &mut SmallRng, candidates: &[Candidate<usize>]) -> usize {
    let objective = Duration::from_secs_f64(OBJECTIVE_MS / 1_000.0);
    let profile = RequestProfile {
        objective,
        remaining: objective,
        body_bytes: 0,
        // The framing is added to the bodies.
        response_bytes: (KILOBYTES * 1_000.0) as usize - 600,
        relative_service: 1.0,
    };
    choose_instance(rng, candidates, &profile).expect("all instances have slots")
}

fn choose_local(rng: &mut SmallRng, candidates: &[Candidate<usize>]) -> usize {
    let local: Vec<_> = candidates.iter().filter(|c| c.is_local).copied().collect();
    choose(rng, &local)
}

fn choose_anywhere(rng: &mut SmallRng, candidates: &[Candidate<usize>]) -> usize {
    let all: Vec<_> = candidates
        .iter()
        .map(|c| Candidate {
            is_local: true,
            ..*c
        })
        .collect();
    choose(rng, &all)
}

/// Guards against a placement that suits one tariff, or one number of targets, only: at each it is
/// within a tenth of the better of two extremes, to stay in the own domain and to ignore domains.
#[test]
fn placement_is_near_the_better_extreme_at_each_tariff() {
    let tariffs = [1.0, 8.0, 30.0];
    for per_domain in 1..=4 {
        let actual = mean_values(choose, per_domain, tariffs);
        let local = mean_values(choose_local, per_domain, tariffs);
        let anywhere = mean_values(choose_anywhere, per_domain, tariffs);
        println!("{per_domain} targets: {actual:.3?}, own domain {local:.3?}, any {anywhere:.3?}");
        for i in 0..tariffs.len() {
            let best = local[i].max(anywhere[i]);
            assert!(
                actual[i] >= best * 0.9,
                "{per_domain} targets, tariff {}",
                tariffs[i]
            );
        }
    }
}
