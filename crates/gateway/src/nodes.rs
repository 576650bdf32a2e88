//! Connections to the storage nodes. A submit goes out on the node's one connection, which is opened when a
//! submit first asks for it; submits wait for its login in a queue that their own time-outs bound.
use crate::clock::ticks_to_millis;
use crate::wire::{self, ReadOutcome};
use mallowseam_connection_policy::node_connection::NodeConnection;
use mallowseam_iscsi::initiator::{Came, InitiatorConn, Payload};
use mallowseam_iscsi::params::Wishes;
use mallowseam_iscsi::scsi::{Sense, status};
use mallowseam_scheduler::interface::{AttemptResult, Tick};
use mallowseam_settings::config;
use mio::net::TcpStream;
use mio::{Interest, Registry, Token};
use std::collections::VecDeque;
use std::net::SocketAddr;

/// What is sent for one submit.
#[derive(Clone)]
pub struct Order {
    pub tag: u32,
    /// None: the one that the configuration names.
    pub lun: Option<u32>,
    pub cdb: [u8; 16],
    pub room: usize,
    pub data: Payload,
}

/// How a submit ended, with the data of a read.
pub struct Result {
    pub tag: u32,
    pub ending: AttemptResult,
    /// Turned away since the unit is closed to writes: it has not run.
    pub closed: bool,
    pub data: Vec<u8>,
}

struct Link {
    socket: TcpStream,
    conn: InitiatorConn,
}

pub struct Node {
    pub name: String,
    address: SocketAddr,
    target: String,
    lun: u32,
    pub connection: NodeConnection,
    link: Option<Link>,
    queue: VecDeque<Order>,
    dirty: bool,
    readable: bool,
}

pub struct Nodes {
    pub all: Vec<Node>,
    initiator: String,
    wishes: Wishes,
    registry: Registry,
    first_token: usize,
    results: VecDeque<(usize, Result)>,
    dirty: Vec<usize>,
}

impl Nodes {
    pub fn new(
        nodes: &[config::Node],
        initiator: String,
        wishes: Wishes,
        registry: Registry,
        first: usize,
    ) -> Self {
        let node = |n: &config::Node| Node {
            name: n.name.clone(),
            address: n.address.expect("checked"),
            target: n.target.clone(),
            lun: n.lun.into(),
            connection: NodeConnection::default(),
            link: None,
            queue: VecDeque::new(),
            dirty: false,
            readable: false,
        };
        Nodes {
            all: nodes.iter().map(node).collect(),
            initiator,
            wishes,
            registry,
            first_token: first,
            results: VecDeque::new(),
            dirty: Vec::new(),
        }
    }

    /// The next submit that has ended by itself.
    pub fn ended(&mut self) -> Option<(usize, Result)> {
        self.results.pop_front()
    }

    /// Whether no ended submit waits to be told.
    pub fn is_quiet(&self) -> bool {
        self.results.is_empty()
    }

    fn end(&mut self, at: usize, tag: u32, ending: AttemptResult, data: Vec<u8>) {
        self.results.push_back((at, Result { tag, ending, closed: false, data }));
    }

    pub fn submit(&mut self, at: usize, order: Order, now: Tick) {
        let tag = order.tag;
        let node = &mut self.all[at];
        if node.connection.is_ready() {
            let link = node.link.as_mut().expect("a connection that is ready has a link");
            let Order { cdb, room, data, lun, .. } = order;
            if link.conn.command(tag, lun.unwrap_or(node.lun), &cdb, room, data) {
                self.mark(at);
            } else {
                // The node's own window is closed: it has turned the command away before it was sent.
                self.end(at, tag, AttemptResult::Rejected, Vec::new());
            }
            return;
        }
        node.queue.push_back(order);
        if node.connection.open_if_closed(ticks_to_millis(now))
            && let Err(why) = self.open(at)
        {
            self.fail_line(at, &why);
        }
    }

    fn open(&mut self, at: usize) -> std::result::Result<(), String> {
        let node = &mut self.all[at];
        let mut socket = TcpStream::connect(node.address).map_err(|e| e.to_string())?;
        let _ = socket.set_nodelay(true);
        let interest = Interest::READABLE | Interest::WRITABLE;
        self.registry
            .register(&mut socket, Token(self.first_token + at), interest)
            .map_err(|e| e.to_string())?;
        let isid = [0x80, 0, 0, 1, 0, 0];
        let conn = InitiatorConn::new(&self.initiator, Some(&node.target), isid, &self.wishes);
        node.link = Some(Link { socket, conn });
        node.readable = false;
        self.mark(at);
        Ok(())
    }

    fn mark(&mut self, at: usize) {
        if !std::mem::replace(&mut self.all[at].dirty, true) {
            self.dirty.push(at);
        }
    }

