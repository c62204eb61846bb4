//! How long answers have been owed.

use std::time::Duration;

use route::Silence;
use wire::Time;

fn at(ms: u64) -> Time {
    Time::ZERO + Duration::from_millis(ms)
}

/// Guards against a cut that is found late because each new question starts the wait again, and
/// against a domain that stays silent after any of its nodes has answered.
#[test]
fn the_oldest_question_counts_until_any_answer() {
    let mut domain = Silence::default();
    assert_eq!(domain.owed_for(at(5_000)), Duration::ZERO);
    domain.asked(at(100));
    domain.asked(at(300));
    assert_eq!(domain.owed_for(at(350)), Duration::from_millis(250));
    domain.answered();
    assert_eq!(domain.owed_for(at(900)), Duration::ZERO);
    domain.asked(at(1_000));
    assert_eq!(domain.owed_for(at(1_010)), Duration::from_millis(10));
}
