//! Requests that a caller sends before the responses to its earlier ones, and shutdowns meanwhile.

mod common;

use std::time::{Duration, Instant};

use common::{
    Caller, HOST, TestNode, ok_response, received_requests, script, start_node, wait_until,
};
use fakes::{ScriptedTarget, Step};

/// Starts a node whose target responds with the request's path after `work`.
async fn start_with_work(work: Duration) -> (TestNode, ScriptedTarget) {
    start_node(script(move |req| {
        vec![Step::Wait(work), Step::Send(ok_response(req, &req.path))]
    }))
    .await
}

/// Guards against pipelined requests that run one after the other, which made most of them late.
#[tokio::test]
async fn pipelined_repeatable_requests_run_concurrently() {
    let work = Duration::from_millis(300);
    let (node, _target) = start_with_work(work).await;
    let mut caller = Caller::connect(node.caller_addr).await;
    let start = Instant::now();
    for i in 0..4 {
        caller
            .send("GET", &format!("/safe/{i}"), &format!("r{i}"), "")
            .await;
    }
    for i in 0..4 {
        let response = caller.response().await.expect("a response");
        assert_eq!(
            (response.status, response.body),
            (200, format!("/safe/{i}"))
        );
    }
    assert!(start.elapsed() < work * 2, "{:?}", start.elapsed());
}

/// Guards against a request that must not be repeated and runs behind one whose response may close
/// the connection: the caller would send it again.
#[tokio::test]
async fn a_request_that_must_not_be_repeated_waits_for_its_turn() {
    let (node, target) = start_with_work(Duration::from_millis(200)).await;
    let mut caller = Caller::connect(node.caller_addr).await;
    caller.send("GET", "/safe/1", "r1", "").await;
    caller.send("POST", "/once/2", "r2", "x").await;
    caller.send("GET", "/safe/3", "r3", "").await;
    wait_until("both repeatable requests run", || {
        received_requests(&target).len() == 2
    })
    .await;
    let paths: Vec<_> = received_requests(&target)
        .into_iter()
        .map(|r| r.path)
        .collect();
    assert!(!paths.contains(&"/once/2".to_owned()), "{paths:?}");
    for path in ["/safe/1", "/once/2", "/safe/3"] {
        assert_eq!(caller.response().await.unwrap().body, path);
    }
    assert_eq!(received_requests(&target).len(), 3);
}

/// Guards against work for a caller that has disconnected, also in requests that wait.
#[tokio::test]
async fn a_disconnect_cancels_all_pipelined_requests() {
    let (node, target) = start_with_work(Duration::from_millis(400)).await;
    let mut caller = Caller::connect(node.caller_addr).await;
    caller.send("GET", "/safe/1", "r1", "").await;
    caller.send("POST", "/once/2", "r2", "x").await;
    wait_until("the first one runs", || {
        received_requests(&target).len() == 1
    })
    .await;
    drop(caller);
    let text = || node.node.as_ref().unwrap().handle().metrics_text();
    wait_until("both are cancelled", || {
        text().contains("cancelled_total 2")
    })
    .await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert_eq!(received_requests(&target).len(), 1);
}

/// Guards against responses that an invalid request behind them takes away.
#[tokio::test]
async fn an_invalid_request_is_refused_after_the_responses_before_it() {
    let (node, _target) = start_with_work(Duration::from_millis(50)).await;
    let mut caller = Caller::connect(node.caller_addr).await;
    caller.send("GET", "/safe/1", "r1", "").await;
    caller
        .write(b"GET /safe/2 HTTP/1.1\r\nhost : h\r\n\r\n")
        .await;
    assert_eq!(caller.response().await.unwrap().status, 200);
    let refusal = caller.response().await.unwrap();
    assert_eq!(refusal.status, 400);
    assert!(refusal.body.contains("\"code\":106"), "{}", refusal.body);
    assert!(caller.is_closed_within(Duration::from_secs(2)).await);
}

/// Guards against pipelined requests that a shutdown cuts off: all that were received are answered,
/// and only the last response announces the close.
#[tokio::test]
async fn shutdown_answers_pipelined_requests() {
    let (node, _target) = start_with_work(Duration::from_millis(600)).await;
    let mut caller = Caller::connect(node.caller_addr).await;
    let shutdown = tokio::spawn(node.stop());
    // The node asks callers to close their connections after 0.8 s.
    tokio::time::sleep(Duration::from_millis(500)).await;
    for i in 0..3 {
        caller
            .send("GET", &format!("/safe/{i}"), &format!("r{i}"), "")
            .await;
    }
    for i in 0..3 {
        let response = caller.response().await.expect("a response");
        assert_eq!(response.status, 200);
        assert_eq!(response.headers.contains_key("connection"), i == 2);
    }
    shutdown.await.unwrap();
}

