//! Orders of the operator.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use snafu::{Snafu, ensure};
use wire::ServiceName;

/// Longest time that an order may give. A longer one is a mistake in the unit.
const MAX_DURATION: Duration = Duration::from_secs(7 * 24 * 60 * 60);
/// Longest name of a software version in bytes.
const MAX_VERSION_BYTES: usize = 256;

/// Version of the software of a target, as the target reports it.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SoftwareVersion(pub Arc<str>);

impl From<&str> for SoftwareVersion {
    fn from(s: &str) -> SoftwareVersion {
        SoftwareVersion(s.into())
    }
}

impl fmt::Display for SoftwareVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// Identifies an order: the offset of its record in the operator's stream. Later orders have higher
/// ones.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct OrderId(pub u64);

/// An order as decoded from the operator's record, not yet validated.
#[derive(Clone, Debug, PartialEq)]
pub struct RawOrder {
    /// Name of the service.
    pub service: String,
    /// Version to which the requests of the service are to be moved.
    pub target_version: String,
    /// Seconds from the order until it must be carried out or rolled back.
    pub duration_s: f64,
}

/// A validated order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Identifier of the order.
    pub id: OrderId,
    /// Service whose requests are moved.
    pub service: ServiceName,
    /// Version to which they are moved.
    pub target_version: SoftwareVersion,
    /// Time from the order until it must be carried out or rolled back.
    pub duration: Duration,
}

/// Reason why an order was rejected.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum OrderError {
    /// A name is empty or too long.
    #[snafu(display("{field} must have 1 to {MAX_VERSION_BYTES} bytes"))]
    Name {
        /// Field of the order.
        field: &'static str,
    },
    /// The duration is out of range.
    #[snafu(display("the duration must be above 0 and at most 7 days"))]
    Duration,
}

impl TryFrom<(OrderId, RawOrder)> for Order {
    type Error = OrderError;

    fn try_from((id, raw): (OrderId, RawOrder)) -> Result<Order, OrderError> {
        let is_name = |s: &str| (1..=MAX_VERSION_BYTES).contains(&s.len());
        ensure!(is_name(&raw.service), NameSnafu { field: "service" });
        let field = "target_version";
        ensure!(is_name(&raw.target_version), NameSnafu { field });
        let duration = Duration::try_from_secs_f64(raw.duration_s)
            .ok()
            .filter(|d| !d.is_zero() && *d <= MAX_DURATION);
        Ok(Order {
            id,
            service: raw.service.as_str().into(),
            target_version: raw.target_version.as_str().into(),
            duration: duration.ok_or(OrderError::Duration)?,
        })
    }
}
