//! Stand-in for the endpoint list service. It knows the state of each node, and notifies hosts of changes with a lag.
use mallowseam_audit::trace::{Micros, Trace, TraceEvent};
use mallowseam_endpoint_list::{Endpoint, EndpointState, ListVersion, UpdateKind, write_update};
use std::collections::VecDeque;
use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::num::NonZeroU64;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread::JoinHandle;
use std::time::Duration;

/// Pause between two iterations of the service's loop.
const POLL_PAUSE: Duration = Duration::from_millis(2);
const READ_BYTES: usize = 256;

/// State of a node, as the service would learn it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NodeState {
    /// Number of the node.
    pub node: u32,
    /// Whether the node accepts new commands.
    pub state: EndpointState,
    /// Number of the node's process; 0 for the first one, which is past its slow start.
    pub incarnation: u64,
    /// When the node's process started.
    pub started_at: Micros,
}

/// Message to the stand-in.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Message {
    /// Sets the state of a node. Hosts are notified after the lag.
    Node(NodeState),
    /// Sets the lag of notifications.
    Lag(Micros),
    /// Closes the listener and all connections, or makes the service available again under a new epoch.
    Unavailable(bool),
    /// Sends hosts the list from before the first change, as a service with a stale replica would.
    SendStaleList,
    /// Ends the thread of the stand-in.
    Stop,
}

/// Stand-in for the service on a thread of its own, which ends when this value is dropped.
pub struct EndpointListService {
    messages: Sender<Message>,
    thread: Option<JoinHandle<()>>,
}

impl EndpointListService {
    /// Starts the service with this many nodes, all active.
    ///
    /// # Errors
    /// The address cannot be bound, or no thread can be started.
    pub fn start(address: SocketAddr, nodes: u32, lag: Micros, trace: Trace) -> io::Result<Self> {
        let (messages, receiver) = channel();
        let listener = listen(address)?;
        let node = |n| NodeState {
            node: n,
            state: EndpointState::Active,
            incarnation: 0,
            started_at: 0,
        };
        let mut server = Server {
            address,
            listener: Some(listener),
            connections: Vec::new(),
            nodes: (0..nodes).map(node).collect(),
            pending: VecDeque::new(),
            lag,
            version: ListVersion {
                epoch: 1,
                version: 1,
            },
            stale_list: None,
            trace,
        };
        let thread = std::thread::Builder::new()
            .name("list".into())
            .spawn(move || server.run(&receiver))?;
        Ok(EndpointListService {
            messages,
            thread: Some(thread),
        })
    }

    /// Sends the stand-in a message.
    pub fn send(&self, message: Message) {
        // The send fails if the service has stopped, which needs no more messages.
        let _ = self.messages.send(message);
    }
}

impl Drop for EndpointListService {
    fn drop(&mut self) {
        self.send(Message::Stop);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// Returns the name of node `n` in all endpoint lists and configurations of the testbed.
pub fn node_name(n: u32) -> String {
    format!("node{n}")
}

fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let listener = TcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
    Ok(listener)
}

struct Connection {
    socket: TcpStream,
    line: Vec<u8>,
    host: u32,
    /// Whether the host subscribed to changes.
    watches: bool,
}

/// Nodes that an update lists.
#[derive(Clone, Copy)]
enum Scope {
    All,
    Node(u32),
}

impl Scope {
    fn contains(self, node: u32) -> bool {
        match self {
            Scope::All => true,
            Scope::Node(only) => only == node,
        }
    }
}

/// Change of a node's state that hosts have not been notified of yet.
struct PendingChange {
    due: Micros,
    node: NodeState,
}

struct Server {
    address: SocketAddr,
    /// Listening socket; none while the service is unavailable.
    listener: Option<TcpListener>,
    connections: Vec<Connection>,
    nodes: Vec<NodeState>,
    pending: VecDeque<PendingChange>,
    lag: Micros,
    version: ListVersion,
    /// List from before the first change; none until there is a change.
    stale_list: Option<String>,
    trace: Trace,
}

impl Server {
    fn run(&mut self, messages: &Receiver<Message>) {
        loop {
            while let Ok(message) = messages.try_recv() {
                if message == Message::Stop {
                    return;
                }
                self.on_message(message);
            }
            self.apply_due_changes();
            self.accept();
            for i in (0..self.connections.len()).rev() {
                self.read(i);
            }
            std::thread::sleep(POLL_PAUSE);
        }
    }

