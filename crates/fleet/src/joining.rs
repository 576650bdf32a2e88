//! Joining: when it ends, and which seeds are pinged.
#[cfg(test)]
mod tests;

use crate::Millis;
use crate::rng::SeededRng;
use std::net::SocketAddr;

/// Periods after which a host whose seeds do not answer assumes that it is the fleet's first member.
const FIRST_MEMBER_PERIODS: u64 = 3;
/// Periods after which a host counts as joined, though its table does not yet equal another member's.
const JOIN_TIMEOUT_PERIODS: u64 = 20;
/// Periods between two pings of seeds that are no members here, so that partitions that have removed each other merge
/// again.
const SEED_PERIODS: u64 = 60;
/// Seeds that are pinged at a time as long as no member is known: the first few may be down.
const SEEDS_AT_A_TIME: usize = 3;

/// The seeds, and the times of joining.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Joining {
    protocol_period: Millis,
    started: Millis,
    seeds: Vec<SocketAddr>,
    /// Index of the seed that was considered last.
    last_seed: usize,
    next_seed_ping: Millis,
}

impl Joining {
    pub fn new(protocol_period: Millis, seeds: Vec<SocketAddr>, now: Millis) -> Self {
        Joining {
            protocol_period,
            started: now,
            seeds,
            last_seed: 0,
            next_seed_ping: now,
        }
    }

    /// Replaces the addresses of the seeds.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        self.seeds = seeds;
        self.last_seed = 0;
    }

    /// Whether a host counts as joined, though its table does not yet equal another member's.
    pub fn is_timed_out(&self, knows_no_member: bool, now: Millis) -> bool {
        let periods = if knows_no_member {
            FIRST_MEMBER_PERIODS
        } else {
            JOIN_TIMEOUT_PERIODS
        };
        now >= self.started + self.protocol_period * periods
    }

    /// The seeds to ping now: when one is due, the next that is wanted; where no member is known, some of them.
    pub fn take_due_seeds(
        &mut self,
        knows_no_member: bool,
        is_wanted: impl Fn(SocketAddr) -> bool,
        rng: &mut SeededRng,
        now: Millis,
    ) -> Vec<SocketAddr> {
        if now < self.next_seed_ping || self.seeds.is_empty() {
            return Vec::new();
        }
        let periods = if knows_no_member { 1 } else { SEED_PERIODS };
        let interval = self.protocol_period * periods;
        self.next_seed_ping = now + interval + rng.below(interval / 4 + 1);
        self.next_seeds(knows_no_member, is_wanted)
    }

    fn next_seeds(
        &mut self,
        knows_no_member: bool,
        is_wanted: impl Fn(SocketAddr) -> bool,
    ) -> Vec<SocketAddr> {
        let mut chosen = Vec::new();
        for _ in 0..self.seeds.len() {
            self.last_seed = (self.last_seed + 1) % self.seeds.len();
            let seed = self.seeds.get(self.last_seed).copied();
            let Some(seed) = seed.filter(|seed| is_wanted(*seed)) else {
                continue;
            };
            chosen.push(seed);
            let is_end_of_group = self.last_seed % SEEDS_AT_A_TIME == SEEDS_AT_A_TIME - 1;
            if !knows_no_member || is_end_of_group {
                break;
            }
        }
        chosen
    }
}
