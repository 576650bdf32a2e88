//! Timers: everything that is due at a time.
use super::{ActionSink, Membership};
use crate::Millis;
use crate::event::MembershipEvent;
use crate::member::{Member, Reachability};
use crate::record::Lifecycle;

/// Periods without any message of another member after which this host counts as isolated.
const ISOLATION_PERIODS: u64 = 4;
/// Periods for which a member that left stays in the table.
const LEFT_SHOWN_PERIODS: u64 = 120;

impl Membership {
    /// Runs the timers that are due. A call that is late by more than a period means that this host's process was stopped.
    pub fn tick(&mut self, now: Millis, sink: &mut dyn ActionSink) {
        let gap = now.saturating_sub(self.last_tick);
        self.last_tick = now;
        if gap > self.config.protocol_period {
            self.resume_after_stop(gap, now);
        }
        if self.superseded_by.is_some() {
            return;
        }
        self.remove_expired(now, sink);
        self.check_isolation(now, sink);
        self.conclude_suspicions(now, sink);
        self.expire_indirect_pings(now, sink);
        self.ping_name_conflict(now, sink);
        self.run_failure_detector(now, sink);
        self.ping_unreachable(now, sink);
        self.join(now, sink);
        self.start_anti_entropy(now, sink);
    }

    /// Timeouts that passed while this host was stopped say nothing about other members: their acks could not be read.
    fn resume_after_stop(&mut self, gap: Millis, now: Millis) {
        self.failure_detector.pending = None;
        self.failure_detector
            .increase_health_multiplier(&self.config);
        self.indirect_pings.clear();
        for member in self.table.members.values_mut() {
            if let Reachability::Suspect { since, .. } = &mut member.reachability {
                *since += gap;
            }
        }
        self.last_contact = self.last_contact.map(|last_contact| last_contact + gap);
        self.next_anti_entropy = self.next_anti_entropy.min(now);
    }

    fn remove_expired(&mut self, now: Millis, sink: &mut dyn ActionSink) {
        let left_shown = self.periods(LEFT_SHOWN_PERIODS);
        let retention = self.config.unreachable_retention;
        self.table
            .remove_expired(now, left_shown, retention, &mut |event| sink.notify(event));
        #[cfg(feature = "mutants")]
        if self.config.is_mutant(crate::config::Mutant::NoTombstones) {
            self.table.forget_tombstones();
        }
    }

    /// A host that receives nothing from any member assumes that its own network has failed, and not that of all others.
    fn check_isolation(&mut self, now: Millis, sink: &mut dyn ActionSink) {
        let Some(last_contact) = self.last_contact else {
            return;
        };
        let is_silent = now >= last_contact + self.periods(ISOLATION_PERIODS);
        let is_other = |member: &Member| {
            member.record.lifecycle != Lifecycle::Left && member.record.name != self.own_record.name
        };
        if is_silent && !self.isolated && self.table.members.values().any(is_other) {
            self.isolated = true;
            self.table
                .keep_own_suspicions_local(self.own_accuser(), last_contact);
            sink.notify(MembershipEvent::IsolationStarted);
        }
    }
}
