//! Issued keys, and the common interface to issued and caller-generated keys.

use claim::{
    Action, Admission, BootId, Cfg, ClaimEvent, Claims, Event, IssuedKey, Issuer, Key,
    MAX_KEYS_PER_BLOCK, Now, OUTCOME_WINDOW_KEYS, Outcome, ReqId, Shard, USED_WINDOW_KEYS,
};
use googletest::prelude::*;
use wire::{Code, Fingerprint, InstanceId, KeyRing, MeshKey, Offset, Time, UnixMillis};

const REQUEST: Fingerprint = Fingerprint(1);

/// Returns an issuer that has issued no keys. All issuers have the same MAC key.
fn issuer(instance: u64, boot: u64) -> Issuer {
    let keys = KeyRing::new("mesh", MeshKey::new(1, "secret"), None);
    Issuer::new(InstanceId(instance), BootId(boot), keys)
}

fn parse(key: &str) -> IssuedKey {
    key.parse().expect("an issued key")
}

fn issue_many(issuer: &mut Issuer, count: u64) {
    for _ in 0..count / MAX_KEYS_PER_BLOCK as u64 {
        issuer.issue(MAX_KEYS_PER_BLOCK);
    }
}

// Guards against a second run of an issued key, for each state of the key.
#[gtest]
fn an_issued_key_is_admitted_once() {
    type Prepare = fn(&mut Issuer);
    let refuse = Admission::Refuse;
    #[rustfmt::skip]
    let cases: &[(&str, Prepare, Fingerprint, Admission)] = &[
        ("unused", |_| {}, REQUEST, Admission::Run),
        ("granted", grant, REQUEST, refuse(Code::ClaimHeld)),
        ("handed over", hand_over, REQUEST, refuse(Code::ClaimHeld)),
        ("another request", hand_over, Fingerprint(2), refuse(Code::KeyMismatch)),
        ("dropped before the hand-over", |i| { grant(i); i.release(0); }, REQUEST, Admission::Run),
        ("dropped after the hand-over", |i| { hand_over(i); i.release(0); }, REQUEST, refuse(Code::ClaimHeld)),
        ("no response", |i| { hand_over(i); i.finish(0, Outcome::NoResponse); }, REQUEST, refuse(Code::OutcomeUnknown)),
        ("response too large", |i| finish(i, 5_000), REQUEST, refuse(Code::AlreadyRun)),
        ("old, unused", |i| issue_many(i, OUTCOME_WINDOW_KEYS), REQUEST, refuse(Code::KeyExpired)),
        ("old, ended", |i| { finish(i, 1); issue_many(i, OUTCOME_WINDOW_KEYS); }, REQUEST, refuse(Code::OutcomeUnknown)),
        ("old, running", |i| { hand_over(i); issue_many(i, USED_WINDOW_KEYS + 256); }, REQUEST, refuse(Code::ClaimHeld)),
        ("very old", |i| issue_many(i, USED_WINDOW_KEYS + 256), REQUEST, refuse(Code::OutcomeUnknown)),
    ];
    for (name, prepare, request, expected) in cases {
        let mut i = issuer(1, 1);
        let key = parse(&i.issue(1)[0]);
        prepare(&mut i);
        expect_that!(i.admit(&key, *request), eq(expected), "{name}");
    }
}

/// Admits the request with key 0.
fn grant(i: &mut Issuer) {
    let key = parse(&issuer(1, 1).issue(1)[0]);
    assert_eq!(i.admit(&key, REQUEST), Admission::Run);
}

/// Admits the request with key 0 and hands it over.
fn hand_over(i: &mut Issuer) {
    grant(i);
    i.mark_handed(0);
}

/// Runs the request with key 0; its response has `bytes` bytes.
fn finish(i: &mut Issuer, bytes: usize) {
    hand_over(i);
    i.finish(0, Outcome::of(200, vec![0; bytes]));
}

