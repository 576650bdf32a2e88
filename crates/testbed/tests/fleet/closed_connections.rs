//! Requests on connections that a host closes, and which of them count as lost. The test simulates the host at the
//! address of the first host. Guards against an audit that excuses lost requests, or reports requests that a client may
//! resend.
use crate::support::{changed, wait_for};
use mallowseam_audit::fleet::Rule;
use mallowseam_audit::fleet::record::{Event, Observation};
use mallowseam_testbed::fleet::outcome::Outcome;
use mallowseam_testbed::fleet::processes::Program;
use mallowseam_testbed::fleet::testbed::Testbed;
use std::collections::BTreeSet;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

/// Response of a host that is ready.
const READY: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
/// Response of a host that sheds a request.
const SHED: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";

/// Handling of the request to which the simulated host does not respond.
#[derive(Clone, Copy)]
enum UnansweredRequest {
    /// The host closes the connection with the request unread.
    Unread,
    /// The host reads the request, then closes the connection.
    Read,
}

/// Reads one request, with the body that clients send or without any. Returns `None` if the connection ends before.
fn read_request(stream: &mut TcpStream) -> Option<()> {
    let mut received = Vec::new();
    let mut buffer = [0; 4_096];
    while !received.ends_with(b"\r\n\r\n") && !received.ends_with(b"posted") {
        let count = stream.read(&mut buffer).ok().filter(|count| *count > 0)?;
        received.extend_from_slice(&buffer[..count]);
    }
    Some(())
}

/// Sheds all requests on a connection until the connection ends.
fn shed_requests(stream: &mut TcpStream) {
    while read_request(stream).is_some() && stream.write_all(SHED).is_ok() {}
}

/// Responds to the readiness check, sheds `shed` requests on the first client connection, and closes that connection at
/// the next request. Then sheds all requests until stopped.
fn simulate_host(
    listener: &TcpListener,
    shed: usize,
    unanswered: UnansweredRequest,
    stopped: &AtomicBool,
) {
    let accept = || listener.accept().expect("cannot accept a connection").0;
    let mut readiness = accept();
    read_request(&mut readiness).expect("no readiness check");
    readiness
        .write_all(READY)
        .expect("cannot respond to the readiness check");
    let mut first = accept();
    for _ in 0..shed {
        read_request(&mut first).expect("no request on the first connection");
        first.write_all(SHED).expect("cannot respond to a request");
    }
    match unanswered {
        // Waits until the request has arrived at the socket.
        UnansweredRequest::Unread => drop(first.peek(&mut [0])),
        UnansweredRequest::Read => drop(read_request(&mut first)),
    }
    drop(first);
    loop {
        let mut stream = accept();
        if stopped.load(Ordering::Relaxed) {
            return;
        }
        std::thread::spawn(move || shed_requests(&mut stream));
    }
}

/// Returns a program without sockets that runs in place of the host's process.
fn idle_program() -> Program {
    Program {
        path: "sleep".into(),
        args: vec!["60".into()],
    }
}

/// Returns the operations whose last request has neither a response nor lost its connection.
fn requests_in_flight(observations: &[Observation]) -> BTreeSet<u64> {
    let mut in_flight = BTreeSet::new();
    for observation in observations {
        match observation.event {
            Event::RequestSent { op, .. } => {
                in_flight.insert(op);
            }
            Event::ResponseReceived { op, .. } | Event::ConnectionLost { op } => {
                in_flight.remove(&op);
            }
            _ => {}
        }
    }
    in_flight
}

/// Runs clients against the simulated host until they have lost a connection and received further responses.
fn outcome_with_host(shed: usize, unanswered: UnansweredRequest) -> Outcome {
    let scenario = changed(&[
        ("hosts 5 known now", "hosts 1 known now"),
        ("zones 2", "zones 1"),
    ]);
    let dir = tempfile::tempdir().expect("cannot create a temporary directory");
    let mut testbed =
        Testbed::open(&scenario, 1, &idle_program(), dir.path()).expect("cannot open the testbed");
    let address = testbed.peers.addresses.host(0);
    let listener = TcpListener::bind(address).expect("cannot bind the host's address");
    let stopped = Arc::new(AtomicBool::new(false));
    let host = std::thread::spawn({
        let stopped = stopped.clone();
        move || simulate_host(&listener, shed, unanswered, &stopped)
    });
    testbed.start(0).expect("cannot start the process");
    testbed.peers.set_clients_active(true);
    wait_for(
        &mut testbed,
        "clients get responses after a connection has ended",
        |testbed| {
            let ended_at = testbed.peers.observations.iter().position(|o| {
                matches!(
                    o.event,
                    Event::ConnectionLost { .. } | Event::RequestUnread { .. }
                )
            });
            ended_at.is_some_and(|at| {
                let later = &testbed.peers.observations[at..];
                let is_response =
                    |o: &&Observation| matches!(o.event, Event::ResponseReceived { .. });
                later.iter().filter(is_response).count() >= 3
            })
        },
    );
    // Ends the simulated host, so that its address is free before another run claims it. Requests that wait to be accepted
    // are answered before.
    testbed.peers.set_clients_active(false);
    wait_for(
        &mut testbed,
        "requests in flight have a response",
        |testbed| requests_in_flight(&testbed.peers.observations).is_empty(),
    );
    stopped.store(true, Ordering::Relaxed);
    drop(TcpStream::connect(address).expect("cannot connect to the simulated host"));
    host.join().expect("thread panicked");
    testbed.finish()
}

fn is_response_lost(outcome: &Outcome) -> bool {
    !outcome.verdict.violations[Rule::Responses as usize].is_empty()
}

#[test]
fn a_request_left_unread_at_the_close_of_an_idle_connection_is_sent_once_more() {
    let outcome = outcome_with_host(2, UnansweredRequest::Unread);
    assert_eq!(outcome.verdict.unread, 1);
    assert!(!is_response_lost(&outcome), "{:?}", outcome.violations());
}

#[test]
fn a_request_that_was_read_before_the_close_is_lost() {
    let outcome = outcome_with_host(2, UnansweredRequest::Read);
    assert_eq!(outcome.verdict.unread, 0);
    assert!(is_response_lost(&outcome));
}

#[test]
fn the_first_request_of_a_connection_is_lost_with_it() {
    let outcome = outcome_with_host(0, UnansweredRequest::Unread);
    assert_eq!(outcome.verdict.unread, 0);
    assert!(is_response_lost(&outcome));
}
