//! Decisions of a single node. Events and actions have a short text form here, see [`event`] and
//! [`shown`]; a version with `!` has another text than usual.

mod common;

use std::collections::BTreeSet;

use common::{addr, heard, node, peer, text};
use googletest::prelude::*;
use spread::{Action, ConfigText, Contact, Event, FETCH_TIMEOUT, FetchError, JoinAnswer};
use spread::{
    LOG_READ_FALLBACK, LogState, MEMBERSHIP_SETTLE_TIME, Origin, READERS_PER_DOMAIN, Spread,
};
use wire::{Digest, InstanceId, Time, Version};

/// At least two members with identifiers 2 to 9 come before this one as readers.
const LOWEST_RANK: u64 = 1;
const SEED: u64 = 0x5eed_0004;

fn parse(s: &str) -> u64 {
    s.trim_end_matches('!').parse().expect("a number")
}

fn text_of(s: &str) -> ConfigText {
    let (version, other) = (Version(parse(s)), text(99));
    if s.ends_with('!') {
        ConfigText { version, ..other }
    } else {
        text(version.0)
    }
}

fn event(s: &str) -> Event {
    let f: Vec<&str> = s.split(':').collect();
    let (to, from) = (
        |i: usize| Contact::Seed(addr(parse(f[i]))),
        || InstanceId(parse(f[1])),
    );
    match f[0] {
        "tick" => Event::Tick,
        "down" => Event::LogDown,
        "behind" => Event::LogBehind { format: 2 },
        "peers" => Event::Peers(f[1..].iter().map(|n| peer(parse(n), true)).collect()),
        "starting" => Event::Peers(f[1..].iter().map(|n| peer(parse(n), false)).collect()),
        "end" => Event::LogTail {
            snapshot: text_of(f[1]),
            at_end: true,
        },
        "tail" => Event::LogTail {
            snapshot: text_of(f[1]),
            at_end: false,
        },
        "news" => heard(parse(f[1]), &text_of(f[2]), Origin::Announce),
        "probe" => heard(parse(f[1]), &text_of(f[2]), Origin::Probe),
        "got" => Event::Fetched {
            from: from(),
            result: Ok(text_of(f[2])),
        },
        "lost" => Event::Fetched {
            from: from(),
            result: Err(FetchError::Failed),
        },
        "mangled" => {
            let altered = ConfigText {
                text: "altered".into(),
                ..text_of(f[2])
            };
            Event::Fetched {
                from: from(),
                result: Ok(altered),
            }
        }
        "joined" => {
            let ConfigText {
                version, digest, ..
            } = text_of(f[2]);
            let floor = Version(parse(f[3]));
            let answer = JoinAnswer {
                from: from(),
                version,
                digest,
                floor,
                follows_log: f.get(4).is_some(),
            };
            let to = to(1);
            Event::Joined { to, answer }
        }
        "confirmed" => {
            let t = text_of(f[2]);
            Event::Confirmed {
                from: from(),
                current: Some((t.version, t.digest)),
            }
        }
        "unconfirmed" => Event::Confirmed {
            from: from(),
            current: None,
        },
        "refused" => Event::JoinFailed { to: to(1) },
        "left" => Event::JoinFailed {
            to: Contact::Peer(from()),
        },
        "done" => Event::Applied(Version(parse(f[1]))),
        "bad" => Event::ApplyFailed(Version(parse(f[1]))),
        other => panic!("no event `{other}`"),
    }
}

fn shown(a: &Action) -> String {
    match a {
        Action::ReadLog(on) => format!("read:{on}"),
        Action::Confirm { to } => format!("confirm:{}", to.0),
        Action::Join { .. } => "join".to_owned(),
        Action::Announce { to, version, .. } => format!("news:{}:{version}", to.0),
        Action::Fetch { from, .. } => format!("fetch:{}", from.0),
        Action::Apply(t) => format!("apply:{}", t.version),
        Action::Ready => "ready".to_owned(),
        Action::NotReady => "not-ready".to_owned(),
    }
}

/// Runs events at a time in milliseconds and returns the actions.
fn run(s: &mut Spread, ms: u64, events: &str) -> Vec<String> {
    let handle = |e| s.handle(Time::from_millis(ms), event(e));
    events
        .split_whitespace()
        .flat_map(handle)
        .map(|a| shown(&a))
        .collect()
}

