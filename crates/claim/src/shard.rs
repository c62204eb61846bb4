//! The state machine of one claim stream on one node.
//!
//! The driver, which does all I/O, has these duties:
//!
//! - It reads the stream from [`Shard::read_from`] on, passes each record as [`Event::Read`] and
//!   the end of the stream as [`Event::End`]. If the record at that offset has expired, it sends
//!   [`Event::Expired`].
//! - It responds to each [`Action::Append`] with [`Event::Appended`] or [`Event::AppendFailed`].
//! - It responds to each [`Action::Run`] with [`Event::HandedOver`] before it sends the first byte
//!   to the target, or with [`Event::Cancelled`] if the request will not be handed over.
//! - It sends [`Event::Tick`] at the time of [`Shard::next_wake`].
//!
//! A claim is undecided from its creation until the replay applies the claim's record, by which the
//! claim wins or loses. A waiter is a request whose key is held by another request and that waits
//! for the outcome of that request.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use wire::{Code, Fingerprint, InstanceId, Offset, Refusal, Time, UnixMillis};

use crate::fold::{Applied, Entry, Fold};
use crate::outbox::{Kind, Outbox};
use crate::record::{Answer, BootId, Claim, ClaimId, Done, Outcome, Record, Release};
use crate::{Key, MAX_SKEW};

/// Time after which a caller may retry a request that was refused because its claim could not be
/// decided.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Readings of both clocks of this process at the same moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Now {
    /// Reading of the monotonic clock.
    pub mono: Time,
    /// Reading of the wall clock.
    pub wall: UnixMillis,
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
    pub boot: BootId,
    /// How long a claimed key is retained (setting `claim_window_s`).
    pub claim_window: Duration,
    /// Longest time that a claim is held back to share an append with others.
    pub claim_batch_window: Duration,
    /// Longest time that an outcome is held back to share an append. Repeats on this node see the
    /// outcome at once, but the outcome is lost if the process ends before the append.
    pub outcome_batch_window: Duration,
    /// A request is run only if more than this time is left to its deadline.
    pub run_margin: Duration,
    /// Limit on claims of this process that are undecided or whose outcome has not been read from
    /// the stream.
    pub max_claims: usize,
    /// Limit on requests that wait for the outcome of another request with the same key.
    pub max_waiters: usize,
    /// Limit on keys in memory: entries of the stream and claims of this process. At the limit,
    /// requests with new keys are refused.
    pub max_keys: usize,
}

impl Cfg {
    /// Returns the default settings for the process of `node` with boot id `boot`.
    pub fn new(node: InstanceId, boot: BootId) -> Cfg {
        Cfg {
            node,
            boot,
            claim_window: Duration::from_secs(86_400),
            claim_batch_window: Duration::from_millis(1),
            outcome_batch_window: Duration::from_millis(10),
            run_margin: Duration::from_millis(5),
            max_claims: 4_096,
            max_waiters: 256,
            max_keys: 65_536,
        }
    }
}

/// A request to be run at most once.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimRequest {
    /// Id of the request.
    pub req: ReqId,
    /// Caller-generated key of the request.
    pub key: Key,
    /// Fingerprint that tells a repeat from another request with the same key.
    pub fingerprint: Fingerprint,
    /// Deadline by the monotonic clock.
    pub deadline: Time,
}

/// Input of a [`Shard`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// Claim the key of this request, to run it at most once.
    Request(ClaimRequest),
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
        /// Whether the append may have taken effect or may still take effect later.
        may_have_written: bool,
    },
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
    /// Append a checkpoint of the state, if the shard is ready and none is being appended.
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
    /// The claim is queued or appended, and undecided.
    Claiming,
    /// The claim won, and [`Action::Run`] was returned.
    Granted,
    /// The request was handed over to the target.
    HandedOver,
}

/// A claim of this process, until it loses, is abandoned, or its outcome is read from the stream.
#[derive(Clone, Debug)]
struct OwnClaim {
    seq: u64,
    claim_req: ClaimRequest,
    /// Deadline of the request by the wall clock.
    wall_deadline: UnixMillis,
    stage: Stage,
    /// Result of the run, from its end until its record is read from the stream.
    outcome: Option<Outcome>,
}

