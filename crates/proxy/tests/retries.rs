//! The retry budget of a service, over all paths on which a request is sent again.

mod common;

use std::collections::HashSet;
use std::time::Duration;

use common::{
    Caller, TestNode, call, echo_path, log_with, ok_response, received_requests, script,
    start_mesh, wait_until,
};
use fakes::{ReceivedRequest, ScriptedTarget, Step};

/// Retry ratio and slack of the test nodes.
const RATIO: f64 = 0.2;
const SLACK: f64 = 60.0;

fn refuse_as_not_run(req: &ReceivedRequest) -> Vec<Step> {
    let id = req.header("x-id");
    let response =
        format!("HTTP/1.1 503 Busy\r\nx-id: {id}\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n");
    vec![Step::Send(response.into_bytes())]
}

/// Guards against repeats without the retry budget at a node that shuts down: callers send it new
/// requests for some time, and each was sent to as many targets as its route allows.
#[tokio::test]
async fn a_leaving_node_keeps_to_the_retry_budget() {
    let log = log_with(1);
    let mut targets = Vec::new();
    for _ in 0..3 {
        let target = ScriptedTarget::start(false, script(refuse_as_not_run)).await;
        targets.push(target.unwrap());
    }
    let mut nodes = start_mesh(&log, &targets).await;
    let leaving = nodes.pop().expect("three nodes");
    let mut caller = Caller::connect(leaving.caller_addr).await;
    let shutdown = tokio::spawn(leaving.stop());
    let requests = 300;
    for i in 0..requests {
        caller
            .send("GET", &format!("/safe/{i}"), &format!("r{i}"), "")
            .await;
        let Some(response) = caller.response().await else {
            panic!("request {i} got no response");
        };
        assert!(matches!(response.status, 429 | 503), "{response:?}");
    }
    shutdown.await.unwrap();
    let mut seen = HashSet::new();
    let arrivals: Vec<_> = targets.iter().flat_map(received_requests).collect();
    let again = arrivals
        .iter()
        .filter(|r| !seen.insert(r.header("x-id").to_owned()))
        .count();
    let allowed = RATIO * f64::from(requests) + SLACK;
    assert!(
        again as f64 <= allowed,
        "{again} repeats, {allowed} allowed"
    );
}

/// Guards against a request that a leaving node gives up because it has no token of its own, although
/// its peers have some.
#[tokio::test]
async fn a_leaving_node_gets_tokens_from_its_peers() {
    let log = log_with(1);
    let cutting = script(|req| match req.path.as_str() {
        path if path.starts_with("/safe") => {
            vec![Step::Wait(Duration::from_millis(100)), Step::Reset]
        }
        path => vec![Step::Send(ok_response(req, path))],
    });
    let cutting = ScriptedTarget::start(false, cutting).await.unwrap();
    let good = ScriptedTarget::start(false, echo_path()).await.unwrap();
    let targets = [good, cutting];
    let mut nodes = start_mesh(&log, &targets).await;
    let peer = nodes.remove(0);
    // The requests fill the peer's budget: 8 tokens.
    for i in 0..80 {
        let response = call(peer.caller_addr, "POST", &format!("/once/{i}"), "x").await;
        assert_eq!(response.status, 200, "{response:?}");
    }
    let idle = ScriptedTarget::start(false, echo_path()).await.unwrap();
    let mut entry = TestNode::start_as(&log, idle.addr(), "view").await;
    entry.serve_as("view").await;
    wait_until("all nodes are known", || {
        let text = entry.handle().metrics_text();
        text.contains("member_live 3")
    })
    .await;
    let mut callers = Vec::new();
    for i in 0..8 {
        let mut caller = Caller::connect(entry.caller_addr).await;
        caller
            .send("GET", &format!("/safe/{i}"), &format!("s{i}"), "")
            .await;
        callers.push(caller);
    }
    tokio::time::sleep(Duration::from_millis(30)).await;
    let shutdown = tokio::spawn(entry.stop());
    for mut caller in callers {
        let response = caller.response().await.expect("a response");
        assert_eq!(response.status, 200, "{response:?}");
    }
    shutdown.await.unwrap();
}