/// Splits a table into rows of three columns.
fn rows(table: &str) -> impl Iterator<Item = [&str; 3]> {
    table.lines().skip(1).map(|line| {
        let columns: Vec<&str> = line.split('|').map(str::trim).collect();
        columns.try_into().expect("three columns")
    })
}

/// A node that is ready with a version from the log.
fn ready(id: u64, version: u64) -> Spread {
    let mut s = node(id, [], SEED);
    run(&mut s, 0, &format!("end:{version} done:{version}"));
    assert!(s.status().is_ready);
    s
}

fn view(ids: impl IntoIterator<Item = u64>) -> String {
    ids.into_iter()
        .fold("peers".to_owned(), |s, id| format!("{s}:{id}"))
}

/// Guards against a failure domain without log readers, or with so many that the load on the log
/// grows with the number of nodes.
#[gtest]
fn two_ready_members_of_a_domain_read_the_log() {
    let mut members: Vec<u64> = (1..40).chain(100..110).collect();
    for _ in 0..5 {
        let reads = |id: &u64| {
            let mut s = ready(*id, 1);
            run(&mut s, 1, &view(members.iter().copied()));
            s.status().reader
        };
        let readers: Vec<_> = members
            .iter()
            .copied()
            .filter(|id| *id < 100)
            .filter(reads)
            .collect();
        expect_that!(readers.len(), eq(READERS_PER_DOMAIN));
        members.retain(|id| *id != readers[0]);
    }
}

/// Guards against announcements that grow with the number of nodes and against a failure domain
/// that no reader tells of a new version.
#[gtest]
fn announcements_go_to_a_few_peers() {
    for me in 1..40 {
        let mut s = ready(me, 1);
        run(
            &mut s,
            1,
            &view((1..40).chain(100..110).chain(200..210).chain(300..310)),
        );
        let out = run(&mut s, 2, "end:2 done:2");
        let to: BTreeSet<u64> = out
            .iter()
            .filter_map(|a| Some(parse(a.strip_prefix("news:")?.strip_suffix(":2")?)))
            .collect();
        let domains: Vec<u64> = to.iter().map(|id| id / 100).filter(|d| *d > 0).collect();
        expect_that!((to.len() - domains.len(), to.contains(&me)), eq((4, false)));
        let again = [
            run(&mut s, 301, "tick"),
            run(&mut s, 302, "tick"),
            run(&mut s, 900, "tick"),
        ];
        expect_that!(again.map(|a| a.len()), eq([0, to.len(), 0]));
        expect_that!(domains.len(), eq(if s.status().reader { 3 } else { 1 }));
        expect_that!(
            domains.iter().collect::<BTreeSet<_>>().len(),
            eq(domains.len())
        );
    }
}

/// Guards against fetches that pile up or hammer a peer that doesn't answer, and against back-off
/// that is not spread out or grows past its bound.
#[gtest]
fn one_fetch_is_in_flight_and_failures_back_off() {
    let mut s = ready(1, 1);
    let begins = |ms: &u64| run(&mut s, *ms, "probe:2:2 tick").contains(&"fetch:2".to_owned());
    let begins: Vec<u64> = (0..60_000).step_by(100).filter(begins).collect();
    let gaps: Vec<u64> = begins.windows(2).map(|w| w[1] - w[0]).collect();
    for (i, gap) in gaps.iter().enumerate() {
        let timeout = FETCH_TIMEOUT.as_millis() as u64 * [1, 2, 4, 8][i.min(3)];
        expect_that!(*gap, all![ge(timeout), le(timeout + 5_100)], "failure {i}");
    }
    expect_that!(gaps.len(), all![ge(8), le(29)]);
    expect_that!(gaps.iter().collect::<BTreeSet<_>>().len(), ge(4));
}

/// Name, events and actions.
const NEWS: &str = "
fetch fails, other source | news:2:6 news:3:6 lost:2 got:3:6 | fetch:2 fetch:3 apply:6
older in the log | end:4 |
older fetched | got:2:4 |
older probe | probe:2:4 |
older while compiling | end:7 got:2:6 done:7 | apply:7
late result | news:2:6 lost:2 got:2:6 | fetch:2 apply:6
peer restarted | news:2:6 got:2:4 tick | fetch:2
news after a fetch | news:2:6 got:2:6 news:2:7 | fetch:2 apply:6 fetch:2
stale news is answered | news:2:4 | news:2:5
equal news is not | news:2:5 |
late floor | joined:2:6:6 got:2:6 done:6 | fetch:2 not-ready apply:6 ready
not readable | news:2:6 got:2:6 bad:6 probe:2:6 probe:3:6 | fetch:2 apply:6
readable again | news:2:6 got:2:6 bad:6 probe:2:7 | fetch:2 apply:6 fetch:2
log behind | behind news:2:6 | fetch:2
conflict in news | news:2:5! |
conflict in the log | end:5! |
conflict in a fetch | got:2:5! |
conflict with the next text | end:6 got:2:6! done:6 | apply:6
altered text | news:2:6 mangled:2:6 | fetch:2
";

