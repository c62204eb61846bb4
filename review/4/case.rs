//! After all nodes have been killed, late reports bring a server that has left back into use.

#[path = "../mesh.rs"]
mod mesh;

use mesh::*;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const HOST: &str = "hulo84.example";
/// How long the leaving server still serves after the confirmation.
const SERVES_ON: Duration = Duration::from_secs(14);
const ID: &str = "i-7f3a91c2";

fn main() {
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let dir = std::env::args().nth(1).expect("folder of the case");
    let code = run(&dir, trouble);
    std::process::exit(code);
}

fn run(dir: &str, trouble: bool) -> i32 {
    let mut mesh = Mesh::new(dir);
    let a = mesh.add_machine("pk-north-a", "title-desk", 260);
    let b = mesh.add_machine("pk-north-b", "title-desk", 260);
    let c = mesh.add_machine("pk-north-c", "ledger-view", 260);
    mesh.publish(7, &[(HOST, "/xapu221/", "unsafe", 1_500, 500, "title-desk"), ("jepu9.example", "/lepu270/", "safe", 1_200, 400, "ledger-view")]);
    let record = mesh.record.clone();
    for m in &mesh.machines {
        m.start(&record);
    }
    if !mesh.wait_ready(Duration::from_secs(10)) {
        record.line("the nodes did not become ready");
        return 2;
    }
    let runs = Arc::new(Mutex::new(Vec::new()));
    let work = Duration::from_millis(60);
    let start = |id: &str, m: &Machine| {
        Server::start(id, &m.service, &m.zone, m.app(), work, |_| Action::Answer, runs.clone(), &record)
    };
    start("i-02d9e6b4", &b).beat(b.control());
    start("i-5b77c0d1", &c).beat(c.control());
    let server = start(ID, &a);
    // The third and the fourth report are held up on their way.
    let mut late_reports = Vec::new();
    for n in 1..=4 {
        let report = server.next_report();
        if n <= 2 {
            server.send_report(a.control(), &report);
        } else {
            record.line(format!("report of {ID} is held up: {report}"));
            late_reports.push(report);
        }
        thread::sleep(if n < 4 { HEARTBEAT } else { Duration::from_millis(300) });
    }
    let stop = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = [&a, &b, &c].iter().enumerate().map(|(n, m)| client(n, m.outbound(), &record, &stop)).collect();
    sleep_ms(500);
    let runs_before = count(&runs, Instant::now() - Duration::from_secs(60));
    // The server leaves without a draining report, and still serves.
    server.is_draining.store(true, Ordering::Relaxed);
    let body = format!("{{\"born\":{}}}", server.born);
    let head = format!("DELETE /v1/instances/{ID} HTTP/1.1\r\nHost: {}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n", a.control(), body.len());
    let is_acked = call(a.control(), &head, body.as_bytes(), Duration::from_secs(1)).is_ok_and(|r| r.status() == 200);
    if !is_acked || runs_before == 0 {
        record.line("the server was not used, or its leaving was not confirmed");
        return 2;
    }
    let confirmed = Instant::now();
    record.line(format!("the node has confirmed that {ID} is gone; it had run {runs_before} requests"));
    sleep_ms(500);
    if trouble {
        for m in &mesh.machines {
            m.kill(&record);
        }
        sleep_ms(1_000);
        for m in &mesh.machines {
            m.start(&record);
        }
        mesh.wait_ready(Duration::from_secs(5));
    }
    sleep_ms(1_500);
    for report in &late_reports {
        server.send_report(a.control(), report);
        sleep_ms(300);
    }
    // All machines are in touch again.
    thread::sleep(CONTACT);
    let in_touch = Instant::now();
    thread::sleep(SERVES_ON.saturating_sub(confirmed.elapsed()));
    server.end();
    stop.store(true, Ordering::Relaxed);
    for c in clients {
        let _ = c.join();
    }
    let late_runs = count(&runs, in_touch.max(confirmed + DRAIN));
    record.line(format!("requests that reached the server later than drain_ms after the confirmation, and contact_ms after the start of the nodes: {late_runs}"));
    i32::from(late_runs > 0)
}

fn count(runs: &Mutex<Vec<Run>>, after: Instant) -> usize {
    runs.lock().unwrap().iter().filter(|r| r.instance == ID && r.at > after).count()
}

/// A client that books transfers one after the other.
fn client(n: usize, node: std::net::SocketAddr, record: &Record, stop: &Arc<AtomicBool>) -> thread::JoinHandle<()> {
    let (record, stop) = (record.clone(), stop.clone());
    thread::spawn(move || {
        let mut i = 0;
        while !stop.load(Ordering::Relaxed) {
            i += 1;
            request(&record, node, "POST", HOST, &format!("/xapu221/{n}-{i}"), b"transfer", 1_500);
            sleep_ms(40);
        }
    })
}
