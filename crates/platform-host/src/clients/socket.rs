//! The socket of a client's connection, and what the poll and reads have told of it.
use super::SocketEvent;
use mallowseam_sockets::nonblocking::{self, ReadOutcome};
use mio::net::TcpStream;
use std::io::{self, ErrorKind};
use std::net::Shutdown;

/// A client's socket.
pub struct ClientSocket {
    stream: TcpStream,
    /// The poll has reported it at least once.
    is_polled: bool,
    /// It may have more to read.
    is_readable: bool,
    /// The client has closed its side.
    is_disconnected: bool,
}

impl ClientSocket {
    /// The socket of a connection that was just accepted.
    pub fn new(stream: TcpStream) -> Self {
        ClientSocket {
            stream,
            is_polled: false,
            is_readable: true,
            is_disconnected: false,
        }
    }

    /// The stream, for the poll and for writes.
    pub fn stream_mut(&mut self) -> &mut TcpStream {
        &mut self.stream
    }

    /// The poll has reported it.
    pub fn on_event(&mut self, event: SocketEvent) {
        self.is_polled = true;
        self.is_readable |= event != SocketEvent::Writable;
        self.is_disconnected |= event == SocketEvent::Disconnected;
    }

    /// Whether it may have more to read.
    pub fn is_readable(&self) -> bool {
        self.is_readable
    }

    /// Whether the client is known to have closed its side.
    pub fn is_disconnected(&self) -> bool {
        self.is_disconnected
    }

    /// Whether the client has closed its side; looks at the socket if the poll has not reported it yet, or the last poll
    /// is too old to rely on.
    pub fn check_disconnected(&mut self, is_poll_stale: bool) -> bool {
        if !self.is_disconnected && (is_poll_stale || !self.is_polled) {
            self.is_disconnected = self.has_ended();
        }
        self.is_disconnected
    }

    /// Whether the stream has ended, without waiting for the poll; a look at the socket shows that once all bytes before
    /// the end were read.
    fn has_ended(&self) -> bool {
        match self.peek(&mut [0]) {
            Ok(count) => count == 0,
            Err(e) => !matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted),
        }
    }

    /// Whether there are bytes to read, without waiting for the poll.
    pub fn check_readable(&mut self) -> bool {
        self.is_readable |= matches!(self.peek(&mut [0]), Ok(count) if count > 0);
        self.is_readable
    }

    /// Copies bytes that have arrived, and leaves them in the socket.
    pub fn peek(&self, buffer: &mut [u8]) -> io::Result<usize> {
        self.stream.peek(buffer)
    }

    /// Reads once.
    pub fn read(&mut self, buffer: &mut [u8]) -> ReadOutcome {
        let outcome = nonblocking::read(&mut self.stream, buffer);
        if matches!(outcome, ReadOutcome::WouldBlock) {
            self.is_readable = false;
        }
        outcome
    }

    /// A read has returned fewer bytes than it asked for, which has emptied the socket: the poll reports what arrives
    /// later. But the end of the stream is reported only once.
    pub fn on_short_read(&mut self) {
        self.is_readable = self.is_disconnected;
    }

    /// Closes the host's sending side.
    ///
    /// # Errors
    /// The connection has failed.
    pub fn shutdown_write(&self) -> io::Result<()> {
        self.stream.shutdown(Shutdown::Write)
    }
}
