//! Requests that crash the targets that run them.

use std::time::Duration;

use reqwest::Method;

use crate::common::Mesh;
use crate::support::{Call, earn_retries, get, mesh, send};

const EXIT: Duration = Duration::from_millis(300);

fn dead_targets(mesh: &mut Mesh) -> usize {
    let targets = mesh.nodes.iter_mut().filter_map(|n| n.target.as_mut());
    targets.filter_map(|t| t.wait_exit(EXIT)).count()
}

/// Guards against a request that kills one target after the other, and against a quarantine that
/// stops other requests of its route.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_crashes_targets_is_stopped_after_two() {
    let mut mesh = mesh("poison", &[("ledger-view", 5), ("title-desk", 1)], "").await;
    earn_retries(&mesh, "/casks/1").await;
    let poison = get("/casks/9?crash=true");
    let mut codes = Vec::new();
    for n in 0..24 {
        let reply = send(&mesh, n % 6, &poison).await.unwrap();
        assert!(reply.code.is_some(), "{reply:?}");
        codes.push(reply.code.unwrap());
    }
    assert_eq!(dead_targets(&mut mesh), 2, "{codes:?}");
    // The request whose attempts have killed targets was not "not run".
    assert_eq!(codes[0], 301, "{codes:?}");
    for entry in 0..6 {
        let reply = send(&mesh, entry, &poison).await.unwrap();
        assert_eq!(reply.code, Some(108), "{reply:?}, before: {codes:?}");
    }
    assert_eq!(dead_targets(&mut mesh), 2, "{codes:?}");
    for entry in 0..6 {
        let reply = send(&mesh, entry, &get("/casks/8")).await.unwrap();
        assert!(reply.is_ok(), "{reply:?}");
    }
}

/// Guards against innocent requests that fail, or are quarantined, because they ran beside one that
/// killed their target.
#[tokio::test(flavor = "multi_thread")]
async fn requests_beside_a_crash_complete_after_a_retry() {
    let services = [("gauge-vault", 4), ("title-desk", 1)];
    let mut mesh = mesh("poison-beside", &services, "").await;
    earn_retries(&mesh, "/gauges/1").await;
    // Too long for a retry, so each of them kills one target at most.
    let poison = Call {
        method: Method::PUT,
        body: vec![b'p'; 100_000],
        ..get("/gauges/p?crash=true")
    };
    for (round, code) in [301, 301, 108].into_iter().enumerate() {
        let innocent = |n: usize| get(format!("/gauges/archive/{round}-{n}?work_ms=300"));
        let sent: Vec<_> = (0..8)
            .map(|n| tokio::spawn(send(&mesh, n % 5, &innocent(n))))
            .collect();
        tokio::time::sleep(Duration::from_millis(80)).await;
        let reply = send(&mesh, 4, &poison).await.unwrap();
        assert_eq!(reply.code, Some(code), "round {round}: {reply:?}");
        for reply in sent {
            let reply = reply.await.unwrap().unwrap();
            assert!(reply.is_ok(), "round {round}: {reply:?}");
        }
        assert_eq!(dead_targets(&mut mesh), (round + 1).min(2), "round {round}");
    }
}
