//! Clients that disconnect before the poll has reported it. A busy event loop polls rarely: if it relied on an old poll
//! result, it would start block I/Os and attempts for clients that are gone. The tests decide when the poll reports
//! an event, and how old its last result is.
use super::*;
use mallowseam_connection_policy::executed_requests::ExecutedRequests;
use mallowseam_connection_policy::keep_alive::KeepAlivePolicy;
use mallowseam_scheduler::interface::EndpointEvent;
use mallowseam_sockets::clock::ticks_to_millis;
use mio::Poll;
use mio::net::TcpStream;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::time::{Duration, Instant};

const SETTINGS: &str = r#"{"balancers": 1, "localities": ["a"], "registry_mode": "on_request",
  "profiles": [{"name": "look", "aim_us": 5000000, "deadline_us": 9000000, "repeat": "idempotent", "worth": 3.0}],
  "service_levels": [{"name": "gold", "floor_rate": 900.0, "usual_rate": 900.0, "limit": 0.0, "weight": 1.0, "worth_factor": 1.0}],
  "extra": {"class_writes": [false], "largest": 8, "mean_units": 1.0, "within_share": 0.5, "spare_worth": 0.1},
  "limits": {"cancel": true, "max_attempts": 3, "retry_after": true, "max_retry_after_us": 1000000,
             "idle_close_us": 30000000, "connect_timeout_us": 250000},
  "rules": {"drain_grace_us": 250000, "ask_within_us": 10000000}}"#;

/// Age of a poll result, in ticks, at which it is stale.
const STALE: Tick = 400;
/// Age of a poll result, in ticks, at which it is still fresh.
const FRESH: Tick = 200;

/// Maximum number of client connections.
const MAX_CLIENTS: usize = 64;

struct Fixture {
    _poll: Poll,
    dispatcher: Dispatcher,
    node: TcpListener,
    listener: TcpListener,
}

impl Fixture {
    /// Creates a host that knows one new node, which receives its first attempts within the next 0.3 s.
    fn new(now: Tick) -> Self {
        let poll = Poll::new().expect("cannot create a poll");
        let registry = || {
            poll.registry()
                .try_clone()
                .expect("cannot clone the registry")
        };
        let settings = mallowseam_platform::settings::parse(SETTINGS).expect("valid settings");
        let (node, listener) = (listen(), listen());
        let clients = ClientConnections::new(registry(), MAX_CLIENTS, 1 << 20);
        let keep_alive = KeepAlivePolicy::new(Some(15_000), ticks_to_millis(now));
        let nodes = NodeConnections::new(registry(), 64, 1 << 20, 2_500, keep_alive);
        let scheduler = Scheduler::new(&settings.scheduler, 7, now);
        let executed = ExecutedRequests::new(7, 32);
        let host = SchedulerHost::new(now, settings, clients, nodes, executed);
        let mut dispatcher = Dispatcher::new(Clock::from_zero(), scheduler, host);
        let dial = node.local_addr().expect("bound");
        let list = format!(
            r#"{{"seq":1,"whole":true,"hosts":[{{"host":"s","dial":"{dial}","site":"a","class":"m","block":0,"health":"ready","share":1.0,"born_ms":0}}]}}"#
        );
        let update =
            mallowseam_platform::endpoints::parse(list.as_bytes()).expect("invalid endpoint list");
        dispatcher.on_endpoints(EndpointEvent::FullSnapshot, &update);
        Fixture {
            _poll: poll,
            dispatcher,
            node,
            listener,
        }
    }

    /// Connects a client that sends a complete request. Returns its connection and its slot. `is_polled`: the poll has
    /// reported the connection as readable.
    fn connect_and_request(&mut self, is_polled: bool) -> (std::net::TcpStream, u32) {
        self.connect_and_request_as("a1", is_polled)
    }

