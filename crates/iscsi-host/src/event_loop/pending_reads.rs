//! Sockets that may have more to read than one turn took.
use crate::client_connections::ClientId;
use crate::node_connections::NodeIndex;
use std::collections::VecDeque;

/// A socket that may have more to read than one turn took.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PendingRead {
    Catalog,
    Client(ClientId),
    Node(NodeIndex),
}

/// The sockets to read from again, in the order of their turns.
#[derive(Default)]
pub(super) struct PendingReads {
    queue: VecDeque<PendingRead>,
}

impl PendingReads {
    /// Whether no socket is queued.
    pub(super) fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    /// How many are queued.
    pub(super) fn len(&self) -> usize {
        self.queue.len()
    }

    /// Queues a socket, unless it is queued.
    pub(super) fn add(&mut self, read: PendingRead) {
        if !self.queue.contains(&read) {
            self.queue.push_back(read);
        }
    }

    /// Queues a node's socket, also if it is queued: it then has a turn for each.
    pub(super) fn add_node(&mut self, node: NodeIndex) {
        self.queue.push_back(PendingRead::Node(node));
    }

    /// The socket whose turn is next.
    pub(super) fn next(&mut self) -> Option<PendingRead> {
        self.queue.pop_front()
    }
}
