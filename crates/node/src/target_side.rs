//! The target side of a request: admission, claim and hand-over to the local target, which runs on
//! the same instance as this node.

use std::net::SocketAddr;
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use admit::Offer;
use axum::body::Body;
use axum::http::{HeaderMap, HeaderValue, Method};
use axum::response::Response;
use config::{Class, Repeat};
use futures_util::StreamExt;
use ops::{Metric, Span, TraceContext};
use wire::{Code, Fingerprint, Refusal, Time};

use crate::body::{BodyEnd, RequestBody, TrackedBody};
use crate::clock::unix_now;
use crate::gate::Permit;
use crate::headers::{HopMeta, strip_hop_by_hop, strip_mesh_headers};
use crate::shared::Shared;
use crate::{once, problem, strikes};

/// Longest wait for a connection to the local target.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest wait for a connection in the liveness check after a failed request. A target that
/// accepts none within this time counts as dead.
const LIVENESS_CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
/// A target is alive if a new connection to it stays open for this long. A dying process closes
/// its sockets within a few milliseconds.
const LIVENESS_READ_TIMEOUT: Duration = Duration::from_millis(20);

/// A request forwarded to the target side, by another node or by this one.
#[derive(Debug)]
pub(crate) struct Hop {
    pub(crate) method: Method,
    /// Path and query.
    pub(crate) path: String,
    /// Headers for the target, without hop-by-hop headers and those of the mesh itself.
    pub(crate) headers: HeaderMap,
    pub(crate) meta: HopMeta,
    pub(crate) deadline: Time,
    pub(crate) body: RequestBody,
    /// Idempotency key; required if the route's requests must not be repeated.
    pub(crate) key: Option<String>,
    pub(crate) parent: TraceContext,
    /// Incarnation of the target that died while it ran the request; unset if none did.
    pub(crate) lost_incarnation: Arc<OnceLock<u64>>,
}

/// Serves a request. Refusals are returned as responses too, and each response carries the
/// target's load.
pub(crate) async fn serve(shared: &Arc<Shared>, hop: Hop) -> Response {
    let lost_incarnation = hop.lost_incarnation.clone();
    let mut res = match try_serve(shared, hop).await {
        Ok(res) => res,
        Err(refusal) => problem::response(refusal),
    };
    if let Some(incarnation) = lost_incarnation.get() {
        problem::add_strike(res.headers_mut(), *incarnation);
    }
    problem::add_load(res.headers_mut(), shared.gate.load());
    res
}

async fn try_serve(shared: &Arc<Shared>, hop: Hop) -> Result<Response, Refusal> {
    if hop.meta.service != shared.settings.service {
        return Err(Code::NoInstance.into());
    }
    // Replaying a recorded outcome needs no work from the target, so it comes before the checks
    // for drain, health and quarantine.
    if hop.meta.repeat == Repeat::Never
        && let Some(res) = once::recorded_response(shared, &hop).await
    {
        return Ok(res);
    }
    if shared.is_draining() {
        return Err(Code::Draining.into());
    }
    shared.target.address(shared.clock.now())?;
    if shared.is_quarantined(hop.meta.fingerprint) {
        return Err(Code::Quarantined.into());
    }
    let permit = admit(shared, &hop).await?;
    match hop.meta.repeat {
        Repeat::Safe => dispatch(shared, hop, permit).await,
        Repeat::Never => once::run_once(shared, hop, permit).await,
    }
}

/// Waits for a slot of the target.
async fn admit(shared: &Arc<Shared>, hop: &Hop) -> Result<Permit, Refusal> {
    let mut span = shared.tracer.start("admit", &hop.parent);
    let offer = Offer {
        route: hop.meta.route,
        operation: operation_hash(&hop.method, &hop.path),
        class: match hop.meta.class {
            Class::Short => admit::Class::Short,
            Class::Long => admit::Class::Long,
            Class::Auto => admit::Class::Auto,
        },
        caller: hop.meta.caller,
        deadline: hop.deadline,
    };
    let admitted = shared.gate.acquire(&offer).await;
    if let Err(refusal) = &admitted {
        span.set_attribute("briarlug.code", i64::from(refusal.code.number()));
        span.set_error("refused");
    }
    admitted
}

/// Returns the hash by which admission tells long from short requests on one route. The query is
/// left out because it varies between requests that cost about the same.
fn operation_hash(method: &Method, path: &str) -> u64 {
    let path = path.split('?').next().unwrap_or(path);
    Fingerprint::of(&[method.as_str().as_bytes(), path.as_bytes()]).0
}

/// Sends the request to the target and relays its response. An error with `executed: "no"`
/// guarantees that no byte was sent.
pub(crate) async fn dispatch(
    shared: &Arc<Shared>,
    mut hop: Hop,
    permit: Permit,
) -> Result<Response, Refusal> {
    let mut span = shared.tracer.start("target", &hop.parent);
    let result = exchange(shared, &mut hop, &span).await;
    if let Err(refusal) = &result {
        span.set_attribute("briarlug.code", i64::from(refusal.code.number()));
        span.set_error("no answer");
    }
    Ok(relay_response(shared, &hop, result?, permit, span))
}

