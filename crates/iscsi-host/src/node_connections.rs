//! Connections to storage nodes, one for each node (`node`). A connection is opened when an attempt needs it.
//! Attempts are queued until the login is complete and the socket takes their bytes; their own timeouts bound the wait.
//! Until then an attempt can be cancelled, and nothing of it is ever sent.
mod node;

use crate::socket_io::ConnectionError;
use mallowseam_connection_policy::node_connection::CloseReason;
use mallowseam_iscsi::initiator::{InitiatorEvent, Payload};
use mallowseam_iscsi::params::ProposedParams;
use mallowseam_iscsi::scsi::{Sense, status};
use mallowseam_scheduler::interface::{AttemptResult, Tick};
use mallowseam_settings::config;
use mallowseam_sockets::clock::ticks_to_millis;
use mio::{Registry, Token};
use node::{Cancellation, Node, NodeRead};
use std::collections::VecDeque;
use std::io;

/// Index of a node in the configuration.
pub type NodeIndex = usize;

/// Reason for which the connection to a node was closed.
#[derive(Debug, thiserror::Error)]
enum Disconnect {
    #[error(transparent)]
    Connect(#[from] io::Error),
    #[error(transparent)]
    Socket(#[from] ConnectionError),
    #[error("{0}")]
    Protocol(String),
    #[error("{}", .0.as_str())]
    Timeout(CloseReason),
}

/// Request that is sent to a node for one attempt.
#[derive(Clone)]
pub struct NodeRequest {
    /// Tag of the attempt, unique among the attempts in flight.
    pub tag: u32,
    /// LUN at the node; `None` for the LUN of the node in the configuration.
    pub lun: Option<u32>,
    /// The SCSI command.
    pub cdb: [u8; 16],
    /// Expected data-in length (RFC 7143, 11.3.4) in bytes.
    pub read_len: usize,
    /// Data to write.
    pub data: Payload,
}

/// Result of an attempt, with the data of a read.
pub struct FinishedAttempt {
    /// The node of the attempt.
    pub node: NodeIndex,
    /// Tag of the request.
    pub tag: u32,
    /// Result for the scheduler.
    pub result: AttemptResult,
    /// Whether the node rejected the command because the logical unit is write-protected. The command has not
    /// run.
    pub write_protected: bool,
    /// Data that was read.
    pub data: Vec<u8>,
}

impl FinishedAttempt {
    fn without_data(node: NodeIndex, tag: u32, result: AttemptResult) -> Self {
        FinishedAttempt {
            node,
            tag,
            result,
            write_protected: false,
            data: Vec::new(),
        }
    }
}

/// Connections to all nodes of the configuration.
pub struct Nodes {
    all: Vec<Node>,
    initiator: String,
    proposal: ProposedParams,
    registry: Registry,
    first_token: usize,
    /// Finished attempts that [`next_finished`](Self::next_finished) has not returned yet.
    finished: VecDeque<FinishedAttempt>,
    /// Nodes that the next flush writes to.
    dirty: Vec<NodeIndex>,
}

impl Nodes {
    /// Creates the table of the configured nodes without opening connections. `first_token`: token of the first
    /// node's connection; the others follow in order.
    pub fn new(
        nodes: &[config::Node],
        initiator: String,
        proposal: ProposedParams,
        registry: Registry,
        first_token: usize,
    ) -> Self {
        Nodes {
            all: nodes.iter().map(Node::new).collect(),
            initiator,
            proposal,
            registry,
            first_token,
            finished: VecDeque::new(),
            dirty: Vec::new(),
        }
    }

    /// Returns the number of configured nodes.
    pub fn len(&self) -> usize {
        self.all.len()
    }

    /// Returns whether the configuration has no nodes.
    pub fn is_empty(&self) -> bool {
        self.all.is_empty()
    }

    /// Returns the name of a node in the configuration.
    pub fn name(&self, node: NodeIndex) -> &str {
        self.all[node].name()
    }

    /// Returns whether the connection to a node is logged in.
    pub(crate) fn is_connected(&self, node: NodeIndex) -> bool {
        self.all[node].is_connected()
    }

    /// Records whether the endpoint list has removed a node.
    pub(crate) fn set_removed(&mut self, node: NodeIndex, removed: bool) {
        self.all[node].policy_mut().set_node_removed(removed);
    }

    /// Takes the next finished attempt. Cancelled attempts are not reported.
    pub fn next_finished(&mut self) -> Option<FinishedAttempt> {
        self.finished.pop_front()
    }

    /// Returns whether [`next_finished`](Self::next_finished) has another attempt to return.
    pub(crate) fn has_finished(&self) -> bool {
        !self.finished.is_empty()
    }

    fn finish(&mut self, node: NodeIndex, tag: u32, result: AttemptResult) {
        self.finished
            .push_back(FinishedAttempt::without_data(node, tag, result));
    }

    /// Queues a request, which the next flush sends once the login is complete. Opens the connection if it is closed.
    pub fn submit(&mut self, index: NodeIndex, request: NodeRequest, now: Tick) {
        self.all[index].submit(request);
        self.mark_dirty(index);
        self.open_if_closed(index, now);
    }

    /// Removes the attempts that wait to be sent to a node, and returns their tags.
    pub(crate) fn take_queued(&mut self, index: NodeIndex) -> Vec<u32> {
        self.all[index].take_queued()
    }

    /// Returns whether the next flush has anything to write.
    pub(crate) fn has_unflushed(&self) -> bool {
        !self.dirty.is_empty()
    }

    fn open_if_closed(&mut self, index: NodeIndex, now: Tick) {
        let node = &mut self.all[index];
        if !node.policy_mut().open_if_closed(ticks_to_millis(now)) {
            return;
        }
        let token = Token(self.first_token + index);
        match node.open(&self.registry, token, &self.initiator, &self.proposal) {
            Ok(()) => self.mark_dirty(index),
            Err(e) => self.disconnect(index, &e.into()),
        }
    }

    fn mark_dirty(&mut self, index: NodeIndex) {
        if self.all[index].mark_dirty() {
            self.dirty.push(index);
        }
    }

    /// Cancels an attempt; if its request was sent, the task is aborted. Returns whether the request was never
    /// sent, so that it has not run.
    pub fn cancel(&mut self, index: NodeIndex, tag: u32, now: Tick) -> bool {
        match self.all[index].cancel(tag, now) {
            Cancellation::Unsent => true,
            Cancellation::Aborted => {
                self.mark_dirty(index);
                false
            }
            Cancellation::NotConnected => false,
        }
    }

    fn close(&mut self, index: NodeIndex) {
        for lost in self.all[index].close(&self.registry) {
            self.finish(index, lost.tag, lost.result);
        }
    }

    fn disconnect(&mut self, index: NodeIndex, reason: &Disconnect) {
        tracing::warn!(node = self.all[index].name(), %reason, "node connection lost");
        self.close(index);
    }

    /// Handles readiness of a node's socket: it may be written to and, if `readable`, read from. Reads once.
    /// Returns whether there may be more to read, for which the caller calls [`read`](Self::read).
    pub fn on_ready(
        &mut self,
        index: NodeIndex,
        readable: bool,
        buffer: &mut [u8],
        now: Tick,
    ) -> bool {
        self.mark_ready(index, readable);
        self.read(index, buffer, now)
    }

    /// Records readiness of a node's socket like [`on_ready`](Self::on_ready), but does not read.
    pub(crate) fn mark_ready(&mut self, index: NodeIndex, readable: bool) {
        self.all[index].mark_readable(readable);
        self.mark_dirty(index);
    }

    /// Reads once from a node. Returns whether there may be more to read.
    pub fn read(&mut self, index: NodeIndex, buffer: &mut [u8], now: Tick) -> bool {
        match self.all[index].read(buffer) {
            NodeRead::Nothing => {}
            NodeRead::Received(received) => {
                while let Some(event) = self.all[index].next_event() {
                    self.on_event(index, event, now);
                }
                match received {
                    Ok(()) => return true,
                    Err(error) => self.disconnect(index, &Disconnect::Protocol(error)),
                }
            }
            NodeRead::Closed(e) => self.disconnect(index, &e.into()),
        }
        false
    }

    fn on_event(&mut self, index: NodeIndex, event: InitiatorEvent, now: Tick) {
        let node = &mut self.all[index];
        match event {
            InitiatorEvent::LoggedIn => {
                tracing::info!(node = node.name(), "node connected");
                node.policy_mut().login_finished();
                self.mark_dirty(index);
            }
            InitiatorEvent::CommandCompleted {
                tag,
                status,
                sense,
                data,
                ..
            } => self.on_response(index, tag, status, sense, data),
            InitiatorEvent::CommandRejected { tag, reason } => {
                tracing::warn!(node = node.name(), reason, "command rejected");
                self.finish(index, tag, AttemptResult::Error);
            }
            InitiatorEvent::CommandAborted { .. } => {
                node.policy_mut().abort_answered(ticks_to_millis(now));
            }
            InitiatorEvent::LogoutRequested => {
                node.send_logout_request();
                self.mark_dirty(index);
            }
            InitiatorEvent::LoggedOut => self.close(index),
            InitiatorEvent::TextResponse(_) => {}
        }
    }

    fn on_response(
        &mut self,
        node: NodeIndex,
        tag: u32,
        status: u8,
        sense: Option<Sense>,
        data: Vec<u8>,
    ) {
        if sense == Some(Sense::WRITE_PROTECTED) {
            let result = FinishedAttempt::without_data(node, tag, AttemptResult::NotSent);
            self.finished.push_back(FinishedAttempt {
                write_protected: true,
                ..result
            });
            return;
        }
        let result = match status {
            status::GOOD => AttemptResult::Completed,
            status::BUSY | status::TASK_SET_FULL => AttemptResult::Rejected,
            _ => AttemptResult::Error,
        };
        self.finished.push_back(FinishedAttempt {
            node,
            tag,
            result,
            write_protected: false,
            data,
        });
    }

    /// Sends the queued requests and bytes to all nodes, as far as their sockets take them.
    pub fn flush(&mut self) {
        while let Some(index) = self.dirty.pop() {
            let mut rejected = Vec::new();
            let flushed = self.all[index].flush(&mut rejected);
            for tag in rejected {
                self.finish(index, tag, AttemptResult::Rejected);
            }
            if let Err(e) = flushed {
                self.disconnect(index, &e.into());
            }
        }
    }

    /// Closes connections that have timed out.
    pub fn on_timer(&mut self, now: Tick) {
        for index in 0..self.all.len() {
            if let Some(reason) = self.all[index].check_timeouts(now) {
                self.disconnect(index, &Disconnect::Timeout(reason));
            }
        }
    }
}
