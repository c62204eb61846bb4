//! Cases with real sockets on loopback. Their figures depend on the machine, so their bounds never
//! fail a run.

#[path = "wall_latency.rs"]
mod latency;
#[path = "wall_log.rs"]
mod log;
#[path = "wall_mesh.rs"]
mod mesh;
#[path = "wall_proc.rs"]
mod proc;
#[path = "wall_spread.rs"]
mod spread;

use crate::figure::Figure;

/// Runs all wall-clock cases; the convergence case runs once for each number of nodes in `nodes`.
pub(crate) fn run(nodes: &[usize]) -> Vec<Figure> {
    let mut figures = latency::run();
    figures.extend(log::run());
    for count in nodes {
        figures.extend(spread::run(*count));
    }
    figures
}
