//! Requests as callers see them: routes, limits, refusals under load, and graceful shutdown.

mod common;

use std::time::Duration;

use common::{
    Caller, HOST, TestNode, VERSION_KEY, VERSION_STREAM, call, config_text, echo_path, log_with,
    ok_response, received_requests, script, start_node, wait_until,
};
use fakes::{FakeKeyedLog, ScriptedTarget, Step};
use member::TargetState;

/// Guards against a 404 for valid routes: a node without a version has no routing table yet, and
/// must refuse the request as not run instead.
#[tokio::test]
async fn without_a_version_requests_are_refused_as_not_run() {
    let target = ScriptedTarget::start(false, echo_path()).await.unwrap();
    let log = FakeKeyedLog::default();
    let mut node = TestNode::start(&log, target.addr()).await;
    assert!(!node.is_ready());
    let response = call(node.caller_addr, "GET", "/safe/1", "").await;
    assert_eq!(response.status, 503);
    log.put(VERSION_STREAM, VERSION_KEY, config_text(7).as_bytes());
    node.serve().await;
    assert_eq!(
        call(node.caller_addr, "GET", "/safe/1", "").await.status,
        200
    );
    assert_eq!(
        call(node.caller_addr, "GET", "/none/1", "").await.status,
        404
    );
}

