//! Reading of the claim streams.

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

use crate::claims::{ClaimKeeper, Follow, Stream, stream_name};
use crate::shared::Shared;

const LONG_POLL: Duration = Duration::from_secs(1);
const RETRY_MS: std::ops::Range<u64> = 20..200;

/// Reads one claim stream while there is demand, until `stop`.
pub(crate) async fn read_stream(
    shared: Arc<Shared>,
    keeper: ActorRef<ClaimKeeper>,
    shard: usize,
    mut follow: watch::Receiver<Follow>,
    mut stop: watch::Receiver<bool>,
) {
    let stream = stream_name(&shared, shard);
    let mut rng = StdRng::seed_from_u64(shared.settings.random_seed ^ shared.id.0 ^ shard as u64);
    let mut wanted = shared.claims_wanted.subscribe();
    let mut primed = false;
    let mut at_end = false;
    while !*stop.borrow() {
        let now = shared.clock.now();
        let Follow { from, until } = *follow.borrow_and_update();
        // No claim is taken before the end of the stream was seen once.
        let prime = !primed && *wanted.borrow_and_update();
        if until <= now && !prime {
            at_end = false;
            tokio::select! {
                _ = follow.changed() => {}
                _ = wanted.changed(), if !primed => {}
                _ = stop.changed() => {}
            }
            continue;
        }
        // Only a read that can bring nothing new but later records waits for them.
        let wait = if at_end { LONG_POLL } else { Duration::ZERO };
        let read = tokio::select! {
            read = shared.log.read(&stream, from, wait) => read,
            _ = stop.changed() => continue,
        };
        match events_of(from, read) {
            Some(events) => {
                at_end = matches!(events.last(), Some(Event::End { .. }));
                primed |= at_end;
                // Waits until the events are applied, so that the next position is known.
                let _ = keeper.ask(Stream { shard, events }).await;
            }
            None => {
                at_end = false;
                shared.metrics.count(Metric::LogFailures);
                let ms = rng.random_range(RETRY_MS);
                tokio::time::sleep(Duration::from_millis(ms)).await;
            }
        }
    }
}

/// Turns the answer to a read into events, or nothing if the log is away.
fn events_of(from: Offset, read: Result<Batch, LogError>) -> Option<Vec<Event>> {
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
