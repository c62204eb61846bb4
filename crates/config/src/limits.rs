//! Limits of configuration text format 1 and of the publication stream.
//!
//! The limits are part of the format: nodes of builds with different limits would disagree on which
//! publications are valid, so changing a limit requires a new format number.

use std::ops::RangeInclusive;

/// Format number of the configuration texts that this build compiles.
pub const TEXT_FORMAT: i64 = 1;
/// Maximum size of a configuration text in bytes.
pub const MAX_TEXT_BYTES: usize = 1 << 20;
/// Maximum number of services in a configuration text.
pub const MAX_SERVICES: usize = 4_096;
/// Maximum number of routes in a configuration text.
pub const MAX_ROUTES: usize = 16_384;
/// Maximum number of services in a dependency chain. The budgets for attempts and added latency
/// hold for call chains up to this depth.
pub const MAX_CHAIN_SERVICES: usize = 9;
/// Maximum number of direct dependencies of a service.
pub(crate) const MAX_DEPENDENCIES: usize = 64;
/// Maximum length of a service name in bytes.
pub(crate) const MAX_NAME_BYTES: usize = 64;
/// Maximum length of a route prefix in bytes.
pub(crate) const MAX_PREFIX_BYTES: usize = 256;

/// Number of recent publication ids that a [`Fold`](crate::Fold) retains for deduplication. An
/// accepted publication can't be applied twice even after its id has been evicted: its base version
/// is older than the current one by then, so the duplicate is rejected.
pub const MAX_RECENT_IDS: usize = 1_024;
/// Maximum number of records that a [`Fold`](crate::Fold) buffers while a checkpoint or an earlier
/// record is missing.
pub const MAX_BUFFERED_RECORDS: usize = 16_384;
/// Maximum size of the buffered records in bytes: a quarter of the control plane's memory budget of
/// 32 MB.
pub const MAX_BUFFERED_BYTES: usize = 8 << 20;

/// Valid number of concurrent requests per target.
pub(crate) const SLOTS_RANGE: RangeInclusive<i64> = 1..=10_000;
/// Valid number of connections per target.
pub(crate) const CONNECTIONS_RANGE: RangeInclusive<i64> = 1..=100_000;
/// Valid number of queued requests per target; 0 disables the queue.
pub(crate) const QUEUE_RANGE: RangeInclusive<i64> = 0..=100_000;
/// Valid route timeout in milliseconds, up to an hour.
pub(crate) const TIMEOUT_MS_RANGE: RangeInclusive<i64> = 1..=3_600_000;
/// Valid claim window (time for which claims of caller-generated keys are retained) in seconds,
/// from a minute to 30 days.
pub(crate) const CLAIM_WINDOW_S_RANGE: RangeInclusive<i64> = 60..=2_592_000;

/// Number of queued requests per target for a service without `queue`.
pub(crate) const DEFAULT_QUEUE_LEN: u32 = 64;
/// Timeout in milliseconds of a route without `timeout_ms`.
pub(crate) const DEFAULT_TIMEOUT_MS: u32 = 2_000;
/// Claim window in seconds of a text without `claim_window_s`: a day.
pub(crate) const DEFAULT_CLAIM_WINDOW_S: u32 = 86_400;
