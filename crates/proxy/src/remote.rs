//! Attempts at the targets beside other nodes.

use std::time::Duration;

use wire::{Code, Refusal};

use crate::attempts::millis;
use crate::entry::Pending;
use crate::link::context;
use crate::message::{Call, Failure, LinkClient, Outcome, Reply, SentAhead, Times};
use crate::peers::PeerKey;
use crate::shared::Shared;
use crate::transfer;

/// Time without a reply after which a node that has sent nothing else is asked whether it lives.
/// Most requests are answered by then.
const DOUBT_AFTER: Duration = Duration::from_millis(400);

/// Time for the answer to a node that wants to send a body. It does no work, so one that takes
/// longer is overloaded or cut off.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_millis(500);

/// Makes an attempt at the target beside another node.
pub(crate) async fn call_peer(
    shared: &Shared,
    pending: &Pending,
    key: PeerKey,
    mut call: Call,
) -> (Outcome, Times) {
    let client = {
        let mut peers = shared.peers.lock();
        peers.sent(key);
        peers.client(key)
    };
    let Some(client) = client else {
        let refusal = Refusal::from(Code::NoInstance);
        return (Outcome::Refused(refusal.into()), Times::default());
    };
    let sent = shared.now();
    let body_bytes = call.body.len();
    let ahead = match send_ahead(shared, pending, key, &client, &mut call).await {
        Ok(ahead) => ahead,
        Err(refusal) => return (Outcome::Refused(refusal.into()), Times::default()),
    };
    let left = pending.limit.since(shared.now());
    call.sent_us = shared.now().as_micros();
    let reply = client.call(context(left), call);
    tokio::pin!(reply);
    let reply = match tokio::time::timeout(DOUBT_AFTER, &mut reply).await {
        Ok(reply) => reply,
        Err(_) => {
            shared.peers.lock().doubt(shared.now(), key, DOUBT_AFTER);
            reply.await
        }
    };
    if let Some(ahead) = ahead {
        ahead.arrived();
    }
    match reply {
        Ok(Reply {
            queue,
            outcome,
            times,
        }) => {
            let away = Duration::from_millis((times.queued_ms + times.target_ms).into());
            let way = shared.now().since(sent).saturating_sub(away);
            let mut peers = shared.peers.lock();
            peers.queue(shared.now(), key, queue.into());
            peers.measured(key, way, body_bytes);
            (outcome, times)
        }
        Err(e) => {
            log::info!(event = "peer_call_failed", error:% = e; "the node beside the target was lost");
            (Outcome::Failed(Failure::PeerLost), Times::default())
        }
    }
}

/// A body that is sent ahead. Dropping it tells the other node that its call will not come, so that
/// it does not count as on the way.
struct Ahead<'a> {
    shared: &'a Shared,
    client: LinkClient,
    transfer: u64,
    withdraw: bool,
}

impl Ahead<'_> {
    fn arrived(mut self) {
        self.withdraw = false;
    }
}

impl Drop for Ahead<'_> {
    fn drop(&mut self) {
        if !self.withdraw {
            return;
        }
        let (client, transfer) = (self.client.clone(), self.transfer);
        self.shared.tasks.spawn(async move {
            // A node that misses it drops the body some seconds later.
            let _ = client
                .withdraw_body(context(ANNOUNCE_TIMEOUT), transfer)
                .await;
        });
    }
}

/// Sends a large body ahead of its call. Until the call follows, the request can't run.
async fn send_ahead<'a>(
    shared: &'a Shared,
    pending: &Pending,
    key: PeerKey,
    client: &LinkClient,
    call: &mut Call,
) -> Result<Option<Ahead<'a>>, Refusal> {
    if !transfer::is_large(&call.body) {
        return Ok(None);
    }
    let body = std::mem::take(&mut call.body);
    let transfer = shared.next_transfer();
    call.ahead = Some(SentAhead {
        transfer,
        len: body.len(),
    });
    let ahead = Ahead {
        shared,
        client: client.clone(),
        transfer,
        withdraw: true,
    };
    announce(shared, key, client, call).await?;
    let cx = context(pending.limit.since(shared.now()));
    let sent = transfer::send(client, cx, transfer, &body).await;
    sent.map_err(|e| match e {
        transfer::SendError::Refused => Refusal::from(Code::QueueFull),
        transfer::SendError::Lost(e) => {
            log::info!(event = "body_not_sent", id = call.request_id.as_str(), error:% = e; "the node beside the target was lost before the request was sent");
            Refusal::from(Code::NoInstance)
        }
    })?;
    let now = shared.now();
    call.left_ms = millis(pending.limit.since(now));
    call.due_ms = millis(pending.due.since(now));
    Ok(Some(ahead))
}

/// Asks whether a body may be sent ahead of its call.
async fn announce(
    shared: &Shared,
    key: PeerKey,
    client: &LinkClient,
    call: &Call,
) -> Result<(), Refusal> {
    let asked = client.announce_body(context(ANNOUNCE_TIMEOUT), call.clone());
    match tokio::time::timeout(ANNOUNCE_TIMEOUT, asked).await {
        Ok(Ok(answer)) => {
            let mut peers = shared.peers.lock();
            peers.queue(shared.now(), key, answer.queue.into());
            answer.refusal.map_or(Ok(()), |r| Err(r.into()))
        }
        Ok(Err(_)) | Err(_) => {
            shared.peers.lock().doubt(shared.now(), key, DOUBT_AFTER);
            log::info!(event = "body_not_announced", id = call.request_id.as_str(); "the node beside the target does not answer, and the request was not sent");
            Err(Code::NoInstance.into())
        }
    }
}
