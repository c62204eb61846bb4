//! HTTP listener for operators: health checks and the state of the node.

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

/// State of a node and its view of the mesh, served as JSON at `/state`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct StateReport {
    /// Name of the instance.
    pub name: String,
    /// Service of the instance's target.
    pub service: String,
    /// Failure domain of the instance.
    pub domain: String,
    /// Whether the node's configuration is recent enough to serve requests.
    pub ready: bool,
    /// Whether the node is shutting down.
    pub draining: bool,
    /// Configuration version in force.
    pub version: u64,
    /// Digest of the version in force, in hexadecimal.
    pub digest: String,
    /// Lowest version with which the node may serve requests.
    pub floor: u64,
    /// Newest version reported by the log or a peer; above `version` while the node catches up.
    pub newest_heard: u64,
    /// State of the publication stream: `unknown`, `reading`, `at end`, `down` (a read failed) or
    /// `behind` (the stream has records of a newer format than this build reads).
    pub log: String,
    /// Whether the node reads the log on behalf of its failure domain.
    pub log_reader: bool,
    /// Phase of the target: `up` (takes requests), `draining` or `down`.
    pub target: String,
    /// Load of the target, as counted at admission.
    pub load: Load,
    /// Members in scope, this node included, in order of service and name.
    pub members: Vec<MemberReport>,
    /// Fingerprints of quarantined requests, 16 hexadecimal digits each.
    pub quarantined: Vec<String>,
    /// Metrics by name.
    pub metrics: std::collections::BTreeMap<String, u64>,
}

/// A member in the view of the reporting node.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct MemberReport {
    /// Name of the instance.
    pub name: String,
    /// Service of the instance's target.
    pub service: String,
    /// Failure domain of the instance.
    pub domain: String,
    /// Membership state: `starting`, `ready`, `draining` or `left`.
    pub state: String,
    /// Last configuration version that the instance reported.
    pub version: u64,
    /// Whether the reporting node reaches the instance's failure domain.
    #[serde(default = "reachable")]
    pub reachable: bool,
    /// Whether the reporting node has ejected the instance as an outlier (slow or failing).
    pub ejected: bool,
}

// Default for reports of nodes of older builds, which lack the field.
fn reachable() -> bool {
    true
}

/// Returns the routes of the operators' listener.
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
    Json(state_report(&shared).await)
}

pub(crate) async fn state_report(shared: &Shared) -> StateReport {
    refresh_metrics(shared).await;
    let now = shared.clock.now();
    let spread = spread_status(shared).await;
    let ejected = ejected_instances(shared);
    let phase = match shared.target.phase(now) {
        Phase::Up => "up",
        Phase::Draining => "draining",
        Phase::Down => "down",
    };
    let reachable_members = shared.members.load();
    let member_report = |r: &member::Record| MemberReport {
        name: r.name.to_string(),
        service: r.service.to_string(),
        domain: r.domain.to_string(),
        state: format!("{:?}", r.state).to_lowercase(),
        version: r.version.0,
        reachable: r.id == shared.id || reachable_members.contains_key(&r.id),
        ejected: ejected.contains(&r.id),
    };
    let mut members: Vec<_> = shared
        .all_members()
        .await
        .iter()
        .map(member_report)
        .collect();
    members.sort_by(|a, b| (&a.service, &a.name).cmp(&(&b.service, &b.name)));
    let log = match spread.log {
        LogState::Unknown => "unknown",
        LogState::Reading => "reading",
        LogState::AtEnd => "at end",
        LogState::Unavailable => "down",
        LogState::FormatUnsupported(_) => "behind",
    };
    // `ready` is read before the snapshot: in the opposite order, a node that becomes ready in between
    // would be reported as ready with the previous version.
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
            .quarantined_fingerprints()
            .iter()
            .map(|f| format!("{:016x}", f.0))
            .collect(),
        metrics: Metric::ALL
            .iter()
            .map(|m| (m.name().to_owned(), shared.metrics.get(*m)))
            .collect(),
    }
}

/// Updates the metrics that are derived from other state.
pub(crate) async fn refresh_metrics(shared: &Shared) {
    let spread = spread_status(shared).await;
    let metrics = &shared.metrics;
    metrics.set(Metric::VersionConflicts, spread.conflicts);
    metrics.set(Metric::Ejected, ejected_instances(shared).len() as u64);
}

fn ejected_instances(shared: &Shared) -> BTreeSet<InstanceId> {
    let services = shared.services.all();
    services.values().flat_map(|s| s.ejected()).collect()
}

async fn spread_status(shared: &Shared) -> Status {
    match shared.actors.get() {
        Some(actors) => actors
            .control
            .ask(GetStatus)
            .await
            .map(|s| s.0)
            .unwrap_or_default(),
        None => Status::default(),
    }
}
