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

use crate::organisations::RawOrganisation;
use crate::routing::{
    CallerLimits, RawRoute, RawService, RoutedRoute, RoutedService, Routes, Routing, RoutingError,
    index_service, validate_organisations, validate_route,
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
    organisations: OrganisationsChange,
    /// Hosts and prefixes of the routes that the result lacks.
    removed: Vec<(String, String)>,
    /// Routes that are added or changed.
    upserted: Vec<RawRoute>,
}

/// What becomes of the organisations of the base.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
enum OrganisationsChange {
    /// They stay.
    Same,
    /// The result has these.
    Replaced(Option<Vec<RawOrganisation>>),
}

/// Identifies the content of a table: its version, the sum of the fingerprints of its routes, and that
/// of its organisations, `None` if it has none.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct TableIdentity {
    version: u64,
    fingerprint_sum: u64,
    organisations: Option<u64>,
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
        let empty = Routes::default();
        let old = base.map_or(&empty, |b| &b.routes);
        let is_changed = |(host, prefix, route): &(&str, &str, &Arc<RoutedRoute>)| {
            let old_route = old.get(host, prefix);
            old_route.is_none_or(|b| !Arc::ptr_eq(b, route) && b != *route)
        };
        let is_removed = |(host, prefix, _): &(&str, &str, &Arc<RoutedRoute>)| {
            new.routes.get(host, prefix).is_none()
        };
        let upserted = new.routes.iter().filter(is_changed);
        let removed = old.iter().filter(is_removed);
        RoutingDelta {
            base: base.map(TableIdentity::from),
            result: new.into(),
            limits: new.limits,
            services: new.services.iter().map(raw_service).collect(),
            organisations: OrganisationsChange::between(base, new),
            removed: removed
                .map(|(host, prefix, _)| (host.to_owned(), prefix.to_owned()))
                .collect(),
            upserted: upserted
                .map(|(host, prefix, route)| raw_route(host, prefix, route))
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
        let organisations = match &self.organisations {
            OrganisationsChange::Same => base.and_then(|b| b.organisations.clone()),
            OrganisationsChange::Replaced(raw) => {
                validate_organisations(raw.as_deref()).context(InvalidSnafu)?
            }
        };
        let mut routes = base.map(|b| b.routes.clone()).unwrap_or_default();
        for (host, prefix) in &self.removed {
            ensure!(routes.remove(host, prefix), ResultMismatchSnafu);
        }
        for raw in self.upserted {
            let (host, prefix) = (raw.host.clone(), raw.prefix.clone());
            let route = validate_route(raw, &services).context(InvalidSnafu)?;
            routes.insert(&host, &prefix, route.into());
        }
        let table = Routing {
            version: Version(self.result.version),
            routes,
            services,
            limits: self.limits,
            organisations,
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

    /// Returns the number of added, changed and removed routes.
    pub fn len(&self) -> usize {
        self.upserted.len() + self.removed.len()
    }

    /// Returns whether the delta changes no route. Services and limits may still change.
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
            fingerprint_sum: table.routes.fingerprint_sum(),
            organisations: table.organisations.as_ref().map(|o| o.fingerprint()),
        }
    }
}

impl OrganisationsChange {
    fn between(base: Option<&Routing>, new: &Routing) -> OrganisationsChange {
        let is_same = base.is_some_and(|b| b.organisations == new.organisations);
        if is_same {
            return OrganisationsChange::Same;
        }
        OrganisationsChange::Replaced(new.organisations.as_ref().map(|o| o.to_raw()))
    }
}

impl Routing {
    /// Replaces routes by the equal ones of `previous`, so that both versions share their memory.
    pub fn share_with(&mut self, previous: &Routing) {
        self.routes.share_with(&previous.routes);
    }
}

/// Checks that the table defines the services of all its routes.
fn check_services(table: &Routing) -> Result<(), RoutingError> {
    for route in table.routes() {
        let is_unknown = |s: &&ServiceName| !table.services.contains_key(*s);
        if let Some(service) = route
            .weighted_services
            .iter()
            .map(|(s, _)| s)
            .find(is_unknown)
        {
            return Err(RoutingError::UnknownService {
                route: route.name.to_string(),
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

fn raw_route(host: &str, prefix: &str, route: &RoutedRoute) -> RawRoute {
    let ms = |d: Duration| d.as_millis() as u64;
    RawRoute {
        name: route.name.to_string(),
        host: host.to_owned(),
        prefix: prefix.to_owned(),
        weighted_services: route
            .weighted_services
            .iter()
            .map(|(s, w)| (s.0.to_string(), *w))
            .collect(),
        repeat: route.repeat,
        timeout_ms: route.timeout.map(ms),
        objective_ms: route.objective.map(ms),
        priority: route.priority,
        max_attempts: route.max_attempts,
        is_public: route.is_public,
    }
}
