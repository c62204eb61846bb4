//! Stand-ins and driver for the scripts of the second review: a platform store, servers and clients
//! over loopback, and the project's own `briarlug platform` processes.
//!
//! `mesh2 CASE RECORD` plays one case and writes RECORD. Exit status: 1 if the rule was broken, 0 if
//! it held, 2 if the case could not run. With `TROUBLE=0` the disruption is left out.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::fmt::Write as _;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, arg2: u64, arg3: u64, arg4: u64, arg5: u64) -> i32;
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, len: u32) -> i32;
}
/// Option of `prctl`: the signal that a process gets when the one that started it has ended.
const PR_SET_PDEATHSIG: i32 = 1;
const SOL_SOCKET: i32 = 1;
const SO_RCVBUF: i32 = 8;
/// Receive buffer of a client: the pages' links have small windows.
const CLIENT_WINDOW: i32 = 64 << 10;
const SIGKILL: i32 = 9;
const SIGTERM: i32 = 15;

/// Time between two liveness reports of a server.
const HEARTBEAT: Duration = Duration::from_millis(500);
const IO_TIMEOUT: Duration = Duration::from_secs(60);

fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.unwrap_or_default().as_millis() as u64
}

// ---------------------------------------------------------------------------------------------
// HTTP

/// Head and body of a message.
#[derive(Debug, Default, Clone)]
struct Message {
    /// Words of the first line.
    first: Vec<String>,
    headers: Vec<(String, String)>,
    body: Vec<u8>,
}

