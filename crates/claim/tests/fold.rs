//! Decisions on claims by replay of a stream, which depend on the records alone.

use std::time::Duration;

use claim::{
    Applied, BootId, Claim, ClaimId, Done, Fold, Key, MAX_ANSWER_BYTES, MAX_SKEW, Outcome, Record,
    Release,
};
use googletest::prelude::*;
use wire::{Fingerprint, InstanceId, Offset, UnixMillis};

const START_MS: u64 = 1_800_000_000_000;
/// Time from a claim to its deadline.
const TTL_MS: u64 = 1_000;
const RETENTION_MS: u64 = 60_000;
const SKEW_MS: u64 = MAX_SKEW.as_millis() as u64;

/// A record for the key "k". The numbers are the sequence number of the claim and the time of the
/// record in milliseconds after `START_MS`.
#[derive(Clone, Copy, Debug)]
enum Step {
    Claim(u64, u64),
    Release(u64, u64),
    Done(u64, u64),
}
use Step::{Claim as C, Done as D, Release as R};

/// Steps, each with the effect that [`apply`] must return.
type Steps = &'static [(Step, &'static str)];

fn id(seq: u64) -> ClaimId {
    ClaimId {
        node: InstanceId(1),
        boot: BootId(1),
        seq,
    }
}

fn key() -> Key {
    Key::try_from("k").expect("a valid key")
}

fn claim(seq: u64, ms: u64) -> Claim {
    Claim {
        key: key(),
        fingerprint: Fingerprint(1),
        id: id(seq),
        at: UnixMillis(START_MS + ms),
        ttl_ms: TTL_MS as u32,
        retention_s: (RETENTION_MS / 1_000) as u32,
    }
}

fn done(seq: u64, ms: u64) -> Done {
    Done {
        key: key(),
        id: id(seq),
        at: UnixMillis(START_MS + ms),
        outcome: Outcome::of(200, vec![1]),
    }
}

fn record(step: Step) -> Record {
    match step {
        C(seq, ms) => Record::Claim(claim(seq, ms)),
        R(seq, ms) => Record::Release(Release {
            key: key(),
            id: id(seq),
            at: UnixMillis(START_MS + ms),
            deadline: UnixMillis(START_MS + ms + TTL_MS),
        }),
        D(seq, ms) => Record::Done(done(seq, ms)),
    }
}

/// Applies a record and returns the name of its effect.
fn apply(fold: &mut Fold, step: Step) -> &'static str {
    match fold.apply(&record(step).encode()) {
        Applied::Won(_) => "won",
        Applied::Lost(_) => "lost",
        Applied::Duplicate(_) => "duplicate",
        Applied::Released(..) => "released",
        Applied::Done(..) => "done",
        unexpected => panic!("{unexpected:?}"),
    }
}

// Guards against replay rules by which two claims could run the same key, or an abandoned claim
// keeps its key held.
#[gtest]
fn claims_are_decided_by_record_order_and_time() {
    // Milliseconds after a claim at which its entry has expired, and at which a copy of it is
    // appended too late to hold the key.
    const EXPIRED: u64 = RETENTION_MS + 2 * SKEW_MS + 1;
    const STALE: u64 = TTL_MS + 2 * SKEW_MS + 1;
    // (name, steps, sequence number of the claim that holds the key at the end)
    #[rustfmt::skip]
    let cases: &[(&str, Steps, Option<u64>)] = &[
        ("the lowest offset holds", &[(C(1, 0), "won"), (C(2, 0), "lost")], Some(1)),
        ("an earlier time does not win", &[(C(1, 9), "won"), (C(2, 0), "lost")], Some(1)),
        ("a copy of a claim has no effect", &[(C(1, 0), "won"), (C(1, 0), "duplicate")], Some(1)),
        ("a loser is not promoted, nor is its copy",
         &[(C(1, 0), "won"), (C(2, 0), "lost"), (R(1, 0), "released"), (C(2, 0), "duplicate")], None),
        ("a release frees the key for the next claim",
         &[(C(1, 0), "won"), (R(1, 0), "released"), (C(2, 0), "won")], Some(2)),
        ("a copy of a released claim does not hold the key",
         &[(C(1, 0), "won"), (R(1, 0), "released"), (C(1, 0), "duplicate")], None),
        ("a release takes effect before its claim",
         &[(R(1, 0), "released"), (C(1, 0), "duplicate"), (C(2, 0), "won")], Some(2)),
        ("only the holder releases",
         &[(C(1, 0), "won"), (R(2, 0), "released"), (C(3, 0), "lost")], Some(1)),
        ("a finished claim is not released",
         &[(C(1, 0), "won"), (D(1, 0), "done"), (R(1, 0), "released")], Some(1)),
        ("an entry is valid until it expires",
         &[(C(1, 0), "won"), (C(2, EXPIRED - 1), "lost")], Some(1)),
        ("an entry expires by the time in a record",
         &[(C(1, 0), "won"), (C(2, EXPIRED), "won")], Some(2)),
        ("a claim that is appended after its deadline does not hold the key",
         &[(R(9, STALE), "released"), (C(1, 0), "lost")], None),
    ];
    for (name, steps, holder) in cases {
        let mut fold = Fold::new();
        for (step, expected) in *steps {
            expect_that!(apply(&mut fold, *step), eq(*expected), "{name}: {step:?}");
        }
        let held = fold.get(&key(), fold.clock()).map(|e| e.holder.seq);
        expect_that!(held, eq(*holder), "{name}");
    }
}

