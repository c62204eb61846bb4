//! A caller's request: choose an instance, send, retry, hedge.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use axum::http::{HeaderMap, Method};
use claim::IssuedKey;
use config::{Repeat, Snapshot};
use ops::{Metric, TraceContext};
use route::{Attempts, Failure, OutcomeKind, PickRequest, RouteKey, costs_token};
use wire::{Code, Executed, InstanceId, Refusal, Time};

use crate::attempt::{Answer, Failed, InFlight, send};
use crate::beside::{self, Hop};
use crate::body::Inbound;
use crate::headers::HopMeta;
use crate::services::{Chosen, ServiceState};
use crate::shared::Shared;

/// A caller's request with all that was decided about it on arrival.
pub(crate) struct Call {
    pub(crate) shared: Arc<Shared>,
    /// Held so that the whole request is served under the version that it arrived under.
    pub(crate) _snapshot: Arc<Snapshot>,
    pub(crate) service: Arc<ServiceState>,
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) headers: HeaderMap,
    pub(crate) meta: HopMeta,
    pub(crate) deadline: Time,
    pub(crate) body: Inbound,
    pub(crate) key: Option<String>,
    pub(crate) hedge: bool,
    pub(crate) parent: TraceContext,
}

impl Call {
    /// Sends the request until it is answered or may not be sent again.
    pub(crate) async fn run(mut self) -> Result<Answer, Refusal> {
        if let Some(instance) = self.issuer() {
            return self.run_at(instance).await;
        }
        let idempotent = self.meta.repeat == Repeat::Safe;
        let route = RouteKey(self.meta.route);
        let mut attempts = Attempts::new(idempotent);
        let mut refusal = Refusal::from(Code::NoInstance);
        let mut spent = false;
        loop {
            let now = self.shared.clock.now();
            let pick_request = PickRequest {
                exclude: attempts.tried(),
                is_hedge: false,
                is_repeatable: idempotent,
            };
            let Some(chosen) = self.service.begin(now, &pick_request, route) else {
                if spent {
                    self.service.refund_retry();
                }
                return Err(refusal);
            };
            attempts.add(chosen.pick.id);
            let replayable = self.body.rest.is_none();
            let reply = self.send_hedged(chosen, &mut attempts).await;
            let failed = match reply {
                Ok(answer) => return Ok(answer),
                Err(failed) => failed,
            };
            refusal = overall(refusal, failed.refusal);
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
            spent = costs_token(failure.kind);
            if self.shared.is_quarantined(self.meta.fingerprint) {
                if spent {
                    self.service.refund_retry();
                }
                return Err(overall(refusal, Code::Quarantined.into()));
            }
            self.shared.metrics.count(Metric::Retries);
        }
    }

    /// Returns the instance that issued the request's key, if a node did.
    fn issuer(&self) -> Option<InstanceId> {
        if self.meta.repeat == Repeat::Safe {
            return None;
        }
        let key: IssuedKey = self.key.as_deref()?.parse().ok()?;
        Some(key.instance)
    }

    /// Sends the request to the only instance that may run it.
    ///
    /// An earlier request with the key may have run there, so if the instance can't be asked the
    /// outcome is unknown.
    async fn run_at(mut self, instance: InstanceId) -> Result<Answer, Refusal> {
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
            .begin_at(self.shared.clock.now(), instance, addr, route);
        let reply = self.attempt(chosen, 1, Arc::default()).await;
        reply.map_err(|failed| match failed.kind {
            OutcomeKind::ConnectFailed => Code::OutcomeUnknown.into(),
            _ => failed.refusal,
        })
    }

    /// Sends the request to `chosen` and, if that takes unusually long, to one more instance.
    async fn send_hedged(
        &mut self,
        chosen: Chosen,
        attempts: &mut Attempts,
    ) -> Result<Answer, Failed> {
        let began = self.shared.clock.now();
        let overtaken = Arc::new(AtomicBool::new(false));
        let first = self.attempt(chosen, attempts.tried().len(), overtaken.clone());
        let route = RouteKey(self.meta.route);
        let delay = self.service.hedge_delay(chosen.pick, route);
        let Some(delay) = delay.filter(|_| self.hedge) else {
            return first.await;
        };
        let mut first = Box::pin(first);
        if let Ok(reply) = tokio::time::timeout(delay, &mut first).await {
            return reply;
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
        let reply = first_whole(first, second, &overtaken).await;
        if overtaken.load(Ordering::Relaxed) {
            // Without the age of what was overtaken, hedges would hide the tail from which their
            // delay is learned.
            let age = self.shared.clock.now() - began;
            self.service.observe(route, age);
        }
        reply
    }

    /// Starts one attempt. The future holds all that it needs, so two can run side by side.
    fn attempt(
        &mut self,
        chosen: Chosen,
        number: usize,
        overtaken: Arc<AtomicBool>,
    ) -> impl Future<Output = Result<Answer, Failed>> + Send + use<> {
        let now = self.shared.clock.now();
        let guard = InFlight {
            shared: self.shared.clone(),
            service: self.service.clone(),
            chosen,
            route: RouteKey(self.meta.route),
            fingerprint: self.meta.fingerprint,
            began: now,
            is_first: number == 1,
            overtaken,
            done: false,
        };
        let mut meta = self.meta.clone();
        meta.remaining = self.deadline - now;
        meta.attempt = u32::try_from(number).unwrap_or(u32::MAX);
        let whole = self.body.rest.is_none();
        let hop = Hop {
            method: self.method.clone(),
            path: self.path.clone(),
            headers: self.headers.clone(),
            meta,
            deadline: self.deadline,
            body: Inbound {
                prefix: self.body.prefix.clone(),
                rest: if whole { None } else { self.body.rest.take() },
            },
            key: self.key.clone(),
            parent: self.parent.clone(),
            strike: Arc::default(),
        };
        let shared = self.shared.clone();
        let is_head = self.method == Method::HEAD;
        async move {
            if chosen.pick.id == shared.id {
                guard.local(beside::serve(&shared, hop).await, is_head)
            } else {
                guard.remote(send(&shared, chosen.addr, hop).await)
            }
        }
    }
}

/// Returns the first answer, or the second failure if both fail. Tells the first attempt if the
/// second one has overtaken it.
async fn first_whole(
    first: impl Future<Output = Result<Answer, Failed>> + Unpin,
    second: impl Future<Output = Result<Answer, Failed>> + Unpin,
    overtaken: &AtomicBool,
) -> Result<Answer, Failed> {
    use futures_util::future::{Either, select};
    match select(first, second).await {
        Either::Left((Ok(answer), _)) => Ok(answer),
        Either::Right((Ok(answer), first)) => {
            overtaken.store(true, Ordering::Relaxed);
            drop(first);
            Ok(answer)
        }
        Either::Left((Err(lost), other)) => other.await.map_err(|f| f.after(lost)),
        Either::Right((Err(lost), other)) => other.await.map_err(|f| f.after(lost)),
    }
}

/// Returns the refusal for a request whose attempts ended with `earlier` and then `later`. One
/// attempt that may have run is enough for the request to have run.
pub(crate) fn overall(earlier: Refusal, later: Refusal) -> Refusal {
    if earlier.code.executed() == Some(Executed::No) {
        later
    } else {
        earlier
    }
}