/// Guards against a node that applies, fetches or answers what it must not, or does not when it
/// has to. Each case starts ready with version 5; the actions are those of all events.
#[gtest]
fn a_ready_node_acts_on_news() {
    for [name, events, actions] in rows(NEWS) {
        let mut s = ready(1, 5);
        let out = run(&mut s, 1, events);
        expect_that!(out.join(" "), eq(actions), "{name}");
        expect_that!(
            s.status().conflicts,
            eq(u64::from(events.contains('!'))),
            "{name}"
        );
        expect_that!(s.active().digest, not(eq(text(99).digest)), "{name}");
    }
}

/// Guards against an older build that hides that it is behind, and against conflicts between peers
/// that go uncounted.
#[gtest]
fn status_shows_what_is_wrong() {
    let mut s = ready(1, 5);
    run(
        &mut s,
        1,
        "behind news:2:6 got:2:6 bad:6 probe:2:7 probe:3:7!",
    );
    let status = s.status();
    expect_that!(
        (status.is_ready, status.needs_newer_build, status.conflicts),
        eq((true, true, 1))
    );
    expect_that!(
        (status.log, status.apply_failures),
        eq((LogState::Behind(2), 1))
    );
    expect_that!(
        (status.version, status.newest_heard),
        eq((Version(5), Version(7)))
    );
    expect_that!(status.digest, eq(Digest::of(b"text 5")));
}

/// Name, events, final version and whether the node is ready.
const STARTS: &str = "
new mesh | end:0 | 0 ready
log at its end | end:5 done:5 | 5 ready
log not at its end | peers tail:5 joined:2:4:0 refused:3 got:2:4 done:5 | 0
compiling | end:5 | 0
log below floor | joined:2:0:6 end:5 done:5 | 0
log unknown | peers joined:2:5:0 got:2:5 refused:3 done:5 | 0
peers only | down peers joined:2:5:5 got:2:5 refused:3 done:5 | 5 ready
one peer silent | down peers joined:2:5:5 got:2:5 done:5 | 0
nobody answers | down peers refused:2 refused:3 | 0
all restarted | down peers joined:2:0:0 joined:3:0:0 | 0
below floor | down peers joined:2:5:6 got:2:5 refused:3 done:5 | 0
newer is known | down peers joined:2:5:5 got:2:5 joined:3:6:5 done:5 | 5
newer left | down peers:4 left:4 news:4:6 lost:4 joined:2:5:5 got:2:5 refused:3 peers done:5 | 5 ready
newer not readable | down peers joined:2:6:0 got:2:6 refused:3 bad:6 joined:3:5:0 got:3:5 done:5 | 5
members unknown | down joined:2:5:5 got:2:5 refused:3 done:5 | 0
log lost midway | peers tail:5 down joined:2:0:0 joined:3:0:0 done:5 | 0
behind midway | peers tail:5 behind joined:2:0:0 joined:3:0:0 done:5 | 0
confirmed by a peer | peers joined:2:5:0:follows confirmed:2:5 got:2:5 done:5 | 5 ready
confirmed below floor | joined:3:0:6 joined:2:5:0:follows confirmed:2:5 got:2:5 done:5 | 0
older than confirmed | confirmed:2:5 got:3:4 done:4 | 0
follows but not confirmed | peers joined:2:5:0:follows got:2:5 done:5 | 0
could not confirm | peers joined:2:5:0:follows unconfirmed:2 got:2:5 done:5 | 0
new mesh, confirmed | joined:2:0:0:follows confirmed:2:0 | 0 ready
own seed | down peers joined:1:0:0 refused:2 refused:3 | 0
";

