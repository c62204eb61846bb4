//! Departures of this node's target, recorded in the log.
//!
//! Peers remember departures while this node restarts, but not when they restart at the same time.
//! So a departure is recorded in the node stream before it is acknowledged to the target, and a
//! starting node reads there which incarnations of its target have departed.
//!
//! Each departure has a key of its own. An append that takes effect late, after a lost reply and a
//! retry, then replaces nothing newer.

use std::sync::Arc;
use std::time::Duration;

use ops::Metric;
use plat::{KeyedRecord, LogError, encode_keyed};
use wire::UnixMillis;

use crate::message::DepartedIncarnation;
use crate::shared::{Phase, Shared, sleep_unless_stopped};
use crate::source::{self, Backoff};

/// Start of the keys in the node stream; the node's link address, the start time and the name of the
/// departed incarnation follow, separated by spaces.
const KEY_PREFIX: &str = "departed ";
/// Shortest time between two registrations. A peer may name more restores than the log does.
const MIN_REGISTER_INTERVAL: Duration = Duration::from_millis(500);
/// Longest time that an acknowledgement waits for the log. A target counts an acknowledgement only
/// within a second.
const RECORD_TIMEOUT: Duration = Duration::from_millis(700);

/// Returns whether a record of the node stream is that of a departure.
pub(crate) fn is_departure(record: &KeyedRecord) -> bool {
    record.key.starts_with(KEY_PREFIX.as_bytes())
}

/// Applies the departures of this node's target among the records of the node stream.
pub(crate) fn load(shared: &Shared, records: &[KeyedRecord]) {
    let mut own: Vec<_> = records
        .iter()
        .filter(|r| !r.value.is_empty())
        .filter_map(|r| Some((r.offset, parse_key(shared, &r.key)?)))
        .collect();
    // Oldest first, as the target retains only the last ones.
    own.sort_by_key(|(offset, _)| *offset);
    let departed: Vec<_> = own.into_iter().map(|(_, d)| d).collect();
    apply(shared, &departed);
    shared.recorded_departures.send_replace(departed);
}

/// Applies departed incarnations of this node's target that the log or a peer remembers.
pub(crate) fn apply(shared: &Shared, departed: &[DepartedIncarnation]) {
    let now = shared.now();
    let mut has_changed = false;
    for DepartedIncarnation { name, started } in departed {
        // An incarnation without a start time cannot be told from a later one of the same name.
        if let Some(UnixMillis(_)) = started {
            has_changed |= shared
                .target
                .lock()
                .own
                .record_departure(now, name, *started);
        }
    }
    if has_changed {
        log::info!(event = "target_left"; "the log or a peer remembers that the target has departed");
        shared.target_changed(now);
    }
}

/// Registers this node, and records the departures of its target in the log, until the node stops. A log
/// that was restored may have lost both, so that they are repeated.
pub(crate) async fn keep_recorded(shared: Arc<Shared>) {
    while let Some(registration) = source::register(&shared).await {
        let lost = async {
            tokio::time::sleep(MIN_REGISTER_INTERVAL).await;
            let log = &shared.settings.source.log;
            log.restores().wait_beyond(registration.restores).await
        };
        tokio::select! {
            () = record(&shared) => return,
            _ = lost => {}
        }
    }
}

/// Records the departures of this node's target in the log, until the node stops. Runs after
/// [`load`].
async fn record(shared: &Shared) {
    let mut backoff = Backoff::new();
    loop {
        let departed = departed(shared);
        if *shared.recorded_departures.borrow() == departed {
            tokio::select! {
                () = shared.departures_changed.notified() => {}
                () = shared.wait_for_phase(Phase::Stopped) => return,
            }
            continue;
        }
        match append_changes(shared, &departed).await {
            Ok(()) => {
                backoff = Backoff::new();
                shared.recorded_departures.send_replace(departed);
            }
            Err(e) => {
                shared.metrics.count(Metric::LogFailures);
                log::warn!(event = "departure_append_failed", error:% = e; "could not record a departure of the target in the log; retrying after a backoff");
                if !sleep_unless_stopped(shared, backoff.next(shared)).await {
                    return;
                }
            }
        }
    }
}

/// Waits until the departures so far are recorded in the log, but no longer than the target waits
/// for an acknowledgement.
pub(crate) async fn wait_until_recorded(shared: &Shared) {
    let departed = departed(shared);
    let mut recorded = shared.recorded_departures.subscribe();
    shared.departures_changed.notify_one();
    let is_recorded = recorded.wait_for(|r| departed.iter().all(|d| r.contains(d)));
    if tokio::time::timeout(RECORD_TIMEOUT, is_recorded)
        .await
        .is_err()
    {
        log::warn!(event = "departure_not_recorded"; "acknowledging a departure of the target before the log has recorded it; until then only this node and its peers remember it");
    }
}

/// Appends the departures that are not recorded yet, and removes the keys of those that are no longer
/// retained.
async fn append_changes(shared: &Shared, departed: &[DepartedIncarnation]) -> Result<(), LogError> {
    let recorded = shared.recorded_departures.borrow().clone();
    let added = departed.iter().filter(|d| !recorded.contains(d));
    let removed = recorded.iter().filter(|d| !departed.contains(d));
    let changes = added
        .map(|d| (d, &b"1"[..]))
        .chain(removed.map(|d| (d, &b""[..])));
    let mut records = Vec::new();
    for (d, value) in changes {
        match encode_keyed(key(shared, d).as_bytes(), value) {
            Ok(record) => records.push(record),
            Err(e) => {
                log::warn!(event = "departure_not_encoded", target_id = d.name.as_str(), error:% = e; "the target's name is too long for a record; a restart of all nodes forgets its departure");
            }
        }
    }
    if records.is_empty() {
        return Ok(());
    }
    let source = &shared.settings.source;
    shared.metrics.count(Metric::LogAppends);
    source.log.append(&source.node_stream, records).await?;
    Ok(())
}

/// Returns the departed incarnations of this node's target whose start time is known.
fn departed(shared: &Shared) -> Vec<DepartedIncarnation> {
    let mut departed = shared.departed_incarnations();
    departed.retain(|d| d.started.is_some());
    departed
}

fn key(shared: &Shared, d: &DepartedIncarnation) -> String {
    let started = d.started.unwrap_or_default().0;
    format!("{}{started} {}", own_prefix(shared), d.name)
}

/// Returns the departure with this key, or `None` if it is that of another node's target.
fn parse_key(shared: &Shared, key: &[u8]) -> Option<DepartedIncarnation> {
    let key = std::str::from_utf8(key).ok()?;
    let (started, name) = key.strip_prefix(&own_prefix(shared))?.split_once(' ')?;
    Some(DepartedIncarnation {
        name: name.to_owned(),
        started: Some(UnixMillis(started.parse().ok()?)),
    })
}

fn own_prefix(shared: &Shared) -> String {
    format!("{KEY_PREFIX}{} ", shared.settings.peer_addr)
}
