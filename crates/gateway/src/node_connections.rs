//! Connections to the storage nodes, one a node. A connection is opened by the first attempt that needs it;
//! attempts wait for its login in a queue that their own timeouts bound.
use crate::clock::ticks_to_millis;
use crate::socket_io::{self, ConnectionError, ReadOutcome};
use crate::startup;
use mallowseam_connection_policy::node_connection::{CloseReason, NodeConnection};
use mallowseam_iscsi::initiator::{InitiatorConnection, InitiatorEvent, Payload};
use mallowseam_iscsi::params::ProposedParams;
use mallowseam_iscsi::scsi::{Sense, status};
use mallowseam_scheduler::interface::{AttemptResult, Tick};
use mallowseam_settings::config;
use mio::net::TcpStream;
use mio::{Interest, Registry, Token};
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;

/// Initiator session id of connections to nodes (RFC 7143, 11.12.5).
const ISID: [u8; 6] = [0x80, 0, 0, 1, 0, 0];

/// Index of a node in the configuration.
pub(crate) type NodeIndex = usize;

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
pub(crate) struct NodeRequest {
    /// Unique among the attempts in flight.
    pub(crate) tag: u32,
    /// None: the unit that the configuration names.
    pub(crate) lun: Option<u32>,
    pub(crate) cdb: [u8; 16],
    /// Expected data-in length (RFC 7143, 11.3.4) in bytes.
    pub(crate) read_len: usize,
    /// Bytes that are written.
    pub(crate) data: Payload,
}

/// How an attempt ended, with the data of a read.
pub(crate) struct FinishedAttempt {
    pub(crate) node: NodeIndex,
    pub(crate) tag: u32,
    pub(crate) result: AttemptResult,
    /// Rejected, as the unit is closed to writes: it has not run.
    pub(crate) write_protected: bool,
    pub(crate) data: Vec<u8>,
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

struct Link {
    socket: TcpStream,
    conn: InitiatorConnection,
}

struct Node {
    name: String,
    address: SocketAddr,
    target: String,
    lun: u32,
    connection: NodeConnection,
    link: Option<Link>,
    /// Requests that wait for the login.
    queue: VecDeque<NodeRequest>,
    /// It is among those to be flushed.
    dirty: bool,
    readable: bool,
}

/// The connections to all nodes of the configuration.
pub(crate) struct Nodes {
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
    pub(crate) fn new(
        nodes: &[config::Node],
        initiator: String,
        proposal: ProposedParams,
        registry: Registry,
        first_token: usize,
    ) -> Self {
        let node = |node: &config::Node| Node {
            name: node.name.clone(),
            address: startup::validated_address(node.address),
            target: node.target.clone(),
            lun: node.lun.into(),
            connection: NodeConnection::default(),
            link: None,
            queue: VecDeque::new(),
            dirty: false,
            readable: false,
        };
        Nodes {
            all: nodes.iter().map(node).collect(),
            initiator,
            proposal,
            registry,
            first_token,
            finished: VecDeque::new(),
            dirty: Vec::new(),
        }
    }

    /// How many nodes the configuration has.
    pub(crate) fn len(&self) -> usize {
        self.all.len()
    }

    /// The node's name in the configuration.
    pub(crate) fn name(&self, node: NodeIndex) -> &str {
        &self.all[node].name
    }

    /// Whether the node's connection is logged in.
    pub(crate) fn is_connected(&self, node: NodeIndex) -> bool {
        self.all[node].connection.is_ready()
    }

    /// The endpoint list has removed the node, or has it again.
    pub(crate) fn set_removed(&mut self, node: NodeIndex, removed: bool) {
        self.all[node].connection.set_node_removed(removed);
    }

