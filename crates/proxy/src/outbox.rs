//! Staged responses: large bodies of responses that the entry node fetches in parts once it has the
//! memory for them.
//!
//! The target-side node holds such a body, in its own memory, until it is fetched. So the entry node
//! counts the memory before it receives the body, and a large response does not delay small messages
//! on the connection between the nodes.

use std::time::Duration;

use bytes::Bytes;
use futures_util::{StreamExt, TryStreamExt, stream};
use memory::Body;
use parking_lot::Mutex;
use slotmap::{Key, KeyData, SlotMap, new_key_type};
use wire::Time;

use crate::link::context;
use crate::memory_wait;
use crate::message::{Answer, LinkClient, StagedBody};
use crate::shared::Shared;

/// Largest body that is sent with its response. Most responses are smaller, and need no further round
/// trip.
const MAX_INLINE_BYTES: usize = 64 << 10;
/// Size of a part, which takes 12 ms on a network link of 11 Mbit/s.
const PART_BYTES: usize = 16 << 10;
/// Largest number of parts of one body in flight: with a round trip of 11 ms between failure domains,
/// they fill a link of 45 Mbit/s.
const MAX_PARTS_IN_FLIGHT: usize = 4;
/// Time without a fetched part after which a body is dropped. The entry node may wait that long for
/// memory, or may have been lost.
const IDLE_TIMEOUT: Duration = Duration::from_secs(3);
/// Timeout of the release of a body.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(500);

new_key_type! {
    /// Identifies a staged response.
    struct StagedKey;
}

/// The responses that peers may fetch from this node.
#[derive(Debug, Default)]
pub(crate) struct Outbox {
    bodies: Mutex<SlotMap<StagedKey, StagedResponse>>,
}

#[derive(Debug)]
struct StagedResponse {
    body: Body,
    fetched_at: Time,
}

impl Outbox {
    /// Takes a large body out of `answer`, for the peer to fetch.
    pub(crate) fn stage(&self, now: Time, answer: &mut Answer) {
        if answer.body.len() <= MAX_INLINE_BYTES {
            return;
        }
        let body = std::mem::take(&mut answer.body);
        let len = body.len();
        let key = self.bodies.lock().insert(StagedResponse {
            body,
            fetched_at: now,
        });
        answer.staged = Some(StagedBody {
            transfer: key.data().as_ffi(),
            len,
        });
    }

    /// Returns a part of a staged body; `None` if the body is not known or has no such part.
    pub(crate) fn part(&self, now: Time, transfer: u64, index: u32) -> Option<Bytes> {
        let mut bodies = self.bodies.lock();
        let staged = bodies.get_mut(KeyData::from_ffi(transfer).into())?;
        staged.fetched_at = now;
        let start = usize::try_from(index).ok()?.checked_mul(PART_BYTES)?;
        let end = staged.body.len().min(start + PART_BYTES);
        (start < end).then(|| staged.body.slice(start, end))
    }

    /// Returns the bytes of all staged bodies.
    pub(crate) fn bytes(&self) -> usize {
        self.bodies.lock().values().map(|b| b.body.len()).sum()
    }

    /// Drops a body that has been fetched or whose caller has left.
    pub(crate) fn release(&self, transfer: u64) {
        self.bodies
            .lock()
            .remove(KeyData::from_ffi(transfer).into());
    }

    /// Drops the bodies of which no part has been fetched for too long.
    pub(crate) fn drop_idle(&self, now: Time) {
        let mut bodies = self.bodies.lock();
        bodies.retain(|_, b| now.since(b.fetched_at) < IDLE_TIMEOUT);
    }
}

/// Releases a staged body at the peer when it is dropped.
struct ReleaseGuard<'a> {
    shared: &'a Shared,
    client: &'a LinkClient,
    transfer: u64,
}

impl Drop for ReleaseGuard<'_> {
    fn drop(&mut self) {
        let (client, transfer) = (self.client.clone(), self.transfer);
        self.shared.tasks.spawn(async move {
            // A peer that misses the release drops the body after some idle seconds.
            let _ = client
                .release_response(context(RELEASE_TIMEOUT), transfer)
                .await;
        });
    }
}

/// Counts the body of a response of a peer; fetches it first if it is staged there. Returns `None` if
/// it can't be had within `limit`.
pub(crate) async fn receive(
    shared: &Shared,
    client: &LinkClient,
    answer: Answer,
    limit: Duration,
) -> Option<Answer> {
    let mut answer = answer;
    answer.body = match answer.staged.take() {
        None => memory_wait::received(shared, answer.body),
        Some(staged) => {
            let fetched = fetch(shared, client, staged, limit);
            tokio::time::timeout(limit, fetched).await.ok()??
        }
    };
    Some(answer)
}

async fn fetch(
    shared: &Shared,
    client: &LinkClient,
    staged: StagedBody,
    limit: Duration,
) -> Option<Body> {
    let transfer = staged.transfer;
    let _release = ReleaseGuard {
        shared,
        client,
        transfer,
    };
    let mut body = memory_wait::response(shared, staged.len).await.ok()?;
    let count = u32::try_from(staged.len.div_ceil(PART_BYTES)).ok()?;
    let cx = context(limit);
    let parts = stream::iter((0..count).map(|index| async move {
        let part = client.response_part(cx, transfer, index).await;
        part.ok().flatten().ok_or(())
    }));
    let mut parts = parts.buffered(MAX_PARTS_IN_FLIGHT);
    while let Some(mut part) = parts.try_next().await.ok()? {
        body.write(&mut part).ok()?;
    }
    (body.len() == staged.len).then(|| body.finish())
}
