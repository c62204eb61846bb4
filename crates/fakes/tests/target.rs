//! Behaviour of the stand-in target that other tests rely on.

use std::net::SocketAddr;
use std::time::Duration;

use fakes::{TargetCfg, TargetServer};
use googletest::prelude::*;
use reqwest::{Client, RequestBuilder, StatusCode};

const LOOPBACK: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);
/// Time-out of a request; a broken connection has to be noticed well before the time-out.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

async fn start() -> TargetServer {
    let cfg = TargetCfg::new("svc", 2);
    TargetServer::start(LOOPBACK, cfg)
        .await
        .expect("bind a loopback port")
}

fn client() -> Client {
    let builder = Client::builder().no_proxy().timeout(REQUEST_TIMEOUT);
    builder.build().expect("build the HTTP client")
}

fn request(client: &Client, target: &TargetServer, query: &str) -> RequestBuilder {
    client.post(format!("http://{}/work?{query}", target.addr()))
}

fn unix_ms() -> u128 {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    now.expect("a clock after 1970").as_millis()
}

// Guards against a stand-in that runs requests after their deadline: other tests would then miss a
// node that hands requests over too late.
#[gtest]
#[tokio::test]
async fn request_after_its_deadline_is_refused_and_not_run() {
    let (target, client) = (start().await, client());
    let cases = [
        (unix_ms() - 1_000, StatusCode::GATEWAY_TIMEOUT),
        (unix_ms() + 60_000, StatusCode::OK),
    ];
    for (deadline, status) in cases {
        let req =
            request(&client, &target, "").header(wire::DEADLINE_UNIX_MS, deadline.to_string());
        let res = req.header("idempotency-key", status.as_str()).send().await;
        expect_that!(res.expect("a response").status(), eq(status));
    }
    let stats = target.stop().await;
    expect_that!((stats.started, stats.finished, stats.late), eq((1, 1, 1)));
    expect_that!(stats.runs_by_key.get("504"), none());
}

// Guards against runs that start after the deadline because the request waited for a slot.
#[gtest]
#[tokio::test]
async fn deadline_applies_while_waiting_for_a_slot() {
    let (target, client) = (start().await, client());
    let long_request = request(&client, &target, "work_ms=300");
    let (a, b) = (
        long_request.try_clone().expect("a request without a body"),
        long_request,
    );
    let late = async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        let deadline = (unix_ms() + 50).to_string();
        let req = request(&client, &target, "").header(wire::DEADLINE_UNIX_MS, deadline);
        req.header("idempotency-key", "k").send().await
    };
    let (a, b, late) = tokio::join!(a.send(), b.send(), late);
    expect_that!(a.expect("a response").status(), eq(StatusCode::OK));
    expect_that!(b.expect("a response").status(), eq(StatusCode::OK));
    expect_that!(
        late.expect("a response").status(),
        eq(StatusCode::GATEWAY_TIMEOUT)
    );
    let stats = target.stop().await;
    expect_that!((stats.started, stats.late), eq((2, 1)));
    expect_that!(stats.runs_by_key.get("k"), none());
}

// Guards against a truncated response that a client takes for a complete one.
#[gtest]
#[tokio::test]
async fn truncated_response_breaks_the_connection() {
    let (target, client) = (start().await, client());
    for bytes in [0, 1, 30, 1_000, 100_000] {
        for (cut, is_complete) in [("", true), ("&cut=true", false)] {
            let query = format!("bytes={bytes}{cut}");
            // The connection may break before or after the client has read the response head.
            let body = async {
                request(&client, &target, &query)
                    .send()
                    .await?
                    .bytes()
                    .await
            };
            expect_that!(body.await.is_ok(), eq(is_complete), "{query}");
        }
    }
    target.stop().await;
}

// Guards against a crash or stop after which requests in flight still get a response or hang, and
// against idle connections that outlive the target.
#[gtest]
#[tokio::test]
async fn crash_or_stop_breaks_all_connections() {
    for crash in [true, false] {
        let (target, idle, client) = (start().await, client(), client());
        let first = request(&idle, &target, "").send().await;
        expect_that!(first.expect("a response").status(), eq(StatusCode::OK));
        let (started, url) = (
            std::time::Instant::now(),
            format!("http://{}", target.addr()),
        );
        let running = tokio::spawn(request(&client, &target, "work_ms=4000").send());
        tokio::time::sleep(Duration::from_millis(100)).await;
        if crash {
            expect_that!(
                request(&client, &target, "crash=true").send().await,
                err(anything())
            );
            expect_that!(target.is_down(), eq(true));
        }
        let stats = target.stop().await;
        expect_that!(
            running.await.expect("join the request task"),
            err(anything()),
            "crash: {crash}"
        );
        expect_that!(started.elapsed(), lt(REQUEST_TIMEOUT / 2), "crash: {crash}");
        expect_that!(
            idle.post(&url).send().await,
            err(anything()),
            "crash: {crash}"
        );
        expect_that!(stats.started, eq(2 + u64::from(crash)));
        expect_that!(stats.finished, eq(1));
    }
}

// Guards against a stand-in that doesn't notice disconnected clients: cancellation would not be
// testable.
#[gtest]
#[tokio::test]
async fn cancelled_request_is_counted_and_frees_its_slot() {
    let (target, client) = (start().await, client());
    for _ in 0..2 {
        let req = request(&client, &target, "work_ms=4000").timeout(Duration::from_millis(100));
        expect_that!(req.send().await, err(anything()));
    }
    let started = std::time::Instant::now();
    let next = request(&client, &target, "").send().await;
    expect_that!(next.expect("a response").status(), eq(StatusCode::OK));
    expect_that!(started.elapsed(), lt(REQUEST_TIMEOUT / 4));
    let stats = target.stop().await;
    expect_that!(
        (stats.started, stats.cancelled, stats.finished),
        eq((3, 2, 1))
    );
}

// Guards against counters that miss a second run of a key.
#[gtest]
#[tokio::test]
async fn runs_are_counted_per_key() {
    let (target, client) = (start().await, client());
    for key in ["a", "b", "a"] {
        let req = request(&client, &target, "").header("idempotency-key", key);
        expect_that!(req.send().await, ok(anything()));
    }
    expect_that!(request(&client, &target, "").send().await, ok(anything()));
    let stats = target.stop().await;
    let runs = (stats.runs_by_key.get("a"), stats.runs_by_key.get("b"));
    expect_that!(runs, eq((Some(&2), Some(&1))));
    expect_that!((stats.started, stats.finished), eq((4, 4)));
}
