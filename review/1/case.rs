//! After an outage of the store in which it does not answer, no node applies new configurations.

#[path = "../mesh.rs"]
mod mesh;

use mesh::*;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const HOST: &str = "jepu9.example";
const PREFIX: &str = "/lepu270/";
/// `config_apply_ms` of the bounds.
const APPLY: Duration = Duration::from_millis(2_000);
/// Length of the outage; the site's longest one is 8 s.
const OUTAGE: Duration = Duration::from_secs(8);

fn main() {
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let dir = std::env::args().nth(1).expect("folder of the case");
    let code = run(&dir, trouble);
    std::process::exit(code);
}

fn run(dir: &str, trouble: bool) -> i32 {
    let mut mesh = Mesh::new(dir);
    for zone in ["pk-north-a", "pk-north-b", "pk-north-c"] {
        mesh.add_machine(zone, "ledger-view", 260);
        mesh.add_machine(zone, "title-desk", 260);
    }
    publish(&mesh, 5, "ledger-view");
    let record = mesh.record.clone();
    for m in &mesh.machines {
        m.start(&record);
    }
    if !mesh.wait_ready(Duration::from_secs(10)) {
        record.line("the nodes did not become ready");
        return 2;
    }
    let runs = Arc::new(Mutex::new(Vec::new()));
    let work = Duration::from_millis(20);
    for m in &mesh.machines {
        let id = format!("i-{}", m.name);
        Server::start(&id, &m.service, &m.zone, m.app(), work, |_| Action::Answer, runs.clone(), &record).beat(m.control());
    }
    sleep_ms(4_000);
    publish(&mesh, 9, "ledger-view");
    // The nodes have applied this version and have not begun their next calls.
    sleep_ms(300);
    if trouble {
        record.line("the store does not answer from now on");
        mesh.store.is_silent.store(true, Ordering::Relaxed);
    }
    std::thread::sleep(OUTAGE);
    mesh.store.is_silent.store(false, Ordering::Relaxed);
    record.line("the store answers again");
    // All machines are in touch again.
    std::thread::sleep(CONTACT + Duration::from_millis(1_000));
    publish(&mesh, 14, "title-desk");
    let confirmed = Instant::now();
    std::thread::sleep(APPLY + Duration::from_millis(500));
    let mut sent = Vec::new();
    while confirmed.elapsed() < Duration::from_secs(8) {
        for m in &mesh.machines {
            sent.push(request(&record, m.outbound(), "GET", HOST, &format!("{PREFIX}2f"), b"", 1_000).0);
        }
        sleep_ms(100);
    }
    let runs = runs.lock().unwrap();
    let by_old = runs.iter().filter(|r| sent.contains(&r.request_id) && r.instance.contains("-ledger-view")).count();
    record.line(format!("requests sent later than config_apply_ms after the confirmation: {}, run by the old service: {by_old}", sent.len()));
    i32::from(by_old > 0)
}

fn publish(mesh: &Mesh, version: u64, service: &str) {
    mesh.publish(version, &[(HOST, PREFIX, "safe", 1_000, 300, service), ("hulo84.example", "/xapu221/", "safe", 1_000, 300, "title-desk"), ("hulo84.example", "/fiti832/", "safe", 1_000, 300, "ledger-view")]);
}
