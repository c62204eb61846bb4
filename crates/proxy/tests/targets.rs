//! Targets that violate HTTP, lose responses, refuse requests, die, or have been replaced at their
//! address.

mod common;

use std::time::Duration;

use common::{
    Caller, Response, TestNode, call, earn_retries, echo_path, log_with, ok_response,
    received_requests, script, start_node, wait_until,
};
use fakes::{ReceivedRequest, ScriptedTarget, Step};
use member::TargetState;

fn send_raw(text: String) -> Vec<Step> {
    vec![Step::Send(text.into_bytes())]
}

/// Responds to the first request with `fault` and to later ones normally: if a request is repeated,
/// the caller gets the normal response.
fn fault_first_response(
    fault: impl Fn(&ReceivedRequest) -> Vec<Step> + Send + Sync + 'static,
) -> std::sync::Arc<fakes::Script> {
    let first = std::sync::atomic::AtomicBool::new(true);
    script(move |req| {
        if first.swap(false, std::sync::atomic::Ordering::SeqCst) {
            return fault(req);
        }
        vec![Step::Send(ok_response(req, &req.path))]
    })
}

type FaultScript = fn(&ReceivedRequest) -> Vec<Step>;

/// Faulty responses that leave unknown whether the request has run.
fn faulty_responses() -> Vec<(&'static str, FaultScript)> {
    vec![
        ("reset without a response", |_| vec![Step::Reset]),
        ("closed without a response", |_| vec![Step::Close]),
        ("truncated body", |req| {
            let mut response = ok_response(req, "0123456789");
            response.truncate(response.len() - 4);
            vec![Step::Send(response), Step::Close]
        }),
        ("body without length, then a reset", |req| {
            let id = req.header("x-id");
            let head = format!("HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-proof: p\r\n\r\nabc");
            vec![
                Step::Send(head.into_bytes()),
                Step::Wait(Duration::from_millis(50)),
                Step::Reset,
            ]
        }),
        ("not HTTP", |_| send_raw("\0\0garbage\r\n\r\n".into())),
        ("success without proof", |req| {
            let id = req.header("x-id");
            send_raw(format!(
                "HTTP/1.1 200 OK\r\nx-id: {id}\r\ncontent-length: 2\r\n\r\nok"
            ))
        }),
        ("response with another request id", |_| {
            send_raw(
                "HTTP/1.1 200 OK\r\nx-id: other\r\nx-proof: p\r\ncontent-length: 2\r\n\r\nno"
                    .into(),
            )
        }),
        ("an encoded body", |req| {
            let id = req.header("x-id");
            send_raw(format!(
                "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-proof: p\r\ncontent-encoding: gzip\r\n\
                 content-length: 2\r\n\r\nok"
            ))
        }),
        ("a refusal without proof", |req| {
            let id = req.header("x-id");
            send_raw(format!(
                "HTTP/1.1 404 Not Found\r\nx-id: {id}\r\ncontent-length: 0\r\n\r\n"
            ))
        }),
        ("a refusal without proof and id", |_| {
            send_raw("HTTP/1.1 400 Bad Request\r\ncontent-length: 0\r\n\r\n".into())
        }),
        ("a redirection without proof", |req| {
            let id = req.header("x-id");
            send_raw(format!(
                "HTTP/1.1 302 Found\r\nx-id: {id}\r\nlocation: /\r\ncontent-length: 0\r\n\r\n"
            ))
        }),
        ("503 without the header for not run", |req| {
            let id = req.header("x-id");
            send_raw(format!(
                "HTTP/1.1 503 Busy\r\nx-id: {id}\r\ncontent-length: 0\r\n\r\n"
            ))
        }),
    ]
}

/// Guards against a second run of a request that must not be repeated, and against a status that
/// says that it has not run although the outcome is unknown.
#[tokio::test]
async fn an_unknown_outcome_is_neither_repeated_nor_reported_as_not_run() {
    for (what, fault) in faulty_responses() {
        let (node, target) = start_node(fault_first_response(fault)).await;
        let response = call(node.caller_addr, "POST", "/once/1", "x").await;
        assert!(matches!(response.status, 502 | 504), "{what}: {response:?}");
        assert_eq!(received_requests(&target).len(), 1, "{what}");
    }
}

