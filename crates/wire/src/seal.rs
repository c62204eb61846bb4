//! Authentication of control datagrams with the shared keys of the mesh.
//!
//! A datagram is `wire version (1 byte) | key number (1 byte) | mesh tag (4 bytes) | MAC (16 bytes)
//! | payload`. The MAC is keyed blake3 over the mesh name and the payload, truncated to 16 bytes.
//! The mesh tag is a hash of the mesh name, truncated to 4 bytes; it serves only to count datagrams
//! of another mesh apart from those with a wrong key.

use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::Snafu;

use crate::Code;

/// Version of the control protocol, the first byte of a datagram.
pub const WIRE_VERSION: u8 = 1;
/// Largest datagram in bytes; fits an Ethernet frame with room for the headers of tunnels.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;

const MAC_BYTES: usize = 16;
const MESH_TAG_BYTES: usize = 4;
const MAC_OFFSET: usize = 2 + MESH_TAG_BYTES;
const HEADER_BYTES: usize = MAC_OFFSET + MAC_BYTES;
/// Context string of the key derivation; keys derived under another string differ.
const KEY_CONTEXT: &str = "briarlug 2026-12 mesh key";

/// The reason why a datagram could not be sealed or was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum SealError {
    /// The MAC doesn't match, or no accepted key has the key number.
    #[snafu(display("bad MAC or unknown key number"))]
    BadMac,
    /// The datagram belongs to another mesh.
    #[snafu(display("datagram belongs to another mesh"))]
    ForeignMesh,
    /// The wire version isn't [`WIRE_VERSION`].
    #[snafu(display("unknown wire version {version}, expected {WIRE_VERSION}"))]
    WireVersion {
        /// Wire version of the datagram.
        version: u8,
    },
    /// The payload can't be encoded or decoded, or the datagram is shorter than its header.
    #[snafu(display("malformed datagram: cannot be encoded or decoded"))]
    Malformed,
    /// The datagram exceeds [`MAX_DATAGRAM_BYTES`].
    #[snafu(display("datagram of {bytes} bytes exceeds the limit of {MAX_DATAGRAM_BYTES} bytes"))]
    Oversized {
        /// Size of the datagram in bytes.
        bytes: usize,
    },
}

impl SealError {
    /// Returns the result code under which the failure is counted.
    pub const fn code(self) -> Code {
        match self {
            SealError::BadMac => Code::BadMac,
            SealError::ForeignMesh => Code::ForeignMesh,
            SealError::WireVersion { .. } => Code::WireVersion,
            SealError::Malformed => Code::Malformed,
            SealError::Oversized { .. } => Code::Oversized,
        }
    }
}

/// A shared key of the mesh. Datagrams and signatures name it by its number.
#[derive(Clone)]
pub struct MeshKey {
    number: u8,
    key: [u8; 32],
}

impl MeshKey {
    /// Derives the key from `secret`, which the settings hold.
    pub fn new(number: u8, secret: &str) -> MeshKey {
        MeshKey {
            number,
            key: blake3::derive_key(KEY_CONTEXT, secret.as_bytes()),
        }
    }
}

impl std::fmt::Debug for MeshKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("MeshKey")
            .field("number", &self.number)
            .finish_non_exhaustive()
    }
}

/// The accepted keys of a mesh. The primary key authenticates what this node sends; the secondary
/// key is only accepted, while keys are rotated.
#[derive(Clone, Debug)]
pub struct KeyRing {
    mesh: String,
    mesh_tag: [u8; MESH_TAG_BYTES],
    primary: MeshKey,
    secondary: Option<MeshKey>,
}

impl KeyRing {
    /// Creates the key ring of the mesh named `mesh`. With `None` there is no secondary key.
    pub fn new(mesh: &str, primary: MeshKey, secondary: Option<MeshKey>) -> KeyRing {
        let mut mesh_tag = [0; MESH_TAG_BYTES];
        mesh_tag.copy_from_slice(&blake3::hash(mesh.as_bytes()).as_bytes()[..MESH_TAG_BYTES]);
        KeyRing {
            mesh: mesh.to_owned(),
            mesh_tag,
            primary,
            secondary,
        }
    }

