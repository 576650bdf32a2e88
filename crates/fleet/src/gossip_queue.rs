//! Queue of updates to be piggybacked on datagrams to other members (SWIM, section 4.1).
#[cfg(test)]
mod tests;

use std::collections::BTreeMap;

/// Maximum number of queued updates that does not count as a backlog: about as many as two datagrams hold. While there
/// is a backlog, further datagrams are sent in each protocol period.
const BACKLOG_THRESHOLD: usize = 16;

/// Members whose updates are to be gossiped, with the number of transmissions of each update so far.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct GossipQueue {
    transmissions: BTreeMap<u64, u32>,
}

impl GossipQueue {
    /// Queues a member's update. If it is queued already, its number of transmissions restarts from zero.
    pub fn enqueue(&mut self, id: u64) {
        self.transmissions.insert(id, 0);
    }

    /// Removes a member's update from the queue.
    pub fn withdraw(&mut self, id: u64) {
        self.transmissions.remove(&id);
    }

    /// Returns whether more updates are queued than pings and acks can carry in time.
    pub fn has_backlog(&self) -> bool {
        self.transmissions.len() > BACKLOG_THRESHOLD
    }

    /// Drops updates that were sent `max_transmissions` times. Returns the ids of the members whose updates remain,
    /// those with the fewest transmissions first.
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

    /// Counts a transmission of a member's update.
    pub fn count_transmission(&mut self, id: u64) {
        *self.transmissions.entry(id).or_default() += 1;
    }
}
