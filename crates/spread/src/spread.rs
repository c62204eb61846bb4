//! The state machine.

use std::collections::BTreeSet;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::Xoshiro256PlusPlus;
use wire::{Digest, InstanceId, Time, Version};

use crate::confirm::{Confirm, SETTLE};
use crate::event::{
    Action, ConfigText, Contact, Event, FetchError, JoinAnswer, Origin, Peer, Settings,
};
use crate::join::{Join, WAIT};
use crate::peers::Peers;
use crate::sources::Sources;
use crate::status::{LogState, Status};

/// How often [`Event::Tick`] is due.
pub const TICK: Duration = Duration::from_millis(100);
/// A fetch without a result for this long counts as failed. Short against the goal of 2 s until a
/// version is active everywhere, so that a peer that hangs costs a fraction of it.
pub const FETCH_TIMEOUT: Duration = Duration::from_millis(500);
/// How often the time-out doubles while fetches from a source fail, for slow links and large texts.
const MAX_TIMEOUT_DOUBLINGS: u32 = 3;
/// A version is announced a second time after this. One round of announcements misses about 2% of
/// the nodes (e^-4), and waiting for probes to reach these would be most of the time to the last.
const REPEAT_AFTER: Duration = Duration::from_millis(300);
/// A node that becomes a reader starts to read after this time. Nodes that return together learn
/// of each other's readiness one by one, and each would read from the start of the log until then.
const READER_DELAY: Duration = Duration::from_secs(2);
/// Most versions remembered as not readable by this build.
const MAX_REFUSED: usize = 64;

#[derive(Clone, Copy, Debug)]
struct Fetching {
    from: InstanceId,
    since: Time,
    timeout: Duration,
}

/// Decides how configuration reaches this node and leaves it.
///
/// The active version only grows. A starting node applies nothing until it has read the log to its
/// end or, without the log, has heard what its peers know about its earlier life; so the version
/// doesn't go down across a restart either.
#[derive(Debug)]
pub struct Spread {
    settings: Settings,
    rng: Xoshiro256PlusPlus,
    started: Option<Time>,
    active: ConfigText,
    applying: Option<ConfigText>,
    candidate: Option<ConfigText>,
    /// Peer that the newest text came from; it needs no announcement.
    learned_from: Option<InstanceId>,
    refused: BTreeSet<(Version, Digest)>,
    sources: Sources,
    fetching: Option<Fetching>,
    peers: Peers,
    join: Join,
    confirm: Confirm,
    log: LogState,
    /// Version at the end of the log when the own fold, or that of a peer for this node, reached it.
    read_to_end: Option<Version>,
    /// Newest version that an answer to a join named.
    newest_answer: Version,
    reads_log: bool,
    repeat_at: Option<Time>,
    reader_since: Option<Time>,
    status: Status,
}

impl Spread {
    /// Makes the state of a node that has just started.
    pub fn new(settings: Settings, seed: u64) -> Spread {
        Spread {
            rng: Xoshiro256PlusPlus::seed_from_u64(seed),
            started: None,
            active: ConfigText::default(),
            applying: None,
            candidate: None,
            learned_from: None,
            refused: BTreeSet::new(),
            sources: Sources::default(),
            fetching: None,
            peers: Peers::new(settings.me, settings.domain.clone()),
            join: Join::default(),
            confirm: Confirm::default(),
            log: LogState::Unknown,
            read_to_end: None,
            newest_answer: Version(0),
            reads_log: false,
            repeat_at: None,
            reader_since: None,
            status: Status::default(),
            settings,
        }
    }

