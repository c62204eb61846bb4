//! Limits on accepted input, stored state and message size.

mod net;

use std::time::Duration;

use googletest::prelude::*;
use member::{
    Action, Body, CONTACTS_PER_DOMAIN, Change, Config, Event, JoinAnswer, MAX_EPOCH,
    MAX_INCARNATION, MAX_MSG_BYTES, MAX_NAME_BYTES, MAX_SLOTS, MAX_UPDATES, Member, Msg,
    NODE_BYTES, RawRecord, Record, Scope, Table, Update, WireError,
};
use net::{DOMAINS, Faults, Net, addr, domain, record};
use proptest::prelude::{ProptestConfig, any, proptest};
use proptest::test_runner::RngSeed;
use wire::{Domain, Incarnation, InstanceId, KeyRing, MAX_DATAGRAM_BYTES, MeshKey, Time, Version};

/// Push message with these updates and the largest numbers in all other fields.
fn message(updates: Vec<Update>) -> Msg {
    Msg {
        from: InstanceId(u64::MAX),
        incarnation: Incarnation(MAX_INCARNATION),
        version: Version(u64::MAX),
        digest_prefix: u32::MAX,
        requests_record: true,
        body: Body::Push,
        updates,
    }
}

/// Passes a message with these updates to `m` and returns the actions.
fn receive(m: &mut Member, now: Time, updates: Vec<Update>) -> Vec<Action> {
    let (from, msg) = (addr(999, 1), message(updates));
    m.handle(now, Event::Received { from, msg })
}

/// Record with the longest names and addresses and the largest numbers that are accepted.
fn largest_record() -> RawRecord {
    let name = "n".repeat(MAX_NAME_BYTES);
    let addr = "[ffff:ffff:ffff:ffff:ffff:ffff:ffff:ffff]:65535"
        .parse()
        .unwrap();
    let mut raw = RawRecord::from(record(1, MAX_INCARNATION));
    raw.version = Version(u64::MAX);
    raw.digest_prefix = u32::MAX;
    raw.slots = MAX_SLOTS;
    raw.name = name.as_str().into();
    raw.service = name.as_str().into();
    raw.region = name.as_str().into();
    raw.domain = name.as_str().into();
    (raw.gossip, raw.rpc, raw.data) = (addr, addr, addr);
    raw
}

/// Guards against accepting records from the wire with names or numbers beyond the limits.
#[gtest]
fn records_beyond_limits_are_rejected() {
    type Edit = fn(&mut RawRecord);
    let cases: [(&str, Edit, bool); 8] = [
        ("longest names", |_| {}, true),
        ("empty name", |r| r.name = "".into(), false),
        (
            "name too long",
            |r| r.name = "n".repeat(MAX_NAME_BYTES + 1).into(),
            false,
        ),
        (
            "service too long",
            |r| r.service = "n".repeat(65).as_str().into(),
            false,
        ),
        (
            "region too long",
            |r| r.region = "n".repeat(65).into(),
            false,
        ),
        ("empty domain", |r| r.domain = "".into(), false),
        ("incarnation too high", |r| r.incarnation.0 += 1, false),
        ("too many slots", |r| r.slots = MAX_SLOTS + 1, false),
    ];
    for (case, edit, is_accepted) in cases {
        let mut raw = largest_record();
        edit(&mut raw);
        let bytes = postcard::to_stdvec(&raw).unwrap();
        let decoded = postcard::from_bytes::<Record>(&bytes);
        expect_that!(decoded.is_ok(), eq(is_accepted), "{case}");
        expect_that!(Record::try_from(raw).is_ok(), eq(is_accepted), "{case}");
    }
}

/// Guards against a message that makes its receiver process an unbounded number of updates, and
/// against one that exhausts the epochs of a failure domain.
#[gtest]
fn messages_beyond_limits_are_rejected() {
    let suspect = Update::Suspect {
        id: InstanceId(1),
        incarnation: Incarnation(1),
    };
    for (count, is_accepted) in [(MAX_UPDATES, true), (MAX_UPDATES + 1, false)] {
        let bytes = postcard::to_stdvec(&message(vec![suspect.clone(); count])).unwrap();
        expect_that!(
            postcard::from_bytes::<Msg>(&bytes).is_ok(),
            eq(is_accepted),
            "{count}"
        );
    }
    let domain_updates = |epoch| {
        vec![Update::Domain {
            domain: domain(0),
            epoch,
        }]
    };
    for (updates, is_accepted) in [
        (domain_updates(MAX_EPOCH), true),
        (domain_updates(MAX_EPOCH + 1), false),
    ] {
        let bytes = postcard::to_stdvec(&message(updates)).unwrap();
        expect_that!(postcard::from_bytes::<Msg>(&bytes).is_ok(), eq(is_accepted));
    }
    let error = WireError::TooMany {
        count: 65,
        limit: 64,
    };
    expect_that!(
        error.to_string(),
        eq("list has 65 entries, expected at most 64")
    );
}

