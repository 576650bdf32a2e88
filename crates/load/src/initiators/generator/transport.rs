//! Connections of the clients.
use super::{Generator, RECONNECT_PAUSE};
use crate::initiators::FIRST_CLIENT;
use crate::initiators::client::{Client, Connection};
use mallowseam_audit::trace::{Micros, TraceEvent};
use mallowseam_iscsi::initiator::{InitiatorConnection, InitiatorEvent};
use mallowseam_iscsi::scsi::status;
use mio::net::TcpStream;
use mio::{Interest, Token};
use rand::RngExt;
use std::io::{ErrorKind, Read, Write};

/// Pause before a client connects again after a logout, in microseconds.
const LOGOUT_RECONNECT_PAUSE: Micros = 300_000;
/// Maximum random addition to the pause before a client connects again, in microseconds.
const RECONNECT_JITTER: Micros = 100_000;

impl Generator {
    pub(super) fn connect(&mut self, index: usize) {
        let client = &mut self.clients[index];
        client.connect_at = self.trace.now() + client.rng.random_range(100_000..300_000);
        let Ok(mut socket) = TcpStream::connect(self.config.hosts[client.host]) else {
            return;
        };
        let _ = socket.set_nodelay(true);
        let interest = Interest::READABLE | Interest::WRITABLE;
        if self
            .poll
            .registry()
            .register(&mut socket, Token(FIRST_CLIENT + index), interest)
            .is_err()
        {
            return;
        }
        let name = format!("iqn.2026-12.example.lab:counter{}", client.index);
        let target = Some(self.config.target.as_str());
        let session = InitiatorConnection::new(&name, target, client.isid, &self.config.proposal);
        client.connection = Some(Connection { socket, session });
    }

    /// Records that the client will receive no answers to its commands in flight, and discards its retries.
    pub(super) fn abandon_all(&mut self, index: usize) {
        for command in self.clients[index].in_flight.drain(..) {
            self.trace.record(TraceEvent::CommandAbandoned {
                command: command.id,
            });
        }
        self.clients[index].retries.clear();
    }

    /// Handles a connection that the host closed or that failed. Its commands in flight are not recorded as abandoned,
    /// so a missing answer counts against the host.
    fn on_connection_lost(&mut self, index: usize) {
        self.clients[index].in_flight.clear();
        self.disconnect(index, RECONNECT_PAUSE);
    }

    pub(super) fn disconnect(&mut self, index: usize, pause: Micros) {
        self.abandon_all(index);
        let client = &mut self.clients[index];
        if let Some(mut connection) = client.connection.take() {
            let _ = self.poll.registry().deregister(&mut connection.socket);
        }
        client.logout_requested = false;
        client.connect_at = self.trace.now() + pause + client.rng.random_range(0..RECONNECT_JITTER);
    }

    pub(super) fn flush(&mut self, index: usize) {
        let client = &mut self.clients[index];
        let Some(Connection { socket, session }) = &mut client.connection else {
            return;
        };
        loop {
            let buffer = session.send_buffer();
            let len = client
                .stall_after
                .unwrap_or(usize::MAX)
                .min(buffer.unsent().len());
            if len == 0 {
                return;
            }
            match socket.write(&buffer.unsent()[..len]) {
                Ok(sent) => {
                    buffer.mark_sent(sent);
                    if let Some(left) = &mut client.stall_after {
                        *left -= sent;
                    }
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                Err(_) => return self.on_connection_lost(index),
            }
        }
    }

    pub(super) fn read(&mut self, index: usize) {
        while let Client {
            not_reading: false,
            connection: Some(connection),
            ..
        } = &mut self.clients[index]
        {
            match connection.socket.read(&mut self.scratch) {
                Ok(0) => return self.on_connection_lost(index),
                Ok(len) => {
                    if connection.session.receive(&self.scratch[..len]).is_err() {
                        return self.on_connection_lost(index);
                    }
                    self.on_received(index);
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(_) => return self.on_connection_lost(index),
            }
        }
    }

    fn on_received(&mut self, index: usize) {
        while let Some(event) = self.clients[index]
            .connection
            .as_mut()
            .and_then(|connection| connection.session.next_event())
        {
            match event {
                InitiatorEvent::CommandCompleted {
                    tag,
                    status: code,
                    data,
                    retry_after,
                    ..
                } => {
                    self.on_answer(index, tag, code, &data, retry_after);
                }
                InitiatorEvent::CommandRejected { tag, .. } => {
                    self.on_answer(index, tag, status::CHECK_CONDITION, &[], None);
                }
                InitiatorEvent::LogoutRequested => self.clients[index].logout_requested = true,
                InitiatorEvent::LoggedOut => return self.disconnect(index, LOGOUT_RECONNECT_PAUSE),
                InitiatorEvent::LoggedIn
                | InitiatorEvent::CommandAborted { .. }
                | InitiatorEvent::TextResponse(_) => {}
            }
        }
        let client = &mut self.clients[index];
        let unmatched = client
            .connection
            .as_ref()
            .map_or(0, |connection| connection.session.unmatched_responses());
        if unmatched > client.unmatched_responses {
            self.trace.record(TraceEvent::UnexpectedAnswer {
                client: client.index,
            });
        }
        client.unmatched_responses = unmatched;
    }
}
