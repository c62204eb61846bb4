//! Targets that break the rules of HTTP, lose answers, refuse, or are another one.

mod common;

use std::time::Duration;

use common::{Answer, Caller, TestNode, call, echo, log_with, one, runs, script, until, whole};
use fakes::{ScriptedTarget, SeenRequest, Step};
use member::TargetState;

fn raw(text: String) -> Vec<Step> {
    vec![Step::Send(text.into_bytes())]
}

/// Spoils the first answer only, so that a repeat can be told from a first run.
fn spoil_first(
    spoilt: impl Fn(&SeenRequest) -> Vec<Step> + Send + Sync + 'static,
) -> std::sync::Arc<fakes::Script> {
    let first = std::sync::atomic::AtomicBool::new(true);
    script(move |req| {
        if first.swap(false, std::sync::atomic::Ordering::SeqCst) {
            return spoilt(req);
        }
        vec![Step::Send(whole(req, &req.path))]
    })
}

type Spoil = fn(&SeenRequest) -> Vec<Step>;

/// Answers that are not a whole answer to the request, and leave open whether it has run.
fn unknown_outcomes() -> Vec<(&'static str, Spoil)> {
    vec![
        ("reset without an answer", |_| vec![Step::Reset]),
        ("closed without an answer", |_| vec![Step::Close]),
        ("cut within the body", |req| {
            let mut answer = whole(req, "0123456789");
            answer.truncate(answer.len() - 4);
            vec![Step::Send(answer), Step::Close]
        }),
        ("without length and reset", |req| {
            let id = req.header("x-id");
            let head = format!("HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-proof: p\r\n\r\nabc");
            vec![
                Step::Send(head.into_bytes()),
                Step::Wait(Duration::from_millis(50)),
                Step::Reset,
            ]
        }),
        ("not HTTP", |_| raw("\0\0garbage\r\n\r\n".into())),
        ("success without proof", |req| {
            let id = req.header("x-id");
            raw(format!(
                "HTTP/1.1 200 OK\r\nx-id: {id}\r\ncontent-length: 2\r\n\r\nok"
            ))
        }),
        ("another request's answer", |_| {
            raw(
                "HTTP/1.1 200 OK\r\nx-id: other\r\nx-proof: p\r\ncontent-length: 2\r\n\r\nno"
                    .into(),
            )
        }),
        ("an encoded body", |req| {
            let id = req.header("x-id");
            raw(format!(
                "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-proof: p\r\ncontent-encoding: gzip\r\n\
                 content-length: 2\r\n\r\nok"
            ))
        }),
        ("503 without the word that it has not run", |req| {
            let id = req.header("x-id");
            raw(format!(
                "HTTP/1.1 503 Busy\r\nx-id: {id}\r\ncontent-length: 0\r\n\r\n"
            ))
        }),
    ]
}

/// Guards against a second run of a request that must not be repeated, and against a status that
/// promises that it has not run.
#[tokio::test]
async fn an_unknown_outcome_is_never_repeated_nor_promised() {
    for (what, spoil) in unknown_outcomes() {
        let (node, target) = one(spoil_first(spoil)).await;
        let answer = call(node.callers, "POST", "/once/1", "x").await;
        assert!(matches!(answer.status, 502 | 504), "{what}: {answer:?}");
        assert_eq!(runs(&target).len(), 1, "{what}");
    }
}

/// Guards against callers who are refused although the request may run again, and against an
/// answer that is passed on broken.
#[tokio::test]
async fn a_repeatable_request_is_repeated_at_another_target() {
    for (what, spoil) in unknown_outcomes() {
        let log = log_with(1);
        let bad = ScriptedTarget::start(false, spoil_first(spoil))
            .await
            .unwrap();
        let good = ScriptedTarget::start(false, echo()).await.unwrap();
        let mut a = TestNode::start(&log, bad.addr()).await;
        let mut b = TestNode::start(&log, good.addr()).await;
        a.serve().await;
        let answer = call(a.callers, "GET", "/safe/1", "").await;
        assert_eq!(answer.status, 502, "{what}: no other target is known yet");
        b.serve().await;
        until("the other target is known", || {
            a.node
                .as_ref()
                .unwrap()
                .handle()
                .metrics_text()
                .contains("member_live 2")
        })
        .await;
        // The first answer is spoilt once; from now on both targets answer.
        let answer = call(a.callers, "GET", "/safe/2", "").await;
        assert_eq!(
            (answer.status, answer.body.as_str()),
            (200, "/safe/2"),
            "{what}"
        );
    }
}

