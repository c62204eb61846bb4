//! Drain and shutdown: a draining target gets no new requests, and requests in flight complete.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use tokio::task::JoinHandle;

use crate::common::Mesh;
use crate::support::{Call, Reply, get, send, start_mesh};

/// Stated bound: from this time after the start of a drain, the target gets no new request.
const MAX_DRAIN_SPREAD_TIME: Duration = Duration::from_secs(3);
/// Longest wait until a node under load has a request in flight at its target.
const BUSY_TIMEOUT: Duration = Duration::from_secs(5);

/// Concurrent callers that each repeat a request until stopped.
struct Callers {
    stop: Arc<AtomicBool>,
    completed: Arc<AtomicUsize>,
    tasks: Vec<JoinHandle<Vec<Option<Reply>>>>,
}

impl Callers {
    /// Starts `n` callers per entry node, each with the pause `think` between two requests.
    fn start(mesh: &Mesh, entries: &[usize], n: usize, call: &Call, think: Duration) -> Callers {
        let stop = Arc::new(AtomicBool::new(false));
        let completed = Arc::new(AtomicUsize::new(0));
        let mut tasks = Vec::new();
        let entries = entries.iter().copied().cycle().take(n * entries.len());
        for (i, entry) in entries.enumerate() {
            let url = mesh.nodes[entry].url(&call.path);
            let client = mesh.client.clone();
            let (stop, completed) = (stop.clone(), completed.clone());
            tasks.push(tokio::spawn(async move {
                let mut failed = Vec::new();
                while !stop.load(Ordering::SeqCst) {
                    let reply = crate::support::get_as_caller(&client, &url, i).await;
                    match reply {
                        Some(r) if r.is_ok() => {
                            completed.fetch_add(1, Ordering::SeqCst);
                        }
                        other => failed.push(other),
                    }
                    tokio::time::sleep(think).await;
                }
                failed
            }));
        }
        Callers {
            stop,
            completed,
            tasks,
        }
    }

    /// Waits for the requests in flight and returns the number of complete responses and the
    /// failures.
    async fn stop(self) -> (usize, Vec<Option<Reply>>) {
        self.stop.store(true, Ordering::SeqCst);
        let mut failed = Vec::new();
        for task in self.tasks {
            failed.extend(task.await.unwrap());
        }
        (self.completed.load(Ordering::SeqCst), failed)
    }
}

/// Guards against new requests for a draining target after the bound, and against requests that
/// fail because of the drain.
#[tokio::test(flavor = "multi_thread")]
async fn draining_target_gets_no_new_requests() {
    let mesh = start_mesh("drain-target", &[("ledger-view", 4), ("title-desk", 1)], "").await;
    let call = get("/casks/1?work_ms=2");
    let callers = Callers::start(&mesh, &[0, 1, 4], 2, &call, Duration::from_millis(20));
    let victim = 1;
    tokio::time::sleep(Duration::from_millis(300)).await;

    let drain = format!("{}/drain", mesh.nodes[victim].target_listener_url());
    assert!(
        mesh.client
            .post(drain)
            .send()
            .await
            .unwrap()
            .status()
            .is_success()
    );
    let drained = Instant::now();
    // Its target-side node stops using it at once: requests that enter there go to other targets.
    let before = mesh.target_stats(victim).await.started;
    for _ in 0..20 {
        let reply = send(&mesh, victim, &call).await.unwrap();
        assert!(reply.is_ok(), "{reply:?}");
    }
    assert_eq!(mesh.target_stats(victim).await.started, before);

    tokio::time::sleep_until((drained + MAX_DRAIN_SPREAD_TIME).into()).await;
    let hops = |s: node::StateReport| s.metrics["request.hop"];
    let (hops_before, before) = (
        hops(mesh.state(victim).await.unwrap()),
        mesh.target_stats(victim).await.started,
    );
    tokio::time::sleep(Duration::from_millis(800)).await;
    assert_eq!(mesh.target_stats(victim).await.started, before);
    // Other nodes have stopped sending requests to this node.
    assert_eq!(hops(mesh.state(victim).await.unwrap()), hops_before);
    let (completed, failed) = callers.stop().await;
    assert!(completed > 100, "only {completed} requests completed");
    assert!(
        failed.is_empty(),
        "{} requests failed, {completed} completed: {failed:?}",
        failed.len()
    );
}

