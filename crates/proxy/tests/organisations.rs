//! Organisations: their keys, how keys are taken away, and usage limits over several nodes.

mod common;

use std::time::Duration;

use common::{
    Caller, HOST, MEMORY_BYTES, Response, TestNode, VERSION_KEY, VERSION_STREAM, config_text,
    echo_path, free_addr, received_requests, settings, wait_until,
};
use fakes::{FakeKeyedLog, KeyedFault, ReceivedRequest, ScriptedTarget};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

const REVOKE_TIME: Duration = Duration::from_secs(2);
/// Requests per second and burst of `small`.
const RATE: f64 = 40.0;
const BURST: f64 = 40.0;
const MAX_START_ATTEMPTS: u32 = 5;

fn text(version: u64, organisations: &str) -> String {
    let routes = config_text(version);
    format!("{routes}\nroute open /open/ desk safe 2000 3\n{organisations}")
}

fn both(version: u64) -> String {
    let limited = format!("organisation small small-key {RATE} {BURST}");
    text(
        version,
        &format!("organisation free free-key 0 0\n{limited}"),
    )
}

async fn start_node(log: &FakeKeyedLog, target: &ScriptedTarget) -> TestNode {
    for _ in 0..MAX_START_ATTEMPTS {
        // A connection of another test may have taken a free port.
        let mut settings = settings(log, target.addr(), free_addr(), "desk", MEMORY_BYTES);
        settings.bounds.revoke_time = Some(REVOKE_TIME);
        if let Ok(mut node) = TestNode::start_with(settings).await {
            node.serve().await;
            return node;
        }
    }
    panic!("no node could be started");
}

async fn start(text: &str) -> (FakeKeyedLog, ScriptedTarget, TestNode) {
    let log = FakeKeyedLog::default();
    log.put(VERSION_STREAM, VERSION_KEY, text.as_bytes());
    let target = ScriptedTarget::start(false, echo_path()).await.unwrap();
    let node = start_node(&log, &target).await;
    (log, target, node)
}

/// Sends a request with these further header lines.
async fn send(node: &TestNode, path: &str, headers: &str) -> Response {
    let mut caller = Caller::connect(node.caller_addr).await;
    let head = format!("GET {path} HTTP/1.1\r\nhost: {HOST}\r\nx-id: r\r\nx-left: 1500\r\n");
    caller
        .write(format!("{head}{headers}\r\n").as_bytes())
        .await;
    caller.response().await.expect("a response")
}

fn with_key(key: &str) -> String {
    format!("authorization: Bearer {key}\r\n")
}

fn last(target: &ScriptedTarget) -> ReceivedRequest {
    received_requests(target).pop().expect("a request")
}

/// Guards against requests with unknown keys that run, keys that reach a target, and an organisation's
/// name that a caller has chosen.
#[tokio::test]
async fn a_key_names_the_organisation_and_ends_at_the_entry_node() {
    let (_log, target, node) = start(&both(1)).await;
    for headers in [
        String::new(),
        with_key("odd-key"),
        "authorization: free-key\r\n".into(),
    ] {
        let response = send(&node, "/safe/a", &headers).await;
        assert_eq!(response.status, 401, "{headers:?}");
    }
    assert!(received_requests(&target).is_empty());
    let headers = with_key("free-key") + "x-organisation: small\r\n";
    assert_eq!(send(&node, "/safe/a", &headers).await.status, 200);
    let names = |r: &ReceivedRequest| -> Vec<String> {
        let named = r.headers.iter().filter(|(n, _)| n == "x-organisation");
        named.map(|(_, v)| v.clone()).collect()
    };
    assert_eq!(names(&last(&target)), ["free"]);
    assert_eq!(last(&target).header("authorization"), "");
    // A public route needs no key, and passes none on.
    assert_eq!(send(&node, "/open/a", &headers).await.status, 200);
    assert!(names(&last(&target)).is_empty());
    assert_eq!(last(&target).header("authorization"), "");
}

