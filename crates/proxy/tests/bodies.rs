//! Large bodies on their way to the node beside the target.

mod common;

use common::{TestNode, call, echo, log_with, runs, until};
use fakes::ScriptedTarget;
use member::TargetState;

/// Guards against bodies that lose a part, mix with another one, or hold up the calls after them:
/// they cross in parts, several at a time.
#[tokio::test]
async fn large_bodies_cross_whole_beside_each_other() {
    let log = log_with(1);
    let target = ScriptedTarget::start(false, echo()).await.unwrap();
    let mut beside = TestNode::start(&log, target.addr()).await;
    beside.serve().await;
    let idle = ScriptedTarget::start(false, echo()).await.unwrap();
    let link = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = link.local_addr().unwrap();
    drop(link);
    let mut entry = TestNode::start_at(&log, idle.addr(), addr, "view").await;
    until("a version is in force", || entry.is_ready()).await;
    entry.report_as("view", 4, TargetState::Ready);
    // Connections between nodes take a moment.
    while call(entry.callers, "GET", "/safe/first", "").await.status != 200 {}

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
