//! Versions and nodes: which source is believed, and what holds without the log.

mod common;

use std::time::Duration;

use common::{KEY, TestNode, VERSIONS, call, echo, log_with, table, until};
use fakes::{FakeKeyedLog, KeyedFault, ScriptedTarget};

async fn node(log: &FakeKeyedLog) -> TestNode {
    let target = ScriptedTarget::start(false, echo()).await.unwrap();
    TestNode::start(log, target.addr()).await
}

fn metric(node: &TestNode, name: &str) -> u64 {
    let text = node.node.as_ref().unwrap().handle().metrics_text();
    let line = text.lines().find_map(|l| l.strip_prefix(name));
    line.map_or(0, |v| v.trim().parse().unwrap())
}

fn version(node: &TestNode) -> u64 {
    metric(node, "briarlug_config_version ")
}

fn members(node: &TestNode) -> u64 {
    metric(node, "briarlug_member_live ")
}

/// Guards against a version that goes back, is applied in part, or is taken from a bad record.
#[tokio::test]
async fn only_newer_and_valid_versions_are_put_in_force() {
    let log = log_with(5);
    let node = node(&log).await;
    until("the first version", || version(&node) == 5).await;
    log.put(VERSIONS, KEY, table(4).as_bytes());
    log.put(VERSIONS, KEY, b"version 9\nroute r /r/ nowhere safe 100 1");
    log.put(VERSIONS, KEY, &[0xff, 0xfe]);
    log.put(VERSIONS, "other", table(50).as_bytes());
    log.put(VERSIONS, KEY, b"");
    log.put(VERSIONS, KEY, table(6).as_bytes());
    until("the newest version", || version(&node) == 6).await;
    assert_eq!(metric(&node, "briarlug_config_applied_total "), 2);
    assert!(call(node.callers, "GET", "/safe/1", "").await.status != 404);
}

/// Guards against nodes that stop following versions when old records have expired.
#[tokio::test]
async fn expired_records_are_read_by_key() {
    let log = log_with(1);
    let node = node(&log).await;
    until("the first version", || version(&node) == 1).await;
    log.set_fault(KeyedFault::Refuses);
    for v in 2..20 {
        log.put(VERSIONS, KEY, table(v).as_bytes());
    }
    log.expire(VERSIONS);
    log.set_fault(KeyedFault::None);
    until("the newest version", || version(&node) == 19).await;
}

/// Guards against nodes that do not find each other, whichever starts first, and against answers of
/// the log that are lost after the write.
#[tokio::test]
async fn nodes_find_each_other_by_the_log() {
    let log = log_with(1);
    let a = node(&log).await;
    log.set_fault(KeyedFault::LosesAnswers);
    let b = node(&log).await;
    tokio::time::sleep(Duration::from_millis(150)).await;
    log.set_fault(KeyedFault::None);
    let c = node(&log).await;
    for n in [&a, &b, &c] {
        until("all nodes are known", || members(n) == 3).await;
    }
}

/// Guards against a restarted node that waits for the log although other nodes have the version:
/// those that knew it connect again and bring it.
#[tokio::test]
async fn a_restart_without_the_log_takes_the_version_of_other_nodes() {
    for fault in [KeyedFault::Refuses, KeyedFault::Silent] {
        let log = log_with(3);
        let a = node(&log).await;
        let b = node(&log).await;
        for n in [&a, &b] {
            until("both are known", || members(n) == 2 && version(n) == 3).await;
        }
        log.set_fault(fault);
        let link = b.link;
        b.stop().await;
        let target = ScriptedTarget::start(false, echo()).await.unwrap();
        let b = TestNode::start_at(&log, target.addr(), link, "desk").await;
        until("the version of the other node", || version(&b) == 3).await;
        assert!(b.is_ready());
    }
}

/// Guards against a node whose connection to the log has gone silent and that misses a version
/// which other nodes have.
#[tokio::test]
async fn a_version_that_the_log_does_not_deliver_comes_from_another_node() {
    let log = log_with(1);
    let cut = FakeKeyedLog::default();
    cut.put(VERSIONS, KEY, table(1).as_bytes());
    let b = node(&cut).await;
    cut.put(common::NODES, &b.link.to_string(), b"1");
    log.put(common::NODES, &b.link.to_string(), b"1");
    let a = node(&log).await;
    until("both are known", || members(&a) == 2 && members(&b) == 2).await;
    log.put(VERSIONS, KEY, table(2).as_bytes());
    until("the version of the other node", || version(&b) == 2).await;
    assert_eq!(version(&a), 2);
}

/// Guards against calls to a priced log in a quiet time.
#[tokio::test]
async fn a_quiet_node_makes_few_calls() {
    let log = log_with(1);
    let n = node(&log).await;
    until("a version is in force", || n.is_ready()).await;
    let before = log.calls();
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert!(log.calls() - before <= 1);
}
