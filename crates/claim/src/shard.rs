//! The state machine of one claim stream on one node.
//!
//! The driver, which does all I/O, has these duties:
//!
//! - It reads the stream from [`Shard::read_from`] on, passes each record as [`Event::Read`] and
//!   the end of the stream as [`Event::End`].
//! - It replies to each [`Action::Append`] with [`Event::Appended`] or [`Event::AppendFailed`].
//! - It replies to each [`Action::Run`] with [`Event::Handed`] before it sends the first byte to
//!   the target, or with [`Event::Dropped`] if the request will not be handed over.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use wire::{Code, Fingerprint, InstanceId, Offset, Refusal, Time, UnixMillis};

use crate::fold::{Applied, Entry, Fold};
use crate::outbox::{Kind, Outbox};
use crate::record::{Answer, Boot, Claim, ClaimId, Done, Outcome, Record, Release};
use crate::{Key, MAX_SKEW};

/// Time after which a caller may retry a request that was refused because its claim could not be
/// decided.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Readings of both clocks of this process at the same moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Now {
    /// Reading of the monotonic clock.
    pub time: Time,
    /// Reading of the wall clock.
    pub at: UnixMillis,
}

/// Identifies a request within the process. The driver must not reuse a number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ReqId(pub u64);

/// Settings of a [`Shard`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Cfg {
    /// This node.
    pub node: InstanceId,
    /// Boot id of this process.
    pub boot: Boot,
    /// How long a claimed key is retained (setting `claim_window_s`).
    pub window: Duration,
    /// Longest time that a claim is held back to share an append with others.
    pub batch_window: Duration,
    /// Longest time that an outcome is held back to share an append. Repeats on this node see the
    /// outcome at once, but it is lost if the process ends before the append.
    pub outcome_window: Duration,
    /// Least time to the deadline with which a request is still run.
    pub run_margin: Duration,
    /// Limit on own claims that are undecided or whose outcome is not yet in the stream.
    pub max_claims: usize,
    /// Limit on requests that wait for the outcome of another request with the same key.
    pub max_waiters: usize,
    /// Limit on keys in memory. At the limit, requests with new keys are refused.
    pub max_keys: usize,
}

impl Cfg {
    /// Returns the default settings for the process of `node` with boot id `boot`.
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

/// A request to be run at most once.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ask {
    /// Id of the request.
    pub req: ReqId,
    /// Caller-generated key of the request.
    pub key: Key,
    /// Fingerprint that tells a repeat from another request with the same key.
    pub request: Fingerprint,
    /// Deadline by the monotonic clock.
    pub deadline: Time,
}

/// Input of a [`Shard`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// Claim the key of this request, to run it at most once.
    Ask(Ask),
    /// A record was read from the stream.
    Read {
        /// Offset of the record.
        offset: Offset,
        /// The encoded record.
        data: Vec<u8>,
    },
    /// The driver has passed all records before `end`, which was the end of the stream.
    End {
        /// Offset that the next appended record gets.
        end: Offset,
    },
    /// The log no longer retains the record at the read position.
    Expired {
        /// Oldest offset that the log retains.
        oldest: Offset,
    },
    /// The log confirmed the append of a batch.
    Appended {
        /// Number of the batch, from [`Action::Append`].
        batch: u64,
        /// Offset of the first record of the batch.
        first: Offset,
    },
    /// The append of a batch failed or got no reply.
    AppendFailed {
        /// Number of the batch, from [`Action::Append`].
        batch: u64,
        /// Whether the append may have taken effect or may still do so later.
        may_have_written: bool,
    },
    /// The request is about to be handed over: from now on bytes may reach the target.
    Handed(ReqId),
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
    Lost(ReqId),
    /// The caller disconnected, or the node refused the request, before the hand-over.
    Dropped(ReqId),
    /// The driver asks for a checkpoint of the state to be appended.
    Checkpoint,
    /// The time of [`Shard::next_wake`] has come.
    Tick,
}

/// Output of a [`Shard`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Append these records to the stream in one call.
    Append {
        /// Number of the batch, to be returned with the result.
        batch: u64,
        /// The encoded records, in the order of the append.
        records: Vec<Vec<u8>>,
    },
    /// Hand the request over to the target.
    Run(ReqId),
    /// Answer the request with the kept response of an earlier run.
    Answer {
        /// Id of the request.
        req: ReqId,
        /// The kept response.
        answer: Answer,
    },
    /// Refuse the request.
    Refuse {
        /// Id of the request.
        req: ReqId,
        /// Result code and, for some codes, the time after which to retry.
        refusal: Refusal,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// The claim is queued or appended, and not yet decided.
    Claiming,
    /// The claim won, and [`Action::Run`] was returned.
    Granted,
    /// The request was handed over to the target.
    Handed,
}