    /// The next attempt that has ended by itself.
    pub(crate) fn next_finished(&mut self) -> Option<FinishedAttempt> {
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
    pub(crate) fn submit(&mut self, index: NodeIndex, request: NodeRequest, now: Tick) {
        let node = &mut self.all[index];
        if node.connection.is_ready() {
            let link = node
                .link
                .as_mut()
                .expect("a connection that is ready has a link");
            let NodeRequest {
                tag,
                lun,
                cdb,
                read_len,
                data,
            } = request;
            if link
                .conn
                .send_command(tag, lun.unwrap_or(node.lun), &cdb, read_len, data)
            {
                self.mark_dirty(index);
            } else {
                // The node's own command window is closed: it has rejected the command before it was sent.
                self.end(index, tag, AttemptResult::Rejected);
            }
            return;
        }
        node.queue.push_back(request);
        if node.connection.open_if_closed(ticks_to_millis(now))
            && let Err(e) = self.open(index)
        {
            self.disconnect(index, &e.into());
        }
    }

    fn open(&mut self, index: NodeIndex) -> io::Result<()> {
        let node = &mut self.all[index];
        let mut socket = TcpStream::connect(node.address)?;
        let _ = socket.set_nodelay(true);
        let interest = Interest::READABLE | Interest::WRITABLE;
        self.registry
            .register(&mut socket, Token(self.first_token + index), interest)?;
        let conn =
            InitiatorConnection::new(&self.initiator, Some(&node.target), ISID, &self.proposal);
        node.link = Some(Link { socket, conn });
        node.readable = false;
        self.mark_dirty(index);
        Ok(())
    }

    fn mark_dirty(&mut self, index: NodeIndex) {
        if !std::mem::replace(&mut self.all[index].dirty, true) {
            self.dirty.push(index);
        }
    }

    /// Stops waiting for an attempt; one that was sent is aborted. True: it was never sent, so it has not
    /// run.
    pub(crate) fn cancel(&mut self, index: NodeIndex, tag: u32, now: Tick) -> bool {
        let node = &mut self.all[index];
        let queued = node.queue.len();
        node.queue.retain(|request| request.tag != tag);
        if node.queue.len() < queued {
            return true;
        }
        if let Some(link) = &mut node.link {
            link.conn.abort_task(tag);
            node.connection.abort_sent(ticks_to_millis(now));
            self.mark_dirty(index);
        }
        false
    }

    /// Closes a connection: what was sent on it may have run, what was not has not.
    fn close(&mut self, index: NodeIndex) {
        let node = &mut self.all[index];
        node.connection.closed();
        for request in std::mem::take(&mut node.queue) {
            self.finished.push_back(FinishedAttempt::without_data(
                index,
                request.tag,
                AttemptResult::ConnectFailed,
            ));
        }
        if let Some(mut link) = node.link.take() {
            let _ = self.registry.deregister(&mut link.socket);
            for tag in link.conn.in_flight_tags().collect::<Vec<_>>() {
                let may_have_run = link.conn.has_started_sending(tag);
                let result = if may_have_run {
                    AttemptResult::ConnectionReset
                } else {
                    AttemptResult::ConnectFailed
                };
                self.finished
                    .push_back(FinishedAttempt::without_data(index, tag, result));
            }
        }
    }

    fn disconnect(&mut self, index: NodeIndex, reason: &Disconnect) {
        tracing::warn!(node = self.all[index].name, %reason, "node connection lost");
        self.close(index);
    }

    /// The node's socket is ready, to be read if `readable`, and to be written in any case.
    /// Reads once. True: there may be more to read, for which the caller calls [`read`](Self::read).
    pub(crate) fn on_ready(
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
        self.all[index].readable |= readable;
        self.mark_dirty(index);
    }

    /// Reads once. True: there may be more to read.
    pub(crate) fn read(&mut self, index: NodeIndex, buffer: &mut [u8], now: Tick) -> bool {
        let node = &mut self.all[index];
        let Some(link) = node.link.as_mut().filter(|_| node.readable) else {
            return false;
        };
        match socket_io::read(&mut link.socket, buffer) {
            ReadOutcome::WouldBlock => node.readable = false,
            ReadOutcome::Read(len) => {
                let received = link.conn.receive(&buffer[..len]);
                self.on_events(index, now);
                match received {
                    Ok(()) => return true,
                    Err(fault) => self.disconnect(index, &Disconnect::Protocol(fault.to_string())),
                }
            }
            ReadOutcome::Closed(e) => self.disconnect(index, &e.into()),
        }
        false
    }

    fn on_events(&mut self, index: NodeIndex, now: Tick) {
        while let Some(event) = self.all[index]
            .link
            .as_mut()
            .and_then(|link| link.conn.next_event())
        {
            match event {
                InitiatorEvent::LoggedIn => {
                    tracing::info!(node = self.all[index].name, "node connected");
                    self.all[index].connection.login_finished();
                    for request in std::mem::take(&mut self.all[index].queue) {
                        self.submit(index, request, now);
                    }
                }
                InitiatorEvent::CommandCompleted {
                    tag,
                    status,
                    sense,
                    data,
                    ..
                } => {
                    self.on_answer(index, tag, status, sense, data);
                }
                InitiatorEvent::CommandRejected { tag, reason } => {
                    tracing::warn!(node = self.all[index].name, reason, "command rejected");
                    self.end(index, tag, AttemptResult::Error);
                }
                InitiatorEvent::CommandAborted { .. } => {
                    self.all[index]
                        .connection
                        .abort_answered(ticks_to_millis(now));
                }
                InitiatorEvent::LogoutRequested => {
                    if let Some(link) = &mut self.all[index].link {
                        link.conn.send_logout_request();
                    }
                    self.mark_dirty(index);
                }
                InitiatorEvent::LoggedOut => return self.close(index),
                InitiatorEvent::TextResponse(_) => {}
            }
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
    pub(crate) fn flush(&mut self) {
        while let Some(index) = self.dirty.pop() {
            self.all[index].dirty = false;
            if let Some(link) = &mut self.all[index].link
                && let Err(e) = socket_io::write(&mut link.socket, link.conn.send_buffer())
            {
                self.disconnect(index, &e.into());
            }
        }
    }

    /// Closes connections that have timed out.
    pub(crate) fn on_timer(&mut self, now: Tick) {
        for index in 0..self.all.len() {
            let node = &self.all[index];
            let in_flight = node.link.as_ref().map_or(0, |link| link.conn.in_flight());
            if let Some(reason) = node
                .connection
                .check_timeouts(ticks_to_millis(now), in_flight)
            {
                self.disconnect(index, &Disconnect::Timeout(reason));
            }
        }
    }
}
