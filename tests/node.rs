//! `briarlug node`: requests from caller to target through real processes.

mod common;

use std::sync::Arc;
use std::time::Duration;

use common::{Mesh, registry};
use googletest::prelude::*;
use tokio::sync::Semaphore;

/// Guards against responses that are truncated, or sent to the wrong caller, on the path through
/// entry node and target-side node.
#[tokio::test(flavor = "multi_thread")]
async fn responses_through_two_nodes_are_complete() {
    let mesh = Mesh::start("node-path", &registry());
    mesh.publish_and_wait_ready().await;

    // One request in flight per target: nodes may shed (201) part of a burst of 120 on a busy
    // machine, and load shedding is not under test here.
    let at_once = Arc::new(Semaphore::new(mesh.nodes.len()));
    let mut calls = Vec::new();
    for n in 0..120 {
        let entry = &mesh.nodes[n % mesh.nodes.len()];
        let (path, bytes) = match n % 3 {
            0 => (format!("/casks/{n}"), 100),
            1 => (format!("/gauges/{n}"), 20_000),
            _ => (format!("/gauges/archive/{n}"), 300_000),
        };
        let url = entry.url(&format!("{path}?work_ms=2&bytes={bytes}"));
        let (client, at_once) = (mesh.client.clone(), at_once.clone());
        calls.push(tokio::spawn(async move {
            let _permit = at_once.acquire().await;
            // Ten callers, so that none exceeds its fair share of the queues.
            let req = client
                .get(url)
                .header(wire::CALLER, format!("caller-{}", n % 10));
            let res = req.send().await.unwrap();
            let status = res.status();
            let code = res.headers().get(wire::CODE).cloned();
            (path, bytes, status, code, res.bytes().await)
        }));
    }
    for call in calls {
        let (path, bytes, status, code, body) = call.await.unwrap();
        let body = body.unwrap();
        assert_that!(status.as_u16(), eq(200), "{path} {code:?}");
        assert_that!(body.len(), eq(bytes));
        assert!(body.starts_with(format!("path={path} received=0\n").as_bytes()));
    }
}

/// Guards against a second run of a non-idempotent request that is sent again with the same key,
/// concurrently or later, and against its acceptance without a key or with a key that belongs to
/// another body.
#[tokio::test(flavor = "multi_thread")]
async fn repeated_transfer_runs_once_and_returns_the_same_response() {
    let mesh = Mesh::start("node-once", &registry());
    mesh.publish_and_wait_ready().await;

    let send = |i: usize| {
        let url = mesh.nodes[i].url("/titles/7?work_ms=30");
        mesh.client
            .post(url)
            .header("idempotency-key", "transfer-7")
            .body("to: B")
            .send()
    };
    // Two concurrent copies through different entry nodes, and one after they complete.
    let (first, second) = tokio::join!(send(0), send(5));
    let third = send(9).await;
    for res in [first, second, third] {
        let res = res.unwrap();
        assert_that!(res.status().as_u16(), eq(200));
        let content_type = res.headers().get("content-type");
        assert_that!(
            content_type.map(|v| v.as_bytes()),
            some(eq(b"text/plain; charset=utf-8"))
        );
        assert_that!(
            res.text().await.unwrap().as_str(),
            eq("path=/titles/7 received=5\n")
        );
    }
    assert_that!(mesh.total_runs("transfer-7").await, eq(1));

    let url = mesh.nodes[1].url("/titles/8");
    let without_key = mesh.client.post(url).body("x").send().await.unwrap();
    assert_that!(without_key.status().as_u16(), eq(428));
    let url = mesh.nodes[2].url("/titles/7?work_ms=30");
    let other = mesh
        .client
        .post(url)
        .header("idempotency-key", "transfer-7")
        .body("to: C");
    assert_that!(other.send().await.unwrap().status().as_u16(), eq(422));
}

/// Guards against a graceful shutdown that aborts running downloads or doesn't terminate.
#[tokio::test(flavor = "multi_thread")]
async fn sigterm_completes_running_downloads_and_exits() {
    let mut mesh = Mesh::start("node-term", &registry());
    mesh.publish_and_wait_ready().await;

    let victim = mesh.nodes_of("gauge-vault")[0];
    let url = mesh.nodes[victim].url("/gauges/archive/1?work_ms=1500&bytes=2000000");
    let client = mesh.client.clone();
    let downloads: Vec<_> = (0..8)
        .map(|_| {
            let (client, url) = (client.clone(), url.clone());
            tokio::spawn(async move { client.get(url).send().await.unwrap().bytes().await })
        })
        .collect();
    tokio::time::sleep(Duration::from_millis(400)).await;
    mesh.nodes[victim].proc.as_ref().unwrap().signal("TERM");
    for download in downloads {
        assert_that!(download.await.unwrap().unwrap().len(), eq(2_000_000));
    }
    let exit = mesh.nodes[victim]
        .proc
        .as_mut()
        .unwrap()
        .wait_exit(Duration::from_secs(10));
    assert_that!(exit, some(eq(0)));
    // The other nodes keep serving.
    let other = mesh.nodes_of("gauge-vault")[1];
    let res = mesh
        .client
        .get(mesh.nodes[other].url("/gauges/2"))
        .send()
        .await
        .unwrap();
    assert_that!(res.status().as_u16(), eq(200));
}
