//! The state machine of one claim stream on one node.
//!
//! Contract of the driver: it reads the stream from [`Shard::read_from`] on and passes each record
//! as [`Event::Read`], then the end of the stream as [`Event::End`]. It answers each
//! [`Action::Append`] with [`Event::Appended`] or [`Event::AppendFailed`]. It answers each
//! [`Action::Run`] with [`Event::Handed`] before the first byte goes to the target, or with
//! [`Event::Dropped`] if nothing will be handed over.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use wire::{Code, Fingerprint, InstanceId, Offset, Refusal, Time, UnixMillis};

use crate::fold::{Applied, Entry, Fold};
use crate::outbox::{Kind, Outbox};
use crate::record::{Answer, Boot, Claim, ClaimId, Done, Outcome, Record, Release};
use crate::{Key, MAX_SKEW};

/// When a claim that the log could not settle is worth another try.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// The two clocks of this process at one moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Now {
    /// Monotonic clock.
    pub time: Time,
    /// Wall clock.
    pub at: UnixMillis,
}

/// Identifies a request within the process. The driver never uses a number twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ReqId(pub u64);

/// Settings of a [`Shard`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Cfg {
    /// This node.
    pub node: InstanceId,
    /// This life of the process.
    pub boot: Boot,
    /// How long a key counts (`claim_window_s`).
    pub window: Duration,
    /// How long a claim waits for others to share its append.
    pub batch_window: Duration,
    /// How long an outcome waits for others, or for a claim. Repeats on this node don't wait for it,
    /// but an outcome that waits is lost when the process dies.
    pub outcome_window: Duration,
    /// A request is not run when less than this remains of its deadline.
    pub run_margin: Duration,
    /// Requests whose claims are not settled.
    pub max_claims: usize,
    /// Requests that wait for the outcome of another request with the same key.
    pub max_waiters: usize,
    /// Keys in memory. New keys are refused when it is reached.
    pub max_keys: usize,
}

impl Cfg {
    /// Returns the usual settings of this life of `node`.
    pub fn new(node: InstanceId, boot: Boot) -> Cfg {
        Cfg {
            node,
            boot,
            window: Duration::from_secs(86_400),
            batch_window: Duration::from_millis(1),
            outcome_window: Duration::from_millis(10),
            run_margin: Duration::from_millis(5),
            max_claims: 4_096,
            max_waiters: 256,
            max_keys: 65_536,
        }
    }
}

/// A request that must not be repeated.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ask {
    /// The request.
    pub req: ReqId,
    /// Its key.
    pub key: Key,
    /// Hash over what makes the request the same as another one.
    pub request: Fingerprint,
    /// Deadline of the request.
    pub deadline: Time,
}

/// Input of a [`Shard`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A request wants to run.
    Ask(Ask),
    /// A record was read.
    Read {
        /// Its position.
        offset: Offset,
        /// Its content.
        data: Vec<u8>,
    },
    /// All records before `end` have been passed, and `end` was the end of the stream.
    End {
        /// Offset of the next append.
        end: Offset,
    },
    /// The read position has expired.
    Expired {
        /// Oldest offset that the log keeps.
        oldest: Offset,
    },
    /// The log took a batch.
    Appended {
        /// Number of the batch.
        batch: u64,
        /// Offset of its first record.
        first: Offset,
    },
    /// An append failed or was not answered.
    AppendFailed {
        /// Number of the batch.
        batch: u64,
        /// Whether the append may have taken effect, now or later.
        may_have_written: bool,
    },
    /// The request is about to be handed to the target.
    Handed(ReqId),
    /// The run ended with this answer.
    Finished {
        /// The request.
        req: ReqId,
        /// HTTP status of the answer.
        status: u16,
        /// The answer to keep.
        answer: Vec<u8>,
    },
    /// The run ended without an answer from the target.
    Lost(ReqId),
    /// The caller went away, or the node refused the request, before the hand-over.
    Dropped(ReqId),
    /// Write a checkpoint.
    Checkpoint,
    /// Time has passed.
    Tick,
}

