//! `briarlug platform`

use pico_args::Arguments;
use platform::SETTINGS_PATH_VARIABLE;
use snafu::ResultExt;

use crate::util::{self, CliError, IoSnafu, Result};

pub(crate) const USAGE: &str = "\
Run the node of a target on the users' platform.

Usage:
    briarlug platform [--settings FILE]

Options:
    --settings FILE  Settings as written by the platform [default: the file that
                     the platform names in the environment].

SIGTERM or SIGINT starts a graceful shutdown; SIGHUP reloads the settings.
Logs go to standard output. See docs/platform.md and docs/OPERATIONS.md.
";

pub(crate) fn run(mut args: Arguments) -> Result<()> {
    util::reject_unknown_options(&args, &["--settings"])?;
    let settings: Option<String> =
        args.opt_value_from_str("--settings")
            .map_err(|e| CliError::Usage {
                reason: e.to_string(),
            })?;
    util::reject_remaining_args(args, &["--settings"])?;
    let path = match settings.or_else(|| std::env::var(SETTINGS_PATH_VARIABLE).ok()) {
        Some(path) => path,
        None => {
            return Err(CliError::Usage {
                reason: format!("neither --settings nor {SETTINGS_PATH_VARIABLE} is set"),
            });
        }
    };
    // Dropped last, so that the log lines of the shutdown are written.
    let _logs = ops::init_stdout_logs().context(IoSnafu { what: "log writer" })?;
    runtime()?
        .block_on(platform::run(&path))
        .map_err(util::failure)
}

/// Returns a single-threaded runtime: a node has a fraction of one core, and further threads would
/// only add the cost of waking them.
fn runtime() -> Result<tokio::runtime::Runtime> {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .context(IoSnafu { what: "runtime" })
}
