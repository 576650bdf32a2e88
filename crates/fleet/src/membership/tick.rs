//! Timers of the state machine.
use super::{ActionSink, Membership};
use crate::Millis;
use crate::event::MembershipEvent;
use crate::failure_detector::PingTarget;
use crate::indirect_pings::{IndirectPing, choose_helpers};
use crate::membership_table::WHOLE_TABLE;
use crate::record::Lifecycle;
use crate::wire::GossipBody;

/// Protocol periods for which a member that has left remains in the table.
const LEFT_RETENTION_PERIODS: u64 = 120;
/// Protocol periods until an unreachable member is first pinged.
const UNREACHABLE_PING_FIRST_PERIODS: u64 = 2;
/// Maximum interval between two pings of an unreachable member, in protocol periods.
const UNREACHABLE_PING_MAX_PERIODS: u64 = 60;
/// Maximum number of further datagrams that are sent in each protocol period while there is a backlog of gossip, each
/// to a random member.
const EXTRA_GOSSIP_DATAGRAMS: usize = 3;

impl Membership {
    /// Runs the timers that are due. More than one protocol period between two calls means that this host's process was
    /// paused.
    pub fn tick(&mut self, now: Millis, sink: &mut dyn ActionSink) {
        let elapsed = now.saturating_sub(self.last_tick);
        self.last_tick = now;
        if elapsed > self.config.protocol_period {
            self.resume_after_pause(elapsed, now);
        }
        if self.name_ownership.is_superseded() {
            return;
        }
        self.remove_expired(now, sink);
        self.check_isolation(now, sink);
        self.expire_suspicions(now, sink);
        self.expire_indirect_pings(now, sink);
        self.check_name_conflict(now, sink);
        self.request_indirect_pings(now, sink);
        self.ping_next_member(now, sink);
        self.ping_unreachable(now, sink);
        self.join(now, sink);
        self.start_anti_entropy(now, sink);
    }

    /// Resets or extends the timeouts that elapsed while this process was paused. They indicate nothing about other
    /// members, whose acks the process could not receive.
    fn resume_after_pause(&mut self, pause: Millis, now: Millis) {
        self.failure_detector.on_pause();
        self.indirect_pings.clear();
        self.table.extend_suspicions(pause);
        self.isolation.on_pause(pause);
        self.anti_entropy.start_now(now);
    }

    fn remove_expired(&mut self, now: Millis, sink: &mut dyn ActionSink) {
        let left_retention = self.periods(LEFT_RETENTION_PERIODS);
        let retention = self.config.unreachable_retention;
        let removed = self.table.remove_expired(now, left_retention, retention);
        self.report_and_gossip(removed, sink);
        #[cfg(feature = "mutants")]
        if self.config.is_mutant(crate::config::Mutant::NoTombstones) {
            self.table.forget_tombstones();
        }
    }

    /// Starts an isolation if this host has received nothing for too long: it no longer gossips the suspicions that
    /// only it raised.
    fn check_isolation(&mut self, now: Millis, sink: &mut dyn ActionSink) {
        let has_others = self.table.others().any(|member| !member.has_left());
        let Some(last_message) = self.isolation.begin_if_silent(has_others, now) else {
            return;
        };
        let withdrawn = self
            .table
            .keep_own_suspicions_local(self.local.accuser(), last_message);
        self.report_and_gossip(withdrawn, sink);
        sink.notify(MembershipEvent::IsolationStarted);
    }

    /// Ends suspicions that were not refuted in time.
    fn expire_suspicions(&mut self, now: Millis, sink: &mut dyn ActionSink) {
        let members = self.table.len();
        let timeout = |confirmations| self.config.suspicion_timeout(members, confirmations);
        let first_ping = self.periods(UNREACHABLE_PING_FIRST_PERIODS);
        let expired = self.table.expire_suspicions(timeout, first_ping, now);
        self.report_and_gossip(expired, sink);
    }

    /// Reports pings on behalf of other members as failed if they were not answered in time.
    fn expire_indirect_pings(&mut self, now: Millis, sink: &mut dyn ActionSink) {
        while let Some(ping) = self.indirect_pings.take_expired(now) {
            self.report_indirect_ping(&ping, false, sink);
        }
    }

    /// Reports the result of a ping to the member that requested it.
    pub(super) fn report_indirect_ping(
        &mut self,
        ping: &IndirectPing,
        acknowledged: bool,
        sink: &mut dyn ActionSink,
    ) {
        let result = GossipBody::PingRequestResult {
            sequence: ping.request_sequence,
            acknowledged,
        };
        self.send(ping.requester, result, sink);
    }

