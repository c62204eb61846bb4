//! Appends to the log and reads from it, by the number of nodes.

use std::time::Duration;

use super::mesh::{Mesh, config_text};
use crate::figure::{Bound, Figure};

const NODE_COUNTS: [usize; 3] = [6, 12, 24];
/// Versions published within `MEASURED_PERIOD`.
const PUBLICATIONS: u64 = 5;
/// Least time during which calls to the log are counted.
const MEASURED_PERIOD: Duration = Duration::from_secs(10);
/// Longest wait for all nodes to become ready, discover each other or apply a version.
const WAIT_LIMIT: Duration = Duration::from_secs(30);

pub(crate) fn run() -> Vec<Figure> {
    let mut b = tokio::runtime::Builder::new_multi_thread();
    let rt = b
        .enable_all()
        .build()
        .expect("tokio runtime cannot be built");
    NODE_COUNTS
        .iter()
        .flat_map(|n| rt.block_on(measure(*n)))
        .collect()
}

async fn measure(nodes: usize) -> Vec<Figure> {
    let mut mesh = Mesh::new(0.0);
    mesh.publish(0, &config_text(4, 0)).await;
    for i in 0..nodes {
        mesh.start_node(&format!("s{}", i % 4)).await;
    }
    mesh.wait_for_version(1, WAIT_LIMIT)
        .await
        .expect("not all nodes are ready with version 1 within the limit");
    let reads_at_start = total_reads(&mesh) as f64 / nodes as f64;
    mesh.wait_for_members(WAIT_LIMIT)
        .await
        .expect("not all nodes have discovered each other within the limit");
    let (appends, reads) = (mesh.log.append_count(), total_reads(&mesh));
    for change in 1..=PUBLICATIONS {
        mesh.publish(change, &config_text(4, change)).await;
        mesh.wait_for_version(change + 1, WAIT_LIMIT)
            .await
            .expect("not all nodes apply the new version within the limit");
        tokio::time::sleep(MEASURED_PERIOD / u32::try_from(PUBLICATIONS).unwrap_or(1)).await;
    }
    let node_appends = mesh.log.append_count() - appends - PUBLICATIONS;
    let reads = (total_reads(&mesh) - reads) as f64 / MEASURED_PERIOD.as_secs_f64();
    mesh.stop().await;
    let name = |what: &str| format!("log.n{nodes}.{what}");
    vec![
        Figure::new(
            name("appends_by_nodes"),
            node_appends as f64,
            "calls",
            Bound::AtMost(0.0),
        ),
        Figure::new(name("reads"), reads, "1/s", Bound::None),
        Figure::new(
            name("reads_at_start"),
            reads_at_start,
            "1/node",
            Bound::None,
        ),
    ]
}

fn total_reads(mesh: &Mesh) -> u64 {
    mesh.log.read_counts().values().sum()
}
