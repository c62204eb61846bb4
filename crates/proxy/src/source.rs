//! Registration of this node in the log, and the sources of new versions: the log and peers.
//!
//! A node first appends its address to the node stream and then reads the others, which costs one
//! record and one read for each start. Of two nodes that start at the same time, at least one reads
//! the other's address this way. It connects to the other node, and its `hello` call makes it known
//! there. The same read returns the recorded departures of the node's target.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use config::RoutingDeltaError;
use ops::Metric;
use plat::{LogError, decode_keyed, encode_keyed, no_response_error};
use rand::Rng;
use wire::Offset;

use crate::departures;
use crate::link::context;
use crate::message::{ReaderAnnouncement, VersionUpdate};
use crate::peers::PeerKey;
use crate::readers::READER_ANNOUNCE_INTERVAL;
use crate::rollouts;
use crate::settings::Bounds;
use crate::shared::{Phase, Shared, sleep_unless_stopped};
use crate::versions::{Adoption, VersionError};

/// Longest wait of one long poll of the log; common logs allow no longer one.
const MAX_POLL_WAIT: Duration = Duration::from_secs(30);
/// Time for the log to reply beyond the wait of a poll, before the poll counts as lost.
const POLL_MARGIN: Duration = Duration::from_secs(1);
/// Shortest wait of a long poll, and shortest time limit of a read, for deployments with very short
/// bounds.
const MIN_READ_TIME: Duration = Duration::from_millis(500);
/// Reading a version again after a lost call, and its way to all nodes, take at most
/// `Bounds::apply_time` divided by this.
const SPREAD_TIME_DIVISOR: u32 = 4;
/// A long poll takes at most `Bounds::revoke_time` divided by this: its end proves that no key has been
/// taken away, and one lost poll and the way to all nodes have to fit in too.
const REVOKE_POLL_DIVISOR: u32 = 5;
/// Backoff after the first failed call to the log.
const MIN_BACKOFF: Duration = Duration::from_millis(100);
/// Longest backoff after failed calls, well within the 2 s in which a version must be applied after
/// the log has recovered.
const MAX_BACKOFF: Duration = Duration::from_millis(800);
/// Wait between two reads, so that versions in quick succession are read together. A configuration
/// text of 100 KB takes a tenth of a second on the slowest links, so with this wait a version is
/// still applied within the required 2 s.
const MIN_READ_INTERVAL: Duration = Duration::from_millis(600);
/// Time between checks whether this node should read the log.
const ROLE_CHECK_INTERVAL: Duration = Duration::from_millis(400);
/// Time that a reader waits for the log to deliver a version that another node has announced,
/// before it asks peers.
const LOG_DELIVERY_WAIT: Duration = Duration::from_millis(700);
/// Timeout of an announcement to a peer.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_millis(800);
/// Timeout of a request for an update. A whole configuration text takes a tenth of a second on the
/// slowest links, and asking again too early adds load to a saturated link.
const UPDATE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Largest number of peers that are asked for one update; further peers would very likely have no
/// newer version either.
const MAX_PEERS_ASKED: usize = 4;

/// A registration of this node, which holds until the log is restored.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Registration {
    /// Restores of the log when it listed the registration.
    pub(crate) restores: Option<u64>,
}

/// Registers this node in the node stream and adds the nodes found there as peers. Retries until it
/// succeeds. Returns `None` if the node stops.
pub(crate) async fn register(shared: &Shared) -> Option<Registration> {
    let mut backoff = Backoff::new();
    loop {
        match try_register(shared).await {
            Ok(registration) => return Some(registration),
            Err(e) => {
                shared.metrics.count(Metric::LogFailures);
                log::warn!(event = "register_failed", error:% = e; "could not register this node in the log or read the other nodes from it; retrying after a backoff");
            }
        }
        if !sleep_unless_stopped(shared, backoff.next(shared)).await {
            return None;
        }
    }
}

async fn try_register(shared: &Shared) -> Result<Registration, LogError> {
    let source = &shared.settings.source;
    let peer_addr = shared.settings.peer_addr.to_string();
    let Ok(record) = encode_keyed(peer_addr.as_bytes(), b"1") else {
        // Not reached: an address is far shorter than the longest key.
        return Ok(Registration {
            restores: source.log.restores().count(),
        });
    };
    shared.metrics.count(Metric::LogAppends);
    source.log.append(&source.node_stream, vec![record]).await?;
    let newest = source.log.read_newest(&source.node_stream).await?;
    let (departures, nodes): (Vec<_>, Vec<_>) = newest
        .records
        .into_iter()
        .partition(departures::is_departure);
    if !nodes.iter().any(|r| r.key == peer_addr.as_bytes()) {
        return Err(no_response_error(
            "the log was restored from a copy without this node",
        ));
    }
    log::info!(event = "registered", nodes = nodes.len(); "registered this node in the log and read the registered nodes");
    departures::load(shared, &departures);
    for record in nodes {
        match parse_link(&record.key) {
            Some(link) => shared.add_peer(link),
            None => {
                log::warn!(event = "bad_node_record", offset = record.offset.0; "the key of a record in the node stream is not an address; ignoring the record");
            }
        }
    }
    shared.set_registered(shared.now());
    Ok(Registration {
        restores: newest.restores,
    })
}

