//! The log in which versions and nodes are found.
//!
//! Each start costs one record and one read in the stream of nodes: a node adds itself and then
//! reads who else is there, so of two nodes that start at once at least one sees the other, and
//! its introduction makes it known to all that it connects to.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use config::RoutingDeltaError;
use ops::Metric;
use plat::{LogError, decode_keyed, encode_keyed};
use rand::Rng;
use wire::Offset;

use crate::link::context;
use crate::message::{ReaderAnnouncement, VersionUpdate};
use crate::peers::PeerKey;
use crate::readers::READER_INTERVAL;
use crate::shared::{Phase, Shared, sleep_unless_stopped};
use crate::versions::{Adopted, VersionError};

/// Wait of one long poll; the longest that common logs allow, since each poll is priced.
const POLL_WAIT: Duration = Duration::from_secs(30);
/// First and longest wait after a failed call. The longest stays well inside the 2 s in which a
/// version must be applied after the log is back.
const MIN_BACKOFF: Duration = Duration::from_millis(100);
const MAX_BACKOFF: Duration = Duration::from_millis(800);
/// Least time between two reads, so that versions in quick succession are read as one. Texts of
/// 100 KB are a tenth of a second of the slowest links, and a version must be applied within 2 s.
const READ_GAP: Duration = Duration::from_millis(600);
/// Time between looks at whether this node should read.
const ROLE_INTERVAL: Duration = Duration::from_millis(400);
/// Time that the log has to deliver a version of which another node has told.
const PEER_LEAD: Duration = Duration::from_millis(700);
const PEER_TIMEOUT: Duration = Duration::from_millis(800);
/// Time for the update of another node; a whole text is a tenth of a second of the slowest links,
/// and asking again too soon makes a full link fuller.
const UPDATE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Nodes asked for one update; more would only repeat that there is none.
const MAX_ASKED: usize = 4;

