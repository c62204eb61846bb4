//! Decisions of a single node. Events and actions are written in a short form, see [`event`] and
//! [`short_form`], with identifiers and versions as numbers, such as `announce:2:6` for version 6
//! announced by node 2. A version with `!` has a different text and digest.

mod common;

use std::collections::BTreeSet;

use common::{addr, config, node, peer, version_reported};
use googletest::prelude::*;
use spread::{Action, ConfigText, Contact, Event, FETCH_TIMEOUT, FetchError, JoinAnswer};
use spread::{
    LOG_READ_FALLBACK, LogState, MEMBERSHIP_SETTLE_TIME, Origin, READERS_PER_DOMAIN, Spread,
};
use wire::{Digest, InstanceId, Time, Version};

/// Identifier of a node outranked as a reader by at least two members with identifiers 2 to 9.
const OUTRANKED_ID: u64 = 1;
const SEED: u64 = 0x5eed_0004;

/// Parses an identifier or a version, with or without `!`.
fn parse(s: &str) -> u64 {
    s.trim_end_matches('!').parse().expect("a number")
}

/// Parses a version and returns its configuration, or a conflicting one if the version has `!`.
fn config_of(s: &str) -> ConfigText {
    let (version, conflicting) = (Version(parse(s)), config(99));
    if s.ends_with('!') {
        ConfigText {
            version,
            ..conflicting
        }
    } else {
        config(version.0)
    }
}

/// Parses an event: its name and fields, separated by colons.
fn event(s: &str) -> Event {
    let f: Vec<&str> = s.split(':').collect();
    let (to, from) = (
        |i: usize| Contact::Seed(addr(parse(f[i]))),
        || InstanceId(parse(f[1])),
    );
    match f[0] {
        "tick" => Event::Tick,
        "log-down" => Event::LogUnavailable,
        "log-unsupported" => Event::LogFormatUnsupported { format: 2 },
        "peers" => Event::Peers(f[1..].iter().map(|n| peer(parse(n), true)).collect()),
        "peers-starting" => Event::Peers(f[1..].iter().map(|n| peer(parse(n), false)).collect()),
        "log-end" => Event::LogTail {
            snapshot: config_of(f[1]),
            at_end: true,
        },
        "log-tail" => Event::LogTail {
            snapshot: config_of(f[1]),
            at_end: false,
        },
        "announce" => version_reported(parse(f[1]), &config_of(f[2]), Origin::Announcement),
        "probe" => version_reported(parse(f[1]), &config_of(f[2]), Origin::Probe),
        "fetched" => Event::Fetched {
            from: from(),
            result: Ok(config_of(f[2])),
        },
        "fetch-failed" => Event::Fetched {
            from: from(),
            result: Err(FetchError::Failed),
        },
        "fetched-corrupt" => {
            let altered = ConfigText {
                text: "altered".into(),
                ..config_of(f[2])
            };
            Event::Fetched {
                from: from(),
                result: Ok(altered),
            }
        }
        "joined" => {
            let ConfigText {
                version, digest, ..
            } = config_of(f[2]);
            let floor = Version(parse(f[3]));
            let answer = JoinAnswer {
                from: from(),
                version,
                digest,
                version_floor: floor,
                follows_log: f.get(4).is_some(),
            };
            let to = to(1);
            Event::Joined { to, answer }
        }
        "confirmed" => {
            let t = config_of(f[2]);
            Event::Confirmed {
                from: from(),
                current: Some((t.version, t.digest)),
            }
        }
        "unconfirmed" => Event::Confirmed {
            from: from(),
            current: None,
        },
        "seed-failed" => Event::JoinFailed { to: to(1) },
        "peer-failed" => Event::JoinFailed {
            to: Contact::Peer(from()),
        },
        "applied" => Event::Applied(Version(parse(f[1]))),
        "apply-failed" => Event::ApplyFailed(Version(parse(f[1]))),
        other => panic!("unknown event `{other}`"),
    }
}

