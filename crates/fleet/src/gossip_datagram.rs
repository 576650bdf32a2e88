//! A datagram to be sent to another member, and the gossip that is piggybacked on it (SWIM, section 4.1).
#[cfg(test)]
mod tests;

use crate::record::{GossipUpdate, MemberRecord};
use crate::wire::{self, GossipBody, GossipMessage, GossipUpdates, MAX_DATAGRAM_BYTES, Message};

/// Shortest ping, in bytes. A ping is padded to it so that the ack, which is no longer than its ping where the pinged
/// member does not know the sender, has room for two updates (130 bytes each at most).
const MIN_PING_BYTES: usize = 288;
/// Shortest ping to an address where no member is known.
const MIN_FIRST_PING_BYTES: usize = 512;

/// Collects the updates that fit into a datagram.
pub(crate) struct GossipDatagram {
    message: GossipMessage,
    /// Length without padding.
    bytes: usize,
    min_bytes: usize,
    max_bytes: usize,
}

impl GossipDatagram {
    /// A message without updates. `None`: it is longer than `max_bytes` even so.
    pub fn new(
        fleet: &str,
        sender: &MemberRecord,
        body: GossipBody,
        max_bytes: usize,
    ) -> Option<Self> {
        let min_bytes = if matches!(body, GossipBody::Ping { .. }) {
            MIN_PING_BYTES
        } else {
            0
        };
        let message = GossipMessage {
            sender: sender.clone(),
            body,
            updates: GossipUpdates::new(),
        };
        let mut buffer = [0; MAX_DATAGRAM_BYTES];
        let bytes = wire::encode(fleet, &Message::Gossip(message.clone()), &mut buffer)?.len();
        (bytes <= max_bytes).then_some(GossipDatagram {
            message,
            bytes,
            min_bytes,
            max_bytes,
        })
    }

    /// A ping to an address where no member is known.
    pub fn first_ping(fleet: &str, sender: &MemberRecord, sequence: u32) -> Option<Self> {
        let ping = GossipBody::Ping { sequence };
        let datagram = GossipDatagram::new(fleet, sender, ping, MAX_DATAGRAM_BYTES)?;
        Some(GossipDatagram {
            min_bytes: MIN_FIRST_PING_BYTES,
            ..datagram
        })
    }

    /// Adds an update if it fits in. A second update about the same member is left out, and counts as added.
    pub fn add(&mut self, update: &GossipUpdate) -> bool {
        let size = postcard::to_slice(update, &mut [0; MAX_DATAGRAM_BYTES])
            .map_or(MAX_DATAGRAM_BYTES, |encoded| encoded.len());
        if self.bytes + size > self.max_bytes {
            return false;
        }
        if self.has_update_about(&update.record.name) {
            return true;
        }
        self.bytes += size;
        self.message.updates.push(update.clone()).is_ok()
    }

    /// Encodes the datagram with its padding of zeros.
    pub fn encode(self, fleet: &str, buffer: &mut [u8; MAX_DATAGRAM_BYTES]) -> Option<usize> {
        buffer.fill(0);
        let bytes = wire::encode(fleet, &Message::Gossip(self.message), buffer)?.len();
        Some(bytes.max(self.min_bytes))
    }

    fn has_update_about(&self, name: &str) -> bool {
        let mut updates = self.message.updates.iter();
        updates.any(|other| other.record.name == name)
    }
}
