//! Sending of datagrams.
use super::{ActionSink, Membership};
use crate::gossip_datagram::GossipDatagram;
use crate::record::GossipUpdate;
use crate::wire::{GossipBody, MAX_DATAGRAM_BYTES};
use std::net::SocketAddr;

impl Membership {
    /// Sends a message with as many queued updates as fit.
    pub(super) fn send(&mut self, to: SocketAddr, body: GossipBody, sink: &mut dyn ActionSink) {
        self.send_gossip(to, body, &[], MAX_DATAGRAM_BYTES, sink);
    }

    /// Sends a message of at most `max_bytes` with as many updates as fit: those of `first`, then the queued ones with
    /// the fewest transmissions. Does not send a message that is longer than `max_bytes` without updates.
    pub(super) fn send_gossip(
        &mut self,
        to: SocketAddr,
        body: GossipBody,
        first: &[GossipUpdate],
        max_bytes: usize,
        sink: &mut dyn ActionSink,
    ) {
        let sender = self.local.record();
        let Some(mut datagram) = GossipDatagram::new(&self.config.fleet, sender, body, max_bytes)
        else {
            return;
        };
        for update in first {
            datagram.add(update);
        }
        self.add_queued_gossip(&mut datagram);
        self.send_datagram(to, datagram, sink);
    }

    /// Adds queued updates to a datagram, those with the fewest transmissions first (SWIM, section 4.1), until one does
    /// not fit.
    fn add_queued_gossip(&mut self, datagram: &mut GossipDatagram) {
        let max_transmissions = self.config.max_transmissions(self.table.len());
        for id in self.gossip_queue.least_sent_first(max_transmissions) {
            let Some(member) = self.table.get(id) else {
                continue;
            };
            if !datagram.add(&member.to_update()) {
                return;
            }
            self.gossip_queue.count_transmission(id);
        }
    }

    /// Pings a member. If the member is suspected, the datagram carries that suspicion first, so that the member can
    /// refute it (Lifeguard's buddy system).
    pub(super) fn ping(&mut self, id: u64, sequence: u32, sink: &mut dyn ActionSink) {
        let Some(member) = self.table.get(id) else {
            return;
        };
        let address = member.record().address;
        let update = Some(member.to_update());
        let suspicion = update.filter(|update| update.suspected_by.is_some());
        let ping = GossipBody::Ping { sequence };
        self.send_gossip(
            address,
            ping,
            suspicion.as_slice(),
            MAX_DATAGRAM_BYTES,
            sink,
        );
    }

    /// Pings an address at which no member is known. The ping carries no gossip.
    pub(super) fn send_first_ping(&mut self, to: SocketAddr, sink: &mut dyn ActionSink) {
        let sequence = self.sequence_numbers.next();
        let sender = self.local.record();
        let datagram = GossipDatagram::first_ping(&self.config.fleet, sender, sequence);
        if let Some(datagram) = datagram {
            self.send_datagram(to, datagram, sink);
        }
    }

    fn send_datagram(
        &mut self,
        to: SocketAddr,
        datagram: GossipDatagram,
        sink: &mut dyn ActionSink,
    ) {
        let mut buffer = [0; MAX_DATAGRAM_BYTES];
        let bytes = datagram.encode(&self.config.fleet, &mut buffer);
        if let Some(bytes) = bytes.and_then(|len| buffer.get(..len)) {
            self.counters.count_sent(bytes.len());
            sink.send(to, bytes);
        }
    }
}
