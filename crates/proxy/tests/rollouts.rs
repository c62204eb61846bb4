//! Roll-outs over real connections between nodes, with one failure in each test.

mod common;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use common::{
    Caller, MEMORY_BYTES, Response, TestNode, VERSION_STREAM, echo_path, free_addr, log_with,
    ok_response, received_requests, script, settings,
};
use fakes::{FakeKeyedLog, KeyedFault, ReceivedRequest, ScriptedTarget};
use parking_lot::Mutex;
use plat::KeyedLog;
use proxy::{RolloutSettings, RolloutStatus};
use rollout::{Admission, ExposureCfg, Order, OrderId, RawOrder, Step};
use tokio::sync::{Semaphore, SemaphorePermit};
use tokio::task::JoinSet;
use wire::Offset;

const STEP_STREAM: &str = "steps";
const STATUS_STREAM: &str = "status";
/// Time that the orders give.
const DURATION: Duration = Duration::from_secs(8);
/// Longest wait for an outcome: the time of the order, and a log that was away for as long.
const OUTCOME_TIMEOUT: Duration = Duration::from_secs(30);
/// Time in which no request may reach a closed version.
const QUIET_TIME: Duration = Duration::from_millis(700);
/// Time in which all nodes hear of a roll-back; the operators allow 5 s.
const ROLLBACK_TIME: Duration = Duration::from_secs(1);
const CALLERS: u64 = 8;
/// Attempts to start a node, 10 ms apart.
const MAX_START_ATTEMPTS: u32 = 300;
const EXPOSURE: ExposureCfg = ExposureCfg {
    share: 0.1,
    slack: 50.0,
};

/// Meshes that run at a time. Ten in a debug build keep 7 cores busy, and a version whose answers wait
/// for a processor is rolled back.
static MESHES: Semaphore = Semaphore::const_new(3);

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// Decodes `SERVICE VERSION SECONDS`.
fn decode_order(text: &[u8]) -> Result<RawOrder, String> {
    let text = std::str::from_utf8(text).map_err(|e| e.to_string())?;
    let [service, version, secs] = text.split(' ').collect::<Vec<_>>()[..] else {
        return Err("not three words".into());
    };
    Ok(RawOrder {
        service: service.into(),
        target_version: version.into(),
        duration_s: secs.parse().map_err(|_| "bad duration")?,
    })
}

fn encode_status(order: &Order, status: RolloutStatus) -> (String, Vec<u8>) {
    let text = format!("{status:?} {}", order.target_version);
    (order.service.to_string(), text.into_bytes())
}

fn rollout_settings() -> RolloutSettings {
    RolloutSettings {
        order_prefix: "order/".into(),
        decode_order,
        step_stream: STEP_STREAM.into(),
        status_stream: STATUS_STREAM.into(),
        encode_status,
        exposure: EXPOSURE,
    }
}

/// Nodes of old and new targets, and two of another service, which decide before all others because of
/// their faster links.
struct Mesh {
    _permit: SemaphorePermit<'static>,
    log: FakeKeyedLog,
    /// Log as the first of the deciders reaches it.
    first_decider_log: FakeKeyedLog,
    old: Vec<(TestNode, ScriptedTarget)>,
    new: Vec<(TestNode, ScriptedTarget)>,
    deciders: Vec<(TestNode, ScriptedTarget)>,
    callers: JoinSet<()>,
    /// Requests that got another response than 200, or none: their ids, status and body.
    failed: Arc<Mutex<Vec<String>>>,
}

