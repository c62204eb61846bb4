//! Routing table of deployments whose versions are numbered by the operator's own store.
//!
//! [`RawRouting`] is a version as decoded from that store, [`Routing`] its validated and indexed
//! form. A version with any fault is rejected as a whole.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu, ensure};
use wire::{Fingerprint, ServiceName, Version};

use crate::organisations::{OrganisationError, Organisations, RawOrganisation};
use crate::snapshot::Repeat;

/// Maximum number of routes in a table; bounds the memory of a node.
pub const MAX_TABLE_ROUTES: usize = 20_000;
/// Maximum weight of one service in a weighted split.
const MAX_WEIGHT: u32 = 1_000_000;

/// A routing table as decoded from the operator's store, not yet validated.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RawRouting {
    /// Version number; 0 is invalid.
    pub version: u64,
    /// Routes in any order.
    pub routes: Vec<RawRoute>,
    /// Services that the routes may refer to; of two with the same name, the last counts.
    pub services: Vec<RawService>,
    /// Limits on the requests and connections of callers.
    pub limits: CallerLimits,
    /// Organisations with their keys; `None` if requests need no key.
    pub organisations: Option<Vec<RawOrganisation>>,
}

/// A route as decoded from the operator's store, not yet validated.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RawRoute {
    /// Name of the route.
    pub name: String,
    /// Host of the requests that the route matches, in any case and without a port.
    pub host: String,
    /// Path prefix; starts and ends with a slash.
    pub prefix: String,
    /// Services among which requests are split, with their relative weights from 0 to 1,000,000.
    pub weighted_services: Vec<(String, u32)>,
    /// Whether requests may run more than once.
    pub repeat: Repeat,
    /// Maximum time that a caller waits, in milliseconds; `None` leaves it to the caller's own
    /// timeout and the node's default.
    pub timeout_ms: Option<u64>,
    /// Latency objective in milliseconds, after which a response loses value; `None` for the node's
    /// default.
    pub objective_ms: Option<u64>,
    /// Priority; 0 is the most urgent.
    pub priority: u32,
    /// Maximum number of targets to which one request may be sent; 0 counts as 1.
    pub max_attempts: u32,
    /// Whether requests need no key, although the table has organisations.
    pub is_public: bool,
}

/// A service as decoded from the operator's store, not yet validated.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RawService {
    /// Name of the service.
    pub name: String,
    /// Path of the health endpoint of its targets.
    pub health_path: String,
    /// Maximum number of connections to one target, summed over all its callers.
    pub max_connections: u32,
}

/// Limits on the requests and connections of callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Maximum size of a request head in bytes.
    pub header_bytes: usize,
    /// Maximum size of a request body in bytes.
    pub body_bytes: usize,
    /// Time within which a request head must arrive.
    pub header_timeout: Duration,
    /// Time after which an idle connection is closed.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    /// Returns the limits that apply until a version is received: those of common HTTP servers.
    fn default() -> Self {
        CallerLimits {
            header_bytes: 16 << 10,
            body_bytes: 64 << 20,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(60),
        }
    }
}

/// Reason why a routing table was rejected.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum RoutingError {
    /// The version number is zero.
    #[snafu(display("the version number of the routing table is 0"))]
    ZeroVersion,
    /// The table has more than [`MAX_TABLE_ROUTES`] routes.
    #[snafu(display("the routing table has {routes} routes, the limit is {MAX_TABLE_ROUTES}"))]
    TooManyRoutes {
        /// Number of routes in the table.
        routes: usize,
    },
    /// A field of a route is invalid, or the route duplicates another.
    #[snafu(display("route {route:?}: {reason}"))]
    Route {
        /// Name of the route.
        route: String,
        /// Description of the fault.
        reason: &'static str,
    },
    /// An organisation is invalid.
    #[snafu(display("{source}"))]
    Organisation {
        /// Fault of the organisation.
        source: OrganisationError,
    },
    /// A route refers to a service that the table doesn't define.
    #[snafu(display("route {route:?} refers to service {service:?}, which is not in the table"))]
    UnknownService {
        /// Name of the route.
        route: String,
        /// Name of the missing service.
        service: String,
    },
}

/// A validated route. [`Routing`] holds its host and prefix.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RoutedRoute {
    /// Name of the route.
    pub name: Arc<str>,
    /// Services among which requests are split, with their relative weights; at least one weight is
    /// above zero.
    pub weighted_services: Vec<(ServiceName, u32)>,
    /// Whether requests may run more than once.
    pub repeat: Repeat,
    /// Maximum time that a caller waits; `None` leaves it to the caller's own timeout and the
    /// node's default.
    pub timeout: Option<Duration>,
    /// Latency objective, after which a response loses value; `None` for the node's default.
    pub objective: Option<Duration>,
    /// Priority; 0 is the most urgent.
    pub priority: u32,
    /// Maximum number of targets to which one request may be sent; at least 1.
    pub max_attempts: u32,
    /// Whether requests need no key, although the table has organisations.
    pub is_public: bool,
}

