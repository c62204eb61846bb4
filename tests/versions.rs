//! Fault tests of configuration versions, with real processes.

mod common;
mod faults;

use std::time::Duration;

use common::{Mesh, registry, stderr, stdout};
use config::{Fold, Outcome, Record};
use fakes::LogFaults;
use faults::*;
use googletest::prelude::*;
use node::StateReport;
use plat::{HttpLog, Log};
use wire::{Code, Offset, Version};

/// Upper bound on the time until a version is in force on all nodes, all on one machine.
const MAX_SPREAD_TIME: Duration = Duration::from_secs(2);

async fn start_small_mesh(name: &str) -> Mesh {
    let mesh = Mesh::start(name, &six_node_specs());
    mesh.publish_and_wait_ready().await;
    mesh
}

/// Replays the configuration stream and returns the outcome of the publication.
async fn publication_outcome(mesh: &Mesh, id: config::PublicationId) -> Option<Outcome> {
    let log = HttpLog::new(&mesh.log_url).unwrap();
    let mut fold = Fold::new("indus-vale");
    node::replay_to_end(&log, &mut fold).await.unwrap();
    fold.outcome(id)
}

/// Guards against two concurrent publications on the same base that are both reported as accepted.
#[tokio::test(flavor = "multi_thread")]
async fn one_of_two_publishers_on_one_base_is_accepted() {
    let _permit = mesh_permit().await;
    let mesh = start_small_mesh("versions-race").await;
    // The delay lets both publishers read the current version before either append takes effect.
    let slow = LogFaults {
        append_delay_ms: 300,
        ..LogFaults::default()
    };
    mesh.set_log_faults(slow).await;
    let publish = |n: u64| {
        let file = mesh.wrk.create(&format!("racer-{n}.toml"), &config_text(n));
        let mut cmd = mesh.wrk.command("publish");
        cmd.arg(file).args(["--log", &mesh.log_url]);
        tokio::task::spawn_blocking(move || cmd.output().unwrap())
    };
    let (a, b) = tokio::join!(publish(1), publish(2));
    let outs = [a.unwrap(), b.unwrap()];
    let accepted = outs.iter().filter(|o| o.status.success());
    assert_that!(accepted.count(), eq(1));
    let rejected = outs.iter().find(|o| !o.status.success()).unwrap();
    assert_that!(rejected.status.code(), some(eq(1)));
    assert_that!(stderr(rejected), contains_substring("501"));
    mesh.wait_for_version(2).await;
    assert_that!(active_digests(&mesh).await.len(), eq(1));
}

/// Guards against a publication that raises the version twice because its append was repeated after
/// a lost response.
#[tokio::test(flavor = "multi_thread")]
async fn duplicate_publication_record_takes_effect_once() {
    let _permit = mesh_permit().await;
    let mesh = start_small_mesh("versions-lost").await;
    let lost = LogFaults {
        lose_answers: 1,
        ..LogFaults::default()
    };
    mesh.set_log_faults(lost).await;
    let out = mesh.publish(&config_text(1), &[]);
    assert!(out.status.success(), "{}", stderr(&out));
    assert_that!(stdout(&out), contains_substring("version=2"));
    // A publisher that retries without reading the log appends the same record twice.
    let (id, record) = publication(2, &config_text(2));
    let raw = record.encode().unwrap();
    append_raw(&mesh, raw.clone()).await;
    append_raw(&mesh, raw).await;
    assert_that!(
        publication_outcome(&mesh, id).await,
        some(eq(Outcome::Accepted(Version(3))))
    );
    let out = mesh.publish(&config_text(3), &[]);
    assert_that!(stdout(&out), contains_substring("version=4"));
    mesh.wait_for_version(4).await;
    let counted = |s: &StateReport| s.version == 4 && s.newest_heard == 4;
    wait_for_nodes(&mesh, &all_nodes(&mesh), "version 4", counted).await;
}

