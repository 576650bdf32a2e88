//! Tests of a connection that carries lines: reading, writing, and the end of the connection.
use mallowseam_control_protocol::json_lines::{Disconnect, LineConnection, LineRead};
use mio::{Events, Poll, Token};
use std::io::{ErrorKind, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// Time limit of every wait in these tests.
const TIMEOUT: Duration = Duration::from_secs(10);
const MAX_LINE: usize = 100;

/// A connection, and the socket at its other end.
struct Pair {
    poll: Poll,
    connection: LineConnection,
    peer: TcpStream,
}

impl Pair {
    fn new() -> Pair {
        let listener =
            TcpListener::bind("127.0.0.1:0").expect("cannot listen on a loopback address");
        let address = listener
            .local_addr()
            .expect("a listener must have an address");
        let poll = Poll::new().expect("cannot create a poll");
        let connection =
            LineConnection::connect(address, poll.registry(), Token(0)).expect("cannot connect");
        let (peer, _) = listener.accept().expect("cannot accept the connection");
        peer.set_read_timeout(Some(TIMEOUT))
            .expect("cannot set the read timeout");
        Pair {
            poll,
            connection,
            peer,
        }
    }

    /// Returns the next lines, or the reason why the connection ended.
    fn read(&mut self) -> Result<Vec<Vec<u8>>, Disconnect> {
        let deadline = Instant::now() + TIMEOUT;
        let mut buffer = [0; 64];
        let mut events = Events::with_capacity(4);
        loop {
            match self.connection.read(&mut buffer, MAX_LINE) {
                LineRead::Lines(lines) if lines.is_empty() => {}
                LineRead::Lines(lines) => return Ok(lines),
                LineRead::Closed(reason) => return Err(reason),
                LineRead::WouldBlock => {
                    assert!(
                        Instant::now() < deadline,
                        "neither lines nor the end of the connection arrived in time"
                    );
                    match self.poll.poll(&mut events, Some(TIMEOUT)) {
                        Err(e) if e.kind() != ErrorKind::Interrupted => panic!("poll failed: {e}"),
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
    pair.peer.write_all(b"one\ntwo\nthr").expect("cannot send");
    assert_eq!(pair.read().expect("lines must be read"), [b"one", b"two"]);
    pair.peer.write_all(b"ee\n").expect("cannot send");
    assert_eq!(pair.read().expect("lines must be read"), [b"three"]);
}

#[test]
fn a_line_that_is_too_long_ends_the_connection() {
    let mut pair = Pair::new();
    pair.peer.write_all(&[b'x'; 300]).expect("cannot send");
    let reason = pair.read().expect_err("the connection must end");
    assert!(matches!(reason, Disconnect::LineTooLong(MAX_LINE)));
}

#[test]
fn the_end_of_the_stream_ends_the_connection() {
    let mut pair = Pair::new();
    pair.peer
        .shutdown(std::net::Shutdown::Write)
        .expect("cannot shut down the socket");
    let reason = pair.read().expect_err("the connection must end");
    assert_eq!(reason.to_string(), "closed by the other side");
}

#[test]
fn queued_messages_are_written_by_a_flush() {
    let mut pair = Pair::new();
    pair.connection.send(&["a"]);
    pair.connection.send(&["b"]);
    assert_eq!(pair.connection.unsent_bytes(), 12);
    pair.connection.flush().expect("cannot write the messages");
    assert_eq!(pair.connection.unsent_bytes(), 0);
    let mut received = [0; 12];
    pair.peer
        .read_exact(&mut received)
        .expect("the messages must be received");
    assert_eq!(&received, b"[\"a\"]\n[\"b\"]\n");
}
