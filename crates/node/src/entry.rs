//! Requests from callers: route, choose an instance, send, retry, hedge.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use axum::Router;
use axum::body::Body;
use axum::extract::{ConnectInfo, Request, State};
use axum::http::{HeaderMap, HeaderValue, Method, header};
use axum::response::Response;
use axum::routing::post;
use claim::{IssuedKey, Key};
use config::{Repeat, Route, Snapshot};
use futures_util::StreamExt;
use ops::{Metric, ParentContext, Span};
use route::{Ask, Attempts, Failure, Kind, Outcome, RouteKey, costs_token};
use wire::{Code, Executed, Fingerprint, InstanceId, Refusal, Time};

use crate::beside::{self, Hop};
use crate::body::{End, Inbound, Reporting};
use crate::headers::{HOP, HopMeta, sign_hop, strip_hop_by_hop, strip_own};
use crate::services::{Chosen, ServiceState};
use crate::shared::{InProgress, Shared};
use crate::{keys, problem};

/// Lets the refusal of the node beside the target arrive before this node's own time-out.
const DEADLINE_GRACE: Duration = Duration::from_millis(50);

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
    shared.metrics.count(Metric::Requests);
    let in_progress = shared.in_progress();
    let parent = ParentContext::parse(text(req.headers(), "traceparent").unwrap_or_default());
    let mut span = shared.tracer.start("entry", &parent);
    let result = match Call::prepare(&shared, from, req, &span).await {
        Ok(call) => call.run().await,
        Err(refusal) => Err(refusal),
    };
    match result {
        Ok(answer) => answer.into_response(&shared, span, in_progress),
        Err(refusal) => {
            span.set("briarlug.code", i64::from(refusal.code.number()));
            span.fail("refused");
            count_refusal(&shared, refusal.code);
            problem::response(refusal)
        }
    }
}

pub(crate) fn count_refusal(shared: &Shared, code: Code) {
    let metric = match code.executed() {
        Some(Executed::No) => Metric::RefusedNo,
        _ => Metric::RefusedUnknown,
    };
    shared.metrics.count(metric);
}

/// A caller's request with all that was decided about it on arrival.
struct Call {
    shared: Arc<Shared>,
    /// Held so that the whole request is served under the version that it arrived under.
    _snapshot: Arc<Snapshot>,
    service: Arc<ServiceState>,
    method: Method,
    path: String,
    headers: HeaderMap,
    meta: HopMeta,
    deadline: Time,
    body: Inbound,
    key: Option<String>,
    hedge: bool,
    parent: ParentContext,
}

impl Call {
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
        let mut headers = parts.headers;
        strip_hop_by_hop(&mut headers);
        strip_own(&mut headers);
        headers.remove(header::HOST);
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

    async fn run(mut self) -> Result<Answer, Refusal> {
        if let Some(instance) = self.issuer() {
            return self.run_at(instance).await;
        }
        let idempotent = self.meta.repeat == Repeat::Safe;
        let route = RouteKey(self.meta.route);
        let mut attempts = Attempts::new(idempotent);
        let mut refusal = Refusal::from(Code::NoInstance);
        let mut spent = false;
        loop {
            let now = self.shared.clock.now();
            let ask = Ask {
                exclude: attempts.tried(),
                hedge: false,
                repeatable: idempotent,
            };
            let Some(chosen) = self.service.begin(now, &ask, route) else {
                if spent {
                    self.service.refund_retry();
                }
                return Err(refusal);
            };
            attempts.add(chosen.pick.id);
            let replayable = self.body.rest.is_none();
            let reply = self.send_hedged(chosen, &mut attempts).await;
            let failed = match reply {
                Ok(answer) => return Ok(answer),
                Err(failed) => failed,
            };
            refusal = overall(refusal, failed.refusal);
            let failure = Failure {
                kind: failed.kind,
                from_below: false,
                response_started: false,
                replayable,
                remaining: self.deadline - self.shared.clock.now(),
            };
            let now = self.shared.clock.now();
            if self
                .service
                .may_retry(now, &attempts, &failure, route)
                .is_err()
            {
                return Err(refusal);
            }
            spent = costs_token(failure.kind);
            if self.shared.is_quarantined(self.meta.fingerprint) {
                if spent {
                    self.service.refund_retry();
                }
                return Err(overall(refusal, Code::Quarantined.into()));
            }
            self.shared.metrics.count(Metric::Retries);
        }
    }

