//! Restores of the log from an older copy: what it had acknowledged since is gone.

mod common;

use std::time::Duration;

use common::{
    APPLY_TIME, Caller, HOST, MEMORY_BYTES, NODE_STREAM, TestNode, VERSION_KEY, VERSION_STREAM,
    config_text, echo_path, free_addr, received_requests, settings, start_mesh, wait_until,
};
use fakes::{FakeKeyedLog, ScriptedTarget};
use plat::KeyedLog;

const REVOKE_TIME: Duration = Duration::from_secs(3);

/// Returns a log that counts its restores and contains the routing table as version `version`.
fn log_with(version: u64) -> FakeKeyedLog {
    let log = FakeKeyedLog::restorable();
    publish(&log, &config_text(version));
    log
}

fn version(node: &TestNode) -> u64 {
    node.handle().state().version
}

fn publish(log: &FakeKeyedLog, text: &str) {
    log.put(VERSION_STREAM, VERSION_KEY, text.as_bytes());
}

async fn targets(count: usize) -> Vec<ScriptedTarget> {
    let mut targets = Vec::new();
    for _ in 0..count {
        targets.push(ScriptedTarget::start(false, echo_path()).await.unwrap());
    }
    targets
}

/// Returns the keys in the node stream that contain `part`.
async fn keys_with(log: &FakeKeyedLog, part: &str) -> Vec<String> {
    let newest = log.read_newest(NODE_STREAM).await.unwrap();
    let keys = newest.records.into_iter().map(|r| r.key);
    let keys = keys.map(|k| String::from_utf8(k).unwrap());
    keys.filter(|k| k.contains(part)).collect()
}

async fn wait_for_keys(log: &FakeKeyedLog, part: &str, count: usize) {
    let found = async {
        while keys_with(log, part).await.len() < count {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    let found = tokio::time::timeout(common::WAIT_TIMEOUT, found).await;
    found.unwrap_or_else(|_| panic!("{count} keys with {part:?}"));
}

/// Guards against readers that wait at an offset which exists again behind a version that they have not
/// read.
#[tokio::test]
async fn a_version_behind_a_reused_offset_is_put_in_force() {
    let log = log_with(4);
    let targets = targets(3).await;
    let nodes = start_mesh(&log, &targets).await;
    let copy = log.copy();
    for v in [5, 6] {
        // All readers wait for the version, so that all of them pause after it.
        tokio::time::sleep(Duration::from_millis(1_000)).await;
        publish(&log, &config_text(v));
        for node in &nodes {
            wait_until("the version is in force", || version(node) == v).await;
        }
    }
    // All readers pause now, and the log has its former length when they read on.
    log.restore(&copy);
    publish(&log, &config_text(6));
    publish(&log, &config_text(7));
    let published = std::time::Instant::now();
    for node in &nodes {
        wait_until("the version is in force", || version(node) == 7).await;
    }
    assert!(published.elapsed() < APPLY_TIME);
}

/// Guards against an older version from the restored log that replaces a newer one.
#[tokio::test]
async fn a_restored_log_takes_no_version_back() {
    let log = log_with(4);
    let targets = targets(2).await;
    let nodes = start_mesh(&log, &targets).await;
    let copy = log.copy();
    publish(&log, &config_text(5));
    for node in &nodes {
        wait_until("the version is in force", || version(node) == 5).await;
    }
    log.restore(&copy);
    // A node that starts finds the older version in the log, and the newer one at the others.
    let started = TestNode::start(&log, targets[0].addr()).await;
    wait_until("the newer version is in force", || version(&started) == 5).await;
    assert!(nodes.iter().all(|n| version(n) == 5));
}

/// Guards against registrations and departures that only the lost part of the log had: a node that
/// starts later must know the others, and a restart of all nodes must not forget that a target left.
#[tokio::test]
async fn registrations_and_departures_are_recorded_again() {
    let log = log_with(1);
    let copy = log.copy();
    let targets = targets(2).await;
    let nodes = start_mesh(&log, &targets).await;
    nodes[0].depart().await;
    assert_eq!(keys_with(&log, "departed").await.len(), 1);
    log.restore(&copy);
    assert!(keys_with(&log, "").await.is_empty());
    wait_for_keys(&log, "departed", 1).await;
    // Two registrations beside the departure.
    wait_for_keys(&log, "", 3).await;
    let started = TestNode::start(&log, targets[1].addr()).await;
    wait_until("the others are known", || {
        started.handle().state().peers == 2
    })
    .await;
}

/// Guards against a restored log that passes for a proof of its older version at a node that starts: a
/// withdrawn key would run requests there.
#[tokio::test]
async fn a_restored_log_does_not_confirm_a_withdrawn_key() {
    let log = FakeKeyedLog::restorable();
    let text = |version, key: &str| {
        let routes = config_text(version);
        format!("{routes}\norganisation o {key} 0 0")
    };
    publish(&log, &text(4, "old-key"));
    let copy = log.copy();
    let targets = targets(3).await;
    let mut nodes = Vec::new();
    let start = async |target: &ScriptedTarget| {
        let mut cfg = settings(&log, target.addr(), free_addr(), "desk", MEMORY_BYTES);
        cfg.bounds.revoke_time = Some(REVOKE_TIME);
        let mut node = TestNode::start_with(cfg).await.unwrap();
        node.serve().await;
        node
    };
    for target in &targets[..2] {
        nodes.push(start(target).await);
    }
    publish(&log, &text(5, "new-key"));
    for node in &nodes {
        wait_until("the version is in force", || version(node) == 5).await;
    }
    log.restore(&copy);
    let started = start(&targets[2]).await;
    let began = std::time::Instant::now();
    while began.elapsed() < REVOKE_TIME {
        let mut caller = Caller::connect(started.caller_addr).await;
        let head = format!("GET /safe/a HTTP/1.1\r\nhost: {HOST}\r\nx-id: r\r\nx-left: 500\r\n");
        let req = head + "authorization: Bearer old-key\r\n\r\n";
        caller.write(req.as_bytes()).await;
        let status = caller.response().await.expect("a response").status;
        assert!(matches!(status, 401 | 503), "{status}");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    assert_eq!(version(&started), 5);
    assert!(targets.iter().all(|t| received_requests(t).is_empty()));
}

/// Guards against nodes that call the log without a pause because a peer names more restores than the
/// log does.
#[tokio::test]
async fn a_wrong_number_of_restores_floods_no_log() {
    const SECONDS: u64 = 2;
    let log = log_with(1);
    let targets = targets(3).await;
    let _nodes = start_mesh(&log, &targets).await;
    let before = log.call_count();
    log.restores().record(Some(99));
    tokio::time::sleep(Duration::from_secs(SECONDS)).await;
    let calls = log.call_count() - before;
    // Three nodes that each register and read up to twice a second, with two calls and one.
    let most = 3 * 3 * 2 * (SECONDS + 1);
    assert!(calls <= most, "{calls} calls, at most {most}");
}
