//! Queue of sockets that may have more data to read.
use crate::client_connections::ClientId;
use crate::node_connections::NodeIndex;
use std::collections::VecDeque;

/// A socket that may have more data to read after its turn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PendingRead {
    Catalog,
    Client(ClientId),
    Node(NodeIndex),
}

/// Queue of the sockets to read from again, in the order of their turns.
#[derive(Default)]
pub(super) struct PendingReads {
    queue: VecDeque<PendingRead>,
}

impl PendingReads {
    /// Returns whether no socket is queued.
    pub(super) fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    /// Returns the number of queued sockets.
    pub(super) fn len(&self) -> usize {
        self.queue.len()
    }

    /// Queues a socket, unless it is already queued.
    pub(super) fn add(&mut self, read: PendingRead) {
        if !self.queue.contains(&read) {
            self.queue.push_back(read);
        }
    }

    /// Queues the socket of a node. A socket that is queued several times is read from as many times.
    pub(super) fn add_node(&mut self, node: NodeIndex) {
        self.queue.push_back(PendingRead::Node(node));
    }

    /// Removes the socket whose turn is next from the queue.
    pub(super) fn next(&mut self) -> Option<PendingRead> {
        self.queue.pop_front()
    }
}
