//! Query for the membership table of a running host, one page at a time.
use crate::MembershipSnapshot;
use mallowseam_fleet::wire::{self, MAX_DATAGRAM_BYTES, MembershipPage, Message};
use std::io;
use std::net::{Ipv4Addr, Ipv6Addr, SocketAddr, UdpSocket};
use std::time::Duration;

/// Number of attempts to query each page.
const ATTEMPTS: u32 = 4;
/// Timeout of one attempt.
const TIMEOUT: Duration = Duration::from_millis(500);

/// Reason why a host's membership table could not be queried.
#[derive(Debug, thiserror::Error)]
pub enum QueryError {
    /// The socket failed, for instance because no process listens at the host's address.
    #[error(transparent)]
    Socket(#[from] io::Error),
    /// The host did not answer any attempt in time.
    #[error("membership query timed out")]
    Timeout,
    /// The host answered with something other than a page in this format version.
    #[error("answer is not a membership page that this version of the program can read")]
    UnreadableAnswer,
}

/// Queries the membership table of the host whose membership protocol listens at this address. Blocks for up to two
/// seconds for each page.
///
/// # Errors
/// The host did not answer, its answer cannot be decoded, or the socket failed.
pub fn query_membership(host: SocketAddr) -> Result<MembershipSnapshot, QueryError> {
    let socket = UdpSocket::bind(local_address(host))?;
    socket.connect(host)?;
    socket.set_read_timeout(Some(TIMEOUT))?;
    let mut first_id = 0;
    let mut snapshot = MembershipSnapshot::default();
    loop {
        let page = query_page(&socket, first_id)?;
        let next_id = page.next_id;
        snapshot.append(page);
        // Only ids above the last one are queried next, so that the loop ends whatever the host answers.
        match next_id.filter(|next_id| *next_id > first_id) {
            Some(next_id) => first_id = next_id,
            None => return Ok(snapshot),
        }
    }
}

/// Returns a local address, with any free port, from which the host can be reached.
fn local_address(host: SocketAddr) -> SocketAddr {
    match host {
        SocketAddr::V4(address) if address.ip().is_loopback() => (Ipv4Addr::LOCALHOST, 0).into(),
        SocketAddr::V4(_) => (Ipv4Addr::UNSPECIFIED, 0).into(),
        SocketAddr::V6(_) => (Ipv6Addr::UNSPECIFIED, 0).into(),
    }
}

fn query_page(socket: &UdpSocket, first_id: u64) -> Result<MembershipPage, QueryError> {
    let mut last_error = QueryError::Timeout;
    for _ in 0..ATTEMPTS {
        socket.send(&wire::encode_query(first_id))?;
        match receive_page(socket) {
            Ok(page) => return Ok(page),
            // A timeout does not replace the more specific error of an earlier attempt.
            Err(QueryError::Timeout) => {}
            Err(error) => last_error = error,
        }
    }
    Err(last_error)
}

fn receive_page(socket: &UdpSocket) -> Result<MembershipPage, QueryError> {
    let mut buffer = [0; MAX_DATAGRAM_BYTES];
    let len = socket.recv(&mut buffer).map_err(receive_error)?;
    let datagram = buffer.get(..len).ok_or(QueryError::UnreadableAnswer)?;
    match wire::decode_any_fleet(datagram) {
        Ok(Message::Page(page)) => Ok(page),
        _ => Err(QueryError::UnreadableAnswer),
    }
}

/// Converts an error of the socket. The platform determines which of two kinds reports a read timeout.
fn receive_error(error: io::Error) -> QueryError {
    match error.kind() {
        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut => QueryError::Timeout,
        _ => QueryError::Socket(error),
    }
}