    fn on_message(&mut self, message: Message) {
        match message {
            Message::Node(node) => {
                self.pending.push_back(PendingChange {
                    due: self.trace.now() + self.lag,
                    node,
                });
            }
            Message::Lag(lag) => self.lag = lag,
            Message::Unavailable(true) => {
                self.listener = None;
                self.connections.clear();
            }
            Message::Unavailable(false) => {
                self.listener = listen(self.address).ok();
                self.version = ListVersion {
                    epoch: self.version.epoch + 1,
                    version: 1,
                };
            }
            Message::SendStaleList => {
                let list = self.stale_list.as_deref().unwrap_or_default();
                for connection in &mut self.connections {
                    // A lost connection is detected by the next read.
                    let _ = connection.socket.write_all(list.as_bytes());
                }
            }
            Message::Stop => {}
        }
    }

    fn apply_due_changes(&mut self) {
        let now = self.trace.now();
        while self.pending.front().is_some_and(|change| change.due <= now) {
            let Some(PendingChange { node, .. }) = self.pending.pop_front() else {
                return;
            };
            if self.stale_list.is_none() {
                self.stale_list = Some(self.update(UpdateKind::FullSnapshot, Scope::All));
            }
            self.nodes[node.node as usize] = node;
            self.version.version += 1;
            let scope = Scope::Node(node.node);
            let update = self.update(UpdateKind::Incremental, scope);
            for i in 0..self.connections.len() {
                if self.connections[i].watches {
                    self.notify(i, &update, scope);
                }
            }
        }
    }

    fn accept(&mut self) {
        while let Some(Ok((socket, _))) = self.listener.as_ref().map(TcpListener::accept) {
            if socket.set_nonblocking(true).is_ok() {
                self.connections.push(Connection {
                    socket,
                    line: Vec::new(),
                    host: 0,
                    watches: false,
                });
            }
        }
    }

    fn read(&mut self, i: usize) {
        let mut bytes = [0; READ_BYTES];
        match self.connections[i].socket.read(&mut bytes) {
            Ok(0) => drop(self.connections.swap_remove(i)),
            Ok(len) => {
                for byte in &bytes[..len] {
                    if *byte == b'\n' {
                        self.on_request(i);
                    } else {
                        self.connections[i].line.push(*byte);
                    }
                }
            }
            Err(e) if e.kind() == ErrorKind::WouldBlock || e.kind() == ErrorKind::Interrupted => {}
            Err(_) => drop(self.connections.swap_remove(i)),
        }
    }

    /// Answers a request line with a full snapshot of the list. `watch HOST` also subscribes the host to changes.
    fn on_request(&mut self, i: usize) {
        let connection = &mut self.connections[i];
        let line = std::mem::take(&mut connection.line);
        let text = String::from_utf8_lossy(&line);
        let (request, host) = text.split_once(' ').unwrap_or((&text, ""));
        connection.host = host.trim_start_matches("gw").parse().unwrap_or(0);
        connection.watches |= request == "watch";
        let list = self.update(UpdateKind::FullSnapshot, Scope::All);
        self.notify(i, &list, Scope::All);
    }

    fn update(&self, kind: UpdateKind, scope: Scope) -> String {
        let now = self.trace.now();
        let listed = self.nodes.iter().filter(|node| scope.contains(node.node));
        let endpoints: Vec<Endpoint> = listed
            .map(|node| Endpoint {
                name: node_name(node.node),
                state: node.state,
                generation: NonZeroU64::new(node.incarnation),
                uptime_ms: (now - node.started_at) / 1000,
            })
            .collect();
        let mut out = String::new();
        write_update(&mut out, self.version, kind, &endpoints);
        out
    }

    fn notify(&mut self, i: usize, update: &str, scope: Scope) {
        let connection = &mut self.connections[i];
        let _ = connection.socket.write_all(update.as_bytes());
        let host = connection.host;
        for node in self.nodes.iter().filter(|node| scope.contains(node.node)) {
            let active = node.state == EndpointState::Active;
            self.trace.record(TraceEvent::HostNotified {
                host,
                node: node.node,
                active,
            });
        }
    }
}