    /// Asks other members to ping the target of the pending ping, if it did not answer in time (SWIM, section 3.1).
    fn request_indirect_pings(&mut self, now: Millis, sink: &mut dyn ActionSink) {
        let Some(PingTarget { id, sequence }) = self.failure_detector.unanswered_target(now) else {
            return;
        };
        let own_zone = &self.local.record().zone;
        let helpers = choose_helpers(&self.table, &mut self.rng, own_zone, id);
        self.failure_detector
            .indirect_pings_requested(helpers.len());
        let Some(target) = self.table.get(id) else {
            return;
        };
        let request = GossipBody::PingRequest {
            sequence,
            target_id: id,
            target_address: target.record().address,
        };
        for helper in helpers {
            self.send(helper, request.clone(), sink);
        }
    }

    /// Begins a protocol period if one is due: suspects the member that did not answer in the last period, and pings
    /// the next member.
    fn ping_next_member(&mut self, now: Millis, sink: &mut dyn ActionSink) {
        if !self.failure_detector.is_period_over(now) {
            return;
        }
        if let Some(unanswered) = self.failure_detector.begin_period(now) {
            self.suspect(unanswered, now, sink);
        }
        let is_eligible = |id| self.table.is_ping_target(id);
        let Some(id) =
            self.failure_detector
                .next_target(&mut self.rng, is_eligible, self.table.ids())
        else {
            return;
        };
        let sequence = self.sequence_numbers.next();
        self.failure_detector
            .await_ack(PingTarget { id, sequence }, now);
        self.ping(id, sequence, sink);
        self.send_gossip_backlog(sink);
    }

    fn suspect(&mut self, id: u64, now: Millis, sink: &mut dyn ActionSink) {
        let accuser = self.local.accuser();
        let is_local = self.isolation.is_isolated();
        let change = self.table.suspect(id, accuser, is_local, now);
        self.report_and_gossip(change, sink);
    }

    /// Sends further datagrams while there is a backlog of gossip. When many members are paused or lost at once, pings
    /// alone cannot carry all updates, and refutations would arrive too late.
    fn send_gossip_backlog(&mut self, sink: &mut dyn ActionSink) {
        for _ in 0..EXTRA_GOSSIP_DATAGRAMS {
            if !self.gossip_queue.has_backlog() {
                break;
            }
            if let Some(address) = self.table.random_reachable(&mut self.rng, |_| true) {
                self.send(address, GossipBody::UpdatesOnly, sink);
            }
        }
    }

    /// Pings one unreachable member to which a ping is due. By these pings, whose intervals double, the two sides of a
    /// healed partition find each other again.
    fn ping_unreachable(&mut self, now: Millis, sink: &mut dyn ActionSink) {
        let max_interval = self.periods(UNREACHABLE_PING_MAX_PERIODS);
        if let Some(id) = self.table.take_unreachable_to_ping(now, max_interval) {
            let sequence = self.sequence_numbers.next();
            self.ping(id, sequence, sink);
        }
    }

    /// Ends joining if its timeout has elapsed, and pings the seeds that are due.
    fn join(&mut self, now: Millis, sink: &mut dyn ActionSink) {
        // Only the presence of a member matters here. The draw in every tick is part of the sequence of random numbers.
        let any_member = self.table.random_reachable(&mut self.rng, |_| true);
        let knows_no_member = any_member.is_none();
        if self.local.is_joining() && self.joining.is_timed_out(knows_no_member, now) {
            self.become_alive(now, sink);
        }
        self.ping_seeds(knows_no_member, now, sink);
    }

    /// Pings the seeds that are due and at whose addresses this host knows no reachable member.
    fn ping_seeds(&mut self, knows_no_member: bool, now: Millis, sink: &mut dyn ActionSink) {
        let own_address = self.local.record().address;
        let is_eligible = |seed| seed != own_address && !self.table.has_reachable_at(seed);
        let seeds = self
            .joining
            .take_due_seeds(knows_no_member, is_eligible, &mut self.rng, now);
        for seed in seeds {
            self.send_first_ping(seed, sink);
        }
    }

    /// Ends joining: this host is alive from now on.
    pub(super) fn become_alive(&mut self, now: Millis, sink: &mut dyn ActionSink) {
        self.local.set_lifecycle(Lifecycle::Alive);
        self.publish(now, sink);
    }

    /// Starts a comparison of the whole table with that of a random member if one is due.
    fn start_anti_entropy(&mut self, now: Millis, sink: &mut dyn ActionSink) {
        let is_joining = self.local.is_joining();
        if !self.anti_entropy.take_due(is_joining, &mut self.rng, now) {
            return;
        }
        if let Some(address) = self.table.random_reachable(&mut self.rng, |_| true) {
            let digest = self.table.range_digest(WHOLE_TABLE);
            let digests = heapless::Vec::from_iter([digest]);
            self.send(address, GossipBody::RangeDigests(digests), sink);
        }
    }

    /// Returns the duration of a number of protocol periods.
    fn periods(&self, count: u64) -> Millis {
        count * self.config.protocol_period
    }
}
