//! Spread of accepted configuration from log readers to every node.
//!
//! [`Spread`] decides when a node reads the log, whom it tells about a version, from whom it fetches
//! a text, which text it applies and whether it is ready. The text is opaque here: the node compiles
//! it and reports the result.

mod backoff;
mod confirm;
mod event;
mod join;
mod peers;
mod sources;
mod spread;
mod status;

pub use confirm::{PATIENCE, SETTLE};
pub use event::{
    Action, ConfigText, Contact, Event, FetchError, JoinAnswer, Origin, Peer, Settings,
};
pub use join::{MAX_ASKED, WAIT as JOIN_WAIT};
pub use peers::{READERS_PER_DOMAIN, reader_rank};
pub use spread::{FETCH_TIMEOUT, Spread, TICK};
pub use status::{LogState, Status};
