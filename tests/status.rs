//! `briarlug status`

mod common;

use std::time::{Duration, Instant};

use common::{Mesh, Workdir, registry, stderr, stdout};
use googletest::prelude::*;
use node::StateReport;

/// Guards against a table or a JSON page that omits members, versions or failure domains.
#[tokio::test(flavor = "multi_thread")]
async fn table_and_json_page_show_all_members() {
    let mesh = Mesh::start("status", &registry()[..5]);
    mesh.publish_and_wait_ready().await;
    let known = |s: &StateReport| s.members.iter().all(|m| m.version == 1);
    mesh.wait_for_state(2, "version 1 of all members", known)
        .await;
    let operator = mesh.nodes[2].operator_url();
    let status = |args: &[&str]| {
        let mut cmd = mesh.wrk.command("status");
        cmd.args(["--operator", &operator])
            .args(args)
            .output()
            .unwrap()
    };

    let out = status(&[]);
    assert_that!(out.status.code(), some(eq(0)), "{}", stderr(&out));
    let table = stdout(&out);
    let line = "ledger-view-2 service=ledger-view domain=pk-north-c ready=true version=1 digest=";
    assert_that!(table, starts_with(line));
    assert_that!(
        table,
        contains_substring("\ndraining=false target=up floor=")
    );
    for (domain, nodes) in [("pk-north-a", 3), ("pk-north-b", 1), ("pk-north-c", 1)] {
        let row = format!("\n{domain:<24} {:>7} {nodes:>6}\n", 1);
        assert_that!(table, contains_substring(row), "{table}");
    }
    for node in &mesh.nodes {
        let (name, service) = (&node.spec.name, node.spec.service);
        let row = format!("\n{name:<24} {service:<16} {:<9} {:>7}", "ready", 1);
        assert_that!(table, contains_substring(row), "{table}");
    }

    let page: StateReport = serde_json::from_slice(&status(&["--json"]).stdout).unwrap();
    assert_that!(page.name.as_str(), eq("ledger-view-2"));
    assert_that!(page.members.len(), eq(5));
    assert_that!(page.metrics["config.version"], eq(1));
}

/// Guards against an error message without the address and cause, or an exit code other than 3.
#[tokio::test(flavor = "multi_thread")]
async fn unreachable_node_exits_with_3() {
    let wrk = Workdir::new("status-away");
    let status = |url: &str| {
        wrk.command("status")
            .args(["--operator", url])
            .output()
            .unwrap()
    };
    let (_log, log) = common::Proc::spawn_listening(wrk.command("fake").arg("log"));
    let other = format!("http://{log}");
    for (url, cause) in [
        ("http://127.0.0.1:1", "no connection"),
        (&other, "answers 404"),
    ] {
        let out = status(url);
        assert_that!(out.status.code(), some(eq(3)));
        let wanted = format!("briarlug: node {url}: {cause}");
        assert_that!(stderr(&out), starts_with(wanted));
    }
}

/// Guards against a single node that never routes to its own target, because only changes of other
/// members updated its routes.
#[tokio::test(flavor = "multi_thread")]
async fn single_node_mesh_serves_requests() {
    let mesh = Mesh::start("status-alone", &registry()[..1]);
    mesh.publish_and_wait_ready().await;
    let until = Instant::now() + Duration::from_secs(5);
    loop {
        let res = mesh
            .client
            .get(mesh.nodes[0].url("/casks/1"))
            .send()
            .await
            .unwrap();
        let code = res.headers().get(wire::CODE).cloned();
        if res.status().is_success() {
            return;
        }
        assert!(
            Instant::now() < until,
            "the only node of the mesh still refuses after 5 s, with code {code:?}"
        );
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}

/// Guards against roll-outs and organisations that the page of a node on the users' platform has and the
/// table does not show.
#[tokio::test(flavor = "multi_thread")]
async fn platform_table_shows_roll_outs_and_organisations() {
    let page = serde_json::json!({
        "name": "n1", "service": "desk", "is_ready": true, "version": 7, "peers": 3,
        "rollouts": [{
            "service": "desk", "target_version": "v2", "age_ms": 4200, "duration_ms": 16000,
            "step": "Canary", "admission": {"Limited": {"slots": 4, "until": 90}},
            "decider": "10.0.0.1:7500",
            "evidence": {"step": "Canary", "requests": 1000, "exposed": 70, "bad": 1, "judged": 6}
        }],
        "organisations": [{
            "name": "resorts", "requests": {"sent": 900, "over_limit": 40, "refused": 5}
        }],
        "other_organisations": {"sent": 12, "over_limit": 0, "refused": 0}
    });
    let app = axum::Router::new().route(
        "/v1/state",
        axum::routing::get(|| async { axum::Json(page) }),
    );
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let url = format!("http://{}", listener.local_addr().unwrap());
    let server = tokio::spawn(async move { axum::serve(listener, app).await.unwrap() });
    let wrk = Workdir::new("status-platform");
    let status = tokio::task::spawn_blocking(move || {
        let mut cmd = wrk.command("status");
        cmd.args(["--platform", &url]).output().unwrap()
    });
    let out = status.await.unwrap();
    server.abort();
    assert_that!(out.status.code(), some(eq(0)), "{}", stderr(&out));
    let table = stdout(&out);
    for line in [
        "n1 service=desk ready=true version=7 peers=3\n",
        "desk                     v2               canary        4.2/16.0 s 10.0.0.1:7500\n",
        "  this node admits: 4 at a time, 90 since the order\n",
        "  this node decides: 70 of 1000 requests exposed, 1 of 6 judged instances bad\n",
        "resorts                         900         40          5\n",
        "(others)                         12          0          0\n",
    ] {
        assert_that!(table, contains_substring(line), "{table}");
    }
}
