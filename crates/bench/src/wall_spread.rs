//! Convergence, control bytes, processor time and memory, by the number of nodes.

use std::time::Duration;

use super::mesh::{DOMAINS, Mesh, config_text};
use super::proc::{cpu_time, resident_bytes};
use crate::figure::{Bound, Figure};

/// Services in the configuration text.
const SERVICE_COUNT: usize = 20;
/// Versions published during the measurement, at the long-term rate of 0.9 a second.
const PUBLICATIONS: u64 = 10;
const PUBLISH_INTERVAL: Duration = Duration::from_millis(1_111);
/// Time without publications: first for the gossip of the starts to end, then for a measurement.
const IDLE_PERIOD: Duration = Duration::from_secs(10);
/// Length of the network partition; a version is published in its middle.
const PARTITION_TIME: Duration = Duration::from_secs(30);
/// Longest wait for all nodes to become ready, discover each other or apply a version.
const WAIT_LIMIT: Duration = Duration::from_secs(30);
/// Bound of the time until all nodes apply a version.
const MAX_CONVERGENCE_S: f64 = 2.0;
/// Bound of the control bytes that a node sends.
const MAX_BYTES_PER_S: f64 = 6_000.0;

pub(crate) fn run(nodes: usize) -> Vec<Figure> {
    let mut b = tokio::runtime::Builder::new_multi_thread();
    let rt = b
        .enable_all()
        .build()
        .expect("tokio runtime cannot be built");
    let mut figures = rt.block_on(measure_publications(nodes, 0.0));
    figures.extend(rt.block_on(measure_publications(nodes, 0.05)));
    figures.extend(rt.block_on(measure_partition(nodes)));
    figures
}

/// Starts a mesh and waits until its nodes are ready and know each other. Returns it with the
/// memory that each node took, in bytes.
async fn start_mesh(nodes: usize, loss: f64) -> (Mesh, f64) {
    let before = resident_bytes();
    let mut mesh = Mesh::new(loss);
    mesh.publish(0, &config_text(SERVICE_COUNT, 0)).await;
    for i in 0..nodes {
        mesh.start_node(&format!("s{}", i % SERVICE_COUNT)).await;
    }
    mesh.wait_for_version(1, WAIT_LIMIT)
        .await
        .expect("not all nodes are ready with version 1 within the limit");
    mesh.wait_for_members(WAIT_LIMIT)
        .await
        .expect("not all nodes have discovered each other within the limit");
    let memory = resident_bytes().saturating_sub(before) as f64 / nodes as f64;
    (mesh, memory)
}

/// Measures an idle mesh, then publications, while a share `loss` of the datagrams is lost.
async fn measure_publications(nodes: usize, loss: f64) -> Vec<Figure> {
    let (mesh, memory) = start_mesh(nodes, loss).await;
    // The gossip about the starts has to end first.
    tokio::time::sleep(IDLE_PERIOD).await;
    let (bytes, cpu) = (mesh.control_bytes_sent(), cpu_time());
    tokio::time::sleep(IDLE_PERIOD).await;
    let idle_rate = control_bytes_rate(&mesh, bytes, IDLE_PERIOD);
    let idle_cpu = cpu_percent(cpu, IDLE_PERIOD, nodes);

    let (bytes, cpu) = (mesh.control_bytes_sent(), cpu_time());
    let mut slowest = Duration::ZERO;
    for change in 1..=PUBLICATIONS {
        mesh.publish(change, &config_text(SERVICE_COUNT, change))
            .await;
        let elapsed = mesh
            .wait_for_version(change + 1, WAIT_LIMIT)
            .await
            .unwrap_or(WAIT_LIMIT);
        slowest = slowest.max(elapsed);
        tokio::time::sleep(PUBLISH_INTERVAL.saturating_sub(elapsed)).await;
    }
    let publish_period = PUBLISH_INTERVAL * u32::try_from(PUBLICATIONS).unwrap_or(1);
    let publish_rate = control_bytes_rate(&mesh, bytes, publish_period);
    let publish_cpu = cpu_percent(cpu, publish_period, nodes);
    let bytes_per_change =
        (publish_rate - idle_rate) * publish_period.as_secs_f64() / PUBLICATIONS as f64;
    mesh.stop().await;

    let name = |what: &str| format!("spread.n{nodes}.loss{:.0}.{what}", loss * 100.0);
    vec![
        Figure::new(
            name("slowest"),
            slowest.as_secs_f64(),
            "s",
            Bound::AtMost(MAX_CONVERGENCE_S),
        ),
        Figure::new(
            name("bytes"),
            publish_rate,
            "B/s/node",
            Bound::AtMost(MAX_BYTES_PER_S),
        ),
        Figure::new(
            name("bytes_quiet"),
            idle_rate,
            "B/s/node",
            Bound::AtMost(MAX_BYTES_PER_S),
        ),
        Figure::new(
            name("bytes_per_change"),
            bytes_per_change,
            "B/node",
            Bound::None,
        ),
        Figure::new(name("cpu_quiet"), idle_cpu, "% core", Bound::AtMost(1.6)),
        Figure::new(name("cpu"), publish_cpu, "% core", Bound::AtMost(1.6)),
        Figure::new(name("memory"), memory / 1e6, "MB/node", Bound::AtMost(32.0)),
    ]
}

/// Publishes a version while one failure domain is separated by a network partition.
async fn measure_partition(nodes: usize) -> Vec<Figure> {
    let (mesh, _) = start_mesh(nodes, 0.0).await;
    mesh.partition.set(true);
    let half_time = PARTITION_TIME / 2;
    tokio::time::sleep(half_time).await;
    mesh.publish(1, &config_text(SERVICE_COUNT, 1)).await;
    tokio::time::sleep(half_time).await;
    let count_at = |version| {
        mesh.nodes
            .iter()
            .filter(|n| n.version().0 == version)
            .count()
    };
    let (inside, outside) = (nodes.div_ceil(DOMAINS), nodes - nodes.div_ceil(DOMAINS));
    let is_separated = count_at(1) == inside && count_at(2) == outside;
    let serving = mesh.nodes.iter().filter(|n| n.is_ready()).count();
    let bytes = mesh.control_bytes_sent();
    mesh.partition.set(false);
    let elapsed = mesh
        .wait_for_version(2, WAIT_LIMIT)
        .await
        .unwrap_or(WAIT_LIMIT);
    let catch_up_bytes = (mesh.control_bytes_sent() - bytes) as f64 / nodes as f64;
    mesh.stop().await;

    let name = |what: &str| format!("spread.n{nodes}.cut.{what}");
    vec![
        Figure::new(
            name("separated"),
            f64::from(u8::from(is_separated)),
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
            elapsed.as_secs_f64(),
            "s",
            Bound::AtMost(MAX_CONVERGENCE_S),
        ),
        Figure::new(
            name("bytes_on_return"),
            catch_up_bytes,
            "B/node",
            Bound::None,
        ),
    ]
}

/// Returns the control bytes per second and node since the count was `before`.
fn control_bytes_rate(mesh: &Mesh, before: u64, period: Duration) -> f64 {
    let sent = mesh.control_bytes_sent() - before;
    sent as f64 / mesh.nodes.len() as f64 / period.as_secs_f64()
}

/// Returns the processor time per node since it was `before`, in percent of one core.
fn cpu_percent(before: Duration, period: Duration, nodes: usize) -> f64 {
    let used = cpu_time() - before;
    100.0 * used.as_secs_f64() / period.as_secs_f64() / nodes as f64
}