impl Message {
    fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, v)| v.as_str())
    }

    fn status(&self) -> u16 {
        self.first.get(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    fn closes(&self) -> bool {
        self.header("connection")
            .is_some_and(|v| v.eq_ignore_ascii_case("close"))
    }
}

fn invalid(why: &str) -> std::io::Error {
    std::io::Error::new(std::io::ErrorKind::InvalidData, why)
}

/// Reads a head. `None` at the end of the stream before its first byte.
fn read_head(r: &mut impl BufRead) -> std::io::Result<Option<Message>> {
    let mut msg = Message::default();
    let mut line = String::new();
    if r.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    msg.first = line.trim_end().splitn(3, ' ').map(str::to_owned).collect();
    loop {
        line.clear();
        if r.read_line(&mut line)? == 0 {
            return Err(std::io::ErrorKind::UnexpectedEof.into());
        }
        let text = line.trim_end();
        if text.is_empty() {
            return Ok(Some(msg));
        }
        let (name, value) = text.split_once(':').ok_or_else(|| invalid("header"))?;
        msg.headers.push((name.to_owned(), value.trim().to_owned()));
    }
}

/// Reads a message with a body of declared length.
fn read_message(r: &mut impl BufRead) -> std::io::Result<Option<Message>> {
    let Some(mut msg) = read_head(r)? else {
        return Ok(None);
    };
    read_body(r, &mut msg)?;
    Ok(Some(msg))
}

fn read_body(r: &mut impl BufRead, msg: &mut Message) -> std::io::Result<()> {
    let len: usize = msg
        .header("content-length")
        .and_then(|v| v.parse().ok())
        .unwrap_or(0);
    msg.body = vec![0; len];
    r.read_exact(&mut msg.body)
}

fn write_response(
    w: &mut impl Write,
    status: u16,
    headers: &[(&str, &str)],
    body: &[u8],
) -> std::io::Result<()> {
    let mut head = format!("HTTP/1.1 {status} -\r\ncontent-length: {}\r\n", body.len());
    for (name, value) in headers {
        let _ = write!(head, "{name}: {value}\r\n");
    }
    head.push_str("\r\n");
    let mut out = head.into_bytes();
    out.extend_from_slice(body);
    w.write_all(&out)
}

// ---------------------------------------------------------------------------------------------
// Store

#[derive(Default)]
struct Topic {
    records: Vec<Vec<u8>>,
    /// Newest record of each key: value and offset.
    newest: BTreeMap<String, (Vec<u8>, u64)>,
}

impl Topic {
    fn append(&mut self, is_keyed: bool, record: Vec<u8>) {
        if is_keyed && !record.is_empty() {
            let len = record[0] as usize;
            let key = String::from_utf8_lossy(&record[1..1 + len]).into_owned();
            let value = record[1 + len..].to_vec();
            let offset = self.records.len() as u64;
            if value.is_empty() {
                self.newest.remove(&key);
            } else {
                self.newest.insert(key, (value, offset));
            }
        }
        self.records.push(record);
    }
}

/// The platform's store: append, read with a long poll, and the newest record of each key.
#[derive(Default)]
struct Store {
    topics: Mutex<HashMap<String, Topic>>,
    changed: Condvar,
}

impl Store {
    fn start(addr: SocketAddr) -> std::io::Result<Arc<Store>> {
        let listener = TcpListener::bind(addr)?;
        let store = Arc::new(Store::default());
        let serving = store.clone();
        thread::spawn(move || {
            for tcp in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(tcp));
            }
        });
        Ok(store)
    }

    /// Writes a record of the operator; the return is the confirmation.
    fn put(&self, key: &str, value: &str) {
        let mut record = vec![key.len() as u8];
        record.extend_from_slice(key.as_bytes());
        record.extend_from_slice(value.as_bytes());
        let mut topics = self.topics.lock().unwrap();
        topics
            .entry("keyed.op".to_owned())
            .or_default()
            .append(true, record);
        self.changed.notify_all();
    }

    fn serve(&self, tcp: TcpStream) {
        let _ = tcp.set_nodelay(true);
        let Ok(mut w) = tcp.try_clone() else { return };
        let mut r = BufReader::new(tcp);
        while let Ok(Some(req)) = read_message(&mut r) {
            let (status, kind, body) = self.answer(&req);
            if write_response(&mut w, status, &[("content-type", kind)], &body).is_err() {
                return;
            }
        }
    }

    fn answer(&self, req: &Message) -> (u16, &'static str, Vec<u8>) {
        const JSON: &str = "application/json";
        let target = req.first.get(1).map(String::as_str).unwrap_or_default();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query: HashMap<_, _> = query.split('&').filter_map(|p| p.split_once('=')).collect();
        let topic = query.get("topic").copied().unwrap_or_default().to_owned();
        let mut topics = self.topics.lock().unwrap();
        match path {
            "/v1/log-append" => {
                let t = topics.entry(topic.clone()).or_default();
                let offset = t.records.len();
                if let Some(at) = query.get("at")
                    && at.parse() != Ok(offset)
                {
                    return (412, JSON, format!("{{\"end\":{offset}}}").into_bytes());
                }
                let mut rest = &req.body[..];
                while rest.len() >= 4 {
                    let len = u32::from_be_bytes([rest[0], rest[1], rest[2], rest[3]]) as usize;
                    t.append(topic.starts_with("keyed."), rest[4..4 + len].to_vec());
                    rest = &rest[4 + len..];
                }
                let end = t.records.len();
                self.changed.notify_all();
                (
                    200,
                    JSON,
                    format!("{{\"offset\":{offset},\"end\":{end}}}").into_bytes(),
                )
            }
            "/v1/log-read" => {
                let from: usize = query.get("from").and_then(|v| v.parse().ok()).unwrap_or(0);
                let wait: u64 = query
                    .get("wait_ms")
                    .and_then(|v| v.parse().ok())
                    .unwrap_or(0);
                let until = Instant::now() + Duration::from_millis(wait);
                loop {
                    let t = topics.entry(topic.clone()).or_default();
                    let left = until.saturating_duration_since(Instant::now());
                    if t.records.len() > from || left.is_zero() {
                        let mut out = (t.records.len() as u64).to_be_bytes().to_vec();
                        out.extend_from_slice(&0u64.to_be_bytes());
                        for record in t.records.iter().skip(from) {
                            out.extend_from_slice(&(record.len() as u32).to_be_bytes());
                            out.extend_from_slice(record);
                        }
                        return (200, "application/octet-stream", out);
                    }
                    topics = self.changed.wait_timeout(topics, left).unwrap().0;
                }
            }
            "/v1/log-newest" => {
                let t = topics.entry(topic).or_default();
                let mut items = Vec::new();
                for (key, (value, offset)) in &t.newest {
                    let value = base64(value);
                    items.push(format!(
                        "{{\"key\":\"{key}\",\"value\":\"{value}\",\"offset\":{offset}}}"
                    ));
                }
                let end = t.records.len();
                let body = format!(
                    "{{\"items\":[{}],\"has_more\":false,\"end\":{end}}}",
                    items.join(",")
                );
                (200, JSON, body.into_bytes())
            }
            _ => (404, JSON, b"{}".to_vec()),
        }
    }
}

