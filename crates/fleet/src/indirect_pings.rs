//! Indirect pings (SWIM's ping-req): the choice of the members that are asked to ping one that does not answer, and the
//! pings that this host sent on behalf of other members.
#[cfg(test)]
mod tests;

use crate::Millis;
use crate::member::Member;
use crate::membership_table::MembershipTable;
use crate::record::{Zone, member_id};
use crate::rng::SeededRng;
use std::net::SocketAddr;

/// Number of members that are asked to ping a member that does not answer (SWIM's k).
const INDIRECT_PING_MEMBERS: usize = 3;
/// Number of random draws by which the members that are asked to ping are chosen.
const INDIRECT_PING_DRAWS: usize = 2 * INDIRECT_PING_MEMBERS;
/// Maximum number of pings in flight on behalf of other members. Further requests are dropped and counted.
const MAX_INDIRECT_PINGS: usize = 64;

/// Chooses the members that are asked to ping `target_id`, and returns their addresses: one in another zone than this
/// host's if there is one, then any. The number of random draws does not depend on the choice.
pub(crate) fn choose_helpers(
    table: &MembershipTable,
    rng: &mut SeededRng,
    own_zone: &Zone,
    target_id: u64,
) -> Vec<SocketAddr> {
    let is_not_target = |member: &Member| member_id(&member.record().name) != target_id;
    let is_in_other_zone =
        |member: &Member| member.record().zone != *own_zone && is_not_target(member);
    let mut chosen = Vec::from_iter(table.random_reachable(rng, is_in_other_zone));
    for _ in 0..INDIRECT_PING_DRAWS {
        let candidate = table.random_reachable(rng, is_not_target);
        if chosen.len() < INDIRECT_PING_MEMBERS && candidate.is_some_and(|c| !chosen.contains(&c)) {
            chosen.extend(candidate);
        }
    }
    chosen
}

/// Ping that this host sent on behalf of another member.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct IndirectPing {
    sequence: u32,
    /// Address of the member that requested the ping.
    pub requester: SocketAddr,
    /// Sequence number of the requester's ping request.
    pub request_sequence: u32,
    deadline: Millis,
}

/// Pings in flight that this host sent on behalf of other members.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct IndirectPings {
    timeout: Millis,
    in_flight: Vec<IndirectPing>,
}

impl IndirectPings {
    pub fn new(protocol_period: Millis) -> Self {
        IndirectPings {
            timeout: protocol_period / 2,
            in_flight: Vec::new(),
        }
    }

    /// Returns whether the maximum number of pings is in flight.
    pub fn is_full(&self) -> bool {
        self.in_flight.len() >= MAX_INDIRECT_PINGS
    }

    /// Records a ping that this host sent because of a request.
    pub fn add(
        &mut self,
        sequence: u32,
        requester: SocketAddr,
        request_sequence: u32,
        now: Millis,
    ) {
        self.in_flight.push(IndirectPing {
            sequence,
            requester,
            request_sequence,
            deadline: now + self.timeout,
        });
    }

    /// Removes and returns the ping with this sequence number, which was answered.
    pub fn take_answered(&mut self, sequence: u32) -> Option<IndirectPing> {
        self.take_first(|ping| ping.sequence == sequence)
    }

    /// Removes and returns a ping that was not answered before its deadline.
    pub fn take_expired(&mut self, now: Millis) -> Option<IndirectPing> {
        self.take_first(|ping| now >= ping.deadline)
    }

    /// Drops all pings after a pause of this process: it could not receive their acks, so missing ones prove nothing.
    pub fn clear(&mut self) {
        self.in_flight.clear();
    }

    fn take_first(&mut self, matches: impl Fn(&IndirectPing) -> bool) -> Option<IndirectPing> {
        let index = self.in_flight.iter().position(matches)?;
        Some(self.in_flight.swap_remove(index))
    }
}
