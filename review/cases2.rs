// Cases of the second review, included by `mesh2.rs`.

/// Plays a case. Returns whether the rule was broken.
fn play(case: &str, record: &Path, has_trouble: bool) -> Result<bool, String> {
    match case {
        "memory" => memory(record, has_trouble),
        "eviction" => eviction(record, has_trouble),
        "new-route" => new_route(record, has_trouble),
        "early-refusal" => early_refusal(record, has_trouble),
        "retries" => retries(record, has_trouble),
        _ => Err(format!("no case {case}")),
    }
}

/// Members of a route's row, in the order of `ROUTE_COLUMNS`.
fn route(
    name: &str,
    prefix: &str,
    kind: &str,
    timeout_ms: u32,
    objective_ms: u32,
    service: &str,
) -> String {
    format!(
        "[\"{name}\",\"records.example\",\"{prefix}\",\"{kind}\",{timeout_ms},{objective_ms},1,null,2,\"{service}\",false]"
    )
}

fn config(version: u32, routes: &[String], services: &[&str], more: &str) -> String {
    let services: Vec<_> = services
        .iter()
        .map(|s| format!("[\"{s}\",\"/healthz\",580,\"h1\",false]"))
        .collect();
    format!(
        "{{\"version\":{version},\"routes\":{{\"columns\":[\"name\",\"host\",\"path_prefix\",\"kind\",\"timeout_ms\",\"target_latency_ms\",\"priority\",\"weighted_clusters\",\"max_attempts\",\"service\",\"public\"],\"rows\":[{}]}},\"services\":{{\"columns\":[\"name\",\"health_path\",\"max_connections\",\"protocol\",\"tls\"],\"rows\":[{}]}},\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}{more}}}",
        routes.join(","),
        services.join(",")
    )
}

/// Deployment of one node whose server gives large answers.
fn one_machine() -> Deployment {
    Deployment {
        memory_mb: 260,
        link_mbps: vec![1_000],
        zones: vec!["z-a"],
        services: vec!["archive"],
        bounds: String::new(),
    }
}

/// Configuration with the one route of `one_machine`.
fn archive_config() -> String {
    let pull = route("r-pull", "/pull/", "safe", 2_500, 1_200, "archive");
    config(1, &[pull], &["archive"], "")
}

/// Deadline of the requests to `one_machine`.
const PULL_DEADLINE: Duration = Duration::from_secs(5);

/// Starts clients that keep a connection, pull one answer at the same time, and read it at an even
/// pace of `rate` bytes a second.
fn pull_at_once(addr: SocketAddr, clients: usize, rate: usize) -> Vec<thread::JoinHandle<Attempt>> {
    let start = Arc::new(std::sync::Barrier::new(clients));
    let pull = move |start: Arc<std::sync::Barrier>| {
        let mut client = Client::new(addr);
        client.send("records.example", "/pull/small", PULL_DEADLINE, "");
        start.wait();
        client.read_rate = rate;
        client.send("records.example", "/pull/large", PULL_DEADLINE, "")
    };
    let start_one = |_| {
        let start = start.clone();
        thread::spawn(move || pull(start))
    };
    (0..clients).map(start_one).collect()
}

/// Records the attempts, and returns how many ran and ended with their connection before the answer
/// was complete and the deadline had come.
fn count_cut(mesh: &Mesh, attempts: &[Attempt]) -> usize {
    let ran: HashSet<_> = mesh.runs().into_iter().map(|r| r.id).collect();
    let mut cut = 0;
    for a in attempts {
        let has_run = ran.contains(&a.id);
        cut += usize::from(has_run && a.status == 0 && a.took < PULL_DEADLINE);
        mesh.record.line(format!(
            "request {} sent at {:.3}: run {has_run}, {}, {} of {} bytes after {:.3} s",
            a.id,
            mesh.record.at(a.sent_at),
            if a.status == 0 {
                "connection closed".to_owned()
            } else {
                format!("status {}", a.status)
            },
            a.body.0,
            a.body.1,
            a.took.as_secs_f64()
        ));
    }
    cut
}

/// Server that answers with `bytes`, or with few on the path of the first request.
fn large_answers(bytes: usize) -> Decide {
    Arc::new(move |req| {
        Answer::new(
            20,
            if req.first[1] == "/pull/small" {
                100
            } else {
                bytes
            },
        )
    })
}