/// State of a key, as a request that wants to claim it finds it.
enum KeyState {
    Free,
    /// Held by a request with this deadline, which may be running until [`MAX_SKEW`] after it.
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
    own_claims: BTreeMap<Key, OwnClaim>,
    /// Keys of `own_claims` by the sequence number of the claim.
    keys_by_seq: BTreeMap<u64, Key>,
    /// Keys of the requests in `own_claims` and `waiters`.
    keys_by_req: BTreeMap<ReqId, Key>,
    /// Requests that wait for the outcome of the request that holds their key.
    waiters: BTreeMap<Key, Vec<ClaimRequest>>,
    /// Number of requests in `waiters`.
    waiter_count: usize,
    /// Times at which to refuse a request with an undecided claim, or to decide again on a waiter.
    timers: BTreeSet<(Time, ReqId)>,
    /// Last sequence number given to a record of this process.
    last_seq: u64,
    /// Format of the record at which the replay stopped; `None` if it did not stop.
    unsupported_format: Option<u8>,
}

impl Shard {
    /// Creates the state machine of a process that has read nothing. `seed` is the seed of the
    /// backoff jitter.
    pub fn new(cfg: Cfg, seed: u64) -> Shard {
        Shard {
            fold: Fold::new(),
            readiness: Readiness::Reading,
            outbox: Outbox::new(cfg.claim_batch_window, cfg.outcome_batch_window, seed),
            own_claims: BTreeMap::new(),
            keys_by_seq: BTreeMap::new(),
            keys_by_req: BTreeMap::new(),
            waiters: BTreeMap::new(),
            waiter_count: 0,
            timers: BTreeSet::new(),
            last_seq: 0,
            unsupported_format: None,
            cfg,
        }
    }

    /// Sets how long keys are retained by new claims. Claims in the stream keep their own
    /// retention, and `UUIDv7` keys not newer than an expired one stay refused, so a longer window
    /// frees no key for a second run.
    pub fn set_claim_window(&mut self, window: Duration) {
        self.cfg.claim_window = window;
    }

    /// Returns the offset from which the driver must read next.
    pub fn read_from(&self) -> Offset {
        self.fold.next_offset()
    }

    /// Returns the state of the stream up to the read position.
    pub fn fold(&self) -> &Fold {
        &self.fold
    }

    /// Returns whether the shard accepts new claims.
    pub fn is_ready(&self) -> bool {
        matches!(self.readiness, Readiness::Ready) && self.unsupported_format.is_none()
    }

    /// Returns the unsupported record format at which the replay stopped, or `None` if it did not.
    pub fn unsupported_format(&self) -> Option<u8> {
        self.unsupported_format
    }

