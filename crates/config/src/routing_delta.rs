//! Deltas between routing tables.
//!
//! A delta is computed from validated tables, not from their text form: an operator's store may
//! reorder or omit columns, which changes every line of the text but nothing in the table.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu, ensure};
use wire::{ServiceName, Version};

use crate::routing::{
    CallerLimits, RawRoute, RawService, RoutedRoute, RoutedService, Routing, RoutingError, Rules,
    index_service, validate_route,
};

/// The changes that turn one routing table, the base, into a later one, the result.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RoutingDelta {
    /// Identity of the base table; `None` for the empty table.
    base: Option<TableIdentity>,
    result: TableIdentity,
    /// Limits of the result.
    limits: CallerLimits,
    /// All services of the result.
    services: Vec<RawService>,
    /// Hosts and prefixes of the rules of the base that the result lacks.
    removed: Vec<(String, String)>,
    /// Rules of the result that the base lacks or has in another form.
    upserted: Vec<RawRoute>,
}

/// Identifies the content of a table: its version and the sum of the fingerprints of its rules.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct TableIdentity {
    version: u64,
    fingerprint_sum: u64,
}

/// Reason why a delta can't be encoded, decoded or applied. The whole table has to be fetched
/// instead.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum RoutingDeltaError {
    /// The delta can't be encoded, or the bytes are not an encoded delta.
    #[snafu(display("routing delta can't be encoded or decoded: {source}"))]
    Codec {
        /// Error of the codec.
        source: postcard::Error,
    },
    /// The given table is not the delta's base.
    #[snafu(display("routing delta does not apply: its base is another routing table"))]
    BaseMismatch,
    /// The result is not the table from which the sender computed the delta.
    #[snafu(display("routing delta does not give the routing table of its sender"))]
    ResultMismatch,
    /// The resulting table is invalid.
    #[snafu(display("routing delta gives an invalid routing table: {source}"))]
    Invalid {
        /// Fault of the resulting table.
        source: RoutingError,
    },
}

impl RoutingDelta {
    /// Computes the delta that turns `base`, or the empty table if `None`, into `new`.
    pub fn between(base: Option<&Routing>, new: &Routing) -> RoutingDelta {
        let empty = Rules::default();
        let old = base.map_or(&empty, |b| &b.rules);
        let is_changed = |(host, prefix, rule): &(&str, &str, &Arc<RoutedRoute>)| {
            let old_rule = old.get(host, prefix);
            old_rule.is_none_or(|b| !Arc::ptr_eq(b, rule) && b != *rule)
        };
        let is_removed = |(host, prefix, _): &(&str, &str, &Arc<RoutedRoute>)| {
            new.rules.get(host, prefix).is_none()
        };
        let upserted = new.rules.iter().filter(is_changed);
        let removed = old.iter().filter(is_removed);
        RoutingDelta {
            base: base.map(TableIdentity::from),
            result: new.into(),
            limits: new.limits,
            services: new.services.iter().map(raw_service).collect(),
            removed: removed
                .map(|(host, prefix, _)| (host.to_owned(), prefix.to_owned()))
                .collect(),
            upserted: upserted
                .map(|(host, prefix, rule)| raw_route(host, prefix, rule))
                .collect(),
        }
    }

    /// Applies the delta to `base`, the current table, and returns the resulting table. A delta
    /// from the empty table applies to any `base`.
    ///
    /// # Errors
    ///
    /// Fails when `base` is not the base of the delta, or when the result is invalid or not the
    /// table of the sender.
    pub fn apply(self, base: Option<&Routing>) -> Result<Routing, RoutingDeltaError> {
        let is_base = self.base.is_none() || self.base == base.map(TableIdentity::from);
        ensure!(is_base, BaseMismatchSnafu);
        let base = base.filter(|_| self.base.is_some());
        let services: HashMap<_, _> = self.services.into_iter().map(index_service).collect();
        let mut rules = base.map(|b| b.rules.clone()).unwrap_or_default();
        for (host, prefix) in &self.removed {
            ensure!(rules.remove(host, prefix), ResultMismatchSnafu);
        }
        for raw in self.upserted {
            let (host, prefix) = (raw.host.clone(), raw.prefix.clone());
            let rule = validate_route(raw, &services).context(InvalidSnafu)?;
            rules.insert(&host, &prefix, rule.into());
        }
        let table = Routing {
            version: Version(self.result.version),
            rules,
            services,
            limits: self.limits,
        };
        ensure!(
            self.result == TableIdentity::from(&table),
            ResultMismatchSnafu
        );
        if base.is_none_or(|b| b.services != table.services) {
            check_services(&table).context(InvalidSnafu)?;
        }
        Ok(table)
    }

    /// Returns the number of rules that the delta adds, changes or removes.
    pub fn len(&self) -> usize {
        self.upserted.len() + self.removed.len()
    }

    /// Returns whether the delta changes no rule. Services and limits may still change.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Encodes the delta for transfer to another node.
    ///
    /// # Errors
    ///
    /// Fails when postcard can't encode the delta.
    pub fn encode(&self) -> Result<Vec<u8>, RoutingDeltaError> {
        postcard::to_stdvec(self).context(CodecSnafu)
    }

    /// Decodes a delta received from another node.
    ///
    /// # Errors
    ///
    /// Fails when the bytes are not an encoded delta.
    pub fn decode(bytes: &[u8]) -> Result<RoutingDelta, RoutingDeltaError> {
        postcard::from_bytes(bytes).context(CodecSnafu)
    }
}

impl From<&Routing> for TableIdentity {
    fn from(table: &Routing) -> TableIdentity {
        TableIdentity {
            version: table.version.0,
            fingerprint_sum: table.rules.fingerprint_sum(),
        }
    }
}

impl Routing {
    /// Replaces each rule that `previous` has as well by that of `previous`, so that the two tables
    /// share the memory of the rule.
    pub fn share_with(&mut self, previous: &Routing) {
        self.rules.share_with(&previous.rules);
    }
}

/// Checks that the table defines the services of all its rules.
fn check_services(table: &Routing) -> Result<(), RoutingError> {
    for rule in table.rules() {
        let is_unknown = |s: &&ServiceName| !table.services.contains_key(*s);
        if let Some(service) = rule
            .weighted_services
            .iter()
            .map(|(s, _)| s)
            .find(is_unknown)
        {
            return Err(RoutingError::UnknownService {
                route: rule.name.to_string(),
                service: service.0.to_string(),
            });
        }
    }
    Ok(())
}

fn raw_service((name, service): (&ServiceName, &RoutedService)) -> RawService {
    RawService {
        name: name.0.to_string(),
        health_path: service.health_path.to_string(),
        max_connections: service.max_connections,
    }
}

fn raw_route(host: &str, prefix: &str, rule: &RoutedRoute) -> RawRoute {
    let ms = |d: Duration| d.as_millis() as u64;
    RawRoute {
        name: rule.name.to_string(),
        host: host.to_owned(),
        prefix: prefix.to_owned(),
        weighted_services: rule
            .weighted_services
            .iter()
            .map(|(s, w)| (s.0.to_string(), *w))
            .collect(),
        repeat: rule.repeat,
        timeout_ms: rule.timeout.map(ms),
        objective_ms: rule.objective.map(ms),
        priority: rule.priority,
        max_attempts: rule.max_attempts,
    }
}
