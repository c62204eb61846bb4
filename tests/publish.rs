//! `briarlug publish`

mod common;

use std::time::Duration;

use axum::routing::get;
use axum::{Json, Router};
use common::{Mesh, Proc, TEXT, Workdir, registry, stderr, stdout};
use fakes::LogFaults;
use googletest::prelude::*;
use plat::{HttpLog, Log};
use serde_json::json;
use tokio::net::TcpListener;
use wire::Offset;

fn second() -> String {
    TEXT.replace("queue = 64", "queue = 48")
}

async fn set_faults(log_url: &str, faults: &LogFaults) {
    let client = reqwest::Client::builder().no_proxy().build().unwrap();
    let res = client.post(format!("{log_url}/faults")).json(faults).send();
    assert!(res.await.unwrap().status().is_success());
}

struct Site {
    wrk: Workdir,
    _log: Proc,
    log_url: String,
}

impl Site {
    fn new(name: &str) -> Site {
        let wrk = Workdir::new(name);
        let (log, addr) = Proc::spawn_listening(wrk.command("fake").arg("log"));
        let log_url = format!("http://{addr}");
        Site {
            wrk,
            _log: log,
            log_url,
        }
    }

    fn publish(&self, text: &str, args: &[&str]) -> std::process::Output {
        self.wrk.create("text.toml", text);
        let mut cmd = self.wrk.command("publish");
        cmd.args(["text.toml", "--log", &self.log_url]).args(args);
        cmd.output().unwrap()
    }
}

/// Guards against publications that get another number than their place in the log, and against a
/// race that both publishers win.
#[gtest]
fn versions_are_numbered_and_a_stale_base_is_refused() {
    let site = Site::new("publish-order");
    let first = site.publish(TEXT, &[]);
    expect_that!(first.status.code(), some(eq(0)), "{}", stderr(&first));
    expect_that!(
        stdout(&first),
        matches_regex(r"accepted version=1 digest=\w+ id=\w+\n")
    );

    let stale = site.publish(&second(), &["--base", "0"]);
    expect_that!(stale.status.code(), some(eq(1)));
    expect_that!(stdout(&stale), eq(""));
    expect_that!(
        stderr(&stale),
        eq("briarlug: rejected, 501 stale base: the current version is 1\n")
    );
    let next = site.publish(&second(), &["--base", "1"]);
    expect_that!(stdout(&next), starts_with("accepted version=2 "));
    // Without a base, the text counts as edited from the current version.
    expect_that!(
        stdout(&site.publish(TEXT, &[])),
        starts_with("accepted version=3 ")
    );
}

/// Guards against a bad text, or one of another mesh, that reaches the log.
#[gtest]
fn a_bad_text_is_refused_before_the_log_is_asked() {
    let wrk = Workdir::new("publish-bad");
    wrk.create(
        "text.toml",
        &TEXT.replacen("queue = 64", "queue = \"64\"", 1),
    );
    // No log listens at this address: an attempt to reach it would exit with code 3.
    let log = ["--log", "http://127.0.0.1:1"];
    let out = wrk
        .command("publish")
        .arg("text.toml")
        .args(log)
        .output()
        .unwrap();
    expect_that!(out.status.code(), some(eq(1)));
    expect_that!(
        stderr(&out),
        starts_with("briarlug: text.toml: 502 text not readable at line 13, column 9: ")
    );
}

/// Guards against a lost response that leaves the outcome open or publishes twice.
#[tokio::test(flavor = "multi_thread")]
async fn a_lost_answer_is_settled_by_reading_back() {
    let site = Site::new("publish-lost");
    let faults = LogFaults {
        lose_answers: 2,
        ..LogFaults::default()
    };
    set_faults(&site.log_url, &faults).await;
    let out = site.publish(TEXT, &[]);
    assert_that!(out.status.code(), some(eq(0)), "{}", stderr(&out));
    assert_that!(stdout(&out), starts_with("accepted version=1 "));
    set_faults(&site.log_url, &LogFaults::default()).await;
    assert_that!(
        stdout(&site.publish(&second(), &[])),
        starts_with("accepted version=2 ")
    );
}

