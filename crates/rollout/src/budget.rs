//! The number of requests that a new version may get while it is not known to be good.

/// Fraction of the operators' share that is used. The rest covers requests that nodes have admitted
/// and not yet reported, and those that an earlier decider has granted.
const SHARE_FRACTION: f64 = 0.8;
/// Fraction of the operators' slack that is used; as above, for two deciders at once.
const SLACK_FRACTION: f64 = 0.4;

/// Bounds of the operators on a new version that may be bad.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ExposureCfg {
    /// Share of the service's requests that it may get.
    pub share: f64,
    /// Requests that it may get in addition.
    pub slack: f64,
}

/// Counts of one roll-out over all instances.
#[derive(Clone, Copy, Debug)]
pub struct Exposure {
    cfg: ExposureCfg,
}

impl Exposure {
    /// Creates the budget.
    pub fn new(cfg: ExposureCfg) -> Exposure {
        Exposure { cfg }
    }

    /// Returns how many requests the new version may have got when the service has got `total`.
    pub fn allowed(&self, total: u64) -> u64 {
        let share = self.cfg.share * SHARE_FRACTION * total as f64;
        (share + self.cfg.slack * SLACK_FRACTION).max(0.0) as u64
    }

    /// Returns the share of the service's requests at which the new version may get more.
    pub fn rate_share(&self) -> f64 {
        self.cfg.share * SHARE_FRACTION
    }
}
