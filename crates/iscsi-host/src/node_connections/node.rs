//! A storage node and the connection to it.
use super::NodeRequest;
use crate::socket_io::{self, ConnectionError, ReadOutcome};
use mallowseam_connection_policy::node_connection::{CloseReason, NodeConnection};
use mallowseam_control_protocol::startup;
use mallowseam_iscsi::initiator::{InitiatorConnection, InitiatorEvent};
use mallowseam_iscsi::params::ProposedParams;
use mallowseam_scheduler::interface::{AttemptResult, Tick};
use mallowseam_settings::config;
use mallowseam_sockets::clock::ticks_to_millis;
use mio::net::TcpStream;
use mio::{Interest, Registry, Token};
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;

/// Initiator session id of connections to nodes (RFC 7143, 11.12.5).
const ISID: [u8; 6] = [0x80, 0, 0, 1, 0, 0];

/// Number of encoded bytes at which a flush writes them before it encodes more requests.
const MAX_BATCH_BYTES: usize = 256 * 1024;

struct Link {
    socket: TcpStream,
    connection: InitiatorConnection,
}

impl Link {
    /// Writes the buffered bytes. Returns whether all of them are written.
    fn write(&mut self) -> Result<bool, ConnectionError> {
        let buffer = self.connection.send_buffer();
        socket_io::write(&mut self.socket, buffer)?;
        Ok(buffer.unsent().is_empty())
    }

    /// Encodes a request. Returns false if the command window of the node is closed.
    fn send(&mut self, request: &NodeRequest, default_lun: u32) -> bool {
        let NodeRequest {
            tag,
            lun,
            cdb,
            read_len,
            data,
        } = request;
        let lun = lun.unwrap_or(default_lun);
        self.connection
            .send_command(*tag, lun, cdb, *read_len, data.clone())
    }
}

/// Outcome of cancelling a request.
pub(super) enum Cancellation {
    /// The request was never sent, so it has not run.
    Unsent,
    /// The request was sent; the next flush sends its abort.
    Aborted,
    /// The request was sent on a connection that is closed now, so there is nothing to abort.
    NotConnected,
}

/// Outcome of one read from a node.
pub(super) enum NodeRead {
    /// There is no connection, or no data to read.
    Nothing,
    /// Data was received and may have led to events. The error describes a protocol violation after these
    /// events.
    Received(Result<(), String>),
    Closed(ConnectionError),
}

/// An attempt that ended because its connection was closed.
pub(super) struct LostAttempt {
    pub(super) tag: u32,
    pub(super) result: AttemptResult,
}

/// A configured node and its connection.
pub(super) struct Node {
    name: String,
    address: SocketAddr,
    target: String,
    lun: u32,
    policy: NodeConnection,
    link: Option<Link>,
    /// Requests to send once the login is complete and the socket takes their bytes, in order.
    queue: VecDeque<NodeRequest>,
    /// Requests that the current flush has encoded, in order; empty between flushes.
    encoded: Vec<NodeRequest>,
    /// Whether the node is in `Nodes::dirty`.
    dirty: bool,
    /// Whether the socket may have data to read.
    readable: bool,
}

impl Node {
    /// Creates a configured node without a connection.
    pub(super) fn new(node: &config::Node) -> Self {
        Node {
            name: node.name.clone(),
            address: startup::validated_address(node.address),
            target: node.target.clone(),
            lun: node.lun.into(),
            policy: NodeConnection::default(),
            link: None,
            queue: VecDeque::new(),
            encoded: Vec::new(),
            dirty: false,
            readable: false,
        }
    }

    /// Returns the name of the node in the configuration.
    pub(super) fn name(&self) -> &str {
        &self.name
    }

    /// Returns the policy that decides when the connection is opened and closed.
    pub(super) fn policy_mut(&mut self) -> &mut NodeConnection {
        &mut self.policy
    }

    /// Returns whether the connection is logged in.
    pub(super) fn is_connected(&self) -> bool {
        self.policy.is_ready()
    }

    /// Marks the node for the next flush. Returns whether it was unmarked before.
    pub(super) fn mark_dirty(&mut self) -> bool {
        !std::mem::replace(&mut self.dirty, true)
    }

    /// Records that the socket may have data to read, if `readable`.
    pub(super) fn mark_readable(&mut self, readable: bool) {
        self.readable |= readable;
    }

    /// Queues a request to be sent by the next flush.
    pub(super) fn submit(&mut self, request: NodeRequest) {
        self.queue.push_back(request);
    }

    /// Removes the queued requests, and returns their tags.
    pub(super) fn take_queued(&mut self) -> Vec<u32> {
        self.queue.drain(..).map(|request| request.tag).collect()
    }

