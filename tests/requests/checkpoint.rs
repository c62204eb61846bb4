//! Claims outlive the retention of the log.

use std::time::Duration;

use fakes::LogFaults;

use crate::support::{Reply, mesh, send_until_settled, transfer};

/// Longest time until a checkpoint with `checkpoint_s = 1` is written and read.
const CHECKPOINT: Duration = Duration::from_millis(3_500);

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
    tokio::time::sleep(CHECKPOINT).await;
    let faults = LogFaults {
        retain: 2,
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
