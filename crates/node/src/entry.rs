//! Requests from callers: what is checked and decided on their arrival.

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

use crate::body::Inbound;
use crate::call::Call;
use crate::headers::{HopMeta, for_next_hop, text};
use crate::shared::Shared;
use crate::{keys, problem};

/// Headers of a request. The nodes add some, and an HTTP parser takes 100 at most.
const MAX_HEADERS: usize = 64;
/// Bytes of a request's path, query and headers; well under what the peers' parser takes.
const MAX_HEAD_BYTES: usize = 32 * 1024;

/// Paths of this system, which no route of the text can take over: the peers' listener has some too.
const OWN_PATHS: &str = "/.briarlug/";

/// Routes of the callers' listener.
pub(crate) fn router(shared: Arc<Shared>) -> Router {
    Router::new()
        .route(keys::PATH, post(keys::issue))
        .fallback(handle)
        .method_not_allowed_fallback(handle)
        .with_state(shared)
}

async fn handle(
    State(shared): State<Arc<Shared>>,
    ConnectInfo(from): ConnectInfo<SocketAddr>,
    req: Request,
) -> Response {
    shared.metrics.count(Metric::EntryRequests);
    let in_progress = shared.in_progress();
    let parent = TraceContext::parse(text(req.headers(), "traceparent").unwrap_or_default());
    let mut span = shared.tracer.start("entry", &parent);
    let result = match prepare(&shared, from, req, &span).await {
        Ok(call) => call.run().await,
        Err(refusal) => Err(refusal),
    };
    match result {
        Ok(answer) => answer.into_response(&shared, span, in_progress),
        Err(refusal) => {
            span.set_attribute("briarlug.code", i64::from(refusal.code.number()));
            span.set_error("refused");
            count_refusal(&shared, refusal.code);
            problem::response(refusal)
        }
    }
}

pub(crate) fn count_refusal(shared: &Shared, code: Code) {
    let metric = match code.executed() {
        Some(Executed::No) => Metric::RefusedNotRun,
        _ => Metric::RefusedOutcomeUnknown,
    };
    shared.metrics.count(metric);
}

/// Decides all that is decided about a request on its arrival.
async fn prepare(
    shared: &Arc<Shared>,
    from: SocketAddr,
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
    if path.starts_with(OWN_PATHS) {
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
    let deadline = now + time_allowed(&parts.headers, route)?;
    let key = text(&parts.headers, "idempotency-key").map(str::to_owned);
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
        body.head(),
    ]);
    if shared.is_quarantined(fingerprint) {
        return Err(Code::Quarantined.into());
    }
    service.request(now);
    let meta = HopMeta {
        version: snapshot.version(),
        service: route.service.clone(),
        route: route.id.0,
        repeat: route.repeat,
        class: route.class,
        remaining: Duration::ZERO,
        caller: caller(&parts.headers, from),
        fingerprint,
        attempt: 0,
    };
    let hedge = route.hedge && body.rest.is_none();
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
        hedge,
        parent: span.context().clone(),
    })
}

/// Returns the time for the request: the caller's, but never more than the route's.
fn time_allowed(headers: &HeaderMap, route: &Route) -> Result<Duration, Code> {
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

async fn read_body(shared: &Shared, body: Body, deadline: Time) -> Result<Inbound, Refusal> {
    let read = tokio::time::timeout_at(shared.clock.instant(deadline), Inbound::read(body));
    let body = read.await.map_err(|_| Code::DeadlinePassed)?;
    // The caller broke off, so nobody reads the code.
    Ok(body.map_err(|_| Code::BadHeader)?)
}

/// Identifies the caller for fair shares: the header if there is one, else the peer address.
fn caller(headers: &HeaderMap, from: SocketAddr) -> u64 {
    match text(headers, wire::CALLER) {
        Some(name) => Fingerprint::of(&[b"name", name.as_bytes()]).0,
        None => Fingerprint::of(&[b"addr", from.ip().to_string().as_bytes()]).0,
    }
}

/// Returns the length of a request's body. The part that was read of a long body varies with the
/// sizes of the pieces in which it arrived, so it must not take part in the fingerprint.
fn body_length(headers: &HeaderMap, body: &Inbound) -> u64 {
    if body.rest.is_none() {
        return body.prefix.len() as u64;
    }
    let declared = text(headers, "content-length").and_then(|v| v.parse().ok());
    declared.unwrap_or(u64::MAX)
}

/// Refuses a head that another hop might not take, or that two hops might read differently.
fn check_head(path: &str, headers: &HeaderMap) -> Result<(), Code> {
    let line =
        |(name, value): (&header::HeaderName, &HeaderValue)| name.as_str().len() + value.len();
    let bytes = path.len() + headers.iter().map(line).sum::<usize>();
    let single = [wire::TIMEOUT_MS, wire::CALLER, "idempotency-key"];
    let is_single = |name: &&str| headers.get_all(*name).iter().count() <= 1;
    if headers.len() > MAX_HEADERS || bytes > MAX_HEAD_BYTES || !single.iter().all(is_single) {
        return Err(Code::BadHeader);
    }
    Ok(())
}
