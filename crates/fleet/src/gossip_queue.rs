//! Queue of updates that are piggybacked on datagrams to other members (SWIM, section 4.1).
#[cfg(test)]
mod tests;

use std::collections::BTreeMap;

/// Queued updates from which on further datagrams are sent each period: about two datagrams full.
const BACKLOG: usize = 16;

/// Members whose update is to be gossiped, and how often it was sent.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct GossipQueue {
    transmissions: BTreeMap<u64, u32>,
}

impl GossipQueue {
    /// Queues a member's update; one that is queued already is sent as often again.
    pub fn enqueue(&mut self, id: u64) {
        self.transmissions.insert(id, 0);
    }

    /// Takes a member's update out of the queue.
    pub fn withdraw(&mut self, id: u64) {
        self.transmissions.remove(&id);
    }

    /// Whether more updates are queued than pings and acks carry in time.
    pub fn has_backlog(&self) -> bool {
        self.transmissions.len() > BACKLOG
    }

    /// Drops updates that were sent `max_transmissions` times; returns the rest, the least often sent ones first.
    pub fn least_sent_first(&mut self, max_transmissions: u32) -> Vec<u64> {
        self.transmissions
            .retain(|_, count| *count < max_transmissions);
        let mut order: Vec<(u32, u64)> = self
            .transmissions
            .iter()
            .map(|(id, count)| (*count, *id))
            .collect();
        order.sort_unstable();
        order.into_iter().map(|(_, id)| id).collect()
    }

    /// A member's update was sent once more.
    pub fn count_transmission(&mut self, id: u64) {
        *self.transmissions.entry(id).or_default() += 1;
    }
}
