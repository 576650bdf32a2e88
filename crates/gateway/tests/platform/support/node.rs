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

/// What a node does with its next request. Without one it answers 200 with a body that names the request.
pub enum Behavior {
    /// Sends these bytes.
    Raw(String),
    /// Sends the usual response with bytes before and behind it.
    AnswerBetween(String, String),
    /// Closes the connection.
    Close,
    /// Sends nothing.
    StaySilent,
    /// Sends the usual response after `release_held`.
    Hold,
}

/// A request as the node has received it.
#[derive(Clone, Debug)]
pub struct ReceivedRequest {
    pub id: String,
    pub target: String,
    pub body: String,
    /// Number of the connection that it came on.
    pub connection: usize,
    /// The timeout that the host names, in milliseconds.
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
    /// All connections by number.
    open: Mutex<Vec<TcpStream>>,
    /// Sent on every connection before anything is read.
    greeting: Mutex<String>,
}

/// A storage node.
pub struct Node {
    address: SocketAddr,
    state: Arc<NodeState>,
    /// Connections that fill the backlog, and the listener, until it starts to accept.
    backlog: Mutex<Vec<TcpStream>>,
    listener: Mutex<Option<TcpListener>>,
}

impl Node {
    /// A node that accepts connections.
    pub fn new() -> Self {
        let node = Node::not_accepting();
        node.start_accepting();
        node
    }

    /// A node that accepts no connections until `start_accepting`.
    pub fn not_accepting() -> Self {
        let listener = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        let any: SocketAddr = ([127, 0, 0, 1], 0).into();
        listener.bind(&any.into()).expect("an address");
        listener.listen(0).expect("a backlog");
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

    /// Fills the backlog: from here on a connection to the node stays pending.
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

    /// How many connections to the node are pending.
    pub fn pending_count(&self) -> usize {
        self.pending_connections().len()
    }

    /// The local addresses of pending connections to the node, in the notation of the socket table.
    pub fn pending_connections(&self) -> Vec<String> {
        let own = table_address(self.address);
        let is_pending = |row: &SocketRow| row.remote == own && row.state == SYN_SENT;
        sockets()
            .into_iter()
            .filter(is_pending)
            .map(|row| row.local)
            .collect()
    }

    /// Whether the connection with this local address has received bytes that are not read.
    pub fn has_unread_bytes_for(&self, local: &str) -> bool {
        let own = table_address(self.address);
        sockets()
            .iter()
            .any(|row| row.local == local && row.remote == own && row.unread)
    }

    /// Established connections.
    pub fn established(&self) -> usize {
        let own = table_address(self.address);
        sockets()
            .iter()
            .filter(|row| row.local == own && row.state == ESTABLISHED)
            .count()
    }

    /// Sends this text on every new connection before anything is read.
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
            .expect("an open connection");
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
        SockRef::from(&listener).listen(1_024).expect("a backlog");
        self.backlog
            .lock()
            .expect("the mutex is not poisoned")
            .clear();
        let state = self.state.clone();
        thread::spawn(move || accept(&state, &listener));
    }

    /// The node's entry in the endpoint list.
    pub fn entry(&self, name: &str, shard: u32, health: &str) -> String {
        let dial = self.address;
        format!(
            r#"{{"host":"{name}","dial":"{dial}","site":"a","class":"m","block":{shard},"health":"{health}","share":1.0,"born_ms":0}}"#
        )
    }

    /// Answers as usual from now on.
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

    /// The requests received so far.
    pub fn received(&self) -> Vec<ReceivedRequest> {
        self.state
            .received
            .lock()
            .expect("the mutex is not poisoned")
            .clone()
    }

    /// Connections accepted so far.
    pub fn connections(&self) -> usize {
        self.state.connections.load(Ordering::SeqCst)
    }

    /// Responses sent so far; held ones are also delivered.
    pub fn responses_sent(&self) -> usize {
        self.state.responses_sent.load(Ordering::SeqCst)
    }

    /// Connections closed so far.
    pub fn closed_connections(&self) -> usize {
        self.state.closed_connections.load(Ordering::SeqCst)
    }

    /// Sends the held responses, and holds no more.
    pub fn release_held(&self) {
        *self
            .state
            .released
            .0
            .lock()
            .expect("the mutex is not poisoned") = true;
        self.state.released.1.notify_all();
    }

    /// From now on connections are refused, and open ones are closed at their next request.
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
                .expect("valid")
                .expect("complete");
            let header = |name| head.headers.single(name).expect("valid").expect("present");
            let received = ReceivedRequest {
                id: header("X-Request-ID").to_owned(),
                target: head.target.to_owned(),
                body: String::from_utf8_lossy(&buffer[request.body..request.end]).into_owned(),
                connection,
                timeout_ms: header("X-Timeout-Ms").parse().expect("milliseconds"),
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

    /// Answers a request as the next behavior says. False: the connection is to be closed.
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
            Some(Behavior::AnswerBetween(before, behind)) => before + &response + &behind,
            Some(Behavior::Close) => return false,
            Some(Behavior::StaySilent) => return true,
            Some(Behavior::Hold) => {
                let released = self.released.0.lock().expect("the mutex is not poisoned");
                drop(
                    self.released
                        .1
                        .wait_while(released, |released| !*released)
                        .expect("no panic"),
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
