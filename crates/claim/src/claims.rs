//! Common interface to caller-generated and issued keys of one service on one node.
//!
//! A shard is one claim stream of the service. The hash of a caller-generated key gives its shard.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use wire::{Code, Fingerprint, Time};

use crate::issued::{Admission, IssuedKey, Issuer, PREFIX};
use crate::record::Outcome;
use crate::shard::{Action, ClaimRequest, Event, Now, ReqId, Shard};
use crate::{Answer, Key};

/// Input of [`Claims`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimEvent {
    /// Claim the key of a request, to run it at most once.
    Request {
        /// Id of the request.
        req: ReqId,
        /// Value of the request's `idempotency-key` header.
        key: String,
        /// Fingerprint that tells a repeat from another request with the same key.
        fingerprint: Fingerprint,
        /// Deadline of the request, by the monotonic clock.
        deadline: Time,
    },
    /// An event for the shard with this index that concerns the shard's stream and not a request.
    ShardEvent(usize, Event),
    /// The request is about to be handed over: from now on bytes may reach the target.
    HandedOver(ReqId),
    /// The target responded to the request.
    Finished {
        /// Id of the request.
        req: ReqId,
        /// HTTP status of the response.
        status: u16,
        /// The encoded response, to be kept for repeats.
        answer: Vec<u8>,
    },
    /// The run ended without a response from the target.
    NoResponse(ReqId),
    /// The caller disconnected, or the node refused the request, before the hand-over.
    Cancelled(ReqId),
    /// The time of [`Claims::next_wake`] has come.
    Tick,
}

/// Output of [`Claims`]: an action and the shard that requests it. The index of the shard matters
/// only for [`Action::Append`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimsAction {
    /// Index of the shard; 0 if no shard is involved, as for issued and malformed keys.
    pub shard: usize,
    /// The action to take.
    pub action: Action,
}

/// The component that decides on a request and records its outcome. `Shard` holds the index of the
/// shard, `Issued` the sequence number of the issued key.
#[derive(Clone, Copy, Debug)]
enum Owner {
    Shard(usize),
    Issued(u64),
}

/// State machine for the claims of one service on one node.
#[derive(Debug)]
pub struct Claims {
    shards: Vec<Shard>,
    issuer: Issuer,
    /// The owner of each request that awaits a decision or whose run has not ended.
    owners: BTreeMap<ReqId, Owner>,
    /// Requests that were handed over and whose run has not ended.
    handed_over: BTreeSet<ReqId>,
}

impl Claims {
    /// Combines the shards, in the order of their indices, with the issuer of the process.
    pub fn new(shards: Vec<Shard>, issuer: Issuer) -> Claims {
        Claims {
            shards,
            issuer,
            owners: BTreeMap::new(),
            handed_over: BTreeSet::new(),
        }
    }

    /// Returns the shards in the order of their indices.
    pub fn shards(&self) -> &[Shard] {
        &self.shards
    }

    /// Returns the issuer, for issuing keys and for looking up their outcomes.
    pub fn issuer(&mut self) -> &mut Issuer {
        &mut self.issuer
    }

    /// Sets how long claimed keys are retained in all shards; see [`Shard::set_claim_window`].
    pub fn set_claim_window(&mut self, window: Duration) {
        for shard in &mut self.shards {
            shard.set_claim_window(window);
        }
    }

    /// Returns when the driver must send the next [`ClaimEvent::Tick`], or `None` if no timer runs.
    pub fn next_wake(&self) -> Option<Time> {
        self.shards.iter().filter_map(Shard::next_wake).min()
    }

    /// Handles an event and returns the actions that follow from it.
    pub fn handle(&mut self, now: Now, event: ClaimEvent) -> Vec<ClaimsAction> {
        match event {
            ClaimEvent::Request {
                req,
                key,
                fingerprint,
                deadline,
            } => self.on_request(now, req, &key, fingerprint, deadline),
            ClaimEvent::ShardEvent(shard, event) => self.pass_to_shard(now, shard, event),
            ClaimEvent::HandedOver(req) => self.on_handed_over(now, req),
            ClaimEvent::Finished {
                req,
                status,
                answer,
            } => self.on_run_ended(now, req, Some((status, answer))),
            ClaimEvent::NoResponse(req) => self.on_run_ended(now, req, None),
            ClaimEvent::Cancelled(req) => self.on_cancelled(now, req),
            ClaimEvent::Tick => (0..self.shards.len())
                .flat_map(|i| self.pass_to_shard(now, i, Event::Tick))
                .collect(),
        }
    }

