//! Connections to the target beside this node. Each one carries one request at a time and is held
//! singly, so that a request is never sent twice by a library.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Request, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use wire::Time;

/// The target is on the same instance; a connect that takes longer means that it hangs.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Longest idle time of a kept connection where the target names none. Common servers close idle
/// connections after 5 s or more.
const DEFAULT_IDLE: Duration = Duration::from_secs(3);
/// Part of the target's own idle timeout for which a connection is kept, so that a request does
/// not cross the target's close.
const IDLE_SHARE: f64 = 0.6;
/// After a kept connection broke under a request, requests that must not be repeated use new
/// connections for this long, and others none that has been idle for half as long as that one.
const DISTRUST: Duration = Duration::from_secs(20);
/// Largest answer that is held; a larger one counts as broken. Bounds the memory of a node.
const MAX_ANSWER_BYTES: usize = 32 << 20;

/// An answer, read to its end.
#[derive(Debug)]
pub(crate) struct Received {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

/// Why no answer was received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SendError {
    /// No connection could be made; nothing was sent.
    Connect,
    /// A kept connection broke before any byte of an answer.
    KeptConnection,
    /// A connection broke, or what came is not an answer.
    Broken,
}

/// Which connections may carry a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Reuse {
    /// Any kept connection that seems to be open.
    Any,
    /// None where kept connections have broken lately: the request must not be sent twice.
    Careful,
}

/// The connections to one target.
#[derive(Debug)]
pub(crate) struct Upstream {
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    addr: SocketAddr,
    idle: Vec<Idle>,
    distrusted_until: Time,
    /// Idle time up to which kept connections have not broken, while they are distrusted.
    idle_limit: Duration,
}

#[derive(Debug)]
struct Idle {
    conn: Conn,
    since: Time,
    keep: Duration,
}

/// A connection with the task that drives it. Dropping it closes the connection, which also tells
/// the target that the request on it is given up.
#[derive(Debug)]
struct Conn {
    sender: SendRequest<Full<Bytes>>,
    driver: JoinHandle<()>,
}

