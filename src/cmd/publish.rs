//! `briarlug publish`

use std::time::{Duration, Instant};

use config::{Fold, Outcome, Publication, PublicationId, Record};
use node::StateReport;
use pico_args::Arguments;
use plat::{HttpLog, Log};
use wire::{Code, Version};

use crate::cmd::status;
use crate::util::{self, CliError, Result, print_out};

pub(crate) const USAGE: &str = "\
Publish a new version of the configuration text.

Usage:
    briarlug publish FILE --log URL [--base N] [--wait S] [--operator URL]

Prints the accepted version, or the numbered reason of the rejection. An append
whose answer is lost is settled by reading the log back.

Options:
    --log URL       URL of the platform's log.
    --base N        Version that FILE was edited from [default: the current one].
    --wait S        Seconds to wait for the outcome [default: 9].
    --operator URL  Operator listener of a node; also wait until all members that
                    it knows have the version in force, and print how many do.
";

const OPTIONS: [&str; 4] = ["--log", "--base", "--wait", "--operator"];
const POLL: Duration = Duration::from_millis(200);

struct Args {
    file: String,
    log: String,
    base: Option<u64>,
    wait: Duration,
    operator: Option<String>,
}

fn parse(mut args: Arguments) -> Result<Args> {
    util::check_options(&args, &OPTIONS)?;
    let log = util::required(&mut args, "--log")?;
    let base = util::optional(&mut args, "--base")?;
    let wait = util::optional(&mut args, "--wait")?.unwrap_or(9.0);
    let operator = util::optional(&mut args, "--operator")?;
    let mut free = util::free(args, &OPTIONS, 1)?.into_iter();
    let file = free.next().ok_or_else(|| util::usage("a FILE is needed"))?;
    let wait =
        Duration::try_from_secs_f64(wait).map_err(|e| util::usage(&format!("--wait: {e}")))?;
    Ok(Args {
        file,
        log,
        base,
        wait,
        operator,
    })
}

pub(crate) fn run(args: Arguments) -> Result<()> {
    let args = parse(args)?;
    let text = util::read_file(&args.file)?;
    let snapshot = util::compile(&args.file, &text)?;
    util::runtime()?.block_on(publish(&args, snapshot.mesh(), text))
}

async fn publish(args: &Args, mesh: &str, text: String) -> Result<()> {
    util::page_url("--log", &args.log, "/")?;
    if let Some(url) = &args.operator {
        util::page_url("--operator", url, "/")?;
    }
    let log = HttpLog::new(&args.log).map_err(util::failed)?;
    let until = Instant::now() + args.wait;
    let mut fold = Fold::new(mesh);
    node::fold_to_end(&log, &mut fold)
        .await
        .map_err(|e| util::unreachable(format!("log {}: {e}; nothing was published", args.log)))?;
    if let Some(format) = fold.unsupported_format() {
        let reason = format!(
            "the log has records of format {format}, which this build doesn't know; nothing was \
             published"
        );
        return Err(util::failed(reason));
    }
    if fold.needs_checkpoint() {
        return Err(util::unreachable(format!(
            "log {}: records have expired and no checkpoint is there yet; nothing was published",
            args.log
        )));
    }
    let base = args.base.map_or(fold.snapshot().version(), Version);
    let id = PublicationId::from_random(rand::random());
    let record = Record::Publication(Publication { id, base, text });
    let outcome = append_and_settle(&log, &mut fold, id, &record, until).await?;
    match outcome {
        Outcome::Rejected(code) => Err(CliError::Refused {
            code,
            what: rejection(code, &fold),
        }),
        Outcome::Accepted(version) => {
            let digest = fold.snapshot().digest();
            print_out(&format!(
                "accepted version={version} digest={digest} id={id}\n"
            ))?;
            match &args.operator {
                Some(url) => wait_in_force(url, version, until).await,
                None => Ok(()),
            }
        }
    }
}

fn rejection(code: Code, fold: &Fold) -> String {
    match code {
        Code::StaleBase => format!("the current version is {}", fold.snapshot().version()),
        _ => "the text is refused by every node".to_owned(),
    }
}

/// Appends the record and reads back until its id is settled. The same record may be appended
/// again after a lost answer: a repeated id counts once.
async fn append_and_settle(
    log: &HttpLog,
    fold: &mut Fold,
    id: PublicationId,
    record: &Record,
    until: Instant,
) -> Result<Outcome> {
    let raw = record.encode().map_err(util::failed)?;
    let mut appended = false;
    loop {
        let failure = match appended {
            true => None,
            false => log
                .append(node::CONFIG_STREAM, vec![raw.clone()])
                .await
                .err(),
        };
        appended |= failure.is_none();
        let read = node::fold_to_end(log, fold).await;
        if let Some(outcome) = fold.outcome(id) {
            return Ok(outcome);
        }
        if Instant::now() >= until {
            let reason = match (failure, read) {
                (Some(e), _) | (None, Err(e)) => e.to_string(),
                (None, Ok(())) => "the outcome isn't in the log yet".to_owned(),
            };
            let hint = format!("{reason}; publication id={id} may still be accepted");
            return Err(CliError::Unreachable { reason: hint });
        }
        tokio::time::sleep(POLL).await;
    }
}

async fn wait_in_force(url: &str, version: Version, until: Instant) -> Result<()> {
    loop {
        let state = status::fetch(url).await?;
        let members = state.members.len();
        let have = state
            .members
            .iter()
            .filter(|m| m.version >= version.0)
            .count();
        if have == members || Instant::now() >= until {
            print_out(&format!("in force on {have} of {members} nodes\n"))?;
            return match have == members {
                true => Ok(()),
                false => Err(util::failed(late(&state, version))),
            };
        }
        tokio::time::sleep(POLL).await;
    }
}

fn late(state: &StateReport, version: Version) -> String {
    let late = state.members.iter().filter(|m| m.version < version.0);
    let names: Vec<&str> = late.map(|m| m.name.as_str()).collect();
    format!(
        "time is up, version {version} is not in force on {}",
        names.join(", ")
    )
}
