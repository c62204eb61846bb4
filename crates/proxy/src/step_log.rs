//! The stream of the log in which nodes record the steps of roll-outs.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use ops::Metric;
use plat::{LogError, encode_keyed};
use rollout::{Order, Step};
use serde::{Deserialize, Serialize};
use wire::Offset;

use crate::rollouts::Rollouts;
use crate::shared::Shared;

/// Timeout of a call to the log.
const LOG_TIMEOUT: Duration = Duration::from_secs(2);

/// A recorded step.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct StepRecord {
    pub(crate) order: Order,
    pub(crate) step: Step,
    /// Milliseconds from the order to the record, by the decider's clock.
    pub(crate) age_ms: u64,
    /// Wall-clock time of the record in milliseconds.
    pub(crate) recorded_unix_ms: u64,
    /// Nodes of the service that should report. A successor may be cut off from some of them.
    pub(crate) expected: u32,
}

impl StepRecord {
    /// Decodes a record. Those of the first release end before `expected`.
    fn decode(value: &[u8]) -> Option<StepRecord> {
        let decoded = postcard::from_bytes(value).or_else(|_| {
            let mut extended = value.to_vec();
            extended.push(0);
            postcard::from_bytes(&extended)
        });
        decoded.ok()
    }
}

/// Returns the wall-clock time in milliseconds.
pub(crate) fn unix_ms() -> u64 {
    // A clock before 1970 counts as 1970.
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    since_epoch.as_millis() as u64
}

/// Reads the recorded step of an order and the end of the stream.
pub(crate) async fn load(
    shared: &Shared,
    rollouts: &Rollouts,
    order: &Order,
) -> Result<(Option<StepRecord>, Offset), LogError> {
    let log = &shared.settings.source.log;
    let read = log.read_newest(&rollouts.settings.step_stream);
    let newest = within_limit(read).await?;
    let key = order.service.0.as_bytes();
    let record = newest.records.iter().find(|r| *r.key == *key);
    let record = record.and_then(|r| StepRecord::decode(&r.value));
    let is_own = |r: &StepRecord| {
        let is_repeat = r.order.target_version == order.target_version && !r.step.is_final();
        r.order.id == order.id || is_repeat
    };
    Ok((record.filter(is_own), newest.end))
}

/// Appends a step to the stream if that still ends at `end`, and returns its new end.
pub(crate) async fn append(
    shared: &Shared,
    rollouts: &Rollouts,
    record: &StepRecord,
    end: Offset,
) -> Result<Offset, LogError> {
    let value = postcard::to_stdvec(record).map_err(plat::no_response_error)?;
    let key = record.order.service.0.as_bytes();
    let data = encode_keyed(key, &value).map_err(plat::no_response_error)?;
    shared.metrics.count(Metric::LogAppends);
    let log = &shared.settings.source.log;
    let stream = &rollouts.settings.step_stream;
    let appended = within_limit(log.append_at(stream, end, vec![data])).await?;
    Ok(appended.next())
}

/// Returns the end of the stream in which operators read the status.
pub(crate) async fn status_end(shared: &Shared, rollouts: &Rollouts) -> Result<Offset, LogError> {
    let log = &shared.settings.source.log;
    let newest = within_limit(log.read_newest(&rollouts.settings.status_stream)).await?;
    Ok(newest.end)
}

/// Appends a keyed record to a stream if that still ends at `end`.
pub(crate) async fn append_keyed(
    shared: &Shared,
    stream: &str,
    end: Offset,
    key: &[u8],
    value: &[u8],
) -> Result<(), LogError> {
    let data = encode_keyed(key, value).map_err(plat::no_response_error)?;
    shared.metrics.count(Metric::LogAppends);
    let log = &shared.settings.source.log;
    within_limit(log.append_at(stream, end, vec![data])).await?;
    Ok(())
}

async fn within_limit<T>(call: impl Future<Output = Result<T, LogError>>) -> Result<T, LogError> {
    let reply = tokio::time::timeout(LOG_TIMEOUT, call).await;
    reply.unwrap_or_else(|_| Err(plat::no_response_error("no reply in time")))
}
