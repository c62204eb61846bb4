//! Running a request that must not be repeated: claim, hand-over and recording of the response,
//! which is replayed to repeats.
//!
//! A claim is a record in the log that reserves the request's idempotency key for one run. A repeat
//! is a later request with the same key.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use axum::body::Body;
use axum::http::{HeaderValue, StatusCode, header};
use axum::response::Response;
use bytes::Bytes;
use claim::{Answer, ClaimEvent, ReqId};
use futures_util::StreamExt;
use kameo::actor::ActorRef;
use ops::Metric;
use tokio::sync::{mpsc, oneshot};
use wire::{Code, Refusal};

use crate::claims::{ClaimActor, ClaimRequest, Decision, LookUpOutcome, RequestEvent};
use crate::gate::Permit;
use crate::problem;
use crate::shared::{InProgress, Shared};
use crate::target_side::{self, Hop};

/// Number of body chunks of a response that are buffered for a slow caller.
const RESPONSE_CHANNEL_CAPACITY: usize = 16;

/// A request known to the claim actor. Dropping it cancels the request there unless the hand-over
/// has begun.
struct PendingClaim {
    claim_actor: ActorRef<ClaimActor>,
    req: ReqId,
    is_handed_over: bool,
}

impl Drop for PendingClaim {
    fn drop(&mut self) {
        if !self.is_handed_over {
            let (claim_actor, req) = (self.claim_actor.clone(), self.req);
            // The actor's mailbox may be full, and `drop` can't wait.
            tokio::spawn(async move {
                let _ = claim_actor
                    .tell(RequestEvent(ClaimEvent::Cancelled(req)))
                    .await;
            });
        }
    }
}

/// Responds to a repeat from the outcome known to this node, without a slot and without the log.
/// Returns `None` if no outcome is known here.
pub(crate) async fn recorded_response(shared: &Arc<Shared>, hop: &Hop) -> Option<Response> {
    let actors = shared.actors.get()?;
    let key = hop.key.clone()?;
    let look_up = LookUpOutcome {
        key,
        request_fingerprint: hop.meta.fingerprint,
    };
    match actors.claims.ask(look_up).await.ok()?? {
        Ok(answer) => {
            shared.metrics.count(Metric::ClaimResponsesReplayed);
            Some(replayed_response(answer))
        }
        Err(code) => Some(problem::response(code.into())),
    }
}

/// Claims the request's key and, if the claim wins, sends the request to the target.
pub(crate) async fn run_once(
    shared: &Arc<Shared>,
    hop: Hop,
    permit: Permit,
) -> Result<Response, Refusal> {
    static NEXT_REQ_ID: AtomicU64 = AtomicU64::new(0);
    let actors = shared.actors.get().ok_or(Code::NotReady)?;
    let key = hop.key.clone().ok_or(Code::KeyMissing)?;
    let req = ReqId(NEXT_REQ_ID.fetch_add(1, Ordering::Relaxed));
    let mut span = shared.tracer.start("claim", &hop.parent);
    let (reply, decision) = oneshot::channel();
    let request_fingerprint = hop.meta.fingerprint;
    let claim_request = ClaimRequest {
        req,
        key,
        request_fingerprint,
        deadline: hop.deadline,
        reply,
    };
    actors
        .claims
        .tell(claim_request)
        .await
        .map_err(|_| Code::ClaimUnavailable)?;
    let pending_claim = PendingClaim {
        claim_actor: actors.claims.clone(),
        req,
        is_handed_over: false,
    };
    match decision.await {
        Ok(Decision::Run) => shared.metrics.count(Metric::ClaimsWon),
        Ok(Decision::Answer(answer)) => return Ok(replayed_response(answer)),
        Ok(Decision::Refuse(refusal)) => {
            let is_unavailable = refusal.code == Code::ClaimUnavailable;
            let metric = if is_unavailable {
                Metric::ClaimsUnavailable
            } else {
                Metric::ClaimsLost
            };
            shared.metrics.count(metric);
            span.set_attribute("briarlug.code", i64::from(refusal.code.number()));
            span.set_error("refused");
            return Err(refusal);
        }
        Err(_) => return Err(Code::ClaimUnavailable.into()),
    }
    drop(span);
    // Detects a target that accepts no connection before the claim becomes irrevocable.
    target_side::check_connect(shared).await?;
    let (tx, rx) = oneshot::channel();
    // Runs in a task of its own, so that it completes even if the caller disconnects: the claim is
    // used up anyway, and the outcome is recorded for a repeat.
    shared.tasks.spawn(run_to_completion(
        shared.clone(),
        hop,
        permit,
        pending_claim,
        tx,
    ));
    rx.await.unwrap_or_else(|_| Err(Code::TargetLost.into()))
}

/// The response to the caller, or a refusal before there is one.
type HeadResult = Result<Response, Refusal>;

