//! Guarantees on membership and on the control plane under faults, with real processes.

mod common;
mod faults;

use std::io::Write;
use std::net::{TcpStream, UdpSocket};
use std::time::{Duration, Instant};

use common::{Mesh, Spec, registry};
use faults::*;
use googletest::prelude::*;
use node::StateReport;
use wire::{KeyRing, MAX_DATAGRAM_BYTES, MeshKey};

const SECRET: &str = "not-a-secret-for-tests";
const OTHER_SECRET: &str = "another-secret-for-tests";
/// Goal for the return of all nodes.
const READY_GOAL: Duration = Duration::from_secs(9);
/// Goal for a version on one machine.
const SPREAD_GOAL: Duration = Duration::from_secs(2);
/// Goal for the time until all nodes know of a target that leaves.
const DRAIN_GOAL: Duration = Duration::from_secs(3);
const CUT: Duration = Duration::from_secs(10);

async fn sum(mesh: &Mesh, nodes: &[usize], name: &str) -> u64 {
    let mut n = 0;
    for i in nodes {
        n += metric(&mesh.state(*i).await.expect("a state"), name);
    }
    n
}

async fn config_reads(mesh: &Mesh) -> u64 {
    let counts = counts(mesh).await;
    counts.reads.get(node::CONFIG_STREAM).copied().unwrap_or(0)
}

/// Guards against a mesh that can't return from the death of all its nodes, or of half of them, at
/// once.
#[tokio::test(flavor = "multi_thread")]
async fn twelve_nodes_return_together_in_time() {
    return_together("herd-12", &registry()).await;
}

/// Guards against a return that reads the log once per node.
#[tokio::test(flavor = "multi_thread")]
async fn fifty_nodes_return_together_in_time() {
    return_together("herd-50", &fifty()).await;
}

async fn return_together(name: &str, specs: &[Spec]) {
    let _turn = turn().await;
    let mut mesh = Mesh::start(&format!("membership-{name}"), specs);
    mesh.publish_first().await;
    let observer = Observer::start(&mesh);
    let all = everyone(&mesh);
    let half = all.iter().copied().filter(|i| i % 2 == 0).collect();
    for back in [all, half] {
        kill_all(&mut mesh, &back);
        let before = config_reads(&mesh).await;
        let took = start_all(&mut mesh, &back, 1).await;
        let reads = config_reads(&mesh).await - before;
        let bytes = sum(&mesh, &back, "control.bytes_out").await;
        let n = back.len() as u64;
        let per_node = bytes / n;
        println!(
            "{name}: {n} nodes ready after {took:?}, {reads} log reads, {per_node} control bytes per node"
        );
        assert_that!(took, lt(READY_GOAL));
        // Two nodes of each failure domain read, and the reads of others are shared.
        if n > 12 {
            assert_that!(reads, lt(n));
        }
        mesh.wait_targets().await;
    }
    observer.check().await;
}

fn fifty() -> Vec<Spec> {
    let base = registry();
    let spec = |i: usize| Spec {
        name: format!("{}-{i}", base[i % base.len()].service),
        ..base[i % base.len()].clone()
    };
    (0..50).map(spec).collect()
}

/// Guards against a node that is ready before the others listen, and then stays alone.
#[tokio::test(flavor = "multi_thread")]
async fn a_node_that_starts_first_is_found_by_the_others() {
    let _turn = turn().await;
    let mut mesh = Mesh::start("membership-first", &small());
    mesh.publish_first().await;
    let all = everyone(&mesh);
    kill_all(&mut mesh, &all);
    // The seeds are the first three nodes.
    start_all(&mut mesh, &[4], 1).await;
    start_all(&mut mesh, &[0, 1, 2, 3, 5], 1).await;
    mesh.wait_targets().await;
}