    /// Like `connect_and_request`, with the request id `id`.
    fn connect_and_request_as(&mut self, id: &str, is_polled: bool) -> (std::net::TcpStream, u32) {
        let address = self.listener.local_addr().expect("bound");
        let mut client = std::net::TcpStream::connect(address).expect("it listens");
        let (socket, _) = self.listener.accept().expect("cannot accept the client");
        let text = format!(
            "GET /look/00000000000000aa/00000000000000bb HTTP/1.1\r\nHost: s\r\nX-Request-ID: {id}\r\n\
             X-Priority-Class: look\r\nX-Qos-Policy: gold\r\nX-Timeout-Ms: 8000\r\n\
             X-Placement: units=1,shard=0,hosts=1\r\n\r\n"
        );
        client.write_all(text.as_bytes()).expect("open");
        wait_until(
            "the request arrives at the host's socket",
            || matches!(socket.peek(&mut [0; 1_024]), Ok(count) if count == text.len()),
        );
        socket
            .set_nonblocking(true)
            .expect("cannot make the socket non-blocking");
        let now = self.dispatcher.now_ms();
        self.dispatcher
            .clients_mut()
            .add(TcpStream::from_std(socket), now);
        let slot = self.dispatcher.clients_mut().next_queued().expect("queued");
        if is_polled {
            assert!(
                self.dispatcher
                    .clients_mut()
                    .on_event(slot, SocketEvent::Readable, now)
                    .is_none()
            );
        }
        (client, slot)
    }

    /// Reads the complete request of a client, and handles it.
    fn handle_request(&mut self, slot: u32) {
        let now = self.dispatcher.now_ms();
        let read = self
            .dispatcher
            .clients_mut()
            .read(slot, &mut [0; 4_096], now);
        assert_eq!(read, RequestStatus::Complete);
        self.dispatcher.on_request(slot, true);
    }

    /// Reads all queued connections, as the event loop does between two polls.
    fn read_queued(&mut self) {
        while let Some(slot) = self.dispatcher.clients_mut().next_queued() {
            self.dispatcher.read_client(slot, &mut [0; 4_096], true);
        }
    }

    /// Advances the time by `by`, to `since_poll` ticks after the last poll, and fires the scheduler's timer.
    fn advance(&mut self, by: Tick, since_poll: Tick) {
        self.set_time(self.dispatcher.now() + by, since_poll);
        self.dispatcher.host.set_timer(0);
        self.dispatcher.fire_timer();
    }

    /// Sets the time of the current event to `now`, which is `since_poll` ticks after the last poll.
    fn set_time(&mut self, now: Tick, since_poll: Tick) {
        let times = &mut self.dispatcher.host.times;
        times.begin_iteration(now - since_poll);
        times.advance(now);
    }

    /// Returns whether the host has opened a connection to the node for an attempt.
    fn was_attempted(&self) -> bool {
        self.node
            .set_nonblocking(true)
            .expect("cannot make the socket non-blocking");
        self.node.accept().is_ok()
    }

    /// Closes the client's connection, and waits until the host's socket has received the close.
    fn disconnect(&self, client: std::net::TcpStream) {
        let host = self.listener.local_addr().expect("bound");
        let own = client.local_addr().expect("bound");
        drop(client);
        // 08 is CLOSE_WAIT: the close has arrived, and the host's socket waits for the close of its own side.
        let closed = format!("{} {} 08", table_address(host), table_address(own));
        wait_until("the close arrives at the host's socket", || {
            std::fs::read_to_string("/proc/net/tcp")
                .expect("cannot read /proc/net/tcp")
                .contains(&closed)
        });
    }
}

/// Returns an address in the format of /proc/net/tcp.
fn table_address(address: SocketAddr) -> String {
    let SocketAddr::V4(address) = address else {
        unreachable!("IPv4")
    };
    format!(
        "{:08X}:{:04X}",
        u32::from(*address.ip()).swap_bytes(),
        address.port()
    )
}

fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let began = Instant::now();
    while !condition() {
        assert!(
            began.elapsed() < Duration::from_secs(5),
            "timed out while waiting: {what}"
        );
    }
}

