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

use crate::message::LinkClient;

/// Size of a part: 10 ms of a link of 7 Mbit/s, the slowest in use.
const PART_BYTES: usize = 8 << 10;
/// Parts of one body that are under way at once: one on the link while the word of the other's
/// arrival returns.
const PARTS_UNDER_WAY: usize = 2;
/// Time without a further part after which a body is dropped. The sender of a live one gives up
/// sooner.
const MAX_SILENCE: Duration = Duration::from_secs(20);

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

/// Bodies that arrive on one connection. Their memory counts with that of all other bodies.
#[derive(Debug)]
pub(crate) struct Inbox {
    arriving: Mutex<HashMap<u64, Arriving>>,
    held: Arc<AtomicUsize>,
    most: usize,
}

#[derive(Debug)]
struct Arriving {
    parts: HashMap<u32, Bytes>,
    last: Time,
    held: Held,
}

/// Memory that is counted until it is dropped.
#[derive(Debug)]
struct Held {
    all: Arc<AtomicUsize>,
    bytes: usize,
}

impl Drop for Held {
    fn drop(&mut self) {
        self.all.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

impl Inbox {
    /// Makes an empty one that takes parts while `held` stays within `most` bytes.
    pub(crate) fn new(held: Arc<AtomicUsize>, most: usize) -> Inbox {
        Inbox {
            arriving: Mutex::default(),
            held,
            most,
        }
    }

    /// Takes a part; returns `false` if there is no memory for it.
    pub(crate) fn take(&self, now: Time, part: Part) -> bool {
        let mut arriving = self.arriving.lock();
        arriving.retain(|_, a| now.since(a.last) < MAX_SILENCE);
        let size = part.bytes.len();
        if self.held.fetch_add(size, Ordering::Relaxed) + size > self.most {
            self.held.fetch_sub(size, Ordering::Relaxed);
            arriving.remove(&part.transfer);
            return false;
        }
        let body = arriving.entry(part.transfer).or_insert_with(|| Arriving {
            parts: HashMap::new(),
            last: now,
            held: Held {
                all: self.held.clone(),
                bytes: 0,
            },
        });
        body.held.bytes += size;
        body.last = now;
        body.parts.insert(part.index, part.bytes);
        true
    }

    /// Returns a body whose parts have all come.
    pub(crate) fn whole(&self, transfer: u64, len: usize) -> Option<Bytes> {
        let mut body = self.arriving.lock().remove(&transfer)?;
        let mut whole = BytesMut::with_capacity(len);
        for index in 0..u32::try_from(body.parts.len()).ok()? {
            whole.extend_from_slice(&body.parts.remove(&index)?);
        }
        (whole.len() == len).then(|| whole.freeze())
    }
}
