//! Tests of the choice of the connection that is closed.

use std::time::Duration;

use admit::{ConnectionState, longest_idle, worst_holder};
use googletest::prelude::*;

fn state(held_kb: usize, in_progress: usize, idle_ms: u64, unread_ms: u64) -> ConnectionState {
    ConnectionState {
        held_bytes: held_kb << 10,
        in_progress,
        idle_for: Duration::from_millis(idle_ms),
        unread_for: Duration::from_millis(unread_ms),
    }
}

/// Guards against a crowd of idle connections that keeps ordinary callers out, and against a request
/// in progress that is cut off for a new connection.
#[gtest]
fn idle_connections_make_room_and_requests_in_progress_do_not() {
    let conns = [
        ("new", state(0, 0, 2, 0)),
        ("half a head", state(1, 0, 900, 0)),
        ("idle", state(0, 0, 3_000, 0)),
        ("request in progress", state(0, 1, 9_000, 0)),
    ];
    expect_that!(longest_idle(conns.into_iter()), some(eq("idle")));
    let busy = conns.into_iter().filter(|(_, s)| s.in_progress > 0);
    expect_that!(longest_idle(busy), none());
}

/// Guards against an ordinary caller with a large response that is closed before those who do not read
/// theirs.
#[gtest]
fn unread_responses_go_before_large_ones() {
    let conns = [
        ("reads a large one", state(8_000, 1, 5, 300)),
        ("reads hardly", state(2_000, 1, 100, 9_000)),
        ("reads hardly, holds less", state(500, 1, 100, 9_000)),
        ("small", state(3, 1, 60_000, 60_000)),
    ];
    expect_that!(worst_holder(conns.into_iter()), some(eq("reads hardly")));
    let readers = [conns[0], conns[3]].into_iter();
    expect_that!(worst_holder(readers), some(eq("reads a large one")));
    expect_that!(worst_holder([conns[3]].into_iter()), none());
}
