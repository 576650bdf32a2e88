//! Connections of clients. `login` passes their logins to the admission controller.
mod login;

use crate::socket_io::{self, ConnectionError, ReadOutcome};
use login::LoginAdmission;
use mallowseam_connection_policy::admission::{
    AdmissionController, CloseReason, ConnectionState, NextConnection, TimeoutAction,
};
use mallowseam_connection_policy::client_memory::ClientMemory;
use mallowseam_iscsi::target::{TargetConfig, TargetConnection, TargetEvent};
use mallowseam_scheduler::interface::Tick;
use mallowseam_sockets::clock::ticks_to_millis;
use mallowseam_sockets::slab::Slab;
use mio::net::TcpStream;
use mio::{Interest, Registry, Token};
use std::net::SocketAddr;
use std::rc::Rc;

/// Index of a client connection.
pub type ClientId = u32;

/// A command of a client that is not answered yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InFlightCommand {
    /// The initiator task tag.
    pub task: u32,
    /// Index of the command in the dispatcher.
    pub command: u32,
}

/// Reason for which the connection of a client was closed.
#[derive(Debug, thiserror::Error)]
enum Disconnect {
    #[error(transparent)]
    Socket(#[from] ConnectionError),
    #[error("{0}")]
    Protocol(String),
    #[error("the client has logged out")]
    LoggedOut,
    #[error("the same client has logged in again")]
    Replaced,
    #[error("login not finished, and there are too many connections")]
    Evicted,
    #[error("no progress, and the data of clients takes too much memory")]
    OutOfMemory,
    #[error("{}", .0.as_str())]
    Timeout(CloseReason),
}

struct Client {
    socket: TcpStream,
    peer: SocketAddr,
    /// Name of the initiator; `None` before the login.
    name: Option<String>,
    connection: TargetConnection,
    /// Whether the client is in `Clients::dirty`.
    dirty: bool,
    /// Whether the socket may have data to read.
    readable: bool,
    /// Number of bytes read whose commands are not handled yet.
    unhandled_bytes: usize,
    commands: Vec<InFlightCommand>,
}

impl Client {
    /// Returns the number of bytes that are held for the client: what was received and not handled, and unsent answers.
    fn held_bytes(&self) -> usize {
        self.connection.held_bytes() + self.unhandled_bytes
    }
}

/// Connections of all clients.
pub struct Clients {
    all: Slab<Client>,
    /// Decides who may connect, log in and send commands.
    pub admission: AdmissionController,
    /// Decides how much memory the data of clients may take.
    pub memory: ClientMemory,
    target_config: Rc<TargetConfig>,
    registry: Registry,
    first_token: usize,
    /// Clients that the next flush writes to.
    dirty: Vec<ClientId>,
    /// Commands that were in flight on closed connections, one entry for each connection.
    abandoned: Vec<Vec<InFlightCommand>>,
    /// Connections that a new login of the same client has replaced, still to be closed.
    replaced: Vec<ClientId>,
}

impl Clients {
    /// Creates an empty table. `first_token`: token of the connection with index 0; the others follow in order.
    #[must_use]
    pub fn new(
        admission: AdmissionController,
        memory: ClientMemory,
        target_config: Rc<TargetConfig>,
        registry: Registry,
        first_token: usize,
    ) -> Self {
        Clients {
            all: Slab::default(),
            admission,
            memory,
            target_config,
            registry,
            first_token,
            dirty: Vec::new(),
            abandoned: Vec::new(),
            replaced: Vec::new(),
        }
    }

    /// Returns whether the next connection is to be left in the listener's queue for now.
    pub(crate) fn must_wait(&self, now: Tick) -> bool {
        let next = self.admission.next_connection(ticks_to_millis(now));
        next == NextConnection::Wait
    }

    /// Adds an accepted connection. If there are too many, closes one whose login is not finished, or else the new one.
    pub fn accept(&mut self, mut socket: TcpStream, peer: SocketAddr, now: Tick) {
        if let NextConnection::Replace(index) = self.admission.next_connection(ticks_to_millis(now))
        {
            self.close(index as ClientId, &Disconnect::Evicted);
        }
        let _ = socket.set_nodelay(true);
        let connection = TargetConnection::new(Rc::clone(&self.target_config));
        let id = self.all.next_index();
        if !self
            .admission
            .admit_connection(id as usize, ticks_to_millis(now))
        {
            tracing::warn!(%peer, "connection rejected: too many connections");
            return;
        }
        let token = Token(self.first_token + id as usize);
        if let Err(e) =
            self.registry
                .register(&mut socket, token, Interest::READABLE | Interest::WRITABLE)
        {
            tracing::warn!(%peer, error = %e, "connection rejected");
            self.admission.connection_closed(id as usize);
            return;
        }
        self.all.insert(Client {
            socket,
            peer,
            name: None,
            connection,
            dirty: false,
            readable: false,
            unhandled_bytes: 0,
            commands: Vec::new(),
        });
        tracing::debug!(%peer, client = id, "client connection opened");
    }

