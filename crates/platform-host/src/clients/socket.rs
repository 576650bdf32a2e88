//! Socket of a client's connection, and its state as reported by the poll and by reads.
use super::SocketEvent;
use mallowseam_sockets::nonblocking::{self, ReadOutcome};
use mio::net::TcpStream;
use std::io::{self, ErrorKind};
use std::net::Shutdown;

/// Socket of a client's connection.
pub struct ClientSocket {
    stream: TcpStream,
    /// The poll has reported the socket at least once.
    is_polled: bool,
    /// The socket may have bytes to read.
    is_readable: bool,
    /// The client is known to have closed its side.
    is_disconnected: bool,
}

impl ClientSocket {
    /// Creates the state for the socket of a connection that was just accepted.
    pub fn new(stream: TcpStream) -> Self {
        ClientSocket {
            stream,
            is_polled: false,
            is_readable: true,
            is_disconnected: false,
        }
    }

    /// Returns the stream, to register it with the poll and to write to it.
    pub fn stream_mut(&mut self) -> &mut TcpStream {
        &mut self.stream
    }

    /// Records an event that the poll has reported for the socket.
    pub fn on_event(&mut self, event: SocketEvent) {
        self.is_polled = true;
        self.is_readable |= event != SocketEvent::Writable;
        self.is_disconnected |= event == SocketEvent::Disconnected;
    }

    /// Returns whether the socket may have bytes to read.
    pub fn is_readable(&self) -> bool {
        self.is_readable
    }

    /// Returns whether the client is known to have closed its side.
    pub fn is_disconnected(&self) -> bool {
        self.is_disconnected
    }

    /// Returns whether the client has closed its side. Peeks at the socket if the poll has not reported it yet, or if
    /// the last poll is too old to rely on.
    pub fn check_disconnected(&mut self, is_poll_stale: bool) -> bool {
        if !self.is_disconnected && (is_poll_stale || !self.is_polled) {
            self.is_disconnected = self.has_ended();
        }
        self.is_disconnected
    }

    /// Peeks at the socket and returns whether the stream has ended. The end shows only once all bytes before it were
    /// read.
    fn has_ended(&self) -> bool {
        match self.peek(&mut [0]) {
            Ok(count) => count == 0,
            Err(e) => !matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted),
        }
    }

    /// Peeks at the socket, without waiting for the poll, and returns whether it may have bytes to read.
    pub fn check_readable(&mut self) -> bool {
        self.is_readable |= matches!(self.peek(&mut [0]), Ok(count) if count > 0);
        self.is_readable
    }

    /// Copies received bytes to `buffer`, and leaves them in the socket.
    pub fn peek(&self, buffer: &mut [u8]) -> io::Result<usize> {
        self.stream.peek(buffer)
    }

    /// Reads once from the socket.
    pub fn read(&mut self, buffer: &mut [u8]) -> ReadOutcome {
        let outcome = nonblocking::read(&mut self.stream, buffer);
        if matches!(outcome, ReadOutcome::WouldBlock) {
            self.is_readable = false;
        }
        outcome
    }

    /// Records that a read returned fewer bytes than requested, which has emptied the socket. The poll reports bytes
    /// that arrive later, but it reports the end of the stream only once: a disconnected socket stays readable.
    pub fn on_short_read(&mut self) {
        self.is_readable = self.is_disconnected;
    }

    /// Closes the host's sending side.
    ///
    /// # Errors
    /// Returns an error if the connection has failed.
    pub fn shutdown_write(&self) -> io::Result<()> {
        self.stream.shutdown(Shutdown::Write)
    }
}