/// Output of a [`Shard`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Append these records in one call.
    Append {
        /// Number of the batch.
        batch: u64,
        /// Encoded records.
        records: Vec<Vec<u8>>,
    },
    /// Hand the request to the target.
    Run(ReqId),
    /// Give the caller the kept answer of the earlier run.
    Answer {
        /// The request.
        req: ReqId,
        /// The kept answer.
        answer: Answer,
    },
    /// Refuse the request.
    Refuse {
        /// The request.
        req: ReqId,
        /// The reason.
        refusal: Refusal,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// The claim is on its way.
    Claiming,
    /// The claim won; the driver was told to run the request.
    Granted,
    /// The request was handed to the target.
    Handed,
}

/// A claim of this process that is neither given up nor finished in the stream.
#[derive(Clone, Debug)]
struct Own {
    n: u64,
    ask: Ask,
    until: UnixMillis,
    stage: Stage,
    /// The outcome while its record isn't in the stream.
    outcome: Option<Outcome>,
}

/// What the node knows about a key when it is asked for.
enum View {
    Free,
    /// Held by a request that may still be running until about then.
    Running(UnixMillis),
    Ended(Outcome),
    Mismatch,
    /// The stream may have known the key and forgotten it.
    Expired,
}

#[derive(Debug)]
enum Readiness {
    /// The fold has not reached the end of the stream.
    Reading,
    /// The end was reached without a checkpoint, at this time and offset.
    NoCheckpoint(Time, Offset),
    Ready,
}

/// The state machine of one claim stream.
#[derive(Debug)]
pub struct Shard {
    cfg: Cfg,
    fold: Fold,
    readiness: Readiness,
    outbox: Outbox,
    /// Claims of this process by key; at most one of them per key.
    own: BTreeMap<Key, Own>,
    claims: BTreeMap<u64, Key>,
    reqs: BTreeMap<ReqId, Key>,
    waiters: BTreeMap<Key, Vec<Ask>>,
    waiting: usize,
    timers: BTreeSet<(Time, ReqId)>,
    last_n: u64,
    behind: Option<u8>,
}

impl Shard {
    /// Makes the machine of a process that has read nothing. `seed` spreads the back-off.
    pub fn new(cfg: Cfg, seed: u64) -> Shard {
        Shard {
            fold: Fold::new(),
            readiness: Readiness::Reading,
            outbox: Outbox::new(cfg.batch_window, cfg.outcome_window, seed),
            own: BTreeMap::new(),
            claims: BTreeMap::new(),
            reqs: BTreeMap::new(),
            waiters: BTreeMap::new(),
            waiting: 0,
            timers: BTreeSet::new(),
            last_n: 0,
            behind: None,
            cfg,
        }
    }

    /// Sets how long keys count from now on. Claims that are in the stream keep their own time, and
    /// the fold refuses keys from before one that has expired, so a longer window can't make a key
    /// free again.
    pub fn set_window(&mut self, window: Duration) {
        self.cfg.window = window;
    }

    /// Returns the offset from which the driver must read next.
    pub fn read_from(&self) -> Offset {
        self.fold.next()
    }

    /// Returns the state of the stream as far as it was read.
    pub fn fold(&self) -> &Fold {
        &self.fold
    }

    /// Returns whether new claims are taken.
    pub fn is_ready(&self) -> bool {
        matches!(self.readiness, Readiness::Ready) && self.behind.is_none()
    }

    /// Returns the format of the record that stopped the fold, if one did.
    pub fn behind(&self) -> Option<u8> {
        self.behind
    }

    /// Returns the number of own records that were not seen in the stream.
    pub fn unsettled(&self) -> usize {
        self.outbox.len()
    }

    /// Returns when [`Event::Tick`] is due.
    pub fn next_wake(&self) -> Option<Time> {
        let timer = self.timers.first().map(|(t, _)| *t);
        timer.into_iter().chain(self.outbox.next_wake()).min()
    }

