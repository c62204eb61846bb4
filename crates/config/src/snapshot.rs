//! Compiled, immutable configuration of one version.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use wire::{Digest, Fingerprint, ServiceName, Version};

use crate::blocks::Layout;
use crate::check;
use crate::incremental;
use crate::limits::DEFAULT_CLAIM_WINDOW_S;
use crate::rejection::Rejection;
use crate::table::RouteTable;

/// The members that a node tracks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Scope {
    /// Members of every service.
    #[default]
    All,
    /// Members of the node's own service and of its direct dependencies.
    Depends,
}

/// Whether a request of a route may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Repeat {
    /// Each request runs at most once.
    Never,
    /// Requests are idempotent and may be retried or hedged.
    Safe,
}

/// Expected service time of the requests of a route.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Class {
    /// Short service time.
    Short,
    /// Long service time.
    Long,
    /// Derived from observed service times.
    #[default]
    Auto,
}

/// A set of HTTP methods: bit n, from 0, stands for `NAMES[n]`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Methods(u8);

impl Methods {
    /// Every method, including those that are not in [`Methods::NAMES`].
    pub const ALL: Methods = Methods(u8::MAX);
    /// Methods that a route can list.
    pub const NAMES: [&'static str; 7] =
        ["GET", "HEAD", "POST", "PUT", "DELETE", "PATCH", "OPTIONS"];
    pub(crate) const NONE: Methods = Methods(0);
    /// GET and HEAD: RFC 9110 defines them as safe, and they carry no body.
    const READ_ONLY: u8 = 0b11;

    pub(crate) fn from_name(name: &str) -> Option<Methods> {
        let at = Methods::NAMES.iter().position(|n| *n == name)?;
        Some(Methods(1 << at))
    }

    pub(crate) const fn union(self, other: Methods) -> Methods {
        Methods(self.0 | other.0)
    }

    pub(crate) const fn overlaps(self, other: Methods) -> bool {
        self.0 & other.0 != 0
    }

    pub(crate) const fn is_read_only(self) -> bool {
        self.0 & !Methods::READ_ONLY == 0
    }

    pub(crate) const fn bits(self) -> u8 {
        self.0
    }

    /// Returns whether the set contains the method; method names are case-sensitive.
    pub fn contains(self, method: &str) -> bool {
        self == Methods::ALL || Methods::from_name(method).is_some_and(|m| self.overlaps(m))
    }
}

impl fmt::Display for Methods {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if *self == Methods::ALL {
            return f.write_str("all");
        }
        let names = Methods::NAMES.into_iter().filter(|n| self.contains(n));
        f.write_str(&names.collect::<Vec<_>>().join(" "))
    }
}

/// A service and the capacity of each of its targets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    /// Name, unique in the configuration.
    pub name: ServiceName,
    /// Services that the targets of this service call directly.
    pub depends: Vec<ServiceName>,
    /// Maximum number of concurrent requests per target.
    pub slots: u32,
    /// Maximum number of connections per target; at least `slots`.
    pub connections: u32,
    /// Maximum number of queued requests per target; 0 disables the queue.
    pub queue: u32,
}

/// A route from a path prefix to a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Hash of the prefix and the methods; the same in all versions with this prefix and methods.
    pub id: Fingerprint,
    /// Path prefix; matches whole path segments only.
    pub prefix: Arc<str>,
    /// Methods that the route matches.
    pub methods: Methods,
    /// Service that receives the requests.
    pub service: ServiceName,
    /// Whether a request may run more than once.
    pub repeat: Repeat,
    /// Expected service time of the requests.
    pub class: Class,
    /// Timeout of a request whose caller specifies none.
    pub timeout: Duration,
    /// Whether slow requests are hedged (sent to a second target as well); requires
    /// [`Repeat::Safe`].
    pub hedge: bool,
}