/// Writes an action as its name and the fields that the tests check, separated by colons.
fn short_form(a: &Action) -> String {
    match a {
        Action::ReadLog(on) => format!("read:{on}"),
        Action::Confirm { to } => format!("confirm:{}", to.0),
        Action::Join { .. } => "join".to_owned(),
        Action::Announce { to, version, .. } => format!("announce:{}:{version}", to.0),
        Action::Fetch { from, .. } => format!("fetch:{}", from.0),
        Action::Apply(t) => format!("apply:{}", t.version),
        Action::Ready => "ready".to_owned(),
        Action::NotReady => "not-ready".to_owned(),
    }
}

/// Handles events, separated by spaces, at time `ms` and returns the actions.
fn run(s: &mut Spread, ms: u64, events: &str) -> Vec<String> {
    let handle = |e| s.handle(Time::from_millis(ms), event(e));
    events
        .split_whitespace()
        .flat_map(handle)
        .map(|a| short_form(&a))
        .collect()
}

/// Splits a table into rows of three columns.
fn rows(table: &str) -> impl Iterator<Item = [&str; 3]> {
    table.lines().skip(1).map(|line| {
        let columns: Vec<&str> = line.split('|').map(str::trim).collect();
        columns.try_into().expect("three columns")
    })
}

/// Node that has read a version from the log, applied it and become ready.
fn ready(id: u64, version: u64) -> Spread {
    let mut s = node(id, [], SEED);
    run(&mut s, 0, &format!("log-end:{version} applied:{version}"));
    assert!(s.status().is_ready);
    s
}

/// Event in which all of `ids` are ready members.
fn view(ids: impl IntoIterator<Item = u64>) -> String {
    ids.into_iter()
        .fold("peers".to_owned(), |s, id| format!("{s}:{id}"))
}

/// Guards against a failure domain without log readers, also after a reader has departed, and
/// against so many readers that the load on the log grows with the number of nodes.
#[gtest]
fn each_domain_has_two_ready_readers() {
    let mut members: Vec<u64> = (1..40).chain(100..110).collect();
    for _ in 0..5 {
        let is_reader = |id: &u64| {
            let mut s = ready(*id, 1);
            run(&mut s, 1, &view(members.iter().copied()));
            s.status().is_reader
        };
        let readers: Vec<_> = members
            .iter()
            .copied()
            .filter(|id| *id < 100)
            .filter(is_reader)
            .collect();
        expect_that!(readers.len(), eq(READERS_PER_DOMAIN));
        members.retain(|id| *id != readers[0]);
    }
}

/// Guards against a number of announcements that grows with the number of nodes, and against a
/// failure domain to which no reader announces a new version.
#[gtest]
fn announcement_fanout_is_bounded() {
    for me in 1..40 {
        let mut s = ready(me, 1);
        run(
            &mut s,
            1,
            &view((1..40).chain(100..110).chain(200..210).chain(300..310)),
        );
        let out = run(&mut s, 2, "log-end:2 applied:2");
        let recipients: BTreeSet<u64> = out
            .iter()
            .filter_map(|a| Some(parse(a.strip_prefix("announce:")?.strip_suffix(":2")?)))
            .collect();
        let domains: Vec<u64> = recipients
            .iter()
            .map(|id| id / 100)
            .filter(|d| *d > 0)
            .collect();
        expect_that!(
            (recipients.len() - domains.len(), recipients.contains(&me)),
            eq((4, false))
        );
        // The second and last round is due 300 ms after the first one.
        let later_rounds = [
            run(&mut s, 301, "tick"),
            run(&mut s, 302, "tick"),
            run(&mut s, 900, "tick"),
        ];
        expect_that!(later_rounds.map(|a| a.len()), eq([0, recipients.len(), 0]));
        expect_that!(domains.len(), eq(if s.status().is_reader { 3 } else { 1 }));
        expect_that!(
            domains.iter().collect::<BTreeSet<_>>().len(),
            eq(domains.len())
        );
    }
}

