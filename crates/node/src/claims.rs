//! The actor round [`Claims`], which decides on requests that must not be repeated.

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

/// Claim streams of a service. Claims of one stream share appends.
const SHARDS: usize = 4;
/// A stream is followed for this long after its last request.
const FOLLOW: Duration = Duration::from_secs(30);
/// Spreads the checkpoints of several nodes, so that one writes and the others see it in time.
const CHECKPOINT_SPREAD: f64 = 0.5;

/// The decision on a request.
#[derive(Debug)]
pub(crate) enum Decision {
    Run,
    Answer(Answer),
    Refuse(Refusal),
}

/// Owns the claims of the target's service.
#[derive(Debug)]
pub(crate) struct ClaimKeeper {
    shared: Arc<Shared>,
    claims: Claims,
    pending: BTreeMap<ReqId, oneshot::Sender<Decision>>,
    /// Positions and demand, watched by the readers of the streams.
    follow: Vec<watch::Sender<Follow>>,
    duties: Vec<CheckpointDuty>,
    rng: StdRng,
    wake: watch::Sender<Time>,
}

/// When the next checkpoint of a stream is due from this node.
#[derive(Clone, Copy, Debug)]
struct CheckpointDuty {
    due: Time,
    /// The latest checkpoint seen when `due` was set.
    seen: Option<Offset>,
}

/// What the reader of a stream has to do.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Follow {
    pub(crate) from: Offset,
    pub(crate) until: Time,
}

pub(crate) struct ClaimArgs {
    pub(crate) shared: Arc<Shared>,
    pub(crate) wake: watch::Sender<Time>,
    pub(crate) follow: Vec<watch::Sender<Follow>>,
}

/// Makes the channels through which the readers learn what to read.
pub(crate) fn follow_channels() -> Vec<watch::Sender<Follow>> {
    let idle = Follow {
        from: Offset(0),
        until: Time::ZERO,
    };
    (0..SHARDS).map(|_| watch::Sender::new(idle)).collect()
}

impl Actor for ClaimKeeper {
    type Args = ClaimArgs;
    type Error = std::convert::Infallible;

    async fn on_start(args: ClaimArgs, _: ActorRef<Self>) -> Result<Self, Self::Error> {
        let ClaimArgs {
            shared,
            wake,
            follow,
        } = args;
        // A life of the process must differ from each earlier one; no behaviour depends on it.
        let boot = BootId(rand::random());
        let cfg = Cfg::new(shared.id, boot);
        let seed = shared.settings.random_seed ^ shared.id.0;
        let shard = |i: usize| Shard::new(cfg.clone(), seed.wrapping_add(i as u64));
        let issuer = Issuer::new(shared.id, boot, shared.settings.keys.clone());
        let claims = Claims::new((0..SHARDS).map(shard).collect(), issuer);
        let mut rng = StdRng::seed_from_u64(seed);
        let duty = |_| CheckpointDuty {
            due: next_checkpoint(&shared, &mut rng),
            seen: None,
        };
        let duties = (0..SHARDS).map(duty).collect();
        Ok(ClaimKeeper {
            shared,
            claims,
            pending: BTreeMap::new(),
            follow,
            duties,
            rng,
            wake,
        })
    }
}

fn next_checkpoint(shared: &Shared, rng: &mut StdRng) -> Time {
    let extra = rng.random_range(0.0..CHECKPOINT_SPREAD);
    let period = shared.settings.checkpoint_period;
    shared.clock.now() + period.mul_f64(1.0 + extra)
}

impl ClaimKeeper {
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
                    // The request may have gone away while its claim was on the way.
                    if !self.decide(req, Decision::Run) {
                        actions.extend(self.claims.handle(now, ClaimEvent::Cancelled(req)));
                    }
                }
                Action::Answer { req, answer } => {
                    self.shared.metrics.count(Metric::ClaimResponsesReplayed);
                    self.decide(req, Decision::Answer(answer));
                }
                Action::Refuse { req, refusal } => {
                    self.decide(req, Decision::Refuse(refusal));
                }
            }
        }
        let wake = self.claims.next_wake().into_iter();
        let wake = wake.chain(self.checkpoint_wake(now.mono)).min();
        self.wake.send_replace(wake.unwrap_or(Time::MAX));
        self.update_follow(now.mono);
    }

    fn is_overdue(&self, shard: usize, now: Time) -> bool {
        *self.shared.claims_wanted.borrow() && self.duties[shard].due <= now
    }

    /// Returns when the next checkpoint is due, or when to look again after one that is overdue
    /// because the stream can't be read.
    fn checkpoint_wake(&self, now: Time) -> Option<Time> {
        let wake = |d: &CheckpointDuty| if d.due > now { d.due } else { now + FOLLOW / 2 };
        self.duties.iter().map(wake).min()
    }

    /// Writes a checkpoint if one is due. The stream was just read to its end, so the state is not
    /// older than what other nodes have written.
    fn check_duty(&mut self, shard: usize, me: &ActorRef<Self>) {
        let now = self.shared.clock.now();
        let fold = self.claims.shards()[shard].fold();
        let (latest, in_use) = (fold.last_checkpoint(), fold.next_offset() > Offset(0));
        let is_seen = latest != self.duties[shard].seen;
        let is_due = self.is_overdue(shard, now);
        if !is_seen && !is_due {
            return;
        }
        self.duties[shard] = CheckpointDuty {
            due: next_checkpoint(&self.shared, &mut self.rng),
            seen: latest,
        };
        if is_due && !is_seen && in_use {
            self.handle_event(ClaimEvent::ShardEvent(shard, Event::Checkpoint), me);
        }
    }

    fn decide(&mut self, req: ReqId, decision: Decision) -> bool {
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
                .tell(Stream {
                    shard,
                    events: vec![event],
                })
                .await;
        });
    }

    /// Lets the key's stream be followed: the request may have to wait for another node's outcome.
    fn follow(&self, key: &str) {
        let Ok(key) = Key::try_from(key) else { return };
        let until = self.shared.clock.now() + FOLLOW;
        if let Some(tx) = self.follow.get(key.shard(SHARDS)) {
            tx.send_if_modified(|f| {
                let idle = f.until <= self.shared.clock.now();
                f.until = until;
                idle
            });
        }
    }

    /// Tells the readers which streams to read.
    fn update_follow(&self, now: Time) {
        for (i, (tx, shard)) in self.follow.iter().zip(self.claims.shards()).enumerate() {
            let from = shard.read_from();
            let wanted = shard.unconfirmed_records() > 0 || self.is_overdue(i, now);
            tx.send_if_modified(|f| {
                let until = if wanted { now + FOLLOW } else { f.until };
                let changed = f.from != from || (wanted && f.until <= now);
                *f = Follow { from, until };
                changed
            });
        }
    }
}

