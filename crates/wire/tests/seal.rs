//! Authentication of datagrams and signatures, and key rotation.

use googletest::prelude::*;
use wire::{Code, KeyRing, MAX_DATAGRAM_BYTES, MeshKey, SealError};

fn ring(mesh: &str, number: u8, secret: &str) -> KeyRing {
    KeyRing::new(mesh, MeshKey::new(number, secret), None)
}

fn error_code(r: std::result::Result<String, SealError>) -> Option<Code> {
    r.err().map(SealError::code)
}

/// Guards against datagrams that are accepted although altered, truncated, oversized or sealed
/// under another key, mesh or wire version, and against counting them under a wrong code.
#[gtest]
fn invalid_datagrams_are_rejected_with_their_code() {
    let ours = ring("a", 1, "secret");
    let sealed = ours.seal(&"hello".to_owned()).unwrap();
    let altered = |at: usize| {
        let mut buf = sealed.clone();
        buf[at] ^= 1;
        buf
    };
    let truncated = sealed[..10].to_vec();
    let oversized = vec![1; MAX_DATAGRAM_BYTES + 1];
    let other_secret = ring("a", 1, "other").seal(&"hello".to_owned()).unwrap();
    let other_number = ring("a", 2, "secret").seal(&"hello".to_owned()).unwrap();
    let other_mesh = ring("b", 1, "secret").seal(&"hello".to_owned()).unwrap();
    let other_type = ours.seal(&u64::MAX).unwrap();
    let cases = [
        ("unaltered", sealed.clone(), None),
        (
            "payload altered",
            altered(sealed.len() - 1),
            Some(Code::BadMac),
        ),
        ("MAC altered", altered(7), Some(Code::BadMac)),
        ("other secret", other_secret, Some(Code::BadMac)),
        ("other key number", other_number, Some(Code::BadMac)),
        ("other mesh", other_mesh, Some(Code::ForeignMesh)),
        ("other wire version", altered(0), Some(Code::WireVersion)),
        ("truncated", truncated, Some(Code::Malformed)),
        ("not a string", other_type, Some(Code::Malformed)),
        ("oversized", oversized, Some(Code::Oversized)),
        ("empty", Vec::new(), Some(Code::Malformed)),
    ];
    for (case, buf, expected) in cases {
        expect_that!(
            error_code(ours.open::<String>(&buf)),
            eq(expected),
            "{case}"
        );
    }
}

/// Guards against a key rotation in which nodes reject each other's messages. Nodes at adjacent
/// steps of the rotation share a key; after the last step the old key is rejected.
#[gtest]
fn both_keys_are_accepted_during_rotation() {
    let (old, new) = (MeshKey::new(1, "old secret"), MeshKey::new(2, "new secret"));
    let before = KeyRing::new("m", old.clone(), None);
    let during = KeyRing::new("m", old.clone(), Some(new.clone()));
    let switched = KeyRing::new("m", new.clone(), Some(old));
    let after = KeyRing::new("m", new, None);
    let accepts = |to: &KeyRing, from: &KeyRing| {
        to.open::<u32>(&from.seal(&7_u32).unwrap()).is_ok()
            && to.verify(&[b"x"], &from.sign(&[b"x"]))
    };
    for (a, b) in [
        (&before, &during),
        (&during, &switched),
        (&switched, &after),
    ] {
        expect_true!(accepts(a, b) && accepts(b, a));
    }
    expect_false!(accepts(&after, &before));
}

/// Guards against a signature that is accepted for other parts, for parts split elsewhere, or when
/// it is malformed or truncated.
#[gtest]
fn signature_is_valid_only_for_its_parts() {
    let keys = ring("m", 1, "secret");
    let mac = keys.sign(&[b"ab", b"c"]);
    expect_true!(keys.verify(&[b"ab", b"c"], &mac));
    expect_false!(keys.verify(&[b"a", b"bc"], &mac));
    expect_false!(keys.verify(&[b"ab", b"c", b""], &mac));
    for damaged in ["", "zz", "01", "é1", &mac[..mac.len() - 2]] {
        expect_false!(keys.verify(&[b"ab", b"c"], damaged));
    }
}
