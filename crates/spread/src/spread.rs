//! The state machine of a node, see [`Spread`].

use std::collections::BTreeSet;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::Xoshiro256PlusPlus;
use wire::{Digest, InstanceId, Time, Version};

use crate::confirm::{ConfirmRequests, MEMBERSHIP_SETTLE_TIME};
use crate::event::{
    Action, ConfigText, Contact, Event, FetchError, JoinAnswer, Origin, Peer, Settings,
};
use crate::join::{JOIN_TIMEOUT, JoinRounds};
use crate::peers::Peers;
use crate::sources::Sources;
use crate::status::{LogState, Status};

/// Interval at which [`Event::Tick`] is due.
pub const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Timeout of a fetch from a source without failed fetches. An unresponsive source thus costs only
/// a fraction of the 2 s within which a version is to be active on all nodes.
pub const FETCH_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum number of times that the fetch timeout doubles while fetches from a source keep failing,
/// to allow for slow links and large configuration texts.
const MAX_TIMEOUT_DOUBLINGS: u32 = 3;
/// Delay between the first and the second round of announcements of a version. The first round
/// misses about 2% of the nodes (e^-4). Without a second one, these nodes would learn of the
/// version only from probes, which would take most of the time until the last node has the version.
const REANNOUNCE_DELAY: Duration = Duration::from_millis(300);
/// Time for which a ready node has to rank as a reader before it starts to read the log. Nodes that
/// restart together learn of each other's readiness one by one; without the delay, each of them
/// would rank as a reader at first and read from the start of the log.
const READER_DELAY: Duration = Duration::from_secs(2);
/// Maximum number of versions remembered as not compilable by this build.
const MAX_UNCOMPILABLE: usize = 64;

#[derive(Clone, Copy, Debug)]
struct InFlightFetch {
    from: InstanceId,
    started_at: Time,
    timeout: Duration,
}

/// State machine that fetches, applies and announces configuration versions for one node.
///
/// The active version only grows, also across a restart of the node: a starting node applies
/// nothing until it knows the version at the end of the log, from its own read or from a peer that
/// confirmed it. If the log is unavailable, the node waits until each reachable peer has reported
/// the floor, the newest version that was active on this instance before the restart.
#[derive(Debug)]
pub struct Spread {
    settings: Settings,
    rng: Xoshiro256PlusPlus,
    /// When the first event was handled.
    started_at: Option<Time>,
    active: ConfigText,
    /// Configuration of the outstanding [`Action::Apply`].
    applying: Option<ConfigText>,
    /// Newest configuration that waits to be applied.
    candidate: Option<ConfigText>,
    /// Peer that the newest candidate was fetched from; this peer needs no announcement. `None` if
    /// the candidate came from the log.
    learned_from: Option<InstanceId>,
    /// Versions that this build can't compile.
    uncompilable: BTreeSet<(Version, Digest)>,
    sources: Sources,
    in_flight: Option<InFlightFetch>,
    peers: Peers,
    join: JoinRounds,
    confirm: ConfirmRequests,
    log: LogState,
    /// Newest version found at the end of the log, by this node or by a peer that confirmed it.
    /// `None` until one of them has reached the end.
    log_end: Option<Version>,
    /// Newest active version in the answers to join requests; 0 before the first answer.
    newest_join_version: Version,
    is_reading_log: bool,
    /// When the second round of announcements of the active version is due.
    reannounce_at: Option<Time>,
    /// Since when this ready node ranks as a reader; `None` while it doesn't.
    reader_since: Option<Time>,
    /// Readiness, floor, newest version heard of, and counters. The other fields are filled in by
    /// [`Spread::status`].
    status: Status,
}

