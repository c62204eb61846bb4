//! Large bodies on their way to the node beside the target.

mod common;

use std::time::Duration;

use common::{Caller, TestNode, call, echo, log_with, runs, until};
use fakes::ScriptedTarget;
use member::TargetState;

/// An entry node of the service `view` that reaches `target` beside another node.
async fn pair(target: &ScriptedTarget, idle: &ScriptedTarget) -> (TestNode, TestNode) {
    let log = log_with(1);
    let mut beside = TestNode::start(&log, target.addr()).await;
    beside.serve().await;
    let link = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = link.local_addr().unwrap();
    drop(link);
    let mut entry = TestNode::start_at(&log, idle.addr(), addr, "view").await;
    until("a version is in force", || entry.is_ready()).await;
    entry.report_as("view", 4, TargetState::Ready);
    // Connections between nodes take a moment.
    while call(entry.callers, "GET", "/safe/first", "").await.status != 200 {}
    (entry, beside)
}

/// Guards against bodies that lose a part, mix with another one, or hold up the calls after them:
/// they cross in parts, several at a time.
#[tokio::test]
async fn large_bodies_cross_whole_beside_each_other() {
    let target = ScriptedTarget::start(false, echo()).await.unwrap();
    let idle = ScriptedTarget::start(false, echo()).await.unwrap();
    let (entry, _beside) = pair(&target, &idle).await;

    let body = |i: usize| (0..100_000 + i).map(move |b| char::from(b'a' + ((b + i) % 23) as u8));
    let bodies: Vec<String> = (0..4).map(|i| body(i).collect()).collect();
    let calls = bodies.iter().enumerate().map(|(i, b)| {
        let (callers, b) = (entry.callers, b.clone());
        tokio::spawn(async move { call(callers, "POST", &format!("/once/{i}"), &b).await })
    });
    for answer in calls.collect::<Vec<_>>() {
        assert_eq!(answer.await.unwrap().status, 200);
    }
    let seen = runs(&target);
    for (i, body) in bodies.iter().enumerate() {
        let path = format!("/once/{i}");
        let run: Vec<_> = seen.iter().filter(|r| r.path == path).collect();
        assert_eq!(run.len(), 1, "{path}");
        assert!(run[0].body == body.as_bytes(), "{path} has another body");
    }
}

/// Guards against bodies of callers that have left, which count as on the way and keep others out.
#[tokio::test]
async fn bodies_of_callers_that_left_make_room() {
    let target = ScriptedTarget::start(false, echo()).await.unwrap();
    let idle = ScriptedTarget::start(false, echo()).await.unwrap();
    let (entry, _beside) = pair(&target, &idle).await;
    let body = "b".repeat(900_000);
    for i in 0..40 {
        let mut caller = Caller::connect(entry.callers).await;
        caller
            .send("POST", "/once/left", &format!("left{i}"), &body)
            .await;
        // The body crosses for some milliseconds; the callers leave at different moments of that.
        tokio::time::sleep(Duration::from_micros(i * 150)).await;
    }
    tokio::time::sleep(Duration::from_millis(300)).await;
    let answers = (0..8).map(|i| {
        let (callers, body) = (entry.callers, body.clone());
        tokio::spawn(async move { call(callers, "POST", &format!("/once/{i}"), &body).await })
    });
    for answer in answers.collect::<Vec<_>>() {
        assert_eq!(answer.await.unwrap().status, 200);
    }
}
