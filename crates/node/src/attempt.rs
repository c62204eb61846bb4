//! One attempt of a request at an instance, from sending to the end of the response.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use axum::body::Body;
use axum::http::HeaderMap;
use axum::response::Response;
use futures_util::StreamExt;
use ops::{Metric, Span};
use route::{Outcome, OutcomeKind, RouteKey};
use wire::{Code, Fingerprint, Refusal, Time};

use crate::body::{BodyEnd, TrackedBody};
use crate::call::combine_refusals;
use crate::headers::{
    HOP_HEADER, header_str, insert_if_valid, sign_hop, strip_hop_by_hop, strip_mesh_headers,
};
use crate::problem;
use crate::services::{ChosenInstance, ServiceState};
use crate::shared::{InProgress, Shared};
use crate::target_side::Hop;

/// Added to the deadline, so that a refusal sent by the target-side node at the deadline arrives
/// before the entry node itself times out.
const REFUSAL_GRACE_PERIOD: Duration = Duration::from_millis(50);

/// Sends a request to the target-side node at `addr` and waits for the head of its response.
pub(crate) async fn send(shared: &Arc<Shared>, addr: SocketAddr, mut hop: Hop) -> SendResult {
    let is_buffered = hop.body.rest.is_none();
    let Some(body) = hop.body.take_for_attempt(is_buffered) else {
        return SendResult::ConnectionLost;
    };
    let meta = hop.meta.encode();
    let mac = sign_hop(&shared.settings.keys, &hop.method, &hop.path, &meta);
    let mut headers = hop.headers;
    insert_if_valid(&mut headers, HOP_HEADER, &meta);
    insert_if_valid(&mut headers, wire::HOP_MAC, &mac);
    if let Some(parent) = hop.parent.to_header() {
        insert_if_valid(&mut headers, "traceparent", &parent);
    }
    let url = format!("http://{addr}{}", hop.path);
    let req = shared
        .peer_client
        .request(hop.method, url)
        .headers(headers)
        .body(body);
    let timeout = shared
        .clock
        .to_tokio_instant(hop.deadline + REFUSAL_GRACE_PERIOD);
    match tokio::time::timeout_at(timeout, req.send()).await {
        Ok(Ok(res)) => SendResult::Response(res),
        Ok(Err(e)) if e.is_connect() => SendResult::ConnectFailed,
        Ok(Err(_)) => SendResult::ConnectionLost,
        Err(_) => SendResult::TimedOut,
    }
}

/// Result of sending a request to another node.
pub(crate) enum SendResult {
    /// The head of a response has arrived, either the target's or a refusal by the node.
    Response(reqwest::Response),
    /// No connection was established, so the node did not get the request.
    ConnectFailed,
    /// The connection failed, or an earlier attempt has used up the body.
    ConnectionLost,
    /// No response within the deadline and [`REFUSAL_GRACE_PERIOD`].
    TimedOut,
}

/// An attempt that ended without a response from the target.
pub(crate) struct FailedAttempt {
    pub(crate) kind: OutcomeKind,
    pub(crate) refusal: Refusal,
}

impl FailedAttempt {
    /// Combines this failure with that of an attempt that ended before it.
    pub(crate) fn with_earlier(self, earlier: FailedAttempt) -> FailedAttempt {
        FailedAttempt {
            refusal: combine_refusals(earlier.refusal, self.refusal),
            ..self
        }
    }
}

/// An attempt in flight. When dropped unfinished, it is recorded as overtaken by its hedge or as
/// cancelled.
pub(crate) struct InFlightAttempt {
    pub(crate) shared: Arc<Shared>,
    pub(crate) service: Arc<ServiceState>,
    pub(crate) chosen: ChosenInstance,
    pub(crate) route: RouteKey,
    pub(crate) fingerprint: Fingerprint,
    pub(crate) started_at: Time,
    /// Whether this is the first attempt of the request. Only first attempts contribute to the
    /// latencies from which the hedge delay is derived.
    pub(crate) is_first: bool,
    /// Set when the hedge of this attempt has succeeded first.
    pub(crate) lost_to_hedge: Arc<AtomicBool>,
    /// Whether the outcome has been recorded.
    pub(crate) is_finished: bool,
}

impl InFlightAttempt {
    /// Classifies a response of the local target. `is_head`: the request was a `HEAD`, whose
    /// response has no body whatever length it declares.
    pub(crate) fn on_local_response(
        self,
        res: Response,
        is_head: bool,
    ) -> Result<TargetResponse, FailedAttempt> {
        let (parts, body) = res.into_parts();
        let declared = header_str(&parts.headers, "content-length").and_then(|v| v.parse().ok());
        let length = if is_head { Some(0) } else { declared };
        let body = http_body_util::BodyExt::into_data_stream(body);
        self.classify(parts.status, parts.headers, length, Source::Local(body))
    }