    /// Returns the instance that issued the request's key, if a node did.
    fn issuer(&self) -> Option<InstanceId> {
        if self.meta.repeat == Repeat::Safe {
            return None;
        }
        let key: IssuedKey = self.key.as_deref()?.parse().ok()?;
        Some(key.instance)
    }

    /// Sends the request to the only instance that may run it.
    ///
    /// An earlier request with the key may have run there, so if the instance can't be asked the
    /// outcome is unknown.
    async fn run_at(mut self, instance: InstanceId) -> Result<Answer, Refusal> {
        let route = RouteKey(self.meta.route);
        let members = self.shared.members.load();
        let record = members.get(&instance);
        let addr = record
            .filter(|r| r.service == self.meta.service)
            .map(|r| r.data)
            .ok_or(Code::OutcomeUnknown)?;
        drop(members);
        let chosen = self
            .service
            .begin_at(self.shared.clock.now(), instance, addr, route);
        let reply = self.attempt(chosen, 1, Arc::default()).await;
        reply.map_err(|failed| match failed.kind {
            Kind::ConnectFailed => Code::OutcomeUnknown.into(),
            _ => failed.refusal,
        })
    }

    /// Sends the request to `chosen` and, if that takes unusually long, to one more instance.
    async fn send_hedged(
        &mut self,
        chosen: Chosen,
        attempts: &mut Attempts,
    ) -> Result<Answer, Failed> {
        let began = self.shared.clock.now();
        let overtaken = Arc::new(AtomicBool::new(false));
        let first = self.attempt(chosen, attempts.tried().len(), overtaken.clone());
        let route = RouteKey(self.meta.route);
        let delay = self.service.hedge_delay(chosen.pick, route);
        let Some(delay) = delay.filter(|_| self.hedge) else {
            return first.await;
        };
        let mut first = Box::pin(first);
        if let Ok(reply) = tokio::time::timeout(delay, &mut first).await {
            return reply;
        }
        let now = self.shared.clock.now();
        let ask = Ask {
            exclude: attempts.tried(),
            hedge: true,
            repeatable: true,
        };
        let second = attempts
            .any_left()
            .then(|| self.service.begin_hedge(now, &ask, route))
            .flatten();
        let Some(second) = second else {
            return first.await;
        };
        attempts.add(second.pick.id);
        self.shared.metrics.count(Metric::Hedges);
        let second = Box::pin(self.attempt(second, attempts.tried().len(), Arc::default()));
        let reply = first_whole(first, second, &overtaken).await;
        if overtaken.load(Ordering::Relaxed) {
            // Without the age of what was overtaken, hedges would hide the tail from which their
            // delay is learned.
            let age = self.shared.clock.now() - began;
            self.service.observe(route, age);
        }
        reply
    }

    /// Starts one attempt. The future holds all that it needs, so two can run side by side.
    fn attempt(
        &mut self,
        chosen: Chosen,
        number: usize,
        overtaken: Arc<AtomicBool>,
    ) -> impl Future<Output = Result<Answer, Failed>> + Send + use<> {
        let now = self.shared.clock.now();
        let guard = InFlight {
            shared: self.shared.clone(),
            service: self.service.clone(),
            chosen,
            route: RouteKey(self.meta.route),
            fingerprint: self.meta.fingerprint,
            began: now,
            is_first: number == 1,
            overtaken,
            done: false,
        };
        let mut meta = self.meta.clone();
        meta.remaining = self.deadline - now;
        meta.attempt = u32::try_from(number).unwrap_or(u32::MAX);
        let whole = self.body.rest.is_none();
        let hop = Hop {
            method: self.method.clone(),
            path: self.path.clone(),
            headers: self.headers.clone(),
            meta,
            deadline: self.deadline,
            body: Inbound {
                prefix: self.body.prefix.clone(),
                rest: if whole { None } else { self.body.rest.take() },
            },
            key: self.key.clone(),
            parent: self.parent.clone(),
            strike: Arc::default(),
        };
        let shared = self.shared.clone();
        let is_head = self.method == Method::HEAD;
        async move {
            if chosen.pick.id == shared.id {
                guard.local(beside::serve(&shared, hop).await, is_head)
            } else {
                guard.remote(send(&shared, chosen.addr, hop).await)
            }
        }
    }
}

