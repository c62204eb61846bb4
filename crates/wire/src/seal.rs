//! Authentication of control datagrams with the shared keys of the mesh.
//!
//! A datagram is `wire version (1 byte) | key number (1 byte) | mesh tag (4 bytes) | MAC (16 bytes)
//! | payload`. The MAC is keyed blake3 over the mesh name and the payload, cut to 16 bytes. The tag
//! is a hash of the mesh name; it only tells a foreign mesh from a wrong key in the counters.

use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::Snafu;

use crate::Code;

/// Version of the control protocol.
pub const WIRE_VERSION: u8 = 1;
/// Largest datagram in bytes; fits an Ethernet frame with room for tunnels.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;

const MAC_BYTES: usize = 16;
const TAG_BYTES: usize = 4;
const MAC_AT: usize = 2 + TAG_BYTES;
const HEADER_BYTES: usize = MAC_AT + MAC_BYTES;
const KEY_CONTEXT: &str = "briarlug 2026-12 mesh key";

/// Why a datagram was not sealed or not accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum SealError {
    /// The MAC doesn't match or the key number is unknown.
    #[snafu(display("bad MAC or unknown key number"))]
    BadMac,
    /// The datagram belongs to another mesh.
    #[snafu(display("foreign mesh"))]
    ForeignMesh,
    /// The wire version is unknown.
    #[snafu(display("unknown wire version {version}"))]
    WireVersion {
        /// Version byte of the datagram.
        version: u8,
    },
    /// The payload can't be encoded or decoded.
    #[snafu(display("malformed message"))]
    Malformed,
    /// The datagram is over [`MAX_DATAGRAM_BYTES`].
    #[snafu(display("message of {bytes} bytes is over the limit"))]
    Oversized {
        /// Size of the datagram.
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

/// A shared key of the mesh with its number.
#[derive(Clone)]
pub struct MeshKey {
    number: u8,
    key: [u8; 32],
}

impl MeshKey {
    /// Derives a key from the secret of the settings.
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

/// The accepted keys of a mesh. The first one authenticates what this node sends; a second one is
/// accepted while a key is rotated.
#[derive(Clone, Debug)]
pub struct KeyRing {
    mesh: String,
    tag: [u8; TAG_BYTES],
    send: MeshKey,
    also: Option<MeshKey>,
}

impl KeyRing {
    /// Makes the key ring of the mesh `mesh`.
    pub fn new(mesh: &str, send: MeshKey, also: Option<MeshKey>) -> KeyRing {
        let mut tag = [0; TAG_BYTES];
        tag.copy_from_slice(&blake3::hash(mesh.as_bytes()).as_bytes()[..TAG_BYTES]);
        KeyRing {
            mesh: mesh.to_owned(),
            tag,
            send,
            also,
        }
    }

    /// Encodes and authenticates `msg`.
    ///
    /// # Errors
    ///
    /// Fails when the message can't be encoded or exceeds [`MAX_DATAGRAM_BYTES`].
    pub fn seal<T: Serialize>(&self, msg: &T) -> Result<Vec<u8>, SealError> {
        let mut buf = vec![0; HEADER_BYTES];
        buf[0] = WIRE_VERSION;
        buf[1] = self.send.number;
        buf[2..MAC_AT].copy_from_slice(&self.tag);
        let mut buf = postcard::to_extend(msg, buf).map_err(|_| SealError::Malformed)?;
        if buf.len() > MAX_DATAGRAM_BYTES {
            return Err(SealError::Oversized { bytes: buf.len() });
        }
        let mac = self.mac(&self.send, &[&buf[HEADER_BYTES..]]);
        buf[MAC_AT..HEADER_BYTES].copy_from_slice(&mac);
        Ok(buf)
    }

    /// Checks and decodes a datagram.
    ///
    /// # Errors
    ///
    /// Fails when the datagram is oversized, from another mesh, of another wire version, altered
    /// or not decodable.
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
        if buf[2..MAC_AT] != self.tag {
            return Err(SealError::ForeignMesh);
        }
        let payload = &buf[HEADER_BYTES..];
        let key = self.key(buf[1]).ok_or(SealError::BadMac)?;
        if !equal(&self.mac(key, &[payload]), &buf[MAC_AT..HEADER_BYTES]) {
            return Err(SealError::BadMac);
        }
        postcard::from_bytes(payload).map_err(|_| SealError::Malformed)
    }

    /// Computes the header value that authenticates `parts` on an HTTP hop or a call.
    pub fn sign(&self, parts: &[&[u8]]) -> String {
        let mut s = format!("{:02x}", self.send.number);
        for b in self.mac(&self.send, parts) {
            s.push_str(&format!("{b:02x}"));
        }
        s
    }

    /// Checks a header value made by [`KeyRing::sign`].
    pub fn verify(&self, parts: &[&[u8]], value: &str) -> bool {
        let Some(raw) = decode_hex(value) else {
            return false;
        };
        let Some((number, mac)) = raw.split_first() else {
            return false;
        };
        self.key(*number)
            .is_some_and(|k| equal(&self.mac(k, parts), mac))
    }

    fn key(&self, number: u8) -> Option<&MeshKey> {
        std::iter::once(&self.send)
            .chain(&self.also)
            .find(|k| k.number == number)
    }

    fn mac(&self, key: &MeshKey, parts: &[&[u8]]) -> [u8; MAC_BYTES] {
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

/// Compares in a time that doesn't depend on where the slices differ.
fn equal(a: &[u8], b: &[u8]) -> bool {
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
