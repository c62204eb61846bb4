//! Decisions of a single node.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use googletest::prelude::*;
use spread::{
    Action, ConfigText, Contact, Event, FETCH_TIMEOUT, FetchError, JoinAnswer, LogState, Origin,
    Peer, READERS_PER_DOMAIN, Settings, Spread, TICK,
};
use wire::{Digest, Domain, InstanceId, Time, Version};

const SEED: u64 = 0x5eed_0004;
const ME: u64 = 1;

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

fn text(n: u64) -> ConfigText {
    let text = format!("text {n}");
    let digest = Digest::of(text.as_bytes());
    ConfigText {
        version: Version(n),
        digest,
        text: text.into(),
    }
}

fn seed_addr(n: u64) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7_000 + n as u16))
}

fn new(me: u64, seeds: &[u64]) -> Spread {
    let seeds = seeds.iter().map(|n| seed_addr(*n)).collect();
    Spread::new(
        Settings {
            me: InstanceId(me),
            domain: Domain::from("a"),
            seeds,
        },
        SEED,
    )
}

/// Peers with these identifiers; the hundreds digit selects the failure domain.
fn peers(ids: impl IntoIterator<Item = u64>) -> Event {
    let peer = |n: u64| Peer {
        id: InstanceId(n),
        domain: Domain::from(["a", "b", "c", "d"][n as usize / 100]),
        ready: true,
    };
    Event::Peers(ids.into_iter().map(peer).collect())
}

fn tail(n: u64, at_end: bool) -> Event {
    Event::LogTail {
        snapshot: text(n),
        at_end,
    }
}

fn announced(from: u64, t: &ConfigText, origin: Origin) -> Event {
    Event::Announced {
        from: InstanceId(from),
        version: t.version,
        digest: t.digest,
        origin,
    }
}

fn fetched(from: u64, result: std::result::Result<ConfigText, FetchError>) -> Event {
    Event::Fetched {
        from: InstanceId(from),
        result,
    }
}

fn joined(from: u64, version: u64, floor: u64) -> Event {
    let t = text(version);
    let (version, digest, floor) = (t.version, t.digest, Version(floor));
    let answer = JoinAnswer {
        from: InstanceId(from),
        version,
        digest,
        floor,
    };
    Event::Joined {
        to: Contact::Seed(seed_addr(from)),
        answer,
    }
}

/// A node that is ready with version `n` from the log.
fn ready(me: u64, n: u64) -> Spread {
    let mut s = new(me, &[]);
    s.handle(at(0), tail(n, true));
    s.handle(at(0), Event::Applied(Version(n)));
    assert!(s.status().ready);
    s
}

fn applies(actions: &[Action]) -> Vec<u64> {
    let version = |a: &Action| match a {
        Action::Apply(t) => Some(t.version.0),
        _ => None,
    };
    actions.iter().filter_map(version).collect()
}

fn fetches(actions: &[Action]) -> Vec<u64> {
    let from = |a: &Action| match a {
        Action::Fetch { from, .. } => Some(from.0),
        _ => None,
    };
    actions.iter().filter_map(from).collect()
}

fn announces(actions: &[Action]) -> BTreeSet<u64> {
    let to = |a: &Action| match a {
        Action::Announce { to, .. } => Some(to.0),
        _ => None,
    };
    actions.iter().filter_map(to).collect()
}

/// Guards against a failure domain without log readers, or with so many that the load on the log
/// grows with the number of nodes.
#[gtest]
fn two_ready_members_of_a_domain_read_the_log() {
    let mut view: Vec<u64> = (1..40).chain(100..110).collect();
    for _ in 0..5 {
        let reads = |me: &u64| {
            let mut s = ready(*me, 1);
            s.handle(at(1), peers(view.iter().copied()));
            s.status().reader
        };
        let readers: Vec<u64> = view
            .iter()
            .copied()
            .filter(|n| *n < 100)
            .filter(reads)
            .collect();
        expect_that!(readers.len(), eq(READERS_PER_DOMAIN));
        view.retain(|n| *n != readers[0]);
    }
}

