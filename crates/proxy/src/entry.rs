//! Serves the requests of callers at the entry node, from arrival to response.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use config::{Organisation, Organisations, RoutedRoute};
use http::{HeaderMap, HeaderValue, Response, StatusCode, header};
use http1::RequestHead;
use memory::{Body, Tally};
use ops::Metric;
use tokio::sync::{mpsc, oneshot};
use wire::{Code, Executed, Fingerprint, Refusal, ServiceName, Time};

use crate::attempts::{self, DEFAULT_OBJECTIVE, FinalOutcome};
use crate::beside;
use crate::latency::Span;
use crate::memory_wait;
use crate::message::{Answer, Call};
use crate::names;
use crate::shared::{Phase, Shared};
use crate::usage_limits::{self, Admitted};

/// Timeout of a request for which neither the caller nor the route sets one. Without a
/// latency objective of the route, `Pending::due` is this long after the first attempt.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);
/// Largest Retry-After as a fraction of the time to the deadline: callers do not honour a longer
/// one.
const MAX_RETRY_AFTER_FRACTION: f64 = 0.33;
/// Retry-After of a request whose key can't be confirmed: a proof may come with the next answer of a
/// reader.
const KEY_RETRY_AFTER: Duration = Duration::from_millis(800);
/// Scheme of the keys, with the space behind it.
const BEARER: &[u8] = b"Bearer ";
/// Lowest priority of a route that counts within that of an organisation.
const MAX_ROUTE_PRIORITY: u32 = 15;
/// Smallest Retry-After; an earlier retry finds the same queue.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);

/// An accepted request and its deadlines.
#[derive(Debug)]
pub(crate) struct Pending {
    pub(crate) route: Arc<RoutedRoute>,
    pub(crate) arrived_at: Time,
    /// End of the latency objective, after which a response loses value. The objective is counted
    /// from the caller's first attempt; if it has passed already, its end is set to the arrival. The
    /// end is at most the deadline.
    pub(crate) due: Time,
    /// End of the caller's or the route's timeout, whichever is earlier, or of the default.
    pub(crate) deadline: Time,
    /// The request as sent to a target-side node; each attempt sets the times in its copy.
    pub(crate) call: Call,
}

impl Pending {
    /// Returns the deadline for targets, which is earlier than that of the request if this node shuts
    /// down before.
    pub(crate) fn target_deadline(&self, shared: &Shared) -> Time {
        let departure = shared.departure();
        departure.map_or(self.deadline, |d| d.limit(self.deadline))
    }
}

/// A request whose head has arrived.
#[derive(Debug)]
pub(crate) struct Arrival {
    /// Sum in which the body counts.
    pub(crate) bodies: Tally,
    pub(crate) head: RequestHead,
    pub(crate) arrived_at: Time,
    /// Parts of the body, or the reason why it can't be read; `None` if there is no body.
    pub(crate) body: Option<mpsc::Receiver<Result<Bytes, Code>>>,
    /// Resolves once all earlier requests on the connection have a response; `None` if they had
    /// when this one arrived.
    pub(crate) turn: Option<oneshot::Receiver<()>>,
}

/// Serves one request.
pub(crate) async fn serve(shared: Arc<Shared>, arrival: Arrival) -> Response<Body> {
    let arrived_at = arrival.arrived_at;
    shared.metrics.count(Metric::EntryRequests);
    let header_names = &shared.settings.header_names;
    let id = names::visible_ascii(&arrival.head.headers, &header_names.request_id)
        .unwrap_or_default()
        .to_owned();
    let mut guard = DisconnectGuard::new(&shared, &id, arrived_at);
    let mut admitted = None;
    let response = match accept(&shared, arrival, &id, &mut admitted).await {
        Ok(pending) => {
            guard.service = Some(pending.call.service.clone());
            let final_outcome = attempts::run(&shared, &pending).await;
            let has_run = match &final_outcome {
                FinalOutcome::Refused { maybe_ran, .. } => *maybe_ran,
                FinalOutcome::Answer { .. } => true,
            };
            usage_limits::end(&shared, admitted, has_run);
            final_response(&shared, &pending, final_outcome, &id)
        }
        Err(refusal) => {
            usage_limits::end(&shared, admitted, false);
            refusal_response(&shared, refusal, arrived_at, &id)
        }
    };
    guard.is_answered = true;
    shared
        .latencies
        .record(Span::Request, shared.now().since(arrived_at));
    response
}