/// Guards against a draining state that applies to the replacement of the drained target, too.
#[tokio::test(flavor = "multi_thread")]
async fn replacement_of_a_drained_target_gets_requests() {
    let services = [("ledger-view", 1), ("title-desk", 1)];
    let mut mesh = start_mesh("drain-replace", &services, "").await;
    let drain = format!("{}/drain", mesh.nodes[0].target_listener_url());
    assert!(
        mesh.client
            .post(drain)
            .send()
            .await
            .unwrap()
            .status()
            .is_success()
    );
    let refused = send(&mesh, 0, &get("/casks/1")).await.unwrap();
    assert_eq!(refused.executed.as_deref(), Some("no"), "{refused:?}");
    mesh.nodes[0].target = None;
    mesh.start_target(0);
    let until = Instant::now() + Duration::from_secs(5);
    loop {
        let reply = send(&mesh, 0, &get("/casks/1")).await.unwrap();
        if reply.is_ok() {
            return;
        }
        assert!(Instant::now() < until, "{reply:?}");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// More bytes than the socket buffers between target and caller hold.
const LARGE_BODY_BYTES: usize = 120_000_000;

/// Downloads a long response with a pause of 2 s after the first chunk. Returns its size, or `None`
/// if it was incomplete.
async fn download_slowly(client: reqwest::Client, url: String, n: usize) -> Option<usize> {
    let req = client.get(url).header(wire::CALLER, format!("puller-{n}"));
    let mut res = req.send().await.ok()?;
    let mut read = res.chunk().await.ok()??.len();
    tokio::time::sleep(Duration::from_secs(2)).await;
    while let Some(piece) = res.chunk().await.ok()? {
        read += piece.len();
    }
    Some(read)
}

/// Waits until a request is in flight at the target of the node `victim`. There may be none for a
/// few milliseconds between two requests.
async fn wait_until_busy(mesh: &Mesh, victim: usize) {
    let begun = Instant::now();
    loop {
        let load = mesh.state(victim).await.unwrap().load;
        if load.in_flight > 0 {
            return;
        }
        assert!(
            begun.elapsed() < BUSY_TIMEOUT,
            "no request in flight at the target of node {victim} within {BUSY_TIMEOUT:?}"
        );
    }
}

/// Guards against a shutdown by SIGTERM that aborts requests, short or long, which other entry
/// nodes have sent to the target of the node.
#[tokio::test(flavor = "multi_thread")]
async fn sigterm_under_load_aborts_no_requests() {
    let mut mesh = start_mesh("drain-node", &[("gauge-vault", 4), ("ledger-view", 2)], "").await;
    let entries = [0, 2, 3, 4, 5];
    let victim = 1;
    let short = get("/gauges/1?work_ms=5&bytes=2000");
    let long = get("/gauges/archive/1?work_ms=700&bytes=1000000");
    let short = Callers::start(&mesh, &entries, 2, &short, Duration::from_millis(10));
    let long = Callers::start(&mesh, &entries[..3], 1, &long, Duration::from_millis(10));
    tokio::time::sleep(Duration::from_millis(600)).await;
    let downloads: Vec<_> = (0..3)
        .map(|n| {
            // The last entry node is in the failure domain of the victim and so prefers its target.
            let url = mesh.nodes[5].url(&format!("/gauges/archive/{n}?bytes={LARGE_BODY_BYTES}"));
            tokio::spawn(download_slowly(mesh.client.clone(), url, n))
        })
        .collect();
    tokio::time::sleep(Duration::from_millis(300)).await;
    wait_until_busy(&mesh, victim).await;

    mesh.nodes[victim].proc.as_ref().unwrap().signal("TERM");
    let exit = mesh.nodes[victim].proc.as_mut().unwrap();
    assert_eq!(exit.wait_exit(Duration::from_secs(10)), Some(0));
    for download in downloads {
        assert_eq!(download.await.unwrap(), Some(LARGE_BODY_BYTES));
    }
    tokio::time::sleep(Duration::from_millis(500)).await;
    for (what, callers) in [("short", short), ("long", long)] {
        let (completed, failed) = callers.stop().await;
        assert!(completed > 5, "{what}: only {completed} requests completed");
        assert!(
            failed.is_empty(),
            "{what}: {} requests failed, {completed} completed: {failed:?}",
            failed.len()
        );
    }
}
