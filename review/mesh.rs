//! Stand-ins for a small deployment: the platform's store, application servers, clients and the
//! platform that starts the nodes. Everything runs on loopback addresses; the nodes are separate
//! processes, started with the `run` line of the deploy file.

use std::collections::{BTreeMap, HashMap};
use std::fs::File;
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Time between two liveness reports, `heartbeat_ms` of the settings.
pub const HEARTBEAT: Duration = Duration::from_millis(1_500);
/// `drain_ms` of the bounds.
pub const DRAIN: Duration = Duration::from_millis(2_000);
/// `contact_ms` of the bounds.
pub const CONTACT: Duration = Duration::from_millis(3_000);

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

/// Writes lines with the time since the start to `record.txt`.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(dir: &str) -> Record {
        let file = File::create(PathBuf::from(dir).join("record.txt")).expect("record.txt");
        Record { start: Instant::now(), file: Arc::new(Mutex::new(file)) }
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let at = self.start.elapsed().as_secs_f64();
        let _ = writeln!(self.file.lock().unwrap(), "{at:8.3} {}", text.as_ref());
    }
}

/// A parsed HTTP/1.1 message: first line, headers with lower-case names, body.
pub struct Message {
    pub first: String,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", |v| v.as_str())
    }
}

/// Reads a message; `None` at a clean end of the connection.
pub fn read_message(r: &mut BufReader<TcpStream>) -> std::io::Result<Option<Message>> {
    let mut first = String::new();
    if r.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut headers = HashMap::new();
    loop {
        let mut line = String::new();
        if r.read_line(&mut line)? == 0 {
            return Err(ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
        }
    }
    let mut body = Vec::new();
    if let Some(len) = headers.get("content-length").and_then(|v| v.parse::<usize>().ok()) {
        body.resize(len, 0);
        r.read_exact(&mut body)?;
    } else if headers.get("transfer-encoding").is_some_and(|v| v == "chunked") {
        loop {
            let mut line = String::new();
            r.read_line(&mut line)?;
            let size = usize::from_str_radix(line.trim(), 16).map_err(|_| ErrorKind::InvalidData)?;
            let at = body.len();
            body.resize(at + size, 0);
            r.read_exact(&mut body[at..])?;
            let mut end = String::new();
            r.read_line(&mut end)?;
            if size == 0 {
                break;
            }
        }
    }
    Ok(Some(Message { first: first.trim_end().to_owned(), headers, body }))
}

/// Makes one call on a new connection and returns the response.
pub fn call(addr: SocketAddr, head: &str, body: &[u8], timeout: Duration) -> std::io::Result<Message> {
    let mut tcp = TcpStream::connect_timeout(&addr, Duration::from_secs(1))?;
    tcp.set_nodelay(true)?;
    tcp.set_read_timeout(Some(timeout))?;
    tcp.set_write_timeout(Some(timeout))?;
    tcp.write_all(head.as_bytes())?;
    tcp.write_all(body)?;
    read_message(&mut BufReader::new(tcp))?.ok_or_else(|| ErrorKind::UnexpectedEof.into())
}

/// Accepts connections without blocking until `stop` is set, and serves each in a thread.
fn accept_loop(
    listener: TcpListener,
    stop: Arc<AtomicBool>,
    serve: impl Fn(TcpStream) + Send + Sync + 'static,
) {
    listener.set_nonblocking(true).unwrap();
    let serve = Arc::new(serve);
    thread::spawn(move || {
        while !stop.load(Ordering::Relaxed) {
            match listener.accept() {
                Ok((tcp, _)) => {
                    let _ = tcp.set_nonblocking(false);
                    let _ = tcp.set_nodelay(true);
                    let serve = serve.clone();
                    thread::spawn(move || serve(tcp));
                }
                Err(_) => sleep_ms(2),
            }
        }
    });
}

// ---- the platform's store -------------------------------------------------------------------

#[derive(Default)]
struct Topics(Mutex<BTreeMap<String, Vec<Vec<u8>>>>, Condvar);

/// The platform's store: a log with topics of one partition.
#[derive(Clone)]
pub struct Store {
    topics: Arc<Topics>,
    pub addr: SocketAddr,
    /// While it is set, calls that arrive are neither executed nor answered, then or later.
    pub is_silent: Arc<AtomicBool>,
}

impl Store {
    pub fn start(addr: SocketAddr) -> Store {
        let listener = TcpListener::bind(addr).expect("store address");
        let store = Store { topics: Arc::default(), addr, is_silent: Arc::default() };
        let serving = store.clone();
        accept_loop(listener, Arc::default(), move |tcp| {
            let _ = serving.serve(tcp);
        });
        store
    }

    /// Appends a keyed record; returns when the store has accepted it.
    pub fn put(&self, topic: &str, key: &str, value: &[u8]) {
        let mut record = vec![key.len() as u8];
        record.extend_from_slice(key.as_bytes());
        record.extend_from_slice(value);
        self.topics.0.lock().unwrap().entry(topic.to_owned()).or_default().push(record);
        self.topics.1.notify_all();
    }

    fn serve(&self, tcp: TcpStream) -> std::io::Result<()> {
        let mut w = tcp.try_clone()?;
        let mut r = BufReader::new(tcp);
        while let Some(req) = read_message(&mut r)? {
            if self.is_silent.load(Ordering::Relaxed) {
                // The connection returns nothing further, until the caller closes it.
                while read_message(&mut r)?.is_some() {}
                return Ok(());
            }
            let target = req.first.split(' ').nth(1).unwrap_or_default();
            let (path, query) = target.split_once('?').unwrap_or((target, ""));
            let query: HashMap<_, _> = query.split('&').filter_map(|p| p.split_once('=')).collect();
            let topic = query.get("topic").copied().unwrap_or_default();
            let body = match path {
                "/v1/log-append" => self.append(topic, &req.body),
                "/v1/log-read" => self.read(topic, &query),
                _ => self.newest(topic),
            };
            let kind = if path == "/v1/log-read" { "application/octet-stream" } else { "application/json" };
            let head = format!("HTTP/1.1 200 OK\r\nContent-Type: {kind}\r\nContent-Length: {}\r\n\r\n", body.len());
            w.write_all(&[head.as_bytes(), &body].concat())?;
        }
        Ok(())
    }

    fn append(&self, topic: &str, mut raw: &[u8]) -> Vec<u8> {
        let mut topics = self.topics.0.lock().unwrap();
        let records = topics.entry(topic.to_owned()).or_default();
        let offset = records.len();
        while raw.len() >= 4 {
            let len = u32::from_be_bytes(raw[..4].try_into().unwrap()) as usize;
            records.push(raw[4..4 + len].to_vec());
            raw = &raw[4 + len..];
        }
        let end = records.len();
        drop(topics);
        self.topics.1.notify_all();
        format!("{{\"offset\":{offset},\"end\":{end}}}").into_bytes()
    }

    fn read(&self, topic: &str, query: &HashMap<&str, &str>) -> Vec<u8> {
        let number = |k: &str| query.get(k).and_then(|v| v.parse::<u64>().ok()).unwrap_or(0);
        let (from, until) = (number("from") as usize, Instant::now() + Duration::from_millis(number("wait_ms")));
        let mut topics = self.topics.0.lock().unwrap();
        loop {
            let end = topics.get(topic).map_or(0, Vec::len);
            let left = until.saturating_duration_since(Instant::now());
            if end > from || left.is_zero() {
                let mut out = (end as u64).to_be_bytes().to_vec();
                out.extend_from_slice(&0u64.to_be_bytes());
                for record in topics.get(topic).into_iter().flatten().skip(from) {
                    out.extend_from_slice(&(record.len() as u32).to_be_bytes());
                    out.extend_from_slice(record);
                }
                return out;
            }
            topics = self.topics.1.wait_timeout(topics, left).unwrap().0;
        }
    }

    fn newest(&self, topic: &str) -> Vec<u8> {
        let topics = self.topics.0.lock().unwrap();
        let mut newest = BTreeMap::new();
        let records = topics.get(topic).map_or(&[][..], |r| r);
        for (offset, record) in records.iter().enumerate() {
            let (key, value) = record[1..].split_at(record[0] as usize);
            newest.insert(String::from_utf8_lossy(key).into_owned(), (value, offset));
        }
        let items: Vec<_> = newest
            .iter()
            .map(|(key, (value, offset))| format!("{{\"key\":\"{key}\",\"value\":\"{}\",\"offset\":{offset}}}", base64(value)))
            .collect();
        format!("{{\"items\":[{}],\"has_more\":false,\"end\":{}}}", items.join(","), records.len()).into_bytes()
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let n = chunk.iter().fold(0u32, |n, b| n << 8 | u32::from(*b)) << (8 * (3 - chunk.len()));
        for i in 0..4 {
            let digit = DIGITS[(n >> (18 - 6 * i) & 63) as usize] as char;
            out.push(if i <= chunk.len() { digit } else { '=' });
        }
    }
    out
}

// ---- servers --------------------------------------------------------------------------------

/// A request that a server began to run.
#[derive(Clone, Debug)]
pub struct Run {
    pub at: Instant,
    pub request_id: String,
    pub line: String,
    pub instance: String,
    pub born: u64,
}

/// What a server does with a request that it runs.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Action {
    Answer,
    /// The process of the server crashes.
    Crash,
}