/// Guards a request that has no response. If the guard is dropped before `is_answered` is set, the
/// caller has disconnected, and the guard logs and counts that.
struct DisconnectGuard<'a> {
    shared: &'a Shared,
    id: &'a str,
    arrived_at: Time,
    service: Option<ServiceName>,
    is_answered: bool,
}

impl<'a> DisconnectGuard<'a> {
    fn new(shared: &'a Shared, id: &'a str, arrived_at: Time) -> DisconnectGuard<'a> {
        DisconnectGuard {
            shared,
            id,
            arrived_at,
            service: None,
            is_answered: false,
        }
    }
}

impl Drop for DisconnectGuard<'_> {
    fn drop(&mut self) {
        if !self.is_answered {
            self.shared.metrics.count(Metric::Cancelled);
            let ms = self.shared.now().since(self.arrived_at).as_millis() as u64;
            log::info!(event = "caller_left", id = self.id, ms; "caller disconnected before the response; request cancelled");
        }
    }
}

/// Selects the route and the service of a request and reads its body; refuses the request if the
/// node takes none, no route matches, the body is too large or the request is quarantined. `admitted`
/// is set once the request counts for its organisation.
async fn accept(
    shared: &Shared,
    arrival: Arrival,
    id: &str,
    admitted: &mut Option<Admitted>,
) -> Result<Pending, Refusal> {
    if shared.phase() >= Phase::Refusing {
        return Err(Code::Draining.into());
    }
    let table = shared.versions.table().ok_or(Code::NotReady)?;
    let Arrival {
        bodies,
        head,
        arrived_at,
        body,
        turn,
    } = arrival;
    let host = head
        .headers
        .get(header::HOST)
        .and_then(|h| h.to_str().ok())
        .or_else(|| head.uri.authority().map(|a| a.as_str()))
        .unwrap_or_default();
    let route = table.find(host, head.uri.path()).ok_or(Code::NoRoute)?;
    let organisation = match table.organisations() {
        Some(all) if !route.is_public => Some(check_key(shared, all, &head.headers, arrived_at)?),
        _ => None,
    };
    let service = choose_service(shared, route).ok_or(Code::NoRoute)?;
    let header_names = &shared.settings.header_names;
    let caller_timeout = names::parse_millis(&head.headers, &header_names.remaining_ms)
        .map(|ms| Duration::from_secs_f64(ms / 1_000.0));
    let deadline = arrived_at + effective_timeout(caller_timeout, route.timeout);
    let age = caller_timeout.map_or(Duration::ZERO, |remaining| {
        shared
            .attempt_ages
            .lock()
            .age(arrived_at, &route.name, remaining)
    });
    let objective = route.objective.unwrap_or(DEFAULT_TIMEOUT);
    let due = arrived_at + objective.saturating_sub(age);
    let mut excluded = vec![
        &header_names.remaining_ms,
        &header_names.expected_target,
        &header_names.caller_service,
    ];
    if table.organisations().is_some() {
        // Keys end here, and only this node names the organisation.
        excluded.extend([&header::AUTHORIZATION, &header_names.organisation]);
    }
    let mut headers = names::end_to_end(&head.headers, &excluded);
    if let Some(organisation) = &organisation {
        let name = Bytes::copy_from_slice(organisation.name.as_bytes());
        headers.push((header_names.organisation.as_str().to_owned(), name));
        let counted = usage_limits::admit(shared, shared.now(), organisation);
        *admitted = Some(counted.map_err(|refusal| {
            shared.metrics.count(Metric::UsageRefusals);
            let remaining = deadline.since(shared.now());
            Refusal {
                retry_after: bounded_retry_after(refusal.retry_after, remaining),
                ..refusal
            }
        })?);
    }
    let caller = shared.service();
    headers.push((
        header_names.caller_service.as_str().to_owned(),
        Bytes::copy_from_slice(caller.0.as_bytes()),
    ));
    let remaining = deadline.since(shared.now());
    if time_to_start(shared, route).is_some_and(|time| time.is_zero()) {
        return Err(Code::Draining.into());
    }
    let is_repeatable = beside::is_repeatable(route.repeat);
    let received = async {
        let received = read_body(shared, &bodies, &head.headers, body)
            .await
            .map_err(|code| {
                // The requests that hold the memory should have ended when the objective ends.
                let wait = (code == Code::QueueFull).then_some(objective);
                let remaining = deadline.since(shared.now());
                Refusal {
                    code,
                    retry_after: bounded_retry_after(wait, remaining),
                }
            })?;
        // After a response that closes the connection, the caller sends again what it has sent
        // behind that request. Only a repeatable one may have run by then.
        if !is_repeatable {
            wait_for_turn(turn).await;
        }
        Ok::<_, Refusal>(received)
    };
    let body = tokio::select! {
        body = tokio::time::timeout(remaining, received) => body.map_err(|_| Code::DeadlinePassed)??,
        () = wait_until_too_late(shared, route) => return Err(Code::Draining.into()),
    };
    let path = head.uri.path_and_query().map_or("/", |p| p.as_str());
    let call = Call {
        service,
        route: Fingerprint::of(&[route.name.as_bytes()]).0,
        priority: priority(
            table.organisations().is_some(),
            organisation.as_deref(),
            route,
        ),
        due_ms: 0,
        remaining_ms: 0,
        is_repeatable,
        is_last_resort: false,
        max_wait_ms: None,
        sent_us: 0,
        request_id: id.to_owned(),
        method: head.method.as_str().to_owned(),
        path: path.to_owned(),
        headers,
        body,
        staged_body: None,
    };
    let now = shared.now();
    if shared.must_refuse(now, || beside::fingerprint(shared, &call)) {
        shared.metrics.count(Metric::QuarantineRefusals);
        return Err(Code::Quarantined.into());
    }
    shared.with_retry_budgets(now, |b| b.record_request(now, &call.service));
    Ok(Pending {
        route: route.clone(),
        arrived_at,
        due: due.min(deadline),
        deadline,
        call,
    })
}