/// Guards against a response that a shutdown cuts off while a slow caller reads it. Before, a
/// request counted as ended once its response was ready.
#[tokio::test]
async fn shutdown_waits_until_responses_are_read() {
    const BODY_BYTES: usize = 8 << 20;
    let (node, _target) = start_node(script(|req| {
        vec![Step::Send(ok_response(req, &"x".repeat(BODY_BYTES)))]
    }))
    .await;
    let mut caller = Caller::connect(node.caller_addr).await;
    caller.send("GET", "/safe/1", "r1", "").await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    let shutdown = tokio::spawn(node.stop());
    // Requests are refused from 1 s after the shutdown began.
    tokio::time::sleep(Duration::from_millis(1_300)).await;
    let response = caller.response().await.expect("a whole response");
    assert_eq!(response.body.len(), BODY_BYTES);
    shutdown.await.unwrap();
}

/// Guards against connections that end without a response near the end of a shutdown: their callers
/// can't tell whether the request ran.
#[tokio::test]
async fn a_connection_near_the_end_of_a_shutdown_gets_a_refusal() {
    let (node, target) = start_with_work(Duration::from_millis(1_900)).await;
    let addr = node.caller_addr;
    let mut earlier = Caller::connect(addr).await;
    earlier.send("GET", "/safe/1", "r1", "").await;
    let shutdown = tokio::spawn(node.stop());
    tokio::time::sleep(Duration::from_millis(1_300)).await;
    let mut late = Caller::connect(addr).await;
    late.send("POST", "/once/2", "r2", "x").await;
    let refusal = late.response().await.expect("a response");
    assert_eq!(refusal.status, 503);
    assert!(
        refusal.body.contains("\"executed\":\"no\""),
        "{}",
        refusal.body
    );
    shutdown.await.unwrap();
    assert_eq!(received_requests(&target).len(), 1);
}

/// Guards against a request body that a shutdown cuts off half way.
#[tokio::test]
async fn shutdown_waits_for_a_body_that_is_being_received() {
    let (node, _target) = start_with_work(Duration::from_millis(10)).await;
    let mut caller = Caller::connect(node.caller_addr).await;
    let head = format!(
        "POST /once/1 HTTP/1.1\r\nhost: {HOST}\r\nx-id: r\r\nx-left: 1900\r\ncontent-length: 4\r\n\r\nab"
    );
    let shutdown = tokio::spawn(node.stop());
    // The body is complete after the node has begun to refuse new requests.
    tokio::time::sleep(Duration::from_millis(700)).await;
    caller.write(head.as_bytes()).await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    caller.write(b"cd").await;
    let response = caller.response().await.expect("a response");
    assert!(matches!(response.status, 200 | 503), "{response:?}");
    shutdown.await.unwrap();
}

/// Guards against a connection that stands still, with all requests on it, since its caller sends
/// more than is read ahead and reads nothing.
#[tokio::test]
async fn a_caller_that_reads_nothing_does_not_stop_the_timeouts_of_its_requests() {
    const BODY_BYTES: usize = 16 << 20;
    // As much as a connection reads ahead.
    const READ_AHEAD_BYTES: usize = 64 << 10;
    let (node, target) = start_node(script(|req| {
        if req.path.starts_with("/short/") {
            return vec![Step::Wait(Duration::from_secs(5))];
        }
        let response = ok_response(req, &"x".repeat(BODY_BYTES));
        vec![Step::Wait(Duration::from_millis(50)), Step::Send(response)]
    }))
    .await;
    let mut caller = Caller::connect(node.caller_addr).await;
    caller.send("GET", "/safe/large", "r1", "").await;
    caller.send("GET", "/short/slow", "r2", "").await;
    wait_until("both run", || received_requests(&target).len() == 2).await;
    tokio::time::sleep(Duration::from_millis(100)).await;
    let filler = format!("GET /safe/{} HTTP/1.1\r\nhost: h\r\n\r\n", "x".repeat(968));
    let count = READ_AHEAD_BYTES / filler.len();
    // The last bytes are read with the limit reached, so the socket has none left.
    for part in [filler.repeat(count - 4), filler.repeat(8)] {
        caller.write(part.as_bytes()).await;
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    tokio::time::sleep(Duration::from_millis(600)).await;
    // The route's timeout of 300 ms has passed.
    assert_eq!(target.abandoned_wait_count(), 1);
    assert_eq!(caller.response().await.unwrap().body.len(), BODY_BYTES);
}