impl Spread {
    /// Creates the state of a node that has just started. `seed` is that of the random number
    /// generator.
    pub fn new(settings: Settings, seed: u64) -> Spread {
        Spread {
            rng: Xoshiro256PlusPlus::seed_from_u64(seed),
            started_at: None,
            active: ConfigText::default(),
            applying: None,
            candidate: None,
            learned_from: None,
            uncompilable: BTreeSet::new(),
            sources: Sources::default(),
            in_flight: None,
            peers: Peers::new(settings.me, settings.domain.clone()),
            join: JoinRounds::default(),
            confirm: ConfirmRequests::default(),
            log: LogState::Unknown,
            log_end: None,
            newest_join_version: Version(0),
            is_reading_log: false,
            reannounce_at: None,
            reader_since: None,
            status: Status::default(),
            settings,
        }
    }

    /// Handles an event and returns the actions for the node, in order.
    pub fn handle(&mut self, now: Time, event: Event) -> Vec<Action> {
        self.started_at.get_or_insert(now);
        let mut out = Vec::new();
        match event {
            Event::Tick => {}
            Event::Peers(peers) => self.set_peers(peers),
            Event::LogTail { snapshot, at_end } => self.handle_log_tail(snapshot, at_end),
            Event::LogUnavailable => self.log = LogState::Unavailable,
            Event::LogFormatUnsupported { format } => {
                self.log = LogState::FormatUnsupported(format);
            }
            Event::VersionReported {
                from,
                version,
                digest,
                origin,
            } => {
                self.record_peer_version(now, from, version, digest);
                // When a mesh starts, its readers are the first nodes that apply and announce a
                // version, so the sender of an announcement may be able to confirm a version.
                if !self.status.is_ready && origin == Origin::Announcement {
                    self.confirm.add_candidate_unless_failed(from);
                }
                // Unlike a probe, an announcement has no acknowledgement that carries a version.
                // An announcement in the other direction lets an outdated sender learn of the newer
                // version without waiting for a probe.
                if origin == Origin::Announcement && version < self.active.version {
                    self.announce(from, &mut out);
                }
            }
            Event::Fetched { from, result } => self.handle_fetch_result(now, from, result),
            Event::Joined { to, answer } => self.handle_join_answer(now, to, answer),
            Event::JoinFailed { to } => self.join.record_failure(to),
            Event::Confirmed { from, current } => self.handle_confirm_reply(now, from, current),
            Event::Applied(version) => self.handle_applied(now, version, &mut out),
            Event::ApplyFailed(version) => self.handle_apply_failure(version),
        }
        self.advance(now, &mut out);
        out
    }

    /// Returns the active configuration. The node serves its text to peers and sends its version
    /// with each probe.
    pub fn active(&self) -> &ConfigText {
        &self.active
    }

    /// Returns state and counters.
    pub fn status(&self) -> Status {
        Status {
            version: self.active.version,
            digest: self.active.digest,
            log: self.log,
            is_reader: self.is_reader(),
            needs_newer_build: matches!(self.log, LogState::FormatUnsupported(_))
                || !self.uncompilable.is_empty(),
            is_fetching: self.in_flight.is_some(),
            source_count: self.sources.len(),
            ..self.status
        }
    }

    /// Performs all steps that are due after an event.
    fn advance(&mut self, now: Time, out: &mut Vec<Action>) {
        self.send_joins(now, out);
        self.send_confirm(now, out);
        self.start_fetch(now, out);
        self.start_apply(now, out);
        self.update_readiness(now, out);
        if self.reannounce_at.take_if(|t| *t <= now).is_some() {
            self.announce_round(out);
        }
        let must_read = if self.status.is_ready {
            self.must_read_as_reader(now)
        } else {
            self.must_read_while_starting(now)
        };
        if must_read != self.is_reading_log {
            self.is_reading_log = must_read;
            out.push(Action::ReadLog(must_read));
        }
    }

    /// Returns whether this ready node has to read the log as a reader of its failure domain. A
    /// node that does not read yet starts only after [`READER_DELAY`].
    fn must_read_as_reader(&mut self, now: Time) -> bool {
        if !self.is_reader() {
            self.reader_since = None;
            return false;
        }
        let since = *self.reader_since.get_or_insert(now);
        self.is_reading_log || now.since(since) >= READER_DELAY
    }

