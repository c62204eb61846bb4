//! Stand-in for a target with slots, load reports, an adjustable service time and crashes on
//! request.
//!
//! The query of a request selects the work: `work_ms` (service time), `bytes` (minimum size of the
//! response body), `cut` (break the connection after half of the body), `crash` (stop the target
//! before it responds).

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use axum::body::Body;
use axum::extract::{Query, Request, State};
use axum::http::{HeaderMap, StatusCode};
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use axum::{Json, Router};
use bytes::Bytes;
use futures_util::stream;
use http_body_util::BodyExt;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use tokio::sync::{Semaphore, watch};
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

use crate::conn::StoppingListener;

/// Maximum size of a chunk of a response body.
const CHUNK_BYTES: usize = 16 * 1024;

/// Configuration of a stand-in target.
#[derive(Clone, Debug)]
pub struct TargetCfg {
    /// Service that the target belongs to. The target itself doesn't use it.
    pub service: String,
    /// Number of requests that run concurrently; further ones wait in the target.
    pub slots: usize,
    /// Factor on each service time at the start; 1.0 leaves it as requested.
    pub initial_service_time_factor: f64,
    /// Service time of requests without `work_ms`, before the factor.
    pub default_service_time: Duration,
    /// Whether a request with `crash` stops the target; otherwise `crash` is ignored.
    pub can_crash: bool,
}

impl TargetCfg {
    /// Returns the configuration of a target of `service` with `slots` slots, a factor of 1.0, a
    /// default service time of 1 ms and crashes allowed.
    pub fn new(service: &str, slots: usize) -> TargetCfg {
        TargetCfg {
            service: service.to_owned(),
            slots,
            initial_service_time_factor: 1.0,
            default_service_time: Duration::from_millis(1),
            can_crash: true,
        }
    }
}

/// Counters of a target since its start. Also the body of the response to `GET /stats`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetStats {
    /// Requests that started to run.
    pub started: u64,
    /// Requests that ran to completion.
    pub finished: u64,
    /// Requests refused without a run because their deadline had passed.
    pub late: u64,
    /// Requests that ended before completion: the client disconnected, or the target stopped.
    pub cancelled: u64,
    /// Number of started runs by `idempotency-key`.
    pub runs_by_key: HashMap<String, u64>,
}

#[derive(Debug)]
struct Shared {
    cfg: TargetCfg,
    slots: Semaphore,
    stats: Mutex<TargetStats>,
    /// Current factor on each service time.
    service_time_factor: Mutex<f64>,
    stop: CancellationToken,
}

/// A running stand-in target.
#[derive(Debug)]
pub struct TargetServer {
    addr: SocketAddr,
    shared: Arc<Shared>,
    task: JoinHandle<()>,
}

impl TargetServer {
    /// Binds `addr` and serves until the target crashes or is stopped.
    ///
    /// # Errors
    ///
    /// Fails when the address can't be bound.
    pub async fn start(addr: SocketAddr, cfg: TargetCfg) -> std::io::Result<TargetServer> {
        let listener = tokio::net::TcpListener::bind(addr).await?;
        let addr = listener.local_addr()?;
        let stop = CancellationToken::new();
        let shared = Arc::new(Shared {
            slots: Semaphore::new(cfg.slots),
            service_time_factor: Mutex::new(cfg.initial_service_time_factor),
            cfg,
            stats: Mutex::default(),
            stop: stop.clone(),
        });
        let app = Router::new()
            .route("/health", get(health))
            .route("/load", get(load))
            .route("/stats", get(stats))
            .route("/slowness", post(set_service_time_factor))
            .fallback(handle_request)
            .with_state(shared.clone());
        let task = tokio::spawn(async move {
            let listener = StoppingListener {
                listener,
                stop: stop.clone(),
            };
            tokio::select! {
                _ = async { axum::serve(listener, app).await } => {}
                () = stop.cancelled() => {}
            }
        });
        Ok(TargetServer { addr, shared, task })
    }

