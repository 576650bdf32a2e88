//! The sockets of a service: the listener and connections of hosts, the control socket, and the signals.
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
/// Token of the signals' socket.
const SIGNALS: Token = Token(2);
/// First token of connections to the control socket.
const FIRST_CONTROL_CONNECTION: usize = 3;
/// First token of connections to nodes; those of hosts follow.
pub const FIRST_NODE_TOKEN: usize = FIRST_CONTROL_CONNECTION + control_socket::MAX_CONNECTIONS;

/// What a socket that is ready leaves to the service.
pub enum SocketEvent {
    /// An operator has sent a request.
    Request {
        /// Where the answer goes.
        connection: ConnectionId,
        /// The request.
        line: String,
    },
    /// The connection to the storage node of this index is ready.
    Node(usize),
    /// The connection of a host is ready.
    Host(HostId),
}

/// The sockets of a service that is being opened: it listens, and signals still end the process.
pub struct ListeningSockets<T> {
    hosts: HostConnections<T>,
    operators: Operators,
    node_count: usize,
}

impl<T: Default> ListeningSockets<T> {
    /// Listens for hosts at an address and for operators at a control socket, if there is to be one.
    /// `node_count`: how many tokens to leave for connections to nodes.
    ///
    /// # Errors
    /// The address or the control socket cannot be had.
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

    /// From now on SIGTERM and SIGINT are requests to stop.
    ///
    /// # Errors
    /// Signals cannot be received.
    pub fn watch_signals(self, poll: &Poll) -> Result<ServiceSockets<T>, StartError> {
        Ok(ServiceSockets {
            hosts: self.hosts,
            operators: self.operators,
            stop_requests: StopRequests::watch_signals(poll, SIGNALS)?,
            first_host: FIRST_NODE_TOKEN + self.node_count,
        })
    }
}

/// The sockets of a service.
pub struct ServiceSockets<T> {
    hosts: HostConnections<T>,
    operators: Operators,
    stop_requests: StopRequests,
    /// First token of connections of hosts.
    first_host: usize,
}

impl<T: Default> ServiceSockets<T> {
    /// The socket of a token is ready. Accepts connections, takes signals and reads requests of operators;
    /// what the service itself has to do is returned.
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

    /// The connections of hosts.
    pub fn hosts(&self) -> &HostConnections<T> {
        &self.hosts
    }

    /// The connections of hosts.
    pub fn hosts_mut(&mut self) -> &mut HostConnections<T> {
        &mut self.hosts
    }

    /// The connections of operators.
    pub fn operators_mut(&mut self) -> &mut Operators {
        &mut self.operators
    }

    /// An operator asks the process to stop.
    pub fn request_stop(&mut self) {
        self.stop_requests.request();
    }

    /// Whether the process has been asked to stop.
    pub fn is_stop_requested(&self) -> bool {
        self.stop_requests.is_requested()
    }
}
