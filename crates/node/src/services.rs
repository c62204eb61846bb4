//! Load-balancing, retry and hedging state of each service in this node's scope.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use parking_lot::Mutex;
use route::{
    Attempts, Denial, Failure, Hedge, HedgeCfg, InstanceView, Outcome, Pick, PickRequest, Picker,
    PickerCfg, RetryBudget, RouteKey, Ticket,
};
use wire::{Domain, InstanceId, Load, ServiceName, Time};

/// State of one service from which instances, retries and hedges are decided. A single lock is
/// enough, because each call holds it for less than a microsecond.
#[derive(Debug)]
pub(crate) struct ServiceState {
    inner: Mutex<Inner>,
}

#[derive(Debug)]
struct Inner {
    picker: Picker,
    retry_budget: RetryBudget,
    hedge: Hedge,
    addresses: BTreeMap<InstanceId, SocketAddr>,
}

/// An instance chosen for an attempt.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ChosenInstance {
    pub(crate) pick: Pick,
    pub(crate) addr: SocketAddr,
    pub(crate) ticket: Ticket,
}

impl ServiceState {
    fn new(local_domain: &Domain, node: InstanceId, seed: u64) -> ServiceState {
        let cfg = PickerCfg::new(node, local_domain.clone());
        let inner = Inner {
            picker: Picker::new(cfg, seed),
            retry_budget: RetryBudget::default(),
            hedge: Hedge::new(HedgeCfg::default()),
            addresses: BTreeMap::new(),
        };
        ServiceState {
            inner: Mutex::new(inner),
        }
    }

    /// Counts a request for the retry and hedge budgets.
    pub(crate) fn record_request(&self, now: Time) {
        let mut inner = self.inner.lock();
        inner.retry_budget.record_request(now);
        inner.hedge.record_request(now);
    }

    /// Picks an instance and records the start of an attempt; `None` if no instance is eligible.
    pub(crate) fn begin_attempt(
        &self,
        now: Time,
        pick_request: &PickRequest<'_>,
        route: RouteKey,
    ) -> Option<ChosenInstance> {
        let mut inner = self.inner.lock();
        let pick = inner.picker.pick(now, pick_request)?;
        let addr = *inner.addresses.get(&pick.id)?;
        let ticket = inner.picker.begin(now, pick.id, route);
        Some(ChosenInstance { pick, addr, ticket })
    }

    /// Records the start of an attempt at a given instance.
    pub(crate) fn begin_attempt_at(
        &self,
        now: Time,
        id: InstanceId,
        addr: SocketAddr,
        route: RouteKey,
    ) -> ChosenInstance {
        let ticket = self.inner.lock().picker.begin(now, id, route);
        let pick = Pick {
            id,
            is_probe: false,
        };
        ChosenInstance { pick, addr, ticket }
    }

    pub(crate) fn end_attempt(&self, now: Time, ticket: Ticket, outcome: Outcome) {
        self.inner.lock().picker.end(now, ticket, outcome);
    }

    /// Allows a retry after `failure`, or says why there is none. Takes a token of the retry budget
    /// if [`route::costs_token`] holds for the failure.
    pub(crate) fn may_retry(
        &self,
        now: Time,
        attempts: &Attempts,
        failure: &Failure,
        route: RouteKey,
    ) -> Result<(), Denial> {
        let mut inner = self.inner.lock();
        let median = inner.picker.median(route);
        inner.retry_budget.try_retry(now, attempts, failure, median)
    }

    /// Puts back the token of a retry that was not made.
    pub(crate) fn refund_retry(&self) {
        self.inner.lock().retry_budget.refund();
    }

    /// Returns how long to wait before an attempt is hedged; `None` if the route has no delay yet.
    pub(crate) fn hedge_delay(&self, pick: Pick, route: RouteKey) -> Option<Duration> {
        let inner = self.inner.lock();
        let delay = inner.hedge.delay(route)?;
        // A probe is an attempt that tests an ejected or an idle suspect instance. A hedge before
        // the probe is overdue could overtake it and end it without a result.
        let overdue_after = pick
            .is_probe
            .then(|| inner.picker.late_after(pick.id, route));
        Some(
            overdue_after
                .flatten()
                .map_or(delay, |after| delay.max(after)),
        )
    }

