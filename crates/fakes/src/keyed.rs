//! An in-memory log with keys, with the faults that a platform's store has.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use plat::{
    Batch, BoxFuture, Keyed, KeyedLog, Log, LogError, Newest, Record, decode_keyed, encode_keyed,
};
use tokio::sync::watch;
use wire::Offset;

/// How the log treats calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum KeyedFault {
    /// It answers.
    #[default]
    None,
    /// It refuses each call; nothing is done.
    Refuses,
    /// It takes each call and never answers.
    Silent,
    /// It does what it is told, and the answer is lost.
    LosesAnswers,
}

#[derive(Debug, Default)]
struct Stream {
    records: Vec<Vec<u8>>,
    /// Records before this offset have expired.
    oldest: usize,
}

#[derive(Debug, Default)]
struct State {
    streams: BTreeMap<String, Stream>,
    fault: KeyedFault,
    calls: u64,
}

/// A log in memory; clones share it.
#[derive(Clone, Debug)]
pub struct FakeKeyedLog {
    state: Arc<Mutex<State>>,
    changed: watch::Sender<u64>,
}

impl Default for FakeKeyedLog {
    fn default() -> Self {
        FakeKeyedLog {
            state: Arc::default(),
            changed: watch::Sender::new(0),
        }
    }
}

impl FakeKeyedLog {
    /// Writes `value` under `key`.
    ///
    /// # Panics
    ///
    /// Panics when the key is too long, which is a fault of the test.
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

    /// Sets how calls are treated from now on. Calls that wait are cut.
    pub fn set_fault(&self, fault: KeyedFault) {
        self.state.lock().fault = fault;
        self.changed.send_modify(|n| *n += 1);
    }

    /// Lets all records of a stream expire; the newest of each key stays readable by key.
    pub fn expire(&self, stream: &str) {
        let mut state = self.state.lock();
        if let Some(s) = state.streams.get_mut(stream) {
            s.oldest = s.records.len();
        }
    }

    /// Returns the number of calls so far.
    pub fn calls(&self) -> u64 {
        self.state.lock().calls
    }

    async fn pass(&self) -> Result<KeyedFault, LogError> {
        let fault = {
            let mut state = self.state.lock();
            state.calls += 1;
            state.fault
        };
        match fault {
            KeyedFault::Refuses => Err(LogError::Refused { status: 503 }),
            KeyedFault::Silent => std::future::pending().await,
            other => Ok(other),
        }
    }

    fn try_read(&self, stream: &str, from: Offset) -> Result<Batch, LogError> {
        let mut state = self.state.lock();
        let s = state.streams.entry(stream.to_owned()).or_default();
        let start = from.0 as usize;
        if start < s.oldest {
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
        })
    }
}

impl Log for FakeKeyedLog {
    fn append<'a>(
        &'a self,
        stream: &'a str,
        records: Vec<Vec<u8>>,
    ) -> BoxFuture<'a, Result<Offset, LogError>> {
        Box::pin(async move {
            let fault = self.pass().await?;
            let first = {
                let mut state = self.state.lock();
                let s = state.streams.entry(stream.to_owned()).or_default();
                let first = s.records.len() as u64;
                s.records.extend(records);
                first
            };
            self.changed.send_modify(|n| *n += 1);
            if fault == KeyedFault::LosesAnswers {
                let reason = "the answer was lost".to_owned();
                return Err(LogError::NoAnswer { reason });
            }
            Ok(Offset(first))
        })
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
                self.pass().await?;
                let batch = self.try_read(stream, from)?;
                let timed_out = tokio::time::Instant::now() >= deadline;
                if !batch.records.is_empty() || timed_out {
                    return Ok(batch);
                }
                // The sender lives as long as `self`; a timeout ends the wait.
                let _ = tokio::time::timeout_at(deadline, changed.changed()).await;
            }
        })
    }
}

impl KeyedLog for FakeKeyedLog {
    fn newest<'a>(&'a self, stream: &'a str) -> BoxFuture<'a, Result<Newest, LogError>> {
        Box::pin(async move {
            self.pass().await?;
            let mut state = self.state.lock();
            let s = state.streams.entry(stream.to_owned()).or_default();
            let mut newest: BTreeMap<Vec<u8>, Keyed> = BTreeMap::new();
            for (i, data) in s.records.iter().enumerate() {
                if let Ok(keyed) = decode_keyed(Offset(i as u64), data) {
                    newest.insert(keyed.key.clone(), keyed);
                }
            }
            Ok(Newest {
                records: newest.into_values().collect(),
                end: Offset(s.records.len() as u64),
            })
        })
    }
}