    /// Returns whether a connection is open.
    #[must_use]
    pub fn is_open(&self, id: ClientId) -> bool {
        self.all.get(id).is_some()
    }

    /// Handles readiness of a client's socket: it may be written to and, if `readable`, read from. Reads once.
    /// Returns whether there may be more to read, for which the caller calls [`read`](Self::read).
    pub fn on_ready(&mut self, id: ClientId, readable: bool, buffer: &mut [u8], now: Tick) -> bool {
        self.mark_ready(id, readable);
        self.read(id, buffer, now)
    }

    /// Records readiness of a client's socket like [`on_ready`](Self::on_ready), but does not read.
    pub fn mark_ready(&mut self, id: ClientId, readable: bool) {
        if let Some(client) = self.all.get_mut(id) {
            client.readable |= readable;
            self.mark_dirty(id);
        }
    }

    /// Reads once from a client, unless too many answers to it are unsent. Returns whether there may be more to
    /// read.
    pub fn read(&mut self, id: ClientId, buffer: &mut [u8], now: Tick) -> bool {
        let Some(client) = self.all.get_mut(id) else {
            return false;
        };
        let unsent = client.connection.send_buffer().unsent().len();
        if !client.readable || !self.admission.may_read(unsent) {
            return false;
        }
        match socket_io::read(&mut client.socket, buffer) {
            ReadOutcome::WouldBlock => client.readable = false,
            ReadOutcome::Read(len) => {
                client.unhandled_bytes += len;
                self.admission
                    .bytes_received(id as usize, ticks_to_millis(now));
                let mut login = LoginAdmission {
                    admission: &mut self.admission,
                    client: id,
                    replaced: &mut self.replaced,
                };
                let received = client.connection.receive(&buffer[..len], &mut login);
                let has_progressed = client.connection.has_event();
                let held = client.held_bytes();
                self.memory.buffers_changed(
                    id as usize,
                    ticks_to_millis(now),
                    held,
                    has_progressed,
                );
                self.mark_dirty(id);
                match received {
                    Ok(()) => return true,
                    Err(error) => {
                        self.flush_client(id, now);
                        self.close(id, &Disconnect::Protocol(error.to_string()));
                    }
                }
            }
            ReadOutcome::Closed(e) => self.close(id, &e.into()),
        }
        false
    }

    /// Returns whether more may be read from a client before its commands are handled.
    pub(crate) fn may_read_ahead(&self, id: ClientId) -> bool {
        let client = self.all.get(id);
        client.is_some_and(|client| self.admission.may_read_ahead(client.unhandled_bytes))
    }

    /// Records that all commands of a client that were read are handled now.
    pub(crate) fn begin_handling(&mut self, id: ClientId) {
        if let Some(client) = self.all.get_mut(id) {
            client.unhandled_bytes = 0;
        }
    }

    /// Takes the next event of a client's session.
    pub fn next_event(&mut self, id: ClientId) -> Option<TargetEvent> {
        self.all.get_mut(id)?.connection.next_event()
    }

    /// Records that a client has logged in. Closes the connection that the login has replaced, if any.
    pub fn on_login(&mut self, id: ClientId, name: String) {
        if let Some(client) = self.all.get_mut(id) {
            tracing::info!(peer = %client.peer, name, "client logged in");
            client.name = Some(name);
        }
        self.close_replaced();
    }

    /// Records a command of a client as in flight.
    pub fn add_command(&mut self, id: ClientId, command: InFlightCommand) {
        if let Some(client) = self.all.get_mut(id) {
            client.commands.push(command);
        }
    }

    /// Records that a command of a client was answered.
    pub fn remove_command(&mut self, id: ClientId, task: u32) {
        if let Some(client) = self.all.get_mut(id) {
            client.commands.retain(|command| command.task != task);
        }
    }

    /// Removes a command that its client has aborted from the commands in flight, and returns it.
    pub fn abort_command(&mut self, id: ClientId, task: u32) -> Option<InFlightCommand> {
        let commands = &mut self.all.get_mut(id)?.commands;
        let position = commands.iter().position(|command| command.task == task)?;
        Some(commands.swap_remove(position))
    }

    /// Returns the session of a client. The next flush writes the answers that the caller puts into it.
    pub fn session_mut(&mut self, id: ClientId) -> Option<&mut TargetConnection> {
        self.mark_dirty(id);
        self.all.get_mut(id).map(|client| &mut client.connection)
    }