    fn is_reader(&self) -> bool {
        self.status.is_ready && self.peers.is_reader()
    }

    fn set_peers(&mut self, peers: Vec<Peer>) {
        for id in self.peers.replace(peers) {
            self.sources.remove(id);
            self.confirm.record_failure(id);
        }
        if !self.status.is_ready {
            self.confirm.set_readers(self.peers.readers());
        }
    }

    fn handle_log_tail(&mut self, snapshot: ConfigText, at_end: bool) {
        self.log = if at_end {
            LogState::AtEnd
        } else {
            LogState::Reading
        };
        if at_end {
            self.log_end = self.log_end.max(Some(snapshot.version));
        }
        self.update_candidate(snapshot, None);
    }

    /// Records that a peer has reported `version` as active. If that version is newer than the
    /// active one of this node, the peer becomes a source for a fetch.
    fn record_peer_version(
        &mut self,
        now: Time,
        from: InstanceId,
        version: Version,
        digest: Digest,
    ) {
        if from == self.settings.me || self.check_conflict(version, digest) {
            return;
        }
        self.status.newest_heard = self.status.newest_heard.max(version);
        if version > self.active.version && !self.sources.record(now, from, version, digest) {
            self.status.conflicts += 1;
        }
    }

    /// Returns whether this node holds `version` with another digest, and counts the conflict.
    fn check_conflict(&mut self, version: Version, digest: Digest) -> bool {
        let held = [
            Some(&self.active),
            self.applying.as_ref(),
            self.candidate.as_ref(),
        ];
        let mut held = held.into_iter().flatten();
        let is_conflict = held.any(|c| c.version == version && c.digest != digest);
        self.status.conflicts += u64::from(is_conflict);
        is_conflict
    }

    /// Returns the newest version whose text this node holds, active or not.
    fn newest_held(&self) -> Version {
        let held = [self.applying.as_ref(), self.candidate.as_ref()];
        let newest = held.into_iter().flatten().map(|c| c.version).max();
        newest.unwrap_or_default().max(self.active.version)
    }

    /// Makes a configuration the next one to apply if it is newer than any other held and not known
    /// as uncompilable. `from` is the peer that it was fetched from, `None` for the log.
    fn update_candidate(&mut self, config: ConfigText, from: Option<InstanceId>) {
        if self.check_conflict(config.version, config.digest) {
            return;
        }
        self.status.newest_heard = self.status.newest_heard.max(config.version);
        if self.uncompilable.contains(&(config.version, config.digest)) {
            return;
        }
        if config.version > self.newest_held() {
            self.candidate = Some(config);
            self.learned_from = from;
        } else if config.version < self.active.version {
            self.status.outdated_texts += 1;
        }
    }

    fn send_joins(&mut self, now: Time, out: &mut Vec<Action>) {
        if self.status.is_ready && self.join.has_met_peers() {
            return;
        }
        let to =
            self.join
                .next_contacts(now, &self.settings.seeds, self.peers.ids(), &mut self.rng);
        out.extend(to.into_iter().map(|to| Action::Join { to }));
    }

    /// Sends a confirm request to a node that follows the log, if one is due.
    fn send_confirm(&mut self, now: Time, out: &mut Vec<Action>) {
        if self.status.is_ready || self.is_reading_log || self.log_end.is_some() {
            return;
        }
        if let Some(to) = self.confirm.next_request(now, &mut self.rng) {
            out.push(Action::Confirm { to });
        }
    }

