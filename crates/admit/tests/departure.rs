//! Which requests a node that shuts down still takes.

use std::time::Duration;

use admit::Departure;
use wire::Time;

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

/// Guards against requests that are taken late and cut off, and against refusals of those that end well
/// before.
#[test]
fn a_request_must_end_before_the_cut() {
    let departure = Departure::new(at(5_200));
    let objective = Duration::from_millis(1_000);
    let latest = |mean: u64| departure.latest_start(Some(Duration::from_millis(mean)), objective);
    assert_eq!(latest(100), at(4_800));
    assert_eq!(latest(1_000), at(3_000));
    assert_eq!(latest(60_000), at(0));
    assert_eq!(departure.latest_start(None, objective), at(4_500));
}

/// Guards against targets that work beyond the cut for a caller who no longer gets their response.
#[test]
fn a_target_stops_before_the_cut() {
    let departure = Departure::new(at(5_200));
    assert_eq!(departure.limit(at(4_000)), at(4_000));
    assert_eq!(departure.limit(at(9_000)), at(5_000));
    assert_eq!(Departure::new(at(100)).limit(at(9_000)), at(0));
}
