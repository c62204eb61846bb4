//! Quarantine of requests that crash targets.

use googletest::prelude::*;
use route::{Quarantine, QuarantineCfg, Strike};
use wire::{Fingerprint, Incarnation, InstanceId, Time};

const FP: Fingerprint = Fingerprint(9);

/// Records a strike at `second` seconds.
fn strike(q: &mut Quarantine, second: u64, fp: u64, instance: u64, incarnation: u64) -> Strike {
    let at = Time::from_millis(second * 1_000);
    q.strike(
        at,
        Fingerprint(fp),
        InstanceId(instance),
        Incarnation(incarnation),
    )
}

/// Guards against a quarantine after the loss of a single target, and against a crashing request
/// that continues to be admitted.
#[gtest]
fn strikes_from_two_targets_quarantine() {
    // Strikes as (second, instance, incarnation), the second of the query, whether quarantined
    // then.
    type Case = (&'static [(u64, u64, u64)], u64, bool);
    let cases: [Case; 8] = [
        (&[], 1, false),
        (&[(0, 1, 1)], 1, false),
        (&[(0, 1, 1), (1, 1, 1)], 2, false),
        (&[(0, 1, 1), (1, 1, 2)], 2, false),
        (&[(0, 1, 1), (1, 2, 1)], 2, true),
        (&[(0, 1, 1), (1, 2, 1)], 62, false),
        (&[(0, 1, 1), (61, 2, 1)], 62, false),
        (&[(0, 1, 1), (1, 2, 1), (59, 3, 1), (62, 4, 1)], 63, true),
    ];
    for (strikes, at, want) in cases {
        let mut q = Quarantine::new(QuarantineCfg::default());
        for (second, instance, incarnation) in strikes {
            strike(&mut q, *second, FP.0, *instance, *incarnation);
        }
        let now = Time::from_millis(at * 1_000);
        expect_that!(q.is_quarantined(now, FP), eq(want), "{strikes:?} at {at}");
    }
}

/// Guards against a strike that gossip repeats without end.
#[gtest]
fn repeated_strike_is_not_counted() {
    let mut q = Quarantine::new(QuarantineCfg::default());
    expect_that!(strike(&mut q, 0, 1, 1, 1), eq(Strike::Counted));
    expect_that!(strike(&mut q, 30, 1, 1, 1), eq(Strike::Known));
    expect_that!(strike(&mut q, 61, 1, 2, 1), eq(Strike::Counted));
    expect_that!(strike(&mut q, 62, 1, 3, 1), eq(Strike::Quarantined));
}

/// Guards against the quarantine of a harmless request that was in flight on the same targets as a
/// crashing one.
#[gtest]
fn success_clears_strikes_and_their_late_copies() {
    let mut q = Quarantine::new(QuarantineCfg::default());
    strike(&mut q, 0, FP.0, 1, 1);
    q.clear(FP);
    expect_that!(strike(&mut q, 1, FP.0, 1, 1), eq(Strike::Known));
    expect_that!(strike(&mut q, 2, FP.0, 2, 1), eq(Strike::Counted));
    expect_that!(q.is_quarantined(Time::from_millis(3_000), FP), eq(false));
    expect_that!(strike(&mut q, 4, FP.0, 3, 1), eq(Strike::Quarantined));
    q.clear(FP);
    expect_that!(q.is_quarantined(Time::from_millis(5_000), FP), eq(false));
}

/// Guards against a table that grows without bound or retains entries after they expire.
#[gtest]
fn table_is_bounded() {
    let mut q = Quarantine::new(QuarantineCfg {
        capacity: 100,
        ..QuarantineCfg::default()
    });
    for fp in 0..1_000 {
        strike(&mut q, fp / 100, fp, 1, 1);
        expect_that!(q.len(), le(100));
    }
    q.is_quarantined(Time::from_millis(100_000), FP);
    expect_that!(q.is_empty(), eq(true));
}

/// Guards against a request that crashes its target again and again where all strikes come from one
/// instance that restarts under its id.
#[gtest]
fn three_strikes_of_one_target_quarantine() {
    let mut q = Quarantine::new(QuarantineCfg::default());
    expect_that!(strike(&mut q, 0, FP.0, 1, 1), eq(Strike::Counted));
    expect_that!(strike(&mut q, 5, FP.0, 1, 2), eq(Strike::Counted));
    expect_that!(strike(&mut q, 10, FP.0, 1, 3), eq(Strike::Quarantined));
}

/// Guards against the quarantine of a harmless request that many callers send, when several targets
/// crash at once or in turn, and against one that crashes its targets and is never quarantined since it
/// has completed before.
#[gtest]
fn completed_runs_weigh_against_strikes() {
    // Events as (second, instance that crashes, 0 for a completed run); whether quarantined at the end.
    type Case = (&'static [(u64, u64)], bool);
    let cases: [Case; 8] = [
        (&[(1, 0), (2, 1), (2, 2), (2, 3)], false),
        (&[(1, 1), (2, 0), (3, 2), (4, 0), (5, 3)], false),
        (&[(1, 1), (1, 2), (2, 0)], false),
        (&[(1, 0), (2, 1), (4, 2)], true),
        (&[(1, 0), (2, 1), (2, 2), (4, 1)], true),
        (&[(1, 0), (2, 1), (3, 0), (4, 2), (6, 3)], true),
        // The completed run is too long ago.
        (&[(1, 0), (62, 1), (62, 2)], true),
        (&[(1, 1), (1, 2), (62, 0), (63, 1), (63, 2)], false),
    ];
    for (events, want) in cases {
        let mut q = Quarantine::new(QuarantineCfg::default());
        let mut last = 0;
        for (n, (second, instance)) in events.iter().enumerate() {
            last = *second;
            let now = Time::from_millis(last * 1_000);
            match instance {
                0 => _ = q.record_completed(now, FP),
                id => _ = strike(&mut q, last, FP.0, *id, n as u64),
            }
        }
        let now = Time::from_millis(last * 1_000 + 500);
        expect_that!(q.is_quarantined(now, FP), eq(want), "{events:?}");
    }
}

/// Guards against a crowd of equal requests that all crash a target once the quarantine has ended.
#[gtest]
fn after_a_quarantine_one_request_is_tried() {
    let mut q = Quarantine::new(QuarantineCfg::default());
    let at = |second: u64| Time::from_millis(second * 1_000);
    strike(&mut q, 0, FP.0, 1, 1);
    expect_that!(q.must_refuse(at(1), FP), eq(false));
    strike(&mut q, 1, FP.0, 2, 1);
    expect_that!(q.must_refuse(at(60), FP), eq(true));
    // The first one after the end is let through, and crashes a target.
    expect_that!(q.must_refuse(at(62), FP), eq(false));
    expect_that!(q.must_refuse(at(62), FP), eq(true));
    expect_that!(strike(&mut q, 62, FP.0, 1, 2), eq(Strike::Quarantined));
    expect_that!(q.must_refuse(at(62 + 239), FP), eq(true));
    // The next one completes, and the quarantine has left nothing behind.
    expect_that!(q.must_refuse(at(62 + 241), FP), eq(false));
    expect_that!(q.record_completed(at(304), FP), eq(true));
    expect_that!(q.must_refuse(at(304), FP), eq(false));
    expect_that!(q.must_refuse(at(304), FP), eq(false));
    expect_that!(strike(&mut q, 305, FP.0, 1, 3), eq(Strike::Counted));
}
