//! The demo: runs the example sites in one process and checks their guarantees.

mod load;
mod mesh;
mod report;
pub(crate) mod site;

use std::time::{Duration, Instant};

pub(crate) use mesh::Mesh;
pub(crate) use report::Report;

use crate::util::Result;
use site::Site;

/// Time-out for a version to be in force, or all targets to be known, on all nodes.
const READY_TIMEOUT: Duration = Duration::from_secs(9);
/// Time after which no node routes new requests to a draining target.
const DRAIN_PROPAGATION: Duration = Duration::from_secs(3);

/// Sends `requests` to a site: the first half during a publication, the second after a target has
/// been drained.
pub(crate) async fn run(site: &Site, requests: usize, seed: u64) -> Result<Report> {
    let mesh = Mesh::start(site, seed).await?;
    mesh.publish(site.config_text).await?;
    let first_convergence = mesh.wait_for_version(1, READY_TIMEOUT).await?;
    mesh.wait_for_targets(READY_TIMEOUT).await?;

    let control_bytes_sent_before = mesh.control_bytes_sent();
    let load_started_at = Instant::now();
    let half = requests / 2;
    let load = load::start_callers(&mesh, site, half, seed);
    mesh.publish(&site.second_config_text()).await?;
    let second_convergence = mesh.wait_for_version(2, READY_TIMEOUT).await?;
    let mut tally = load.await.map_err(crate::util::failure)?;

    let drained = mesh.drain_first().await?;
    tokio::time::sleep(DRAIN_PROPAGATION).await;
    let started_before = mesh.started_requests(drained);
    tally += load::start_callers(&mesh, site, requests - half, seed.wrapping_add(1))
        .await
        .map_err(crate::util::failure)?;
    let after_drain = mesh.started_requests(drained) - started_before;

    let mut report = Report::new(site.name, tally);
    report.convergence = [first_convergence, second_convergence];
    report.control_rate = mesh.control_rate(control_bytes_sent_before, load_started_at.elapsed());
    report.versions = mesh.versions();
    report.check_guarantees(after_drain, &mesh.runs_by_key());
    mesh.stop().await;
    Ok(report)
}
