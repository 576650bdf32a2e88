//! Tests of a control socket as operators use it: requests, answers, refusals, and the socket file.
use mallowseam_control_protocol::control_socket::{ConnectionId, ControlSocket, MAX_CONNECTIONS};
use mallowseam_control_protocol::{StartError, control_socket, startup};
use mio::{Events, Poll, Token};
use std::io::{ErrorKind, Read, Write};
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

const LISTENER_TOKEN: Token = Token(0);
const FIRST_CONNECTION_TOKEN: usize = 1;
/// Time limit of every wait in these tests.
const TIMEOUT: Duration = Duration::from_secs(10);

struct Server {
    directory: tempfile::TempDir,
    poll: Poll,
    socket: ControlSocket,
}

impl Server {
    fn new() -> Server {
        let directory = tempfile::tempdir().expect("cannot create a temporary directory");
        let poll = Poll::new().expect("cannot create a poll");
        let socket = open(&directory.path().join("control.sock"), &poll)
            .expect("cannot open the control socket")
            .expect("a path must give a control socket");
        Server {
            directory,
            poll,
            socket,
        }
    }

    fn path(&self) -> PathBuf {
        self.directory.path().join("control.sock")
    }

    fn connect(&self) -> UnixStream {
        let socket =
            UnixStream::connect(self.path()).expect("cannot connect to the control socket");
        socket
            .set_read_timeout(Some(TIMEOUT))
            .expect("cannot set the read timeout");
        socket
    }

    /// Handles events until a request is complete, and returns it with its connection. None: `timeout` has passed.
    fn next_request(&mut self, timeout: Duration) -> Option<(ConnectionId, String)> {
        let deadline = Instant::now() + timeout;
        let mut events = Events::with_capacity(64);
        loop {
            let remaining = deadline.checked_duration_since(Instant::now())?;
            match self.poll.poll(&mut events, Some(remaining)) {
                Err(error) if error.kind() != ErrorKind::Interrupted => {
                    panic!("poll failed: {error}")
                }
                _ => {}
            }
            for event in &events {
                if event.token() == LISTENER_TOKEN {
                    self.socket.accept();
                    continue;
                }
                let id = (event.token().0 - FIRST_CONNECTION_TOKEN) as ConnectionId;
                if let Some(line) = self.socket.read_request(id) {
                    return Some((id, line));
                }
            }
        }
    }
}

fn open(path: &Path, poll: &Poll) -> Result<Option<ControlSocket>, StartError> {
    startup::control_socket(Some(path), poll, LISTENER_TOKEN, FIRST_CONNECTION_TOKEN)
}

fn read_to_end(mut socket: UnixStream) -> String {
    let mut text = String::new();
    socket
        .read_to_string(&mut text)
        .expect("the connection must end in time");
    text
}

#[test]
fn a_request_in_pieces_is_answered_once_it_is_complete() {
    let mut server = Server::new();
    let mut operator = server.connect();
    operator
        .write_all(b"  sta")
        .expect("cannot send the request");
    assert_eq!(server.next_request(Duration::from_millis(50)), None);
    operator
        .write_all(b"tus \n")
        .expect("cannot send the request");
    let (id, line) = server
        .next_request(TIMEOUT)
        .expect("no request was received in time");
    assert_eq!(line, "status");
    server.socket.answer(id, "fine");
    assert_eq!(read_to_end(operator), "fine\n\n");
}

#[test]
fn an_answer_larger_than_the_socket_accepts_at_once_arrives_complete() {
    let mut server = Server::new();
    let mut operator = server.connect();
    operator
        .write_all(b"tree\n")
        .expect("cannot send the request");
    let (id, _) = server
        .next_request(TIMEOUT)
        .expect("no request was received in time");
    let text = "x".repeat(4 << 20);
    server.socket.answer(id, &text);
    let reader = std::thread::spawn(move || read_to_end(operator));
    let start = Instant::now();
    while !reader.is_finished() {
        assert!(start.elapsed() < TIMEOUT, "the answer was not read in time");
        server.next_request(Duration::from_millis(10));
    }
    let read = reader.join().expect("the reader thread panicked");
    assert!(
        read == format!("{text}\n\n"),
        "the answer differs; {} bytes were read",
        read.len()
    );
}

#[test]
fn a_request_that_is_too_long_closes_the_connection() {
    let mut server = Server::new();
    let mut operator = server.connect();
    operator
        .write_all(&[b'x'; 10_000])
        .expect("cannot send the request");
    assert_eq!(server.next_request(Duration::from_millis(50)), None);
    assert!(matches!(operator.read(&mut [0; 16]), Ok(0) | Err(_)));
}

#[test]
fn a_connection_beyond_the_maximum_is_refused() {
    let mut server = Server::new();
    let connections: Vec<UnixStream> = (0..=MAX_CONNECTIONS).map(|_| server.connect()).collect();
    assert_eq!(server.next_request(Duration::from_millis(50)), None);
    let refused = connections
        .into_iter()
        .last()
        .expect("at least one connection was opened");
    assert_eq!(
        read_to_end(refused),
        format!(
            "{}\n\n",
            control_socket::refusal(&"too many connections to the control socket")
        )
    );
}

#[test]
fn a_socket_in_use_is_refused_and_a_stale_one_replaced() {
    let server = Server::new();
    let path = server.path();
    let error = open(&path, &server.poll)
        .err()
        .expect("a socket in use must be refused");
    assert!(
        error
            .to_string()
            .contains("another process already listens on this control socket"),
        "{error}"
    );
    let stale = server.directory.path().join("stale.sock");
    drop(std::os::unix::net::UnixListener::bind(&stale).expect("cannot bind the stale socket"));
    assert!(stale.exists());
    assert!(open(&stale, &server.poll).is_ok());
}

#[test]
fn the_socket_file_is_removed_when_the_socket_is_dropped() {
    let server = Server::new();
    let path = server.path();
    assert!(path.exists());
    let Server {
        directory: _directory,
        socket,
        ..
    } = server;
    drop(socket);
    assert!(!path.exists());
}
