//! Replay of the publication stream under racing publications, duplicates, reordering, expiry and
//! late checkpoints.

use std::collections::{BTreeMap, BTreeSet};

use config::{
    Checkpoint, Fold, MAX_BUFFERED_RECORDS, MAX_RECENT_IDS, Outcome, Publication, PublicationId,
    PublicationOutcome, Record, RecordEffect,
};
use googletest::prelude::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use wire::{Code, Digest, Offset, Version};

fn id(n: usize) -> PublicationId {
    PublicationId::from_random((n as u128).to_be_bytes())
}

/// Returns the text of publication `n`; an invalid one has an unknown format.
fn text(n: usize, valid: bool) -> String {
    format!(
        "format = {}\nmesh = \"m\"\n# {n}\n",
        if valid { 1 } else { 9 }
    )
}

fn publication(n: usize, base: u64, text: String) -> Vec<u8> {
    let base = Version(base);
    let p = Publication {
        id: id(n),
        base,
        text,
    };
    Record::Publication(p).encode().expect("encodes")
}

/// Reference model of the replicated state, independent of [`Fold`].
#[derive(Clone, Default)]
struct Model {
    text: String,
    version: u64,
    recent: Vec<PublicationOutcome>,
    /// Numbers of the publications that had an append.
    seen: BTreeSet<usize>,
}

impl Model {
    fn publish(&mut self, n: usize, base: u64, text: &str, valid: bool) {
        if !self.seen.insert(n) {
            return;
        }
        let outcome = if base != self.version {
            Outcome::Rejected(Code::StaleBase)
        } else if !valid {
            Outcome::Rejected(Code::TextUnreadable)
        } else {
            self.version += 1;
            self.text = text.to_owned();
            Outcome::Accepted(Version(self.version))
        };
        self.recent.push(PublicationOutcome { id: id(n), outcome });
    }

    fn checkpoint(&self, as_of: u64) -> Record {
        Record::Checkpoint(Checkpoint {
            as_of: Offset(as_of),
            version: Version(self.version),
            text: self.text.clone(),
            recent: self.recent.clone(),
        })
    }

    fn state(&self) -> (Version, Digest) {
        (Version(self.version), Digest::of(self.text.as_bytes()))
    }
}

/// A record stream with the expected state before each offset.
#[derive(Default)]
struct Stream {
    records: Vec<Vec<u8>>,
    /// The state before each offset, and after the last record.
    expected: Vec<Model>,
}

/// Builds a stream. Each pair gives the kind of a record and a number, from which follows how far
/// back the base of a stale publication, the original of a duplicate or the state of a checkpoint
/// lies.
fn stream(ops: &[(u8, usize)]) -> Stream {
    let mut s = Stream {
        records: Vec::new(),
        expected: vec![Model::default()],
    };
    // Base, text and validity of each publication, by the offset of its first append.
    let mut texts: BTreeMap<usize, (u64, String, bool)> = BTreeMap::new();
    for (n, &(kind, back)) in ops.iter().enumerate() {
        let mut m = s.expected[n].clone();
        let at = n.saturating_sub(back % 8 + 1);
        let raw = match kind % 8 {
            // Racing, stale and invalid publications, and duplicates of earlier ones.
            k @ 0..=4 => {
                let stale = if k == 3 { back as u64 % 3 } else { 0 };
                let fresh = (m.version.saturating_sub(stale), text(n, k != 4), k != 4);
                let from = if k == 2 && texts.contains_key(&at) {
                    at
                } else {
                    n
                };
                let (base, text, valid) = texts.entry(from).or_insert(fresh).clone();
                m.publish(from, base, &text, valid);
                publication(from, base, text)
            }
            // Checkpoints, most of them of a state several records back.
            5 | 6 if n > 0 => s.expected[at + 1]
                .checkpoint(at as u64)
                .encode()
                .expect("encodes"),
            _ => vec![1, 9, 9],
        };
        s.records.push(raw);
        s.expected.push(m);
    }
    s
}