/// Guards against datagrams without room for the bytes reserved for the node, with the longest
/// records and a full queue.
#[gtest]
fn every_message_fits_into_a_sealed_datagram() {
    let keys = KeyRing::new("kilimanjaro", MeshKey::new(1, "secret"), None);
    let mut m = Member::new(Config::default(), record(0, 0), 1);
    let mut now = Time::from_millis(1);
    let (mut sent, mut largest) = (0, 0);
    for i in 0..400_usize {
        let mut raw = largest_record();
        raw.name = format!("{i:064}").into();
        raw.domain = domain(i);
        let alive = Update::Alive(raw.try_into().unwrap());
        let id = InstanceId(i as u64);
        let suspect = Update::Suspect {
            id,
            incarnation: Incarnation(MAX_INCARNATION),
        };
        let mut actions = receive(&mut m, now, vec![alive, suspect]);
        actions.extend(m.handle(now, Event::Tick));
        now = now + Duration::from_millis(100);
        for a in actions {
            if let Action::Send { msg, .. } = a {
                let sealed = keys.seal(&msg).unwrap();
                largest = largest.max(sealed.len());
                sent += 1;
                expect_that!(keys.open::<Msg>(&sealed), ok(eq(&msg)));
            }
        }
    }
    expect_that!(sent, gt(400));
    expect_that!(largest, le(MAX_DATAGRAM_BYTES - NODE_BYTES));
    expect_that!(largest, gt(MAX_MSG_BYTES / 2));
}

/// Guards against memory use that grows with the number of instances ever known.
#[gtest]
fn memory_is_bounded() {
    let cfg = Config {
        max_records: 50,
        max_history: 100,
        max_queue: 30,
        ..Config::default()
    };
    let mut m = Member::new(cfg, record(0, 0), 1);
    for i in 1..1_000 {
        let now = Time::from_millis(i as u64);
        let r = record(i, 3);
        let (id, incarnation, version) = (InstanceId(i as u64), Incarnation(1), Version(1));
        receive(
            &mut m,
            now,
            vec![
                Update::Alive(r),
                Update::Down {
                    id,
                    incarnation,
                    version,
                },
            ],
        );
    }
    let sizes = m.sizes();
    expect_that!(sizes.records, eq(50));
    expect_that!(sizes.history, eq(100));
    expect_that!(sizes.queue, le(30));
    expect_that!(m.counters().dropped, gt(900));
}

/// Guards against a node that stores the whole mesh although its scope is small, and against a
/// service that enters the scope without a known member to fetch its table from.
#[gtest]
fn out_of_scope_records_are_stored_only_as_contacts() {
    let mut m = Member::new(Config::default(), record(0, 0), 1);
    let own = m.own().service.clone();
    let scope = Scope::Services([own.clone(), "svc-7".into()].into());
    m.handle(Time::ZERO, Event::SetScope(scope.clone()));
    let mut reported = Vec::new();
    for i in 1..=600 {
        let mut raw = RawRecord::from(record(i, 0));
        raw.service = format!("svc-{}", i / DOMAINS % 20).as_str().into();
        let update = Update::Alive(raw.try_into().unwrap());
        let actions = receive(&mut m, Time::from_millis(i as u64), vec![update]);
        reported.extend(actions.into_iter().filter_map(|a| match a {
            Action::Changed(Change::Up(r)) => Some(r),
            _ => None,
        }));
    }
    expect_that!(reported.len(), eq(30));
    expect_that!(
        reported.iter().all(|r| scope.contains(&r.service)),
        eq(true)
    );
    expect_that!(m.records().count(), eq(30));
    let contacts: Vec<&Record> = m.peers().filter(|r| !scope.contains(&r.service)).collect();
    expect_that!(contacts.len(), le(CONTACTS_PER_DOMAIN * DOMAINS + 19));
    for d in 0..DOMAINS {
        let in_domain = contacts.iter().filter(|r| r.domain == domain(d)).count();
        expect_that!(in_domain, ge(CONTACTS_PER_DOMAIN), "domain {d}");
    }
    let now = Time::from_millis(601);
    let wider = Scope::Services([own, "svc-7".into(), "svc-9".into()].into());
    let actions = m.handle(now, Event::SetScope(wider));
    let exchange = actions.iter().find_map(|a| match a {
        Action::ExchangeTables { peer_id } => m.record(*peer_id),
        _ => None,
    });
    expect_that!(exchange.map(|r| &*r.service.0), some(eq("svc-9")));
}

