//! The health endpoint of the target beside the node.
//!
//! It is asked only when a life of the target is new here: after a start of the node or of the
//! target. Whether the target works well is judged by its answers.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, header};
use http_body_util::Full;

use crate::beside;
use crate::names;
use crate::shared::{Phase, Shared};
use crate::upstream::Reuse;

const TIMEOUT: Duration = Duration::from_secs(1);
/// Longest time without any answer, while requests run, before the target is tested. Few requests
/// take longer, and a test costs one connection.
const QUIET: Duration = Duration::from_secs(1);
/// Time between looks at a quiet target.
const WATCH_INTERVAL: Duration = Duration::from_millis(250);

/// Confirms new lives of the target until the node stops.
pub(crate) async fn confirm_lives(shared: Arc<Shared>) {
    loop {
        tokio::select! {
            () = shared.probe_health.notified() => {}
            () = shared.wait_for_phase(Phase::Stopped) => return,
        }
        confirm(&shared).await;
    }
}

async fn confirm(shared: &Shared) {
    let Some(req) = request(shared) else { return };
    let sent = shared.upstream.send(|| shared.now(), req, Reuse::Any);
    let Ok(Ok(answer)) = tokio::time::timeout(TIMEOUT, sent).await else {
        log::info!(event = "health_unanswered"; "the target's health endpoint did not answer");
        return;
    };
    let names = &shared.settings.names;
    let Some(name) = names::text(&answer.headers, &names.target_id) else {
        return;
    };
    let healthy = answer.status.is_success();
    log::info!(event = "health", target_id = name, status = answer.status.as_u16(); "the target's health endpoint answered");
    {
        let mut target = shared.target.lock();
        target.own.record_health_check(name, healthy);
    }
    shared.target_changed(shared.now());
}

fn request(shared: &Shared) -> Option<Request<Full<Bytes>>> {
    let table = shared.versions.table()?;
    let service = table.service(&shared.service())?;
    Request::get(&*service.health_path)
        .header(header::HOST, shared.upstream.addr().to_string())
        .body(Full::default())
        .ok()
}

/// Finds a target that has died without closing its connections.
pub(crate) async fn watch_quiet(shared: Arc<Shared>) {
    while crate::shared::sleep_unless_stopped(&shared, WATCH_INTERVAL).await {
        let now = shared.now();
        shared.upstream.drop_expired(now);
        let quiet = {
            let target = shared.target.lock();
            let oldest = target.queue.oldest_start();
            oldest.is_some_and(|start| now.since(start.max(target.last_response_at)) > QUIET)
        };
        if !quiet {
            continue;
        }
        shared.target.lock().last_response_at = now;
        if !shared.upstream.is_accepting().await {
            beside::mark_target_down(&shared);
            shared.target_losses.send_modify(|n| *n += 1);
        }
    }
}