/// Guards against announcements that grow with the number of nodes and against a failure domain
/// that no reader tells of a new version.
#[gtest]
fn announcements_go_to_a_few_peers() {
    for (me, others) in (1..40).map(|me| (me, (1..40).filter(move |n| *n != me))) {
        let mut s = ready(me, 1);
        s.handle(
            at(1),
            peers(others.chain(100..110).chain(200..210).chain(300..310)),
        );
        s.handle(at(2), tail(2, true));
        let to = announces(&s.handle(at(3), Event::Applied(Version(2))));
        let domains: Vec<u64> = to.iter().map(|n| n / 100).filter(|d| *d > 0).collect();
        expect_that!(to.iter().filter(|n| **n < 100).count(), eq(4));
        if s.status().reader {
            expect_that!(domains, eq(&vec![1, 2, 3]));
        } else {
            expect_that!(domains.len(), eq(1));
        }
    }
}

/// Guards against fetches that pile up or hammer a peer that doesn't answer, and against back-off
/// that is not spread out or grows past its bound.
#[gtest]
fn one_fetch_is_in_flight_and_failures_back_off() {
    let mut s = ready(ME, 1);
    let mut times = Vec::new();
    let mut end = Time::ZERO;
    for ms in (0..60_000).step_by(TICK.as_millis() as usize) {
        let mut out = s.handle(at(ms), announced(2, &text(2), Origin::Probe));
        out.extend(s.handle(at(ms), Event::Tick));
        if !fetches(&out).is_empty() {
            expect_that!(fetches(&out), eq(&vec![2]));
            expect_that!(at(ms) >= end, eq(true), "second fetch at {ms} ms");
            times.push(ms);
            end = at(ms) + FETCH_TIMEOUT;
        }
    }
    let gaps: Vec<u64> = times.windows(2).map(|w| w[1] - w[0] - 2_000).collect();
    expect_that!(gaps.iter().max(), some(le(&5_100)));
    expect_that!(gaps.len(), all![ge(8), le(29)]);
    expect_that!(gaps.iter().collect::<BTreeSet<_>>().len(), ge(4));
}

/// Guards against a node that gives up, or waits, when one of several sources fails.
#[gtest]
fn a_failed_fetch_goes_on_with_another_source() {
    let mut s = ready(ME, 1);
    let first = fetches(&s.handle(at(10), announced(2, &text(2), Origin::Announce)));
    s.handle(at(11), announced(3, &text(2), Origin::Announce));
    let second = fetches(&s.handle(at(12), fetched(2, Err(FetchError::Failed))));
    expect_that!((first, second), eq(&(vec![2], vec![3])));
    let out = s.handle(at(13), fetched(3, Ok(text(2))));
    expect_that!(applies(&out), eq(&vec![2]));
}

/// Guards against two texts under one version, by whichever way the second one arrives, and against
/// a text that was altered on its way.
#[gtest]
fn a_second_digest_for_a_version_is_counted_and_never_used() {
    let other = ConfigText {
        version: Version(5),
        ..text(6)
    };
    let altered = ConfigText {
        text: "altered".into(),
        ..text(6)
    };
    let cases = [
        ("announced", announced(2, &other, Origin::Announce), 1),
        ("probe", announced(2, &other, Origin::Probe), 1),
        ("fetched", fetched(2, Ok(other.clone())), 1),
        (
            "log",
            Event::LogTail {
                snapshot: other,
                at_end: true,
            },
            1,
        ),
        ("altered", fetched(2, Ok(altered)), 0),
    ];
    for (name, event, conflicts) in cases {
        let mut s = ready(ME, 5);
        let out = s.handle(at(1), event);
        expect_that!(
            (applies(&out), fetches(&out)),
            eq(&(vec![], vec![])),
            "{name}"
        );
        expect_that!(s.status().conflicts, eq(conflicts), "{name}");
        expect_that!(s.active(), eq(&text(5)), "{name}");
    }
    let mut s = ready(ME, 4);
    s.handle(at(1), announced(2, &text(5), Origin::Probe));
    s.handle(
        at(2),
        announced(
            3,
            &ConfigText {
                version: Version(5),
                ..text(6)
            },
            Origin::Probe,
        ),
    );
    expect_that!(s.status().conflicts, eq(1), "two peers");
}

