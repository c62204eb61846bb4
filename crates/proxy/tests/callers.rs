//! What callers get: routes, limits, refusals under load, and a graceful shutdown.

mod common;

use std::time::Duration;

use common::{
    Caller, HOST, KEY, TestNode, VERSIONS, call, echo, log_with, one, runs, script, table, until,
    whole,
};
use fakes::{FakeKeyedLog, ScriptedTarget, Step};
use member::TargetState;

/// Guards against a 404 for routes that a node does not know yet.
#[tokio::test]
async fn without_a_version_requests_are_refused_as_not_run() {
    let target = ScriptedTarget::start(false, echo()).await.unwrap();
    let log = FakeKeyedLog::default();
    let mut node = TestNode::start(&log, target.addr()).await;
    assert!(!node.is_ready());
    let answer = call(node.callers, "GET", "/safe/1", "").await;
    assert_eq!(answer.status, 503);
    log.put(VERSIONS, KEY, table(7).as_bytes());
    node.serve().await;
    assert_eq!(call(node.callers, "GET", "/safe/1", "").await.status, 200);
    assert_eq!(call(node.callers, "GET", "/none/1", "").await.status, 404);
}

/// Guards against requests that are changed on the way, or carry what only the node may say.
#[tokio::test]
async fn requests_reach_the_target_unchanged() {
    let (node, target) = one(echo()).await;
    let mut caller = Caller::connect(node.callers).await;
    let head = format!(
        "POST /once/a%20b?q=1&r=%2F HTTP/1.1\r\nHost: {HOST}\r\nX-Id: r1\r\nX-Left: 1500\r\n\
         X-Caller: forged\r\nX-Expects: forged\r\nX-Own: kept\r\nConnection: keep-alive, x-hop\r\n\
         X-Hop: dropped\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    caller.write(head.as_bytes()).await;
    caller
        .write(b"5\r\nhello\r\n6\r\n world\r\n0\r\n\r\n")
        .await;
    assert_eq!(caller.answer().await.unwrap().status, 200);
    let seen = &runs(&target)[0];
    assert_eq!(
        (seen.method.as_str(), seen.path.as_str()),
        ("POST", "/once/a%20b?q=1&r=%2F")
    );
    assert_eq!(seen.body, b"hello world");
    assert_eq!(seen.header("host"), HOST);
    assert_eq!(seen.header("x-id"), "r1");
    assert_eq!(seen.header("x-own"), "kept");
    assert_eq!(seen.header("x-caller"), "desk");
    assert_ne!(seen.header("x-expects"), "forged");
    assert_eq!(seen.header("x-hop"), "");
    assert_eq!(seen.header("transfer-encoding"), "");
}

/// Guards against a request hidden in another one's body.
#[tokio::test]
async fn a_request_within_a_body_is_not_run() {
    let (node, target) = one(echo()).await;
    let inner = format!("GET /safe/smuggled HTTP/1.1\r\nhost: {HOST}\r\nx-id: s\r\n\r\n");
    let mut caller = Caller::connect(node.callers).await;
    let head = format!(
        "POST /once/1 HTTP/1.1\r\nhost: {HOST}\r\nx-id: r\r\nx-left: 1500\r\n\
         content-length: 4\r\ntransfer-encoding: chunked\r\n\r\n{:x}\r\n{inner}\r\n0\r\n\r\n",
        inner.len()
    );
    caller.write(head.as_bytes()).await;
    caller.answer().await;
    tokio::time::sleep(Duration::from_millis(50)).await;
    assert!(runs(&target).iter().all(|r| r.path == "/once/1"));
}

/// Guards against bodies that exhaust the node's memory.
#[tokio::test]
async fn a_body_over_the_limit_is_refused() {
    let (node, target) = one(echo()).await;
    let mut caller = Caller::connect(node.callers).await;
    let head = format!(
        "POST /once/1 HTTP/1.1\r\nhost: {HOST}\r\nx-id: r\r\ncontent-length: 1048577\r\n\r\n"
    );
    caller.write(head.as_bytes()).await;
    assert_eq!(caller.answer().await.unwrap().status, 413);
    assert!(runs(&target).is_empty());
}

/// Plays the load of a full target: 40 requests at once for one slot of 50 ms, of which about
/// 40 can be served in 2 s. Guards against refusals of requests that have reached the target, and
/// against a queue that answers late what it could refuse at once.
#[tokio::test]
async fn under_load_the_refused_have_not_run_and_the_rest_is_whole() {
    let target = ScriptedTarget::start(
        false,
        script(|req| {
            vec![
                Step::Wait(Duration::from_millis(50)),
                Step::Send(whole(req, &req.path)),
            ]
        }),
    )
    .await
    .unwrap();
    let mut node = TestNode::start(&log_with(1), target.addr()).await;
    until("a version is in force", || node.is_ready()).await;
    node.report_as("desk", 1, TargetState::Ready);
    node.report_as("desk", 1, TargetState::Ready);
    let mut callers = tokio::task::JoinSet::new();
    for i in 0..80 {
        let addr = node.callers;
        callers.spawn(async move {
            let start = std::time::Instant::now();
            let answer = call(addr, "POST", &format!("/once/{i}"), "x").await;
            (answer, start.elapsed())
        });
    }
    let answers = callers.join_all().await;
    let served = answers.iter().filter(|(a, _)| a.status == 200).count();
    let refused: Vec<_> = answers.iter().filter(|(a, _)| a.status != 200).collect();
    assert!((20..=40).contains(&served), "{served} served");
    for (answer, took) in refused {
        assert!(matches!(answer.status, 429 | 503), "{answer:?}");
        // A caller with less than 150 ms left can't honour the shortest advice.
        let advised = answer.headers.contains_key("retry-after");
        assert!(
            advised || *took > Duration::from_millis(1_300),
            "{answer:?} after {took:?}"
        );
    }
    assert_eq!(runs(&target).len(), served);
}

/// Guards against requests that are cut, lost or doubled around a stop, and tasks that stay.
#[tokio::test]
async fn a_stop_cuts_nothing_in_progress() {
    let (node, target) = one(script(|req| {
        vec![
            Step::Wait(Duration::from_millis(600)),
            Step::Send(whole(req, &req.path)),
        ]
    }))
    .await;
    let addr = node.callers;
    let mut kept = Caller::connect(addr).await;
    kept.send("POST", "/once/kept", "k", "x").await;
    assert_eq!(kept.answer().await.unwrap().status, 200);
    let stopping = tokio::spawn(node.stop());
    tokio::time::sleep(Duration::from_millis(100)).await;
    kept.send("POST", "/once/during", "d", "x").await;
    let answer = kept.answer().await.expect("a whole answer");
    assert_eq!((answer.status, answer.body.as_str()), (200, "/once/during"));
    tokio::time::timeout(Duration::from_secs(2), stopping)
        .await
        .expect("the node stops within its grace period")
        .unwrap();
    assert!(kept.is_closed_within(Duration::from_millis(200)).await);
    assert_eq!(runs(&target).len(), 2);
}

/// Guards against a leaving node that still gets work of other nodes.
#[tokio::test]
async fn other_nodes_send_no_work_to_a_node_that_leaves() {
    let log = log_with(1);
    let slow = || {
        script(|req| {
            vec![
                Step::Wait(Duration::from_millis(20)),
                Step::Send(whole(req, &req.path)),
            ]
        })
    };
    let (near, far) = (
        ScriptedTarget::start(false, slow()).await.unwrap(),
        ScriptedTarget::start(false, slow()).await.unwrap(),
    );
    let mut entry = TestNode::start(&log, near.addr()).await;
    let mut leaving = TestNode::start(&log, far.addr()).await;
    entry.serve().await;
    leaving.serve().await;
    until("both nodes are known", || {
        let text = entry.node.as_ref().unwrap().handle().metrics_text();
        text.contains("member_live 2")
    })
    .await;
    for round in 0..20 {
        let mut callers = tokio::task::JoinSet::new();
        for i in 0..8 {
            let addr = entry.callers;
            callers
                .spawn(async move { call(addr, "GET", &format!("/safe/{round}-{i}"), "").await });
        }
        callers.join_all().await;
    }
    assert!(!runs(&far).is_empty(), "both targets are used");
    let stopping = tokio::spawn(leaving.stop());
    tokio::time::sleep(Duration::from_millis(150)).await;
    let before = runs(&far).len();
    for i in 0..30 {
        let answer = call(entry.callers, "POST", &format!("/once/{i}"), "x").await;
        assert_eq!(answer.status, 200);
    }
    assert_eq!(runs(&far).len(), before);
    stopping.await.unwrap();
}

/// Guards against callers left without an answer when a stopping node's time is up.
#[tokio::test]
async fn what_is_in_progress_at_the_end_of_a_stop_is_answered() {
    let (node, _target) = one(script(|_| vec![Step::Wait(Duration::from_secs(20))])).await;
    let mut caller = Caller::connect(node.callers).await;
    let stopping = tokio::spawn(node.stop());
    tokio::time::sleep(Duration::from_millis(500)).await;
    caller.send("POST", "/once/1", "r", "x").await;
    let answer = caller
        .answer()
        .await
        .expect("an answer, not a closed connection");
    assert_eq!(answer.status, 504);
    assert!(
        answer.body.contains("\"executed\":\"unknown\""),
        "{}",
        answer.body
    );
    stopping.await.unwrap();
}
