//! Decisions of one shard: which requests it runs, answers and refuses, and what it appends.

use std::time::Duration;

use claim::{Action, BootId, Cfg, ClaimRequest, Event, Key, MAX_ANSWER_BYTES, Now, ReqId, Shard};
use googletest::prelude::*;
use wire::{Fingerprint, InstanceId, Offset, Time, UnixMillis};

const START_MS: u64 = 1_800_000_000_000;
const WINDOW: Duration = Duration::from_secs(60);

/// One shard and its node's copy of the stream. The test controls time and the transfer of records.
struct TestNode {
    shard: Shard,
    /// Time in milliseconds since the start.
    ms: u64,
    log: Vec<Vec<u8>>,
    /// The last batch that the node requested to append.
    batch: Option<(u64, Vec<Vec<u8>>)>,
    /// Runs, answers and refusals since the last call of `take_seen`: `run` and the request,
    /// `answer`, the request and the response, or the number of the result code and the request.
    seen: Vec<String>,
}

impl TestNode {
    fn new(cfg: Cfg) -> TestNode {
        let shard = Shard::new(
            Cfg {
                claim_window: WINDOW,
                ..cfg
            },
            1,
        );
        let mut own_node = TestNode {
            shard,
            ms: 0,
            log: Vec::new(),
            batch: None,
            seen: Vec::new(),
        };
        own_node.send(Event::End { end: Offset(0) });
        own_node
    }

    fn send(&mut self, event: Event) {
        let now = Now {
            mono: Time::from_millis(self.ms),
            wall: UnixMillis(START_MS + self.ms),
        };
        for action in self.shard.handle(now, event) {
            match action {
                Action::Append { batch, records } => self.batch = Some((batch, records)),
                Action::Run(req) => self.seen.push(format!("run {}", req.0)),
                Action::Answer { req, answer } => {
                    self.seen
                        .push(format!("answer {} {:?}", req.0, answer.body));
                }
                Action::Refuse { req, refusal } => {
                    self.seen
                        .push(format!("{} {}", refusal.code.number(), req.0));
                }
            }
        }
    }

    fn request(&mut self, req: u64, key: &str, fingerprint: u64, deadline_ms: u64) {
        self.send(Event::Request(ClaimRequest {
            req: ReqId(req),
            key: Key::try_from(key).expect("a valid key"),
            fingerprint: Fingerprint(fingerprint),
            deadline: Time::from_millis(deadline_ms),
        }));
    }

    fn advance_ms(&mut self, ms: u64) {
        self.ms += ms;
        self.send(Event::Tick);
    }

    /// Appends the batch to the log, if there is one, and confirms the append to the node.
    fn confirm_append(&mut self) {
        let Some((batch, records)) = self.batch.take() else {
            return;
        };
        let first = Offset(self.log.len() as u64);
        self.log.extend(records);
        self.send(Event::Appended { batch, first });
        self.read_all();
    }

    /// Reports the append of the batch as failed and returns the records of the batch.
    fn fail_append(&mut self, may_have_written: bool) -> Vec<Vec<u8>> {
        let (batch, records) = self.batch.take().expect("a batch");
        self.send(Event::AppendFailed {
            batch,
            may_have_written,
        });
        records
    }

    fn read_all(&mut self) {
        while let Some(data) = self.log.get(self.shard.read_from().0 as usize).cloned() {
            let offset = self.shard.read_from();
            self.send(Event::Read { offset, data });
        }
        let end = Offset(self.log.len() as u64);
        self.send(Event::End { end });
    }

    /// Claims the key with a deadline after one second, and hands the request over.
    fn claim_and_run(&mut self, req: u64, key: &str) {
        self.request(req, key, 1, self.ms + 1_000);
        self.advance_ms(1);
        self.confirm_append();
        self.send(Event::HandedOver(ReqId(req)));
    }

    /// Ends the run with a response and appends its outcome.
    fn finish(&mut self, req: u64, answer: Vec<u8>) {
        self.send(Event::Finished {
            req: ReqId(req),
            status: 200,
            answer,
        });
        self.advance_ms(10);
        self.confirm_append();
    }