    /// Returns the number of own records that are not yet confirmed to be in the stream.
    pub fn unconfirmed_records(&self) -> usize {
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
            Event::Request(claim_req) => self.on_request(now, claim_req, &mut out),
            Event::Read { offset, data } => self.on_record(now, offset, &data, &mut out),
            Event::End { end } => self.on_end(now, end),
            Event::Expired { oldest } => self.restart_replay(now, oldest, &mut out),
            Event::Appended { batch, first } => self.on_appended(now, batch, first, &mut out),
            Event::AppendFailed {
                batch,
                may_have_written,
            } => self
                .outbox
                .requeue_failed(now.mono, batch, may_have_written),
            Event::HandedOver(req) => self.on_handed_over(req),
            Event::Finished {
                req,
                status,
                answer,
            } => self.on_finished(now, req, Outcome::of(status, answer), &mut out),
            Event::NoResponse(req) => self.on_finished(now, req, Outcome::NoResponse, &mut out),
            Event::Cancelled(req) => self.on_cancelled(now, req, &mut out),
            Event::Checkpoint => self.append_checkpoint(now),
            Event::Tick => {}
        }
        self.run_timers(now, &mut out);
        if let Some((batch, records)) = self.outbox.next_batch(now.mono) {
            out.push(Action::Append { batch, records });
        }
        out
    }

    fn on_request(&mut self, now: Now, claim_req: ClaimRequest, out: &mut Vec<Action>) {
        if !self.is_in_window(now.wall, &claim_req.key) {
            return push_refusal(out, claim_req.req, Code::KeyExpired);
        }
        if !self.is_ready() || self.is_too_late(now, &claim_req) || self.is_clock_behind_stream(now)
        {
            return push_unavailable(out, claim_req.req);
        }
        self.resolve(now, claim_req, out);
    }

    /// Returns whether a `UUIDv7` key is recent enough that the stream still has its entry, and not
    /// from the future. Always true for other keys.
    fn is_in_window(&self, at: UnixMillis, key: &Key) -> bool {
        key.time()
            .is_none_or(|t| t <= at + MAX_SKEW && at <= t + self.cfg.claim_window)
    }

    /// Returns whether the clock of the stream is ahead of the node's by more than twice
    /// [`MAX_SKEW`]. Entries may then have expired too early.
    fn is_clock_behind_stream(&self, now: Now) -> bool {
        self.fold.clock() > now.wall + MAX_SKEW + MAX_SKEW
    }

    /// Returns whether the time left to the deadline is [`Cfg::run_margin`] or less.
    fn is_too_late(&self, now: Now, claim_req: &ClaimRequest) -> bool {
        now.mono + self.cfg.run_margin >= claim_req.deadline
    }

    /// Answers, refuses, claims or enqueues the request, depending on the state of its key.
    fn resolve(&mut self, now: Now, claim_req: ClaimRequest, out: &mut Vec<Action>) {
        match self.key_state(now, &claim_req) {
            KeyState::Free => self.append_claim(now, claim_req, out),
            KeyState::Running(deadline) => self.add_waiter(now, deadline, claim_req, out),
            KeyState::Ended(outcome) => push_outcome(out, claim_req.req, outcome),
            KeyState::Mismatch => push_refusal(out, claim_req.req, Code::KeyMismatch),
            KeyState::Expired => push_refusal(out, claim_req.req, Code::KeyExpired),
        }
    }

    /// Returns the state of the key of a request, from the claims of this process and the stream.
    fn key_state(&self, now: Now, claim_req: &ClaimRequest) -> KeyState {
        if let Some(own) = self.own_claims.get(&claim_req.key) {
            if own.claim_req.fingerprint != claim_req.fingerprint {
                return KeyState::Mismatch;
            }
            // Only this process can end its own claim, so the key is held until the outcome is set,
            // also after the deadline.
            let running = KeyState::Running(UnixMillis(u64::MAX));
            return own.outcome.clone().map_or(running, KeyState::Ended);
        }
        match self.fold.get(&claim_req.key, now.wall) {
            None if self.fold.may_have_expired(&claim_req.key, now.wall) => KeyState::Expired,
            None => KeyState::Free,
            Some(e) if e.fingerprint != claim_req.fingerprint => KeyState::Mismatch,
            Some(Entry {
                outcome: Some(outcome),
                ..
            }) => KeyState::Ended(outcome.clone()),
            Some(e) if now.wall > e.deadline + MAX_SKEW => KeyState::Ended(Outcome::NoResponse),
            Some(e) => KeyState::Running(e.deadline),
        }
    }

    /// Makes a claim for the request and queues its record, or refuses the request at a limit.
    fn append_claim(&mut self, now: Now, claim_req: ClaimRequest, out: &mut Vec<Action>) {
        let is_full = self.is_full(now) || self.keys_by_seq.len() >= self.cfg.max_claims;
        if is_full || !self.is_ready() || self.is_too_late(now, &claim_req) {
            return push_unavailable(out, claim_req.req);
        }
        self.last_seq += 1;
        let seq = self.last_seq;
        let ttl = millis_u32(claim_req.deadline - now.mono);
        let claim = Claim {
            key: claim_req.key.clone(),
            fingerprint: claim_req.fingerprint,
            id: self.claim_id(seq),
            at: now.wall,
            ttl_ms: ttl,
            retention_s: u32::try_from(self.cfg.claim_window.as_secs()).unwrap_or(u32::MAX),
        };
        self.timers
            .insert((self.latest_start(&claim_req), claim_req.req));
        self.keys_by_seq.insert(seq, claim_req.key.clone());
        self.keys_by_req
            .insert(claim_req.req, claim_req.key.clone());
        let own = OwnClaim {
            seq,
            wall_deadline: now.wall + Duration::from_millis(ttl.into()),
            stage: Stage::Claiming,
            outcome: None,
            claim_req,
        };
        self.own_claims.insert(own.claim_req.key.clone(), own);
        let data = Record::Claim(claim).encode();
        self.outbox.push(now.mono, (Kind::Claim, seq), data);
    }

    /// Returns whether the limit on keys is reached. If so, and if expired entries could be
    /// removed, also queues a record that advances the clock of the stream.
    fn is_full(&mut self, now: Now) -> bool {
        let is_full = self.fold.len() + self.keys_by_seq.len() >= self.cfg.max_keys;
        if is_full
            && self.fold.is_sweep_due(now.wall)
            && !self.outbox.has_pending(Kind::ClockAdvance)
        {
            // Entries expire by the time in the records, and no record arrives while all claims are
            // refused. The release of an unused claim id advances the clock.
            self.last_seq += 1;
            let clock_record = Record::Release(Release {
                key: Key::reserved(),
                id: self.claim_id(self.last_seq),
                at: now.wall,
                deadline: now.wall,
            });
            let id = (Kind::ClockAdvance, self.last_seq);
            self.outbox.push(now.mono, id, clock_record.encode());
        }
        is_full
    }

    /// Lets the request wait until the state of its key changes, at most until [`MAX_SKEW`] after
    /// `holder_deadline` or until it is too late to run the request. Refuses the request if too
    /// many wait or if it is too late already.
    fn add_waiter(
        &mut self,
        now: Now,
        holder_deadline: UnixMillis,
        claim_req: ClaimRequest,
        out: &mut Vec<Action>,
    ) {
        if self.waiter_count >= self.cfg.max_waiters || self.is_too_late(now, &claim_req) {
            return push_refusal(out, claim_req.req, Code::ClaimHeld);
        }
        let held_for = Duration::from_millis(
            (holder_deadline + MAX_SKEW)
                .0
                .saturating_sub(now.wall.0)
                .saturating_add(1),
        );
        let retry_at = (now.mono + held_for).min(self.latest_start(&claim_req));
        self.timers.insert((retry_at, claim_req.req));
        self.keys_by_req
            .insert(claim_req.req, claim_req.key.clone());
        self.waiter_count += 1;
        self.waiters
            .entry(claim_req.key.clone())
            .or_default()
            .push(claim_req);
    }

    /// Decides again on the requests that wait for `key`, after its state has changed.
    fn retry_waiters(&mut self, now: Now, key: &Key, out: &mut Vec<Action>) {
        for claim_req in self.waiters.remove(key).unwrap_or_default() {
            self.waiter_count -= 1;
            self.keys_by_req.remove(&claim_req.req);
            self.resolve(now, claim_req, out);
        }
    }

    /// Refuses the requests whose claims are overdue, and decides again on waiters whose time to
    /// wait has ended.
    fn run_timers(&mut self, now: Now, out: &mut Vec<Action>) {
        while let Some((at, req)) = self.timers.first().copied()
            && at <= now.mono
        {
            self.timers.pop_first();
            let Some(key) = self.keys_by_req.get(&req).cloned() else {
                continue;
            };
            let own = self.own_claims.get(&key);
            let overdue =
                own.filter(|o| o.stage == Stage::Claiming && self.is_too_late(now, &o.claim_req));
            if let Some(req) = overdue.map(|o| o.claim_req.req) {
                push_unavailable(out, req);
                self.abandon_claim(now, &key, false, out);
            }
            self.retry_waiters(now, &key, out);
        }
    }

    fn on_record(&mut self, now: Now, offset: Offset, data: &[u8], out: &mut Vec<Action>) {
        if offset < self.fold.next_offset() || self.unsupported_format.is_some() {
            return;
        }
        if offset > self.fold.next_offset() {
            return self.restart_replay(now, offset, out);
        }
        match self.fold.apply(data) {
            Applied::Won(id) => self.on_won(now, id, out),
            Applied::Lost(id) | Applied::Duplicate(id) => self.on_lost(now, id, out),
            Applied::Released(id, key) => {
                self.confirm_own(Kind::Release, id);
                self.retry_waiters(now, &key, out);
            }
            Applied::Done(id, key) => {
                if self.confirm_own(Kind::Done, id) {
                    self.remove_claim(&key);
                }
                self.retry_waiters(now, &key, out);
            }
            Applied::Adopted => self.readiness = Readiness::Reading,
            Applied::UnsupportedFormat { format } => self.unsupported_format = Some(format),
            Applied::Checkpoint | Applied::Skipped | Applied::Malformed => {}
        }
    }

    fn on_won(&mut self, now: Now, id: ClaimId, out: &mut Vec<Action>) {
        let Some(key) = self.undecided_claim_key(id) else {
            return;
        };
        self.outbox.confirm((Kind::Claim, id.seq));
        let Some(own) = self.own_claims.get_mut(&key) else {
            return;
        };
        let req = own.claim_req.req;
        if now.mono + self.cfg.run_margin >= own.claim_req.deadline {
            push_unavailable(out, req);
            return self.abandon_claim(now, &key, true, out);
        }
        own.stage = Stage::Granted;
        out.push(Action::Run(req));
    }

    fn on_lost(&mut self, now: Now, id: ClaimId, out: &mut Vec<Action>) {
        let Some(key) = self.undecided_claim_key(id) else {
            return;
        };
        self.outbox.confirm((Kind::Claim, id.seq));
        let Some(own) = self.remove_claim(&key) else {
            return;
        };
        if matches!(self.key_state(now, &own.claim_req), KeyState::Free) {
            // The claim did not lose to another one, but was appended too long after its deadline.
            // Another append would be rejected as well.
            push_unavailable(out, own.claim_req.req);
        } else {
            self.resolve(now, own.claim_req, out);
        }
        self.retry_waiters(now, &key, out);
    }

    /// Returns the key of claim `id`, if this process made the claim and it is undecided.
    fn undecided_claim_key(&self, id: ClaimId) -> Option<Key> {
        if !self.is_own(id) {
            return None;
        }
        let key = self.keys_by_seq.get(&id.seq)?;
        let own = self.own_claims.get(key)?;
        (own.seq == id.seq && own.stage == Stage::Claiming).then(|| key.clone())
    }

    /// Abandons a claim whose request was not handed over; the request can't run any more. Appends
    /// a release if the claim holds its key (`is_held`) or may be in the stream.
    fn abandon_claim(&mut self, now: Now, key: &Key, is_held: bool, out: &mut Vec<Action>) {
        let Some(own) = self.remove_claim(key) else {
            return;
        };
        let may_be_written = self.outbox.cancel((Kind::Claim, own.seq));
        if is_held || may_be_written {
            let release = Record::Release(Release {
                key: key.clone(),
                id: self.claim_id(own.seq),
                at: now.wall,
                deadline: own.wall_deadline,
            });
            let id = (Kind::Release, own.seq);
            self.outbox.push(now.mono, id, release.encode());
        }
        self.retry_waiters(now, key, out);
    }

    fn on_handed_over(&mut self, req: ReqId) {
        if let Some(own) = self.own_claim_of(req)
            && own.stage == Stage::Granted
        {
            own.stage = Stage::HandedOver;
        }
    }

    fn on_finished(&mut self, now: Now, req: ReqId, outcome: Outcome, out: &mut Vec<Action>) {
        let Some(own) = self.own_claim_of(req) else {
            return;
        };
        if own.stage != Stage::HandedOver || own.outcome.is_some() {
            return;
        }
        own.outcome = Some(outcome.clone());
        let (seq, key) = (own.seq, own.claim_req.key.clone());
        let done = Record::Done(Done {
            key: key.clone(),
            id: self.claim_id(seq),
            at: now.wall,
            outcome,
        });
        self.outbox.push(now.mono, (Kind::Done, seq), done.encode());
        self.retry_waiters(now, &key, out);
    }

    fn on_cancelled(&mut self, now: Now, req: ReqId, out: &mut Vec<Action>) {
        let Some(key) = self.keys_by_req.get(&req).cloned() else {
            return;
        };
        match self.own_claim_of(req).map(|o| o.stage) {
            Some(Stage::HandedOver) => {}
            Some(stage) => self.abandon_claim(now, &key, stage == Stage::Granted, out),
            None => {
                self.keys_by_req.remove(&req);
                if let Some(waiters) = self.waiters.get_mut(&key) {
                    waiters.retain(|w| w.req != req);
                    self.waiter_count -= 1;
                }
            }
        }
    }

    fn on_appended(&mut self, now: Now, batch: u64, first: Offset, out: &mut Vec<Action>) {
        let Some(appended) = self.outbox.complete(batch) else {
            return;
        };
        // The records of a batch have consecutive offsets from `first` on. If the replay has
        // reached that offset, they are applied now instead of after a read.
        let mut offset = first;
        for data in appended.records {
            if offset == self.fold.next_offset() {
                self.on_record(now, offset, &data, out);
            }
            offset = offset.next();
        }
    }

    fn on_end(&mut self, now: Now, end: Offset) {
        if end > self.fold.next_offset() {
            return;
        }
        if !self.fold.is_awaiting_checkpoint() {
            self.readiness = Readiness::Ready;
            return;
        }
        match self.readiness {
            // All keys that were claimed before the end was first reached have expired by now.
            Readiness::NoCheckpoint(since, end)
                if now.mono - since > self.cfg.claim_window + 4 * MAX_SKEW =>
            {
                let first_reached =
                    UnixMillis(now.wall.0.saturating_sub(millis_u64(now.mono - since)));
                self.fold = Fold::starting_at(end, first_reached + MAX_SKEW);
                self.readiness = Readiness::Reading;
            }
            Readiness::NoCheckpoint(..) => {}
            _ => self.readiness = Readiness::NoCheckpoint(now.mono, end),
        }
    }

    /// Restarts the replay after records between the read position and `oldest` were missed.
    /// Undecided claims are abandoned, because the missed records may have decided them.
    fn restart_replay(&mut self, now: Now, oldest: Offset, out: &mut Vec<Action>) {
        if oldest <= self.fold.next_offset() {
            return;
        }
        self.fold = Fold::awaiting_checkpoint(oldest);
        self.readiness = Readiness::Reading;
        self.outbox.requeue_written(now.mono);
        for claim_req in std::mem::take(&mut self.waiters).into_values().flatten() {
            self.keys_by_req.remove(&claim_req.req);
            push_refusal(out, claim_req.req, Code::OutcomeUnknown);
        }
        self.waiter_count = 0;
        let undecided = self
            .own_claims
            .values()
            .filter(|o| o.stage == Stage::Claiming);
        let undecided: Vec<_> = undecided.map(|o| o.claim_req.clone()).collect();
        for claim_req in undecided {
            push_unavailable(out, claim_req.req);
            self.abandon_claim(now, &claim_req.key, false, out);
        }
    }

    fn append_checkpoint(&mut self, now: Now) {
        if !self.is_ready() || self.outbox.has_pending(Kind::Checkpoint) {
            return;
        }
        self.last_seq += 1;
        let first = self.last_seq;
        for record in self.fold.checkpoint(self.claim_id(first)) {
            self.last_seq += 1;
            let id = (Kind::Checkpoint, self.last_seq);
            self.outbox.push(now.mono, id, record.encode());
        }
    }

    /// Returns whether this process made the claim `id`, and if so removes the claim's record of
    /// this kind from the outbox.
    fn confirm_own(&mut self, kind: Kind, id: ClaimId) -> bool {
        let is_own = self.is_own(id);
        if is_own {
            self.outbox.confirm((kind, id.seq));
        }
        is_own
    }

    /// Forgets the claim of this process for `key`, if there is one. Its records stay queued.
    fn remove_claim(&mut self, key: &Key) -> Option<OwnClaim> {
        let own = self.own_claims.remove(key)?;
        self.keys_by_seq.remove(&own.seq);
        self.keys_by_req.remove(&own.claim_req.req);
        self.timers
            .remove(&(self.latest_start(&own.claim_req), own.claim_req.req));
        Some(own)
    }

    /// Returns the claim that this process made for the request.
    fn own_claim_of(&mut self, req: ReqId) -> Option<&mut OwnClaim> {
        let key = self.keys_by_req.get(&req)?;
        self.own_claims
            .get_mut(key)
            .filter(|o| o.claim_req.req == req)
    }

    /// Returns the time from which it is too late to run the request: the deadline less
    /// [`Cfg::run_margin`].
    fn latest_start(&self, claim_req: &ClaimRequest) -> Time {
        let margin = self.cfg.run_margin;
        Time::ZERO + (claim_req.deadline - Time::ZERO).saturating_sub(margin)
    }

    fn claim_id(&self, seq: u64) -> ClaimId {
        ClaimId {
            node: self.cfg.node,
            boot: self.cfg.boot,
            seq,
        }
    }

    fn is_own(&self, id: ClaimId) -> bool {
        id.node == self.cfg.node && id.boot == self.cfg.boot
    }
}

fn push_outcome(out: &mut Vec<Action>, req: ReqId, outcome: Outcome) {
    match outcome {
        Outcome::Kept(answer) => out.push(Action::Answer { req, answer }),
        Outcome::NotKept { .. } => push_refusal(out, req, Code::AlreadyRun),
        Outcome::NoResponse => push_refusal(out, req, Code::OutcomeUnknown),
    }
}

fn push_refusal(out: &mut Vec<Action>, req: ReqId, code: Code) {
    let refusal = code.into();
    out.push(Action::Refuse { req, refusal });
}

fn push_unavailable(out: &mut Vec<Action>, req: ReqId) {
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
