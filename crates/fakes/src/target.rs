//! Stand-in for a target: slots, cold start, load reports, drain, and crashes on request.
//!
//! Work is chosen by the query of the request: `work_ms` (service time), `bytes` (size of the
//! answer), `cut` (break off after half of the answer), `crash` (die before the answer).

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

/// Size of a piece of the answer's body.
const CHUNK_BYTES: usize = 16 * 1024;

/// Settings of a stand-in target.
#[derive(Clone, Debug)]
pub struct TargetCfg {
    /// Service that the target belongs to.
    pub service: String,
    /// Requests that run at once; more wait inside the target.
    pub slots: usize,
    /// Factor on each service time; 1.0 is the fastest target.
    pub slowness: f64,
    /// Service time of requests that name none.
    pub base_work: Duration,
    /// Whether a request marked `crash` ends the target.
    pub crashes: bool,
}

impl TargetCfg {
    /// Returns a target of `service` with `slots` slots.
    pub fn new(service: &str, slots: usize) -> TargetCfg {
        TargetCfg {
            service: service.to_owned(),
            slots,
            slowness: 1.0,
            base_work: Duration::from_millis(1),
            crashes: true,
        }
    }
}

/// What a target counted.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetStats {
    /// Requests that began to run.
    pub started: u64,
    /// Requests that ran to their end.
    pub finished: u64,
    /// Requests refused because their deadline had passed.
    pub late: u64,
    /// Requests whose caller went away while they ran.
    pub cancelled: u64,
    /// Number of runs of each `idempotency-key`.
    pub runs_by_key: HashMap<String, u64>,
}

#[derive(Debug)]
struct Shared {
    cfg: TargetCfg,
    slots: Semaphore,
    stats: Mutex<TargetStats>,
    slow: Mutex<f64>,
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
            slow: Mutex::new(cfg.slowness),
            cfg,
            stats: Mutex::default(),
            stop: stop.clone(),
        });
        let app = Router::new()
            .route("/health", get(health))
            .route("/load", get(load))
            .route("/stats", get(stats))
            .route("/slowness", post(set_slowness))
            .fallback(work)
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

    /// Returns what the target has counted.
    pub fn stats(&self) -> TargetStats {
        self.shared.stats.lock().clone()
    }

    /// Changes the factor on each service time.
    pub fn set_slowness(&self, factor: f64) {
        *self.shared.slow.lock() = factor;
    }

    /// Returns whether the target has crashed or was stopped.
    pub fn is_down(&self) -> bool {
        self.shared.stop.is_cancelled()
    }

    /// Waits until the target has crashed or was stopped.
    pub async fn wait_down(&self) {
        self.shared.stop.cancelled().await;
    }

    /// Stops the target and joins it; connections in progress break.
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

/// Counts a request whose future is dropped before its end as cancelled.
struct Running<'a> {
    shared: &'a Shared,
    finished: bool,
}

impl<'a> Running<'a> {
    /// Counts the start of a run.
    fn start(shared: &'a Shared, headers: &HeaderMap) -> Running<'a> {
        let mut stats = shared.stats.lock();
        stats.started += 1;
        if let Some(key) = header(headers, "idempotency-key") {
            *stats.runs_by_key.entry(key).or_default() += 1;
        }
        Running {
            shared,
            finished: false,
        }
    }

    fn finish(mut self) {
        self.finished = true;
    }
}

impl Drop for Running<'_> {
    fn drop(&mut self) {
        let mut stats = self.shared.stats.lock();
        if self.finished {
            stats.finished += 1;
        } else {
            stats.cancelled += 1;
        }
    }
}

