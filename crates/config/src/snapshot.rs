//! A compiled configuration.

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
use crate::table::Table;

/// Which members a node keeps.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Scope {
    /// Members of each service.
    #[default]
    All,
    /// Members of the node's own service and of those that it depends on.
    Depends,
}

/// Whether a request of a route may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Repeat {
    /// Each request runs at most once.
    Never,
    /// Requests are idempotent.
    Safe,
}

/// How long the requests of a route are expected to run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Class {
    /// Short requests.
    Short,
    /// Long requests.
    Long,
    /// Learned from service times.
    #[default]
    Auto,
}

/// A set of HTTP methods.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Methods(u8);

impl Methods {
    /// Each method, also those that can't be listed.
    pub const ALL: Methods = Methods(u8::MAX);
    /// Methods that can be listed in a route.
    pub const NAMES: [&'static str; 7] =
        ["GET", "HEAD", "POST", "PUT", "DELETE", "PATCH", "OPTIONS"];
    pub(crate) const NONE: Methods = Methods(0);
    /// Methods that RFC 9110 defines as safe and that carry no body.
    const READS: u8 = 0b11;

    pub(crate) fn named(name: &str) -> Option<Methods> {
        let at = Methods::NAMES.iter().position(|n| *n == name)?;
        Some(Methods(1 << at))
    }

    pub(crate) const fn union(self, other: Methods) -> Methods {
        Methods(self.0 | other.0)
    }

    pub(crate) const fn overlaps(self, other: Methods) -> bool {
        self.0 & other.0 != 0
    }

    pub(crate) const fn only_reads(self) -> bool {
        self.0 & !Methods::READS == 0
    }

    pub(crate) const fn bits(self) -> u8 {
        self.0
    }

    /// Returns whether the set contains the method.
    pub fn contains(self, method: &str) -> bool {
        self == Methods::ALL || Methods::named(method).is_some_and(|m| self.overlaps(m))
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
    /// Name.
    pub name: ServiceName,
    /// Services that its targets call.
    pub depends: Vec<ServiceName>,
    /// Requests at once per target.
    pub slots: u32,
    /// Connections per target.
    pub connections: u32,
    /// Waiting requests per target.
    pub queue: u32,
}

/// A route from a path prefix to a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Hash of prefix and methods; stays the same over versions as long as these do.
    pub id: Fingerprint,
    /// Path prefix; matches whole path segments.
    pub prefix: Arc<str>,
    /// Methods that the route takes.
    pub methods: Methods,
    /// Service that runs the requests.
    pub service: ServiceName,
    /// Whether a request may run more than once.
    pub repeat: Repeat,
    /// Expected length of the requests.
    pub class: Class,
    /// Time-out of a request whose caller gives none.
    pub timeout: Duration,
    /// Whether slow requests are hedged; only with [`Repeat::Safe`].
    pub hedge: bool,
}

/// One version of the configuration, immutable. Each rule of the format holds for it.
///
/// Versions made by [`Snapshot::compile_after`] share the parts that are equal.
#[derive(Clone, Debug)]
pub struct Snapshot {
    pub(crate) version: Version,
    pub(crate) digest: Digest,
    pub(crate) text: Arc<str>,
    pub(crate) mesh: Arc<str>,
    pub(crate) scope: Scope,
    pub(crate) claim_window: Duration,
    pub(crate) services: Arc<BTreeMap<ServiceName, Service>>,
    pub(crate) routes: Arc<Vec<Route>>,
    pub(crate) table: Arc<Table>,
    pub(crate) layout: Arc<Layout>,
}

impl Snapshot {
    /// Checks `text` against each rule and compiles it.
    ///
    /// # Errors
    ///
    /// Fails when the text is too large, not readable, breaks a rule or is for a mesh other than
    /// `mesh`.
    pub fn compile(
        version: Version,
        mesh: &str,
        text: impl Into<Arc<str>>,
    ) -> Result<Snapshot, Rejection> {
        check::compile(version, mesh, text.into())
    }

    /// Compiles `text` as [`Snapshot::compile`] does, for the mesh of `previous`, and reads only the
    /// services and routes that `previous` doesn't have in the same words. The result is the same.
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

    /// Returns version 0: the configuration without services and routes that each mesh starts with.
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

    /// Returns the digest of the text.
    pub fn digest(&self) -> Digest {
        self.digest
    }

    /// Returns the text.
    pub fn text(&self) -> &Arc<str> {
        &self.text
    }

    /// Returns the name of the mesh.
    pub fn mesh(&self) -> &str {
        &self.mesh
    }

    /// Returns which members a node keeps.
    pub fn scope(&self) -> Scope {
        self.scope
    }

    /// Returns how long claims of caller-generated keys are kept.
    pub fn claim_window(&self) -> Duration {
        self.claim_window
    }

    /// Returns the services in order of name.
    pub fn services(&self) -> impl Iterator<Item = &Service> {
        self.services.values()
    }

    /// Returns the service with this name.
    pub fn service(&self, name: &ServiceName) -> Option<&Service> {
        self.services.get(name)
    }

    /// Returns the routes in the order of the text.
    pub fn routes(&self) -> &[Route] {
        &self.routes
    }

    /// Returns the services whose members a node beside a target of `own` keeps.
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

    /// Returns the route with the longest matching prefix among those that take the method. A query
    /// in `path` is ignored.
    pub fn route_for(&self, method: &str, path: &str) -> Option<&Route> {
        self.table.find(&self.routes, method, path)
    }
}
