//! Connections to the storage nodes, one a node (`node`). A connection is opened by the first attempt that
//! needs it; attempts wait for its login in a queue that their own timeouts bound.
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
use node::{Cancellation, Node, NodeRead, Submission};
use std::collections::VecDeque;
use std::io;

/// Index of a node in the configuration.
pub type NodeIndex = usize;

/// Why a connection to a node ended.
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

/// What is sent for one attempt.
#[derive(Clone)]
pub struct NodeRequest {
    /// Unique among the attempts in flight.
    pub tag: u32,
    /// None: the unit that the configuration names.
    pub lun: Option<u32>,
    /// The SCSI command.
    pub cdb: [u8; 16],
    /// Expected data-in length (RFC 7143, 11.3.4) in bytes.
    pub read_len: usize,
    /// Bytes that are written.
    pub data: Payload,
}

/// How an attempt ended, with the data of a read.
pub struct FinishedAttempt {
    /// The node that it went to.
    pub node: NodeIndex,
    /// The tag of its request.
    pub tag: u32,
    /// How it came out.
    pub result: AttemptResult,
    /// Rejected, as the unit is closed to writes: it has not run.
    pub write_protected: bool,
    /// What was read.
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

/// The connections to all nodes of the configuration.
pub struct Nodes {
    all: Vec<Node>,
    initiator: String,
    proposal: ProposedParams,
    registry: Registry,
    first_token: usize,
    /// Finished attempts that the owner has not taken yet.
    finished: VecDeque<FinishedAttempt>,
    /// Nodes with something to write.
    dirty: Vec<NodeIndex>,
}

impl Nodes {
    /// Knows the nodes of a configuration; no connection is opened. Their tokens begin with `first_token`.
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

    /// How many nodes the configuration has.
    pub fn len(&self) -> usize {
        self.all.len()
    }

    /// Whether the configuration has no nodes.
    pub fn is_empty(&self) -> bool {
        self.all.is_empty()
    }

    /// The node's name in the configuration.
    pub fn name(&self, node: NodeIndex) -> &str {
        self.all[node].name()
    }

    /// Whether the node's connection is logged in.
    pub(crate) fn is_connected(&self, node: NodeIndex) -> bool {
        self.all[node].is_connected()
    }

    /// The endpoint list has removed the node, or has it again.
    pub(crate) fn set_removed(&mut self, node: NodeIndex, removed: bool) {
        self.all[node].policy_mut().set_node_removed(removed);
    }

    /// The next attempt that has ended by itself.
    pub fn next_finished(&mut self) -> Option<FinishedAttempt> {
        self.finished.pop_front()
    }

    /// Whether there is a finished attempt that the owner has not taken yet.
    pub(crate) fn has_finished(&self) -> bool {
        !self.finished.is_empty()
    }

    fn end(&mut self, node: NodeIndex, tag: u32, result: AttemptResult) {
        self.finished
            .push_back(FinishedAttempt::without_data(node, tag, result));
    }

    /// Sends a request, or queues it for the login; a connection that is closed is opened if that may be
    /// tried.
    pub fn submit(&mut self, index: NodeIndex, request: NodeRequest, now: Tick) {
        let tag = request.tag;
        match self.all[index].submit(request) {
            Submission::Sent => self.mark_dirty(index),
            Submission::Rejected => self.end(index, tag, AttemptResult::Rejected),
            Submission::Queued => self.open_if_closed(index, now),
        }
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

    /// Stops waiting for an attempt; one that was sent is aborted. True: it was never sent, so it has not
    /// run.
    pub fn cancel(&mut self, index: NodeIndex, tag: u32, now: Tick) -> bool {
        match self.all[index].cancel(tag, now) {
            Cancellation::Unsent => true,
            Cancellation::Aborted => {
                self.mark_dirty(index);
                false
            }
            Cancellation::Gone => false,
        }
    }

    fn close(&mut self, index: NodeIndex) {
        for lost in self.all[index].close(&self.registry) {
            self.end(index, lost.tag, lost.result);
        }
    }

    fn disconnect(&mut self, index: NodeIndex, reason: &Disconnect) {
        tracing::warn!(node = self.all[index].name(), %reason, "node connection lost");
        self.close(index);
    }

    /// The node's socket is ready, to be read if `readable`, and to be written in any case.
    /// Reads once. True: there may be more to read, for which the caller calls [`read`](Self::read).
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

    /// As [`on_ready`](Self::on_ready), but leaves it to the caller to read.
    pub(crate) fn mark_ready(&mut self, index: NodeIndex, readable: bool) {
        self.all[index].mark_readable(readable);
        self.mark_dirty(index);
    }

    /// Reads once. True: there may be more to read.
    pub fn read(&mut self, index: NodeIndex, buffer: &mut [u8], now: Tick) -> bool {
        match self.all[index].read(buffer) {
            NodeRead::Nothing => {}
            NodeRead::Received(received) => {
                while let Some(event) = self.all[index].next_event() {
                    self.on_event(index, event, now);
                }
                match received {
                    Ok(()) => return true,
                    Err(fault) => self.disconnect(index, &Disconnect::Protocol(fault)),
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
                for request in node.login_finished() {
                    self.submit(index, request, now);
                }
            }
            InitiatorEvent::CommandCompleted {
                tag,
                status,
                sense,
                data,
                ..
            } => self.on_answer(index, tag, status, sense, data),
            InitiatorEvent::CommandRejected { tag, reason } => {
                tracing::warn!(node = node.name(), reason, "command rejected");
                self.end(index, tag, AttemptResult::Error);
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

    fn on_answer(
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

    /// Writes what waits for the nodes.
    pub fn flush(&mut self) {
        while let Some(index) = self.dirty.pop() {
            if let Err(e) = self.all[index].flush() {
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
