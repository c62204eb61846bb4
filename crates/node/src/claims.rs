//! The actor that drives [`Claims`], which decides whether a request that must not be repeated
//! may run.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use claim::{
    Action, Admission, Answer, BootId, Cfg, ClaimEvent, Claims, Event, IssuedKey, Issuer, Key, Now,
    Outcome, ReqId, Shard,
};
use kameo::Actor;
use kameo::actor::ActorRef;
use kameo::message::{Context, Message};
use ops::Metric;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::sync::{oneshot, watch};
use wire::{Code, Fingerprint, Offset, Refusal, Time};

use crate::clock::unix_now;
use crate::shared::Shared;

/// Number of claim streams (shards) of a service. Claims in the same stream share appends.
const SHARD_COUNT: usize = 4;
/// Time for which a stream is still read after the last reason to read it: a request with a key in
/// the stream, an unconfirmed record or a due checkpoint.
const READ_TTL: Duration = Duration::from_secs(30);
/// Largest random addition to the checkpoint period, as a fraction of the period. The additions
/// differ between the nodes of a service, so that the other nodes see the checkpoint of the first
/// one before their own are due.
const CHECKPOINT_JITTER: f64 = 0.5;

/// Decision on a request that has asked to run.
#[derive(Debug)]
pub(crate) enum Decision {
    /// The request may be handed to the target.
    Run,
    /// The request is a repeat and gets the recorded response.
    Answer(Answer),
    /// The request must not run.
    Refuse(Refusal),
}

/// Actor that owns the claims of the service of the local target.
#[derive(Debug)]
pub(crate) struct ClaimActor {
    shared: Arc<Shared>,
    claims: Claims,
    /// Requests that wait for a decision.
    pending: BTreeMap<ReqId, oneshot::Sender<Decision>>,
    /// One channel per stream that tells its reader where to read from and until when.
    follow: Vec<watch::Sender<FollowState>>,
    /// Schedule of the checkpoints, one per stream.
    plans: Vec<CheckpointPlan>,
    rng: StdRng,
    /// When the next [`ClaimTick`] is due.
    wake: watch::Sender<Time>,
}

/// Schedule of this node's next checkpoint of a stream.
#[derive(Clone, Copy, Debug)]
struct CheckpointPlan {
    /// When the checkpoint is due.
    at: Time,
    /// Latest checkpoint in the stream when `at` was set; `None` if none was known.
    latest_seen: Option<Offset>,
}

/// Position from which a stream is read, and the time until which it is followed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FollowState {
    pub(crate) from: Offset,
    pub(crate) until: Time,
}

/// Arguments with which a [`ClaimActor`] starts.
pub(crate) struct ClaimArgs {
    pub(crate) shared: Arc<Shared>,
    pub(crate) wake: watch::Sender<Time>,
    pub(crate) follow: Vec<watch::Sender<FollowState>>,
}

/// Creates the channels that tell the readers what to read, one per stream.
pub(crate) fn follow_channels() -> Vec<watch::Sender<FollowState>> {
    let idle = FollowState {
        from: Offset(0),
        until: Time::ZERO,
    };
    (0..SHARD_COUNT).map(|_| watch::Sender::new(idle)).collect()
}

impl Actor for ClaimActor {
    type Args = ClaimArgs;
    type Error = std::convert::Infallible;

    async fn on_start(args: ClaimArgs, _: ActorRef<Self>) -> Result<Self, Self::Error> {
        let ClaimArgs {
            shared,
            wake,
            follow,
        } = args;
        // Drawn at random, not from the seed: the boot id must differ from those of all earlier
        // processes, and no behaviour depends on its value.
        let boot = BootId(rand::random());
        let cfg = Cfg::new(shared.id, boot);
        let seed = shared.settings.random_seed ^ shared.id.0;
        let shard = |i: usize| Shard::new(cfg.clone(), seed.wrapping_add(i as u64));
        let issuer = Issuer::new(shared.id, boot, shared.settings.keys.clone());
        let claims = Claims::new((0..SHARD_COUNT).map(shard).collect(), issuer);
        let mut rng = StdRng::seed_from_u64(seed);
        let plan = |_| CheckpointPlan {
            at: next_checkpoint_time(&shared, &mut rng),
            latest_seen: None,
        };
        let plans = (0..SHARD_COUNT).map(plan).collect();
        Ok(ClaimActor {
            shared,
            claims,
            pending: BTreeMap::new(),
            follow,
            plans,
            rng,
            wake,
        })
    }
}

/// Returns when the next checkpoint is due: one checkpoint period from now, plus jitter.
fn next_checkpoint_time(shared: &Shared, rng: &mut StdRng) -> Time {
    let extra = rng.random_range(0.0..CHECKPOINT_JITTER);
    let period = shared.settings.checkpoint_period;
    shared.clock.now() + period.mul_f64(1.0 + extra)
}

