//! A change of the claim window must not free keys.

use std::time::Duration;

use claim::{Action, BootId, Cfg, ClaimRequest, Event, Fold, Key, Now, ReqId, Shard};
use googletest::prelude::*;
use wire::{Code, Fingerprint, InstanceId, Offset, Time, UnixMillis};

const START_MS: u64 = 1_800_000_000_000;

/// Returns both clock readings at second `s` of the test.
fn at(s: u64) -> Now {
    Now {
        mono: Time::from_millis(s * 1_000),
        wall: UnixMillis(START_MS + s * 1_000),
    }
}

/// Returns a `UUIDv7` key with the timestamp of second `s`.
fn key(s: u64) -> Key {
    let hex = format!("{:012x}", START_MS + s * 1_000);
    let text = format!("{}-{}-7000-8000-000000000001", &hex[..8], &hex[8..]);
    Key::try_from(text.as_str()).expect("a valid key")
}

/// Sends request `s` at second `s`, with a key of second `key_s` and a deadline after 500 ms, and
/// then the timer event by which the batch window has passed.
fn request(shard: &mut Shard, s: u64, key_s: u64) -> Vec<Action> {
    let claim_req = ClaimRequest {
        req: ReqId(s),
        key: key(key_s),
        fingerprint: Fingerprint(1),
        deadline: Time::from_millis(s * 1_000 + 500),
    };
    let mut actions = shard.handle(at(s), Event::Request(claim_req));
    let later = Now {
        mono: Time::from_millis(s * 1_000 + 5),
        ..at(s)
    };
    actions.extend(shard.handle(later, Event::Tick));
    actions
}

/// Confirms each append in `actions` as written to the end of the stream. Returns the other actions
/// and those that follow.
fn confirm_appends(shard: &mut Shard, s: u64, actions: Vec<Action>) -> Vec<Action> {
    let mut out = Vec::new();
    for action in actions {
        match action {
            Action::Append { batch, .. } => {
                let first = shard.read_from();
                out.extend(shard.handle(at(s), Event::Appended { batch, first }));
            }
            decision => out.push(decision),
        }
    }
    out
}

/// Returns a shard that is ready, with a claim window in seconds.
fn shard(window_s: u64) -> Shard {
    let mut cfg = Cfg::new(InstanceId(1), BootId(1));
    cfg.claim_window = Duration::from_secs(window_s);
    let mut shard = Shard::new(cfg, 1);
    shard.handle(at(0), Event::End { end: Offset(0) });
    shard
}

/// Guards against a second run of a key that has expired under a short window but is recent enough
/// for a longer one. The same holds on a node that starts from a checkpoint.
#[gtest]
fn a_longer_window_frees_no_key() {
    // (second of the last request, second of its key, whether the key must count as expired)
    let cases = [
        (80, 1, true),
        (200, 1, true),
        (200, 60, false),
        (200, 190, false),
    ];
    for (s, key_s, expired) in cases {
        let mut shard = shard(60);
        let actions = request(&mut shard, 1, 1);
        let run = confirm_appends(&mut shard, 1, actions);
        assert_that!(run, contains(eq(&Action::Run(ReqId(1)))));
        shard.handle(at(1), Event::HandedOver(ReqId(1)));
        let finished = Event::Finished {
            req: ReqId(1),
            status: 200,
            answer: Vec::new(),
        };
        shard.handle(at(1), finished);
        let actions = shard.handle(at(2), Event::Tick);
        confirm_appends(&mut shard, 2, actions);
        shard.set_claim_window(Duration::from_secs(1_000));
        // A later claim advances the clock of the stream.
        let actions = request(&mut shard, 78, 78);
        confirm_appends(&mut shard, 78, actions);
        let refused = |actions: &[Action]| {
            let code = Code::KeyExpired.into();
            actions
                .iter()
                .any(|a| matches!(a, Action::Refuse { refusal, .. } if *refusal == code))
        };
        let actions = request(&mut shard, s, key_s);
        expect_that!(
            refused(&actions),
            eq(expired),
            "{key_s} at {s}: {actions:?}"
        );

        let id = claim::ClaimId {
            node: InstanceId(2),
            boot: BootId(2),
            seq: 1,
        };
        let mut fold = Fold::awaiting_checkpoint(shard.read_from());
        for record in shard.fold().checkpoint(id) {
            fold.apply(&record.encode());
        }
        expect_that!(fold.is_awaiting_checkpoint(), eq(false));
        let is_expired = fold.may_have_expired(&key(key_s), at(s).wall);
        expect_that!(
            is_expired,
            eq(expired),
            "from the checkpoint: {key_s} at {s}"
        );
    }
}
