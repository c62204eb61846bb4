//! StatsD export and log lines of a running node.

mod common;

use std::fs::File;
use std::net::UdpSocket;
use std::time::{Duration, Instant};

use common::{Mesh, Proc, spec};
use googletest::prelude::*;

/// Guards against a StatsD export that isn't sent each second or doesn't count all requests.
#[tokio::test(flavor = "multi_thread")]
async fn a_node_sends_its_metrics_each_second() {
    let server = UdpSocket::bind("127.0.0.1:0").unwrap();
    let settings = format!("[metrics]\nstatsd = \"{}\"\n", server.local_addr().unwrap());
    let specs = [
        spec("ledger-view", 0, "pk-north-a"),
        spec("gauge-vault", 0, "pk-north-a"),
    ];
    // Only the second node exports metrics.
    let mut mesh = Mesh::start("metrics", &specs);
    mesh.kill_node(1);
    append_settings(&mesh, 1, &settings);
    mesh.start_node(1);
    mesh.publish_and_wait_ready().await;
    let url = mesh.nodes[1].url("/casks/1");
    for _ in 0..5 {
        let res = mesh.client.get(&url).send().await.unwrap();
        let code = res.headers().get(wire::CODE).cloned();
        assert_that!(res.status().as_u16(), eq(200), "{code:?}");
    }

    let receive = move || {
        server
            .set_read_timeout(Some(Duration::from_secs(3)))
            .unwrap();
        let (mut requests, mut versions) = (0, Vec::new());
        let mut buf = [0; 2048];
        let until = Instant::now() + Duration::from_millis(4_500);
        while Instant::now() < until {
            let n = server.recv(&mut buf).unwrap();
            for line in std::str::from_utf8(&buf[..n]).unwrap().lines() {
                if let Some(n) = line.strip_prefix("briarlug.request.entry:") {
                    requests += n.strip_suffix("|c").unwrap().parse::<u64>().unwrap();
                }
                if line.starts_with("briarlug.config.version:") {
                    versions.push((Instant::now(), line.to_owned()));
                }
            }
        }
        (requests, versions)
    };
    let (requests, versions) = tokio::task::spawn_blocking(receive).await.unwrap();
    assert_that!(requests, eq(5));
    assert_that!(
        versions.last().unwrap().1,
        eq("briarlug.config.version:1|g")
    );
    // Flushes from before the receiver started were buffered in its socket and arrive without gaps;
    // the later ones are one second apart.
    let gaps: Vec<Duration> = versions.windows(2).map(|w| w[1].0 - w[0].0).collect();
    let slow = gaps
        .iter()
        .filter(|g| **g > Duration::from_millis(500))
        .count();
    assert_that!(slow, all!(ge(3), le(5)), "{gaps:?}");
}

fn append_settings(mesh: &Mesh, i: usize, more: &str) {
    let cmd = mesh.wrk.command("node");
    let name = format!("{}.toml", mesh.nodes[i].spec.name);
    let old = std::fs::read_to_string(cmd.get_current_dir().unwrap().join(&name)).unwrap();
    mesh.wrk.create(&name, &format!("{old}\n{more}"));
}

/// Restarts the node with its log lines written to a file.
fn restart_with_log_file(mesh: &mut Mesh, i: usize, level: &str) {
    mesh.kill_node(i);
    let name = mesh.nodes[i].spec.name.clone();
    let lines = mesh.wrk.create(&format!("{name}.log"), "");
    let mut cmd = mesh.wrk.command("node");
    cmd.args(["--settings", &format!("{name}.toml")]);
    cmd.env("RUST_LOG", level)
        .stderr(File::create(lines).unwrap());
    mesh.nodes[i].proc = Some(Proc::spawn(&mut cmd));
}

fn read_log_file(mesh: &Mesh, i: usize) -> String {
    let cmd = mesh.wrk.command("node");
    let dir = cmd.get_current_dir().unwrap();
    std::fs::read_to_string(dir.join(format!("{}.log", mesh.nodes[i].spec.name))).unwrap()
}

/// Guards against log lines for single requests at level info, and against bodies, keys and
/// credentials in the log at any level.
#[tokio::test(flavor = "multi_thread")]
async fn requests_write_no_info_lines_and_no_secrets_to_the_log() {
    let specs = [
        spec("title-desk", 0, "pk-north-a"),
        spec("ledger-view", 0, "pk-north-b"),
    ];
    let mut mesh = Mesh::start("metrics-log", &specs);
    mesh.publish_and_wait_ready().await;
    restart_with_log_file(&mut mesh, 0, "trace");
    restart_with_log_file(&mut mesh, 1, "info");
    mesh.wait_for_version(1).await;
    mesh.wait_for_ready_members().await;
    let lines_before = read_log_file(&mesh, 1).lines().count();

    for n in 0..50 {
        // A transfer, a look-up, and refusals of an unknown path and a missing key.
        let calls = [
            ("POST", "/titles", true),
            ("GET", "/casks", true),
            ("GET", "/none", true),
            ("POST", "/titles", false),
        ];
        for (method, path, key) in calls {
            let url = mesh.nodes[1].url(&format!("{path}/{n}?password=secret-query"));
            let mut req = mesh.client.request(method.parse().unwrap(), url);
            req = req
                .header("authorization", "Bearer secret-token")
                .header("cookie", "secret-cookie");
            if key {
                req = req.header("idempotency-key", format!("secret-key-{n}"));
            }
            req.body("secret-body").send().await.unwrap();
        }
    }
    let info_log = read_log_file(&mesh, 1);
    assert_that!(info_log.lines().count(), eq(lines_before), "{info_log}");
    // Other crates, such as those for RPC between nodes, write no lines at all.
    let foreign = info_log.lines().filter(|l| !l.contains("node::"));
    assert_that!(foreign.collect::<Vec<_>>(), is_empty());
    assert_that!(
        info_log,
        contains_substring("config in force version=1 digest=")
    );
    for i in 0..2 {
        let lines = read_log_file(&mesh, i);
        assert_that!(lines, contains_substring("node ready=true version=1"));
        for secret in ["secret", "not-a-secret-for-tests"] {
            let found: Vec<&str> = lines
                .lines()
                .filter(|l| l.contains(secret))
                .take(3)
                .collect();
            assert_that!(found, is_empty());
        }
    }
}