/// Many clients at once read large answers. The platform ends a process that exceeds its memory.
fn memory(record: &Path, has_trouble: bool) -> Result<bool, String> {
    const BODY: usize = 4_800_000;
    const RATE: usize = 1_100_000;
    let clients = if has_trouble { 87 } else { 10 };
    let deployment = one_machine();
    let answer = large_answers(BODY);
    let mut mesh = Mesh::start(record, &deployment, &archive_config(), 18, |_| {
        answer.clone()
    })?;
    let line = format!(
        "{clients} clients send one request each at once, and read {RATE} bytes a second of answers of {BODY}"
    );
    mesh.record.line(line);
    let threads = pull_at_once(mesh.nodes[0].outbound(), clients, RATE);
    let (mut most, mut kills) = (0, 0);
    while !threads.iter().all(|t| t.is_finished()) {
        thread::sleep(Duration::from_millis(20));
        let mb = mesh.nodes[0].resident_mb();
        most = most.max(mb);
        if mb <= deployment.memory_mb as u64 {
            continue;
        }
        kills += 1;
        mesh.record.line(format!(
            "the node has {mb} MB of {}: the platform ends it",
            deployment.memory_mb
        ));
        mesh.nodes[0].signal(SIGKILL);
        if let Some(mut child) = mesh.nodes[0].child.take() {
            let _ = child.wait();
        }
        thread::sleep(Duration::from_millis(500));
        mesh.nodes[0].spawn().map_err(|e| e.to_string())?;
    }
    let attempts: Vec<Attempt> = threads.into_iter().flat_map(|t| t.join()).collect();
    let cut = count_cut(&mesh, &attempts);
    let whole = attempts.iter().filter(|a| a.is_whole()).count();
    mesh.record.line(format!(
        "most memory of the node {most} MB of {}, ended for it {kills} times; whole answers {whole}, connections closed before the end of the answer {cut}, the rule allows three",
        deployment.memory_mb
    ));
    Ok(kills > 0 && cut > 3)
}

/// Some clients at once read large answers; the node stays within its memory.
fn eviction(record: &Path, has_trouble: bool) -> Result<bool, String> {
    const BODY: usize = 8 << 20;
    const RATE: usize = 2 << 20;
    let clients = if has_trouble { 22 } else { 4 };
    let deployment = one_machine();
    let answer = large_answers(BODY);
    let mesh = Mesh::start(record, &deployment, &archive_config(), 18, |_| {
        answer.clone()
    })?;
    let line = format!(
        "{clients} clients send one request each at once, and read {RATE} bytes a second of answers of {BODY}"
    );
    mesh.record.line(line);
    let threads = pull_at_once(mesh.nodes[0].outbound(), clients, RATE);
    let attempts: Vec<Attempt> = threads.into_iter().flat_map(|t| t.join()).collect();
    let cut = count_cut(&mesh, &attempts);
    let whole = attempts.iter().filter(|a| a.is_whole()).count();
    mesh.record.line(format!(
        "whole answers {whole}, connections closed before the end of the answer {cut}, the rule allows three; most memory of the node {} MB of {}; it logged caller_evicted {} times (one line a second at most)",
        mesh.nodes[0].peak_mb(),
        deployment.memory_mb,
        mesh.count_in_logs("caller_evicted")
    ));
    Ok(cut > 3)
}

