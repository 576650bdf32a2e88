//! An endpoint list service that a test scripts: a request is answered only when the test does so, and its connection
//! stays open until the test closes it.
use super::socket_table::wait_until_delivered;
use super::wait_until;
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;

/// Head of the response to a watch.
pub const HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// Returns a chunk of the response to a watch.
pub fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// Returns a line of a watch: a full snapshot of the list, or changes.
pub fn line(version: u64, full: bool, entries: &str) -> String {
    format!("{{\"seq\":{version},\"whole\":{full},\"hosts\":[{entries}]}}\n")
}

/// A request whose connection is still held.
struct Request {
    /// Path and query of the request.
    target: String,
    socket: TcpStream,
}

/// The service, which numbers requests in the order in which they are received.
pub struct ScriptedEndpointService {
    pub address: SocketAddr,
    requests: Arc<Mutex<Vec<Request>>>,
}

impl ScriptedEndpointService {
    /// Starts a service that sends nothing without a call of the test.
    pub fn new() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("the address can be bound");
        let address = listener.local_addr().expect("the socket is bound");
        let requests: Arc<Mutex<Vec<Request>>> = Arc::default();
        let received = requests.clone();
        thread::spawn(move || {
            for mut socket in listener.incoming().flatten() {
                let target = read_target(&mut socket);
                received
                    .lock()
                    .expect("the mutex is not poisoned")
                    .push(Request { target, socket });
            }
        });
        ScriptedEndpointService { address, requests }
    }

    /// Returns the number of requests received so far.
    pub fn requests(&self) -> usize {
        self.requests
            .lock()
            .expect("the mutex is not poisoned")
            .len()
    }

    /// Waits for a request and returns its path and query.
    pub fn wait_for_request(&self, number: usize) -> String {
        wait_until("the endpoint service gets a request", || {
            self.requests() > number
        });
        self.requests.lock().expect("the mutex is not poisoned")[number]
            .target
            .clone()
    }

    /// Sends a text on the connection of a request, and waits until it is delivered.
    pub fn send(&self, number: usize, text: &str) {
        self.wait_for_request(number);
        let mut requests = self.requests.lock().expect("the mutex is not poisoned");
        let socket = &mut requests[number].socket;
        if socket.write_all(text.as_bytes()).is_ok() && socket.peer_addr().is_ok() {
            wait_until_delivered(socket);
        }
    }

    /// Sends a line of a watch as a chunk.
    pub fn send_line(&self, number: usize, version: u64, full: bool, entries: &str) {
        self.send(number, &chunk(&line(version, full, entries)));
    }

    /// Closes the connection of a request.
    pub fn close(&self, number: usize) {
        let _ = self.requests.lock().expect("the mutex is not poisoned")[number]
            .socket
            .shutdown(Shutdown::Both);
    }

    /// Returns the number of requests whose connection neither side has closed.
    pub fn open_requests(&self) -> usize {
        let requests = self.requests.lock().expect("the mutex is not poisoned");
        let is_open = |socket: &TcpStream| {
            socket
                .set_nonblocking(true)
                .expect("the socket option can be set");
            let peeked = socket.peek(&mut [0]);
            socket
                .set_nonblocking(false)
                .expect("the socket option can be set");
            matches!(peeked, Err(e) if e.kind() == ErrorKind::WouldBlock)
        };
        requests
            .iter()
            .filter(|request| is_open(&request.socket))
            .count()
    }
}

/// Reads the head of a request and returns its path and query.
fn read_target(socket: &mut TcpStream) -> String {
    let (mut head, mut bytes) = (Vec::new(), [0; 1_024]);
    while !head.ends_with(b"\r\n\r\n") {
        match socket.read(&mut bytes) {
            Ok(n) if n > 0 => head.extend_from_slice(&bytes[..n]),
            _ => break,
        }
    }
    let text = String::from_utf8_lossy(&head);
    text.split(' ').nth(1).unwrap_or_default().to_owned()
}
