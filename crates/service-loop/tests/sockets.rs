//! Messages and connections of hosts, as a service sees them.
use mallowseam_service_loop::{HostId, Limits, ListeningSockets, ServiceSockets, SocketEvent};
use mio::{Events, Poll};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::{Duration, Instant};

/// Maximum duration of any wait.
const TIMEOUT: Duration = Duration::from_secs(10);
const LIMITS: Limits = Limits {
    max_line: 1_000,
    max_unsent: 1_000,
};

/// Returns a different address for each test of this process.
fn unique_address() -> SocketAddr {
    static NEXT: AtomicU8 = AtomicU8::new(1);
    let process = std::process::id() as u8;
    SocketAddr::from((
        [127, 236, process, NEXT.fetch_add(1, Ordering::Relaxed)],
        3260,
    ))
}

struct Service {
    poll: Poll,
    sockets: ServiceSockets<()>,
    address: SocketAddr,
}

impl Service {
    fn new() -> Service {
        let address = unique_address();
        let poll = Poll::new().expect("the poll is created");
        let sockets = ListeningSockets::open(address, None, 3, LIMITS, &poll)
            .and_then(|listening| listening.watch_signals(&poll))
            .expect("the service listens");
        Service {
            poll,
            sockets,
            address,
        }
    }

    fn connect(&self) -> TcpStream {
        let host = TcpStream::connect(self.address).expect("the host connects");
        host.set_read_timeout(Some(TIMEOUT))
            .expect("the read timeout is set");
        host
    }

    /// Receives the messages of all hosts until the condition `done` holds.
    fn run_until(&mut self, mut done: impl FnMut(&mut ServiceSockets<()>, &[String]) -> bool) {
        let began = Instant::now();
        let mut received = Vec::new();
        let mut events = Events::with_capacity(16);
        while !done(&mut self.sockets, &received) {
            assert!(
                began.elapsed() < TIMEOUT,
                "condition does not hold in time; received {received:?}"
            );
            match self.poll.poll(&mut events, Some(TIMEOUT)) {
                Err(error) if error.kind() != ErrorKind::Interrupted => {
                    panic!("poll failed: {error}")
                }
                _ => {}
            }
            for event in &events {
                if let Some(SocketEvent::Host(id)) = self.sockets.on_ready(event.token()) {
                    received.extend(self.messages(id));
                }
            }
        }
    }

    fn messages(&mut self, id: HostId) -> Vec<String> {
        let mut messages = Vec::new();
        while let Some(message) = self.sockets.hosts_mut().next_message(id) {
            messages.push(message);
        }
        messages
    }
}

fn is_closed(mut host: TcpStream) -> bool {
    matches!(host.read(&mut [0; 16]), Ok(0) | Err(_))
}

#[test]
fn messages_are_received_in_order() {
    let mut service = Service::new();
    let mut host = service.connect();
    host.write_all(b"\"one\"\n\"two\"\n\"three\"\n")
        .expect("the lines are written");
    service.run_until(|_, received| received == ["one", "two", "three"]);
}

#[test]
fn a_line_that_is_not_a_message_closes_the_connection_after_the_messages_before_it() {
    let mut service = Service::new();
    let mut host = service.connect();
    host.write_all(b"\"one\"\nnonsense\n\"two\"\n")
        .expect("the lines are written");
    service.run_until(|sockets, received| received == ["one"] && sockets.hosts().ids().is_empty());
    assert!(is_closed(host));
}

#[test]
fn a_host_with_too_many_unsent_bytes_is_disconnected() {
    let mut service = Service::new();
    let host = service.connect();
    service.run_until(|sockets, _| !sockets.hosts().ids().is_empty());
    let hosts = service.sockets.hosts_mut();
    let id = hosts.ids()[0];
    hosts.send(id, &"x".repeat(LIMITS.max_unsent));
    hosts.flush();
    assert!(hosts.ids().is_empty());
    assert!(is_closed(host));
}

#[test]
fn a_host_has_no_name_until_it_sends_one() {
    let mut service = Service::new();
    let _host = service.connect();
    service.run_until(|sockets, _| !sockets.hosts().ids().is_empty());
    let hosts = service.sockets.hosts_mut();
    let id = hosts.ids()[0];
    let host = hosts.get_mut(id).expect("the host is connected");
    assert_eq!(host.name(), None);
    host.set_name("");
    assert_eq!(host.name(), None);
    host.set_name("gw0");
    assert_eq!(host.name(), Some("gw0"));
}
