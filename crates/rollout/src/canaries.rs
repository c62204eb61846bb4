//! Selection of the canaries: the instances of the new version that get its requests for a while.
//!
//! A version may be bad only under load, and its share of the requests is small. So few instances
//! get all of that share at a time, as many as are then about as busy as the old ones.

use std::time::Duration;

/// Bounds of the utilisation of canaries. Above the higher one, waits for a slot would be measured.
const MIN_UTILISATION: f64 = 0.4;
const MAX_UTILISATION: f64 = 0.85;
/// Factor of a canary's utilisation on that of the old instances, so that it is no less busy at a
/// crest of the demand than they are.
const UTILISATION_FACTOR: f64 = 1.25;
/// Service time assumed before any was measured.
const DEFAULT_SERVICE_TIME: Duration = Duration::from_millis(100);

/// Load of the service, from the reports of its instances.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ServiceLoad {
    /// Requests per second at all instances.
    pub(crate) rate: f64,
    /// Slots of the old instances.
    pub(crate) old_slots: u32,
    /// Mean response time of the old instances.
    pub(crate) service_time: Option<Duration>,
}

/// How many instances get requests at a time, and how many slots each of them uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct CanarySet {
    pub(crate) count: usize,
    pub(crate) slots: u32,
}

impl ServiceLoad {
    /// Returns the canary set for `share` of the requests on instances with `slots` slots each.
    pub(crate) fn canary_set(&self, share: f64, slots: u32) -> CanarySet {
        let service_time = self.service_time.unwrap_or(DEFAULT_SERVICE_TIME);
        let busy_slots = self.rate * service_time.as_secs_f64();
        let utilisation = busy_slots / f64::from(self.old_slots.max(1)) * UTILISATION_FACTOR;
        let utilisation = utilisation.clamp(MIN_UTILISATION, MAX_UTILISATION);
        let slots_each = f64::from(slots.max(1)) * utilisation;
        let count = (share * busy_slots / slots_each).round().max(1.0);
        CanarySet {
            count: count as usize,
            slots: slots_each.ceil().max(1.0) as u32,
        }
    }
}