/// One boot of an application server.
pub struct Server {
    pub id: String,
    pub born: u64,
    pub service: String,
    pub zone: String,
    pub addr: SocketAddr,
    pub slots: usize,
    pub work: Duration,
    pub decide: fn(&Message) -> Action,
    pub runs: Arc<Mutex<Vec<Run>>>,
    pub record: Record,
    pub sequence: AtomicU64,
    pub running: AtomicUsize,
    pub is_draining: AtomicBool,
    pub is_dead: Arc<AtomicBool>,
    conns: Mutex<Vec<TcpStream>>,
}

impl Server {
    #[allow(clippy::too_many_arguments)]
    pub fn start(
        id: &str,
        service: &str,
        zone: &str,
        addr: SocketAddr,
        work: Duration,
        decide: fn(&Message) -> Action,
        runs: Arc<Mutex<Vec<Run>>>,
        record: &Record,
    ) -> Arc<Server> {
        let listener = loop {
            match TcpListener::bind(addr) {
                Ok(l) => break l,
                Err(_) => sleep_ms(50),
            }
        };
        let server = Arc::new(Server {
            id: id.to_owned(),
            born: unix_ms(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            addr,
            slots: 6,
            work,
            decide,
            runs,
            record: record.clone(),
            sequence: AtomicU64::new(0),
            running: AtomicUsize::new(0),
            is_draining: AtomicBool::new(false),
            is_dead: Arc::default(),
            conns: Mutex::default(),
        });
        record.line(format!("server {id} of {service} starts at {addr}, born {}", server.born));
        let serving = server.clone();
        accept_loop(listener, server.is_dead.clone(), move |tcp| {
            if let Ok(copy) = tcp.try_clone() {
                serving.conns.lock().unwrap().push(copy);
            }
            let _ = serving.serve(tcp);
        });
        server
    }

    /// Ends the process of the server: its listener and all its connections close.
    pub fn end(&self) {
        self.is_dead.store(true, Ordering::Relaxed);
        sleep_ms(5);
        for tcp in self.conns.lock().unwrap().drain(..) {
            let _ = tcp.shutdown(Shutdown::Both);
        }
    }

    fn serve(&self, tcp: TcpStream) -> std::io::Result<()> {
        let mut w = tcp.try_clone()?;
        let mut r = BufReader::new(tcp);
        while let Some(req) = read_message(&mut r)? {
            if self.is_dead.load(Ordering::Relaxed) {
                return Ok(());
            }
            let response = self.respond(&req);
            if self.is_dead.load(Ordering::Relaxed) {
                let _ = w.shutdown(Shutdown::Both);
                return Ok(());
            }
            w.write_all(response.as_bytes())?;
        }
        Ok(())
    }

    fn load(&self) -> String {
        format!("{},0,{},100", self.running.load(Ordering::Relaxed), self.slots)
    }

    fn respond(&self, req: &Message) -> String {
        let path = req.first.split(' ').nth(1).unwrap_or_default();
        if path == "/healthz" {
            let status = if self.is_draining.load(Ordering::Relaxed) { "503 Service Unavailable" } else { "200 OK" };
            return format!("HTTP/1.1 {status}\r\nInstance-Id: {}\r\nServer-Load: {}\r\nContent-Length: 0\r\n\r\n", self.id, self.load());
        }
        let id = req.header("request-id");
        let expected = req.header("target-instance");
        if !expected.is_empty() && expected != self.id {
            self.record.line(format!("server {} answers 421 to {id}, which names {expected}", self.id));
            return format!(
                "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: {id}\r\nInstance-Id: {}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n",
                self.id
            );
        }
        if self.running.fetch_add(1, Ordering::Relaxed) >= self.slots {
            self.running.fetch_sub(1, Ordering::Relaxed);
            return format!("HTTP/1.1 503 Service Unavailable\r\nRequest-Id: {id}\r\nNot-Executed: 1\r\nServer-Load: {}\r\nContent-Length: 0\r\n\r\n", self.load());
        }
        self.record.line(format!("server {} runs {id} ({}, body {} bytes, Deadline-Ms {})", self.id, req.first, req.body.len(), req.header("deadline-ms")));
        self.runs.lock().unwrap().push(Run {
            at: Instant::now(),
            request_id: id.to_owned(),
            line: req.first.clone(),
            instance: self.id.clone(),
            born: self.born,
        });
        if (self.decide)(req) == Action::Crash {
            self.record.line(format!("server {} (born {}) crashes while it runs {id}", self.id, self.born));
            self.end();
            return String::new();
        }
        thread::sleep(self.work);
        self.running.fetch_sub(1, Ordering::Relaxed);
        let body = format!("done {id}");
        format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: s.{id}\r\nServer-Load: {}\r\nKeep-Alive: timeout=10\r\nContent-Length: {}\r\n\r\n{body}",
            self.load(),
            body.len()
        )
    }

