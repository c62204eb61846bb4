//! Answers on the wrong place of a connection, and answers that end too early.

mod common;

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use common::{
    Caller, TestNode, call, earn_retries, log_with, ok_response, received_requests, script,
    start_node,
};
use fakes::{ScriptedTarget, Step};
use parking_lot::Mutex;

/// Guards against an earlier refusal that a target writes once more on a kept connection and that is
/// taken for the answer to a later request: its caller would be told that the request has not run, or
/// the request would run at a second target.
#[tokio::test]
async fn an_earlier_refusal_written_again_refuses_no_other_request() {
    for has_id in [true, false] {
        // The time between the later request and the copy.
        for delay_ms in [0, 1, 5, 30] {
            let refusal_of = move |id: &str| {
                let id_header = if has_id {
                    format!("x-id: {id}\r\n")
                } else {
                    String::new()
                };
                format!("HTTP/1.1 503 Busy\r\n{id_header}x-not-run: 1\r\ncontent-length: 0\r\n\r\n")
                    .into_bytes()
            };
            let copies = Arc::new(AtomicUsize::new(0));
            let refuse_and_repeat = || {
                let copies = copies.clone();
                // By connection.
                let last_refused = Mutex::new(HashMap::new());
                script(move |req| {
                    let id = req.header("x-id").to_owned();
                    if req.path.ends_with("/refused") {
                        last_refused.lock().insert(req.connection, id.clone());
                        return vec![Step::Send(refusal_of(&id))];
                    }
                    let mut steps = Vec::new();
                    if let Some(earlier) = last_refused.lock().get(&req.connection) {
                        copies.fetch_add(1, Ordering::SeqCst);
                        steps.push(Step::Wait(Duration::from_millis(delay_ms)));
                        steps.push(Step::Send(refusal_of(earlier)));
                        steps.push(Step::Wait(Duration::from_millis(20)));
                    }
                    steps.push(Step::Send(ok_response(req, &req.path)));
                    steps
                })
            };
            let log = log_with(1);
            let mut targets = Vec::new();
            let mut nodes = Vec::new();
            for _ in 0..2 {
                let target = ScriptedTarget::start(false, refuse_and_repeat())
                    .await
                    .unwrap();
                let mut node = TestNode::start(&log, target.addr()).await;
                node.serve().await;
                targets.push(target);
                nodes.push(node);
            }
            earn_retries().await;
            let entry = nodes[0].caller_addr;
            for i in 0..6 {
                // The outcome is unknown if a copy has arrived before the refusal. Without a body, the
                // refusal lets its connection be used again.
                let refused = call(entry, "POST", &format!("/once/{i}/refused"), "").await;
                assert!(matches!(refused.status, 429 | 502 | 503), "{refused:?}");
                let path = format!("/once/{i}");
                let response = call(entry, "POST", &path, "x").await;
                let runs: usize = targets
                    .iter()
                    .map(|t| {
                        received_requests(t)
                            .iter()
                            .filter(|r| r.path == path)
                            .count()
                    })
                    .sum();
                let what = format!("id: {has_id}, {delay_ms} ms: {response:?}, {runs} runs");
                assert!(runs <= 1, "{what}");
                assert!(
                    runs == 0 || matches!(response.status, 200 | 502 | 504),
                    "{what}"
                );
            }
            assert!(copies.load(Ordering::SeqCst) > 0, "a connection was kept");
        }
    }
}

/// Guards against a success with an empty or short body, framed as whole, for an answer whose target
/// stopped within its head and closed the connection.
#[tokio::test]
async fn an_answer_cut_off_in_its_head_is_no_answer() {
    let whole_head = "HTTP/1.1 200 OK\r\nx-id: r\r\nx-proof: p\r\ncontent-length: 10\r\n\r\n";
    for end in [Step::Close, Step::Reset] {
        let next_cut = AtomicUsize::new(0);
        let last_step = end.clone();
        let (node, target) = start_node(script(move |_| {
            let cut = next_cut
                .fetch_add(1, Ordering::SeqCst)
                .min(whole_head.len());
            vec![
                Step::Send(whole_head.as_bytes()[..cut].to_vec()),
                Step::Wait(Duration::from_millis(2)),
                last_step.clone(),
            ]
        }))
        .await;
        for cut in 0..=whole_head.len() {
            let mut caller = Caller::connect(node.caller_addr).await;
            caller.send("POST", &format!("/once/{cut}"), "r", "x").await;
            let response = caller.response().await.expect("a response");
            assert_eq!(
                response.status, 502,
                "{end:?} after {cut} bytes: {response:?}"
            );
            assert_eq!(received_requests(&target).len(), cut + 1);
        }
    }
}
