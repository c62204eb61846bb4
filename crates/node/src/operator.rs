//! Health and state for operators.

use std::collections::BTreeSet;
use std::sync::Arc;

use axum::extract::State;
use axum::http::StatusCode;
use axum::routing::get;
use axum::{Json, Router};
use ops::Metric;
use serde::{Deserialize, Serialize};
use spread::{LogState, Status};
use wire::{InstanceId, Load};

use crate::control::GetStatus;
use crate::shared::Shared;
use crate::target::Phase;

/// What a node reports of itself and of the mesh.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct StateReport {
    /// Name of the instance.
    pub name: String,
    /// Service of its target.
    pub service: String,
    /// Failure domain.
    pub domain: String,
    /// Whether the node serves requests.
    pub ready: bool,
    /// Whether the node is shutting down.
    pub draining: bool,
    /// Version in force.
    pub version: u64,
    /// Digest of the version in force.
    pub digest: String,
    /// Version below which the node must not serve.
    pub floor: u64,
    /// Newest version heard of; above `version` while the node catches up.
    pub newest_heard: u64,
    /// What the node knows of the log: `unknown`, `reading`, `at end`, `down` or `behind`.
    pub log: String,
    /// Whether the node is one of its failure domain's log readers.
    pub log_reader: bool,
    /// Whether the target takes work: `up`, `draining` or `down`.
    pub target: String,
    /// Load of the target.
    pub load: Load,
    /// Members in scope, in order of service and name.
    pub members: Vec<MemberReport>,
    /// Fingerprints of quarantined requests.
    pub quarantined: Vec<String>,
    /// Values of the metrics by name.
    pub metrics: std::collections::BTreeMap<String, u64>,
}

/// A member as a node sees it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct MemberReport {
    /// Name of the instance.
    pub name: String,
    /// Service of its target.
    pub service: String,
    /// Failure domain.
    pub domain: String,
    /// State of the instance.
    pub state: String,
    /// Last version heard from it.
    pub version: u64,
    /// Whether its failure domain can be reached from this node.
    #[serde(default = "reachable")]
    pub reachable: bool,
    /// Whether this node has ejected it for being slow or failing.
    pub ejected: bool,
}

// The page of a node of an older build has no such field.
fn reachable() -> bool {
    true
}

/// Routes of the operators' listener.
pub(crate) fn router(shared: Arc<Shared>) -> Router {
    Router::new()
        .route("/livez", get(async || "ok\n"))
        .route("/readyz", get(readyz))
        .route("/state", get(state))
        .with_state(shared)
}

async fn readyz(State(shared): State<Arc<Shared>>) -> (StatusCode, &'static str) {
    match shared.check_serving() {
        Ok(()) => (StatusCode::OK, "ready\n"),
        Err(refusal) => (StatusCode::SERVICE_UNAVAILABLE, refusal.code.title()),
    }
}

async fn state(State(shared): State<Arc<Shared>>) -> Json<StateReport> {
    Json(report(&shared).await)
}

pub(crate) async fn report(shared: &Shared) -> StateReport {
    refresh_metrics(shared).await;
    let now = shared.clock.now();
    let spread = spread_status(shared).await;
    let ejected = ejected(shared);
    let phase = match shared.target.phase(now) {
        Phase::Up => "up",
        Phase::Draining => "draining",
        Phase::Down => "down",
    };
    let in_view = shared.members.load();
    let member = |r: &member::Record| MemberReport {
        name: r.name.to_string(),
        service: r.service.to_string(),
        domain: r.domain.to_string(),
        state: format!("{:?}", r.state).to_lowercase(),
        version: r.version.0,
        reachable: r.id == shared.id || in_view.contains_key(&r.id),
        ejected: ejected.contains(&r.id),
    };
    let mut members: Vec<_> = shared.all_members().await.iter().map(member).collect();
    members.sort_by(|a, b| (&a.service, &a.name).cmp(&(&b.service, &b.name)));
    let log = match spread.log {
        LogState::Unknown => "unknown",
        LogState::Reading => "reading",
        LogState::AtEnd => "at end",
        LogState::Unavailable => "down",
        LogState::FormatUnsupported(_) => "behind",
    };
    // A node that gets ready meanwhile must not be shown as ready with the version before.
    let ready = shared.is_ready();
    let snapshot = shared.snapshot();
    StateReport {
        name: shared.settings.name.clone(),
        service: shared.settings.service.to_string(),
        domain: shared.settings.domain.to_string(),
        ready,
        draining: shared.is_draining(),
        version: snapshot.version().0,
        digest: snapshot.digest().to_string(),
        floor: spread.version_floor.0,
        newest_heard: spread.newest_heard.0,
        log: log.to_owned(),
        log_reader: spread.is_reader,
        target: phase.to_owned(),
        load: shared.gate.load(),
        members,
        quarantined: shared
            .quarantined()
            .iter()
            .map(|f| format!("{:016x}", f.0))
            .collect(),
        metrics: Metric::ALL
            .iter()
            .map(|m| (m.name().to_owned(), shared.metrics.get(*m)))
            .collect(),
    }
}

/// Sets the metrics that are derived from other state.
pub(crate) async fn refresh_metrics(shared: &Shared) {
    let spread = spread_status(shared).await;
    let metrics = &shared.metrics;
    metrics.set(Metric::VersionConflicts, spread.conflicts);
    metrics.set(Metric::Ejected, ejected(shared).len() as u64);
}

fn ejected(shared: &Shared) -> BTreeSet<InstanceId> {
    let services = shared.services.all();
    services.values().flat_map(|s| s.ejected()).collect()
}

async fn spread_status(shared: &Shared) -> Status {
    match shared.links.get() {
        Some(links) => links
            .control
            .ask(GetStatus)
            .await
            .map(|s| s.0)
            .unwrap_or_default(),
        None => Status::default(),
    }
}
