//! Refusals as HTTP responses, and the mesh's own response headers.

use std::time::Duration;

use axum::body::Body;
use axum::http::{HeaderMap, HeaderValue, StatusCode, header};
use axum::response::Response;
use serde::Serialize;
use wire::{Code, Executed, Load, Refusal};

/// Problem details as in RFC 9457, with extension members.
#[derive(Serialize)]
struct Problem {
    #[serde(rename = "type")]
    kind: String,
    title: &'static str,
    status: u16,
    code: u16,
    executed: &'static str,
}

/// Builds the `application/problem+json` response for a refusal.
pub(crate) fn response(refusal: Refusal) -> Response {
    let code = refusal.code;
    let status = code.http_status().unwrap_or(500);
    let executed = code.executed().unwrap_or(Executed::Unknown).as_str();
    let problem = Problem {
        kind: format!("urn:briarlug:code:{}", code.number()),
        title: code.title(),
        status,
        code: code.number(),
        executed,
    };
    let body = serde_json::to_vec(&problem).unwrap_or_default();
    let mut res = Response::new(Body::from(body));
    *res.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let headers = res.headers_mut();
    headers.insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("application/problem+json"),
    );
    headers.insert(wire::CODE, HeaderValue::from(code.number()));
    headers.insert(wire::EXECUTED, HeaderValue::from_static(executed));
    if let Some(after) = refusal.retry_after {
        headers.insert(header::RETRY_AFTER, HeaderValue::from(ceil_seconds(after)));
    }
    res
}

/// Adds the load of the target, which the entry node uses when it next chooses an instance.
pub(crate) fn add_load(headers: &mut HeaderMap, load: Load) {
    if let Ok(value) = HeaderValue::from_str(&load.to_string()) {
        headers.insert(wire::LOAD, value);
    }
}

/// Returns the code of a refusal; `None` for a response of the target.
pub(crate) fn code_of(headers: &HeaderMap) -> Option<Code> {
    let number = headers.get(wire::CODE)?.to_str().ok()?.parse().ok()?;
    Code::from_number(number)
}

/// Returns the load written by [`add_load`].
pub(crate) fn load_of(headers: &HeaderMap) -> Option<Load> {
    headers.get(wire::LOAD)?.to_str().ok()?.parse().ok()
}

/// Marks a response with the incarnation of the target that died while it ran the request.
pub(crate) fn add_strike(headers: &mut HeaderMap, incarnation: u64) {
    headers.insert(wire::STRIKE, HeaderValue::from(incarnation));
}

/// Returns the incarnation written by [`add_strike`].
pub(crate) fn strike_of(headers: &HeaderMap) -> Option<u64> {
    headers.get(wire::STRIKE)?.to_str().ok()?.parse().ok()
}

// `Retry-After` is in whole seconds; rounding down would invite a repeat that is too early.
fn ceil_seconds(d: Duration) -> u64 {
    d.as_secs() + u64::from(d.subsec_nanos() > 0)
}

/// Returns the delay in `Retry-After` before a repeat may succeed.
pub(crate) fn retry_after_of(headers: &HeaderMap) -> Option<Duration> {
    let secs = headers
        .get(header::RETRY_AFTER)?
        .to_str()
        .ok()?
        .parse()
        .ok()?;
    Some(Duration::from_secs(secs))
}