    /// Starts to connect and log in.
    pub(super) fn open(
        &mut self,
        registry: &Registry,
        token: Token,
        initiator: &str,
        proposal: &ProposedParams,
    ) -> io::Result<()> {
        let mut socket = TcpStream::connect(self.address)?;
        let _ = socket.set_nodelay(true);
        let interest = Interest::READABLE | Interest::WRITABLE;
        registry.register(&mut socket, token, interest)?;
        let connection = InitiatorConnection::new(initiator, Some(&self.target), ISID, proposal);
        self.link = Some(Link { socket, connection });
        self.readable = false;
        Ok(())
    }

    /// Cancels a request; if it was sent, the task is aborted.
    pub(super) fn cancel(&mut self, tag: u32, now: Tick) -> Cancellation {
        let queued = self.queue.len();
        self.queue.retain(|request| request.tag != tag);
        if self.queue.len() < queued {
            return Cancellation::Unsent;
        }
        let Some(link) = &mut self.link else {
            return Cancellation::NotConnected;
        };
        link.connection.abort_task(tag);
        self.policy.abort_sent(ticks_to_millis(now));
        Cancellation::Aborted
    }

    /// Queues a logout request, as the node has asked for one.
    pub(super) fn send_logout_request(&mut self) {
        if let Some(link) = &mut self.link {
            link.connection.send_logout_request();
        }
    }

    /// Closes the connection. Returns the attempts that end with it: an attempt whose sending has started may
    /// have run, any other has not.
    pub(super) fn close(&mut self, registry: &Registry) -> Vec<LostAttempt> {
        self.policy.closed();
        self.encoded.clear();
        let queued = std::mem::take(&mut self.queue);
        let mut lost: Vec<LostAttempt> = queued
            .into_iter()
            .map(|request| LostAttempt {
                tag: request.tag,
                result: AttemptResult::ConnectFailed,
            })
            .collect();
        if let Some(mut link) = self.link.take() {
            let _ = registry.deregister(&mut link.socket);
            lost.extend(link.connection.in_flight_tags().map(|tag| LostAttempt {
                tag,
                result: if link.connection.has_started_sending(tag) {
                    AttemptResult::ConnectionReset
                } else {
                    AttemptResult::ConnectFailed
                },
            }));
        }
        lost
    }

    /// Reads once from the socket.
    pub(super) fn read(&mut self, buffer: &mut [u8]) -> NodeRead {
        let Some(link) = self.link.as_mut().filter(|_| self.readable) else {
            return NodeRead::Nothing;
        };
        match socket_io::read(&mut link.socket, buffer) {
            ReadOutcome::WouldBlock => {
                self.readable = false;
                NodeRead::Nothing
            }
            ReadOutcome::Read(len) => {
                let received = link.connection.receive(&buffer[..len]);
                NodeRead::Received(received.map_err(|error| error.to_string()))
            }
            ReadOutcome::Closed(e) => NodeRead::Closed(e),
        }
    }

    /// Takes the next event of the session.
    pub(super) fn next_event(&mut self) -> Option<InitiatorEvent> {
        self.link.as_mut()?.connection.next_event()
    }

    /// Writes the buffered bytes and then the queued requests to the node, until its socket would block. Adds the tags
    /// of the requests that the command window of the node did not admit to `rejected`; they were not sent.
    ///
    /// A request whose first byte the socket does not take returns to the queue, where it can still be cancelled:
    /// encoded bytes are sent whatever becomes of their command.
    pub(super) fn flush(&mut self, rejected: &mut Vec<u32>) -> Result<(), ConnectionError> {
        self.dirty = false;
        let is_ready = self.policy.is_ready();
        let Some(link) = &mut self.link else {
            return Ok(());
        };
        while link.write()? && is_ready && !self.queue.is_empty() {
            while let Some(request) = self.queue.pop_front() {
                if !link.send(&request, self.lun) {
                    rejected.push(request.tag);
                    continue;
                }
                self.encoded.push(request);
                if link.connection.send_buffer().unsent().len() >= MAX_BATCH_BYTES {
                    break;
                }
            }
            link.write()?;
            let mut would_block = false;
            while let Some(request) = self.encoded.pop() {
                if !link.connection.take_back_command(request.tag) {
                    break;
                }
                self.queue.push_front(request);
                would_block = true;
            }
            self.encoded.clear();
            if would_block {
                // The buffer may be empty now, so that the next write would not show it.
                break;
            }
        }
        Ok(())
    }

    /// Returns the reason for which the connection must be closed now, if it has timed out.
    pub(super) fn check_timeouts(&self, now: Tick) -> Option<CloseReason> {
        let in_flight = self
            .link
            .as_ref()
            .map_or(0, |link| link.connection.in_flight());
        self.policy.check_timeouts(ticks_to_millis(now), in_flight)
    }
}
