//! Connections of a stand-in node and the sessions on them.
use super::transfer::TaskRef;
use mallowseam_connection_policy::admission::AdmissionController;
use mallowseam_connection_policy::client_memory::ClientMemory;
use mallowseam_iscsi::params::ProposedParams;
use mallowseam_iscsi::target::{TargetConfig, TargetConnection, TargetEvent};
use mallowseam_iscsi_host::client_connections::Clients;
use mio::Registry;
use mio::net::TcpListener;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

/// Token of the first connection.
pub(super) const FIRST_CONNECTION: usize = 2;
/// Size of the buffer for reads, in bytes.
const SCRATCH_BYTES: usize = 128 * 1024;
/// Number of commands that an initiator may have in flight on a connection.
const COMMAND_WINDOW: u32 = 64;
const MAX_TRANSFER_BYTES: usize = 8 << 20;
const MAX_CONNECTIONS: usize = 256;

/// Logged-in connection.
#[derive(Clone, Copy)]
pub(super) struct Session {
    /// Number of the connection, unique at the node.
    pub(super) connection: u64,
    /// Number of the host that logged in.
    pub(super) host: u32,
}

/// Connections of one node. Times are in ticks of the connections' clock.
pub(super) struct Connections {
    target: String,
    address: SocketAddr,
    registry: Registry,
    clients: Clients,
    /// Sessions by client id.
    sessions: HashMap<u32, Session>,
    last_connection: u64,
    scratch: Vec<u8>,
}

impl Connections {
    pub(super) fn new(target: String, address: SocketAddr, registry: Registry) -> Self {
        Connections {
            clients: new_clients(&target, address, &registry),
            target,
            address,
            registry,
            sessions: HashMap::new(),
            last_connection: 0,
            scratch: vec![0; SCRATCH_BYTES],
        }
    }

    pub(super) fn accept(&mut self, listener: &TcpListener, now: i64) {
        while let Ok((socket, peer)) = listener.accept() {
            self.clients.accept(socket, peer, now);
        }
    }

    /// Reads from a connection that became ready. Returns whether there may be more to read.
    pub(super) fn on_ready(&mut self, client: u32, now: i64) -> bool {
        self.clients.on_ready(client, true, &mut self.scratch, now)
    }

    /// Continues to read from a connection. Returns whether there may be more to read.
    pub(super) fn read(&mut self, client: u32, now: i64) -> bool {
        self.clients.read(client, &mut self.scratch, now)
    }

    pub(super) fn next_event(&mut self, client: u32) -> Option<TargetEvent> {
        self.clients.next_event(client)
    }

    /// Sends buffered data. Returns the ids of clients with data left to send.
    pub(super) fn flush(&mut self, now: i64) -> Vec<u32> {
        self.clients.flush(now)
    }

    /// Begins the session of a host, whose initiator name ends in `:gwN`.
    pub(super) fn on_login(&mut self, client: u32, initiator: &str) {
        self.last_connection += 1;
        let session = Session {
            connection: self.last_connection,
            host: host_number(initiator),
        };
        self.sessions.insert(client, session);
        self.clients.close_replaced();
    }

    pub(super) fn session(&self, client: u32) -> Option<Session> {
        self.sessions.get(&client).copied()
    }

    /// Returns whether the connection that a command came from still has its client id.
    pub(super) fn is_open(&self, origin: TaskRef) -> bool {
        self.sessions
            .get(&origin.client)
            .is_some_and(|session| session.connection == origin.connection)
    }

    /// Returns the connection that has a client id now.
    pub(super) fn connection_mut(&mut self, client: u32) -> Option<&mut TargetConnection> {
        self.clients.session_mut(client)
    }

    /// Removes the sessions of closed connections, and returns the numbers of these connections.
    pub(super) fn take_closed(&mut self) -> Vec<u64> {
        while self.clients.next_abandoned().is_some() {}
        let clients = &self.clients;
        self.sessions
            .extract_if(|client, _| !clients.is_open(*client))
            .map(|(_, session)| session.connection)
            .collect()
    }

    pub(super) fn close_all(&mut self) {
        self.clients = new_clients(&self.target, self.address, &self.registry);
    }
}

/// Returns the number of the host with this initiator name; 0 for a name without a host number.
fn host_number(initiator: &str) -> u32 {
    initiator
        .rsplit(":gw")
        .next()
        .and_then(|n| n.parse().ok())
        .unwrap_or(0)
}

fn new_clients(target: &str, address: SocketAddr, registry: &Registry) -> Clients {
    let config = TargetConfig {
        proposal: ProposedParams::default(),
        command_window: COMMAND_WINDOW,
        max_transfer_bytes: MAX_TRANSFER_BYTES,
        target_names: vec![target.to_owned()],
        portal_address: address.to_string(),
    };
    let registry = registry.try_clone().expect("a registry can be cloned");
    let admission = AdmissionController::new(target, MAX_CONNECTIONS);
    // A stand-in node is as large as its test needs.
    let memory = ClientMemory::new(u64::MAX, 0);
    Clients::new(
        admission,
        memory,
        Rc::new(config),
        registry,
        FIRST_CONNECTION,
    )
}
