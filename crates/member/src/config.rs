//! Timing and limits.

use std::time::Duration;

/// Timing and limits of a [`Member`](crate::Member). All members of a mesh use the same values.
#[derive(Clone, Debug)]
pub struct Config {
    /// Time between two probe rounds, and the timeout of a probe.
    pub probe_period: Duration,
    /// Time without an ack after which a direct probe is repeated through other members.
    pub direct_timeout: Duration,
    /// Number of members that are sent a [`Body::PingReq`](crate::Body::PingReq) when a direct
    /// probe gets no ack in time.
    pub indirect_probes: usize,
    /// Shortest suspicion timeout in probe periods. In a large group the timeout is longer: the
    /// base-2 logarithm of the group size, rounded up, in probe periods.
    pub min_suspicion_periods: u32,
    /// Transmissions of an update, as a multiple of the base-2 logarithm of the group size.
    pub transmit_factor: u32,
    /// Transmissions of an urgent update after its push, as a multiple of the base-2 logarithm of
    /// the group size. Lower than `transmit_factor` because pushes alone reach all but a few
    /// members.
    pub post_push_transmit_factor: u32,
    /// Number of peers in the own failure domain that an urgent update is pushed to.
    pub domain_fanout: usize,
    /// Minimum interval between two pushes of urgent updates. Bounds the traffic of a mass restart.
    pub push_interval: Duration,
    /// Interval of table comparisons (anti-entropy) with a random peer.
    pub sync_period: Duration,
    /// Delay before a comparison that found a mismatch is repeated with the same peer. Tables are
    /// exchanged only after a second mismatch, because updates in flight also make tables differ.
    pub sync_recheck_delay: Duration,
    /// Retention time of tombstones.
    pub tombstone_ttl: Duration,
    /// Grace period after a failure domain recovers, during which its members are not suspected.
    pub domain_grace: Duration,
    /// Time after which the records of a failure domain that stays unreachable are dropped.
    pub domain_retention: Duration,
    /// Maximum number of stored records, contacts included.
    pub max_records: usize,
    /// Maximum number of instances whose last incarnation and version are retained.
    pub max_history: usize,
    /// Maximum number of updates queued for transmission.
    pub max_queue: usize,
    /// Maximum number of rumours retained for deduplication.
    pub max_rumours: usize,
}

impl Default for Config {
    fn default() -> Config {
        Config {
            probe_period: Duration::from_secs(1),
            direct_timeout: Duration::from_millis(300),
            indirect_probes: 3,
            min_suspicion_periods: 4,
            transmit_factor: 3,
            post_push_transmit_factor: 1,
            domain_fanout: 4,
            push_interval: Duration::from_millis(100),
            sync_period: Duration::from_secs(10),
            sync_recheck_delay: Duration::from_secs(2),
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
    /// Returns how long a member stays suspect before it is declared dead, in a group of
    /// `member_count` members including the own one.
    pub fn suspicion_timeout(&self, member_count: usize) -> Duration {
        self.probe_period * self.min_suspicion_periods.max(log2_ceil(member_count))
    }

    /// Returns how many times a member with `peer_count` known peers sends an update.
    pub fn transmit_limit(&self, peer_count: usize) -> u32 {
        self.transmit_factor * log2_ceil(peer_count + 1).max(1)
    }

    /// Returns how many times a member with `peer_count` known peers sends an urgent update after
    /// its push.
    pub fn transmit_limit_after_push(&self, peer_count: usize) -> u32 {
        self.post_push_transmit_factor * log2_ceil(peer_count + 1).max(1)
    }
}

fn log2_ceil(n: usize) -> u32 {
    n.max(1).next_power_of_two().trailing_zeros()
}
