//! The control socket of a process: a Unix socket on which an operator sends one line and gets one answer.
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

/// Connections at once: an operator and a few scripts.
pub const MAX_CONNECTIONS: usize = 16;
/// Longest request in bytes.
const MAX_REQUEST: usize = 8_192;
/// Ends every answer, which makes a truncated one recognizable.
const END_OF_ANSWER: &str = "\n\n";
/// Begins the answer to a request that was refused; the reason follows.
const REFUSED: &str = "error: ";
/// Only the user that runs the process may connect.
const PERMISSIONS: u32 = 0o600;

/// The answer to a request that is refused.
pub fn refusal(reason: &impl Display) -> String {
    format!("{REFUSED}{reason}")
}

/// Index of a connection to the control socket.
pub type ConnectionId = u32;

/// The connection of an operator.
struct Connection {
    socket: UnixStream,
    /// The start of a request whose end has not been received yet.
    request: Vec<u8>,
    /// What is left of the answer to be written. None: there is no answer yet.
    unsent_answer: Option<Vec<u8>>,
}

/// What reading from a connection came to.
enum RequestRead {
    /// The line of a complete request.
    Complete(String),
    /// The end of the request has not been received yet.
    Incomplete,
    /// The connection has ended, or the request is too long.
    Closed,
}

/// What writing an answer came to.
enum AnswerWrite {
    /// There is more to write once the socket takes it, or no answer yet.
    Pending,
    /// The answer is written, or the connection has failed.
    Finished,
}

impl Connection {
    /// Reads until the request is complete or the socket has no more for now.
    fn read_request(&mut self) -> RequestRead {
        let mut buffer = [0; MAX_REQUEST];
        loop {
            match nonblocking::read(&mut self.socket, &mut buffer) {
                ReadOutcome::Read(len) => self.request.extend_from_slice(&buffer[..len]),
                ReadOutcome::WouldBlock => return RequestRead::Incomplete,
                ReadOutcome::Closed(_) => return RequestRead::Closed,
            }
            if let Some(line) = self.take_line() {
                return RequestRead::Complete(line);
            }
            if self.request.len() > MAX_REQUEST {
                return RequestRead::Closed;
            }
        }
    }

    /// The first line of what was read, if it is complete. What follows it is dropped.
    fn take_line(&mut self) -> Option<String> {
        let end = self.request.iter().position(|byte| *byte == b'\n')?;
        let line = String::from_utf8_lossy(&self.request[..end])
            .trim()
            .to_owned();
        self.request.clear();
        Some(line)
    }

    /// Writes the answer as far as the socket takes it.
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

/// The listening side of a control socket. The socket file is removed when this is dropped.
pub struct ControlSocket {
    listener: UnixListener,
    path: PathBuf,
    connections: Slab<Connection>,
    registry: Registry,
    first_token: usize,
}

impl ControlSocket {
    /// Listens at a path; connections get tokens from `first_token` on. A socket file whose process is gone
    /// is replaced.
    ///
    /// # Errors
    /// A process still answers there, or the socket cannot be created.
    pub(crate) fn open(
        path: &Path,
        registry: Registry,
        own: Token,
        first_token: usize,
    ) -> io::Result<Self> {
        remove_stale_socket(path)?;
        let mut listener = UnixListener::bind(path)?;
        std::fs::set_permissions(path, PermissionsExt::from_mode(PERMISSIONS))?;
        registry.register(&mut listener, own, Interest::READABLE)?;
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
                let refused = refusal(&"too many callers");
                let _ = socket.write(format!("{refused}{END_OF_ANSWER}").as_bytes());
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

    /// Reads from a connection that is ready. Returns its request once that is complete.
    pub fn read_request(&mut self, id: ConnectionId) -> Option<String> {
        match self.connections.get_mut(id)?.read_request() {
            RequestRead::Complete(line) => return Some(line),
            // The socket may be ready for the rest of an answer.
            RequestRead::Incomplete => self.flush(id),
            RequestRead::Closed => self.close(id),
        }
        None
    }

    /// Answers a request; the connection is closed once the answer is written.
    pub fn answer(&mut self, id: ConnectionId, text: &str) {
        if let Some(connection) = self.connections.get_mut(id) {
            connection.unsent_answer = Some(format!("{text}{END_OF_ANSWER}").into_bytes());
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

/// Removes a socket file whose process is gone.
///
/// # Errors
/// A process still answers there, or the file cannot be removed.
fn remove_stale_socket(path: &Path) -> io::Result<()> {
    if std::os::unix::net::UnixStream::connect(path).is_ok() {
        return Err(io::Error::new(
            ErrorKind::AddrInUse,
            "another host runs here",
        ));
    }
    match std::fs::remove_file(path) {
        Err(e) if e.kind() != ErrorKind::NotFound => Err(e),
        _ => Ok(()),
    }
}