/// Returns the organisation that holds the key of a request.
fn check_key(
    shared: &Shared,
    organisations: &Organisations,
    headers: &HeaderMap,
    now: Time,
) -> Result<Arc<Organisation>, Refusal> {
    let mut values = headers.get_all(header::AUTHORIZATION).iter();
    let value = values.next().map(|v| v.as_bytes());
    // With a second value it is not clear whose request it is.
    let key = value
        .filter(|_| values.next().is_none())
        .and_then(bearer_key);
    let holder = key.and_then(|key| organisations.holder(key)).cloned();
    // Whether the key is known or not, an outdated table can't tell.
    if !shared.are_keys_confirmed(shared.now().max(now)) {
        shared.metrics.count(Metric::KeyRefusals);
        return Err(Refusal {
            code: Code::KeyNotConfirmed,
            retry_after: Some(KEY_RETRY_AFTER),
        });
    }
    holder.ok_or_else(|| {
        shared.metrics.count(Metric::KeyRefusals);
        Code::UnknownKey.into()
    })
}

/// Returns the key in the value of an `Authorization` header.
fn bearer_key(value: &[u8]) -> Option<&[u8]> {
    let (scheme, key) = value.split_at_checked(BEARER.len())?;
    scheme
        .eq_ignore_ascii_case(BEARER)
        .then(|| key.trim_ascii())
}

/// Returns the priority of a request. That of its organisation goes before that of its route. Where
/// there are organisations, a request without one is a call of running work, and goes first.
fn priority(
    has_organisations: bool,
    organisation: Option<&Organisation>,
    route: &RoutedRoute,
) -> u32 {
    let of_route = route.priority.min(MAX_ROUTE_PRIORITY);
    match organisation {
        None if has_organisations => 0,
        None => route.priority,
        Some(o) => {
            o.priority
                .unwrap_or(0)
                .saturating_mul(MAX_ROUTE_PRIORITY + 1)
                + of_route
        }
    }
}

