//! Convergence, control bytes, processor time and memory with the number of nodes.

use std::time::Duration;

use super::mesh::{DOMAINS, Mesh, text};
use super::proc::{cpu_time, resident_bytes};
use crate::figure::{Bound, Figure};

const SERVICES: usize = 20;
/// Changes at the long-term rate of 0.9 a second.
const CHANGES: u64 = 10;
const CHANGE_EVERY: Duration = Duration::from_millis(1_111);
const QUIET: Duration = Duration::from_secs(10);
const CUT: Duration = Duration::from_secs(30);
const LIMIT: Duration = Duration::from_secs(30);
const CONVERGENCE_S: f64 = 2.0;
const BYTES_PER_S: f64 = 6_000.0;

pub(crate) fn run(nodes: usize) -> Vec<Figure> {
    let mut b = tokio::runtime::Builder::new_multi_thread();
    let rt = b.enable_all().build().expect("a runtime");
    let mut figures = rt.block_on(lossy(nodes, 0.0));
    figures.extend(rt.block_on(lossy(nodes, 0.05)));
    figures.extend(rt.block_on(cut(nodes)));
    figures
}

async fn start(nodes: usize, loss: f64) -> (Mesh, f64) {
    let before = resident_bytes();
    let mut mesh = Mesh::new(loss);
    mesh.publish(0, &text(SERVICES, 0)).await;
    for i in 0..nodes {
        mesh.add(&format!("s{}", i % SERVICES)).await;
    }
    mesh.wait_version(1, LIMIT)
        .await
        .expect("all nodes get ready");
    mesh.wait_members(LIMIT)
        .await
        .expect("all nodes know each other");
    let memory = resident_bytes().saturating_sub(before) as f64 / nodes as f64;
    (mesh, memory)
}

async fn lossy(nodes: usize, loss: f64) -> Vec<Figure> {
    let (mesh, memory) = start(nodes, loss).await;
    // News of the starts dies down first.
    tokio::time::sleep(QUIET).await;
    let (bytes, cpu) = (mesh.control_bytes(), cpu_time());
    tokio::time::sleep(QUIET).await;
    let quiet_rate = rate(&mesh, bytes, QUIET);
    let quiet_cpu = share(cpu, QUIET, nodes);

    let (bytes, cpu) = (mesh.control_bytes(), cpu_time());
    let mut slowest = Duration::ZERO;
    for change in 1..=CHANGES {
        mesh.publish(change, &text(SERVICES, change)).await;
        let took = mesh.wait_version(change + 1, LIMIT).await.unwrap_or(LIMIT);
        slowest = slowest.max(took);
        tokio::time::sleep(CHANGE_EVERY.saturating_sub(took)).await;
    }
    let busy = CHANGE_EVERY * u32::try_from(CHANGES).unwrap_or(1);
    let busy_rate = rate(&mesh, bytes, busy);
    let busy_cpu = share(cpu, busy, nodes);
    let per_change = (busy_rate - quiet_rate) * busy.as_secs_f64() / CHANGES as f64;
    mesh.stop().await;

    let name = |what: &str| format!("spread.n{nodes}.loss{:.0}.{what}", loss * 100.0);
    vec![
        Figure::new(
            name("slowest"),
            slowest.as_secs_f64(),
            "s",
            Bound::AtMost(CONVERGENCE_S),
        ),
        Figure::new(
            name("bytes"),
            busy_rate,
            "B/s/node",
            Bound::AtMost(BYTES_PER_S),
        ),
        Figure::new(
            name("bytes_quiet"),
            quiet_rate,
            "B/s/node",
            Bound::AtMost(BYTES_PER_S),
        ),
        Figure::new(name("bytes_per_change"), per_change, "B/node", Bound::None),
        Figure::new(name("cpu_quiet"), quiet_cpu, "% core", Bound::AtMost(1.6)),
        Figure::new(name("cpu"), busy_cpu, "% core", Bound::AtMost(1.6)),
        Figure::new(name("memory"), memory / 1e6, "MB/node", Bound::AtMost(32.0)),
    ]
}

/// Cuts a failure domain off while a version is published.
async fn cut(nodes: usize) -> Vec<Figure> {
    let (mesh, _) = start(nodes, 0.0).await;
    mesh.cut.set(true);
    let half = CUT / 2;
    tokio::time::sleep(half).await;
    mesh.publish(1, &text(SERVICES, 1)).await;
    tokio::time::sleep(half).await;
    let has = |version| {
        mesh.nodes
            .iter()
            .filter(|n| n.version().0 == version)
            .count()
    };
    let (inside, outside) = (nodes.div_ceil(DOMAINS), nodes - nodes.div_ceil(DOMAINS));
    let held = has(1) == inside && has(2) == outside;
    let serving = mesh.nodes.iter().filter(|n| n.is_ready()).count();
    let bytes = mesh.control_bytes();
    mesh.cut.set(false);
    let took = mesh.wait_version(2, LIMIT).await.unwrap_or(LIMIT);
    let spent = (mesh.control_bytes() - bytes) as f64 / nodes as f64;
    mesh.stop().await;

    let name = |what: &str| format!("spread.n{nodes}.cut.{what}");
    vec![
        Figure::new(
            name("separated"),
            f64::from(u8::from(held)),
            "0 or 1",
            Bound::AtLeast(1.0),
        ),
        Figure::new(
            name("serving"),
            serving as f64,
            "nodes",
            Bound::AtLeast(nodes as f64),
        ),
        Figure::new(
            name("catch_up"),
            took.as_secs_f64(),
            "s",
            Bound::AtMost(CONVERGENCE_S),
        ),
        Figure::new(name("bytes_on_return"), spent, "B/node", Bound::None),
    ]
}

fn rate(mesh: &Mesh, before: u64, period: Duration) -> f64 {
    let sent = mesh.control_bytes() - before;
    sent as f64 / mesh.nodes.len() as f64 / period.as_secs_f64()
}

fn share(before: Duration, period: Duration, nodes: usize) -> f64 {
    let used = cpu_time() - before;
    100.0 * used.as_secs_f64() / period.as_secs_f64() / nodes as f64
}