/// Guards against refusals of requests that could be repeated at another target, and against faulty
/// responses that are forwarded to the caller.
#[tokio::test]
async fn a_repeatable_request_is_repeated_at_another_target() {
    for (what, fault) in faulty_responses() {
        let log = log_with(1);
        let bad = ScriptedTarget::start(false, fault_first_response(fault))
            .await
            .unwrap();
        let good = ScriptedTarget::start(false, echo_path()).await.unwrap();
        let mut a = TestNode::start(&log, bad.addr()).await;
        let mut b = TestNode::start(&log, good.addr()).await;
        a.serve().await;
        let response = call(a.caller_addr, "GET", "/safe/1", "").await;
        assert_eq!(response.status, 502, "{what}: no other target is known yet");
        b.serve().await;
        wait_until("the other target is known", || {
            a.node
                .as_ref()
                .unwrap()
                .handle()
                .metrics_text()
                .contains("member_live 2")
        })
        .await;
        // Only the first response is faulty; from now on both targets respond.
        let response = call(a.caller_addr, "GET", "/safe/2", "").await;
        assert_eq!(
            (response.status, response.body.as_str()),
            (200, "/safe/2"),
            "{what}"
        );
    }
}

/// Guards against surplus bytes after a response that are taken for the response to the next
/// request on the connection.
#[tokio::test]
async fn a_surplus_response_belongs_to_no_request() {
    for delay in [0, 5, 30] {
        let (node, target) = start_node(script(move |req| {
            let response = ok_response(req, &req.path);
            vec![
                Step::Send(response.clone()),
                Step::Wait(Duration::from_millis(delay)),
                Step::Send(response),
            ]
        }))
        .await;
        for i in 0..12 {
            let path = format!("/safe/{i}");
            let response = call(node.caller_addr, "GET", &path, "").await;
            if response.status == 200 {
                assert_eq!(response.body, path);
            }
        }
        assert!(!received_requests(&target).is_empty());
    }
}

/// Guards against the rejection of a complete response without a length, whose end is the close of
/// the connection.
#[tokio::test]
async fn a_response_may_end_with_its_connection() {
    let (node, _target) = start_node(script(|req| {
        let id = req.header("x-id");
        let response = format!("HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-proof: p\r\n\r\nwhole");
        vec![Step::Send(response.into_bytes()), Step::Close]
    }))
    .await;
    let response = call(node.caller_addr, "POST", "/once/1", "x").await;
    assert_eq!((response.status, response.body.as_str()), (200, "whole"));
}

/// Guards against a target that reads the next request as the rest of a body: the target responds
/// before it has read the body, and reads on from the same connection later.
#[tokio::test]
async fn an_early_response_does_not_desynchronise_the_connection() {
    let early = script(|req| {
        let id = req.header("x-id");
        send_raw(format!(
            "HTTP/1.1 503 Busy\r\nx-id: {id}\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n"
        ))
    });
    let target = ScriptedTarget::start(true, early).await.unwrap();
    let mut node = TestNode::start(&log_with(1), target.addr()).await;
    node.serve().await;
    let body = "b".repeat(400_000);
    for _ in 0..4 {
        let response = call(node.caller_addr, "POST", "/once/1", &body).await;
        assert!(matches!(response.status, 429 | 503), "{}", response.status);
    }
    for received in received_requests(&target) {
        assert_eq!(
            (received.method.as_str(), received.path.as_str()),
            ("POST", "/once/1")
        );
    }
}

fn refuse_as_not_run(req: &ReceivedRequest) -> Vec<Step> {
    let id = req.header("x-id");
    send_raw(format!(
        "HTTP/1.1 503 Busy\r\nx-id: {id}\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n"
    ))
}

/// Guards against more attempts than the route allows, and against an outcome reported as unknown
/// although each target has stated that it has not run the request.
#[tokio::test]
async fn a_request_that_no_target_has_run_is_refused_as_not_run() {
    let (node, target) = start_node(script(refuse_as_not_run)).await;
    let response = call(node.caller_addr, "POST", "/once/1", "x").await;
    assert!(matches!(response.status, 429 | 503), "{response:?}");
    assert!(
        response.body.contains("\"executed\":\"no\""),
        "{}",
        response.body
    );
    assert!(received_requests(&target).len() <= 3);
}

/// Guards against requests for a target that run at another one, which has taken over its address.
#[tokio::test]
async fn another_target_at_the_address_is_not_used() {
    let (node, target) = start_node(script(|_| {
        send_raw("HTTP/1.1 421 Misdirected\r\nx-target: other\r\ncontent-length: 0\r\n\r\n".into())
    }))
    .await;
    let first = call(node.caller_addr, "POST", "/once/1", "x").await;
    assert!(matches!(first.status, 429 | 503), "{first:?}");
    assert!(!received_requests(&target)[0].header("x-expects").is_empty());
    let second = call(node.caller_addr, "POST", "/once/2", "x").await;
    assert_eq!(second.status, 503);
    assert_eq!(received_requests(&target).len(), 1);
}