/// Guards against a publication that is reported as done, or hangs, while the log is away.
#[tokio::test(flavor = "multi_thread")]
async fn a_log_that_is_away_exits_with_3() {
    let mut site = Site::new("publish-away");
    let faults = LogFaults {
        down: true,
        ..LogFaults::default()
    };
    set_faults(&site.log_url, &faults).await;
    let down = site.publish(TEXT, &["--wait", "1"]);
    site.log_url = "http://127.0.0.1:1".to_owned();
    let absent = site.publish(TEXT, &["--wait", "1"]);
    for out in [down, absent] {
        assert_that!(out.status.code(), some(eq(3)));
        assert_that!(stdout(&out), eq(""));
        assert_that!(stderr(&out), starts_with("briarlug: log http://127.0.0.1:"));
        assert_that!(stderr(&out), ends_with("; nothing was published\n"));
    }
}

/// Guards against a publication that reports success before it is in force.
#[tokio::test(flavor = "multi_thread")]
async fn with_operator_it_waits_until_all_nodes_have_the_version() {
    let mut mesh = Mesh::start("publish-wait", &registry()[..4]);
    mesh.publish_first().await;
    let operator = mesh.nodes[0].operator();

    let out = mesh.publish(&second(), &["--wait", "9", "--operator", &operator]);
    assert_that!(out.status.code(), some(eq(0)), "{}", stderr(&out));
    assert_that!(stdout(&out), starts_with("accepted version=2 "));
    assert_that!(stdout(&out), ends_with("\nin force on 4 of 4 nodes\n"));
    for i in 0..4 {
        assert_that!(mesh.state(i).await.unwrap().version, eq(2));
    }

    mesh.kill_node(0);
    let out = mesh.publish(&second(), &["--operator", &operator]);
    assert_that!(out.status.code(), some(eq(3)));
    assert_that!(stdout(&out), starts_with("accepted version=3 "));
    assert_that!(
        stderr(&out),
        contains_substring(format!("node {operator}: "))
    );
}

/// Guards against a version that is reported as in force although a member lacks it.
#[tokio::test(flavor = "multi_thread")]
async fn a_late_member_is_named_when_time_is_up() {
    let site = Site::new("publish-late");
    let member = |name: &str, version| {
        json!({"name": name, "service": "s", "domain": "d", "state": "ready",
               "version": version, "ejected": false})
    };
    let page = json!({"name": "a-0", "service": "s", "domain": "d", "ready": true,
        "draining": false, "version": 1, "digest": "", "floor": 0, "newest_heard": 1,
        "log": "at end", "log_reader": true, "target": "up",
        "load": {"in_flight": 0, "queued": 0, "slots": 1},
        "members": [member("a-0", 1), member("a-1", 0), member("a-2", 1)],
        "quarantined": [], "metrics": {}});
    let router = Router::new().route("/state", get(async move || Json(page.clone())));
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let operator = format!("http://{}", listener.local_addr().unwrap());
    tokio::spawn(async { axum::serve(listener, router).await });

    let out = site.publish(TEXT, &["--wait", "0.5", "--operator", &operator]);
    assert_that!(out.status.code(), some(eq(1)));
    assert_that!(stdout(&out), starts_with("accepted version=1 "));
    assert_that!(stdout(&out), ends_with("\nin force on 2 of 3 nodes\n"));
    let reason = "briarlug: time is up, version 1 is not in force on a-1\n";
    assert_that!(stderr(&out), eq(reason));
}

/// Guards against a publication on a base that this build can't know, because it can't read the
/// records before it.
#[tokio::test(flavor = "multi_thread")]
async fn a_log_with_unknown_records_is_not_appended_to() {
    let site = Site::new("publish-behind");
    let log = HttpLog::new(&site.log_url).unwrap();
    log.append(node::CONFIG_STREAM, vec![vec![u8::MAX]])
        .await
        .unwrap();
    let out = site.publish(TEXT, &[]);
    assert_that!(out.status.code(), some(eq(1)));
    assert_that!(
        stderr(&out),
        contains_substring("records of format 255, which this build")
    );
    let batch = log
        .read(node::CONFIG_STREAM, Offset(0), Duration::ZERO)
        .await;
    assert_that!(batch.unwrap().end, eq(Offset(1)));
}

/// Guards against a publication on version 0 when the records that tell the version have expired.
#[tokio::test(flavor = "multi_thread")]
async fn a_log_without_its_first_records_is_not_appended_to() {
    let site = Site::new("publish-expired");
    for text in [TEXT, &second(), TEXT] {
        assert_that!(site.publish(text, &[]).status.code(), some(eq(0)));
    }
    let faults = LogFaults {
        retain: 1,
        ..LogFaults::default()
    };
    set_faults(&site.log_url, &faults).await;
    let out = site.publish(TEXT, &[]);
    assert_that!(out.status.code(), some(eq(3)));
    assert_that!(
        stderr(&out),
        contains_substring("no checkpoint is there yet")
    );
}
