//! Measures the cost of claims in the log on a virtual clock: appends, added latency, record sizes
//! and memory.
//!
//! Run with `cargo run --release -p claim --example cost`. Claims arrive as a Poisson process with
//! a fixed seed. Each run takes 1 ms and ends with a response of 64 bytes. The memory figures are
//! the resident memory of this process and need Linux; all others depend only on the seed.

use std::collections::{BTreeMap, VecDeque};
use std::error::Error;
use std::time::Duration;

use claim::{
    Action, BootId, Cfg, Claim, ClaimId, ClaimRequest, Done, Event, Fold, Key, Now, Outcome,
    Record, ReqId, Shard,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use wire::{Fingerprint, InstanceId, Offset, Time, UnixMillis};

const SEED: u64 = 1;
const START_MS: u64 = 1_800_000_000_000;
const RATES_PER_S: [u64; 3] = [100, 1_000, 10_000];
const APPEND_LATENCIES_MS: [u64; 3] = [2, 5, 20];
/// Batch windows: the default, and a long one that saves appends.
const BATCH_WINDOWS_MS: [u64; 2] = [1, 20];
const LOAD_DURATION_US: u64 = 5_000_000;
/// Time from the hand-over of a request to its response.
const RUN_DURATION_US: u64 = 1_000;
/// Time from the arrival of a request to its deadline.
const DEADLINE: Duration = Duration::from_secs(2);
const ANSWER_BYTES: usize = 64;
/// Number of keys for which the memory is measured.
const MEMORY_KEYS: u64 = 200_000;
const PAGE_BYTES: u64 = 4_096;

/// Counters and latencies of one simulated load.
#[derive(Default)]
struct Cost {
    claims: u64,
    /// Requests that were refused or answered without a run.
    refused: u64,
    appends: u64,
    /// Records in all appends.
    records: u64,
    /// Time from the arrival of each request that runs to the decision to run it.
    latencies_us: Vec<u64>,
}

/// One shard and a log whose appends all succeed after the same time.
struct Sim {
    shard: Shard,
    now_us: u64,
    /// Time from an append to its confirmation.
    append_us: u64,
    /// Offset that the next appended record gets.
    end_offset: u64,
    /// Events to come, by time in microseconds and sequence number.
    events: BTreeMap<(u64, u64), Event>,
    seq: u64,
    /// Arrival of each request, by its number.
    arrivals_us: VecDeque<u64>,
    cost: Cost,
}

/// Returns both clock readings `us` microseconds after the start.
fn now(us: u64) -> Now {
    Now {
        mono: Time::from_micros(us),
        wall: UnixMillis(START_MS + us / 1_000),
    }
}

impl Sim {
    fn new(append_ms: u64, window_ms: u64) -> Sim {
        let cfg = Cfg {
            claim_batch_window: Duration::from_millis(window_ms),
            max_keys: 1_000_000,
            ..Cfg::new(InstanceId(1), BootId(1))
        };
        let mut shard = Shard::new(cfg, SEED);
        shard.handle(now(0), Event::End { end: Offset(0) });
        Sim {
            shard,
            now_us: 0,
            append_us: append_ms * 1_000,
            end_offset: 0,
            events: BTreeMap::new(),
            seq: 0,
            arrivals_us: VecDeque::new(),
            cost: Cost::default(),
        }
    }

    fn schedule(&mut self, delay_us: u64, event: Event) {
        self.seq += 1;
        self.events
            .insert((self.now_us + delay_us, self.seq), event);
    }

    fn send_request(&mut self, key: u128) -> Result<(), Box<dyn Error>> {
        let req = ReqId(self.cost.claims);
        self.cost.claims += 1;
        self.arrivals_us.push_back(self.now_us);
        let claim_req = ClaimRequest {
            req,
            key: Key::try_from(uuid(key).as_str())?,
            fingerprint: Fingerprint(1),
            deadline: Time::from_micros(self.now_us) + DEADLINE,
        };
        self.handle(Event::Request(claim_req));
        Ok(())
    }

    /// Handles all events and timers that are due until `until_us`.
    fn advance(&mut self, until_us: u64) {
        loop {
            let event = self.events.keys().next().map(|(t, _)| *t);
            let wake = self.shard.next_wake().map(Time::as_micros);
            let Some(at) = event
                .into_iter()
                .chain(wake)
                .min()
                .filter(|t| *t <= until_us)
            else {
                break;
            };
            self.now_us = self.now_us.max(at);
            let due = self.events.first_entry().filter(|e| e.key().0 <= at);
            let event = due.map_or(Event::Tick, |e| e.remove());
            self.handle(event);
        }
        self.now_us = until_us;
    }

    fn handle(&mut self, event: Event) {
        for action in self.shard.handle(now(self.now_us), event) {
            match action {
                Action::Append { batch, records } => self.append(batch, &records),
                Action::Run(req) => self.run(req),
                Action::Answer { .. } | Action::Refuse { .. } => self.cost.refused += 1,
            }
        }
    }

    fn append(&mut self, batch: u64, records: &[Vec<u8>]) {
        let first = Offset(self.end_offset);
        self.end_offset += records.len() as u64;
        self.cost.appends += 1;
        self.cost.records += records.len() as u64;
        self.schedule(self.append_us, Event::Appended { batch, first });
    }

    fn run(&mut self, req: ReqId) {
        let arrival_us = usize::try_from(req.0)
            .ok()
            .and_then(|i| self.arrivals_us.get(i));
        if let Some(arrival_us) = arrival_us {
            self.cost.latencies_us.push(self.now_us - arrival_us);
        }
        self.schedule(0, Event::HandedOver(req));
        let finished = Event::Finished {
            req,
            status: 200,
            answer: vec![0; ANSWER_BYTES],
        };
        self.schedule(RUN_DURATION_US, finished);
    }
}

fn uuid(n: u128) -> String {
    let h = format!("{n:032x}");
    format!(
        "{}-{}-{}-{}-{}",
        &h[..8],
        &h[8..12],
        &h[12..16],
        &h[16..20],
        &h[20..]
    )
}

fn simulate_load(rate: u64, append_ms: u64, window_ms: u64) -> Result<Cost, Box<dyn Error>> {
    let mut rng = StdRng::seed_from_u64(SEED);
    let mut sim = Sim::new(append_ms, window_ms);
    let mut at = 0.0;
    loop {
        // The time between two arrivals of a Poisson process is exponentially distributed.
        at += -(1.0 - rng.random::<f64>()).ln() * 1e6 / rate as f64;
        if at >= LOAD_DURATION_US as f64 {
            break;
        }
        sim.advance(at as u64);
        // A version 4 UUID, which carries no timestamp.
        let key = rng.random::<u128>() & !(0xf << 76) | 4 << 76;
        sim.send_request(key)?;
    }
    sim.advance(LOAD_DURATION_US + 1_000_000);
    sim.cost.latencies_us.sort_unstable();
    Ok(sim.cost)
}

/// Returns the `q`-quantile of the latencies in milliseconds.
fn quantile_ms(sorted_us: &[u64], q: f64) -> f64 {
    let last = sorted_us.len().saturating_sub(1);
    let at = (last as f64 * q).round() as usize;
    sorted_us.get(at).copied().unwrap_or(0) as f64 / 1e3
}

fn claim(seq: u64, node: InstanceId) -> Result<Claim, Box<dyn Error>> {
    let distinct = u128::from(seq).wrapping_mul(0x9e37_79b9_7f4a_7c15_f39c_c060_5ced_c835);
    Ok(Claim {
        key: Key::try_from(uuid(distinct & !(0xf << 76) | 4 << 76).as_str())?,
        fingerprint: Fingerprint(u64::MAX),
        id: ClaimId {
            node,
            boot: BootId(START_MS),
            seq,
        },
        at: UnixMillis(START_MS),
        ttl_ms: 2_000,
        retention_s: 86_400,
    })
}

fn resident_bytes() -> Option<u64> {
    let text = std::fs::read_to_string("/proc/self/statm").ok()?;
    let pages: u64 = text.split_whitespace().nth(1)?.parse().ok()?;
    Some(pages * PAGE_BYTES)
}

/// Fills a [`Fold`] with [`MEMORY_KEYS`] keys and returns it with the resident bytes per key. The
/// outcome of each key has a response of `answer` bytes, or is not known yet if `None`. The caller
/// must keep the earlier folds in memory: reuse of memory that they freed would make the figure too
/// low.
fn measure_memory(answer: Option<usize>) -> Result<(Fold, Option<u64>), Box<dyn Error>> {
    let before = resident_bytes();
    let mut fold = Fold::new();
    for n in 0..MEMORY_KEYS {
        let c = claim(n, InstanceId::of("node"))?;
        let done = answer.map(|bytes| Done {
            key: c.key.clone(),
            id: c.id,
            at: c.at,
            outcome: Outcome::of(200, vec![0; bytes]),
        });
        fold.apply(&Record::Claim(c).encode());
        if let Some(done) = done {
            fold.apply(&Record::Done(done).encode());
        }
    }
    let after = resident_bytes();
    let used = before.zip(after);
    let used = used.map(|(b, a)| a.saturating_sub(b) / fold.len() as u64);
    Ok((fold, used))
}

fn print_memory() -> Result<(), Box<dyn Error>> {
    let cases = [
        ("held", None),
        ("answer not kept", Some(5_000)),
        ("answer of 16 bytes", Some(16)),
    ];
    let mut folds = Vec::new();
    for (name, answer) in cases {
        let (fold, bytes) = measure_memory(answer)?;
        folds.push(fold);
        let bytes = bytes.map_or("not measured".to_owned(), |b| b.to_string());
        println!("resident bytes per key, {name}, {MEMORY_KEYS} keys: {bytes}");
    }
    Ok(())
}

fn print_records() -> Result<(), Box<dyn Error>> {
    let c = claim(1_000_000, InstanceId::of("node"))?;
    let done = Done {
        key: c.key.clone(),
        id: c.id,
        at: c.at,
        outcome: Outcome::of(200, vec![0; ANSWER_BYTES]),
    };
    let claim = Record::Claim(c).encode().len();
    let done = Record::Done(done).encode().len();
    println!("claim record with a UUID key: {claim} bytes");
    println!("outcome record with an answer of {ANSWER_BYTES} bytes: {done} bytes");
    Ok(())
}

fn main() -> Result<(), Box<dyn Error>> {
    print_memory()?;
    print_records()?;
    println!(
        "window ms  rate/s  append ms  appends/claim  appends/s  records/append  p50 ms  p99 ms  \
         refused"
    );
    for window_ms in BATCH_WINDOWS_MS {
        for rate in RATES_PER_S {
            for append_ms in APPEND_LATENCIES_MS {
                print_cost(rate, append_ms, window_ms)?;
            }
        }
    }
    Ok(())
}

fn print_cost(rate: u64, append_ms: u64, window_ms: u64) -> Result<(), Box<dyn Error>> {
    let c = simulate_load(rate, append_ms, window_ms)?;
    println!(
        "{window_ms:9} {rate:7} {append_ms:10} {:14.3} {:10.0} {:15.1} {:7.2} {:7.2} {:8}",
        c.appends as f64 / c.claims as f64,
        c.appends as f64 / (LOAD_DURATION_US as f64 / 1e6),
        c.records as f64 / c.appends as f64,
        quantile_ms(&c.latencies_us, 0.5),
        quantile_ms(&c.latencies_us, 0.99),
        c.refused,
    );
    Ok(())
}
