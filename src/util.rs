//! Helpers shared by the commands.

use std::ffi::OsString;
use std::fmt::Display;
use std::io::Write;
use std::str::FromStr;
use std::time::Duration;

use config::{Rejection, Snapshot};
use node::SettingsError;
use pico_args::Arguments;
use reqwest::Url;
use serde::Deserialize;
use snafu::{ResultExt, Snafu};
use wire::{Code, Version};

/// Time-out of a request to an operator listener or an entry node.
const HTTP_TIMEOUT: Duration = Duration::from_secs(3);
/// Minimum Jaro-Winkler similarity at which a known word is suggested for an unknown one.
const MIN_SIMILARITY: f64 = 0.7;

/// Failure of a command, printed after `briarlug: `.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub(crate) enum CliError {
    #[snafu(display("{reason}; see 'briarlug help'"))]
    Usage { reason: String },
    #[snafu(display("cannot read {file}: {source}"))]
    ReadFile {
        file: String,
        source: std::io::Error,
    },
    #[snafu(display("{what}: I/O error: {source}"))]
    Io {
        /// Part of the process that failed.
        what: &'static str,
        source: std::io::Error,
    },
    /// The configuration text doesn't compile.
    #[snafu(display("{file}: {source}"))]
    InvalidConfig { file: String, source: Rejection },
    #[snafu(display("{file}: {source}"))]
    Settings { file: String, source: SettingsError },
    /// The log has the publication, and all nodes reject it.
    #[snafu(display("rejected, {code}: {what}"))]
    PublicationRejected { code: Code, what: String },
    #[snafu(display("{reason}"))]
    Failed { reason: String },
    /// The log or the node can't be reached, or gave no outcome in time.
    #[snafu(display("{reason}"))]
    Unreachable { reason: String },
}

pub(crate) type Result<T> = std::result::Result<T, CliError>;

impl CliError {
    /// Returns the exit code of the process, as listed in `briarlug help`.
    pub(crate) fn exit_code(&self) -> u8 {
        match self {
            CliError::Usage { .. } | CliError::ReadFile { .. } => 2,
            CliError::Unreachable { .. } => 3,
            _ => 1,
        }
    }
}

/// Returns the error for a wrong command line; exit code 2.
pub(crate) fn usage(reason: &str) -> CliError {
    CliError::Usage {
        reason: reason.to_owned(),
    }
}

/// Returns the error for a failed command; exit code 1.
pub(crate) fn failure(e: impl Display) -> CliError {
    CliError::Failed {
        reason: e.to_string(),
    }
}

/// Returns the error for a log or node that can't be reached; exit code 3.
pub(crate) fn unreachable(e: impl Display) -> CliError {
    CliError::Unreachable {
        reason: e.to_string(),
    }
}

pub(crate) fn read_file(file: &str) -> Result<String> {
    std::fs::read_to_string(file).context(ReadFileSnafu { file })
}

/// Compiles a configuration text for the mesh that it names. All publications in a log have to
/// name the same mesh; this isn't checked here.
pub(crate) fn compile(file: &str, text: &str) -> Result<Snapshot> {
    #[derive(Deserialize)]
    struct Head {
        mesh: String,
    }
    // If the mesh name can't be read, `Snapshot::compile` rejects the text with the place of the
    // fault.
    let mesh = toml::from_str(text).map_or(String::new(), |h: Head| h.mesh);
    Snapshot::compile(Version(1), &mesh, text).context(InvalidConfigSnafu { file })
}

/// Returns the URL of `path` below `base`, the value of `option`.
pub(crate) fn page_url(option: &str, base: &str, path: &str) -> Result<Url> {
    let url = Url::parse(&format!("{}{path}", base.trim_end_matches('/')));
    match url {
        Ok(url) if url.scheme() == "http" && url.has_host() => Ok(url),
        _ => Err(usage(&format!(
            "{option}: '{base}' is not an http:// URL with a host"
        ))),
    }
}

