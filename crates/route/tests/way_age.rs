//! How much longer than usual messages were on the way.

use std::time::Duration;

use route::WayAge;
use wire::Time;

fn at(ms: u64) -> Time {
    Time::ZERO + Duration::from_millis(ms)
}

/// Guards against ages that follow the clocks' starts, and against a slow first message that makes
/// later ones look fast for ever.
#[test]
fn only_the_difference_to_the_fastest_message_counts() {
    let ms = |n: u64| Duration::from_millis(n);
    for offset in [0, 7_000_000_000] {
        let sent = |at_ms: u64| offset + at_ms * 1_000;
        let mut age = WayAge::default();
        assert_eq!(age.measure(at(10_080), sent(10_000)), ms(0));
        assert_eq!(age.measure(at(10_202), sent(10_200)), ms(0));
        assert_eq!(age.measure(at(11_302), sent(10_300)), ms(1_000));
        assert_eq!(age.measure(at(11_303), sent(11_300)), ms(1));
    }
}