    /// Returns the body of the next liveness report.
    pub fn next_report(&self) -> String {
        let state = if self.is_draining.load(Ordering::Relaxed) { "draining" } else { "ready" };
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed) + 1;
        format!(
            "{{\"address\":\"{}\",\"born\":{},\"info\":{{\"service\":\"{}\",\"version\":\"v1\",\"zone\":\"{}\",\"slots\":{}}},\"status\":{{\"state\":\"{state}\",\"sequence\":{sequence},\"cold_left_ms\":0}}}}",
            self.addr, self.born, self.service, self.zone, self.slots
        )
    }

    /// Sends a liveness report; returns whether it was acknowledged within a second.
    pub fn send_report(&self, control: SocketAddr, report: &str) -> bool {
        let is_acked = put_report(control, &self.id, report);
        self.record.line(format!("report of {} {}: {report}", self.id, if is_acked { "acknowledged" } else { "not acknowledged" }));
        is_acked
    }

    /// Sends liveness reports until the server ends.
    pub fn beat(self: &Arc<Server>, control: SocketAddr) {
        let server = self.clone();
        thread::spawn(move || {
            while !server.is_dead.load(Ordering::Relaxed) {
                let report = server.next_report();
                server.send_report(control, &report);
                thread::sleep(HEARTBEAT);
            }
        });
    }
}

