//! Requests on connections that the host closes: which of them count as lost. The host is played by the test, on the
//! address of the first host.
use crate::support::{changed, wait_for};
use mallowseam_audit::fleet::Rule;
use mallowseam_audit::fleet::record::{Event, Observation};
use mallowseam_testbed::fleet::outcome::Outcome;
use mallowseam_testbed::fleet::processes::Program;
use mallowseam_testbed::fleet::testbed::Testbed;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

const READY: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
const SHED: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";

/// What the played host does with the request that it does not answer.
#[derive(Clone, Copy)]
enum End {
    /// It closes the connection with the request unread.
    Unread,
    /// It reads the request, and closes the connection.
    Read,
}

/// Reads one request without a body, or with the body that clients send.
fn read_request(stream: &mut TcpStream) -> Option<()> {
    let mut received = Vec::new();
    let mut buffer = [0; 4_096];
    while !received.ends_with(b"\r\n\r\n") && !received.ends_with(b"posted") {
        let count = stream.read(&mut buffer).ok().filter(|count| *count > 0)?;
        received.extend_from_slice(&buffer[..count]);
    }
    Some(())
}

/// Refuses requests on a connection until it ends.
fn refuse_requests(stream: &mut TcpStream) {
    while read_request(stream).is_some() && stream.write_all(SHED).is_ok() {}
}

/// Answers the readiness check, refuses `refused` requests on the first connection of a client, and ends that connection
/// at the next request. Then refuses everything, until it is stopped.
fn play_host(listener: &TcpListener, refused: usize, end: End, stopped: &AtomicBool) {
    let accept = || listener.accept().expect("a client").0;
    let mut readiness = accept();
    read_request(&mut readiness).expect("a readiness check");
    readiness.write_all(READY).expect("a client");
    let mut first = accept();
    for _ in 0..refused {
        read_request(&mut first).expect("a request");
        first.write_all(SHED).expect("a client");
    }
    match end {
        // Waits until the request stands in the socket.
        End::Unread => drop(first.peek(&mut [0])),
        End::Read => drop(read_request(&mut first)),
    }
    drop(first);
    loop {
        let mut stream = accept();
        if stopped.load(Ordering::Relaxed) {
            return;
        }
        std::thread::spawn(move || refuse_requests(&mut stream));
    }
}

/// A process without sockets, in place of the host's.
fn idle_program() -> Program {
    Program {
        path: "sleep".into(),
        args: vec!["60".into()],
    }
}

/// A run before the played host, until clients have lost a connection and gone on.
fn outcome_with_host(refused: usize, end: End) -> Outcome {
    let scenario = changed(&[
        ("hosts 5 known now", "hosts 1 known now"),
        ("zones 2", "zones 1"),
    ]);
    let dir = tempfile::tempdir().expect("a directory");
    let mut testbed = Testbed::open(&scenario, 1, &idle_program(), dir.path()).expect("a testbed");
    let address = testbed.peers.addresses.host(0);
    let listener = TcpListener::bind(address).expect("its address");
    let stopped = Arc::new(AtomicBool::new(false));
    let host = std::thread::spawn({
        let stopped = stopped.clone();
        move || play_host(&listener, refused, end, &stopped)
    });
    testbed.start(0).expect("a process");
    testbed.peers.set_clients_active(true);
    wait_for(&mut testbed, "a connection has ended", |testbed| {
        let ended_at = testbed.peers.observations.iter().position(|o| {
            matches!(
                o.event,
                Event::ConnectionLost { .. } | Event::RequestUnread { .. }
            )
        });
        ended_at.is_some_and(|at| {
            let later = &testbed.peers.observations[at..];
            let is_response = |o: &&Observation| matches!(o.event, Event::ResponseReceived { .. });
            later.iter().filter(is_response).count() >= 3
        })
    });
    // Its address is free again before another run may claim it.
    testbed.peers.set_clients_active(false);
    stopped.store(true, Ordering::Relaxed);
    drop(TcpStream::connect(address).expect("it listens"));
    host.join().expect("no panic");
    testbed.finish()
}

fn is_response_lost(outcome: &Outcome) -> bool {
    !outcome.verdict.violations[Rule::Responses as usize].is_empty()
}

#[test]
fn a_request_left_unread_at_the_close_of_an_idle_connection_is_sent_once_more() {
    let outcome = outcome_with_host(2, End::Unread);
    assert_eq!(outcome.verdict.unread, 1);
    assert!(!is_response_lost(&outcome), "{:?}", outcome.violations());
}

#[test]
fn a_request_that_was_read_before_the_close_is_lost() {
    let outcome = outcome_with_host(2, End::Read);
    assert_eq!(outcome.verdict.unread, 0);
    assert!(is_response_lost(&outcome));
}

#[test]
fn the_first_request_of_a_connection_is_lost_with_it() {
    let outcome = outcome_with_host(0, End::Unread);
    assert_eq!(outcome.verdict.unread, 0);
    assert!(is_response_lost(&outcome));
}
