//! Latency that the mesh adds: calls through an entry node and a target-side node, compared with
//! direct calls to the target in the same run.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use fakes::{Announcer, TargetCfg, TargetServer};
use hdrhistogram::Histogram;

use super::mesh::{Mesh, config_text};
use super::proc::cpu_time;
use crate::figure::{Bound, Figure};

/// Calls on each network path per round, over all callers.
const CALLS_PER_ROUND: usize = 5_000;
/// Calls on each network path before the first round, over all callers.
const WARM_UP_CALLS: usize = 500;
const ROUNDS: usize = 3;
const ANSWER_BYTES: usize = 512;
/// Latency objective: added p99 with a single caller.
const MAX_ADDED_P99_MS: f64 = 0.43;
/// Longest wait for the nodes to apply the configuration and to see the target.
const WAIT_LIMIT: Duration = Duration::from_secs(10);

pub(crate) fn run() -> Vec<Figure> {
    let rt = runtime(4);
    let (mesh, target, announcer) = rt.block_on(start_mesh());
    let direct = format!(
        "http://{}/s1/x?work_ms=0&bytes={ANSWER_BYTES}",
        target.addr()
    );
    let entry = mesh.nodes[0].addresses().callers;
    let through = format!("http://{entry}/s1/x?work_ms=0&bytes={ANSWER_BYTES}");
    let mut figures = Vec::new();
    for callers in [1, 8] {
        figures.extend(compare_paths(callers, &direct, &through));
    }
    rt.block_on(async {
        announcer.stop().await;
        mesh.stop().await;
        target.stop().await;
    });
    figures
}

/// Starts an entry node without a target and a node with one, in two failure domains.
async fn start_mesh() -> (Mesh, TargetServer, Announcer) {
    let mut mesh = Mesh::new(0.0);
    mesh.start_node("s0").await;
    mesh.start_node("s1").await;
    let any_port: SocketAddr = ([127, 0, 0, 1], 0).into();
    let cfg = TargetCfg {
        default_service_time: Duration::ZERO,
        ..TargetCfg::new("s1", 64)
    };
    let target = TargetServer::start(any_port, cfg)
        .await
        .expect("target failed to start");
    let url = format!("http://{}", mesh.nodes[1].addresses().target);
    let announcer = Announcer::start(&url, "s1", target.addr(), Duration::from_millis(500));
    let announcer = announcer.expect("announcer failed to start");
    mesh.publish(0, &config_text(2, 0)).await;
    mesh.wait_for_version(1, WAIT_LIMIT)
        .await
        .expect("not all nodes apply version 1 within the limit");
    let started = Instant::now();
    while mesh.nodes[0].ready_member_count() < 1 && started.elapsed() < WAIT_LIMIT {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    // Waits for the end of the target's cold start.
    tokio::time::sleep(Duration::from_secs(3)).await;
    (mesh, target, announcer)
}

/// Measures `callers` concurrent callers at the URL `direct` of the target and at the URL `through`
/// of the entry node.
fn compare_paths(callers: usize, direct: &str, through: &str) -> Vec<Figure> {
    let rt = runtime(2);
    rt.block_on(send_calls(callers, direct, WARM_UP_CALLS));
    rt.block_on(send_calls(callers, through, WARM_UP_CALLS));
    let (mut direct_latency, mut mesh_latency) = (histogram(), histogram());
    let (mut mesh_time, mut mesh_cpu) = (Duration::ZERO, Duration::ZERO);
    // Rounds alternate between both network paths, so that other load on the machine affects both.
    for _ in 0..ROUNDS {
        direct_latency
            .add(rt.block_on(send_calls(callers, direct, CALLS_PER_ROUND)))
            .expect("histograms differ in their bounds");
        let (started, cpu_before) = (Instant::now(), cpu_time());
        mesh_latency
            .add(rt.block_on(send_calls(callers, through, CALLS_PER_ROUND)))
            .expect("histograms differ in their bounds");
        mesh_time += started.elapsed();
        mesh_cpu += cpu_time() - cpu_before;
    }
    let ms = |h: &Histogram<u64>, q| h.value_at_quantile(q) as f64 / 1_000.0;
    let calls = (ROUNDS * CALLS_PER_ROUND) as f64;
    let name = |what: &str| format!("latency.callers_{callers}.{what}");
    let bound = if callers == 1 {
        Bound::AtMost(MAX_ADDED_P99_MS)
    } else {
        Bound::None
    };
    vec![
        Figure::new(
            name("direct_p50"),
            ms(&direct_latency, 0.5),
            "ms",
            Bound::None,
        ),
        Figure::new(
            name("direct_p99"),
            ms(&direct_latency, 0.99),
            "ms",
            Bound::None,
        ),
        Figure::new(
            name("through_p50"),
            ms(&mesh_latency, 0.5),
            "ms",
            Bound::None,
        ),
        Figure::new(
            name("through_p99"),
            ms(&mesh_latency, 0.99),
            "ms",
            Bound::None,
        ),
        Figure::new(
            name("added_p50"),
            ms(&mesh_latency, 0.5) - ms(&direct_latency, 0.5),
            "ms",
            Bound::None,
        ),
        Figure::new(
            name("added_p99"),
            ms(&mesh_latency, 0.99) - ms(&direct_latency, 0.99),
            "ms",
            bound,
        ),
        Figure::new(
            name("calls_per_s"),
            calls / mesh_time.as_secs_f64(),
            "1/s",
            Bound::None,
        ),
        // Includes the callers and the target, which run in this process: the nodes alone use less.
        Figure::new(
            name("cpu_per_call"),
            mesh_cpu.as_secs_f64() * 1e6 / calls,
            "us",
            Bound::None,
        ),
    ]
}

/// Sends `calls` requests to `url`, spread evenly over `callers` concurrent tasks. Returns their
/// latencies in microseconds.
async fn send_calls(callers: usize, url: &str, calls: usize) -> Histogram<u64> {
    let spawn_caller = |n: usize| {
        let url = url.to_owned();
        tokio::spawn(async move {
            let client = reqwest::Client::builder()
                .no_proxy()
                .build()
                .expect("HTTP client cannot be built");
            let mut latencies = histogram();
            for _ in 0..n {
                let started = Instant::now();
                let res = client.get(&url).send().await.expect("request failed");
                assert!(res.status().is_success(), "{}", res.status());
                let body = res.bytes().await.expect("response body cut short");
                assert_eq!(body.len(), ANSWER_BYTES);
                let us = u64::try_from(started.elapsed().as_micros()).unwrap_or(u64::MAX);
                latencies.saturating_record(us);
            }
            latencies
        })
    };
    let tasks: Vec<_> = (0..callers)
        .map(|_| spawn_caller(calls / callers))
        .collect();
    let mut all = histogram();
    for t in tasks {
        all.add(t.await.expect("caller task panicked"))
            .expect("histograms differ in their bounds");
    }
    all
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 60_000_000, 3).expect("histogram bounds are not valid")
}

fn runtime(workers: usize) -> tokio::runtime::Runtime {
    let mut b = tokio::runtime::Builder::new_multi_thread();
    b.worker_threads(workers)
        .enable_all()
        .build()
        .expect("tokio runtime cannot be built")
}
