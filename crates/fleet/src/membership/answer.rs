//! Answers to each kind of message, after its updates were merged.
use super::{ActionSink, Membership};
use crate::Millis;
use crate::member::Member;
use crate::membership_page;
use crate::membership_table::{IdRanges, RECORDS_PER_DATAGRAM, RangeDigests};
use crate::record::GossipUpdate;
use crate::wire::{
    self, GossipBody, GossipMessage, GossipUpdates, MAX_DATAGRAM_BYTES, MembershipPage, Message,
};
use std::net::SocketAddr;

/// Maximum number of datagrams of records in one reply to a comparison.
const MAX_REPLY_DATAGRAMS: usize = 4;

/// Sender of a message that is being handled.
pub(super) struct Sender {
    pub address: SocketAddr,
    pub id: u64,
    /// Whether this host has received a message from the member at this address before. If not, the address may be
    /// forged: an answer is then no longer than the datagram, and the datagram causes no others to be sent.
    pub is_known: bool,
    /// Maximum size of an answer, in bytes.
    pub max_reply_bytes: usize,
}

/// Request of a member that this host ping another member.
struct PingRequest {
    requester: SocketAddr,
    sequence: u32,
    target_id: u64,
    target_address: SocketAddr,
}

impl Membership {
    /// Answers a message. `corrections`: updates that the sender lacks.
    pub(super) fn answer(
        &mut self,
        sender: &Sender,
        message: GossipMessage,
        corrections: &[GossipUpdate],
        now: Millis,
        sink: &mut dyn ActionSink,
    ) {
        let GossipMessage { body, updates, .. } = message;
        match body {
            GossipBody::Ping { sequence } => {
                let ack = GossipBody::Ack { sequence };
                let max_bytes = sender.max_reply_bytes;
                self.send_gossip(sender.address, ack, corrections, max_bytes, sink);
            }
            GossipBody::Ack { sequence } => self.receive_ack(sender.id, sequence, sink),
            GossipBody::PingRequestResult {
                sequence,
                acknowledged,
            } => self
                .failure_detector
                .on_indirect_result(sequence, acknowledged),
            GossipBody::RangeDigests(digests) => {
                self.receive_digests(sender, &digests, now, sink);
            }
            body if sender.is_known => {
                self.answer_known_sender(sender.address, body, &updates, corrections, now, sink);
            }
            // These messages are ignored from an unknown sender, whose address may be forged.
            GossipBody::PingRequest { .. }
            | GossipBody::RangeRecords { .. }
            | GossipBody::UpdatesOnly => {}
        }
    }

    /// Answers a message that is only answered if its sender is known.
    fn answer_known_sender(
        &mut self,
        from: SocketAddr,
        body: GossipBody,
        theirs: &GossipUpdates,
        corrections: &[GossipUpdate],
        now: Millis,
        sink: &mut dyn ActionSink,
    ) {
        match body {
            GossipBody::PingRequest {
                sequence,
                target_id,
                target_address,
            } => {
                let request = PingRequest {
                    requester: from,
                    sequence,
                    target_id,
                    target_address,
                };
                self.ping_on_behalf(&request, now, sink);
            }
            GossipBody::RangeRecords {
                ranges,
                reply_wanted: true,
            } => self.send_newer_records(from, &ranges, theirs, sink),
            GossipBody::RangeRecords { .. } | GossipBody::UpdatesOnly => {
                self.send_corrections(from, corrections, sink);
            }
            // These messages are also answered if their sender is unknown, by the caller.
            GossipBody::Ping { .. }
            | GossipBody::Ack { .. }
            | GossipBody::PingRequestResult { .. }
            | GossipBody::RangeDigests(_) => {}
        }
    }

    /// Handles an ack of this host's own ping, or of one that it sent on behalf of another member.
    fn receive_ack(&mut self, sender_id: u64, sequence: u32, sink: &mut dyn ActionSink) {
        if let Some(ping) = self.indirect_pings.take_answered(sequence) {
            self.report_indirect_ping(&ping, true, sink);
        }
        self.failure_detector.on_ack(sender_id, sequence);
    }

    /// Pings a member on behalf of another one.
    fn ping_on_behalf(&mut self, request: &PingRequest, now: Millis, sink: &mut dyn ActionSink) {
        if self.indirect_pings.is_full() {
            self.counters.count_capacity_drop();
            return;
        }
        let sequence = self.sequence_numbers.next();
        self.indirect_pings
            .add(sequence, request.requester, request.sequence, now);
        // A suspected member learns of the suspicion from the ping, and can refute it.
        let known = self.table.get(request.target_id).map(Member::to_update);
        let ping = GossipBody::Ping { sequence };
        self.send_gossip(
            request.target_address,
            ping,
            known.as_slice(),
            MAX_DATAGRAM_BYTES,
            sink,
        );
    }

