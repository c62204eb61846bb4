//! What leaves gets no new work, and what is in progress ends.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use tokio::task::JoinHandle;

use crate::common::Mesh;
use crate::support::{Call, Reply, get, mesh, send};

/// Bound of the design for new work at a target that drains.
const NO_NEW_WORK_AFTER: Duration = Duration::from_secs(3);
/// Longest time until a node under load has a request at its target.
const PATIENCE: Duration = Duration::from_secs(5);

/// Callers that repeat a request each until stopped.
struct Callers {
    stop: Arc<AtomicBool>,
    answered: Arc<AtomicUsize>,
    tasks: Vec<JoinHandle<Vec<Option<Reply>>>>,
}

impl Callers {
    /// Starts `n` callers per entry. Each thinks for a while between two requests.
    fn start(mesh: &Mesh, entries: &[usize], n: usize, call: &Call, think: Duration) -> Callers {
        let stop = Arc::new(AtomicBool::new(false));
        let answered = Arc::new(AtomicUsize::new(0));
        let mut tasks = Vec::new();
        let entries = entries.iter().copied().cycle().take(n * entries.len());
        for (i, entry) in entries.enumerate() {
            let url = mesh.nodes[entry].url(&call.path);
            let client = mesh.client.clone();
            let (stop, answered) = (stop.clone(), answered.clone());
            tasks.push(tokio::spawn(async move {
                let mut failed = Vec::new();
                while !stop.load(Ordering::SeqCst) {
                    let reply = crate::support::get_url(&client, &url, i).await;
                    match reply {
                        Some(r) if r.is_ok() => {
                            answered.fetch_add(1, Ordering::SeqCst);
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
            answered,
            tasks,
        }
    }

    /// Stops the callers after their requests and returns the number of answers and the failures.
    async fn stop(self) -> (usize, Vec<Option<Reply>>) {
        self.stop.store(true, Ordering::SeqCst);
        let mut failed = Vec::new();
        for task in self.tasks {
            failed.extend(task.await.unwrap());
        }
        (self.answered.load(Ordering::SeqCst), failed)
    }
}

/// Guards against new work for a target that leaves, and against failures that callers see of it.
#[tokio::test(flavor = "multi_thread")]
async fn a_draining_target_gets_no_new_work() {
    let mesh = mesh("drain-target", &[("ledger-view", 4), ("title-desk", 1)], "").await;
    let call = get("/casks/1?work_ms=2");
    let callers = Callers::start(&mesh, &[0, 1, 4], 2, &call, Duration::from_millis(20));
    let victim = 1;
    tokio::time::sleep(Duration::from_millis(300)).await;

    let drain = format!("{}/drain", mesh.nodes[victim].target_listener());
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
    // The node beside it refuses at once, so its own callers are answered by other targets.
    let before = mesh.target_stats(victim).await.started;
    for _ in 0..20 {
        let reply = send(&mesh, victim, &call).await.unwrap();
        assert!(reply.is_ok(), "{reply:?}");
    }
    assert_eq!(mesh.target_stats(victim).await.started, before);

    tokio::time::sleep_until((drained + NO_NEW_WORK_AFTER).into()).await;
    let hops = |s: node::StateReport| s.metrics["request.hop"];
    let (hops_before, before) = (
        hops(mesh.state(victim).await.unwrap()),
        mesh.target_stats(victim).await.started,
    );
    tokio::time::sleep(Duration::from_millis(800)).await;
    assert_eq!(mesh.target_stats(victim).await.started, before);
    // Nor do other nodes try it any more.
    assert_eq!(hops(mesh.state(victim).await.unwrap()), hops_before);
    let (answered, failed) = callers.stop().await;
    assert!(answered > 100, "{answered} answers only");
    assert!(
        failed.is_empty(),
        "{} of {answered}: {failed:?}",
        failed.len()
    );
}

/// Guards against a new target that inherits the drain of the one that it replaces.
#[tokio::test(flavor = "multi_thread")]
async fn a_target_after_a_drained_one_gets_work() {
    let services = [("ledger-view", 1), ("title-desk", 1)];
    let mut mesh = mesh("drain-replace", &services, "").await;
    let drain = format!("{}/drain", mesh.nodes[0].target_listener());
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

/// More than the sockets on the way hold.
const BIG: usize = 120_000_000;

/// Pulls a long answer with a pause in the middle, and returns its size if it was whole.
async fn pull_slowly(client: reqwest::Client, url: String, n: usize) -> Option<usize> {
    let req = client.get(url).header(wire::CALLER, format!("puller-{n}"));
    let mut res = req.send().await.ok()?;
    let mut read = res.chunk().await.ok()??.len();
    tokio::time::sleep(Duration::from_secs(2)).await;
    while let Some(piece) = res.chunk().await.ok()? {
        read += piece.len();
    }
    Some(read)
}

/// Waits until a request holds a slot of the target beside `victim`. Between two requests there may
/// be none for a few milliseconds.
async fn until_busy(mesh: &Mesh, victim: usize) {
    let begun = Instant::now();
    loop {
        let load = mesh.state(victim).await.unwrap().load;
        if load.in_flight > 0 {
            return;
        }
        assert!(begun.elapsed() < PATIENCE, "nothing to cut");
    }
}

/// Guards against a shutdown that cuts requests, short ones or long ones, of callers that use other
/// entry nodes.
#[tokio::test(flavor = "multi_thread")]
async fn sigterm_under_load_cuts_nothing() {
    let mut mesh = mesh("drain-node", &[("gauge-vault", 4), ("ledger-view", 2)], "").await;
    let entries = [0, 2, 3, 4, 5];
    let victim = 1;
    let short = get("/gauges/1?work_ms=5&bytes=2000");
    let long = get("/gauges/archive/1?work_ms=700&bytes=1000000");
    let short = Callers::start(&mesh, &entries, 2, &short, Duration::from_millis(10));
    let long = Callers::start(&mesh, &entries[..3], 1, &long, Duration::from_millis(10));
    tokio::time::sleep(Duration::from_millis(600)).await;
    let pulls: Vec<_> = (0..3)
        .map(|n| {
            // The last entry is in the victim's failure domain, so it prefers the victim.
            let url = mesh.nodes[5].url(&format!("/gauges/archive/{n}?bytes={BIG}"));
            tokio::spawn(pull_slowly(mesh.client.clone(), url, n))
        })
        .collect();
    tokio::time::sleep(Duration::from_millis(300)).await;
    until_busy(&mesh, victim).await;

    mesh.nodes[victim].proc.as_ref().unwrap().signal("TERM");
    let exit = mesh.nodes[victim].proc.as_mut().unwrap();
    assert_eq!(exit.wait_exit(Duration::from_secs(10)), Some(0));
    for pull in pulls {
        assert_eq!(pull.await.unwrap(), Some(BIG));
    }
    tokio::time::sleep(Duration::from_millis(500)).await;
    for (what, callers) in [("short", short), ("long", long)] {
        let (answered, failed) = callers.stop().await;
        assert!(answered > 5, "{what}: {answered} answers only");
        assert!(
            failed.is_empty(),
            "{what}: {} of {answered}: {failed:?}",
            failed.len()
        );
    }
}