/// Returns the first answer, or the second failure if both fail. Tells the first attempt if the
/// second one has overtaken it.
async fn first_whole(
    first: impl Future<Output = Result<Answer, Failed>> + Unpin,
    second: impl Future<Output = Result<Answer, Failed>> + Unpin,
    overtaken: &AtomicBool,
) -> Result<Answer, Failed> {
    use futures_util::future::{Either, select};
    match select(first, second).await {
        Either::Left((Ok(answer), _)) => Ok(answer),
        Either::Right((Ok(answer), first)) => {
            overtaken.store(true, Ordering::Relaxed);
            drop(first);
            Ok(answer)
        }
        Either::Left((Err(lost), other)) => other.await.map_err(|f| f.after(lost)),
        Either::Right((Err(lost), other)) => other.await.map_err(|f| f.after(lost)),
    }
}

/// Sends a request to the node beside the target.
async fn send(shared: &Arc<Shared>, addr: SocketAddr, mut hop: Hop) -> Sent {
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
enum Sent {
    Response(reqwest::Response),
    ConnectFailed,
    Lost,
    TimedOut,
}

/// An attempt that didn't bring the target's answer.
struct Failed {
    kind: Kind,
    refusal: Refusal,
}

impl Failed {
    fn after(self, earlier: Failed) -> Failed {
        Failed {
            refusal: overall(earlier.refusal, self.refusal),
            ..self
        }
    }
}

/// Returns the refusal for a request whose attempts ended with `earlier` and then `later`. One
/// attempt that may have run is enough for the request to have run.
fn overall(earlier: Refusal, later: Refusal) -> Refusal {
    if earlier.code.executed() == Some(Executed::No) {
        later
    } else {
        earlier
    }
}

/// An attempt in flight; one that is dropped counts as overtaken or cancelled.
struct InFlight {
    shared: Arc<Shared>,
    service: Arc<ServiceState>,
    chosen: Chosen,
    route: RouteKey,
    fingerprint: Fingerprint,
    began: Time,
    /// Whether the latency counts for the delay of hedges, whose own latencies don't.
    is_first: bool,
    /// Set when a hedge has answered first.
    overtaken: Arc<AtomicBool>,
    done: bool,
}

impl InFlight {
    fn local(self, res: Response, is_head: bool) -> Result<Answer, Failed> {
        let (parts, body) = res.into_parts();
        let declared = text(&parts.headers, "content-length").and_then(|v| v.parse().ok());
        let length = if is_head { Some(0) } else { declared };
        let body = http_body_util::BodyExt::into_data_stream(body);
        self.classify(parts.status, parts.headers, length, Source::Local(body))
    }

    fn remote(mut self, sent: Sent) -> Result<Answer, Failed> {
        let (kind, code) = match sent {
            Sent::Response(res) => {
                let (status, headers) = (res.status(), res.headers().clone());
                let length = res.content_length();
                return self.classify(status, headers, length, Source::Remote(res));
            }
            Sent::ConnectFailed => (Kind::ConnectFailed, Code::NoInstance),
            Sent::Lost => (Kind::Lost, Code::PeerLost),
            Sent::TimedOut => (Kind::TimedOut, Code::TargetTimeout),
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
                Code::TargetLost => Kind::Lost,
                Code::TargetTimeout => Kind::TimedOut,
                code => Kind::Refused(code),
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
                Kind::Overtaken
            } else {
                Kind::Cancelled
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
struct Answer {
    status: axum::http::StatusCode,
    headers: HeaderMap,
    length: Option<u64>,
    source: Source,
    in_flight: InFlight,
    load: Option<wire::Load>,
}

impl Answer {
    fn into_response(self, shared: &Arc<Shared>, span: Span, in_progress: InProgress) -> Response {
        let mut res = Response::new(Body::empty());
        *res.status_mut() = self.status;
        *res.headers_mut() = self.headers;
        let (mut in_flight, load, shared) = (self.in_flight, self.load, shared.clone());
        let report = move |end| {
            let _held = (span, in_progress);
            let (kind, metric) = match end {
                End::Whole => (Kind::Ok, Metric::AnswersWhole),
                End::Broken => (Kind::Lost, Metric::AnswersBroken),
                End::Dropped => (Kind::Cancelled, Metric::Cancelled),
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

fn insert(headers: &mut HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(name, value);
    }
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}