impl Drop for Conn {
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
                distrusted_until: Time::ZERO,
                idle_limit: Duration::MAX,
            }),
        }
    }

    pub(crate) fn addr(&self) -> SocketAddr {
        self.state.lock().addr
    }

    /// Changes the target's address and drops the kept connections to the old one.
    pub(crate) fn set_addr(&self, addr: SocketAddr) {
        let mut state = self.state.lock();
        if state.addr != addr {
            state.addr = addr;
            state.idle.clear();
        }
    }

    /// Drops all kept connections, for a target that has started again.
    pub(crate) fn reset(&self) {
        self.state.lock().idle.clear();
    }

    /// Drops connections that have been idle for too long.
    pub(crate) fn sweep(&self, now: Time) {
        let mut state = self.state.lock();
        state
            .idle
            .retain(|i| now.since(i.since) < i.keep && !i.conn.sender.is_closed());
    }

    /// Sends a request and reads its answer to the end.
    pub(crate) async fn send(
        &self,
        now: impl Fn() -> Time,
        req: Request<Full<Bytes>>,
        reuse: Reuse,
    ) -> Result<Received, SendError> {
        let mut req = req;
        while let Some((mut conn, idle)) = self.take_idle(now(), reuse) {
            // Gives the driver a chance to notice a close or stray bytes.
            if conn.sender.ready().await.is_err() {
                continue;
            }
            match conn.sender.try_send_request(req).await {
                Ok(res) => return self.receive(&now, conn, res).await,
                Err(mut e) => match e.take_message() {
                    // The request was given back, so no byte of it was sent.
                    Some(unsent) => req = unsent,
                    None => {
                        self.forgotten(now(), idle);
                        return Err(SendError::KeptConnection);
                    }
                },
            }
        }
        let mut conn = self.connect().await?;
        match conn.sender.try_send_request(req).await {
            Ok(res) => self.receive(&now, conn, res).await,
            Err(_) => Err(SendError::Broken),
        }
    }

    /// Returns whether the target accepts connections.
    pub(crate) async fn accepts(&self) -> bool {
        self.connect().await.is_ok()
    }

    /// Notes that a kept connection broke under a request after it had been idle for `idle`.
    fn forgotten(&self, now: Time, idle: Duration) {
        let mut state = self.state.lock();
        state.distrusted_until = now + DISTRUST;
        state.idle_limit = state.idle_limit.min(idle / 2);
    }

    /// Takes the connection that was used last, with the time that it has been idle.
    fn take_idle(&self, now: Time, reuse: Reuse) -> Option<(Conn, Duration)> {
        let mut state = self.state.lock();
        if now >= state.distrusted_until {
            state.idle_limit = Duration::MAX;
        }
        if reuse == Reuse::Careful && now < state.distrusted_until {
            return None;
        }
        while let Some(idle) = state.idle.pop() {
            let age = now.since(idle.since);
            let fresh = age < idle.keep.min(state.idle_limit);
            if fresh && idle.conn.sender.is_ready() && !idle.conn.sender.is_closed() {
                return Some((idle.conn, age));
            }
        }
        None
    }

    async fn connect(&self) -> Result<Conn, SendError> {
        let addr = self.addr();
        let connected = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(addr)).await;
        let Ok(Ok(tcp)) = connected else {
            return Err(SendError::Connect);
        };
        // Without it, the second small write on a connection waits for the peer's delayed ACK.
        if tcp.set_nodelay(true).is_err() {
            return Err(SendError::Connect);
        }
        let handshake = http1::handshake(TokioIo::new(tcp)).await;
        let Ok((sender, driver)) = handshake else {
            return Err(SendError::Connect);
        };
        let driver = tokio::spawn(async move {
            // Errors reach the request on the connection; an idle connection is just dropped.
            let _ = driver.await;
        });
        Ok(Conn { sender, driver })
    }

    async fn receive(
        &self,
        now: &impl Fn() -> Time,
        conn: Conn,
        res: http::Response<hyper::body::Incoming>,
    ) -> Result<Received, SendError> {
        let (parts, body) = res.into_parts();
        let whole = Limited::new(body, MAX_ANSWER_BYTES).collect().await;
        let Ok(whole) = whole else {
            return Err(SendError::Broken);
        };
        if let Some(keep) = keep_for(&parts.headers) {
            let since = now();
            self.state.lock().idle.push(Idle { conn, since, keep });
        }
        Ok(Received {
            status: parts.status,
            headers: parts.headers,
            body: whole.to_bytes(),
        })
    }

    /// Notes that an answer did not belong to the request on its connection, so that requests that
    /// must not be repeated avoid kept connections for a while. Kept ones may carry more of it.
    pub(crate) fn distrust(&self, now: Time) {
        let mut state = self.state.lock();
        state.idle.clear();
        state.distrusted_until = now + DISTRUST;
    }
}

/// Returns for how long a connection may be kept after an answer, or `None` if it must be closed.
fn keep_for(headers: &HeaderMap) -> Option<Duration> {
    let connection = headers
        .get(header::CONNECTION)
        .and_then(|v| v.to_str().ok());
    if connection.is_some_and(|v| v.to_ascii_lowercase().contains("close")) {
        return None;
    }
    let stated = headers
        .get("keep-alive")
        .and_then(|v| v.to_str().ok())
        .and_then(keep_alive_timeout);
    Some(match stated {
        Some(secs) => Duration::from_secs(secs).mul_f64(IDLE_SHARE),
        None => DEFAULT_IDLE,
    })
}

fn keep_alive_timeout(value: &str) -> Option<u64> {
    value.split(',').find_map(|part| {
        let (name, secs) = part.trim().split_once('=')?;
        let secs = secs.trim().parse().ok()?;
        name.trim().eq_ignore_ascii_case("timeout").then_some(secs)
    })
}
