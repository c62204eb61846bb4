//! `briarlug status`

use std::collections::BTreeMap;

use node::{MemberReport, StateReport};
use pico_args::Arguments;
use proxy::{NodeState, OrganisationState};
use rollout::{Admission, Step};
use serde::Serialize;
use serde::de::DeserializeOwned;
use usage::Tally;

use crate::util::{self, CliError, Result, print_stdout};

pub(crate) const USAGE: &str = "\
Show the state of the mesh as one node sees it.

Usage:
    briarlug status --operator URL [--json]
    briarlug status --platform URL [--json]

Options:
    --operator URL  Operator listener of any node, for example
                    http://127.0.0.1:7105.
    --platform URL  Report listener of any node on the users' platform: shows
                    the roll-outs and organisations that the node knows.
    --json          Print the state page of the node as JSON.
";

const OPTIONS: [&str; 3] = ["--operator", "--platform", "--json"];

/// Listener of the node that is asked.
enum Listener {
    Operator(String),
    Platform(String),
}

struct Args {
    listener: Listener,
    json: bool,
}

fn parse(mut args: Arguments) -> Result<Args> {
    util::reject_unknown_options(&args, &OPTIONS)?;
    let json = args.contains("--json");
    let platform: Option<String> =
        args.opt_value_from_str("--platform")
            .map_err(|e| CliError::Usage {
                reason: e.to_string(),
            })?;
    let listener = match platform {
        Some(url) => Listener::Platform(url),
        None => Listener::Operator(util::required_value(&mut args, "--operator")?),
    };
    util::reject_remaining_args(args, &OPTIONS)?;
    Ok(Args { listener, json })
}

pub(crate) fn run(args: Arguments) -> Result<()> {
    let args = parse(args)?;
    let runtime = util::runtime()?;
    match args.listener {
        Listener::Operator(url) => {
            let state = runtime.block_on(fetch(&url))?;
            print_state(&state, args.json, format_table)
        }
        Listener::Platform(url) => {
            let state = runtime.block_on(fetch_platform(&url))?;
            print_state(&state, args.json, format_platform)
        }
    }
}

fn print_state<S: Serialize>(state: &S, json: bool, format: fn(&S) -> String) -> Result<()> {
    if json {
        let json = serde_json::to_string_pretty(state).map_err(util::failure)?;
        return print_stdout(&(json + "\n"));
    }
    print_stdout(&format(state))
}

/// Fetches the state page of a node.
pub(crate) async fn fetch(operator: &str) -> Result<StateReport> {
    fetch_page("--operator", operator, "/state").await
}

async fn fetch_platform(listener: &str) -> Result<NodeState> {
    fetch_page("--platform", listener, "/v1/state").await
}

async fn fetch_page<S: DeserializeOwned>(option: &str, listener: &str, path: &str) -> Result<S> {
    let url = util::page_url(option, listener, path)?;
    let res = util::http_client()?.get(url).send().await;
    let res = res.and_then(reqwest::Response::error_for_status);
    let res = res.map_err(|e| fetch_error(listener, path, &e))?;
    res.json()
        .await
        .map_err(|e| fetch_error(listener, path, &e))
}

fn fetch_error(listener: &str, path: &str, e: &reqwest::Error) -> CliError {
    let kind = if path == "/state" {
        "operator"
    } else {
        "report"
    };
    let cause = match (e.status(), e.is_timeout()) {
        (Some(status), _) => format!("answers {status} to GET {path}: no {kind} listener"),
        (None, true) => format!("no answer to GET {path} before the time-out"),
        (None, false) if e.is_decode() => "the response is not a state page".to_owned(),
        (None, false) => format!("no connection to the {kind} listener"),
    };
    util::unreachable(format!("node {listener}: {cause}"))
}

fn format_platform(s: &NodeState) -> String {
    let mut out = format!(
        "{} service={} ready={} version={} peers={}\n",
        s.name, s.service, s.is_ready, s.version, s.peers
    );
    if !s.rollouts.is_empty() {
        out.push_str(
            "\nroll-out of              to version       step        age/duration decider\n",
        );
    }
    for r in &s.rollouts {
        let step = r.evidence.map(|e| e.step).or(r.step);
        let decider = r.decider.map_or("-".to_owned(), |d| d.to_string());
        out.push_str(&format!(
            "{:<24} {:<16} {:<11} {:>5.1}/{:.1} s {decider}\n",
            r.service,
            r.target_version,
            step.map_or("unknown", Step::as_str),
            r.age_ms as f64 / 1_000.0,
            r.duration_ms as f64 / 1_000.0,
        ));
        if let Some(admission) = r.admission {
            out.push_str(&format!("  this node admits: {}\n", describe(admission)));
        }
        if let Some(e) = r.evidence {
            out.push_str(&format!(
                "  this node decides: {} of {} requests exposed, {} of {} judged instances bad\n",
                e.exposed, e.requests, e.bad, e.judged
            ));
        }
    }
    if !s.organisations.is_empty() {
        out.push_str("\norganisation                   sent over limit    refused\n");
    }
    let others = OrganisationState {
        name: "(others)".to_owned(),
        requests: s.other_organisations,
    };
    let others = (s.other_organisations != Tally::default()).then_some(&others);
    for o in s.organisations.iter().chain(others) {
        let t = o.requests;
        out.push_str(&format!(
            "{:<24} {:>10} {:>10} {:>10}\n",
            o.name, t.sent, t.over_limit, t.refused
        ));
    }
    out
}

fn describe(admission: Admission) -> String {
    match admission {
        Admission::Open => "all requests".to_owned(),
        Admission::Limited { slots, until } => {
            format!("{slots} at a time, {until} since the order")
        }
        Admission::Closed => "no requests".to_owned(),
    }
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