fn choose_service(shared: &Shared, route: &RoutedRoute) -> Option<ServiceName> {
    let mut splitter = shared.splitter.lock();
    splitter.choose(&route.name, &route.weighted_services, shared.boot_id)
}

fn effective_timeout(
    caller_timeout: Option<Duration>,
    route_timeout: Option<Duration>,
) -> Duration {
    match (caller_timeout, route_timeout) {
        (Some(a), Some(b)) => a.min(b),
        (Some(a), None) | (None, Some(a)) => a,
        (None, None) => DEFAULT_TIMEOUT,
    }
}

async fn wait_for_turn(turn: Option<oneshot::Receiver<()>>) {
    if let Some(turn) = turn {
        // The connection keeps the sender until it is the request's turn.
        let _ = turn.await;
    }
}

/// Returns the time in which a request must be complete so that it ends before this node, which shuts
/// down, aborts its requests. Returns `None` if the node does not shut down.
fn time_to_start(shared: &Shared, route: &RoutedRoute) -> Option<Duration> {
    let departure = shared.departure()?;
    let mean = shared.route_averages.lock().mean_service(&route.name);
    let objective = route.objective.unwrap_or(DEFAULT_OBJECTIVE);
    let latest = departure.latest_start(mean, objective);
    Some(latest.since(shared.now()))
}

/// Waits until this node shuts down and a request that is not complete can't end any more.
async fn wait_until_too_late(shared: &Shared, route: &RoutedRoute) {
    shared.wait_for_phase(Phase::Leaving).await;
    while let Some(time) = time_to_start(shared, route).filter(|t| !t.is_zero()) {
        tokio::time::sleep(time).await;
    }
}

/// Buffers the whole body, so that the request can be sent to a second target. The size is bounded
/// by the routing table's limit, which the connection applies. A body of a declared length is read only
/// if there is memory for all of it.
async fn read_body(
    shared: &Shared,
    bodies: &Tally,
    headers: &HeaderMap,
    body: Option<mpsc::Receiver<Result<Bytes, Code>>>,
) -> Result<Body, Code> {
    let Some(mut parts) = body else {
        return Ok(Body::default());
    };
    let writer = memory_wait::request(shared, bodies, content_length(headers)).await;
    let mut writer = writer.map_err(|_| Code::QueueFull)?;
    while let Some(part) = parts.recv().await {
        let written = memory_wait::write(shared, &mut writer, part?).await;
        written.map_err(|_| Code::QueueFull)?;
    }
    Ok(writer.finish())
}

fn content_length(headers: &HeaderMap) -> Option<usize> {
    let value = headers.get(header::CONTENT_LENGTH)?;
    value.to_str().ok()?.parse().ok()
}

fn final_response(
    shared: &Shared,
    pending: &Pending,
    final_outcome: FinalOutcome,
    id: &str,
) -> Response<Body> {
    let ms = shared.now().since(pending.arrived_at).as_millis() as u64;
    let route = &*pending.route.name;
    let service = &*pending.call.service.0;
    let version = shared.versions.number();
    match final_outcome {
        FinalOutcome::Answer {
            answer,
            sends,
            times,
        } => {
            shared.metrics.count(Metric::ResponsesCompleted);
            log::info!(
                event = "answered", id, route, service, version, status = answer.status,
                sends, queued_ms = times.queued_ms, target_ms = times.target_ms, ms;
                "target's response forwarded to the caller"
            );
            forwarded_response(answer)
        }
        FinalOutcome::Refused {
            refusal,
            maybe_ran,
            sends,
            loads,
        } => {
            log::info!(
                event = "refused", id, route, service, version, code = refusal.code.number(),
                maybe_ran, sends, loads, ms,
                retry_ms = refusal.retry_after.map_or(0, |d| d.as_millis() as u64);
                "{}", refusal.code.title()
            );
            let remaining = pending.deadline.since(shared.now());
            let refusal = Refusal {
                retry_after: bounded_retry_after(refusal.retry_after, remaining),
                ..refusal
            };
            problem_response(shared, refusal, maybe_ran, id)
        }
    }
}