/// Replays a checkpoint of `full` and the `later` steps, on a node for which the records before
/// `oldest` have expired.
fn replay_from_checkpoint(full: &Fold, oldest: u64, later: &[Step]) -> Fold {
    let mut fold = Fold::awaiting_checkpoint(Offset(oldest));
    for part in full.checkpoint(id(99)) {
        fold.apply(&part.encode());
    }
    for step in later {
        fold.apply(&record(*step).encode());
    }
    fold
}

// Guards against a replay from a checkpoint that loses holders or released claims, so that a key
// could be run again.
#[gtest]
fn a_checkpoint_carries_the_state_but_no_answers() {
    let mut full = Fold::new();
    for step in [C(1, 0), R(1, 0), C(2, 1), D(2, 2)] {
        full.apply(&record(step).encode());
    }
    let later = [C(1, 0), C(3, 3)];
    let from_checkpoint = replay_from_checkpoint(&full, 4, &later);
    for step in later {
        full.apply(&record(step).encode());
    }
    let state = |f: &Fold| {
        let entries: Vec<_> = f
            .live_entries()
            .map(|(k, e)| (k.clone(), e.holder))
            .collect();
        let closed_claims: Vec<_> = f.closed_claims().map(|(id, until)| (*id, until)).collect();
        (entries, closed_claims, f.clock(), f.next_offset())
    };
    expect_that!(state(&from_checkpoint), eq(&state(&full)));
    let outcome = from_checkpoint
        .get(&key(), full.clock())
        .and_then(|e| e.outcome.clone());
    expect_that!(outcome, some(eq(&Outcome::NotKept { status: 200 })));
}

// Guards against a replay that starts with an incomplete state, from a checkpoint that is older
// than the oldest retained record.
#[gtest]
fn a_checkpoint_that_misses_expired_records_is_not_adopted() {
    let mut full = Fold::new();
    full.apply(&record(C(1, 0)).encode());
    expect_that!(
        replay_from_checkpoint(&full, 1, &[]).is_awaiting_checkpoint(),
        eq(false)
    );
    expect_that!(
        replay_from_checkpoint(&full, 2, &[C(2, 0)]).is_awaiting_checkpoint(),
        eq(true)
    );
    expect_that!(
        replay_from_checkpoint(&full, 2, &[C(2, 0)]).is_empty(),
        eq(true)
    );
}

// Guards against applying or skipping records of a later version, and against stopping at a
// malformed one.
#[gtest]
fn an_unsupported_format_stops_the_replay_but_a_malformed_record_does_not() {
    let mut fold = Fold::new();
    expect_that!(fold.apply(&[]), eq(&Applied::Malformed));
    expect_that!(fold.apply(&[1, 200]), eq(&Applied::Malformed));
    expect_that!(fold.next_offset(), eq(Offset(2)));
    expect_that!(
        fold.apply(&[2, 0]),
        eq(&Applied::UnsupportedFormat { format: 2 })
    );
    expect_that!(fold.next_offset(), eq(Offset(2)));
}

// Guards against memory that grows with the kept responses of all retained keys.
#[gtest]
fn the_oldest_answers_are_evicted_at_the_limit() {
    let mut fold = Fold::new();
    let keys: Vec<_> = (0..1_100).map(|i| format!("k{i}")).collect();
    for (seq, text) in (0..).zip(&keys) {
        let key = Key::try_from(text.as_str()).expect("a valid key");
        let outcome = Outcome::of(200, vec![0; MAX_ANSWER_BYTES]);
        let mut c = claim(seq, 0);
        c.key = key.clone();
        fold.apply(&Record::Claim(c).encode());
        fold.apply(
            &Record::Done(Done {
                key,
                outcome,
                ..done(seq, 0)
            })
            .encode(),
        );
    }
    let kept = fold
        .live_entries()
        .filter(|(_, e)| matches!(e.outcome, Some(Outcome::Kept(_))));
    expect_that!(kept.count(), eq(1_024));
    expect_that!(fold.len(), eq(1_100));
}

// Guards against a second run of a UUIDv7 key whose entry expires while a node with a slow clock
// still accepts the key.
#[gtest]
fn an_entry_is_retained_while_a_node_may_accept_its_key() {
    let key_lead_ms = SKEW_MS;
    let text = uuid_v7(START_MS + key_lead_ms);
    let key = Key::try_from(text.as_str()).expect("a valid key");
    expect_that!(key.time(), some(eq(UnixMillis(START_MS + key_lead_ms))));
    expect_that!(Key::try_from(text.to_uppercase().as_str()), ok(eq(&key)));
    let mut fold = Fold::new();
    let mut c = claim(1, 0);
    c.key = key.clone();
    fold.apply(&Record::Claim(c).encode());
    let last_accepted =
        UnixMillis(START_MS + key_lead_ms) + Duration::from_millis(RETENTION_MS) + MAX_SKEW;
    expect_that!(fold.get(&key, last_accepted), some(anything()));
}

fn uuid_v7(ms: u64) -> String {
    format!(
        "{:08x}-{:04x}-7000-8000-0000000000ab",
        ms >> 16,
        ms & 0xffff
    )
}
