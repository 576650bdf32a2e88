//! The system's table of TCP sockets, which shows pending connections and bytes that are not delivered or not read.
use super::wait_until;
use std::net::{SocketAddr, TcpStream};

/// Code of state ESTABLISHED in the table.
pub const ESTABLISHED: &str = "01";
/// Code of state SYN-SENT in the table.
pub const SYN_SENT: &str = "02";
/// State TIME-WAIT with empty queues, as in a row of a connection that only waits for late segments.
const TIME_WAIT: &str = " 06 00000000:00000000 ";

/// A row of the table.
pub struct SocketRow {
    pub local: String,
    pub remote: String,
    pub state: String,
    /// Whether bytes were sent that the other side's socket has not acknowledged.
    pub undelivered: bool,
    /// Whether bytes were received that the owner has not read.
    pub unread: bool,
}

/// Returns the rows of all sockets except those in TIME-WAIT, which belong to no process and have no bytes left. Other
/// tests leave tens of thousands of those behind, and parsing them would take longer than some of the host's timeouts.
pub fn sockets() -> Vec<SocketRow> {
    let table = std::fs::read_to_string("/proc/net/tcp").expect("the table can be read");
    let rows = table.lines().skip(1);
    let of_processes = rows.filter(|row| !row.contains(TIME_WAIT));
    of_processes.filter_map(parse_row).collect()
}

fn parse_row(line: &str) -> Option<SocketRow> {
    let mut fields = line.split_whitespace().skip(1).map(str::to_owned);
    let (local, remote, state) = (fields.next()?, fields.next()?, fields.next()?);
    let queues = fields.next()?;
    let (undelivered, unread) = (
        !queues.starts_with("00000000:"),
        !queues.ends_with(":00000000"),
    );
    Some(SocketRow {
        local,
        remote,
        state,
        undelivered,
        unread,
    })
}

/// Returns an address in the notation of the table.
pub fn table_address(address: SocketAddr) -> String {
    let SocketAddr::V4(address) = address else {
        panic!("{address} is not an IPv4 address")
    };
    format!(
        "{:08X}:{:04X}",
        u32::from_le_bytes(address.ip().octets()),
        address.port()
    )
}

/// Waits until all bytes that were written to a socket are in the other side's socket.
pub fn wait_until_delivered(socket: &TcpStream) {
    let local = table_address(socket.local_addr().expect("the socket is bound"));
    let remote = table_address(socket.peer_addr().expect("the socket is connected"));
    let is_undelivered =
        |row: &SocketRow| row.local == local && row.remote == remote && row.undelivered;
    wait_until("all bytes are delivered", || {
        !sockets().iter().any(is_undelivered)
    });
}
