//! Which node a block I/O is queued for.
use super::constants::ALLOCATION_INTERVAL;
use crate::interface::{BioId, Host, NodeId, Tick};
use crate::state::{Allocation, Node, Request, Scheduler};

const LONG_PAUSE: f64 = 0.25; // fraction of shortest_objective: a node paused for longer is chosen last

impl Scheduler {
    /// Queues a block I/O for a node, or answers it if there is none. Of two drawn at random it is the one
    /// with the shorter wait: a shard has one node, but while a release brings up the next one, both serve.
    pub(super) fn place(&mut self, host: &mut dyn Host, now: Tick, id: BioId) -> Option<NodeId> {
        let Some((first, second)) = self.draw_nodes(now, id) else {
            self.give_up(host, now, id);
            return None;
        };
        let request = self.requests[id.0];
        let waits = [first, second].map(|node| self.expected_wait(now, node, &request));
        let chosen = if waits[0] <= waits[1] { first } else { second };
        self.enqueue(id, chosen);
        Some(chosen)
    }

    /// Two nodes that may run a block I/O; both are the same if there is only one.
    fn draw_nodes(&mut self, now: Tick, id: BioId) -> Option<(NodeId, NodeId)> {
        let request = &self.requests[id.0];
        let holds =
            |node: &Node| node.active && request.bio.shard.is_none_or(|shard| node.shard == shard);
        let fits = |(_, node): &(u32, &Node)| holds(node) && self.may_run_at(request, now, node);
        let count = self.nodes.iter().filter(fits).count();
        let others = count.checked_sub(1)?;
        let first = self.rng.below(count as u64) as usize;
        let second = (first + 1 + self.rng.below(others as u64) as usize) % count;
        let nth = |position| {
            self.nodes
                .iter()
                .filter(fits)
                .nth(position)
                .map(|(index, _)| NodeId(index))
        };
        nth(first).zip(nth(second))
    }

    /// How long a block I/O may wait at a node, by this host's counts. An unanswered attempt makes it as slow
    /// as that is old; the last one tried and one whose slow start is used up come after any other.
    fn expected_wait(&mut self, now: Tick, id: NodeId, request: &Request) -> f64 {
        let capacity = self.slow_start_capacity(now, id).left;
        let node = &self.nodes[id.0];
        let long_paused = node.paused_until > now + (self.shortest_objective * LONG_PAUSE) as Tick;
        if request.node == Some(id) || capacity < request.bio.units || long_paused {
            return f64::MAX;
        }
        let oldest = node.in_flight.first().map_or(0, |a| now - a.sent_at) as f64;
        let ahead = (node.in_flight.len() + node.queue.len() + 1) as f64;
        let work = ahead
            * f64::from(node.consecutive_failures + 1)
            * (node.mean_latency.max(oldest) + 1.0);
        work / node.concurrency_window
    }

    /// Each time a block I/O is queued, a timer is set for the end of its time in the queue.
    fn enqueue(&mut self, id: BioId, node_id: NodeId) {
        let request = &mut self.requests[id.0];
        request.node = Some(node_id);
        let bio = request.bio;
        self.timers.push(request.queued_until(), id);
        let reserved = self.plans[bio.plan as usize].reserved;
        let base = reserved * ALLOCATION_INTERVAL as f64 / self.volumes[bio.volume.0].hosts;
        let node = &mut self.nodes[node_id.0];
        if !node.allocations.iter().any(|a| a.volume == bio.volume) {
            let (volume, balance, history) = (bio.volume, base, base);
            node.allocations.push(Allocation {
                volume,
                balance,
                history,
                ..Allocation::default()
            });
        }
        node.queue.push(id);
    }
}