/// Guards against a node that takes requests, or applies a text, before it knows which version it
/// has to hold. Each case ends with a version and whether the node is ready.
#[gtest]
fn readiness_needs_the_log_or_all_reachable_peers() {
    for [name, events, end] in rows(STARTS) {
        let mut s = node(1, [2, 3], SEED);
        run(&mut s, 10, &format!("tick {events}"));
        let ready = if s.status().is_ready { " ready" } else { "" };
        expect_that!(format!("{}{ready}", s.status().version), eq(end), "{name}");
    }
}

/// Guards against a starting node that waits for ever for a silent peer.
#[gtest]
fn a_silent_peer_is_waited_for_a_second() {
    let mut s = node(1, [2, 3], SEED);
    run(&mut s, 0, "tick down joined:2:5:5 got:2:5");
    expect_that!(run(&mut s, 990, "tick").len(), eq(0));
    expect_that!(run(&mut s, 1_000, "tick"), contains(eq("apply:5")));
    expect_that!(run(&mut s, 1_010, "done:5"), contains(eq("ready")));
}

/// Guards against nodes that fail together and come back together, and against an unbounded number
/// of questions.
#[gtest]
fn joins_are_bounded_and_spread_out() {
    let rounds = |seed| {
        let mut s = node(1, 2..40, seed);
        run(&mut s, 0, &format!("down {}", view(2..99)));
        let mut asked = |ms: &u64| {
            let out = run(&mut s, *ms, "tick");
            out.iter().filter(|a| *a == "join").count()
        };
        let asked = (100..60_000)
            .step_by(100)
            .map(|ms| (ms, asked(&ms)))
            .filter(|x| x.1 > 0);
        asked.collect::<Vec<_>>()
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

/// Name, events, and whether the node then reads the log: at once, once it had time to get to know
/// the others, or only when its patience ends. Each case starts with a question to two seeds.
const READS: &str = "
waits for answers | peers joined:2:5:0 | settled
nobody answers | peers refused:2 refused:3 | settled
others follow | peers joined:2:5:0:follows refused:3 | late
confirmed | peers joined:2:5:0:follows refused:3 confirmed:2:5 | late
remote can't confirm | peers joined:2:5:0:follows refused:3 unconfirmed:2 | settled
readers can't confirm | peers:2:4 left:2 left:4 refused:2 joined:3:5:0 unconfirmed:2 unconfirmed:4 | now
silent reader | peers:2 left:2 refused:2 refused:3 | late
first of a new mesh | peers joined:2:0:0 joined:3:0:0 | settled
others of a new mesh | starting:2:3:4:5:6:7:8:9 left:2 left:3 left:4 left:5 left:6 left:7 left:8 left:9 refused:2 refused:3 | late
";

/// Guards against a return of many nodes that reads the log once per node, and against a node that
/// waits for others although none of them can tell it the current version.
#[gtest]
fn a_starting_node_reads_the_log_only_if_no_peer_can_confirm() {
    let (settle, patience) = (
        MEMBERSHIP_SETTLE_TIME.as_millis() as u64,
        LOG_READ_FALLBACK.end.as_millis() as u64,
    );
    for [name, events, reads] in rows(READS) {
        let mut s = node(LOWEST_RANK, [2, 3], SEED);
        let mut reads_after = |ms, events: &str| {
            let out = run(&mut s, ms, events);
            out.iter().any(|a| a == "read:true")
        };
        let now = reads_after(0, &format!("tick {events} tick"));
        let settled = reads_after(settle, "tick refused:2 refused:3 tick");
        let late = reads_after(patience, "tick");
        let expected = (reads == "now", reads == "settled", reads == "late");
        expect_that!((now, settled, late), eq(expected), "{name}");
    }
}

/// Guards against a node that is ready before the others listen, and then stays alone.
#[gtest]
fn a_ready_node_asks_until_it_has_met_the_others() {
    let mut s = node(1, [2, 3], SEED);
    run(&mut s, 0, "tick refused:2 refused:3 end:5 done:5");
    assert!(s.status().is_ready);
    let asked = run(&mut s, 10_000, "tick")
        .iter()
        .filter(|a| *a == "join")
        .count();
    expect_that!(asked, eq(2));
    run(&mut s, 10_100, "joined:2:5:0 joined:3:5:0 peers:2:3");
    let later = (20_000..60_000)
        .step_by(1_000)
        .map(|ms| run(&mut s, ms, "tick").len());
    expect_that!(later.sum::<usize>(), eq(0));
}
