//! In-memory log of keyed records, with injectable faults of the platform's store.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use plat::{
    Batch, BoxFuture, KeyedLog, KeyedRecord, Log, LogError, NewestRecords, Record, Restores,
    decode_keyed, encode_keyed,
};
use tokio::sync::watch;
use wire::Offset;

/// Fault that a [`FakeKeyedLog`] applies to each call.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum KeyedFault {
    /// Calls succeed.
    #[default]
    None,
    /// Calls fail with status 503 and have no effect.
    RefusesCalls,
    /// Calls have no effect and never complete.
    Unresponsive,
    /// Appends take effect but return [`LogError::NoUsableResponse`]; other calls succeed.
    LosesReplies,
}

#[derive(Debug, Default)]
struct Stream {
    records: Vec<Vec<u8>>,
    /// Offset of the oldest record that has not expired.
    oldest: usize,
}

#[derive(Debug, Default)]
struct State {
    streams: BTreeMap<String, Stream>,
    call_count: u64,
    /// Number of restores that answers name; `None` for a log that is never restored.
    restore_count: Option<u64>,
}

/// An in-memory keyed log. Clones share their content and fault.
#[derive(Clone, Debug)]
pub struct FakeKeyedLog {
    state: Arc<Mutex<State>>,
    fault: Arc<Mutex<KeyedFault>>,
    /// What the clients of this path to the log know of its restores.
    restores: Restores,
    changed: watch::Sender<u64>,
}

impl Default for FakeKeyedLog {
    fn default() -> Self {
        FakeKeyedLog {
            state: Arc::default(),
            fault: Arc::default(),
            restores: Restores::default(),
            changed: watch::Sender::new(0),
        }
    }
}

impl FakeKeyedLog {
    /// Returns an empty log whose answers say how often it has been restored.
    pub fn restorable() -> FakeKeyedLog {
        let log = FakeKeyedLog::default();
        log.state.lock().restore_count = Some(0);
        log
    }

    /// Appends a record with `key` and `value`, regardless of the current fault.
    ///
    /// # Panics
    ///
    /// Panics when the key is too long for a keyed record, which is a mistake in the test.
    pub fn put(&self, stream: &str, key: &str, value: &[u8]) {
        let record = encode_keyed(key.as_bytes(), value).expect("a short key");
        self.state
            .lock()
            .streams
            .entry(stream.to_owned())
            .or_default()
            .records
            .push(record);
        self.changed.send_modify(|n| *n += 1);
    }

    /// Sets the fault of all later calls and wakes waiting reads, so that the fault applies to them
    /// too.
    pub fn set_fault(&self, fault: KeyedFault) {
        *self.fault.lock() = fault;
        self.changed.send_modify(|n| *n += 1);
    }

    /// Returns the number of records of each stream, for a later [`FakeKeyedLog::restore`].
    pub fn copy(&self) -> BTreeMap<String, usize> {
        let state = self.state.lock();
        let lens = state
            .streams
            .iter()
            .map(|(name, s)| (name.clone(), s.records.len()));
        lens.collect()
    }

    /// Restores the log from a copy: what was appended after it is lost. Waiting reads go on in the
    /// restored log.
    pub fn restore(&self, copy: &BTreeMap<String, usize>) {
        let mut state = self.state.lock();
        for (name, s) in &mut state.streams {
            s.records.truncate(copy.get(name).copied().unwrap_or(0));
            s.oldest = s.oldest.min(s.records.len());
        }
        state.restore_count = Some(state.restore_count.map_or(1, |n| n + 1));
        drop(state);
        self.changed.send_modify(|n| *n += 1);
    }

    /// Returns a log with the same content and a fault of its own, for one node's path to the log.
    pub fn separate_path(&self) -> FakeKeyedLog {
        FakeKeyedLog {
            fault: Arc::default(),
            restores: Restores::default(),
            ..self.clone()
        }
    }

    /// Expires all records of a stream for reads by offset. [`KeyedLog::read_newest`] still returns
    /// them.
    pub fn expire(&self, stream: &str) {
        let mut state = self.state.lock();
        if let Some(s) = state.streams.get_mut(stream) {
            s.oldest = s.records.len();
        }
    }

    /// Returns the number of calls so far. Each retry within a waiting read counts as a call.
    pub fn call_count(&self) -> u64 {
        self.state.lock().call_count
    }

