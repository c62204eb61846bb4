//! Downloads at a target whose slots are free and whose link is not.

use std::time::Duration;

use admit::{Job, JobVerdict, LinkLoad, TargetQueue};
use googletest::prelude::*;
use wire::Time;

const DOWNLOAD: u64 = 1;
const LOOKUP: u64 = 2;
const LINK_MBPS: u32 = 11;
const DOWNLOAD_BYTES: usize = 90_000;
const SERVICE: Duration = Duration::from_millis(240);

fn job(route: u64) -> Job {
    let now = Time::from_millis(1_000);
    Job {
        route,
        priority: 0,
        organisation: None,
        arrived: now,
        objective: now + Duration::from_millis(1_000),
        deadline: now + Duration::from_millis(2_500),
        is_last_resort: false,
        max_wait: Duration::MAX,
    }
}

/// Guards against downloads that get a slot and then wait on the link until their callers have left.
/// Before, all of 18 slots were given away at once: 1.6 MB, 1.5 s on this link.
#[gtest]
fn downloads_that_the_link_can_not_carry_in_time_are_refused() {
    let mut link = LinkLoad::default();
    link.record(DOWNLOAD, DOWNLOAD_BYTES);
    link.record(LOOKUP, 1_500);
    let mut queue = TargetQueue::new(18);
    let now = Time::from_millis(1_000);
    let mut admitted = 0;
    for _ in 0..18 {
        let bytes = link.expected(DOWNLOAD);
        let job = link.before_transfer(now, job(DOWNLOAD), SERVICE, (bytes, 0), LINK_MBPS);
        if job.is_ok_and(|job| matches!(queue.offer(now, job), JobVerdict::Run(_))) {
            link.begin(bytes);
            admitted += 1;
        }
    }
    // A link of 11 Mbit/s carries 12 of them in a second, less other messages; the work takes 240 ms.
    expect_that!(admitted, all![ge(6), le(12)]);
    let sizes = (link.expected(LOOKUP), 0);
    let lookup = link.before_transfer(now, job(LOOKUP), SERVICE, sizes, LINK_MBPS);
    let verdict = queue.offer(now, lookup.expect("a small response"));
    expect_that!(verdict, matches_pattern!(JobVerdict::Run(_)));
    // Once they are through, there is room again.
    for _ in 0..admitted {
        link.end(DOWNLOAD_BYTES);
    }
    let sizes = (DOWNLOAD_BYTES, 0);
    let next = link.before_transfer(now, job(DOWNLOAD), SERVICE, sizes, LINK_MBPS);
    expect_that!(next, ok(anything()));
}
