//! The control socket of a process: a Unix socket on which an operator sends one request line and gets one answer.
mod client;

pub use client::{RequestError, send_request};

use mallowseam_sockets::nonblocking::{self, ReadOutcome};
use mallowseam_sockets::slab::Slab;
use mio::net::{UnixListener, UnixStream};
use mio::{Interest, Registry, Token};
use std::fmt::Display;
use std::io::{self, ErrorKind, Write};
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};

/// Maximum number of concurrent connections: an operator and a few scripts.
pub const MAX_CONNECTIONS: usize = 16;
/// Maximum size of a request, in bytes.
const MAX_REQUEST_BYTES: usize = 8_192;
/// Terminates every answer, so that a truncated answer can be recognized.
const ANSWER_TERMINATOR: &str = "\n\n";
/// Prefix of the answer to a refused request; the reason follows.
const REFUSAL_PREFIX: &str = "error: ";
/// Permissions of the socket file: only the user that runs the process may connect.
const SOCKET_PERMISSIONS: u32 = 0o600;

/// Returns the answer to a refused request.
pub fn refusal(reason: &impl Display) -> String {
    format!("{REFUSAL_PREFIX}{reason}")
}

/// Index of a connection to the control socket.
pub type ConnectionId = u32;

/// The connection of an operator.
struct Connection {
    socket: UnixStream,
    /// Received part of a request whose end has not been received yet.
    request: Vec<u8>,
    /// Part of the answer that has not been written yet. None: there is no answer yet.
    unsent_answer: Option<Vec<u8>>,
}

/// Result of reading from a connection.
enum RequestRead {
    /// The line of a complete request.
    Complete(String),
    /// The end of the request has not been received yet.
    Incomplete,
    /// The connection has been closed or has failed, or the request is too long.
    Closed,
}

/// Result of writing an answer.
enum AnswerWrite {
    /// Part of the answer has to wait until the socket accepts more, or there is no answer yet.
    Pending,
    /// The answer is written completely, or the connection has failed.
    Finished,
}

impl Connection {
    /// Reads until the request is complete or the socket has no more data for now.
    fn read_request(&mut self) -> RequestRead {
        let mut buffer = [0; MAX_REQUEST_BYTES];
        loop {
            match nonblocking::read(&mut self.socket, &mut buffer) {
                ReadOutcome::Read(len) => self.request.extend_from_slice(&buffer[..len]),
                ReadOutcome::WouldBlock => return RequestRead::Incomplete,
                ReadOutcome::Closed(_) => return RequestRead::Closed,
            }
            if let Some(line) = self.take_line() {
                return RequestRead::Complete(line);
            }
            if self.request.len() > MAX_REQUEST_BYTES {
                return RequestRead::Closed;
            }
        }
    }

    /// Returns the first line of the received data, if it is complete. Data after that line is dropped.
    fn take_line(&mut self) -> Option<String> {
        let end = self.request.iter().position(|byte| *byte == b'\n')?;
        let line = String::from_utf8_lossy(&self.request[..end])
            .trim()
            .to_owned();
        self.request.clear();
        Some(line)
    }

    /// Writes as much of the answer as the socket accepts.
    fn write_answer(&mut self) -> AnswerWrite {
        let Some(unsent) = &mut self.unsent_answer else {
            return AnswerWrite::Pending;
        };
        match nonblocking::write_buffer(&mut self.socket, unsent) {
            Ok(()) if !unsent.is_empty() => AnswerWrite::Pending,
            Ok(()) | Err(_) => AnswerWrite::Finished,
        }
    }
}

/// The listening side of a control socket, which removes the socket file when it is dropped.
pub struct ControlSocket {
    listener: UnixListener,
    path: PathBuf,
    connections: Slab<Connection>,
    registry: Registry,
    first_token: usize,
}

impl ControlSocket {
    /// Listens at a path; connections get tokens from `first_token` on. A stale socket file, whose process has ended,
    /// is replaced.
    ///
    /// # Errors
    /// A running process listens at the path, or the socket cannot be created.
    pub(crate) fn open(
        path: &Path,
        registry: Registry,
        listener_token: Token,
        first_token: usize,
    ) -> io::Result<Self> {
        remove_stale_socket(path)?;
        let mut listener = UnixListener::bind(path)?;
        std::fs::set_permissions(path, PermissionsExt::from_mode(SOCKET_PERMISSIONS))?;
        registry.register(&mut listener, listener_token, Interest::READABLE)?;
        Ok(ControlSocket {
            listener,
            path: path.to_owned(),
            connections: Slab::default(),
            registry,
            first_token,
        })
    }

    /// Accepts all pending connections.
    pub fn accept(&mut self) {
        while let Ok((mut socket, _)) = self.listener.accept() {
            if self.connections.len() >= MAX_CONNECTIONS {
                let refused = refusal(&"too many connections to the control socket");
                let _ = socket.write(format!("{refused}{ANSWER_TERMINATOR}").as_bytes());
                continue;
            }
            let token = Token(self.first_token + self.connections.next_index() as usize);
            let interest = Interest::READABLE | Interest::WRITABLE;
            if self.registry.register(&mut socket, token, interest).is_ok() {
                self.connections.insert(Connection {
                    socket,
                    request: Vec::new(),
                    unsent_answer: None,
                });
            }
        }
    }

    /// Reads from a ready connection. Returns the request once it is complete.
    pub fn read_request(&mut self, id: ConnectionId) -> Option<String> {
        match self.connections.get_mut(id)?.read_request() {
            RequestRead::Complete(line) => return Some(line),
            // The connection may be ready because the socket accepts more of an answer.
            RequestRead::Incomplete => self.flush(id),
            RequestRead::Closed => self.close(id),
        }
        None
    }

    /// Answers a request; the connection is closed once the answer is written.
    pub fn answer(&mut self, id: ConnectionId, text: &str) {
        if let Some(connection) = self.connections.get_mut(id) {
            connection.unsent_answer = Some(format!("{text}{ANSWER_TERMINATOR}").into_bytes());
            self.flush(id);
        }
    }

    fn flush(&mut self, id: ConnectionId) {
        if let Some(connection) = self.connections.get_mut(id)
            && let AnswerWrite::Finished = connection.write_answer()
        {
            self.close(id);
        }
    }

    fn close(&mut self, id: ConnectionId) {
        if let Some(mut connection) = self.connections.remove(id) {
            let _ = self.registry.deregister(&mut connection.socket);
        }
    }
}

impl Drop for ControlSocket {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.path);
    }
}

/// Removes a stale socket file, whose process has ended.
///
/// # Errors
/// A running process listens at the path, or the file cannot be removed.
fn remove_stale_socket(path: &Path) -> io::Result<()> {
    if std::os::unix::net::UnixStream::connect(path).is_ok() {
        return Err(io::Error::new(
            ErrorKind::AddrInUse,
            "another process already listens on this control socket",
        ));
    }
    match std::fs::remove_file(path) {
        Err(e) if e.kind() != ErrorKind::NotFound => Err(e),
        _ => Ok(()),
    }
}
