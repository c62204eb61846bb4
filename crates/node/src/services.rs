//! What this node knows of each service in its scope, for the choice of instances.

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

/// Deciding state of one service. One lock: each call holds it for less than a microsecond.
#[derive(Debug)]
pub(crate) struct ServiceState {
    inner: Mutex<Inner>,
}

#[derive(Debug)]
struct Inner {
    picker: Picker,
    retries: RetryBudget,
    hedge: Hedge,
    addresses: BTreeMap<InstanceId, SocketAddr>,
}

/// An instance chosen for an attempt.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Chosen {
    pub(crate) pick: Pick,
    pub(crate) addr: SocketAddr,
    pub(crate) ticket: Ticket,
}

impl ServiceState {
    fn new(own: &Domain, node: InstanceId, seed: u64) -> ServiceState {
        let cfg = PickerCfg::new(node, own.clone());
        let inner = Inner {
            picker: Picker::new(cfg, seed),
            retries: RetryBudget::default(),
            hedge: Hedge::new(HedgeCfg::default()),
            addresses: BTreeMap::new(),
        };
        ServiceState {
            inner: Mutex::new(inner),
        }
    }

    pub(crate) fn request(&self, now: Time) {
        let mut inner = self.inner.lock();
        inner.retries.record_request(now);
        inner.hedge.record_request(now);
    }

    /// Picks an instance and counts the attempt as begun.
    pub(crate) fn begin(
        &self,
        now: Time,
        pick_request: &PickRequest<'_>,
        route: RouteKey,
    ) -> Option<Chosen> {
        let mut inner = self.inner.lock();
        let pick = inner.picker.pick(now, pick_request)?;
        let addr = *inner.addresses.get(&pick.id)?;
        let ticket = inner.picker.begin(now, pick.id, route);
        Some(Chosen { pick, addr, ticket })
    }

    /// Counts an attempt at an instance that nobody had to choose.
    pub(crate) fn begin_at(
        &self,
        now: Time,
        id: InstanceId,
        addr: SocketAddr,
        route: RouteKey,
    ) -> Chosen {
        let ticket = self.inner.lock().picker.begin(now, id, route);
        let pick = Pick {
            id,
            is_probe: false,
        };
        Chosen { pick, addr, ticket }
    }

    pub(crate) fn end(&self, now: Time, ticket: Ticket, outcome: Outcome) {
        self.inner.lock().picker.end(now, ticket, outcome);
    }

    pub(crate) fn may_retry(
        &self,
        now: Time,
        attempts: &Attempts,
        failure: &Failure,
        route: RouteKey,
    ) -> Result<(), Denial> {
        let mut inner = self.inner.lock();
        let median = inner.picker.median(route);
        inner.retries.try_retry(now, attempts, failure, median)
    }

    pub(crate) fn refund_retry(&self) {
        self.inner.lock().retries.refund();
    }

    /// Returns how long to wait before an attempt is hedged.
    pub(crate) fn hedge_delay(&self, pick: Pick, route: RouteKey) -> Option<Duration> {
        let inner = self.inner.lock();
        let delay = inner.hedge.delay(route)?;
        // A probe that is hedged before it counts as late would show nothing.
        let late = pick
            .is_probe
            .then(|| inner.picker.late_after(pick.id, route));
        Some(late.flatten().map_or(delay, |late| delay.max(late)))
    }

    /// Judges requests in flight while no others arrive.
    pub(crate) fn poll(&self, now: Time) {
        let mut inner = self.inner.lock();
        if inner.picker.next_late_check().is_some_and(|at| at <= now) {
            inner.picker.run_late_checks(now);
        }
    }

    /// Takes a token for a hedge and picks its instance.
    pub(crate) fn begin_hedge(
        &self,
        now: Time,
        pick_request: &PickRequest<'_>,
        route: RouteKey,
    ) -> Option<Chosen> {
        if !self.inner.lock().hedge.try_spend(now) {
            return None;
        }
        let chosen = self.begin(now, pick_request, route);
        if chosen.is_none() {
            self.inner.lock().hedge.refund();
        }
        chosen
    }

    pub(crate) fn observe(&self, route: RouteKey, latency: Duration) {
        self.inner.lock().hedge.record_latency(route, latency);
    }

    pub(crate) fn ejected(&self) -> Vec<InstanceId> {
        self.inner.lock().picker.ejected().collect()
    }

    /// Notes that the response has begun.
    pub(crate) fn answered(&self, now: Time, ticket: Ticket, load: Option<Load>) {
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

/// An instance as membership reports it, with the address for requests.
#[derive(Clone, Debug)]
pub(crate) struct Instance {
    pub(crate) service: ServiceName,
    pub(crate) view: InstanceView,
    pub(crate) addr: SocketAddr,
}

/// The services in scope.
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

    /// Keeps the state of services that stay in scope, adds new ones, drops the others.
    pub(crate) fn set_scope(&self, scope: &BTreeSet<ServiceName>) {
        let old = self.map.load();
        let state = |name: &ServiceName| match old.get(name) {
            Some(s) => s.clone(),
            None => Arc::new(ServiceState::new(&self.domain, self.node, self.seed)),
        };
        let new = scope.iter().map(|n| (n.clone(), state(n))).collect();
        self.map.store(Arc::new(new));
    }

    pub(crate) fn set_instances(&self, now: Time, instances: &[Instance]) {
        for (name, state) in self.map.load().iter() {
            let own = instances.iter().filter(|i| i.service == *name);
            let views: Vec<InstanceView> = own.clone().map(|i| i.view.clone()).collect();
            let addresses = own.map(|i| (i.view.id, i.addr)).collect();
            state.set_instances(now, &views, addresses);
        }
    }
}