/// Guards against requests that are not refused, or not as not run, while the target accepts no
/// connections.
#[tokio::test]
async fn requests_for_a_target_that_is_down_are_refused_as_not_run() {
    // Bound, but not listening: no other test can take the port.
    let socket = tokio::net::TcpSocket::new_v4().unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let addr = socket.local_addr().unwrap();
    let mut node = TestNode::start(&log_with(1), addr).await;
    node.serve().await;
    let response = call(node.caller_addr, "POST", "/once/1", "x").await;
    assert_eq!(response.status, 503, "{response:?}");
    assert!(response.body.contains("\"executed\":\"no\""));
}

/// Guards against new requests for a target that has reported to be draining, also if it then
/// reports to be ready again.
#[tokio::test]
async fn a_draining_target_gets_no_new_requests() {
    let (mut node, target) = start_node(echo_path()).await;
    assert_eq!(
        call(node.caller_addr, "GET", "/safe/1", "").await.status,
        200
    );
    node.report(TargetState::Draining).await;
    let before = received_requests(&target).len();
    let Response { status, .. } = call(node.caller_addr, "GET", "/safe/2", "").await;
    assert_eq!(status, 503);
    node.report(TargetState::Ready).await;
    assert_eq!(
        call(node.caller_addr, "GET", "/safe/3", "").await.status,
        503
    );
    assert_eq!(received_requests(&target).len(), before);
}

/// Guards against failures of repeatable requests on idle connections that the target has reset
/// without notice.
#[tokio::test]
async fn repeatable_requests_survive_a_reset_idle_connection() {
    let (node, target) = start_node(script(|req| {
        vec![
            Step::Send(ok_response(req, &req.path)),
            Step::Wait(Duration::from_millis(30)),
            Step::Reset,
        ]
    }))
    .await;
    earn_retries().await;
    for i in 0..10 {
        let path = format!("/safe/{i}");
        let response = call(node.caller_addr, "GET", &path, "").await;
        assert_eq!(
            (response.status, response.body.as_str()),
            (200, path.as_str())
        );
        tokio::time::sleep(Duration::from_millis(10 * i)).await;
    }
    let mut ids: Vec<_> = received_requests(&target)
        .iter()
        .map(|r| r.header("x-id").to_owned())
        .collect();
    ids.sort();
    ids.dedup();
    assert_eq!(ids.len(), 10);
}

/// Guards against a deadline for the target that is later than the caller's or the route's.
#[tokio::test]
async fn the_target_gets_the_remaining_time() {
    let (node, target) = start_node(echo_path()).await;
    call(node.caller_addr, "GET", "/safe/1", "").await;
    call(node.caller_addr, "GET", "/short/1", "").await;
    let remaining: Vec<u64> = received_requests(&target)
        .iter()
        .map(|r| r.header("x-left").parse().unwrap())
        .collect();
    assert!(
        remaining[0] <= 1_500 && remaining[0] > 1_000,
        "{remaining:?}"
    );
    assert!(remaining[1] <= 300, "{remaining:?}");
}

/// Guards against a caller that waits beyond the timeout of the route, and against a target that
/// keeps working on the request.
#[tokio::test]
async fn the_timeout_of_the_route_ends_a_request() {
    let (node, target) = start_node(script(|_| vec![Step::Wait(Duration::from_secs(20))])).await;
    let start = std::time::Instant::now();
    let response = call(node.caller_addr, "GET", "/short/1", "").await;
    assert_eq!(response.status, 504);
    assert!(
        start.elapsed() < Duration::from_millis(800),
        "{:?}",
        start.elapsed()
    );
    wait_until("the connection is closed", || {
        target.abandoned_wait_count() > 0
    })
    .await;
}

/// Guards against work that continues at the target after the caller has disconnected from the
/// entry node.
#[tokio::test]
async fn a_caller_disconnect_cancels_the_request_at_the_target() {
    let log = log_with(1);
    let slow = script(|_| vec![Step::Wait(Duration::from_secs(20))]);
    let target = ScriptedTarget::start(false, slow).await.unwrap();
    let idle = ScriptedTarget::start(false, echo_path()).await.unwrap();
    let mut target_side = TestNode::start(&log, target.addr()).await;
    let entry = TestNode::start(&log, idle.addr()).await;
    target_side.serve().await;
    wait_until("the entry node is ready", || entry.is_ready()).await;
    let mut has_arrived = false;
    for _ in 0..100 {
        let mut caller = Caller::connect(entry.caller_addr).await;
        caller.send("GET", "/safe/1", "r", "").await;
        tokio::time::sleep(Duration::from_millis(50)).await;
        has_arrived = !received_requests(&target).is_empty();
        drop(caller);
        if has_arrived {
            break;
        }
    }
    assert!(has_arrived, "the request reached the target");
    let start = std::time::Instant::now();
    wait_until("the target's connection is closed", || {
        target.abandoned_wait_count() > 0
    })
    .await;
    assert!(start.elapsed() < Duration::from_millis(500));
}

