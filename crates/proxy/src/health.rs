//! Health checks of the node's target.
//!
//! The health endpoint is queried once for each incarnation of the target that is new to this node,
//! after a start of the node or of the target. From then on, the health of the target is judged by
//! its responses to requests, and by a probe (a new connection) if it is unresponsive.

use std::sync::Arc;
use std::time::Duration;

use http::{Request, header};

use crate::beside;
use crate::names;
use crate::shared::{Phase, Shared};
use crate::upstream::{RequestBody, Reuse};

/// Longest wait for the response of the health endpoint.
const HEALTH_TIMEOUT: Duration = Duration::from_secs(1);
/// Time without any response, while a request runs, after which the target counts as unresponsive
/// and is probed with a new connection; also the time between probes. Few requests take longer, and
/// a probe costs one connection.
const PROBE_AFTER: Duration = Duration::from_secs(1);
/// Time between checks for an unresponsive target.
const WATCH_INTERVAL: Duration = Duration::from_millis(250);

/// Queries the health endpoint for each new incarnation of the target, until the node stops.
pub(crate) async fn confirm_incarnations(shared: Arc<Shared>) {
    loop {
        tokio::select! {
            () = shared.health_check_due.notified() => {}
            () = shared.wait_for_phase(Phase::Stopped) => return,
        }
        check_health(&shared).await;
    }
}

/// Queries the health endpoint once. A successful response confirms the current incarnation if it
/// carries the name of that incarnation.
async fn check_health(shared: &Shared) {
    let Some(req) = request(shared) else { return };
    let sent = shared.upstream.send(shared, req, Reuse::Never);
    let Ok(Ok(response)) = tokio::time::timeout(HEALTH_TIMEOUT, sent).await else {
        log::info!(event = "health_unanswered"; "the target's health endpoint did not respond; the target is not confirmed");
        return;
    };
    let header_names = &shared.settings.header_names;
    let Some(name) = names::visible_ascii(&response.headers, &header_names.target_id) else {
        return;
    };
    let healthy = response.status.is_success();
    log::info!(event = "health", target_id = name, status = response.status.as_u16(); "the target's health endpoint responded");
    {
        let mut target = shared.target.lock();
        target.own.record_health_check(name, healthy);
    }
    shared.target_changed(shared.now());
}

fn request(shared: &Shared) -> Option<Request<RequestBody>> {
    let table = shared.versions.table()?;
    let service = table.service(&shared.service())?;
    Request::get(&*service.health_path)
        .header(header::HOST, shared.upstream.addr().to_string())
        .body(RequestBody::default())
        .ok()
}

/// Detects a target that has died without closing its connections: probes an unresponsive target,
/// and if it accepts no connection, marks it as down and fails the requests that it runs. Also
/// drops the expired idle connections to the target. Runs until the node stops.
pub(crate) async fn probe_when_unresponsive(shared: Arc<Shared>) {
    while crate::shared::sleep_unless_stopped(&shared, WATCH_INTERVAL).await {
        let now = shared.now();
        shared.upstream.drop_expired(now);
        shared.drop_idle_bodies(now);
        let is_unresponsive = {
            let target = shared.target.lock();
            let oldest = target.queue.oldest_start();
            oldest.is_some_and(|start| now.since(start.max(target.last_response_at)) > PROBE_AFTER)
        };
        if !is_unresponsive {
            continue;
        }
        shared.target.lock().last_response_at = now;
        if !shared.upstream.is_accepting(&shared).await {
            beside::mark_target_down(&shared);
            shared.target_losses.send_modify(|n| *n += 1);
        }
    }
}