impl ClaimActor {
    /// Applies an event, carries out the resulting actions and updates the wake-up time and the
    /// readers.
    fn handle_event(&mut self, event: ClaimEvent, me: &ActorRef<Self>) {
        let now = Now {
            mono: self.shared.clock.now(),
            wall: unix_now(),
        };
        self.claims
            .set_claim_window(self.shared.snapshot().claim_window());
        let mut actions: VecDeque<_> = self.claims.handle(now, event).into();
        while let Some(action) = actions.pop_front() {
            match action.action {
                Action::Append { batch, records } => self.append(action.shard, batch, records, me),
                Action::Run(req) => {
                    // The request may have been cancelled while its claim was being appended.
                    if !self.send_decision(req, Decision::Run) {
                        actions.extend(self.claims.handle(now, ClaimEvent::Cancelled(req)));
                    }
                }
                Action::Answer { req, answer } => {
                    self.shared.metrics.count(Metric::ClaimResponsesReplayed);
                    self.send_decision(req, Decision::Answer(answer));
                }
                Action::Refuse { req, refusal } => {
                    self.send_decision(req, Decision::Refuse(refusal));
                }
            }
        }
        let wake = self.claims.next_wake().into_iter();
        let wake = wake.chain(self.checkpoint_wake(now.mono)).min();
        self.wake.send_replace(wake.unwrap_or(Time::MAX));
        self.update_follow(now.mono);
    }

    fn is_checkpoint_due(&self, shard: usize, now: Time) -> bool {
        *self.shared.claims_wanted.borrow() && self.plans[shard].at <= now
    }

    /// Returns when the next checkpoint is due. A checkpoint whose time has passed, for example
    /// while its stream can't be read, is checked again after half of [`READ_TTL`].
    fn checkpoint_wake(&self, now: Time) -> Option<Time> {
        let wake = |p: &CheckpointPlan| if p.at > now { p.at } else { now + READ_TTL / 2 };
        self.plans.iter().map(wake).min()
    }

    /// Writes a checkpoint if one is due, the stream has records and no other node has written a
    /// checkpoint since the last call that set a due time. Sets the next due time if a checkpoint
    /// is due or was written by another node. Called right after the stream was read to its end, so
    /// the replayed state includes what other nodes have written.
    fn write_checkpoint_if_due(&mut self, shard: usize, me: &ActorRef<Self>) {
        let now = self.shared.clock.now();
        let fold = self.claims.shards()[shard].fold();
        let (latest, has_records) = (fold.last_checkpoint(), fold.next_offset() > Offset(0));
        let has_new_checkpoint = latest != self.plans[shard].latest_seen;
        let is_due = self.is_checkpoint_due(shard, now);
        if !has_new_checkpoint && !is_due {
            return;
        }
        self.plans[shard] = CheckpointPlan {
            at: next_checkpoint_time(&self.shared, &mut self.rng),
            latest_seen: latest,
        };
        if is_due && !has_new_checkpoint && has_records {
            self.handle_event(ClaimEvent::ShardEvent(shard, Event::Checkpoint), me);
        }
    }

    /// Sends the decision to the request; returns whether the request was still waiting.
    fn send_decision(&mut self, req: ReqId, decision: Decision) -> bool {
        self.pending
            .remove(&req)
            .is_some_and(|tx| tx.send(decision).is_ok())
    }

    fn append(&self, shard: usize, batch: u64, records: Vec<Vec<u8>>, me: &ActorRef<Self>) {
        let (shared, me) = (self.shared.clone(), me.clone());
        let stream = stream_name(&shared, shard);
        self.shared.tasks.spawn(async move {
            shared.metrics.count(Metric::LogAppends);
            let event = match shared.log.append(&stream, records).await {
                Ok(first) => Event::Appended { batch, first },
                Err(e) => {
                    shared.metrics.count(Metric::LogFailures);
                    Event::AppendFailed {
                        batch,
                        may_have_written: e.may_have_written(),
                    }
                }
            };
            let _ = me
                .tell(StreamEvents {
                    shard,
                    events: vec![event],
                })
                .await;
        });
    }

    /// Has the key's stream read for another [`READ_TTL`], because the request may have to
    /// wait for an outcome that another node appends.
    fn extend_follow(&self, key: &str) {
        let Ok(key) = Key::try_from(key) else { return };
        let until = self.shared.clock.now() + READ_TTL;
        if let Some(tx) = self.follow.get(key.shard(SHARD_COUNT)) {
            tx.send_if_modified(|f| {
                let was_idle = f.until <= self.shared.clock.now();
                f.until = until;
                was_idle
            });
        }
    }

    /// Updates the readers' positions and extends the follow time of streams with unconfirmed
    /// records or a due checkpoint.
    fn update_follow(&self, now: Time) {
        for (i, (tx, shard)) in self.follow.iter().zip(self.claims.shards()).enumerate() {
            let from = shard.read_from();
            let must_read = shard.unconfirmed_records() > 0 || self.is_checkpoint_due(i, now);
            tx.send_if_modified(|f| {
                let until = if must_read { now + READ_TTL } else { f.until };
                let changed = f.from != from || (must_read && f.until <= now);
                *f = FollowState { from, until };
                changed
            });
        }
    }
}

