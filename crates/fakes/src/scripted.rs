//! A target that speaks HTTP/1.1 by a script, so that it can break each rule of it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use parking_lot::Mutex;
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;

/// A request as the target has read it.
#[derive(Clone, Debug, Default)]
pub struct SeenRequest {
    /// Method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Headers with lower-case names.
    pub headers: Vec<(String, String)>,
    /// Body; empty for a script that answers early.
    pub body: Vec<u8>,
    /// Number of the connection.
    pub connection: usize,
}

impl SeenRequest {
    /// Returns the value of a header, or an empty string.
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(n, _)| n == name);
        found.map_or("", |(_, v)| v.as_str())
    }
}

/// What the target does with a request.
#[derive(Clone, Debug)]
pub enum Step {
    /// Sends bytes.
    Send(Vec<u8>),
    /// Waits; ends early when the other side closes.
    Wait(Duration),
    /// Ends the connection in order.
    Close,
    /// Resets the connection.
    Reset,
}

/// Decides what is done with a request.
pub type Script = dyn Fn(&SeenRequest) -> Vec<Step> + Send + Sync;

#[derive(Default)]
struct Shared {
    seen: Mutex<Vec<SeenRequest>>,
    abandoned: AtomicUsize,
    connections: AtomicUsize,
}

/// A scripted target. It stops when it is dropped.
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
    /// Starts a target on a loopback address. With `early`, the script runs before the body is read.
    ///
    /// # Errors
    ///
    /// Fails when no address can be bound.
    pub async fn start(early: bool, script: Arc<Script>) -> std::io::Result<ScriptedTarget> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let addr = listener.local_addr()?;
        let shared = Arc::new(Shared::default());
        let mut tasks = JoinSet::new();
        let state = shared.clone();
        tasks.spawn(async move {
            let mut conns = JoinSet::new();
            while let Ok((tcp, _)) = listener.accept().await {
                let number = state.connections.fetch_add(1, Ordering::SeqCst);
                let (state, script) = (state.clone(), script.clone());
                conns.spawn(async move {
                    // A broken connection ends the conversation, as on a real target.
                    let _ = converse(tcp, number, early, &state, &*script).await;
                });
            }
        });
        Ok(ScriptedTarget {
            addr,
            shared,
            _tasks: tasks,
        })
    }

    /// Returns its address.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Returns the requests seen so far.
    pub fn seen(&self) -> Vec<SeenRequest> {
        self.shared.seen.lock().clone()
    }

    /// Returns how often the other side closed while the script waited.
    pub fn abandoned(&self) -> usize {
        self.shared.abandoned.load(Ordering::SeqCst)
    }
}

async fn converse(
    mut tcp: TcpStream,
    connection: usize,
    early: bool,
    shared: &Shared,
    script: &Script,
) -> std::io::Result<()> {
    let mut buf = Vec::new();
    loop {
        let Some((mut req, length)) = read_head(&mut tcp, &mut buf).await? else {
            return Ok(());
        };
        req.connection = connection;
        if !early {
            req.body = read_body(&mut tcp, &mut buf, length).await?;
        }
        shared.seen.lock().push(req.clone());
        for step in script(&req) {
            match step {
                Step::Send(bytes) => tcp.write_all(&bytes).await?,
                Step::Wait(time) => {
                    if closed_within(&mut tcp, &mut buf, time).await {
                        shared.abandoned.fetch_add(1, Ordering::SeqCst);
                        return Ok(());
                    }
                }
                Step::Close => return tcp.shutdown().await,
                Step::Reset => return SockRef::from(&tcp).set_linger(Some(Duration::ZERO)),
            }
        }
        if early {
            read_body(&mut tcp, &mut buf, length).await?;
        }
    }
}

/// Reads bytes that come while the script waits; returns whether the other side closed.
async fn closed_within(tcp: &mut TcpStream, buf: &mut Vec<u8>, time: Duration) -> bool {
    let reads = async {
        loop {
            match tcp.read_buf(buf).await {
                Ok(0) | Err(_) => return,
                Ok(_) => {}
            }
        }
    };
    tokio::time::timeout(time, reads).await.is_ok()
}

async fn read_head(
    tcp: &mut TcpStream,
    buf: &mut Vec<u8>,
) -> std::io::Result<Option<(SeenRequest, usize)>> {
    let end = loop {
        if let Some(at) = buf.windows(4).position(|w| w == b"\r\n\r\n") {
            break at + 4;
        }
        if tcp.read_buf(buf).await? == 0 {
            return Ok(None);
        }
    };
    let head = String::from_utf8_lossy(&buf[..end]).into_owned();
    buf.drain(..end);
    let mut lines = head.split("\r\n").filter(|l| !l.is_empty());
    let mut first = lines.next().unwrap_or_default().split(' ');
    let mut word = || first.next().unwrap_or_default().to_owned();
    let (method, path) = (word(), word());
    let headers: Vec<(String, String)> = lines
        .filter_map(|l| l.split_once(':'))
        .map(|(n, v)| (n.to_ascii_lowercase(), v.trim().to_owned()))
        .collect();
    let req = SeenRequest {
        method,
        path,
        headers,
        ..SeenRequest::default()
    };
    let length = req.header("content-length").parse().unwrap_or(0);
    Ok(Some((req, length)))
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
