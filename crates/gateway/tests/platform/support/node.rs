//! A storage node that a test controls.
use super::MESSAGE_LIMITS;
use super::socket_table::{
    ESTABLISHED, SYN_SENT, SocketRow, sockets, table_address, wait_until_delivered,
};
use mallowseam_http1::{RequestHead, RequestReader};
use socket2::{Domain, SockRef, Socket, Type};
use std::collections::VecDeque;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::Duration;

/// Behavior of a node at its next request. By default a node responds with status 200 and a body that contains the
/// request's ID.
pub enum Behavior {
    /// Sends these bytes.
    Raw(String),
    /// Sends the default response with bytes before and after it.
    AnswerBetween(String, String),
    /// Closes the connection.
    Close,
    /// Sends nothing.
    StaySilent,
    /// Sends the default response after `release_held`.
    Hold,
}

/// A request that a node has received.
#[derive(Clone, Debug)]
pub struct ReceivedRequest {
    pub id: String,
    pub target: String,
    pub body: String,
    /// Number of the connection on which the request was received.
    pub connection: usize,
    /// Timeout in the request's header, in milliseconds.
    pub timeout_ms: u64,
}

#[derive(Default)]
struct NodeState {
    received: Mutex<Vec<ReceivedRequest>>,
    behaviors: Mutex<VecDeque<Behavior>>,
    connections: AtomicUsize,
    responses_sent: AtomicUsize,
    closed_connections: AtomicUsize,
    released: (Mutex<bool>, Condvar),
    stopped: AtomicBool,
    /// All accepted connections by number.
    open: Mutex<Vec<TcpStream>>,
    /// Text that is sent on every new connection before anything is read.
    greeting: Mutex<String>,
}

/// A storage node.
pub struct Node {
    address: SocketAddr,
    state: Arc<NodeState>,
    /// Connections that fill the backlog until the node starts to accept.
    backlog: Mutex<Vec<TcpStream>>,
    /// Listener until the node starts to accept.
    listener: Mutex<Option<TcpListener>>,
}

impl Node {
    /// Starts a node that accepts connections.
    pub fn new() -> Self {
        let node = Node::not_accepting();
        node.start_accepting();
        node
    }

    /// Starts a node that accepts no connections until `start_accepting`.
    pub fn not_accepting() -> Self {
        let listener =
            Socket::new(Domain::IPV4, Type::STREAM, None).expect("the socket can be created");
        let any: SocketAddr = ([127, 0, 0, 1], 0).into();
        listener
            .bind(&any.into())
            .expect("the address can be bound");
        listener.listen(0).expect("the socket can listen");
        let listener = TcpListener::from(listener);
        let address = listener.local_addr().expect("the socket is bound");
        let listener = Mutex::new(Some(listener));
        Node {
            address,
            state: Arc::default(),
            backlog: Mutex::default(),
            listener,
        }
    }

    /// Fills the backlog, so that new connections to the node stay pending.
    pub fn with_full_backlog(self) -> Self {
        while let Ok(socket) = TcpStream::connect_timeout(&self.address, Duration::from_millis(100))
        {
            self.backlog
                .lock()
                .expect("the mutex is not poisoned")
                .push(socket);
        }
        self
    }

    /// Returns the number of pending connections to the node.
    pub fn pending_count(&self) -> usize {
        self.pending_connections().len()
    }

    /// Returns the local addresses of pending connections to the node, in the notation of the socket table.
    pub fn pending_connections(&self) -> Vec<String> {
        let own = table_address(self.address);
        let is_pending = |row: &SocketRow| row.remote == own && row.state == SYN_SENT;
        sockets()
            .into_iter()
            .filter(is_pending)
            .map(|row| row.local)
            .collect()
    }

    /// Whether the connection with this local address has received bytes that have not been read.
    pub fn has_unread_bytes_for(&self, local: &str) -> bool {
        let own = table_address(self.address);
        sockets()
            .iter()
            .any(|row| row.local == local && row.remote == own && row.unread)
    }

    /// Returns the number of established connections.
    pub fn established(&self) -> usize {
        let own = table_address(self.address);
        sockets()
            .iter()
            .filter(|row| row.local == own && row.state == ESTABLISHED)
            .count()
    }

    /// Sets the text that is sent on every new connection before anything is read.
    pub fn set_greeting(&self, text: &str) {
        text.clone_into(
            &mut self
                .state
                .greeting
                .lock()
                .expect("the mutex is not poisoned"),
        );
    }

    /// Sends bytes on a connection without a request, and waits until they are delivered.
    pub fn push(&self, connection: usize, text: &str) {
        let open = self.state.open.lock().expect("the mutex is not poisoned");
        let mut socket = &open[connection];
        socket
            .write_all(text.as_bytes())
            .expect("the connection is open");
        wait_until_delivered(socket);
    }

    /// Closes all connections.
    pub fn close_connections(&self) {
        for socket in self
            .state
            .open
            .lock()
            .expect("the mutex is not poisoned")
            .drain(..)
        {
            let _ = socket.shutdown(Shutdown::Both);
        }
    }

    /// Accepts connections from now on; those that fill the backlog are closed.
    pub fn start_accepting(&self) {
        let Some(listener) = self
            .listener
            .lock()
            .expect("the mutex is not poisoned")
            .take()
        else {
            return;
        };
        SockRef::from(&listener)
            .listen(1_024)
            .expect("the socket can listen");
        self.backlog
            .lock()
            .expect("the mutex is not poisoned")
            .clear();
        let state = self.state.clone();
        thread::spawn(move || accept(&state, &listener));
    }

