//! Join requests, by which a starting node asks seeds and members which version is active on them,
//! and which version was active on the asking instance before its restart. They are sent in rounds.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng;
use rand::seq::IteratorRandom;
use wire::{InstanceId, Time};

use crate::backoff;
use crate::event::Contact;

/// A join request without an answer for this long counts as failed.
pub const JOIN_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum number of contacts asked in a round. It bounds the requests that each node sends when
/// the whole mesh restarts.
pub const MAX_CONTACTS_PER_ROUND: usize = 16;
/// Maximum number of seeds among the contacts of a round. The rest is for members, which may know
/// floors that the seeds don't.
const MAX_SEEDS_PER_ROUND: usize = 8;

/// Time between two rounds until the first answer; a backoff is added to it. The interval is short,
/// so that nodes that start together find each other soon.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// Number of rounds after which a ready node that has had at least one answer stops sending join
/// requests, even if some seeds have not answered.
const MAX_SEED_ROUNDS: u32 = 5;

#[derive(Clone, Copy, Debug)]
struct JoinRequest {
    sent_at: Time,
    /// Answered or failed. A timed-out request keeps `false`.
    has_ended: bool,
    is_answered: bool,
}

#[derive(Debug, Default)]
pub(crate) struct JoinRounds {
    /// Requests of the current round.
    round: BTreeMap<Contact, JoinRequest>,
    round_count: u32,
    /// When the next round is due if at least one contact has answered since the start.
    next_round_at: Time,
    /// When the next round is due if none has.
    next_retry_at: Time,
    answer_count: u64,
}

impl JoinRounds {
    /// Returns the contacts to ask now and marks them as asked. These are seeds if a new round is
    /// due, and members that were not asked in the round yet, up to [`MAX_CONTACTS_PER_ROUND`].
    pub(crate) fn next_contacts(
        &mut self,
        now: Time,
        seeds: &[SocketAddr],
        peers: impl Iterator<Item = InstanceId>,
        rng: &mut impl Rng,
    ) -> Vec<Contact> {
        let mut contacts = Vec::new();
        if self.is_round_over(now) && now >= self.next_due() {
            self.round.clear();
            self.round_count += 1;
            let delay = backoff::delay(self.round_count, rng);
            self.next_round_at = now + JOIN_TIMEOUT + delay;
            self.next_retry_at = now + RETRY_INTERVAL + delay;
            let seeds = seeds.iter().copied().sample(rng, MAX_SEEDS_PER_ROUND);
            contacts.extend(seeds.into_iter().map(Contact::Seed));
        }
        let new = peers
            .map(Contact::Peer)
            .filter(|c| !self.round.contains_key(c));
        contacts.extend(new.sample(
            rng,
            MAX_CONTACTS_PER_ROUND.saturating_sub(self.round.len() + contacts.len()),
        ));
        for c in &contacts {
            self.round.insert(
                *c,
                JoinRequest {
                    sent_at: now,
                    has_ended: false,
                    is_answered: false,
                },
            );
        }
        contacts
    }

    pub(crate) fn record_answer(&mut self, to: Contact) {
        self.answer_count += 1;
        if let Some(req) = self.round.get_mut(&to) {
            req.is_answered = true;
            req.has_ended = true;
        }
    }

    pub(crate) fn record_failure(&mut self, to: Contact) {
        if let Some(req) = self.round.get_mut(&to) {
            req.has_ended = true;
        }
    }

    /// Returns whether a ready node can stop sending join requests: at least one contact has
    /// answered, and either each seed of the current round has answered or there have been
    /// [`MAX_SEED_ROUNDS`] rounds. A node that stops before the others listen would stay isolated.
    pub(crate) fn has_met_peers(&self) -> bool {
        let mut seeds = self
            .round
            .iter()
            .filter(|(c, _)| matches!(c, Contact::Seed(_)));
        self.answer_count > 0
            && (self.round_count >= MAX_SEED_ROUNDS || seeds.all(|(_, req)| req.is_answered))
    }

    /// Returns whether a round was started and no request of the current round is outstanding.
    pub(crate) fn has_finished_round(&self, now: Time) -> bool {
        self.round_count > 0 && self.is_round_over(now)
    }

    /// Returns whether at least one contact has answered so far and each contact of the round has
    /// answered, failed or timed out.
    pub(crate) fn has_complete_answers(&self, now: Time) -> bool {
        self.answer_count > 0 && !self.round.is_empty() && self.is_round_over(now)
    }

    fn next_due(&self) -> Time {
        if self.answer_count > 0 {
            self.next_round_at
        } else {
            self.next_retry_at
        }
    }

    fn is_round_over(&self, now: Time) -> bool {
        self.round
            .values()
            .all(|req| req.has_ended || now.since(req.sent_at) >= JOIN_TIMEOUT)
    }
}
