//! `briarlug status`

use std::collections::BTreeMap;

use node::{MemberReport, StateReport};
use pico_args::Arguments;

use crate::util::{self, CliError, Result, print_stdout};

pub(crate) const USAGE: &str = "\
Show the state of the mesh as one node sees it.

Usage:
    briarlug status --operator URL [--json]

Options:
    --operator URL  Operator listener of any node, for example
                    http://127.0.0.1:7105.
    --json          Print the state page of the node as JSON.
";

struct Args {
    operator: String,
    json: bool,
}

fn parse(mut args: Arguments) -> Result<Args> {
    util::reject_unknown_options(&args, &["--operator", "--json"])?;
    let json = args.contains("--json");
    let operator = util::required_value(&mut args, "--operator")?;
    util::reject_remaining_args(args, &["--operator", "--json"])?;
    Ok(Args { operator, json })
}

pub(crate) fn run(args: Arguments) -> Result<()> {
    let args = parse(args)?;
    let state = util::runtime()?.block_on(fetch(&args.operator))?;
    if args.json {
        let json = serde_json::to_string_pretty(&state).map_err(util::failure)?;
        return print_stdout(&(json + "\n"));
    }
    print_stdout(&format_table(&state))
}

/// Fetches the state page of a node.
pub(crate) async fn fetch(operator: &str) -> Result<StateReport> {
    let url = util::page_url("--operator", operator, "/state")?;
    let res = util::http_client()?.get(url).send().await;
    let res = res.and_then(reqwest::Response::error_for_status);
    let res = res.map_err(|e| fetch_error(operator, &e))?;
    res.json().await.map_err(|e| fetch_error(operator, &e))
}

fn fetch_error(operator: &str, e: &reqwest::Error) -> CliError {
    let cause = match (e.status(), e.is_timeout()) {
        (Some(status), _) => format!("answers {status} to GET /state: no operator listener"),
        (None, true) => "no answer to GET /state before the time-out".to_owned(),
        (None, false) if e.is_decode() => "the response is not a state page".to_owned(),
        (None, false) => "no connection to the operator listener".to_owned(),
    };
    util::unreachable(format!("node {operator}: {cause}"))
}

fn format_table(s: &StateReport) -> String {
    let mut out = format!(
        "{} service={} domain={} ready={} version={} digest={}\n\
         draining={} target={} floor={} newest_heard={} log=\"{}\" log_reader={} load={}\n",
        s.name,
        s.service,
        s.domain,
        s.ready,
        s.version,
        s.digest,
        s.draining,
        s.target,
        s.floor,
        s.newest_heard,
        s.log,
        s.log_reader,
        s.load,
    );
    let mut domains: BTreeMap<&str, BTreeMap<u64, usize>> = BTreeMap::new();
    for m in &s.members {
        *domains
            .entry(&m.domain)
            .or_default()
            .entry(m.version)
            .or_default() += 1;
    }
    out.push_str("\nfailure domain           version  nodes\n");
    for (domain, versions) in &domains {
        for (version, nodes) in versions {
            out.push_str(&format!("{domain:<24} {version:>7} {nodes:>6}\n"));
        }
    }
    out.push_str("\nmember                   service          state     version note\n");
    for m in &s.members {
        out.push_str(&format!(
            "{:<24} {:<16} {:<9} {:>7} {}\n",
            m.name,
            m.service,
            m.state,
            m.version,
            member_note(m)
        ));
    }
    if !s.quarantined.is_empty() {
        out.push_str(&format!("\nquarantined: {}\n", s.quarantined.join(" ")));
    }
    out
}

/// Returns why a member gets no requests from the node that reported it, or an empty string.
fn member_note(m: &MemberReport) -> &'static str {
    match (m.reachable, m.ejected) {
        (false, _) => "unreachable",
        (true, true) => "ejected",
        (true, false) => "",
    }
}
