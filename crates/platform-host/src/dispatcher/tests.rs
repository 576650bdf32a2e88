//! Clients that disconnect while the poll's last report is old. The test itself decides when the poll reports something.
use super::*;
use mallowseam_connection_policy::keep_alive::KeepAlivePolicy;
use mallowseam_scheduler::interface::EndpointEvent;
use mallowseam_sockets::clock::ticks_to_millis;
use mio::Poll;
use mio::net::TcpStream;
use std::io::Write;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::time::{Duration, Instant};

const SETTINGS: &str = r#"{"balancers": 1, "localities": ["a"], "registry_mode": "on_request",
  "profiles": [{"name": "look", "aim_us": 5000000, "deadline_us": 9000000, "repeat": "idempotent", "worth": 3.0}],
  "service_levels": [{"name": "gold", "floor_rate": 900.0, "usual_rate": 900.0, "limit": 0.0, "weight": 1.0, "worth_factor": 1.0}],
  "extra": {"class_writes": [false], "largest": 8, "mean_units": 1.0, "within_share": 0.5, "spare_worth": 0.1},
  "limits": {"cancel": true, "max_attempts": 3, "retry_after": true, "max_retry_after_us": 1000000,
             "idle_close_us": 30000000, "connect_timeout_us": 250000},
  "rules": {"drain_grace_us": 250000, "ask_within_us": 10000000}}"#;

/// Ticks after which the poll's report is stale, and before which it is not.
const STALE: Tick = 400;
const FRESH: Tick = 200;

struct Fixture {
    _poll: Poll,
    dispatcher: Dispatcher,
    node: TcpListener,
    listener: TcpListener,
}

impl Fixture {
    /// A host that knows one node, which may get attempts some time within the next 0.3 s.
    fn new(now: Tick) -> Self {
        let poll = Poll::new().expect("a poll");
        let registry = || poll.registry().try_clone().expect("a poll");
        let settings = mallowseam_platform::settings::parse(SETTINGS).expect("valid settings");
        let (node, listener) = (listen(), listen());
        let clients = ClientConnections::new(registry(), 64, 1 << 20);
        let keep_alive = KeepAlivePolicy::new(Some(15_000), ticks_to_millis(now));
        let nodes = NodeConnections::new(registry(), 64, 1 << 20, 2_500, keep_alive);
        let scheduler = Scheduler::new(&settings.scheduler, 7, now);
        let host = SchedulerHost::new(now, settings, clients, nodes);
        let mut dispatcher = Dispatcher::new(Clock::from_zero(), scheduler, host);
        let dial = node.local_addr().expect("bound");
        let list = format!(
            r#"{{"seq":1,"whole":true,"hosts":[{{"host":"s","dial":"{dial}","site":"a","class":"m","block":0,"health":"ready","share":1.0,"born_ms":0}}]}}"#
        );
        let update = mallowseam_platform::endpoints::parse(list.as_bytes()).expect("a valid list");
        dispatcher.on_endpoints(EndpointEvent::FullSnapshot, &update);
        Fixture {
            _poll: poll,
            dispatcher,
            node,
            listener,
        }
    }

