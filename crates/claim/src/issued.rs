//! Keys that a process issues and whose requests only that process runs. A key has the form
//! `bk1.<instance>.<boot>.<n>.<mac>`.

use std::collections::{BTreeMap, VecDeque};
use std::fmt;
use std::str::FromStr;

use snafu::{OptionExt, Snafu};
use wire::{Code, Fingerprint, InstanceId, KeyRing};

use crate::record::{Answer, BootId, Outcome};

/// First of the dot-separated parts of an issued key, with the format version.
pub const PREFIX: &str = "bk1";
/// Largest number of keys that one call issues.
pub const MAX_KEYS_PER_BLOCK: usize = 256;
/// Number of most recently issued keys that may be run and whose outcomes are kept.
pub const OUTCOME_WINDOW_KEYS: u64 = 16_384;
/// Number of most recently issued keys for which the issuer remembers whether they were used: one
/// bit each, 16 KB in total.
pub const USED_WINDOW_KEYS: u64 = 1 << 17;
/// Limit on the total size of the kept responses. The oldest are evicted first.
const MAX_TOTAL_ANSWER_BYTES: usize = 4 * 1024 * 1024;

/// A parsed issued key. [`Issuer`] verifies the MAC, parsing does not.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct IssuedKey {
    /// The instance that issued the key, to which the request is routed.
    pub instance: InstanceId,
    /// Boot id of the process that issued the key.
    pub boot: BootId,
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
        let mut next_part = || parts.next().context(IssuedKeySnafu);
        if next_part()? != PREFIX {
            return Err(IssuedKeyError);
        }
        let key = IssuedKey {
            instance: InstanceId(parse_hex(next_part()?)?),
            boot: BootId(parse_hex(next_part()?)?),
            n: next_part()?.parse().map_err(|_| IssuedKeyError)?,
            mac: next_part()?.to_owned(),
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
pub enum Admission {
    /// Run the request. Exactly one call of [`Issuer::mark_handed`] or [`Issuer::release`] must
    /// follow.
    Run,
    /// Answer the request with the kept response of the run.
    Answer(Answer),
    /// Refuse the request with this code.
    Refuse(Code),
}

#[derive(Debug)]
enum State {
    /// Admitted to run, but not yet handed over to the target.
    Granted,
    HandedOver,
    /// The run has ended with this outcome.
    Ended(Outcome),
}

/// The run of a key's request, from its admission on.
#[derive(Debug)]
struct Run {
    fingerprint: Fingerprint,
    state: State,
}

/// Issues keys and admits each of them once. All state is in memory; after a restart the process
/// has another [`BootId`] and refuses the keys of the earlier process.
#[derive(Debug)]
pub struct Issuer {
    instance: InstanceId,
    boot: BootId,
    /// Keys of the MAC.
    mac_keys: KeyRing,
    /// Sequence number of the next key to issue.
    next_n: u64,
    /// Runs that are granted or handed over, and ended runs that are not yet evicted, by sequence
    /// number of the key.
    runs: BTreeMap<u64, Run>,
    /// Sequence numbers of the runs with a kept response, oldest first.
    answers: VecDeque<u64>,
    answers_bytes: usize,
    /// Bitmap of used keys by sequence number: bit 0 of the first word stands for
    /// `used_bits_start`.
    used_bits: VecDeque<u64>,
    used_bits_start: u64,
}

impl Issuer {
    /// Creates the issuer of the process of `instance` with boot id `boot`; `keys` are the keys of
    /// the MAC.
    pub fn new(instance: InstanceId, boot: BootId, keys: KeyRing) -> Issuer {
        Issuer {
            instance,
            boot,
            mac_keys: keys,
            next_n: 0,
            runs: BTreeMap::new(),
            answers: VecDeque::new(),
            answers_bytes: 0,
            used_bits: VecDeque::new(),
            used_bits_start: 0,
        }
    }

    /// Issues `count` keys, but at most [`MAX_KEYS_PER_BLOCK`].
    pub fn issue(&mut self, count: usize) -> Vec<String> {
        let keys = (0..count.min(MAX_KEYS_PER_BLOCK))
            .map(|_| self.issue_one())
            .collect();
        self.evict_old();
        keys
    }

    fn issue_one(&mut self) -> String {
        let n = self.next_n;
        self.next_n += 1;
        let (instance, boot) = (self.instance, self.boot);
        let mac = self.mac_keys.sign(
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

    /// Decides on a request with this issued key and fingerprint. The first request with a key is
    /// admitted to run if the key is one of the last [`OUTCOME_WINDOW_KEYS`] of this process.
    pub fn admit(&mut self, key: &IssuedKey, fingerprint: Fingerprint) -> Admission {
        if !self.is_genuine(key) {
            return Admission::Refuse(Code::BadHeader);
        }
        if key.instance != self.instance || key.boot != self.boot {
            return Admission::Refuse(Code::OutcomeUnknown);
        }
        if let Some(run) = self.runs.get(&key.n) {
            return decide_repeat(run, fingerprint);
        }
        match self.is_used(key.n) {
            Some(false) if key.n >= self.window_start() => self.grant(key.n, fingerprint),
            Some(false) => Admission::Refuse(Code::KeyExpired),
            Some(true) | None => Admission::Refuse(Code::OutcomeUnknown),
        }
    }

    /// Returns the decision on a repeat, without admitting a request. `None` if this process did
    /// not issue the key or has no run of it in memory.
    pub fn repeat_decision(&self, key: &IssuedKey, fingerprint: Fingerprint) -> Option<Admission> {
        if key.instance != self.instance || key.boot != self.boot || !self.is_genuine(key) {
            return None;
        }
        Some(decide_repeat(self.runs.get(&key.n)?, fingerprint))
    }

    fn is_genuine(&self, key: &IssuedKey) -> bool {
        let parts = mac_parts(key.instance, key.boot, key.n);
        let parts = parts.each_ref().map(|p| p.as_slice());
        self.mac_keys.verify(&parts, &key.mac)
    }

    fn grant(&mut self, n: u64, fingerprint: Fingerprint) -> Admission {
        let state = State::Granted;
        self.runs.insert(n, Run { fingerprint, state });
        self.set_used(n, true);
        Admission::Run
    }

    /// Records that the request with key `n` is about to be handed over to the target.
    pub fn mark_handed(&mut self, n: u64) {
        if let Some(run) = self.runs.get_mut(&n)
            && matches!(run.state, State::Granted)
        {
            run.state = State::HandedOver;
        }
    }

    /// Records the outcome of the run of key `n`. Only the first call after the hand-over has an
    /// effect.
    pub fn finish(&mut self, n: u64, outcome: Outcome) {
        let Some(run) = self.runs.get_mut(&n) else {
            return;
        };
        if !matches!(run.state, State::HandedOver) {
            return;
        }
        if let Outcome::Kept(a) = &outcome {
            self.answers_bytes += a.body.len();
            self.answers.push_back(n);
        }
        run.state = State::Ended(outcome);
        self.evict_answers();
        self.evict_old();
    }

    /// Frees key `n`, so that it can be used again, if its request was not handed over.
    pub fn release(&mut self, n: u64) {
        if self
            .runs
            .get(&n)
            .is_some_and(|run| matches!(run.state, State::Granted))
        {
            self.runs.remove(&n);
            self.set_used(n, false);
        }
    }

    /// Returns the number of runs in memory, in progress and ended.
    pub fn len(&self) -> usize {
        self.runs.len()
    }

    /// Returns whether no run is in memory, neither in progress nor ended.
    pub fn is_empty(&self) -> bool {
        self.runs.is_empty()
    }

    fn window_start(&self) -> u64 {
        self.next_n.saturating_sub(OUTCOME_WINDOW_KEYS)
    }

    /// Evicts the outcomes of keys that are not among the last [`OUTCOME_WINDOW_KEYS`], and the
    /// used bits of keys older than [`USED_WINDOW_KEYS`], 64 at a time. Runs in progress are kept;
    /// the slots (concurrent requests) of the target limit their number.
    fn evict_old(&mut self) {
        let window_start = self.window_start();
        let old = self.runs.range(..window_start);
        let ended = old.filter(|(_, run)| matches!(run.state, State::Ended(_)));
        let ended: Vec<u64> = ended.map(|(n, _)| *n).collect();
        for n in ended {
            self.evict_answer(n);
            self.runs.remove(&n);
        }
        self.answers.retain(|n| *n >= window_start);
        while self.next_n > self.used_bits_start + USED_WINDOW_KEYS {
            self.used_bits.pop_front();
            self.used_bits_start += 64;
        }
    }

    /// Drops the oldest kept responses until their total size is within the limit.
    fn evict_answers(&mut self) {
        while self.answers_bytes > MAX_TOTAL_ANSWER_BYTES
            && let Some(n) = self.answers.pop_front()
        {
            self.evict_answer(n);
        }
    }

    /// Drops the kept response of key `n`, if there is one. The status is kept.
    fn evict_answer(&mut self, n: u64) {
        if let Some(run) = self.runs.get_mut(&n)
            && let State::Ended(outcome) = &mut run.state
            && let Outcome::Kept(a) = outcome
        {
            self.answers_bytes -= a.body.len();
            *outcome = outcome.without_answer();
        }
    }

    /// Returns whether key `n` was used. `None` means that `n` was never issued or that its bit has
    /// been discarded.
    fn is_used(&self, n: u64) -> Option<bool> {
        if n >= self.next_n {
            return None;
        }
        let bit = n.checked_sub(self.used_bits_start)?;
        let word = usize::try_from(bit / 64).ok()?;
        let word = self.used_bits.get(word).copied().unwrap_or(0);
        Some(word >> (bit % 64) & 1 == 1)
    }

    fn set_used(&mut self, n: u64, is_used: bool) {
        let Some(bit) = n.checked_sub(self.used_bits_start) else {
            return;
        };
        let Ok(word) = usize::try_from(bit / 64) else {
            return;
        };
        if self.used_bits.len() <= word {
            self.used_bits.resize(word + 1, 0);
        }
        let mask = 1 << (bit % 64);
        self.used_bits[word] = if is_used {
            self.used_bits[word] | mask
        } else {
            self.used_bits[word] & !mask
        };
    }
}

fn decide_repeat(run: &Run, fingerprint: Fingerprint) -> Admission {
    if run.fingerprint != fingerprint {
        return Admission::Refuse(Code::KeyMismatch);
    }
    match &run.state {
        State::Granted | State::HandedOver => Admission::Refuse(Code::ClaimHeld),
        State::Ended(Outcome::Kept(answer)) => Admission::Answer(answer.clone()),
        State::Ended(Outcome::NotKept { .. }) => Admission::Refuse(Code::AlreadyRun),
        State::Ended(Outcome::NoResponse) => Admission::Refuse(Code::OutcomeUnknown),
    }
}

fn mac_parts(instance: InstanceId, boot: BootId, n: u64) -> [Vec<u8>; 4] {
    [
        PREFIX.as_bytes().to_vec(),
        instance.0.to_le_bytes().to_vec(),
        boot.0.to_le_bytes().to_vec(),
        n.to_le_bytes().to_vec(),
    ]
}
