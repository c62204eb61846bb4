//! Targets that crash under requests.

mod common;

use std::time::Duration;

use common::{call, log_with, ok_response, script, start_mesh, wait_until};
use fakes::{ScriptedTarget, Step};
use tokio::task::JoinSet;

const TARGETS: usize = 4;
/// Requests in progress at each node when targets crash.
const CROWD: usize = 12;

/// Guards against a request that many callers send and that is refused everywhere because it ran at
/// targets that crashed, at once or in turn.
#[tokio::test]
async fn a_request_that_completes_elsewhere_is_served_after_crashes() {
    for pause in [Duration::ZERO, Duration::from_millis(1_500)] {
        let slow_echo = script(|req| {
            let response = ok_response(req, &req.path);
            vec![Step::Wait(Duration::from_millis(200)), Step::Send(response)]
        });
        let mut targets = Vec::new();
        for _ in 0..TARGETS {
            let target = ScriptedTarget::start(false, slow_echo.clone()).await;
            targets.push(target.unwrap());
        }
        let nodes = start_mesh(&log_with(1), &targets).await;
        let send_crowd = || {
            let mut crowd = JoinSet::new();
            for n in 0..CROWD {
                let addr = nodes[n % nodes.len()].caller_addr;
                crowd.spawn(async move { call(addr, "GET", "/safe/list", "").await.status });
            }
            crowd
        };
        let before = send_crowd().join_all().await;
        assert!(before.contains(&200), "{before:?}");
        for _ in 0..2 {
            let seen = targets[0].received_requests().len();
            let crowd = send_crowd();
            wait_until("the target has a request", || {
                targets[0].received_requests().len() > seen
            })
            .await;
            targets.remove(0);
            tokio::time::sleep(pause).await;
            drop(crowd);
        }
        tokio::time::sleep(Duration::from_millis(500)).await;
        for node in &nodes {
            let status = call(node.caller_addr, "GET", "/safe/list", "").await.status;
            assert_eq!(status, 200, "crashes {pause:?} apart");
        }
    }
}