/// Adds the own node to the stream of nodes and reads the others.
pub(crate) async fn register(shared: Arc<Shared>) {
    let mut backoff = Backoff::new();
    while let Err(e) = try_register(&shared).await {
        shared.metrics.count(Metric::LogFailures);
        log::warn!(event = "register_failed", error:% = e; "the log did not take or tell the nodes");
        if !sleep_unless_stopped(&shared, backoff.next(&shared)).await {
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

/// Follows the versions in the log while this node is one that reads.
pub(crate) async fn follow_versions(shared: Arc<Shared>) {
    let mut from: Option<Offset> = None;
    let mut backoff = Backoff::new();
    loop {
        let step = tokio::select! {
            step = read_step(&shared, from) => step,
            () = relieved(&shared) => {
                shared.is_log_readable.store(false, Ordering::Relaxed);
                if !idle_until_needed(&shared).await {
                    return;
                }
                // Too much may have been written since to read all of it.
                from = None;
                continue;
            }
            () = shared.wait_for_phase(Phase::Stopped) => return,
        };
        let wait = match step {
            Ok(Step { next, burst }) => {
                from = (!burst).then_some(next);
                backoff = Backoff::new();
                if !shared.is_log_readable.swap(true, Ordering::Relaxed) {
                    log::info!(event = "log_regained"; "the log answers");
                }
                READ_GAP
            }
            Err(LogError::Expired { .. }) => {
                from = None;
                Duration::ZERO
            }
            Err(e) => {
                shared.metrics.count(Metric::LogFailures);
                if shared.is_log_readable.swap(false, Ordering::Relaxed) {
                    log::warn!(event = "log_lost", error:% = e; "the log does not answer");
                }
                backoff.next(&shared)
            }
        };
        if !sleep_unless_stopped(&shared, wait).await {
            return;
        }
    }
}

/// Waits until this node has a version and others read for it.
async fn relieved(shared: &Shared) {
    while shared.versions.number() == 0 || shared.should_read(shared.now()) {
        tokio::time::sleep(ROLE_INTERVAL).await;
    }
}

/// Waits until this node has to read. Returns whether it goes on.
async fn idle_until_needed(shared: &Shared) -> bool {
    loop {
        if !sleep_unless_stopped(shared, ROLE_INTERVAL).await {
            return false;
        }
        if shared.should_read(shared.now()) {
            return true;
        }
    }
}

/// Tells other nodes, while this node reads, of its version and that its reads succeed.
pub(crate) async fn speak_as_reader(shared: Arc<Shared>) {
    let mut changes = shared.versions.changes();
    let mut spoken = 0;
    loop {
        tokio::select! {
            goes_on = sleep_unless_stopped(&shared, READER_INTERVAL) => if !goes_on { return },
            // The sender lives as long as `shared`.
            _ = changes.changed() => {}
        }
        let can_read = shared.is_log_readable.load(Ordering::Relaxed);
        if !can_read || shared.versions.number() == 0 {
            continue;
        }
        let delta = shared.versions.difference_from(spoken);
        spoken = shared.versions.number();
        let word = ReaderAnnouncement {
            link: shared.settings.link,
            version: spoken,
            can_read,
            delta,
        };
        for client in shared
            .peers
            .lock()
            .reader_recipients(&shared.settings.domain)
        {
            let word = word.clone();
            shared.tasks.spawn(async move {
                // The next word makes up for a lost one.
                let _ = client.announce_reader(context(PEER_TIMEOUT), word).await;
            });
        }
    }
}

/// Takes the difference that came with a reader's word. Where it does not fit, the version is asked
/// for.
pub(crate) fn take_difference(shared: &Shared, version: u64, delta: &VersionUpdate) {
    if version <= shared.versions.number() {
        return;
    }
    match shared.versions.adopt_update(delta) {
        Err(VersionError::Update {
            source: RoutingDeltaError::BaseMismatch,
        }) => {}
        adopted => {
            note_adopted(shared, adopted, "reader");
        }
    }
}

/// A read of the log.
struct Step {
    /// Where to read on.
    next: Offset,
    /// Whether several versions came at once, so that reading the newest one only is cheaper.
    burst: bool,
}

/// Reads the newest version, or waits for records after `from`; returns where to read on.
async fn read_step(shared: &Shared, from: Option<Offset>) -> Result<Step, LogError> {
    let source = &shared.settings.source;
    let key = source.version_key.as_bytes();
    let Some(from) = from else {
        let newest = source.log.newest(&source.version_stream).await?;
        for record in newest.records.into_iter().filter(|r| r.key == key) {
            adopt(shared, &record.value, "log");
        }
        return Ok(Step {
            next: newest.end,
            burst: false,
        });
    };
    let batch = source
        .log
        .read(&source.version_stream, from, POLL_WAIT)
        .await?;
    let next = batch
        .records
        .last()
        .map_or(from.max(batch.end), |r| Offset(r.offset.0 + 1));
    let burst = batch.records.len() > 1;
    // Of several versions only the newest is put in force.
    let versions = batch.records.iter().rev().filter_map(|r| {
        let keyed = decode_keyed(r.offset, &r.data);
        if let Err(e) = &keyed {
            log::warn!(event = "bad_record", offset = r.offset.0, error:% = e; "ignored");
        }
        keyed.ok()
    });
    for record in versions.filter(|r| r.key == key && !r.value.is_empty()) {
        if adopt(shared, &record.value, "log") {
            break;
        }
    }
    Ok(Step { next, burst })
}

/// Puts a text in force if it is newer and valid; returns whether it was readable.
fn adopt(shared: &Shared, text: &[u8], origin: &str) -> bool {
    let adopted = shared.versions.adopt(text);
    note_adopted(shared, adopted, origin)
}

/// Logs what became of a text and does what follows; returns whether the text was readable.
fn note_adopted(shared: &Shared, adopted: Result<Adopted, VersionError>, origin: &str) -> bool {
    match adopted {
        Ok(Adopted::Yes { version }) => {
            shared.metrics.count(Metric::VersionsApplied);
            shared.metrics.set(Metric::Version, version);
            log::info!(event = "version", version, origin; "a routing table is in force");
            forget_old_routes(shared);
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
        shared
            .attempt_ages
            .lock()
            .retain(|name| names.contains(name));
        shared
            .response_sizes
            .lock()
            .retain(|name| names.contains(name));
    }
}

/// Asks other nodes for a newer version whenever one of them has told of it.
pub(crate) async fn follow_peers(shared: Arc<Shared>) {
    let mut last = None;
    loop {
        tokio::select! {
            () = shared.version_behind.notified() => {}
            () = shared.wait_for_phase(Phase::Stopped) => return,
        }
        // A node that reads gets most versions from the log at the same time.
        if shared.is_log_readable.load(Ordering::Relaxed)
            && !sleep_unless_stopped(&shared, PEER_LEAD).await
        {
            return;
        }
        last = ask_peers(&shared, last).await;
    }
}

/// Asks one node after the other; returns the one that brought a newer version.
async fn ask_peers(shared: &Shared, last: Option<PeerKey>) -> Option<PeerKey> {
    let than = shared.versions.number();
    let sources = shared
        .peers
        .lock()
        .update_sources(&shared.settings.domain, than, last);
    for (key, client) in sources.into_iter().take(MAX_ASKED) {
        if shared.versions.number() > than {
            return last;
        }
        let asked = client.update_from(context(UPDATE_TIMEOUT), than);
        let Ok(Ok(Some(update))) = tokio::time::timeout(UPDATE_TIMEOUT, asked).await else {
            continue;
        };
        let adopted = shared.versions.adopt_update(&update);
        if note_adopted(shared, adopted, "node") {
            return Some(key);
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
