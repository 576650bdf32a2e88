//! Indirect pings (SWIM's ping-req): which members are asked to ping one that does not answer, and the pings that this
//! host sent because others asked it to.
#[cfg(test)]
mod tests;

use crate::Millis;
use crate::member::Member;
use crate::membership_table::MembershipTable;
use crate::record::{Zone, member_id};
use crate::rng::SeededRng;
use std::net::SocketAddr;

/// Members asked to ping a member that does not answer (SWIM's k).
const INDIRECT_PING_MEMBERS: usize = 3;
/// Draws by which those members are chosen at most.
const INDIRECT_PING_DRAWS: usize = 2 * INDIRECT_PING_MEMBERS;
/// Pings on behalf of other members under way at most; further requests are dropped and counted.
const MAX_INDIRECT_PINGS: usize = 64;

/// Chooses the members that are asked to ping another one: one of another zone than this host's where there is one, then
/// any. The number of draws does not depend on who is chosen.
pub(crate) fn choose_helpers(
    table: &MembershipTable,
    rng: &mut SeededRng,
    own_zone: &Zone,
    target_id: u64,
) -> Vec<SocketAddr> {
    let is_other = |member: &Member| member_id(&member.record().name) != target_id;
    let is_elsewhere = |member: &Member| member.record().zone != *own_zone && is_other(member);
    let mut chosen = Vec::from_iter(table.random_reachable(rng, is_elsewhere));
    for _ in 0..INDIRECT_PING_DRAWS {
        let candidate = table.random_reachable(rng, is_other);
        if chosen.len() < INDIRECT_PING_MEMBERS && candidate.is_some_and(|c| !chosen.contains(&c)) {
            chosen.extend(candidate);
        }
    }
    chosen
}

/// A ping that this host sent on behalf of another member.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct IndirectPing {
    sequence: u32,
    /// The member that asked for it.
    pub requester: SocketAddr,
    /// Sequence number of the requester's ping request.
    pub request_sequence: u32,
    deadline: Millis,
}

/// Pings that this host sent on behalf of other members and that were not answered yet.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct IndirectPings {
    timeout: Millis,
    under_way: Vec<IndirectPing>,
}

impl IndirectPings {
    pub fn new(protocol_period: Millis) -> Self {
        IndirectPings {
            timeout: protocol_period / 2,
            under_way: Vec::new(),
        }
    }

    /// Whether there is no room for another one.
    pub fn is_full(&self) -> bool {
        self.under_way.len() >= MAX_INDIRECT_PINGS
    }

    /// A ping with this sequence number was sent because of a request.
    pub fn add(
        &mut self,
        sequence: u32,
        requester: SocketAddr,
        request_sequence: u32,
        now: Millis,
    ) {
        self.under_way.push(IndirectPing {
            sequence,
            requester,
            request_sequence,
            deadline: now + self.timeout,
        });
    }

    /// Takes out the ping that was answered.
    pub fn take_answered(&mut self, sequence: u32) -> Option<IndirectPing> {
        self.take_first(|ping| ping.sequence == sequence)
    }

    /// Takes out a ping that was not answered in time.
    pub fn take_expired(&mut self, now: Millis) -> Option<IndirectPing> {
        self.take_first(|ping| now >= ping.deadline)
    }

    /// This host was stopped: acks could not be read, and the pings say nothing.
    pub fn clear(&mut self) {
        self.under_way.clear();
    }

    fn take_first(&mut self, is_wanted: impl Fn(&IndirectPing) -> bool) -> Option<IndirectPing> {
        let index = self.under_way.iter().position(is_wanted)?;
        Some(self.under_way.swap_remove(index))
    }
}
