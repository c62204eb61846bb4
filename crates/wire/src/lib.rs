//! Identifiers, result codes and wire types shared by the processes of a mesh.

mod code;
mod header;
mod id;
mod load;
mod seal;
mod time;

pub use code::{Code, Executed, Refusal};
pub use header::{
    ATTEMPT, CALLER, CODE, DEADLINE_UNIX_MS, EXECUTED, HOP_MAC, LOAD, STRIKE, TIMEOUT_MS, VERSION,
};
pub use id::{Digest, Domain, Fingerprint, Incarnation, InstanceId, Offset, ServiceName, Version};
pub use load::Load;
pub use seal::{KeyRing, MAX_DATAGRAM_BYTES, MeshKey, SealError, WIRE_VERSION};
pub use time::{Time, UnixMillis};