    /// Encodes `msg` as a datagram authenticated with the primary key.
    ///
    /// # Errors
    ///
    /// Fails when `msg` can't be encoded or its datagram exceeds [`MAX_DATAGRAM_BYTES`].
    pub fn seal<T: Serialize>(&self, msg: &T) -> Result<Vec<u8>, SealError> {
        let mut buf = vec![0; HEADER_BYTES];
        buf[0] = WIRE_VERSION;
        buf[1] = self.primary.number;
        buf[2..MAC_OFFSET].copy_from_slice(&self.mesh_tag);
        let mut buf = postcard::to_extend(msg, buf).map_err(|_| SealError::Malformed)?;
        if buf.len() > MAX_DATAGRAM_BYTES {
            return Err(SealError::Oversized { bytes: buf.len() });
        }
        let mac = self.compute_mac(&self.primary, &[&buf[HEADER_BYTES..]]);
        buf[MAC_OFFSET..HEADER_BYTES].copy_from_slice(&mac);
        Ok(buf)
    }

    /// Verifies the datagram `buf` and decodes its message.
    ///
    /// # Errors
    ///
    /// Fails when the datagram is oversized or truncated, from another mesh, of another wire
    /// version, authenticated with an unknown key, altered, or not decodable as `T`.
    pub fn open<T: DeserializeOwned>(&self, buf: &[u8]) -> Result<T, SealError> {
        if buf.len() > MAX_DATAGRAM_BYTES {
            return Err(SealError::Oversized { bytes: buf.len() });
        }
        if buf.len() < HEADER_BYTES {
            return Err(SealError::Malformed);
        }
        if buf[0] != WIRE_VERSION {
            return Err(SealError::WireVersion { version: buf[0] });
        }
        if buf[2..MAC_OFFSET] != self.mesh_tag {
            return Err(SealError::ForeignMesh);
        }
        let payload = &buf[HEADER_BYTES..];
        let key = self.find_key(buf[1]).ok_or(SealError::BadMac)?;
        if !constant_time_eq(
            &self.compute_mac(key, &[payload]),
            &buf[MAC_OFFSET..HEADER_BYTES],
        ) {
            return Err(SealError::BadMac);
        }
        postcard::from_bytes(payload).map_err(|_| SealError::Malformed)
    }

    /// Computes the signature that authenticates `parts` of an HTTP request or RPC between nodes:
    /// the primary key's number and the MAC, in hexadecimal.
    pub fn sign(&self, parts: &[&[u8]]) -> String {
        let mut s = format!("{:02x}", self.primary.number);
        for b in self.compute_mac(&self.primary, parts) {
            s.push_str(&format!("{b:02x}"));
        }
        s
    }

    /// Returns whether `value` is the signature of `parts` under an accepted key; see
    /// [`KeyRing::sign`].
    pub fn verify(&self, parts: &[&[u8]], value: &str) -> bool {
        let Some(raw) = decode_hex(value) else {
            return false;
        };
        let Some((number, mac)) = raw.split_first() else {
            return false;
        };
        self.find_key(*number)
            .is_some_and(|k| constant_time_eq(&self.compute_mac(k, parts), mac))
    }

    fn find_key(&self, number: u8) -> Option<&MeshKey> {
        std::iter::once(&self.primary)
            .chain(&self.secondary)
            .find(|k| k.number == number)
    }

    /// Computes the MAC over the mesh name and `parts`. Each of them is prefixed with its length,
    /// so that moving bytes between adjacent parts changes the MAC.
    fn compute_mac(&self, key: &MeshKey, parts: &[&[u8]]) -> [u8; MAC_BYTES] {
        let mut h = blake3::Hasher::new_keyed(&key.key);
        for p in std::iter::once(&self.mesh.as_bytes()).chain(parts) {
            h.update(&(p.len() as u64).to_le_bytes());
            h.update(p);
        }
        let mut mac = [0; MAC_BYTES];
        mac.copy_from_slice(&h.finalize().as_bytes()[..MAC_BYTES]);
        mac
    }
}

/// Compares two slices in a time that depends only on their lengths, so that the time of a failed
/// check doesn't reveal a valid MAC byte by byte.
fn constant_time_eq(a: &[u8], b: &[u8]) -> bool {
    a.len() == b.len() && a.iter().zip(b).fold(0, |acc, (x, y)| acc | (x ^ y)) == 0
}

fn decode_hex(s: &str) -> Option<Vec<u8>> {
    if !s.is_ascii() || !s.len().is_multiple_of(2) {
        return None;
    }
    (0..s.len())
        .step_by(2)
        .map(|i| u8::from_str_radix(&s[i..i + 2], 16).ok())
        .collect()
}
