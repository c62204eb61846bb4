//! Helpers shared by the commands.

use std::ffi::OsString;
use std::fmt::Display;
use std::io::Write;
use std::str::FromStr;
use std::time::Duration;

use config::Rejection;
use node::SettingsError;
use pico_args::Arguments;
use serde::Deserialize;
use snafu::{ResultExt, Snafu};
use wire::Code;

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
    #[snafu(display("{source}"))]
    Settings { source: SettingsError },
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

/// Reads the mesh name of a text, which the log's other publications have to share.
pub(crate) fn mesh_of(text: &str) -> Result<String> {
    #[derive(Deserialize)]
    struct Head {
        mesh: String,
    }
    match toml::from_str(text) {
        Ok(Head { mesh }) => Ok(mesh),
        Err(e) => {
            let line = e
                .span()
                .map_or(1, |s| 1 + text[..s.start].matches('\n').count());
            let what = format!("line {line}: {}", e.message());
            Err(CliError::Refused {
                code: Code::TextUnreadable,
                what,
            })
        }
    }
}

pub(crate) fn required<T>(args: &mut Arguments, name: &'static str) -> Result<T>
where
    T: FromStr,
    T::Err: Display,
{
    args.value_from_str(name).map_err(|e| usage(&e.to_string()))
}

pub(crate) fn optional<T>(args: &mut Arguments, name: &'static str) -> Result<Option<T>>
where
    T: FromStr,
    T::Err: Display,
{
    args.opt_value_from_str(name)
        .map_err(|e| usage(&e.to_string()))
}

/// Refuses leftover arguments.
pub(crate) fn finish(args: Arguments, known: &[&str]) -> Result<()> {
    free(args, known, 0).map(|_| ())
}

/// Returns up to `most` free arguments and refuses unknown options.
pub(crate) fn free(args: Arguments, known: &[&str], most: usize) -> Result<Vec<String>> {
    let rest = args.finish();
    let text = |a: &OsString| a.to_string_lossy().into_owned();
    if let Some(option) = rest.iter().map(text).find(|a| a.starts_with('-')) {
        let hint = nearest(&option, known);
        let hint = hint.map_or(String::new(), |n| format!("; did you mean '{n}'?"));
        return Err(usage(&format!("unknown option '{option}'{hint}")));
    }
    if rest.len() > most {
        return Err(usage(&format!(
            "unexpected argument '{}'",
            text(&rest[most])
        )));
    }
    Ok(rest.iter().map(text).collect())
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
