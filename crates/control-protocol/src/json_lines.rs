//! A connection that carries one JSON object per line.
use mallowseam_plans::error::ReplicaError;
use mallowseam_sockets::nonblocking::{self, ConnectionError, ReadOutcome};
use mio::net::TcpStream;
use mio::{Interest, Registry, Token};
use serde::Serialize;
use std::error::Error;
use std::io;
use std::net::SocketAddr;

/// Right shift that converts bytes to KiB.
const KIB_SHIFT: u32 = 10;
/// Right shift that converts bytes to MiB.
const MIB_SHIFT: u32 = 20;

/// Reason why a connection ended, or is closed by this side.
#[derive(Debug, thiserror::Error)]
pub enum Disconnect {
    /// The socket failed or was closed by the peer.
    #[error(transparent)]
    Socket(#[from] ConnectionError),
    /// A line is longer than this limit in bytes.
    #[error("received line is longer than {}", line_limit(*.0))]
    LineTooLong(usize),
    /// The peer reads too little of what is sent to it.
    #[error("peer does not read what is sent to it")]
    NotReading,
    /// A line is not a message.
    #[error(transparent)]
    Malformed(#[from] serde_json::Error),
    /// The first message of a host is not a hello message.
    #[error("first message of the host is not a hello message")]
    HelloExpected,
    /// A message of the snapshot catalog does not follow from the known tree.
    #[error("message of the snapshot catalog does not follow from the known tree")]
    TreeOutOfSequence,
    /// A message does not follow from the replicated plans.
    #[error(transparent)]
    Plans(#[from] ReplicaError),
    /// The service could not store the host as a member.
    #[error(transparent)]
    Store(Box<dyn Error + Send + Sync>),
}

fn line_limit(bytes: usize) -> String {
    match bytes >> MIB_SHIFT {
        0 => format!("{} KiB", bytes >> KIB_SHIFT),
        mib => format!("{mib} MiB"),
    }
}

/// A non-blocking connection that carries lines.
pub struct LineConnection {
    socket: TcpStream,
    /// Received part of a line whose end has not been received yet.
    partial: Vec<u8>,
    /// Bytes that have not been written yet.
    unsent: Vec<u8>,
}

/// Result of a read.
pub enum LineRead {
    /// The socket has no more data for now.
    WouldBlock,
    /// Complete lines, without line terminators; there may be more to read.
    Lines(Vec<Vec<u8>>),
    /// The connection has ended.
    Closed(Disconnect),
}

impl LineConnection {
    /// Starts to connect to an address.
    ///
    /// # Errors
    /// The socket cannot be opened, or the event loop cannot watch it.
    pub fn connect(address: SocketAddr, registry: &Registry, token: Token) -> io::Result<Self> {
        LineConnection::over(TcpStream::connect(address)?, registry, token)
    }

    /// Returns a connection over a socket, which the event loop watches from now on.
    ///
    /// # Errors
    /// The event loop cannot watch the socket.
    pub fn over(mut socket: TcpStream, registry: &Registry, token: Token) -> io::Result<Self> {
        let _ = socket.set_nodelay(true);
        registry.register(&mut socket, token, Interest::READABLE | Interest::WRITABLE)?;
        Ok(LineConnection {
            socket,
            partial: Vec::new(),
            unsent: Vec::new(),
        })
    }

    /// Queues a message; `flush` writes it.
    ///
    /// # Panics
    /// If the message cannot be serialized, which does not happen with the messages of this protocol.
    pub fn send(&mut self, message: &impl Serialize) {
        serde_json::to_writer(&mut self.unsent, message)
            .expect("every message type can be serialized, and writing to memory cannot fail");
        self.unsent.push(b'\n');
    }

    /// Returns the number of queued bytes that have not been written yet.
    pub fn unsent_bytes(&self) -> usize {
        self.unsent.len()
    }

    /// Writes as many of the queued bytes as the socket accepts.
    ///
    /// # Errors
    /// The connection has failed.
    pub fn flush(&mut self) -> Result<(), Disconnect> {
        Ok(nonblocking::write_buffer(
            &mut self.socket,
            &mut self.unsent,
        )?)
    }

    /// Reads once from the socket. `max_line` is the maximum length of a line, in bytes.
    pub fn read(&mut self, buffer: &mut [u8], max_line: usize) -> LineRead {
        if self.partial.len() > max_line {
            return LineRead::Closed(Disconnect::LineTooLong(max_line));
        }
        match nonblocking::read(&mut self.socket, buffer) {
            ReadOutcome::WouldBlock => LineRead::WouldBlock,
            ReadOutcome::Closed(reason) => LineRead::Closed(reason.into()),
            ReadOutcome::Read(len) => LineRead::Lines(self.split_lines(&buffer[..len])),
        }
    }

    fn split_lines(&mut self, mut bytes: &[u8]) -> Vec<Vec<u8>> {
        let mut lines = Vec::new();
        while let Some(end) = bytes.iter().position(|byte| *byte == b'\n') {
            self.partial.extend_from_slice(&bytes[..end]);
            bytes = &bytes[end + 1..];
            lines.push(std::mem::take(&mut self.partial));
        }
        self.partial.extend_from_slice(bytes);
        lines
    }

    /// Closes the connection.
    pub fn close(mut self, registry: &Registry) {
        let _ = registry.deregister(&mut self.socket);
    }
}
