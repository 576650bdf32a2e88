//! The choice of the node that a block I/O is queued for.
use super::super::node::ExpectedWait;
use super::super::request::Request;
use super::Scheduler;
use crate::interface::{BioId, Host, NodeId, Tick};

/// Two nodes that may run a block I/O; both are the same if only one may.
struct NodePair {
    first: NodeId,
    second: NodeId,
}

impl Scheduler {
    /// Queues a block I/O for a node and returns the node, or answers the block I/O if no node may run it. Of two nodes
    /// drawn at random, the one with the shorter expected wait is chosen. A shard usually has one node, but two while a
    /// rolling release starts the replacement.
    pub(super) fn enqueue_or_give_up(
        &mut self,
        host: &mut dyn Host,
        now: Tick,
        id: BioId,
    ) -> Option<NodeId> {
        let request = self.requests[id];
        let Some(pair) = self.draw_nodes(now, &request) else {
            self.give_up(host, now, id);
            return None;
        };
        let first_wait = self.expected_wait(now, pair.first, &request);
        let second_wait = self.expected_wait(now, pair.second, &request);
        let chosen = if first_wait <= second_wait {
            pair.first
        } else {
            pair.second
        };
        self.enqueue(id, chosen);
        Some(chosen)
    }

    /// Draws two nodes that may run a block I/O, or returns `None` if there is none.
    fn draw_nodes(&self, now: Tick, request: &Request) -> Option<NodePair> {
        let count = self.candidates(now, request).count();
        let others = count.checked_sub(1)?;
        let first = self.rng.below(count as u64) as usize;
        let second = (first + 1 + self.rng.below(others as u64) as usize) % count;
        Some(NodePair {
            first: self.candidates(now, request).nth(first)?,
            second: self.candidates(now, request).nth(second)?,
        })
    }

    /// Returns the nodes that may run a block I/O.
    fn candidates(&self, now: Tick, request: &Request) -> impl Iterator<Item = NodeId> {
        let shard = request.bio().shard;
        let nodes = self.nodes.iter();
        let nodes = nodes.filter(move |(_, node)| node.serves(shard));
        let nodes = nodes.filter(move |(_, node)| self.may_run_at(now, request, node));
        nodes.map(|(id, _)| id)
    }

    /// Returns how long a block I/O is expected to wait at a node. The node of the latest attempt is avoided.
    fn expected_wait(&mut self, now: Tick, id: NodeId, request: &Request) -> ExpectedWait {
        let node = &mut self.nodes[id];
        let capacity = node.slow_start_capacity(now, &self.slow_start, &self.rng);
        if request.node() == Some(id) {
            return ExpectedWait::LastResort;
        }
        let units = request.bio().units;
        node.expected_wait(now, capacity.as_ref(), units, &self.node_limits)
    }

    /// Queues a block I/O for a node, and sets a timer for the end of its time in the queue.
    fn enqueue(&mut self, id: BioId, node_id: NodeId) {
        let request = &mut self.requests[id];
        request.queue_for(node_id);
        self.request_timers.push(request.queued_until(), id);
        let bio = request.bio();
        let base = self.rate_limiter.base_of_plan(bio);
        let node = &mut self.nodes[node_id];
        node.budget_mut().open_allocation(bio.volume, base);
        node.queue_mut().push(id);
    }
}
