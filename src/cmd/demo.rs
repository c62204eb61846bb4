//! `briarlug demo`

use pico_args::Arguments;

use crate::util::Result;

pub(crate) const USAGE: &str = "\
Run a whole mesh in one process and serve requests.
";

pub(crate) fn run(_args: Arguments) -> Result<()> {
    Ok(())
}