    /// Checks whether requests in flight are overdue; needed while no other requests arrive.
    pub(crate) fn check_overdue(&self, now: Time) {
        let mut inner = self.inner.lock();
        if inner.picker.next_late_check().is_some_and(|at| at <= now) {
            inner.picker.run_late_checks(now);
        }
    }

    /// Takes a token for a hedge and records the start of the hedge at another instance. Without
    /// such an instance, puts the token back and returns `None`, as without a token.
    pub(crate) fn begin_hedge(
        &self,
        now: Time,
        pick_request: &PickRequest<'_>,
        route: RouteKey,
    ) -> Option<ChosenInstance> {
        if !self.inner.lock().hedge.try_spend(now) {
            return None;
        }
        let chosen = self.begin_attempt(now, pick_request, route);
        if chosen.is_none() {
            self.inner.lock().hedge.refund();
        }
        chosen
    }

    /// Records a latency from which the hedge delay is derived.
    pub(crate) fn record_latency(&self, route: RouteKey, latency: Duration) {
        self.inner.lock().hedge.record_latency(route, latency);
    }

    /// Returns the instances ejected by outlier detection.
    pub(crate) fn ejected(&self) -> Vec<InstanceId> {
        self.inner.lock().picker.ejected().collect()
    }

    /// Records that the head of the response has arrived.
    pub(crate) fn record_response_start(&self, now: Time, ticket: Ticket, load: Option<Load>) {
        self.inner
            .lock()
            .picker
            .record_response_start(now, ticket, load);
    }

    fn set_instances(
        &self,
        now: Time,
        views: &[InstanceView],
        addresses: BTreeMap<InstanceId, SocketAddr>,
    ) {
        let mut inner = self.inner.lock();
        inner.picker.set_instances(now, views);
        inner.addresses = addresses;
    }
}

/// An instance as reported by membership, with its node's address for requests.
#[derive(Clone, Debug)]
pub(crate) struct Instance {
    pub(crate) service: ServiceName,
    pub(crate) view: InstanceView,
    pub(crate) addr: SocketAddr,
}

/// The services in this node's scope.
#[derive(Debug)]
pub(crate) struct Services {
    domain: Domain,
    node: InstanceId,
    seed: u64,
    map: ArcSwap<BTreeMap<ServiceName, Arc<ServiceState>>>,
}

impl Services {
    pub(crate) fn new(domain: Domain, node: InstanceId, seed: u64) -> Services {
        Services {
            domain,
            node,
            seed,
            map: ArcSwap::default(),
        }
    }

    pub(crate) fn get(&self, name: &ServiceName) -> Option<Arc<ServiceState>> {
        self.map.load().get(name).cloned()
    }

    pub(crate) fn all(&self) -> Arc<BTreeMap<ServiceName, Arc<ServiceState>>> {
        self.map.load_full()
    }

    /// Sets the services in scope. Those that stay keep their state; those that leave lose it.
    pub(crate) fn set_scope(&self, scope: &BTreeSet<ServiceName>) {
        let old = self.map.load();
        let state = |name: &ServiceName| match old.get(name) {
            Some(s) => s.clone(),
            None => Arc::new(ServiceState::new(&self.domain, self.node, self.seed)),
        };
        let new = scope.iter().map(|n| (n.clone(), state(n))).collect();
        self.map.store(Arc::new(new));
    }

    /// Sets the instances of each service in scope from the current membership.
    pub(crate) fn set_instances(&self, now: Time, instances: &[Instance]) {
        for (name, state) in self.map.load().iter() {
            let of_service = instances.iter().filter(|i| i.service == *name);
            let views: Vec<InstanceView> = of_service.clone().map(|i| i.view.clone()).collect();
            let addresses = of_service.map(|i| (i.view.id, i.addr)).collect();
            state.set_instances(now, &views, addresses);
        }
    }
}
