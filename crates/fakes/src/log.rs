//! Stand-in for the platform's append-only log, with injectable faults.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use axum::extract::{Path, Query, State};
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use axum::{Json, Router};
use parking_lot::Mutex;
use plat::{Append, Appended, Batch, BoxFuture, Log, LogError, Page, Record};
use serde::{Deserialize, Serialize};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;
use wire::Offset;

use crate::conn::StoppingListener;

/// Upper limit of the time for which a read waits for new records.
const MAX_READ_WAIT: Duration = Duration::from_secs(30);
/// Maximum number of records that one read returns.
const MAX_BATCH_RECORDS: usize = 1_000;

/// Faults of the stand-in, by default all off. Also the body of `POST /faults`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogFaults {
    /// Whether each call is refused with status 503.
    pub down: bool,
    /// Number of next appends that take effect but are answered with status 504.
    pub lose_answers: u32,
    /// Delay of each append in milliseconds.
    pub append_delay_ms: u64,
    /// Maximum number of retained records per stream; older ones expire. 0 retains all.
    pub retain: usize,
}

#[derive(Debug, Default)]
struct Stream {
    /// Offset of the first retained record.
    oldest: u64,
    records: Vec<Vec<u8>>,
}

impl Stream {
    fn end(&self) -> u64 {
        self.oldest + self.records.len() as u64
    }

    /// Expires the oldest records beyond `retain`; 0 retains all.
    fn expire(&mut self, retain: usize) {
        if retain > 0 && self.records.len() > retain {
            let n = self.records.len() - retain;
            self.records.drain(..n);
            self.oldest += n as u64;
        }
    }
}

#[derive(Debug, Default)]
struct Inner {
    streams: HashMap<String, Stream>,
    faults: LogFaults,
    /// Number of append calls that took effect.
    append_count: u64,
    /// Number of completed read calls by stream.
    read_counts: BTreeMap<String, u64>,
}

/// An in-memory log. Clones share their content and faults.
#[derive(Clone, Debug)]
pub struct FakeLog {
    inner: Arc<Mutex<Inner>>,
    changed: Arc<watch::Sender<u64>>,
}

impl Default for FakeLog {
    fn default() -> FakeLog {
        FakeLog {
            inner: Arc::default(),
            changed: Arc::new(watch::Sender::new(0)),
        }
    }
}

impl FakeLog {
    /// Returns an empty log without faults.
    pub fn new() -> FakeLog {
        FakeLog::default()
    }

    /// Replaces the faults, expires records beyond the new limit and wakes waiting reads.
    pub fn set_faults(&self, faults: LogFaults) {
        let mut inner = self.inner.lock();
        inner.faults = faults;
        for s in inner.streams.values_mut() {
            s.expire(faults.retain);
        }
        drop(inner);
        self.changed.send_modify(|n| *n += 1);
    }

    /// Returns the number of append calls that took effect, including those with a lost reply.
    pub fn append_count(&self) -> u64 {
        self.inner.lock().append_count
    }

    /// Returns the number of read calls that succeeded so far, by stream.
    pub fn read_counts(&self) -> BTreeMap<String, u64> {
        self.inner.lock().read_counts.clone()
    }

    /// Appends without the configured delay.
    fn append_now(&self, stream: &str, records: Vec<Vec<u8>>) -> Result<Offset, LogError> {
        let mut inner = self.inner.lock();
        if inner.faults.down {
            return Err(LogError::Refused { status: 503 });
        }
        inner.append_count += 1;
        let retain = inner.faults.retain;
        let s = inner.streams.entry(stream.to_owned()).or_default();
        let first = s.end();
        s.records.extend(records);
        s.expire(retain);
        let is_reply_lost = inner.faults.lose_answers > 0;
        inner.faults.lose_answers = inner.faults.lose_answers.saturating_sub(1);
        drop(inner);
        self.changed.send_modify(|n| *n += 1);
        if is_reply_lost {
            return Err(LogError::NoUsableResponse {
                reason: "reply discarded by the injected fault".to_owned(),
            });
        }
        Ok(Offset(first))
    }

    /// Reads up to `MAX_BATCH_RECORDS` records without waiting for new ones.
    fn read_now(&self, stream: &str, from: Offset) -> Result<Batch, LogError> {
        let inner = self.inner.lock();
        if inner.faults.down {
            return Err(LogError::Refused { status: 503 });
        }
        let Some(s) = inner.streams.get(stream) else {
            return Ok(Batch::default());
        };
        if from.0 < s.oldest {
            return Err(LogError::Expired {
                from,
                oldest: Offset(s.oldest),
            });
        }
        let skip = usize::try_from(from.0 - s.oldest).unwrap_or(usize::MAX);
        let batch_records = s
            .records
            .iter()
            .enumerate()
            .skip(skip)
            .take(MAX_BATCH_RECORDS);
        let record = |(i, data): (usize, &Vec<u8>)| Record {
            offset: Offset(s.oldest + i as u64),
            data: data.clone(),
        };
        let batch = Batch {
            records: batch_records.map(record).collect(),
            oldest: Offset(s.oldest),
            end: Offset(s.end()),
            restores: None,
        };
        Ok(batch)
    }

    async fn append_after_delay(
        &self,
        stream: &str,
        records: Vec<Vec<u8>>,
    ) -> Result<Offset, LogError> {
        let delay = self.inner.lock().faults.append_delay_ms;
        if delay > 0 {
            tokio::time::sleep(Duration::from_millis(delay)).await;
        }
        self.append_now(stream, records)
    }

