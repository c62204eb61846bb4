//! Choice of an instance for a request, retries, hedging, ejection and quarantine.
//!
//! An attempt is one sending of a request to one instance. An ejected instance gets only probes
//! while another instance remains. A probe is a request whose response also shows whether an
//! ejected instance has recovered, or whether an idle suspect is slow.
//!
//! The crate does no I/O: the current time is an argument, and random choices come from a seeded
//! generator, so results depend only on the inputs and the seed.

mod attempt_age;
mod budget;
mod hedge;
mod outlier;
mod overdue_reply;
mod peer;
mod picker;
mod placement;
mod quantiles;
mod quarantine;
mod retry;
mod route_average;
mod route_latency;
mod shared_budget;
mod spillover;
mod split;
mod subset;
mod transit_delay;
mod view;

pub use attempt_age::AttemptAges;
pub use budget::{Budget, BudgetCfg};
pub use hedge::{Hedge, HedgeCfg};
pub use outlier::{OutlierCfg, max_ejected};
pub use overdue_reply::OverdueReply;
pub use picker::{Picker, PickerCfg, PickerStats};
pub use placement::{
    Candidate, RequestProfile, TransitTime, choose_instance, cost, has_free_slot,
    max_wait_before_reroute, mean_load, relative_service, time_to_free_slot,
};
pub use quantiles::Quantiles;
pub use quarantine::{Quarantine, QuarantineCfg, Strike};
pub use retry::{Attempts, Denial, Failure, MAX_ATTEMPTS, RetryBudget, costs_token};
pub use route_average::RouteAverages;
pub use shared_budget::{RepeatReason, SharedBudgetCfg, SharedBudgets};
pub use split::Splitter;
pub use transit_delay::TransitDelay;
pub use view::{InstanceView, Outcome, OutcomeKind, Pick, PickRequest, RouteKey, State, Ticket};
