//! Processor time and memory of this process, from `/proc`.

use std::time::Duration;

/// Clock ticks per second in `/proc/self/stat`; fixed on Linux.
const TICKS_PER_S: u64 = 100;

/// Returns the user and system time of this process so far; zero if `/proc` can't be read.
pub(crate) fn cpu_time() -> Duration {
    let stat = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    // The command name in parentheses may contain spaces, so fields are counted after it.
    let fields = stat.rsplit(')').next().unwrap_or_default();
    let ticks: u64 = fields
        .split_whitespace()
        .skip(11)
        .take(2)
        .filter_map(|f| f.parse::<u64>().ok())
        .sum();
    Duration::from_millis(ticks * 1_000 / TICKS_PER_S)
}

/// Returns the resident memory of this process in bytes; zero if `/proc` can't be read.
pub(crate) fn resident_bytes() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    let kb = line.and_then(|l| l.split_whitespace().next()?.parse::<u64>().ok());
    kb.unwrap_or(0) * 1_024
}
