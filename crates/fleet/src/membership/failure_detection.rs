//! Pings, indirect pings and suspicions (SWIM, sections 3.1 and 4.2).
use super::{ActionSink, Membership};
use crate::Millis;
use crate::member::{Member, Reachability};
use crate::record::{GossipUpdate, MemberState, member_id};
use crate::wire::{GossipBody, MAX_DATAGRAM_BYTES};
use std::net::SocketAddr;

/// Members asked to ping a member that does not answer (SWIM's k).
const INDIRECT_PING_MEMBERS: usize = 3;
/// Draws by which those members are chosen at most.
const INDIRECT_PING_DRAWS: usize = 2 * INDIRECT_PING_MEMBERS;
/// Pending pings on behalf of other members at most; further requests are dropped and counted.
const MAX_INDIRECT_PINGS: usize = 64;
/// Periods until an unreachable member is first pinged.
const UNREACHABLE_PING_FIRST_PERIODS: u64 = 2;
/// Longest interval between two pings of an unreachable member, in periods.
const UNREACHABLE_PING_MAX_PERIODS: u64 = 60;
/// Queued updates from which on further datagrams are sent each period: about two datagrams full.
const GOSSIP_BACKLOG: usize = 16;
/// Those further datagrams, each to a random member.
const EXTRA_GOSSIP_DATAGRAMS: usize = 3;

/// A ping that this host sent on behalf of another member.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct IndirectPing {
    sequence: u32,
    requester: SocketAddr,
    /// Sequence number of the requester's ping request.
    request_sequence: u32,
    deadline: Millis,
}

impl Membership {
    /// This host as the accuser of a suspicion.
    pub(super) fn own_accuser(&self) -> u32 {
        self.own_id as u32
    }

    /// One protocol period: pings a member, asks others to ping it where it does not answer, and suspects it at the
    /// period's end.
    pub(super) fn run_failure_detector(&mut self, now: Millis, sink: &mut dyn ActionSink) {
        self.request_indirect_pings(now, sink);
        if now < self.failure_detector.next_period {
            return;
        }
        self.conclude_ping(now, sink);
        self.failure_detector.next_period =
            now + self.config.protocol_period * self.failure_detector.timeout_factor();
        let Some(target) = self.next_ping_target() else {
            return;
        };
        let sequence = self.next_sequence();
        self.failure_detector
            .await_ack(target, sequence, now, &self.config);
        self.ping(target, sequence, sink);
        self.send_gossip_backlog(sink);
    }

    /// The pinged member did not answer in time: other members ping it.
    fn request_indirect_pings(&mut self, now: Millis, sink: &mut dyn ActionSink) {
        let next_period = self.failure_detector.next_period;
        let is_due = |ping: &&crate::failure_detector::PendingPing| {
            ping.requested == 0 && now >= ping.indirect_at && now < next_period
        };
        let Some(ping) = self.failure_detector.pending.as_ref().filter(is_due) else {
            return;
        };
        let (target_id, sequence) = (ping.target_id, ping.sequence);
        let helpers = self.indirect_ping_members(target_id);
        if let Some(ping) = &mut self.failure_detector.pending {
            ping.requested = helpers.len() as u32;
            // Requested once a period, also if no member was found to ask.
            ping.indirect_at = Millis::MAX;
        }
        let Some(target_address) = self
            .table
            .get(target_id)
            .map(|target| target.record.address)
        else {
            return;
        };
        for helper in helpers {
            let request = GossipBody::PingRequest {
                sequence,
                target_id,
                target_address,
            };
            self.send(helper, request, &[], MAX_DATAGRAM_BYTES, sink);
        }
    }

    /// Members that may ping another one: one of another zone than this host's where there is one, then any.
    fn indirect_ping_members(&mut self, target_id: u64) -> Vec<SocketAddr> {
        let mut chosen: Vec<SocketAddr> = Vec::new();
        let own_zone = self.own_record.zone.clone();
        let is_other = |member: &Member| member_id(&member.record.name) != target_id;
        chosen.extend(
            self.random_reachable(|member| member.record.zone != own_zone && is_other(member)),
        );
        for _ in 0..INDIRECT_PING_DRAWS {
            let candidate = self.random_reachable(is_other);
            if chosen.len() < INDIRECT_PING_MEMBERS
                && candidate.is_some_and(|c| !chosen.contains(&c))
            {
                chosen.extend(candidate);
            }
        }
        chosen
    }

    /// The period ended without an ack: the pinged member is suspected.
    fn conclude_ping(&mut self, now: Millis, sink: &mut dyn ActionSink) {
        let Some(ping) = self.failure_detector.pending.take() else {
            return;
        };
        // None of the requested members reported a result: this host itself may be partitioned.
        if ping.requested > 0 && ping.failed == 0 {
            self.failure_detector
                .increase_health_multiplier(&self.config);
        }
        let (accuser, isolated) = (self.own_accuser(), self.isolated);
        self.table
            .suspect(ping.target_id, accuser, isolated, now, &mut |event| {
                sink.notify(event);
            });
    }

    fn next_ping_target(&mut self) -> Option<u64> {
        let (table, own_id) = (&self.table, self.own_id);
        let is_eligible = |id: u64| {
            let state = table.get(id).map(Member::state);
            id != own_id
                && state.is_some_and(|s| !matches!(s, MemberState::Left | MemberState::Unreachable))
        };
        let members = table.members.keys().copied();
        self.failure_detector
            .next_target(&mut self.rng, is_eligible, members)
    }

