//! Identifiers.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// The number of an accepted publication. Version 0 is the empty configuration.
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

/// The position of a record in a stream of the log.
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
        // Eight bytes are enough to tell versions apart in logs and tables.
        for b in &self.0[..8] {
            write!(f, "{b:02x}")?;
        }
        Ok(())
    }
}

/// The identifier of an instance: a hash of its name, so it survives a restart without a disk.
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

/// Orders the lives of an instance and its refutations within a life.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Incarnation(pub u64);

/// A hash over the parts of a request, by which repeats of the same request are recognised.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Fingerprint(pub u64);

impl Fingerprint {
    /// Hashes `parts`; each part's length is hashed with it, so parts can't run into each other.
    pub fn of(parts: &[&[u8]]) -> Fingerprint {
        let mut h = blake3::Hasher::new();
        for p in parts {
            h.update(&(p.len() as u64).to_le_bytes());
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

fn first_u64(hash: &blake3::Hash) -> u64 {
    let mut b = [0; 8];
    b.copy_from_slice(&hash.as_bytes()[..8]);
    u64::from_le_bytes(b)
}