/// Guards against an invalid configuration text in the log that is applied in part, stops a node,
/// or blocks later publications.
#[tokio::test(flavor = "multi_thread")]
async fn invalid_config_texts_are_rejected_by_each_node() {
    let _permit = mesh_permit().await;
    let mesh = start_small_mesh("versions-broken").await;
    let observer = Observer::start(&mesh);
    let service = config_text(1).replace("depends = [\"gauge-vault\"]", "depends = [\"nowhere\"]");
    assert_that!(service, not(eq(&config_text(1))));
    let cases = [
        ("not TOML", "mesh = ".to_owned(), Code::TextUnreadable),
        (
            "unknown key",
            config_text(1) + "[unknown]\n",
            Code::TextUnreadable,
        ),
        ("dangling service", service, Code::TextInvalid),
        (
            "too large",
            config_text(1) + &"#".repeat(1 << 20),
            Code::TextTooLarge,
        ),
        (
            "another mesh",
            config_text(1).replace("indus-vale", "kilimanjaro"),
            Code::TextForeign,
        ),
    ];
    let all = all_nodes(&mesh);
    for (n, (name, broken, code)) in (1..).zip(cases) {
        let (id, record) = publication(n, &broken);
        append_raw(&mesh, record.encode().unwrap()).await;
        // Each node of this mesh reads the log, so each counts the rejection.
        let refused = |s: &StateReport| metric_value(s, "config.rejected") == n;
        wait_for_nodes(&mesh, &all, name, refused).await;
        let settled = publication_outcome(&mesh, id).await;
        assert_that!(settled, some(eq(Outcome::Rejected(code))), "{name}");
        let still_serving = |s: &StateReport| s.ready && s.version == n;
        wait_for_nodes(&mesh, &all, name, still_serving).await;
        let res = mesh.client.get(mesh.nodes[0].url("/casks/1")).send().await;
        assert_that!(res.unwrap().status().as_u16(), eq(200), "{name}");
        let out = mesh.publish(&config_text(100 + n), &[]);
        assert!(out.status.success(), "{name}: {}", stderr(&out));
        mesh.wait_for_version(n + 1).await;
    }
    observer.stop_and_check().await;
}

/// Guards against a node of an older build that skips a record of a later format, stops serving, or
/// can't restart while a peer has the version.
#[tokio::test(flavor = "multi_thread")]
async fn a_record_of_an_unknown_format_leaves_the_version_in_force() {
    let _permit = mesh_permit().await;
    let mut mesh = start_small_mesh("versions-format").await;
    let observer = Observer::start(&mesh);
    append_raw(&mesh, vec![99, 1, 2, 3]).await;
    let (_, record) = publication(1, &config_text(1));
    append_raw(&mesh, record.encode().unwrap()).await;
    let all = all_nodes(&mesh);
    let behind = |s: &StateReport| s.log == "behind" && s.ready && s.version == 1;
    wait_for_nodes(&mesh, &all, "behind", behind).await;
    kill_nodes(&mut mesh, &[2]);
    start_nodes(&mut mesh, &[2], 1).await;
    wait_for_nodes(&mesh, &all, "behind after a restart", behind).await;
    // Without the end of the log and without a peer that has a version, any version that a node
    // took could be older than its last one, so it has to stay not ready.
    kill_nodes(&mut mesh, &all);
    for i in &all {
        mesh.start_node(*i);
    }
    let not_ready = |s: &StateReport| s.log == "behind" && !s.ready && s.version == 0;
    wait_for_nodes(&mesh, &all, "behind after all restarted", not_ready).await;
    tokio::time::sleep(Duration::from_secs(2)).await;
    wait_for_nodes(&mesh, &all, "still not ready after 2 s", not_ready).await;
    observer.stop_and_check().await;
}

/// Reads the checkpoints in the configuration stream: offset, raw bytes and content.
async fn checkpoints(mesh: &Mesh) -> Vec<(Offset, Vec<u8>, config::Checkpoint)> {
    let log = HttpLog::new(&mesh.log_url).unwrap();
    let read = async |from| log.read(node::CONFIG_STREAM, from, Duration::ZERO).await;
    let batch = match read(Offset(0)).await {
        Err(plat::LogError::Expired { oldest, .. }) => read(oldest).await.unwrap(),
        other => other.unwrap(),
    };
    let decode = |r: plat::Record| match Record::decode(&r.data) {
        Ok(Record::Checkpoint(c)) => Some((r.offset, r.data, c)),
        _ => None,
    };
    batch.records.into_iter().filter_map(decode).collect()
}

