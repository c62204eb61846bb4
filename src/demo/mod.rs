//! The mesh of the demo: both example sites inside one process.

mod load;
mod mesh;
mod report;
pub(crate) mod site;

use std::time::{Duration, Instant};

pub(crate) use mesh::Mesh;
pub(crate) use report::Report;

use crate::util::Result;
use site::Site;

const READY_WITHIN: Duration = Duration::from_secs(9);
/// A draining target gets no new work after this.
const DRAIN_NOTICE: Duration = Duration::from_secs(3);

/// Serves `requests` on a site, with a publication and a drain under way.
pub(crate) async fn run(site: &Site, requests: usize, seed: u64) -> Result<Report> {
    let mesh = Mesh::start(site, seed).await?;
    mesh.publish(site.text).await?;
    let first = mesh.wait_version(1, READY_WITHIN).await?;
    mesh.wait_targets(READY_WITHIN).await?;

    let before = mesh.control_bytes();
    let began = Instant::now();
    let half = requests / 2;
    let load = load::start(&mesh, site, half, seed);
    mesh.publish(&site.second_text()).await?;
    let second = mesh.wait_version(2, READY_WITHIN).await?;
    let mut tally = load.await.map_err(crate::util::failed)?;

    let drained = mesh.drain_one().await?;
    tokio::time::sleep(DRAIN_NOTICE).await;
    let runs = mesh.started(drained);
    tally += load::start(&mesh, site, requests - half, seed.wrapping_add(1))
        .await
        .map_err(crate::util::failed)?;
    let after_drain = mesh.started(drained) - runs;

    let mut report = Report::new(site.name, tally);
    report.convergence = [first, second];
    report.control_rate = mesh.rate(before, began.elapsed());
    report.versions = mesh.versions();
    report.check(after_drain, &mesh.runs_by_key());
    mesh.stop().await;
    Ok(report)
}
