//! Connections that are evicted for new ones, and causes of closed connections. A request that arrives on a connection
//! just before its eviction would be lost if the host relied on the poll alone. The tests decide when the poll reports
//! an event.
use super::*;
use mio::Poll;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, TcpListener, TcpStream as Peer};
use std::time::{Duration, Instant};

const READINESS_CHECK: &str = "GET /ready HTTP/1.1\r\nHost: s\r\n\r\n";

struct Fixture {
    _poll: Poll,
    clients: ClientConnections,
    listener: TcpListener,
}

impl Fixture {
    fn with_max_connections(max_connections: usize) -> Self {
        let poll = Poll::new().expect("cannot create a poll");
        let registry = poll
            .registry()
            .try_clone()
            .expect("cannot clone the registry");
        let clients = ClientConnections::new(registry, max_connections, 1 << 20);
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))
            .expect("cannot listen on a loopback address");
        Fixture {
            _poll: poll,
            clients,
            listener,
        }
    }

    /// Connects a client, and adds its connection to the host's.
    fn connect(&mut self, now: Millis) -> Peer {
        let peer = Peer::connect(self.listener.local_addr().expect("bound")).expect("it listens");
        let (socket, _) = self.listener.accept().expect("cannot accept the client");
        socket
            .set_nonblocking(true)
            .expect("cannot make the socket non-blocking");
        self.clients.add(TcpStream::from_std(socket), now);
        peer
    }

    /// Sends a request, and waits until it has arrived at the host's socket.
    fn send_request(&mut self, mut peer: &Peer, slot: u32) {
        peer.write_all(READINESS_CHECK.as_bytes()).expect("open");
        let client = self.clients.connections.get(slot).expect("accepted");
        let began = Instant::now();
        let len = READINESS_CHECK.len();
        while !matches!(client.socket().peek(&mut [0; 256]), Ok(count) if count == len) {
            assert!(
                began.elapsed() < Duration::from_secs(5),
                "the request did not arrive at the host's socket within 5 s"
            );
        }
    }

    /// Reads all queued connections, and returns the slots of those with a complete request.
    fn read_queued(&mut self, now: Millis) -> Vec<u32> {
        let clients = &mut self.clients;
        let queued: Vec<u32> = std::iter::from_fn(|| clients.next_queued()).collect();
        let has_request =
            |slot: &u32| clients.read(*slot, &mut [0; 4_096], now) == RequestStatus::Complete;
        queued.into_iter().filter(has_request).collect()
    }

    /// Makes a connection idle by sending one request on it and answering it.
    fn make_idle(&mut self, peer: &Peer, slot: u32) {
        self.send_request(peer, slot);
        assert!(
            self.clients
                .on_event(slot, SocketEvent::Readable, 0)
                .is_none()
        );
        assert!(self.read_queued(0).contains(&slot));
        self.clients
            .respond(slot, Response::empty(response::SHED_STATUS), 0);
        assert!(self.read_queued(0).is_empty());
    }
}

#[test]
fn a_connection_selected_for_eviction_stays_open_if_a_request_has_just_arrived_on_it() {
    let mut fixture = Fixture::with_max_connections(2);
    let (active, idle) = (fixture.connect(0), fixture.connect(0));
    fixture.make_idle(&active, 0);
    fixture.make_idle(&idle, 1);
    // Both have been idle equally long, so slot 0 is selected first. The poll has not reported its new request.
    fixture.send_request(&active, 0);
    let _third = fixture.connect(5_000);
    assert_eq!(
        fixture.clients.counters.rejected, 0,
        "the other connection was evicted for the new one"
    );
    assert_eq!(
        fixture.read_queued(5_000),
        [0],
        "the request on the selected connection is read"
    );
    let mut received = Vec::new();
    (&idle)
        .read_to_end(&mut received)
        .expect("the connection was not closed in order");
    assert!(
        received.starts_with(b"HTTP/1.1 503"),
        "the evicted connection received its response before the close"
    );
}

#[test]
fn a_new_connection_is_rejected_if_each_evictable_one_has_an_unread_request() {
    let mut fixture = Fixture::with_max_connections(2);
    let (one, other) = (fixture.connect(0), fixture.connect(0));
    fixture.make_idle(&one, 0);
    fixture.make_idle(&other, 1);
    fixture.send_request(&one, 0);
    fixture.send_request(&other, 1);
    let third = fixture.connect(5_000);
    assert_eq!(fixture.clients.counters.rejected, 1);
    assert_eq!(
        (&third)
            .read(&mut [0; 16])
            .expect("the connection was not closed in order"),
        0
    );
    assert_eq!(fixture.read_queued(5_000), [0, 1]);
}

#[test]
fn closed_connections_are_counted_by_their_cause() {
    let mut fixture = Fixture::with_max_connections(8);
    // A silent client, one that was served, one that sends a malformed message, and one that disconnects.
    let peers: Vec<Peer> = (0..4).map(|_| fixture.connect(0)).collect();
    fixture.make_idle(&peers[1], 1);
    (&peers[2]).write_all(b"nonsense\r\n\r\n").expect("open");
    drop(peers.into_iter().nth(3));
    let mut buffer = [0; 4_096];
    let began = Instant::now();
    while fixture.clients.closed().disconnected == 0 || fixture.clients.counters.malformed == 0 {
        assert!(
            began.elapsed() < Duration::from_secs(5),
            "the malformed message or the disconnect was not received within 5 s"
        );
        for slot in [2, 3] {
            fixture.clients.on_event(slot, SocketEvent::Readable, 0);
            fixture.clients.read(slot, &mut buffer, 0);
        }
    }
    fixture
        .clients
        .begin_shutdown(GracefulShutdown::by_operator(0));
    fixture.clients.check_timeouts(1_000);
    let expected = CloseCounters {
        disconnected: 1,
        malformed: 1,
        shutdown: 2,
        ..CloseCounters::default()
    };
    assert_eq!(fixture.clients.closed(), expected);
}
