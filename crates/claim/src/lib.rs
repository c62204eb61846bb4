//! At-most-once execution of requests, identified by an idempotency key.
//!
//! [`Claims`] is the common interface to two kinds of keys:
//!
//! - A caller-generated key is claimed by appending a record to a stream of a shared log. The claim
//!   with the lowest offset holds the key. [`Fold`] is the state replayed from one stream, and
//!   [`Shard`] is the state machine of one stream on one node.
//! - An issued key names the process that runs its request. [`Issuer`] keeps the outcome in the
//!   memory of that process, so issued keys need neither the log nor a clock.
//!
//! The wall clocks of the nodes must agree within [`MAX_SKEW`]. A clock that is off by more can
//! make a key expire early. Process pauses, lost append replies, delayed appends and restarts can't
//! do so.

mod claims;
mod fold;
mod issued;
mod key;
mod outbox;
mod record;
mod shard;

pub use claims::{ClaimEvent, Claims, ClaimsAction};
pub use fold::{Applied, Entry, Fold};
pub use issued::{
    Admission, IssuedKey, IssuedKeyError, Issuer, MAX_KEYS_PER_BLOCK, OUTCOME_WINDOW_KEYS, PREFIX,
    USED_WINDOW_KEYS,
};
pub use key::{Key, KeyError, MAX_KEY_BYTES};
pub use record::{
    Answer, BootId, Checkpoint, Claim, ClaimId, Done, FORMAT, MAX_ANSWER_BYTES, Outcome, Record,
    RecordError, Release,
};
pub use shard::{Action, Cfg, ClaimRequest, Event, Now, ReqId, Shard};

use std::time::Duration;

/// Largest permitted difference between the wall clocks of two nodes. All nodes must use the same
/// value, because the replay of a stream computes with it; changing the value needs a new record
/// format.
pub const MAX_SKEW: Duration = Duration::from_secs(5);
