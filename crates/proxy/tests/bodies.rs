//! Large bodies in transit from the entry node to the target-side node.

mod common;

use std::time::Duration;

use common::{
    Caller, TestNode, WAIT_TIMEOUT, call, echo_path, log_with, ok_response, received_requests,
    script, wait_until,
};
use fakes::{FakeKeyedLog, ScriptedTarget, Step};
use member::TargetState;

/// Memory of a node whose part for the bodies of requests, 43 %, two bodies of `BODY_BYTES` fill.
const SMALL_MEMORY_BYTES: usize = 5 << 20;
const BODY_BYTES: usize = 1 << 20;

/// Starts an entry node, whose own target `idle` belongs to another service, and the target-side
/// node of `target`. Returns both once a request has crossed.
async fn start_pair(target: &ScriptedTarget, idle: &ScriptedTarget) -> (TestNode, TestNode) {
    let log = log_with(1);
    let target_side = TestNode::start(&log, target.addr()).await;
    start_entry(&log, target_side, idle).await
}

/// Starts an entry node, whose own target `idle` belongs to another service, beside `target_side`.
/// Returns both once a request has crossed.
async fn start_entry(
    log: &FakeKeyedLog,
    target_side: TestNode,
    idle: &ScriptedTarget,
) -> (TestNode, TestNode) {
    let mut target_side = target_side;
    target_side.serve().await;
    let mut entry = TestNode::start_as(log, idle.addr(), "view").await;
    wait_until("a version is in force", || entry.is_ready()).await;
    entry.report_as("view", 4, TargetState::Ready).await;
    // The connection between the nodes may not be established yet.
    let crossing = async {
        while call(entry.caller_addr, "GET", "/safe/first", "")
            .await
            .status
            != 200
        {}
    };
    tokio::time::timeout(WAIT_TIMEOUT, crossing)
        .await
        .expect("a request has crossed");
    (entry, target_side)
}

/// Guards against bodies that lose a part, mix with another body, or block the calls behind them.
/// Large bodies are transferred in parts, several bodies at a time over one connection.
#[tokio::test]
async fn concurrent_large_bodies_arrive_intact() {
    let target = ScriptedTarget::start(false, echo_path()).await.unwrap();
    let idle = ScriptedTarget::start(false, echo_path()).await.unwrap();
    let (entry, _target_side) = start_pair(&target, &idle).await;

    let body = |i: usize| (0..100_000 + i).map(move |b| char::from(b'a' + ((b + i) % 23) as u8));
    let bodies: Vec<String> = (0..4).map(|i| body(i).collect()).collect();
    let calls = bodies.iter().enumerate().map(|(i, b)| {
        let (caller_addr, b) = (entry.caller_addr, b.clone());
        tokio::spawn(async move { call(caller_addr, "POST", &format!("/once/{i}"), &b).await })
    });
    for response in calls.collect::<Vec<_>>() {
        assert_eq!(response.await.unwrap().status, 200);
    }
    let received = received_requests(&target);
    for (i, body) in bodies.iter().enumerate() {
        let path = format!("/once/{i}");
        let run: Vec<_> = received.iter().filter(|r| r.path == path).collect();
        assert_eq!(run.len(), 1, "{path}");
        assert!(
            run[0].body == body.as_bytes(),
            "the target received another body for {path}"
        );
    }
}

/// Guards against a leak of upload memory: bodies whose callers disconnected during the transfer
/// would stay counted as in transit, and later bodies would be refused.
#[tokio::test]
async fn bodies_of_disconnected_callers_free_their_memory() {
    let target = ScriptedTarget::start(false, echo_path()).await.unwrap();
    let idle = ScriptedTarget::start(false, echo_path()).await.unwrap();
    let (entry, _target_side) = start_pair(&target, &idle).await;
    let body = "b".repeat(900_000);
    for i in 0..40 {
        let mut caller = Caller::connect(entry.caller_addr).await;
        caller
            .send("POST", "/once/left", &format!("left{i}"), &body)
            .await;
        // The transfer takes some milliseconds; each caller disconnects at another point of it.
        tokio::time::sleep(Duration::from_micros(i * 150)).await;
    }
    tokio::time::sleep(Duration::from_millis(300)).await;
    let responses = (0..8).map(|i| {
        let (caller_addr, body) = (entry.caller_addr, body.clone());
        tokio::spawn(async move { call(caller_addr, "POST", &format!("/once/{i}"), &body).await })
    });
    for response in responses.collect::<Vec<_>>() {
        assert_eq!(response.await.unwrap().status, 200);
    }
}