/// Guards against several fetches in flight at a time or a rapid series of them to an unresponsive
/// peer, and against a backoff that has no jitter or exceeds its upper bound.
#[gtest]
fn one_fetch_is_in_flight_and_failures_back_off() {
    let mut s = ready(1, 1);
    let starts_fetch =
        |ms: &u64| run(&mut s, *ms, "probe:2:2 tick").contains(&"fetch:2".to_owned());
    let started_ms: Vec<u64> = (0..60_000).step_by(100).filter(starts_fetch).collect();
    let intervals_ms: Vec<u64> = started_ms.windows(2).map(|w| w[1] - w[0]).collect();
    for (i, interval_ms) in intervals_ms.iter().enumerate() {
        let timeout_ms = FETCH_TIMEOUT.as_millis() as u64 * [1, 2, 4, 8][i.min(3)];
        expect_that!(
            *interval_ms,
            all![ge(timeout_ms), le(timeout_ms + 5_100)],
            "failure {i}"
        );
    }
    expect_that!(intervals_ms.len(), all![ge(8), le(29)]);
    expect_that!(intervals_ms.iter().collect::<BTreeSet<_>>().len(), ge(4));
}

/// Case name, events and expected actions.
const READY_CASES: &str = "
fetch fails, other source takes over | announce:2:6 announce:3:6 fetch-failed:2 fetched:3:6 | fetch:2 fetch:3 apply:6
older version in the log | log-end:4 |
older version fetched | fetched:2:4 |
older version on a probe | probe:2:4 |
older version while compiling | log-end:7 fetched:2:6 applied:7 | apply:7
result after a failed fetch | announce:2:6 fetch-failed:2 fetched:2:6 | fetch:2 apply:6
peer restarted with an older version | announce:2:6 fetched:2:4 tick | fetch:2
announcement after a fetch | announce:2:6 fetched:2:6 announce:2:7 | fetch:2 apply:6 fetch:2
outdated announcement is answered | announce:2:4 | announce:2:5
equal announcement is not answered | announce:2:5 |
floor raised by a later join answer | joined:2:6:6 fetched:2:6 applied:6 | fetch:2 not-ready apply:6 ready
not compilable | announce:2:6 fetched:2:6 apply-failed:6 probe:2:6 probe:3:6 | fetch:2 apply:6
newer version after one that is not compilable | announce:2:6 fetched:2:6 apply-failed:6 probe:2:7 | fetch:2 apply:6 fetch:2
log of a later build | log-unsupported announce:2:6 | fetch:2
conflict in an announcement | announce:2:5! |
conflict in the log | log-end:5! |
conflict in a fetch | fetched:2:5! |
conflict with the version being applied | log-end:6 fetched:2:6! applied:6 | apply:6
corrupt text | announce:2:6 fetched-corrupt:2:6 | fetch:2
";

/// Guards against a ready node that applies an older or conflicting version, fetches a version that
/// it holds or can't compile, or leaves an outdated announcement unanswered. Each case starts with
/// a node that is ready with version 5.
#[gtest]
fn ready_node_handles_reported_and_fetched_versions() {
    for [name, events, actions] in rows(READY_CASES) {
        let mut s = ready(1, 5);
        let out = run(&mut s, 1, events);
        expect_that!(out.join(" "), eq(actions), "{name}");
        expect_that!(
            s.status().conflicts,
            eq(u64::from(events.contains('!'))),
            "{name}"
        );
        expect_that!(s.active().digest, not(eq(config(99).digest)), "{name}");
    }
}

/// Guards against an older build whose status doesn't show that it can't read the log or compile a
/// version, and against conflicts between peers that are not counted.
#[gtest]
fn status_reports_unsupported_versions_and_conflicts() {
    let mut s = ready(1, 5);
    run(
        &mut s,
        1,
        "log-unsupported announce:2:6 fetched:2:6 apply-failed:6 probe:2:7 probe:3:7!",
    );
    let status = s.status();
    expect_that!(
        (status.is_ready, status.needs_newer_build, status.conflicts),
        eq((true, true, 1))
    );
    expect_that!(
        (status.log, status.apply_failures),
        eq((LogState::FormatUnsupported(2), 1))
    );
    expect_that!(
        (status.version, status.newest_heard),
        eq((Version(5), Version(7)))
    );
    expect_that!(status.digest, eq(Digest::of(b"text 5")));
}

