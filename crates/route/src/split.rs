//! Distribution of a route's requests over services by weight.

use std::collections::HashMap;
use std::sync::Arc;

use wire::ServiceName;

/// Most requests by which the start of a state is shifted; bounds the time to set it up.
const MAX_PHASE: u64 = 1_000;

/// Smooth weighted round robin, one state a route.
///
/// Any run of requests gets within one request of its shares, which random choice does not give
/// to small samples. What a service has no room for is not moved to another one.
#[derive(Clone, Debug, Default)]
pub struct Splitter {
    routes: HashMap<Arc<str>, State>,
}

#[derive(Clone, Debug)]
struct State {
    split: Vec<(ServiceName, u32)>,
    credit: Vec<i64>,
}

impl Splitter {
    /// Returns the service of the next request of `route`.
    ///
    /// `phase` shifts the start of a new state, so that nodes don't begin with the same service.
    pub fn choose(
        &mut self,
        route: &Arc<str>,
        split: &[(ServiceName, u32)],
        phase: u64,
    ) -> Option<ServiceName> {
        if let [(only, _)] = split {
            return Some(only.clone());
        }
        let state = match self.routes.get_mut(route) {
            Some(state) if state.split == split => state,
            _ => {
                self.routes.insert(route.clone(), State::new(split, phase));
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

impl State {
    fn new(split: &[(ServiceName, u32)], phase: u64) -> State {
        let total = total(split).max(1);
        let mut state = State {
            split: split.to_vec(),
            credit: vec![0; split.len()],
        };
        for _ in 0..phase % total.min(MAX_PHASE) {
            state.next();
        }
        state
    }

    fn next(&mut self) -> Option<ServiceName> {
        let total = i64::try_from(total(&self.split)).ok()?;
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

fn total(split: &[(ServiceName, u32)]) -> u64 {
    split.iter().map(|(_, w)| u64::from(*w)).sum()
}
