//! Connections between hosts and peers. Bytes are subject to the link's faults in each direction.
use super::{Event, HTTP_LIMITS, SimulatedPeers, Timer};
use mallowseam_audit::trace::Micros;
use mallowseam_http1::{RequestReader, ResponseReader};
use mallowseam_load::client_load::Operation;
use mallowseam_sockets::nonblocking::{self, ConnectionError, ReadOutcome};
use mallowseam_stand_ins::links::{ConnectOutcome, LinkFault, Peer, Pipe, PipeOutput};
use mio::net::TcpStream;
use mio::{Interest, Token};
use socket2::SockRef;
use std::cmp::Reverse;
use std::io::ErrorKind;
use std::time::Duration;

/// Identifier of a connection: its index in the table, and a serial number that distinguishes it from later connections
/// with the same index.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ConnectionId {
    pub(super) index: u32,
    pub(super) serial: u64,
}

/// Purpose of a connection.
pub(super) enum ConnectionRole {
    /// From a host to a discovery service.
    Poll {
        list: u32,
        reader: RequestReader,
        is_watch: bool,
        /// Time from which on the watch sends nothing, if it is stalled.
        stalled_since: Option<Micros>,
    },
    /// From a host to a node.
    Node {
        node: u32,
        reader: RequestReader,
        /// Operation without a response.
        pending: Option<u64>,
        /// Whether no request has arrived on the connection.
        is_new: bool,
        /// Whether the connection exceeded the node's connection limit when it was opened.
        over_limit: bool,
    },
    /// From clients to a host.
    Client {
        reader: ResponseReader,
        request: Option<Operation>,
        /// Whether the connection has carried a request and its response.
        is_reused: bool,
    },
    /// A readiness check of a host.
    Readiness { reader: ResponseReader },
}

/// Connection between a host and a peer.
pub(super) struct Connection {
    pub host: u32,
    pub socket: TcpStream,
    pub role: ConnectionRole,
    pub serial: u64,
    /// Identifier of the current timeout, if there is one.
    pub timeout_id: Option<u64>,
    pub to_peer: Pipe,
    pub to_host: Pipe,
    /// Time at which the first byte of the request to a node arrived from the host's socket. `None` before that byte, and
    /// on other connections.
    pub request_began: Option<Micros>,
    /// Bytes that the peer has received but not processed.
    pub received: Vec<u8>,
    /// Bytes that have not been written to the socket.
    unsent: Vec<u8>,
    /// Whether reading has paused because the pipe to the peer is full.
    read_paused: bool,
    /// Whether the connection has ended without the host having read the last bytes sent to it.
    is_left_unread: bool,
}

impl Connection {
    /// Returns the connection's identifier, given its index in the table.
    pub(super) fn id(&self, index: u32) -> ConnectionId {
        ConnectionId {
            index,
            serial: self.serial,
        }
    }
}

/// Result of delivering the bytes that are due on a connection.
enum Pumped {
    /// Bytes were delivered.
    Moved,
    /// No bytes were due.
    Idle,
    /// The connection was closed.
    Closed,
}

impl SimulatedPeers {
    /// Opens a connection to a host. Returns its index, or `None` if the link or the host does not accept it.
    pub(super) fn connect(&mut self, host: u32, role: ConnectionRole) -> Option<u32> {
        if self.links.connect_outcome(Peer::Clients, Peer::Host(host)) != ConnectOutcome::Accepted {
            return None;
        }
        // On loopback the kernel answers at once. A later close of the socket is reported by the event loop.
        let socket = std::net::TcpStream::connect(self.addresses.host(host)).ok()?;
        socket.set_nonblocking(true).ok()?;
        let _ = socket.set_nodelay(true);
        Some(self.register_connection(host, TcpStream::from_std(socket), role))
    }

    pub(super) fn register_connection(
        &mut self,
        host: u32,
        mut socket: TcpStream,
        role: ConnectionRole,
    ) -> u32 {
        self.last_serial += 1;
        let token = Token(2 * self.connections.next_index() as usize + 1);
        let _ = self.poll.registry().register(
            &mut socket,
            token,
            Interest::READABLE | Interest::WRITABLE,
        );
        self.connections.insert(Connection {
            host,
            socket,
            role,
            serial: self.last_serial,
            timeout_id: None,
            to_peer: Pipe::default(),
            to_host: Pipe::default(),
            request_began: None,
            received: Vec::new(),
            unsent: Vec::new(),
            read_paused: false,
            is_left_unread: false,
        })
    }

    /// Returns the connection with an identifier, or `None` if it was closed.
    pub(super) fn connection(&mut self, id: ConnectionId) -> Option<&mut Connection> {
        self.connections
            .get_mut(id.index)
            .filter(|c| c.serial == id.serial)
    }