    /// Stops waiting for a submit. True: it was never handed to the connection, so it has not run.
    pub fn give_up(&mut self, at: usize, tag: u32, now: Tick) -> bool {
        let node = &mut self.all[at];
        let before = node.queue.len();
        node.queue.retain(|o| o.tag != tag);
        if node.queue.len() < before {
            return true;
        }
        if let Some(link) = &mut node.link {
            link.conn.abort(tag);
            node.connection.abort_sent(ticks_to_millis(now));
            self.mark(at);
        }
        false
    }

    /// Drops a connection: what was sent on it may have run, what was not has not.
    pub fn drop_line(&mut self, at: usize) {
        let node = &mut self.all[at];
        node.connection.closed();
        for order in std::mem::take(&mut node.queue) {
            self.results.push_back((
                at,
                Result { tag: order.tag, ending: AttemptResult::ConnectFailed, closed: false, data: vec![] },
            ));
        }
        if let Some(mut link) = node.link.take() {
            let _ = self.registry.deregister(&mut link.socket);
            for tag in link.conn.tags().collect::<Vec<_>>() {
                let ran = link.conn.on_the_wire(tag);
                let ending = if ran { AttemptResult::ConnectionReset } else { AttemptResult::ConnectFailed };
                self.results.push_back((at, Result { tag, ending, closed: false, data: vec![] }));
            }
        }
    }

    fn fail_line(&mut self, at: usize, why: &str) {
        tracing::warn!(node = self.all[at].name, why, "connection lost");
        self.drop_line(at);
    }

    /// The socket has something to say. True: there may be more to read.
    pub fn ready(&mut self, at: usize, readable: bool, scratch: &mut [u8], now: Tick) -> bool {
        self.all[at].readable |= readable;
        self.mark(at);
        self.read(at, scratch, now)
    }

    pub fn read(&mut self, at: usize, scratch: &mut [u8], now: Tick) -> bool {
        let node = &mut self.all[at];
        let Some(link) = node.link.as_mut().filter(|_| node.readable) else { return false };
        match wire::read(&mut link.socket, scratch) {
            ReadOutcome::WouldBlock => node.readable = false,
            ReadOutcome::Read(n) => {
                let received = link.conn.receive(&scratch[..n]);
                self.came(at, now);
                match received {
                    Ok(()) => return true,
                    Err(fault) => self.fail_line(at, &fault.0),
                }
            }
            ReadOutcome::Closed(why) => self.fail_line(at, &why.to_string()),
        }
        false
    }

    fn came(&mut self, at: usize, now: Tick) {
        while let Some(came) = self.all[at].link.as_mut().and_then(|l| l.conn.came()) {
            match came {
                Came::LoggedIn => {
                    tracing::info!(node = self.all[at].name, "connected");
                    self.all[at].connection.login_finished();
                    for order in std::mem::take(&mut self.all[at].queue) {
                        self.submit(at, order, now);
                    }
                }
                Came::Answer { tag, sense: Some(Sense::WRITE_PROTECTED), .. } => {
                    let (ending, data) = (AttemptResult::NotSent, Vec::new());
                    self.results.push_back((at, Result { tag, ending, closed: true, data }));
                }
                Came::Answer { tag, status: code, data, .. } => {
                    let ending = match code {
                        status::GOOD => AttemptResult::Completed,
                        status::BUSY | status::TASK_SET_FULL => AttemptResult::Rejected,
                        _ => AttemptResult::Error,
                    };
                    self.end(at, tag, ending, data);
                }
                Came::Rejected { tag, reason } => {
                    tracing::warn!(node = self.all[at].name, reason, "command rejected");
                    self.end(at, tag, AttemptResult::Error, Vec::new());
                }
                Came::Gone { .. } => self.all[at].connection.abort_answered(ticks_to_millis(now)),
                Came::AskedOut => {
                    if let Some(link) = &mut self.all[at].link {
                        link.conn.logout();
                    }
                    self.mark(at);
                }
                Came::LoggedOut => {
                    self.drop_line(at);
                    return;
                }
                Came::Text(_) => {}
            }
        }
    }

    /// Writes what waits for nodes.
    pub fn flush(&mut self) {
        while let Some(at) = self.dirty.pop() {
            self.all[at].dirty = false;
            if let Some(link) = &mut self.all[at].link
                && let Err(why) = wire::write(&mut link.socket, link.conn.out())
            {
                self.fail_line(at, &why.to_string());
            }
        }
    }

    /// Lines that do not do what they must are dropped.
    pub fn care(&mut self, now: Tick) {
        for at in 0..self.all.len() {
            let node = &self.all[at];
            let out = node.link.as_ref().map_or(0, |l| l.conn.in_hand());
            if let Some(reason) = node.connection.check_timeouts(ticks_to_millis(now), out) {
                self.fail_line(at, reason.as_str());
            }
        }
    }
}