/// Guards against a node that goes back, by whichever way an older text arrives.
#[gtest]
fn older_texts_are_not_applied() {
    let older = [
        tail(4, true),
        fetched(2, Ok(text(4))),
        announced(2, &text(4), Origin::Probe),
    ];
    for event in older {
        let mut s = ready(ME, 5);
        let out = s.handle(at(1), event);
        expect_that!((applies(&out), fetches(&out)), eq(&(vec![], vec![])));
    }
    // An older text that arrives while a newer one is being compiled.
    let mut s = ready(ME, 5);
    s.handle(at(1), tail(7, true));
    s.handle(at(2), fetched(2, Ok(text(6))));
    expect_that!(
        applies(&s.handle(at(3), Event::Applied(Version(7)))),
        eq(&vec![])
    );
}

/// Guards against a node that takes requests before it knows which version it has to hold.
#[gtest]
fn readiness_needs_the_log_or_all_reachable_peers() {
    let (a, b) = (Contact::Seed(seed_addr(2)), Contact::Seed(seed_addr(3)));
    let fail = |to| Event::JoinFailed { to };
    let down = || Event::LogDown;
    let got = |n| fetched(2, Ok(text(n)));
    let done = |n| Event::Applied(Version(n));
    let bad = |n| Event::ApplyFailed(Version(n));
    let view = || peers([]);
    let cases: Vec<(&str, Vec<Event>, bool, u64)> = vec![
        (
            "new mesh",
            vec![Event::LogTail {
                snapshot: ConfigText::default(),
                at_end: true,
            }],
            true,
            0,
        ),
        ("log at its end", vec![tail(5, true), done(5)], true, 5),
        (
            "log not at its end",
            vec![tail(5, false), joined(2, 4, 0), fail(b)],
            false,
            0,
        ),
        ("compiling", vec![tail(5, true)], false, 0),
        (
            "log at its end, below floor",
            vec![joined(2, 0, 6), tail(5, true)],
            false,
            0,
        ),
        (
            "log state unknown",
            vec![view(), joined(2, 5, 0), got(5), fail(b)],
            false,
            0,
        ),
        (
            "peers only",
            vec![down(), view(), joined(2, 5, 5), got(5), fail(b), done(5)],
            true,
            5,
        ),
        (
            "one peer silent",
            vec![down(), view(), joined(2, 5, 5), got(5), done(5)],
            false,
            0,
        ),
        (
            "nobody answers",
            vec![down(), view(), fail(a), fail(b)],
            false,
            0,
        ),
        (
            "all restarted",
            vec![down(), view(), joined(2, 0, 0), joined(3, 0, 0)],
            false,
            0,
        ),
        (
            "below floor",
            vec![down(), view(), joined(2, 5, 6), got(5), fail(b), done(5)],
            false,
            0,
        ),
        (
            "newer is known",
            vec![
                down(),
                view(),
                joined(2, 5, 5),
                got(5),
                joined(3, 6, 5),
                done(5),
            ],
            false,
            5,
        ),
        (
            "newer is not readable",
            vec![down(), view(), joined(2, 6, 0), got(6), fail(b), bad(6)],
            false,
            0,
        ),
        (
            "members not yet known",
            vec![down(), joined(2, 5, 5), got(5), fail(b), done(5)],
            false,
            0,
        ),
    ];
    for (name, events, is_ready, version) in cases {
        let mut s = new(ME, &[2, 3]);
        s.handle(at(0), Event::Tick);
        let mut out = Vec::new();
        for e in events {
            out.extend(s.handle(at(10), e));
        }
        expect_that!(out.contains(&Action::Ready), eq(is_ready), "{name}");
        expect_that!(s.active().version, eq(Version(version)), "{name}");
    }
}