    /// Takes an event and returns what the node has to do, in order.
    pub fn handle(&mut self, now: Time, event: Event) -> Vec<Action> {
        self.started.get_or_insert(now);
        let mut out = Vec::new();
        match event {
            Event::Tick => {}
            Event::Peers(peers) => self.set_peers(peers),
            Event::LogTail { snapshot, at_end } => self.log_tail(snapshot, at_end),
            Event::LogDown => self.log = LogState::Down,
            Event::LogBehind { format } => self.log = LogState::Behind(format),
            Event::Announced {
                from,
                version,
                digest,
                origin,
            } => {
                self.heard(now, from, version, digest);
                // When a mesh starts, the first nodes that adopt a version are its readers.
                if !self.status.ready && origin == Origin::Announce {
                    self.confirm.try_once(from);
                }
                // A probe and its acknowledgement both carry versions; an announcement is answered
                // by this, so that a node behind learns of it without waiting for a probe.
                if origin == Origin::Announce && version < self.active.version {
                    self.announce(from, &mut out);
                }
            }
            Event::Fetched { from, result } => self.fetched(now, from, result),
            Event::Joined { to, answer } => self.joined(now, to, answer),
            Event::JoinFailed { to } => self.join.failed(to),
            Event::Confirmed { from, current } => self.confirmed(now, from, current),
            Event::Applied(version) => self.applied(now, version, &mut out),
            Event::ApplyFailed(version) => self.apply_failed(version),
        }
        self.proceed(now, &mut out);
        out
    }

    /// Returns the active configuration, which the node serves to peers and carries on probes.
    pub fn active(&self) -> &ConfigText {
        &self.active
    }

    /// Returns state and counters.
    pub fn status(&self) -> Status {
        Status {
            version: self.active.version,
            digest: self.active.digest,
            log: self.log,
            reader: self.is_reader(),
            behind: matches!(self.log, LogState::Behind(_)) || !self.refused.is_empty(),
            fetching: self.fetching.is_some(),
            sources: self.sources.len(),
            ..self.status
        }
    }

    fn proceed(&mut self, now: Time, out: &mut Vec<Action>) {
        self.ask(now, out);
        self.ask_to_confirm(now, out);
        self.fetch(now, out);
        self.apply(now, out);
        self.set_ready(now, out);
        if self.repeat_at.take_if(|t| *t <= now).is_some() {
            self.announce_round(out);
        }
        let reads_log = if self.status.ready {
            self.takes_reader_role(now)
        } else {
            self.has_to_read(now)
        };
        if reads_log != self.reads_log {
            self.reads_log = reads_log;
            out.push(Action::ReadLog(reads_log));
        }
    }

    /// Returns whether this ready node reads the log. It takes the role over with a delay.
    fn takes_reader_role(&mut self, now: Time) -> bool {
        if !self.is_reader() {
            self.reader_since = None;
            return false;
        }
        let since = *self.reader_since.get_or_insert(now);
        self.reads_log || now.since(since) >= READER_DELAY
    }

    fn is_reader(&self) -> bool {
        self.status.ready && self.peers.is_reader()
    }

    fn set_peers(&mut self, peers: Vec<Peer>) {
        for id in self.peers.replace(peers) {
            self.sources.remove(id);
            self.confirm.refused(id);
        }
        if !self.status.ready {
            self.confirm.set_readers(self.peers.readers());
        }
    }

    fn log_tail(&mut self, snapshot: ConfigText, at_end: bool) {
        self.log = if at_end {
            LogState::AtEnd
        } else {
            LogState::Reading
        };
        if at_end {
            self.read_to_end = self.read_to_end.max(Some(snapshot.version));
        }
        self.offer(snapshot, None);
    }

    fn heard(&mut self, now: Time, from: InstanceId, version: Version, digest: Digest) {
        if from == self.settings.me || self.is_conflict(version, digest) {
            return;
        }
        self.status.newest_heard = self.status.newest_heard.max(version);
        if version > self.active.version && !self.sources.hear(now, from, version, digest) {
            self.status.conflicts += 1;
        }
    }

    /// Counts a second digest for a version that this node holds.
    fn is_conflict(&mut self, version: Version, digest: Digest) -> bool {
        let held = [
            Some(&self.active),
            self.applying.as_ref(),
            self.candidate.as_ref(),
        ];
        let mut held = held.into_iter().flatten();
        let conflict = held.any(|c| c.version == version && c.digest != digest);
        self.status.conflicts += u64::from(conflict);
        conflict
    }

