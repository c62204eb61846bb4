//! What the node beside a target admits during a roll-out of its service.

use std::time::Duration;

use wire::Time;

use crate::order::{Order, SoftwareVersion};
use crate::plan::{Admission, Plan, Step};

/// Time after which a limited admission ends if no plan renews it. The decider reaches each node
/// several times within it.
const PLAN_TTL: Duration = Duration::from_secs(2);
/// Longest time that a target waits for news of the orders after its first report. Without news for
/// that long, no order can be learned, and a target without an order is an ordinary one.
const MAX_ORDER_WAIT: Duration = Duration::from_secs(3);

/// Admission of one node, from the orders that it knows and the plans that it has received.
#[derive(Clone, Debug, Default)]
pub struct Gate {
    software: Option<SoftwareVersion>,
    /// When the present incarnation of the target first reported.
    reported_at: Time,
    /// When the known orders were last known to be complete.
    orders_known_at: Option<Time>,
    order: Option<Order>,
    /// Last plan for the present incarnation, and when it was received.
    plan: Option<(Plan, Time)>,
    /// Latest step of the roll-out that is known here.
    reached: Option<Step>,
    /// Requests admitted since `order` became known.
    admitted: u64,
}

impl Gate {
    /// Records a report of the target. An incarnation that is new to this node has to wait for the
    /// orders and for a plan of its own.
    pub fn record_target(&mut self, now: Time, software: &SoftwareVersion, is_new: bool) {
        if is_new || self.software.as_ref() != Some(software) {
            self.reported_at = now;
            self.software = Some(software.clone());
            self.plan = None;
        }
    }

    /// Records that the orders known to this node are those in force at `now`. `order` is that of the
    /// target's service. Returns whether it begins another roll-out; an order that repeats one which
    /// is being carried out does not.
    pub fn record_orders(&mut self, now: Time, order: Option<&Order>) -> bool {
        self.orders_known_at = Some(now);
        let (Some(old), Some(new)) = (&self.order, order) else {
            let has_changed = self.order.is_some() != order.is_some();
            if has_changed {
                self.begin(order);
            }
            return has_changed;
        };
        if old.id == new.id {
            return false;
        }
        if self.outcome().is_none() && old.target_version == new.target_version {
            self.order = Some(new.clone());
            return false;
        }
        self.begin(Some(new));
        true
    }

    fn begin(&mut self, order: Option<&Order>) {
        self.order = order.cloned();
        self.plan = None;
        self.reached = None;
        self.admitted = 0;
    }

    /// Applies a plan. One of another order is ignored, as is one of an earlier step: a decider that was
    /// paused gives such plans until it has read the log.
    pub fn apply(&mut self, now: Time, plan: Plan) {
        let is_own = self.order.as_ref().is_some_and(|o| o.id == plan.order);
        let is_earlier = self.reached.is_some_and(|reached| match reached {
            Step::Succeeded | Step::RolledBack => plan.step != reached,
            Step::Canary | Step::Parallel | Step::Switch => plan.step < reached,
        });
        if !is_own || is_earlier {
            return;
        }
        self.plan = Some((plan, now));
        self.reached = Some(plan.step);
    }

    /// Returns the final step of the roll-out, if it is known here.
    fn outcome(&self) -> Option<Step> {
        self.reached.filter(|step| step.is_final())
    }

    /// Counts an admitted request.
    pub fn count_admitted(&mut self) {
        self.admitted += 1;
    }

    /// Returns the number of requests admitted since the order became known.
    pub fn admitted(&self) -> u64 {
        self.admitted
    }

    /// Returns the order of the target's service if its outcome is not known here.
    pub fn running_order(&self) -> Option<&Order> {
        self.order.as_ref().filter(|_| self.outcome().is_none())
    }

    /// Returns the software version of the target.
    pub fn software(&self) -> Option<&SoftwareVersion> {
        self.software.as_ref()
    }

    /// Returns the latest step that a plan named.
    pub fn step(&self) -> Option<Step> {
        self.reached
    }

    /// Returns what the node may admit at `now`. A limited admission may be used up, see
    /// [`Gate::may_admit`].
    pub fn admission(&self, now: Time) -> Admission {
        let Some(order) = &self.order else {
            return self.admission_without_order(now);
        };
        let is_new = self.software.as_ref() == Some(&order.target_version);
        match (self.plan, self.outcome()) {
            (Some((plan, at)), _) => match plan.admission {
                Admission::Limited { .. } if now.since(at) > PLAN_TTL => Admission::Closed,
                admission => admission,
            },
            // A later incarnation, after the end of the roll-out.
            (None, Some(Step::RolledBack)) if is_new => Admission::Closed,
            (None, Some(_)) => Admission::Open,
            (None, None) if is_new => Admission::Closed,
            (None, None) => Admission::Open,
        }
    }

    /// Returns whether the node may admit a request at `now`.
    pub fn may_admit(&self, now: Time) -> bool {
        match self.admission(now) {
            Admission::Open => true,
            Admission::Limited { until, .. } => self.admitted < until,
            Admission::Closed => false,
        }
    }

    fn admission_without_order(&self, now: Time) -> Admission {
        let is_known = self
            .orders_known_at
            .is_some_and(|at| at >= self.reported_at);
        if is_known || now.since(self.reported_at) > MAX_ORDER_WAIT {
            Admission::Open
        } else {
            Admission::Closed
        }
    }
}
