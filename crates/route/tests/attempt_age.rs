//! Age of a caller's first attempt.

use std::sync::Arc;
use std::time::Duration;

use route::AttemptAges;
use wire::Time;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Guards against retries that count as first attempts, and against first attempts that count as
/// retries because of a few milliseconds of transit time.
#[test]
fn retry_age_counts_from_first_attempt() {
    let mut ages = AttemptAges::default();
    let (a, b): (Arc<str>, Arc<str>) = ("a".into(), "b".into());
    let now = Time::from_millis(1_000);
    assert_eq!(ages.age(now, &a, ms(2_000)), Duration::ZERO);
    assert_eq!(ages.age(now, &a, ms(1_990)), Duration::ZERO);
    assert_eq!(ages.age(now, &a, ms(1_400)), ms(600));
    assert_eq!(
        ages.age(now, &b, ms(250)),
        Duration::ZERO,
        "each route has its own longest time-out"
    );
}

/// Guards against a longest time-out that no caller states any more.
#[test]
fn unused_timeout_expires() {
    let mut ages = AttemptAges::default();
    let a: Arc<str> = "a".into();
    ages.age(Time::from_millis(0), &a, ms(9_000));
    let mut age = Duration::MAX;
    for s in [10, 31, 62, 93] {
        age = ages.age(Time::from_millis(s * 1_000), &a, ms(2_000));
    }
    assert_eq!(age, Duration::ZERO);
}
