//! Poll tokens of the event sources.
use mio::Token;

/// Token of the listening socket.
pub const LISTENER: Token = Token(0);
/// Token of the pipe for SIGTERM.
pub const SIGTERM: Token = Token(1);
/// Token of the pipe for SIGHUP.
pub const SIGHUP: Token = Token(2);
/// Tokens of the two connections to the discovery service.
pub const DISCOVERY: [Token; 2] = [Token(3), Token(4)];
/// Token of the pipe for SIGINT.
pub const SIGINT: Token = Token(5);
/// Token of the datagram socket for fleet membership.
pub const FLEET: Token = Token(6);
/// First token of client and node connections. Even offsets from it are connections of clients, odd ones connections to
/// nodes.
const FIRST_CONNECTION: usize = 8;

/// A client or node connection, identified by its slot in its table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Connection {
    /// Slot of a connection from a client.
    Client(u32),
    /// Slot of a connection to a storage node.
    Node(u32),
}

/// Returns the token of a client's connection.
pub fn client(slot: u32) -> Token {
    Token(FIRST_CONNECTION + 2 * slot as usize)
}

/// Returns the token of a connection to a node.
pub fn node(slot: u32) -> Token {
    Token(FIRST_CONNECTION + 2 * slot as usize + 1)
}

/// Returns the connection of a token, or `None` if the token belongs to another event source.
pub fn connection(token: Token) -> Option<Connection> {
    let offset = token.0.checked_sub(FIRST_CONNECTION)?;
    let slot = (offset / 2) as u32;
    Some(if offset.is_multiple_of(2) {
        Connection::Client(slot)
    } else {
        Connection::Node(slot)
    })
}
