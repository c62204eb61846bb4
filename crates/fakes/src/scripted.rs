//! A target that answers HTTP/1.1 requests by a script, so that tests can violate any rule of the
//! protocol.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use parking_lot::Mutex;
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;

/// A request as received by the target.
#[derive(Clone, Debug, Default)]
pub struct ReceivedRequest {
    /// Method as sent, for example `GET`.
    pub method: String,
    /// Request target: path and query.
    pub path: String,
    /// Headers in the order received, with lower-case names.
    pub headers: Vec<(String, String)>,
    /// Body; empty if the script runs before the body is read.
    pub body: Vec<u8>,
    /// Index of the connection on this target, from 0.
    pub connection: usize,
}

impl ReceivedRequest {
    /// Returns the first value of the header `name` (lower case), or an empty string.
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(n, _)| n == name);
        found.map_or("", |(_, v)| v.as_str())
    }
}

/// One step of the reaction to a request.
#[derive(Clone, Debug)]
pub enum Step {
    /// Sends the bytes as they are.
    Send(Vec<u8>),
    /// Sends the bytes again and again until the client closes the connection.
    SendEndlessly(Vec<u8>),
    /// Waits. If the client closes the connection meanwhile, the target closes it too.
    Wait(Duration),
    /// Shuts the connection down with FIN.
    Close,
    /// Closes the connection with RST.
    Reset,
}

/// Maps a request to the steps that the target takes.
pub type Script = dyn Fn(&ReceivedRequest) -> Vec<Step> + Send + Sync;

#[derive(Default)]
struct Shared {
    received_requests: Mutex<Vec<ReceivedRequest>>,
    abandoned_wait_count: AtomicUsize,
    connections: AtomicUsize,
    endless_sends: AtomicUsize,
}

/// A target that runs a [`Script`] for each request. It stops when it is dropped.
pub struct ScriptedTarget {
    addr: SocketAddr,
    shared: Arc<Shared>,
    _tasks: JoinSet<()>,
}

impl std::fmt::Debug for ScriptedTarget {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("ScriptedTarget")
            .field("addr", &self.addr)
            .finish_non_exhaustive()
    }
}

impl ScriptedTarget {
    /// Starts a target on a loopback address. If `runs_before_body`, the script runs before the
    /// request body is read.
    ///
    /// # Errors
    ///
    /// Fails when no address can be bound.
    pub async fn start(
        runs_before_body: bool,
        script: Arc<Script>,
    ) -> std::io::Result<ScriptedTarget> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let addr = listener.local_addr()?;
        let shared = Arc::new(Shared::default());
        let mut tasks = JoinSet::new();
        let state = shared.clone();
        tasks.spawn(async move {
            let mut conns = JoinSet::new();
            while let Ok((tcp, _)) = listener.accept().await {
                let connection = state.connections.fetch_add(1, Ordering::SeqCst);
                let (state, script) = (state.clone(), script.clone());
                conns.spawn(async move {
                    // An I/O error ends only this connection, as on a real target.
                    let _ =
                        serve_connection(tcp, connection, runs_before_body, &state, &*script).await;
                });
            }
        });
        Ok(ScriptedTarget {
            addr,
            shared,
            _tasks: tasks,
        })
    }

    /// Returns the bound address.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Returns the requests received so far.
    pub fn received_requests(&self) -> Vec<ReceivedRequest> {
        self.shared.received_requests.lock().clone()
    }

    /// Returns the number of connections on which [`Step::SendEndlessly`] still sends.
    pub fn endless_send_count(&self) -> usize {
        self.shared.endless_sends.load(Ordering::SeqCst)
    }

    /// Returns how often a client closed its connection during [`Step::Wait`].
    pub fn abandoned_wait_count(&self) -> usize {
        self.shared.abandoned_wait_count.load(Ordering::SeqCst)
    }
}

/// Returns the error with which the connection ends.
async fn send_endlessly(tcp: &mut TcpStream, bytes: &[u8]) -> std::io::Result<()> {
    loop {
        tcp.write_all(bytes).await?;
    }
}

async fn serve_connection(
    mut tcp: TcpStream,
    connection: usize,
    runs_before_body: bool,
    shared: &Shared,
    script: &Script,
) -> std::io::Result<()> {
    let mut buf = Vec::new();
    loop {
        let Some((mut req, body_len)) = read_head(&mut tcp, &mut buf).await? else {
            return Ok(());
        };
        req.connection = connection;
        if !runs_before_body {
            req.body = read_body(&mut tcp, &mut buf, body_len).await?;
        }
        shared.received_requests.lock().push(req.clone());
        for step in script(&req) {
            match step {
                Step::Send(bytes) => tcp.write_all(&bytes).await?,
                Step::SendEndlessly(bytes) => {
                    shared.endless_sends.fetch_add(1, Ordering::SeqCst);
                    let sent = send_endlessly(&mut tcp, &bytes).await;
                    shared.endless_sends.fetch_sub(1, Ordering::SeqCst);
                    return sent;
                }
                Step::Wait(duration) => {
                    if closed_within(&mut tcp, &mut buf, duration).await {
                        shared.abandoned_wait_count.fetch_add(1, Ordering::SeqCst);
                        return Ok(());
                    }
                }
                Step::Close => return tcp.shutdown().await,
                Step::Reset => return SockRef::from(&tcp).set_linger(Some(Duration::ZERO)),
            }
        }
        if runs_before_body {
            read_body(&mut tcp, &mut buf, body_len).await?;
        }
    }
}

/// Buffers received bytes for `duration` and returns whether the client closed the connection.
async fn closed_within(tcp: &mut TcpStream, buf: &mut Vec<u8>, duration: Duration) -> bool {
    let reads = async {
        loop {
            match tcp.read_buf(buf).await {
                Ok(0) | Err(_) => return,
                Ok(_) => {}
            }
        }
    };
    tokio::time::timeout(duration, reads).await.is_ok()
}

/// Reads a request head. Returns it with the length of the body, or `None` at the end of the
/// connection.
async fn read_head(
    tcp: &mut TcpStream,
    buf: &mut Vec<u8>,
) -> std::io::Result<Option<(ReceivedRequest, usize)>> {
    let end = loop {
        if let Some(pos) = buf.windows(4).position(|w| w == b"\r\n\r\n") {
            break pos + 4;
        }
        if tcp.read_buf(buf).await? == 0 {
            return Ok(None);
        }
    };
    let head = String::from_utf8_lossy(&buf[..end]).into_owned();
    buf.drain(..end);
    let mut lines = head.split("\r\n").filter(|l| !l.is_empty());
    let mut request_line = lines.next().unwrap_or_default().split(' ');
    let mut next_part = || request_line.next().unwrap_or_default().to_owned();
    let (method, path) = (next_part(), next_part());
    let headers: Vec<(String, String)> = lines
        .filter_map(|l| l.split_once(':'))
        .map(|(n, v)| (n.to_ascii_lowercase(), v.trim().to_owned()))
        .collect();
    let req = ReceivedRequest {
        method,
        path,
        headers,
        ..ReceivedRequest::default()
    };
    let body_len = req.header("content-length").parse().unwrap_or(0);
    Ok(Some((req, body_len)))
}

async fn read_body(
    tcp: &mut TcpStream,
    buf: &mut Vec<u8>,
    length: usize,
) -> std::io::Result<Vec<u8>> {
    while buf.len() < length {
        if tcp.read_buf(buf).await? == 0 {
            return Err(std::io::ErrorKind::UnexpectedEof.into());
        }
    }
    Ok(buf.drain(..length).collect())
}