/// Sends the liveness report of the server `id`; returns whether it was acknowledged.
pub fn put_report(control: SocketAddr, id: &str, report: &str) -> bool {
    let head = format!("PUT /v1/instances/{id} HTTP/1.1\r\nHost: {control}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n", report.len());
    call(control, &head, report.as_bytes(), Duration::from_secs(1)).is_ok_and(|r| r.status() / 100 == 2)
}

// ---- nodes ----------------------------------------------------------------------------------

/// Longest time that a case may take; after it, all started processes are killed.
const MAX_CASE: Duration = Duration::from_secs(110);

/// Processes that were started and have not ended.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Kills all started processes and gives up when the case takes too long.
fn watch_time() {
    thread::spawn(|| {
        thread::sleep(MAX_CASE);
        for pid in STARTED.lock().unwrap().iter() {
            let _ = Command::new("kill").args(["-KILL", &pid.to_string()]).status();
        }
        std::process::exit(2);
    });
}

/// Ports, the same on all machines.
#[derive(Clone, Copy)]
pub struct Ports {
    pub base: u16,
}

/// A machine with a node and the address of its server.
pub struct Machine {
    pub name: String,
    pub ip: String,
    pub zone: String,
    pub service: String,
    ports: Ports,
    settings: PathBuf,
    log: PathBuf,
    child: Mutex<Option<Child>>,
    pub memory_mb: u64,
}

