//! Connections to this node's target. Each connection carries one request at a time. The
//! connections are pooled here, not by a library, since a library's pool might send a request
//! twice.

use std::collections::VecDeque;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Request, StatusCode, header};
use http_body_util::BodyExt;
use hyper::body::{Body as _, Frame, Incoming, SizeHint};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use memory::{Body, BodyWriter, Use};
use parking_lot::Mutex;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use wire::Time;

use crate::memory_wait;
use crate::read_limit::{LimitedStream, ReadAllowance};
use crate::shared::Shared;

/// The target is on the same instance; a slower connect means that it hangs.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Longest idle time of a connection that may be reused, if the target states none. Common servers
/// close idle connections after 5 s or more.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(3);
/// Fraction of the target's own idle timeout for which a connection may be reused, so that a
/// request does not race with the target's close.
const IDLE_TIMEOUT_FRACTION: f64 = 0.6;
/// Duration of a suspicion period, which starts when a reused connection broke under a request or a
/// response was not valid for its request. In the period, requests that are not repeatable use new
/// connections. If a connection broke, the others reuse only connections that have been idle for
/// less than half as long as that one had been.
const SUSPICION_PERIOD: Duration = Duration::from_secs(20);
/// Largest response body that is buffered; a larger one counts as broken. The node's memory for
/// bodies bounds all of them together.
const MAX_RESPONSE_BYTES: usize = 32 << 20;
/// Largest size of a response's head, and of the interim responses before it.
const MAX_HEAD_BYTES: usize = 64 << 10;
/// Bytes that may be read before a response's head is complete: the buffer that holds the end of the
/// head may also hold the begin of the body.
const MAX_BYTES_BEFORE_BODY: usize = 2 * MAX_HEAD_BYTES;

/// A response, read to its end.
#[derive(Debug)]
pub(crate) struct ReceivedResponse {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Body,
    /// Whether the connection has carried no other request, to which the response might belong.
    pub(crate) is_first: bool,
}

/// Why no response was received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SendError {
    /// No connection could be established; nothing was sent.
    Connect,
    /// A reused connection broke before any byte of a response.
    ReusedConnection,
    /// The connection broke, or the received bytes are not a valid response of accepted size.
    Broken,
}

/// Which connections may carry a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Reuse {
    /// Any idle connection that seems to be open.
    Any,
    /// Any idle connection, but none during a suspicion period: for a request that must not be sent
    /// twice.
    UnlessSuspected,
    /// None, and the new connection carries no other request: for a request whose response has no
    /// id.
    Never,
}

/// The connections to one target.
#[derive(Debug)]
pub(crate) struct Upstream {
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    addr: SocketAddr,
    /// Idle connections, the most recently used last.
    idle: Vec<IdleConnection>,
    suspected_until: Time,
    /// Idle time from which on connections are not reused during a suspicion period.
    idle_limit: Duration,
}

#[derive(Debug)]
struct IdleConnection {
    conn: Connection,
    /// When the last response on the connection ended.
    since: Time,
    /// Idle time after which the connection is not reused.
    reuse_for: Duration,
}