/// Guards against a node that starts with an old version, or not at all, after the publication
/// records have expired, and against an outdated checkpoint that lowers the version.
#[tokio::test(flavor = "multi_thread")]
async fn nodes_start_from_a_checkpoint_after_records_expired() {
    let _permit = mesh_permit().await;
    let mut mesh = Mesh::start("versions-expired", &six_node_specs());
    let all = all_nodes(&mesh);
    kill_nodes(&mut mesh, &all);
    for i in all.clone() {
        edit_settings(&mesh, i, |s| {
            s.replace("[log]\n", "[log]\ncheckpoint_s = 1\n")
        });
        mesh.start_node(i);
    }
    mesh.publish_and_wait_ready().await;
    let observer = Observer::start(&mesh);
    for n in 2..=4 {
        assert!(mesh.publish(&config_text(n), &[]).status.success());
    }
    mesh.wait_for_version(4).await;
    let mut old = Vec::new();
    let until = tokio::time::Instant::now() + Duration::from_secs(8);
    while tokio::time::Instant::now() < until {
        old = checkpoints(&mesh).await;
        if old.iter().any(|(_, _, c)| c.version == Version(4)) {
            break;
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    let newest = old.iter().find(|(_, _, c)| c.version == Version(4));
    let retained_from = newest.expect("a checkpoint of version 4").0;
    // The log retains this checkpoint and the records after it.
    let end = checkpoints(&mesh).await.last().unwrap().0;
    let retain = usize::try_from(end.0 - retained_from.0 + 1).unwrap();
    mesh.set_log_faults(LogFaults {
        retain,
        ..LogFaults::default()
    })
    .await;
    kill_nodes(&mut mesh, &all);
    start_nodes(&mut mesh, &all, 4).await;
    assert!(mesh.publish(&config_text(5), &[]).status.success());
    mesh.wait_for_version(5).await;
    // The checkpoint of version 4 is appended again, after version 5.
    append_raw(&mesh, newest.unwrap().1.clone()).await;
    kill_nodes(&mut mesh, &[1, 2]);
    start_nodes(&mut mesh, &[1, 2], 5).await;
    observer.stop_and_check().await;
}

/// Guards against restarted nodes that stay not ready while the log is unavailable, or that start
/// with an older version than they had.
#[tokio::test(flavor = "multi_thread")]
async fn restarted_nodes_get_their_version_from_peers_without_the_log() {
    let _permit = mesh_permit().await;
    let mut mesh = Mesh::start("versions-outage", &registry());
    mesh.publish_and_wait_ready().await;
    let observer = Observer::start(&mesh);
    assert!(mesh.publish(&config_text(2), &[]).status.success());
    mesh.wait_for_version(2).await;
    make_log_unavailable(&mesh).await;
    let half: Vec<_> = all_nodes(&mesh)
        .into_iter()
        .filter(|i| i % 2 == 0)
        .collect();
    kill_nodes(&mut mesh, &half);
    let took = start_nodes(&mut mesh, &half, 2).await;
    println!("6 of 12 restarted nodes ready without the log after {took:?}");
    assert_that!(took, lt(Duration::from_secs(5)));
    // The other half gets the version from the nodes that were restarted first.
    let other: Vec<_> = all_nodes(&mesh)
        .into_iter()
        .filter(|i| i % 2 == 1)
        .collect();
    kill_nodes(&mut mesh, &other);
    start_nodes(&mut mesh, &other, 2).await;
    restore_log(&mesh).await;
    assert!(mesh.publish(&config_text(3), &[]).status.success());
    let began = tokio::time::Instant::now();
    mesh.wait_for_version(3).await;
    println!(
        "version 3 in force on all nodes after {:?}",
        began.elapsed()
    );
    observer.stop_and_check().await;
}

/// Guards against a restarted node that accepts an older version from an outdated peer: its only
/// seed was suspended while the current version was published.
#[tokio::test(flavor = "multi_thread")]
async fn outdated_peer_does_not_lower_a_restarted_nodes_version() {
    let _permit = mesh_permit().await;
    let mut mesh = start_small_mesh("versions-behind").await;
    let observer = Observer::start(&mesh);
    let (node, slow) = (0, 1);
    for round in 0..3 {
        let version = 2 + round;
        signal_node(&mesh, slow, "STOP");
        assert!(mesh.publish(&config_text(version), &[]).status.success());
        let rest: Vec<_> = all_nodes(&mesh)
            .into_iter()
            .filter(|i| *i != slow)
            .collect();
        let has = |s: &StateReport| s.ready && s.version >= version;
        wait_for_nodes(&mesh, &rest, "the new version", has).await;
        make_log_unavailable(&mesh).await;
        kill_nodes(&mut mesh, &[node]);
        let seed = rpc_addr(&mesh, slow);
        edit_settings(&mesh, node, |s| {
            let other = |l: &str| !l.starts_with("seeds = ");
            let kept: Vec<_> = s.lines().filter(|l| other(l)).collect();
            format!("seeds = [\"{seed}\"]\n{}\n", kept.join("\n"))
        });
        mesh.start_node(node);
        // The seed resumes at a different time after the start in each round.
        tokio::time::sleep(Duration::from_millis(100 + 700 * round)).await;
        signal_node(&mesh, slow, "CONT");
        wait_for_nodes(
            &mesh,
            &[node, slow],
            "the version from before the restart",
            has,
        )
        .await;
        restore_log(&mesh).await;
    }
    observer.stop_and_check().await;
}

/// Guards against a failure domain that can't restart without the log although its peers have the
/// version, and against a mesh that serves an empty configuration after all its nodes were killed.
#[tokio::test(flavor = "multi_thread")]
async fn nodes_killed_together_recover_their_version_or_refuse() {
    let _permit = mesh_permit().await;
    let mut mesh = start_small_mesh("versions-together").await;
    assert!(mesh.publish(&config_text(2), &[]).status.success());
    mesh.wait_for_version(2).await;
    let observer = Observer::start(&mesh);
    make_log_unavailable(&mesh).await;
    let domain = nodes_in_domain(&mesh, "pk-north-b");
    kill_nodes(&mut mesh, &domain);
    let took = start_nodes(&mut mesh, &domain, 2).await;
    println!("restarted failure domain ready without the log after {took:?}");
    assert_that!(took, lt(Duration::from_secs(5)));

    let all = all_nodes(&mesh);
    kill_nodes(&mut mesh, &all);
    for i in &all {
        mesh.start_node(*i);
    }
    tokio::time::sleep(Duration::from_secs(4)).await;
    for i in &all {
        let s = mesh
            .state(*i)
            .await
            .expect("no response from the operator listener");
        assert_that!((s.ready, s.version), eq((false, 0)), "{}", s.name);
        let res = mesh.client.get(mesh.nodes[*i].url("/casks/1")).send().await;
        let res = res.unwrap();
        let code = res.headers().get(wire::CODE).unwrap().to_str().unwrap();
        assert_that!((res.status().as_u16(), code), eq((503, "101")));
    }
    restore_log(&mesh).await;
    let began = tokio::time::Instant::now();
    mesh.wait_for_version(2).await;
    println!(
        "all nodes ready {:?} after the log recovered",
        began.elapsed()
    );
    assert_that!(began.elapsed(), lt(Duration::from_secs(9)));
    observer.stop_and_check().await;
}

/// Guards against a version that takes longer than the bound to be in force on all nodes when
/// nothing fails.
#[tokio::test(flavor = "multi_thread")]
async fn version_is_in_force_on_all_nodes_in_time() {
    let _permit = mesh_permit().await;
    let mesh = Mesh::start("versions-spread", &registry());
    mesh.publish_and_wait_ready().await;
    for n in 2..=4 {
        assert!(mesh.publish(&config_text(n), &[]).status.success());
        let began = tokio::time::Instant::now();
        mesh.wait_for_version(n).await;
        println!(
            "version {n} in force on all nodes after {:?}",
            began.elapsed()
        );
        assert_that!(began.elapsed(), lt(MAX_SPREAD_TIME));
    }
}
