//! Uploads of large bodies over a link, in parts.
//!
//! A body of 60 KB fills a link of 7 Mbit/s for 70 ms. Parts, of which few are in flight, avoid
//! head-of-line blocking of the small messages behind it.

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

/// Size of a part: 10 ms on a link of 7 Mbit/s, the slowest in use.
const PART_BYTES: usize = 8 << 10;
/// Parts of one body in flight: one is on the link while the acknowledgement of the other returns.
const PARTS_UNDER_WAY: usize = 2;
/// Time without a further part after which a body is dropped, if its sender could not withdraw it.
/// A cut link is closed sooner.
const MAX_SILENCE: Duration = Duration::from_secs(5);

/// A part of a body.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Part {
    /// Number of the transfer on its connection.
    pub(crate) transfer: u64,
    /// Position among the parts of the body, from 0.
    pub(crate) index: u32,
    pub(crate) bytes: Bytes,
}

/// Why an upload failed.
#[derive(Debug)]
pub(crate) enum SendError {
    /// The connection failed.
    Lost(RpcError),
    /// The peer has no memory for the body, or does not expect it.
    Refused,
}

/// Returns whether a body is uploaded in parts before its call.
pub(crate) fn is_large(body: &Bytes) -> bool {
    body.len() > PART_BYTES * PARTS_UNDER_WAY
}

/// Uploads a body; returns when the peer has acknowledged all parts.
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

/// Announced bodies, over all connections of a node.
#[derive(Debug, Default)]
pub(crate) struct Expected {
    bytes: AtomicUsize,
    bodies: AtomicUsize,
}

impl Expected {
    /// Returns the bytes that were announced and have not been received.
    pub(crate) fn bytes(&self) -> usize {
        self.bytes.load(Ordering::Relaxed)
    }

    /// Returns the number of bodies that were announced and whose requests have not started.
    pub(crate) fn bodies(&self) -> usize {
        self.bodies.load(Ordering::Relaxed)
    }
}

/// Bodies that are uploaded over one connection. Their memory counts with that of all other bodies.
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

/// Accounts for one body in the node's counters; on drop the body no longer counts.
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

    /// Counts received bytes; returns how many the node holds for all bodies.
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
    /// Creates an empty inbox that accepts parts while `held_bytes` is at most `max_bytes`.
    pub(crate) fn new(expected: Arc<Expected>, held: Arc<AtomicUsize>, most: usize) -> Inbox {
        Inbox {
            arriving: Mutex::default(),
            expected,
            held,
            most,
        }
    }

    /// Starts to accept the parts of a body, and drops the bodies that have been idle for too long.
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

    /// Drops a body whose call was cancelled.
    pub(crate) fn withdraw(&self, transfer: u64) {
        self.arriving.lock().remove(&transfer);
    }

    /// Stores a part. Returns `false` if there is no memory for it, or its body was not announced.
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

    /// Takes a body out of the inbox; returns `None` if it is unknown or lacks a part.
    pub(crate) fn whole(&self, SentAhead { transfer, len }: SentAhead) -> Option<Bytes> {
        let mut body = self.arriving.lock().remove(&transfer)?;
        let mut whole = BytesMut::with_capacity(len);
        for index in 0..u32::try_from(body.parts.len()).ok()? {
            whole.extend_from_slice(&body.parts.remove(&index)?);
        }
        (whole.len() == len).then(|| whole.freeze())
    }
}
