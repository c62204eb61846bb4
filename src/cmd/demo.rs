//! `briarlug demo`

use std::time::Duration;

use pico_args::Arguments;

use crate::demo::{Report, site};
use crate::util::{self, CliError, Result, print_stdout};

pub(crate) const USAGE: &str = "\
Run the meshes of two example sites in one process and serve requests.

Starts a log stand-in for each site, and the nodes and targets of the sites:
12 and 10 targets in three failure domains each. With --requests, publishes a
version, publishes a second version under load, drains a target, and prints a
table. Exits with code 1 if the table shows a violated guarantee.

Usage:
    briarlug demo [--requests N] [--seed N]

Options:
    --requests N  Send N requests to each site and stop. Without it, the sites
                  serve until interrupted, and their addresses are printed.
    --seed N      Random seed of the nodes and the requests [default: 1].
";

struct Args {
    requests: Option<usize>,
    seed: u64,
}

fn parse(mut args: Arguments) -> Result<Args> {
    util::reject_unknown_options(&args, &["--requests", "--seed"])?;
    let requests = util::optional_value(&mut args, "--requests")?;
    let seed = util::optional_value(&mut args, "--seed")?.unwrap_or(1);
    util::reject_remaining_args(args, &["--requests", "--seed"])?;
    Ok(Args { requests, seed })
}

pub(crate) fn run(args: Arguments) -> Result<()> {
    let args = parse(args)?;
    // Log lines of the nodes would interleave with the table, so they are written only if RUST_LOG
    // is set.
    if std::env::var_os("RUST_LOG").is_some() {
        ops::init_logs(ops::LogFormat::Text);
    }
    util::runtime()?.block_on(async {
        match args.requests {
            Some(n) => run_requests(n, args.seed).await,
            None => serve_until_signal(args.seed).await,
        }
    })
}

/// Runs the demo on each site in turn and fails if a guarantee was violated.
async fn run_requests(requests: usize, seed: u64) -> Result<()> {
    let mut violations = 0;
    print_stdout(&Report::header())?;
    for site in site::all() {
        let report = crate::demo::run(&site, requests, seed).await?;
        violations += report.violations.len();
        print_stdout(&report.to_string())?;
    }
    if violations > 0 {
        return Err(CliError::Failed {
            reason: format!("violations of guarantees: {violations}"),
        });
    }
    Ok(())
}

/// Starts all sites and serves until SIGTERM or SIGINT.
async fn serve_until_signal(seed: u64) -> Result<()> {
    let mut meshes = Vec::new();
    for site in site::all() {
        let mesh = crate::demo::Mesh::start(&site, seed).await?;
        mesh.publish(site.config_text).await?;
        mesh.wait_for_version(1, Duration::from_secs(9)).await?;
        print_stdout(&mesh.address_listing())?;
        meshes.push(mesh);
    }
    util::shutdown_signal().await.map_err(util::failure)?;
    for mesh in meshes {
        mesh.stop().await;
    }
    Ok(())
}
