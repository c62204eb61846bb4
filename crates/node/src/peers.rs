//! The peers' listener: requests and strikes sent by other nodes.

use std::sync::Arc;
use std::time::Duration;

use axum::Router;
use axum::extract::{Request, State};
use axum::response::Response;
use axum::routing::post;
use ops::{Metric, TraceContext};
use wire::{Code, Refusal};

use crate::body::RequestBody;
use crate::headers::{HOP_HEADER, HopMeta, for_next_hop, header_str, verify_hop};
use crate::shared::Shared;
use crate::target_side::{self, Hop};
use crate::{problem, strikes};

/// Longest wait for the first part of a request's body, even if the deadline allows more.
const MAX_BODY_PREFIX_WAIT: Duration = Duration::from_secs(30);

/// Returns the router of the peers' listener.
pub(crate) fn router(shared: Arc<Shared>) -> Router {
    Router::new()
        .route(strikes::PATH, post(strikes::receive))
        .fallback(handle)
        .with_state(shared)
}

async fn handle(State(shared): State<Arc<Shared>>, req: Request) -> Response {
    shared.metrics.count(Metric::HopRequests);
    let _in_progress = shared.in_progress();
    match parse_hop(&shared, req).await {
        Ok(hop) => target_side::serve(&shared, hop).await,
        Err(refusal) => problem::response(refusal),
    }
}

/// Authenticates a request of another node and reads the first part of its body.
async fn parse_hop(shared: &Arc<Shared>, req: Request) -> Result<Hop, Refusal> {
    let (parts, body) = req.into_parts();
    let path = parts
        .uri
        .path_and_query()
        .map_or("/", |p| p.as_str())
        .to_owned();
    let raw = header_str(&parts.headers, HOP_HEADER).ok_or(Code::BadHeader)?;
    let mac = header_str(&parts.headers, wire::HOP_MAC).ok_or(Code::BadHeader)?;
    if !verify_hop(&shared.settings.keys, &parts.method, &path, raw, mac) {
        shared.metrics.count(Metric::DroppedBadMac);
        return Err(Code::BadHeader.into());
    }
    let meta = HopMeta::decode(raw).ok_or(Code::BadHeader)?;
    let deadline = shared.clock.now() + meta.remaining;
    let parent = TraceContext::parse(header_str(&parts.headers, "traceparent").unwrap_or_default());
    let key = header_str(&parts.headers, "idempotency-key").map(str::to_owned);
    let headers = for_next_hop(parts.headers);
    let wait = meta.remaining.min(MAX_BODY_PREFIX_WAIT);
    let body = tokio::time::timeout(wait, RequestBody::read(body))
        .await
        .map_err(|_| Code::DeadlinePassed)?
        .map_err(|_| Code::BadHeader)?;
    Ok(Hop {
        method: parts.method,
        path,
        headers,
        meta,
        deadline,
        body,
        key,
        parent,
        lost_incarnation: Arc::default(),
    })
}