    /// Answers another member's digests of ranges that differ: with digests of smaller ranges where a range has many
    /// members, with records where it has few, and with no digests at all if the tables are equal. Receiving no digests
    /// at all ends this host's joining.
    fn receive_digests(
        &mut self,
        sender: &Sender,
        digests: &RangeDigests,
        now: Millis,
        sink: &mut dyn ActionSink,
    ) {
        if digests.is_empty() {
            if self.local.is_joining() {
                self.become_alive(now, sink);
            }
        } else if self.anti_entropy.admit_reply(sender.is_known, now) {
            self.answer_digests(sender.address, digests, sink);
        }
    }

    fn answer_digests(
        &mut self,
        to: SocketAddr,
        digests: &RangeDigests,
        sink: &mut dyn ActionSink,
    ) {
        let comparison = self.table.compare(digests);
        if !comparison.split.is_empty() || comparison.exchanged.is_empty() {
            self.send(to, GossipBody::RangeDigests(comparison.split), sink);
        }
        if !comparison.exchanged.is_empty() {
            let updates: Vec<GossipUpdate> = self.table.updates_in(&comparison.exchanged).collect();
            let body = GossipBody::RangeRecords {
                ranges: comparison.exchanged,
                reply_wanted: true,
            };
            self.send_records(to, body, &updates, sink);
        }
    }

    /// Sends this host's records in `ranges` that are newer than `theirs`, those of the other member.
    fn send_newer_records(
        &mut self,
        to: SocketAddr,
        ranges: &IdRanges,
        theirs: &GossipUpdates,
        sink: &mut dyn ActionSink,
    ) {
        let newer: Vec<GossipUpdate> = self
            .table
            .updates_unknown_to(ranges, theirs)
            .take(MAX_REPLY_DATAGRAMS * RECORDS_PER_DATAGRAM)
            .collect();
        if !newer.is_empty() {
            self.send_records(to, GossipBody::UpdatesOnly, &newer, sink);
        }
    }

    /// Sends records in up to [`MAX_REPLY_DATAGRAMS`] datagrams, the first of which has `body`. Further records are
    /// sent after the next comparison.
    fn send_records(
        &mut self,
        to: SocketAddr,
        body: GossipBody,
        updates: &[GossipUpdate],
        sink: &mut dyn ActionSink,
    ) {
        let mut pages = updates.chunks(RECORDS_PER_DATAGRAM);
        let first = pages.next().unwrap_or_default();
        self.send_gossip(to, body, first, MAX_DATAGRAM_BYTES, sink);
        for page in pages.take(MAX_REPLY_DATAGRAMS - 1) {
            let body = GossipBody::UpdatesOnly;
            self.send_gossip(to, body, page, MAX_DATAGRAM_BYTES, sink);
        }
    }

    /// Sends updates that the sender of a message lacks. It may still have records of members that left, of which other
    /// members have only tombstones.
    fn send_corrections(
        &mut self,
        to: SocketAddr,
        corrections: &[GossipUpdate],
        sink: &mut dyn ActionSink,
    ) {
        if !corrections.is_empty() {
            let body = GossipBody::UpdatesOnly;
            self.send_gossip(to, body, corrections, MAX_DATAGRAM_BYTES, sink);
        }
    }

    /// Answers a query from a program that is no member, with the members from `first_id` on that fit into `max_bytes`,
    /// the size of the query.
    pub(super) fn send_page(
        &mut self,
        to: SocketAddr,
        first_id: u64,
        max_bytes: usize,
        now: Millis,
        sink: &mut dyn ActionSink,
    ) {
        let members = self.table.members_from(first_id);
        let page = membership_page::fill(
            self.empty_page(),
            &self.config.fleet,
            members,
            max_bytes,
            now,
        );
        let mut buffer = [0; MAX_DATAGRAM_BYTES];
        let bytes = wire::encode(&self.config.fleet, &Message::Page(page), &mut buffer);
        if let Some(bytes) = bytes.filter(|bytes| bytes.len() <= max_bytes) {
            self.counters.count_sent(bytes.len());
            sink.send(to, bytes);
        }
    }

    fn empty_page(&self) -> MembershipPage {
        MembershipPage {
            host: self.local.record().name.clone(),
            isolated: self.isolation.is_isolated(),
            superseded: self.name_ownership.is_superseded(),
            digest: self.digest(),
            members: heapless::Vec::new(),
            next_id: None,
        }
    }
}
