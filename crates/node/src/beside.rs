//! Serving a request at the node beside the target: admission, claim, hand-over.

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

use crate::body::{End, Inbound, Reporting};
use crate::clock::unix_now;
use crate::gate::Permit;
use crate::headers::{HopMeta, strip_hop_by_hop, strip_own};
use crate::shared::Shared;
use crate::{once, problem, strikes};

/// Time to open a connection to the target on the same instance.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// A target that still accepts connections after a request broke has not died.
const DEATH_CHECK_TIMEOUT: Duration = Duration::from_millis(200);
/// A connection that stays open for this long shows that the target lives. A dying process closes
/// its sockets within a few milliseconds.
const DEATH_WATCH: Duration = Duration::from_millis(20);

/// A request on its way to the target.
#[derive(Debug)]
pub(crate) struct Hop {
    pub(crate) method: Method,
    /// Path and query.
    pub(crate) path: String,
    /// Headers for the target, without those of one connection or of this system.
    pub(crate) headers: HeaderMap,
    pub(crate) meta: HopMeta,
    pub(crate) deadline: Time,
    pub(crate) body: Inbound,
    pub(crate) key: Option<String>,
    pub(crate) parent: TraceContext,
    /// The life of the target that died while it ran the request.
    pub(crate) strike: Arc<OnceLock<u64>>,
}

/// Serves a request; every outcome, refusals too, is a response.
pub(crate) async fn serve(shared: &Arc<Shared>, hop: Hop) -> Response {
    let strike = hop.strike.clone();
    let mut res = match try_serve(shared, hop).await {
        Ok(res) => res,
        Err(refusal) => problem::response(refusal),
    };
    if let Some(boot) = strike.get() {
        problem::add_strike(res.headers_mut(), *boot);
    }
    problem::add_load(res.headers_mut(), shared.gate.load());
    res
}

async fn try_serve(shared: &Arc<Shared>, hop: Hop) -> Result<Response, Refusal> {
    if hop.meta.service != shared.settings.service {
        return Err(Code::NoInstance.into());
    }
    // A repeat of a request that ran is no new work, so it is answered as long as that is possible.
    if hop.meta.repeat == Repeat::Never
        && let Some(res) = once::known_answer(shared, &hop).await
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
        Repeat::Safe => hand_over(shared, hop, permit).await,
        Repeat::Never => once::run_once(shared, hop, permit).await,
    }
}

async fn admit(shared: &Arc<Shared>, hop: &Hop) -> Result<Permit, Refusal> {
    let mut span = shared.tracer.start("admit", &hop.parent);
    let offer = Offer {
        route: hop.meta.route,
        operation: work_hash(&hop.method, &hop.path),
        class: match hop.meta.class {
            Class::Short => admit::Class::Short,
            Class::Long => admit::Class::Long,
            Class::Auto => admit::Class::Auto,
        },
        caller: hop.meta.caller,
        deadline: hop.deadline,
    };
    let admitted = shared.gate.enter(&offer).await;
    if let Err(refusal) = &admitted {
        span.set_attribute("briarlug.code", i64::from(refusal.code.number()));
        span.set_error("refused");
    }
    admitted
}

// The query is left out: it varies from request to request while the work stays alike.
fn work_hash(method: &Method, path: &str) -> u64 {
    let path = path.split('?').next().unwrap_or(path);
    Fingerprint::of(&[method.as_str().as_bytes(), path.as_bytes()]).0
}

/// Sends the request to the target. Errors with `executed: "no"` are certain that nothing was sent.
pub(crate) async fn hand_over(
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
    Ok(pass_on(shared, &hop, result?, permit, span))
}

pub(crate) async fn exchange(
    shared: &Arc<Shared>,
    hop: &mut Hop,
    span: &Span,
) -> Result<reqwest::Response, Refusal> {
    let addr = shared.target.address(shared.clock.now())?;
    let whole = hop.body.rest.is_none();
    let body = hop.body.take(whole).ok_or(Code::AttemptsUsedUp)?;
    let mut headers = hop.headers.clone();
    if let Some(value) = span
        .context()
        .to_header()
        .and_then(|v| HeaderValue::from_str(&v).ok())
    {
        headers.insert("traceparent", value);
    }
    // A pause of this process may come between any two steps, so the clock is read last and the
    // target gets the deadline too.
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
    let timeout = shared.clock.instant(hop.deadline);
    match tokio::time::timeout_at(timeout, req.send()).await {
        Ok(Ok(res)) => Ok(res),
        Ok(Err(e)) if e.is_connect() => {
            shared.metrics.count(Metric::TargetConnectFailed);
            Err(Code::TargetDown.into())
        }
        Ok(Err(_)) => {
            shared.metrics.count(Metric::TargetLost);
            if let Some(boot) = strike_if_dead(shared, addr, hop.meta.fingerprint).await {
                let _ = hop.strike.set(boot);
            }
            Err(Code::TargetLost.into())
        }
        Err(_) => Err(Code::TargetTimeout.into()),
    }
}

/// Counts a strike against the request if the target died while it ran it. Returns the target's
/// life then.
pub(crate) async fn strike_if_dead(
    shared: &Arc<Shared>,
    addr: SocketAddr,
    fp: Fingerprint,
) -> Option<u64> {
    let boot = shared.target.boot();
    if !is_dead(addr).await {
        return None;
    }
    shared.target_died();
    shared.strike(fp, boot).await;
    strikes::tell(shared, fp, boot).await;
    Some(boot)
}

/// Returns whether nothing holds a connection to `addr`. The connections of a dying process break
/// one after the other, so its listener may take one more.
async fn is_dead(addr: SocketAddr) -> bool {
    let connect = tokio::net::TcpStream::connect(addr);
    let Ok(Ok(mut tcp)) = tokio::time::timeout(DEATH_CHECK_TIMEOUT, connect).await else {
        return true;
    };
    let mut buf = [0];
    let read = tokio::io::AsyncReadExt::read(&mut tcp, &mut buf);
    tokio::time::timeout(DEATH_WATCH, read).await.is_ok()
}

fn pass_on(
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
    let report = move |end| {
        // Held until here, so that the slot and the span last as long as the answer.
        let _held = (span, in_progress);
        match end {
            End::Whole => {
                shared.clear_strikes(fingerprint);
                permit.finish_ok();
            }
            End::Broken => {
                shared.metrics.count(Metric::ResponsesBroken);
                let cx = shared.clone();
                shared.tasks.spawn(async move {
                    if let Some(addr) = addr {
                        strike_if_dead(&cx, addr, fingerprint).await;
                    }
                });
            }
            End::Dropped => shared.metrics.count(Metric::Cancelled),
        }
    };
    let stream = Reporting::new(res.bytes_stream().boxed(), length, report);
    *out.body_mut() = Body::from_stream(stream);
    out
}

/// Starts the response to the caller with the status and headers of the target's answer.
pub(crate) fn response_head(res: &reqwest::Response) -> Response {
    let mut out = Response::new(Body::empty());
    *out.status_mut() = res.status();
    *out.headers_mut() = res.headers().clone();
    strip_own(out.headers_mut());
    strip_hop_by_hop(out.headers_mut());
    out
}

/// Checks that the target accepts connections.
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