    fn on_request(
        &mut self,
        now: Now,
        req: ReqId,
        key: &str,
        fingerprint: Fingerprint,
        deadline: Time,
    ) -> Vec<ClaimsAction> {
        if let Ok(key) = key.parse::<IssuedKey>() {
            return vec![action_without_shard(self.admit_issued_key(
                req,
                &key,
                fingerprint,
            ))];
        }
        // A malformed issued key must not be taken for a caller-generated one, which would allow a
        // second run of the same request.
        let is_issued_form = key.split('.').next() == Some(PREFIX);
        let Some(key) = Key::try_from(key).ok().filter(|_| !is_issued_form) else {
            return vec![action_without_shard(refusal(req, Code::BadHeader))];
        };
        if self.shards.is_empty() {
            return vec![action_without_shard(refusal(req, Code::ClaimUnavailable))];
        }
        let shard = key.shard(self.shards.len());
        self.owners.insert(req, Owner::Shard(shard));
        let claim_req = ClaimRequest {
            req,
            key,
            fingerprint,
            deadline,
        };
        self.pass_to_shard(now, shard, Event::Request(claim_req))
    }

    fn admit_issued_key(
        &mut self,
        req: ReqId,
        key: &IssuedKey,
        fingerprint: Fingerprint,
    ) -> Action {
        match self.issuer.admit(key, fingerprint) {
            Admission::Run => {
                self.owners.insert(req, Owner::Issued(key.n));
                Action::Run(req)
            }
            Admission::Answer(answer) => self::answer(req, answer),
            Admission::Refuse(code) => refusal(req, code),
        }
    }

    /// Passes an event to a shard and stops tracking the requests that the shard answers or
    /// refuses.
    fn pass_to_shard(&mut self, now: Now, shard: usize, event: Event) -> Vec<ClaimsAction> {
        let Some(machine) = self.shards.get_mut(shard) else {
            return Vec::new();
        };
        let actions = machine.handle(now, event);
        for action in &actions {
            if let Action::Answer { req, .. } | Action::Refuse { req, .. } = action {
                self.owners.remove(req);
            }
        }
        let wrap = |action| ClaimsAction { shard, action };
        actions.into_iter().map(wrap).collect()
    }

    fn on_handed_over(&mut self, now: Now, req: ReqId) -> Vec<ClaimsAction> {
        let Some(owner) = self.owners.get(&req).copied() else {
            return Vec::new();
        };
        self.handed_over.insert(req);
        match owner {
            Owner::Shard(i) => self.pass_to_shard(now, i, Event::HandedOver(req)),
            Owner::Issued(n) => {
                self.issuer.mark_handed(n);
                Vec::new()
            }
        }
    }

    fn on_run_ended(
        &mut self,
        now: Now,
        req: ReqId,
        response: Option<(u16, Vec<u8>)>,
    ) -> Vec<ClaimsAction> {
        if !self.handed_over.remove(&req) {
            return Vec::new();
        }
        match (self.owners.remove(&req), response) {
            (Some(Owner::Shard(i)), Some((status, answer))) => {
                let event = Event::Finished {
                    req,
                    status,
                    answer,
                };
                self.pass_to_shard(now, i, event)
            }
            (Some(Owner::Shard(i)), None) => self.pass_to_shard(now, i, Event::NoResponse(req)),
            (Some(Owner::Issued(n)), response) => {
                let outcome = response.map_or(Outcome::NoResponse, |(s, a)| Outcome::of(s, a));
                self.issuer.finish(n, outcome);
                Vec::new()
            }
            (None, _) => Vec::new(),
        }
    }

    fn on_cancelled(&mut self, now: Now, req: ReqId) -> Vec<ClaimsAction> {
        if self.handed_over.contains(&req) {
            return Vec::new();
        }
        match self.owners.remove(&req) {
            Some(Owner::Shard(i)) => self.pass_to_shard(now, i, Event::Cancelled(req)),
            Some(Owner::Issued(n)) => {
                self.issuer.release(n);
                Vec::new()
            }
            None => Vec::new(),
        }
    }
}

/// Wraps an action that no shard requested.
fn action_without_shard(action: Action) -> ClaimsAction {
    ClaimsAction { shard: 0, action }
}

fn answer(req: ReqId, answer: Answer) -> Action {
    Action::Answer { req, answer }
}

fn refusal(req: ReqId, code: Code) -> Action {
    Action::Refuse {
        req,
        refusal: code.into(),
    }
}