    /// Classifies what another node sent, or the failure to reach it.
    pub(crate) fn on_send_result(
        mut self,
        sent: SendResult,
    ) -> Result<TargetResponse, FailedAttempt> {
        let (kind, code) = match sent {
            SendResult::Response(res) => {
                let (status, headers) = (res.status(), res.headers().clone());
                let length = res.content_length();
                return self.classify(status, headers, length, Source::Remote(res));
            }
            SendResult::ConnectFailed => (OutcomeKind::ConnectFailed, Code::NoInstance),
            SendResult::ConnectionLost => (OutcomeKind::ConnectionLost, Code::PeerLost),
            SendResult::TimedOut => (OutcomeKind::TimedOut, Code::TargetTimeout),
        };
        self.finish(kind.into());
        Err(FailedAttempt {
            kind,
            refusal: code.into(),
        })
    }

    /// Separates refusals by a node from responses of the target.
    fn classify(
        mut self,
        status: axum::http::StatusCode,
        mut headers: HeaderMap,
        length: Option<u64>,
        source: Source,
    ) -> Result<TargetResponse, FailedAttempt> {
        let load = problem::load_of(&headers);
        if let Some(code) = problem::code_of(&headers) {
            let kind = match code {
                Code::TargetLost => OutcomeKind::ConnectionLost,
                Code::TargetTimeout => OutcomeKind::TimedOut,
                code => OutcomeKind::Refused(code),
            };
            self.finish(Outcome { kind, load });
            // The entry node counts the strike itself, because gossip may deliver the strike only
            // after a retry has killed a third target.
            if let Some(incarnation) = problem::strike_of(&headers) {
                self.shared
                    .record_strike(self.fingerprint, self.chosen.pick.id, incarnation);
            }
            let retry_after = problem::retry_after_of(&headers);
            return Err(FailedAttempt {
                kind,
                refusal: Refusal { code, retry_after },
            });
        }
        strip_mesh_headers(&mut headers);
        strip_hop_by_hop(&mut headers);
        let now = self.shared.clock.now();
        self.service
            .record_response_start(now, self.chosen.ticket, load);
        if self.is_first {
            self.service
                .record_latency(self.route, now - self.started_at);
        }
        Ok(TargetResponse {
            status,
            headers,
            length,
            source,
            in_flight: self,
            load,
        })
    }

    /// Records the outcome of the attempt.
    fn finish(&mut self, outcome: Outcome) {
        self.is_finished = true;
        let now = self.shared.clock.now();
        self.service.end_attempt(now, self.chosen.ticket, outcome);
    }
}

impl Drop for InFlightAttempt {
    fn drop(&mut self) {
        if !self.is_finished {
            // Losing to a faster hedge is evidence about this instance; a cancellation is not.
            let lost_to_hedge = self.lost_to_hedge.load(Ordering::Relaxed);
            let kind = if lost_to_hedge {
                OutcomeKind::Overtaken
            } else {
                OutcomeKind::Cancelled
            };
            self.finish(kind.into());
        }
    }
}

/// Origin of a response body: the local target, or another node.
enum Source {
    Local(http_body_util::BodyDataStream<Body>),
    Remote(reqwest::Response),
}

/// A response of the target of which only the head has been received.
pub(crate) struct TargetResponse {
    status: axum::http::StatusCode,
    headers: HeaderMap,
    /// Length of the body in bytes; `None` if it was not declared.
    length: Option<u64>,
    source: Source,
    in_flight: InFlightAttempt,
    load: Option<wire::Load>,
}

impl TargetResponse {
    /// Builds the response to the caller. `span` and `in_progress` are held until the body ends.
    pub(crate) fn into_response(
        self,
        shared: &Arc<Shared>,
        span: Span,
        in_progress: InProgress,
    ) -> Response {
        let mut res = Response::new(Body::empty());
        *res.status_mut() = self.status;
        *res.headers_mut() = self.headers;
        let (mut in_flight, load, shared) = (self.in_flight, self.load, shared.clone());
        let on_end = move |end| {
            let _guards = (span, in_progress);
            let (kind, metric) = match end {
                BodyEnd::Complete => (OutcomeKind::Ok, Metric::ResponsesCompleted),
                BodyEnd::SourceFailed => (OutcomeKind::ConnectionLost, Metric::ResponsesBroken),
                BodyEnd::ReaderGone => (OutcomeKind::Cancelled, Metric::Cancelled),
            };
            shared.metrics.count(metric);
            if end == BodyEnd::Complete {
                shared.clear_strikes(in_flight.fingerprint);
            }
            in_flight.finish(Outcome { kind, load });
        };
        *res.body_mut() = match self.source {
            Source::Local(s) => Body::from_stream(TrackedBody::new(s, self.length, on_end)),
            Source::Remote(r) => {
                let stream = r.bytes_stream().boxed();
                Body::from_stream(TrackedBody::new(stream, self.length, on_end))
            }
        };
        res
    }
}
