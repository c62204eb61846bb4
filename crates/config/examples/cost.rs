//! Measures the cost of a configuration version at several sizes: compilation, deltas, lookups and
//! memory.
//!
//! Run with `cargo run --release -p config --example cost`. Each printed compile and delta time is
//! the median of [`RUNS`] runs.

use std::hint::black_box;
use std::sync::Arc;
use std::time::{Duration, Instant};

use config::{Delta, Snapshot};
use wire::Version;

const SERVICES: [usize; 3] = [49, 490, 980];
const ROUTES_PER_SERVICE: usize = 10;
const CHANGES: [&str; 6] = [
    "nothing",
    "service",
    "route",
    "prefix",
    "first and last block",
    "service added",
];
const RUNS: usize = 41;
const LOOKUPS: usize = 100_000;
/// Number of snapshots held at once to measure the resident bytes of one. A larger number reduces the
/// error from memory that was freed earlier and is reused.
const HELD: usize = 64;
const PAGE_BYTES: usize = 4_096;

fn text(services: usize) -> String {
    let service = |i: usize| {
        let depends = match i % 9 {
            0 => String::new(),
            _ => format!("depends = [\"s{:04}\"]\n", i - 1),
        };
        let route =
            |r: usize| format!("[[route]]\nprefix = \"/s{i:04}/r{r}\"\nservice = \"s{i:04}\"\n");
        let routes: String = (0..ROUTES_PER_SERVICE).map(route).collect();
        format!("[[service]]\nname = \"s{i:04}\"\nslots = 6\nconnections = 130\n{depends}{routes}")
    };
    let blocks: String = (0..services).map(service).collect();
    format!("format = 1\nmesh = \"m\"\n{blocks}")
}

/// Applies one of [`CHANGES`] to the text, in the middle unless the change says where.
fn changed(text: &str, change: &str) -> String {
    let middle = text.len() / 2;
    let (before, after) = text.split_at(middle);
    let after = match change {
        "nothing" => after.to_owned(),
        "service" => after.replacen("slots = 6", "slots = 7", 1),
        "first and last block" => {
            let first = before.replacen("slots = 6", "slots = 7", 1);
            return format!("{first}{after}timeout_ms = 900\n");
        }
        "service added" => {
            let service = "[[service]]\nname = \"new\"\nslots = 6\nconnections = 130\n";
            return format!("{text}{service}[[route]]\nprefix = \"/new\"\nservice = \"new\"\n");
        }
        "route" => after.replacen("/r5\"", "/r5\"\ntimeout_ms = 900", 1),
        _ => after.replacen("/r5\"", "/r5/new\"", 1),
    };
    format!("{before}{after}")
}

fn median(mut f: impl FnMut() -> Duration) -> Duration {
    let mut times: Vec<Duration> = (0..RUNS).map(|_| f()).collect();
    times.sort_unstable();
    times[RUNS / 2]
}

fn timed<T>(f: impl FnOnce() -> T) -> Duration {
    let start = Instant::now();
    let made = black_box(f());
    let took = start.elapsed();
    drop(made);
    took
}

fn compile(text: &Arc<str>) -> Snapshot {
    Snapshot::compile(Version(1), "m", text.clone()).expect("valid text")
}

fn compile_after(previous: &Snapshot, text: &Arc<str>) -> Snapshot {
    Snapshot::compile_after(previous, Version(1), text.clone()).expect("valid text")
}

/// Returns the resident bytes of this process, or 0 where `/proc` is missing.
fn resident() -> usize {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split(' ').nth(1).and_then(|n| n.parse().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}

/// Makes [`HELD`] snapshots. Returns them with the mean resident bytes of one, including its text.
fn hold(mut make: impl FnMut(usize) -> Snapshot) -> (Vec<Snapshot>, usize) {
    let before = resident();
    let held = (0..HELD).map(&mut make).collect();
    (held, resident().saturating_sub(before) / HELD)
}

/// Returns the resident bytes of a snapshot compiled alone, and of one compiled after a version that
/// differs in one route. The snapshots are returned to keep them in memory.
fn snapshot_bytes(services: usize) -> ([Vec<Snapshot>; 2], [usize; 2]) {
    let text = text(services);
    let (alone, bytes) = hold(|_| compile(&text.as_str().into()));
    let mut last = compile_after(&alone[0], &text.as_str().into());
    let (after, bytes_after) = hold(|n| {
        let next = text.replacen("/r5\"", &format!("/r5\"\ntimeout_ms = {}", 900 + n), 1);
        last = compile_after(&last, &next.into());
        last.clone()
    });
    ([alone, after], [bytes, bytes_after])
}

fn lookup(s: &Snapshot, services: usize) -> Duration {
    let paths: Vec<String> = (0..services)
        .map(|i| format!("/s{i:04}/r5/item?x=1"))
        .collect();
    let all = timed(|| {
        let found = (0..LOOKUPS).filter(|i| s.route_for("GET", &paths[i % services]).is_some());
        found.count()
    });
    all / LOOKUPS as u32
}

fn main() {
    // All snapshots are held until every size is measured: reuse of freed memory would not show in
    // the resident bytes.
    let held = SERVICES.map(snapshot_bytes);
    for (n, (_, [alone, after])) in SERVICES.into_iter().zip(&held) {
        println!("{n} services: snapshot {alone} bytes, after a changed route {after} bytes");
    }
    drop(held);
    SERVICES.into_iter().for_each(measure_times);
}

fn measure_times(n: usize) {
    let old: Arc<str> = text(n).into();
    // Blocks are reused only after a version that was itself compiled block by block.
    let s = compile_after(&Snapshot::empty("m"), &old);
    println!(
        "{n} services, {} routes, {} bytes: full {:?}, first in blocks {:?}, route_for {:?}",
        n * ROUTES_PER_SERVICE,
        old.len(),
        median(|| timed(|| compile(&old))),
        median(|| timed(|| compile_after(&Snapshot::empty("m"), &old))),
        lookup(&s, n),
    );
    for change in CHANGES {
        let new: Arc<str> = changed(&old, change).into();
        let delta = Delta::between(&old, &new);
        println!(
            "  {change}: {:?}, delta {} bytes in {:?}",
            median(|| timed(|| compile_after(&s, &new))),
            postcard::to_stdvec(&delta).expect("encodes").len(),
            median(|| timed(|| Delta::between(&old, &new))),
        );
    }
}
