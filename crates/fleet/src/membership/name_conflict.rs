//! Several processes under one name: the one with the highest generation remains a member. A process with a lower one
//! pings it; if it answers, this process leaves the protocol (it is superseded). If it does not, its record was left by
//! an earlier run of this host, and this host raises its generation above it.
use super::{ActionSink, Membership};
use crate::Millis;
use crate::event::MembershipEvent;
use crate::record::{GossipUpdate, Lifecycle, MemberRecord};
use crate::wire::{GossipBody, GossipMessage};
use std::net::SocketAddr;

/// How often the other process is pinged, once a period, before it counts as ended.
const NAME_CONFLICT_PINGS: u32 = 3;

/// Another process under this host's name that started later, as far as is known.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct NameConflict {
    record: MemberRecord,
    pings_sent: u32,
    next_ping: Millis,
}

impl Membership {
    /// A message of a sender under this host's own name: another process, or this host's own record reflected.
    pub(super) fn receive_own_name(
        &mut self,
        from: SocketAddr,
        message: GossipMessage,
        max_reply_bytes: usize,
        now: Millis,
        sink: &mut dyn ActionSink,
    ) {
        let GossipMessage { sender, body, .. } = message;
        let conflict = self.name_conflict.as_ref();
        match body {
            GossipBody::Ack { .. }
                if conflict.is_some_and(|c| c.record.generation <= sender.generation) =>
            {
                self.leave_superseded(sender.address, sink);
            }
            // A process with a lower generation checks whether this one is alive.
            GossipBody::Ping { sequence }
                if sender.generation < self.own_record.generation
                    && self.superseded_by.is_none() =>
            {
                self.send(
                    from,
                    GossipBody::Ack { sequence },
                    &[],
                    max_reply_bytes,
                    sink,
                );
            }
            _ => {}
        }
        self.merge_own_name(
            &GossipUpdate {
                record: sender,
                suspected_by: None,
            },
            now,
            sink,
        );
    }

    /// An update about a process under this host's own name. Refutes suspicions of this host, and records of it that it
    /// did not issue (SWIM, section 4.2).
    pub(super) fn merge_own_name(
        &mut self,
        update: &GossipUpdate,
        now: Millis,
        sink: &mut dyn ActionSink,
    ) {
        let record = &update.record;
        if self.superseded_by.is_some() || record.generation < self.own_record.generation {
            return;
        }
        if record.generation > self.own_record.generation {
            return self.merge_later_generation(update, now, sink);
        }
        #[cfg(feature = "mutants")]
        if self.config.is_mutant(crate::config::Mutant::NoRefutation) {
            return;
        }
        let own = &self.own_record;
        let is_ahead = record.incarnation > own.incarnation
            || record.lifecycle == Lifecycle::Left && own.lifecycle != Lifecycle::Left;
        let is_suspected = update.suspected_by.is_some() && record.incarnation == own.incarnation;
        if is_ahead || is_suspected {
            self.own_record.incarnation = own.incarnation.max(record.incarnation);
            self.counters.refutations += 1;
            self.failure_detector
                .increase_health_multiplier(&self.config);
            self.publish(|_| {}, now, sink);
        }
    }

    fn merge_later_generation(
        &mut self,
        update: &GossipUpdate,
        now: Millis,
        sink: &mut dyn ActionSink,
    ) {
        let record = &update.record;
        // A record with this address, or of a process that has left or is suspected, is no other live process.
        let has_ended = record.address == self.own_record.address
            || record.lifecycle == Lifecycle::Left
            || update.suspected_by.is_some();
        if has_ended {
            return self.raise_generation(record.generation, now, sink);
        }
        let known = self.name_conflict.as_ref();
        if known.is_none_or(|conflict| conflict.record.generation < record.generation) {
            self.name_conflict = Some(NameConflict {
                record: record.clone(),
                pings_sent: 0,
                next_ping: now,
            });
        }
    }

    /// Pings the other process, or assumes that it has ended once all pings were unanswered.
    pub(super) fn ping_name_conflict(&mut self, now: Millis, sink: &mut dyn ActionSink) {
        let period = self.config.protocol_period;
        let Some(conflict) = self
            .name_conflict
            .as_mut()
            .filter(|conflict| now >= conflict.next_ping)
        else {
            return;
        };
        if conflict.pings_sent >= NAME_CONFLICT_PINGS {
            let generation = conflict.record.generation;
            return self.raise_generation(generation, now, sink);
        }
        conflict.pings_sent += 1;
        conflict.next_ping = now + period;
        let address = conflict.record.address;
        self.send_first_ping(address, sink);
    }

    /// This process is the only one under its name: takes a generation above all known ones.
    fn raise_generation(&mut self, past: u64, now: Millis, sink: &mut dyn ActionSink) {
        self.name_conflict = None;
        self.own_record.generation = self.own_record.generation.max(past + 1);
        self.publish(|_| {}, now, sink);
    }

    fn leave_superseded(&mut self, address: SocketAddr, sink: &mut dyn ActionSink) {
        if self.superseded_by.is_none() {
            self.superseded_by = Some(address);
            self.name_conflict = None;
            sink.notify(MembershipEvent::Superseded { address });
        }
    }
}