/// Starts a node, at `peer_addr` if it is given. A connection of another test may have taken a free
/// port, so that each attempt uses new ones; the tasks of a killed node may hold its address for a
/// moment.
async fn start_node(
    log: &FakeKeyedLog,
    target: &ScriptedTarget,
    (service, software, link_mbps): (&str, &'static str, u32),
    peer_addr: Option<SocketAddr>,
) -> TestNode {
    for _ in 0..MAX_START_ATTEMPTS {
        let addr = peer_addr.unwrap_or_else(free_addr);
        let mut settings = settings(log, target.addr(), addr, service, MEMORY_BYTES);
        settings.rollouts = Some(rollout_settings());
        settings.link_mbps = link_mbps;
        if let Ok(mut node) = TestNode::start_with(settings).await {
            node.software = software;
            node.serve_as(service).await;
            return node;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("no node could be started");
}

impl Mesh {
    /// Starts the nodes, orders the roll-out of `v2`, and starts its targets, which answer by `new`.
    async fn start(
        new: impl Fn(&ReceivedRequest) -> Vec<fakes::Step> + Send + Sync + 'static,
    ) -> Mesh {
        Mesh::start_at(new, None).await
    }

    /// Like [`Mesh::start`], with a step that an earlier release recorded.
    async fn start_at(
        new: impl Fn(&ReceivedRequest) -> Vec<fakes::Step> + Send + Sync + 'static,
        recorded: Option<Step>,
    ) -> Mesh {
        let log = log_with(1);
        let mut mesh = Mesh {
            _permit: MESHES.acquire().await.unwrap(),
            log: log.clone(),
            first_decider_log: log.separate_path(),
            old: Vec::new(),
            new: Vec::new(),
            deciders: Vec::new(),
            callers: JoinSet::new(),
            failed: Arc::default(),
        };
        for i in 0..2 {
            let target = ScriptedTarget::start(false, echo_path()).await.unwrap();
            let node = start_node(&log, &target, ("desk", "v1", 100), None).await;
            mesh.old.push((node, target));
            let target = ScriptedTarget::start(false, echo_path()).await.unwrap();
            let kind = ("view", "v1", 1_000 - i);
            let log = if i == 0 {
                &mesh.first_decider_log
            } else {
                &log
            };
            let node = start_node(log, &target, kind, None).await;
            mesh.deciders.push((node, target));
        }
        let order = format!("desk v2 {}", DURATION.as_secs());
        log.put(VERSION_STREAM, "order/desk", order.as_bytes());
        if let Some(step) = recorded {
            let raw = decode_order(order.as_bytes()).unwrap();
            // The version is the first record of the stream, the order the second.
            let order = Order::try_from((OrderId(1), raw)).unwrap();
            let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
            let record = (order, step, 0u64, since_epoch.as_millis() as u64);
            log.put(STEP_STREAM, "desk", &postcard::to_stdvec(&record).unwrap());
        }
        let new = script(new);
        for _ in 0..2 {
            let target = ScriptedTarget::start(false, new.clone()).await.unwrap();
            let node = start_node(&log, &target, ("desk", "v2", 100), None).await;
            mesh.new.push((node, target));
        }
        mesh.start_callers().await;
        mesh
    }

    /// Starts callers at the second node that may decide, which no test stops.
    async fn start_callers(&mut self) {
        let entry = self.deciders[1].0.caller_addr;
        // The connections between the nodes may not be established yet.
        while send(entry, 0).await.is_none_or(|r| r.status != 200) {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        for _ in 0..CALLERS {
            let failed = self.failed.clone();
            self.callers.spawn(async move {
                loop {
                    let id = NEXT_ID.fetch_add(1, Ordering::SeqCst);
                    let response = send(entry, id).await;
                    if response.as_ref().is_none_or(|r| r.status != 200) {
                        failed.lock().push(format!("r{id}: {response:?}"));
                    }
                    tokio::time::sleep(Duration::from_millis(10)).await;
                }
            });
        }
    }

    async fn status(&self) -> String {
        // The log's fault applies to this read too.
        let newest = self.log.read_newest(STATUS_STREAM).await;
        let record = newest.ok().and_then(|n| n.records.into_iter().next());
        record.map_or(String::new(), |r| String::from_utf8(r.value).unwrap())
    }

    async fn wait_for_status(&self, status: &str) {
        let poll = async {
            while self.status().await != status {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        };
        let reached = tokio::time::timeout(OUTCOME_TIMEOUT, poll).await;
        let present = self.status().await;
        assert!(reached.is_ok(), "the status is {present:?}, not {status:?}");
    }

    /// Checks that the targets get no request for a while.
    async fn expect_quiet(targets: &[(TestNode, ScriptedTarget)]) {
        let counts = || -> Vec<_> {
            let targets = targets.iter().map(|(_, t)| received_requests(t).len());
            targets.collect()
        };
        let before = counts();
        tokio::time::sleep(QUIET_TIME).await;
        assert_eq!(counts(), before, "requests reach a closed version");
    }

    fn requests(targets: &[(TestNode, ScriptedTarget)]) -> usize {
        targets
            .iter()
            .map(|(_, t)| received_requests(t).len())
            .sum()
    }

    fn expect_exposure_within_bound(&self) {
        let new = Mesh::requests(&self.new);
        let total = new + Mesh::requests(&self.old);
        let bound = EXPOSURE.share * total as f64 + EXPOSURE.slack;
        assert!(new as f64 <= bound, "{new} of {total} requests");
    }
}

async fn send(entry: SocketAddr, id: u64) -> Option<Response> {
    let mut caller = Caller::try_connect(entry).await?;
    caller.send("GET", "/safe/a", &format!("r{id}"), "").await;
    caller.response().await
}

fn good(req: &ReceivedRequest) -> Vec<fakes::Step> {
    vec![fakes::Step::Send(ok_response(req, &req.path))]
}

/// Fails half of the requests.
fn bad(req: &ReceivedRequest) -> Vec<fakes::Step> {
    let id = req.header("x-id");
    if id.ends_with(['0', '2', '4', '6', '8']) {
        return good(req);
    }
    let head =
        format!("HTTP/1.1 500 Error\r\nx-id: {id}\r\nx-proof: p\r\ncontent-length: 0\r\n\r\n");
    vec![fakes::Step::Send(head.into_bytes())]
}

/// Guards against a good version that does not get all requests in time, and against requests that
/// are lost at the old version when its targets are stopped.
#[tokio::test]
async fn a_good_version_succeeds_once_the_old_one_is_drained() {
    let mesh = Mesh::start(good).await;
    let started = tokio::time::Instant::now();
    mesh.wait_for_status("Succeeded v2").await;
    assert!(started.elapsed() < DURATION);
    Mesh::expect_quiet(&mesh.old).await;
    assert_eq!(*mesh.failed.lock(), [""; 0], "requests failed");
    // Operators see what the deciding node decided by, and that the old version is closed.
    let page = mesh.deciders[0].0.handle().state();
    let evidence = page.rollouts[0].evidence.expect("the node decides");
    assert_eq!(evidence.step, Step::Succeeded);
    assert!(evidence.judged > 0 && evidence.bad == 0, "{evidence:?}");
    let page = mesh.old[0].0.handle().state();
    assert_eq!(page.rollouts[0].admission, Some(Admission::Closed));
    let decider = mesh.deciders[0].0.peer_addr;
    assert_eq!(page.rollouts[0].decider, Some(decider));
}

/// Guards against a bad version that gets more than its share, or that is not rolled back.
#[tokio::test]
async fn a_bad_version_is_rolled_back() {
    let mesh = Mesh::start(bad).await;
    mesh.wait_for_status("RolledBack v2").await;
    tokio::time::sleep(ROLLBACK_TIME).await;
    Mesh::expect_quiet(&mesh.new).await;
    mesh.expect_exposure_within_bound();
}

/// Kills the decider as soon as `steps` steps are recorded.
async fn kill_decider_after(steps: u64) {
    let mut mesh = Mesh::start(good).await;
    let recorded = async {
        while mesh.log.read_newest(STEP_STREAM).await.unwrap().end < Offset(steps) {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    let recorded = tokio::time::timeout(OUTCOME_TIMEOUT, recorded).await;
    assert!(recorded.is_ok(), "{steps} steps are not recorded");
    // Dropping a node ends its tasks and connections at once, like SIGKILL.
    drop(mesh.deciders.remove(0));
    mesh.wait_for_status("Succeeded v2").await;
    Mesh::expect_quiet(&mesh.old).await;
}

/// Guards against a roll-out that stays where it is when the node that decides is killed in its first
/// step.
#[tokio::test]
async fn a_decider_killed_in_the_canary_step_is_replaced() {
    kill_decider_after(1).await;
}

/// Guards against a roll-out that stays where it is, or begins anew, when the node that decides is
/// killed while both versions serve.
#[tokio::test]
async fn a_decider_killed_in_the_parallel_step_is_replaced() {
    kill_decider_after(2).await;
}

/// Guards against an old version that is opened again, or never stopped, when the node that decides
/// is killed while it is closed.
#[tokio::test]
async fn a_decider_killed_in_the_switch_is_replaced() {
    kill_decider_after(3).await;
}

/// Guards against a status that is never written when the node that decides is killed between the last
/// step and the status.
#[tokio::test]
async fn a_decider_killed_after_the_last_step_is_replaced() {
    kill_decider_after(4).await;
}

/// Guards against a roll-out that begins anew after an upgrade, since the step that the earlier release
/// recorded can't be read.
#[tokio::test]
async fn a_step_of_the_earlier_release_is_read() {
    let mesh = Mesh::start_at(good, Some(Step::Switch)).await;
    mesh.wait_for_status("Succeeded v2").await;
    let end = mesh.log.read_newest(STEP_STREAM).await.unwrap().end;
    assert_eq!(end, Offset(2), "only the last step is recorded");
}

/// Guards against a roll-out that stays where it is when the node that decides reaches all nodes, and
/// not the log.
#[tokio::test]
async fn a_decider_without_the_log_is_replaced() {
    let mesh = Mesh::start(good).await;
    mesh.wait_for_status("Running v2").await;
    mesh.first_decider_log.set_fault(KeyedFault::Unresponsive);
    mesh.wait_for_status("Succeeded v2").await;
    Mesh::expect_quiet(&mesh.old).await;
}

/// Guards against a bad version that gets requests because the log is away from the begin of the
/// roll-out until after its deadline, and against an outcome that is then not written.
#[tokio::test]
async fn a_bad_version_is_rolled_back_while_the_log_is_away() {
    let mesh = Mesh::start(bad).await;
    mesh.wait_for_status("Running v2").await;
    mesh.log.set_fault(KeyedFault::RefusesCalls);
    tokio::time::sleep(DURATION).await;
    Mesh::expect_quiet(&mesh.new).await;
    mesh.expect_exposure_within_bound();
    mesh.log.set_fault(KeyedFault::None);
    mesh.wait_for_status("RolledBack v2").await;
}

/// Guards against steps that are taken twice or not at all when the replies to appends are lost.
#[tokio::test]
async fn lost_replies_of_the_log_change_no_outcome() {
    let mesh = Mesh::start(good).await;
    mesh.log.set_fault(KeyedFault::LosesReplies);
    mesh.wait_for_status("Succeeded v2").await;
    Mesh::expect_quiet(&mesh.old).await;
}

/// Guards against a roll-out that is forgotten when all nodes of the service restart together, and
/// against a version that gets more than its share then.
#[tokio::test]
async fn a_restart_of_all_nodes_keeps_the_roll_out() {
    let mut mesh = Mesh::start(bad).await;
    mesh.wait_for_status("Running v2").await;
    let log = mesh.log.clone();
    for (nodes, software) in [(&mut mesh.old, "v1"), (&mut mesh.new, "v2")] {
        for (node, target) in nodes.iter_mut() {
            let addr = node.peer_addr;
            node.kill();
            *node = start_node(&log, target, ("desk", software, 100), Some(addr)).await;
        }
    }
    mesh.wait_for_status("RolledBack v2").await;
    tokio::time::sleep(ROLLBACK_TIME).await;
    Mesh::expect_quiet(&mesh.new).await;
    mesh.expect_exposure_within_bound();
}
