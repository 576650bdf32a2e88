//! Handling of received datagrams.
use super::answer::Sender;
use super::{ActionSink, Membership};
use crate::Millis;
use crate::event::MembershipEvent;
use crate::member::Member;
use crate::membership_table::MergeOutcome;
use crate::record::{GossipUpdate, MemberRecord, member_id};
use crate::wire::{self, DecodeError, GossipMessage, MAX_DATAGRAM_BYTES, Message};
use std::net::SocketAddr;

impl Membership {
    /// Handles a datagram that was received from the address `from`.
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
        let max_unknown_sender_bytes = bytes.min(MAX_DATAGRAM_BYTES);
        if message.sender.name == self.local.record().name {
            return self.receive_own_name(from, &message, max_unknown_sender_bytes, now, sink);
        }
        if self.name_ownership.is_superseded() {
            self.merge_updates(&message, now, sink);
            return;
        }
        let sender = self.identify(from, &message.sender, max_unknown_sender_bytes);
        let newer = self.merge_updates(&message, now, sink);
        self.record_contact(sender.id, &message.sender, now, sink);
        let mut corrections = Vec::from_iter(self.correction_for(sender.id, &message.sender));
        corrections.extend(newer);
        self.answer(&sender, message, &corrections, now, sink);
    }

    /// Identifies the sender of a message, and whether this host had received a message from it at this address before.
    fn identify(
        &self,
        address: SocketAddr,
        record: &MemberRecord,
        max_unknown_sender_bytes: usize,
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
                max_unknown_sender_bytes
            },
        }
    }

    /// Merges the sender's record and all updates of a message. Returns the records of this host that are newer than
    /// those that the sender sent about other members.
    fn merge_updates(
        &mut self,
        message: &GossipMessage,
        now: Millis,
        sink: &mut dyn ActionSink,
    ) -> Vec<GossipUpdate> {
        let mut newer = Vec::new();
        let sender = GossipUpdate::unsuspected(&message.sender);
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

    /// Merges an update about another member. Returns whether the update is stale.
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
            MergeOutcome::Applied(change) => self.report_and_gossip([change], sink),
            MergeOutcome::TableFull => self.counters.count_capacity_drop(),
            MergeOutcome::Unchanged => {}
            MergeOutcome::Stale => return true,
        }
        false
    }

    /// Returns the newest known record of a record's member, if it is newer than that record.
    fn newer_than(&self, record: &MemberRecord) -> Option<GossipUpdate> {
        let newest = self.table.newest_record(member_id(&record.name))?;
        let is_newer = newest.precedence() > record.precedence();
        is_newer.then(|| GossipUpdate::unsuspected(newest))
    }

    /// Records a message from a member itself. It ends an isolation, and clears the suspicions raised during it.
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
            self.report_and_gossip(cleared, sink);
        }
    }

    /// Returns the update about a message's sender itself that the answer carries first, if there is one: that the
    /// sender is suspected (Lifeguard's buddy system), or that a newer record under its name is known.
    fn correction_for(&self, id: u64, sender: &MemberRecord) -> Option<GossipUpdate> {
        let Some(member) = self.table.get(id) else {
            return self.table.newest_record(id).map(GossipUpdate::unsuspected);
        };
        let is_newer = member.record().precedence() > sender.precedence();
        (member.is_accused() || is_newer).then(|| member.to_update())
    }
}
