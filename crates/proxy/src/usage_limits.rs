//! Usage limits of organisations: admission at this node, reports to the node that adds them up, and
//! the sums if this is that node.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use config::Organisation;
use usage::{Grant, LedgerId, UsageLimit, UsageReport};
use wire::{Code, Refusal, ServiceName, Time};

use crate::deciding;
use crate::link::context;
use crate::message::LinkClient;
use crate::shared::{Phase, Shared, sleep_unless_stopped};

/// Time between two reports.
const REPORT_INTERVAL: Duration = Duration::from_millis(300);
/// Timeout of a report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(500);
/// Reports in a row without a reply after which the node that adds up gets a status call.
const SUSPECT_AFTER: u32 = 2;
/// Stands for a service in the rank of the node that adds up.
const RANK_NAME: &str = "usage limits";

/// An admitted request of an organisation.
#[derive(Debug)]
pub(crate) struct Admitted {
    organisation: u64,
    /// Whether it counts against a limit.
    is_limited: bool,
}

/// Decides whether a request of an organisation is within its limit.
pub(crate) fn admit(
    shared: &Shared,
    now: Time,
    organisation: &Organisation,
) -> Result<Admitted, Refusal> {
    let admitted = Admitted {
        organisation: organisation.id,
        is_limited: organisation.limit.is_some(),
    };
    let Some(limit) = organisation.limit.map(to_limit) else {
        return Ok(admitted);
    };
    let nodes = shared.peers.lock().recently_known(now);
    let result = match shared.is_settled(now) {
        true => (shared.usage.lock()).admit(now, organisation.id, limit, nodes),
        // A node that has not heard from the others does not know how many share the limit.
        false => Err(REPORT_INTERVAL),
    };
    result.map(|()| admitted).map_err(|wait| {
        shared.tallies.lock().of(organisation.id).over_limit += 1;
        Refusal {
            code: Code::OverUsageLimit,
            retry_after: Some(wait),
        }
    })
}

/// Counts the end of a request, if it is one of an organisation. One that was refused without a run
/// does not count against the limit.
pub(crate) fn end(shared: &Shared, admitted: Option<Admitted>, has_run: bool) {
    let Some(admitted) = admitted else { return };
    let mut tallies = shared.tallies.lock();
    let tally = tallies.of(admitted.organisation);
    if has_run {
        tally.sent += 1;
        return;
    }
    tally.refused += 1;
    if admitted.is_limited {
        shared.usage.lock().give_back(admitted.organisation);
    }
}

fn to_limit(limit: config::OrganisationLimit) -> UsageLimit {
    UsageLimit {
        milli_per_s: limit.milli_per_s,
        burst: limit.burst,
    }
}

/// Reports this node's usage while the table has limits, until the node stops.
pub(crate) async fn report(shared: Arc<Shared>) {
    let mut wait = REPORT_INTERVAL;
    let mut unanswered = 0;
    while sleep_unless_stopped(&shared, wait).await {
        let began = shared.now();
        let table = shared.versions.table();
        let has_limits = table.is_some_and(|t| t.organisations().is_some_and(|o| o.have_limits()));
        if has_limits {
            match send_report(&shared).await {
                Ok(()) => unanswered = 0,
                Err(owner) => {
                    unanswered += 1;
                    if unanswered >= SUSPECT_AFTER {
                        shared.peers.lock().suspect_link(owner);
                    }
                }
            }
        }
        // A reply permits something only for a short time, so that a slow one delays no report.
        wait = REPORT_INTERVAL.saturating_sub(shared.now().since(began));
    }
}

/// Sends a report and applies the reply. Fails with the address of a peer that does not answer in time.
async fn send_report(shared: &Shared) -> Result<(), SocketAddr> {
    // Two nodes that can't reach each other must not both admit a whole limit, so that a node without
    // a majority admits only its own part.
    if !shared.peers.lock().has_majority(shared.now()) {
        return Ok(());
    }
    let link = shared.settings.peer_addr;
    let (ledger, client) = owner(shared);
    let sent_at = shared.now();
    let report = shared.usage.lock().take_report(sent_at, ledger);
    let mut silent_owner = None;
    let grants = match client {
        None => receive(shared, link, &report),
        Some((owner, client)) => {
            let reply = client.report_usage(context(REPORT_TIMEOUT), link, report.clone());
            let reply = tokio::time::timeout(REPORT_TIMEOUT, reply).await;
            if reply.is_err() {
                silent_owner = Some(owner);
            }
            reply.ok().and_then(Result::ok).flatten()
        }
    };
    let mut usage = shared.usage.lock();
    match grants {
        Some(grants) => usage.apply(shared.now(), sent_at, ledger, &report, &grants),
        None => usage.restore(&report),
    }
    silent_owner.map_or(Ok(()), Err)
}

/// Returns the ledger of the node that adds up the usage, the first by rank, and the client of that node;
/// `None` for this node.
fn owner(shared: &Shared) -> (LedgerId, Option<(SocketAddr, LinkClient)>) {
    let name = ServiceName::from(RANK_NAME);
    let mut all = shared.peers.lock().decider_ranks(&name);
    if shared.phase() == Phase::Serving {
        let s = &shared.settings;
        all.push((deciding::rank(&name, s.peer_addr, s.link_mbps), None));
    }
    let first = all.into_iter().max_by_key(|(rank, _)| *rank);
    let Some(((.., link), Some(client))) = first else {
        return (shared.boot_id, None);
    };
    let boot_id = shared.peers.lock().boot_id(link).unwrap_or_default();
    (boot_id, Some((link, client)))
}

/// Adds a node's report and returns what it may admit of organisations near their limits.
pub(crate) fn receive(
    shared: &Shared,
    link: SocketAddr,
    report: &UsageReport,
) -> Option<Vec<Grant>> {
    let table = shared.versions.table()?;
    let organisations = table.organisations()?;
    let limit = |id| organisations.get(id)?.limit.map(to_limit);
    let now = shared.now();
    if !shared.is_settled(now) {
        return None;
    }
    let known = shared.peers.lock().recently_known(now);
    let mut ledger = shared.usage_ledger.lock();
    ledger.report(now, link, report, limit, known)
}
