//! Tests of bodies and of the account that they count in.

use bytes::Bytes;
use googletest::prelude::*;
use memory::{Account, Body, BodyWriter, SMALL_BYTES, Tally, Use};
use proptest::prelude::*;

const MB: usize = 1 << 20;

fn bytes(len: usize) -> Bytes {
    (0..len).map(|i| (i * 31 % 251) as u8).collect()
}

fn write_all(mut writer: BodyWriter, data: &Bytes, piece: usize) -> Body {
    for part in data.chunks(piece) {
        writer.write(&mut data.slice_ref(part)).unwrap();
    }
    writer.finish()
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    /// Guards against a body that loses, repeats or moves bytes at the border of a segment.
    #[test]
    fn bodies_keep_their_bytes(
        len in 0usize..1_200_000, piece in 1usize..100_000,
        is_declared in any::<bool>(), cut in (0.0f64..1.0, 0usize..400_000),
    ) {
        let account = Account::new(8 * MB);
        let data = bytes(len);
        let writer = if is_declared {
            BodyWriter::with_len(&account, None, Use::Request, len).unwrap()
        } else {
            BodyWriter::new(&account, None, Use::Request)
        };
        let body = write_all(writer, &data, piece);
        prop_assert_eq!(body.len(), len);
        let joined: Vec<u8> = body.parts().flatten().copied().collect();
        prop_assert!(joined == data);
        let start = (len as f64 * cut.0) as usize;
        let end = len.min(start + cut.1);
        prop_assert!(body.slice(start, end) == data.slice(start..end));
        prop_assert!(account.held_bytes() >= len);
        drop(body);
        prop_assert_eq!(account.held_bytes(), 0);
    }
}

/// Guards against memory that is counted later than it is taken, or given back before it is freed: a
/// declared body counts at once, a part of it until the last slice of that part is dropped.
#[gtest]
fn a_body_counts_from_its_announcement_until_it_is_freed() {
    let account = Account::new(8 * MB);
    let tally = Tally::default();
    let writer = BodyWriter::with_len(&account, Some(&tally), Use::Request, MB).unwrap();
    expect_that!((account.held_bytes(), tally.bytes()), eq((MB, MB)));
    let body = write_all(writer, &bytes(MB), 50_000);
    let copy = body.clone();
    expect_that!(account.held_bytes(), eq(MB));
    drop(copy);
    let mut parts = body.into_parts();
    let first = parts.next().unwrap();
    let slice = first.slice(1..2);
    drop(first);
    expect_that!(account.held_bytes(), eq(MB));
    drop(slice);
    expect_that!(tally.bytes(), all!(lt(MB), gt(0)));
    drop(parts);
    expect_that!((account.held_bytes(), tally.bytes()), eq((0, 0)));
}

/// Guards against one use that takes the memory of another: uploads leave room for responses, and large
/// bodies for small ones. What is refused takes nothing.
#[gtest]
fn each_use_leaves_room_for_the_next() {
    let account = Account::new(100 * MB);
    let mut held = Vec::new();
    for usage in [
        Use::UnboundedResponse,
        Use::Request,
        Use::Response,
        Use::Small,
    ] {
        let mut charge = account.charge(None);
        while charge.try_add(usage, SMALL_BYTES).is_ok() {}
        held.push(account.held_bytes() / MB);
        let full = account.held_bytes();
        expect_that!(charge.try_add(usage, SMALL_BYTES).is_err(), eq(true));
        expect_that!(account.held_bytes(), eq(full));
        std::mem::forget(charge);
    }
    expect_that!(held, elements_are![eq(&40), eq(&75), eq(&90), eq(&100)]);
}

/// Guards against a body of unknown length that is lost when memory is short for a moment: what could
/// not be written is left to the caller.
#[gtest]
fn a_refused_write_can_be_repeated() {
    let account = Account::new(4 * MB);
    let mut other = account.charge(None);
    let mut writer = BodyWriter::new(&account, None, Use::Request);
    let mut data = bytes(MB);
    let mut start = data.split_to(600_000);
    writer.write(&mut start).unwrap();
    other.set(4 * MB);
    expect_that!(writer.write(&mut data).is_err(), eq(true));
    other.set(0);
    writer.write(&mut data).unwrap();
    let body = writer.finish();
    expect_that!(body.slice(0, MB) == bytes(MB), eq(true));
}
