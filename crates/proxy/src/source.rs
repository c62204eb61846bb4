//! The log in which versions and nodes are found.
//!
//! Each start costs one record and one read in the stream of nodes: a node adds itself and then
//! reads who else is there, so of two nodes that start at once at least one sees the other, and
//! its introduction makes it known to all that it connects to.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use ops::Metric;
use plat::{LogError, decode_keyed, encode_keyed};
use rand::Rng;
use wire::Offset;

use crate::link::context;
use crate::message::VersionText;
use crate::shared::{Phase, Shared, pause};
use crate::versions::Adopted;

/// Wait of one long poll; the longest that common logs allow, since each poll is priced.
const POLL_WAIT: Duration = Duration::from_secs(30);
/// First and longest wait after a failed call. The longest stays well inside the 2 s in which a
/// version must be applied after the log is back.
const MIN_BACKOFF: Duration = Duration::from_millis(100);
const MAX_BACKOFF: Duration = Duration::from_millis(800);
/// Time that the log has to deliver a version of which another node has told.
const PEER_LEAD: Duration = Duration::from_millis(150);
const PEER_TIMEOUT: Duration = Duration::from_millis(800);

/// Adds the own node to the stream of nodes and reads the others.
pub(crate) async fn register(shared: Arc<Shared>) {
    let mut backoff = Backoff::new();
    while let Err(e) = try_register(&shared).await {
        shared.metrics.count(Metric::LogFailures);
        log::warn!(event = "register_failed", error:% = e; "the log did not take or tell the nodes");
        if !pause(&shared, backoff.next(&shared)).await {
            return;
        }
    }
}

async fn try_register(shared: &Shared) -> Result<(), LogError> {
    let source = &shared.settings.source;
    let link = shared.settings.link.to_string();
    let Ok(record) = encode_keyed(link.as_bytes(), b"1") else {
        // The text of an address is far shorter than the longest key.
        return Ok(());
    };
    shared.metrics.count(Metric::LogAppends);
    source.log.append(&source.node_stream, vec![record]).await?;
    let newest = source.log.newest(&source.node_stream).await?;
    log::info!(event = "registered", nodes = newest.records.len(); "the nodes were read from the log");
    for record in newest.records {
        match std::str::from_utf8(&record.key).map(str::parse::<SocketAddr>) {
            Ok(Ok(link)) => shared.add_peer(link),
            Ok(Err(_)) | Err(_) => {
                log::warn!(event = "bad_node_record", offset = record.offset.0; "not an address, ignored");
            }
        }
    }
    Ok(())
}

/// Follows the versions in the log, and asks other nodes for those that the log does not deliver.
pub(crate) async fn follow_versions(shared: Arc<Shared>) {
    let mut from: Option<Offset> = None;
    let mut backoff = Backoff::new();
    let mut reachable = true;
    loop {
        let step = tokio::select! {
            step = read_step(&shared, from) => step,
            () = ask_peers_when_behind(&shared) => continue,
            () = shared.reached(Phase::Stopped) => return,
        };
        match step {
            Ok(next) => {
                from = Some(next);
                backoff = Backoff::new();
                if !reachable {
                    log::info!(event = "log_regained"; "the log answers again");
                }
                reachable = true;
            }
            Err(LogError::Expired { .. }) => from = None,
            Err(e) => {
                shared.metrics.count(Metric::LogFailures);
                if reachable {
                    log::warn!(event = "log_lost", error:% = e; "the log does not answer");
                }
                reachable = false;
                let wait = backoff.next(&shared);
                tokio::select! {
                    goes_on = pause(&shared, wait) => if !goes_on { return },
                    () = ask_peers_when_behind(&shared) => {}
                }
            }
        }
    }
}

/// Reads the newest version, or waits for records after `from`; returns where to read on.
async fn read_step(shared: &Shared, from: Option<Offset>) -> Result<Offset, LogError> {
    let source = &shared.settings.source;
    let key = source.version_key.as_bytes();
    let Some(from) = from else {
        let newest = source.log.newest(&source.version_stream).await?;
        for record in newest.records.into_iter().filter(|r| r.key == key) {
            adopt(shared, record.value.into(), "log");
        }
        return Ok(newest.end);
    };
    let batch = source
        .log
        .read(&source.version_stream, from, POLL_WAIT)
        .await?;
    let next = batch
        .records
        .last()
        .map_or(from.max(batch.end), |r| Offset(r.offset.0 + 1));
    // Of several versions only the newest is put in force.
    let versions = batch.records.iter().rev().filter_map(|r| {
        let keyed = decode_keyed(r.offset, &r.data);
        if let Err(e) = &keyed {
            log::warn!(event = "bad_record", offset = r.offset.0, error:% = e; "ignored");
        }
        keyed.ok()
    });
    for record in versions.filter(|r| r.key == key && !r.value.is_empty()) {
        if adopt(shared, record.value.into(), "log") {
            break;
        }
    }
    Ok(next)
}

/// Puts a text in force if it is newer and valid; returns whether it was readable.
fn adopt(shared: &Shared, text: Bytes, origin: &str) -> bool {
    match shared.versions.adopt(text) {
        Ok(Adopted::Yes { version }) => {
            shared.metrics.count(Metric::VersionsApplied);
            shared.metrics.set(Metric::Version, version);
            log::info!(event = "version", version, origin; "a routing table is in force");
            forget_old_routes(shared);
            shared.status_changed.notify_one();
            true
        }
        Ok(Adopted::NotNewer { version }) => {
            log::debug!(event = "version_not_newer", version, origin; "ignored");
            true
        }
        Err(e) => {
            shared.metrics.count(Metric::PublicationsRejected);
            log::warn!(event = "version_refused", origin, error:% = e; "the version in force stays");
            false
        }
    }
}

fn forget_old_routes(shared: &Shared) {
    if let Some(table) = shared.versions.table() {
        let names: std::collections::HashSet<_> = table.rules().map(|r| r.name.clone()).collect();
        shared.splitter.lock().retain(|name| names.contains(name));
    }
}

/// Waits until another node has told of a newer version, gives the log a moment to deliver it, and
/// fetches it from the nodes otherwise. Returns when the log should be read anew.
async fn ask_peers_when_behind(shared: &Shared) {
    loop {
        shared.version_behind.notified().await;
        let known = shared.versions.number();
        let mut changes = shared.versions.changes();
        let delivered = changes.wait_for(|v| *v > known);
        if tokio::time::timeout(PEER_LEAD, delivered).await.is_ok() {
            continue;
        }
        if let Some(newer) = ask_peers(shared, known).await {
            adopt(shared, newer.text, "node");
            return;
        }
    }
}

async fn ask_peers(shared: &Shared, than: u64) -> Option<VersionText> {
    let clients = shared.peers.lock().clients();
    for (_, client) in clients {
        let asked = client.newer_version(context(PEER_TIMEOUT), than);
        if let Ok(Ok(Some(newer))) = tokio::time::timeout(PEER_TIMEOUT, asked).await {
            return Some(newer);
        }
    }
    None
}

/// Exponential back-off with full jitter.
struct Backoff(Duration);

impl Backoff {
    fn new() -> Backoff {
        Backoff(MIN_BACKOFF)
    }

    fn next(&mut self, shared: &Shared) -> Duration {
        let unit = f64::from(shared.rng.lock().next_u32()) / f64::from(u32::MAX);
        let wait = self.0.mul_f64(0.5 + unit / 2.0);
        self.0 = (self.0 * 2).min(MAX_BACKOFF);
        wait
    }
}