/// Responds to a request for `/once/slow` after half a second, and to others at once.
fn slow_path() -> std::sync::Arc<fakes::Script> {
    script(|req| {
        let pause = match req.path.as_str() {
            "/once/slow" => Duration::from_millis(500),
            _ => Duration::ZERO,
        };
        vec![Step::Wait(pause), Step::Send(ok_response(req, &req.path))]
    })
}

/// Fills the memory for bodies of a node on the path from `entry` to `target` with two requests that
/// run. Checks that a third one is refused as not run until those have ended, and that they get
/// their responses.
async fn check_refused_while_bodies_are_held(entry: &TestNode, target: &ScriptedTarget) {
    let body = "b".repeat(BODY_BYTES);
    let before = received_requests(target).len();
    let mut running = Vec::new();
    for id in ["a", "b"] {
        let mut caller = Caller::connect(entry.caller_addr).await;
        caller.send("POST", "/once/slow", id, &body).await;
        running.push(caller);
    }
    wait_until("two requests run", || {
        received_requests(target).len() == before + 2
    })
    .await;
    let refused = call(entry.caller_addr, "POST", "/once/third", &body).await;
    assert_eq!(refused.status, 429, "{refused:?}");
    assert!(refused.body.contains("\"executed\":\"no\""), "{refused:?}");
    assert!(refused.headers.contains_key("retry-after"), "{refused:?}");
    assert_eq!(received_requests(target).len(), before + 2);

    for mut caller in running {
        assert_eq!(caller.response().await.expect("a response").status, 200);
    }
    let accepted = call(entry.caller_addr, "POST", "/once/third", &body).await;
    assert_eq!(accepted.status, 200, "{accepted:?}");
}

/// Guards against an entry node that takes more memory than it has, because it does not count the
/// bodies of requests that run.
#[tokio::test]
async fn bodies_of_running_requests_count_at_the_entry_node() {
    let target = ScriptedTarget::start(false, slow_path()).await.unwrap();
    let log = log_with(1);
    let mut node = TestNode::start_with_memory(&log, target.addr(), SMALL_MEMORY_BYTES).await;
    node.serve().await;
    check_refused_while_bodies_are_held(&node, &target).await;

    // Callers that leave free the memory of their requests, too.
    let body = "b".repeat(BODY_BYTES);
    let before = received_requests(&target).len();
    for id in ["c", "d"] {
        let mut caller = Caller::connect(node.caller_addr).await;
        caller.send("POST", "/once/slow", id, &body).await;
        wait_until("the request runs", || {
            received_requests(&target)
                .iter()
                .any(|r| r.header("x-id") == id)
        })
        .await;
    }
    assert_eq!(received_requests(&target).len(), before + 2);
    wait_until("the target has noticed that they left", || {
        target.abandoned_wait_count() >= 2
    })
    .await;
    check_refused_while_bodies_are_held(&node, &target).await;
}

/// Guards against a target-side node that takes more memory than it has, because it does not count
/// the bodies of requests that run.
#[tokio::test]
async fn bodies_of_running_requests_count_at_the_target_side_node() {
    let target = ScriptedTarget::start(false, slow_path()).await.unwrap();
    let idle = ScriptedTarget::start(false, echo_path()).await.unwrap();
    let log = log_with(1);
    let target_side = TestNode::start_with_memory(&log, target.addr(), SMALL_MEMORY_BYTES).await;
    let (entry, _target_side) = start_entry(&log, target_side, &idle).await;
    check_refused_while_bodies_are_held(&entry, &target).await;
}