/// Bounds the Retry-After `wait` to what the caller honours. Returns `None` if there is no `wait`,
/// or if the time `remaining` to the deadline is too short for any retry.
fn bounded_retry_after(wait: Option<Duration>, remaining: Duration) -> Option<Duration> {
    let max_wait = remaining.mul_f64(MAX_RETRY_AFTER_FRACTION);
    let wait = wait?.max(MIN_RETRY_AFTER);
    (max_wait >= MIN_RETRY_AFTER).then(|| wait.min(max_wait))
}

fn forwarded_response(answer: Answer) -> Response<Body> {
    let mut res = Response::new(answer.body);
    // The target-side node parsed the status with its HTTP library, so it is in range.
    *res.status_mut() = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
    *res.headers_mut() = names::to_header_map(&answer.headers);
    res
}

pub(crate) fn refusal_response(
    shared: &Shared,
    refusal: Refusal,
    arrived_at: Time,
    id: &str,
) -> Response<Body> {
    let ms = shared.now().since(arrived_at).as_millis() as u64;
    let version = shared.versions.number();
    log::info!(
        event = "refused", id, version, code = refusal.code.number(), ms;
        "{}", refusal.code.title()
    );
    problem_response(shared, refusal, false, id)
}

/// Builds an error response of the node itself. Its status and body say "not run" only if no target
/// may have run the request.
fn problem_response(
    shared: &Shared,
    refusal: Refusal,
    maybe_ran: bool,
    id: &str,
) -> Response<Body> {
    let table = shared.versions.table();
    let has_organisations = table.is_some_and(|t| t.organisations().is_some());
    let status = status_of(refusal.code, maybe_ran, has_organisations);
    let executed = if maybe_ran {
        Executed::Unknown
    } else {
        refusal.code.executed().unwrap_or(Executed::Unknown)
    };
    shared.metrics.count(match executed {
        Executed::No => Metric::RefusedNotRun,
        Executed::Unknown | Executed::Yes => Metric::RefusedOutcomeUnknown,
    });
    let body = format!(
        "{{\"code\":{},\"title\":\"{}\",\"executed\":\"{}\"}}",
        refusal.code.number(),
        refusal.code.title(),
        executed.as_str()
    );
    let mut res = Response::new(Body::from(Bytes::from(body)));
    *res.status_mut() = status;
    let headers = res.headers_mut();
    headers.insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("application/problem+json"),
    );
    if let Ok(id) = HeaderValue::from_str(id) {
        headers.insert(&shared.settings.header_names.request_id, id);
    }
    if let Some(wait) = refusal.retry_after {
        let secs = format!("{:.3}", wait.as_secs_f64());
        if let Ok(secs) = HeaderValue::from_str(&secs) {
            headers.insert(header::RETRY_AFTER, secs);
        }
    }
    res
}

fn status_of(code: Code, maybe_ran: bool, has_organisations: bool) -> StatusCode {
    if maybe_ran {
        return match code {
            Code::DeadlinePassed | Code::TargetTimeout => StatusCode::GATEWAY_TIMEOUT,
            _ => StatusCode::BAD_GATEWAY,
        };
    }
    match code {
        // In place of the code's own 4xx status: callers of these deployments would not retry after
        // that, although a retry may succeed.
        Code::Quarantined => StatusCode::SERVICE_UNAVAILABLE,
        // To an organisation, 429 says that it is over its usage limit.
        Code::QueueFull | Code::OverFairShare if has_organisations => {
            StatusCode::SERVICE_UNAVAILABLE
        }
        _ => code
            .http_status()
            .and_then(|s| StatusCode::from_u16(s).ok())
            .unwrap_or(StatusCode::BAD_GATEWAY),
    }
}
