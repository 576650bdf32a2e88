//! Listeners for hosts' connections to peers. Links and peers determine whether each accepts, refuses or blackholes
//! connections.
use super::{ConnectionRole, Event, SimulatedPeers};
use crate::fleet::error::TestbedError;
use mallowseam_http1::RequestReader;
use mallowseam_models::discovery_queue::ServiceBehavior;
use mallowseam_stand_ins::links::{ConnectOutcome, Peer};
use mio::net::{TcpListener, TcpStream};
use mio::{Interest, Token};
use socket2::SockRef;
use std::net::SocketAddr;

/// Maximum number of connections accepted in one event of a listener.
const MAX_ACCEPTS_PER_EVENT: usize = 64;
/// Length of a listener's accept queue.
const LISTEN_BACKLOG: i32 = 1_024;

/// Listener at which one host reaches one peer.
pub(super) struct PeerListener {
    host: u32,
    peer: Peer,
    address: SocketAddr,
    listener: Option<TcpListener>,
    state: ConnectOutcome,
    /// Connection that fills the accept queue while the link is blackholed, so that no other connection is established.
    backlog_filler: Option<std::net::TcpStream>,
}

impl SimulatedPeers {
    pub(super) fn add_listener(
        &mut self,
        host: u32,
        peer: Peer,
        address: SocketAddr,
    ) -> Result<(), TestbedError> {
        let bind = |source| TestbedError::Bind { address, source };
        let mut listener = TcpListener::bind(address).map_err(bind)?;
        let token = listener_token(self.listeners.len());
        self.poll
            .registry()
            .register(&mut listener, token, Interest::READABLE)
            .map_err(TestbedError::Poll)?;
        self.listeners.push(PeerListener {
            host,
            peer,
            address,
            listener: Some(listener),
            state: ConnectOutcome::Accepted,
            backlog_filler: None,
        });
        Ok(())
    }

    /// Returns the state that a listener must have, given its link and peer.
    fn listener_state(&self, listener: &PeerListener) -> ConnectOutcome {
        let by_link = self
            .links
            .connect_outcome(Peer::Host(listener.host), listener.peer);
        let peer_is_down = match listener.peer {
            Peer::Node(node) => !self.nodes[node as usize].is_up(self.now()),
            Peer::List(list) => self.discovery[list as usize].behavior() == ServiceBehavior::Down,
            _ => false,
        };
        if by_link == ConnectOutcome::Accepted && peer_is_down {
            ConnectOutcome::Refused
        } else {
            by_link
        }
    }

    /// Opens and closes listeners according to the current state of links and peers.
    pub(super) fn update_listeners(&mut self) {
        for index in 0..self.listeners.len() {
            let state = self.listener_state(&self.listeners[index]);
            if state != self.listeners[index].state {
                self.set_listener_state(index, state);
            }
        }
    }

    fn set_listener_state(&mut self, index: usize, state: ConnectOutcome) {
        let entry = &mut self.listeners[index];
        entry.state = state;
        entry.backlog_filler = None;
        if state == ConnectOutcome::Refused {
            entry.listener = None;
            return;
        }
        let token = listener_token(index);
        let registry = self.poll.registry();
        let mut listener = if let Some(listener) = entry.listener.take() {
            listener
        } else {
            let Ok(mut listener) = TcpListener::bind(entry.address) else {
                return;
            };
            let _ = registry.register(&mut listener, token, Interest::READABLE);
            listener
        };
        if state == ConnectOutcome::Blackholed {
            // One connection that is not accepted fills an accept queue of length zero; later ones get no response.
            let _ = SockRef::from(&listener).listen(0);
            while let Ok((socket, _)) = listener.accept() {
                drop(socket);
            }
            entry.backlog_filler = std::net::TcpStream::connect(entry.address).ok();
        } else {
            let _ = SockRef::from(&listener).listen(LISTEN_BACKLOG);
            let _ = registry.reregister(&mut listener, token, Interest::READABLE);
        }
        entry.listener = Some(listener);
    }

    pub(super) fn accept(&mut self, index: usize) {
        for _ in 0..MAX_ACCEPTS_PER_EVENT {
            let entry = self
                .listeners
                .get(index)
                .filter(|l| l.state == ConnectOutcome::Accepted);
            let Some(entry) = entry else { return };
            let Some(Ok((socket, _))) = entry.listener.as_ref().map(TcpListener::accept) else {
                return;
            };
            let _ = socket.set_nodelay(true);
            let host = entry.host;
            let peer = entry.peer;
            self.on_accepted(host, peer, socket);
        }
        // More connections may be queued, which an edge-triggered poll does not report again.
        if let Some(Some(listener)) = self.listeners.get_mut(index).map(|l| l.listener.as_mut()) {
            let token = listener_token(index);
            let _ = self
                .poll
                .registry()
                .reregister(listener, token, Interest::READABLE);
        }
    }

    fn on_accepted(&mut self, host: u32, peer: Peer, socket: TcpStream) {
        let reader = RequestReader::default();
        let role = match peer {
            Peer::Node(node) => {
                let over_limit = self.nodes[node as usize].connection_opened();
                self.record(Event::NodeConnectionOpened { node, host });
                ConnectionRole::Node {
                    node,
                    reader,
                    pending: None,
                    is_new: true,
                    over_limit,
                }
            }
            Peer::List(list) => ConnectionRole::Poll {
                list,
                reader,
                is_watch: false,
                stalled_since: None,
            },
            Peer::Host(_) | Peer::Clients => return,
        };
        let index = self.register_connection(host, socket, role);
        self.read_socket(index);
    }
}

fn listener_token(index: usize) -> Token {
    Token(2 * index)
}
