//! Seeds, and the end of joining.
use super::{ActionSink, Membership};
use crate::Millis;
use crate::record::Lifecycle;

/// Periods after which a host whose seeds do not answer assumes that it is the fleet's first member.
const FIRST_MEMBER_PERIODS: u64 = 3;
/// Periods after which a host counts as joined, though its table does not yet equal another member's.
const JOIN_TIMEOUT_PERIODS: u64 = 20;
/// Periods between two pings of seeds that are no members here, so that partitions that have removed each other merge
/// again.
const SEED_PERIODS: u64 = 60;
/// Seeds that are pinged at a time as long as no member is known: the first few may be down.
const SEEDS_AT_A_TIME: usize = 3;

impl Membership {
    /// Ends joining in time, and pings seeds.
    pub(super) fn join(&mut self, now: Millis, sink: &mut dyn ActionSink) {
        let knows_no_member = self.random_reachable(|_| true).is_none();
        let timeout = self.periods(if knows_no_member {
            FIRST_MEMBER_PERIODS
        } else {
            JOIN_TIMEOUT_PERIODS
        });
        if self.own_record.lifecycle == Lifecycle::Joining && now >= self.started + timeout {
            self.publish(|own| own.lifecycle = Lifecycle::Alive, now, sink);
        }
        if now >= self.next_seed_ping && !self.config.seeds.is_empty() {
            let interval = self.periods(if knows_no_member { 1 } else { SEED_PERIODS });
            self.next_seed_ping = now + interval + self.rng.below(interval / 4 + 1);
            self.ping_seeds(knows_no_member, sink);
        }
    }

    /// Pings the next seed that is no reachable member here; where no member is known, some of them.
    fn ping_seeds(&mut self, knows_no_member: bool, sink: &mut dyn ActionSink) {
        for _ in 0..self.config.seeds.len() {
            self.seed_index = (self.seed_index + 1) % self.config.seeds.len();
            let address = self.config.seeds[self.seed_index];
            let mut members = self.table.members.values();
            let is_member =
                members.any(|member| member.is_reachable() && member.record.address == address);
            if address == self.own_record.address || is_member {
                continue;
            }
            self.send_first_ping(address, sink);
            if !knows_no_member || self.seed_index % SEEDS_AT_A_TIME == SEEDS_AT_A_TIME - 1 {
                return;
            }
        }
    }
}