async fn work(
    State(shared): State<Arc<Shared>>,
    Query(params): Query<WorkParams>,
    req: Request,
) -> Response {
    if is_late(req.headers()) {
        return refuse_late(&shared);
    }
    let headers = req.headers().clone();
    let path = req.uri().path().to_owned();
    let Ok(received) = count_body(req.into_body()).await else {
        return StatusCode::BAD_REQUEST.into_response();
    };
    if params.crash && shared.cfg.crashes {
        let _running = Running::start(&shared, &headers);
        shared.stop.cancel();
        std::future::pending::<()>().await;
    }
    let slot = shared.slots.acquire().await;
    // The wait for the slot may have taken the rest of the time.
    if is_late(&headers) {
        return refuse_late(&shared);
    }
    let running = Running::start(&shared, &headers);
    let base = params
        .work_ms
        .map_or(shared.cfg.base_work, Duration::from_millis);
    let factor = *shared.slow.lock();
    let work = base.mul_f64(factor);
    // The timer's resolution is a millisecond, so even an empty sleep takes that long.
    if !work.is_zero() {
        tokio::time::sleep(work).await;
    }
    running.finish();
    drop(slot);
    answer(&path, received, &params)
}

fn refuse_late(shared: &Shared) -> Response {
    shared.stats.lock().late += 1;
    StatusCode::GATEWAY_TIMEOUT.into_response()
}

fn is_late(headers: &HeaderMap) -> bool {
    let deadline = header(headers, wire::DEADLINE_UNIX_MS).and_then(|v| v.parse::<u128>().ok());
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    matches!((deadline, now), (Some(d), Ok(n)) if n.as_millis() > d)
}

fn header(headers: &HeaderMap, name: &str) -> Option<String> {
    headers.get(name)?.to_str().ok().map(str::to_owned)
}

async fn count_body(mut body: Body) -> Result<usize, axum::Error> {
    let mut n = 0;
    while let Some(frame) = body.frame().await {
        n += frame?.data_ref().map_or(0, Bytes::len);
    }
    Ok(n)
}

fn answer(path: &str, received: usize, params: &WorkParams) -> Response {
    let head = format!("path={path} received={received}\n");
    if params.bytes == 0 && !params.cut {
        return head.into_response();
    }
    let total = params.bytes.max(head.len());
    let mut left = if params.cut { total / 2 } else { total };
    let mut pieces = Vec::new();
    let mut push = |piece: Bytes| pieces.push(Ok(piece));
    let head = Bytes::from(head);
    push(head.slice(..left.min(head.len())));
    left = left.saturating_sub(head.len());
    // All pieces share one buffer: filling a large answer would stall the other requests.
    let chunk = Bytes::from(vec![b'x'; left.min(CHUNK_BYTES)]);
    while left > 0 {
        let n = left.min(CHUNK_BYTES);
        push(chunk.slice(..n));
        left -= n;
    }
    if params.cut {
        pieces.push(Err(std::io::Error::other("cut")));
    }
    // The declared length lets a receiver tell a short answer from a whole one.
    let body = Body::from_stream(stream::iter(pieces));
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

async fn set_slowness(State(shared): State<Arc<Shared>>, Json(factor): Json<f64>) -> StatusCode {
    *shared.slow.lock() = factor;
    StatusCode::NO_CONTENT
}

/// Announces a target to the node beside it until stopped.
#[derive(Debug)]
pub struct Announcer {
    stop: watch::Sender<bool>,
    task: JoinHandle<()>,
}

impl Announcer {
    /// Posts `announce` bodies to `node_url` each `every`.
    ///
    /// # Errors
    ///
    /// Fails when the HTTP client can't be set up.
    pub fn start(
        node_url: &str,
        service: &str,
        target: SocketAddr,
        every: Duration,
    ) -> Result<Announcer, reqwest::Error> {
        let client = reqwest::Client::builder()
            .no_proxy()
            .timeout(every * 4)
            .build()?;
        let url = format!("{}/announce", node_url.trim_end_matches('/'));
        let body = serde_json::json!({ "service": service, "addr": target.to_string() });
        let (stop, mut stopped) = watch::channel(false);
        let task = tokio::spawn(async move {
            while !*stopped.borrow() {
                // The node may not be up yet; the next round repeats the announcement.
                let _ = client.post(&url).json(&body).send().await;
                let _ = tokio::time::timeout(every, stopped.changed()).await;
            }
        });
        Ok(Announcer { stop, task })
    }

    /// Stops announcing and joins the task.
    pub async fn stop(self) {
        let _ = self.stop.send(true);
        let _ = self.task.await;
    }
}
