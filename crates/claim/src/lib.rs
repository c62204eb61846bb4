//! At-most-once execution of requests that must not be repeated.
//!
//! Two kinds of keys share one interface, [`Claims`]:
//!
//! - A caller-generated key is claimed in a stream of the log. The claim with the lowest offset
//!   holds the key ([`Fold`]); [`Shard`] is the state machine of one stream on one node.
//! - An issued key names the process that runs it. [`Issuer`] keeps its outcome in memory, so
//!   neither the log nor a clock is needed.
//!
//! Wall clocks of the nodes must agree within [`MAX_SKEW`]. A wrong clock can make a key expire
//! early; pauses, lost answers, late appends and restarts can't.

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
    Admitted, IssuedKey, IssuedKeyError, Issuer, MAX_BLOCK, OUTCOME_WINDOW, PREFIX, USED_WINDOW,
};
pub use key::{Key, KeyError, MAX_KEY_BYTES};
pub use record::{
    Answer, Boot, Checkpoint, Claim, ClaimId, Done, FORMAT, MAX_ANSWER_BYTES, Outcome, Record,
    RecordError, Release,
};
pub use shard::{Action, Ask, Cfg, Event, Now, ReqId, Shard};

use std::time::Duration;

/// Largest difference between the wall clocks of two nodes. Part of record format 1: the fold uses
/// it, so it must be the same on all nodes.
pub const MAX_SKEW: Duration = Duration::from_secs(5);
