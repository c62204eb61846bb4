//! `briarlug node`

use std::sync::Arc;

use node::{Node, Settings};
use pico_args::Arguments;
use plat::HttpLog;
use snafu::ResultExt;

use crate::util::{self, IoSnafu, Result, SettingsSnafu};

pub(crate) const USAGE: &str = "\
Run the node of a target.

Usage:
    briarlug node --settings FILE

Options:
    --settings FILE  Settings in TOML; see docs/settings.md.

SIGTERM or SIGINT starts a graceful shutdown: the node refuses new requests,
completes those in flight and exits with code 0.
";

struct Args {
    settings: String,
}

fn parse(mut args: Arguments) -> Result<Args> {
    util::reject_unknown_options(&args, &["--settings"])?;
    let settings = util::required_value(&mut args, "--settings")?;
    util::reject_remaining_args(args, &["--settings"])?;
    Ok(Args { settings })
}

pub(crate) fn run(args: Arguments) -> Result<()> {
    let args = parse(args)?;
    let text = util::read_file(&args.settings)?;
    let file = &args.settings;
    let settings = Settings::try_from(text.as_str()).context(SettingsSnafu { file })?;
    settings
        .check_local_address(&text)
        .context(SettingsSnafu { file })?;
    ops::init_logs(settings.log_format);
    util::runtime()?.block_on(serve(settings))
}

async fn serve(settings: Settings) -> Result<()> {
    let log = Arc::new(HttpLog::new(&settings.log_url).map_err(util::unreachable)?);
    let node = Node::start(settings, log).await.map_err(util::failure)?;
    util::shutdown_signal().await.context(IoSnafu {
        what: "signal handler",
    })?;
    node.shutdown().await;
    Ok(())
}
