//! Bodies that cross a link in parts.
//!
//! A body of 60 KB fills a link of 7 Mbit/s for 70 ms, and all that comes after it waits. Sent in
//! parts of which few are under way, it lets small messages pass.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures_util::{StreamExt, TryStreamExt, stream};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use tarpc::client::RpcError;
use tarpc::context::Context;
use wire::Time;

use crate::message::{LinkClient, SentAhead};

/// Size of a part: 10 ms of a link of 7 Mbit/s, the slowest in use.
const PART_BYTES: usize = 8 << 10;
/// Parts of one body that are under way at once: one on the link while the word of the other's
/// arrival returns.
const PARTS_UNDER_WAY: usize = 2;
/// Time without a further part after which a body is dropped, if its sender could not withdraw it.
/// The time after which a link that is cut ends is shorter.
const MAX_SILENCE: Duration = Duration::from_secs(5);

/// A part of a body.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Part {
    /// Number of the transfer on its connection.
    pub(crate) transfer: u64,
    /// Place of the part in the body.
    pub(crate) index: u32,
    pub(crate) bytes: Bytes,
}

/// Why a body has not crossed.
#[derive(Debug)]
pub(crate) enum SendError {
    /// The connection failed.
    Lost(RpcError),
    /// The other node has no memory for it.
    Refused,
}

/// Returns whether a body crosses in parts.
pub(crate) fn is_large(body: &Bytes) -> bool {
    body.len() > PART_BYTES * PARTS_UNDER_WAY
}

/// Sends a body; when it returns, the other node has all of it.
pub(crate) async fn send(
    client: &LinkClient,
    cx: Context,
    transfer: u64,
    body: &Bytes,
) -> Result<(), SendError> {
    let starts = (0..body.len()).step_by(PART_BYTES).zip(0..);
    let parts = stream::iter(starts.map(|(at, index)| {
        let end = body.len().min(at + PART_BYTES);
        let part = Part {
            transfer,
            index,
            bytes: body.slice(at..end),
        };
        async move {
            match client.body_part(cx, part).await {
                Ok(true) => Ok(()),
                Ok(false) => Err(SendError::Refused),
                Err(e) => Err(SendError::Lost(e)),
            }
        }
    }));
    parts.buffered(PARTS_UNDER_WAY).try_collect().await
}

/// Bodies that arrive at a node, over all connections.
#[derive(Debug, Default)]
pub(crate) struct Expected {
    bytes: AtomicUsize,
    bodies: AtomicUsize,
}

impl Expected {
    /// Returns the bytes that have been announced and have not come.
    pub(crate) fn bytes(&self) -> usize {
        self.bytes.load(Ordering::Relaxed)
    }

    /// Returns the number of bodies that have been announced and whose requests have not started.
    pub(crate) fn bodies(&self) -> usize {
        self.bodies.load(Ordering::Relaxed)
    }
}

/// Bodies that arrive on one connection. Their memory counts with that of all other bodies.
#[derive(Debug)]
pub(crate) struct Inbox {
    arriving: Mutex<HashMap<u64, Arriving>>,
    expected: Arc<Expected>,
    held: Arc<AtomicUsize>,
    most: usize,
}

#[derive(Debug)]
struct Arriving {
    parts: HashMap<u32, Bytes>,
    last: Time,
    counted: Counted,
}

/// A body in the counts of its node, until it is dropped.
#[derive(Debug)]
struct Counted {
    expected: Arc<Expected>,
    held: Arc<AtomicUsize>,
    to_come: usize,
    here: usize,
}

impl Counted {
    fn new(expected: Arc<Expected>, held: Arc<AtomicUsize>, len: usize) -> Counted {
        expected.bodies.fetch_add(1, Ordering::Relaxed);
        expected.bytes.fetch_add(len, Ordering::Relaxed);
        Counted {
            expected,
            held,
            to_come: len,
            here: 0,
        }
    }

    /// Counts bytes that have come; returns how many the node holds now.
    fn came(&mut self, size: usize) -> usize {
        let expected = size.min(self.to_come);
        self.to_come -= expected;
        self.expected.bytes.fetch_sub(expected, Ordering::Relaxed);
        self.here += size;
        self.held.fetch_add(size, Ordering::Relaxed) + size
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        self.expected.bodies.fetch_sub(1, Ordering::Relaxed);
        self.expected
            .bytes
            .fetch_sub(self.to_come, Ordering::Relaxed);
        self.held.fetch_sub(self.here, Ordering::Relaxed);
    }
}

impl Inbox {
    /// Makes an empty one that takes parts while `held` stays within `most` bytes.
    pub(crate) fn new(expected: Arc<Expected>, held: Arc<AtomicUsize>, most: usize) -> Inbox {
        Inbox {
            arriving: Mutex::default(),
            expected,
            held,
            most,
        }
    }

    /// Expects a body.
    pub(crate) fn announce(&self, now: Time, body: SentAhead) {
        let (expected, held) = (self.expected.clone(), self.held.clone());
        let arriving = Arriving {
            parts: HashMap::new(),
            last: now,
            counted: Counted::new(expected, held, body.len),
        };
        let mut bodies = self.arriving.lock();
        bodies.retain(|_, a| now.since(a.last) < MAX_SILENCE);
        bodies.insert(body.transfer, arriving);
    }

    /// Drops a body whose call will not come.
    pub(crate) fn withdraw(&self, transfer: u64) {
        self.arriving.lock().remove(&transfer);
    }

    /// Takes a part; returns `false` if there is no memory for it, or the body is not expected.
    pub(crate) fn take(&self, now: Time, part: Part) -> bool {
        let mut arriving = self.arriving.lock();
        let Some(body) = arriving.get_mut(&part.transfer) else {
            return false;
        };
        if body.counted.came(part.bytes.len()) > self.most {
            arriving.remove(&part.transfer);
            return false;
        }
        body.last = now;
        body.parts.insert(part.index, part.bytes);
        true
    }

    /// Returns a body whose parts have all come.
    pub(crate) fn whole(&self, SentAhead { transfer, len }: SentAhead) -> Option<Bytes> {
        let mut body = self.arriving.lock().remove(&transfer)?;
        let mut whole = BytesMut::with_capacity(len);
        for index in 0..u32::try_from(body.parts.len()).ok()? {
            whole.extend_from_slice(&body.parts.remove(&index)?);
        }
        (whole.len() == len).then(|| whole.freeze())
    }
}