/// Returns the link address that the key of a node's record names, if a node can have it.
fn parse_link(key: &[u8]) -> Option<SocketAddr> {
    let link: SocketAddr = std::str::from_utf8(key).ok()?.parse().ok()?;
    let is_usable = link.port() != 0 && !link.ip().is_unspecified() && !link.ip().is_multicast();
    is_usable.then_some(link)
}

/// Reads new versions from the log while this node has none or should read the log, until the node
/// stops.
pub(crate) async fn follow_versions(shared: Arc<Shared>) {
    // `None` to read the newest version of the stream.
    let mut from: Option<Position> = None;
    let mut backoff = Backoff::new();
    let times = ReadTimes::from(&shared.settings.bounds);
    loop {
        let result = tokio::select! {
            result = read_versions(&shared, from, times) => result,
            () = wait_until_invalid(&shared, from) => {
                from = None;
                continue;
            }
            () = wait_until_relieved(&shared) => {
                shared.is_log_readable.store(false, Ordering::Relaxed);
                if !wait_until_needed(&shared).await {
                    return;
                }
                // Resumes at the newest version: too many records may have been appended since.
                from = None;
                continue;
            }
            () = shared.wait_for_phase(Phase::Stopped) => return,
        };
        let wait = match result {
            Ok(next) => {
                from = next;
                backoff = Backoff::new();
                if !shared.is_log_readable.swap(true, Ordering::Relaxed) {
                    log::info!(event = "log_regained"; "reads of versions from the log succeed");
                }
                MIN_READ_INTERVAL
            }
            Err(LogError::Expired { .. }) => {
                from = None;
                Duration::ZERO
            }
            Err(e) => {
                shared.metrics.count(Metric::LogFailures);
                if shared.is_log_readable.swap(false, Ordering::Relaxed) {
                    log::warn!(event = "log_lost", error:% = e; "could not read versions from the log; retrying with backoff, and peers may supply versions");
                }
                // Unlike a long poll, a read of the newest version returns at once, so that the end
                // of an outage is noticed soon.
                from = None;
                backoff.next(&shared)
            }
        };
        if !sleep_unless_stopped(&shared, wait).await {
            return;
        }
    }
}

/// Where a reader goes on in the version stream.
#[derive(Clone, Copy, Debug)]
struct Position {
    offset: Offset,
    /// Restores of the log when it named the offset. After the next one, the offset may lie beyond
    /// records that have not been read.
    restores: Option<u64>,
}

/// Waits until the log has been restored since it named the position.
async fn wait_until_invalid(shared: &Shared, position: Option<Position>) {
    let Some(Position { restores, .. }) = position else {
        return std::future::pending().await;
    };
    let log = &shared.settings.source.log;
    log.restores().wait_beyond(restores).await;
}

/// How long reads of versions take at most.
#[derive(Clone, Copy, Debug)]
struct ReadTimes {
    /// Wait of a long poll for records. It counts as lost `POLL_MARGIN` later.
    poll_wait: Duration,
    /// Time limit of a read of the newest version.
    newest_limit: Duration,
}

impl From<&Bounds> for ReadTimes {
    /// A connection to the log may fall silent under a call without any sign of it, and a version may
    /// be published meanwhile. `Bounds::recovery_time` after the fault it must be in force. So a lost
    /// call is given up early enough for the next one and for the way of the version to all nodes.
    fn from(bounds: &Bounds) -> ReadTimes {
        let spread_time = bounds.apply_time / SPREAD_TIME_DIVISOR;
        let limit = bounds.recovery_time.saturating_sub(spread_time);
        let wait = limit.saturating_sub(MIN_BACKOFF + POLL_MARGIN);
        let longest = bounds
            .revoke_time
            .map_or(MAX_POLL_WAIT, |t| t / REVOKE_POLL_DIVISOR);
        ReadTimes {
            poll_wait: wait.min(longest).clamp(MIN_READ_TIME, MAX_POLL_WAIT),
            newest_limit: limit.saturating_sub(MAX_BACKOFF).max(MIN_READ_TIME),
        }
    }
}

