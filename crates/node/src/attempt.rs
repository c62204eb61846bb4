//! One attempt at an instance, and the answer that it brings.

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

use crate::beside::Hop;
use crate::body::{End, Reporting};
use crate::call::overall;
use crate::headers::{HOP, insert, sign_hop, strip_hop_by_hop, strip_own, text};
use crate::problem;
use crate::services::{Chosen, ServiceState};
use crate::shared::{InProgress, Shared};

/// Lets the refusal of the node beside the target arrive before this node's own time-out.
const DEADLINE_GRACE: Duration = Duration::from_millis(50);

/// Sends a request to the node beside the target.
pub(crate) async fn send(shared: &Arc<Shared>, addr: SocketAddr, mut hop: Hop) -> Sent {
    let whole = hop.body.rest.is_none();
    let Some(body) = hop.body.take(whole) else {
        return Sent::Lost;
    };
    let meta = hop.meta.encode();
    let mac = sign_hop(&shared.settings.keys, &hop.method, &hop.path, &meta);
    let mut headers = hop.headers;
    insert(&mut headers, HOP, &meta);
    insert(&mut headers, wire::HOP_MAC, &mac);
    if let Some(parent) = hop.parent.to_header() {
        insert(&mut headers, "traceparent", &parent);
    }
    let url = format!("http://{addr}{}", hop.path);
    let req = shared
        .peer_client
        .request(hop.method, url)
        .headers(headers)
        .body(body);
    let timeout = shared.clock.instant(hop.deadline + DEADLINE_GRACE);
    match tokio::time::timeout_at(timeout, req.send()).await {
        Ok(Ok(res)) => Sent::Response(res),
        Ok(Err(e)) if e.is_connect() => Sent::ConnectFailed,
        Ok(Err(_)) => Sent::Lost,
        Err(_) => Sent::TimedOut,
    }
}

/// What came of sending a request to another node.
pub(crate) enum Sent {
    Response(reqwest::Response),
    ConnectFailed,
    Lost,
    TimedOut,
}

/// An attempt that didn't bring the target's answer.
pub(crate) struct Failed {
    pub(crate) kind: OutcomeKind,
    pub(crate) refusal: Refusal,
}

impl Failed {
    pub(crate) fn after(self, earlier: Failed) -> Failed {
        Failed {
            refusal: overall(earlier.refusal, self.refusal),
            ..self
        }
    }
}

/// An attempt in flight; one that is dropped counts as overtaken or cancelled.
pub(crate) struct InFlight {
    pub(crate) shared: Arc<Shared>,
    pub(crate) service: Arc<ServiceState>,
    pub(crate) chosen: Chosen,
    pub(crate) route: RouteKey,
    pub(crate) fingerprint: Fingerprint,
    pub(crate) began: Time,
    /// Whether the latency counts for the delay of hedges, whose own latencies don't.
    pub(crate) is_first: bool,
    /// Set when a hedge has answered first.
    pub(crate) overtaken: Arc<AtomicBool>,
    pub(crate) done: bool,
}

impl InFlight {
    pub(crate) fn local(self, res: Response, is_head: bool) -> Result<Answer, Failed> {
        let (parts, body) = res.into_parts();
        let declared = text(&parts.headers, "content-length").and_then(|v| v.parse().ok());
        let length = if is_head { Some(0) } else { declared };
        let body = http_body_util::BodyExt::into_data_stream(body);
        self.classify(parts.status, parts.headers, length, Source::Local(body))
    }

    pub(crate) fn remote(mut self, sent: Sent) -> Result<Answer, Failed> {
        let (kind, code) = match sent {
            Sent::Response(res) => {
                let (status, headers) = (res.status(), res.headers().clone());
                let length = res.content_length();
                return self.classify(status, headers, length, Source::Remote(res));
            }
            Sent::ConnectFailed => (OutcomeKind::ConnectFailed, Code::NoInstance),
            Sent::Lost => (OutcomeKind::ConnectionLost, Code::PeerLost),
            Sent::TimedOut => (OutcomeKind::TimedOut, Code::TargetTimeout),
        };
        self.finish(kind.into());
        Err(Failed {
            kind,
            refusal: code.into(),
        })
    }

    fn classify(
        mut self,
        status: axum::http::StatusCode,
        mut headers: HeaderMap,
        length: Option<u64>,
        source: Source,
    ) -> Result<Answer, Failed> {
        let load = problem::load_of(&headers);
        if let Some(code) = problem::code_of(&headers) {
            let kind = match code {
                Code::TargetLost => OutcomeKind::ConnectionLost,
                Code::TargetTimeout => OutcomeKind::TimedOut,
                code => OutcomeKind::Refused(code),
            };
            self.finish(Outcome { kind, load });
            // Gossip may bring the strike only after the retry has killed a third target.
            if let Some(boot) = problem::strike_of(&headers) {
                self.shared
                    .count_strike(self.fingerprint, self.chosen.pick.id, boot);
            }
            let retry_after = problem::retry_after_of(&headers);
            return Err(Failed {
                kind,
                refusal: Refusal { code, retry_after },
            });
        }
        strip_own(&mut headers);
        strip_hop_by_hop(&mut headers);
        let now = self.shared.clock.now();
        self.service.answered(now, self.chosen.ticket, load);
        if self.is_first {
            self.service.observe(self.route, now - self.began);
        }
        Ok(Answer {
            status,
            headers,
            length,
            source,
            in_flight: self,
            load,
        })
    }

    fn finish(&mut self, outcome: Outcome) {
        self.done = true;
        let now = self.shared.clock.now();
        self.service.end(now, self.chosen.ticket, outcome);
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        if !self.done {
            // Only a hedge that was faster says something about this instance.
            let overtaken = self.overtaken.load(Ordering::Relaxed);
            let kind = if overtaken {
                OutcomeKind::Overtaken
            } else {
                OutcomeKind::Cancelled
            };
            self.finish(kind.into());
        }
    }
}

enum Source {
    Local(http_body_util::BodyDataStream<Body>),
    Remote(reqwest::Response),
}

/// The target's answer, whose body has not been passed on yet.
pub(crate) struct Answer {
    status: axum::http::StatusCode,
    headers: HeaderMap,
    length: Option<u64>,
    source: Source,
    in_flight: InFlight,
    load: Option<wire::Load>,
}

impl Answer {
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
        let report = move |end| {
            let _held = (span, in_progress);
            let (kind, metric) = match end {
                End::Whole => (OutcomeKind::Ok, Metric::ResponsesCompleted),
                End::Broken => (OutcomeKind::ConnectionLost, Metric::ResponsesBroken),
                End::Dropped => (OutcomeKind::Cancelled, Metric::Cancelled),
            };
            shared.metrics.count(metric);
            if end == End::Whole {
                shared.clear_strikes(in_flight.fingerprint);
            }
            in_flight.finish(Outcome { kind, load });
        };
        *res.body_mut() = match self.source {
            Source::Local(s) => Body::from_stream(Reporting::new(s, self.length, report)),
            Source::Remote(r) => {
                let stream = r.bytes_stream().boxed();
                Body::from_stream(Reporting::new(stream, self.length, report))
            }
        };
        res
    }
}
