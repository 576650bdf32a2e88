//! Received datagrams.
use super::{ActionSink, Membership};
use crate::Millis;
use crate::event::MembershipEvent;
use crate::member::Member;
use crate::membership_table::MergeOutcome;
use crate::record::{GossipUpdate, Lifecycle, MemberRecord, member_id};
use crate::wire::{self, DecodeError, GossipBody, GossipMessage, MAX_DATAGRAM_BYTES, Message};
use std::net::SocketAddr;

/// The sender of a message that is being handled.
pub(super) struct Sender {
    pub address: SocketAddr,
    pub id: u64,
    /// Whether a message was received from the member at this address before. If not, the address may be forged: answers are no longer
    /// than the datagram, and no other datagram is sent on its account.
    pub is_known: bool,
    /// Longest answer, in bytes.
    pub max_reply_bytes: usize,
}

impl Membership {
    /// Handles a datagram that was received from an address.
    pub fn receive(
        &mut self,
        from: SocketAddr,
        datagram: &[u8],
        now: Millis,
        sink: &mut dyn ActionSink,
    ) {
        match wire::decode(&self.config.fleet, datagram) {
            Ok(Message::Gossip(message)) => {
                self.receive_gossip(from, message, datagram.len(), now, sink);
            }
            Ok(Message::Query { first_id }) => {
                self.send_page(from, first_id, datagram.len(), now, sink);
            }
            Ok(Message::Page(_)) => self.counters.count_undecodable(DecodeError::Malformed),
            Err(error) => self.counters.count_undecodable(error),
        }
    }

    fn receive_gossip(
        &mut self,
        from: SocketAddr,
        message: GossipMessage,
        bytes: usize,
        now: Millis,
        sink: &mut dyn ActionSink,
    ) {
        self.counters.count_received();
        let max_stranger_bytes = bytes.min(MAX_DATAGRAM_BYTES);
        if message.sender.name == self.local.record().name {
            return self.receive_own_name(from, &message, max_stranger_bytes, now, sink);
        }
        if self.name_ownership.is_superseded() {
            self.merge_updates(&message, now, sink);
            return;
        }
        let sender = self.identify(from, &message.sender, max_stranger_bytes);
        let newer = self.merge_updates(&message, now, sink);
        self.record_contact(sender.id, &message.sender, now, sink);
        let mut corrections = Vec::from_iter(self.correction_for(sender.id, &message.sender));
        corrections.extend(newer);
        self.answer(&sender, message, &corrections, now, sink);
    }

    /// Finds out whether a message's sender is known at its address, from before that message.
    fn identify(
        &self,
        address: SocketAddr,
        record: &MemberRecord,
        max_stranger_bytes: usize,
    ) -> Sender {
        let id = member_id(&record.name);
        let is_at_address =
            |member: &Member| member.last_contact().is_some() && member.record().address == address;
        let is_known = self.table.get(id).is_some_and(is_at_address);
        Sender {
            address,
            id,
            is_known,
            max_reply_bytes: if is_known {
                MAX_DATAGRAM_BYTES
            } else {
                max_stranger_bytes
            },
        }
    }

    /// Merges the sender's record and all updates. Returns the records of this host that are newer than what the sender
    /// sent about other members.
    fn merge_updates(
        &mut self,
        message: &GossipMessage,
        now: Millis,
        sink: &mut dyn ActionSink,
    ) -> Vec<GossipUpdate> {
        let mut newer = Vec::new();
        let sender = unsuspected(&message.sender);
        for update in std::iter::once(&sender).chain(&message.updates) {
            if update.record.name == self.local.record().name {
                self.merge_own_name(update, now, sink);
                continue;
            }
            let is_stale = self.merge_update(update, now, sink);
            if is_stale && update.record.name != message.sender.name {
                newer.extend(self.newer_than(&update.record));
            }
        }
        newer
    }

