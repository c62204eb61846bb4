//! Targets in trouble: bytes without end, and answers that belong to another request.

mod common;

use std::time::{Duration, Instant};

use common::{Caller, call, ok_response, received_requests, script, start_node, wait_until};
use fakes::Step;

/// Time that callers of these tests give, as [`Caller::send`] states it.
const CALLER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// A node may hold a quarter of its memory in bodies, 64 MB of the 256 MB of a test node. The test
/// process also holds what the sockets and the target buffer.
const MAX_GROWTH_BYTES: usize = 96 << 20;

/// Returns the resident memory of this process.
fn resident_bytes() -> usize {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap();
    let pages: usize = statm.split(' ').nth(1).unwrap().parse().unwrap();
    pages * 4_096
}

/// Guards against memory and time without a bound for answers that never end: the caller is told in
/// time that its request may have run, and the connection to the target is closed.
#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
async fn answers_without_end_are_cut_off() {
    let status = "HTTP/1.1 200 OK\r\n";
    let proof = "x-id: r\r\nx-proof: p\r\n";
    let chunked = format!("{status}{proof}transfer-encoding: chunked\r\n\r\n");
    let filler = "x".repeat(64 << 10);
    let cases = [
        ("status line", String::new(), filler.clone()),
        ("header", format!("{status}a: "), filler.clone()),
        ("headers", status.to_owned(), "a: b\r\n".repeat(1_000)),
        (
            "1xx",
            String::new(),
            "HTTP/1.1 100 Continue\r\n\r\n".repeat(1_000),
        ),
        ("body", format!("{status}{proof}\r\n"), filler.clone()),
        ("chunks", chunked.clone(), format!("10000\r\n{filler}\r\n")),
        ("chunk extension", format!("{chunked}1;"), filler.clone()),
        (
            "trailers",
            format!("{chunked}0\r\n"),
            "t: u\r\n".repeat(1_000),
        ),
    ];
    for (name, begin, endless) in cases {
        let (node, target) = start_node(script(move |_| {
            vec![
                Step::Send(begin.clone().into_bytes()),
                Step::SendEndlessly(endless.clone().into_bytes()),
            ]
        }))
        .await;
        let before = resident_bytes();
        let start = Instant::now();
        let mut callers = tokio::task::JoinSet::new();
        for _ in 0..4 {
            let addr = node.caller_addr;
            callers.spawn(async move {
                let mut caller = Caller::connect(addr).await;
                caller.send("POST", "/once/1", "r", "x").await;
                caller.response().await.expect("a response")
            });
        }
        let mut peak = 0;
        while !callers.is_empty() {
            tokio::select! {
                Some(response) = callers.join_next() => {
                    let response = response.unwrap();
                    assert!(matches!(response.status, 502 | 504), "{name}: {response:?}");
                    assert!(response.body.contains("\"executed\":\"unknown\""), "{name}");
                }
                () = tokio::time::sleep(Duration::from_millis(5)) => {
                    peak = peak.max(resident_bytes());
                }
            }
        }
        assert!(
            start.elapsed() < CALLER_TIMEOUT + Duration::from_millis(500),
            "{name}"
        );
        let growth = peak.saturating_sub(before);
        assert!(growth < MAX_GROWTH_BYTES, "{name}: {growth} bytes more");
        wait_until(name, || target.endless_send_count() == 0).await;
    }
}

/// Guards against another request's answer taken for that of the next request on the connection: a
/// second copy of an answer that arrives once the next request is written, also if the copy has no
/// id. A refusal of that kind would say that the next request has not run.
#[tokio::test]
async fn a_late_copy_is_not_taken_for_the_next_answer() {
    let copies = [
        "HTTP/1.1 200 OK\r\nx-id: r0\r\nx-proof: p\r\n",
        "HTTP/1.1 500 Failed\r\nx-id: r0\r\nx-proof: p\r\n",
        "HTTP/1.1 500 Failed\r\nx-proof: p\r\n",
        "HTTP/1.1 404 Missing\r\n",
        "HTTP/1.1 503 Busy\r\nx-id: r0\r\nx-not-run: 1\r\n",
        "HTTP/1.1 503 Busy\r\nx-not-run: 1\r\n",
        "HTTP/1.1 421 Misdirected\r\n",
    ];
    for copy in copies {
        let (node, target) = start_node(script(move |req| {
            let mut steps = Vec::new();
            if req.path == "/once/1" {
                let copy = format!("{copy}content-length: 0\r\n\r\n");
                steps.push(Step::Send(copy.into_bytes()));
                steps.push(Step::Wait(Duration::from_millis(50)));
            }
            steps.push(Step::Send(ok_response(req, &req.path)));
            steps
        }))
        .await;
        assert_eq!(
            call(node.caller_addr, "GET", "/safe/0", "").await.status,
            200
        );
        let mut caller = Caller::connect(node.caller_addr).await;
        caller.send("POST", "/once/1", "r1", "x").await;
        let response = caller.response().await.expect("a response");
        assert!(
            matches!(response.status, 200 | 502),
            "{copy:?}: {response:?}"
        );
        assert_eq!(received_requests(&target).len(), 2, "{copy:?}");
        // The connection with the surplus bytes is not used again.
        let next = call(node.caller_addr, "GET", "/safe/2", "").await;
        assert_eq!(
            (next.status, next.body.as_str()),
            (200, "/safe/2"),
            "{copy:?}"
        );
    }
}
