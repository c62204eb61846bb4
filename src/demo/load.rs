//! The callers of the demo.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::ops::AddAssign;
use std::sync::Arc;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::task::JoinHandle;

use super::mesh::Mesh;
use super::site::{Kind, Site};
use crate::util;

/// Callers that send one request after another.
const CALLERS: usize = 12;
/// One in this many requests that must not be repeated is sent twice with one key.
const REPEAT_ONE_IN: usize = 5;

/// What the callers saw.
#[derive(Clone, Debug, Default)]
pub(crate) struct Tally {
    pub(crate) sent: usize,
    pub(crate) whole: usize,
    /// Refusals by code.
    pub(crate) refused: BTreeMap<u16, usize>,
    /// Answers that ended early, visibly.
    pub(crate) broken: usize,
    /// Answers that looked whole and were not the request's own.
    pub(crate) wrong: Vec<String>,
    /// Keys by whether some request with them was answered or may have run.
    pub(crate) keys: BTreeMap<String, bool>,
}

impl AddAssign for Tally {
    fn add_assign(&mut self, other: Tally) {
        self.sent += other.sent;
        self.whole += other.whole;
        for (code, n) in other.refused {
            *self.refused.entry(code).or_default() += n;
        }
        self.broken += other.broken;
        self.wrong.extend(other.wrong);
        for (key, ran) in other.keys {
            *self.keys.entry(key).or_default() |= ran;
        }
    }
}

/// Starts the callers and returns their common tally.
pub(crate) fn start(mesh: &Mesh, site: &Site, requests: usize, seed: u64) -> JoinHandle<Tally> {
    let entries: Arc<[SocketAddr]> = mesh.places.iter().map(|p| p.addresses.callers).collect();
    let (kinds, latency) = (site.kinds, site.caller_latency);
    tokio::spawn(async move {
        let callers = (0..CALLERS).map(|c| {
            let share = requests / CALLERS + usize::from(c < requests % CALLERS);
            let name = format!("{seed}-{c}");
            let rng = StdRng::seed_from_u64(seed.wrapping_mul(1_000).wrapping_add(c as u64));
            let caller = Caller {
                name,
                entries: entries.clone(),
                kinds,
                latency,
                rng,
            };
            tokio::spawn(caller.run(share))
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
    entries: Arc<[SocketAddr]>,
    kinds: &'static [Kind],
    latency: Duration,
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
            let key = kind.once.then(|| format!("demo-{}-{i}", self.name));
            self.send(&client, &kind, &path, key.as_deref(), &mut tally)
                .await;
            if kind.once && i % REPEAT_ONE_IN == 0 {
                self.send(&client, &kind, &path, key.as_deref(), &mut tally)
                    .await;
            }
        }
        tally
    }

    fn pick_kind(&mut self) -> Kind {
        let total: u32 = self.kinds.iter().map(|k| k.weight).sum();
        let mut at = self.rng.random_range(0..total);
        for kind in self.kinds {
            if at < kind.weight {
                return *kind;
            }
            at -= kind.weight;
        }
        self.kinds[0]
    }

    async fn send(
        &mut self,
        client: &reqwest::Client,
        kind: &Kind,
        path: &str,
        key: Option<&str>,
        tally: &mut Tally,
    ) {
        let entry = self.entries[self.rng.random_range(0..self.entries.len())];
        let url = format!(
            "http://{entry}{path}?work_ms={}&bytes={}",
            kind.work_ms, kind.bytes
        );
        let method = kind.method.parse().unwrap_or(reqwest::Method::GET);
        let mut req = client.request(method, url).header(wire::CALLER, &self.name);
        if kind.upload > 0 {
            req = req.body(vec![b'u'; kind.upload]);
        }
        if let Some(key) = key {
            req = req.header("idempotency-key", key);
        }
        tokio::time::sleep(self.latency).await;
        tally.sent += 1;
        let seen = judge(req.send().await, kind, path).await;
        tokio::time::sleep(self.latency).await;
        if let Some(key) = key {
            *tally.keys.entry(key.to_owned()).or_default() |= !matches!(seen, Seen::NotRun(_));
        }
        match seen {
            Seen::Whole => tally.whole += 1,
            Seen::NotRun(code) | Seen::Unknown(code) => {
                *tally.refused.entry(code).or_default() += 1;
            }
            Seen::Broken => tally.broken += 1,
            Seen::Wrong(what) => tally.wrong.push(what),
        }
    }
}

enum Seen {
    Whole,
    NotRun(u16),
    Unknown(u16),
    Broken,
    Wrong(String),
}

async fn judge(sent: Result<reqwest::Response, reqwest::Error>, kind: &Kind, path: &str) -> Seen {
    let Ok(res) = sent else { return Seen::Broken };
    let text = |name: &str| {
        res.headers()
            .get(name)
            .and_then(|v| v.to_str().ok())
            .map(str::to_owned)
    };
    let code = text(wire::CODE).and_then(|c| c.parse().ok());
    let not_run = text(wire::EXECUTED).as_deref() == Some("no");
    let status = res.status();
    let Ok(body) = res.bytes().await else {
        return Seen::Broken;
    };
    match code {
        Some(code) if not_run => return Seen::NotRun(code),
        Some(code) => return Seen::Unknown(code),
        None => {}
    }
    let head = format!("path={path} received={}\n", kind.upload);
    let length = kind.bytes.max(head.len());
    if status.is_success() && body.starts_with(head.as_bytes()) && body.len() == length {
        return Seen::Whole;
    }
    Seen::Wrong(format!(
        "{path}: status {status}, {} of {length} bytes",
        body.len()
    ))
}
