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

#[derive(Clone, Copy, Debug)]
struct Ask {
    at: Time,
    ended: bool,
}

#[derive(Debug, Default)]
pub(crate) struct Join {
    round: BTreeMap<Contact, Ask>,
    rounds: u32,
    next_round: Time,
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
        if self.has_ended(now) && now >= self.next_round {
            self.round.clear();
            self.rounds += 1;
            self.next_round = now + WAIT + backoff::delay(self.rounds, rng);
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
                },
            );
        }
        to
    }

    pub(crate) fn answered(&mut self, to: Contact) {
        self.answers += 1;
        self.failed(to);
    }

    pub(crate) fn failed(&mut self, to: Contact) {
        if let Some(a) = self.round.get_mut(&to) {
            a.ended = true;
        }
    }

    /// Returns whether someone has answered and each contact of the round has answered, failed or
    /// had its time.
    pub(crate) fn is_complete(&self, now: Time) -> bool {
        self.answers > 0 && !self.round.is_empty() && self.has_ended(now)
    }

    fn has_ended(&self, now: Time) -> bool {
        self.round
            .values()
            .all(|a| a.ended || now.since(a.at) >= WAIT)
    }
}
