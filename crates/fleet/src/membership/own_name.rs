//! Handling of other processes under this host's own name: their messages, updates about them, and name conflicts.
use super::{ActionSink, Membership};
use crate::Millis;
use crate::event::MembershipEvent;
use crate::name_ownership::ConflictStep;
use crate::record::{GossipUpdate, Lifecycle, MemberRecord};
use crate::wire::{GossipBody, GossipMessage};
use std::net::SocketAddr;

impl Membership {
    /// Handles a message whose sender has this host's own name: another process, or this process itself if the message
    /// was reflected.
    pub(super) fn receive_own_name(
        &mut self,
        from: SocketAddr,
        message: &GossipMessage,
        max_reply_bytes: usize,
        now: Millis,
        sink: &mut dyn ActionSink,
    ) {
        let sender = &message.sender;
        match message.body {
            GossipBody::Ack { .. } => self.receive_own_name_ack(sender, sink),
            // The sender has a lower generation, and checks whether this process is alive.
            GossipBody::Ping { sequence } if self.is_later_than(sender) => {
                let ack = GossipBody::Ack { sequence };
                self.send_gossip(from, ack, &[], max_reply_bytes, sink);
            }
            _ => {}
        }
        self.merge_own_name(&GossipUpdate::unsuspected(sender), now, sink);
    }

    /// Handles an ack from a process under this host's name. If the sender is the later process of a name conflict,
    /// this process leaves the protocol.
    fn receive_own_name_ack(&mut self, sender: &MemberRecord, sink: &mut dyn ActionSink) {
        if self.name_ownership.on_ack(sender) {
            let address = sender.address;
            sink.notify(MembershipEvent::Superseded { address });
        }
    }

    /// Returns whether this process takes part in the protocol and has a higher generation than another one under its
    /// name.
    fn is_later_than(&self, other: &MemberRecord) -> bool {
        other.generation < self.local.record().generation && !self.name_ownership.is_superseded()
    }

    /// Merges an update about a process under this host's own name: refutes it if it is false, or checks whether a
    /// later process is alive.
    pub(super) fn merge_own_name(
        &mut self,
        update: &GossipUpdate,
        now: Millis,
        sink: &mut dyn ActionSink,
    ) {
        let own_generation = self.local.record().generation;
        let generation = update.record.generation;
        if self.name_ownership.is_superseded() || generation < own_generation {
            return;
        }
        if generation > own_generation {
            return self.merge_later_generation(update, now, sink);
        }
        #[cfg(feature = "mutants")]
        if self.config.is_mutant(crate::config::Mutant::NoRefutation) {
            return;
        }
        if self.local.refute(update) {
            self.counters.count_refutation();
            self.failure_detector.on_refutation();
            self.publish(now, sink);
        }
    }

    fn merge_later_generation(
        &mut self,
        update: &GossipUpdate,
        now: Millis,
        sink: &mut dyn ActionSink,
    ) {
        let record = &update.record;
        // The other process is not alive if it has left or is suspected, or if its address is now this process's.
        let has_ended = record.address == self.local.record().address
            || record.lifecycle == Lifecycle::Left
            || update.suspected_by.is_some();
        if has_ended {
            self.take_over_name(record.generation, now, sink);
        } else {
            self.name_ownership.dispute(record, now);
        }
    }

    /// Pings the other process of a name conflict if a ping is due, or takes over the name if all pings were
    /// unanswered.
    pub(super) fn check_name_conflict(&mut self, now: Millis, sink: &mut dyn ActionSink) {
        match self.name_ownership.next_step(now) {
            Some(ConflictStep::Ping(address)) => self.send_first_ping(address, sink),
            Some(ConflictStep::Ended(generation)) => {
                self.take_over_name(generation, now, sink);
            }
            None => {}
        }
    }

    /// Makes this process the only one under its name, with a generation above `past_generation`.
    fn take_over_name(&mut self, past_generation: u64, now: Millis, sink: &mut dyn ActionSink) {
        self.name_ownership.resolve();
        self.local.raise_generation(past_generation);
        self.publish(now, sink);
    }
}
