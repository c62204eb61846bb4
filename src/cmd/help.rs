//! `briarlug help`

use pico_args::Arguments;

use super::{check, demo, fake, node, platform, publish, status};
use crate::util::{self, Result, print_out};

pub(crate) const USAGE: &str = "\
Configuration distribution for a service mesh, and the node that acts on it.

Usage:
    briarlug <command> [options]
    briarlug help <command>
    briarlug --version

Commands:
    node      Run a node beside a target.
    platform  Run a node beside a target on the users' platform.
    publish   Publish a new version of the configuration text.
    check     Check a text or settings offline.
    status    Show what a node knows of the mesh.
    demo      Run a whole mesh in one process and serve requests.
    fake      Run a stand-in for the platform's log or for a target.
    help      Show this text or that of a command.

Exit codes:
    0  done
    1  refused, or a promise was broken
    2  wrong usage
    3  the log or the node can't be reached
";

pub(crate) fn run(mut args: Arguments) -> Result<()> {
    let name = args.subcommand().ok().flatten();
    util::finish(args, &[])?;
    show(name.as_deref().unwrap_or("help"))
}

/// Prints the usage text of a command.
pub(crate) fn show(name: &str) -> Result<()> {
    print_out(match name {
        "check" => check::USAGE,
        "demo" => demo::USAGE,
        "fake" => fake::USAGE,
        "node" => node::USAGE,
        "platform" => platform::USAGE,
        "publish" => publish::USAGE,
        "status" => status::USAGE,
        "help" => USAGE,
        _ => return Err(super::unknown(name)),
    })
}
