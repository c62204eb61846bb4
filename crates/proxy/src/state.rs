//! What a node knows of roll-outs and organisations, for operators.

use std::net::SocketAddr;

use rollout::{Admission, Step};
use serde::{Deserialize, Serialize};
use usage::Tally;

use crate::deciding::Deciding;
use crate::shared::Shared;

/// Organisations that are shown by name; the others are summed up.
const MAX_ORGANISATIONS: usize = 10;

/// State page of a node.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct NodeState {
    /// Name of the instance.
    pub name: String,
    /// Service of the instance's target.
    pub service: String,
    /// Whether callers may send requests.
    pub is_ready: bool,
    /// Number of the version in force; 0 for none.
    pub version: u64,
    /// Connected nodes.
    pub peers: usize,
    /// Roll-outs whose orders the node knows.
    pub rollouts: Vec<RolloutState>,
    /// Requests by organisation at this node since its start, most first.
    pub organisations: Vec<OrganisationState>,
    /// The requests of all organisations that are not shown by name.
    pub other_organisations: Tally,
}

/// A roll-out as one node knows it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RolloutState {
    /// Service whose requests move.
    pub service: String,
    /// Software version to which they move.
    pub target_version: String,
    /// Milliseconds since the order.
    pub age_ms: u64,
    /// Milliseconds that the order gives.
    pub duration_ms: u64,
    /// Latest step known here; `None` at a node without a target of the service, and before the first
    /// plan.
    pub step: Option<Step>,
    /// What the node admits to its target, if that is of the service.
    pub admission: Option<Admission>,
    /// Node that this node would ask first to decide.
    pub decider: Option<SocketAddr>,
    /// Evidence, if this node decides.
    pub evidence: Option<EvidenceState>,
}

/// What the deciding node knows of a roll-out.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct EvidenceState {
    /// Step in the log.
    pub step: Step,
    /// Requests of the service since the order.
    pub requests: u64,
    /// Requests that the new version has got or may get under its grants.
    pub exposed: u64,
    /// Instances of the new version that are bad, of those judged.
    pub bad: usize,
    /// Instances of the new version with enough answers to be judged.
    pub judged: usize,
}

/// Requests of one organisation.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct OrganisationState {
    /// Name of the organisation.
    pub name: String,
    /// What became of its requests.
    pub requests: Tally,
}

pub(crate) fn read(shared: &Shared) -> NodeState {
    let (organisations, other_organisations) = organisations(shared);
    let peers = shared.peers.lock().connected_count();
    NodeState {
        name: shared.settings.name.clone(),
        service: shared.service().to_string(),
        is_ready: shared.is_ready(),
        version: shared.versions.number(),
        peers,
        rollouts: rollouts(shared),
        organisations,
        other_organisations,
    }
}

fn rollouts(shared: &Shared) -> Vec<RolloutState> {
    let Some(rollouts) = &shared.rollouts else {
        return Vec::new();
    };
    let now = shared.now();
    let own_service = shared.service();
    let mut all = Vec::new();
    for known in rollouts.state.lock().book.known(now) {
        all.push(RolloutState {
            service: known.order.service.to_string(),
            target_version: known.order.target_version.to_string(),
            age_ms: known.age.as_millis() as u64,
            duration_ms: known.order.duration.as_millis() as u64,
            step: None,
            admission: None,
            decider: None,
            evidence: None,
        });
    }
    for state in &mut all {
        let service = state.service.as_str().into();
        state.decider = crate::rollouts::first_decider(shared, &service);
        let known = rollouts.state.lock();
        if service == own_service {
            state.step = known.gate.step();
            state.admission = Some(known.gate.admission(now));
        }
        if let Some(Deciding::Active(active)) = known.deciding.get(&service) {
            state.evidence = Some(active.evidence());
        }
    }
    all
}

fn organisations(shared: &Shared) -> (Vec<OrganisationState>, Tally) {
    let Some(table) = shared.versions.table() else {
        return (Vec::new(), Tally::default());
    };
    let Some(organisations) = table.organisations() else {
        return (Vec::new(), Tally::default());
    };
    let (top, rest) = shared.tallies.lock().top(MAX_ORGANISATIONS);
    let name = |id| organisations.get(id).map_or("(removed)", |o| &*o.name);
    let named = top.into_iter().map(|(id, requests)| OrganisationState {
        name: name(id).to_owned(),
        requests,
    });
    (named.collect(), rest)
}

/// Appends the requests by organisation in the Prometheus text format.
pub(crate) fn write_metrics(shared: &Shared, out: &mut String) {
    let (named, rest) = organisations(shared);
    if named.is_empty() {
        return;
    }
    let all = named.iter().map(|o| (o.name.as_str(), o.requests));
    for (name, tally) in all.chain([("(others)", rest)]) {
        // Names are visible ASCII.
        let name = name.replace('\\', "\\\\").replace('"', "\\\"");
        let outcomes = [
            ("sent", tally.sent),
            ("over_limit", tally.over_limit),
            ("refused", tally.refused),
        ];
        for (outcome, n) in outcomes {
            out.push_str(&format!(
                "briarlug_organisation_requests_total{{organisation=\"{name}\",outcome=\"{outcome}\"}} {n}\n"
            ));
        }
    }
}
