//! Running a request that must not be repeated: claim, hand-over, and the answer for repeats.

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

use crate::beside::{self, Hop};
use crate::claims::{About, Ask, ClaimKeeper, Decision, Peek};
use crate::gate::Permit;
use crate::problem;
use crate::shared::{InProgress, Shared};

/// Pieces of an answer that wait for a slow caller.
const ANSWER_PIECES: usize = 16;

/// Tells the keeper that the request went away unless it was handed over.
struct Asked {
    keeper: ActorRef<ClaimKeeper>,
    req: ReqId,
    settled: bool,
}

impl Drop for Asked {
    fn drop(&mut self) {
        if !self.settled {
            let (keeper, req) = (self.keeper.clone(), self.req);
            // The keeper's mailbox may be full, so this waits outside of the dropped future.
            tokio::spawn(async move {
                let _ = keeper.tell(About(ClaimEvent::Cancelled(req))).await;
            });
        }
    }
}

/// Answers a repeat from what is known here, without a slot and without the log.
pub(crate) async fn known_answer(shared: &Arc<Shared>, hop: &Hop) -> Option<Response> {
    let links = shared.links.get()?;
    let key = hop.key.clone()?;
    let peek = Peek {
        key,
        request: hop.meta.fingerprint,
    };
    match links.claims.ask(peek).await.ok()?? {
        Ok(answer) => {
            shared.metrics.count(Metric::ClaimResponsesReplayed);
            Some(kept(answer))
        }
        Err(code) => Some(problem::response(code.into())),
    }
}

/// Claims the request's key and, if the claim wins, hands the request to the target.
pub(crate) async fn run_once(
    shared: &Arc<Shared>,
    hop: Hop,
    permit: Permit,
) -> Result<Response, Refusal> {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    let links = shared.links.get().ok_or(Code::NotReady)?;
    let key = hop.key.clone().ok_or(Code::KeyMissing)?;
    let req = ReqId(NEXT.fetch_add(1, Ordering::Relaxed));
    let mut span = shared.tracer.start("claim", &hop.parent);
    let (reply, decided) = oneshot::channel();
    let request = hop.meta.fingerprint;
    let ask = Ask {
        req,
        key,
        request,
        deadline: hop.deadline,
        reply,
    };
    links
        .claims
        .tell(ask)
        .await
        .map_err(|_| Code::ClaimUnavailable)?;
    let asked = Asked {
        keeper: links.claims.clone(),
        req,
        settled: false,
    };
    match decided.await {
        Ok(Decision::Run) => shared.metrics.count(Metric::ClaimsWon),
        Ok(Decision::Answer(answer)) => return Ok(kept(answer)),
        Ok(Decision::Refuse(refusal)) => {
            let unavailable = refusal.code == Code::ClaimUnavailable;
            let metric = if unavailable {
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
    // A target that takes no connection is found out before the claim becomes irrevocable.
    beside::check_connect(shared).await?;
    let (tx, rx) = oneshot::channel();
    // The run goes on when the caller goes away: a broken transfer would help nobody, and the
    // outcome is kept for the repeat.
    shared
        .tasks
        .spawn(run(shared.clone(), hop, permit, asked, tx));
    rx.await.unwrap_or_else(|_| Err(Code::TargetLost.into()))
}

type Head = Result<Response, Refusal>;

async fn run(
    shared: Arc<Shared>,
    mut hop: Hop,
    permit: Permit,
    mut asked: Asked,
    head: oneshot::Sender<Head>,
) {
    let keeper = asked.keeper.clone();
    let req = asked.req;
    if shared.clock.now() >= hop.deadline {
        let _ = head.send(Err(Code::DeadlinePassed.into()));
        return;
    }
    if keeper
        .ask(About(ClaimEvent::HandedOver(req)))
        .await
        .is_err()
    {
        let _ = head.send(Err(Code::ClaimUnavailable.into()));
        return;
    }
    asked.settled = true;
    let span = shared.tracer.start("target", &hop.parent);
    let event = match beside::exchange(&shared, &mut hop, &span).await {
        Ok(res) => relay(&shared, res, &hop, req, head).await,
        Err(refusal) => {
            let _ = head.send(Err(after_hand_over(refusal)));
            ClaimEvent::NoResponse(req)
        }
    };
    if matches!(event, ClaimEvent::Finished { .. }) {
        permit.finish_ok();
    }
    let _ = keeper.tell(About(event)).await;
}

/// The claim is spent once the hand-over has begun, so a failure then must not invite a repeat
/// that would be refused.
fn after_hand_over(refusal: Refusal) -> Refusal {
    match refusal.code {
        Code::TargetDown | Code::DeadlinePassed => Code::TargetLost.into(),
        _ => refusal,
    }
}

/// Passes the answer on while keeping its beginning for repeats.
async fn relay(
    shared: &Arc<Shared>,
    res: reqwest::Response,
    hop: &Hop,
    req: ReqId,
    head: oneshot::Sender<Head>,
) -> ClaimEvent {
    let status = res.status().as_u16();
    let (tx, rx) = mpsc::channel::<Result<Bytes, std::io::Error>>(ANSWER_PIECES);
    let mut out = beside::response_head(&res);
    let addr = res.remote_addr();
    *out.body_mut() = Body::from_stream(receiver_stream(rx, shared.in_progress()));
    let _ = head.send(Ok(out));
    let mut answer = kept_head(&res);
    let mut pieces = res.bytes_stream();
    while let Some(piece) = pieces.next().await {
        let Ok(piece) = piece else {
            shared.metrics.count(Metric::ResponsesBroken);
            // The status is known but the answer is not, so a repeat must not get a part of it.
            let _ = tx.send(Err(std::io::Error::other("target lost"))).await;
            if let Some(addr) = addr {
                beside::strike_if_dead(shared, addr, hop.meta.fingerprint).await;
            }
            return ClaimEvent::NoResponse(req);
        };
        if answer.len() <= claim::MAX_ANSWER_BYTES {
            answer.extend_from_slice(&piece);
        }
        // The caller may have gone; the rest is read all the same.
        let _ = tx.send(Ok(piece)).await;
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
        // A graceful shutdown waits until the last piece has left.
        let _held = &in_progress;
        rx.poll_recv(cx)
    })
}

/// Begins a kept answer: the length of its content type in one byte, then the content type.
fn kept_head(res: &reqwest::Response) -> Vec<u8> {
    let value = res.headers().get(header::CONTENT_TYPE);
    let content_type = value.map_or(&[][..], HeaderValue::as_bytes);
    match u8::try_from(content_type.len()) {
        Ok(n) => [&[n], content_type].concat(),
        Err(_) => vec![0],
    }
}

fn kept(answer: Answer) -> Response {
    let (content_type, body) = split_kept(&answer.body);
    let mut res = Response::new(Body::from(body.to_vec()));
    *res.status_mut() = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::OK);
    let headers = res.headers_mut();
    if let Some(value) = content_type {
        headers.insert(header::CONTENT_TYPE, value);
    }
    headers.insert("idempotency-replayed", HeaderValue::from_static("true"));
    res
}

/// Takes apart what [`kept_head`] began.
fn split_kept(raw: &[u8]) -> (Option<HeaderValue>, &[u8]) {
    let split = raw
        .split_first()
        .and_then(|(n, rest)| rest.split_at_checked(usize::from(*n)));
    let Some((content_type, body)) = split else {
        return (None, raw);
    };
    let value = HeaderValue::from_bytes(content_type).ok();
    (value.filter(|v| !v.is_empty()), body)
}