fn base64(data: &[u8]) -> String {
    const CHARS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in data.chunks(3) {
        let b = [
            chunk[0],
            *chunk.get(1).unwrap_or(&0),
            *chunk.get(2).unwrap_or(&0),
        ];
        let n = u32::from_be_bytes([0, b[0], b[1], b[2]]);
        for i in 0..4 {
            let is_padding = i > chunk.len();
            let c = CHARS[(n >> (18 - 6 * i) & 63) as usize] as char;
            out.push(if is_padding { '=' } else { c });
        }
    }
    out
}

// ---------------------------------------------------------------------------------------------
// Server

/// What a server answers to one request.
struct Answer {
    work: Duration,
    body_bytes: usize,
    /// Refuse a request with a body as not run before the body is read, and read on this much later.
    refuse_early: Option<Duration>,
    /// Refuse the request as not run, as a full server does.
    shed: bool,
}

impl Answer {
    fn new(work_ms: u64, body_bytes: usize) -> Answer {
        Answer {
            work: Duration::from_millis(work_ms),
            body_bytes,
            refuse_early: None,
            shed: false,
        }
    }
}

/// A run of a request at a server.
#[derive(Clone)]
struct Run {
    at: Instant,
    id: String,
    path: String,
}

type Decide = Arc<dyn Fn(&Message) -> Answer + Send + Sync>;

struct Server {
    runs: Arc<Mutex<Vec<Run>>>,
    /// All requests that arrived, refused ones too, with the time.
    arrivals: Arc<Mutex<Vec<(Instant, String)>>>,
    stop: Arc<AtomicBool>,
}

impl Server {
    /// Starts a server that reports to the node at `control`.
    fn start(
        addr: SocketAddr,
        control: SocketAddr,
        (id, service, zone): (&str, &str, &str),
        slots: usize,
        decide: Decide,
    ) -> std::io::Result<Server> {
        let listener = TcpListener::bind(addr)?;
        let server = Server {
            runs: Arc::default(),
            arrivals: Arc::default(),
            stop: Arc::default(),
        };
        let state = Arc::new(ServerState {
            name: id.to_owned(),
            slots,
            runs: server.runs.clone(),
            arrivals: server.arrivals.clone(),
            running: AtomicUsize::new(0),
            decide,
        });
        thread::spawn(move || {
            for tcp in listener.incoming().flatten() {
                let state = state.clone();
                thread::spawn(move || {
                    let _ = serve_requests(tcp, &state);
                });
            }
        });
        let stop = server.stop.clone();
        let (id, service, zone) = (id.to_owned(), service.to_owned(), zone.to_owned());
        let born = unix_ms();
        thread::spawn(move || {
            let mut sequence = 0;
            while !stop.load(Ordering::Relaxed) {
                sequence += 1;
                let body = format!(
                    "{{\"address\":\"{addr}\",\"born\":{born},\"info\":{{\"service\":\"{service}\",\"version\":\"v1\",\"zone\":\"{zone}\",\"slots\":{slots}}},\"status\":{{\"state\":\"ready\",\"sequence\":{sequence},\"cold_left_ms\":0}}}}"
                );
                let _ = call(control, "PUT", &format!("/v1/instances/{id}"), &body);
                thread::sleep(HEARTBEAT);
            }
        });
        Ok(server)
    }
}