    /// Returns the bound address.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Returns the counters so far.
    pub fn stats(&self) -> TargetStats {
        self.shared.stats.lock().clone()
    }

    /// Sets the factor on the service time of requests that start from now on.
    pub fn set_service_time_factor(&self, factor: f64) {
        *self.shared.service_time_factor.lock() = factor;
    }

    /// Returns whether the target has crashed or was stopped.
    pub fn is_down(&self) -> bool {
        self.shared.stop.is_cancelled()
    }

    /// Waits until the target has crashed or was stopped.
    pub async fn wait_until_down(&self) {
        self.shared.stop.cancelled().await;
    }

    /// Stops the target, breaks its connections, waits for its task to end and returns the counters.
    pub async fn stop(self) -> TargetStats {
        self.shared.stop.cancel();
        let _ = self.task.await;
        self.shared.stats.lock().clone()
    }
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct WorkParams {
    work_ms: Option<u64>,
    bytes: usize,
    cut: bool,
    crash: bool,
}

/// Counts a run as finished or, if its future is dropped before [`RunGuard::finish`], as cancelled.
struct RunGuard<'a> {
    shared: &'a Shared,
    is_finished: bool,
}

impl<'a> RunGuard<'a> {
    /// Counts the start of a run.
    fn start(shared: &'a Shared, headers: &HeaderMap) -> RunGuard<'a> {
        let mut stats = shared.stats.lock();
        stats.started += 1;
        if let Some(key) = header(headers, "idempotency-key") {
            *stats.runs_by_key.entry(key).or_default() += 1;
        }
        RunGuard {
            shared,
            is_finished: false,
        }
    }

    fn finish(mut self) {
        self.is_finished = true;
    }
}

impl Drop for RunGuard<'_> {
    fn drop(&mut self) {
        let mut stats = self.shared.stats.lock();
        if self.is_finished {
            stats.finished += 1;
        } else {
            stats.cancelled += 1;
        }
    }
}

async fn handle_request(
    State(shared): State<Arc<Shared>>,
    Query(params): Query<WorkParams>,
    req: Request,
) -> Response {
    if is_past_deadline(req.headers()) {
        return refuse_past_deadline(&shared);
    }
    let headers = req.headers().clone();
    let path = req.uri().path().to_owned();
    let Ok(received) = read_body_length(req.into_body()).await else {
        return StatusCode::BAD_REQUEST.into_response();
    };
    if params.crash && shared.cfg.can_crash {
        let _running = RunGuard::start(&shared, &headers);
        shared.stop.cancel();
        std::future::pending::<()>().await;
    }
    let permit = shared.slots.acquire().await;
    // The deadline may have passed during the wait for a slot.
    if is_past_deadline(&headers) {
        return refuse_past_deadline(&shared);
    }
    let running = RunGuard::start(&shared, &headers);
    let service_time = params
        .work_ms
        .map_or(shared.cfg.default_service_time, Duration::from_millis);
    let factor = *shared.service_time_factor.lock();
    let run_time = service_time.mul_f64(factor);
    // The timer has a resolution of 1 ms, so even a sleep of zero would take that long.
    if !run_time.is_zero() {
        tokio::time::sleep(run_time).await;
    }
    running.finish();
    drop(permit);
    build_response(&path, received, &params)
}

/// Counts a request whose deadline has passed and returns its refusal.
fn refuse_past_deadline(shared: &Shared) -> Response {
    shared.stats.lock().late += 1;
    StatusCode::GATEWAY_TIMEOUT.into_response()
}

fn is_past_deadline(headers: &HeaderMap) -> bool {
    let deadline = header(headers, wire::DEADLINE_UNIX_MS).and_then(|v| v.parse::<u128>().ok());
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    matches!((deadline, now), (Some(d), Ok(n)) if n.as_millis() > d)
}

fn header(headers: &HeaderMap, name: &str) -> Option<String> {
    headers.get(name)?.to_str().ok().map(str::to_owned)
}

