//! Command line of briarlug.

mod cmd;
mod demo;
mod util;

use std::process::ExitCode;

use util::CliError;

fn main() -> ExitCode {
    let mut args = pico_args::Arguments::from_env();
    let result = match args.subcommand() {
        Ok(Some(name)) => cmd::dispatch(&name, args),
        Ok(None) => {
            print!("{}", cmd::help::USAGE);
            return ExitCode::SUCCESS;
        }
        Err(e) => Err(CliError::Usage {
            reason: e.to_string(),
        }),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("briarlug: {e}");
            ExitCode::from(e.exit_code())
        }
    }
}
