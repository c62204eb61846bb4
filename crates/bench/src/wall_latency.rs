//! Added latency: caller, two nodes, target against caller, target, in one run.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use fakes::{Announcer, TargetCfg, TargetServer};
use hdrhistogram::Histogram;

use super::mesh::{Mesh, text};
use super::proc::cpu_time;
use crate::figure::{Bound, Figure};

const CALLS: usize = 5_000;
const WARM_UP: usize = 500;
const ROUNDS: usize = 3;
const ANSWER_BYTES: usize = 512;
/// Goal for 99 in 100 calls.
const ADDED_P99_MS: f64 = 0.43;
const LIMIT: Duration = Duration::from_secs(10);

pub(crate) fn run() -> Vec<Figure> {
    let rt = runtime(4);
    let (mesh, target, announcer) = rt.block_on(start());
    let direct = format!(
        "http://{}/s1/x?work_ms=0&bytes={ANSWER_BYTES}",
        target.addr()
    );
    let entry = mesh.nodes[0].addresses().callers;
    let through = format!("http://{entry}/s1/x?work_ms=0&bytes={ANSWER_BYTES}");
    let mut figures = Vec::new();
    for callers in [1, 8] {
        figures.extend(compare(callers, &direct, &through));
    }
    rt.block_on(async {
        announcer.stop().await;
        mesh.stop().await;
        target.stop().await;
    });
    figures
}

/// Starts an entry node without a target and a node with one, in two failure domains.
async fn start() -> (Mesh, TargetServer, Announcer) {
    let mut mesh = Mesh::new(0.0);
    mesh.add("s0").await;
    mesh.add("s1").await;
    let any: SocketAddr = ([127, 0, 0, 1], 0).into();
    let cfg = TargetCfg {
        base_work: Duration::ZERO,
        ..TargetCfg::new("s1", 64)
    };
    let target = TargetServer::start(any, cfg)
        .await
        .expect("a target starts");
    let url = format!("http://{}", mesh.nodes[1].addresses().target);
    let announcer = Announcer::start(&url, "s1", target.addr(), Duration::from_millis(500));
    let announcer = announcer.expect("an announcer starts");
    mesh.publish(0, &text(2, 0)).await;
    mesh.wait_version(1, LIMIT)
        .await
        .expect("a version in force");
    let began = Instant::now();
    while mesh.nodes[0].ready_members() < 1 && began.elapsed() < LIMIT {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    // The cold start of the target is over after this.
    tokio::time::sleep(Duration::from_secs(3)).await;
    (mesh, target, announcer)
}

fn compare(callers: usize, direct: &str, through: &str) -> Vec<Figure> {
    let rt = runtime(2);
    rt.block_on(call(callers, direct, WARM_UP));
    rt.block_on(call(callers, through, WARM_UP));
    let (mut base, mut via) = (histogram(), histogram());
    let (mut took, mut cpu) = (Duration::ZERO, Duration::ZERO);
    // Both ways take turns, so that a disturbance of the machine meets both.
    for _ in 0..ROUNDS {
        base.add(rt.block_on(call(callers, direct, CALLS)))
            .expect("same bounds");
        let (began, cpu_before) = (Instant::now(), cpu_time());
        via.add(rt.block_on(call(callers, through, CALLS)))
            .expect("same bounds");
        took += began.elapsed();
        cpu += cpu_time() - cpu_before;
    }
    let ms = |h: &Histogram<u64>, q| h.value_at_quantile(q) as f64 / 1_000.0;
    let calls = (ROUNDS * CALLS) as f64;
    let name = |what: &str| format!("latency.callers_{callers}.{what}");
    let bound = if callers == 1 {
        Bound::AtMost(ADDED_P99_MS)
    } else {
        Bound::None
    };
    vec![
        Figure::new(name("direct_p50"), ms(&base, 0.5), "ms", Bound::None),
        Figure::new(name("direct_p99"), ms(&base, 0.99), "ms", Bound::None),
        Figure::new(name("through_p50"), ms(&via, 0.5), "ms", Bound::None),
        Figure::new(name("through_p99"), ms(&via, 0.99), "ms", Bound::None),
        Figure::new(
            name("added_p50"),
            ms(&via, 0.5) - ms(&base, 0.5),
            "ms",
            Bound::None,
        ),
        Figure::new(
            name("added_p99"),
            ms(&via, 0.99) - ms(&base, 0.99),
            "ms",
            bound,
        ),
        Figure::new(
            name("calls_per_s"),
            calls / took.as_secs_f64(),
            "1/s",
            Bound::None,
        ),
        // The caller and the target are in this process too, so the nodes' own share is smaller.
        Figure::new(
            name("cpu_per_call"),
            cpu.as_secs_f64() * 1e6 / calls,
            "us",
            Bound::None,
        ),
    ]
}

async fn call(callers: usize, url: &str, calls: usize) -> Histogram<u64> {
    let one = |n: usize| {
        let url = url.to_owned();
        tokio::spawn(async move {
            let client = reqwest::Client::builder()
                .no_proxy()
                .build()
                .expect("a client");
            let mut h = histogram();
            for _ in 0..n {
                let began = Instant::now();
                let res = client.get(&url).send().await.expect("an answer");
                assert!(res.status().is_success(), "{}", res.status());
                let body = res.bytes().await.expect("a whole answer");
                assert_eq!(body.len(), ANSWER_BYTES);
                let us = u64::try_from(began.elapsed().as_micros()).unwrap_or(u64::MAX);
                h.saturating_record(us);
            }
            h
        })
    };
    let tasks: Vec<_> = (0..callers).map(|_| one(calls / callers)).collect();
    let mut all = histogram();
    for t in tasks {
        all.add(t.await.expect("a caller ends"))
            .expect("same bounds");
    }
    all
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 60_000_000, 3).expect("valid bounds")
}

fn runtime(workers: usize) -> tokio::runtime::Runtime {
    let mut b = tokio::runtime::Builder::new_multi_thread();
    b.worker_threads(workers)
        .enable_all()
        .build()
        .expect("a runtime")
}
