//! Command line of briarlug.

mod cmd;
mod demo;
mod util;

use std::io::Write;
use std::process::ExitCode;

use util::CliError;

fn main() -> ExitCode {
    let mut args = pico_args::Arguments::from_env();
    let result = match args.subcommand() {
        Ok(Some(name)) => cmd::dispatch(&name, args),
        Ok(None) => cmd::run_without_command(args),
        Err(e) => Err(CliError::Usage {
            reason: e.to_string(),
        }),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            // Standard error may be closed, and `eprintln!` would panic then.
            let _ = writeln!(std::io::stderr(), "briarlug: {e}");
            ExitCode::from(e.exit_code())
        }
    }
}
