//! `briarlug help`

use pico_args::Arguments;

use super::{check, demo, fake, node, platform, publish, status};
use crate::util::{self, Result, print_stdout};

pub(crate) const USAGE: &str = "\
Configuration distribution for a service mesh, and the node that acts on it.

Usage:
    briarlug <command> [options]
    briarlug help <command>
    briarlug --version

Commands:
    node      Run the node of a target.
    platform  Run the node of a target on the users' platform.
    publish   Publish a new version of the configuration text.
    check     Check a configuration text or node settings offline.
    status    Show the state of the mesh as one node sees it.
    demo      Run the meshes of two example sites in one process.
    fake      Run a stand-in for the platform's log or for a target.
    help      Show this overview or the usage of a command.

Exit codes:
    0  success
    1  invalid input, rejection, other failure, or a violated guarantee
    2  wrong usage, or a file can't be read
    3  the log or the node can't be reached, or gave no outcome in time
";

pub(crate) fn run(mut args: Arguments) -> Result<()> {
    let name = args.subcommand().ok().flatten();
    util::reject_remaining_args(args, &[])?;
    show(name.as_deref().unwrap_or("help"))
}

/// Prints the usage text of a command.
pub(crate) fn show(name: &str) -> Result<()> {
    print_stdout(match name {
        "check" => check::USAGE,
        "demo" => demo::USAGE,
        "fake" => fake::USAGE,
        "node" => node::USAGE,
        "platform" => platform::USAGE,
        "publish" => publish::USAGE,
        "status" => status::USAGE,
        "help" => USAGE,
        _ => return Err(super::unknown_command(name)),
    })
}