/// A connection with the task that drives it. Dropping it closes the connection, which also cancels
/// the request on it at the target.
#[derive(Debug)]
struct Connection {
    sender: SendRequest<RequestBody>,
    allowance: ReadAllowance,
    driver: JoinHandle<()>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl Upstream {
    pub(crate) fn new(addr: SocketAddr) -> Upstream {
        Upstream {
            state: Mutex::new(State {
                addr,
                idle: Vec::new(),
                suspected_until: Time::ZERO,
                idle_limit: Duration::MAX,
            }),
        }
    }

    pub(crate) fn addr(&self) -> SocketAddr {
        self.state.lock().addr
    }

    /// Changes the target's address and drops the idle connections to the old one.
    pub(crate) fn set_addr(&self, addr: SocketAddr) {
        let mut state = self.state.lock();
        if state.addr != addr {
            state.addr = addr;
            state.idle.clear();
        }
    }

    /// Drops all idle connections, after the target has restarted or is down.
    pub(crate) fn reset(&self) {
        self.state.lock().idle.clear();
    }

    /// Drops connections that are closed or have been idle for too long.
    pub(crate) fn drop_expired(&self, now: Time) {
        let mut state = self.state.lock();
        state
            .idle
            .retain(|i| now.since(i.since) < i.reuse_for && !i.conn.sender.is_closed());
    }

    /// Sends a request, on an idle connection that `reuse` allows or else a new one, and reads the
    /// response to its end.
    pub(crate) async fn send(
        &self,
        shared: &Shared,
        req: Request<RequestBody>,
        reuse: Reuse,
    ) -> Result<ReceivedResponse, SendError> {
        let mut req = req;
        let has_body = !req.body().is_end_stream();
        while let Some((mut conn, idle)) = self.take_idle(shared.now(), reuse) {
            // Lets the driver notice a close or unsolicited bytes.
            if conn.sender.ready().await.is_err() {
                continue;
            }
            conn.allowance.limit(MAX_BYTES_BEFORE_BODY);
            match conn.sender.try_send_request(req).await {
                Ok(res) => {
                    let mut response = receive(shared, &conn, res).await?;
                    response.is_first = false;
                    if !has_body || proves_body_read(shared, &response) {
                        self.put_idle(shared.now(), conn, &response.headers);
                    }
                    return Ok(response);
                }
                Err(mut e) => match e.take_message() {
                    // The library returned the request, so no byte of it was sent.
                    Some(unsent) => req = unsent,
                    None => {
                        self.suspect_reused(shared.now(), idle);
                        return Err(SendError::ReusedConnection);
                    }
                },
            }
        }
        let mut conn = self.connect(shared).await?;
        let Ok(res) = conn.sender.try_send_request(req).await else {
            return Err(SendError::Broken);
        };
        let response = receive(shared, &conn, res).await?;
        let is_idle = !has_body || proves_body_read(shared, &response);
        if reuse != Reuse::Never && is_idle {
            self.put_idle(shared.now(), conn, &response.headers);
        }
        Ok(response)
    }

    /// Returns whether the target accepts a new connection.
    pub(crate) async fn is_accepting(&self, shared: &Shared) -> bool {
        self.connect(shared).await.is_ok()
    }

    /// Starts a suspicion period: a reused connection, idle for `idle`, broke under a request.
    fn suspect_reused(&self, now: Time, idle: Duration) {
        let mut state = self.state.lock();
        state.suspected_until = now + SUSPICION_PERIOD;
        state.idle_limit = state.idle_limit.min(idle / 2);
    }

    /// Takes the most recently used idle connection that may be reused, with its idle time.
    fn take_idle(&self, now: Time, reuse: Reuse) -> Option<(Connection, Duration)> {
        let mut state = self.state.lock();
        if now >= state.suspected_until {
            state.idle_limit = Duration::MAX;
        }
        let is_allowed = match reuse {
            Reuse::Any => true,
            Reuse::UnlessSuspected => now >= state.suspected_until,
            Reuse::Never => false,
        };
        if !is_allowed {
            return None;
        }
        while let Some(idle) = state.idle.pop() {
            let age = now.since(idle.since);
            let is_fresh = age < idle.reuse_for.min(state.idle_limit);
            if is_fresh && idle.conn.sender.is_ready() && !idle.conn.sender.is_closed() {
                return Some((idle.conn, age));
            }
        }
        None
    }

    async fn connect(&self, shared: &Shared) -> Result<Connection, SendError> {
        let addr = self.addr();
        let connected = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(addr)).await;
        let Ok(Ok(tcp)) = connected else {
            return Err(SendError::Connect);
        };
        // Without this option, the second small write on a connection waits for the target's
        // delayed ACK.
        if tcp.set_nodelay(true).is_err() {
            return Err(SendError::Connect);
        }
        let allowance = ReadAllowance::new(MAX_BYTES_BEFORE_BODY);
        let io = TokioIo::new(LimitedStream::new(
            tcp,
            allowance.clone(),
            shared.memory.charge(None),
        ));
        let handshake = http1::Builder::new()
            .max_buf_size(MAX_HEAD_BYTES)
            .handshake(io)
            .await;
        let Ok((sender, driver)) = handshake else {
            return Err(SendError::Connect);
        };
        let driver = tokio::spawn(async move {
            // The request on the connection receives the error; an idle connection is just dropped.
            let _ = driver.await;
        });
        Ok(Connection {
            sender,
            allowance,
            driver,
        })
    }

    /// Keeps a connection for further requests if the response with `headers` allows that.
    fn put_idle(&self, now: Time, conn: Connection, headers: &HeaderMap) {
        if let Some(reuse_for) = reuse_period(headers) {
            self.state.lock().idle.push(IdleConnection {
                conn,
                since: now,
                reuse_for,
            });
        }
    }