/// Waits until this node has a version and need not read the log any more.
async fn wait_until_relieved(shared: &Shared) {
    while shared.versions.number() == 0 || shared.should_read(shared.now()) {
        tokio::time::sleep(ROLE_CHECK_INTERVAL).await;
    }
}

/// Waits until this node has to read the log. Returns `false` if the node stops.
async fn wait_until_needed(shared: &Shared) -> bool {
    loop {
        if !sleep_unless_stopped(shared, ROLE_CHECK_INTERVAL).await {
            return false;
        }
        if shared.should_read(shared.now()) {
            return true;
        }
    }
}

/// Announces this node's version to peers while its reads of the log succeed.
pub(crate) async fn announce_as_reader(shared: Arc<Shared>) {
    let mut changes = shared.versions.changes();
    let mut announced_version = 0;
    loop {
        tokio::select! {
            is_running = sleep_unless_stopped(&shared, READER_ANNOUNCE_INTERVAL) => if !is_running { return },
            // The sender lives as long as `shared`.
            _ = changes.changed() => {}
        }
        let can_read = shared.is_log_readable.load(Ordering::Relaxed);
        if !can_read || shared.versions.number() == 0 {
            continue;
        }
        let delta = shared.versions.delta_from(announced_version);
        announced_version = shared.versions.number();
        let announcement = ReaderAnnouncement {
            link: shared.settings.peer_addr,
            version: announced_version,
            can_read,
            delta,
            orders: rollouts::known_orders(&shared),
        };
        for client in shared
            .peers
            .lock()
            .reader_recipients(&shared.settings.domain)
        {
            let announcement = announcement.clone();
            shared.tasks.spawn(async move {
                // The next announcement makes up for a lost one.
                let _ = client
                    .announce_reader(context(ANNOUNCE_TIMEOUT), announcement)
                    .await;
            });
        }
    }
}

/// Applies the delta to `version` in a reader's announcement. A delta whose base is not the version
/// in force is ignored; the update is then requested from a peer.
pub(crate) fn apply_announced_delta(shared: &Shared, version: u64, delta: &VersionUpdate) {
    if version <= shared.versions.number() {
        return;
    }
    match shared.versions.adopt_update(delta) {
        Err(VersionError::Update {
            source: RoutingDeltaError::BaseMismatch,
        }) => {}
        adopted => {
            handle_adoption(shared, adopted, "reader");
        }
    }
}

/// Waits for records at `from` or later and applies the newest valid version among them. If `from`
/// is `None`, applies the newest version of the stream. Returns where the next read starts, `None` for
/// the newest version.
async fn read_versions(
    shared: &Shared,
    from: Option<Position>,
    times: ReadTimes,
) -> Result<Option<Position>, LogError> {
    let source = &shared.settings.source;
    let key = source.version_key.as_bytes();
    let Some(from) = from else {
        let read = source.log.read_newest(&source.version_stream);
        let asked_at = shared.now();
        let newest = reply_within(times.newest_limit, read).await?;
        rollouts::learn(shared, newest.records.iter());
        let mut is_usable = true;
        for record in newest.records.into_iter().filter(|r| r.key == key) {
            is_usable &= adopt(shared, &record.value, "log");
        }
        if is_usable {
            shared.record_log_proof(asked_at);
        }
        return Ok(Some(Position {
            offset: newest.end,
            restores: newest.restores,
        }));
    };
    let wait = times.poll_wait;
    let asked_at = shared.now();
    let read = source.log.read(&source.version_stream, from.offset, wait);
    let batch = reply_within(wait + POLL_MARGIN, read).await?;
    if batch.restores > from.restores {
        return Ok(None);
    }
    let next_offset = batch
        .records
        .last()
        .map_or(from.offset.max(batch.end), |r| Offset(r.offset.0 + 1));
    // Of several records at once, only the newest version matters, and reading that next is cheaper.
    let is_burst = batch.records.len() > 1;
    let records = batch.records.iter().filter_map(|r| {
        let keyed = decode_keyed(r.offset, &r.data);
        if let Err(e) = &keyed {
            log::warn!(event = "bad_record", offset = r.offset.0, error:% = e; "ignored");
        }
        keyed.ok()
    });
    let records: Vec<_> = records.collect();
    rollouts::learn(shared, records.iter());
    // Of several versions only the newest readable one is applied.
    let versions = records.iter().rev();
    let mut is_usable = true;
    for record in versions.filter(|r| r.key == key && !r.value.is_empty()) {
        is_usable = adopt(shared, &record.value, "log");
        if is_usable {
            break;
        }
    }
    if is_usable {
        // A reply without records says that there were none when its wait had ended.
        let waited = if records.is_empty() {
            wait
        } else {
            Duration::ZERO
        };
        let at = (asked_at + waited).min(shared.now());
        shared.record_log_proof(at);
    }
    let next = Position {
        offset: next_offset,
        ..from
    };
    Ok((!is_burst).then_some(next))
}