    /// Returns the newest version that is held, whether it is active or not.
    fn best(&self) -> Version {
        let held = [self.applying.as_ref(), self.candidate.as_ref()];
        let newest = held.into_iter().flatten().map(|c| c.version).max();
        newest.unwrap_or_default().max(self.active.version)
    }

    /// Keeps a text as the next one to apply if it is newer than any other held.
    fn offer(&mut self, text: ConfigText, from: Option<InstanceId>) {
        if self.is_conflict(text.version, text.digest) {
            return;
        }
        self.status.newest_heard = self.status.newest_heard.max(text.version);
        if self.refused.contains(&(text.version, text.digest)) {
            return;
        }
        if text.version > self.best() {
            self.candidate = Some(text);
            self.learned_from = from;
        } else if text.version < self.active.version {
            self.status.outdated += 1;
        }
    }

    fn ask(&mut self, now: Time, out: &mut Vec<Action>) {
        if self.status.ready && self.join.is_settled() {
            return;
        }
        let to = self
            .join
            .ask(now, &self.settings.seeds, self.peers.ids(), &mut self.rng);
        out.extend(to.into_iter().map(|to| Action::Join { to }));
    }

    /// Asks a node that follows the log whether its version is current.
    fn ask_to_confirm(&mut self, now: Time, out: &mut Vec<Action>) {
        if self.status.ready || self.reads_log || self.read_to_end.is_some() {
            return;
        }
        if let Some(to) = self.confirm.ask(now, &mut self.rng) {
            out.push(Action::Confirm { to });
        }
    }

    /// Returns whether this starting node can't learn from others which version is current. Once
    /// it reads, it goes on until it is ready.
    fn has_to_read(&mut self, now: Time) -> bool {
        if self.reads_log || self.confirm.is_patience_over(now, &mut self.rng) {
            return true;
        }
        let age = self.started.map_or(Duration::ZERO, |t| now.since(t));
        let asked = self.join.is_over(now) && (self.peers.is_seen() || age >= SETTLE);
        let would_read = age >= SETTLE && self.peers.would_read();
        asked && self.read_to_end.is_none() && self.confirm.is_hopeless(would_read)
    }

    fn joined(&mut self, now: Time, to: Contact, answer: JoinAnswer) {
        if answer.from == self.settings.me {
            return self.join.failed(to);
        }
        self.join.answered(to);
        self.status.floor = self.status.floor.max(answer.floor);
        self.newest_answer = self.newest_answer.max(answer.version);
        self.heard(now, answer.from, answer.version, answer.digest);
        if self.status.ready {
            return;
        }
        if answer.follows_log {
            self.confirm.may_confirm(answer.from);
        }
    }

    fn confirmed(&mut self, now: Time, from: InstanceId, current: Option<(Version, Digest)>) {
        let Some((version, digest)) = current else {
            return self.confirm.refused(from);
        };
        self.confirm.answered(from);
        self.heard(now, from, version, digest);
        if !self.status.ready {
            self.read_to_end = self.read_to_end.max(Some(version));
        }
    }

    fn fetch(&mut self, now: Time, out: &mut Vec<Action>) {
        self.sources.retain_newer(now, self.active.version);
        if let Some(f) = self.fetching {
            if now.since(f.since) < f.timeout {
                return;
            }
            self.fetch_failed(now, f.from);
        }
        let is_local = |id| self.peers.is_local(id);
        let best = self.best();
        let rng = &mut self.rng;
        let Some(from) = self.sources.choose(now, best, &self.refused, is_local, rng) else {
            return;
        };
        let doublings = self.sources.failures(from).min(MAX_TIMEOUT_DOUBLINGS);
        self.fetching = Some(Fetching {
            from,
            since: now,
            timeout: FETCH_TIMEOUT * (1 << doublings),
        });
        self.status.fetches += 1;
        out.push(Action::Fetch {
            from,
            have: self.active.version,
            digest: self.active.digest,
        });
    }

    fn fetched(&mut self, now: Time, from: InstanceId, result: Result<ConfigText, FetchError>) {
        let awaited = self.fetching.is_some_and(|f| f.from == from);
        match result {
            // A result that comes after the time-out is as good as any other.
            Ok(text) if Digest::of(text.text.as_bytes()) == text.digest => {
                self.fetch_ended(from);
                self.offer(text, Some(from));
            }
            Err(FetchError::Nothing) => self.fetch_ended(from),
            _ if awaited => self.fetch_failed(now, from),
            _ => {}
        }
    }