impl Machine {
    fn addr(&self, offset: u16) -> SocketAddr {
        format!("{}:{}", self.ip, self.ports.base + offset).parse().unwrap()
    }

    pub fn app(&self) -> SocketAddr {
        self.addr(1)
    }

    pub fn ready(&self) -> SocketAddr {
        self.addr(2)
    }

    pub fn outbound(&self) -> SocketAddr {
        self.addr(4)
    }

    pub fn control(&self) -> SocketAddr {
        self.addr(6)
    }

    /// Starts the node's process with the `run` line of the deploy file.
    pub fn start(&self, record: &Record) {
        let log = File::options().create(true).append(true).open(&self.log).unwrap();
        let child = Command::new("target/release/briarlug")
            .arg("platform")
            .env_clear()
            .env("PATH", std::env::var("PATH").unwrap_or_default())
            .env("BRIARLUG_BOOT", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .expect("target/release/briarlug; build it first");
        record.line(format!("node {} starts, pid {}", self.name, child.id()));
        STARTED.lock().unwrap().push(child.id());
        *self.child.lock().unwrap() = Some(child);
    }

    pub fn pid(&self) -> Option<u32> {
        self.child.lock().unwrap().as_ref().map(Child::id)
    }

    /// Kills the node's process and waits for its end.
    pub fn kill(&self, record: &Record) {
        if let Some(mut child) = self.child.lock().unwrap().take() {
            record.line(format!("node {} (pid {}) is killed", self.name, child.id()));
            let _ = child.kill();
            let _ = child.wait();
            STARTED.lock().unwrap().retain(|pid| *pid != child.id());
        }
    }

    /// Returns the resident memory of the node's process in bytes.
    pub fn resident_bytes(&self) -> u64 {
        let Some(pid) = self.pid() else { return 0 };
        let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
        let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
        line.and_then(|l| l.trim().trim_end_matches(" kB").trim().parse::<u64>().ok()).unwrap_or(0) << 10
    }

    pub fn is_ready(&self) -> bool {
        let head = "GET /v1/ready HTTP/1.1\r\nHost: platform\r\nConnection: close\r\n\r\n";
        call(self.ready(), head, b"", Duration::from_secs(1)).is_ok_and(|r| r.status() == 200)
    }
}

/// A whole deployment. Dropping it ends all processes that it has started.
pub struct Mesh {
    pub record: Record,
    pub dir: PathBuf,
    pub store: Store,
    pub machines: Vec<Arc<Machine>>,
    net: String,
    ports: Ports,
}

impl Drop for Mesh {
    fn drop(&mut self) {
        for machine in &self.machines {
            machine.kill(&self.record);
        }
        if std::env::var("KEEP").is_err() {
            let _ = std::fs::remove_dir_all(&self.dir);
        }
    }
}

impl Mesh {
    /// Makes a deployment with a store and no machine, on a loopback network of its own.
    pub fn new(case_dir: &str) -> Mesh {
        watch_time();
        let record = Record::create(case_dir);
        let pid = std::process::id();
        let net = format!("127.{}.{}", 16 + pid / 250 % 200, pid % 250 + 1);
        let dir = std::env::temp_dir().join(format!("briarlug-review-{pid}"));
        std::fs::create_dir_all(&dir).unwrap();
        let base = free_ports(&net);
        let store = Store::start(format!("{net}.1:{base}").parse().unwrap());
        Mesh { record, dir, store, machines: Vec::new(), net, ports: Ports { base } }
    }