/// Reads the request body to its end and returns its length.
async fn read_body_length(mut body: Body) -> Result<usize, axum::Error> {
    let mut n = 0;
    while let Some(frame) = body.frame().await {
        n += frame?.data_ref().map_or(0, Bytes::len);
    }
    Ok(n)
}

/// Builds a response whose body is a line of `path` and `received`, padded to `params.bytes`.
fn build_response(path: &str, received: usize, params: &WorkParams) -> Response {
    let head = format!("path={path} received={received}\n");
    if params.bytes == 0 && !params.cut {
        return head.into_response();
    }
    let total = params.bytes.max(head.len());
    let mut remaining = if params.cut { total / 2 } else { total };
    let mut chunks = Vec::new();
    let mut push = |chunk: Bytes| chunks.push(Ok(chunk));
    let head = Bytes::from(head);
    push(head.slice(..remaining.min(head.len())));
    remaining = remaining.saturating_sub(head.len());
    // All chunks share one buffer: filling a large body would stall the other requests.
    let filler = Bytes::from(vec![b'x'; remaining.min(CHUNK_BYTES)]);
    while remaining > 0 {
        let n = remaining.min(CHUNK_BYTES);
        push(filler.slice(..n));
        remaining -= n;
    }
    if params.cut {
        chunks.push(Err(std::io::Error::other("cut")));
    }
    // The declared length lets a client tell a truncated body from a complete one.
    let body = Body::from_stream(stream::iter(chunks));
    ([("content-length", total.to_string())], body).into_response()
}

async fn health(State(shared): State<Arc<Shared>>) -> StatusCode {
    if shared.stop.is_cancelled() {
        StatusCode::SERVICE_UNAVAILABLE
    } else {
        StatusCode::OK
    }
}

async fn load(State(shared): State<Arc<Shared>>) -> Json<wire::Load> {
    let slots = shared.cfg.slots;
    let free = shared.slots.available_permits();
    let count = |n: usize| u32::try_from(n).unwrap_or(u32::MAX);
    Json(wire::Load {
        in_flight: count(slots - free),
        queued: 0,
        slots: count(slots),
    })
}

async fn stats(State(shared): State<Arc<Shared>>) -> Json<TargetStats> {
    Json(shared.stats.lock().clone())
}

async fn set_service_time_factor(
    State(shared): State<Arc<Shared>>,
    Json(factor): Json<f64>,
) -> StatusCode {
    *shared.service_time_factor.lock() = factor;
    StatusCode::NO_CONTENT
}

/// Announces a target to the node on its side at a fixed interval until stopped.
#[derive(Debug)]
pub struct Announcer {
    stop: watch::Sender<bool>,
    task: JoinHandle<()>,
}

impl Announcer {
    /// Starts a task that posts the announcement to `{node_url}/announce` once per `interval`. Failed
    /// posts are not reported.
    ///
    /// # Errors
    ///
    /// Fails when the HTTP client can't be set up.
    pub fn start(
        node_url: &str,
        service: &str,
        target: SocketAddr,
        interval: Duration,
    ) -> Result<Announcer, reqwest::Error> {
        let client = reqwest::Client::builder()
            .no_proxy()
            .timeout(interval * 4)
            .build()?;
        let url = format!("{}/announce", node_url.trim_end_matches('/'));
        let body = serde_json::json!({ "service": service, "addr": target.to_string() });
        let (stop, mut stopped) = watch::channel(false);
        let task = tokio::spawn(async move {
            while !*stopped.borrow() {
                // The node may not listen yet; the next round repeats the announcement.
                let _ = client.post(&url).json(&body).send().await;
                let _ = tokio::time::timeout(interval, stopped.changed()).await;
            }
        });
        Ok(Announcer { stop, task })
    }

    /// Stops the announcements and waits for the task to end.
    pub async fn stop(self) {
        let _ = self.stop.send(true);
        let _ = self.task.await;
    }
}
