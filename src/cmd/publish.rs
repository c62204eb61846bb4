//! `briarlug publish`

use std::time::{Duration, Instant};

use config::{Fold, Outcome, Publication, PublicationId, Record};
use node::StateReport;
use pico_args::Arguments;
use plat::{HttpLog, Log};
use wire::{Code, Version};

use crate::cmd::status;
use crate::util::{self, CliError, Result, print_stdout};

pub(crate) const USAGE: &str = "\
Publish a new version of the configuration text.

Usage:
    briarlug publish FILE --log URL [--base N] [--wait S] [--operator URL]

Prints the accepted version, or the code and reason of the rejection, as read
from the log. An append that fails is repeated with the same id.

Options:
    --log URL       URL of the platform's log.
    --base N        Version that FILE is based on [default: the current one].
    --wait S        Seconds to wait in all, for the outcome and, with --operator,
                    for the members [default: 9].
    --operator URL  Operator listener of a node. Also wait until the version is in
                    force on all members known to the node, and print the number
                    of members that have it.
";

const OPTIONS: [&str; 4] = ["--log", "--base", "--wait", "--operator"];
/// Pause between reads of the log or of a state page.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

struct Args {
    file: String,
    log: String,
    base: Option<u64>,
    wait: Duration,
    operator: Option<String>,
}

fn parse(mut args: Arguments) -> Result<Args> {
    util::reject_unknown_options(&args, &OPTIONS)?;
    let log = util::required_value(&mut args, "--log")?;
    let base = util::optional_value(&mut args, "--base")?;
    let wait = util::optional_value(&mut args, "--wait")?.unwrap_or(9.0);
    let operator = util::optional_value(&mut args, "--operator")?;
    let mut positional_args = util::positional_args(args, &OPTIONS, 1)?.into_iter();
    let file = positional_args
        .next()
        .ok_or_else(|| util::usage("a FILE is needed"))?;
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
    let log = HttpLog::new(&args.log).map_err(util::failure)?;
    let deadline = Instant::now() + args.wait;
    let mut config_state = Fold::new(mesh);
    node::replay_to_end(&log, &mut config_state)
        .await
        .map_err(|e| util::unreachable(format!("log {}: {e}; nothing was published", args.log)))?;
    if let Some(format) = config_state.unsupported_format() {
        let reason = format!(
            "the log has records of format {format}, which this build doesn't know; nothing was \
             published"
        );
        return Err(util::failure(reason));
    }
    if config_state.needs_checkpoint() {
        return Err(util::unreachable(format!(
            "log {}: records have expired and no checkpoint is there yet; nothing was published, \
             retry once a node has written one",
            args.log
        )));
    }
    let base = args.base.map_or(config_state.snapshot().version(), Version);
    let id = PublicationId::from_random(rand::random());
    let record = Record::Publication(Publication { id, base, text });
    let outcome = append_and_confirm(&log, &mut config_state, id, &record, deadline).await?;
    match outcome {
        Outcome::Rejected(code) => Err(CliError::PublicationRejected {
            code,
            what: rejection_detail(code, &config_state),
        }),
        Outcome::Accepted(version) => {
            let digest = config_state.snapshot().digest();
            print_stdout(&format!(
                "accepted version={version} digest={digest} id={id}\n"
            ))?;
            match &args.operator {
                Some(url) => wait_until_in_force(url, version, deadline).await,
                None => Ok(()),
            }
        }
    }
}

/// Explains a rejection beyond the title of its code.
fn rejection_detail(code: Code, config_state: &Fold) -> String {
    match code {
        Code::StaleBase => format!(
            "the current version is {}",
            config_state.snapshot().version()
        ),
        _ => "every node rejects this configuration text".to_owned(),
    }
}

/// Appends the record and reads the log until the outcome of `id` is known; fails at `deadline`.
/// After a failed append the record is appended again, since nodes count a repeated id once.
async fn append_and_confirm(
    log: &HttpLog,
    config_state: &mut Fold,
    id: PublicationId,
    record: &Record,
    deadline: Instant,
) -> Result<Outcome> {
    let raw = record.encode().map_err(util::failure)?;
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
        let read_result = node::replay_to_end(log, config_state).await;
        if let Some(outcome) = config_state.outcome(id) {
            return Ok(outcome);
        }
        if Instant::now() >= deadline {
            let reason = match (failure, read_result) {
                (Some(e), _) | (None, Err(e)) => e.to_string(),
                (None, Ok(())) => "the log doesn't contain the outcome yet".to_owned(),
            };
            let message = format!(
                "no outcome before the time-out: {reason}; publication id={id} may still be accepted"
            );
            return Err(CliError::Unreachable { reason: message });
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Waits until all members known to the node at `url` have `version` or a later one in force; fails
/// at `deadline`.
async fn wait_until_in_force(url: &str, version: Version, deadline: Instant) -> Result<()> {
    loop {
        let state = status::fetch(url).await?;
        let member_count = state.members.len();
        let updated_count = state
            .members
            .iter()
            .filter(|m| m.version >= version.0)
            .count();
        if updated_count == member_count || Instant::now() >= deadline {
            print_stdout(&format!(
                "in force on {updated_count} of {member_count} nodes\n"
            ))?;
            return match updated_count == member_count {
                true => Ok(()),
                false => Err(util::failure(outdated_members_message(&state, version))),
            };
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Names the members that have neither `version` nor a later one in force.
fn outdated_members_message(state: &StateReport, version: Version) -> String {
    let outdated = state.members.iter().filter(|m| m.version < version.0);
    let names: Vec<&str> = outdated.map(|m| m.name.as_str()).collect();
    format!(
        "time is up, version {version} is not in force on {}",
        names.join(", ")
    )
}
