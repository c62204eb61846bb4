//! The callers' listener: checks on arrival, routing and the fingerprint of a request.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use axum::Router;
use axum::body::Body;
use axum::extract::{ConnectInfo, Request, State};
use axum::http::{HeaderMap, HeaderValue, header};
use axum::response::Response;
use axum::routing::post;
use claim::Key;
use config::{Repeat, Route};
use ops::{Metric, Span, TraceContext};
use wire::{Code, Executed, Fingerprint, Refusal, Time};

use crate::body::RequestBody;
use crate::call::Call;
use crate::headers::{HopMeta, for_next_hop, header_str};
use crate::shared::Shared;
use crate::{keys, problem};

/// Most headers of a request. The nodes add some, and the HTTP parser accepts 100 at most.
const MAX_HEADERS: usize = 64;
/// Most bytes of a request's path, query and headers; well below the limit of the peers' parser.
const MAX_HEAD_BYTES: usize = 32 * 1024;

/// Prefix of the mesh's own paths, which configured routes never match. It also covers the paths of
/// the peers' listener.
const RESERVED_PREFIX: &str = "/.briarlug/";

/// Returns the router of the callers' listener.
pub(crate) fn router(shared: Arc<Shared>) -> Router {
    Router::new()
        .route(keys::PATH, post(keys::issue))
        .fallback(handle)
        .method_not_allowed_fallback(handle)
        .with_state(shared)
}

async fn handle(
    State(shared): State<Arc<Shared>>,
    ConnectInfo(peer_addr): ConnectInfo<SocketAddr>,
    req: Request,
) -> Response {
    shared.metrics.count(Metric::EntryRequests);
    let in_progress = shared.in_progress();
    let parent = TraceContext::parse(header_str(req.headers(), "traceparent").unwrap_or_default());
    let mut span = shared.tracer.start("entry", &parent);
    let result = match prepare(&shared, peer_addr, req, &span).await {
        Ok(call) => call.run().await,
        Err(refusal) => Err(refusal),
    };
    match result {
        Ok(response) => response.into_response(&shared, span, in_progress),
        Err(refusal) => {
            span.set_attribute("briarlug.code", i64::from(refusal.code.number()));
            span.set_error("refused");
            count_refusal(&shared, refusal.code);
            problem::response(refusal)
        }
    }
}

/// Counts a refusal by whether the request certainly did not run.
pub(crate) fn count_refusal(shared: &Shared, code: Code) {
    let metric = match code.executed() {
        Some(Executed::No) => Metric::RefusedNotRun,
        _ => Metric::RefusedOutcomeUnknown,
    };
    shared.metrics.count(metric);
}

/// Checks a request on arrival, finds its route, reads the first part of its body and computes its
/// fingerprint.
async fn prepare(
    shared: &Arc<Shared>,
    peer_addr: SocketAddr,
    req: Request,
    span: &Span,
) -> Result<Call, Refusal> {
    shared.check_serving()?;
    let snapshot = shared.snapshot();
    let (parts, body) = req.into_parts();
    let path = parts
        .uri
        .path_and_query()
        .map_or("/", |p| p.as_str())
        .to_owned();
    check_head(&path, &parts.headers)?;
    if path.starts_with(RESERVED_PREFIX) {
        return Err(Code::NoRoute.into());
    }
    let route = snapshot
        .route_for(parts.method.as_str(), &path)
        .ok_or(Code::NoRoute)?;
    let service = shared
        .services
        .get(&route.service)
        .ok_or(Code::OutOfScope)?;
    let now = shared.clock.now();
    let deadline = now + request_timeout(&parts.headers, route)?;
    let key = header_str(&parts.headers, "idempotency-key").map(str::to_owned);
    if route.repeat == Repeat::Never {
        let key = key.as_deref().ok_or(Code::KeyMissing)?;
        Key::try_from(key).map_err(|_| Code::BadHeader)?;
    }
    let body = read_body(shared, body, deadline).await?;
    let length = body_length(&parts.headers, &body);
    let fingerprint = Fingerprint::of(&[
        route.service.0.as_bytes(),
        parts.method.as_str().as_bytes(),
        path.as_bytes(),
        key.as_deref().unwrap_or_default().as_bytes(),
        &length.to_le_bytes(),
        body.fingerprint_prefix(),
    ]);
    if shared.is_quarantined(fingerprint) {
        return Err(Code::Quarantined.into());
    }
    service.record_request(now);
    let meta = HopMeta {
        version: snapshot.version(),
        service: route.service.clone(),
        route: route.id.0,
        repeat: route.repeat,
        class: route.class,
        remaining: Duration::ZERO,
        caller: caller_id(&parts.headers, peer_addr),
        fingerprint,
        attempt: 0,
    };
    let can_hedge = route.hedge && body.rest.is_none();
    let headers = for_next_hop(parts.headers);
    Ok(Call {
        shared: shared.clone(),
        _snapshot: snapshot,
        service,
        method: parts.method,
        path,
        headers,
        meta,
        deadline,
        body,
        key,
        can_hedge,
        parent: span.context().clone(),
    })
}