/// One immutable version of the configuration, validated against every rule of the text format.
///
/// A version compiled by [`Snapshot::compile_after`] shares the memory of equal parts with the
/// previous version.
#[derive(Clone, Debug)]
pub struct Snapshot {
    pub(crate) version: Version,
    pub(crate) digest: Digest,
    pub(crate) text: Arc<str>,
    pub(crate) mesh: Arc<str>,
    pub(crate) scope: Scope,
    pub(crate) claim_window: Duration,
    pub(crate) services: Arc<BTreeMap<ServiceName, Service>>,
    /// Routes in the order of the text.
    pub(crate) routes: Arc<Vec<Route>>,
    /// Lookup table of `routes`.
    pub(crate) table: Arc<RouteTable>,
    /// Blocks of `text`, for the compilation of the next version.
    pub(crate) layout: Arc<Layout>,
}

impl Snapshot {
    /// Validates and compiles a configuration text.
    ///
    /// # Errors
    ///
    /// Fails when the text is too large, not readable or invalid, or is for a mesh other than
    /// `mesh`.
    pub fn compile(
        version: Version,
        mesh: &str,
        text: impl Into<Arc<str>>,
    ) -> Result<Snapshot, Rejection> {
        check::compile(version, mesh, text.into())
    }

    /// Compiles a configuration text for the mesh of `previous`, with the same result as
    /// [`Snapshot::compile`]. Where possible, parses only the services and routes whose text is not
    /// in `previous`.
    ///
    /// # Errors
    ///
    /// Fails when [`Snapshot::compile`] does, with the same rejection.
    pub fn compile_after(
        previous: &Snapshot,
        version: Version,
        text: impl Into<Arc<str>>,
    ) -> Result<Snapshot, Rejection> {
        let text = text.into();
        match incremental::compile(previous, version, &text) {
            Some(snapshot) => Ok(snapshot),
            None => check::compile(version, &previous.mesh, text),
        }
    }

    /// Returns version 0, the initial configuration of every mesh, without services and routes.
    pub fn empty(mesh: &str) -> Snapshot {
        Snapshot {
            version: Version(0),
            digest: Digest::of(b""),
            text: "".into(),
            mesh: mesh.into(),
            scope: Scope::All,
            claim_window: Duration::from_secs(DEFAULT_CLAIM_WINDOW_S.into()),
            services: Arc::default(),
            routes: Arc::default(),
            table: Arc::default(),
            layout: Arc::default(),
        }
    }

    /// Returns the version number.
    pub fn version(&self) -> Version {
        self.version
    }

    /// Returns the digest of the configuration text.
    pub fn digest(&self) -> Digest {
        self.digest
    }

    /// Returns the configuration text; empty at version 0.
    pub fn text(&self) -> &Arc<str> {
        &self.text
    }

    /// Returns the name of the mesh.
    pub fn mesh(&self) -> &str {
        &self.mesh
    }

    /// Returns which members a node tracks.
    pub fn scope(&self) -> Scope {
        self.scope
    }

    /// Returns how long claims of caller-generated keys are retained.
    pub fn claim_window(&self) -> Duration {
        self.claim_window
    }

    /// Iterates over the services in order of name.
    pub fn services(&self) -> impl Iterator<Item = &Service> {
        self.services.values()
    }

    /// Returns the service `name`, or `None` if the configuration doesn't define it.
    pub fn service(&self, name: &ServiceName) -> Option<&Service> {
        self.services.get(name)
    }

    /// Returns the routes in the order of the configuration text.
    pub fn routes(&self) -> &[Route] {
        &self.routes
    }

    /// Returns the services whose members are tracked by the target-side node of a target of
    /// service `own`.
    pub fn services_in_scope(&self, own: &ServiceName) -> BTreeSet<ServiceName> {
        match self.scope {
            Scope::All => self.services.keys().cloned().collect(),
            Scope::Depends => self
                .service(own)
                .into_iter()
                .flat_map(|s| std::iter::once(&s.name).chain(&s.depends))
                .cloned()
                .collect(),
        }
    }

    /// Returns the route with the longest matching prefix among those that match the method. A
    /// query in `path` is ignored.
    pub fn route_for(&self, method: &str, path: &str) -> Option<&Route> {
        self.table.find(&self.routes, method, path)
    }
}
