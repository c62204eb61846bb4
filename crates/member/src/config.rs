//! Timing and limits.

use std::time::Duration;

/// Timing and limits of a [`Member`](crate::Member). All members of a mesh use the same values.
#[derive(Clone, Debug)]
pub struct Config {
    /// Time between two probes, and the time within which a probe must be answered.
    pub probe_period: Duration,
    /// Time after which a direct probe is repeated through other members.
    pub direct_timeout: Duration,
    /// Number of members asked to probe on behalf of this one.
    pub indirect_probes: usize,
    /// Shortest suspicion in probe periods; larger groups use the logarithm of their size.
    pub suspicion_periods: u32,
    /// An update is sent this many times the logarithm of the group size.
    pub transmit_factor: u32,
    /// An urgent update is sent this many times the logarithm of the group size after its push. The
    /// pushes alone reach all but a few members, so it needs less than `transmit_factor`.
    pub pushed_factor: u32,
    /// Peers of the own failure domain that get an urgent update at once.
    pub domain_fanout: usize,
    /// Shortest time between two pushes of urgent updates; bounds the traffic of a mass restart.
    pub push_gap: Duration,
    /// Time between two comparisons of the table with a random peer.
    pub sync_period: Duration,
    /// Time until a comparison that differed is repeated. Updates in flight also make tables
    /// differ, so only a second difference leads to an exchange.
    pub sync_recheck: Duration,
    /// Time for which a dead incarnation is remembered.
    pub tombstone_ttl: Duration,
    /// Time after the return of a failure domain during which its members are not suspected.
    pub domain_grace: Duration,
    /// Time after which the records of an unreachable failure domain are dropped.
    pub domain_retention: Duration,
    /// Most records kept.
    pub max_records: usize,
    /// Most instances whose last incarnation and version are remembered.
    pub max_history: usize,
    /// Most updates waiting for transmission.
    pub max_queue: usize,
    /// Most rumours remembered for deduplication.
    pub max_rumours: usize,
}

impl Default for Config {
    fn default() -> Config {
        Config {
            probe_period: Duration::from_secs(1),
            direct_timeout: Duration::from_millis(300),
            indirect_probes: 3,
            suspicion_periods: 4,
            transmit_factor: 3,
            pushed_factor: 1,
            domain_fanout: 4,
            push_gap: Duration::from_millis(100),
            sync_period: Duration::from_secs(10),
            sync_recheck: Duration::from_secs(2),
            tombstone_ttl: Duration::from_secs(600),
            domain_grace: Duration::from_secs(5),
            domain_retention: Duration::from_secs(24 * 3_600),
            max_records: 20_000,
            max_history: 32_768,
            max_queue: 1_024,
            max_rumours: 4_096,
        }
    }
}

impl Config {
    /// Returns how long a member stays suspect in a group of `members` before it counts as down.
    pub fn suspicion(&self, members: usize) -> Duration {
        self.probe_period * self.suspicion_periods.max(log2_ceil(members))
    }

    /// Returns how often an update is sent in a group of `members`.
    pub fn transmissions(&self, members: usize) -> u32 {
        self.transmit_factor * log2_ceil(members + 1).max(1)
    }

    /// Returns how often an update is still sent after its push in a group of `members`.
    pub fn transmissions_after_push(&self, members: usize) -> u32 {
        self.pushed_factor * log2_ceil(members + 1).max(1)
    }
}

fn log2_ceil(n: usize) -> u32 {
    n.max(1).next_power_of_two().trailing_zeros()
}