    fn fetch_ended(&mut self, from: InstanceId) {
        if let Some(f) = self.fetching.take_if(|f| f.from == from) {
            // The peer may hold less than it announced, because it restarted. What it held is in
            // the answer, so only what was heard since counts.
            self.sources.remove_unless_heard_after(from, f.since);
        }
    }

    fn fetch_failed(&mut self, now: Time, from: InstanceId) {
        self.fetching = None;
        self.status.fetch_failures += 1;
        self.sources.failed(now, from, &mut self.rng);
    }

    fn apply(&mut self, now: Time, out: &mut Vec<Action>) {
        if self.applying.is_some() || !(self.status.ready || self.knows_its_past(now)) {
            return;
        }
        // The past of this node can reach up to the end of the log.
        let end = self.read_to_end.filter(|_| !self.status.ready);
        let least = self.status.floor.max(end.unwrap_or_default());
        let usable = |c: &mut ConfigText| c.version >= least;
        if let Some(text) = self.candidate.take_if(usable) {
            self.applying = Some(text.clone());
            out.push(Action::Apply(text));
        }
    }

    fn applied(&mut self, now: Time, version: Version, out: &mut Vec<Action>) {
        let Some(text) = self.applying.take_if(|c| c.version == version) else {
            return;
        };
        self.active = text;
        self.sources.retain_newer(now, version);
        self.refused = self.refused.split_off(&(version.next(), Digest::default()));
        self.announce_round(out);
        self.repeat_at = Some(now + REPEAT_AFTER);
    }

    fn announce_round(&mut self, out: &mut Vec<Action>) {
        let (reader, from) = (self.is_reader(), self.learned_from);
        for to in self.peers.audience(reader, from, &mut self.rng) {
            self.announce(to, out);
        }
    }

    fn apply_failed(&mut self, version: Version) {
        let Some(text) = self.applying.take_if(|c| c.version == version) else {
            return;
        };
        self.status.apply_failures += 1;
        self.refused.insert((text.version, text.digest));
        if self.refused.len() > MAX_REFUSED {
            self.refused.pop_first();
        }
    }

    fn announce(&mut self, to: InstanceId, out: &mut Vec<Action>) {
        self.status.announces += 1;
        out.push(Action::Announce {
            to,
            version: self.active.version,
            digest: self.active.digest,
        });
    }

    /// Returns whether the log or, without it, each reachable peer has told what may have been
    /// active here before.
    fn knows_its_past(&self, now: Time) -> bool {
        self.read_to_end.is_some() || self.has_heard_peers(now)
    }

    fn has_heard_peers(&self, now: Time) -> bool {
        // Members become known by the answers of seeds and have to be asked too.
        let waited = self.started.is_some_and(|t| now.since(t) >= WAIT);
        // Peers at version 0 have restarted too. What a part of the log holds may then be older
        // than what was active here.
        let known = self.newest_answer > Version(0);
        known
            && self.log.is_away()
            && self.join.is_complete(now)
            && (self.peers.is_seen() || waited)
    }

    fn set_ready(&mut self, now: Time, out: &mut Vec<Action>) {
        let version = self.active.version;
        let above_floor = version >= self.status.floor;
        let ready = above_floor && (self.status.ready || self.is_current(now));
        if ready != self.status.ready {
            self.status.ready = ready;
            out.push(if ready {
                Action::Ready
            } else {
                Action::NotReady
            });
        }
    }

    fn is_current(&self, now: Time) -> bool {
        let version = self.active.version;
        if self.read_to_end.is_some_and(|end| version >= end) {
            return true;
        }
        let reachable = self.sources.newest_reachable().unwrap_or_default();
        let refused = self.refused.last().map_or(Version(0), |r| r.0);
        let newest = self.best().max(reachable).max(refused);
        version >= newest && self.has_heard_peers(now)
    }
}