    /// Sets the timeout of a connection, and replaces an earlier one.
    pub(super) fn set_timeout(&mut self, index: u32, after: Micros) {
        self.last_serial += 1;
        let timeout_id = self.last_serial;
        if let Some(connection) = self.connections.get_mut(index) {
            connection.timeout_id = Some(timeout_id);
            self.timers.push(Reverse((
                self.now() + after,
                Timer::Timeout(index, timeout_id),
            )));
        }
    }

    /// Returns the link's faults in both directions: to the peer, and to the host.
    fn link_faults(&self, connection: &Connection) -> (LinkFault, LinkFault) {
        let host = Peer::Host(connection.host);
        let peer = match connection.role {
            ConnectionRole::Poll { list, .. } => Peer::List(list),
            ConnectionRole::Node { node, .. } => Peer::Node(node),
            ConnectionRole::Client { .. } | ConnectionRole::Readiness { .. } => Peer::Clients,
        };
        (
            self.links.fault_between(host, peer),
            self.links.fault_between(peer, host),
        )
    }

    /// Sends bytes from a peer to a host.
    pub(super) fn send(&mut self, index: u32, bytes: &[u8]) {
        let Some(connection) = self.connections.get(index) else {
            return;
        };
        let (_, to_host) = self.link_faults(connection);
        let now = self.now();
        if let Some(connection) = self.connections.get_mut(index) {
            connection.to_host.push(now, bytes, &to_host, &mut self.rng);
        }
        self.pump(index);
    }

    /// Schedules the delivery of due bytes on all connections in the next iteration, after a change of faults.
    pub(super) fn pump_all(&mut self) {
        let now = self.now();
        for index in self.connections.indices() {
            let serial = self.connections.get(index).map_or(0, |c| c.serial);
            self.timers
                .push(Reverse((now, Timer::Pump(ConnectionId { index, serial }))));
        }
    }

    /// Delivers the bytes that are due in both directions of a connection.
    pub(super) fn pump(&mut self, index: u32) {
        loop {
            let now = self.now();
            match self.pump_once(index, now) {
                Pumped::Moved => {}
                Pumped::Closed => return,
                Pumped::Idle => return self.schedule_pump(index, now),
            }
        }
    }

    fn pump_once(&mut self, index: u32, now: Micros) -> Pumped {
        let Some(connection) = self.connections.get(index) else {
            return Pumped::Closed;
        };
        let serial = connection.serial;
        let (to_peer, to_host) = self.link_faults(connection);
        let Some(connection) = self.connections.get_mut(index) else {
            return Pumped::Closed;
        };
        let mut moved = true;
        match connection.to_host.poll(now, &to_host) {
            PipeOutput::Bytes(bytes) => connection.unsent.extend_from_slice(&bytes),
            PipeOutput::Reset => return self.close_pumped(index, true),
            PipeOutput::Closed | PipeOutput::Nothing => moved = false,
        }
        if nonblocking::write_buffer(&mut connection.socket, &mut connection.unsent).is_err() {
            connection.is_left_unread = true;
            return self.close_pumped(index, false);
        }
        match connection.to_peer.poll(now, &to_peer) {
            PipeOutput::Bytes(bytes) => {
                connection.received.extend_from_slice(&bytes);
                self.on_received(index);
                moved = true;
            }
            PipeOutput::Reset => return self.close_pumped(index, true),
            PipeOutput::Closed => return self.close_pumped(index, false),
            PipeOutput::Nothing => {}
        }
        // The peer's handling of the bytes may have closed the connection.
        if self.connection(ConnectionId { index, serial }).is_none() {
            return Pumped::Closed;
        }
        if moved { Pumped::Moved } else { Pumped::Idle }
    }

    fn close_pumped(&mut self, index: u32, reset: bool) -> Pumped {
        self.close(index, reset);
        Pumped::Closed
    }

    fn schedule_pump(&mut self, index: u32, now: Micros) {
        let Some(connection) = self.connections.get_mut(index) else {
            return;
        };
        let pipes = [&connection.to_peer, &connection.to_host];
        if let Some(due) = pipes
            .into_iter()
            .filter_map(Pipe::next_due)
            .filter(|due| *due > now)
            .min()
        {
            let id = ConnectionId {
                index,
                serial: connection.serial,
            };
            self.timers.push(Reverse((due, Timer::Pump(id))));
        }
        if std::mem::take(&mut connection.read_paused) && !connection.to_peer.is_full() {
            self.read_socket(index);
        }
    }

