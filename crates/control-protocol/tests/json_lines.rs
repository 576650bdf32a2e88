//! What arrives over a connection that carries lines.
use mallowseam_control_protocol::json_lines::{Disconnect, LineConnection, LineRead};
use mio::{Events, Poll, Token};
use std::io::{ErrorKind, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// How long anything may take.
const BOUND: Duration = Duration::from_secs(10);
const MAX_LINE: usize = 100;

struct Pair {
    poll: Poll,
    connection: LineConnection,
    peer: TcpStream,
}

impl Pair {
    fn new() -> Pair {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a listener");
        let address = listener.local_addr().expect("an address");
        let poll = Poll::new().expect("a poll");
        let connection =
            LineConnection::connect(address, poll.registry(), Token(0)).expect("a connection");
        let (peer, _) = listener.accept().expect("a connection");
        peer.set_read_timeout(Some(BOUND)).expect("a socket");
        Pair {
            poll,
            connection,
            peer,
        }
    }

    /// The next lines, or the end of the connection.
    fn read(&mut self) -> Result<Vec<Vec<u8>>, Disconnect> {
        let deadline = Instant::now() + BOUND;
        let mut buffer = [0; 64];
        let mut events = Events::with_capacity(4);
        loop {
            match self.connection.read(&mut buffer, MAX_LINE) {
                LineRead::Lines(lines) if lines.is_empty() => {}
                LineRead::Lines(lines) => return Ok(lines),
                LineRead::Closed(reason) => return Err(reason),
                LineRead::WouldBlock => {
                    assert!(Instant::now() < deadline, "nothing arrives");
                    match self.poll.poll(&mut events, Some(BOUND)) {
                        Err(e) if e.kind() != ErrorKind::Interrupted => panic!("poll: {e}"),
                        _ => {}
                    }
                }
            }
        }
    }
}

#[test]
fn lines_are_returned_once_they_are_complete() {
    let mut pair = Pair::new();
    pair.peer.write_all(b"one\ntwo\nthr").expect("sent");
    assert_eq!(pair.read().expect("lines"), [b"one", b"two"]);
    pair.peer.write_all(b"ee\n").expect("sent");
    assert_eq!(pair.read().expect("lines"), [b"three"]);
}

#[test]
fn a_line_that_is_too_long_ends_the_connection() {
    let mut pair = Pair::new();
    pair.peer.write_all(&[b'x'; 300]).expect("sent");
    let reason = pair.read().expect_err("the end");
    assert!(matches!(reason, Disconnect::LineTooLong(MAX_LINE)));
}

#[test]
fn the_end_of_the_stream_ends_the_connection() {
    let mut pair = Pair::new();
    pair.peer
        .shutdown(std::net::Shutdown::Write)
        .expect("a socket");
    let reason = pair.read().expect_err("the end");
    assert_eq!(reason.to_string(), "closed by the other side");
}

#[test]
fn queued_messages_are_written_by_a_flush() {
    let mut pair = Pair::new();
    pair.connection.send(&["a"]);
    pair.connection.send(&["b"]);
    assert_eq!(pair.connection.unsent_bytes(), 12);
    pair.connection.flush().expect("written");
    assert_eq!(pair.connection.unsent_bytes(), 0);
    let mut received = [0; 12];
    pair.peer.read_exact(&mut received).expect("received");
    assert_eq!(&received, b"[\"a\"]\n[\"b\"]\n");
}
