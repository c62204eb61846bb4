//! Deltas between configuration texts, and publication ids.

use config::{Delta, DeltaError, PublicationId, diff};
use googletest::prelude::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(0x5eed_0002),
        ..ProptestConfig::default()
    })]

    /// Guards against a delta that doesn't reproduce the new text, including texts with CRLF line
    /// endings or without a final newline.
    #[test]
    fn delta_reproduces_the_new_text(old in "([ab]{0,1}\r?\n){0,20}b?", new in "([ab]{0,1}\r?\n){0,20}b?") {
        let d = Delta::between(&old, &new);
        prop_assert_eq!(d.apply(&old), Ok(new.clone()));
        prop_assert_eq!(diff(&old, &new).is_empty(), old == new);
    }
}

/// Guards against a delta that is applied to a text other than its base, and against quadratic time
/// when all 30,000 lines of a text change.
#[gtest]
fn delta_applies_to_its_base_only() {
    let text = |c: &str| (0..30_000).map(|i| format!("{c}{i}\n")).collect::<String>();
    let (old, new) = (text("a"), text("b"));
    let d = Delta::between(&old, &new);
    expect_that!(d.apply(&new), err(eq(&DeltaError::BaseMismatch)));
    expect_that!(d.apply(&old), ok(eq(&new)));
}

/// Guards against publication ids that don't survive formatting and parsing, and against malformed
/// ids that are accepted.
#[gtest]
fn publication_id_round_trips_as_text() {
    let id = PublicationId::from_random(*b"\x00123456789abcde\xff");
    expect_that!(id.to_string().parse::<PublicationId>(), ok(eq(id)));
    for bad in [
        "",
        "+0112233445566778899aabbccddeeff",
        "00",
        "é0112233445566778899aabbccddeef",
    ] {
        expect_that!(bad.parse::<PublicationId>().is_err(), eq(true), "{bad}");
    }
}
