//! What an operator meets at a control socket.
use mallowseam_control_protocol::control_socket::{ConnectionId, ControlSocket, MAX_CONNECTIONS};
use mallowseam_control_protocol::{StartError, control_socket, startup};
use mio::{Events, Poll, Token};
use std::io::{ErrorKind, Read, Write};
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

const LISTENER: Token = Token(0);
const FIRST_CONNECTION: usize = 1;
/// How long anything may take.
const BOUND: Duration = Duration::from_secs(10);

struct Server {
    directory: tempfile::TempDir,
    poll: Poll,
    socket: ControlSocket,
}

impl Server {
    fn new() -> Server {
        let directory = tempfile::tempdir().expect("a directory");
        let poll = Poll::new().expect("a poll");
        let socket = open(&directory.path().join("control.sock"), &poll)
            .expect("it opens")
            .expect("a socket");
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
        let socket = UnixStream::connect(self.path()).expect("a connection");
        socket.set_read_timeout(Some(BOUND)).expect("a socket");
        socket
    }

    /// Handles events until there is a request, with its connection. None: the bound has passed.
    fn next_request(&mut self, bound: Duration) -> Option<(ConnectionId, String)> {
        let deadline = Instant::now() + bound;
        let mut events = Events::with_capacity(64);
        loop {
            let left = deadline.checked_duration_since(Instant::now())?;
            match self.poll.poll(&mut events, Some(left)) {
                Err(error) if error.kind() != ErrorKind::Interrupted => panic!("poll: {error}"),
                _ => {}
            }
            for event in &events {
                if event.token() == LISTENER {
                    self.socket.accept();
                    continue;
                }
                let id = (event.token().0 - FIRST_CONNECTION) as ConnectionId;
                if let Some(line) = self.socket.read_request(id) {
                    return Some((id, line));
                }
            }
        }
    }
}

fn open(path: &Path, poll: &Poll) -> Result<Option<ControlSocket>, StartError> {
    startup::control_socket(Some(path), poll, LISTENER, FIRST_CONNECTION)
}

fn read_to_end(mut socket: UnixStream) -> String {
    let mut text = String::new();
    socket.read_to_string(&mut text).expect("the end in time");
    text
}

#[test]
fn a_request_in_pieces_is_answered_once_it_is_complete() {
    let mut server = Server::new();
    let mut operator = server.connect();
    operator.write_all(b"  sta").expect("sent");
    assert_eq!(server.next_request(Duration::from_millis(50)), None);
    operator.write_all(b"tus \n").expect("sent");
    let (id, line) = server.next_request(BOUND).expect("a request");
    assert_eq!(line, "status");
    server.socket.answer(id, "fine");
    assert_eq!(read_to_end(operator), "fine\n\n");
}

#[test]
fn an_answer_larger_than_the_socket_takes_at_once_arrives_whole() {
    let mut server = Server::new();
    let mut operator = server.connect();
    operator.write_all(b"tree\n").expect("sent");
    let (id, _) = server.next_request(BOUND).expect("a request");
    let text = "x".repeat(4 << 20);
    server.socket.answer(id, &text);
    let reader = std::thread::spawn(move || read_to_end(operator));
    let began = Instant::now();
    while !reader.is_finished() {
        assert!(began.elapsed() < BOUND, "not read in time");
        server.next_request(Duration::from_millis(10));
    }
    let read = reader.join().expect("read");
    assert!(read == format!("{text}\n\n"), "{} bytes", read.len());
}

#[test]
fn a_request_that_is_too_long_closes_the_connection() {
    let mut server = Server::new();
    let mut operator = server.connect();
    operator.write_all(&[b'x'; 10_000]).expect("sent");
    assert_eq!(server.next_request(Duration::from_millis(50)), None);
    assert!(matches!(operator.read(&mut [0; 16]), Ok(0) | Err(_)));
}

#[test]
fn one_connection_too_many_is_refused() {
    let mut server = Server::new();
    let connections: Vec<UnixStream> = (0..=MAX_CONNECTIONS).map(|_| server.connect()).collect();
    assert_eq!(server.next_request(Duration::from_millis(50)), None);
    let refused = connections.into_iter().last().expect("connections");
    assert_eq!(
        read_to_end(refused),
        format!("{}\n\n", control_socket::refusal(&"too many callers"))
    );
}

#[test]
fn a_socket_in_use_is_refused_and_a_stale_one_replaced() {
    let server = Server::new();
    let path = server.path();
    let error = open(&path, &server.poll).err().expect("an error");
    assert!(
        error.to_string().contains("another host runs here"),
        "{error}"
    );
    let stale = server.directory.path().join("stale.sock");
    drop(std::os::unix::net::UnixListener::bind(&stale).expect("a socket"));
    assert!(stale.exists());
    assert!(open(&stale, &server.poll).is_ok());
}

#[test]
fn the_socket_file_is_removed_with_the_socket() {
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
