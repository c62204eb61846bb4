//! The example sites.

use std::time::Duration;

/// A service of a site.
#[derive(Clone, Copy)]
pub(crate) struct SiteService {
    pub(crate) name: &'static str,
    pub(crate) targets: usize,
}

/// A kind of request that a site's callers send.
#[derive(Clone, Copy)]
pub(crate) struct Kind {
    pub(crate) method: &'static str,
    pub(crate) path: &'static str,
    /// Service time at the target in milliseconds.
    pub(crate) work_ms: u64,
    /// Size of the request's body.
    pub(crate) upload: usize,
    /// Size of the answer.
    pub(crate) bytes: usize,
    /// Relative frequency.
    pub(crate) weight: u32,
    /// Whether the request must not be repeated.
    pub(crate) once: bool,
}

/// An example site.
pub(crate) struct Site {
    pub(crate) name: &'static str,
    pub(crate) region: &'static str,
    pub(crate) domains: [&'static str; 3],
    pub(crate) text: &'static str,
    pub(crate) slots: usize,
    /// One-way latency between callers and nodes.
    pub(crate) caller_latency: Duration,
    pub(crate) services: &'static [SiteService],
    pub(crate) kinds: &'static [Kind],
}

impl Site {
    /// Returns an edited text, to be published as the second version.
    pub(crate) fn second_text(&self) -> String {
        self.text.replace("queue = 64", "queue = 48")
    }
}

const fn read(path: &'static str, weight: u32) -> Kind {
    Kind {
        method: "GET",
        path,
        work_ms: 1,
        upload: 0,
        bytes: 512,
        weight,
        once: false,
    }
}

const fn once(path: &'static str, weight: u32) -> Kind {
    Kind {
        method: "POST",
        path,
        work_ms: 3,
        upload: 200,
        bytes: 0,
        weight,
        once: true,
    }
}

const fn upload(path: &'static str, weight: u32) -> Kind {
    Kind {
        method: "PUT",
        path,
        work_ms: 5,
        upload: 300_000,
        bytes: 0,
        weight,
        once: false,
    }
}

const fn pull(path: &'static str, weight: u32) -> Kind {
    Kind {
        method: "GET",
        path,
        work_ms: 100,
        upload: 0,
        bytes: 500_000,
        weight,
        once: false,
    }
}

const REGISTRY_KINDS: [Kind; 4] = [
    read("/casks", 60),
    once("/titles", 15),
    upload("/gauges", 15),
    pull("/gauges/archive", 10),
];

const LEDGER_KINDS: [Kind; 3] = [
    read("/extracts", 60),
    once("/samples", 25),
    upload("/evidence", 15),
];

/// Returns the sites.
pub(crate) fn all() -> [Site; 2] {
    [
        Site {
            name: "indus-vale",
            region: "pk-north",
            domains: ["pk-north-a", "pk-north-b", "pk-north-c"],
            text: include_str!("../../examples/indus-vale.toml"),
            slots: 6,
            caller_latency: Duration::from_millis(8),
            services: &[
                SiteService {
                    name: "ledger-view",
                    targets: 4,
                },
                SiteService {
                    name: "title-desk",
                    targets: 3,
                },
                SiteService {
                    name: "gauge-vault",
                    targets: 5,
                },
            ],
            kinds: &REGISTRY_KINDS,
        },
        Site {
            name: "kilimanjaro",
            region: "dar",
            domains: ["dar-a", "dar-b", "dar-c"],
            text: include_str!("../../examples/kilimanjaro.toml"),
            slots: 18,
            caller_latency: Duration::from_millis(3),
            services: &[
                SiteService {
                    name: "ledger-svc",
                    targets: 4,
                },
                SiteService {
                    name: "sampling-svc",
                    targets: 3,
                },
                SiteService {
                    name: "evidence-svc",
                    targets: 3,
                },
            ],
            kinds: &LEDGER_KINDS,
        },
    ]
}