    /// Takes an event and returns what to do.
    pub fn handle(&mut self, now: Now, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        match event {
            Event::Ask(ask) => self.ask(now, ask, &mut out),
            Event::Read { offset, data } => self.read(now, offset, &data, &mut out),
            Event::End { end } => self.reach_end(now, end),
            Event::Expired { oldest } => self.restart(now, oldest, &mut out),
            Event::Appended { batch, first } => self.appended(now, batch, first, &mut out),
            Event::AppendFailed {
                batch,
                may_have_written,
            } => self.outbox.failed(now.time, batch, may_have_written),
            Event::Handed(req) => self.handed(req),
            Event::Finished {
                req,
                status,
                answer,
            } => self.finished(now, req, Outcome::of(status, answer), &mut out),
            Event::Lost(req) => self.finished(now, req, Outcome::Unknown, &mut out),
            Event::Dropped(req) => self.dropped(now, req, &mut out),
            Event::Checkpoint => self.checkpoint(now),
            Event::Tick => {}
        }
        self.run_timers(now, &mut out);
        if let Some((batch, records)) = self.outbox.flush(now.time) {
            out.push(Action::Append { batch, records });
        }
        out
    }

    fn ask(&mut self, now: Now, ask: Ask, out: &mut Vec<Action>) {
        if !self.is_in_window(now.at, &ask.key) {
            return refuse(out, ask.req, Code::KeyExpired);
        }
        if !self.is_ready() || self.is_late(now, &ask) || self.is_clock_wrong(now) {
            return unavailable(out, ask.req);
        }
        self.settle(now, ask, out);
    }

    /// A key with a time inside must be young enough that the stream still knows it.
    fn is_in_window(&self, at: UnixMillis, key: &Key) -> bool {
        key.time()
            .is_none_or(|t| t <= at + MAX_SKEW && at <= t + self.cfg.window)
    }

    /// A fold that is ahead of this node by more than the skew may have expired entries too early.
    fn is_clock_wrong(&self, now: Now) -> bool {
        self.fold.clock() > now.at + MAX_SKEW + MAX_SKEW
    }

    fn is_late(&self, now: Now, ask: &Ask) -> bool {
        now.time + self.cfg.run_margin >= ask.deadline
    }

    /// Answers, refuses, claims or waits, by what is known of the key now.
    fn settle(&mut self, now: Now, ask: Ask, out: &mut Vec<Action>) {
        match self.view(now, &ask) {
            View::Free => self.claim(now, ask, out),
            View::Running(until) => self.wait(now, until, ask, out),
            View::Ended(outcome) => conclude(out, ask.req, outcome),
            View::Mismatch => refuse(out, ask.req, Code::KeyMismatch),
            View::Expired => refuse(out, ask.req, Code::KeyExpired),
        }
    }

    fn view(&self, now: Now, ask: &Ask) -> View {
        if let Some(own) = self.own.get(&ask.key) {
            if own.ask.request != ask.request {
                return View::Mismatch;
            }
            // Only this process can end its own claim, so it is running until that is known.
            let running = View::Running(UnixMillis(u64::MAX));
            return own.outcome.clone().map_or(running, View::Ended);
        }
        match self.fold.get(&ask.key, now.at) {
            None if self.fold.is_forgotten(&ask.key, now.at) => View::Expired,
            None => View::Free,
            Some(e) if e.request != ask.request => View::Mismatch,
            Some(Entry {
                outcome: Some(outcome),
                ..
            }) => View::Ended(outcome.clone()),
            Some(e) if now.at > e.until + MAX_SKEW => View::Ended(Outcome::Unknown),
            Some(e) => View::Running(e.until),
        }
    }

    fn claim(&mut self, now: Now, ask: Ask, out: &mut Vec<Action>) {
        let is_full = self.is_full(now) || self.claims.len() >= self.cfg.max_claims;
        if is_full || !self.is_ready() || self.is_late(now, &ask) {
            return unavailable(out, ask.req);
        }
        self.last_n += 1;
        let n = self.last_n;
        let ttl = millis_u32(ask.deadline - now.time);
        let claim = Claim {
            key: ask.key.clone(),
            request: ask.request,
            id: self.id(n),
            at: now.at,
            ttl_ms: ttl,
            keep_s: u32::try_from(self.cfg.window.as_secs()).unwrap_or(u32::MAX),
        };
        self.timers.insert((self.give_up(&ask), ask.req));
        self.claims.insert(n, ask.key.clone());
        self.reqs.insert(ask.req, ask.key.clone());
        let own = Own {
            n,
            until: now.at + Duration::from_millis(ttl.into()),
            stage: Stage::Claiming,
            outcome: None,
            ask,
        };
        self.own.insert(own.ask.key.clone(), own);
        let data = Record::Claim(claim).encode();
        self.outbox.push(now.time, (Kind::Claim, n), data);
    }