/// Guards against odd values of the key header that end the node or that run: other schemes, bytes that
/// are no text, several values, parts of a key, and keys with something behind them.
#[tokio::test]
async fn odd_keys_run_nothing() {
    let (_log, target, node) = start(&both(1)).await;
    let mut rng = SmallRng::seed_from_u64(0x5eed_0011);
    let mut caller = Caller::connect(node.caller_addr).await;
    for i in 0..300 {
        let mut value = match i % 6 {
            0 => b"Bearer".to_vec(),
            1 => b"Basic free-key".to_vec(),
            2 => b"Bearer free-ke".to_vec(),
            3 => b"Bearer free-key\r\nauthorization: Bearer odd".to_vec(),
            4 => b"Bearer ".to_vec(),
            _ => b"Bearer free-key ".to_vec(),
        };
        if i % 6 != 3 {
            let odd = (0..rng.random_range(1..40)).map(|_| rng.random_range(0x21..=0xffu8));
            value.extend(odd.filter(|b| *b != 0x7f));
        }
        let head =
            format!("GET /safe/a HTTP/1.1\r\nhost: {HOST}\r\nx-id: r{i}\r\nx-left: 1500\r\n");
        let request = [head.as_bytes(), b"authorization: ", &value, b"\r\n\r\n"].concat();
        caller.write(&request).await;
        let response = caller.response().await.expect("a response");
        assert!(matches!(response.status, 400 | 401), "{value:?}");
        if response.status == 400 {
            caller = Caller::connect(node.caller_addr).await;
        }
    }
    assert!(received_requests(&target).is_empty());
    assert_eq!(
        send(&node, "/safe/a", &with_key("free-key")).await.status,
        200
    );
}

/// Guards against a key that still runs requests after a version has taken it away.
#[tokio::test]
async fn a_key_that_is_taken_away_runs_nothing() {
    let (log, target, node) = start(&both(1)).await;
    assert_eq!(
        send(&node, "/safe/a", &with_key("free-key")).await.status,
        200
    );
    let small = format!("organisation small small-key {RATE} {BURST}");
    log.put(VERSION_STREAM, VERSION_KEY, text(2, &small).as_bytes());
    tokio::time::sleep(REVOKE_TIME).await;
    let before = received_requests(&target).len();
    assert_eq!(
        send(&node, "/safe/a", &with_key("free-key")).await.status,
        401
    );
    assert_eq!(received_requests(&target).len(), before);
}

/// Guards against requests with keys at a node that can't know whether they were taken away, and
/// against a node that refuses them for good, or other requests.
#[tokio::test]
async fn keys_that_can_not_be_confirmed_are_refused_as_not_run() {
    let (log, _target, node) = start(&both(1)).await;
    let key = with_key("free-key");
    assert_eq!(send(&node, "/safe/a", &key).await.status, 200);
    log.set_fault(KeyedFault::Unresponsive);
    tokio::time::sleep(REVOKE_TIME).await;
    let refused = send(&node, "/safe/a", &key).await;
    assert_eq!(refused.status, 503);
    assert!(refused.body.contains("\"code\":113"), "{}", refused.body);
    assert!(refused.headers.contains_key("retry-after"));
    assert_eq!(send(&node, "/open/a", "").await.status, 200);
    log.set_fault(KeyedFault::None);
    let deadline = tokio::time::Instant::now() + Duration::from_secs(5);
    while send(&node, "/safe/a", &key).await.status != 200 {
        assert!(
            tokio::time::Instant::now() < deadline,
            "keys are confirmed again"
        );
    }
}

/// Guards against a limit that each node counts for itself, and against refusals of other
/// organisations beside one that is over its limit.
#[tokio::test]
async fn a_usage_limit_holds_over_all_nodes() {
    let (log, target, node) = start(&both(1)).await;
    let other_target = ScriptedTarget::start(false, echo_path()).await.unwrap();
    let other = start_node(&log, &other_target).await;
    wait_until("both nodes are connected", || other.is_ready()).await;
    let seconds = 4;
    let end = tokio::time::Instant::now() + Duration::from_secs(seconds);
    let mut refused = 0;
    while tokio::time::Instant::now() < end {
        for node in [&node, &other] {
            let response = send(node, "/safe/small", &with_key("small-key")).await;
            refused += u64::from(response.status == 429);
            let response = send(node, "/safe/free", &with_key("free-key")).await;
            assert_eq!(response.status, 200);
        }
    }
    let received = received_requests(&target).into_iter();
    let received = received.chain(received_requests(&other_target));
    let ran = received.filter(|r| r.path == "/safe/small").count();
    // The operators' overage of a tenth and slack of 20.
    let limit = (RATE * seconds as f64 + BURST) * 1.1 + 20.0;
    assert!(ran as f64 <= limit, "{ran} of {limit}");
    assert!(
        ran as f64 >= RATE * seconds as f64 * 0.7,
        "{ran} of {limit}"
    );
    assert!(refused > 0);
    // Operators see who was refused, by name and not by key.
    let page = node.handle().state();
    let small = page.organisations.iter().find(|o| o.name == "small");
    let small = small.expect("the organisation is shown").requests;
    assert!(small.over_limit > 0 && small.sent > 0, "{small:?}");
    let line =
        "briarlug_organisation_requests_total{organisation=\"free\",outcome=\"over_limit\"} 0\n";
    let metrics = node.handle().metrics_text();
    assert!(metrics.contains(line), "{metrics}");
    assert!(!metrics.contains("-key"), "{metrics}");
}