/// A service of a validated routing table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RoutedService {
    /// Path of the health endpoint of its targets.
    pub health_path: Arc<str>,
    /// Maximum number of connections to one target, summed over all its callers.
    pub max_connections: u32,
}

/// A validated routing table, indexed by host and path prefix.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Routing {
    pub(crate) version: Version,
    pub(crate) routes: Routes,
    pub(crate) services: HashMap<ServiceName, RoutedService>,
    pub(crate) limits: CallerLimits,
    pub(crate) organisations: Option<Arc<Organisations>>,
}

/// The routes of a table, by host and prefix. Tables of successive versions share the memory of equal
/// routes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Routes {
    hosts: HashMap<Arc<str>, HashMap<Arc<str>, Arc<RoutedRoute>>>,
    /// Wrapping sum of the fingerprints of the routes, independent of their order.
    fingerprint_sum: u64,
}

impl Routes {
    pub(crate) fn fingerprint_sum(&self) -> u64 {
        self.fingerprint_sum
    }

    pub(crate) fn get(&self, host: &str, prefix: &str) -> Option<&Arc<RoutedRoute>> {
        self.hosts.get(host)?.get(prefix)
    }

    /// Adds a route. Returns the route that it replaces, the one with the same host and prefix.
    pub(crate) fn insert(
        &mut self,
        host: &str,
        prefix: &str,
        route: Arc<RoutedRoute>,
    ) -> Option<Arc<RoutedRoute>> {
        self.fingerprint_sum = self
            .fingerprint_sum
            .wrapping_add(fingerprint(host, prefix, &route));
        let routes = match self.hosts.get_mut(host) {
            Some(routes) => routes,
            None => self.hosts.entry(host.into()).or_default(),
        };
        let old = match routes.get_mut(prefix) {
            Some(slot) => Some(std::mem::replace(slot, route)),
            None => routes.insert(prefix.into(), route),
        }?;
        self.fingerprint_sum = self
            .fingerprint_sum
            .wrapping_sub(fingerprint(host, prefix, &old));
        Some(old)
    }

    /// Removes a route and returns whether it existed.
    pub(crate) fn remove(&mut self, host: &str, prefix: &str) -> bool {
        let Some(routes) = self.hosts.get_mut(host) else {
            return false;
        };
        let Some(old) = routes.remove(prefix) else {
            return false;
        };
        if routes.is_empty() {
            self.hosts.remove(host);
        }
        self.fingerprint_sum = self
            .fingerprint_sum
            .wrapping_sub(fingerprint(host, prefix, &old));
        true
    }

    /// Replaces routes by the equal ones of `previous`, to share their memory.
    pub(crate) fn share_with(&mut self, previous: &Routes) {
        for (host, routes) in &mut self.hosts {
            for (prefix, route) in routes {
                if let Some(shared) = previous.get(host, prefix).filter(|b| *b == route) {
                    *route = shared.clone();
                }
            }
        }
    }

    /// Iterates over (host, prefix, route) in unspecified order.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (&str, &str, &Arc<RoutedRoute>)> {
        self.hosts
            .iter()
            .flat_map(|(host, routes)| routes.iter().map(|(prefix, r)| (&**host, &**prefix, r)))
    }
}

/// Hashes a route together with its host and prefix.
fn fingerprint(host: &str, prefix: &str, route: &RoutedRoute) -> u64 {
    let numbers = [
        route.timeout.map_or(u64::MAX, |d| d.as_millis() as u64),
        route.objective.map_or(u64::MAX, |d| d.as_millis() as u64),
        route.priority.into(),
        route.max_attempts.into(),
        route.repeat as u64,
        route.is_public.into(),
    ];
    let numbers = numbers.map(u64::to_le_bytes).concat();
    let mut parts = vec![
        host.as_bytes(),
        prefix.as_bytes(),
        route.name.as_bytes(),
        &numbers,
    ];
    let weights: Vec<_> = route
        .weighted_services
        .iter()
        .map(|(_, w)| w.to_le_bytes())
        .collect();
    for ((service, _), weight) in route.weighted_services.iter().zip(&weights) {
        parts.push(service.0.as_bytes());
        parts.push(weight);
    }
    Fingerprint::of(&parts).0
}

impl TryFrom<RawRouting> for Routing {
    type Error = RoutingError;

