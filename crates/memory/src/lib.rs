//! The memory that a node takes for others: for its callers, its target and its peers.
//!
//! All of it counts in one [`Account`], before it is allocated and until it is freed. Bodies are held
//! in segments, so that a response that is being written frees its memory bit by bit.
//!
//! - `account`: [`Account`], and [`Charge`], a part of it.
//! - `body`: [`Body`], a complete body in segments; [`BodyWriter`], which builds one.

mod account;
mod body;
mod segment;

pub use account::{Account, Charge, OutOfMemory, SMALL_BYTES, Tally, Use};
pub use body::{Body, BodyWriter};