/// Makes one call on a connection of its own.
fn call(addr: SocketAddr, method: &str, path: &str, body: &str) -> std::io::Result<Message> {
    let mut tcp = TcpStream::connect_timeout(&addr, Duration::from_secs(1))?;
    tcp.set_read_timeout(Some(Duration::from_secs(1)))?;
    let req = format!(
        "{method} {path} HTTP/1.1\r\nhost: {addr}\r\ncontent-type: application/json\r\nconnection: close\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    tcp.write_all(req.as_bytes())?;
    read_message(&mut BufReader::new(tcp))?.ok_or_else(|| invalid("no answer"))
}

/// What the connections of a server share.
struct ServerState {
    name: String,
    slots: usize,
    runs: Arc<Mutex<Vec<Run>>>,
    arrivals: Arc<Mutex<Vec<(Instant, String)>>>,
    running: AtomicUsize,
    decide: Decide,
}

fn serve_requests(tcp: TcpStream, state: &ServerState) -> std::io::Result<()> {
    let ServerState {
        name,
        slots,
        runs,
        arrivals,
        running,
        decide,
    } = state;
    let (name, slots) = (name.as_str(), *slots);
    tcp.set_nodelay(true)?;
    let mut w = tcp.try_clone()?;
    let mut r = BufReader::new(tcp);
    while let Some(mut req) = read_head(&mut r)? {
        let path = req.first.get(1).cloned().unwrap_or_default();
        let answer = decide(&req);
        let id = req.header("request-id").unwrap_or_default().to_owned();
        if path != "/healthz" {
            arrivals.lock().unwrap().push((Instant::now(), id.clone()));
        }
        let refuse = |w: &mut TcpStream, status| {
            let headers = [
                ("request-id", id.as_str()),
                ("instance-id", name),
                ("not-executed", "1"),
            ];
            write_response(w, status, &headers, b"")
        };
        if let Some(pause) = answer.refuse_early {
            refuse(&mut w, 503)?;
            thread::sleep(pause);
        }
        read_body(&mut r, &mut req)?;
        if answer.refuse_early.is_some() {
            continue;
        }
        let occupied = running.load(Ordering::SeqCst);
        let load = format!("{occupied},0,{slots}");
        if path == "/healthz" {
            write_response(
                &mut w,
                200,
                &[("instance-id", name), ("server-load", &load)],
                b"",
            )?;
            continue;
        }
        if req.header("target-instance").is_some_and(|t| t != name) {
            refuse(&mut w, 421)?;
            continue;
        }
        if answer.shed {
            refuse(&mut w, 503)?;
            continue;
        }
        if running.fetch_add(1, Ordering::SeqCst) >= slots {
            running.fetch_sub(1, Ordering::SeqCst);
            refuse(&mut w, 503)?;
            continue;
        }
        runs.lock().unwrap().push(Run {
            at: Instant::now(),
            id: id.clone(),
            path,
        });
        thread::sleep(answer.work);
        running.fetch_sub(1, Ordering::SeqCst);
        let headers = [
            ("request-id", id.as_str()),
            ("response-signature", "s1"),
            ("server-load", load.as_str()),
        ];
        write_response(&mut w, 200, &headers, &vec![b'x'; answer.body_bytes])?;
    }
    Ok(())
}

// ---------------------------------------------------------------------------------------------
// Client

static LAST_ID: AtomicU64 = AtomicU64::new(0);

fn next_id() -> String {
    format!(
        "{:016x}",
        0x5a00_0000_0000_0000 + LAST_ID.fetch_add(1, Ordering::Relaxed)
    )
}

/// How one attempt of a client ended.
#[derive(Clone, Debug)]
struct Attempt {
    id: String,
    status: u16,
    /// Bytes of the body that arrived, and that were announced.
    body: (usize, usize),
    sent_at: Instant,
    took: Duration,
}

impl Attempt {
    fn is_whole(&self) -> bool {
        self.status == 200 && self.body.0 == self.body.1
    }
}

/// A client with one kept connection.
struct Client {
    addr: SocketAddr,
    conn: Option<BufReader<TcpStream>>,
    /// Bytes a second at which the client reads bodies; 0 for no limit.
    read_rate: usize,
    /// Time after which the client leaves if it has read nothing.
    patience: Duration,
    /// Body of its requests; they are POST requests if it is not empty.
    body: Vec<u8>,
}

impl Client {
    fn new(addr: SocketAddr) -> Client {
        Client {
            addr,
            conn: None,
            read_rate: 0,
            patience: IO_TIMEOUT,
            body: Vec::new(),
        }
    }

    /// Sends a request and reads the answer. Status 0 stands for a connection that ended.
    fn send(&mut self, host: &str, path: &str, deadline: Duration, extra: &str) -> Attempt {
        let id = next_id();
        let sent_at = Instant::now();
        let mut body = (0, 0);
        let status = self
            .exchange(&id, host, path, deadline, extra, &mut body)
            .unwrap_or(0);
        if status == 0 {
            self.conn = None;
        }
        Attempt {
            id,
            status,
            body,
            sent_at,
            took: sent_at.elapsed(),
        }
    }

    fn exchange(
        &mut self,
        id: &str,
        host: &str,
        path: &str,
        deadline: Duration,
        extra: &str,
        body: &mut (usize, usize),
    ) -> std::io::Result<u16> {
        if self.conn.is_none() {
            let tcp = TcpStream::connect_timeout(&self.addr, Duration::from_secs(1))?;
            tcp.set_nodelay(true)?;
            tcp.set_read_timeout(Some(self.patience))?;
            // Without the option the kernel takes in megabytes that the client has not read.
            unsafe { setsockopt(tcp.as_raw_fd(), SOL_SOCKET, SO_RCVBUF, &CLIENT_WINDOW, 4) };
            self.conn = Some(BufReader::with_capacity(16 << 10, tcp));
        }
        let r = self.conn.as_mut().ok_or_else(|| invalid("no connection"))?;
        let req = format!(
            "{} {path} HTTP/1.1\r\nHost: {host}\r\nRequest-Id: {id}\r\nDeadline-Ms: {}\r\nContent-Length: {}\r\n{extra}\r\n",
            if self.body.is_empty() { "GET" } else { "POST" },
            deadline.as_millis(),
            self.body.len()
        );
        let mut req = req.into_bytes();
        req.extend_from_slice(&self.body);
        r.get_mut().write_all(&req)?;
        let head = read_head(r)?.ok_or_else(|| invalid("closed"))?;
        let len = head
            .header("content-length")
            .and_then(|v| v.parse().ok())
            .unwrap_or(0);
        body.1 = len;
        let began = Instant::now();
        let mut buf = [0; 16 << 10];
        while body.0 < len {
            let want = buf.len().min(len - body.0);
            let n = r.read(&mut buf[..want])?;
            if n == 0 {
                return Err(std::io::ErrorKind::UnexpectedEof.into());
            }
            body.0 += n;
            if self.read_rate > 0 {
                let due = Duration::from_secs_f64(body.0 as f64 / self.read_rate as f64);
                thread::sleep(due.saturating_sub(began.elapsed()));
            }
        }
        if head.closes() {
            self.conn = None;
        }
        Ok(head.status())
    }
}

// ---------------------------------------------------------------------------------------------
// Nodes

/// What differs between deployments.
#[derive(Clone)]
struct Deployment {
    memory_mb: usize,
    link_mbps: Vec<u32>,
    zones: Vec<&'static str>,
    /// Service of the server beside each node.
    services: Vec<&'static str>,
    /// Further bounds, as JSON members after a comma.
    bounds: String,
}

struct Node {
    ip: Ipv4Addr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Node {
    fn outbound(&self) -> SocketAddr {
        (self.ip, 8304).into()
    }

    fn ready_addr(&self) -> SocketAddr {
        (self.ip, 8302).into()
    }

    fn control(&self) -> SocketAddr {
        (self.ip, 8306).into()
    }

    fn app_addr(&self) -> SocketAddr {
        (self.ip, 8301).into()
    }

    fn spawn(&mut self) -> std::io::Result<()> {
        let log = std::fs::File::options()
            .create(true)
            .append(true)
            .open(&self.log)?;
        let mut command = Command::new("target/release/briarlug");
        // The node ends with the driver, also if that is killed.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL as u64, 0, 0, 0);
                Ok(())
            })
        };
        let child = command
            .arg("platform")
            .env_clear()
            .env("BRIARLUG_BOOT", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    /// Sends a signal to this node's process.
    fn signal(&self, signal: i32) {
        if let Some(child) = &self.child {
            // Only processes of this case have an entry here.
            unsafe { kill(child.id() as i32, signal) };
        }
    }

    /// Returns the most memory that the process has had, in MB.
    fn peak_mb(&self) -> u64 {
        self.memory_mb("VmHWM:")
    }

    /// Returns the memory that the process has, without the pages of files, in MB.
    fn resident_mb(&self) -> u64 {
        self.memory_mb("RssAnon:")
    }

    fn memory_mb(&self, name: &str) -> u64 {
        let Some(child) = &self.child else { return 0 };
        let path = format!("/proc/{}/status", child.id());
        let text = std::fs::read_to_string(path).unwrap_or_default();
        let line = text.lines().find_map(|l| l.strip_prefix(name));
        let kb: Option<u64> = line.and_then(|l| l.trim().trim_end_matches(" kB").parse().ok());
        kb.unwrap_or(0) / 1024
    }

    fn is_ready(&self) -> bool {
        call(self.ready_addr(), "GET", "/v1/ready", "").is_ok_and(|m| m.status() == 200)
    }
}

/// A mesh of nodes, each with a server.
struct Mesh {
    dir: PathBuf,
    store: Arc<Store>,
    nodes: Vec<Node>,
    servers: Vec<Server>,
    record: Record,
}

impl Drop for Mesh {
    fn drop(&mut self) {
        for node in &mut self.nodes {
            if let Some(mut child) = node.child.take() {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

/// The file that says what was sent, answered and run.
#[derive(Clone)]
struct Record {
    out: Arc<Mutex<std::fs::File>>,
    start: Instant,
}

impl Record {
    fn line(&self, text: impl AsRef<str>) {
        let line = format!(
            "{:9.3} s  {}\n",
            self.start.elapsed().as_secs_f64(),
            text.as_ref()
        );
        print!("{line}");
        let _ = self.out.lock().unwrap().write_all(line.as_bytes());
    }

    fn at(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.start).as_secs_f64()
    }
}

impl Mesh {
    fn start(
        record: &Path,
        deployment: &Deployment,
        config: &str,
        slots: usize,
        decide: impl Fn(usize) -> Decide,
    ) -> Result<Mesh, String> {
        let fail = |e: std::io::Error| e.to_string();
        let out = std::fs::File::create(record).map_err(fail)?;
        let record = Record {
            out: Arc::new(Mutex::new(out)),
            start: Instant::now(),
        };
        let pid = std::process::id();
        let dir = std::env::temp_dir().join(format!("mesh2-{pid}"));
        std::fs::create_dir_all(&dir).map_err(fail)?;
        let (net, store, store_addr) = (0..50)
            .find_map(|i| {
                let net = (100 + (pid + i) % 100) as u8;
                let addr = (Ipv4Addr::new(127, net, (pid % 250) as u8 + 1, 200), 8309).into();
                Store::start(addr).ok().map(|s| (net, s, addr))
            })
            .ok_or("no free address for the store")?;
        store.put("config", config);
        let mut mesh = Mesh {
            dir,
            store,
            nodes: Vec::new(),
            servers: Vec::new(),
            record,
        };
        for (i, service) in deployment.services.iter().enumerate() {
            let ip = Ipv4Addr::new(127, net, (pid % 250) as u8 + 1, i as u8 + 1);
            let zone = deployment.zones[i % deployment.zones.len()];
            let settings = mesh.dir.join(format!("boot-{i}.json"));
            let log = mesh.dir.join(format!("node-{i}.log"));
            let link_mbps = deployment.link_mbps[i % deployment.link_mbps.len()];
            let zones: Vec<_> = deployment
                .zones
                .iter()
                .map(|z| format!("\"{z}\":\"r1\""))
                .collect();
            let text = format!(
                "{{\"self_node\":{{\"node\":\"sidecar-{zone}-{i}\",\"role\":\"node\",\"machine_class\":\"sidecar\",\"serves\":[\"sidecar\"],\"ip\":\"{ip}\",\"zone\":\"{zone}\",\"region\":\"r1\",\"fault_counted\":false,\"bootstrap\":true,\"data_dir\":null,\"limits\":{{\"cpu_share\":0.2,\"cores\":1,\"memory_mb\":{},\"max_fds\":4100,\"link_mbps\":{link_mbps}.0,\"disk_mb\":0}},\"app_addr\":\"{ip}:8301\",\"service\":\"{service}\"}},\
                 \"network\":{{\"listen\":{{\"inbound\":\"{ip}:8300\",\"outbound\":\"{ip}:8304\",\"ready_addr\":\"{ip}:8302\",\"control\":\"{ip}:8306\"}},\"port_range\":[7620,7635],\"seed_nodes\":[],\"zones\":{{{}}}}},\
                 \"platform\":{{\"discovery\":\"static\",\"entry\":\"static\",\"heartbeat_ms\":500,\"platform\":{{\"address\":\"{store_addr}\",\"form\":\"log\",\"writes_per_s\":400,\"reads_per_s\":2000,\"parts\":8,\"append_ms\":4.0,\"ingress_per_s\":20.0,\"egress_per_s\":80.0,\"record_bytes\":262144,\"call_bytes\":2097152,\"keep_s\":300,\"part_mb\":200,\"ttl_min_ms\":1000}}}},\
                 \"terms\":{{\"contracts\":[\"base\"],\"fault_tolerance\":{{\"machines\":2,\"zones\":1,\"regions\":0}},\"bounds\":{{\"seed_lag_s\":3,\"addr_reuse_s\":2,\"contact_ms\":3000,\"ack_ms\":5000,\"catch_up_s\":6,\"drain_ms\":2500,\"grace_s\":6,\"loss_slack_ms\":200,\"config_apply_ms\":2500,\"rollback_slack_ms\":250,\"skew_max_ms\":5000,\"retry_budget_ratio\":0.2,\"budget_window_s\":10,\"budget_slack\":64,\"recovery_s\":15{}}}}}}}",
                deployment.memory_mb,
                zones.join(","),
                deployment.bounds
            );
            std::fs::write(&settings, text).map_err(fail)?;
            let mut node = Node {
                ip,
                settings,
                log,
                child: None,
            };
            node.spawn()
                .map_err(|e| format!("cannot start target/release/briarlug: {e}"))?;
            let id = format!("i-{:08x}", 0x6a00_0000 + i);
            let server = Server::start(
                node.app_addr(),
                node.control(),
                (&id, service, zone),
                slots,
                decide(i),
            );
            mesh.servers.push(server.map_err(fail)?);
            mesh.nodes.push(node);
        }
        let until = Instant::now() + Duration::from_secs(15);
        while !mesh.nodes.iter().all(Node::is_ready) {
            if Instant::now() > until {
                mesh.show_logs();
                return Err("the nodes did not become ready".to_owned());
            }
            thread::sleep(Duration::from_millis(100));
        }
        // Servers are known to all nodes after two reports.
        thread::sleep(Duration::from_secs(3));
        mesh.record
            .line(format!("{} nodes are ready", mesh.nodes.len()));
        Ok(mesh)
    }

    fn show_logs(&self) {
        for node in &self.nodes {
            let text = std::fs::read_to_string(&node.log).unwrap_or_default();
            eprintln!("{}: {}", node.ip, &text[..text.len().min(2_000)]);
        }
    }

    /// Counts lines of the nodes' logs that contain `part`.
    fn count_in_logs(&self, part: &str) -> usize {
        let count = |n: &Node| {
            let text = std::fs::read_to_string(&n.log).unwrap_or_default();
            text.lines().filter(|l| l.contains(part)).count()
        };
        self.nodes.iter().map(count).sum()
    }

    fn runs(&self) -> Vec<Run> {
        let mut runs = Vec::new();
        for server in &self.servers {
            runs.extend(server.runs.lock().unwrap().iter().cloned());
        }
        runs
    }
}

include!("cases2.rs");

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let (Some(case), Some(record)) = (args.get(1), args.get(2)) else {
        eprintln!("usage: mesh2 CASE RECORD");
        std::process::exit(2);
    };
    // The main thread ends before this in all cases.
    thread::spawn(|| {
        thread::sleep(Duration::from_secs(115));
        eprintln!("the case took too long");
        std::process::exit(2);
    });
    let has_trouble = std::env::var("TROUBLE").map_or(true, |v| v != "0");
    let status = match play(case, Path::new(record), has_trouble) {
        Ok(true) => 1,
        Ok(false) => 0,
        Err(why) => {
            eprintln!("the case could not run: {why}");
            2
        }
    };
    std::process::exit(status);
}