    /// Counts a call and applies the current fault, which is returned if the call goes on.
    async fn apply_fault(&self) -> Result<KeyedFault, LogError> {
        self.state.lock().call_count += 1;
        let fault = *self.fault.lock();
        match fault {
            KeyedFault::RefusesCalls => Err(LogError::Refused { status: 503 }),
            KeyedFault::Unresponsive => std::future::pending().await,
            other => Ok(other),
        }
    }

    /// Appends records, if `end` is `None` or the end of the stream.
    async fn append_records(
        &self,
        stream: &str,
        end: Option<Offset>,
        records: Vec<Vec<u8>>,
    ) -> Result<Offset, LogError> {
        let fault = self.apply_fault().await?;
        let first = {
            let mut state = self.state.lock();
            self.restores.record(state.restore_count);
            let s = state.streams.entry(stream.to_owned()).or_default();
            let first = Offset(s.records.len() as u64);
            if end.is_some_and(|end| end != first) {
                return Err(LogError::Conflict { end: first });
            }
            s.records.extend(records);
            first
        };
        self.changed.send_modify(|n| *n += 1);
        if fault == KeyedFault::LosesReplies {
            let reason = "reply discarded by the injected fault".to_owned();
            return Err(LogError::NoUsableResponse { reason });
        }
        Ok(first)
    }

    fn read_now(&self, stream: &str, from: Offset) -> Result<Batch, LogError> {
        let mut state = self.state.lock();
        let restores = state.restore_count;
        self.restores.record(restores);
        let s = state.streams.entry(stream.to_owned()).or_default();
        let start = from.0 as usize;
        if start < s.oldest || start > s.records.len() {
            let oldest = Offset(s.oldest as u64);
            return Err(LogError::Expired { from, oldest });
        }
        let records = s.records.iter().enumerate().skip(start);
        Ok(Batch {
            records: records
                .map(|(i, data)| Record {
                    offset: Offset(i as u64),
                    data: data.clone(),
                })
                .collect(),
            oldest: Offset(s.oldest as u64),
            end: Offset(s.records.len() as u64),
            restores,
        })
    }
}

impl Log for FakeKeyedLog {
    fn append<'a>(
        &'a self,
        stream: &'a str,
        records: Vec<Vec<u8>>,
    ) -> BoxFuture<'a, Result<Offset, LogError>> {
        Box::pin(self.append_records(stream, None, records))
    }

    fn read<'a>(
        &'a self,
        stream: &'a str,
        from: Offset,
        wait: Duration,
    ) -> BoxFuture<'a, Result<Batch, LogError>> {
        Box::pin(async move {
            let deadline = tokio::time::Instant::now() + wait;
            let mut changed = self.changed.subscribe();
            loop {
                self.apply_fault().await?;
                let batch = self.read_now(stream, from)?;
                let timed_out = tokio::time::Instant::now() >= deadline;
                if !batch.records.is_empty() || timed_out {
                    return Ok(batch);
                }
                // `changed` can't fail because `self` owns the sender; a time-out ends the wait.
                let _ = tokio::time::timeout_at(deadline, changed.changed()).await;
            }
        })
    }
}

impl KeyedLog for FakeKeyedLog {
    fn restores(&self) -> &Restores {
        &self.restores
    }

    fn append_at<'a>(
        &'a self,
        stream: &'a str,
        end: Offset,
        records: Vec<Vec<u8>>,
    ) -> BoxFuture<'a, Result<Offset, LogError>> {
        Box::pin(self.append_records(stream, Some(end), records))
    }

    fn read_newest<'a>(
        &'a self,
        stream: &'a str,
    ) -> BoxFuture<'a, Result<NewestRecords, LogError>> {
        Box::pin(async move {
            self.apply_fault().await?;
            let mut state = self.state.lock();
            let restores = state.restore_count;
            self.restores.record(restores);
            let s = state.streams.entry(stream.to_owned()).or_default();
            let mut newest: BTreeMap<Vec<u8>, KeyedRecord> = BTreeMap::new();
            for (i, data) in s.records.iter().enumerate() {
                if let Ok(keyed) = decode_keyed(Offset(i as u64), data) {
                    newest.insert(keyed.key.clone(), keyed);
                }
            }
            Ok(NewestRecords {
                records: newest.into_values().collect(),
                end: Offset(s.records.len() as u64),
                restores,
            })
        })
    }
}