/// The operator adds a route of short requests to a service that has run long ones.
fn new_route(record: &Path, has_trouble: bool) -> Result<bool, String> {
    let deployment = Deployment {
        memory_mb: 260,
        link_mbps: vec![1_000],
        zones: vec!["z-a", "z-b", "z-c"],
        services: vec!["desk", "vault", "vault", "vault"],
        bounds: String::new(),
    };
    let services = ["desk", "vault"];
    let long = route("r-history", "/history/", "safe", 2_500, 1_200, "vault");
    let short = route("r-verify", "/verify/", "safe", 400, 120, "vault");
    // Without the disruption the route is there from the start.
    let first = if has_trouble {
        vec![long.clone()]
    } else {
        vec![long.clone(), short.clone()]
    };
    let answer: Decide = Arc::new(|req| {
        let is_short = req.first[1].starts_with("/verify/");
        Answer::new(if is_short { 30 } else { 410 }, 500)
    });
    let mesh = Mesh::start(
        record,
        &deployment,
        &config(1, &first, &services, ""),
        18,
        |_| answer.clone(),
    )?;
    let stop = Arc::new(AtomicBool::new(false));
    let history: Arc<Mutex<Vec<Attempt>>> = Arc::default();
    let mut threads = Vec::new();
    for node in &mesh.nodes {
        for _ in 0..6 {
            let (addr, stop, history) = (node.outbound(), stop.clone(), history.clone());
            threads.push(thread::spawn(move || {
                let mut client = Client::new(addr);
                while !stop.load(Ordering::Relaxed) {
                    let a =
                        client.send("records.example", "/history/1", Duration::from_secs(5), "");
                    history.lock().unwrap().push(a);
                }
            }));
        }
    }
    // Before the new route, its requests are not sent; otherwise a few are.
    let send_short = |count: usize, gap: Duration| -> Vec<Attempt> {
        let mut clients: Vec<_> = mesh
            .nodes
            .iter()
            .map(|n| Client::new(n.outbound()))
            .collect();
        let n = clients.len();
        (0..count)
            .map(|i| {
                thread::sleep(gap);
                clients[i % n].send(
                    "records.example",
                    "/verify/1",
                    Duration::from_millis(400),
                    "",
                )
            })
            .collect()
    };
    if !has_trouble {
        send_short(40, Duration::from_millis(100));
    }
    thread::sleep(Duration::from_secs(12));
    if has_trouble {
        mesh.store
            .put("config", &config(2, &[long, short], &services, ""));
        mesh.record
            .line("the store has confirmed version 2, which adds the route /verify/");
    }
    thread::sleep(Duration::from_secs(4));
    let from = Instant::now();
    let verify = send_short(400, Duration::from_millis(60));
    let until = Instant::now();
    stop.store(true, Ordering::Relaxed);
    for t in threads {
        let _ = t.join();
    }
    let share = |all: &[Attempt]| {
        all.iter().filter(|a| a.is_whole()).count() as f64 / all.len().max(1) as f64
    };
    let history: Vec<_> = history
        .lock()
        .unwrap()
        .iter()
        .filter(|a| a.sent_at >= from && a.sent_at < until)
        .cloned()
        .collect();
    for (i, a) in verify.iter().enumerate().filter(|(i, _)| i % 20 == 0) {
        mesh.record.line(format!(
            "request {} ({} on /verify/) sent at {:.3}: status {} after {:.3} s",
            a.id,
            i + 1,
            mesh.record.at(a.sent_at),
            a.status,
            a.took.as_secs_f64()
        ));
    }
    let short_runs = mesh
        .runs()
        .iter()
        .filter(|r| r.path.starts_with("/verify/"))
        .count();
    mesh.record.line(format!(
        "from 4 s after the confirmation: /verify/ {} requests, share served {:.3}; /history/ {} requests, share served {:.3}; servers ran {short_runs} requests of /verify/ in all",
        verify.len(), share(&verify), history.len(), share(&history)
    ));
    Ok(share(&verify) < 0.25 * share(&history))
}