/// Applies one record and checks the invariants that hold after every step.
fn apply_and_check(f: &mut Fold, s: &Stream, at: usize) {
    let before = f.snapshot().version();
    f.apply(Offset(at as u64), &s.records[at]);
    let now = f.snapshot();
    assert!(
        now.version() >= before,
        "version decreased from {before} to {}",
        now.version()
    );
    let state = (now.version(), now.digest());
    if f.needs_checkpoint() {
        assert!(
            s.expected.iter().any(|m| m.state() == state),
            "state matches no offset of the stream"
        );
    } else {
        let next = usize::try_from(f.next_offset().0).expect("small");
        assert_eq!(state, s.expected[next].state(), "state at offset {next}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 1_500,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(0x5eed_0001),
        ..ProptestConfig::default()
    })]

    /// Guards against a state that depends on the offset at which a node started to read, on the
    /// order in which records arrived or on duplicates, and against a version that decreases or is
    /// applied in part.
    #[test]
    fn same_end_offset_gives_same_state(
        ops in prop::collection::vec((any::<u8>(), 0_usize..32), 1..60),
        early in prop::collection::vec(any::<prop::sample::Index>(), 0..80),
        late in prop::collection::vec(any::<prop::sample::Index>(), 0..80),
        expiry in (any::<prop::sample::Index>(), any::<prop::sample::Index>()),
        expires in any::<(bool, bool)>(),
    ) {
        let s = stream(&ops);
        let end = s.records.len();
        let mut f = Fold::new("m");
        let mut oldest = 0;
        let phases = [(expires.0, expiry.0, early), (expires.1, expiry.1, late)];
        for (expire, at, order) in phases {
            if expire {
                oldest = oldest.max(at.index(end));
                f.set_oldest_offset(Offset(oldest as u64));
            }
            for i in order {
                apply_and_check(&mut f, &s, oldest + i.index(end - oldest));
            }
        }
        // The reader then reads the rest of the stream in order.
        while f.next_offset().0 < end as u64 {
            let next = usize::try_from(f.next_offset().0).expect("small");
            prop_assert!(next >= oldest, "offset {} has expired", next);
            apply_and_check(&mut f, &s, next);
        }
        let last = &s.expected[end];
        if !f.needs_checkpoint() {
            let state = (f.snapshot().version(), f.snapshot().digest());
            prop_assert_eq!(state, last.state());
            prop_assert_eq!(f.checkpoint(), Some(last.checkpoint(end as u64 - 1)));
        }
        let covers = |at: usize| matches!(Record::decode(&s.records[at]),
            Ok(Record::Checkpoint(c)) if c.as_of.0 + 1 >= oldest as u64);
        prop_assert!(
            !f.needs_checkpoint() || !(oldest..end).any(covers),
            "usable checkpoint was ignored"
        );
    }
}

/// Guards against a fold that interprets a record of a later build, or skips it and applies the
/// records after it.
#[gtest]
fn unknown_format_stops_the_fold() {
    let mut f = Fold::new("m");
    f.apply(Offset(0), &publication(0, 0, text(0, true)));
    f.apply(Offset(2), &publication(2, 1, text(2, true)));
    let out = f.apply(Offset(1), &[2, 0, 0]);
    expect_that!(
        out,
        elements_are![matches_pattern!(RecordEffect::UnsupportedFormat {
            format: eq(&2)
        })]
    );
    f.apply(Offset(2), &publication(2, 1, text(2, true)));
    f.set_oldest_offset(Offset(2));
    expect_that!(f.snapshot().version(), eq(Version(1)));
    expect_that!(
        (f.unsupported_format(), f.next_offset()),
        eq((Some(2), Offset(1)))
    );
}

/// Guards against a duplicate publication that is applied twice, and against unbounded retention of
/// publication ids.
#[gtest]
fn duplicate_publications_apply_once_and_ids_are_bounded() {
    let mut f = Fold::new("m");
    let first = publication(0, 0, text(0, true));
    f.apply(Offset(0), &first);
    let again = f.apply(Offset(1), &first);
    let accepted = Outcome::Accepted(Version(1));
    expect_that!(
        again,
        elements_are![matches_pattern!(RecordEffect::Duplicate {
            id: eq(&id(0)),
            outcome: eq(&accepted)
        })]
    );
    for n in 2..MAX_RECENT_IDS + 2 {
        f.apply(Offset(n as u64), &publication(n, 9, String::new()));
    }
    expect_that!(f.outcome(id(0)), none());
    expect_that!(
        f.outcome(id(2)),
        some(eq(Outcome::Rejected(Code::StaleBase)))
    );
    let end = Offset(MAX_RECENT_IDS as u64 + 2);
    let late = f.apply(end, &first);
    let stale = Code::StaleBase;
    expect_that!(
        late,
        elements_are![matches_pattern!(RecordEffect::Rejected {
            code: eq(&stale),
            ..
        })]
    );
}

/// Guards against unbounded buffering of records, and against a fold that can't use a checkpoint
/// after it dropped the oldest buffered records.
#[gtest]
fn buffered_records_are_bounded() {
    let mut f = Fold::new("m");
    f.set_oldest_offset(Offset(10));
    let end = 10 + MAX_BUFFERED_RECORDS as u64 + 5;
    for o in 10..end {
        f.apply(Offset(o), &[]);
    }
    let m = Model {
        text: text(0, true),
        version: 3,
        ..Model::default()
    };
    let checkpoint = |as_of| m.checkpoint(as_of).encode().expect("encodes");
    f.apply(Offset(end), &checkpoint(12));
    expect_that!(f.needs_checkpoint(), eq(true));
    f.apply(Offset(end + 1), &checkpoint(end - 1));
    expect_that!(
        (f.snapshot().version(), f.next_offset()),
        eq((Version(3), Offset(end + 2)))
    );
}

/// Guards against a checkpoint that lowers the version, changes the text of the current version, or
/// has a version that its offset rules out.
#[gtest]
fn conflicting_checkpoints_are_rejected() {
    for (version, n) in [(0, 0), (1, 7), (90, 7)] {
        let mut f = Fold::new("m");
        f.apply(Offset(0), &publication(0, 0, text(0, true)));
        f.set_oldest_offset(Offset(5));
        let text = if version == 0 {
            String::new()
        } else {
            text(n, true)
        };
        let m = Model {
            text,
            version,
            ..Model::default()
        };
        f.apply(Offset(6), &m.checkpoint(5).encode().expect("encodes"));
        expect_that!(
            f.snapshot().version(),
            eq(Version(1)),
            "checkpoint of version {version}"
        );
        expect_that!(f.needs_checkpoint(), eq(true));
    }
}