pub(crate) fn required_value<T>(args: &mut Arguments, name: &'static str) -> Result<T>
where
    T: FromStr,
    T::Err: Display,
{
    args.value_from_str(name)
        .map_err(|e| option_error(name, &e))
}

pub(crate) fn optional_value<T>(args: &mut Arguments, name: &'static str) -> Result<Option<T>>
where
    T: FromStr,
    T::Err: Display,
{
    args.opt_value_from_str(name)
        .map_err(|e| option_error(name, &e))
}

fn option_error(name: &str, e: &pico_args::Error) -> CliError {
    use pico_args::Error::{ArgumentParsingFailed, Utf8ArgumentParsingFailed};
    match e {
        Utf8ArgumentParsingFailed { value, cause } => usage(&format!("{name}: '{value}': {cause}")),
        ArgumentParsingFailed { cause } => usage(&format!("{name}: {cause}")),
        e => usage(&e.to_string()),
    }
}

/// Rejects unknown options. Has to run before the options are parsed; otherwise a misspelt
/// option would be reported as missing.
pub(crate) fn reject_unknown_options(args: &Arguments, known: &[&str]) -> Result<()> {
    let rest = args.clone().finish();
    let unknown = rest
        .iter()
        .map(lossy)
        .find(|a| a.starts_with("--") && !known.contains(&a.as_str()));
    unknown.map_or(Ok(()), |option| Err(unknown_option(&option, known)))
}

fn unknown_option(option: &str, known: &[&str]) -> CliError {
    let suggestion =
        closest_match(option, known).map_or(String::new(), |n| format!("; did you mean '{n}'?"));
    usage(&format!("unknown option '{option}'{suggestion}"))
}

fn lossy(arg: &OsString) -> String {
    arg.to_string_lossy().into_owned()
}

/// Rejects any remaining argument; `known` are the options of the command.
pub(crate) fn reject_remaining_args(args: Arguments, known: &[&str]) -> Result<()> {
    positional_args(args, known, 0).map(|_| ())
}

/// Returns up to `max_count` positional arguments; rejects further ones and remaining options.
pub(crate) fn positional_args(
    args: Arguments,
    known: &[&str],
    max_count: usize,
) -> Result<Vec<String>> {
    let rest: Vec<String> = args.finish().iter().map(lossy).collect();
    if let Some(option) = rest.iter().find(|a| a.starts_with('-')) {
        return Err(match known.contains(&option.as_str()) {
            true => usage(&format!("the '{option}' option is given twice")),
            false => unknown_option(option, known),
        });
    }
    if let Some(extra) = rest.get(max_count) {
        return Err(usage(&format!("unexpected argument '{extra}'")));
    }
    Ok(rest)
}

/// Returns the known word that is most similar to `word`, if it is similar enough to suggest.
pub(crate) fn closest_match<'a>(word: &str, known: &[&'a str]) -> Option<&'a str> {
    let similarity = |k: &str| strsim::jaro_winkler(word, k);
    let closest = known
        .iter()
        .max_by(|a, b| similarity(a).total_cmp(&similarity(b)))?;
    (similarity(closest) >= MIN_SIMILARITY).then_some(*closest)
}

/// Prints to standard output. A closed pipe, as with `| head`, is not an error.
pub(crate) fn print_stdout(text: &str) -> Result<()> {
    let mut out = std::io::stdout().lock();
    match out.write_all(text.as_bytes()).and_then(|()| out.flush()) {
        Err(e) if e.kind() != std::io::ErrorKind::BrokenPipe => Err(e).context(IoSnafu {
            what: "standard output",
        }),
        _ => Ok(()),
    }
}

pub(crate) fn runtime() -> Result<tokio::runtime::Runtime> {
    tokio::runtime::Runtime::new().context(IoSnafu { what: "runtime" })
}

pub(crate) fn http_client() -> Result<reqwest::Client> {
    reqwest::Client::builder()
        .no_proxy()
        .timeout(HTTP_TIMEOUT)
        .build()
        .map_err(failure)
}

/// Waits for SIGTERM or SIGINT.
pub(crate) async fn shutdown_signal() -> std::io::Result<()> {
    use tokio::signal::unix::{SignalKind, signal};
    let mut term = signal(SignalKind::terminate())?;
    let mut int = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = term.recv() => {}
        _ = int.recv() => {}
    }
    Ok(())
}