/// Guards against callers that wait for a hung target while another one is free, and against hedges
/// of requests that must not be repeated.
#[tokio::test]
async fn a_straggler_is_hedged_only_where_a_repeat_is_allowed() {
    let log = log_with(1);
    let hung = script(|_| vec![Step::Wait(Duration::from_secs(20))]);
    let straggler = ScriptedTarget::start(false, hung).await.unwrap();
    // Slower than the service time assumed for an unknown target, so that the straggler is chosen
    // first.
    let slow = script(|req| {
        vec![
            Step::Wait(Duration::from_millis(120)),
            Step::Send(ok_response(req, &req.path)),
        ]
    });
    let good = ScriptedTarget::start(false, slow).await.unwrap();
    let mut straggler_node = TestNode::start(&log, straggler.addr()).await;
    let mut good_node = TestNode::start(&log, good.addr()).await;
    straggler_node.serve().await;
    good_node.serve().await;
    wait_until("both nodes are known", || {
        let handle = straggler_node.node.as_ref().unwrap().handle();
        handle.metrics_text().contains("member_live 2")
    })
    .await;
    earn_retries().await;
    let mut hedged = 0;
    for i in 0..20 {
        let sent = received_requests(&straggler).len();
        let response = call(straggler_node.caller_addr, "GET", &format!("/safe/{i}"), "").await;
        if response.status == 200 && received_requests(&straggler).len() > sent {
            hedged += 1;
            break;
        }
    }
    assert!(
        hedged > 0,
        "no hedged request got a response from the second target"
    );
    for i in 0..6 {
        let path = format!("/once/{i}");
        call(straggler_node.caller_addr, "POST", &path, "x").await;
        let all = received_requests(&straggler)
            .into_iter()
            .chain(received_requests(&good));
        assert!(all.filter(|r| r.path == path).count() <= 1, "{path}");
    }
}

/// Guards against a route that gets no request served, with slots free, because the requests of another
/// route of its service take longer than its timeout.
#[tokio::test]
async fn a_short_route_beside_a_long_one_is_served() {
    let (node, target) = start_node(script(|req| {
        let work = if req.path.starts_with("/safe") {
            400
        } else {
            10
        };
        vec![
            Step::Wait(Duration::from_millis(work)),
            Step::Send(ok_response(req, &req.path)),
        ]
    }))
    .await;
    for round in 0..10 {
        let mut callers = tokio::task::JoinSet::new();
        for i in 0..3 {
            let addr = node.caller_addr;
            callers
                .spawn(async move { call(addr, "GET", &format!("/safe/{round}-{i}"), "").await });
        }
        for response in callers.join_all().await {
            assert_eq!(response.status, 200, "{response:?}");
        }
    }
    for i in 0..5 {
        let response = call(node.caller_addr, "GET", &format!("/short/{i}"), "").await;
        assert_eq!(response.status, 200, "{response:?}");
    }
    assert_eq!(received_requests(&target).len(), 35);
}

/// Guards against requests that wait at a target behind a body which it has refused and not read yet,
/// so that they reach it after their callers have left; and against a new connection for each upload.
#[tokio::test]
async fn a_connection_with_an_unread_body_carries_no_other_request() {
    let refuses_early = script(|req| {
        if req.path == "/once/refused" {
            let mut steps = refuse_as_not_run(req);
            steps.push(Step::Wait(Duration::from_secs(1)));
            return steps;
        }
        vec![Step::Send(ok_response(req, &req.path))]
    });
    let target = ScriptedTarget::start(true, refuses_early).await.unwrap();
    let mut node = TestNode::start(&log_with(1), target.addr()).await;
    node.serve().await;
    for body in ["x".to_owned(), "b".repeat(100_000)] {
        let seen = received_requests(&target).len();
        for (method, path) in [("POST", "/once/1"), ("POST", "/once/2"), ("GET", "/safe/1")] {
            let response = call(node.caller_addr, method, path, &body).await;
            assert_eq!(response.status, 200, "{path}: {response:?}");
        }
        let refused = call(node.caller_addr, "POST", "/once/refused", &body).await;
        assert!(matches!(refused.status, 429 | 503), "{refused:?}");
        let response = call(node.caller_addr, "GET", "/safe/2", "").await;
        assert_eq!(response.status, 200, "{response:?}");
        let connections: Vec<_> = received_requests(&target)[seen..]
            .iter()
            .map(|r| r.connection)
            .collect();
        let kept = connections[0];
        assert_eq!(connections, [kept, kept, kept, kept, kept + 1]);
    }
}