    fn take_seen(&mut self) -> Vec<String> {
        std::mem::take(&mut self.seen)
    }
}

/// Returns the default settings of node `n`.
fn node(n: u64) -> Cfg {
    Cfg::new(InstanceId(n), BootId(n))
}

/// Returns another node that has read the same stream.
fn reader_of(own_node: &TestNode) -> TestNode {
    let mut other_node = TestNode::new(node(2));
    other_node.ms = own_node.ms;
    other_node.log.clone_from(&own_node.log);
    other_node.read_all();
    other_node
}

fn strings(expected: &[&str]) -> Vec<String> {
    expected.iter().map(|s| (*s).to_owned()).collect()
}

// Guards against a repeat that gets a wrong code, on the node that ran the request or on another
// one that only reads the stream.
#[gtest]
fn repeats_get_the_outcome_of_the_run() {
    let large = vec![0; MAX_ANSWER_BYTES + 1];
    // (name, response, fingerprint of the repeat, what is seen on the repeat)
    let cases: &[(&str, Option<Vec<u8>>, u64, &str)] = &[
        ("kept answer", Some(vec![7]), 1, "answer 2 [7]"),
        ("answer too large", Some(large), 1, "407 2"),
        ("target lost", None, 1, "403 2"),
        ("another request", Some(vec![7]), 2, "405 2"),
    ];
    for (name, response, fingerprint, expected) in cases {
        let mut own_node = TestNode::new(node(1));
        own_node.claim_and_run(1, "k");
        match response {
            Some(answer) => own_node.finish(1, answer.clone()),
            None => {
                own_node.send(Event::NoResponse(ReqId(1)));
                own_node.advance_ms(10);
                own_node.confirm_append();
            }
        }
        let mut other_node = reader_of(&own_node);
        for node in [&mut own_node, &mut other_node] {
            node.take_seen();
            node.request(2, "k", *fingerprint, node.ms + 100);
            expect_that!(node.take_seen(), eq(&strings(&[expected])), "{name}");
        }
    }
}

// Guards against repeats that wait without a limit in number or time, and against a code that
// asserts more about the run than the node knows.
#[gtest]
fn a_repeat_waits_only_until_the_deadline_of_the_holder() {
    let mut own_node = TestNode::new(Cfg {
        max_waiters: 2,
        ..node(1)
    });
    own_node.claim_and_run(1, "k");
    expect_that!(own_node.take_seen(), eq(&strings(&["run 1"])));
    for (req, deadline) in [(2, 50), (3, 500), (4, 500)] {
        own_node.request(req, "k", 1, deadline);
    }
    expect_that!(
        own_node.take_seen(),
        eq(&strings(&["402 4"])),
        "no more than two wait"
    );
    own_node.advance_ms(50);
    expect_that!(
        own_node.take_seen(),
        eq(&strings(&["402 2"])),
        "the deadline of the waiting request"
    );
    let mut other_node = reader_of(&own_node);
    other_node.request(5, "k", 1, 60_000);
    expect_that!(other_node.take_seen(), eq(&strings(&[])));
    other_node.advance_ms(10_000);
    expect_that!(
        other_node.take_seen(),
        eq(&strings(&["403 5"])),
        "the holder's deadline has passed"
    );
    own_node.finish(1, vec![7]);
    expect_that!(own_node.take_seen(), eq(&strings(&["answer 3 [7]"])));
}