    /// Merges an update about another member. Returns whether a newer record is known.
    fn merge_update(
        &mut self,
        update: &GossipUpdate,
        now: Millis,
        sink: &mut dyn ActionSink,
    ) -> bool {
        #[cfg(feature = "mutants")]
        if self
            .config
            .is_mutant(crate::config::Mutant::AcceptStaleRecords)
        {
            self.table.drop_record(member_id(&update.record.name));
        }
        match self.table.merge(update, now) {
            MergeOutcome::Applied(change) => self.apply([change], sink),
            MergeOutcome::TableFull => self.counters.count_capacity_drop(),
            MergeOutcome::Unchanged => {}
            MergeOutcome::Stale => return true,
        }
        false
    }

    /// The newest record known of a member, where it is newer than the given one.
    fn newer_than(&self, record: &MemberRecord) -> Option<GossipUpdate> {
        let newest = self.table.newest_record(member_id(&record.name))?;
        let is_newer = newest.precedence() > record.precedence();
        is_newer.then(|| unsuspected(newest))
    }

    /// A message was received from a member itself. That ends an isolation, and clears the suspicions raised during it.
    fn record_contact(
        &mut self,
        id: u64,
        record: &MemberRecord,
        now: Millis,
        sink: &mut dyn ActionSink,
    ) {
        self.table.record_contact(id, record.precedence(), now);
        if self.isolation.on_message(now) {
            sink.notify(MembershipEvent::IsolationEnded);
            self.anti_entropy.start_now(now);
            let cleared = self.table.clear_local_suspicions(now);
            self.apply(cleared, sink);
        }
    }

    /// An update about the sender itself that goes first in the answer: that it is suspected (Lifeguard's buddy system),
    /// or that a newer record under its name is known.
    fn correction_for(&self, id: u64, sender: &MemberRecord) -> Option<GossipUpdate> {
        let Some(member) = self.table.get(id) else {
            return self.table.newest_record(id).map(unsuspected);
        };
        let is_newer = member.record().precedence() > sender.precedence();
        (member.is_accused() || is_newer).then(|| member.to_update())
    }

    /// A message of a sender under this host's own name: another process, or this host's own record reflected.
    fn receive_own_name(
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
            // A process with a lower generation checks whether this one is alive.
            GossipBody::Ping { sequence } if self.is_later_than(sender) => {
                let ack = GossipBody::Ack { sequence };
                self.send_gossip(from, ack, &[], max_reply_bytes, sink);
            }
            _ => {}
        }
        self.merge_own_name(&unsuspected(sender), now, sink);
    }

    /// The later process under this host's name is alive: this one leaves the protocol.
    fn receive_own_name_ack(&mut self, sender: &MemberRecord, sink: &mut dyn ActionSink) {
        if self.name_ownership.on_ack(sender) {
            let address = sender.address;
            sink.notify(MembershipEvent::Superseded { address });
        }
    }

    /// Whether this process takes part in the protocol and started later than another one of its name.
    fn is_later_than(&self, other: &MemberRecord) -> bool {
        other.generation < self.local.record().generation && !self.name_ownership.is_superseded()
    }

    /// An update about a process under this host's own name: refutes it, or checks whether a later process is alive.
    fn merge_own_name(&mut self, update: &GossipUpdate, now: Millis, sink: &mut dyn ActionSink) {
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
        // A record with this address, or of a process that has left or is suspected, is no other live process.
        let has_ended = record.address == self.local.record().address
            || record.lifecycle == Lifecycle::Left
            || update.suspected_by.is_some();
        if has_ended {
            self.take_over_name(record.generation, now, sink);
        } else {
            self.name_ownership.dispute(record, now);
        }
    }

    /// This process is the only one under its name: takes a generation above all known ones.
    pub(super) fn take_over_name(
        &mut self,
        past_generation: u64,
        now: Millis,
        sink: &mut dyn ActionSink,
    ) {
        self.name_ownership.settle();
        self.local.raise_generation(past_generation);
        self.publish(now, sink);
    }
}

/// A record that is passed on without a suspicion.
fn unsuspected(record: &MemberRecord) -> GossipUpdate {
    GossipUpdate {
        record: record.clone(),
        suspected_by: None,
    }
}
