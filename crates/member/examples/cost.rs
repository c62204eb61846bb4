//! Prints the traffic and the memory of the membership protocol.
//!
//! Byte counts cover sealed datagrams without UDP and IP headers. The clock is virtual, so all
//! figures except memory depend on the seed only.

#[path = "../tests/net/mod.rs"]
mod net;

use std::time::Duration;

use member::{Config, Member, State, Table};
use net::{Faults, Net, Traffic, record};
use wire::Time;

const SEED: u64 = 1;
/// Mesh sizes in members.
const MESH_SIZES: [usize; 5] = [12, 50, 100, 200, 400];
/// Message loss probabilities.
const LOSS_RATES: [f64; 2] = [0.0, 0.05];
/// Time over which traffic is counted.
const MEASUREMENT_WINDOW: Duration = Duration::from_secs(60);
/// Time after the start of the mesh until its initial updates have been disseminated.
const WARM_UP: Duration = Duration::from_secs(120);
/// Interval of publications at 78,000 changes a day.
const PUBLICATION_INTERVAL: Duration = Duration::from_millis(1_108);
/// Number of records loaded for the memory figure.
const RECORD_COUNT: usize = 20_000;

fn main() {
    // Runs first, because memory freed by the other parts would be reused for the records and hide
    // their size.
    print_record_size();
    println!("\nsteady state, all services in scope, 0.9 publications/s, seed {SEED}");
    println!("members  loss  messages/s/node  bytes/s/node  suspicions  deaths  exchanges");
    for loss in LOSS_RATES {
        for n in MESH_SIZES {
            print_steady_state(n, loss);
        }
    }
    println!("\none restart at no loss: bytes above the steady state, whole mesh");
    println!("members  kind   datagrams     bytes  bytes/node  table transfer bytes");
    for n in MESH_SIZES {
        let idle = traffic_in_window(n, |net| net.run(Duration::from_secs(3)));
        for is_graceful in [false, true] {
            print_restart_cost(n, is_graceful, idle);
        }
    }
}

fn warmed_up_mesh(n: usize, loss: f64) -> Net {
    let faults = Faults {
        loss,
        ..Faults::default()
    };
    let mut net = Net::with_ready_members(n, SEED, faults);
    net.run(WARM_UP);
    net
}

fn print_steady_state(n: usize, loss: f64) {
    let mut net = warmed_up_mesh(n, loss);
    let counters = |net: &Net| {
        let all = net.nodes.iter().map(|node| node.member.counters());
        all.fold((0, 0, 0), |a, c| {
            (a.0 + c.suspicions, a.1 + c.deaths, a.2 + c.table_exchanges)
        })
    };
    let (before, start) = (counters(&net), net.now);
    net.traffic = Traffic::default();
    let mut version = 1;
    while net.now - start < MEASUREMENT_WINDOW {
        version += 1;
        for i in 0..n {
            net.publish(i, version);
        }
        net.run(PUBLICATION_INTERVAL);
    }
    let after = counters(&net);
    let per_node = |count: u64| count as f64 / (net.now - start).as_secs_f64() / n as f64;
    println!(
        "{n:7}  {loss:4.2}  {:15.2}  {:12.1}  {:10}  {:6}  {:9}",
        per_node(net.traffic.messages),
        per_node(net.traffic.bytes),
        after.0 - before.0,
        after.1 - before.1,
        after.2 - before.2,
    );
}

/// Restarts one instance and prints the traffic in excess of an idle run of the same length. Both
/// kinds of restart take 3 s of virtual time until the instance is ready.
fn print_restart_cost(n: usize, is_graceful: bool, idle: Traffic) {
    let with_restart = traffic_in_window(n, |net| {
        if is_graceful {
            net.set_state(n / 2, State::Draining);
            net.run(Duration::from_secs(1));
            net.set_state(n / 2, State::Left);
        }
        net.run(Duration::from_millis(100));
        net.kill(n / 2);
        net.run(Duration::from_secs(1));
        net.start(n / 2);
        net.run(Duration::from_millis(
            900 + if is_graceful { 0 } else { 1_000 },
        ));
        net.set_state(n / 2, State::Ready);
    });
    let bytes = with_restart.bytes as f64 - idle.bytes as f64;
    println!(
        "{n:7}  {}  {:9}  {bytes:8}  {:10.0}  {:20}",
        if is_graceful { "clean" } else { "crash" },
        with_restart.messages as i64 - idle.messages as i64,
        bytes / n as f64,
        with_restart.table_bytes - idle.table_bytes,
    );
}

fn traffic_in_window(n: usize, act: impl Fn(&mut Net)) -> Traffic {
    let mut net = warmed_up_mesh(n, 0.0);
    net.traffic = Traffic::default();
    act(&mut net);
    net.run(MEASUREMENT_WINDOW);
    net.traffic
}

/// Prints the size of a record on the wire and, if the platform reports resident memory, in memory.
fn print_record_size() {
    let before = resident_bytes();
    let mut m = Member::new(Config::default(), record(0, 0), SEED);
    let mut wire_bytes = 0;
    for i in 1..=RECORD_COUNT {
        let r = record(i, 1_700_000_000);
        wire_bytes += postcard::to_stdvec(&r).unwrap().len();
        let table = Table {
            records: vec![r],
            tombstones: Vec::new(),
        };
        m.merge(Time::ZERO, table);
    }
    println!("record on the wire: {} bytes", wire_bytes / RECORD_COUNT);
    let (Some(before), Some(after)) = (before, resident_bytes()) else {
        return println!("record in memory: not available on this platform");
    };
    let sizes = m.sizes();
    println!(
        "record in memory: {} bytes resident each, history and allocator included ({sizes:?})",
        (after - before) / sizes.records,
    );
}

fn resident_bytes() -> Option<usize> {
    let status = std::fs::read_to_string("/proc/self/status").ok()?;
    let line = status.lines().find(|l| l.starts_with("VmRSS:"))?;
    let kib: usize = line.split_whitespace().nth(1)?.parse().ok()?;
    Some(kib * 1_024)
}
