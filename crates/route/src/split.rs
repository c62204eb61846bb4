//! Weighted distribution of a route's requests over services.

use std::collections::HashMap;
use std::sync::Arc;

use wire::ServiceName;

/// Bound of the phase shift of a new route state, in requests. It bounds the time to create one.
const MAX_PHASE_REQUESTS: u64 = 1_000;

/// Smooth weighted round robin with one state per route.
///
/// In any sequence of requests, the number for each service is within one of what its weight asks
/// for, which a random choice doesn't achieve in small samples. A request for which its service has
/// no room isn't moved to another service.
#[derive(Clone, Debug, Default)]
pub struct Splitter {
    routes: HashMap<Arc<str>, RouteState>,
}

#[derive(Clone, Debug)]
struct RouteState {
    /// Services with their weights.
    split: Vec<(ServiceName, u32)>,
    /// Credit per service, in the order of `split`; the service with the most is next.
    credit: Vec<i64>,
}

impl Splitter {
    /// Returns the service of the next request of `route`.
    ///
    /// `phase` shifts the start of a new state, so that nodes don't all begin with the same
    /// service. Returns `None` if `split` is empty.
    pub fn choose(
        &mut self,
        route: &Arc<str>,
        split: &[(ServiceName, u32)],
        phase: u64,
    ) -> Option<ServiceName> {
        if let [(service, _)] = split {
            return Some(service.clone());
        }
        let state = match self.routes.get_mut(route) {
            Some(state) if state.split == split => state,
            _ => {
                self.routes
                    .insert(route.clone(), RouteState::new(split, phase));
                self.routes.get_mut(route)?
            }
        };
        state.next()
    }

    /// Drops the state of routes for which `keep` returns `false`.
    pub fn retain(&mut self, mut keep: impl FnMut(&str) -> bool) {
        self.routes.retain(|name, _| keep(name));
    }
}

impl RouteState {
    fn new(split: &[(ServiceName, u32)], phase: u64) -> RouteState {
        let total = total_weight(split).max(1);
        let mut state = RouteState {
            split: split.to_vec(),
            credit: vec![0; split.len()],
        };
        for _ in 0..phase % total.min(MAX_PHASE_REQUESTS) {
            state.next();
        }
        state
    }

    fn next(&mut self) -> Option<ServiceName> {
        let total = i64::try_from(total_weight(&self.split)).ok()?;
        for (credit, (_, weight)) in self.credit.iter_mut().zip(&self.split) {
            *credit += i64::from(*weight);
        }
        let (i, _) = self
            .credit
            .iter()
            .enumerate()
            .max_by_key(|(i, credit)| (**credit, usize::MAX - i))?;
        self.credit[i] -= total;
        Some(self.split[i].0.clone())
    }
}

fn total_weight(split: &[(ServiceName, u32)]) -> u64 {
    split.iter().map(|(_, w)| u64::from(*w)).sum()
}