/// Guards against a failure domain that is forgotten while it is cut, or that stays behind after
/// its return.
#[tokio::test(flavor = "multi_thread")]
async fn a_cut_failure_domain_catches_up_after_its_return() {
    let _turn = turn().await;
    let mesh = Mesh::start("membership-cut", &registry());
    mesh.publish_first().await;
    let observer = Observer::start(&mesh);
    let cut = in_domain(&mesh, "pk-north-c");
    let rest: Vec<_> = everyone(&mesh)
        .into_iter()
        .filter(|i| !cut.contains(i))
        .collect();
    for i in &cut {
        signal(&mesh, *i, "STOP");
    }
    let began = Instant::now();
    assert!(mesh.publish(&text(2), &[]).status.success());
    let has = |s: &StateReport| s.ready && s.version == 2;
    let mut failed = 0;
    let mut calls = 0;
    while began.elapsed() < CUT {
        // The first second is that of the failed connects and time-outs.
        if began.elapsed() > Duration::from_secs(1) {
            let entry = rest[calls % rest.len()];
            let url = mesh.nodes[entry].url(&format!("/casks/{calls}"));
            let status = mesh
                .client
                .get(url)
                .send()
                .await
                .map(|r| r.status().as_u16());
            failed += usize::from(!matches!(status, Ok(200)));
            calls += 1;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    println!("{failed} of {calls} calls failed while a failure domain was cut");
    wait_for(&mesh, &rest, "the version during the cut", has).await;
    for i in &rest {
        let s = mesh.state(*i).await.expect("a state");
        assert_that!(s.members.len(), eq(mesh.nodes.len()), "{}", s.name);
    }
    for i in &cut {
        signal(&mesh, *i, "CONT");
    }
    let back = Instant::now();
    wait_for(&mesh, &cut, "the version after the return", has).await;
    println!("failure domain caught up after {:?}", back.elapsed());
    assert_that!(back.elapsed(), lt(SPREAD_GOAL));
    assert_that!(failed, eq(0));
    mesh.wait_targets().await;
    observer.check().await;
}

fn ring(mesh: &str, number: u8, secret: &str) -> KeyRing {
    KeyRing::new(mesh, MeshKey::new(number, secret), None)
}

/// Guards against hostile or foreign traffic that stops a node, fills its memory or goes unseen.
#[tokio::test(flavor = "multi_thread")]
async fn garbage_is_counted_and_dropped() {
    const DATAGRAMS: u64 = 20_000;
    const CONNECTIONS: usize = 2_000;
    const GROWTH: u64 = 8 << 20;
    let _turn = turn().await;
    let mut mesh = Mesh::start("membership-garbage", &small());
    mesh.publish_first().await;
    let own = ring("indus-vale", 1, SECRET);
    let mut other_version = own.seal(&1u64).unwrap();
    other_version[0] = 77;
    let mut flipped = own.seal(&[7u8; 100].as_slice()).unwrap();
    *flipped.last_mut().unwrap() ^= 1;
    let wrong_key = ring("indus-vale", 1, OTHER_SECRET).seal(&1u64);
    let unknown_key = ring("indus-vale", 9, SECRET).seal(&1u64);
    let foreign = ring("kilimanjaro", 1, SECRET).seal(&1u64);
    let cases = [
        ("control.dropped.bad_mac", wrong_key.unwrap()),
        ("control.dropped.bad_mac", unknown_key.unwrap()),
        ("control.dropped.bad_mac", flipped),
        ("control.dropped.foreign_mesh", foreign.unwrap()),
        ("control.dropped.wire_version", other_version),
        ("control.dropped.malformed", vec![1, 2, 3]),
        ("control.dropped.malformed", Vec::new()),
        ("control.dropped.malformed", own.seal(&u64::MAX).unwrap()),
        ("control.dropped.oversized", vec![1; MAX_DATAGRAM_BYTES + 1]),
        ("control.dropped.oversized", vec![1; 60_000]),
    ];
    let resident_before = resident(mesh.nodes[0].proc.as_ref().unwrap());
    let before = mesh.state(0).await.expect("a state");
    let to = mesh.nodes[0].gossip_addr();
    let sender = UdpSocket::bind("127.0.0.1:0").unwrap();
    for n in 0..DATAGRAMS as usize {
        sender.send_to(&cases[n % cases.len()].1, &to).unwrap();
        if n % 20 == 0 {
            // The socket's buffer holds a few of the large ones only.
            std::thread::sleep(Duration::from_micros(500));
        }
    }
    let mut held = Vec::new();
    for n in 0..CONNECTIONS {
        let mut tcp = TcpStream::connect(rpc_addr(&mesh, 0)).unwrap();
        let _ = match n % 5 {
            0 => tcp.write_all(b"GET / HTTP/1.1\r\n\r\n"),
            1 => tcp.write_all(&[0xff; 64]),
            2 => tcp.write_all(&[&[0, 0, 0, 64], [n as u8; 64].as_slice()].concat()),
            3 => tcp.write_all(&[0, 0]),
            _ => Ok(()),
        };
        if n + 200 >= CONNECTIONS {
            held.push(tcp);
        }
    }
    // While 200 connections are held open, another node joins through this one.
    let seed = rpc_addr(&mesh, 0);
    kill_all(&mut mesh, &[4]);
    edit_settings(&mesh, 4, |s| {
        let kept: Vec<_> = s.lines().filter(|l| !l.starts_with("seeds = ")).collect();
        format!("seeds = [\"{seed}\"]\n{}\n", kept.join("\n"))
    });
    mesh.start_node(4);
    let joined = |s: &StateReport| s.ready && s.members.len() == 6;
    mesh.wait_state(4, "joined", joined).await;
    drop(held);
    tokio::time::sleep(Duration::from_secs(1)).await;

    let after = mesh.state(0).await.expect("a state");
    assert_that!(after.ready, eq(true));
    for name in [
        "control.dropped.bad_mac",
        "control.dropped.foreign_mesh",
        "control.dropped.wire_version",
        "control.dropped.malformed",
        "control.dropped.oversized",
    ] {
        let sent = cases.iter().filter(|c| c.0 == name).count() as u64;
        let sent = sent * DATAGRAMS / cases.len() as u64;
        let counted = metric(&after, name) - metric(&before, name);
        println!("{name}: {counted} counted, {sent} datagrams sent");
        // The kernel may drop some when the node is not scheduled.
        assert_that!(counted, gt(sent / 2), "{name}");
    }
    let grown = resident(mesh.nodes[0].proc.as_ref().unwrap()).saturating_sub(resident_before);
    println!("resident memory grew by {grown} bytes");
    assert_that!(grown, le(GROWTH));
    // The node takes part in the mesh as before.
    assert!(mesh.publish(&text(2), &[]).status.success());
    mesh.wait_version(2).await;
}

/// Guards against connections with garbage on the port for transfers that go unseen.
#[tokio::test(flavor = "multi_thread")]
async fn garbage_on_connections_is_counted() {
    let _turn = turn().await;
    let mesh = Mesh::start("membership-tcp", &small()[..1]);
    mesh.publish_first().await;
    let cases: [(&str, Vec<u8>, &str); 3] = [
        ("huge frame", vec![0xff; 64], "control.dropped.oversized"),
        (
            "not a request",
            [&[0, 0, 0, 64], [9u8; 64].as_slice()].concat(),
            "control.dropped.malformed",
        ),
        (
            "broken off",
            vec![0, 0, 0, 64, 1, 2],
            "control.dropped.malformed",
        ),
    ];
    for (name, raw, counter) in cases {
        let before = metric(&mesh.state(0).await.unwrap(), counter);
        let mut tcp = TcpStream::connect(rpc_addr(&mesh, 0)).unwrap();
        tcp.write_all(&raw).unwrap();
        drop(tcp);
        let counted = |s: &StateReport| s.ready && metric(s, counter) > before;
        mesh.wait_state(0, name, counted).await;
    }
}

/// Guards against a key rotation during which some nodes can't read what others send.
#[tokio::test(flavor = "multi_thread")]
async fn keys_rotate_without_a_split() {
    let _turn = turn().await;
    let mut mesh = Mesh::start("membership-keys", &small()[..3]);
    mesh.publish_first().await;
    let observer = Observer::start(&mesh);
    let key = |table: &str, number: u8, secret: &str| {
        format!("[keys.{table}]\nnumber = {number}\nsecret = \"{secret}\"\n")
    };
    let (old, new) = (SECRET, OTHER_SECRET);
    let steps = [
        key("send", 1, old) + &key("also", 2, new),
        key("send", 2, new) + &key("also", 1, old),
        key("send", 2, new),
    ];
    let mut version = 1;
    for keys in steps {
        for i in everyone(&mesh) {
            edit_settings(&mesh, i, |s| {
                let rest = s.split("[keys.send]").next().unwrap();
                format!("{rest}{keys}")
            });
            signal(&mesh, i, "TERM");
            let node = mesh.nodes[i].proc.as_mut().unwrap();
            let exit = node.wait_exit(Duration::from_secs(10));
            assert_that!(exit, some(eq(0)));
            mesh.start_node(i);
            mesh.wait_version(version).await;
            mesh.wait_targets().await;
            for j in everyone(&mesh) {
                let s = mesh.state(j).await.expect("a state");
                assert_that!(metric(&s, "control.dropped.bad_mac"), eq(0), "{}", s.name);
            }
        }
        version += 1;
        assert!(mesh.publish(&text(version), &[]).status.success());
        mesh.wait_version(version).await;
    }
    observer.check().await;
}

/// Guards against entry nodes that go on sending work to a target that leaves.
#[tokio::test(flavor = "multi_thread")]
async fn draining_is_known_everywhere_in_time() {
    let _turn = turn().await;
    let mesh = Mesh::start("membership-drain", &registry());
    mesh.publish_first().await;
    for leaving in [0, 5, 11] {
        let name = mesh.nodes[leaving].spec.name.clone();
        let url = format!("{}/drain", mesh.nodes[leaving].target_listener());
        let res = mesh.client.post(url).send().await.unwrap();
        assert!(res.status().is_success());
        let began = Instant::now();
        let drains = |s: &StateReport| {
            let found = s.members.iter().find(|m| m.name == name);
            found.is_none_or(|m| m.state == "draining")
        };
        wait_for(&mesh, &everyone(&mesh), "draining", drains).await;
        println!("draining known everywhere after {:?}", began.elapsed());
        assert_that!(began.elapsed(), lt(DRAIN_GOAL));
    }
}