    fn try_from(raw: RawRouting) -> Result<Routing, RoutingError> {
        ensure!(raw.version > 0, ZeroVersionSnafu);
        let route_count = raw.routes.len();
        ensure!(
            route_count <= MAX_TABLE_ROUTES,
            TooManyRoutesSnafu {
                routes: route_count
            }
        );
        let services: HashMap<_, _> = raw.services.into_iter().map(index_service).collect();
        let mut routes = Routes::default();
        for raw_route in raw.routes {
            let host = raw_route.host.to_ascii_lowercase();
            let prefix = raw_route.prefix.clone();
            let route = Arc::new(validate_route(raw_route, &services)?);
            let replaced = routes.insert(&host, &prefix, route.clone());
            ensure!(
                replaced.is_none(),
                RouteSnafu {
                    route: &*route.name,
                    reason: "another route has the same host and prefix"
                }
            );
        }
        Ok(Routing {
            version: Version(raw.version),
            routes,
            services,
            limits: raw.limits,
            organisations: validate_organisations(raw.organisations.as_deref())?,
        })
    }
}

pub(crate) fn validate_organisations(
    raw: Option<&[RawOrganisation]>,
) -> Result<Option<Arc<Organisations>>, RoutingError> {
    let Some(raw) = raw else { return Ok(None) };
    let organisations = Organisations::try_from(raw).context(OrganisationSnafu)?;
    Ok(Some(Arc::new(organisations)))
}

pub(crate) fn index_service(raw: RawService) -> (ServiceName, RoutedService) {
    let service = RoutedService {
        health_path: raw.health_path.into(),
        max_connections: raw.max_connections,
    };
    (raw.name.as_str().into(), service)
}

pub(crate) fn validate_route(
    raw: RawRoute,
    services: &HashMap<ServiceName, RoutedService>,
) -> Result<RoutedRoute, RoutingError> {
    let invalid = |reason| RoutingError::Route {
        route: raw.name.clone(),
        reason,
    };
    if raw.host.is_empty() {
        return Err(invalid("the host is empty"));
    }
    if !raw.prefix.starts_with('/') || !raw.prefix.ends_with('/') {
        return Err(invalid("the prefix must start and end with a slash"));
    }
    if raw.timeout_ms == Some(0) {
        return Err(invalid("the timeout is 0"));
    }
    if raw.weighted_services.iter().any(|(_, w)| *w > MAX_WEIGHT) {
        return Err(invalid("a weight is greater than 1000000"));
    }
    if !raw.weighted_services.iter().any(|(_, w)| *w > 0) {
        return Err(invalid("no service has a weight above 0"));
    }
    let mut weighted_services = Vec::with_capacity(raw.weighted_services.len());
    for (service, weight) in raw.weighted_services {
        let service_name = ServiceName::from(service.as_str());
        if !services.contains_key(&service_name) {
            let route = raw.name;
            return Err(RoutingError::UnknownService { route, service });
        }
        weighted_services.push((service_name, weight));
    }
    Ok(RoutedRoute {
        name: raw.name.into(),
        weighted_services,
        repeat: raw.repeat,
        timeout: raw.timeout_ms.map(Duration::from_millis),
        objective: raw.objective_ms.map(Duration::from_millis),
        priority: raw.priority,
        max_attempts: raw.max_attempts.max(1),
        is_public: raw.is_public,
    })
}

impl Routing {
    /// Returns the version number, assigned by the operator's store.
    pub fn version(&self) -> Version {
        self.version
    }

    /// Returns the limits on the requests and connections of callers.
    pub fn limits(&self) -> CallerLimits {
        self.limits
    }

    /// Returns the organisations, or `None` if requests need no key.
    pub fn organisations(&self) -> Option<&Arc<Organisations>> {
        self.organisations.as_ref()
    }

    /// Returns the service `name`, or `None` if the table doesn't define it.
    pub fn service(&self, name: &ServiceName) -> Option<&RoutedService> {
        self.services.get(name)
    }

    /// Iterates over the routes in unspecified order.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<RoutedRoute>> {
        self.routes.iter().map(|(_, _, route)| route)
    }

    /// Returns the number of routes.
    pub fn len(&self) -> usize {
        self.routes.hosts.values().map(HashMap::len).sum()
    }

    /// Returns whether the table has no routes.
    pub fn is_empty(&self) -> bool {
        self.routes.hosts.is_empty()
    }

    /// Returns the route of `host` with the longest prefix of `path`.
    ///
    /// `host` may have a port, which is ignored, and is compared case-insensitively. `path` must
    /// not include the query.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<RoutedRoute>> {
        let name = without_port(host);
        let hosts = &self.routes.hosts;
        let routes = match hosts.get(name) {
            Some(routes) => routes,
            None => hosts.get(name.to_ascii_lowercase().as_str())?,
        };
        let mut end = path.len();
        while let Some(slash) = path[..end].rfind('/') {
            if let Some(route) = routes.get(&path[..=slash]) {
                return Some(route);
            }
            end = slash;
        }
        None
    }
}

/// Returns the host name without a port: the last colon and the digits after it, if there is
/// nothing else after it.
fn without_port(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|b| b.is_ascii_digit()) => name,
        _ => host,
    }
}