    /// Adds a machine of `service` in `zone` with its settings file.
    pub fn add_machine(&mut self, zone: &str, service: &str, memory_mb: u64) -> Arc<Machine> {
        let n = self.machines.len() + 10;
        let name = format!("sidecar-{zone}-{service}-{n}");
        let machine = Arc::new(Machine {
            ip: format!("{}.{n}", self.net),
            zone: zone.to_owned(),
            service: service.to_owned(),
            ports: self.ports,
            settings: self.dir.join(format!("{name}.json")),
            log: self.dir.join(format!("{name}.log")),
            child: Mutex::default(),
            memory_mb,
            name,
        });
        self.write_settings(&machine, self.store.addr);
        self.machines.push(machine.clone());
        machine
    }

    /// Writes a machine's settings file; `store` is the address at which it finds the store.
    pub fn write_settings(&self, m: &Machine, store: SocketAddr) {
        let p = m.ports.base;
        let text = format!(
            r#"{{"self_node":{{"node":"{name}","role":"node","machine_class":"sidecar","serves":["sidecar"],"ip":"{ip}","zone":"{zone}","region":"pk-north","fault_counted":false,"bootstrap":true,"data_dir":null,"limits":{{"cpu_share":0.2,"cores":1,"memory_mb":{mem},"max_fds":4100,"link_mbps":1000.0,"disk_mb":0}},"app_addr":"{app}","service":"{service}"}},
"network":{{"listen":{{"inbound":"{ip}:{inbound}","outbound":"{out}","ready_addr":"{ready}","control":"{control}"}},"port_range":[{first},{last}],"seed_nodes":[],"zones":{{"pk-north-a":"pk-north","pk-north-b":"pk-north","pk-north-c":"pk-north"}}}},
"platform":{{"discovery":"static","entry":"static","heartbeat_ms":1500,"platform":{{"address":"{store}","form":"log","writes_per_s":400,"reads_per_s":2000,"parts":8,"append_ms":4.0,"ingress_per_s":20.0,"egress_per_s":80.0,"record_bytes":262144,"call_bytes":2097152,"keep_s":300,"part_mb":200,"ttl_min_ms":1000}}}},
"terms":{{"contracts":["base","drain","config","cost","retry","recover","platform"],"fault_tolerance":{{"machines":2,"zones":1,"regions":0}},"bounds":{{"seed_lag_s":3,"addr_reuse_s":2,"contact_ms":3000,"ack_ms":4000,"catch_up_s":4,"drain_ms":2000,"grace_s":6,"loss_slack_ms":200,"config_apply_ms":2000,"rollback_slack_ms":250,"skew_max_ms":5000,"retry_budget_ratio":0.2,"budget_window_s":10,"budget_slack":64,"recovery_s":15}}}}}}"#,
            name = m.name,
            ip = m.ip,
            zone = m.zone,
            mem = m.memory_mb,
            app = m.app(),
            service = m.service,
            inbound = p,
            out = m.outbound(),
            ready = m.ready(),
            control = m.control(),
            first = p + 8,
            last = p + 15,
        );
        std::fs::write(&m.settings, text).unwrap();
    }

    /// Publishes a configuration: routes as (host, prefix, kind, timeout in ms, objective in ms,
    /// service). Each service has the health path `/healthz`.
    pub fn publish(&self, version: u64, routes: &[(&str, &str, &str, u32, u32, &str)]) {
        let mut services: Vec<_> = routes.iter().map(|r| r.5).collect();
        services.sort_unstable();
        services.dedup();
        let rows: Vec<_> = routes
            .iter()
            .enumerate()
            .map(|(i, (host, prefix, kind, timeout, aim, service))| {
                format!("[\"r-{i}\",\"{host}\",\"{prefix}\",\"{kind}\",{timeout},{aim},1,null,2,\"{service}\"]")
            })
            .collect();
        let services: Vec<_> = services.iter().map(|s| format!("[\"{s}\",\"/healthz\",130,\"h1\",false]")).collect();
        let text = format!(
            r#"{{"version":{version},"routes":{{"columns":["name","host","path_prefix","kind","timeout_ms","target_latency_ms","priority","weighted_clusters","max_attempts","service"],"rows":[{}]}},"services":{{"columns":["name","health_path","max_connections","protocol","tls"],"rows":[{}]}},"limits":{{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_ms":3000,"idle_timeout_ms":15000}}}}"#,
            rows.join(","),
            services.join(",")
        );
        self.store.put("keyed.op", "config", text.as_bytes());
        self.record.line(format!("configuration {version} is confirmed by the store"));
    }

    /// Waits until all nodes are ready.
    pub fn wait_ready(&self, timeout: Duration) -> bool {
        let end = Instant::now() + timeout;
        while !self.machines.iter().all(|m| m.is_ready()) {
            if Instant::now() > end {
                return false;
            }
            sleep_ms(50);
        }
        self.record.line("all nodes are ready");
        true
    }
}