// Guards against a run of a key that this process did not issue: one of another instance, of an
// earlier process, or a forged one. The process can't know whether such a key was used.
#[gtest]
fn only_the_issuing_process_runs_a_key() {
    let text = issuer(1, 1).issue(1).remove(0);
    let forged = text.replace(".0.", ".5.");
    // These issuers have issued the same sequence numbers, so only the instance, the boot id and
    // the MAC tell the keys apart.
    let issuer_with_keys = |instance, boot| {
        let mut issuer = issuer(instance, boot);
        issuer.issue(MAX_KEYS_PER_BLOCK);
        issuer
    };
    let cases = [
        (
            "another boot",
            issuer_with_keys(1, 2),
            &text,
            Code::OutcomeUnknown,
        ),
        (
            "another instance",
            issuer_with_keys(2, 1),
            &text,
            Code::OutcomeUnknown,
        ),
        ("not issued yet", issuer(1, 1), &text, Code::OutcomeUnknown),
        (
            "forged number",
            issuer_with_keys(1, 1),
            &forged,
            Code::BadHeader,
        ),
    ];
    for (name, mut issuer, key, code) in cases {
        expect_that!(
            issuer.admit(&parse(key), REQUEST),
            eq(&Admission::Refuse(code)),
            "{name}"
        );
    }
    expect_that!(parse(&text).instance, eq(InstanceId(1)));
    for bad in [
        "",
        "bk1",
        "bk2.1.1.1.1",
        &format!("{text}.x"),
        &text.replace(".0.", ".00."),
    ] {
        expect_that!(bad.parse::<IssuedKey>(), err(anything()), "{bad}");
    }
}

// Guards against memory that grows with the outcomes of all issued keys.
#[gtest]
fn outcomes_of_issued_keys_are_bounded() {
    let mut i = issuer(1, 1);
    for _ in 0..(OUTCOME_WINDOW_KEYS / 256 + 20) {
        for text in i.issue(MAX_KEYS_PER_BLOCK) {
            let key = parse(&text);
            assert_eq!(i.admit(&key, REQUEST), Admission::Run);
            i.mark_handed(key.n);
            i.finish(key.n, Outcome::of(200, Vec::new()));
        }
    }
    expect_that!(i.len() as u64, le(OUTCOME_WINDOW_KEYS));
}

fn now() -> Now {
    Now {
        mono: Time::ZERO,
        wall: UnixMillis(1_800_000_000_000),
    }
}

/// Sends a request and returns the actions that follow.
fn request(claims: &mut Claims, req: u64, key: &str) -> Vec<Action> {
    let event = ClaimEvent::Request {
        req: ReqId(req),
        key: key.to_owned(),
        fingerprint: REQUEST,
        deadline: Time::from_millis(100),
    };
    let actions = claims.handle(now(), event).into_iter();
    actions.map(|a| a.action).collect()
}

// Guards against events that reach the wrong shard or the issuer by mistake, and against a
// malformed issued key that is run as a caller-generated one.
#[gtest]
fn issued_and_caller_generated_keys_are_kept_apart() {
    let shard = |n| Shard::new(Cfg::new(InstanceId(1), BootId(1)), n);
    let mut claims = Claims::new(vec![shard(1), shard(2)], issuer(1, 1));
    let text = claims.issuer().issue(1).remove(0);
    expect_that!(
        request(&mut claims, 1, &text),
        elements_are![eq(&Action::Run(ReqId(1)))]
    );
    claims.handle(now(), ClaimEvent::HandedOver(ReqId(1)));
    claims.handle(now(), ClaimEvent::Cancelled(ReqId(1)));
    let finished = ClaimEvent::Finished {
        req: ReqId(1),
        status: 200,
        answer: vec![7],
    };
    claims.handle(now(), finished);
    let repeat = request(&mut claims, 2, &text);
    expect_that!(
        repeat,
        elements_are![matches_pattern!(Action::Answer { .. })]
    );
    for bad in [&text[..text.len() - 1], "bk1.x", "", "a b"] {
        let refusal = Code::BadHeader.into();
        let expected = Action::Refuse {
            req: ReqId(3),
            refusal,
        };
        expect_that!(
            request(&mut claims, 3, bad),
            elements_are![eq(&expected)],
            "{bad}"
        );
    }
    for i in 0..2 {
        let end = Event::End { end: Offset(0) };
        claims.handle(now(), ClaimEvent::ShardEvent(i, end));
    }
    expect_that!(request(&mut claims, 4, "k"), is_empty());
    let shard = Key::try_from("k").expect("a valid key").shard(2);
    let unconfirmed_records: Vec<_> = claims
        .shards()
        .iter()
        .map(Shard::unconfirmed_records)
        .collect();
    expect_that!(unconfirmed_records[shard], eq(1));
    expect_that!(unconfirmed_records[1 - shard], eq(0));
    claims.handle(now(), ClaimEvent::Cancelled(ReqId(4)));
    expect_that!(claims.shards()[shard].unconfirmed_records(), eq(0));
}