/// Hands the request to the target and reports the outcome to the claim actor. `head_tx` gets the
/// response as soon as its head has arrived.
async fn run_to_completion(
    shared: Arc<Shared>,
    mut hop: Hop,
    permit: Permit,
    mut pending_claim: PendingClaim,
    head_tx: oneshot::Sender<HeadResult>,
) {
    let claim_actor = pending_claim.claim_actor.clone();
    let req = pending_claim.req;
    if shared.clock.now() >= hop.deadline {
        let _ = head_tx.send(Err(Code::DeadlinePassed.into()));
        return;
    }
    if claim_actor
        .ask(RequestEvent(ClaimEvent::HandedOver(req)))
        .await
        .is_err()
    {
        let _ = head_tx.send(Err(Code::ClaimUnavailable.into()));
        return;
    }
    pending_claim.is_handed_over = true;
    let span = shared.tracer.start("target", &hop.parent);
    let event = match target_side::exchange(&shared, &mut hop, &span).await {
        Ok(res) => relay(&shared, res, &hop, req, head_tx).await,
        Err(refusal) => {
            let _ = head_tx.send(Err(refusal_after_hand_over(refusal)));
            ClaimEvent::NoResponse(req)
        }
    };
    if matches!(event, ClaimEvent::Finished { .. }) {
        permit.complete();
    }
    let _ = claim_actor.tell(RequestEvent(event)).await;
}

/// Returns the refusal for a failure after the hand-over has begun. The claim is used up then, so
/// codes that invite a repeat are replaced: the repeat would be refused.
fn refusal_after_hand_over(refusal: Refusal) -> Refusal {
    match refusal.code {
        Code::TargetDown | Code::DeadlinePassed => Code::TargetLost.into(),
        _ => refusal,
    }
}

/// Streams the target's whole response to the caller and records it for repeats. Nothing is added
/// to the recording once its size exceeds [`claim::MAX_ANSWER_BYTES`]. Returns the event for the
/// claim actor.
async fn relay(
    shared: &Arc<Shared>,
    res: reqwest::Response,
    hop: &Hop,
    req: ReqId,
    head_tx: oneshot::Sender<HeadResult>,
) -> ClaimEvent {
    let status = res.status().as_u16();
    let (tx, rx) = mpsc::channel::<Result<Bytes, std::io::Error>>(RESPONSE_CHANNEL_CAPACITY);
    let mut out = target_side::response_head(&res);
    let addr = res.remote_addr();
    *out.body_mut() = Body::from_stream(receiver_stream(rx, shared.in_progress()));
    let _ = head_tx.send(Ok(out));
    let mut answer = encode_answer_head(&res);
    let mut chunks = res.bytes_stream();
    while let Some(chunk) = chunks.next().await {
        let Ok(chunk) = chunk else {
            shared.metrics.count(Metric::ResponsesBroken);
            // The body is incomplete, so a repeat must not get what was recorded of it.
            let _ = tx
                .send(Err(std::io::Error::other("target connection lost")))
                .await;
            if let Some(addr) = addr {
                target_side::strike_if_dead(shared, addr, hop.meta.fingerprint).await;
            }
            return ClaimEvent::NoResponse(req);
        };
        if answer.len() <= claim::MAX_ANSWER_BYTES {
            answer.extend_from_slice(&chunk);
        }
        // Sending fails if the caller has disconnected; the rest is still read and recorded.
        let _ = tx.send(Ok(chunk)).await;
    }
    ClaimEvent::Finished {
        req,
        status,
        answer,
    }
}

fn receiver_stream<T>(
    mut rx: mpsc::Receiver<T>,
    in_progress: InProgress,
) -> impl futures_util::Stream<Item = T> {
    futures_util::stream::poll_fn(move |cx| {
        // Owned by the stream, so that a graceful shutdown waits until the last chunk has been
        // sent.
        let _guard = &in_progress;
        rx.poll_recv(cx)
    })
}

/// Returns the first bytes of a recorded response: the length of its content type in one byte, then
/// the content type. The body follows. A content type over 255 bytes is left out.
fn encode_answer_head(res: &reqwest::Response) -> Vec<u8> {
    let value = res.headers().get(header::CONTENT_TYPE);
    let content_type = value.map_or(&[][..], HeaderValue::as_bytes);
    match u8::try_from(content_type.len()) {
        Ok(n) => [&[n], content_type].concat(),
        Err(_) => vec![0],
    }
}

/// Builds the response to a repeat from a recorded response.
fn replayed_response(answer: Answer) -> Response {
    let (content_type, body) = split_answer(&answer.body);
    let mut res = Response::new(Body::from(body.to_vec()));
    *res.status_mut() = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::OK);
    let headers = res.headers_mut();
    if let Some(value) = content_type {
        headers.insert(header::CONTENT_TYPE, value);
    }
    headers.insert("idempotency-replayed", HeaderValue::from_static("true"));
    res
}

/// Splits a recorded response into the content type written by [`encode_answer_head`] and the body.
fn split_answer(raw: &[u8]) -> (Option<HeaderValue>, &[u8]) {
    let split = raw
        .split_first()
        .and_then(|(n, rest)| rest.split_at_checked(usize::from(*n)));
    let Some((content_type, body)) = split else {
        return (None, raw);
    };
    let value = HeaderValue::from_bytes(content_type).ok();
    (value.filter(|v| !v.is_empty()), body)
}