/// Finds 16 ports that are free on all of the network's first addresses.
fn free_ports(net: &str) -> u16 {
    let seed = unix_ms() as u16 ^ std::process::id() as u16;
    for i in 0..500u16 {
        let base = 20_000 + (seed.wrapping_add(i.wrapping_mul(61)) % 600) * 20;
        let is_free = (1..2).chain(10..20).all(|host| {
            (base..base + 16).all(|port| TcpListener::bind(format!("{net}.{host}:{port}")).is_ok())
        });
        if is_free {
            return base;
        }
    }
    panic!("no free ports");
}

// ---- clients --------------------------------------------------------------------------------

static REQUESTS: AtomicU64 = AtomicU64::new(1);

/// Returns a fresh id for one client attempt.
pub fn request_id() -> String {
    format!("{:08x}{:08x}", std::process::id(), REQUESTS.fetch_add(1, Ordering::Relaxed))
}

/// Sends one request to a node on a new connection and records its answer. Returns the id and the
/// status, 0 for none.
pub fn request(
    record: &Record,
    node: SocketAddr,
    method: &str,
    host: &str,
    path: &str,
    body: &[u8],
    deadline_ms: u64,
) -> (String, u16, Option<Message>) {
    let id = request_id();
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {host}\r\nRequest-Id: {id}\r\nDeadline-Ms: {deadline_ms}\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    record.line(format!("client sends {id} {method} {host}{path} to {node}, body {} bytes", body.len()));
    let answer = call(node, &head, body, Duration::from_millis(deadline_ms)).ok();
    let status = answer.as_ref().map_or(0, Message::status);
    record.line(format!("client gets {status} for {id}"));
    (id, status, answer)
}