    fn is_full(&mut self, now: Now) -> bool {
        let is_full = self.fold.len() + self.claims.len() >= self.cfg.max_keys;
        if is_full && self.fold.is_clock_behind(now.at) && !self.outbox.has(Kind::Mark) {
            // Entries expire by the time in the records. While each claim is refused no record
            // would arrive, so the release of an unused identifier moves the clock.
            self.last_n += 1;
            let mark = Record::Release(Release {
                key: Key::mark(),
                id: self.id(self.last_n),
                at: now.at,
                until: now.at,
            });
            let id = (Kind::Mark, self.last_n);
            self.outbox.push(now.time, id, mark.encode());
        }
        is_full
    }

    fn wait(&mut self, now: Now, until: UnixMillis, ask: Ask, out: &mut Vec<Action>) {
        if self.waiting >= self.cfg.max_waiters || self.is_late(now, &ask) {
            return refuse(out, ask.req, Code::ClaimHeld);
        }
        let left = Duration::from_millis(
            (until + MAX_SKEW)
                .0
                .saturating_sub(now.at.0)
                .saturating_add(1),
        );
        let wake = (now.time + left).min(self.give_up(&ask));
        self.timers.insert((wake, ask.req));
        self.reqs.insert(ask.req, ask.key.clone());
        self.waiting += 1;
        self.waiters.entry(ask.key.clone()).or_default().push(ask);
    }

    /// Settles the waiters of `key` again after its state has changed.
    fn wake(&mut self, now: Now, key: &Key, out: &mut Vec<Action>) {
        for ask in self.waiters.remove(key).unwrap_or_default() {
            self.waiting -= 1;
            self.reqs.remove(&ask.req);
            self.settle(now, ask, out);
        }
    }

    fn run_timers(&mut self, now: Now, out: &mut Vec<Action>) {
        while let Some((at, req)) = self.timers.first().copied()
            && at <= now.time
        {
            self.timers.pop_first();
            let Some(key) = self.reqs.get(&req).cloned() else {
                continue;
            };
            let late = self.own.get(&key);
            let late = late.filter(|o| o.stage == Stage::Claiming && self.is_late(now, &o.ask));
            if let Some(req) = late.map(|o| o.ask.req) {
                unavailable(out, req);
                self.give_up_claim(now, &key, false, out);
            }
            self.wake(now, &key, out);
        }
    }

    fn read(&mut self, now: Now, offset: Offset, data: &[u8], out: &mut Vec<Action>) {
        if offset < self.fold.next() || self.behind.is_some() {
            return;
        }
        if offset > self.fold.next() {
            return self.restart(now, offset, out);
        }
        match self.fold.apply(data) {
            Applied::Won(id) => self.won(now, id, out),
            Applied::Lost(id) | Applied::Repeated(id) => self.lost(now, id, out),
            Applied::Released(id, key) => {
                self.seen(Kind::Release, id);
                self.wake(now, &key, out);
            }
            Applied::Done(id, key) => {
                if self.seen(Kind::Done, id) {
                    self.forget(&key);
                }
                self.wake(now, &key, out);
            }
            Applied::Adopted => self.readiness = Readiness::Reading,
            Applied::Behind { format } => self.behind = Some(format),
            Applied::Checkpoint | Applied::Waiting | Applied::Malformed => {}
        }
    }

