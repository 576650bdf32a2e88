//! Query for the membership table of a running host, page by page.
use crate::MembershipSnapshot;
use mallowseam_fleet::wire::{self, MAX_DATAGRAM_BYTES, MembershipPage, Message};
use std::io;
use std::net::{Ipv4Addr, Ipv6Addr, SocketAddr, UdpSocket};
use std::time::Duration;

/// Attempts for each page.
const ATTEMPTS: u32 = 4;
/// Wait for the answer to one attempt.
const TIMEOUT: Duration = Duration::from_millis(500);

/// Why a host's membership table could not be queried.
#[derive(Debug, thiserror::Error)]
pub enum QueryError {
    /// The socket failed, for instance because no process listens at the host's address.
    #[error(transparent)]
    Socket(#[from] io::Error),
    /// The host did not answer.
    #[error("timed out")]
    Timeout,
    /// The host answered with something else than a page of this version.
    #[error("no view of this version of the program")]
    UnreadableAnswer,
}

/// Queries the membership table of the host that listens for its fleet at this address. Blocks for up to two seconds a
/// page.
///
/// # Errors
/// The host did not answer, its answer can't be decoded, or the socket failed.
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
        // Pages go forward, whatever the answer says.
        match next_id.filter(|next_id| *next_id > first_id) {
            Some(next_id) => first_id = next_id,
            None => return Ok(snapshot),
        }
    }
}

/// Any free port of an address from which the host can be reached.
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
            // An earlier attempt's error says more.
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

/// A socket whose read timeout is over reports one of two kinds, by platform.
fn receive_error(error: io::Error) -> QueryError {
    match error.kind() {
        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut => QueryError::Timeout,
        _ => QueryError::Socket(error),
    }
}