pub(crate) fn stream_name(shared: &Shared, shard: usize) -> String {
    format!("claims.{}.{shard}", shared.settings.service)
}

/// A request asks to run.
pub(crate) struct Ask {
    pub(crate) req: ReqId,
    pub(crate) key: String,
    pub(crate) request: Fingerprint,
    pub(crate) deadline: Time,
    pub(crate) reply: oneshot::Sender<Decision>,
}

impl Message<Ask> for ClaimKeeper {
    type Reply = ();

    async fn handle(&mut self, ask: Ask, cx: &mut Context<Self, ()>) {
        let Ask {
            req,
            key,
            request,
            deadline,
            reply,
        } = ask;
        self.pending.insert(req, reply);
        self.follow(&key);
        let event = ClaimEvent::Request {
            req,
            key,
            fingerprint: request,
            deadline,
        };
        self.handle_event(event, cx.actor_ref());
    }
}

/// An event about a request that has asked.
pub(crate) struct About(pub(crate) ClaimEvent);

impl Message<About> for ClaimKeeper {
    type Reply = ();

    async fn handle(&mut self, About(event): About, cx: &mut Context<Self, ()>) {
        if let ClaimEvent::Cancelled(req) = &event {
            self.pending.remove(req);
        }
        self.handle_event(event, cx.actor_ref());
    }
}

/// Events of a stream.
pub(crate) struct Stream {
    pub(crate) shard: usize,
    pub(crate) events: Vec<Event>,
}

impl Message<Stream> for ClaimKeeper {
    type Reply = ();

    async fn handle(&mut self, msg: Stream, cx: &mut Context<Self, ()>) {
        let at_end = matches!(msg.events.last(), Some(Event::End { .. }));
        for event in msg.events {
            // An adopted checkpoint moves the position back to what it includes, so the rest of
            // the batch has to be read again; passed on, it would look like a gap.
            let from = self.claims.shards()[msg.shard].read_from();
            if matches!(event, Event::Read { offset, .. } if offset > from) {
                return;
            }
            self.handle_event(ClaimEvent::ShardEvent(msg.shard, event), cx.actor_ref());
        }
        if at_end {
            self.check_duty(msg.shard, cx.actor_ref());
        }
    }
}

/// Time has passed.
pub(crate) struct ClaimTick;

impl Message<ClaimTick> for ClaimKeeper {
    type Reply = ();

    async fn handle(&mut self, _: ClaimTick, cx: &mut Context<Self, ()>) {
        self.handle_event(ClaimEvent::Tick, cx.actor_ref());
    }
}

/// Asks for a block of issued keys.
pub(crate) struct IssueKeys(pub(crate) usize);

impl Message<IssueKeys> for ClaimKeeper {
    type Reply = Vec<String>;

    async fn handle(&mut self, msg: IssueKeys, _: &mut Context<Self, Vec<String>>) -> Vec<String> {
        self.claims.issuer().issue(msg.0)
    }
}

/// Asks whether the outcome of an earlier request with the key is known here.
pub(crate) struct Peek {
    pub(crate) key: String,
    pub(crate) request: Fingerprint,
}

impl Message<Peek> for ClaimKeeper {
    type Reply = Option<Result<Answer, Code>>;

    async fn handle(&mut self, msg: Peek, _: &mut Context<Self, Self::Reply>) -> Self::Reply {
        if let Ok(key) = msg.key.parse::<IssuedKey>() {
            return match self.claims.issuer().repeat_decision(&key, msg.request)? {
                Admission::Answer(answer) => Some(Ok(answer)),
                Admission::Refuse(code) => Some(Err(code)),
                Admission::Run => None,
            };
        }
        let key = Key::try_from(msg.key.as_str()).ok()?;
        let shard = self.claims.shards().get(key.shard(SHARDS))?;
        let entry = shard.fold().get(&key, unix_now())?;
        if entry.fingerprint != msg.request {
            return Some(Err(Code::KeyMismatch));
        }
        match entry.outcome.as_ref()? {
            Outcome::Kept(answer) => Some(Ok(answer.clone())),
            Outcome::NotKept { .. } => Some(Err(Code::AlreadyRun)),
            Outcome::NoResponse => Some(Err(Code::OutcomeUnknown)),
        }
    }
}
