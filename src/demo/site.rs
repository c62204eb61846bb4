//! Example sites of the demo.

use std::time::Duration;

/// A service of a site and its number of targets.
#[derive(Clone, Copy)]
pub(crate) struct SiteService {
    pub(crate) name: &'static str,
    pub(crate) target_count: usize,
}

/// A kind of request that a site's callers send.
#[derive(Clone, Copy)]
pub(crate) struct RequestKind {
    pub(crate) method: &'static str,
    pub(crate) path: &'static str,
    /// Service time at the target in milliseconds.
    pub(crate) work_ms: u64,
    /// Size of the request body in bytes.
    pub(crate) upload_bytes: usize,
    /// Minimum size of the response body in bytes.
    pub(crate) response_bytes: usize,
    /// Frequency of this kind relative to the other kinds of the site.
    pub(crate) weight: u32,
    /// Whether the request must run at most once; it is then sent with an idempotency key.
    pub(crate) is_at_most_once: bool,
}

/// An example site: a mesh with its domains, services and kinds of requests.
pub(crate) struct Site {
    pub(crate) name: &'static str,
    pub(crate) region: &'static str,
    pub(crate) domains: [&'static str; 3],
    /// Configuration text of the first version.
    pub(crate) config_text: &'static str,
    /// Slots of each target.
    pub(crate) slots: usize,
    /// One-way latency between callers and entry nodes.
    pub(crate) caller_latency: Duration,
    pub(crate) services: &'static [SiteService],
    pub(crate) request_kinds: &'static [RequestKind],
}

impl Site {
    /// Returns the configuration text of the second version: the first with a shorter queue.
    pub(crate) fn second_config_text(&self) -> String {
        self.config_text.replace("queue = 64", "queue = 48")
    }
}

const fn read(path: &'static str, weight: u32) -> RequestKind {
    RequestKind {
        method: "GET",
        path,
        work_ms: 1,
        upload_bytes: 0,
        response_bytes: 512,
        weight,
        is_at_most_once: false,
    }
}

const fn at_most_once(path: &'static str, weight: u32) -> RequestKind {
    RequestKind {
        method: "POST",
        path,
        work_ms: 3,
        upload_bytes: 200,
        response_bytes: 0,
        weight,
        is_at_most_once: true,
    }
}

const fn upload(path: &'static str, weight: u32) -> RequestKind {
    RequestKind {
        method: "PUT",
        path,
        work_ms: 5,
        upload_bytes: 300_000,
        response_bytes: 0,
        weight,
        is_at_most_once: false,
    }
}

const fn download(path: &'static str, weight: u32) -> RequestKind {
    RequestKind {
        method: "GET",
        path,
        work_ms: 100,
        upload_bytes: 0,
        response_bytes: 500_000,
        weight,
        is_at_most_once: false,
    }
}

const REGISTRY_KINDS: [RequestKind; 4] = [
    read("/casks", 60),
    at_most_once("/titles", 15),
    upload("/gauges", 15),
    download("/gauges/archive", 10),
];

const LEDGER_KINDS: [RequestKind; 3] = [
    read("/extracts", 60),
    at_most_once("/samples", 25),
    upload("/evidence", 15),
];

/// Returns all example sites.
pub(crate) fn all() -> [Site; 2] {
    [
        Site {
            name: "indus-vale",
            region: "pk-north",
            domains: ["pk-north-a", "pk-north-b", "pk-north-c"],
            config_text: include_str!("../../examples/indus-vale.toml"),
            slots: 6,
            caller_latency: Duration::from_millis(8),
            services: &[
                SiteService {
                    name: "ledger-view",
                    target_count: 4,
                },
                SiteService {
                    name: "title-desk",
                    target_count: 3,
                },
                SiteService {
                    name: "gauge-vault",
                    target_count: 5,
                },
            ],
            request_kinds: &REGISTRY_KINDS,
        },
        Site {
            name: "kilimanjaro",
            region: "dar",
            domains: ["dar-a", "dar-b", "dar-c"],
            config_text: include_str!("../../examples/kilimanjaro.toml"),
            slots: 18,
            caller_latency: Duration::from_millis(3),
            services: &[
                SiteService {
                    name: "ledger-svc",
                    target_count: 4,
                },
                SiteService {
                    name: "sampling-svc",
                    target_count: 3,
                },
                SiteService {
                    name: "evidence-svc",
                    target_count: 3,
                },
            ],
            request_kinds: &LEDGER_KINDS,
        },
    ]
}
