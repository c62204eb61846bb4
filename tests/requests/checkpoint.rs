//! Claims stay known beyond the retention of the log.

use std::time::{Duration, Instant};

use fakes::LogFaults;

use crate::common::Mesh;
use crate::support::{Reply, send_until_settled, start_mesh, transfer};

/// Records in a stream that holds the claim of one key, its outcome and a few checkpoints.
const MIN_STREAM_RECORDS: u64 = 6;
/// Records per stream that the log retains. Several checkpoints have to fit: those that nodes write
/// at the same time don't include each other.
const RETAINED_RECORDS: usize = 4;
const CHECKPOINT_TIMEOUT: Duration = Duration::from_secs(12);

/// Waits until each claim stream that has records also has checkpoints.
async fn wait_for_checkpoints(mesh: &Mesh) {
    let until = Instant::now() + CHECKPOINT_TIMEOUT;
    for shard in 0..4 {
        let url = format!("{}/streams/claims.title-desk.{shard}?from=0", mesh.log_url);
        loop {
            let res = mesh.client.get(&url).send().await.unwrap();
            let page: plat::Page = res.json().await.unwrap();
            if page.end == 0 || page.end >= MIN_STREAM_RECORDS {
                break;
            }
            assert!(
                Instant::now() < until,
                "claim stream of shard {shard} has {} of {MIN_STREAM_RECORDS} records after {CHECKPOINT_TIMEOUT:?}",
                page.end
            );
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }
}

/// Guards against a second run of a key whose claim record has expired from the log, and against a
/// service that refuses non-idempotent requests after its nodes restart.
#[tokio::test(flavor = "multi_thread")]
async fn key_is_known_after_its_log_records_expired() {
    let mut mesh = start_mesh("checkpoint", &[("title-desk", 3)], "").await;
    for node in &mesh.nodes {
        let file = mesh.wrk.path(&format!("{}.toml", node.spec.name));
        let text = std::fs::read_to_string(&file).unwrap();
        let text = text.replace("[log]\n", "[log]\ncheckpoint_s = 1\n");
        std::fs::write(file, text).unwrap();
    }
    for i in 0..3 {
        mesh.kill_node(i);
        mesh.start_node(i);
    }
    mesh.wait_for_version(1).await;
    mesh.wait_for_ready_members().await;

    let keys = ["old-1", "old-2", "old-3"];
    for key in keys {
        let replies = send_until_settled(&mesh, 0, &transfer(key, "")).await;
        assert!(replies.last().is_some_and(Reply::is_ok), "{replies:?}");
    }
    wait_for_checkpoints(&mesh).await;
    let faults = LogFaults {
        retain: RETAINED_RECORDS,
        ..LogFaults::default()
    };
    mesh.set_log_faults(faults).await;
    for i in 0..3 {
        mesh.kill_node(i);
        mesh.start_node(i);
    }
    mesh.wait_for_version(1).await;
    mesh.wait_for_ready_members().await;

    for (n, key) in keys.iter().enumerate() {
        let replies = send_until_settled(&mesh, n, &transfer(key, "")).await;
        let last = replies.last().unwrap();
        assert!(last.is_ok() || last.code == Some(407), "{key}: {replies:?}");
        assert_eq!(mesh.total_runs(key).await, 1, "{key}");
    }
    let replies = send_until_settled(&mesh, 0, &transfer("new", "")).await;
    assert!(replies.last().is_some_and(Reply::is_ok), "{replies:?}");
}
