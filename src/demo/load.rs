//! Load generator of the demo.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::ops::AddAssign;
use std::sync::Arc;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::task::JoinHandle;

use super::mesh::Mesh;
use super::site::{RequestKind, Site};
use crate::util;

/// Number of concurrent callers; each has one outstanding request at a time.
const CALLER_COUNT: usize = 12;
/// A caller's at-most-once request is sent twice with the same key if its index is a multiple of
/// this.
const DUPLICATE_ONE_IN: usize = 5;

/// Results of all requests, as seen by the callers.
#[derive(Clone, Debug, Default)]
pub(crate) struct Tally {
    /// Requests sent, including duplicates.
    pub(crate) sent: usize,
    /// Complete responses that match their request.
    pub(crate) complete: usize,
    /// Refusals and unknown outcomes by result code.
    pub(crate) refusals: BTreeMap<u16, usize>,
    /// Requests without a complete response, where the client noticed an error.
    pub(crate) failed: usize,
    /// Descriptions of responses that seem complete but don't match their request.
    pub(crate) mismatches: Vec<String>,
    /// By idempotency key, whether a request with the key may have run: false if all of them were
    /// refused as not run.
    pub(crate) may_have_run: BTreeMap<String, bool>,
}

impl AddAssign for Tally {
    fn add_assign(&mut self, other: Tally) {
        self.sent += other.sent;
        self.complete += other.complete;
        for (code, n) in other.refusals {
            *self.refusals.entry(code).or_default() += n;
        }
        self.failed += other.failed;
        self.mismatches.extend(other.mismatches);
        for (key, may_have_run) in other.may_have_run {
            *self.may_have_run.entry(key).or_default() |= may_have_run;
        }
    }
}

/// Starts callers that send `requests` in total. The task returns their combined tally.
pub(crate) fn start_callers(
    mesh: &Mesh,
    site: &Site,
    requests: usize,
    seed: u64,
) -> JoinHandle<Tally> {
    let entry_addrs: Arc<[SocketAddr]> =
        mesh.instances.iter().map(|p| p.addresses.callers).collect();
    let (request_kinds, one_way_latency) = (site.request_kinds, site.caller_latency);
    tokio::spawn(async move {
        let callers = (0..CALLER_COUNT).map(|c| {
            let request_count = requests / CALLER_COUNT + usize::from(c < requests % CALLER_COUNT);
            let name = format!("{seed}-{c}");
            let rng = StdRng::seed_from_u64(seed.wrapping_mul(1_000).wrapping_add(c as u64));
            let caller = Caller {
                name,
                entry_addrs: entry_addrs.clone(),
                request_kinds,
                one_way_latency,
                rng,
            };
            tokio::spawn(caller.run(request_count))
        });
        let mut tally = Tally::default();
        for t in futures_util::future::join_all(callers).await {
            tally += t.unwrap_or_default();
        }
        tally
    })
}

struct Caller {
    name: String,
    entry_addrs: Arc<[SocketAddr]>,
    request_kinds: &'static [RequestKind],
    one_way_latency: Duration,
    rng: StdRng,
}

impl Caller {
    async fn run(mut self, requests: usize) -> Tally {
        let mut tally = Tally::default();
        let Ok(client) = util::http_client() else {
            return tally;
        };
        for i in 0..requests {
            let kind = self.pick_kind();
            let path = format!("{}/{}-{i}", kind.path, self.name);
            let key = kind
                .is_at_most_once
                .then(|| format!("demo-{}-{i}", self.name));
            self.send(&client, &kind, &path, key.as_deref(), &mut tally)
                .await;
            if kind.is_at_most_once && i % DUPLICATE_ONE_IN == 0 {
                self.send(&client, &kind, &path, key.as_deref(), &mut tally)
                    .await;
            }
        }
        tally
    }

    /// Picks a kind at random by weight.
    fn pick_kind(&mut self) -> RequestKind {
        let total: u32 = self.request_kinds.iter().map(|k| k.weight).sum();
        let mut point = self.rng.random_range(0..total);
        for kind in self.request_kinds {
            if point < kind.weight {
                return *kind;
            }
            point -= kind.weight;
        }
        self.request_kinds[0]
    }

    /// Sends a request to a random entry node and counts its outcome.
    async fn send(
        &mut self,
        client: &reqwest::Client,
        kind: &RequestKind,
        path: &str,
        key: Option<&str>,
        tally: &mut Tally,
    ) {
        let entry = self.entry_addrs[self.rng.random_range(0..self.entry_addrs.len())];
        let url = format!(
            "http://{entry}{path}?work_ms={}&bytes={}",
            kind.work_ms, kind.response_bytes
        );
        let method = kind.method.parse().unwrap_or(reqwest::Method::GET);
        let mut req = client.request(method, url).header(wire::CALLER, &self.name);
        if kind.upload_bytes > 0 {
            req = req.body(vec![b'u'; kind.upload_bytes]);
        }
        if let Some(key) = key {
            req = req.header("idempotency-key", key);
        }
        tokio::time::sleep(self.one_way_latency).await;
        tally.sent += 1;
        let outcome = classify(req.send().await, kind, path).await;
        tokio::time::sleep(self.one_way_latency).await;
        if let Some(key) = key {
            *tally.may_have_run.entry(key.to_owned()).or_default() |=
                !matches!(outcome, Outcome::NotRun(_));
        }
        match outcome {
            Outcome::Complete => tally.complete += 1,
            Outcome::NotRun(code) | Outcome::Unknown(code) => {
                *tally.refusals.entry(code).or_default() += 1;
            }
            Outcome::Failed => tally.failed += 1,
            Outcome::Mismatch(what) => tally.mismatches.push(what),
        }
    }
}

/// Outcome of a request, as seen by its caller.
enum Outcome {
    /// The response is complete and matches the request.
    Complete,
    /// Refused with this result code, and stated not to have run.
    NotRun(u16),
    /// Failed with this result code; the request may have run.
    Unknown(u16),
    /// No complete response, with a visible error.
    Failed,
    /// The response seems complete but doesn't match the request.
    Mismatch(String),
}

/// Classifies the outcome of a request of `kind` to `path`.
async fn classify(
    res: Result<reqwest::Response, reqwest::Error>,
    kind: &RequestKind,
    path: &str,
) -> Outcome {
    let Ok(res) = res else { return Outcome::Failed };
    let header = |name: &str| {
        res.headers()
            .get(name)
            .and_then(|v| v.to_str().ok())
            .map(str::to_owned)
    };
    let code = header(wire::CODE).and_then(|c| c.parse().ok());
    let not_run = header(wire::EXECUTED).as_deref() == Some("no");
    let status = res.status();
    let Ok(body) = res.bytes().await else {
        return Outcome::Failed;
    };
    match code {
        Some(code) if not_run => return Outcome::NotRun(code),
        Some(code) => return Outcome::Unknown(code),
        None => {}
    }
    let expected_head = format!("path={path} received={}\n", kind.upload_bytes);
    let length = kind.response_bytes.max(expected_head.len());
    if status.is_success() && body.starts_with(expected_head.as_bytes()) && body.len() == length {
        return Outcome::Complete;
    }
    Outcome::Mismatch(format!(
        "{path}: status {status}, body of {} bytes, expected status 2xx and {length} bytes",
        body.len()
    ))
}