    fn won(&mut self, now: Now, id: ClaimId, out: &mut Vec<Action>) {
        let Some(key) = self.claiming(id) else {
            return;
        };
        self.outbox.seen((Kind::Claim, id.n));
        let Some(own) = self.own.get_mut(&key) else {
            return;
        };
        let req = own.ask.req;
        if now.time + self.cfg.run_margin >= own.ask.deadline {
            unavailable(out, req);
            return self.give_up_claim(now, &key, true, out);
        }
        own.stage = Stage::Granted;
        out.push(Action::Run(req));
    }

    fn lost(&mut self, now: Now, id: ClaimId, out: &mut Vec<Action>) {
        let Some(key) = self.claiming(id) else {
            return;
        };
        self.outbox.seen((Kind::Claim, id.n));
        let Some(own) = self.forget(&key) else {
            return;
        };
        if matches!(self.view(now, &own.ask), View::Free) {
            // Lost by the clock and not to another claim; another try would lose as well.
            unavailable(out, own.ask.req);
        } else {
            self.settle(now, own.ask, out);
        }
        self.wake(now, &key, out);
    }

    /// Returns the key of an undecided claim of this process.
    fn claiming(&self, id: ClaimId) -> Option<Key> {
        if !self.is_own(id) {
            return None;
        }
        let key = self.claims.get(&id.n)?;
        let own = self.own.get(key)?;
        (own.n == id.n && own.stage == Stage::Claiming).then(|| key.clone())
    }

    /// Ends a claim that was not handed over. From here on it can't run.
    fn give_up_claim(&mut self, now: Now, key: &Key, held: bool, out: &mut Vec<Action>) {
        let Some(own) = self.forget(key) else {
            return;
        };
        let may_be_written = self.outbox.cancel((Kind::Claim, own.n));
        if held || may_be_written {
            let release = Record::Release(Release {
                key: key.clone(),
                id: self.id(own.n),
                at: now.at,
                until: own.until,
            });
            let id = (Kind::Release, own.n);
            self.outbox.push(now.time, id, release.encode());
        }
        self.wake(now, key, out);
    }

    fn handed(&mut self, req: ReqId) {
        if let Some(own) = self.own_of(req)
            && own.stage == Stage::Granted
        {
            own.stage = Stage::Handed;
        }
    }

    fn finished(&mut self, now: Now, req: ReqId, outcome: Outcome, out: &mut Vec<Action>) {
        let Some(own) = self.own_of(req) else {
            return;
        };
        if own.stage != Stage::Handed || own.outcome.is_some() {
            return;
        }
        own.outcome = Some(outcome.clone());
        let (n, key) = (own.n, own.ask.key.clone());
        let done = Record::Done(Done {
            key: key.clone(),
            id: self.id(n),
            at: now.at,
            outcome,
        });
        self.outbox.push(now.time, (Kind::Done, n), done.encode());
        self.wake(now, &key, out);
    }

    fn dropped(&mut self, now: Now, req: ReqId, out: &mut Vec<Action>) {
        let Some(key) = self.reqs.get(&req).cloned() else {
            return;
        };
        match self.own_of(req).map(|o| o.stage) {
            Some(Stage::Handed) => {}
            Some(stage) => self.give_up_claim(now, &key, stage == Stage::Granted, out),
            None => {
                self.reqs.remove(&req);
                if let Some(asks) = self.waiters.get_mut(&key) {
                    asks.retain(|a| a.req != req);
                    self.waiting -= 1;
                }
            }
        }
    }

    fn appended(&mut self, now: Now, batch: u64, first: Offset, out: &mut Vec<Action>) {
        let Some(flight) = self.outbox.appended(batch) else {
            return;
        };
        // The batch lies at `first` without gaps. When the fold has reached that point, nothing is
        // gained by waiting until the same records are read back.
        let mut offset = first;
        for data in flight.records {
            if offset == self.fold.next() {
                self.read(now, offset, &data, out);
            }
            offset = offset.next();
        }
    }

