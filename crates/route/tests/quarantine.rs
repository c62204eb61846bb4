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