    /// Starts a suspicion period and drops all idle connections, after a response that was not
    /// valid for its request: idle connections may carry more bytes that belong to no request.
    pub(crate) fn suspect(&self, now: Time) {
        let mut state = self.state.lock();
        state.idle.clear();
        state.suspected_until = now + SUSPICION_PERIOD;
    }
}

/// Returns whether a response shows that the target has read the whole body of its request. A target may
/// refuse a request before that, keep the connection, and read on later: until then, the next request
/// would wait behind the body, and could not be cancelled. Only a success needs the body.
fn proves_body_read(shared: &Shared, response: &ReceivedResponse) -> bool {
    let not_run = &shared.settings.header_names.not_run;
    response.status.is_success() && !response.headers.contains_key(not_run)
}

/// Reads the response to the first request on a connection.
async fn receive(
    shared: &Shared,
    conn: &Connection,
    res: http::Response<Incoming>,
) -> Result<ReceivedResponse, SendError> {
    let (parts, body) = res.into_parts();
    // hyper bounds chunk extensions and trailers, and `read_body` the data.
    conn.allowance.lift();
    let body = read_body(shared, body).await?;
    Ok(ReceivedResponse {
        status: parts.status,
        headers: parts.headers,
        body,
        is_first: true,
    })
}

/// Reads a response body to its end. A body without end is broken off at the limits.
async fn read_body(shared: &Shared, body: Incoming) -> Result<Body, SendError> {
    let mut body = body;
    if body.is_end_stream() {
        return Ok(Body::default());
    }
    // Memory for a body of a declared length is waited for before it is read, so that the target's
    // connection fills up meanwhile.
    let mut writer = match body.size_hint().exact().map(|len| len as usize) {
        Some(len) if len > MAX_RESPONSE_BYTES => return Err(too_large(len, true)),
        Some(len) => {
            let writer = memory_wait::response(shared, len).await;
            writer.map_err(|_| too_large(len, false))?
        }
        None => BodyWriter::new(&shared.memory, None, Use::UnboundedResponse),
    };
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(|_| SendError::Broken)?.into_data() else {
            continue;
        };
        let bytes = writer.len() + data.len();
        if bytes > MAX_RESPONSE_BYTES {
            return Err(too_large(bytes, true));
        }
        let written = memory_wait::write(shared, &mut writer, data).await;
        written.map_err(|_| too_large(bytes, false))?;
    }
    Ok(writer.finish())
}

/// Logs that a response is broken off for its size, or for lack of memory unless `has_room`.
fn too_large(bytes: usize, has_room: bool) -> SendError {
    log::warn!(event = "response_too_large", bytes, has_room; "target's response takes too much memory; connection closed, outcome unknown");
    SendError::Broken
}

/// The body of a request on its way to the target.
#[derive(Debug, Default)]
pub(crate) struct RequestBody {
    parts: VecDeque<Bytes>,
    left_bytes: usize,
}

impl From<&Body> for RequestBody {
    fn from(body: &Body) -> RequestBody {
        RequestBody {
            parts: body.parts().cloned().collect(),
            left_bytes: body.len(),
        }
    }
}

impl hyper::body::Body for RequestBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let part = self.parts.pop_front();
        self.left_bytes -= part.as_ref().map_or(0, Bytes::len);
        Poll::Ready(part.map(|p| Ok(Frame::data(p))))
    }

    fn is_end_stream(&self) -> bool {
        self.parts.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.left_bytes as u64)
    }
}

/// Returns for how long a connection may be reused after a response, or `None` if it must be
/// closed.
fn reuse_period(headers: &HeaderMap) -> Option<Duration> {
    let connection = headers
        .get(header::CONNECTION)
        .and_then(|v| v.to_str().ok());
    if connection.is_some_and(|v| v.to_ascii_lowercase().contains("close")) {
        return None;
    }
    let timeout_secs = headers
        .get("keep-alive")
        .and_then(|v| v.to_str().ok())
        .and_then(keep_alive_timeout);
    Some(match timeout_secs {
        Some(secs) => Duration::from_secs(secs).mul_f64(IDLE_TIMEOUT_FRACTION),
        None => DEFAULT_IDLE_TIMEOUT,
    })
}

fn keep_alive_timeout(value: &str) -> Option<u64> {
    value.split(',').find_map(|part| {
        let (name, secs) = part.trim().split_once('=')?;
        let secs = secs.trim().parse().ok()?;
        name.trim().eq_ignore_ascii_case("timeout").then_some(secs)
    })
}