fn listen() -> TcpListener {
    TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("cannot listen on a loopback address")
}

#[test]
fn no_io_is_started_for_a_client_that_disconnects_before_the_poll_has_reported_its_connection() {
    let mut fixture = Fixture::new(1_000_000);
    fixture.advance(4_000, 0);
    let (client, slot) = fixture.connect_and_request(false);
    fixture.disconnect(client);
    fixture.handle_request(slot);
    assert!(!fixture.was_attempted() && fixture.dispatcher.in_flight() == 0);
}

#[test]
fn no_io_is_started_for_a_client_whose_disconnect_is_unreported_once_the_poll_result_is_stale() {
    for (age, is_admitted) in [(FRESH, true), (STALE, false)] {
        let mut fixture = Fixture::new(1_000_000);
        fixture.advance(4_000, 0);
        let (client, slot) = fixture.connect_and_request(true);
        fixture.disconnect(client);
        fixture.set_time(fixture.dispatcher.now(), age);
        fixture.handle_request(slot);
        let observed = (fixture.was_attempted(), fixture.dispatcher.in_flight() > 0);
        assert_eq!(
            observed,
            (is_admitted, is_admitted),
            "poll result {age} ticks old"
        );
    }
}

#[test]
fn a_queued_io_is_not_attempted_for_a_client_whose_disconnect_is_unreported_once_the_poll_result_is_stale()
 {
    for (age, is_started) in [(FRESH, true), (STALE, false)] {
        let mut fixture = Fixture::new(1_000_000);
        let (client, slot) = fixture.connect_and_request(true);
        fixture.handle_request(slot);
        assert!(
            !fixture.was_attempted() && fixture.dispatcher.in_flight() == 1,
            "the block I/O is queued because the node is new"
        );
        fixture.disconnect(client);
        fixture.advance(4_000, age);
        assert_eq!(
            fixture.was_attempted(),
            is_started,
            "poll result {age} ticks old"
        );
        assert_eq!(fixture.dispatcher.in_flight() > 0, is_started);
        assert_eq!(
            fixture.dispatcher.counters().disconnected,
            u64::from(!is_started)
        );
    }
    // With its client still connected, the block I/O is attempted however old the poll result is.
    let mut fixture = Fixture::new(1_000_000);
    let (_client, slot) = fixture.connect_and_request(true);
    fixture.handle_request(slot);
    fixture.advance(4_000, STALE);
    assert!(fixture.was_attempted() && fixture.dispatcher.in_flight() == 1);
}

/// A host that is cut off from its nodes has requests in flight on all its connections. Without a reserve it closed new
/// connections with their requests unread.
#[test]
fn requests_of_new_clients_are_shed_at_once_while_nearly_all_connections_are_in_flight() {
    let mut fixture = Fixture::new(1_000_000);
    let mut connections = Vec::new();
    let mut responses = Vec::new();
    for number in 0..2 * MAX_CLIENTS {
        let (client, slot) = fixture.connect_and_request_as(&format!("a{number}"), true);
        fixture.handle_request(slot);
        fixture.read_queued();
        let mut response = vec![0; 512];
        client
            .set_nonblocking(true)
            .expect("cannot make the socket non-blocking");
        if let Ok(count) = (&client).read(&mut response) {
            responses.push(String::from_utf8_lossy(&response[..count]).into_owned());
        }
        connections.push(client);
    }
    let rejected = fixture.dispatcher.clients().counters().rejected;
    assert_eq!(rejected, 0, "no connection is closed unread");
    let in_flight = MAX_CLIENTS - MAX_CLIENTS / 8;
    assert_eq!(fixture.dispatcher.in_flight(), in_flight);
    assert_eq!(
        responses.len(),
        2 * MAX_CLIENTS - in_flight,
        "every other request is answered"
    );
    for response in responses {
        assert!(response.starts_with("HTTP/1.1 503 "), "{response}");
        assert!(response.contains("Retry-After: "), "{response}");
    }
}
