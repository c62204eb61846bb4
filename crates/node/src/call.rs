//! The entry side of a request: choosing an instance, sending, retrying and hedging.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use axum::http::{HeaderMap, Method};
use claim::IssuedKey;
use config::{Repeat, Snapshot};
use ops::{Metric, TraceContext};
use route::{Attempts, Failure, OutcomeKind, PickRequest, RouteKey, costs_token};
use wire::{Code, Executed, InstanceId, Refusal, Time};

use crate::attempt::{FailedAttempt, InFlightAttempt, TargetResponse, send};
use crate::body::RequestBody;
use crate::headers::HopMeta;
use crate::services::{ChosenInstance, ServiceState};
use crate::shared::Shared;
use crate::target_side::{self, Hop};

/// A caller's request together with the routing decisions made on its arrival.
pub(crate) struct Call {
    pub(crate) shared: Arc<Shared>,
    /// Keeps the configuration version pinned under which the request arrived.
    pub(crate) _snapshot: Arc<Snapshot>,
    pub(crate) service: Arc<ServiceState>,
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) headers: HeaderMap,
    pub(crate) meta: HopMeta,
    pub(crate) deadline: Time,
    pub(crate) body: RequestBody,
    /// Idempotency key sent by the caller.
    pub(crate) key: Option<String>,
    /// Whether the route allows hedges and the body is buffered entirely.
    pub(crate) can_hedge: bool,
    pub(crate) parent: TraceContext,
}

impl Call {
    /// Sends the request until the target responds or no further attempt is allowed.
    pub(crate) async fn run(mut self) -> Result<TargetResponse, Refusal> {
        if let Some(instance) = self.issuing_instance() {
            return self.run_at_issuer(instance).await;
        }
        let idempotent = self.meta.repeat == Repeat::Safe;
        let route = RouteKey(self.meta.route);
        let mut attempts = Attempts::new(idempotent);
        let mut refusal = Refusal::from(Code::NoInstance);
        let mut has_spent_token = false;
        loop {
            let now = self.shared.clock.now();
            let pick_request = PickRequest {
                exclude: attempts.tried(),
                is_hedge: false,
                is_repeatable: idempotent,
            };
            let Some(chosen) = self.service.begin_attempt(now, &pick_request, route) else {
                if has_spent_token {
                    self.service.refund_retry();
                }
                return Err(refusal);
            };
            attempts.add(chosen.pick.id);
            let replayable = self.body.rest.is_none();
            let result = self.send_hedged(chosen, &mut attempts).await;
            let failed = match result {
                Ok(response) => return Ok(response),
                Err(failed) => failed,
            };
            refusal = combine_refusals(refusal, failed.refusal);
            let failure = Failure {
                kind: failed.kind,
                is_from_upstream: false,
                response_started: false,
                replayable,
                remaining: self.deadline - self.shared.clock.now(),
            };
            let now = self.shared.clock.now();
            if self
                .service
                .may_retry(now, &attempts, &failure, route)
                .is_err()
            {
                return Err(refusal);
            }
            has_spent_token = costs_token(failure.kind);
            if self.shared.is_quarantined(self.meta.fingerprint) {
                if has_spent_token {
                    self.service.refund_retry();
                }
                return Err(combine_refusals(refusal, Code::Quarantined.into()));
            }
            self.shared.metrics.count(Metric::Retries);
        }
    }

    /// Returns the instance whose node issued the request's key; `None` if the request may be
    /// repeated, or its key is missing or was made up by the caller.
    fn issuing_instance(&self) -> Option<InstanceId> {
        if self.meta.repeat == Repeat::Safe {
            return None;
        }
        let key: IssuedKey = self.key.as_deref()?.parse().ok()?;
        Some(key.instance)
    }

    /// Sends the request to the instance that issued its key, the only one that may run it.
    ///
    /// An earlier request with the same key may have run there, so the outcome is unknown if the
    /// instance isn't a known member of the service or can't be reached.
    async fn run_at_issuer(mut self, instance: InstanceId) -> Result<TargetResponse, Refusal> {
        let route = RouteKey(self.meta.route);
        let members = self.shared.members.load();
        let record = members.get(&instance);
        let addr = record
            .filter(|r| r.service == self.meta.service)
            .map(|r| r.data)
            .ok_or(Code::OutcomeUnknown)?;
        drop(members);
        let chosen = self
            .service
            .begin_attempt_at(self.shared.clock.now(), instance, addr, route);
        let result = self.attempt(chosen, 1, Arc::default()).await;
        result.map_err(|failed| match failed.kind {
            OutcomeKind::ConnectFailed => Code::OutcomeUnknown.into(),
            _ => failed.refusal,
        })
    }