/// Returns the request's timeout: the one set by the caller, capped by the route's.
fn request_timeout(headers: &HeaderMap, route: &Route) -> Result<Duration, Code> {
    let Some(value) = headers.get(wire::TIMEOUT_MS) else {
        return Ok(route.timeout);
    };
    let ms = value
        .to_str()
        .ok()
        .and_then(|v| v.parse().ok())
        .ok_or(Code::BadHeader)?;
    if ms == 0 {
        return Err(Code::DeadlinePassed);
    }
    Ok(Duration::from_millis(ms).min(route.timeout))
}

async fn read_body(shared: &Shared, body: Body, deadline: Time) -> Result<RequestBody, Refusal> {
    let read = tokio::time::timeout_at(
        shared.clock.to_tokio_instant(deadline),
        RequestBody::read(body),
    );
    let body = read.await.map_err(|_| Code::DeadlinePassed)?;
    // Reading fails only if the caller's connection broke, so the code reaches nobody.
    Ok(body.map_err(|_| Code::BadHeader)?)
}

/// Identifies the caller for fair sharing: by the caller header if there is one, otherwise by its
/// IP address.
fn caller_id(headers: &HeaderMap, peer_addr: SocketAddr) -> u64 {
    match header_str(headers, wire::CALLER) {
        Some(name) => Fingerprint::of(&[b"name", name.as_bytes()]).0,
        None => Fingerprint::of(&[b"addr", peer_addr.ip().to_string().as_bytes()]).0,
    }
}

/// Returns the body length to include in the fingerprint: for a long body the declared length, or
/// [`u64::MAX`] if there is none. The buffered length of a long body depends on how it was split
/// into frames and differs between copies of a request.
fn body_length(headers: &HeaderMap, body: &RequestBody) -> u64 {
    if body.rest.is_none() {
        return body.prefix.len() as u64;
    }
    let declared = header_str(headers, "content-length").and_then(|v| v.parse().ok());
    declared.unwrap_or(u64::MAX)
}

/// Refuses a request head that is too large for the next hop, or that repeats a header which two
/// hops could then read differently.
fn check_head(path: &str, headers: &HeaderMap) -> Result<(), Code> {
    let line_bytes =
        |(name, value): (&header::HeaderName, &HeaderValue)| name.as_str().len() + value.len();
    let bytes = path.len() + headers.iter().map(line_bytes).sum::<usize>();
    let single_value = [wire::TIMEOUT_MS, wire::CALLER, "idempotency-key"];
    let is_single = |name: &&str| headers.get_all(*name).iter().count() <= 1;
    if headers.len() > MAX_HEADERS || bytes > MAX_HEAD_BYTES || !single_value.iter().all(is_single)
    {
        return Err(Code::BadHeader);
    }
    Ok(())
}