/// Guards against requests that are altered in transit, and against forged headers of the kinds
/// that only a node may set.
#[tokio::test]
async fn requests_reach_the_target_unchanged() {
    let (node, target) = start_node(echo_path()).await;
    let mut caller = Caller::connect(node.caller_addr).await;
    let head = format!(
        "POST /once/a%20b?q=1&r=%2F HTTP/1.1\r\nHost: {HOST}\r\nX-Id: r1\r\nX-Left: 1500\r\n\
         X-Caller: forged\r\nX-Expects: forged\r\nX-Own: kept\r\nConnection: keep-alive, x-hop\r\n\
         X-Hop: dropped\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    caller.write(head.as_bytes()).await;
    caller
        .write(b"5\r\nhello\r\n6\r\n world\r\n0\r\n\r\n")
        .await;
    assert_eq!(caller.response().await.unwrap().status, 200);
    let received = &received_requests(&target)[0];
    assert_eq!(
        (received.method.as_str(), received.path.as_str()),
        ("POST", "/once/a%20b?q=1&r=%2F")
    );
    assert_eq!(received.body, b"hello world");
    assert_eq!(received.header("host"), HOST);
    assert_eq!(received.header("x-id"), "r1");
    assert_eq!(received.header("x-own"), "kept");
    assert_eq!(received.header("x-caller"), "desk");
    assert_ne!(received.header("x-expects"), "forged");
    assert_eq!(received.header("x-hop"), "");
    assert_eq!(received.header("transfer-encoding"), "");
}

/// Guards against request smuggling: a body with both a length and chunked encoding contains a
/// second request.
#[tokio::test]
async fn a_smuggled_request_is_not_run() {
    let (node, target) = start_node(echo_path()).await;
    let inner = format!("GET /safe/smuggled HTTP/1.1\r\nhost: {HOST}\r\nx-id: s\r\n\r\n");
    let mut caller = Caller::connect(node.caller_addr).await;
    let head = format!(
        "POST /once/1 HTTP/1.1\r\nhost: {HOST}\r\nx-id: r\r\nx-left: 1500\r\n\
         content-length: 4\r\ntransfer-encoding: chunked\r\n\r\n{:x}\r\n{inner}\r\n0\r\n\r\n",
        inner.len()
    );
    caller.write(head.as_bytes()).await;
    caller.response().await;
    tokio::time::sleep(Duration::from_millis(50)).await;
    assert!(
        received_requests(&target)
            .iter()
            .all(|r| r.path == "/once/1")
    );
}

/// Guards against bodies that exhaust the node's memory: a body declared one byte over the limit is
/// refused before it is read.
#[tokio::test]
async fn a_body_over_the_limit_is_refused() {
    let (node, target) = start_node(echo_path()).await;
    let mut caller = Caller::connect(node.caller_addr).await;
    let head = format!(
        "POST /once/1 HTTP/1.1\r\nhost: {HOST}\r\nx-id: r\r\ncontent-length: 1048577\r\n\r\n"
    );
    caller.write(head.as_bytes()).await;
    assert_eq!(caller.response().await.unwrap().status, 413);
    assert!(received_requests(&target).is_empty());
}

/// Guards against refusals of requests that have reached the target, and against refusals without a
/// Retry-After while the caller has time for a retry. The target is overloaded: 80 requests arrive
/// at once for one slot of 50 ms, which can serve about 40 of them in 2 s.
#[tokio::test]
async fn requests_refused_under_overload_have_not_run() {
    let target = ScriptedTarget::start(
        false,
        script(|req| {
            vec![
                Step::Wait(Duration::from_millis(50)),
                Step::Send(ok_response(req, &req.path)),
            ]
        }),
    )
    .await
    .unwrap();
    let mut node = TestNode::start(&log_with(1), target.addr()).await;
    wait_until("a version is in force", || node.is_ready()).await;
    node.report_as("desk", 1, TargetState::Ready).await;
    node.report_as("desk", 1, TargetState::Ready).await;
    let mut callers = tokio::task::JoinSet::new();
    for i in 0..80 {
        let addr = node.caller_addr;
        callers.spawn(async move {
            let start = std::time::Instant::now();
            let response = call(addr, "POST", &format!("/once/{i}"), "x").await;
            (response, start.elapsed())
        });
    }
    let responses = callers.join_all().await;
    let served = responses.iter().filter(|(r, _)| r.status == 200).count();
    let refused: Vec<_> = responses.iter().filter(|(r, _)| r.status != 200).collect();
    assert!((20..=40).contains(&served), "{served} served");
    for (response, elapsed) in refused {
        assert!(matches!(response.status, 429 | 503), "{response:?}");
        // A caller with less than 150 ms remaining can't use even the shortest retry delay.
        let has_retry_after = response.headers.contains_key("retry-after");
        assert!(
            has_retry_after || *elapsed > Duration::from_millis(1_300),
            "{response:?} after {elapsed:?}"
        );
    }
    assert_eq!(received_requests(&target).len(), served);
}

/// Guards against requests that are cut off, lost or run twice during a shutdown, and against tasks
/// that outlive the grace period.
#[tokio::test]
async fn shutdown_completes_requests_in_progress() {
    let (node, target) = start_node(script(|req| {
        vec![
            Step::Wait(Duration::from_millis(600)),
            Step::Send(ok_response(req, &req.path)),
        ]
    }))
    .await;
    let addr = node.caller_addr;
    let mut caller = Caller::connect(addr).await;
    caller.send("POST", "/once/kept", "k", "x").await;
    assert_eq!(caller.response().await.unwrap().status, 200);
    let shutdown = tokio::spawn(node.stop());
    tokio::time::sleep(Duration::from_millis(100)).await;
    caller.send("POST", "/once/during", "d", "x").await;
    let response = caller.response().await.expect("a complete response");
    assert_eq!(
        (response.status, response.body.as_str()),
        (200, "/once/during")
    );
    tokio::time::timeout(Duration::from_secs(2), shutdown)
        .await
        .expect("the node stops within its grace period")
        .unwrap();
    assert!(caller.is_closed_within(Duration::from_millis(200)).await);
    assert_eq!(received_requests(&target).len(), 2);
}

/// Guards against requests that other nodes send to a node that is shutting down.
#[tokio::test]
async fn other_nodes_send_no_requests_to_a_node_that_shuts_down() {
    let log = log_with(1);
    let slow = || {
        script(|req| {
            vec![
                Step::Wait(Duration::from_millis(20)),
                Step::Send(ok_response(req, &req.path)),
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
    wait_until("both nodes are known", || {
        let text = entry.node.as_ref().unwrap().handle().metrics_text();
        text.contains("member_live 2")
    })
    .await;
    for round in 0..20 {
        let mut callers = tokio::task::JoinSet::new();
        for i in 0..8 {
            let addr = entry.caller_addr;
            callers
                .spawn(async move { call(addr, "GET", &format!("/safe/{round}-{i}"), "").await });
        }
        callers.join_all().await;
    }
    assert!(!received_requests(&far).is_empty(), "both targets are used");
    let shutdown = tokio::spawn(leaving.stop());
    tokio::time::sleep(Duration::from_millis(150)).await;
    let before = received_requests(&far).len();
    for i in 0..30 {
        let response = call(entry.caller_addr, "POST", &format!("/once/{i}"), "x").await;
        assert_eq!(response.status, 200);
    }
    assert_eq!(received_requests(&far).len(), before);
    shutdown.await.unwrap();
}

/// Guards against connections closed without a response at the end of the grace period: requests in
/// progress get an error response that says that their outcome is unknown.
#[tokio::test]
async fn requests_in_progress_at_the_end_of_shutdown_get_a_response() {
    let (node, _target) = start_node(script(|_| vec![Step::Wait(Duration::from_secs(20))])).await;
    let mut caller = Caller::connect(node.caller_addr).await;
    let shutdown = tokio::spawn(node.stop());
    tokio::time::sleep(Duration::from_millis(500)).await;
    caller.send("POST", "/once/1", "r", "x").await;
    let response = caller
        .response()
        .await
        .expect("a response, not a closed connection");
    assert_eq!(response.status, 504);
    assert!(
        response.body.contains("\"executed\":\"unknown\""),
        "{}",
        response.body
    );
    shutdown.await.unwrap();
}

/// Guards against a request in progress that a leaving node gives up when the target that runs it
/// ends. Before, the request got 502 at once: hedges had spent the retry budget, or the other
/// instances had no free slot at that moment.
#[tokio::test]
async fn a_leaving_node_sends_a_request_again_whose_target_ends() {
    let ending = script(|req| match req.path.as_str() {
        path if path.starts_with("/safe/cut") => {
            vec![Step::Wait(Duration::from_millis(300)), Step::Reset]
        }
        path => vec![Step::Send(ok_response(req, path))],
    });
    let ending = ScriptedTarget::start(false, ending).await.unwrap();
    let busy = script(|req| {
        let work = if req.path == "/safe/hold" { 700 } else { 0 };
        let response = ok_response(req, &req.path);
        vec![
            Step::Wait(Duration::from_millis(work)),
            Step::Send(response),
        ]
    });
    let busy = ScriptedTarget::start(false, busy).await.unwrap();
    let idle = ScriptedTarget::start(false, echo_path()).await.unwrap();
    let log = log_with(1);
    let mut busy_node = TestNode::start(&log, busy.addr()).await;
    wait_until("a version is in force", || busy_node.is_ready()).await;
    for _ in 0..2 {
        busy_node.report_as("desk", 1, TargetState::Ready).await;
    }
    let mut ending_node = TestNode::start(&log, ending.addr()).await;
    ending_node.serve().await;
    let mut entry = TestNode::start_as(&log, idle.addr(), "view").await;
    entry.serve_as("view").await;
    // The entry node reaches both targets.
    while received_requests(&ending).is_empty() || received_requests(&busy).is_empty() {
        call(entry.caller_addr, "GET", "/safe/first", "").await;
    }
    // Each of the three nodes earns 0.6 tokens of its retry budget a second.
    tokio::time::sleep(Duration::from_millis(2_200)).await;
    let is_at = |target: &ScriptedTarget, path: &str| {
        let received = received_requests(target);
        received.iter().any(|r| r.path == path)
    };
    // The other target has no free slot while the request is sent again.
    let mut holds = tokio::task::JoinSet::new();
    while !is_at(&busy, "/safe/hold") {
        let addr = busy_node.caller_addr;
        holds.spawn(async move { call(addr, "GET", "/safe/hold", "").await.status });
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    // One of the requests is sent to the target that ends.
    let mut callers: Vec<(String, Caller)> = Vec::new();
    while !callers.iter().any(|(path, _)| is_at(&ending, path)) {
        let path = format!("/safe/cut{}", callers.len());
        let mut caller = Caller::connect(entry.caller_addr).await;
        caller.send("GET", &path, &path[1..], "").await;
        callers.push((path, caller));
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let (path, mut caller) = callers.pop().expect("the last request");
    let shutdown = tokio::spawn(entry.stop());
    let response = caller.response().await.expect("a response");
    assert_eq!(
        (response.status, response.body.as_str()),
        (200, path.as_str())
    );
    shutdown.await.unwrap();
}

/// Sends the head of a request with a body of 10 bytes whose caller waits for long.
async fn send_long_head(caller: &mut Caller, path: &str, id: &str) {
    let head = format!(
        "POST {path} HTTP/1.1\r\nhost: a.example\r\nx-id: {id}\r\nx-left: 20000\r\n\
         content-length: 10\r\n\r\n"
    );
    caller.write(head.as_bytes()).await;
}

/// Guards against requests that a leaving node takes late in the grace period, passes on, and cuts off at
/// its end while the target is at work.
#[tokio::test]
async fn a_leaving_node_refuses_requests_that_would_be_cut_off() {
    let (node, target) = start_node(script(|req| {
        vec![
            Step::Wait(Duration::from_millis(900)),
            Step::Send(ok_response(req, &req.path)),
        ]
    }))
    .await;
    let mut kept = Caller::connect(node.caller_addr).await;
    kept.send("POST", "/once/first", "f", "x").await;
    assert_eq!(kept.response().await.unwrap().status, 200);
    let addr = node.caller_addr;
    // The grace period is 2 s, and what runs is cut off after 1.74 s.
    let shutdown = tokio::spawn(node.stop());
    tokio::time::sleep(Duration::from_millis(850)).await;
    let mut new = Caller::connect(addr).await;
    for (caller, id) in [(&mut kept, "k"), (&mut new, "n")] {
        let sent_at = std::time::Instant::now();
        send_long_head(caller, "/once/late", id).await;
        caller.write(b"0123456789").await;
        let response = caller.response().await.expect("a response");
        assert_eq!(response.status, 503, "{response:?}");
        assert!(response.body.contains("\"executed\":\"no\""));
        assert!(sent_at.elapsed() < Duration::from_millis(400));
    }
    shutdown.await.unwrap();
    assert_eq!(received_requests(&target).len(), 1);
}

/// Guards against connections that are closed without an answer at the end of a shutdown, because their
/// request was still being received.
#[tokio::test]
async fn a_leaving_node_refuses_requests_that_come_too_slowly() {
    let (node, target) = start_node(echo_path()).await;
    let mut caller = Caller::connect(node.caller_addr).await;
    send_long_head(&mut caller, "/once/slow", "s").await;
    caller.write(b"01234").await;
    tokio::time::sleep(Duration::from_millis(50)).await;
    let shutdown = tokio::spawn(node.stop());
    let response = caller
        .response()
        .await
        .expect("a response, not a closed connection");
    assert_eq!(response.status, 503, "{response:?}");
    assert!(response.body.contains("\"executed\":\"no\""));
    shutdown.await.unwrap();
    assert!(received_requests(&target).is_empty());
}
