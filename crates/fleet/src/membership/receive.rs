//! Received datagrams.
use super::{ActionSink, Membership};
use crate::Millis;
use crate::event::MembershipEvent;
use crate::member::{MergeOutcome, Reachability};
use crate::record::{GossipUpdate, MemberRecord, member_id};
use crate::wire::{self, DecodeError, GossipBody, GossipMessage, MAX_DATAGRAM_BYTES, Message};
use std::net::SocketAddr;

/// The sender of a message that is being handled.
struct Sender {
    address: SocketAddr,
    id: u64,
    /// Whether a message was received from the member at this address before. If not, the address may be forged: answers are no longer
    /// than the datagram, and no other datagram is sent on its account.
    is_known: bool,
    /// Longest answer, in bytes.
    max_reply_bytes: usize,
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
            Ok(Message::Page(_)) | Err(DecodeError::Malformed) => self.counters.malformed += 1,
            Err(DecodeError::OtherFleet) => self.counters.other_fleet += 1,
            Err(DecodeError::UnsupportedVersion) => self.counters.unsupported_version += 1,
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
        self.counters.received += 1;
        let max_stranger_bytes = bytes.min(MAX_DATAGRAM_BYTES);
        if message.sender.name == self.own_record.name {
            return self.receive_own_name(from, message, max_stranger_bytes, now, sink);
        }
        if self.superseded_by.is_some() {
            self.merge_updates(&message, now, sink);
            return;
        }
        let id = member_id(&message.sender.name);
        let known = self.table.get(id);
        let is_known = known.is_some_and(|m| m.last_contact.is_some() && m.record.address == from);
        let max_reply_bytes = if is_known {
            MAX_DATAGRAM_BYTES
        } else {
            max_stranger_bytes
        };
        let sender = Sender {
            address: from,
            id,
            is_known,
            max_reply_bytes,
        };

        let newer = self.merge_updates(&message, now, sink);
        self.record_contact(id, &message.sender, now, sink);
        let mut corrections = self.corrections_for(id, &message.sender);
        corrections.extend(newer);
        self.handle_body(&sender, message, &corrections, now, sink);
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
        let sender = GossipUpdate {
            record: message.sender.clone(),
            suspected_by: None,
        };
        for update in std::iter::once(&sender).chain(&message.updates) {
            let name = &update.record.name;
            #[cfg(feature = "mutants")]
            if self
                .config
                .is_mutant(crate::config::Mutant::AcceptStaleRecords)
                && *name != self.own_record.name
            {
                self.table.drop_record(member_id(name));
            }
            if *name == self.own_record.name {
                self.merge_own_name(update, now, sink);
                continue;
            }
            match self
                .table
                .merge(update, now, &mut |event| sink.notify(event))
            {
                MergeOutcome::TableFull => self.counters.capacity_drops += 1,
                MergeOutcome::Stale if *name != message.sender.name => {
                    newer.extend(self.newer_than(&update.record));
                }
                MergeOutcome::Applied | MergeOutcome::Unchanged | MergeOutcome::Stale => {}
            }
        }
        newer
    }

    /// The newest record known of a member, where it is newer than the given one.
    fn newer_than(&self, record: &MemberRecord) -> Option<GossipUpdate> {
        let newest = self.table.newest_record(member_id(&record.name))?;
        let is_newer = newest.precedence() > record.precedence();
        is_newer.then(|| GossipUpdate {
            record: newest.clone(),
            suspected_by: None,
        })
    }

    /// A message was received from a member itself. That ends an isolation, and clears the suspicions raised during it.
    fn record_contact(
        &mut self,
        id: u64,
        record: &MemberRecord,
        now: Millis,
        sink: &mut dyn ActionSink,
    ) {
        if let Some(member) = self.table.members.get_mut(&id)
            && member.record.precedence() == record.precedence()
        {
            member.last_contact = Some(now);
        }
        self.last_contact = Some(now);
        if self.isolated {
            self.isolated = false;
            sink.notify(MembershipEvent::IsolationEnded);
            self.next_anti_entropy = now;
            self.table
                .clear_local_suspicions(now, &mut |event| sink.notify(event));
        }
    }

    /// Updates about the sender itself that go first in the answer: that it is suspected (Lifeguard's buddy system), or that a newer record
    /// under its name is known.
    fn corrections_for(&self, id: u64, sender: &MemberRecord) -> Vec<GossipUpdate> {
        let Some(member) = self.table.get(id) else {
            let newest = self.table.newest_record(id);
            return newest
                .map(|record| GossipUpdate {
                    record: record.clone(),
                    suspected_by: None,
                })
                .into_iter()
                .collect();
        };
        let is_accused = member.reachability != Reachability::Reachable;
        if is_accused || member.record.precedence() > sender.precedence() {
            return vec![member.to_update()];
        }
        Vec::new()
    }

    fn handle_body(
        &mut self,
        sender: &Sender,
        message: GossipMessage,
        corrections: &[GossipUpdate],
        now: Millis,
        sink: &mut dyn ActionSink,
    ) {
        match message.body {
            GossipBody::Ping { sequence } => {
                let ack = GossipBody::Ack { sequence };
                self.send(
                    sender.address,
                    ack,
                    corrections,
                    sender.max_reply_bytes,
                    sink,
                );
            }
            GossipBody::Ack { sequence } => self.receive_ack(sender.id, sequence, sink),
            GossipBody::PingRequest {
                sequence,
                target_id,
                target_address,
            } if sender.is_known => {
                self.ping_for(
                    sender.address,
                    sequence,
                    target_id,
                    target_address,
                    now,
                    sink,
                );
            }
            GossipBody::PingRequestResult {
                sequence,
                acknowledged,
            } => {
                self.receive_indirect_result(sequence, acknowledged);
            }
            GossipBody::RangeDigests(digests) => {
                self.compare_digests(sender.address, sender.is_known, &digests, now, sink);
            }
            GossipBody::RangeRecords {
                ranges,
                reply_wanted: true,
            } if sender.is_known => {
                self.send_newer_records(sender.address, &ranges, &message.updates, sink);
            }
            // The sender may still have records of members that left, which other members have only as tombstones.
            GossipBody::RangeRecords { .. } | GossipBody::UpdatesOnly
                if sender.is_known && !corrections.is_empty() =>
            {
                self.send(
                    sender.address,
                    GossipBody::UpdatesOnly,
                    corrections,
                    MAX_DATAGRAM_BYTES,
                    sink,
                );
            }
            GossipBody::PingRequest { .. }
            | GossipBody::RangeRecords { .. }
            | GossipBody::UpdatesOnly => {}
        }
    }
}
