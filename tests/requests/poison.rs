//! Requests that crash the target that runs them.

use std::time::Duration;

use reqwest::Method;

use crate::common::Mesh;
use crate::support::{Call, fill_retry_budgets, get, send, start_mesh};

const EXIT_TIMEOUT: Duration = Duration::from_millis(300);

fn count_exited_targets(mesh: &mut Mesh) -> usize {
    let targets = mesh.nodes.iter_mut().filter_map(|n| n.target.as_mut());
    targets.filter_map(|t| t.wait_exit(EXIT_TIMEOUT)).count()
}

/// Guards against a request that crashes one target after the other by its retries, and against a
/// quarantine that stops other requests of the same route.
#[tokio::test(flavor = "multi_thread")]
async fn request_that_crashes_two_targets_is_quarantined() {
    let mut mesh = start_mesh("poison", &[("ledger-view", 5), ("title-desk", 1)], "").await;
    fill_retry_budgets(&mesh, "/casks/1").await;
    let poison = get("/casks/9?crash=true");
    let mut codes = Vec::new();
    for n in 0..24 {
        let reply = send(&mesh, n % 6, &poison).await.unwrap();
        assert!(reply.code.is_some(), "{reply:?}");
        codes.push(reply.code.unwrap());
    }
    assert_eq!(count_exited_targets(&mut mesh), 2, "{codes:?}");
    // Its attempts have crashed targets, so the reply must not be "not run".
    assert_eq!(codes[0], 301, "{codes:?}");
    for entry in 0..6 {
        let reply = send(&mesh, entry, &poison).await.unwrap();
        assert_eq!(reply.code, Some(108), "{reply:?}, before: {codes:?}");
    }
    assert_eq!(count_exited_targets(&mut mesh), 2, "{codes:?}");
    for entry in 0..6 {
        let reply = send(&mesh, entry, &get("/casks/8")).await.unwrap();
        assert!(reply.is_ok(), "{reply:?}");
    }
}

/// Guards against requests that fail, or are quarantined, because another request crashed the
/// target on which they ran at the same time.
#[tokio::test(flavor = "multi_thread")]
async fn concurrent_requests_complete_by_retry_after_a_crash() {
    let services = [("gauge-vault", 4), ("title-desk", 1)];
    let mut mesh = start_mesh("poison-beside", &services, "").await;
    fill_retry_budgets(&mesh, "/gauges/1").await;
    // The body is too long for a retry, so each request crashes one target at most.
    let poison = Call {
        method: Method::PUT,
        body: vec![b'p'; 100_000],
        ..get("/gauges/p?crash=true")
    };
    for (round, code) in [301, 301, 108].into_iter().enumerate() {
        let unrelated = |n: usize| get(format!("/gauges/archive/{round}-{n}?work_ms=300"));
        let sent: Vec<_> = (0..8)
            .map(|n| tokio::spawn(send(&mesh, n % 5, &unrelated(n))))
            .collect();
        tokio::time::sleep(Duration::from_millis(80)).await;
        let reply = send(&mesh, 4, &poison).await.unwrap();
        assert_eq!(reply.code, Some(code), "round {round}: {reply:?}");
        for reply in sent {
            let reply = reply.await.unwrap().unwrap();
            assert!(reply.is_ok(), "round {round}: {reply:?}");
        }
        assert_eq!(
            count_exited_targets(&mut mesh),
            (round + 1).min(2),
            "round {round}"
        );
    }
}
