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

const HTTP_TIMEOUT: Duration = Duration::from_secs(3);
/// Options further apart than this aren't offered as a correction.
const MIN_SIMILARITY: f64 = 0.7;

/// Why a command failed.
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
    #[snafu(display("{what}: {source}"))]
    Io {
        what: &'static str,
        source: std::io::Error,
    },
    #[snafu(display("{file}: {source}"))]
    Rejected { file: String, source: Rejection },
    #[snafu(display("{file}: {source}"))]
    Settings { file: String, source: SettingsError },
    #[snafu(display("rejected, {code}: {what}"))]
    Refused { code: Code, what: String },
    #[snafu(display("{reason}"))]
    Failed { reason: String },
    #[snafu(display("{reason}"))]
    Unreachable { reason: String },
}

pub(crate) type Result<T> = std::result::Result<T, CliError>;

impl CliError {
    /// Returns the exit code of the process.
    pub(crate) fn exit_code(&self) -> u8 {
        match self {
            CliError::Usage { .. } | CliError::ReadFile { .. } => 2,
            CliError::Unreachable { .. } => 3,
            _ => 1,
        }
    }
}

pub(crate) fn usage(reason: &str) -> CliError {
    CliError::Usage {
        reason: reason.to_owned(),
    }
}

pub(crate) fn failed(e: impl Display) -> CliError {
    CliError::Failed {
        reason: e.to_string(),
    }
}

pub(crate) fn unreachable(e: impl Display) -> CliError {
    CliError::Unreachable {
        reason: e.to_string(),
    }
}

pub(crate) fn read_file(file: &str) -> Result<String> {
    std::fs::read_to_string(file).context(ReadFileSnafu { file })
}

/// Compiles a text for the mesh that it names. The log's other publications have to share the name.
pub(crate) fn compile(file: &str, text: &str) -> Result<Snapshot> {
    #[derive(Deserialize)]
    struct Head {
        mesh: String,
    }
    // A text whose mesh can't be read is refused by the compiler, with the place of the fault.
    let mesh = toml::from_str(text).map_or(String::new(), |h: Head| h.mesh);
    Snapshot::compile(Version(1), &mesh, text).context(RejectedSnafu { file })
}

/// Returns the URL of the page `path` below `base`, which an option gave.
pub(crate) fn page_url(option: &str, base: &str, path: &str) -> Result<Url> {
    let url = Url::parse(&format!("{}{path}", base.trim_end_matches('/')));
    match url {
        Ok(url) if url.scheme() == "http" && url.has_host() => Ok(url),
        _ => Err(usage(&format!(
            "{option}: '{base}' is not an http:// URL with a host"
        ))),
    }
}

pub(crate) fn required<T>(args: &mut Arguments, name: &'static str) -> Result<T>
where
    T: FromStr,
    T::Err: Display,
{
    args.value_from_str(name).map_err(|e| bad_option(name, &e))
}

pub(crate) fn optional<T>(args: &mut Arguments, name: &'static str) -> Result<Option<T>>
where
    T: FromStr,
    T::Err: Display,
{
    args.opt_value_from_str(name)
        .map_err(|e| bad_option(name, &e))
}

fn bad_option(name: &str, e: &pico_args::Error) -> CliError {
    use pico_args::Error::{ArgumentParsingFailed, Utf8ArgumentParsingFailed};
    match e {
        Utf8ArgumentParsingFailed { value, cause } => usage(&format!("{name}: '{value}': {cause}")),
        ArgumentParsingFailed { cause } => usage(&format!("{name}: {cause}")),
        e => usage(&e.to_string()),
    }
}

/// Refuses unknown options. Called before options are taken, so that a misspelt one isn't reported
/// as missing.
pub(crate) fn check_options(args: &Arguments, known: &[&str]) -> Result<()> {
    let rest = args.clone().finish();
    let unknown = rest
        .iter()
        .map(lossy)
        .find(|a| a.starts_with("--") && !known.contains(&a.as_str()));
    unknown.map_or(Ok(()), |option| Err(unknown_option(&option, known)))
}

fn unknown_option(option: &str, known: &[&str]) -> CliError {
    let hint = nearest(option, known).map_or(String::new(), |n| format!("; did you mean '{n}'?"));
    usage(&format!("unknown option '{option}'{hint}"))
}

fn lossy(arg: &OsString) -> String {
    arg.to_string_lossy().into_owned()
}

/// Refuses leftover arguments.
pub(crate) fn finish(args: Arguments, known: &[&str]) -> Result<()> {
    free(args, known, 0).map(|_| ())
}

/// Returns up to `most` free arguments and refuses unknown options.
pub(crate) fn free(args: Arguments, known: &[&str], most: usize) -> Result<Vec<String>> {
    let rest: Vec<String> = args.finish().iter().map(lossy).collect();
    if let Some(option) = rest.iter().find(|a| a.starts_with('-')) {
        return Err(match known.contains(&option.as_str()) {
            true => usage(&format!("the '{option}' option is given twice")),
            false => unknown_option(option, known),
        });
    }
    if let Some(extra) = rest.get(most) {
        return Err(usage(&format!("unexpected argument '{extra}'")));
    }
    Ok(rest)
}

/// Returns the known word that is most like `word`.
pub(crate) fn nearest<'a>(word: &str, known: &[&'a str]) -> Option<&'a str> {
    let similarity = |k: &str| strsim::jaro_winkler(word, k);
    let best = known
        .iter()
        .max_by(|a, b| similarity(a).total_cmp(&similarity(b)))?;
    (similarity(best) >= MIN_SIMILARITY).then_some(*best)
}

/// Prints to standard output. A closed pipe, as left by `head`, is no failure.
pub(crate) fn print_out(text: &str) -> Result<()> {
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
        .map_err(failed)
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