/// Case name, events, and the expected active version, followed by `ready` if the node is ready.
const START_CASES: &str = "
new mesh | log-end:0 | 0 ready
log at its end | log-end:5 applied:5 | 5 ready
log not at its end | peers log-tail:5 joined:2:4:0 seed-failed:3 fetched:2:4 applied:5 | 0
still compiling | log-end:5 | 0
log below floor | joined:2:0:6 log-end:5 applied:5 | 0
log unknown | peers joined:2:5:0 fetched:2:5 seed-failed:3 applied:5 | 0
peers only | log-down peers joined:2:5:5 fetched:2:5 seed-failed:3 applied:5 | 5 ready
one peer unresponsive | log-down peers joined:2:5:5 fetched:2:5 applied:5 | 0
no answers | log-down peers seed-failed:2 seed-failed:3 | 0
all restarted | log-down peers joined:2:0:0 joined:3:0:0 | 0
below floor | log-down peers joined:2:5:6 fetched:2:5 seed-failed:3 applied:5 | 0
newer version reported | log-down peers joined:2:5:5 fetched:2:5 joined:3:6:5 applied:5 | 5
holder of a newer version departed | log-down peers:4 peer-failed:4 announce:4:6 fetch-failed:4 joined:2:5:5 fetched:2:5 seed-failed:3 peers applied:5 | 5 ready
newer version not compilable | log-down peers joined:2:6:0 fetched:2:6 seed-failed:3 apply-failed:6 joined:3:5:0 fetched:3:5 applied:5 | 5
members unknown | log-down joined:2:5:5 fetched:2:5 seed-failed:3 applied:5 | 0
log fails during the replay | peers log-tail:5 log-down joined:2:0:0 joined:3:0:0 applied:5 | 0
later build in the log during the replay | peers log-tail:5 log-unsupported joined:2:0:0 joined:3:0:0 applied:5 | 0
confirmed by a peer | peers joined:2:5:0:follows confirmed:2:5 fetched:2:5 applied:5 | 5 ready
confirmed below floor | joined:3:0:6 joined:2:5:0:follows confirmed:2:5 fetched:2:5 applied:5 | 0
older than confirmed | confirmed:2:5 fetched:3:4 applied:4 | 0
follows but not confirmed | peers joined:2:5:0:follows fetched:2:5 applied:5 | 0
could not confirm | peers joined:2:5:0:follows unconfirmed:2 fetched:2:5 applied:5 | 0
new mesh, confirmed | joined:2:0:0:follows confirmed:2:0 | 0 ready
seed address leads back to the node | log-down peers joined:1:0:0 seed-failed:2 seed-failed:3 | 0
";

/// Guards against a node that accepts requests, or applies a configuration, before it knows the
/// newest version that may have been active on its instance. Each case starts with a join request
/// to two seeds.
#[gtest]
fn readiness_needs_the_log_or_all_reachable_peers() {
    for [name, events, expected] in rows(START_CASES) {
        let mut s = node(1, [2, 3], SEED);
        run(&mut s, 10, &format!("tick {events}"));
        let ready = if s.status().is_ready { " ready" } else { "" };
        expect_that!(
            format!("{}{ready}", s.status().version),
            eq(expected),
            "{name}"
        );
    }
}

/// Guards against a starting node that waits without limit for the join answer of an unresponsive
/// peer.
#[gtest]
fn unresponsive_peer_delays_start_by_one_second() {
    let mut s = node(1, [2, 3], SEED);
    run(&mut s, 0, "tick log-down joined:2:5:5 fetched:2:5");
    expect_that!(run(&mut s, 990, "tick").len(), eq(0));
    expect_that!(run(&mut s, 1_000, "tick"), contains(eq("apply:5")));
    expect_that!(run(&mut s, 1_010, "applied:5"), contains(eq("ready")));
}

