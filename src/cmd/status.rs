//! `briarlug status`

use std::collections::BTreeMap;

use node::{MemberReport, StateReport};
use pico_args::Arguments;

use crate::util::{self, CliError, Result, print_out};

pub(crate) const USAGE: &str = "\
Show what a node knows of the mesh.

Usage:
    briarlug status --operator URL [--json]

Options:
    --operator URL  Operator listener of any node, for example
                    http://127.0.0.1:7105.
    --json          Print the node's state page as it is.
";

struct Args {
    operator: String,
    json: bool,
}

fn parse(mut args: Arguments) -> Result<Args> {
    util::check_options(&args, &["--operator", "--json"])?;
    let json = args.contains("--json");
    let operator = util::required(&mut args, "--operator")?;
    util::finish(args, &["--operator", "--json"])?;
    Ok(Args { operator, json })
}

pub(crate) fn run(args: Arguments) -> Result<()> {
    let args = parse(args)?;
    let state = util::runtime()?.block_on(fetch(&args.operator))?;
    if args.json {
        let json = serde_json::to_string_pretty(&state).map_err(util::failed)?;
        return print_out(&(json + "\n"));
    }
    print_out(&table(&state))
}

/// Fetches the state page of a node.
pub(crate) async fn fetch(operator: &str) -> Result<StateReport> {
    let url = util::page_url("--operator", operator, "/state")?;
    let res = util::http_client()?.get(url).send().await;
    let res = res.and_then(reqwest::Response::error_for_status);
    let res = res.map_err(|e| not_reached(operator, &e))?;
    res.json().await.map_err(|e| not_reached(operator, &e))
}

fn not_reached(operator: &str, e: &reqwest::Error) -> CliError {
    let cause = match (e.status(), e.is_timeout()) {
        (Some(status), _) => format!("answers {status}, so it is no operator listener"),
        (None, true) => "no answer in time".to_owned(),
        (None, false) if e.is_decode() => "answers no state page".to_owned(),
        (None, false) => "no connection".to_owned(),
    };
    util::unreachable(format!("node {operator}: {cause}"))
}

fn table(s: &StateReport) -> String {
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
            note(m)
        ));
    }
    if !s.quarantined.is_empty() {
        out.push_str(&format!("\nquarantined: {}\n", s.quarantined.join(" ")));
    }
    out
}

fn note(m: &MemberReport) -> &'static str {
    match (m.reachable, m.ejected) {
        (false, _) => "unreachable",
        (true, true) => "ejected",
        (true, false) => "",
    }
}
