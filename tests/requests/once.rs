//! Non-idempotent requests run at most once, and "not run" is reported only if they did not run.

use std::time::{Duration, Instant};

use fakes::LogFaults;

use crate::common::Mesh;
use crate::support::{
    Reply, assert_at_most_once, send, send_until_settled, start_mesh, transfer, wait_for_busy_node,
    wait_for_request_start,
};

const SERVICES: [(&str, usize); 2] = [("title-desk", 2), ("ledger-view", 2)];
/// Index of a node whose target belongs to another service, so it is never the target-side node of
/// a transfer.
const ENTRY: usize = 2;
const OTHER_ENTRY: usize = 3;
/// Tolerance for a refusal after the deadline of its request, on a busy machine.
const REFUSAL_TOLERANCE: Duration = Duration::from_millis(400);

/// A log that delays each append.
fn slow_log(append_delay_ms: u64) -> LogFaults {
    LogFaults {
        append_delay_ms,
        ..LogFaults::default()
    }
}

async fn sleep_ms(ms: u64) {
    tokio::time::sleep(Duration::from_millis(ms)).await;
}

/// Guards against a second run by concurrent copies through several entry nodes, by a repeat after
/// the caller gave up, and by a repeated append after a lost response of the log.
#[tokio::test(flavor = "multi_thread")]
async fn concurrent_copies_and_repeats_run_once() {
    let mesh = start_mesh("once-repeats", &SERVICES, "").await;

    let call = transfer("copies", "work_ms=50");
    let sends: Vec<_> = (0..8).map(|n| send(&mesh, n % 4, &call)).collect();
    let replies: Vec<Reply> = futures_util::future::join_all(sends)
        .await
        .into_iter()
        .flatten()
        .collect();
    assert!(replies.iter().all(Reply::is_ok), "{replies:?}");
    assert_at_most_once(&mesh, "copies", "copies", &replies).await;

    for (case, give_up_ms) in [("gave-up-early", 1), ("gave-up-during-run", 100)] {
        let call = transfer(case, "work_ms=200");
        let first = send(&mesh, ENTRY, &call);
        let give_up = Duration::from_millis(give_up_ms);
        assert!(tokio::time::timeout(give_up, first).await.is_err());
        let replies = send_until_settled(&mesh, OTHER_ENTRY, &call).await;
        assert!(
            replies.last().is_some_and(Reply::is_ok),
            "{case}: {replies:?}"
        );
        assert_at_most_once(&mesh, case, case, &replies).await;
    }

    let call = transfer("lost-append", "");
    let faults = LogFaults {
        lose_answers: 1,
        ..LogFaults::default()
    };
    mesh.set_log_faults(faults).await;
    let replies = send_until_settled(&mesh, ENTRY, &call).await;
    assert!(replies.last().is_some_and(Reply::is_ok), "{replies:?}");
    assert_at_most_once(&mesh, "lost-append", "lost-append", &replies).await;

    // The length of the first read of a long body varies, and must not change how the node
    // identifies the request.
    let mut long = transfer("long-body", "");
    long.body = vec![b'x'; 300_000];
    let mut replies = Vec::new();
    for entry in [0, ENTRY, OTHER_ENTRY, ENTRY] {
        replies.push(send(&mesh, entry, &long).await.unwrap());
    }
    assert!(replies.iter().all(Reply::is_ok), "{replies:?}");
    assert_at_most_once(&mesh, "long-body", "long-body", &replies).await;
}

/// Guards against a run, or a refusal after the deadline, while the log is unavailable or too slow
/// to settle a claim, and against a request that can't run once the log has recovered.
#[tokio::test(flavor = "multi_thread")]
async fn log_outage_refuses_by_the_deadline_and_recovers() {
    let mesh = start_mesh("once-outage", &SERVICES, "").await;
    let down = LogFaults {
        down: true,
        ..LogFaults::default()
    };
    let cases = [("down", down), ("slow", slow_log(5_000))];
    for (case, faults) in cases {
        mesh.set_log_faults(faults).await;
        let mut call = transfer(case, "");
        call.timeout_ms = Some(600);
        let begun = Instant::now();
        let reply = send(&mesh, ENTRY, &call).await.unwrap();
        let took = begun.elapsed();
        assert_eq!(reply.code, Some(401), "{case}: {reply:?}");
        assert!(
            took < Duration::from_millis(600) + REFUSAL_TOLERANCE,
            "{case}: {took:?}"
        );
        assert_eq!(mesh.total_runs(case).await, 0);

        mesh.set_log_faults(LogFaults::default()).await;
        let replies = send_until_settled(&mesh, OTHER_ENTRY, &call).await;
        assert!(
            replies.last().is_some_and(Reply::is_ok),
            "{case}: {replies:?}"
        );
        assert_at_most_once(&mesh, case, case, &replies).await;
    }
}

