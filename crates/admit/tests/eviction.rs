//! Tests of the choice of the connection that is closed.

use std::time::Duration;

use admit::{ConnectionState, Pace, longest_idle, worst_holder};
use googletest::prelude::*;
use wire::Time;

const SLOWLY: bool = false;
const EVENLY: bool = true;

fn state(held_kb: usize, in_progress: usize, idle_ms: u64) -> ConnectionState {
    ConnectionState {
        held_bytes: held_kb << 10,
        in_progress,
        idle_for: Duration::from_millis(idle_ms),
        waiting_for: Duration::ZERO,
        is_moving: false,
    }
}

fn waiting(held_kb: usize, waiting_ms: u64, is_moving: bool) -> ConnectionState {
    ConnectionState {
        waiting_for: Duration::from_millis(waiting_ms),
        is_moving,
        ..state(held_kb, 1, 5)
    }
}

/// Guards against a crowd of idle connections that keeps ordinary callers out, and against a request
/// in progress that is cut off for a new connection.
#[gtest]
fn idle_connections_make_room_and_requests_in_progress_do_not() {
    let conns = [
        ("new", state(0, 0, 2)),
        ("half a head", state(1, 0, 900)),
        ("idle", state(0, 0, 3_000)),
        ("request in progress", state(0, 1, 9_000)),
    ];
    expect_that!(longest_idle(conns.into_iter()), some(eq("idle")));
    let busy = conns.into_iter().filter(|(_, s)| s.in_progress > 0);
    expect_that!(longest_idle(busy), none());
}

/// Guards against a crowd that takes all connections with requests that it does not finish.
#[gtest]
fn stalled_requests_make_room_after_idle_connections() {
    let conns = [
        ("sends evenly", waiting(0, 60_000, EVENLY)),
        ("stalled", waiting(0, 60_000, SLOWLY)),
    ];
    expect_that!(longest_idle(conns.into_iter()), some(eq("stalled")));
    let with_idle = conns.into_iter().chain([("idle", state(0, 0, 1))]);
    expect_that!(longest_idle(with_idle), some(eq("idle")));
}

/// Guards against an ordinary caller that is closed, whatever it holds and whatever memory is needed
/// for: only callers that hold much and do not go on are, those with most for longest first.
#[gtest]
fn only_stalled_callers_are_closed_for_memory() {
    let conns = [
        ("reads a large one", waiting(8_000, 9_000, EVENLY)),
        ("has just begun", waiting(8_000, 300, SLOWLY)),
        ("waits for the node", state(8_000, 1, 9_000)),
        ("hardly reads", waiting(2_000, 9_000, SLOWLY)),
        ("hardly reads, holds less", waiting(500, 9_000, SLOWLY)),
        ("small", waiting(3, 60_000, SLOWLY)),
    ];
    expect_that!(worst_holder(conns.into_iter()), some(eq("hardly reads")));
    let others = [conns[0], conns[1], conns[2], conns[5]];
    expect_that!(worst_holder(others.into_iter()), none());
}

/// Guards against an even reader that counts as stalled between two reads, and against one that reads
/// a byte now and then and counts as moving.
#[gtest]
fn the_pace_is_that_of_the_last_seconds() {
    let at = |ms: u64| Time::ZERO + Duration::from_millis(ms);
    let (mut even, mut hardly) = (Pace::default(), Pace::default());
    for ms in (10_000..20_000).step_by(500) {
        even.record(at(ms), 32 << 10);
        hardly.record(at(ms), 256);
    }
    for ms in [19_501, 19_999, 20_400] {
        expect_that!(even.is_ordinary(at(ms)), eq(true), "at {ms} ms");
        expect_that!(hardly.is_ordinary(at(ms)), eq(false), "at {ms} ms");
    }
    expect_that!(even.is_ordinary(at(25_000)), eq(false));
}