// Guards against a "not run" refusal whose claim holds the key or runs later. The append of the
// claim got no reply, and the claim and its release may reach the stream in either order.
#[gtest]
fn a_claim_with_an_unanswered_append_is_released_after_the_refusal() {
    for order in [["claim", "release"], ["release", "claim"]] {
        let mut own_node = TestNode::new(node(1));
        own_node.request(1, "k", 1, 20);
        own_node.advance_ms(1);
        let claim = own_node.fail_append(true);
        own_node.advance_ms(19);
        expect_that!(own_node.take_seen(), eq(&strings(&["401 1"])));
        own_node.advance_ms(100);
        let release = own_node.fail_append(true);
        for what in order {
            own_node.log.extend(if what == "claim" {
                claim.clone()
            } else {
                release.clone()
            });
        }
        own_node.read_all();
        expect_that!(own_node.take_seen(), eq(&strings(&[])), "{order:?}");
        expect_that!(own_node.shard.unconfirmed_records(), eq(0), "{order:?}");
        let mut other_node = reader_of(&own_node);
        other_node.claim_and_run(2, "k");
        expect_that!(
            other_node.take_seen(),
            eq(&strings(&["run 2"])),
            "{order:?}"
        );
    }
}

// Guards against a delayed claim of an earlier process of the same node that decides a claim of the
// current process with the same sequence number.
#[gtest]
fn a_late_claim_of_an_earlier_boot_decides_no_current_claim() {
    let mut old = TestNode::new(node(1));
    old.request(1, "k", 1, 100);
    old.advance_ms(1);
    let mut own_node = TestNode::new(Cfg::new(InstanceId(1), BootId(2)));
    own_node.request(2, "l", 1, 100);
    own_node.advance_ms(1);
    own_node.log = old.fail_append(true);
    own_node.read_all();
    expect_that!(own_node.take_seen(), eq(&strings(&[])));
    own_node.confirm_append();
    expect_that!(own_node.take_seen(), eq(&strings(&["run 2"])));
}

// Guards against a needless append: the release of a claim that can't be in the stream.
#[gtest]
fn a_claim_that_was_not_written_needs_no_release() {
    let mut own_node = TestNode::new(node(1));
    own_node.request(1, "k", 1, 20);
    own_node.advance_ms(1);
    own_node.fail_append(false);
    own_node.advance_ms(19);
    expect_that!(own_node.take_seen(), eq(&strings(&["401 1"])));
    expect_that!(own_node.shard.unconfirmed_records(), eq(0));
}

// Guards against a run that starts with less than `run_margin` left to its deadline, because the
// append of its claim was slow.
#[gtest]
fn a_claim_that_wins_too_late_is_not_run() {
    let mut own_node = TestNode::new(node(1));
    own_node.request(1, "k", 1, 20);
    own_node.advance_ms(1);
    own_node.ms = 16;
    own_node.confirm_append();
    expect_that!(own_node.take_seen(), eq(&strings(&["401 1"])));
    own_node.confirm_append();
    own_node.advance_ms(1);
    own_node.confirm_append();
    expect_that!(
        own_node.shard.fold().is_empty(),
        eq(true),
        "the claim is released"
    );
}

// Guards against a key that stays held when its request is dropped before the hand-over, and
// against a release after the hand-over.
#[gtest]
fn only_a_request_that_was_not_handed_over_is_released() {
    for (is_handed_over, expected) in [(false, "run 2"), (true, "402 2")] {
        let mut own_node = TestNode::new(node(1));
        own_node.request(1, "k", 1, 1_000);
        own_node.advance_ms(1);
        own_node.confirm_append();
        if is_handed_over {
            own_node.send(Event::HandedOver(ReqId(1)));
        }
        own_node.send(Event::Cancelled(ReqId(1)));
        own_node.take_seen();
        own_node.request(2, "k", 1, 100);
        for _ in 0..4 {
            own_node.advance_ms(25);
            own_node.confirm_append();
        }
        expect_that!(own_node.take_seen(), eq(&strings(&[expected])));
    }
}

