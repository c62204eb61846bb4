//! Requests that must not be repeated run at most once, and refusals are true.

use std::time::{Duration, Instant};

use fakes::LogFaults;

use crate::common::Mesh;
use crate::support::{
    Reply, assert_at_most_once, busy_node, mesh, send, send_until_settled, transfer, wait_started,
};

const SERVICES: [(&str, usize); 2] = [("title-desk", 2), ("ledger-view", 2)];
/// Position of a node that is never the one beside the target of a transfer.
const ENTRY: usize = 2;
const OTHER_ENTRY: usize = 3;
/// Time by which a refusal may miss the deadline of its request, on a busy machine.
const LATENESS: Duration = Duration::from_millis(400);

fn delayed(append_delay_ms: u64) -> LogFaults {
    LogFaults {
        append_delay_ms,
        ..LogFaults::default()
    }
}

async fn sleep_ms(ms: u64) {
    tokio::time::sleep(Duration::from_millis(ms)).await;
}

/// Guards against a second run by copies through several entries, by a repeat after the caller gave
/// up, and by a second append after a lost answer.
#[tokio::test(flavor = "multi_thread")]
async fn copies_and_repeats_run_once() {
    let mesh = mesh("once-repeats", &SERVICES, "").await;

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

    // The length of what is read first varies with the pieces in which a long body arrives.
    let mut long = transfer("long-body", "");
    long.body = vec![b'x'; 300_000];
    let mut replies = Vec::new();
    for entry in [0, ENTRY, OTHER_ENTRY, ENTRY] {
        replies.push(send(&mesh, entry, &long).await.unwrap());
    }
    assert!(replies.iter().all(Reply::is_ok), "{replies:?}");
    assert_at_most_once(&mesh, "long-body", "long-body", &replies).await;
}

/// Guards against a run or a late refusal while no claim can be settled.
#[tokio::test(flavor = "multi_thread")]
async fn a_log_outage_refuses_in_time_and_heals() {
    let mesh = mesh("once-outage", &SERVICES, "").await;
    let down = LogFaults {
        down: true,
        ..LogFaults::default()
    };
    let cases = [("down", down), ("slow", delayed(5_000))];
    for (case, faults) in cases {
        mesh.set_log_faults(faults).await;
        let mut call = transfer(case, "");
        call.timeout_ms = Some(600);
        let begun = Instant::now();
        let reply = send(&mesh, ENTRY, &call).await.unwrap();
        let took = begun.elapsed();
        assert_eq!(reply.code, Some(401), "{case}: {reply:?}");
        assert!(
            took < Duration::from_millis(600) + LATENESS,
            "{case}: {took:?}"
        );
        assert_eq!(mesh.runs_of(case).await, 0);

        mesh.set_log_faults(LogFaults::default()).await;
        let replies = send_until_settled(&mesh, OTHER_ENTRY, &call).await;
        assert!(
            replies.last().is_some_and(Reply::is_ok),
            "{case}: {replies:?}"
        );
        assert_at_most_once(&mesh, case, case, &replies).await;
    }
}

/// When the node beside the target is killed.
enum Moment {
    /// While its claim is on the way to the log.
    BeforeHandOver,
    /// While the target runs the request.
    AfterHandOver,
}

/// Guards against a second run by a repeat after the node that held the claim was killed.
#[tokio::test(flavor = "multi_thread")]
async fn a_killed_node_leads_to_no_second_run() {
    let cases = [
        ("kill-before", Moment::BeforeHandOver),
        ("kill-after", Moment::AfterHandOver),
    ];
    for (case, moment) in cases {
        let mut mesh = mesh(&format!("once-{case}"), &SERVICES, "").await;
        let mut call = transfer(case, "work_ms=500");
        call.timeout_ms = Some(1_500);
        if matches!(moment, Moment::BeforeHandOver) {
            mesh.set_log_faults(delayed(700)).await;
        }
        let first = tokio::spawn(send(&mesh, ENTRY, &call));
        let victim = busy_node(&mesh, "title-desk").await;
        if matches!(moment, Moment::AfterHandOver) {
            wait_started(&mesh, victim).await;
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
        mesh.wait_version(1).await;
        replies.extend(send_until_settled(&mesh, victim, &call).await);
        assert_at_most_once(&mesh, case, case, &replies).await;
    }
}

/// Which node is stopped, and when.
#[derive(Clone, Copy)]
enum Stopped {
    /// The node beside the target, while its claim is on the way to the log.
    BesideBeforeHandOver,
    /// The node beside the target, while the target runs the request.
    BesideDuringRun,
    /// The entry node, which cuts it off from the caller and from the others.
    Entry,
}

/// Stops a node past the request's deadline and continues it while the caller repeats the request.
async fn stop_past_deadline(mesh: &Mesh, case: &str, stopped: Stopped) {
    let mut call = transfer(case, "work_ms=300");
    call.timeout_ms = Some(1_000);
    if matches!(stopped, Stopped::BesideBeforeHandOver) {
        mesh.set_log_faults(delayed(500)).await;
    }
    let first = tokio::spawn(send(mesh, ENTRY, &call));
    let busy = busy_node(mesh, "title-desk").await;
    let runs = mesh.runs_of(case).await;
    let victim = match stopped {
        Stopped::Entry => ENTRY,
        _ => busy,
    };
    if matches!(stopped, Stopped::BesideDuringRun) && runs == 0 {
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

/// Guards against a run by a node that believes in a claim or a deadline of before its pause.
#[tokio::test(flavor = "multi_thread")]
async fn a_stopped_node_leads_to_no_second_run() {
    let mesh = mesh("once-stopped", &SERVICES, "").await;
    let cases = [
        ("stop-before", Stopped::BesideBeforeHandOver),
        ("stop-during", Stopped::BesideDuringRun),
        ("stop-entry", Stopped::Entry),
    ];
    for (case, stopped) in cases {
        stop_past_deadline(&mesh, case, stopped).await;
        mesh.wait_targets().await;
    }
}
