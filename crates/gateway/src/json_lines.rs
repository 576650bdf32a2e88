//! Connections that carry one JSON object a line: a single one, and a service's side of many.
use crate::error::Error;
use crate::slab::Slab;
use crate::socket_io::{self, ConnectionError, ReadOutcome};
use crate::startup::listen;
use mallowseam_plans::error::ReplicaError;
use mio::net::{TcpListener, TcpStream};
use mio::{Interest, Poll, Registry, Token};
use serde::Serialize;
use std::io;
use std::net::SocketAddr;

const KIB_SHIFT: u32 = 10;
const MIB_SHIFT: u32 = 20;

/// Why a connection ended, or is ended by this side.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Disconnect {
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
    /// A member could not be stored.
    #[error(transparent)]
    Store(mallowseam_change_log::Error),
}

fn line_limit(bytes: usize) -> String {
    match bytes >> MIB_SHIFT {
        0 => format!("{} KiB", bytes >> KIB_SHIFT),
        mebi => format!("{mebi} MiB"),
    }
}

/// A connection that carries lines.
pub(crate) struct LineConnection {
    socket: TcpStream,
    /// The begin of a line whose end has not come yet.
    partial: Vec<u8>,
    /// Bytes that wait to be written.
    unsent: Vec<u8>,
}

/// What an attempt to read came to.
pub(crate) enum LineRead {
    /// There is no more for now.
    WouldBlock,
    /// Complete lines, without their ends; there may be more.
    Lines(Vec<Vec<u8>>),
    /// The connection is over.
    Closed(Disconnect),
}

impl LineConnection {
    /// Begins to connect.
    pub(crate) fn connect(
        address: SocketAddr,
        registry: &Registry,
        token: Token,
    ) -> io::Result<Self> {
        LineConnection::over(TcpStream::connect(address)?, registry, token)
    }

    fn over(mut socket: TcpStream, registry: &Registry, token: Token) -> io::Result<Self> {
        let _ = socket.set_nodelay(true);
        registry.register(&mut socket, token, Interest::READABLE | Interest::WRITABLE)?;
        Ok(LineConnection {
            socket,
            partial: Vec::new(),
            unsent: Vec::new(),
        })
    }

    /// Queues a message; `flush` writes it.
    pub(crate) fn send(&mut self, message: &impl Serialize) {
        serde_json::to_writer(&mut self.unsent, message).expect("messages are plain data");
        self.unsent.push(b'\n');
    }

    /// Writes what is queued, as far as the socket takes it.
    pub(crate) fn flush(&mut self) -> Result<(), Disconnect> {
        Ok(socket_io::write_buffer(&mut self.socket, &mut self.unsent)?)
    }

    /// Reads once. `max_line` is how many bytes a line may have.
    pub(crate) fn read(&mut self, buffer: &mut [u8], max_line: usize) -> LineRead {
        if self.partial.len() > max_line {
            return LineRead::Closed(Disconnect::LineTooLong(max_line));
        }
        match socket_io::read(&mut self.socket, buffer) {
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
    pub(crate) fn close(mut self, registry: &Registry) {
        let _ = registry.deregister(&mut self.socket);
    }
}

/// Index of a peer's connection.
pub(crate) type PeerId = u32;

/// A host as a service knows it, with what the service keeps of it.
pub(crate) struct Peer<T> {
    pub(crate) connection: LineConnection,
    /// The host's name; empty before its hello message.
    pub(crate) name: String,
    pub(crate) state: T,
}

/// Limits on one host, in bytes.
pub(crate) struct Limits {
    /// Longest line that it may send.
    pub(crate) max_line: usize,
    /// Most bytes that may wait for it to read them.
    pub(crate) max_unsent: usize,
}

/// The hosts that are connected to a service. One that exceeds a limit is disconnected.
pub(crate) struct Peers<T> {
    listener: TcpListener,
    registry: Registry,
    first_token: usize,
    limits: Limits,
    all: Slab<Peer<T>>,
}

impl<T: Default> Peers<T> {
    /// Listens at an address; connections get tokens from `first_token` on.
    pub(crate) fn open(
        address: SocketAddr,
        poll: &Poll,
        own: Token,
        first_token: usize,
        limits: Limits,
    ) -> Result<Self, Error> {
        let (listener, registry) = listen(address, poll, own)?;
        Ok(Peers {
            listener,
            registry,
            first_token,
            limits,
            all: Slab::default(),
        })
    }

    /// Accepts all pending connections.
    pub(crate) fn accept(&mut self) {
        while let Ok((socket, peer)) = self.listener.accept() {
            let token = Token(self.first_token + self.all.next_index() as usize);
            if let Ok(connection) = LineConnection::over(socket, &self.registry, token) {
                tracing::info!(%peer, "host connected");
                self.all.insert(Peer {
                    connection,
                    name: String::new(),
                    state: T::default(),
                });
            }
        }
    }

    /// A peer that is still connected.
    pub(crate) fn get_mut(&mut self, id: PeerId) -> Option<&mut Peer<T>> {
        self.all.get_mut(id)
    }

    /// All peers with their ids.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (PeerId, &Peer<T>)> {
        self.all.iter()
    }

    /// The ids of all peers.
    pub(crate) fn ids(&self) -> Vec<PeerId> {
        self.all.indices()
    }

    /// Queues a message for every peer that `selects` picks.
    pub(crate) fn broadcast(
        &mut self,
        message: &impl Serialize,
        selects: impl Fn(&Peer<T>) -> bool,
    ) {
        for id in self.all.indices() {
            if let Some(peer) = self.all.get_mut(id).filter(|peer| selects(peer)) {
                peer.connection.send(message);
            }
        }
    }

    /// Closes the connection of a peer.
    pub(crate) fn disconnect(&mut self, id: PeerId, reason: &Disconnect) {
        if let Some(peer) = self.all.remove(id) {
            tracing::info!(host = peer.name, %reason, "host connection closed");
            peer.connection.close(&self.registry);
        }
    }

    /// Reads once from a peer; its complete lines. None: there is no more for now, or the peer is
    /// disconnected.
    pub(crate) fn read(&mut self, id: PeerId, buffer: &mut [u8]) -> Option<Vec<Vec<u8>>> {
        match self
            .all
            .get_mut(id)?
            .connection
            .read(buffer, self.limits.max_line)
        {
            LineRead::Lines(lines) => return Some(lines),
            LineRead::Closed(reason) => self.disconnect(id, &reason),
            LineRead::WouldBlock => {}
        }
        None
    }

    /// Writes what is queued for all peers.
    pub(crate) fn flush(&mut self) {
        for id in self.all.indices() {
            let Some(peer) = self.all.get_mut(id) else {
                continue;
            };
            let flushed = if peer.connection.unsent.len() > self.limits.max_unsent {
                Err(Disconnect::NotReading)
            } else {
                peer.connection.flush()
            };
            if let Err(reason) = flushed {
                self.disconnect(id, &reason);
            }
        }
    }
}