    fn mark_dirty(&mut self, id: ClientId) {
        if let Some(client) = self.all.get_mut(id)
            && !std::mem::replace(&mut client.dirty, true)
        {
            self.dirty.push(id);
        }
    }

    fn flush_client(&mut self, id: ClientId, now: Tick) {
        let Some(client) = self.all.get_mut(id) else {
            return;
        };
        client.dirty = false;
        let written = match socket_io::write(&mut client.socket, client.connection.send_buffer()) {
            Ok(written) => written,
            Err(e) => return self.close(id, &e.into()),
        };
        let now = ticks_to_millis(now);
        if written > 0 {
            self.admission.bytes_sent(id as usize, now);
        }
        let held = client.held_bytes();
        self.memory
            .buffers_changed(id as usize, now, held, written > 0);
        if client.connection.is_closing() && client.connection.send_buffer().unsent().is_empty() {
            self.close(id, &Disconnect::LoggedOut);
        }
    }

    /// Returns whether the next flush has anything to write.
    pub(crate) fn has_unflushed(&self) -> bool {
        !self.dirty.is_empty()
    }

    /// Writes the queued bytes to all clients. Returns the clients that may have sent more data and have few
    /// enough unsent answers to be read from again.
    pub fn flush(&mut self, now: Tick) -> Vec<ClientId> {
        let mut resumed = Vec::new();
        while let Some(id) = self.dirty.pop() {
            self.flush_client(id, now);
            if let Some(client) = self.all.get_mut(id)
                && client.readable
                && self
                    .admission
                    .may_read(client.connection.send_buffer().unsent().len())
            {
                resumed.push(id);
            }
        }
        while let Some(index) = self.memory.connection_to_close() {
            self.close(index as ClientId, &Disconnect::OutOfMemory);
        }
        resumed
    }

    fn close(&mut self, id: ClientId, reason: &Disconnect) {
        if let Some(mut client) = self.all.remove(id) {
            let _ = self.registry.deregister(&mut client.socket);
            self.admission.connection_closed(id as usize);
            self.memory.connection_closed(id as usize);
            let name = client.name.unwrap_or_default();
            tracing::info!(peer = %client.peer, name, %reason, "client connection closed");
            self.abandoned.push(client.commands);
        }
    }

    /// Closes the connection of a client that has closed its side, or whose connection has failed.
    pub(crate) fn close_left(&mut self, id: ClientId) {
        self.close(id, &ConnectionError::ClosedByPeer.into());
    }

    /// Closes the connections that a new login of the same client has replaced.
    pub fn close_replaced(&mut self) {
        while let Some(id) = self.replaced.pop() {
            self.close(id, &Disconnect::Replaced);
        }
    }

    /// Takes the commands that were in flight on a closed connection, one connection at a time.
    pub fn next_abandoned(&mut self) -> Option<Vec<InFlightCommand>> {
        self.abandoned.pop()
    }

    /// Returns whether `next_abandoned` has commands of another connection to return.
    #[must_use]
    pub fn has_abandoned(&self) -> bool {
        !self.abandoned.is_empty()
    }

    /// Pings silent clients and closes connections that have timed out.
    pub fn on_timer(&mut self, now: Tick) {
        for id in self.all.indices() {
            let Some(client) = self.all.get_mut(id) else {
                continue;
            };
            let state = ConnectionState {
                pdu_incomplete: client.connection.has_partial_request(),
                unsent_bytes: client.connection.send_buffer().unsent().len(),
                in_flight: client.connection.in_flight(),
            };
            match self
                .admission
                .check_timeouts(id as usize, ticks_to_millis(now), state)
            {
                TimeoutAction::Nothing => {}
                TimeoutAction::Ping => {
                    client.connection.send_ping();
                    self.mark_dirty(id);
                }
                TimeoutAction::Close(reason) => self.close(id, &Disconnect::Timeout(reason)),
            }
        }
    }

    /// Closes the host to new logins and asks every client to log out. Returns whether the host was open to
    /// logins before.
    pub fn drain(&mut self, now: Tick) -> bool {
        if !self.admission.start_draining(ticks_to_millis(now)) {
            return false;
        }
        let logout_seconds = self.admission.logout_seconds();
        for id in self.all.indices() {
            if let Some(client) = self
                .all
                .get_mut(id)
                .filter(|client| client.connection.is_logged_in())
            {
                client.connection.request_logout(logout_seconds);
                self.mark_dirty(id);
            }
        }
        true
    }

    /// Returns the number of bytes buffered for all clients.
    #[must_use]
    pub fn buffered_bytes(&self) -> usize {
        self.all
            .iter()
            .map(|(_, client)| client.connection.allocated_bytes())
            .sum()
    }
}
