//! `briarlug demo`

use std::time::Duration;

use pico_args::Arguments;

use crate::demo::{Report, site};
use crate::util::{self, CliError, Result, print_out};

pub(crate) const USAGE: &str = "\
Run a whole mesh in one process and serve requests.

Starts log stand-ins, and the nodes and targets of both example sites: 12 and
10 targets in three failure domains each, with their slots. Publishes a
version, serves requests, publishes a second version under load, drains a
target, and prints a table. Exits with code 1 if a promise was broken.

Usage:
    briarlug demo [--requests N] [--seed N]

Options:
    --requests N  Send N requests to each site and stop. Without it, the sites
                  serve until interrupted, and their addresses are printed.
    --seed N      Seed of the requests [default: 1].
";

struct Args {
    requests: Option<usize>,
    seed: u64,
}

fn parse(mut args: Arguments) -> Result<Args> {
    util::check_options(&args, &["--requests", "--seed"])?;
    let requests = util::optional(&mut args, "--requests")?;
    let seed = util::optional(&mut args, "--seed")?.unwrap_or(1);
    util::finish(args, &["--requests", "--seed"])?;
    Ok(Args { requests, seed })
}

pub(crate) fn run(args: Arguments) -> Result<()> {
    let args = parse(args)?;
    // The demo prints a table; the nodes' lines are of interest only when asked for.
    if std::env::var_os("RUST_LOG").is_some() {
        ops::init_logs(ops::LogFormat::Text);
    }
    util::runtime()?.block_on(async {
        match args.requests {
            Some(n) => trial(n, args.seed).await,
            None => serve(args.seed).await,
        }
    })
}

async fn trial(requests: usize, seed: u64) -> Result<()> {
    let mut broken = 0;
    print_out(&Report::header())?;
    for site in site::all() {
        let report = crate::demo::run(&site, requests, seed).await?;
        broken += report.broken.len();
        print_out(&report.to_string())?;
    }
    if broken > 0 {
        return Err(CliError::Failed {
            reason: format!("{broken} promises broken"),
        });
    }
    Ok(())
}

async fn serve(seed: u64) -> Result<()> {
    let mut meshes = Vec::new();
    for site in site::all() {
        let mesh = crate::demo::Mesh::start(&site, seed).await?;
        mesh.publish(site.text).await?;
        mesh.wait_version(1, Duration::from_secs(9)).await?;
        print_out(&mesh.listing())?;
        meshes.push(mesh);
    }
    util::shutdown_signal().await.map_err(util::failed)?;
    for mesh in meshes {
        mesh.stop().await;
    }
    Ok(())
}
