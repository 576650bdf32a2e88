//! Poll tokens of all event sources.
use mio::Token;

/// The listening socket.
pub const LISTENER: Token = Token(0);
/// The pipe of SIGTERM.
pub const SIGTERM: Token = Token(1);
/// The pipe of SIGHUP.
pub const SIGHUP: Token = Token(2);
/// The two connections to the discovery service.
pub const DISCOVERY: [Token; 2] = [Token(3), Token(4)];
/// The pipe of SIGINT.
pub const SIGINT: Token = Token(5);
/// The datagram socket of fleet membership.
pub const FLEET: Token = Token(6);
/// Tokens of connections start here: even offsets are clients', odd ones nodes'.
const FIRST_CONNECTION: usize = 8;

/// A connection, by its slot in its table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Connection {
    /// From a client.
    Client(u32),
    /// To a storage node.
    Node(u32),
}

/// The token of a client's connection.
pub fn client(slot: u32) -> Token {
    Token(FIRST_CONNECTION + 2 * slot as usize)
}

/// The token of a connection to a node.
pub fn node(slot: u32) -> Token {
    Token(FIRST_CONNECTION + 2 * slot as usize + 1)
}

/// The connection of a token; none for all other sources.
pub fn connection(token: Token) -> Option<Connection> {
    let offset = token.0.checked_sub(FIRST_CONNECTION)?;
    let slot = (offset / 2) as u32;
    Some(if offset.is_multiple_of(2) {
        Connection::Client(slot)
    } else {
        Connection::Node(slot)
    })
}
