//! Choice of an instance for a request, retries, hedging, ejection and quarantine.
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
mod response_size;
mod retry;
mod route_latency;
mod spillover;
mod split;
mod subset;
mod transit_delay;
mod view;

pub use attempt_age::AttemptAges;
pub use budget::{Budget, BudgetCfg};
pub use hedge::{Hedge, HedgeCfg};
pub use outlier::{OutlierCfg, max_ejected};
pub use overdue_reply::Silence;
pub use picker::{Picker, PickerCfg, PickerStats};
pub use placement::{
    Candidate, Stake, WayTime, cost, has_room, place, room_elsewhere, time_to_room, usual_load,
};
pub use quantiles::Quantiles;
pub use quarantine::{Quarantine, QuarantineCfg, Strike};
pub use response_size::AnswerSizes;
pub use retry::{Attempts, Denial, Failure, MAX_ATTEMPTS, RetryBudget, costs_token};
pub use split::Splitter;
pub use transit_delay::WayAge;
pub use view::{Ask, Kind, Outcome, Pick, RouteKey, State, Ticket, View};
