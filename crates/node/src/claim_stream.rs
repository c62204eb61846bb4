//! Reader of the claim streams.

use std::sync::Arc;
use std::time::Duration;

use claim::Event;
use kameo::actor::ActorRef;
use ops::Metric;
use plat::{Batch, LogError};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::sync::watch;
use wire::Offset;

use crate::claims::{ClaimActor, FollowState, StreamEvents, stream_name};
use crate::shared::Shared;

/// Longest wait of a read at the end of the stream for a new record.
const LONG_POLL_TIMEOUT: Duration = Duration::from_secs(1);
/// Range of the random delay before a failed read is retried, in milliseconds.
const RETRY_DELAY_MS: std::ops::Range<u64> = 20..200;

/// Reads one claim stream while [`FollowState`] asks for it and passes the events to the claim
/// actor, until `stop` is set.
pub(crate) async fn read_stream(
    shared: Arc<Shared>,
    claim_actor: ActorRef<ClaimActor>,
    shard: usize,
    mut follow: watch::Receiver<FollowState>,
    mut stop: watch::Receiver<bool>,
) {
    let stream = stream_name(&shared, shard);
    let mut rng = StdRng::seed_from_u64(shared.settings.random_seed ^ shared.id.0 ^ shard as u64);
    let mut claims_wanted_rx = shared.claims_wanted.subscribe();
    let mut has_reached_end = false;
    let mut at_end = false;
    while !*stop.borrow() {
        let now = shared.clock.now();
        let FollowState { from, until } = *follow.borrow_and_update();
        // The claim actor accepts no claim before the stream has been read to its end once.
        let must_reach_end = !has_reached_end && *claims_wanted_rx.borrow_and_update();
        if until <= now && !must_reach_end {
            at_end = false;
            tokio::select! {
                _ = follow.changed() => {}
                _ = claims_wanted_rx.changed(), if !has_reached_end => {}
                _ = stop.changed() => {}
            }
            continue;
        }
        // Long polling only at the end of the stream: before it, the log has records to return
        // immediately.
        let poll_timeout = if at_end {
            LONG_POLL_TIMEOUT
        } else {
            Duration::ZERO
        };
        let read = tokio::select! {
            read = shared.log.read(&stream, from, poll_timeout) => read,
            _ = stop.changed() => continue,
        };
        match read_events(from, read) {
            Some(events) => {
                at_end = matches!(events.last(), Some(Event::End { .. }));
                has_reached_end |= at_end;
                // The reply comes after the events have been applied, which sets the next position
                // in `follow`.
                let _ = claim_actor.ask(StreamEvents { shard, events }).await;
            }
            None => {
                at_end = false;
                shared.metrics.count(Metric::LogFailures);
                let ms = rng.random_range(RETRY_DELAY_MS);
                tokio::time::sleep(Duration::from_millis(ms)).await;
            }
        }
    }
}

/// Converts the result of a read from `from` into events; `None` if the log service is unavailable.
fn read_events(from: Offset, read: Result<Batch, LogError>) -> Option<Vec<Event>> {
    match read {
        Ok(batch) => {
            let last = batch.records.last().map_or(from, |r| r.offset.next());
            let read = |r: plat::Record| Event::Read {
                offset: r.offset,
                data: r.data,
            };
            let mut events: Vec<Event> = batch.records.into_iter().map(read).collect();
            if last >= batch.end {
                events.push(Event::End { end: batch.end });
            }
            Some(events)
        }
        Err(LogError::Expired { oldest, .. }) => Some(vec![Event::Expired { oldest }]),
        Err(_) => None,
    }
}
