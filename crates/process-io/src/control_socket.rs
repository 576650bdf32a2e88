//! The control socket of a process: a Unix socket on which an operator sends one line and gets one answer.
mod client;

pub use client::{RequestError, send_request};

use mallowseam_sockets::slab::Slab;
use mio::net::{UnixListener, UnixStream};
use mio::{Interest, Registry, Token};
use std::fmt::Display;
use std::io::{self, ErrorKind, Read, Write};
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

struct Connection {
    socket: UnixStream,
    request: Vec<u8>,
    answer: Vec<u8>,
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
    /// is replaced; one at which a process still answers is an error.
    ///
    /// # Errors
    /// The path cannot be had, or a process answers there.
    pub fn open(
        path: &Path,
        registry: Registry,
        own: Token,
        first_token: usize,
    ) -> io::Result<Self> {
        if std::os::unix::net::UnixStream::connect(path).is_ok() {
            return Err(io::Error::new(
                ErrorKind::AddrInUse,
                "another host runs here",
            ));
        }
        match std::fs::remove_file(path) {
            Err(e) if e.kind() != ErrorKind::NotFound => return Err(e),
            _ => {}
        }
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
                    answer: Vec::new(),
                });
            }
        }
    }

    /// Reads from a connection that is ready. Returns its request once that is complete.
    pub fn read_request(&mut self, id: ConnectionId) -> Option<String> {
        let connection = self.connections.get_mut(id)?;
        let mut buffer = [0; MAX_REQUEST];
        loop {
            match connection.socket.read(&mut buffer) {
                Ok(0) => break self.close(id),
                Ok(len) => {
                    connection.request.extend_from_slice(&buffer[..len]);
                    if let Some(end) = connection.request.iter().position(|b| *b == b'\n') {
                        let line = String::from_utf8_lossy(&connection.request[..end])
                            .trim()
                            .to_owned();
                        connection.request.clear();
                        return Some(line);
                    }
                    if connection.request.len() > MAX_REQUEST {
                        break self.close(id);
                    }
                }
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => break self.flush(id),
                Err(_) => break self.close(id),
            }
        }
        None
    }

    /// Answers a request; the connection is closed once the answer is written.
    pub fn answer(&mut self, id: ConnectionId, text: &str) {
        if let Some(connection) = self.connections.get_mut(id) {
            connection.answer = format!("{text}{END_OF_ANSWER}").into_bytes();
            self.flush(id);
        }
    }

    fn flush(&mut self, id: ConnectionId) {
        let Some(connection) = self.connections.get_mut(id) else {
            return;
        };
        if connection.answer.is_empty() {
            return;
        }
        while !connection.answer.is_empty() {
            match connection.socket.write(&connection.answer) {
                Ok(written) => drop(connection.answer.drain(..written)),
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                Err(_) => break,
            }
        }
        self.close(id);
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
