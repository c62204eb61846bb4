//! `briarlug fake`

use std::net::SocketAddr;
use std::time::Duration;

use fakes::{Announcer, FakeLog, LogServer, TargetCfg, TargetServer};
use pico_args::Arguments;
use snafu::ResultExt;

use crate::util::{self, IoSnafu, Result, print_stdout};

pub(crate) const USAGE: &str = "\
Run a stand-in for the platform's log or for a target, for experiments and
tests.

Usage:
    briarlug fake log [--listen ADDR]
    briarlug fake target --service NAME --node URL [--listen ADDR] [--slots N]

Options:
    --listen ADDR   Address to listen on [default: 127.0.0.1:0].
    --service NAME  Service of the target.
    --node URL      Target listener of the target's node.
    --slots N       Number of requests that run concurrently [default: 6].
";

const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(1);

enum Args {
    Log {
        listen: SocketAddr,
    },
    Target {
        listen: SocketAddr,
        service: String,
        node: String,
        slots: usize,
    },
}

fn parse(mut args: Arguments) -> Result<Args> {
    let kind = args.subcommand().ok().flatten();
    util::reject_unknown_options(&args, &["--listen", "--service", "--node", "--slots"])?;
    let listen: Option<SocketAddr> = util::optional_value(&mut args, "--listen")?;
    let listen = listen.unwrap_or_else(|| ([127, 0, 0, 1], 0).into());
    match kind.as_deref() {
        Some("log") => {
            util::reject_remaining_args(args, &["--listen"])?;
            Ok(Args::Log { listen })
        }
        Some("target") => {
            let service = util::required_value(&mut args, "--service")?;
            let node = util::required_value(&mut args, "--node")?;
            let slots = util::optional_value(&mut args, "--slots")?.unwrap_or(6);
            util::reject_remaining_args(args, &["--listen", "--service", "--node", "--slots"])?;
            Ok(Args::Target {
                listen,
                service,
                node,
                slots,
            })
        }
        _ => Err(util::usage("'log' or 'target' is needed after 'fake'")),
    }
}

pub(crate) fn run(args: Arguments) -> Result<()> {
    let args = parse(args)?;
    ops::init_logs(ops::LogFormat::Text);
    util::runtime()?.block_on(async {
        match args {
            Args::Log { listen } => run_log(listen).await,
            Args::Target {
                listen,
                service,
                node,
                slots,
            } => run_target(listen, &service, &node, slots).await,
        }
    })
}

async fn run_log(listen: SocketAddr) -> Result<()> {
    let server = LogServer::start(listen, FakeLog::new())
        .await
        .context(IoSnafu {
            what: "log stand-in",
        })?;
    print_stdout(&format!("listening {}\n", server.addr()))?;
    util::shutdown_signal().await.context(IoSnafu {
        what: "signal handler",
    })?;
    server.stop().await;
    Ok(())
}

async fn run_target(listen: SocketAddr, service: &str, node: &str, slots: usize) -> Result<()> {
    let cfg = TargetCfg::new(service, slots);
    let server = TargetServer::start(listen, cfg).await.context(IoSnafu {
        what: "target stand-in",
    })?;
    print_stdout(&format!("listening {}\n", server.addr()))?;
    let announcer = Announcer::start(node, service, server.addr(), ANNOUNCE_INTERVAL);
    let announcer = announcer.map_err(util::failure)?;
    tokio::select! {
        () = server.wait_until_down() => {}
        res = util::shutdown_signal() => res.context(IoSnafu { what: "signal handler" })?,
    }
    announcer.stop().await;
    server.stop().await;
    Ok(())
}
