//! Handlers of the event loop for connections of clients, to nodes and to the snapshot catalog.
use super::Dispatcher;
use crate::client_connections::ClientId;
use crate::node_connections::NodeIndex;
use mallowseam_scheduler::Scheduler;
use mio::net::TcpStream;
use std::net::SocketAddr;

impl Dispatcher {
    /// Returns whether no client is connected and no block I/O is in flight.
    pub(crate) fn is_idle(&self) -> bool {
        self.clients.admission.connection_count() == 0 && self.in_flight() == 0
    }

    /// Closes the host to new logins and asks every client to log out. Returns whether the host was open to
    /// logins before.
    pub(crate) fn drain(&mut self) -> bool {
        self.clients.drain(self.now)
    }

    /// Opens the host to logins again.
    pub(crate) fn stop_draining(&mut self) {
        self.clients.admission.stop_draining();
    }

    /// Returns whether the next connection of a client is to be left in the listener's queue for now.
    pub(crate) fn must_clients_wait(&self) -> bool {
        self.clients.must_wait(self.now)
    }

    /// Adds an accepted connection of a client.
    pub(crate) fn accept_client(&mut self, socket: TcpStream, peer: SocketAddr) {
        self.clients.accept(socket, peer, self.now);
    }

    /// Records readiness of a client's socket: it may be written to and, if `readable`, read from.
    pub(crate) fn mark_client_ready(&mut self, client: ClientId, readable: bool) {
        self.clients.mark_ready(client, readable);
    }

    /// Closes the connection of a client that has closed its side or whose connection has failed, and withdraws its
    /// commands. What it sent before is not read: nobody waits for an answer.
    pub(crate) fn client_left(&mut self, scheduler: &mut Scheduler, client: ClientId) {
        self.clients.close_left(client);
        self.process_pending(scheduler);
    }

    /// Reads once from a client. Handles its commands once all that it has sent is read, or as much as may be read ahead.
    /// Returns whether there may be more to read; the caller then has to call this again.
    pub(crate) fn read_client(
        &mut self,
        scheduler: &mut Scheduler,
        client: ClientId,
        buffer: &mut [u8],
    ) -> bool {
        let has_more = self.clients.read(client, buffer, self.now);
        if has_more && self.clients.may_read_ahead(client) {
            return true;
        }
        self.clients.begin_handling(client);
        while let Some(event) = self.clients.next_event(client) {
            self.on_client_event(scheduler, client, event);
        }
        self.process_pending(scheduler);
        has_more
    }

    /// Records readiness of a node's socket: it may be written to and, if `readable`, read from.
    pub(crate) fn mark_node_ready(&mut self, node: NodeIndex, readable: bool) {
        self.nodes.mark_ready(node, readable);
    }

    /// Reads once from a node and handles its answers. Returns whether there may be more to read.
    pub(crate) fn read_node(
        &mut self,
        scheduler: &mut Scheduler,
        node: NodeIndex,
        buffer: &mut [u8],
    ) -> bool {
        let has_more = self.nodes.read(node, buffer, self.now);
        self.process_pending(scheduler);
        has_more
    }

    /// Reads from the snapshot catalog. Returns whether there may be more to read in another turn.
    pub(crate) fn read_catalog(
        &mut self,
        scheduler: &mut Scheduler,
        readable: bool,
        buffer: &mut [u8],
    ) -> bool {
        let now = self.now;
        let mapped = self.mapped.as_mut();
        let has_more = mapped.is_some_and(|mapped| mapped.read_catalog(readable, buffer, now));
        self.process_pending(scheduler);
        has_more
    }

    /// Closes the connections of clients and to nodes that have timed out.
    pub(crate) fn check_connections(&mut self) {
        self.clients.on_timer(self.now);
        self.nodes.on_timer(self.now);
    }

    /// Writes the queued bytes to all nodes and clients. Returns the clients that may have sent more data and
    /// have few enough unsent answers to be read from again.
    pub(crate) fn flush(&mut self) -> Vec<ClientId> {
        self.nodes.flush();
        self.clients.flush(self.now)
    }

    /// Returns whether the next flush has anything to write to a node or a client.
    pub(crate) fn has_unflushed(&self) -> bool {
        self.nodes.has_unflushed() || self.clients.has_unflushed()
    }

    /// Connects to the snapshot catalog and renews the lease if that is due, and writes the queued messages.
    pub(crate) fn maintain_catalog(&mut self) {
        if let Some(mapped) = &mut self.mapped {
            mapped.on_timer(self.now);
        }
    }
}