    /// Reads the bytes that a host has sent, unless the pipe to the peer is full.
    pub(super) fn read_socket(&mut self, index: u32) {
        loop {
            let Some(connection) = self.connections.get(index) else {
                return;
            };
            let (to_peer, _) = self.link_faults(connection);
            let now = self.now();
            let Some(connection) = self.connections.get_mut(index) else {
                return;
            };
            if connection.to_peer.is_full() {
                connection.read_paused = true;
                return;
            }
            match nonblocking::read(&mut connection.socket, &mut self.read_buffer) {
                ReadOutcome::Read(count) => {
                    if matches!(connection.role, ConnectionRole::Node { .. }) {
                        connection.request_began.get_or_insert(now);
                    }
                    connection.to_peer.push(
                        now,
                        &self.read_buffer[..count],
                        &to_peer,
                        &mut self.rng,
                    );
                }
                ReadOutcome::WouldBlock => return self.pump(index),
                ReadOutcome::Closed(error) => {
                    connection.is_left_unread = is_left_unread(&connection.socket, &error);
                    connection.to_peer.close(now, &to_peer, &mut self.rng);
                    return self.pump(index);
                }
            }
        }
    }

    /// Handles the message that is complete with the bytes that a peer has received, if there is one.
    fn on_received(&mut self, index: u32) {
        let Some(connection) = self.connections.get_mut(index) else {
            return;
        };
        let received = &mut connection.received;
        match &mut connection.role {
            ConnectionRole::Poll { reader, .. } | ConnectionRole::Node { reader, .. } => {
                let Ok(message) = reader.advance(received, HTTP_LIMITS) else {
                    return self.close(index, true);
                };
                let Some(message) = message else { return };
                let request = received.drain(..message.end).collect::<Vec<u8>>();
                reader.reset();
                match connection.role {
                    ConnectionRole::Poll { .. } => self.on_poll(index, &request),
                    _ => self.on_node_request(index, &request),
                }
            }
            ConnectionRole::Client { reader, .. } | ConnectionRole::Readiness { reader } => {
                let Ok(message) = reader.advance(received, HTTP_LIMITS) else {
                    return self.close(index, true);
                };
                let Some(message) = message else { return };
                *reader = ResponseReader::default();
                let response = received.drain(..message.end).collect::<Vec<u8>>();
                self.on_response(index, &response, message.body);
            }
        }
    }

    /// Resets all connections with a matching role.
    pub(super) fn reset_connections(&mut self, matches: impl Fn(&ConnectionRole) -> bool) {
        let matching = self.connections.iter().filter(|(_, c)| matches(&c.role));
        let indexes: Vec<u32> = matching.map(|(index, _)| index).collect();
        for index in indexes {
            self.close(index, true);
        }
    }

    /// Closes a connection on behalf of either side, and cleans up after its role.
    pub(super) fn close(&mut self, index: u32, reset: bool) {
        let Some(mut connection) = self.connections.remove(index) else {
            return;
        };
        let _ = self.poll.registry().deregister(&mut connection.socket);
        if reset {
            let _ = SockRef::from(&connection.socket).set_linger(Some(Duration::ZERO));
        }
        let id = ConnectionId {
            index,
            serial: connection.serial,
        };
        match connection.role {
            ConnectionRole::Poll { list, .. } => self.discovery[list as usize].cancel(id),
            ConnectionRole::Node { node, pending, .. } => {
                let simulated = &mut self.nodes[node as usize];
                simulated.connections = simulated.connections.saturating_sub(1);
                simulated.connection_closed(id);
                if let Some(op) = pending {
                    self.record(Event::NodeConnectionLost { node, op });
                }
            }
            ConnectionRole::Client {
                request, is_reused, ..
            } => {
                if let Some(idle) = self.idle_connections.get_mut(&connection.host) {
                    idle.retain(|i| *i != index);
                }
                if let Some(operation) = request {
                    let is_unread = is_reused && connection.is_left_unread;
                    self.on_connection_lost(operation, is_unread);
                }
            }
            ConnectionRole::Readiness { .. } => self.schedule_readiness_check(connection.host),
        }
    }
}

/// Returns whether the host's system discarded the last bytes that were sent on an ended connection: the host closed
/// the connection before the bytes arrived, or left them unread when it closed. In both cases its system sent a reset.
fn is_left_unread(socket: &TcpStream, error: &ConnectionError) -> bool {
    match error {
        // A reset that arrives after the end of the stream is reported as a pending `BrokenPipe` error.
        ConnectionError::ClosedByPeer => matches!(
            socket.take_error(),
            Ok(Some(pending)) if pending.kind() == ErrorKind::BrokenPipe
        ),
        ConnectionError::Io(error) => error.kind() == ErrorKind::ConnectionReset,
        ConnectionError::WriteZero => false,
    }
}