/// A claim of this process that is not abandoned and whose outcome is not yet read from the stream.
#[derive(Clone, Debug)]
struct Own {
    n: u64,
    ask: Ask,
    until: UnixMillis,
    stage: Stage,
    /// Result of the run, from its end until its record is read from the stream.
    outcome: Option<Outcome>,
}

/// State of a key, as a request that wants to claim it finds it.
enum View {
    Free,
    /// Held by a request that may be running until this deadline plus [`MAX_SKEW`].
    Running(UnixMillis),
    Ended(Outcome),
    /// Held by a request with another fingerprint.
    Mismatch,
    /// The key may have had an entry that has expired.
    Expired,
}

#[derive(Debug)]
enum Readiness {
    /// The replay has not reached the end of the stream.
    Reading,
    /// The end of the stream was reached without a checkpoint, first at this time and offset.
    NoCheckpoint(Time, Offset),
    Ready,
}

/// The state machine of one claim stream on one node.
#[derive(Debug)]
pub struct Shard {
    cfg: Cfg,
    fold: Fold,
    readiness: Readiness,
    outbox: Outbox,
    /// Claims of this process by key, at most one per key.
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
    /// Creates the state machine of a process that has read nothing. `seed` is the seed of the
    /// backoff jitter.
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

    /// Sets how long keys are retained by new claims. Claims in the stream keep their own
    /// retention, and `UUIDv7` keys not newer than an expired one stay refused, so a longer window
    /// frees no key for a second run.
    pub fn set_window(&mut self, window: Duration) {
        self.cfg.window = window;
    }

    /// Returns the offset from which the driver must read next.
    pub fn read_from(&self) -> Offset {
        self.fold.next()
    }

    /// Returns the state of the stream up to the read position.
    pub fn fold(&self) -> &Fold {
        &self.fold
    }

    /// Returns whether the shard accepts new claims.
    pub fn is_ready(&self) -> bool {
        matches!(self.readiness, Readiness::Ready) && self.behind.is_none()
    }

    /// Returns the unsupported record format at which the replay stopped, or `None` if it did not.
    pub fn behind(&self) -> Option<u8> {
        self.behind
    }

    /// Returns the number of own records that are not yet confirmed to be in the stream.
    pub fn unsettled(&self) -> usize {
        self.outbox.len()
    }

    /// Returns when the driver must send the next [`Event::Tick`], or `None` if no timer runs.
    pub fn next_wake(&self) -> Option<Time> {
        let timer = self.timers.first().map(|(t, _)| *t);
        timer.into_iter().chain(self.outbox.next_wake()).min()
    }

    /// Handles an event and returns the actions that follow from it.
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

    /// Returns whether a `UUIDv7` key is recent enough that the stream still has its entry, and not
    /// from the future. Always true for other keys.
    fn is_in_window(&self, at: UnixMillis, key: &Key) -> bool {
        key.time()
            .is_none_or(|t| t <= at + MAX_SKEW && at <= t + self.cfg.window)
    }

    /// Returns whether the clock of the stream is ahead of the node's by more than the skew allows.
    /// The stream may then have expired entries too early.
    fn is_clock_wrong(&self, now: Now) -> bool {
        self.fold.clock() > now.at + MAX_SKEW + MAX_SKEW
    }

    fn is_late(&self, now: Now, ask: &Ask) -> bool {
        now.time + self.cfg.run_margin >= ask.deadline
    }

    /// Answers, refuses, claims or enqueues the request, depending on the state of its key.
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
            // Only this process can end its own claim, so the request runs until its outcome is
            // set.
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
            // Entries expire by the time in the records, and no record arrives while all claims are
            // refused. The release of an unused claim id advances the clock.
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

    /// Decides again on the requests that wait for `key`, after its state has changed.
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
            // The claim was appended after its deadline and not lost to another claim. A retry
            // would be rejected as well.
            unavailable(out, own.ask.req);
        } else {
            self.settle(now, own.ask, out);
        }
        self.wake(now, &key, out);
    }

    /// Returns the key of claim `id`, if this process made the claim and it is undecided.
    fn claiming(&self, id: ClaimId) -> Option<Key> {
        if !self.is_own(id) {
            return None;
        }
        let key = self.claims.get(&id.n)?;
        let own = self.own.get(key)?;
        (own.n == id.n && own.stage == Stage::Claiming).then(|| key.clone())
    }

    /// Abandons a claim whose request was not handed over, so that it can't run any more. Appends a
    /// release if the claim is held or may be in the stream.
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
        // The records of a batch have consecutive offsets from `first` on. If the replay has
        // reached that offset, they are applied now instead of after a read.
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
            // All keys that were claimed before the end was first reached have expired by now.
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

    /// Restarts the replay after records between the read position and `oldest` were missed.
    /// Undecided claims are abandoned, because the missed records may have decided them.
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