// Guards against accepting a request that can't be decided: before the end of the stream was
// reached, too close to the deadline, at a memory limit, for a key outside of the window or on a
// wrong clock.
#[gtest]
fn a_request_that_cannot_be_decided_is_refused_at_once() {
    let mut fresh = TestNode::new(node(1));
    fresh.shard = Shard::new(node(1), 1);
    let v7 = |ms: u64| {
        format!(
            "{:08x}-{:04x}-7000-8000-0000000000ab",
            ms >> 16,
            ms & 0xffff
        )
    };
    let window = WINDOW.as_millis() as u64;
    // (name, node, key, deadline in milliseconds, what is seen on the request)
    #[rustfmt::skip]
    let cases: Vec<(&str, TestNode, String, u64, &[&str])> = vec![
        ("stream not read to its end", fresh, "k".into(), 100, &["401 1"]),
        ("too close to the deadline", TestNode::new(node(1)), "k".into(), 5, &["401 1"]),
        ("keys full", TestNode::new(Cfg { max_keys: 0, ..node(1) }), "k".into(), 99, &["401 1"]),
        ("claims full", TestNode::new(Cfg { max_claims: 0, ..node(1) }), "k".into(), 99, &["401 1"]),
        ("old key", TestNode::new(node(1)), v7(START_MS - window - 1), 100, &["404 1"]),
        ("oldest key", TestNode::new(node(1)), v7(START_MS - window), 100, &[]),
        ("newest key", TestNode::new(node(1)), v7(START_MS + 5_000), 100, &[]),
        ("key of the future", TestNode::new(node(1)), v7(START_MS + 5_001), 100, &["404 1"]),
    ];
    for (name, mut own_node, key, deadline, expected) in cases {
        own_node.request(1, &key, 1, deadline);
        expect_that!(own_node.take_seen(), eq(&strings(expected)), "{name}");
    }
    let mut ahead = TestNode::new(node(1));
    ahead.ms = 11_000;
    ahead.claim_and_run(1, "k");
    let mut behind = reader_of(&ahead);
    behind.ms = 0;
    behind.request(2, "l", 1, 100);
    expect_that!(
        behind.take_seen(),
        eq(&strings(&["401 2"])),
        "the clock of the stream is ahead of the node's"
    );
}

// Guards against a table that stays full: entries expire only by the time in new records, and a
// full table refuses the claims that would bring them.
#[gtest]
fn a_full_table_accepts_keys_after_its_entries_expire() {
    let mut own_node = TestNode::new(Cfg {
        max_keys: 1,
        ..node(1)
    });
    own_node.claim_and_run(1, "k");
    own_node.finish(1, vec![7]);
    own_node.ms += 120_000;
    own_node.take_seen();
    own_node.request(2, "l", 1, own_node.ms + 100);
    expect_that!(own_node.take_seen(), eq(&strings(&["401 2"])));
    own_node.advance_ms(1);
    own_node.confirm_append();
    own_node.claim_and_run(3, "l");
    expect_that!(own_node.take_seen(), eq(&strings(&["run 3"])));
}

// Guards against one append per claim, and against two appends in flight.
#[gtest]
fn claims_share_an_append() {
    let mut own_node = TestNode::new(node(1));
    for req in 0..10 {
        own_node.request(req, &format!("a{req}"), 1, 500);
    }
    own_node.advance_ms(1);
    for req in 10..20 {
        own_node.request(req, &format!("b{req}"), 1, 500);
    }
    own_node.advance_ms(5);
    expect_that!(
        own_node.batch.as_ref().map(|(n, r)| (*n, r.len())),
        some(eq((1, 10)))
    );
    own_node.confirm_append();
    expect_that!(
        own_node.batch.as_ref().map(|(n, r)| (*n, r.len())),
        some(eq((2, 10)))
    );
    own_node.confirm_append();
    expect_that!(own_node.take_seen().len(), eq(20));
}

// All records have expired without a checkpoint. Guards against a shard that never becomes ready
// again, and against one that accepts claims while claims in expired records may still hold keys.
#[gtest]
fn without_a_checkpoint_the_shard_waits_for_one_window() {
    let mut own_node = TestNode::new(node(1));
    own_node.send(Event::Expired { oldest: Offset(9) });
    // (milliseconds that pass, whether the shard is then ready)
    for (pass_ms, is_ready) in [(0, false), (60_000, false), (20_001, true)] {
        own_node.advance_ms(pass_ms);
        own_node.send(Event::End { end: Offset(9) });
        own_node.send(Event::End { end: Offset(9) });
        expect_that!(
            own_node.shard.is_ready(),
            eq(is_ready),
            "after {pass_ms} ms"
        );
    }
}
