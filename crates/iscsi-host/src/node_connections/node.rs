//! One storage node and the connection to it.
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

struct Link {
    socket: TcpStream,
    conn: InitiatorConnection,
}

/// What has become of a request.
pub(super) enum Submission {
    /// It is sent by the next flush.
    Sent,
    /// The node's own command window is closed: it has rejected the command before it was sent.
    Rejected,
    /// It waits for the login.
    Queued,
}

/// What has become of a request that nobody waits for any more.
pub(super) enum Cancellation {
    /// It was never sent, so it has not run.
    Unsent,
    /// It was sent, and its abort is sent by the next flush.
    Aborted,
    /// It was sent on a connection that has closed.
    Gone,
}

/// What one read from the node has brought.
pub(super) enum NodeRead {
    /// Nothing: there is no connection, or no more to read.
    Nothing,
    /// Events, also where the node has then violated the protocol in the way that is described.
    Received(Result<(), String>),
    Closed(ConnectionError),
}

/// An attempt on a connection that was closed.
pub(super) struct LostAttempt {
    pub(super) tag: u32,
    pub(super) result: AttemptResult,
}

/// A node of the configuration.
pub(super) struct Node {
    name: String,
    address: SocketAddr,
    target: String,
    lun: u32,
    policy: NodeConnection,
    link: Option<Link>,
    /// Requests that wait for the login.
    queue: VecDeque<NodeRequest>,
    /// It is among those to be flushed.
    dirty: bool,
    readable: bool,
}

impl Node {
    /// A node of the configuration, without a connection.
    pub(super) fn new(node: &config::Node) -> Self {
        Node {
            name: node.name.clone(),
            address: startup::validated_address(node.address),
            target: node.target.clone(),
            lun: node.lun.into(),
            policy: NodeConnection::default(),
            link: None,
            queue: VecDeque::new(),
            dirty: false,
            readable: false,
        }
    }

    /// Its name in the configuration.
    pub(super) fn name(&self) -> &str {
        &self.name
    }

    /// What decides on its connection.
    pub(super) fn policy_mut(&mut self) -> &mut NodeConnection {
        &mut self.policy
    }

    /// Whether its connection is logged in.
    pub(super) fn is_connected(&self) -> bool {
        self.policy.is_ready()
    }

    /// It is among those to be flushed from now on. False: it was before.
    pub(super) fn mark_dirty(&mut self) -> bool {
        !std::mem::replace(&mut self.dirty, true)
    }

    /// Its socket may have something to read, if `readable`.
    pub(super) fn mark_readable(&mut self, readable: bool) {
        self.readable |= readable;
    }

    /// Sends a request, or queues it for the login.
    pub(super) fn submit(&mut self, request: NodeRequest) -> Submission {
        let link = self.link.as_mut().filter(|_| self.policy.is_ready());
        let Some(link) = link else {
            self.queue.push_back(request);
            return Submission::Queued;
        };
        let lun = request.lun.unwrap_or(self.lun);
        let NodeRequest {
            tag,
            cdb,
            read_len,
            data,
            ..
        } = request;
        if link.conn.send_command(tag, lun, &cdb, read_len, data) {
            Submission::Sent
        } else {
            Submission::Rejected
        }
    }

    /// Opens a connection.
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
        let conn = InitiatorConnection::new(initiator, Some(&self.target), ISID, proposal);
        self.link = Some(Link { socket, conn });
        self.readable = false;
        Ok(())
    }

    /// The login is complete. Returns the requests that have waited for it.
    pub(super) fn login_finished(&mut self) -> VecDeque<NodeRequest> {
        self.policy.login_finished();
        std::mem::take(&mut self.queue)
    }

    /// Stops waiting for a request; one that was sent is aborted.
    pub(super) fn cancel(&mut self, tag: u32, now: Tick) -> Cancellation {
        let queued = self.queue.len();
        self.queue.retain(|request| request.tag != tag);
        if self.queue.len() < queued {
            return Cancellation::Unsent;
        }
        let Some(link) = &mut self.link else {
            return Cancellation::Gone;
        };
        link.conn.abort_task(tag);
        self.policy.abort_sent(ticks_to_millis(now));
        Cancellation::Aborted
    }

    /// The node wants the session to end.
    pub(super) fn send_logout_request(&mut self) {
        if let Some(link) = &mut self.link {
            link.conn.send_logout_request();
        }
    }

    /// Closes the connection: what was sent on it may have run, what was not has not.
    pub(super) fn close(&mut self, registry: &Registry) -> Vec<LostAttempt> {
        self.policy.closed();
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
            lost.extend(link.conn.in_flight_tags().map(|tag| LostAttempt {
                tag,
                result: if link.conn.has_started_sending(tag) {
                    AttemptResult::ConnectionReset
                } else {
                    AttemptResult::ConnectFailed
                },
            }));
        }
        lost
    }

    /// Reads once.
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
                let received = link.conn.receive(&buffer[..len]);
                NodeRead::Received(received.map_err(|fault| fault.to_string()))
            }
            ReadOutcome::Closed(e) => NodeRead::Closed(e),
        }
    }

    /// The next event of the session.
    pub(super) fn next_event(&mut self) -> Option<InitiatorEvent> {
        self.link.as_mut()?.conn.next_event()
    }

    /// Writes what waits for the node.
    pub(super) fn flush(&mut self) -> Result<(), ConnectionError> {
        self.dirty = false;
        match &mut self.link {
            Some(link) => {
                socket_io::write(&mut link.socket, link.conn.send_buffer()).map(|_written| ())
            }
            None => Ok(()),
        }
    }

    /// Why the connection is to be closed, if it has timed out.
    pub(super) fn check_timeouts(&self, now: Tick) -> Option<CloseReason> {
        let in_flight = self.link.as_ref().map_or(0, |link| link.conn.in_flight());
        self.policy.check_timeouts(ticks_to_millis(now), in_flight)
    }
}
