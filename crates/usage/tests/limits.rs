//! Loads of organisations over many nodes, played against the ledger and the local admission.

use std::net::SocketAddr;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use usage::{Ledger, LocalUsage, Tallies, UsageLimit};
use wire::Time;

const NODES: usize = 85;
const TICK: Duration = Duration::from_millis(10);
const REPORT_EVERY: usize = 30;
/// The operators' window, overage and slack.
const WINDOW: Duration = Duration::from_secs(5);
const OVERAGE: f64 = 0.1;
const SLACK: f64 = 20.0;
const LIMIT: UsageLimit = UsageLimit {
    milli_per_s: 60_000,
    burst: 60,
};

struct Played {
    /// Admitted and refused requests by tick.
    admitted: Vec<u32>,
    refused: Vec<u32>,
}

impl Played {
    fn worst_window(&self) -> u32 {
        let ticks = (WINDOW.as_millis() / TICK.as_millis()) as usize;
        let sums = self.admitted.windows(ticks).map(|w| w.iter().sum());
        sums.max().unwrap_or(0)
    }
}

fn bound() -> f64 {
    let in_window = LIMIT.rate_per_s() * WINDOW.as_secs_f64() + LIMIT.burst as f64;
    in_window * (1.0 + OVERAGE) + SLACK
}

/// Plays `secs` of one organisation that demands `demand(t)` requests per second over all nodes, most
/// of them at few nodes. Node `n` reports unless `is_cut(n, t)`.
fn play(
    secs: u64,
    demand: impl Fn(f64) -> f64,
    is_cut: impl Fn(usize, f64) -> bool,
    seed: u64,
) -> Played {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut ledger = Ledger::default();
    let mut nodes = vec![LocalUsage::default(); NODES];
    let ticks = (u128::from(secs) * 1_000 / TICK.as_millis()) as usize;
    let mut played = Played {
        admitted: vec![0; ticks],
        refused: vec![0; ticks],
    };
    let mut owed = 0.0;
    for tick in 0..ticks {
        let now = Time::ZERO + Duration::from_secs(100) + TICK * tick as u32;
        let t = tick as f64 * TICK.as_secs_f64();
        for (n, node) in nodes.iter_mut().enumerate() {
            let is_due = (tick + n) % REPORT_EVERY == 0 || tick == 0;
            if is_due && !is_cut(n, t) {
                let counts = node.take_report(now);
                let addr: SocketAddr = format!("10.0.0.{}:1", n + 1).parse().unwrap();
                let grants = ledger.report(now, addr, &counts, |_| Some(LIMIT));
                node.apply(now, &grants);
            }
        }
        owed += demand(t) * TICK.as_secs_f64();
        while owed >= 1.0 {
            owed -= 1.0;
            // The square makes the first nodes get most of the requests.
            let unit: f64 = rng.random_range(0.0..1.0);
            let n = (unit * unit * NODES as f64) as usize;
            match nodes[n].admit(now, 1, LIMIT, NODES) {
                Ok(()) => played.admitted[tick] += 1,
                Err(_) => played.refused[tick] += 1,
            }
        }
    }
    played
}

/// Guards against requests that are refused although the organisation is within its limit, with
/// traffic that is spread unequally and swings.
#[test]
fn usage_within_the_limit_is_not_refused() {
    for seed in 0..10 {
        let swing = |t: f64| 40.0 * (1.0 + 0.3 * (t * 0.7).sin());
        let played = play(30, swing, |_, _| false, seed);
        let refused: u32 = played.refused.iter().sum();
        let admitted: u32 = played.admitted.iter().sum();
        assert!(
            refused * 200 <= admitted,
            "{refused} refused, {admitted} admitted, seed {seed}"
        );
    }
}

/// Guards against more requests than the limit allows in some window when an organisation suddenly
/// demands many times its usual, and against one that gets clearly less than its limit then.
#[test]
fn a_hot_organisation_is_held_to_its_limit() {
    for (factor, seed) in [(3.0, 1), (4.5, 2), (7.5, 3), (7.5, 4)] {
        let hot = |t: f64| {
            if (5.0..13.0).contains(&t) {
                37.0 * factor
            } else {
                37.0
            }
        };
        let played = play(20, hot, |_, _| false, seed);
        let worst = played.worst_window();
        assert!(
            f64::from(worst) <= bound(),
            "{worst} of {} at {factor} times",
            bound()
        );
        let during: u32 = played.admitted[500..1_300].iter().sum();
        let limit = LIMIT.rate_per_s() * 8.0;
        assert!(
            f64::from(during) >= limit * 0.9,
            "{during} of {limit} at {factor} times"
        );
    }
}

/// Guards against a third of the nodes that, cut off from the ledger, admit the whole limit a second
/// time beside the others.
#[test]
fn nodes_that_are_cut_off_admit_a_part_of_the_limit() {
    let hot = |t: f64| if t >= 5.0 { 37.0 * 4.5 } else { 37.0 };
    let played = play(20, hot, |n, t| n % 3 == 0 && t >= 4.0, 5);
    let worst = f64::from(played.worst_window());
    // The part of the nodes that are cut off comes on top: half of the limit's rate.
    let alone = LIMIT.rate_per_s() * WINDOW.as_secs_f64() / 2.0;
    assert!(worst <= bound() + alone, "{worst}");
}

/// Guards against a page that grows with the number of organisations, or that loses requests.
#[test]
fn the_page_of_organisations_is_bounded() {
    let mut tallies = Tallies::default();
    for id in 0..500u64 {
        tallies.of(id).sent += id;
        tallies.of(id).refused += 1;
    }
    let (top, rest) = tallies.top(10);
    assert_eq!(top.len(), 10);
    assert_eq!(top[0].0, 499);
    let sent: u64 = top.iter().map(|(_, t)| t.sent).sum();
    assert_eq!(sent + rest.sent, (0..500).sum::<u64>());
    assert_eq!(rest.refused, 490);
    assert_eq!(tallies.top(1_000).0.len(), 500);
}