    /// Pings a member. The datagram carries the suspicion of it first, if any, so that it can refute that (Lifeguard's buddy system).
    pub(super) fn ping(&mut self, id: u64, sequence: u32, sink: &mut dyn ActionSink) {
        let Some(member) = self.table.get(id) else {
            return;
        };
        let (address, update) = (member.record.address, member.to_update());
        let first = if update.suspected_by.is_some() {
            vec![update]
        } else {
            Vec::new()
        };
        self.send(
            address,
            GossipBody::Ping { sequence },
            &first,
            MAX_DATAGRAM_BYTES,
            sink,
        );
    }

    /// Where many members are stopped or lost at once, pings alone carry fewer updates than there are, and refutations
    /// would come too late: sends further datagrams.
    fn send_gossip_backlog(&mut self, sink: &mut dyn ActionSink) {
        for _ in 0..EXTRA_GOSSIP_DATAGRAMS {
            if self.table.queued_gossip() <= GOSSIP_BACKLOG {
                break;
            }
            if let Some(address) = self.random_reachable(|_| true) {
                self.send(
                    address,
                    GossipBody::UpdatesOnly,
                    &[],
                    MAX_DATAGRAM_BYTES,
                    sink,
                );
            }
        }
    }

    /// A member answered: either this host's own ping, or one that it sent for another member.
    pub(super) fn receive_ack(&mut self, sender_id: u64, sequence: u32, sink: &mut dyn ActionSink) {
        if let Some(index) = self
            .indirect_pings
            .iter()
            .position(|ping| ping.sequence == sequence)
        {
            let ping = self.indirect_pings.swap_remove(index);
            self.report_indirect_ping(&ping, true, sink);
        }
        let pending = &mut self.failure_detector.pending;
        if pending
            .take_if(|ping| ping.sequence == sequence && ping.target_id == sender_id)
            .is_some()
        {
            self.failure_detector.decrease_health_multiplier();
        }
    }

    /// A member reported the result of a ping that this host requested.
    pub(super) fn receive_indirect_result(&mut self, sequence: u32, acknowledged: bool) {
        let pending = &mut self.failure_detector.pending;
        if acknowledged {
            if pending.take_if(|ping| ping.sequence == sequence).is_some() {
                self.failure_detector.decrease_health_multiplier();
            }
        } else if let Some(ping) = pending.as_mut().filter(|ping| ping.sequence == sequence) {
            ping.failed += 1;
        }
    }

    /// Pings a member on behalf of another one.
    pub(super) fn ping_for(
        &mut self,
        requester: SocketAddr,
        request_sequence: u32,
        target_id: u64,
        target_address: SocketAddr,
        now: Millis,
        sink: &mut dyn ActionSink,
    ) {
        if self.indirect_pings.len() >= MAX_INDIRECT_PINGS {
            self.counters.capacity_drops += 1;
            return;
        }
        let sequence = self.next_sequence();
        let deadline = now + self.config.protocol_period / 2;
        self.indirect_pings.push(IndirectPing {
            sequence,
            requester,
            request_sequence,
            deadline,
        });
        // Whoever pings a suspected member notifies it of the suspicion.
        let known: Vec<GossipUpdate> = self
            .table
            .get(target_id)
            .map(Member::to_update)
            .into_iter()
            .collect();
        self.send(
            target_address,
            GossipBody::Ping { sequence },
            &known,
            MAX_DATAGRAM_BYTES,
            sink,
        );
    }

    /// Pings for other members that were not answered in time have failed.
    pub(super) fn expire_indirect_pings(&mut self, now: Millis, sink: &mut dyn ActionSink) {
        while let Some(index) = self
            .indirect_pings
            .iter()
            .position(|ping| now >= ping.deadline)
        {
            let ping = self.indirect_pings.swap_remove(index);
            self.report_indirect_ping(&ping, false, sink);
        }
    }

    fn report_indirect_ping(
        &mut self,
        ping: &IndirectPing,
        acknowledged: bool,
        sink: &mut dyn ActionSink,
    ) {
        let result = GossipBody::PingRequestResult {
            sequence: ping.request_sequence,
            acknowledged,
        };
        self.send(ping.requester, result, &[], MAX_DATAGRAM_BYTES, sink);
    }

    /// Concludes suspicions that were not refuted in time.
    pub(super) fn conclude_suspicions(&mut self, now: Millis, sink: &mut dyn ActionSink) {
        let count = self.table.members.len();
        let is_over = |member: &Member| match &member.reachability {
            Reachability::Suspect {
                since, accusers, ..
            } => {
                let confirmations = accusers.len().saturating_sub(1);
                now >= since + self.config.suspicion_timeout(count, confirmations)
            }
            _ => false,
        };
        let members = self.table.members.iter();
        let over: Vec<u64> = members
            .filter(|(_, member)| is_over(member))
            .map(|(id, _)| *id)
            .collect();
        let first_ping = self.periods(UNREACHABLE_PING_FIRST_PERIODS);
        for id in over {
            self.table
                .conclude_suspicion(id, first_ping, now, &mut |event| sink.notify(event));
        }
    }

    /// Pings one unreachable member that is due, in intervals that double: so the two sides of a healed partition find
    /// each other again.
    pub(super) fn ping_unreachable(&mut self, now: Millis, sink: &mut dyn ActionSink) {
        let longest = self.periods(UNREACHABLE_PING_MAX_PERIODS);
        let due =
            self.table
                .members
                .iter_mut()
                .find_map(|(id, member)| match &mut member.reachability {
                    Reachability::Unreachable {
                        next_ping,
                        ping_interval,
                        ..
                    } if now >= *next_ping => {
                        *ping_interval = (*ping_interval * 2).min(longest);
                        *next_ping = now + *ping_interval;
                        Some(*id)
                    }
                    _ => None,
                });
        if let Some(id) = due {
            let sequence = self.next_sequence();
            self.ping(id, sequence, sink);
        }
    }
}