/// A server refuses uploads before it has read them, keeps the connection and reads on later, while
/// clients of other requests leave early.
fn early_refusal(record: &Path, has_trouble: bool) -> Result<bool, String> {
    const PATIENCE: Duration = Duration::from_millis(250);
    const PAUSE: Duration = Duration::from_secs(1);
    /// The rule says "more than a few".
    const FEW: usize = 20;
    let deployment = Deployment {
        memory_mb: 260,
        link_mbps: vec![1_000],
        zones: vec!["z-a"],
        services: vec!["evidence"],
        bounds: String::new(),
    };
    let routes = [
        route("r-upload", "/upload/", "upload", 2_000, 500, "evidence"),
        route("r-look", "/look/", "safe", 2_000, 500, "evidence"),
    ];
    // With the disruption, two fifths of the uploads are refused before their bodies are read.
    let count = Arc::new(AtomicUsize::new(0));
    let answer: Decide = Arc::new(move |req| {
        let mut answer = Answer::new(20, 300);
        if req.first[1].starts_with("/upload/") {
            let is_early = count.fetch_add(1, Ordering::Relaxed) % 5 < 2;
            answer.refuse_early = (has_trouble && is_early).then_some(PAUSE);
        }
        answer
    });
    let mesh = Mesh::start(
        record,
        &deployment,
        &config(1, &routes, &["evidence"], ""),
        18,
        |_| answer.clone(),
    )?;
    let addr = mesh.nodes[0].outbound();
    let stop = Arc::new(AtomicBool::new(false));
    let attempts: Arc<Mutex<Vec<Attempt>>> = Arc::default();
    let mut threads = Vec::new();
    for k in 0..20 {
        let is_upload = k < 8;
        let (stop, attempts) = (stop.clone(), attempts.clone());
        threads.push(thread::spawn(move || {
            let mut client = Client::new(addr);
            if is_upload {
                client.body = vec![b'u'; 120_000];
            } else {
                client.patience = PATIENCE;
            }
            let path = if is_upload { "/upload/1" } else { "/look/1" };
            while !stop.load(Ordering::Relaxed) {
                let a = client.send("records.example", path, Duration::from_secs(2), "");
                if !is_upload {
                    attempts.lock().unwrap().push(a);
                }
                thread::sleep(Duration::from_millis(200));
            }
        }));
    }
    thread::sleep(Duration::from_secs(25));
    stop.store(true, Ordering::Relaxed);
    for t in threads {
        let _ = t.join();
    }
    thread::sleep(PAUSE + Duration::from_millis(500));
    let runs: HashMap<String, Instant> = mesh.runs().into_iter().map(|r| (r.id, r.at)).collect();
    let attempts = attempts.lock().unwrap().clone();
    let mut late = 0;
    let left: Vec<_> = attempts.iter().filter(|a| a.status == 0).collect();
    for a in &left {
        let left_at = a.sent_at + a.took;
        let Some(at) = runs.get(&a.id) else { continue };
        let after = at.saturating_duration_since(left_at);
        if after > Duration::from_millis(500) {
            late += 1;
            if late <= 20 {
                mesh.record.line(format!(
                    "request {} sent at {:.3}: its client left at {:.3}, the server began to run it at {:.3}",
                    a.id, mesh.record.at(a.sent_at), mesh.record.at(left_at), mesh.record.at(*at)
                ));
            }
        }
    }
    mesh.record.line(format!(
        "{} requests of clients that leave after {} ms, {} left; {late} reached the server more than 0.5 s after that; counted as a few: {FEW}",
        attempts.len(), PATIENCE.as_millis(), left.len()
    ));
    Ok(late > FEW)
}