/// Guards against a starting node that waits for ever for a silent peer.
#[gtest]
fn a_silent_peer_is_waited_for_a_second() {
    let mut s = new(ME, &[2, 3]);
    for e in [
        Event::Tick,
        Event::LogDown,
        joined(2, 5, 5),
        fetched(2, Ok(text(5))),
    ] {
        s.handle(at(0), e);
    }
    expect_that!(applies(&s.handle(at(990), Event::Tick)), eq(&vec![]));
    expect_that!(applies(&s.handle(at(1_000), Event::Tick)), eq(&vec![5]));
    expect_that!(
        s.handle(at(1_010), Event::Applied(Version(5))),
        contains(eq(&Action::Ready))
    );
}

/// Guards against a node that keeps serving below a floor that it learns of late.
#[gtest]
fn a_late_floor_withdraws_readiness_until_it_is_reached() {
    let mut s = ready(ME, 5);
    expect_that!(
        s.handle(at(1), joined(2, 6, 6)),
        contains(eq(&Action::NotReady))
    );
    expect_that!(
        applies(&s.handle(at(2), fetched(2, Ok(text(6))))),
        eq(&vec![6])
    );
    expect_that!(
        s.handle(at(3), Event::Applied(Version(6))),
        contains(eq(&Action::Ready))
    );
}

/// Guards against a node of an older build that stops serving, fetches the same unreadable version
/// again and again, or stays behind when a version appears that it can read.
#[gtest]
fn a_version_that_cannot_be_read_is_left_alone() {
    let mut s = ready(ME, 5);
    s.handle(at(1), Event::LogBehind { format: 2 });
    s.handle(at(2), announced(2, &text(6), Origin::Announce));
    s.handle(at(3), fetched(2, Ok(text(6))));
    s.handle(at(4), Event::ApplyFailed(Version(6)));
    for _ in 0..3 {
        expect_that!(
            fetches(&s.handle(at(5), announced(2, &text(6), Origin::Probe))),
            eq(&vec![])
        );
    }
    let status = s.status();
    expect_that!(
        (status.ready, status.behind, status.log),
        eq((true, true, LogState::Behind(2)))
    );
    expect_that!(s.active(), eq(&text(5)));
    expect_that!(
        fetches(&s.handle(at(6), announced(2, &text(7), Origin::Probe))),
        eq(&vec![2])
    );
}

/// Guards against a node behind that has to wait for a probe, and against answers that answer each
/// other without end.
#[gtest]
fn a_stale_announcement_is_answered_once() {
    let mut s = ready(ME, 5);
    let answer = s.handle(at(1), announced(2, &text(4), Origin::Announce));
    expect_that!(announces(&answer), eq(&BTreeSet::from([2])));
    expect_that!(
        announces(&s.handle(at(2), announced(2, &text(4), Origin::Probe))).len(),
        eq(0)
    );
    expect_that!(
        announces(&s.handle(at(3), announced(2, &text(5), Origin::Announce))).len(),
        eq(0)
    );
}

/// Guards against nodes that fail together and come back together, and against an unbounded number
/// of questions.
#[gtest]
fn joins_are_bounded_and_spread_out() {
    let starts = |seed: u64| {
        let seeds = (2..40).map(seed_addr).collect();
        let settings = Settings {
            me: InstanceId(ME),
            domain: Domain::from("a"),
            seeds,
        };
        let mut s = Spread::new(settings, seed);
        let mut starts = Vec::new();
        s.handle(at(0), Event::LogDown);
        s.handle(at(0), peers(2..99));
        for ms in (0..60_000).step_by(100) {
            let out = s.handle(at(ms), Event::Tick);
            let asked = out
                .iter()
                .filter(|a| matches!(a, Action::Join { .. }))
                .count();
            assert!(asked <= 16, "{asked} questions at once");
            starts.extend((asked > 0).then_some(Duration::from_millis(ms)));
        }
        starts
    };
    let all: Vec<_> = (0..20).map(starts).collect();
    expect_that!(
        all,
        each(predicate(|s: &Vec<Duration>| (9..=40).contains(&s.len())))
    );
    let last: BTreeSet<_> = all.iter().map(|s| s[8]).collect();
    expect_that!(last.len(), ge(10));
}