/// Waits for the reply to a read, at most for `limit`.
async fn reply_within<T>(
    limit: Duration,
    read: impl Future<Output = Result<T, LogError>>,
) -> Result<T, LogError> {
    let reply = tokio::time::timeout(limit, read).await;
    reply.unwrap_or_else(|_| {
        let ms = limit.as_millis();
        Err(no_response_error(format_args!("no reply within {ms} ms")))
    })
}

/// Puts the version in a configuration text in force if it is valid and newer. Returns `false` if
/// it was rejected.
fn adopt(shared: &Shared, text: &[u8], origin: &str) -> bool {
    let adopted = shared.versions.adopt(text);
    handle_adoption(shared, adopted, origin)
}

/// Logs and counts the result of an adoption, and drops the state of removed routes after a new
/// version. Returns `false` if the version was rejected, `true` if it is in force or not newer.
fn handle_adoption(shared: &Shared, adopted: Result<Adoption, VersionError>, origin: &str) -> bool {
    match adopted {
        Ok(Adoption::Installed { version }) => {
            shared.metrics.count(Metric::VersionsApplied);
            shared.metrics.set(Metric::Version, version);
            log::info!(event = "version", version, origin; "new version of the routing table in force");
            drop_removed_routes(shared);
            true
        }
        Ok(Adoption::NotNewer { version }) => {
            log::debug!(event = "version_not_newer", version, origin; "ignored");
            true
        }
        Err(e) => {
            shared.metrics.count(Metric::PublicationsRejected);
            log::warn!(event = "version_refused", origin, error:% = e; "rejected a version; keeping the version in force");
            false
        }
    }
}

fn drop_removed_routes(shared: &Shared) {
    if let Some(table) = shared.versions.table() {
        let names: std::collections::HashSet<_> = table.routes().map(|r| r.name.clone()).collect();
        shared.splitter.lock().retain(|name| names.contains(name));
        shared
            .attempt_ages
            .lock()
            .retain(|name| names.contains(name));
        shared
            .route_averages
            .lock()
            .retain(|name| names.contains(name));
    }
}

/// Requests a newer version from peers whenever one of them has announced it, until the node stops.
pub(crate) async fn fetch_announced_versions(shared: Arc<Shared>) {
    let mut last_source = None;
    loop {
        tokio::select! {
            () = shared.version_behind.notified() => {}
            () = shared.wait_for_phase(Phase::Stopped) => return,
        }
        // A reader gets most announced versions from the log shortly afterwards. A log that was restored
        // may have lost the version, and a node without a proof of its table refuses requests meanwhile.
        if shared.is_log_readable.load(Ordering::Relaxed)
            && shared.are_keys_confirmed(shared.now())
            && !sleep_unless_stopped(&shared, LOG_DELIVERY_WAIT).await
        {
            return;
        }
        last_source = fetch_from_peers(&shared, last_source).await;
    }
}

/// Requests an update from one peer after the other, first from `last_source`, the peer that
/// supplied the previous update. Returns the peer that supplied the update; `last_source` if a
/// newer version arrived in another way meanwhile; `None` if no peer asked supplied one.
async fn fetch_from_peers(shared: &Shared, last_source: Option<PeerKey>) -> Option<PeerKey> {
    let base_version = shared.versions.number();
    let sources =
        shared
            .peers
            .lock()
            .update_sources(&shared.settings.domain, base_version, last_source);
    for (key, client) in sources.into_iter().take(MAX_PEERS_ASKED) {
        if shared.versions.number() > base_version {
            return last_source;
        }
        let reply = client.update_from(context(UPDATE_TIMEOUT), base_version);
        let Ok(Ok(Some(update))) = tokio::time::timeout(UPDATE_TIMEOUT, reply).await else {
            continue;
        };
        let adopted = shared.versions.adopt_update(&update);
        if handle_adoption(shared, adopted, "node") {
            return Some(key);
        }
    }
    None
}

/// Exponential backoff with jitter: each wait is between half of the current backoff and all of it.
pub(crate) struct Backoff(Duration);

impl Backoff {
    pub(crate) fn new() -> Backoff {
        Backoff(MIN_BACKOFF)
    }

    pub(crate) fn next(&mut self, shared: &Shared) -> Duration {
        let unit = f64::from(shared.rng.lock().next_u32()) / f64::from(u32::MAX);
        let wait = self.0.mul_f64(0.5 + unit / 2.0);
        self.0 = (self.0 * 2).min(MAX_BACKOFF);
        wait
    }
}
