//! Keys that a process issues and whose requests only that process runs. A key has the form
//! `bk1.<instance>.<boot>.<n>.<mac>`.

use std::collections::{BTreeMap, VecDeque};
use std::fmt;
use std::str::FromStr;

use snafu::{OptionExt, Snafu};
use wire::{Code, Fingerprint, InstanceId, KeyRing};

use crate::record::{Answer, Boot, Outcome};

/// First of the dot-separated parts of an issued key, with the format version.
pub const PREFIX: &str = "bk1";
/// Largest number of keys that one call issues.
pub const MAX_BLOCK: usize = 256;
/// Number of most recently issued keys that may be run and whose outcomes are kept.
pub const OUTCOME_WINDOW: u64 = 16_384;
/// Number of most recently issued keys for which the issuer remembers whether they were used: one
/// bit each, 16 KB in total.
pub const USED_WINDOW: u64 = 1 << 17;
/// Total size of the kept responses. The oldest are evicted first.
const MAX_ANSWERS_BYTES: usize = 4 * 1024 * 1024;

/// A parsed issued key. [`Issuer`] verifies the MAC, parsing does not.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct IssuedKey {
    /// The instance that issued the key, to which the request is routed.
    pub instance: InstanceId,
    /// Boot id of the process that issued the key.
    pub boot: Boot,
    /// Sequence number within the process, from 0.
    pub n: u64,
    mac: String,
}

/// Error for a string that is no issued key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("not a key of the form {PREFIX}.<instance>.<boot>.<n>.<mac>"))]
pub struct IssuedKeyError;

impl FromStr for IssuedKey {
    type Err = IssuedKeyError;

    fn from_str(s: &str) -> Result<IssuedKey, IssuedKeyError> {
        let mut parts = s.split('.');
        let mut next = || parts.next().context(IssuedKeySnafu);
        if next()? != PREFIX {
            return Err(IssuedKeyError);
        }
        let key = IssuedKey {
            instance: InstanceId(parse_hex(next()?)?),
            boot: Boot(parse_hex(next()?)?),
            n: next()?.parse().map_err(|_| IssuedKeyError)?,
            mac: next()?.to_owned(),
        };
        // Only the canonical form is accepted, for example no leading zeros, so that each key has
        // exactly one spelling.
        (parts.next().is_none() && key.to_string() == s)
            .then_some(key)
            .ok_or(IssuedKeyError)
    }
}

impl fmt::Display for IssuedKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (boot, n, mac) = (self.boot.0, self.n, &self.mac);
        write!(f, "{PREFIX}.{}.{boot:016x}.{n}.{mac}", self.instance)
    }
}

fn parse_hex(s: &str) -> Result<u64, IssuedKeyError> {
    u64::from_str_radix(s, 16).map_err(|_| IssuedKeyError)
}

/// Decision on a request with an issued key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Admitted {
    /// Run the request. Exactly one call of [`Issuer::handed`] or [`Issuer::dropped`] must follow.
    Run,
    /// Answer the request with the kept response of the run.
    Answer(Answer),
    /// Refuse the request with this code.
    Refuse(Code),
}

#[derive(Debug)]
enum State {
    Granted,
    Handed,
    Ended(Outcome),
}

/// A used key: the request that claimed it, and the state of its run.
#[derive(Debug)]
struct Ticket {
    request: Fingerprint,
    state: State,
}

/// Issues keys and admits each of them once. All state is in memory; after a restart the process
/// has another [`Boot`] and refuses the keys of the earlier process.
#[derive(Debug)]
pub struct Issuer {
    instance: InstanceId,
    boot: Boot,
    keys: KeyRing,
    next: u64,
    tickets: BTreeMap<u64, Ticket>,
    answers: VecDeque<u64>,
    answers_bytes: usize,
    /// Bitmap of used keys by sequence number: bit 0 of the first word stands for `used_from`.
    used: VecDeque<u64>,
    used_from: u64,
}

impl Issuer {
    /// Creates the issuer of the process of `instance` with boot id `boot`.
    pub fn new(instance: InstanceId, boot: Boot, keys: KeyRing) -> Issuer {
        Issuer {
            instance,
            boot,
            keys,
            next: 0,
            tickets: BTreeMap::new(),
            answers: VecDeque::new(),
            answers_bytes: 0,
            used: VecDeque::new(),
            used_from: 0,
        }
    }

    /// Issues `count` keys, but at most [`MAX_BLOCK`].
    pub fn issue(&mut self, count: usize) -> Vec<String> {
        let keys = (0..count.min(MAX_BLOCK))
            .map(|_| self.issue_one())
            .collect();
        self.forget_old();
        keys
    }

    fn issue_one(&mut self) -> String {
        let n = self.next;
        self.next += 1;
        let (instance, boot) = (self.instance, self.boot);
        let mac = self.keys.sign(
            &mac_parts(instance, boot, n)
                .each_ref()
                .map(|p| p.as_slice()),
        );
        IssuedKey {
            instance,
            boot,
            n,
            mac,
        }
        .to_string()
    }

    /// Decides on a request with issued key `key` and fingerprint `request`. The first request with
    /// a key is admitted to run.
    pub fn admit(&mut self, key: &IssuedKey, request: Fingerprint) -> Admitted {
        if !self.is_genuine(key) {
            return Admitted::Refuse(Code::BadHeader);
        }
        if key.instance != self.instance || key.boot != self.boot {
            return Admitted::Refuse(Code::OutcomeUnknown);
        }
        if let Some(ticket) = self.tickets.get(&key.n) {
            return present(ticket, request);
        }
        match self.is_used(key.n) {
            Some(false) if key.n >= self.floor() => self.grant(key.n, request),
            Some(false) => Admitted::Refuse(Code::KeyExpired),
            Some(true) | None => Admitted::Refuse(Code::OutcomeUnknown),
        }
    }

