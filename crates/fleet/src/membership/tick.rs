//! Timers: everything that is due at a time.
use super::{ActionSink, Membership};
use crate::Millis;
use crate::event::MembershipEvent;
use crate::failure_detector::PingTarget;
use crate::indirect_pings::{IndirectPing, choose_helpers};
use crate::membership_table::WHOLE_TABLE;
use crate::record::Lifecycle;
use crate::wire::GossipBody;

/// Periods for which a member that left stays in the table.
const LEFT_SHOWN_PERIODS: u64 = 120;
/// Periods until an unreachable member is first pinged.
const UNREACHABLE_PING_FIRST_PERIODS: u64 = 2;
/// Longest interval between two pings of an unreachable member, in periods.
const UNREACHABLE_PING_MAX_PERIODS: u64 = 60;
/// Further datagrams that are sent each period while there is a backlog of gossip, each to a random member.
const EXTRA_GOSSIP_DATAGRAMS: usize = 3;

impl Membership {
    /// Runs the timers that are due. A call that is late by more than a period means that this host's process was
    /// stopped.
    pub fn tick(&mut self, now: Millis, sink: &mut dyn ActionSink) {
        let gap = now.saturating_sub(self.last_tick);
        self.last_tick = now;
        if gap > self.config.protocol_period {
            self.resume_after_stop(gap, now);
        }
        if self.name_ownership.is_superseded() {
            return;
        }
        self.remove_expired(now, sink);
        self.check_isolation(now, sink);
        self.conclude_suspicions(now, sink);
        self.expire_indirect_pings(now, sink);
        self.check_name_conflict(now, sink);
        self.request_indirect_pings(now, sink);
        self.ping_next_member(now, sink);
        self.ping_unreachable(now, sink);
        self.join(now, sink);
        self.start_anti_entropy(now, sink);
    }

    /// Timeouts that passed while this host was stopped say nothing about other members: their acks could not be read.
    fn resume_after_stop(&mut self, gap: Millis, now: Millis) {
        self.failure_detector.on_stop();
        self.indirect_pings.clear();
        self.table.extend_suspicions(gap);
        self.isolation.on_stop(gap);
        self.anti_entropy.start_now(now);
    }

    fn remove_expired(&mut self, now: Millis, sink: &mut dyn ActionSink) {
        let left_shown = self.periods(LEFT_SHOWN_PERIODS);
        let retention = self.config.unreachable_retention;
        let removed = self.table.remove_expired(now, left_shown, retention);
        self.apply(removed, sink);
        #[cfg(feature = "mutants")]
        if self.config.is_mutant(crate::config::Mutant::NoTombstones) {
            self.table.forget_tombstones();
        }
    }

    /// A host that receives nothing keeps its suspicions to itself.
    fn check_isolation(&mut self, now: Millis, sink: &mut dyn ActionSink) {
        let has_others = self.table.others().any(|member| !member.has_left());
        let Some(last_message) = self.isolation.begin_if_silent(has_others, now) else {
            return;
        };
        let withdrawn = self
            .table
            .keep_own_suspicions_local(self.local.accuser(), last_message);
        self.apply(withdrawn, sink);
        sink.notify(MembershipEvent::IsolationStarted);
    }

    /// Concludes suspicions that were not refuted in time.
    fn conclude_suspicions(&mut self, now: Millis, sink: &mut dyn ActionSink) {
        let members = self.table.len();
        let timeout = |confirmations| self.config.suspicion_timeout(members, confirmations);
        let first_ping = self.periods(UNREACHABLE_PING_FIRST_PERIODS);
        let concluded = self.table.conclude_suspicions(timeout, first_ping, now);
        self.apply(concluded, sink);
    }

    /// Pings for other members that were not answered in time have failed.
    fn expire_indirect_pings(&mut self, now: Millis, sink: &mut dyn ActionSink) {
        while let Some(ping) = self.indirect_pings.take_expired(now) {
            self.report_indirect_ping(&ping, false, sink);
        }
    }

    /// Reports the result of a ping to the member that asked for it.
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

    /// The pinged member did not answer in time: other members ping it (SWIM, section 3.1).
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

    /// Begins a protocol period when one is due: suspects the member that did not answer in the last one, and pings the
    /// next.
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
        self.apply(change, sink);
    }

    /// Where many members are stopped or lost at once, pings alone carry fewer updates than there are, and refutations
    /// would come too late: sends further datagrams.
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

    /// Pings one unreachable member that is due, in intervals that double: so the two sides of a healed partition find
    /// each other again.
    fn ping_unreachable(&mut self, now: Millis, sink: &mut dyn ActionSink) {
        let longest = self.periods(UNREACHABLE_PING_MAX_PERIODS);
        if let Some(id) = self.table.take_unreachable_to_ping(now, longest) {
            let sequence = self.sequence_numbers.next();
            self.ping(id, sequence, sink);
        }
    }

    /// Ends joining in time, and pings the seeds that are due.
    fn join(&mut self, now: Millis, sink: &mut dyn ActionSink) {
        // Which one does not matter; the draw is made in every tick and is part of the sequence of random numbers.
        let any_member = self.table.random_reachable(&mut self.rng, |_| true);
        let knows_no_member = any_member.is_none();
        if self.local.is_joining() && self.joining.is_timed_out(knows_no_member, now) {
            self.become_alive(now, sink);
        }
        self.ping_seeds(knows_no_member, now, sink);
    }

    /// Pings the seeds that are due and no reachable members here.
    fn ping_seeds(&mut self, knows_no_member: bool, now: Millis, sink: &mut dyn ActionSink) {
        let own_address = self.local.record().address;
        let is_wanted = |seed| seed != own_address && !self.table.has_reachable_at(seed);
        let seeds = self
            .joining
            .take_due_seeds(knows_no_member, is_wanted, &mut self.rng, now);
        for seed in seeds {
            self.send_first_ping(seed, sink);
        }
    }

    /// This host has joined.
    pub(super) fn become_alive(&mut self, now: Millis, sink: &mut dyn ActionSink) {
        self.local.set_lifecycle(Lifecycle::Alive);
        self.publish(now, sink);
    }

    /// Starts a comparison of the whole table with a random member when one is due.
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

    /// Milliseconds of a number of protocol periods.
    fn periods(&self, count: u64) -> Millis {
        count * self.config.protocol_period
    }
}
