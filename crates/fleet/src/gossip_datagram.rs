//! Datagrams to other members, with the gossip that is piggybacked on them (SWIM, section 4.1).
#[cfg(test)]
mod tests;

use crate::record::{GossipUpdate, MemberRecord};
use crate::wire::{self, GossipBody, GossipMessage, GossipUpdates, MAX_DATAGRAM_BYTES, Message};

/// Minimum size of a ping, in bytes. Pings are padded to it because an ack to an unknown sender is no longer than the
/// ping: so the ack has room for two updates of up to 130 bytes each.
const MIN_PING_BYTES: usize = 288;
/// Minimum size of a ping to an address at which no member is known, in bytes.
const MIN_FIRST_PING_BYTES: usize = 512;

/// Datagram under construction, with the updates that fit into it.
pub(crate) struct GossipDatagram {
    message: GossipMessage,
    /// Encoded size without padding, in bytes.
    bytes: usize,
    min_bytes: usize,
    max_bytes: usize,
}

impl GossipDatagram {
    /// Creates a datagram without updates. Returns `None` if it would already be longer than `max_bytes`.
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

    /// Creates a ping to an address at which no member is known.
    pub fn first_ping(fleet: &str, sender: &MemberRecord, sequence: u32) -> Option<Self> {
        let ping = GossipBody::Ping { sequence };
        let datagram = GossipDatagram::new(fleet, sender, ping, MAX_DATAGRAM_BYTES)?;
        Some(GossipDatagram {
            min_bytes: MIN_FIRST_PING_BYTES,
            ..datagram
        })
    }

    /// Adds an update if it fits. Returns whether it does. A second update about the same member is omitted, but counts
    /// as added.
    pub fn add(&mut self, update: &GossipUpdate) -> bool {
        let update_bytes = postcard::to_slice(update, &mut [0; MAX_DATAGRAM_BYTES])
            .map_or(MAX_DATAGRAM_BYTES, |encoded| encoded.len());
        if self.bytes + update_bytes > self.max_bytes {
            return false;
        }
        if self.has_update_about(&update.record.name) {
            return true;
        }
        self.bytes += update_bytes;
        self.message.updates.push(update.clone()).is_ok()
    }

    /// Encodes the datagram with its padding of zeros. Returns its length, or `None` if it cannot be encoded.
    pub fn encode(self, fleet: &str, buffer: &mut [u8; MAX_DATAGRAM_BYTES]) -> Option<usize> {
        buffer.fill(0);
        let bytes = wire::encode(fleet, &Message::Gossip(self.message), buffer)?.len();
        Some(bytes.max(self.min_bytes))
    }

    fn has_update_about(&self, name: &str) -> bool {
        let mut updates = self.message.updates.iter();
        updates.any(|update| update.record.name == name)
    }
}
