//! `briarlug check`

use config::Snapshot;
use node::Settings;
use pico_args::Arguments;
use snafu::ResultExt;

use crate::util::{self, Result, SettingsSnafu, print_stdout};

pub(crate) const USAGE: &str = "\
Check a configuration text or node settings offline.

Usage:
    briarlug check FILE [OTHER]
    briarlug check --settings FILE

Prints the services and routes of the configuration text FILE, or its first
fault with code, line and column. With OTHER, also the diff from OTHER to FILE.

Options:
    --settings FILE  Check the settings of a node instead.
";

enum Args {
    Settings(String),
    Text { file: String, other: Option<String> },
}

fn parse(mut args: Arguments) -> Result<Args> {
    util::reject_unknown_options(&args, &["--settings"])?;
    let settings: Option<String> = util::optional_value(&mut args, "--settings")?;
    let args = match settings {
        Some(file) => {
            util::reject_remaining_args(args, &["--settings"])?;
            return Ok(Args::Settings(file));
        }
        None => args,
    };
    let mut positional_args = util::positional_args(args, &["--settings"], 2)?.into_iter();
    let file = positional_args
        .next()
        .ok_or_else(|| util::usage("a FILE is needed"))?;
    Ok(Args::Text {
        file,
        other: positional_args.next(),
    })
}

pub(crate) fn run(args: Arguments) -> Result<()> {
    match parse(args)? {
        Args::Settings(file) => check_settings(&file),
        Args::Text { file, other } => check_text(&file, other.as_deref()),
    }
}

fn check_settings(file: &str) -> Result<()> {
    let text = util::read_file(file)?;
    let s = Settings::try_from(text.as_str()).context(SettingsSnafu { file })?;
    print_stdout(&format!(
        "{file}: ok, instance {} in {} of {}\n",
        s.name, s.domain, s.mesh
    ))
}

fn check_text(file: &str, other: Option<&str>) -> Result<()> {
    let text = util::read_file(file)?;
    let snapshot = util::compile(file, &text)?;
    let mut out = summary(file, &snapshot);
    if let Some(other) = other {
        out.push_str(&config::diff(&util::read_file(other)?, &text));
    }
    print_stdout(&out)
}

fn summary(file: &str, s: &Snapshot) -> String {
    let (services, routes) = (s.services().count(), s.routes().len());
    let mut out = format!(
        "{file}: ok, mesh {}, {services} services, {routes} routes\n",
        s.mesh()
    );
    for route in s.routes() {
        // Both types ignore the width in a format string, so they are converted first.
        let (methods, service) = (route.methods.to_string(), route.service.to_string());
        let (repeat, class) = (keyword(route.repeat), keyword(route.class));
        out.push_str(&format!(
            "  {:<24} {methods:<12} {service:<16} repeat={repeat} class={class} timeout_ms={} \
             hedge={}\n",
            route.prefix,
            route.timeout.as_millis(),
            route.hedge
        ));
    }
    out
}

/// Returns the keyword that a configuration text uses for a value of `Repeat` or `Class`.
fn keyword(value: impl std::fmt::Debug) -> String {
    format!("{value:?}").to_lowercase()
}
