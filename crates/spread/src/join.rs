//! The questions of a starting node: which version is out, and which one was active here before.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng;
use rand::seq::IteratorRandom;
use wire::{InstanceId, Time};

use crate::backoff;
use crate::event::Contact;

/// A contact that doesn't answer within this time counts as unreachable.
pub const WAIT: Duration = Duration::from_secs(1);
/// Most contacts asked in a round, so that a restart of the whole mesh costs each node a fixed
/// number of questions.
pub const MAX_ASKED: usize = 16;
/// Most seeds among them; the rest is for members, which know floors that seeds may not know.
const MAX_SEEDS_ASKED: usize = 8;

/// Least time between two rounds while nobody has answered, so that nodes that start together find
/// each other soon.
const RETRY: Duration = Duration::from_millis(100);
/// Rounds after which a node that has met others asks silent seeds no more.
const SEED_ROUNDS: u32 = 5;

#[derive(Clone, Copy, Debug)]
struct Ask {
    at: Time,
    ended: bool,
    answered: bool,
}

#[derive(Debug, Default)]
pub(crate) struct Join {
    round: BTreeMap<Contact, Ask>,
    rounds: u32,
    next_round: Time,
    next_retry: Time,
    answers: u64,
}

impl Join {
    /// Returns whom to ask now: a new round if one is due, and members that appeared since.
    pub(crate) fn ask(
        &mut self,
        now: Time,
        seeds: &[SocketAddr],
        peers: impl Iterator<Item = InstanceId>,
        rng: &mut impl Rng,
    ) -> Vec<Contact> {
        let mut to = Vec::new();
        if self.has_ended(now) && now >= self.due() {
            self.round.clear();
            self.rounds += 1;
            let delay = backoff::delay(self.rounds, rng);
            self.next_round = now + WAIT + delay;
            self.next_retry = now + RETRY + delay;
            let seeds = seeds.iter().copied().sample(rng, MAX_SEEDS_ASKED);
            to.extend(seeds.into_iter().map(Contact::Seed));
        }
        let new = peers
            .map(Contact::Peer)
            .filter(|c| !self.round.contains_key(c));
        to.extend(new.sample(rng, MAX_ASKED.saturating_sub(self.round.len() + to.len())));
        for c in &to {
            self.round.insert(
                *c,
                Ask {
                    at: now,
                    ended: false,
                    answered: false,
                },
            );
        }
        to
    }

    pub(crate) fn answered(&mut self, to: Contact) {
        self.answers += 1;
        if let Some(a) = self.round.get_mut(&to) {
            a.answered = true;
            a.ended = true;
        }
    }

    pub(crate) fn failed(&mut self, to: Contact) {
        if let Some(a) = self.round.get_mut(&to) {
            a.ended = true;
        }
    }

    /// Returns whether this node has met the others. When nodes start together, one may be ready
    /// before the others listen. It has to ask on, or it stays alone.
    pub(crate) fn is_settled(&self) -> bool {
        let mut seeds = self
            .round
            .iter()
            .filter(|(c, _)| matches!(c, Contact::Seed(_)));
        self.answers > 0 && (self.rounds >= SEED_ROUNDS || seeds.all(|(_, a)| a.answered))
    }

    /// Returns whether questions were asked and none of them is open.
    pub(crate) fn is_over(&self, now: Time) -> bool {
        self.rounds > 0 && self.has_ended(now)
    }

    /// Returns whether someone has answered and each contact of the round has answered, failed or
    /// had its time.
    pub(crate) fn is_complete(&self, now: Time) -> bool {
        self.answers > 0 && !self.round.is_empty() && self.has_ended(now)
    }

    fn due(&self) -> Time {
        if self.answers > 0 {
            self.next_round
        } else {
            self.next_retry
        }
    }

    fn has_ended(&self, now: Time) -> bool {
        self.round
            .values()
            .all(|a| a.ended || now.since(a.at) >= WAIT)
    }
}