/// Returns the name of a claim stream in the log service.
pub(crate) fn stream_name(shared: &Shared, shard: usize) -> String {
    format!("claims.{}.{shard}", shared.settings.service)
}

/// Asks for a decision whether a request may run.
pub(crate) struct ClaimRequest {
    pub(crate) req: ReqId,
    pub(crate) key: String,
    pub(crate) request_fingerprint: Fingerprint,
    pub(crate) deadline: Time,
    /// Receives the decision; closed without one if the actor stops.
    pub(crate) reply: oneshot::Sender<Decision>,
}

impl Message<ClaimRequest> for ClaimActor {
    type Reply = ();

    async fn handle(&mut self, claim_request: ClaimRequest, cx: &mut Context<Self, ()>) {
        let ClaimRequest {
            req,
            key,
            request_fingerprint,
            deadline,
            reply,
        } = claim_request;
        self.pending.insert(req, reply);
        self.extend_follow(&key);
        let event = ClaimEvent::Request {
            req,
            key,
            fingerprint: request_fingerprint,
            deadline,
        };
        self.handle_event(event, cx.actor_ref());
    }
}

/// An event of a request for which a [`ClaimRequest`] was sent.
pub(crate) struct RequestEvent(pub(crate) ClaimEvent);

impl Message<RequestEvent> for ClaimActor {
    type Reply = ();

    async fn handle(&mut self, RequestEvent(event): RequestEvent, cx: &mut Context<Self, ()>) {
        if let ClaimEvent::Cancelled(req) = &event {
            self.pending.remove(req);
        }
        self.handle_event(event, cx.actor_ref());
    }
}

/// Events of one claim stream: results of reads and appends.
pub(crate) struct StreamEvents {
    pub(crate) shard: usize,
    pub(crate) events: Vec<Event>,
}

impl Message<StreamEvents> for ClaimActor {
    type Reply = ();

    async fn handle(&mut self, msg: StreamEvents, cx: &mut Context<Self, ()>) {
        let at_end = matches!(msg.events.last(), Some(Event::End { .. }));
        for event in msg.events {
            // Adopting a checkpoint moves the read position back to the end of what the
            // checkpoint includes. The rest of the batch is read again from there; applied now, the
            // rest would look like a gap.
            let from = self.claims.shards()[msg.shard].read_from();
            if matches!(event, Event::Read { offset, .. } if offset > from) {
                return;
            }
            self.handle_event(ClaimEvent::ShardEvent(msg.shard, event), cx.actor_ref());
        }
        if at_end {
            self.write_checkpoint_if_due(msg.shard, cx.actor_ref());
        }
    }
}

/// The wake-up time set by the actor has come.
pub(crate) struct ClaimTick;

impl Message<ClaimTick> for ClaimActor {
    type Reply = ();

    async fn handle(&mut self, _: ClaimTick, cx: &mut Context<Self, ()>) {
        self.handle_event(ClaimEvent::Tick, cx.actor_ref());
    }
}

/// Issues the given number of keys.
pub(crate) struct IssueKeys(pub(crate) usize);

impl Message<IssueKeys> for ClaimActor {
    type Reply = Vec<String>;

    async fn handle(&mut self, msg: IssueKeys, _: &mut Context<Self, Vec<String>>) -> Vec<String> {
        self.claims.issuer().issue(msg.0)
    }
}

/// Looks up the outcome of an earlier request with the same key in this node's replayed state. The
/// reply is `None` if no outcome is known here.
pub(crate) struct LookUpOutcome {
    pub(crate) key: String,
    pub(crate) request_fingerprint: Fingerprint,
}

impl Message<LookUpOutcome> for ClaimActor {
    type Reply = Option<Result<Answer, Code>>;

    async fn handle(
        &mut self,
        msg: LookUpOutcome,
        _: &mut Context<Self, Self::Reply>,
    ) -> Self::Reply {
        if let Ok(key) = msg.key.parse::<IssuedKey>() {
            return match self
                .claims
                .issuer()
                .repeat_decision(&key, msg.request_fingerprint)?
            {
                Admission::Answer(answer) => Some(Ok(answer)),
                Admission::Refuse(code) => Some(Err(code)),
                Admission::Run => None,
            };
        }
        let key = Key::try_from(msg.key.as_str()).ok()?;
        let shard = self.claims.shards().get(key.shard(SHARD_COUNT))?;
        let entry = shard.fold().get(&key, unix_now())?;
        if entry.fingerprint != msg.request_fingerprint {
            return Some(Err(Code::KeyMismatch));
        }
        match entry.outcome.as_ref()? {
            Outcome::Kept(answer) => Some(Ok(answer.clone())),
            Outcome::NotKept { .. } => Some(Err(Code::AlreadyRun)),
            Outcome::NoResponse => Some(Err(Code::OutcomeUnknown)),
        }
    }
}
