//! Delayed and duplicate reports of a node's own target, and reports of its earlier incarnations.

use std::time::Duration;

use member::{OwnTarget, ReportOutcome, TargetIncarnation, TargetReport, TargetState};
use wire::{Time, UnixMillis};

const NOW: Time = Time::from_millis(10_000);

fn report(name: &str, started: u64, sequence: u64, state: TargetState) -> TargetReport {
    TargetReport {
        incarnation: TargetIncarnation {
            name: name.into(),
            started: UnixMillis(started),
        },
        sequence,
        service: "desk".into(),
        address: ([127, 0, 0, 1], 1).into(),
        slots: 6,
        state,
        warmup_remaining: Duration::ZERO,
        software: "v1".into(),
    }
}

fn ready(name: &str, started: u64, sequence: u64) -> TargetReport {
    report(name, started, sequence, TargetState::Ready)
}

/// Returns a target whose current incarnation "a" is ready and confirmed.
fn confirmed_target() -> OwnTarget {
    let mut t = OwnTarget::new();
    assert_eq!(
        t.apply_report(NOW, &ready("a", 100, 5)),
        ReportOutcome::NewLife
    );
    t.record_health_check("a", true);
    assert!(t.usable_report().is_some());
    t
}

/// Guards against requests to an incarnation that has already ended when its delayed report
/// arrives. A new incarnation must be confirmed by its health endpoint or a second report.
#[test]
fn new_incarnation_is_used_only_after_confirmation() {
    let mut t = OwnTarget::new();
    t.apply_report(NOW, &ready("a", 100, 5));
    assert!(t.usable_report().is_none());
    t.record_health_check("b", true);
    assert!(t.usable_report().is_none(), "another target's health");
    t.record_health_check("a", false);
    assert!(t.usable_report().is_none(), "unhealthy");
    assert_eq!(
        t.apply_report(NOW, &ready("a", 100, 6)),
        ReportOutcome::Changed
    );
    assert!(t.usable_report().is_some(), "a second report");
}

/// Guards against a report in transit that reverts the departure of the same incarnation.
#[test]
fn departure_is_final_within_an_incarnation() {
    for by_report in [true, false] {
        let mut t = confirmed_target();
        if by_report {
            t.apply_report(NOW, &report("a", 100, 6, TargetState::Draining));
        } else {
            assert!(t.record_departure(NOW, "a", Some(UnixMillis(100))));
        }
        assert!(t.usable_report().is_none());
        t.apply_report(NOW, &ready("a", 100, 7));
        assert!(t.usable_report().is_none());
        assert_eq!(
            t.apply_report(NOW, &ready("a", 200, 1)),
            ReportOutcome::NewLife
        );
        t.record_health_check("a", true);
        assert!(
            t.usable_report().is_some(),
            "a later incarnation with the same name"
        );
    }
}

/// Guards against a draining report that is acknowledged and ignored, since it overtook none: a
/// delayed report, or one of another writer, had a larger sequence number.
#[test]
fn an_overtaken_draining_report_counts() {
    let mut t = confirmed_target();
    t.apply_report(NOW, &ready("a", 100, 1 << 53));
    let draining = report("a", 100, 6, TargetState::Draining);
    assert_eq!(t.apply_report(NOW, &draining), ReportOutcome::Changed);
    assert!(t.usable_report().is_none());
    t.apply_report(NOW, &ready("a", 100, (1 << 53) + 1));
    assert!(t.usable_report().is_none());
}

/// Guards against departures that the node does not pass on, since the target announced them by a
/// draining report or without its start time, and against one departure that evicts others.
#[test]
fn each_departure_is_retained_once() {
    let mut t = confirmed_target();
    t.apply_report(NOW, &report("a", 100, 6, TargetState::Draining));
    for sequence in 7..40 {
        t.apply_report(NOW, &report("a", 100, sequence, TargetState::Draining));
        t.record_departure(NOW, "a", Some(UnixMillis(100)));
    }
    let departed: Vec<_> = t.departed().collect();
    assert_eq!(departed, [("a", Some(UnixMillis(100)))]);
    let mut t = confirmed_target();
    t.record_departure(NOW, "a", None);
    assert!(t.departed().any(|d| d == ("a", Some(UnixMillis(100)))));
    // The first report of an incarnation may already be a draining one.
    let mut t = OwnTarget::new();
    t.apply_report(NOW, &report("b", 200, 1, TargetState::Draining));
    assert!(t.departed().any(|d| d == ("b", Some(UnixMillis(200)))));
}

