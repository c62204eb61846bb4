//! Transit delay of messages, relative to the fastest one.

use std::time::Duration;

use route::TransitDelay;
use wire::Time;

fn at(ms: u64) -> Time {
    Time::ZERO + Duration::from_millis(ms)
}

/// Guards against delays that depend on the start of either clock, and against a slow first message
/// that hides the delay of all later ones.
#[test]
fn delay_is_relative_to_the_fastest_message() {
    let ms = |n: u64| Duration::from_millis(n);
    for offset in [0, 7_000_000_000] {
        let sent = |at_ms: u64| offset + at_ms * 1_000;
        let mut delay = TransitDelay::default();
        assert_eq!(delay.record(at(10_080), sent(10_000)), ms(0));
        assert_eq!(delay.record(at(10_202), sent(10_200)), ms(0));
        assert_eq!(delay.record(at(11_302), sent(10_300)), ms(1_000));
        assert_eq!(delay.record(at(11_303), sent(11_300)), ms(1));
    }
}