    /// Sends the request to `chosen` and, if there is no response within the hedge delay, to one
    /// more instance.
    async fn send_hedged(
        &mut self,
        chosen: ChosenInstance,
        attempts: &mut Attempts,
    ) -> Result<TargetResponse, FailedAttempt> {
        let started_at = self.shared.clock.now();
        let lost_to_hedge = Arc::new(AtomicBool::new(false));
        let first = self.attempt(chosen, attempts.tried().len(), lost_to_hedge.clone());
        let route = RouteKey(self.meta.route);
        let delay = self.service.hedge_delay(chosen.pick, route);
        let Some(delay) = delay.filter(|_| self.can_hedge) else {
            return first.await;
        };
        let mut first = Box::pin(first);
        if let Ok(result) = tokio::time::timeout(delay, &mut first).await {
            return result;
        }
        let now = self.shared.clock.now();
        let pick_request = PickRequest {
            exclude: attempts.tried(),
            is_hedge: true,
            is_repeatable: true,
        };
        let second = attempts
            .has_remaining()
            .then(|| self.service.begin_hedge(now, &pick_request, route))
            .flatten();
        let Some(second) = second else {
            return first.await;
        };
        attempts.add(second.pick.id);
        self.shared.metrics.count(Metric::Hedges);
        let second = Box::pin(self.attempt(second, attempts.tried().len(), Arc::default()));
        let result = first_success(first, second, &lost_to_hedge).await;
        if lost_to_hedge.load(Ordering::Relaxed) {
            // The elapsed time of the slower attempt is recorded as a latency. Otherwise hedges
            // would hide the tail from which their own delay is derived.
            let elapsed = self.shared.clock.now() - started_at;
            self.service.record_latency(route, elapsed);
        }
        result
    }

    /// Starts one attempt; `number` counts from 1. The future borrows nothing from the call, so an
    /// attempt and its hedge can run concurrently.
    fn attempt(
        &mut self,
        chosen: ChosenInstance,
        number: usize,
        lost_to_hedge: Arc<AtomicBool>,
    ) -> impl Future<Output = Result<TargetResponse, FailedAttempt>> + Send + use<> {
        let now = self.shared.clock.now();
        let guard = InFlightAttempt {
            shared: self.shared.clone(),
            service: self.service.clone(),
            chosen,
            route: RouteKey(self.meta.route),
            fingerprint: self.meta.fingerprint,
            started_at: now,
            is_first: number == 1,
            lost_to_hedge,
            is_finished: false,
        };
        let mut meta = self.meta.clone();
        meta.remaining = self.deadline - now;
        meta.attempt = u32::try_from(number).unwrap_or(u32::MAX);
        let is_buffered = self.body.rest.is_none();
        let hop = Hop {
            method: self.method.clone(),
            path: self.path.clone(),
            headers: self.headers.clone(),
            meta,
            deadline: self.deadline,
            body: RequestBody {
                prefix: self.body.prefix.clone(),
                rest: if is_buffered {
                    None
                } else {
                    self.body.rest.take()
                },
            },
            key: self.key.clone(),
            parent: self.parent.clone(),
            lost_incarnation: Arc::default(),
        };
        let shared = self.shared.clone();
        let is_head = self.method == Method::HEAD;
        async move {
            if chosen.pick.id == shared.id {
                guard.on_local_response(target_side::serve(&shared, hop).await, is_head)
            } else {
                guard.on_send_result(send(&shared, chosen.addr, hop).await)
            }
        }
    }
}

/// Returns the first successful response, or the combined failure if both attempts fail. Sets
/// `lost_to_hedge` if the second attempt succeeds while the first is outstanding.
async fn first_success(
    first: impl Future<Output = Result<TargetResponse, FailedAttempt>> + Unpin,
    second: impl Future<Output = Result<TargetResponse, FailedAttempt>> + Unpin,
    lost_to_hedge: &AtomicBool,
) -> Result<TargetResponse, FailedAttempt> {
    use futures_util::future::{Either, select};
    match select(first, second).await {
        Either::Left((Ok(response), _)) => Ok(response),
        Either::Right((Ok(response), first)) => {
            lost_to_hedge.store(true, Ordering::Relaxed);
            drop(first);
            Ok(response)
        }
        Either::Left((Err(earlier), second)) => second.await.map_err(|f| f.with_earlier(earlier)),
        Either::Right((Err(earlier), first)) => first.await.map_err(|f| f.with_earlier(earlier)),
    }
}

/// Returns the refusal for a request whose attempts ended with `earlier` and then `later`: the
/// earlier one if that attempt may have run, since then the request may have run.
pub(crate) fn combine_refusals(earlier: Refusal, later: Refusal) -> Refusal {
    if earlier.code.executed() == Some(Executed::No) {
        later
    } else {
        earlier
    }
}
