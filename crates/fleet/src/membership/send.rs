//! Datagrams to be sent, and the gossip that is piggybacked on them (SWIM, section 4.1).
use super::{ActionSink, Membership};
use crate::record::GossipUpdate;
use crate::wire::{GossipBody, GossipMessage, GossipUpdates, MAX_DATAGRAM_BYTES, Message};
use std::net::SocketAddr;

/// Shortest ping, in bytes. A ping is padded to it so that the ack, which is no longer than its ping where the pinged
/// member does not know the sender, has room for two updates (130 bytes each at most).
const MIN_PING_BYTES: usize = 288;
/// Shortest ping to an address where no member is known.
const MIN_FIRST_PING_BYTES: usize = 512;

/// Collects the updates that fit into a datagram.
struct UpdatePacker {
    updates: GossipUpdates,
    bytes: usize,
    max_bytes: usize,
}

impl UpdatePacker {
    /// Adds an update if it fits in. A second update about the same member is left out, and counts as added.
    fn add(&mut self, update: &GossipUpdate) -> bool {
        let size = postcard::to_slice(update, &mut [0; MAX_DATAGRAM_BYTES])
            .map_or(MAX_DATAGRAM_BYTES, |encoded| encoded.len());
        let fits = self.bytes + size <= self.max_bytes;
        if !fits
            || self
                .updates
                .iter()
                .any(|other| other.record.name == update.record.name)
        {
            return fits;
        }
        self.bytes += size;
        self.updates.push(update.clone()).is_ok()
    }
}

impl Membership {
    /// Sends a message of at most `max_bytes`, filled up with gossip: the updates of `first`, then the queued ones that
    /// were sent least often. A message that is longer than that without gossip is not sent.
    pub(super) fn send(
        &mut self,
        to: SocketAddr,
        body: GossipBody,
        first: &[GossipUpdate],
        max_bytes: usize,
        sink: &mut dyn ActionSink,
    ) {
        let min_bytes = if matches!(body, GossipBody::Ping { .. }) {
            MIN_PING_BYTES
        } else {
            0
        };
        let mut message = GossipMessage {
            sender: self.own_record.clone(),
            body,
            updates: GossipUpdates::new(),
        };
        let mut buffer = [0; MAX_DATAGRAM_BYTES];
        let bare_bytes = self
            .config
            .encode(&Message::Gossip(message.clone()), &mut buffer);
        let Some(bytes) = bare_bytes.filter(|bytes| *bytes <= max_bytes) else {
            return;
        };

        let mut packer = UpdatePacker {
            updates: GossipUpdates::new(),
            bytes,
            max_bytes,
        };
        for update in first {
            packer.add(update);
        }
        let max_transmissions = self.config.max_transmissions(self.table.members.len());
        self.table
            .take_gossip(max_transmissions, |update| packer.add(update));

        message.updates = packer.updates;
        if let Some(len) = self.config.encode(&Message::Gossip(message), &mut buffer) {
            self.send_padded(to, &mut buffer, len, min_bytes, sink);
        }
    }

    /// Pings an address where no member is known, without gossip.
    pub(super) fn send_first_ping(&mut self, to: SocketAddr, sink: &mut dyn ActionSink) {
        let body = GossipBody::Ping {
            sequence: self.next_sequence(),
        };
        let message = GossipMessage {
            sender: self.own_record.clone(),
            body,
            updates: GossipUpdates::new(),
        };
        let mut buffer = [0; MAX_DATAGRAM_BYTES];
        if let Some(len) = self.config.encode(&Message::Gossip(message), &mut buffer) {
            self.send_padded(to, &mut buffer, len, MIN_FIRST_PING_BYTES, sink);
        }
    }

    /// Sends the first `len` bytes of a buffer, padded with zeros to `min_bytes`.
    pub(super) fn send_padded(
        &mut self,
        to: SocketAddr,
        buffer: &mut [u8; MAX_DATAGRAM_BYTES],
        len: usize,
        min_bytes: usize,
        sink: &mut dyn ActionSink,
    ) {
        let padded = len.max(min_bytes);
        buffer[len..padded].fill(0);
        self.counters.sent += 1;
        self.counters.bytes_sent += padded as u64;
        sink.send(to, &buffer[..padded]);
    }
}