/// Guards against nodes that failed together and repeat their join requests at the same times, and
/// against an unbounded number of join requests in a round.
#[gtest]
fn join_rounds_are_bounded_and_jittered() {
    let rounds = |seed| {
        let mut s = node(1, 2..40, seed);
        run(&mut s, 0, &format!("log-down {}", view(2..99)));
        let mut count_joins = |ms: &u64| {
            let out = run(&mut s, *ms, "tick");
            out.iter().filter(|a| *a == "join").count()
        };
        let joins = (100..60_000)
            .step_by(100)
            .map(|ms| (ms, count_joins(&ms)))
            .filter(|x| x.1 > 0);
        joins.collect::<Vec<_>>()
    };
    let all: Vec<_> = (0..20).map(rounds).collect();
    expect_that!(all.iter().flatten().map(|x| x.1).max(), some(eq(16)));
    expect_that!(all.iter().map(Vec::len).min(), some(ge(8)));
    expect_that!(all.iter().map(Vec::len).max(), some(le(40)));
    expect_that!(
        all.iter().map(|r| r[7].0).collect::<BTreeSet<_>>().len(),
        ge(10)
    );
}

/// Case name, events, and when the node starts to read the log: `now` (at once), `settled` (after
/// [`MEMBERSHIP_SETTLE_TIME`]) or `fallback` (at the end of [`LOG_READ_FALLBACK`]). Each case
/// starts with a join request to two seeds.
const LOG_READ_CASES: &str = "
waits for answers | peers joined:2:5:0 | settled
no answers | peers seed-failed:2 seed-failed:3 | settled
others follow | peers joined:2:5:0:follows seed-failed:3 | fallback
confirmed | peers joined:2:5:0:follows seed-failed:3 confirmed:2:5 | fallback
remote can't confirm | peers joined:2:5:0:follows seed-failed:3 unconfirmed:2 | settled
readers can't confirm | peers:2:4 peer-failed:2 peer-failed:4 seed-failed:2 joined:3:5:0 unconfirmed:2 unconfirmed:4 | now
unresponsive reader | peers:2 peer-failed:2 seed-failed:2 seed-failed:3 | fallback
first of a new mesh | peers joined:2:0:0 joined:3:0:0 | settled
others of a new mesh | peers-starting:2:3:4:5:6:7:8:9 peer-failed:2 peer-failed:3 peer-failed:4 peer-failed:5 peer-failed:6 peer-failed:7 peer-failed:8 peer-failed:9 seed-failed:2 seed-failed:3 | fallback
";

/// Guards against a restart of many nodes that reads the log once per node, and against a node that
/// waits for its peers although none of them can confirm the current version.
#[gtest]
fn a_starting_node_reads_the_log_only_if_no_peer_can_confirm() {
    let (settle_ms, fallback_ms) = (
        MEMBERSHIP_SETTLE_TIME.as_millis() as u64,
        LOG_READ_FALLBACK.end.as_millis() as u64,
    );
    for [name, events, reads] in rows(LOG_READ_CASES) {
        let mut s = node(OUTRANKED_ID, [2, 3], SEED);
        let mut reads_after = |ms, events: &str| {
            let out = run(&mut s, ms, events);
            out.iter().any(|a| a == "read:true")
        };
        let now = reads_after(0, &format!("tick {events} tick"));
        let settled = reads_after(settle_ms, "tick seed-failed:2 seed-failed:3 tick");
        let fallback = reads_after(fallback_ms, "tick");
        let expected = (reads == "now", reads == "settled", reads == "fallback");
        expect_that!((now, settled, fallback), eq(expected), "{name}");
    }
}

/// Guards against a node that becomes ready before the others listen, stops sending join requests
/// and stays isolated.
#[gtest]
fn ready_node_sends_joins_until_its_seeds_answer() {
    let mut s = node(1, [2, 3], SEED);
    run(
        &mut s,
        0,
        "tick seed-failed:2 seed-failed:3 log-end:5 applied:5",
    );
    assert!(s.status().is_ready);
    let join_count = run(&mut s, 10_000, "tick")
        .iter()
        .filter(|a| *a == "join")
        .count();
    expect_that!(join_count, eq(2));
    run(&mut s, 10_100, "joined:2:5:0 joined:3:5:0 peers:2:3");
    let later = (20_000..60_000)
        .step_by(1_000)
        .map(|ms| run(&mut s, ms, "tick").len());
    expect_that!(later.sum::<usize>(), eq(0));
}