    fn reach_end(&mut self, now: Now, end: Offset) {
        if end > self.fold.next() {
            return;
        }
        if !self.fold.is_waiting() {
            self.readiness = Readiness::Ready;
            return;
        }
        match self.readiness {
            // Each key that was claimed before the end was first seen has left its window.
            Readiness::NoCheckpoint(since, end)
                if now.time - since > self.cfg.window + 4 * MAX_SKEW =>
            {
                let seen = UnixMillis(now.at.0.saturating_sub(millis_u64(now.time - since)));
                self.fold = Fold::starting_at(end, seen + MAX_SKEW);
                self.readiness = Readiness::Reading;
            }
            Readiness::NoCheckpoint(..) => {}
            _ => self.readiness = Readiness::NoCheckpoint(now.time, end),
        }
    }

    /// Starts a new fold after records were missed. Nothing is known of undecided claims any more.
    fn restart(&mut self, now: Now, oldest: Offset, out: &mut Vec<Action>) {
        if oldest <= self.fold.next() {
            return;
        }
        self.fold = Fold::waiting(oldest);
        self.readiness = Readiness::Reading;
        self.outbox.requeue_written(now.time);
        for ask in std::mem::take(&mut self.waiters).into_values().flatten() {
            self.reqs.remove(&ask.req);
            refuse(out, ask.req, Code::OutcomeUnknown);
        }
        self.waiting = 0;
        let undecided = self.own.values().filter(|o| o.stage == Stage::Claiming);
        let undecided: Vec<_> = undecided.map(|o| o.ask.clone()).collect();
        for ask in undecided {
            unavailable(out, ask.req);
            self.give_up_claim(now, &ask.key, false, out);
        }
    }

    fn checkpoint(&mut self, now: Now) {
        if !self.is_ready() || self.outbox.has(Kind::Checkpoint) {
            return;
        }
        self.last_n += 1;
        let first = self.last_n;
        for record in self.fold.checkpoint(self.id(first)) {
            self.last_n += 1;
            let id = (Kind::Checkpoint, self.last_n);
            self.outbox.push(now.time, id, record.encode());
        }
    }

    fn seen(&mut self, kind: Kind, id: ClaimId) -> bool {
        let own = self.is_own(id);
        if own {
            self.outbox.seen((kind, id.n));
        }
        own
    }

    fn forget(&mut self, key: &Key) -> Option<Own> {
        let own = self.own.remove(key)?;
        self.claims.remove(&own.n);
        self.reqs.remove(&own.ask.req);
        self.timers.remove(&(self.give_up(&own.ask), own.ask.req));
        Some(own)
    }

    fn own_of(&mut self, req: ReqId) -> Option<&mut Own> {
        let key = self.reqs.get(&req)?;
        self.own.get_mut(key).filter(|o| o.ask.req == req)
    }

    fn give_up(&self, ask: &Ask) -> Time {
        let margin = self.cfg.run_margin;
        Time::ZERO + (ask.deadline - Time::ZERO).saturating_sub(margin)
    }

    fn id(&self, n: u64) -> ClaimId {
        ClaimId {
            node: self.cfg.node,
            boot: self.cfg.boot,
            n,
        }
    }

    fn is_own(&self, id: ClaimId) -> bool {
        id.node == self.cfg.node && id.boot == self.cfg.boot
    }
}

fn conclude(out: &mut Vec<Action>, req: ReqId, outcome: Outcome) {
    match outcome {
        Outcome::Kept(answer) => out.push(Action::Answer { req, answer }),
        Outcome::NotKept { .. } => refuse(out, req, Code::AlreadyRun),
        Outcome::Unknown => refuse(out, req, Code::OutcomeUnknown),
    }
}

fn refuse(out: &mut Vec<Action>, req: ReqId, code: Code) {
    let refusal = code.into();
    out.push(Action::Refuse { req, refusal });
}

fn unavailable(out: &mut Vec<Action>, req: ReqId) {
    let refusal = Refusal {
        code: Code::ClaimUnavailable,
        retry_after: Some(RETRY_AFTER),
    };
    out.push(Action::Refuse { req, refusal });
}

fn millis_u64(d: Duration) -> u64 {
    u64::try_from(d.as_millis()).unwrap_or(u64::MAX)
}

fn millis_u32(d: Duration) -> u32 {
    u32::try_from(d.as_millis()).unwrap_or(u32::MAX)
}