/// Sends the request to the target and returns the head of its response. If the connection breaks
/// and the target turns out to be dead, counts a strike against the request.
pub(crate) async fn exchange(
    shared: &Arc<Shared>,
    hop: &mut Hop,
    span: &Span,
) -> Result<reqwest::Response, Refusal> {
    let addr = shared.target.address(shared.clock.now())?;
    let is_buffered = hop.body.rest.is_none();
    let body = hop
        .body
        .take_for_attempt(is_buffered)
        .ok_or(Code::AttemptsUsedUp)?;
    let mut headers = hop.headers.clone();
    if let Some(value) = span
        .context()
        .to_header()
        .and_then(|v| HeaderValue::from_str(&v).ok())
    {
        headers.insert("traceparent", value);
    }
    // The clock is read right before the request is sent, and the target receives the deadline as
    // well, because this process may be paused between any two steps.
    let now = shared.clock.now();
    if now >= hop.deadline {
        return Err(Code::DeadlinePassed.into());
    }
    let deadline_unix = unix_now() + (hop.deadline - now);
    headers.insert(wire::DEADLINE_UNIX_MS, HeaderValue::from(deadline_unix.0));
    let url = format!("http://{addr}{}", hop.path);
    let req = shared
        .target_client
        .request(hop.method.clone(), url)
        .headers(headers)
        .body(body);
    shared.metrics.count(Metric::HandOvers);
    let timeout = shared.clock.to_tokio_instant(hop.deadline);
    match tokio::time::timeout_at(timeout, req.send()).await {
        Ok(Ok(res)) => Ok(res),
        Ok(Err(e)) if e.is_connect() => {
            shared.metrics.count(Metric::TargetConnectFailed);
            Err(Code::TargetDown.into())
        }
        Ok(Err(_)) => {
            shared.metrics.count(Metric::TargetLost);
            if let Some(incarnation) = strike_if_dead(shared, addr, hop.meta.fingerprint).await {
                let _ = hop.lost_incarnation.set(incarnation);
            }
            Err(Code::TargetLost.into())
        }
        Err(_) => Err(Code::TargetTimeout.into()),
    }
}

/// Checks whether the target is alive. If it is dead, marks it as down, counts a strike against the
/// request, notifies peers and returns the incarnation that died; otherwise returns `None`.
pub(crate) async fn strike_if_dead(
    shared: &Arc<Shared>,
    addr: SocketAddr,
    fp: Fingerprint,
) -> Option<u64> {
    let incarnation = shared.target.incarnation();
    if !is_dead(addr).await {
        return None;
    }
    shared.mark_target_lost();
    shared.issue_strike(fp, incarnation).await;
    strikes::notify_peers(shared, fp, incarnation).await;
    Some(incarnation)
}

/// Returns whether the process at `addr` is dead: it accepts no connection, or closes a new one
/// within [`LIVENESS_READ_TIMEOUT`].
/// Accepting alone proves nothing, because the sockets of a dying process close one after the other
/// and its listener may be among the last.
async fn is_dead(addr: SocketAddr) -> bool {
    let connect = tokio::net::TcpStream::connect(addr);
    let Ok(Ok(mut tcp)) = tokio::time::timeout(LIVENESS_CONNECT_TIMEOUT, connect).await else {
        return true;
    };
    let mut buf = [0];
    let read = tokio::io::AsyncReadExt::read(&mut tcp, &mut buf);
    tokio::time::timeout(LIVENESS_READ_TIMEOUT, read)
        .await
        .is_ok()
}

/// Builds the response whose body is streamed from the target. The end of the body decides on
/// strikes, metrics and the release of `permit`.
fn relay_response(
    shared: &Arc<Shared>,
    hop: &Hop,
    res: reqwest::Response,
    permit: Permit,
    span: Span,
) -> Response {
    let length = res.content_length();
    let mut out = response_head(&res);
    let shared = shared.clone();
    let fingerprint = hop.meta.fingerprint;
    let addr = res.remote_addr();
    let in_progress = shared.in_progress();
    let on_end = move |end| {
        // Moved into this closure so that the span and the in-progress count last until the body
        // ends, as the slot (`permit`) does.
        let _guards = (span, in_progress);
        match end {
            BodyEnd::Complete => {
                shared.clear_strikes(fingerprint);
                permit.complete();
            }
            BodyEnd::SourceFailed => {
                shared.metrics.count(Metric::ResponsesBroken);
                let task_shared = shared.clone();
                shared.tasks.spawn(async move {
                    if let Some(addr) = addr {
                        strike_if_dead(&task_shared, addr, fingerprint).await;
                    }
                });
            }
            BodyEnd::ReaderGone => shared.metrics.count(Metric::Cancelled),
        }
    };
    let stream = TrackedBody::new(res.bytes_stream().boxed(), length, on_end);
    *out.body_mut() = Body::from_stream(stream);
    out
}

/// Returns a response without a body that has the status and the end-to-end headers of `res`.
pub(crate) fn response_head(res: &reqwest::Response) -> Response {
    let mut out = Response::new(Body::empty());
    *out.status_mut() = res.status();
    *out.headers_mut() = res.headers().clone();
    strip_mesh_headers(out.headers_mut());
    strip_hop_by_hop(out.headers_mut());
    out
}

/// Opens and closes a connection to the target; fails with [`Code::TargetDown`] if it accepts none
/// within [`CONNECT_TIMEOUT`].
pub(crate) async fn check_connect(shared: &Shared) -> Result<(), Code> {
    let addr = shared.target.address(shared.clock.now())?;
    let connect = tokio::net::TcpStream::connect(addr);
    match tokio::time::timeout(CONNECT_TIMEOUT, connect).await {
        Ok(Ok(_)) => Ok(()),
        _ => {
            shared.metrics.count(Metric::TargetConnectFailed);
            Err(Code::TargetDown)
        }
    }
}