/// When the target-side node is killed.
enum KillMoment {
    /// While it waits for the log to append its claim.
    BeforeHandOver,
    /// While the target runs the request.
    AfterHandOver,
}

/// Guards against a second run when the caller repeats a request whose target-side node, holder of
/// the claim, was killed.
#[tokio::test(flavor = "multi_thread")]
async fn killed_target_side_node_causes_no_second_run() {
    let cases = [
        ("kill-before", KillMoment::BeforeHandOver),
        ("kill-after", KillMoment::AfterHandOver),
    ];
    for (case, moment) in cases {
        let mut mesh = start_mesh(&format!("once-{case}"), &SERVICES, "").await;
        let mut call = transfer(case, "work_ms=500");
        call.timeout_ms = Some(1_500);
        if matches!(moment, KillMoment::BeforeHandOver) {
            mesh.set_log_faults(slow_log(700)).await;
        }
        let first = tokio::spawn(send(&mesh, ENTRY, &call));
        let victim = wait_for_busy_node(&mesh, "title-desk").await;
        if matches!(moment, KillMoment::AfterHandOver) {
            wait_for_request_start(&mesh, victim).await;
        }
        mesh.kill_node(victim);
        let mut replies: Vec<Reply> = first.await.unwrap().into_iter().collect();
        assert!(
            replies.iter().all(|r| r.code == Some(303)),
            "{case}: {replies:?}"
        );
        mesh.set_log_faults(LogFaults::default()).await;
        replies.extend(send_until_settled(&mesh, OTHER_ENTRY, &call).await);
        assert_at_most_once(&mesh, case, case, &replies).await;
        mesh.start_node(victim);
        mesh.wait_for_version(1).await;
        replies.extend(send_until_settled(&mesh, victim, &call).await);
        assert_at_most_once(&mesh, case, case, &replies).await;
    }
}

/// Which node is suspended with SIGSTOP, and when.
#[derive(Clone, Copy)]
enum Suspended {
    /// The target-side node, while it waits for the log to append its claim.
    TargetSideBeforeHandOver,
    /// The target-side node, while the target runs the request.
    TargetSideDuringRun,
    /// The entry node, which then responds neither to the caller nor to its peers.
    Entry,
}

/// Suspends a node until after the request's deadline and resumes it while the caller repeats the
/// request.
async fn suspend_past_deadline(mesh: &Mesh, case: &str, suspended: Suspended) {
    let mut call = transfer(case, "work_ms=300");
    call.timeout_ms = Some(1_000);
    if matches!(suspended, Suspended::TargetSideBeforeHandOver) {
        mesh.set_log_faults(slow_log(500)).await;
    }
    let first = tokio::spawn(send(mesh, ENTRY, &call));
    let busy = wait_for_busy_node(mesh, "title-desk").await;
    let runs = mesh.total_runs(case).await;
    let victim = match suspended {
        Suspended::Entry => ENTRY,
        _ => busy,
    };
    if matches!(suspended, Suspended::TargetSideDuringRun) && runs == 0 {
        sleep_ms(50).await;
    }
    let proc = mesh.nodes[victim].proc.as_ref().unwrap();
    proc.signal("STOP");
    sleep_ms(1_300).await;
    mesh.set_log_faults(LogFaults::default()).await;
    let repeat = tokio::spawn(send(mesh, OTHER_ENTRY, &call));
    sleep_ms(300).await;
    proc.signal("CONT");
    let mut replies: Vec<Reply> = first.await.unwrap().into_iter().collect();
    replies.extend(repeat.await.unwrap());
    replies.extend(send_until_settled(mesh, OTHER_ENTRY, &call).await);
    assert_at_most_once(mesh, case, case, &replies).await;
}

/// Guards against a second run by a node that, after a long suspension, still relies on a claim or
/// deadline from before it.
#[tokio::test(flavor = "multi_thread")]
async fn suspended_node_causes_no_second_run() {
    let mesh = start_mesh("once-stopped", &SERVICES, "").await;
    let cases = [
        ("stop-before", Suspended::TargetSideBeforeHandOver),
        ("stop-during", Suspended::TargetSideDuringRun),
        ("stop-entry", Suspended::Entry),
    ];
    for (case, suspended) in cases {
        suspend_past_deadline(&mesh, case, suspended).await;
        mesh.wait_for_ready_members().await;
    }
}