    /// Returns the node's entry in the endpoint list, as JSON.
    pub fn entry(&self, name: &str, shard: u32, health: &str) -> String {
        let dial = self.address;
        format!(
            r#"{{"host":"{name}","dial":"{dial}","site":"a","class":"m","block":{shard},"health":"{health}","share":1.0,"born_ms":0}}"#
        )
    }

    /// Drops the queued behaviors, so that the node sends default responses.
    pub fn clear_behaviors(&self) {
        self.state
            .behaviors
            .lock()
            .expect("the mutex is not poisoned")
            .clear();
    }

    /// Queues a behavior for one of the next requests.
    pub fn behave_next(&self, behavior: Behavior) {
        self.state
            .behaviors
            .lock()
            .expect("the mutex is not poisoned")
            .push_back(behavior);
    }

    /// Returns the requests received so far.
    pub fn received(&self) -> Vec<ReceivedRequest> {
        self.state
            .received
            .lock()
            .expect("the mutex is not poisoned")
            .clone()
    }

    /// Returns the number of connections accepted so far.
    pub fn connections(&self) -> usize {
        self.state.connections.load(Ordering::SeqCst)
    }

    /// Returns the number of responses sent so far. Held responses count once they are delivered.
    pub fn responses_sent(&self) -> usize {
        self.state.responses_sent.load(Ordering::SeqCst)
    }

    /// Returns the number of connections closed so far.
    pub fn closed_connections(&self) -> usize {
        self.state.closed_connections.load(Ordering::SeqCst)
    }

    /// Sends the held responses, and holds no further ones.
    pub fn release_held(&self) {
        *self
            .state
            .released
            .0
            .lock()
            .expect("the mutex is not poisoned") = true;
        self.state.released.1.notify_all();
    }

    /// Stops the node: new connections are refused, and open ones are closed at their next request.
    pub fn stop(&mut self) {
        self.state.stopped.store(true, Ordering::SeqCst);
        let _ = TcpStream::connect(self.address);
    }
}

fn accept(state: &Arc<NodeState>, listener: &TcpListener) {
    for mut socket in listener.incoming().flatten() {
        if state.stopped.load(Ordering::SeqCst) {
            return;
        }
        let greeting = state
            .greeting
            .lock()
            .expect("the mutex is not poisoned")
            .clone();
        let _ = socket.write_all(greeting.as_bytes());
        let closer = socket.try_clone().expect("the socket can be cloned");
        let number = {
            let mut open = state.open.lock().expect("the mutex is not poisoned");
            open.push(socket.try_clone().expect("the socket can be cloned"));
            open.len() - 1
        };
        state.connections.fetch_add(1, Ordering::SeqCst);
        let state = state.clone();
        thread::spawn(move || {
            state.serve(socket, number);
            let _ = closer.shutdown(Shutdown::Both);
            state.closed_connections.fetch_add(1, Ordering::SeqCst);
        });
    }
}

impl NodeState {
    fn serve(&self, mut socket: TcpStream, connection: usize) {
        let (mut buffer, mut reader, mut bytes) =
            (Vec::new(), RequestReader::default(), [0; 4_096]);
        loop {
            let Some(request) = reader
                .advance(&mut buffer, MESSAGE_LIMITS)
                .expect("the host speaks HTTP")
            else {
                match socket.read(&mut bytes) {
                    Ok(n) if n > 0 => buffer.extend_from_slice(&bytes[..n]),
                    _ => return,
                }
                continue;
            };
            if self.stopped.load(Ordering::SeqCst) {
                return;
            }
            let head = RequestHead::parse(&buffer, MESSAGE_LIMITS)
                .expect("the head is valid")
                .expect("the head is complete");
            let header = |name| {
                head.headers
                    .single(name)
                    .expect("the header is single")
                    .expect("the header is present")
            };
            let received = ReceivedRequest {
                id: header("X-Request-ID").to_owned(),
                target: head.target.to_owned(),
                body: String::from_utf8_lossy(&buffer[request.body..request.end]).into_owned(),
                connection,
                timeout_ms: header("X-Timeout-Ms")
                    .parse()
                    .expect("the timeout is in milliseconds"),
            };
            let text = format!("made for {}", received.id);
            self.received
                .lock()
                .expect("the mutex is not poisoned")
                .push(received);
            buffer.drain(..request.end);
            reader.reset();
            let response = format!(
                "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{text}",
                text.len()
            );
            if !self.respond(&mut socket, response) {
                return;
            }
        }
    }

    /// Responds to a request according to the next behavior; returns false if the connection has to be closed.
    fn respond(&self, socket: &mut TcpStream, response: String) -> bool {
        let behavior = self
            .behaviors
            .lock()
            .expect("the mutex is not poisoned")
            .pop_front();
        let held = matches!(behavior, Some(Behavior::Hold));
        let bytes = match behavior {
            None => response,
            Some(Behavior::Raw(raw)) => raw,
            Some(Behavior::AnswerBetween(before, after)) => before + &response + &after,
            Some(Behavior::Close) => return false,
            Some(Behavior::StaySilent) => return true,
            Some(Behavior::Hold) => {
                let released = self.released.0.lock().expect("the mutex is not poisoned");
                drop(
                    self.released
                        .1
                        .wait_while(released, |released| !*released)
                        .expect("the mutex is not poisoned"),
                );
                response
            }
        };
        if socket.write_all(bytes.as_bytes()).is_err() {
            return false;
        }
        if held {
            wait_until_delivered(socket);
        }
        self.responses_sent.fetch_add(1, Ordering::SeqCst);
        true
    }
}
