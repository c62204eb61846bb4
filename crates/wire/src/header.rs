//! Names of the HTTP headers that briarlug reads and writes.

/// Remaining time for the request in milliseconds, set by callers. Between nodes, `briarlug-hop`
/// carries it.
pub const TIMEOUT_MS: &str = "briarlug-timeout-ms";
/// Absolute deadline of the request in milliseconds since the Unix epoch, sent to the target.
pub const DEADLINE_UNIX_MS: &str = "briarlug-deadline-unix-ms";
/// Identity of the caller, by which fair shares of a target are counted.
pub const CALLER: &str = "briarlug-caller";
/// Number of the result code, set on a refusal.
pub const CODE: &str = "briarlug-code";
/// Whether a refused request has run: `no`, `unknown` or `yes`, set on a refusal.
pub const EXECUTED: &str = "briarlug-executed";
/// Load of the target when its response began, as `in_flight/queued/slots`.
pub const LOAD: &str = "briarlug-load";
/// Keyed hash that authenticates a request between nodes.
pub const HOP_MAC: &str = "briarlug-hop-mac";
/// Configuration version that the entry node pinned for the request. Unused: `briarlug-hop` carries
/// the version between nodes.
pub const VERSION: &str = "briarlug-version";
/// Number of the attempt at the request, from 1. Unused: `briarlug-hop` carries the number between
/// nodes.
pub const ATTEMPT: &str = "briarlug-attempt";
/// Marks a refusal after which the request counts one strike towards quarantine, because the target
/// crashed while it ran the request. The value is the target's incarnation.
pub const STRIKE: &str = "briarlug-strike";
