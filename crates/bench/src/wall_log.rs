//! Appends and reads of the log with the number of nodes.

use std::time::Duration;

use super::mesh::{Mesh, text};
use crate::figure::{Bound, Figure};

const SIZES: [usize; 3] = [6, 12, 24];
const CHANGES: u64 = 5;
const PERIOD: Duration = Duration::from_secs(10);
const LIMIT: Duration = Duration::from_secs(30);

pub(crate) fn run() -> Vec<Figure> {
    let mut b = tokio::runtime::Builder::new_multi_thread();
    let rt = b.enable_all().build().expect("a runtime");
    SIZES.iter().flat_map(|n| rt.block_on(one(*n))).collect()
}

async fn one(nodes: usize) -> Vec<Figure> {
    let mut mesh = Mesh::new(0.0);
    mesh.publish(0, &text(4, 0)).await;
    for i in 0..nodes {
        mesh.add(&format!("s{}", i % 4)).await;
    }
    mesh.wait_version(1, LIMIT)
        .await
        .expect("all nodes get ready");
    let start_reads = all_reads(&mesh) as f64 / nodes as f64;
    mesh.wait_members(LIMIT)
        .await
        .expect("all nodes know each other");
    let (appends, reads) = (mesh.log.appends(), all_reads(&mesh));
    for change in 1..=CHANGES {
        mesh.publish(change, &text(4, change)).await;
        mesh.wait_version(change + 1, LIMIT)
            .await
            .expect("a version in force");
        tokio::time::sleep(PERIOD / u32::try_from(CHANGES).unwrap_or(1)).await;
    }
    let own_appends = mesh.log.appends() - appends - CHANGES;
    let reads = (all_reads(&mesh) - reads) as f64 / PERIOD.as_secs_f64();
    mesh.stop().await;
    let name = |what: &str| format!("log.n{nodes}.{what}");
    vec![
        Figure::new(
            name("appends_by_nodes"),
            own_appends as f64,
            "calls",
            Bound::AtMost(0.0),
        ),
        Figure::new(name("reads"), reads, "1/s", Bound::None),
        Figure::new(name("reads_at_start"), start_reads, "1/node", Bound::None),
    ]
}

fn all_reads(mesh: &Mesh) -> u64 {
    mesh.log.reads().values().sum()
}