    /// Returns the decision on a repeat, without admitting anything. `None` if this process did not
    /// issue the key or has no run of it in memory.
    pub fn peek(&self, key: &IssuedKey, request: Fingerprint) -> Option<Admitted> {
        if key.instance != self.instance || key.boot != self.boot || !self.is_genuine(key) {
            return None;
        }
        Some(present(self.tickets.get(&key.n)?, request))
    }

    fn is_genuine(&self, key: &IssuedKey) -> bool {
        let parts = mac_parts(key.instance, key.boot, key.n);
        let parts = parts.each_ref().map(|p| p.as_slice());
        self.keys.verify(&parts, &key.mac)
    }

    fn grant(&mut self, n: u64, request: Fingerprint) -> Admitted {
        let state = State::Granted;
        self.tickets.insert(n, Ticket { request, state });
        self.set_used(n, true);
        Admitted::Run
    }

    /// Records that the request with key `n` is about to be handed over to the target.
    pub fn handed(&mut self, n: u64) {
        if let Some(ticket) = self.tickets.get_mut(&n)
            && matches!(ticket.state, State::Granted)
        {
            ticket.state = State::Handed;
        }
    }

    /// Records the outcome of the run of key `n`. Has no effect before the hand-over.
    pub fn finished(&mut self, n: u64, outcome: Outcome) {
        let Some(ticket) = self.tickets.get_mut(&n) else {
            return;
        };
        if !matches!(ticket.state, State::Handed) {
            return;
        }
        if let Outcome::Kept(a) = &outcome {
            self.answers_bytes += a.body.len();
            self.answers.push_back(n);
        }
        ticket.state = State::Ended(outcome);
        self.drop_answers();
        self.forget_old();
    }

    /// Frees key `n`, so that it can be used again, if its request was not handed over.
    pub fn dropped(&mut self, n: u64) {
        if self
            .tickets
            .get(&n)
            .is_some_and(|t| matches!(t.state, State::Granted))
        {
            self.tickets.remove(&n);
            self.set_used(n, false);
        }
    }

    /// Returns the number of outcomes and runs in progress in memory.
    pub fn len(&self) -> usize {
        self.tickets.len()
    }

    /// Returns whether neither an outcome nor a run in progress is in memory.
    pub fn is_empty(&self) -> bool {
        self.tickets.is_empty()
    }

    fn floor(&self) -> u64 {
        self.next.saturating_sub(OUTCOME_WINDOW)
    }

    /// Evicts outcomes of keys older than [`OUTCOME_WINDOW`]. Runs in progress are kept; the slots
    /// of the target limit their number.
    fn forget_old(&mut self) {
        let floor = self.floor();
        let old = self.tickets.range(..floor);
        let ended = old.filter(|(_, t)| matches!(t.state, State::Ended(_)));
        let ended: Vec<u64> = ended.map(|(n, _)| *n).collect();
        for n in ended {
            self.free_answer(n);
            self.tickets.remove(&n);
        }
        self.answers.retain(|n| *n >= floor);
        while self.next > self.used_from + USED_WINDOW {
            self.used.pop_front();
            self.used_from += 64;
        }
    }

    fn drop_answers(&mut self) {
        while self.answers_bytes > MAX_ANSWERS_BYTES
            && let Some(n) = self.answers.pop_front()
        {
            self.free_answer(n);
        }
    }

    fn free_answer(&mut self, n: u64) {
        if let Some(ticket) = self.tickets.get_mut(&n)
            && let State::Ended(outcome) = &mut ticket.state
            && let Outcome::Kept(a) = outcome
        {
            self.answers_bytes -= a.body.len();
            *outcome = outcome.without_answer();
        }
    }

    /// Returns whether key `n` was used. `None` means that `n` was never issued or that its bit has
    /// been discarded.
    fn is_used(&self, n: u64) -> Option<bool> {
        if n >= self.next {
            return None;
        }
        let bit = n.checked_sub(self.used_from)?;
        let word = usize::try_from(bit / 64).ok()?;
        let word = self.used.get(word).copied().unwrap_or(0);
        Some(word >> (bit % 64) & 1 == 1)
    }

    fn set_used(&mut self, n: u64, used: bool) {
        let Some(bit) = n.checked_sub(self.used_from) else {
            return;
        };
        let Ok(word) = usize::try_from(bit / 64) else {
            return;
        };
        if self.used.len() <= word {
            self.used.resize(word + 1, 0);
        }
        let mask = 1 << (bit % 64);
        self.used[word] = if used {
            self.used[word] | mask
        } else {
            self.used[word] & !mask
        };
    }
}

fn present(ticket: &Ticket, request: Fingerprint) -> Admitted {
    if ticket.request != request {
        return Admitted::Refuse(Code::KeyMismatch);
    }
    match &ticket.state {
        State::Granted | State::Handed => Admitted::Refuse(Code::ClaimHeld),
        State::Ended(Outcome::Kept(answer)) => Admitted::Answer(answer.clone()),
        State::Ended(Outcome::NotKept { .. }) => Admitted::Refuse(Code::AlreadyRun),
        State::Ended(Outcome::Unknown) => Admitted::Refuse(Code::OutcomeUnknown),
    }
}

fn mac_parts(instance: InstanceId, boot: Boot, n: u64) -> [Vec<u8>; 4] {
    [
        PREFIX.as_bytes().to_vec(),
        instance.0.to_le_bytes().to_vec(),
        boot.0.to_le_bytes().to_vec(),
        n.to_le_bytes().to_vec(),
    ]
}
