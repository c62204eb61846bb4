//! Attempts at the targets of other nodes.

use std::time::Duration;

use wire::{Code, Refusal};

use crate::attempts::as_millis_u64;
use crate::entry::Pending;
use crate::link::context;
use crate::message::{Call, Failure, LinkClient, Outcome, Reply, StagedBody, Times};
use crate::outbox;
use crate::peers::PeerKey;
use crate::shared::Shared;
use crate::transfer;

/// Time without a reply after which a peer is suspected and gets a status call at once, unless it
/// has sent other state within this time. Most requests are answered sooner.
const SUSPECT_AFTER: Duration = Duration::from_millis(400);

/// Timeout of the announcement or withdrawal of a staged body: a large body that is uploaded to the
/// target-side node before its call. Neither takes the peer any work, so a peer that takes longer
/// is overloaded or disconnected.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_millis(500);

/// Makes an attempt at the target of another node.
pub(crate) async fn call_peer(
    shared: &Shared,
    pending: &Pending,
    key: PeerKey,
    mut call: Call,
) -> (Outcome, Times) {
    let client = {
        let mut peers = shared.peers.lock();
        peers.count_sent(key);
        peers.client(key)
    };
    let Some(client) = client else {
        let refusal = Refusal::from(Code::NoInstance);
        return (Outcome::Refused(refusal.into()), Times::default());
    };
    let sent_at = shared.now();
    let body_bytes = call.body.len();
    let staging = match stage_body(shared, pending, key, &client, &mut call).await {
        Ok(staging) => staging,
        Err(refusal) => return (Outcome::Refused(refusal.into()), Times::default()),
    };
    let remaining = pending.deadline.since(shared.now());
    call.sent_us = shared.now().as_micros();
    let reply = client.call(context(remaining), call);
    tokio::pin!(reply);
    let reply = match tokio::time::timeout(SUSPECT_AFTER, &mut reply).await {
        Ok(reply) => reply,
        Err(_) => {
            shared
                .peers
                .lock()
                .suspect(shared.now(), key, SUSPECT_AFTER);
            reply.await
        }
    };
    if let Some(staging) = staging {
        staging.disarm();
    }
    match reply {
        Ok(Reply {
            queue,
            outcome,
            times,
        }) => {
            shared
                .peers
                .lock()
                .update_queue(shared.now(), key, queue.into());
            let outcome = receive_body(shared, pending, &client, outcome).await;
            let at_target = Duration::from_millis((times.queued_ms + times.target_ms).into());
            let transit = shared.now().since(sent_at).saturating_sub(at_target);
            shared.peers.lock().record_transit(key, transit, body_bytes);
            (outcome, times)
        }
        Err(e) => {
            log::info!(event = "peer_call_failed", error:% = e; "call to the target-side node failed; the request's outcome is unknown");
            (Outcome::Failed(Failure::PeerLost), Times::default())
        }
    }
}

/// Counts and, if it is staged at the peer, fetches the body of a response.
async fn receive_body(
    shared: &Shared,
    pending: &Pending,
    client: &LinkClient,
    outcome: Outcome,
) -> Outcome {
    let Outcome::Answer(answer) = outcome else {
        return outcome;
    };
    let limit = pending.deadline.since(shared.now());
    match outbox::receive(shared, client, answer, limit).await {
        Some(answer) => Outcome::Answer(answer),
        None => {
            log::info!(event = "response_not_fetched", id = pending.call.request_id.as_str(); "the body of a response could not be fetched from the target-side node; outcome unknown");
            Outcome::Failed(Failure::PeerLost)
        }
    }
}

/// Guards a body staged at a peer. If the guard is dropped before the call has ended, it withdraws
/// the body, and the peer no longer counts the request as queued.
struct StagingGuard<'a> {
    shared: &'a Shared,
    client: LinkClient,
    transfer: u64,
    withdraw_on_drop: bool,
}

impl StagingGuard<'_> {
    /// Drops the guard without a withdrawal.
    fn disarm(mut self) {
        self.withdraw_on_drop = false;
    }
}

impl Drop for StagingGuard<'_> {
    fn drop(&mut self) {
        if !self.withdraw_on_drop {
            return;
        }
        let (client, transfer) = (self.client.clone(), self.transfer);
        self.shared.tasks.spawn(async move {
            // A peer that misses the withdrawal drops the body after some idle seconds.
            let _ = client
                .withdraw_body(context(ANNOUNCE_TIMEOUT), transfer)
                .await;
        });
    }
}

/// Moves a large body out of `call` and uploads it; the request cannot run until the call follows.
/// Returns `None` for a small body, which stays in the call. A refusal means that the peer takes no
/// such request or the upload failed.
async fn stage_body<'a>(
    shared: &'a Shared,
    pending: &Pending,
    key: PeerKey,
    client: &LinkClient,
    call: &mut Call,
) -> Result<Option<StagingGuard<'a>>, Refusal> {
    if !transfer::is_large(&call.body) {
        return Ok(None);
    }
    let body = std::mem::take(&mut call.body);
    let transfer = shared.next_transfer_id();
    call.staged_body = Some(StagedBody {
        transfer,
        len: body.len(),
    });
    let staging = StagingGuard {
        shared,
        client: client.clone(),
        transfer,
        withdraw_on_drop: true,
    };
    announce_body(shared, key, client, call).await?;
    let cx = context(pending.target_deadline(shared).since(shared.now()));
    let sent = transfer::send(client, cx, transfer, &body).await;
    sent.map_err(|e| match e {
        transfer::SendError::Refused => Refusal::from(Code::QueueFull),
        transfer::SendError::Lost(e) => {
            log::info!(event = "body_not_sent", id = call.request_id.as_str(), error:% = e; "body upload to the target-side node failed; request not sent to it");
            Refusal::from(Code::NoInstance)
        }
    })?;
    let now = shared.now();
    call.remaining_ms = as_millis_u64(pending.target_deadline(shared).since(now));
    call.due_ms = as_millis_u64(pending.due.since(now));
    Ok(Some(staging))
}

/// Asks a peer whether the staged body of `call` may be uploaded.
async fn announce_body(
    shared: &Shared,
    key: PeerKey,
    client: &LinkClient,
    call: &Call,
) -> Result<(), Refusal> {
    let reply = client.announce_body(context(ANNOUNCE_TIMEOUT), call.clone());
    match tokio::time::timeout(ANNOUNCE_TIMEOUT, reply).await {
        Ok(Ok(reply)) => {
            let mut peers = shared.peers.lock();
            peers.update_queue(shared.now(), key, reply.queue.into());
            reply.refusal.map_or(Ok(()), |r| Err(r.into()))
        }
        Ok(Err(_)) | Err(_) => {
            shared
                .peers
                .lock()
                .suspect(shared.now(), key, SUSPECT_AFTER);
            log::info!(event = "body_not_announced", id = call.request_id.as_str(); "target-side node did not answer the announcement of a body; request not sent to it");
            Err(Code::NoInstance.into())
        }
    }
}
