//! Sums of the usage of all nodes, at the node that all others report to.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use wire::Time;

use crate::bucket::UsageLimit;
use crate::{Grant, HOLD_TIME, OrganisationId, UsageCount, UsageReport};

/// Part of the burst that may be used. The rest covers what nodes admit before they hear that the
/// limit is reached, and nodes that are cut off.
const BURST_FRACTION: f64 = 0.6;
/// An organisation is limited while less than this part of its burst is left.
const LIMITED_LEVEL: f64 = 0.5;
/// Time over which the burst that is left is granted, and an excess is taken off.
const CORRECTION_TIME: f64 = 1.0;
/// Weight of a new report in the moving average of a node's demand.
const DEMAND_WEIGHT: f64 = 0.5;
/// Share of a node's part that does not depend on its demand, as clients may move to it.
const EQUAL_SHARE: f64 = 0.1;
/// Shortest time between two reports of a node that is assumed, against divisions by tiny times.
const MIN_INTERVAL: Duration = Duration::from_millis(50);
/// Time without a report after which a node no longer takes part. Its equal share stays reserved for it
/// as long as it is known.
const NODE_TIMEOUT: Duration = Duration::from_secs(1);
/// Time without usage after which an organisation's sums are dropped.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Usage of all organisations.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    accounts: HashMap<OrganisationId, Account>,
    /// When each node last reported.
    nodes: HashMap<SocketAddr, Time>,
    /// When the first of these nodes reported, and whether the ledger grants since.
    state: State,
}

#[derive(Clone, Copy, Debug, Default)]
enum State {
    #[default]
    Unused,
    /// Another ledger may still have granted.
    Holding {
        since: Time,
        must_wait: bool,
    },
    Open,
}

#[derive(Clone, Debug)]
struct Account {
    limit: UsageLimit,
    /// Part of the limit that the nodes which report may use together.
    part: f64,
    /// Requests of the burst that are left; negative after an excess.
    level: f64,
    updated_at: Time,
    used_at: Time,
    /// Requests per second that each node gets.
    demand: HashMap<SocketAddr, f64>,
}

impl Account {
    fn new(now: Time, limit: UsageLimit) -> Account {
        Account {
            limit,
            part: 1.0,
            // No more than what limits no organisation yet: the burst may have been used before.
            level: limit.burst as f64 * BURST_FRACTION * LIMITED_LEVEL,
            updated_at: now,
            used_at: now,
            demand: HashMap::new(),
        }
    }

    fn max_level(&self) -> f64 {
        self.limit.burst as f64 * BURST_FRACTION * self.part
    }

    /// Returns the requests per second of all nodes that report.
    fn rate(&self) -> f64 {
        self.limit.rate_per_s() * self.part
    }

    fn advance(&mut self, now: Time, part: f64) {
        self.part = part;
        let earned = self.rate() * now.since(self.updated_at).as_secs_f64();
        self.level = (self.level + earned).min(self.max_level());
        self.updated_at = now;
    }

    fn is_limited(&self) -> bool {
        self.level < self.max_level() * LIMITED_LEVEL
    }

    /// Returns the requests per second that `node` may admit.
    fn rate_of(&self, node: SocketAddr, nodes: usize) -> f64 {
        let allowed = (self.rate() + self.level / CORRECTION_TIME).max(0.0);
        let total: f64 = self.demand.values().sum();
        let own = self.demand.get(&node).copied().unwrap_or(0.0);
        let by_demand = if total > 0.0 { own / total } else { 0.0 };
        let equal = 1.0 / nodes.max(1) as f64;
        allowed * (by_demand * (1.0 - EQUAL_SHARE) + equal * EQUAL_SHARE)
    }
}

impl Ledger {
    /// Adds the report of a node and returns what it may admit of the organisations near their limits.
    /// `limit` returns the limit of an organisation, `None` if it has none. `known` is the number of nodes
    /// that have been seen lately: each of those that do not report may admit an equal share for itself.
    ///
    /// Returns `None`, and adds nothing, while nodes may still admit requests under replies of another
    /// ledger: for some seconds, but only until all known nodes report here if none of them has had such a
    /// reply.
    pub fn report(
        &mut self,
        now: Time,
        node: SocketAddr,
        report: &UsageReport,
        limit: impl Fn(OrganisationId) -> Option<UsageLimit>,
        known: usize,
    ) -> Option<Vec<Grant>> {
        if self.nodes.values().all(|at| now.since(*at) >= NODE_TIMEOUT) {
            // Nodes may have used another ledger meanwhile.
            self.state = State::Unused;
            self.accounts.clear();
        }
        let interval = self
            .nodes
            .insert(node, now)
            .map_or(MIN_INTERVAL, |at| now.since(at).max(MIN_INTERVAL));
        self.drop_idle(now);
        if !self.is_open(now, known, report.follows_other) {
            return None;
        }
        let part = self.part(known);
        for count in &report.counts {
            let Some(limit) = limit(count.organisation) else {
                self.accounts.remove(&count.organisation);
                continue;
            };
            let account = self
                .accounts
                .entry(count.organisation)
                .or_insert_with(|| Account::new(now, limit));
            account.used_at = now;
            account.limit = limit;
            account.advance(now, part);
            account.level -= f64::from(count.admitted);
            let demand = f64::from(count.demanded) / interval.as_secs_f64();
            let average = account.demand.entry(node).or_insert(demand);
            *average += (demand - *average) * DEMAND_WEIGHT;
        }
        Some(self.grants(now, node, &report.counts, part))
    }

    /// Returns whether this ledger may grant, and updates its state.
    fn is_open(&mut self, now: Time, known: usize, follows_other: bool) -> bool {
        let is_complete = self.nodes.len() >= known;
        let (since, must_wait) = match self.state {
            State::Unused => (now, follows_other),
            State::Holding { since, must_wait } => (since, must_wait || follows_other),
            State::Open => return true,
        };
        self.state = if now.since(since) >= HOLD_TIME || (is_complete && !must_wait) {
            State::Open
        } else {
            State::Holding { since, must_wait }
        };
        matches!(self.state, State::Open)
    }

    /// Returns the part of each limit that the nodes which report may use together.
    fn part(&self, known: usize) -> f64 {
        let reporting = self.nodes.len();
        reporting as f64 / known.max(reporting).max(1) as f64
    }

    fn grants(
        &mut self,
        now: Time,
        node: SocketAddr,
        counts: &[UsageCount],
        part: f64,
    ) -> Vec<Grant> {
        let nodes = self.nodes.len();
        let mut grants = Vec::new();
        for (id, account) in &mut self.accounts {
            account.advance(now, part);
            if !counts.iter().any(|c| c.organisation == *id)
                && let Some(demand) = account.demand.get_mut(&node)
            {
                *demand *= 1.0 - DEMAND_WEIGHT;
            }
            if account.is_limited() {
                grants.push(Grant {
                    organisation: *id,
                    rate_per_s: account.rate_of(node, nodes),
                });
            }
        }
        grants
    }

    fn drop_idle(&mut self, now: Time) {
        self.nodes.retain(|_, at| now.since(*at) < NODE_TIMEOUT);
        let nodes = &self.nodes;
        self.accounts.retain(|_, account| {
            account.demand.retain(|node, _| nodes.contains_key(node));
            now.since(account.used_at) < IDLE_TIMEOUT
        });
    }
}