    /// Returns whether this starting node has to read the log: no peer can confirm the current
    /// version, or [`LOG_READ_FALLBACK`](crate::LOG_READ_FALLBACK) has passed. Once the node reads
    /// the log, it continues until it is ready.
    fn must_read_while_starting(&mut self, now: Time) -> bool {
        if self.is_reading_log || self.confirm.is_fallback_due(now, &mut self.rng) {
            return true;
        }
        let uptime = self.started_at.map_or(Duration::ZERO, |t| now.since(t));
        let has_asked = self.join.has_finished_round(now)
            && (self.peers.has_view() || uptime >= MEMBERSHIP_SETTLE_TIME);
        let is_potential_reader =
            uptime >= MEMBERSHIP_SETTLE_TIME && self.peers.is_potential_reader();
        has_asked && self.log_end.is_none() && self.confirm.is_exhausted(is_potential_reader)
    }

    fn handle_join_answer(&mut self, now: Time, to: Contact, answer: JoinAnswer) {
        if answer.from == self.settings.me {
            // A seed address can lead back to this node.
            return self.join.record_failure(to);
        }
        self.join.record_answer(to);
        self.status.version_floor = self.status.version_floor.max(answer.version_floor);
        self.newest_join_version = self.newest_join_version.max(answer.version);
        self.record_peer_version(now, answer.from, answer.version, answer.digest);
        if self.status.is_ready {
            return;
        }
        if answer.follows_log {
            self.confirm.add_candidate(answer.from);
        }
    }

    fn handle_confirm_reply(
        &mut self,
        now: Time,
        from: InstanceId,
        current: Option<(Version, Digest)>,
    ) {
        let Some((version, digest)) = current else {
            return self.confirm.record_failure(from);
        };
        self.confirm.record_reply(from);
        self.record_peer_version(now, from, version, digest);
        if !self.status.is_ready {
            self.log_end = self.log_end.max(Some(version));
        }
    }

    fn start_fetch(&mut self, now: Time, out: &mut Vec<Action>) {
        self.sources.retain_newer(now, self.active.version);
        if let Some(f) = self.in_flight {
            if now.since(f.started_at) < f.timeout {
                return;
            }
            self.fail_fetch(now, f.from);
        }
        let is_local = |id| self.peers.is_local(id);
        let newest_held = self.newest_held();
        let rng = &mut self.rng;
        let Some(from) = self
            .sources
            .choose(now, newest_held, &self.uncompilable, is_local, rng)
        else {
            return;
        };
        let doublings = self.sources.failures(from).min(MAX_TIMEOUT_DOUBLINGS);
        self.in_flight = Some(InFlightFetch {
            from,
            started_at: now,
            timeout: FETCH_TIMEOUT * (1 << doublings),
        });
        self.status.fetches += 1;
        out.push(Action::Fetch {
            from,
            version: self.active.version,
            digest: self.active.digest,
        });
    }

    fn handle_fetch_result(
        &mut self,
        now: Time,
        from: InstanceId,
        result: Result<ConfigText, FetchError>,
    ) {
        let is_in_flight = self.in_flight.is_some_and(|f| f.from == from);
        match result {
            // A valid text is used even if it arrives after the timeout.
            Ok(config) if Digest::of(config.text.as_bytes()) == config.digest => {
                self.finish_fetch(from);
                self.update_candidate(config, Some(from));
            }
            Err(FetchError::NothingNewer) => self.finish_fetch(from),
            _ if is_in_flight => self.fail_fetch(now, from),
            _ => {}
        }
    }

    fn finish_fetch(&mut self, from: InstanceId) {
        if let Some(f) = self.in_flight.take_if(|f| f.from == from) {
            // A peer that has restarted may hold an older version than it announced before. The
            // fetch shows what the peer holds now, so its reports from before the fetch are
            // dropped.
            self.sources
                .remove_unless_reported_after(from, f.started_at);
        }
    }

    fn fail_fetch(&mut self, now: Time, from: InstanceId) {
        self.in_flight = None;
        self.status.fetch_failures += 1;
        self.sources.record_failure(now, from, &mut self.rng);
    }