    /// Reads from `from`; if there are no records, waits for up to `wait` for some.
    async fn read_or_wait(
        &self,
        stream: &str,
        from: Offset,
        wait: Duration,
    ) -> Result<Batch, LogError> {
        let mut changed = self.changed.subscribe();
        let deadline = tokio::time::Instant::now() + wait.min(MAX_READ_WAIT);
        loop {
            let batch = self.read_now(stream, from)?;
            let waited = tokio::time::timeout_at(deadline, changed.changed());
            if !batch.records.is_empty() || waited.await.is_err() {
                let mut inner = self.inner.lock();
                *inner.read_counts.entry(stream.to_owned()).or_default() += 1;
                return Ok(batch);
            }
        }
    }
}

impl Log for FakeLog {
    fn append<'a>(
        &'a self,
        stream: &'a str,
        records: Vec<Vec<u8>>,
    ) -> BoxFuture<'a, Result<Offset, LogError>> {
        Box::pin(self.append_after_delay(stream, records))
    }

    fn read<'a>(
        &'a self,
        stream: &'a str,
        from: Offset,
        wait: Duration,
    ) -> BoxFuture<'a, Result<Batch, LogError>> {
        Box::pin(self.read_or_wait(stream, from, wait))
    }
}

/// A [`FakeLog`] behind the log's HTTP interface. `POST /faults` replaces the faults, and
/// `GET /counts` returns the numbers of appends and reads.
#[derive(Debug)]
pub struct LogServer {
    addr: SocketAddr,
    log: FakeLog,
    stop: CancellationToken,
    task: JoinHandle<()>,
}

impl LogServer {
    /// Binds `addr` and serves `log` until [`LogServer::stop`].
    ///
    /// # Errors
    ///
    /// Fails when the address can't be bound.
    pub async fn start(addr: SocketAddr, log: FakeLog) -> std::io::Result<LogServer> {
        let listener = tokio::net::TcpListener::bind(addr).await?;
        let addr = listener.local_addr()?;
        let app = Router::new()
            .route("/streams/{name}", post(append).get(read))
            .route("/faults", post(set_faults))
            .route("/counts", get(counts))
            .with_state(log.clone());
        let stop = CancellationToken::new();
        let listener = StoppingListener {
            listener,
            stop: stop.clone(),
        };
        let stopped = stop.clone();
        let task = tokio::spawn(async move {
            tokio::select! {
                res = async { axum::serve(listener, app).await } => {
                    if let Err(e) = res {
                        ::log::error!(
                            "log stand-in: HTTP server failed: {e}; requests are no longer served"
                        );
                    }
                }
                () = stopped.cancelled() => {}
            }
        });
        Ok(LogServer {
            addr,
            log,
            stop,
            task,
        })
    }

    /// Returns the bound address.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Returns the URL for [`plat::HttpLog::new`].
    pub fn url(&self) -> String {
        format!("http://{}", self.addr)
    }

    /// Returns the served log.
    pub fn log(&self) -> &FakeLog {
        &self.log
    }

    /// Closes the listener and all connections, and waits for the server task to end.
    pub async fn stop(self) {
        self.stop.cancel();
        let _ = self.task.await;
    }
}

#[derive(Debug, Deserialize)]
struct ReadParams {
    /// Offset of the first record to return.
    from: u64,
    /// Time to wait for records if there are none.
    #[serde(default)]
    wait_ms: u64,
}

/// Body of the response to `GET /counts`.
#[derive(Debug, Serialize)]
struct Counts {
    /// Appends that took effect.
    appends: u64,
    /// Reads that succeeded, by stream.
    reads: BTreeMap<String, u64>,
}

async fn append(
    State(log): State<FakeLog>,
    Path(name): Path<String>,
    Json(body): Json<Append>,
) -> Response {
    let Ok(records) = Vec::<Vec<u8>>::try_from(body) else {
        return StatusCode::BAD_REQUEST.into_response();
    };
    match log.append_after_delay(&name, records).await {
        Ok(first) => Json(Appended { first: first.0 }).into_response(),
        Err(e) => error_response(&e),
    }
}

async fn read(
    State(log): State<FakeLog>,
    Path(name): Path<String>,
    Query(params): Query<ReadParams>,
) -> Response {
    let wait = Duration::from_millis(params.wait_ms);
    match log.read_or_wait(&name, Offset(params.from), wait).await {
        Ok(batch) => Json(Page::from(&batch)).into_response(),
        Err(e) => error_response(&e),
    }
}

async fn set_faults(State(log): State<FakeLog>, Json(faults): Json<LogFaults>) -> StatusCode {
    log.set_faults(faults);
    StatusCode::NO_CONTENT
}

async fn counts(State(log): State<FakeLog>) -> Json<Counts> {
    Json(Counts {
        appends: log.append_count(),
        reads: log.read_counts(),
    })
}

fn error_response(e: &LogError) -> Response {
    match e {
        LogError::Refused { status } => StatusCode::from_u16(*status)
            .unwrap_or(StatusCode::SERVICE_UNAVAILABLE)
            .into_response(),
        LogError::NoUsableResponse { .. } => StatusCode::GATEWAY_TIMEOUT.into_response(),
        LogError::Expired { oldest, .. } => {
            let page = Page {
                oldest: oldest.0,
                ..Page::default()
            };
            (StatusCode::GONE, Json(page)).into_response()
        }
        LogError::Conflict { .. } => StatusCode::PRECONDITION_FAILED.into_response(),
    }
}
