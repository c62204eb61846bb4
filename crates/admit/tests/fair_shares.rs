//! Loads of several organisations at one target, of which one sends far more than its share.

use std::collections::HashMap;
use std::time::Duration;

use admit::{Job, JobEvent, JobKey, JobOutcome, JobVerdict, TargetQueue};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use wire::Time;

const SLOTS: u32 = 18;
const WORK: Duration = Duration::from_millis(300);
/// Requests per second that the target can serve.
const CAPACITY: f64 = SLOTS as f64 / 0.3;
const OBJECTIVE: Duration = Duration::from_millis(1_000);
const DEADLINE: Duration = Duration::from_millis(2_500);
const QUIET_COUNT: u64 = 9;
/// Requests per second of each quiet organisation: two thirds of an equal share.
const QUIET_RATE: f64 = CAPACITY / 15.0;
const SECONDS: u64 = 60;
const HOT: u64 = 0;

/// Requests of one organisation.
#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    sent: u32,
    served: u32,
}

impl Counts {
    fn ratio(self) -> f64 {
        f64::from(self.served) / f64::from(self.sent.max(1))
    }
}

struct Target {
    queue: TargetQueue,
    rng: SmallRng,
    owners: HashMap<JobKey, u64>,
    /// Running requests and when they end.
    running: Vec<(Time, JobKey)>,
    counts: HashMap<u64, Counts>,
}

impl Target {
    fn offer(&mut self, now: Time, owner: u64, is_named: bool) {
        self.counts.entry(owner).or_default().sent += 1;
        let job = Job {
            route: 1,
            priority: 1,
            organisation: is_named.then_some(owner),
            arrived: now,
            objective: now + OBJECTIVE,
            deadline: now + DEADLINE,
            is_last_resort: false,
            max_wait: Duration::MAX,
        };
        match self.queue.offer(now, job) {
            JobVerdict::Run(key) => {
                self.owners.insert(key, owner);
                self.begin(now, key);
            }
            JobVerdict::Wait(key) => {
                self.owners.insert(key, owner);
            }
            JobVerdict::Refuse(_) => {}
        }
    }

    fn begin(&mut self, now: Time, key: JobKey) {
        let took = WORK.mul_f64(self.rng.random_range(0.5..1.5));
        self.running.push((now + took, key));
    }

    fn advance(&mut self, now: Time) {
        let (ended, running): (Vec<_>, Vec<_>) =
            self.running.iter().partition(|(end, _)| *end <= now);
        self.running = running;
        for (_, key) in ended {
            self.queue.finish(now, key, JobOutcome::Completed);
            let owner = self.owners.remove(&key).unwrap();
            self.counts.entry(owner).or_default().served += 1;
        }
        for event in self.queue.dispatch(now) {
            match event {
                JobEvent::Run(key) => self.begin(now, key),
                JobEvent::Refuse(key, _) => {
                    self.owners.remove(&key);
                }
            }
        }
    }
}

/// Plays the load and returns the counts of the hot organisation, and of the quiet ones together.
fn play(hot_rate: f64, is_named: bool) -> (Counts, Counts) {
    let mut target = Target {
        queue: TargetQueue::new(SLOTS),
        rng: SmallRng::seed_from_u64(7),
        owners: HashMap::new(),
        running: Vec::new(),
        counts: HashMap::new(),
    };
    for ms in 0..SECONDS * 1_000 {
        let now = Time::from_millis(ms);
        target.advance(now);
        for owner in 0..=QUIET_COUNT {
            let rate = if owner == HOT { hot_rate } else { QUIET_RATE };
            if target.rng.random_bool(rate / 1_000.0) {
                target.offer(now, owner, is_named);
            }
        }
    }
    let hot = target.counts.remove(&HOT).unwrap_or_default();
    let sum = |a: Counts, b: &Counts| Counts {
        sent: a.sent + b.sent,
        served: a.served + b.served,
    };
    (hot, target.counts.values().fold(Counts::default(), sum))
}

/// Guards against an organisation whose excess takes slots from those within their shares, and against
/// slots that are kept free for shares which nobody uses.
#[test]
fn an_excess_does_not_push_others_below_their_shares() {
    let (hot, quiet) = play(2.0 * CAPACITY, true);
    assert!(quiet.ratio() >= 0.97, "{quiet:?}, hot {hot:?}");
    let all = f64::from(hot.served + quiet.served) / SECONDS as f64;
    assert!(all >= 0.93 * CAPACITY, "{all} of {CAPACITY} a second");
    // Max-min: what the quiet ones leave is the hot one's.
    assert!(f64::from(hot.served) / SECONDS as f64 >= 0.3 * CAPACITY);
}

/// Guards against shares that cost anybody a request while there is room for all.
#[test]
fn shares_refuse_nothing_while_there_is_room() {
    let (hot, quiet) = play(0.25 * CAPACITY, true);
    assert!(quiet.ratio() >= 0.99, "{quiet:?}");
    assert!(hot.ratio() >= 0.99, "{hot:?}");
}

/// Guards against a test that passes without shares: then all are served alike.
#[test]
fn without_organisations_all_are_served_alike() {
    let (hot, quiet) = play(2.0 * CAPACITY, false);
    assert!(
        (quiet.ratio() - hot.ratio()).abs() < 0.05,
        "{quiet:?}, {hot:?}"
    );
}