/// Guards against a join answer that lacks the records, contacts or version floor that the joining
/// instance needs.
#[gtest]
fn join_answer_contains_table_contacts_and_version_floor() {
    let net = Net::with_ready_members(30, 2, Faults::default());
    let joiner = record(29, 0);
    let scope = Scope::Services([joiner.service.clone()].into());
    let answer = net.nodes[0].member.join_answer(joiner.id, &scope);
    let in_scope = (0..30)
        .filter(|&i| record(i, 0).service == joiner.service)
        .count();
    expect_that!(answer.table.records.len(), eq(in_scope));
    expect_that!(answer.contacts.len(), ge(CONTACTS_PER_DOMAIN * DOMAINS));
    expect_that!(
        answer.contacts.iter().all(|r| r.service != joiner.service),
        eq(true)
    );
    expect_that!(answer.incarnation, some(eq(Incarnation(1))));
    expect_that!(answer.version_floor, eq(Version(1)));
    let bytes = postcard::to_stdvec(&answer).unwrap();
    expect_that!(postcard::from_bytes::<JoinAnswer>(&bytes), ok(eq(&answer)));
}

/// Guards against tombstones that never expire, and against version floors lost with an expired
/// tombstone.
#[gtest]
fn tombstones_expire() {
    let mut m = Member::new(Config::default(), record(0, 0), 1);
    let (id, incarnation, version) = (InstanceId(5), Incarnation(1), Version(3));
    receive(
        &mut m,
        Time::ZERO,
        vec![Update::Down {
            id,
            incarnation,
            version,
        }],
    );
    let tombstones = |m: &Member| m.table(&m.own().service).tombstones.len();
    let mut now = Time::ZERO;
    for (seconds, expected) in [(500, 1), (620, 0)] {
        while now < Time::from_millis(seconds * 1_000) {
            now = now + Duration::from_secs(1);
            m.handle(now, Event::Tick);
        }
        expect_that!(tombstones(&m), eq(expected), "after {seconds} s");
    }
    expect_that!(m.version_floor(id), eq(version));
}

/// Guards against a table from a partitioned member that overrides newer records.
#[gtest]
fn merging_outdated_table_changes_nothing() {
    let mut m = Member::new(Config::default(), record(0, 0), 1);
    let new = Table {
        records: vec![record(1, 5)],
        tombstones: Vec::new(),
    };
    let old = Table {
        records: vec![record(1, 4)],
        tombstones: Vec::new(),
    };
    let changed = |a: Vec<Action>| a.iter().filter(|a| matches!(a, Action::Changed(_))).count();
    expect_that!(changed(m.merge(Time::ZERO, new.clone())), eq(1));
    expect_that!(changed(m.merge(Time::ZERO, new)), eq(0));
    expect_that!(changed(m.merge(Time::ZERO, old)), eq(0));
    expect_that!(m.records().next().unwrap().incarnation, eq(Incarnation(5)));
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(5),
        ..ProptestConfig::default()
    })]

    /// Guards against a panic on arbitrary bytes or unknown failure domains from a faulty peer.
    #[test]
    fn arbitrary_input_does_not_panic(bytes: Vec<u8>, epoch in any::<u32>(), inc in any::<u64>()) {
        _ = postcard::from_bytes::<Msg>(&bytes);
        let mut m = Member::new(Config::default(), record(0, inc % MAX_INCARNATION), 1);
        let updates = vec![
            Update::Domain { domain: Domain::from("dar-9"), epoch },
            Update::Domain { domain: domain(0), epoch },
            Update::Suspect { id: record(0, 0).id, incarnation: Incarnation(inc) },
            Update::Down {
                id: record(0, 0).id,
                incarnation: Incarnation(MAX_INCARNATION),
                version: Version(1),
            },
        ];
        receive(&mut m, Time::ZERO, updates);
    }
}
