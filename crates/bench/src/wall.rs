//! Cases with real sockets on loopback. They depend on the machine, so they never fail a run.

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

/// Runs all wall-clock cases; `nodes` are the sizes of the convergence cases.
pub(crate) fn run(nodes: &[usize]) -> Vec<Figure> {
    let mut figures = latency::run();
    figures.extend(log::run());
    for n in nodes {
        figures.extend(spread::run(*n));
    }
    figures
}