/// Guards against duplicate and delayed reports that replace newer state.
#[test]
fn outdated_reports_change_nothing() {
    let cases = [
        ("same again", ready("a", 100, 5)),
        ("earlier", ready("a", 100, 4)),
        ("earlier incarnation, same name", ready("a", 90, 9)),
        ("earlier incarnation, other name", ready("z", 99, 50)),
    ];
    for (case, outdated) in cases {
        let mut t = confirmed_target();
        assert_eq!(
            t.apply_report(NOW, &outdated),
            ReportOutcome::Stale,
            "{case}"
        );
        assert_eq!(
            t.usable_report().unwrap().incarnation.started,
            UnixMillis(100),
            "{case}"
        );
    }
}

/// Guards against a restarted target that is never used because its clock was set back. An earlier
/// start time is accepted once the current incarnation is down.
#[test]
fn earlier_start_is_accepted_once_current_incarnation_is_down() {
    let mut t = confirmed_target();
    t.record_refused_connection();
    assert!(t.usable_report().is_none());
    assert_eq!(
        t.apply_report(NOW, &ready("b", 50, 1)),
        ReportOutcome::NewLife
    );
    t.record_health_check("b", true);
    assert_eq!(t.usable_report().unwrap().incarnation.name.as_ref(), "b");
}

/// Guards against the confirmation of an incarnation that has ended by its delayed reports, once the
/// one that replaced it drains or is down.
#[test]
fn delayed_reports_of_a_replaced_incarnation_are_ignored() {
    for drains in [true, false] {
        let mut t = confirmed_target();
        t.apply_report(NOW, &ready("a", 200, 1));
        t.record_health_check("a", true);
        if drains {
            t.apply_report(NOW, &report("a", 200, 2, TargetState::Draining));
        } else {
            t.record_refused_connection();
        }
        for sequence in [6, 7] {
            assert_eq!(
                t.apply_report(NOW, &ready("a", 100, sequence)),
                ReportOutcome::Stale
            );
        }
        assert!(t.usable_report().is_none());
    }
}

/// Guards against reports without a start time, such as those of another writer, that bring a draining
/// target back into use.
#[test]
fn reports_without_a_start_time_do_not_end_draining() {
    let mut t = confirmed_target();
    t.apply_report(NOW, &report("a", 100, 6, TargetState::Draining));
    for sequence in [7, 8] {
        t.apply_report(NOW, &ready("a", 0, sequence));
    }
    assert!(t.usable_report().is_none());
}

/// Guards against permanent exclusion of a restarted target by a delayed departure of the same name
/// without a start time.
#[test]
fn departure_without_start_time_expires() {
    let mut t = OwnTarget::new();
    t.record_departure(NOW, "a", None);
    assert_eq!(
        t.apply_report(NOW, &ready("a", 100, 1)),
        ReportOutcome::Stale
    );
    let later = NOW + Duration::from_secs(11);
    assert_eq!(
        t.apply_report(later, &ready("a", 100, 9)),
        ReportOutcome::NewLife
    );
}

/// Guards against permanent exclusion of a live target after a single refused connection.
#[test]
fn report_clears_down_state_after_refused_connection() {
    let mut t = confirmed_target();
    t.record_refused_connection();
    assert!(t.is_down());
    assert_eq!(
        t.apply_report(NOW, &ready("a", 100, 6)),
        ReportOutcome::Changed
    );
    assert!(t.usable_report().is_some());
}

/// Guards against requests to a target that has been replaced by another one at its address.
#[test]
fn different_identifier_at_the_address_ends_current_incarnation() {
    let mut t = confirmed_target();
    t.drop_if_replaced_by("a");
    assert!(t.usable_report().is_some());
    t.drop_if_replaced_by("b");
    assert!(t.usable_report().is_none());
}
