//! Measures the cost of a configuration version at several sizes: compilation, deltas, lookups and
//! memory.
//!
//! Run with `cargo run --release -p config --example cost`. Each printed compile and delta time is
//! the median of [`RUN_COUNT`] runs.

use std::hint::black_box;
use std::sync::Arc;
use std::time::{Duration, Instant};

use config::{Delta, Snapshot};
use wire::Version;

const SERVICE_COUNTS: [usize; 3] = [49, 490, 980];
const ROUTES_PER_SERVICE: usize = 10;
const CHANGES: [&str; 6] = [
    "nothing",
    "service",
    "route",
    "prefix",
    "first and last block",
    "service added",
];
const RUN_COUNT: usize = 41;
const LOOKUP_COUNT: usize = 100_000;
/// Number of snapshots in memory at once when the resident bytes of one are measured. The more
/// there are, the smaller is the error from the reuse of memory that was freed earlier.
const SNAPSHOT_COUNT: usize = 64;
const PAGE_BYTES: usize = 4_096;

/// Returns a text with this number of services, each with [`ROUTES_PER_SERVICE`] routes, in
/// dependency chains of nine services.
fn config_text(services: usize) -> String {
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
fn apply_change(text: &str, change: &str) -> String {
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

fn median_time(mut f: impl FnMut() -> Duration) -> Duration {
    let mut times: Vec<Duration> = (0..RUN_COUNT).map(|_| f()).collect();
    times.sort_unstable();
    times[RUN_COUNT / 2]
}

fn time_once<T>(f: impl FnOnce() -> T) -> Duration {
    let start = Instant::now();
    let result = black_box(f());
    let elapsed = start.elapsed();
    // Dropped after the measurement, which does not include the drop.
    drop(result);
    elapsed
}

fn compile(text: &Arc<str>) -> Snapshot {
    Snapshot::compile(Version(1), "m", text.clone()).expect("valid text")
}

fn compile_after(previous: &Snapshot, text: &Arc<str>) -> Snapshot {
    Snapshot::compile_after(previous, Version(1), text.clone()).expect("valid text")
}

/// Returns the resident bytes of this process, or 0 where `/proc` is missing.
fn resident_bytes() -> usize {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split(' ').nth(1).and_then(|n| n.parse().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}

/// Makes [`SNAPSHOT_COUNT`] snapshots. Returns them with the mean resident bytes of one, including
/// its text.
fn make_snapshots(mut make: impl FnMut(usize) -> Snapshot) -> (Vec<Snapshot>, usize) {
    let before = resident_bytes();
    let held = (0..SNAPSHOT_COUNT).map(&mut make).collect();
    (
        held,
        resident_bytes().saturating_sub(before) / SNAPSHOT_COUNT,
    )
}

/// Returns the resident bytes of a snapshot compiled alone, and of one compiled after a version
/// that differs in one route. The snapshots are returned to keep them in memory.
fn snapshot_bytes(services: usize) -> ([Vec<Snapshot>; 2], [usize; 2]) {
    let text = config_text(services);
    let (alone, bytes) = make_snapshots(|_| compile(&text.as_str().into()));
    let mut last = compile_after(&alone[0], &text.as_str().into());
    let (after, bytes_after) = make_snapshots(|n| {
        let next = text.replacen("/r5\"", &format!("/r5\"\ntimeout_ms = {}", 900 + n), 1);
        last = compile_after(&last, &next.into());
        last.clone()
    });
    ([alone, after], [bytes, bytes_after])
}

/// Returns the mean time of a lookup of a path that has a route.
fn mean_lookup_time(s: &Snapshot, services: usize) -> Duration {
    let paths: Vec<String> = (0..services)
        .map(|i| format!("/s{i:04}/r5/item?x=1"))
        .collect();
    let total = time_once(|| {
        let found =
            (0..LOOKUP_COUNT).filter(|i| s.route_for("GET", &paths[i % services]).is_some());
        found.count()
    });
    total / LOOKUP_COUNT as u32
}

fn main() {
    // All snapshots are held until every size is measured: reuse of freed memory would not show in
    // the resident bytes.
    let held = SERVICE_COUNTS.map(snapshot_bytes);
    for (n, (_, [alone, after])) in SERVICE_COUNTS.into_iter().zip(&held) {
        println!("{n} services: snapshot {alone} bytes, after a changed route {after} bytes");
    }
    drop(held);
    SERVICE_COUNTS.into_iter().for_each(measure_times);
}

fn measure_times(n: usize) {
    let old: Arc<str> = config_text(n).into();
    // Blocks are reused only after a version that was itself compiled block by block.
    let s = compile_after(&Snapshot::empty("m"), &old);
    println!(
        "{n} services, {} routes, {} bytes: full {:?}, first in blocks {:?}, route_for {:?}",
        n * ROUTES_PER_SERVICE,
        old.len(),
        median_time(|| time_once(|| compile(&old))),
        median_time(|| time_once(|| compile_after(&Snapshot::empty("m"), &old))),
        mean_lookup_time(&s, n),
    );
    for change in CHANGES {
        let new: Arc<str> = apply_change(&old, change).into();
        let delta = Delta::between(&old, &new);
        println!(
            "  {change}: {:?}, delta {} bytes in {:?}",
            median_time(|| time_once(|| compile_after(&s, &new))),
            postcard::to_stdvec(&delta).expect("encodes").len(),
            median_time(|| time_once(|| Delta::between(&old, &new))),
        );
    }
}