/// Guards against bytes after an answer that are taken for the next request's answer.
#[tokio::test]
async fn an_extra_answer_belongs_to_no_request() {
    for delay in [0, 5, 30] {
        let (node, target) = one(script(move |req| {
            let answer = whole(req, &req.path);
            vec![
                Step::Send(answer.clone()),
                Step::Wait(Duration::from_millis(delay)),
                Step::Send(answer),
            ]
        }))
        .await;
        for i in 0..12 {
            let path = format!("/safe/{i}");
            let answer = call(node.callers, "GET", &path, "").await;
            if answer.status == 200 {
                assert_eq!(answer.body, path);
            }
        }
        assert!(!runs(&target).is_empty());
    }
}

/// Guards against a cut answer without a length that is passed on, and a whole one that is not.
#[tokio::test]
async fn an_answer_may_end_with_its_connection() {
    let (node, _target) = one(script(|req| {
        let id = req.header("x-id");
        let answer = format!("HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-proof: p\r\n\r\nwhole");
        vec![Step::Send(answer.into_bytes()), Step::Close]
    }))
    .await;
    let answer = call(node.callers, "POST", "/once/1", "x").await;
    assert_eq!((answer.status, answer.body.as_str()), (200, "whole"));
}

/// Guards against bytes of the next request where the rest of a body is due: the target answers
/// before it has read the body, and reads on later on the same connection.
#[tokio::test]
async fn an_early_answer_leaves_the_rest_of_the_body_in_order() {
    let early = script(|req| {
        let id = req.header("x-id");
        raw(format!(
            "HTTP/1.1 503 Busy\r\nx-id: {id}\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n"
        ))
    });
    let target = ScriptedTarget::start(true, early).await.unwrap();
    let mut node = TestNode::start(&log_with(1), target.addr()).await;
    node.serve().await;
    let body = "b".repeat(400_000);
    for _ in 0..4 {
        let answer = call(node.callers, "POST", "/once/1", &body).await;
        assert!(matches!(answer.status, 429 | 503), "{}", answer.status);
    }
    for seen in runs(&target) {
        assert_eq!(
            (seen.method.as_str(), seen.path.as_str()),
            ("POST", "/once/1")
        );
    }
}

fn shed(req: &SeenRequest) -> Vec<Step> {
    let id = req.header("x-id");
    raw(format!(
        "HTTP/1.1 503 Busy\r\nx-id: {id}\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n"
    ))
}

/// Guards against more targets a request than its route allows, and against a refusal that is lost
/// when each target says that it has not run the request.
#[tokio::test]
async fn what_targets_have_not_run_is_refused_as_not_run() {
    let (node, target) = one(script(shed)).await;
    let answer = call(node.callers, "POST", "/once/1", "x").await;
    assert!(matches!(answer.status, 429 | 503), "{answer:?}");
    assert!(
        answer.body.contains("\"executed\":\"no\""),
        "{}",
        answer.body
    );
    assert!(runs(&target).len() <= 3);
}

/// Guards against work for the target that took over an address.
#[tokio::test]
async fn another_target_at_the_address_is_not_used() {
    let (node, target) = one(script(|_| {
        raw("HTTP/1.1 421 Misdirected\r\nx-target: other\r\ncontent-length: 0\r\n\r\n".into())
    }))
    .await;
    let first = call(node.callers, "POST", "/once/1", "x").await;
    assert!(matches!(first.status, 429 | 503), "{first:?}");
    assert!(!runs(&target)[0].header("x-expects").is_empty());
    let second = call(node.callers, "POST", "/once/2", "x").await;
    assert_eq!(second.status, 503);
    assert_eq!(runs(&target).len(), 1);
}

/// Guards against a refusal that is not sent while the target takes no connections, and against
/// a target that is not used again when it is back.
#[tokio::test]
async fn a_target_that_is_down_is_refused_for_as_not_run() {
    let free = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = free.local_addr().unwrap();
    drop(free);
    let mut node = TestNode::start(&log_with(1), addr).await;
    node.serve().await;
    let answer = call(node.callers, "POST", "/once/1", "x").await;
    assert_eq!(answer.status, 503, "{answer:?}");
    assert!(answer.body.contains("\"executed\":\"no\""));
}

/// Guards against work for a target after its leaving was acknowledged.
#[tokio::test]
async fn a_leaving_target_gets_no_new_work() {
    let (mut node, target) = one(echo()).await;
    assert_eq!(call(node.callers, "GET", "/safe/1", "").await.status, 200);
    node.report(TargetState::Draining);
    let before = runs(&target).len();
    let Answer { status, .. } = call(node.callers, "GET", "/safe/2", "").await;
    assert_eq!(status, 503);
    node.report(TargetState::Ready);
    assert_eq!(call(node.callers, "GET", "/safe/3", "").await.status, 503);
    assert_eq!(runs(&target).len(), before);
}