    fn start_apply(&mut self, now: Time, out: &mut Vec<Action>) {
        if self.applying.is_some() || !(self.status.is_ready || self.is_floor_known(now)) {
            return;
        }
        // Any version up to the end of the log may have been active here before the restart.
        let end = self.log_end.filter(|_| !self.status.is_ready);
        let min_version = self.status.version_floor.max(end.unwrap_or_default());
        let is_applicable = |c: &mut ConfigText| c.version >= min_version;
        if let Some(config) = self.candidate.take_if(is_applicable) {
            self.applying = Some(config.clone());
            out.push(Action::Apply(config));
        }
    }

    fn handle_applied(&mut self, now: Time, version: Version, out: &mut Vec<Action>) {
        let Some(config) = self.applying.take_if(|c| c.version == version) else {
            return;
        };
        self.active = config;
        self.sources.retain_newer(now, version);
        self.uncompilable = self
            .uncompilable
            .split_off(&(version.next(), Digest::default()));
        self.announce_round(out);
        self.reannounce_at = Some(now + REANNOUNCE_DELAY);
    }

    /// Announces the active version to a new choice of recipients.
    fn announce_round(&mut self, out: &mut Vec<Action>) {
        let (is_reader, except) = (self.is_reader(), self.learned_from);
        for to in self
            .peers
            .announcement_recipients(is_reader, except, &mut self.rng)
        {
            self.announce(to, out);
        }
    }

    fn handle_apply_failure(&mut self, version: Version) {
        let Some(config) = self.applying.take_if(|c| c.version == version) else {
            return;
        };
        self.status.apply_failures += 1;
        self.uncompilable.insert((config.version, config.digest));
        if self.uncompilable.len() > MAX_UNCOMPILABLE {
            self.uncompilable.pop_first();
        }
    }

    fn announce(&mut self, to: InstanceId, out: &mut Vec<Action>) {
        self.status.announcements_sent += 1;
        out.push(Action::Announce {
            to,
            version: self.active.version,
            digest: self.active.digest,
        });
    }

    /// Returns whether this node has learnt up to which version a configuration may have been
    /// active on this instance before the restart: from the end of the log or, if the log is
    /// unavailable, from the reachable peers.
    fn is_floor_known(&self, now: Time) -> bool {
        self.log_end.is_some() || self.is_floor_known_from_peers(now)
    }

    /// Returns whether the log is unavailable and each reachable peer has reported the floor.
    fn is_floor_known_from_peers(&self, now: Time) -> bool {
        // The answers of seeds add members to the view, and these members have to be asked too. So
        // the node waits for the first view, at most for the timeout.
        let has_waited = self
            .started_at
            .is_some_and(|t| now.since(t) >= JOIN_TIMEOUT);
        // If all peers are at version 0, they have restarted too and know no floor. This node may
        // then hold a version of a partly replayed log that is older than the one active before.
        let has_answer_with_version = self.newest_join_version > Version(0);
        has_answer_with_version
            && self.log.is_unavailable()
            && self.join.has_complete_answers(now)
            && (self.peers.has_view() || has_waited)
    }

    fn update_readiness(&mut self, now: Time, out: &mut Vec<Action>) {
        let version = self.active.version;
        let has_reached_floor = version >= self.status.version_floor;
        let is_ready = has_reached_floor && (self.status.is_ready || self.is_current(now));
        if is_ready != self.status.is_ready {
            self.status.is_ready = is_ready;
            out.push(if is_ready {
                Action::Ready
            } else {
                Action::NotReady
            });
        }
    }

    /// Returns whether this starting node has applied the newest version that it can learn of.
    fn is_current(&self, now: Time) -> bool {
        let version = self.active.version;
        if self.log_end.is_some_and(|end| version >= end) {
            return true;
        }
        let newest_reachable = self.sources.newest_reachable().unwrap_or_default();
        let newest_uncompilable = self.uncompilable.last().map_or(Version(0), |r| r.0);
        let newest = self
            .newest_held()
            .max(newest_reachable)
            .max(newest_uncompilable);
        version >= newest && self.is_floor_known_from_peers(now)
    }
}
