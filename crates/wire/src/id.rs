//! Identifiers shared by nodes, the log and the control protocol.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// The version number of an accepted publication. Version 0 is the empty configuration.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Version(pub u64);

impl Version {
    /// Returns the version that follows this one.
    #[must_use]
    pub const fn next(self) -> Version {
        Version(self.0 + 1)
    }
}

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// The position of a record in a log stream, counted from 0.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Offset(pub u64);

impl Offset {
    /// Returns the offset of the next record.
    #[must_use]
    pub const fn next(self) -> Offset {
        Offset(self.0 + 1)
    }
}

impl fmt::Display for Offset {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// The blake3 digest of a configuration text.
#[derive(Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Digest(pub [u8; 32]);

impl Digest {
    /// Computes the digest of `bytes`.
    pub fn of(bytes: &[u8]) -> Digest {
        Digest(*blake3::hash(bytes).as_bytes())
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        // The first eight bytes suffice to distinguish versions in logs and tables.
        for b in &self.0[..8] {
            write!(f, "{b:02x}")?;
        }
        Ok(())
    }
}

/// The identifier of an instance: a hash of its name, so that the identifier stays the same
/// after a restart without being stored on disk.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct InstanceId(pub u64);

impl InstanceId {
    /// Derives the identifier from the instance's name.
    pub fn of(name: &str) -> InstanceId {
        InstanceId(first_u64(&blake3::hash(name.as_bytes())))
    }
}

impl fmt::Display for InstanceId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// The incarnation number of a node (in membership) or of its target (in strikes). A node takes a
/// higher number on a restart and on each refutation of a suspicion; a strike carries the
/// incarnation of the target that crashed.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Incarnation(pub u64);

/// A hash over the parts of a request that identifies repeats of the same request.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Fingerprint(pub u64);

impl Fingerprint {
    /// Hashes `parts`. Each part is prefixed with its length, so that moving bytes between adjacent
    /// parts changes the hash.
    pub fn of(parts: &[&[u8]]) -> Fingerprint {
        let Some((last, first)) = parts.split_last() else {
            return Fingerprint(first_u64(&blake3::Hasher::new().finalize()));
        };
        Fingerprint::of_pieces(first, std::iter::once(*last), last.len())
    }

    /// Hashes `parts` like [`Fingerprint::of`], and a last one of `len` bytes in `pieces`; where that
    /// is split does not change the hash.
    pub fn of_pieces<'a>(
        parts: &[&[u8]],
        pieces: impl Iterator<Item = &'a [u8]>,
        len: usize,
    ) -> Fingerprint {
        let mut h = blake3::Hasher::new();
        for p in parts {
            h.update(&(p.len() as u64).to_le_bytes());
            h.update(p);
        }
        h.update(&(len as u64).to_le_bytes());
        for p in pieces {
            h.update(p);
        }
        Fingerprint(first_u64(&h.finalize()))
    }
}

/// The name of a failure domain.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Domain(pub Arc<str>);

impl From<&str> for Domain {
    fn from(s: &str) -> Domain {
        Domain(s.into())
    }
}

impl fmt::Display for Domain {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// The name of a service.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ServiceName(pub Arc<str>);

impl From<&str> for ServiceName {
    fn from(s: &str) -> ServiceName {
        ServiceName(s.into())
    }
}

impl fmt::Display for ServiceName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// Returns the first eight bytes of `hash` as a little-endian number.
fn first_u64(hash: &blake3::Hash) -> u64 {
    let mut b = [0; 8];
    b.copy_from_slice(&hash.as_bytes()[..8]);
    u64::from_le_bytes(b)
}