/// Guards against requests on connections that the target has dropped without notice.
#[tokio::test]
async fn a_forgotten_connection_costs_repeatable_requests_nothing() {
    let (node, target) = one(script(|req| {
        vec![
            Step::Send(whole(req, &req.path)),
            Step::Wait(Duration::from_millis(30)),
            Step::Reset,
        ]
    }))
    .await;
    for i in 0..10 {
        let path = format!("/safe/{i}");
        let answer = call(node.callers, "GET", &path, "").await;
        assert_eq!((answer.status, answer.body.as_str()), (200, path.as_str()));
        tokio::time::sleep(Duration::from_millis(10 * i)).await;
    }
    let mut ids: Vec<_> = runs(&target)
        .iter()
        .map(|r| r.header("x-id").to_owned())
        .collect();
    ids.sort();
    ids.dedup();
    assert_eq!(ids.len(), 10);
}

/// Guards against a target that is given more time than the caller has left.
#[tokio::test]
async fn the_target_is_told_what_time_is_left() {
    let (node, target) = one(echo()).await;
    call(node.callers, "GET", "/safe/1", "").await;
    call(node.callers, "GET", "/short/1", "").await;
    let left: Vec<u64> = runs(&target)
        .iter()
        .map(|r| r.header("x-left").parse().unwrap())
        .collect();
    assert!(left[0] <= 1_500 && left[0] > 1_000, "{left:?}");
    assert!(left[1] <= 300, "{left:?}");
}

/// Guards against a caller who waits beyond the route's timeout.
#[tokio::test]
async fn the_routes_timeout_ends_a_request() {
    let (node, target) = one(script(|_| vec![Step::Wait(Duration::from_secs(20))])).await;
    let start = std::time::Instant::now();
    let answer = call(node.callers, "GET", "/short/1", "").await;
    assert_eq!(answer.status, 504);
    assert!(
        start.elapsed() < Duration::from_millis(800),
        "{:?}",
        start.elapsed()
    );
    until("the target is told", || target.abandoned() > 0).await;
}

/// Guards against work that goes on after its caller has left, over one hop.
#[tokio::test]
async fn a_caller_that_leaves_ends_the_work_at_the_target() {
    let log = log_with(1);
    let slow = script(|_| vec![Step::Wait(Duration::from_secs(20))]);
    let target = ScriptedTarget::start(false, slow).await.unwrap();
    let idle = ScriptedTarget::start(false, echo()).await.unwrap();
    let mut beside = TestNode::start(&log, target.addr()).await;
    let entry = TestNode::start(&log, idle.addr()).await;
    beside.serve().await;
    until("the entry is ready", || entry.is_ready()).await;
    let mut sent = false;
    for _ in 0..100 {
        let mut caller = Caller::connect(entry.callers).await;
        caller.send("GET", "/safe/1", "r", "").await;
        tokio::time::sleep(Duration::from_millis(50)).await;
        sent = !runs(&target).is_empty();
        drop(caller);
        if sent {
            break;
        }
    }
    assert!(sent, "the request reached the target");
    let start = std::time::Instant::now();
    until("the target's connection is closed", || {
        target.abandoned() > 0
    })
    .await;
    assert!(start.elapsed() < Duration::from_millis(500));
}

/// Guards against callers who wait for a straggler or a lost answer while another target is free,
/// and against a second run of what must not be repeated.
#[tokio::test]
async fn a_straggler_is_hedged_only_where_a_repeat_is_allowed() {
    let log = log_with(1);
    let hangs = script(|_| vec![Step::Wait(Duration::from_secs(20))]);
    let straggler = ScriptedTarget::start(false, hangs).await.unwrap();
    // Slower than a target of which nothing is known, so that the straggler is chosen at first.
    let slow = script(|req| {
        vec![
            Step::Wait(Duration::from_millis(120)),
            Step::Send(whole(req, &req.path)),
        ]
    });
    let good = ScriptedTarget::start(false, slow).await.unwrap();
    let mut beside_straggler = TestNode::start(&log, straggler.addr()).await;
    let mut beside_good = TestNode::start(&log, good.addr()).await;
    beside_straggler.serve().await;
    beside_good.serve().await;
    until("both nodes are known", || {
        let handle = beside_straggler.node.as_ref().unwrap().handle();
        handle.metrics_text().contains("member_live 2")
    })
    .await;
    let mut hedged = 0;
    for i in 0..20 {
        let sent = runs(&straggler).len();
        let answer = call(beside_straggler.callers, "GET", &format!("/safe/{i}"), "").await;
        if answer.status == 200 && runs(&straggler).len() > sent {
            hedged += 1;
            break;
        }
    }
    assert!(hedged > 0, "an answer came although the first target hung");
    for i in 0..6 {
        let path = format!("/once/{i}");
        call(beside_straggler.callers, "POST", &path, "x").await;
        let all = runs(&straggler).into_iter().chain(runs(&good));
        assert!(all.filter(|r| r.path == path).count() <= 1, "{path}");
    }
}