/// The nodes are stopped and started in turn while the servers of a service refuse a part of their
/// requests.
fn retries(record: &Path, has_trouble: bool) -> Result<bool, String> {
    const RATIO: f64 = 0.2;
    const SLACK: f64 = 60.0;
    const WINDOW: Duration = Duration::from_secs(10);
    /// Part of the requests that the servers refuse, in percent, and for how long.
    const SHED_PERCENT: usize = 55;
    const SHED_FOR: Duration = Duration::from_millis(8_500);
    const THREADS: usize = 20;
    let gap = Duration::from_millis(100);
    let deployment = Deployment {
        memory_mb: 260,
        link_mbps: vec![1_000],
        zones: vec!["z-a", "z-b", "z-c"],
        services: vec!["desk"; 3],
        bounds: String::new(),
    };
    // Each of the three servers may be tried.
    let look = route("r-look", "/look/", "safe", 800, 400, "desk").replace(",null,2,", ",null,3,");
    let sheds = Arc::new(AtomicBool::new(false));
    let count = Arc::new(AtomicUsize::new(0));
    let is_shedding = sheds.clone();
    let answer: Decide = Arc::new(move |_| {
        let mut answer = Answer::new(10, 300);
        // Spreads the refused ones over each hundred requests.
        let n = count.fetch_add(1, Ordering::Relaxed) * 37 % 100;
        answer.shed = is_shedding.load(Ordering::Relaxed) && n < SHED_PERCENT;
        answer
    });
    let mut mesh = Mesh::start(
        record,
        &deployment,
        &config(1, &[look], &["desk"], ""),
        18,
        |_| answer.clone(),
    )?;
    let stop = Arc::new(AtomicBool::new(false));
    let sent: Arc<Mutex<Vec<(Instant, String)>>> = Arc::default();
    let mut threads = Vec::new();
    for node in &mesh.nodes {
        for k in 0..THREADS {
            let (addr, stop, sent) = (node.outbound(), stop.clone(), sent.clone());
            threads.push(thread::spawn(move || {
                thread::sleep(gap.mul_f64(k as f64 / THREADS as f64));
                let mut client = Client::new(addr);
                let mut next = Instant::now();
                while !stop.load(Ordering::Relaxed) {
                    next = next.max(Instant::now() - gap) + gap;
                    thread::sleep(next.saturating_duration_since(Instant::now()));
                    let deadline = Duration::from_millis(1_500);
                    let a = client.send("records.example", "/look/1", deadline, "");
                    sent.lock().unwrap().push((a.sent_at, a.id));
                }
            }));
        }
    }
    thread::sleep(Duration::from_secs(3));
    sheds.store(true, Ordering::Relaxed);
    let shed_until = Instant::now() + SHED_FOR;
    mesh.record.line(format!(
        "the servers refuse {SHED_PERCENT} in 100 requests for {SHED_FOR:?}"
    ));
    if has_trouble {
        roll(&mut mesh)?;
    }
    thread::sleep(shed_until.saturating_duration_since(Instant::now()));
    sheds.store(false, Ordering::Relaxed);
    mesh.record.line("the servers refuse no more");
    thread::sleep(Duration::from_secs(4));
    stop.store(true, Ordering::Relaxed);
    for t in threads {
        let _ = t.join();
    }
    let mut sent: Vec<Instant> = sent.lock().unwrap().iter().map(|(at, _)| *at).collect();
    sent.sort();
    let mut arrivals: Vec<(Instant, String)> = Vec::new();
    for server in &mesh.servers {
        arrivals.extend(server.arrivals.lock().unwrap().iter().cloned());
    }
    arrivals.sort();
    let mut seen = HashSet::new();
    let is_again = |(_, id): &&(Instant, String)| !seen.insert(id.clone());
    let again: Vec<Instant> = arrivals
        .iter()
        .filter(is_again)
        .map(|(at, _)| *at)
        .collect();
    let within = |all: &[Instant], from: Instant| {
        all.iter()
            .filter(|at| **at >= from && **at < from + WINDOW)
            .count() as f64
    };
    let mut worst = (f64::MIN, 0.0, 0.0, 0.0);
    for at in &again {
        let from = *at;
        // The window, the one before it, or the one half a window before it, whichever has most.
        let requests = [Duration::ZERO, WINDOW / 2, WINDOW]
            .iter()
            .filter_map(|back| Some(within(&sent, from.checked_sub(*back)?)))
            .fold(0.0, f64::max);
        let (n, allowed) = (within(&again, from), RATIO * requests + SLACK);
        if n - allowed > worst.0 {
            worst = (n - allowed, n, allowed, mesh.record.at(from));
        }
    }
    mesh.record.line(format!(
        "{} requests sent, {} arrivals, {} beyond the first of their request; most against the allowance in 10 s from {:.3}: {} of {:.0} allowed",
        sent.len(), arrivals.len(), again.len(), worst.3, worst.1, worst.2
    ));
    Ok(worst.0 > 0.0)
}

/// Time between two nodes that are stopped: most of them have ended by then.
const ROLL_GAP: Duration = Duration::from_millis(2_800);

/// Stops the nodes in turn, and starts each again when it has ended.
fn roll(mesh: &mut Mesh) -> Result<(), String> {
    let begin = Instant::now();
    let count = mesh.nodes.len();
    let mut ended_at = vec![None; count];
    let (mut stopped, mut started) = (0, 0);
    while started < count {
        thread::sleep(Duration::from_millis(20));
        if stopped < count && begin.elapsed() >= ROLL_GAP * stopped as u32 {
            mesh.nodes[stopped].signal(SIGTERM);
            mesh.record.line(format!("node {stopped} gets SIGTERM"));
            stopped += 1;
        }
        for i in 0..stopped {
            let Some(child) = &mut mesh.nodes[i].child else {
                continue;
            };
            if ended_at[i].is_none() {
                if child.try_wait().is_ok_and(|status| status.is_some()) {
                    ended_at[i] = Some(Instant::now());
                }
            } else if ended_at[i]
                .is_some_and(|at: Instant| at.elapsed() > Duration::from_millis(500))
            {
                mesh.nodes[i].spawn().map_err(|e| e.to_string())?;
                mesh.record.line(format!("node {i} is started again"));
                ended_at[i] = Some(Instant::now() + Duration::from_secs(3_600));
                started += 1;
            }
        }
    }
    Ok(())
}
