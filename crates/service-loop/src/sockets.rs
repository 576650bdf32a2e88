//! Sockets of a service: the listener and connections of hosts, the control socket, and the signal socket.
use crate::host_connections::{HostConnections, HostId, Limits};
use crate::operators::Operators;
use crate::stop_requests::StopRequests;
use mallowseam_control_protocol::control_socket::{self, ConnectionId};
use mallowseam_control_protocol::startup::{self, StartError};
use mio::{Poll, Token};
use std::net::SocketAddr;
use std::path::Path;

/// Token of the listener for hosts.
const LISTENER: Token = Token(0);
/// Token of the control socket.
const CONTROL: Token = Token(1);
/// Token of the signal socket.
const SIGNALS: Token = Token(2);
/// First token of connections to the control socket.
const FIRST_CONTROL_CONNECTION: usize = 3;
/// First token of connections to nodes. The tokens of host connections follow those of the nodes.
pub const FIRST_NODE_TOKEN: usize = FIRST_CONTROL_CONNECTION + control_socket::MAX_CONNECTIONS;

/// Event of a ready socket that the service must handle.
pub enum SocketEvent {
    /// An operator has sent a request.
    Request {
        /// Connection to which the answer is sent.
        connection: ConnectionId,
        /// Line of the request.
        line: String,
    },
    /// The connection to the storage node with this index is ready.
    Node(usize),
    /// The connection of the host with this id is ready.
    Host(HostId),
}

/// Sockets of a service that is starting: the service listens, and signals still end the process.
pub struct ListeningSockets<T> {
    hosts: HostConnections<T>,
    operators: Operators,
    node_count: usize,
}

impl<T: Default> ListeningSockets<T> {
    /// Listens for hosts at an address and for operators at a control socket, if a path is given. `node_count`: number
    /// of tokens that are reserved for connections to nodes.
    ///
    /// # Errors
    /// Returns an error if the listener or the control socket cannot be opened.
    pub fn open(
        address: SocketAddr,
        control_socket: Option<&Path>,
        node_count: usize,
        limits: Limits,
        poll: &Poll,
    ) -> Result<Self, StartError> {
        let first_host = FIRST_NODE_TOKEN + node_count;
        let hosts = HostConnections::open(address, poll, LISTENER, first_host, limits)?;
        let control =
            startup::control_socket(control_socket, poll, CONTROL, FIRST_CONTROL_CONNECTION)?;
        Ok(ListeningSockets {
            hosts,
            operators: Operators::new(control),
            node_count,
        })
    }

    /// Makes SIGTERM and SIGINT requests to stop from now on.
    ///
    /// # Errors
    /// Returns an error if the signal handlers cannot be set up.
    pub fn watch_signals(self, poll: &Poll) -> Result<ServiceSockets<T>, StartError> {
        Ok(ServiceSockets {
            hosts: self.hosts,
            operators: self.operators,
            stop_requests: StopRequests::watch_signals(poll, SIGNALS)?,
            first_host: FIRST_NODE_TOKEN + self.node_count,
        })
    }
}

/// Sockets of a service.
pub struct ServiceSockets<T> {
    hosts: HostConnections<T>,
    operators: Operators,
    stop_requests: StopRequests,
    /// First token of host connections.
    first_host: usize,
}

impl<T: Default> ServiceSockets<T> {
    /// Handles a ready socket: accepts connections, receives signals and reads requests of operators. Returns the
    /// event that the service must handle, if there is one.
    pub fn on_ready(&mut self, token: Token) -> Option<SocketEvent> {
        match token {
            LISTENER => self.hosts.accept(),
            CONTROL => self.operators.accept(),
            SIGNALS => self.stop_requests.on_signal_ready(),
            Token(token) if token < FIRST_NODE_TOKEN => {
                let connection = (token - FIRST_CONTROL_CONNECTION) as ConnectionId;
                let line = self.operators.read_request(connection)?;
                return Some(SocketEvent::Request { connection, line });
            }
            Token(token) if token < self.first_host => {
                return Some(SocketEvent::Node(token - FIRST_NODE_TOKEN));
            }
            Token(token) => return Some(SocketEvent::Host((token - self.first_host) as HostId)),
        }
        None
    }

    /// Returns the connections of hosts.
    pub fn hosts(&self) -> &HostConnections<T> {
        &self.hosts
    }

    /// Returns the connections of hosts for changes.
    pub fn hosts_mut(&mut self) -> &mut HostConnections<T> {
        &mut self.hosts
    }

    /// Returns the connections of operators for changes.
    pub fn operators_mut(&mut self) -> &mut Operators {
        &mut self.operators
    }

    /// Records that an operator has asked the process to stop.
    pub fn request_stop(&mut self) {
        self.stop_requests.request();
    }

    /// Returns whether the process has been asked to stop.
    pub fn is_stop_requested(&self) -> bool {
        self.stop_requests.is_requested()
    }
}
