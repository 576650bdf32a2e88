//! Joining the fleet: when a host counts as joined, and which seeds it pings.
#[cfg(test)]
mod tests;

use crate::Millis;
use crate::rng::SeededRng;
use std::net::SocketAddr;

/// Protocol periods after which a host whose seeds do not answer assumes that it is the first member of the fleet.
const FIRST_MEMBER_PERIODS: u64 = 3;
/// Protocol periods after which a host counts as joined even if its table does not yet equal another member's.
const JOIN_TIMEOUT_PERIODS: u64 = 20;
/// Protocol periods between two pings of a seed that is no member in this host's table. The pings let partitions merge
/// again after they have removed each other's members.
const SEED_PERIODS: u64 = 60;
/// Number of seeds that are pinged at a time while no member is known, since some of them may be down.
const SEED_GROUP_SIZE: usize = 3;

/// Seeds of this host, and the timeouts of joining.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Joining {
    protocol_period: Millis,
    started: Millis,
    seeds: Vec<SocketAddr>,
    /// Index of the seed that was considered last for a ping.
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

    /// Replaces the seeds.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        self.seeds = seeds;
        self.last_seed = 0;
    }

    /// Returns whether a host counts as joined even if its table does not yet equal another member's.
    pub fn is_timed_out(&self, knows_no_member: bool, now: Millis) -> bool {
        let periods = if knows_no_member {
            FIRST_MEMBER_PERIODS
        } else {
            JOIN_TIMEOUT_PERIODS
        };
        now >= self.started + self.protocol_period * periods
    }

    /// Returns the seeds to ping now: none if no ping is due, the next eligible seed if members are known, and the
    /// eligible seeds of the next group if no member is known.
    pub fn take_due_seeds(
        &mut self,
        knows_no_member: bool,
        is_eligible: impl Fn(SocketAddr) -> bool,
        rng: &mut SeededRng,
        now: Millis,
    ) -> Vec<SocketAddr> {
        if now < self.next_seed_ping || self.seeds.is_empty() {
            return Vec::new();
        }
        let periods = if knows_no_member { 1 } else { SEED_PERIODS };
        let interval = self.protocol_period * periods;
        self.next_seed_ping = now + interval + rng.below(interval / 4 + 1);
        self.next_seeds(knows_no_member, is_eligible)
    }

    fn next_seeds(
        &mut self,
        knows_no_member: bool,
        is_eligible: impl Fn(SocketAddr) -> bool,
    ) -> Vec<SocketAddr> {
        let mut chosen = Vec::new();
        for _ in 0..self.seeds.len() {
            self.last_seed = (self.last_seed + 1) % self.seeds.len();
            let seed = self.seeds.get(self.last_seed).copied();
            let Some(seed) = seed.filter(|seed| is_eligible(*seed)) else {
                continue;
            };
            chosen.push(seed);
            let is_end_of_group = self.last_seed % SEED_GROUP_SIZE == SEED_GROUP_SIZE - 1;
            if !knows_no_member || is_end_of_group {
                break;
            }
        }
        chosen
    }
}
