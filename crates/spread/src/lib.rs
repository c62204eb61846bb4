//! Distribution of accepted configuration from the log readers to every node.
//!
//! A few ready nodes of each failure domain, the readers, read the configuration log. They announce
//! new versions to other nodes. A node that learns of a newer version fetches its text from a peer,
//! applies it and announces the version in turn.
//!
//! A node follows the log while it reads the log and has reached its end. The floor of an instance
//! is the newest version that was active there before its restart, according to its peers.
//!
//! [`Spread`] is the state machine of one node, without I/O or a clock. It decides when the node
//! reads the log, to which peers it announces a version, from which peer it fetches a configuration
//! text, which text it applies and whether the node is ready. The text is opaque here: the node
//! compiles it and reports the result.

mod backoff;
mod confirm;
mod event;
mod join;
mod peers;
mod sources;
mod spread;
mod status;

pub use confirm::{LOG_READ_FALLBACK, MEMBERSHIP_SETTLE_TIME};
pub use event::{
    Action, ConfigText, Contact, Event, FetchError, JoinAnswer, Origin, Peer, Settings,
};
pub use join::{JOIN_TIMEOUT, MAX_CONTACTS_PER_ROUND};
pub use peers::{READERS_PER_DOMAIN, reader_rank};
pub use spread::{FETCH_TIMEOUT, Spread, TICK_INTERVAL};
pub use status::{LogState, Status};