    /// A client's connection with a complete request on it, and its slot. `is_polled`: the poll has reported it.
    fn connect_and_request(&mut self, is_polled: bool) -> (std::net::TcpStream, u32) {
        let address = self.listener.local_addr().expect("bound");
        let mut client = std::net::TcpStream::connect(address).expect("it listens");
        let (socket, _) = self.listener.accept().expect("a client");
        let text = "GET /look/00000000000000aa/00000000000000bb HTTP/1.1\r\nHost: s\r\nX-Request-ID: a1\r\n\
             X-Priority-Class: look\r\nX-Qos-Policy: gold\r\nX-Timeout-Ms: 8000\r\n\
             X-Placement: units=1,shard=0,hosts=1\r\n\r\n";
        client.write_all(text.as_bytes()).expect("open");
        wait_until(
            "its request arrives",
            || matches!(socket.peek(&mut [0; 1_024]), Ok(count) if count == text.len()),
        );
        socket.set_nonblocking(true).expect("a socket");
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

    /// Reads the request, and handles it.
    fn handle_request(&mut self, slot: u32) {
        let now = self.dispatcher.now_ms();
        let read = self
            .dispatcher
            .clients_mut()
            .read(slot, &mut [0; 4_096], now);
        assert_eq!(read, RequestStatus::Complete);
        self.dispatcher.on_request(slot, true);
    }

    /// Time passes, until so long after the poll.
    fn advance(&mut self, by: Tick, since_poll: Tick) {
        self.set_time(self.dispatcher.now() + by, since_poll);
        self.dispatcher.host.set_timer(0);
        self.dispatcher.fire_timer();
    }

    /// It is this time now, so long after the poll.
    fn set_time(&mut self, now: Tick, since_poll: Tick) {
        let times = &mut self.dispatcher.host.times;
        times.begin_iteration(now - since_poll);
        times.advance(now);
    }

    /// Whether an attempt was started at the node.
    fn was_attempted(&self) -> bool {
        self.node.set_nonblocking(true).expect("a socket");
        self.node.accept().is_ok()
    }

    /// The client closes its connection, and the host's side has received that.
    fn disconnect(&self, client: std::net::TcpStream) {
        let host = self.listener.local_addr().expect("bound");
        let own = client.local_addr().expect("bound");
        drop(client);
        // The close has arrived where the host's socket waits for the close of its own side (CLOSE_WAIT).
        let closed = format!("{} {} 08", table_address(host), table_address(own));
        wait_until("the close arrives", || {
            std::fs::read_to_string("/proc/net/tcp")
                .expect("a table")
                .contains(&closed)
        });
    }
}

/// An address as the system's table of sockets has it.
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
            "timed out: {what}"
        );
    }
}

fn listen() -> TcpListener {
    TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("an address")
}

#[test]
fn nothing_is_started_for_a_client_that_disconnects_before_the_poll_has_reported_it() {
    let mut fixture = Fixture::new(1_000_000);
    fixture.advance(4_000, 0);
    let (client, slot) = fixture.connect_and_request(false);
    fixture.disconnect(client);
    fixture.handle_request(slot);
    assert!(!fixture.was_attempted() && fixture.dispatcher.in_flight() == 0);
}

#[test]
fn nothing_is_started_for_a_client_that_disconnected_unnoticed_once_the_polls_report_is_stale() {
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
            "{age} ticks after the poll"
        );
    }
}

#[test]
fn a_queued_io_is_not_started_for_a_client_that_disconnected_unnoticed_once_the_polls_report_is_stale()
 {
    for (age, is_started) in [(FRESH, true), (STALE, false)] {
        let mut fixture = Fixture::new(1_000_000);
        let (client, slot) = fixture.connect_and_request(true);
        fixture.handle_request(slot);
        assert!(
            !fixture.was_attempted() && fixture.dispatcher.in_flight() == 1,
            "queued: the node is new"
        );
        fixture.disconnect(client);
        fixture.advance(4_000, age);
        assert_eq!(
            fixture.was_attempted(),
            is_started,
            "{age} ticks after the poll"
        );
        assert_eq!(fixture.dispatcher.in_flight() > 0, is_started);
        assert_eq!(
            fixture.dispatcher.counters().disconnected,
            u64::from(!is_started)
        );
    }
    // With its client connected it is started, however old the poll's report is.
    let mut fixture = Fixture::new(1_000_000);
    let (_client, slot) = fixture.connect_and_request(true);
    fixture.handle_request(slot);
    fixture.advance(4_000, STALE);
    assert!(fixture.was_attempted() && fixture.dispatcher.in_flight() == 1);
}
