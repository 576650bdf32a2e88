//! Connections of hosts to a service, which carry one JSON object per line.
use mallowseam_control_protocol::json_lines::{Disconnect, LineConnection, LineRead};
use mallowseam_control_protocol::startup::{StartError, listen};
use mallowseam_sockets::slab::Slab;
use mio::net::{TcpListener, TcpStream};
use mio::{Poll, Registry, Token};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::collections::VecDeque;
use std::net::SocketAddr;

/// Maximum number of bytes that one read from a socket returns.
const READ_BUFFER: usize = 64 * 1024;

/// Index of a host's connection.
pub type HostId = u32;

/// Limits of one host's connection, in bytes.
pub struct Limits {
    /// Maximum length of a line from the host.
    pub max_line: usize,
    /// Maximum number of unsent bytes for the host.
    pub max_unsent: usize,
}

/// Connection of one host, with the state that the service keeps for the host.
pub struct HostConnection<T> {
    connection: LineConnection,
    /// Lines that were received and not processed yet.
    received: VecDeque<Vec<u8>>,
    name: Option<String>,
    state: T,
}

impl<T> HostConnection<T> {
    /// Returns the host's name. `None`: the host has not sent its name yet.
    pub fn name(&self) -> Option<&str> {
        self.name.as_deref()
    }

    /// Sets the name from the host's hello message. An empty name leaves the host unnamed.
    pub fn set_name(&mut self, name: &str) {
        self.name = (!name.is_empty()).then(|| name.to_owned());
    }

    /// Returns the state that the service keeps for the host.
    pub fn state(&self) -> &T {
        &self.state
    }

    /// Replaces the state that the service keeps for the host.
    pub fn set_state(&mut self, state: T) {
        self.state = state;
    }

    /// Queues a message, which [`HostConnections::flush`] writes.
    pub fn send(&mut self, message: &impl Serialize) {
        self.connection.send(message);
    }

    /// Writes the queued bytes. Fails without writing if more than `max_unsent` bytes are queued.
    fn flush(&mut self, max_unsent: usize) -> Result<(), Disconnect> {
        if self.connection.unsent_bytes() > max_unsent {
            return Err(Disconnect::NotReading);
        }
        self.connection.flush()
    }
}

/// Hosts that are connected to a service. A host that exceeds a limit is disconnected.
pub struct HostConnections<T> {
    listener: TcpListener,
    registry: Registry,
    first_token: usize,
    limits: Limits,
    hosts: Slab<HostConnection<T>>,
    read_buffer: Vec<u8>,
}

impl<T: Default> HostConnections<T> {
    /// Listens at an address. `listener_token`: token of the listener. `first_token`: first token of connections.
    ///
    /// # Errors
    /// Returns an error if the listener cannot be opened at the address.
    pub(crate) fn open(
        address: SocketAddr,
        poll: &Poll,
        listener_token: Token,
        first_token: usize,
        limits: Limits,
    ) -> Result<Self, StartError> {
        let (listener, registry) = listen(address, poll, listener_token)?;
        Ok(HostConnections {
            listener,
            registry,
            first_token,
            limits,
            hosts: Slab::default(),
            read_buffer: vec![0; READ_BUFFER],
        })
    }

    /// Accepts all pending connections.
    pub(crate) fn accept(&mut self) {
        while let Ok((socket, peer)) = self.listener.accept() {
            self.add(socket, peer);
        }
    }

    fn add(&mut self, socket: TcpStream, peer: SocketAddr) {
        let token = Token(self.first_token + self.hosts.next_index() as usize);
        if let Ok(connection) = LineConnection::over(socket, &self.registry, token) {
            tracing::info!(%peer, "host connected");
            self.hosts.insert(HostConnection {
                connection,
                received: VecDeque::new(),
                name: None,
                state: T::default(),
            });
        }
    }

    /// Returns a host, if it is still connected.
    pub fn get_mut(&mut self, id: HostId) -> Option<&mut HostConnection<T>> {
        self.hosts.get_mut(id)
    }

    /// Returns all hosts with their ids.
    pub fn iter(&self) -> impl Iterator<Item = (HostId, &HostConnection<T>)> {
        self.hosts.iter()
    }

    /// Returns the ids of all hosts.
    pub fn ids(&self) -> Vec<HostId> {
        self.hosts.indices()
    }

    /// Queues a message for a host, if it is still connected.
    pub fn send(&mut self, id: HostId, message: &impl Serialize) {
        if let Some(host) = self.hosts.get_mut(id) {
            host.send(message);
        }
    }

    /// Queues a message for every host that matches the predicate `selects`.
    pub fn broadcast(
        &mut self,
        message: &impl Serialize,
        selects: impl Fn(&HostConnection<T>) -> bool,
    ) {
        for id in self.hosts.indices() {
            if let Some(host) = self.hosts.get_mut(id).filter(|host| selects(host)) {
                host.send(message);
            }
        }
    }

    /// Closes the connection of a host.
    pub fn disconnect(&mut self, id: HostId, reason: &Disconnect) {
        if let Some(host) = self.hosts.remove(id) {
            let name = host.name().unwrap_or_default();
            tracing::info!(host = name, %reason, "host connection closed");
            host.connection.close(&self.registry);
        }
    }

    /// Returns the next message of a host whose connection is ready. `None`: no further message has arrived, or the
    /// host is disconnected. A line that is not a valid message disconnects the host.
    pub fn next_message<M: DeserializeOwned>(&mut self, id: HostId) -> Option<M> {
        loop {
            if let Some(line) = self.hosts.get_mut(id)?.received.pop_front() {
                match serde_json::from_slice(&line) {
                    Ok(message) => return Some(message),
                    Err(e) => self.disconnect(id, &e.into()),
                }
            } else if !self.read(id) {
                return None;
            }
        }
    }

    /// Reads once from a host. Returns false if no bytes have arrived or the host is disconnected.
    fn read(&mut self, id: HostId) -> bool {
        let Some(host) = self.hosts.get_mut(id) else {
            return false;
        };
        match host
            .connection
            .read(&mut self.read_buffer, self.limits.max_line)
        {
            LineRead::Lines(lines) => {
                host.received.extend(lines);
                return true;
            }
            LineRead::Closed(reason) => self.disconnect(id, &reason),
            LineRead::WouldBlock => {}
        }
        false
    }

    /// Writes the queued messages of all hosts, and disconnects hosts whose connection fails or exceeds its limit.
    pub fn flush(&mut self) {
        for id in self.hosts.indices() {
            let Some(host) = self.hosts.get_mut(id) else {
                continue;
            };
            if let Err(reason) = host.flush(self.limits.max_unsent) {
                self.disconnect(id, &reason);
            }
        }
    }
}
