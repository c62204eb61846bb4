//! Claims outlive the retention of the log.

use std::time::{Duration, Instant};

use fakes::LogFaults;

use crate::common::Mesh;
use crate::support::{Reply, mesh, send_until_settled, transfer};

/// Records of a stream with the claim of one key, its outcome, and a few checkpoints.
const RECORDS: u64 = 6;
/// Several checkpoints are kept because nodes that write at the same time don't include each other.
const RETAIN: usize = 4;
const CHECKPOINTS_WITHIN: Duration = Duration::from_secs(12);

/// Waits until each stream that has claims has checkpoints too.
async fn wait_checkpoints(mesh: &Mesh) {
    let until = Instant::now() + CHECKPOINTS_WITHIN;
    for shard in 0..4 {
        let url = format!("{}/streams/claims.title-desk.{shard}?from=0", mesh.log_url);
        loop {
            let res = mesh.client.get(&url).send().await.unwrap();
            let page: plat::Page = res.json().await.unwrap();
            if page.end == 0 || page.end >= RECORDS {
                break;
            }
            assert!(
                Instant::now() < until,
                "no checkpoints in shard {shard}: {}",
                page.end
            );
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }
}

/// Guards against a second run of a key whose claim the log no longer has, and against a service
/// that takes no transfers after its nodes restart.
#[tokio::test(flavor = "multi_thread")]
async fn a_key_is_known_after_its_records_have_expired() {
    let mut mesh = mesh("checkpoint", &[("title-desk", 3)], "").await;
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
    mesh.wait_version(1).await;
    mesh.wait_targets().await;

    let keys = ["old-1", "old-2", "old-3"];
    for key in keys {
        let replies = send_until_settled(&mesh, 0, &transfer(key, "")).await;
        assert!(replies.last().is_some_and(Reply::is_ok), "{replies:?}");
    }
    wait_checkpoints(&mesh).await;
    let faults = LogFaults {
        retain: RETAIN,
        ..LogFaults::default()
    };
    mesh.set_log_faults(faults).await;
    for i in 0..3 {
        mesh.kill_node(i);
        mesh.start_node(i);
    }
    mesh.wait_version(1).await;
    mesh.wait_targets().await;

    for (n, key) in keys.iter().enumerate() {
        let replies = send_until_settled(&mesh, n, &transfer(key, "")).await;
        let last = replies.last().unwrap();
        assert!(last.is_ok() || last.code == Some(407), "{key}: {replies:?}");
        assert_eq!(mesh.runs_of(key).await, 1, "{key}");
    }
    let replies = send_until_settled(&mesh, 0, &transfer("new", "")).await;
    assert!(replies.last().is_some_and(Reply::is_ok), "{replies:?}");
}
