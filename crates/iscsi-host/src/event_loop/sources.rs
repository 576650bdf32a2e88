//! Event sources that the event loop polls, and their tokens.
#[cfg(test)]
mod tests;

use crate::client_connections::ClientId;
use crate::node_connections::NodeIndex;
use mallowseam_control_protocol::control_socket::{self, ConnectionId};
use mio::Token;

pub(super) const LISTENER: Token = Token(0);
pub(super) const CONTROL: Token = Token(1);
pub(super) const ENDPOINT_LIST: Token = Token(2);
pub(super) const SIGNALS: Token = Token(3);
pub(super) const CATALOG: Token = Token(4);
pub(super) const PLANS: Token = Token(5);
pub(super) const MEMBERSHIP: Token = Token(6);
/// First token of connections to the control socket. Their number is bounded.
pub(super) const FIRST_CONTROL_CONNECTION: usize = 7;
/// First token of connections to nodes. Tokens of client connections follow.
pub(super) const FIRST_NODE: usize = FIRST_CONTROL_CONNECTION + control_socket::MAX_CONNECTIONS;

/// Returns the first token of client connections. `nodes`: number of configured nodes.
pub(super) fn first_client(nodes: usize) -> usize {
    FIRST_NODE + nodes
}

/// An event source.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Source {
    /// The listener for clients.
    Listener,
    /// The control socket, to which operators connect.
    Control,
    /// The connection to the endpoint list service.
    EndpointList,
    /// The socket that reports SIGTERM and SIGINT.
    Signals,
    /// The connection to the snapshot catalog.
    Catalog,
    /// The connection to the plan service.
    Plans,
    /// The datagram socket of fleet membership.
    Membership,
    /// The connection of an operator to the control socket.
    ControlConnection(ConnectionId),
    Node(NodeIndex),
    Client(ClientId),
}

impl Source {
    /// Returns the source with a token. `nodes`: number of configured nodes.
    pub(super) fn of_token(token: Token, nodes: usize) -> Source {
        let first_client = first_client(nodes);
        match token {
            LISTENER => Source::Listener,
            CONTROL => Source::Control,
            ENDPOINT_LIST => Source::EndpointList,
            SIGNALS => Source::Signals,
            CATALOG => Source::Catalog,
            PLANS => Source::Plans,
            MEMBERSHIP => Source::Membership,
            Token(token) if token < FIRST_NODE => {
                Source::ControlConnection((token - FIRST_CONTROL_CONNECTION) as ConnectionId)
            }
            Token(token) if token < first_client => Source::Node(token - FIRST_NODE),
            Token(token) => Source::Client((token - first_client) as ClientId),
        }
    }
}
