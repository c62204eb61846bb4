//! Idempotency keys issued by a node: they need no log, run at most once, and only in the process
//! that issued them.

use fakes::LogFaults;

use crate::common::Mesh;
use crate::support::{assert_at_most_once, send, start_mesh, transfer};

async fn issue(mesh: &Mesh, i: usize, query: &str) -> reqwest::Response {
    let url = mesh.nodes[i].url(&format!("/.briarlug/keys{query}"));
    mesh.client.post(url).send().await.unwrap()
}

/// Guards against an issued key that needs the log, runs twice, or runs on another node or after a
/// restart of the node that issued it.
#[tokio::test(flavor = "multi_thread")]
async fn an_issued_key_runs_once_and_only_where_it_was_issued() {
    let mut mesh = start_mesh("issued", &[("title-desk", 3), ("ledger-view", 1)], "").await;
    let down = LogFaults {
        down: true,
        ..LogFaults::default()
    };
    mesh.set_log_faults(down).await;
    let keys: Vec<String> = issue(&mesh, 1, "?count=3").await.json().await.unwrap();
    assert_eq!(keys.len(), 3);

    let mut replies = Vec::new();
    let call = transfer(&keys[0], "work_ms=10");
    for entry in [3, 0, 1, 2] {
        replies.push(send(&mesh, entry, &call).await.unwrap());
    }
    assert!(
        replies.iter().all(|r| r.is_ok() && *r == replies[0]),
        "{replies:?}"
    );
    assert_at_most_once(&mesh, "issued", &keys[0], &replies).await;
    assert_eq!(mesh.target_stats(1).await.runs_by_key[&keys[0]], 1);

    // The key is bound to the first request that used it, and a modified key is invalid.
    let mut other = call.clone();
    other.body = b"to: C".to_vec();
    assert_eq!(send(&mesh, 3, &other).await.unwrap().code, Some(405));
    let forged = keys[1].replace(".1.", ".9.");
    assert_eq!(
        send(&mesh, 3, &transfer(&forged, "")).await.unwrap().code,
        Some(106)
    );

    // The killed process may have run any request with its keys, and no other process has a record
    // of them: all refuse.
    mesh.kill_node(1);
    let unused = transfer(&keys[2], "");
    for (call, entry) in [(&call, 3), (&unused, 0)] {
        let reply = send(&mesh, entry, call).await.unwrap();
        assert_eq!(reply.code, Some(403), "{reply:?}");
    }
    mesh.set_log_faults(LogFaults::default()).await;
    mesh.start_node(1);
    mesh.wait_for_version(1).await;
    mesh.wait_for_ready_members().await;
    for (call, entry) in [(&call, 3), (&call, 1), (&unused, 1), (&unused, 2)] {
        let reply = send(&mesh, entry, call).await.unwrap();
        assert_eq!(reply.code, Some(403), "{reply:?}");
    }
    assert_eq!(mesh.total_runs(&keys[0]).await, 1);
    assert_eq!(mesh.total_runs(&keys[2]).await, 0);
}

/// Guards against an unbounded number of keys per request, and against keys issued for an invalid
/// count.
#[tokio::test(flavor = "multi_thread")]
async fn issued_key_count_is_bounded() {
    let mesh = start_mesh("issued-count", &[("title-desk", 1)], "").await;
    for (query, keys) in [("", 1), ("?count=1", 1), ("?count=256", 256)] {
        let got: Vec<String> = issue(&mesh, 0, query).await.json().await.unwrap();
        assert_eq!(got.len(), keys, "{query}");
    }
    for query in [
        "?count=0",
        "?count=257",
        "?count=-1",
        "?count=x",
        "?count=99999999999999999999",
    ] {
        let res = issue(&mesh, 0, query).await;
        assert_eq!(res.status().as_u16(), 400, "{query}");
        assert_eq!(res.headers()[wire::CODE], "106", "{query}");
    }
}
