//! Commands of the command line, one module each.

use pico_args::Arguments;

use crate::util::{self, CliError, Result, closest_match};

pub(crate) mod check;
pub(crate) mod demo;
pub(crate) mod fake;
pub(crate) mod help;
pub(crate) mod node;
pub(crate) mod platform;
pub(crate) mod publish;
pub(crate) mod status;

/// Names of all commands, for suggestions.
const COMMANDS: [&str; 8] = [
    "check", "demo", "fake", "help", "node", "platform", "publish", "status",
];

/// Runs the command `name` with the remaining arguments.
pub(crate) fn dispatch(name: &str, mut args: Arguments) -> Result<()> {
    if args.contains(["-h", "--help"]) {
        return help::show(name);
    }
    match name {
        "check" => check::run(args),
        "demo" => demo::run(args),
        "fake" => fake::run(args),
        "help" => help::run(args),
        "node" => node::run(args),
        "platform" => platform::run(args),
        "publish" => publish::run(args),
        "status" => status::run(args),
        _ => Err(unknown_command(name)),
    }
}

/// Handles a command line without a command: `--version`, or the overview.
pub(crate) fn run_without_command(mut args: Arguments) -> Result<()> {
    let _ = args.contains(["-h", "--help"]);
    let version = args.contains(["-V", "--version"]);
    util::reject_remaining_args(args, &["--help", "--version"])?;
    if version {
        return util::print_stdout(concat!("briarlug ", env!("CARGO_PKG_VERSION"), "\n"));
    }
    util::print_stdout(help::USAGE)
}

fn unknown_command(name: &str) -> CliError {
    let suggestion =
        closest_match(name, &COMMANDS).map_or(String::new(), |n| format!("; did you mean '{n}'?"));
    CliError::Usage {
        reason: format!("unknown command '{name}'{suggestion}"),
    }
}
