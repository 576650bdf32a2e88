//! A connection that carries one JSON object a line.
use mallowseam_plans::error::ReplicaError;
use mallowseam_sockets::nonblocking::{self, ConnectionError, ReadOutcome};
use mio::net::TcpStream;
use mio::{Interest, Registry, Token};
use serde::Serialize;
use std::error::Error;
use std::io;
use std::net::SocketAddr;

/// Bits by which a number of bytes is shifted to a number of KiB.
const KIB_SHIFT: u32 = 10;
/// Bits by which a number of bytes is shifted to a number of MiB.
const MIB_SHIFT: u32 = 20;

/// Why a connection ended, or is ended by this side.
#[derive(Debug, thiserror::Error)]
pub enum Disconnect {
    /// The socket failed or was closed by the other side.
    #[error(transparent)]
    Socket(#[from] ConnectionError),
    /// A line is longer than this many bytes.
    #[error("a line past {}", line_limit(*.0))]
    LineTooLong(usize),
    /// The other side reads too little of what is sent to it.
    #[error("takes nothing")]
    NotReading,
    /// A line is not a message.
    #[error(transparent)]
    Malformed(#[from] serde_json::Error),
    /// A host's first message is not hello.
    #[error("expected hello first")]
    HelloExpected,
    /// A message of the snapshot catalog does not follow from the known tree.
    #[error("what the catalog says does not follow what is known")]
    TreeOutOfSequence,
    /// A message does not follow from the replicated plans.
    #[error(transparent)]
    Plans(#[from] ReplicaError),
    /// The service could not store that the host is a member.
    #[error(transparent)]
    Store(Box<dyn Error + Send + Sync>),
}

fn line_limit(bytes: usize) -> String {
    match bytes >> MIB_SHIFT {
        0 => format!("{} KiB", bytes >> KIB_SHIFT),
        mebi => format!("{mebi} MiB"),
    }
}

/// A connection that carries lines.
pub struct LineConnection {
    socket: TcpStream,
    /// The start of a line whose end has not been received yet.
    partial: Vec<u8>,
    /// Bytes that wait to be written.
    unsent: Vec<u8>,
}

/// What an attempt to read came to.
pub enum LineRead {
    /// Nothing more has arrived for now.
    WouldBlock,
    /// Complete lines, without their ends; there may be more.
    Lines(Vec<Vec<u8>>),
    /// The connection is over.
    Closed(Disconnect),
}

impl LineConnection {
    /// Begins to connect.
    ///
    /// # Errors
    /// The system opens no socket, or the event loop cannot watch it.
    pub fn connect(address: SocketAddr, registry: &Registry, token: Token) -> io::Result<Self> {
        LineConnection::over(TcpStream::connect(address)?, registry, token)
    }

    /// Carries lines over a socket, which the event loop watches from now on.
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
    /// If the message does not serialize, which no message of this protocol does.
    pub fn send(&mut self, message: &impl Serialize) {
        serde_json::to_writer(&mut self.unsent, message)
            .expect("every message type serializes, and writing to memory does not fail");
        self.unsent.push(b'\n');
    }

    /// Bytes that wait for the socket to take them.
    pub fn unsent_bytes(&self) -> usize {
        self.unsent.len()
    }

    /// Writes what is queued, as far as the socket takes it.
    ///
    /// # Errors
    /// The connection has failed.
    pub fn flush(&mut self) -> Result<(), Disconnect> {
        Ok(nonblocking::write_buffer(
            &mut self.socket,
            &mut self.unsent,
        )?)
    }

    /// Reads once. `max_line` is how many bytes a line may have.
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
