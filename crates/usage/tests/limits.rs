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
    play_mesh(
        (NODES, LIMIT),
        secs,
        demand,
        |n, t| (!is_cut(n, t)).then_some(0),
        seed,
    )
}

/// Like [`play`], with this number of nodes and this limit. Node `n` reports to the ledger `ledger_of(n, t)`,
/// or without an answer if that is `None`. A ledger that is used later than others is a new one.
fn play_mesh(
    (node_count, limit): (usize, UsageLimit),
    secs: u64,
    demand: impl Fn(f64) -> f64,
    ledger_of: impl Fn(usize, f64) -> Option<usize>,
    seed: u64,
) -> Played {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut ledgers = vec![Ledger::default(); 2];
    let mut nodes = vec![LocalUsage::default(); node_count];
    let mut unanswered = vec![None; node_count];
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
            if !is_due {
                continue;
            }
            // The timeout of a report ends before the next one.
            if let Some(report) = unanswered[n].take() {
                node.restore(&report);
            }
            let Some(id) = ledger_of(n, t) else {
                unanswered[n] = Some(node.take_report(now, 0));
                continue;
            };
            let report = node.take_report(now, id as u64);
            let addr: SocketAddr = format!("10.0.0.{}:1", n + 1).parse().unwrap();
            let reply = ledgers[id].report(now, addr, &report, |_| Some(limit), node_count);
            match reply {
                Some(grants) => node.apply(now, now, id as u64, &report, &grants),
                None => node.restore(&report),
            }
        }
        owed += demand(t) * TICK.as_secs_f64();
        while owed >= 1.0 {
            owed -= 1.0;
            // The square makes the first nodes get most of the requests.
            let unit: f64 = rng.random_range(0.0..1.0);
            let n = (unit * unit * node_count as f64) as usize;
            match nodes[n].admit(now, 1, limit, node_count) {
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
    assert!(worst <= bound(), "{worst}");
}

const MESHES: [(usize, UsageLimit); 3] = [(NODES, LIMIT), (5, hundred()), (3, hundred())];

const fn hundred() -> UsageLimit {
    UsageLimit {
        milli_per_s: 100_000,
        burst: 100,
    }
}

/// Plays an organisation that begins to send `factor` times its usual, its limit divided by 1.6, 5 s after
/// the start, and checks its limit for several moments at which the ledgers change. `ledger_of` has the
/// time since that moment as its last argument.
fn check_limit(what: &str, ledger_of: impl Fn(usize, f64) -> Option<usize>) {
    for (nodes, limit) in MESHES {
        for moment in 0..18_u64 {
            let (at, seed) = (4.0 + 0.3 * moment as f64, moment);
            let factor = if moment % 3 == 0 { 4.5 } else { 7.5 };
            let usual = limit.rate_per_s() / 1.6;
            let hot = |t: f64| if t >= 5.0 { usual * factor } else { usual };
            let played = play_mesh((nodes, limit), 20, hot, |n, t| ledger_of(n, t - at), seed);
            let worst = f64::from(played.worst_window());
            let in_window = limit.rate_per_s() * WINDOW.as_secs_f64() + limit.burst as f64;
            let bound = in_window * (1.0 + OVERAGE) + SLACK;
            assert!(
                worst <= bound,
                "{what} at {at}, {nodes} nodes: {worst} of {bound}"
            );
        }
    }
}

/// Guards against a limit that nodes exceed while the ledger's node is suspended and its last replies say
/// that the organisation is far from its limit, and against one that its successor grants again.
#[test]
fn a_limit_holds_while_the_ledger_is_suspended() {
    check_limit("suspended for 3.3 s", |_, t| match t {
        t if (0.0..3.3).contains(&t) => None,
        _ => Some(0),
    });
    check_limit("suspended, and taken over after 2 s", |_, t| match t {
        t if t < 0.0 => Some(0),
        t if t < 2.0 => None,
        _ => Some(1),
    });
}

/// Guards against a successor that grants what has been admitted before the ledger's node was killed.
#[test]
fn a_limit_holds_when_the_ledger_is_killed() {
    check_limit("killed", |_, t| Some(usize::from(t >= 0.0)));
    check_limit("killed and back", |_, t| match t {
        t if (0.0..1.5).contains(&t) => Some(1),
        _ => Some(0),
    });
}

/// Guards against two ledgers that each grant the whole limit, where some of the nodes can't reach the
/// first one, and against nodes that are cut off for seconds and admit more than their part.
#[test]
fn a_limit_holds_when_the_mesh_is_split() {
    check_limit("two ledgers", |n, t| {
        Some(usize::from(t >= 0.0 && n % 3 == 0))
    });
    check_limit("two ledgers for 4 s", |n, t| {
        Some(usize::from((0.0..4.0).contains(&t) && n % 2 == 0))
    });
    check_limit("some without a ledger", |n, t| {
        (t < 0.0 || n % 3 > 0).then_some(0)
    });
}

/// Guards against refusals of usual traffic while the ledger changes: what is refused within the limit is
/// lost to the organisation.
#[test]
fn usual_traffic_is_mostly_admitted_while_the_ledger_changes() {
    for (nodes, limit) in MESHES {
        let usual = limit.rate_per_s() / 1.6;
        let ledger = |_, t: f64| match t {
            t if t < 8.0 => Some(0),
            t if t < 10.0 => None,
            _ => Some(1),
        };
        let played = play_mesh((nodes, limit), 20, |_| usual, ledger, 6);
        let sum = |ticks: &[u32]| f64::from(ticks.iter().sum::<u32>());
        let during = 800..1_300;
        let refused = sum(&played.refused[during.clone()]);
        let all = refused + sum(&played.admitted[during]);
        println!("{nodes} nodes: {refused} of {all} refused in the 5 s of the change");
        assert!(refused <= all / 2.0, "{refused} of {all}, {nodes} nodes");
        let later = sum(&played.refused[1_400..]);
        assert!(later <= 5.0, "{later}, {nodes} nodes");
    }
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
