//! How long replies have been outstanding.

use std::time::Duration;

use route::OverdueReply;
use wire::Time;

fn at(ms: u64) -> Time {
    Time::ZERO + Duration::from_millis(ms)
}

/// Guards against late detection of a partition because each new request restarts the wait, and
/// against a domain that counts as unresponsive after one of its nodes has replied.
#[test]
fn overdue_time_starts_at_oldest_request_and_any_reply_resets_it() {
    let mut domain = OverdueReply::default();
    assert_eq!(domain.outstanding_for(at(5_000)), Duration::ZERO);
    domain.record_request(at(100));
    domain.record_request(at(300));
    assert_eq!(domain.outstanding_for(at(350)), Duration::from_millis(250));
    domain.record_reply();
    assert_eq!(domain.outstanding_for(at(900)), Duration::ZERO);
    domain.record_request(at(1_000));
    assert_eq!(domain.outstanding_for(at(1_010)), Duration::from_millis(10));
}
