//! `briarlug publish`

mod common;

use std::time::Duration;

use axum::routing::get;
use axum::{Json, Router};
use common::{CONFIG_TEXT, Mesh, Proc, Workdir, registry, stderr, stdout};
use fakes::LogFaults;
use googletest::prelude::*;
use plat::{HttpLog, Log};
use serde_json::json;
use tokio::net::TcpListener;
use wire::Offset;

fn edited_text() -> String {
    CONFIG_TEXT.replace("queue = 64", "queue = 48")
}

async fn set_faults(log_url: &str, faults: &LogFaults) {
    let client = reqwest::Client::builder().no_proxy().build().unwrap();
    let res = client.post(format!("{log_url}/faults")).json(faults).send();
    assert!(res.await.unwrap().status().is_success());
}

struct LogFixture {
    wrk: Workdir,
    _log: Proc,
    log_url: String,
}

impl LogFixture {
    fn new(name: &str) -> LogFixture {
        let wrk = Workdir::new(name);
        let (log, addr) = Proc::spawn_listening(wrk.command("fake").arg("log"));
        let log_url = format!("http://{addr}");
        LogFixture {
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

/// Guards against versions that don't follow the order of the log, and against two publications on
/// the same base that are both accepted.
#[gtest]
fn versions_are_numbered_and_a_stale_base_is_refused() {
    let fixture = LogFixture::new("publish-order");
    let first = fixture.publish(CONFIG_TEXT, &[]);
    expect_that!(first.status.code(), some(eq(0)), "{}", stderr(&first));
    expect_that!(
        stdout(&first),
        matches_regex(r"accepted version=1 digest=\w+ id=\w+\n")
    );

    let stale = fixture.publish(&edited_text(), &["--base", "0"]);
    expect_that!(stale.status.code(), some(eq(1)));
    expect_that!(stdout(&stale), eq(""));
    expect_that!(
        stderr(&stale),
        eq("briarlug: rejected, 501 stale base: the current version is 1\n")
    );
    let next = fixture.publish(&edited_text(), &["--base", "1"]);
    expect_that!(stdout(&next), starts_with("accepted version=2 "));
    // Without `--base`, the base is the current version.
    expect_that!(
        stdout(&fixture.publish(CONFIG_TEXT, &[])),
        starts_with("accepted version=3 ")
    );
}

/// Guards against an invalid configuration text that is appended to the log.
#[gtest]
fn invalid_config_text_is_rejected_without_contacting_the_log() {
    let wrk = Workdir::new("publish-bad");
    wrk.create(
        "text.toml",
        &CONFIG_TEXT.replacen("queue = 64", "queue = \"64\"", 1),
    );
    // Nothing listens on this port: an attempt to connect to the log would exit with code 3.
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

/// Guards against an append whose response is lost: the publisher must not report an unknown
/// outcome or publish twice.
#[tokio::test(flavor = "multi_thread")]
async fn lost_append_response_is_resolved_by_reading_the_log() {
    let fixture = LogFixture::new("publish-lost");
    let faults = LogFaults {
        lose_answers: 2,
        ..LogFaults::default()
    };
    set_faults(&fixture.log_url, &faults).await;
    let out = fixture.publish(CONFIG_TEXT, &[]);
    assert_that!(out.status.code(), some(eq(0)), "{}", stderr(&out));
    assert_that!(stdout(&out), starts_with("accepted version=1 "));
    set_faults(&fixture.log_url, &LogFaults::default()).await;
    assert_that!(
        stdout(&fixture.publish(&edited_text(), &[])),
        starts_with("accepted version=2 ")
    );
}

/// Guards against a publisher that reports success or hangs while the log refuses calls or can't be
/// reached.
#[tokio::test(flavor = "multi_thread")]
async fn unavailable_log_exits_with_3() {
    let mut fixture = LogFixture::new("publish-away");
    let faults = LogFaults {
        down: true,
        ..LogFaults::default()
    };
    set_faults(&fixture.log_url, &faults).await;
    let down = fixture.publish(CONFIG_TEXT, &["--wait", "1"]);
    fixture.log_url = "http://127.0.0.1:1".to_owned();
    let absent = fixture.publish(CONFIG_TEXT, &["--wait", "1"]);
    for out in [down, absent] {
        assert_that!(out.status.code(), some(eq(3)));
        assert_that!(stdout(&out), eq(""));
        assert_that!(stderr(&out), starts_with("briarlug: log http://127.0.0.1:"));
        assert_that!(stderr(&out), ends_with("; nothing was published\n"));
    }
}

/// Guards against a publisher that reports success before all nodes have the version in force, or
/// doesn't name the operator address that fails.
#[tokio::test(flavor = "multi_thread")]
async fn publish_with_operator_waits_until_the_version_is_in_force() {
    let mut mesh = Mesh::start("publish-wait", &registry()[..4]);
    mesh.publish_and_wait_ready().await;
    let operator = mesh.nodes[0].operator_url();

    let out = mesh.publish(&edited_text(), &["--wait", "9", "--operator", &operator]);
    assert_that!(out.status.code(), some(eq(0)), "{}", stderr(&out));
    assert_that!(stdout(&out), starts_with("accepted version=2 "));
    assert_that!(stdout(&out), ends_with("\nin force on 4 of 4 nodes\n"));
    for i in 0..4 {
        assert_that!(mesh.state(i).await.unwrap().version, eq(2));
    }

    mesh.kill_node(0);
    let out = mesh.publish(&edited_text(), &["--operator", &operator]);
    assert_that!(out.status.code(), some(eq(3)));
    assert_that!(stdout(&out), starts_with("accepted version=3 "));
    assert_that!(
        stderr(&out),
        contains_substring(format!("node {operator}: "))
    );
}

/// Guards against a version that is reported as in force while a member still lacks it; the message
/// on time-out has to name that member.
#[tokio::test(flavor = "multi_thread")]
async fn members_without_the_version_are_named_on_timeout() {
    let fixture = LogFixture::new("publish-late");
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

    let out = fixture.publish(CONFIG_TEXT, &["--wait", "0.5", "--operator", &operator]);
    assert_that!(out.status.code(), some(eq(1)));
    assert_that!(stdout(&out), starts_with("accepted version=1 "));
    assert_that!(stdout(&out), ends_with("\nin force on 2 of 3 nodes\n"));
    let reason = "briarlug: time is up, version 1 is not in force on a-1\n";
    assert_that!(stderr(&out), eq(reason));
}

/// Guards against a publication on a wrong base: a build that can't decode the earlier records
/// doesn't know the current version.
#[tokio::test(flavor = "multi_thread")]
async fn publish_refuses_a_log_with_unknown_record_formats() {
    let fixture = LogFixture::new("publish-behind");
    let log = HttpLog::new(&fixture.log_url).unwrap();
    log.append(node::CONFIG_STREAM, vec![vec![u8::MAX]])
        .await
        .unwrap();
    let out = fixture.publish(CONFIG_TEXT, &[]);
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

/// Guards against a publication on base version 0 when the records that determine the current
/// version have expired and no checkpoint exists.
#[tokio::test(flavor = "multi_thread")]
async fn publish_refuses_a_log_with_expired_records_and_no_checkpoint() {
    let fixture = LogFixture::new("publish-expired");
    for text in [CONFIG_TEXT, &edited_text(), CONFIG_TEXT] {
        assert_that!(fixture.publish(text, &[]).status.code(), some(eq(0)));
    }
    let faults = LogFaults {
        retain: 1,
        ..LogFaults::default()
    };
    set_faults(&fixture.log_url, &faults).await;
    let out = fixture.publish(CONFIG_TEXT, &[]);
    assert_that!(out.status.code(), some(eq(3)));
    assert_that!(
        stderr(&out),
        contains_substring("no checkpoint is there yet")
    );
}
