//! Staged bodies: large bodies that an entry node uploads to the target-side node, in parts, before
//! the call that they belong to.
//!
//! A body of 60 KB fills a network link of 7 Mbit/s for 70 ms. It is sent in parts, of which few
//! are in flight, to avoid head-of-line blocking of small messages on the same connection.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use futures_util::{StreamExt, TryStreamExt, stream};
use memory::{Account, Body, BodyWriter, Use};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use tarpc::client::RpcError;
use tarpc::context::Context;
use wire::Time;

use crate::message::{LinkClient, StagedBody};

/// Size of a part, which takes 10 ms on a network link of 7 Mbit/s, the slowest in use.
const PART_BYTES: usize = 8 << 10;
/// Largest number of parts of one body in flight: one is sent while the acknowledgement of the
/// other returns.
const MAX_PARTS_IN_FLIGHT: usize = 2;
/// Time without a further part after which a body is dropped; for a sender that could not withdraw the
/// body. If the network is cut, the connection closes sooner.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// A part of a body.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Part {
    /// Number of the transfer, unique in the sending process.
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

/// Returns whether a body is uploaded in parts before its call: it takes more parts than may be in
/// flight.
pub(crate) fn is_large(body: &Body) -> bool {
    body.len() > PART_BYTES * MAX_PARTS_IN_FLIGHT
}

/// Uploads an announced body; returns when the peer has acknowledged all parts. `cx` holds the
/// deadline.
pub(crate) async fn send(
    client: &LinkClient,
    cx: Context,
    transfer: u64,
    body: &Body,
) -> Result<(), SendError> {
    let starts = (0..body.len()).step_by(PART_BYTES).zip(0..);
    let parts = stream::iter(starts.map(|(at, index)| {
        let end = body.len().min(at + PART_BYTES);
        let part = Part {
            transfer,
            index,
            bytes: body.slice(at, end),
        };
        async move {
            match client.body_part(cx, part).await {
                Ok(true) => Ok(()),
                Ok(false) => Err(SendError::Refused),
                Err(e) => Err(SendError::Lost(e)),
            }
        }
    }));
    parts.buffered(MAX_PARTS_IN_FLIGHT).try_collect().await
}

/// Counters of the bodies that peers have announced, over all connections of this node.
#[derive(Debug, Default)]
pub(crate) struct Uploads {
    bytes: AtomicUsize,
    bodies: AtomicUsize,
}

impl Uploads {
    /// Returns the bytes that were announced and have not been received.
    pub(crate) fn bytes(&self) -> usize {
        self.bytes.load(Ordering::Relaxed)
    }

    /// Returns the number of bodies that were announced and whose requests have not started.
    pub(crate) fn bodies(&self) -> usize {
        self.bodies.load(Ordering::Relaxed)
    }
}

/// Bodies that a peer uploads over one connection. Their memory counts with that of all other
/// bodies of this node.
#[derive(Debug)]
pub(crate) struct Inbox {
    /// Announced bodies by the number of their transfer.
    partial: Mutex<HashMap<u64, PartialBody>>,
    uploads: Arc<Uploads>,
    memory: Arc<Account>,
}

#[derive(Debug)]
struct PartialBody {
    /// The body up to the first part that is missing. All of it is reserved.
    whole: BodyWriter,
    len: usize,
    /// Index of that part.
    next_index: u32,
    /// Parts that have overtaken an earlier one.
    early: HashMap<u32, Bytes>,
    /// When the last part, or else the announcement, arrived.
    last_part_at: Time,
    upload: Upload,
}

impl PartialBody {
    /// Adds a part. Returns `false` if the parts are more than was announced.
    fn add(&mut self, part: Part) -> bool {
        let early: usize = self.early.values().map(Bytes::len).sum();
        if self.whole.len() + early + part.bytes.len() > self.len {
            return false;
        }
        self.early.insert(part.index, part.bytes);
        while let Some(mut bytes) = self.early.remove(&self.next_index) {
            if self.whole.write(&mut bytes).is_err() {
                return false;
            }
            self.next_index += 1;
        }
        true
    }
}

/// An announced body in the node's counters; on drop it no longer counts.
#[derive(Debug)]
struct Upload {
    uploads: Arc<Uploads>,
    missing_bytes: usize,
}

impl Upload {
    fn new(uploads: Arc<Uploads>, len: usize) -> Upload {
        uploads.bodies.fetch_add(1, Ordering::Relaxed);
        uploads.bytes.fetch_add(len, Ordering::Relaxed);
        Upload {
            uploads,
            missing_bytes: len,
        }
    }

    fn count_received(&mut self, bytes: usize) {
        let expected = bytes.min(self.missing_bytes);
        self.missing_bytes -= expected;
        self.uploads.bytes.fetch_sub(expected, Ordering::Relaxed);
    }
}

impl Drop for Upload {
    fn drop(&mut self) {
        self.uploads.bodies.fetch_sub(1, Ordering::Relaxed);
        self.uploads
            .bytes
            .fetch_sub(self.missing_bytes, Ordering::Relaxed);
    }
}

impl Inbox {
    /// Creates an empty inbox that accepts bodies as long as `memory` can hold them.
    pub(crate) fn new(uploads: Arc<Uploads>, memory: Arc<Account>) -> Inbox {
        Inbox {
            partial: Mutex::default(),
            uploads,
            memory,
        }
    }

    /// Starts to accept the parts of a body. Returns `false` if there is no memory for all of it.
    pub(crate) fn announce(&self, now: Time, body: StagedBody) -> bool {
        let whole = BodyWriter::with_len(&self.memory, None, Use::Request, body.len);
        let Ok(whole) = whole else {
            return false;
        };
        let partial = PartialBody {
            whole,
            len: body.len,
            next_index: 0,
            early: HashMap::new(),
            last_part_at: now,
            upload: Upload::new(self.uploads.clone(), body.len),
        };
        self.partial.lock().insert(body.transfer, partial);
        true
    }

    /// Drops the bodies that have been idle for too long.
    pub(crate) fn drop_idle(&self, now: Time) {
        let mut bodies = self.partial.lock();
        bodies.retain(|_, p| now.since(p.last_part_at) < IDLE_TIMEOUT);
    }

    /// Drops a body whose call was cancelled.
    pub(crate) fn withdraw(&self, transfer: u64) {
        self.partial.lock().remove(&transfer);
    }

    /// Stores a part. Returns `false` if its body was not announced, or not with so many bytes; the
    /// whole body is dropped then.
    pub(crate) fn accept_part(&self, now: Time, part: Part) -> bool {
        let mut partial = self.partial.lock();
        let Some(body) = partial.get_mut(&part.transfer) else {
            return false;
        };
        body.upload.count_received(part.bytes.len());
        body.last_part_at = now;
        let (transfer, is_added) = (part.transfer, body.add(part));
        if !is_added {
            partial.remove(&transfer);
        }
        is_added
    }

    /// Takes a body out of the inbox. Returns `None` if the body is unknown, or
    /// lacks a part and is dropped.
    pub(crate) fn take_complete(&self, StagedBody { transfer, len }: StagedBody) -> Option<Body> {
        let body = self.partial.lock().remove(&transfer)?;
        (body.whole.len() == len).then(|| body.whole.finish())
    }

    /// Counts a body that came with its call. Returns `None` if there is no memory for it.
    pub(crate) fn hold(&self, body: Body) -> Option<Body> {
        let mut charge = self.memory.charge(None);
        charge.try_add(Use::Small, body.len()).ok()?;
        Some(Body::received(body.slice(0, body.len()), charge))
    }
}
