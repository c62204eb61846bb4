//! Limits of text format 1. They are part of the format: a change would make nodes of different
//! builds disagree on which publications are valid, so it needs a new format number.

use std::ops::RangeInclusive;

/// The text format that this build compiles.
pub const TEXT_FORMAT: i64 = 1;
/// Largest text in bytes.
pub const MAX_TEXT_BYTES: usize = 1 << 20;
/// Most services in a text.
pub const MAX_SERVICES: usize = 4_096;
/// Most routes in a text.
pub const MAX_ROUTES: usize = 16_384;
/// Most services in a chain of dependencies. Budgets for attempts and added latency are stated for
/// call chains up to this deep.
pub const MAX_CHAIN: usize = 9;
/// Most direct dependencies of a service.
pub(crate) const MAX_DEPENDS: usize = 64;
/// Longest name of a mesh or a service in bytes.
pub(crate) const MAX_NAME_BYTES: usize = 64;
/// Longest route prefix in bytes.
pub(crate) const MAX_PREFIX_BYTES: usize = 256;

/// Publication ids that the fold remembers. An accepted publication can't count twice even after
/// its id is forgotten, because its base is stale by then.
pub const MAX_RECENT_IDS: usize = 1_024;
/// Most records that a fold holds back for a checkpoint or a missing offset.
pub const MAX_WAITING_RECORDS: usize = 16_384;
/// Most bytes of records held back; a quarter of the control plane's memory budget of 32 MB.
pub const MAX_WAITING_BYTES: usize = 8 << 20;

/// Requests at once per target.
pub(crate) const SLOTS: RangeInclusive<i64> = 1..=10_000;
/// Connections per target.
pub(crate) const CONNECTIONS: RangeInclusive<i64> = 1..=100_000;
/// Waiting requests per target; 0 turns the queue off.
pub(crate) const QUEUE: RangeInclusive<i64> = 0..=100_000;
/// Route time-out in milliseconds, up to an hour.
pub(crate) const TIMEOUT_MS: RangeInclusive<i64> = 1..=3_600_000;
/// Claim window in seconds, from a minute to 30 days.
pub(crate) const CLAIM_WINDOW_S: RangeInclusive<i64> = 60..=2_592_000;

pub(crate) const DEFAULT_QUEUE: u32 = 64;
pub(crate) const DEFAULT_TIMEOUT_MS: u32 = 2_000;
pub(crate) const DEFAULT_CLAIM_WINDOW_S: u32 = 86_400;
