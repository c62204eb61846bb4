//! Refusals as HTTP responses.

use std::time::Duration;

use axum::body::Body;
use axum::http::{HeaderMap, HeaderValue, StatusCode, header};
use axum::response::Response;
use serde::Serialize;
use wire::{Code, Executed, Load, Refusal};

#[derive(Serialize)]
struct Problem {
    #[serde(rename = "type")]
    kind: String,
    title: &'static str,
    status: u16,
    code: u16,
    executed: &'static str,
}

/// Builds the `application/problem+json` response of a refusal.
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
        headers.insert(header::RETRY_AFTER, HeaderValue::from(whole_seconds(after)));
    }
    res
}

/// Adds the load of the target, a hint for the entry node's next choice.
pub(crate) fn add_load(headers: &mut HeaderMap, load: Load) {
    if let Ok(value) = HeaderValue::from_str(&load.to_string()) {
        headers.insert(wire::LOAD, value);
    }
}

/// Reads the code of a refusal that another node wrote.
pub(crate) fn code_of(headers: &HeaderMap) -> Option<Code> {
    let number = headers.get(wire::CODE)?.to_str().ok()?.parse().ok()?;
    Code::from_number(number)
}

/// Reads the load that another node wrote.
pub(crate) fn load_of(headers: &HeaderMap) -> Option<Load> {
    headers.get(wire::LOAD)?.to_str().ok()?.parse().ok()
}

/// Marks a refusal with the life of the target that died while it ran the request.
pub(crate) fn add_strike(headers: &mut HeaderMap, boot: u64) {
    headers.insert(wire::STRIKE, HeaderValue::from(boot));
}

/// Reads the mark that [`add_strike`] wrote.
pub(crate) fn strike_of(headers: &HeaderMap) -> Option<u64> {
    headers.get(wire::STRIKE)?.to_str().ok()?.parse().ok()
}

// `Retry-After` has whole seconds; rounding down would invite a repeat that is too early.
fn whole_seconds(d: Duration) -> u64 {
    d.as_secs() + u64::from(d.subsec_nanos() > 0)
}

/// Reads the time after which a repeat is worth a try.
pub(crate) fn retry_after_of(headers: &HeaderMap) -> Option<Duration> {
    let secs = headers
        .get(header::RETRY_AFTER)?
        .to_str()
        .ok()?
        .parse()
        .ok()?;
    Some(Duration::from_secs(secs))
}
