//! The parties round the hosts on one loop: list services, nodes and clients, every connection behind a way with
//! faults of its own. Whoever plays it drives it turn by turn.
mod clients;
mod doors;
mod listing;
mod nodes;
mod ways;

use super::addresses::Addresses;
use super::callers::{Callers, Op};
use super::links::{Fault, Links, Opening, Out, Party, Pipe, Side};
use super::record::{Seen, What};
use super::scene::{Known, Scene};
use super::store::{Got, Job, Store};
use super::turns::{Handled, Mood, Turns};
use crate::audit::SLACK;
use crate::trace::Micros;
use mallowseam_http1::{Limits, RequestHead, RequestReader, ResponseHead, ResponseReader};
use mallowseam_sockets::nonblocking::{self, ReadOutcome};
use mallowseam_sockets::slab::Slab;
use mio::net::{TcpListener, TcpStream};
use mio::{Events, Interest, Poll, Token};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use socket2::SockRef;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::fmt::Write;
use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub use ways::{Held, Viewed, Ways};

const BOUNDS: Limits = Limits { head: 16 * 1024, body: 1 << 20 };
const EVENTS: usize = 1_024;
const SCRATCH: usize = 64 * 1024;
/// Connections accepted in one turn of a listener.
const ACCEPTS: usize = 64;
const BACKLOG: i32 = 1_024;
/// A watch with nothing to tell says so this often.
const SIGN: Micros = 2_000_000;
/// What a host misses counts as told so long after its watch fell silent, or after the service had it and could be
/// reached (the users' page).
pub const TOLD_AFTER: Micros = 6_000_000;
/// Pause between two questions whether a host is ready.
const ASKS_READY: Micros = 20_000;
/// A question to a host, and a client's connection, are given up after this.
const PATIENCE: Micros = 2_000_000;
/// Changes that the service still knows one by one; before them it tells the whole list.
const REMEMBERS: usize = 256;
/// Idle connections that clients keep to one host.
const KEPT: usize = 32;
const PORT_CLAIM: u16 = 1899;

/// Kept while a run lasts: no other on this machine takes its addresses.
struct Claim {
    _held: std::net::TcpListener,
}

/// Where a host's connections to a party come in, and how that way stands.
struct Door {
    host: u32,
    party: Party,
    address: SocketAddr,
    listener: Option<TcpListener>,
    opening: Opening,
    /// Fills the way's queue while it is silent, so that nothing more comes up.
    plug: Vec<std::net::TcpStream>,
}

/// What a connection carries.
enum Carries {
    /// From a host to a list service.
    Call { list: u32, reader: RequestReader, watches: bool, forgotten: Option<Micros> },
    /// From a host to a node.
    Line { node: u32, reader: RequestReader, open: Option<u64>, fresh: bool, excess: bool },
    /// From clients to a host.
    Client { reader: ResponseReader, asked: Option<Op> },
    /// A question whether a host is ready.
    Ready { reader: ResponseReader },
}

struct Conn {
    host: u32,
    socket: TcpStream,
    carries: Carries,
    serial: u64,
    /// Names the question that waits for its answer here, for the one who gives it up.
    question: u64,
    /// From the host to the party, and back.
    inward: Pipe,
    outward: Pipe,
    /// What the party has received and not used, and what its socket has still to take.
    buffer: Vec<u8>,
    out: Vec<u8>,
    blocked: bool,
}

/// A node as the list service knows it.
#[derive(Clone, Copy, Debug)]
pub struct Listed {
    pub shard: u32,
    pub ready: Option<bool>,
    pub born: Micros,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Pump(u32, u64),
    Over(u32, u64),
    Again(usize),
    AskReady(u32),
    Sign,
    /// News that the service tells now.
    News,
    /// A datagram between hosts comes in.
    Datagram(u32),
}

/// A call's connection.
type CallId = (u32, u64);

pub struct World {
    poll: Poll,
    scene: Scene,
    pub addresses: Addresses,
    _claim: Claim,
    start: Instant,
    unix_ms: i64,
    doors: Vec<Door>,
    conns: Slab<Conn>,
    serial: u64,
    links: Links,
    due: BinaryHeap<Reverse<(Micros, Due)>>,
    pub turns: [Turns<CallId>; 2],
    listed: Vec<Listed>,
    /// What the list service will come to know, and when.
    news: VecDeque<(Micros, u32, Listed)>,
    /// What the service had while a host could not reach it: host, node, its entry, version.
    unreached: Vec<(u32, u32, Listed, u64)>,
    history: VecDeque<(u64, u32)>,
    seq: u64,
    pub stores: Vec<Store<CallId>>,
    pub callers: Callers,
    asking: bool,
    again: Slab<Op>,
    ready: Vec<Option<bool>>,
    stalled: Vec<bool>,
    idle: BTreeMap<u32, Vec<u32>>,
    ways: BTreeMap<u64, u32>,
    /// Between hosts, by datagrams.
    pub ways_udp: Ways,
    /// Whose name each host is given: its own, but where a story has two of one name.
    pub names: Vec<u32>,
    pub seen: Vec<Seen>,
    rng: Pcg64Mcg,
    scratch: Vec<u8>,
}

fn failed(what: impl std::fmt::Display) -> impl FnOnce(io::Error) -> String {
    move |e| format!("{what}: {e}")
}

impl World {
    pub fn open(scene: &Scene, seed: u64) -> Result<World, String> {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let poll = Poll::new().map_err(failed("poll"))?;
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let turns = || Turns::new(scene.takes, scene.patience);
        let shards = scene.nodes;
        let (addresses, claim) = claim()?;
        let mut world = World {
            addresses,
            _claim: claim,
            start: Instant::now(),
            unix_ms: unix.as_millis() as i64,
            doors: Vec::new(),
            conns: Slab::default(),
            serial: 0,
            links: Links::new(scene.zones),
            due: BinaryHeap::new(),
            turns: [turns(), turns()],
            listed: Vec::new(),
            news: VecDeque::new(),
            unreached: Vec::new(),
            history: VecDeque::new(),
            seq: 40,
            stores: Vec::new(),
            callers: Callers::new(scene.wants.clone(), scene.hosts, shards, &mut rng),
            asking: false,
            again: Slab::default(),
            ready: vec![None; scene.hosts as usize],
            stalled: vec![false; scene.hosts as usize],
            idle: BTreeMap::new(),
            ways: BTreeMap::new(),
            ways_udp: Ways::default(),
            names: (0..scene.hosts).collect(),
            seen: Vec::new(),
            rng,
            scratch: vec![0; SCRATCH],
            scene: scene.clone(),
            poll,
        };
        for host in 0..scene.hosts {
            for list in 0..2 {
                world.door(host, Party::List(list), world.addresses.list(host, list))?;
            }
        }
        for shard in 0..shards {
            world.add_node(shard, scene.cold_nodes)?;
        }
        if scene.view.is_some() {
            world.open_ways()?;
        }
        world.due.push(Reverse((SIGN, Due::Sign)));
        Ok(world)
    }

    pub fn now(&self) -> Micros {
        self.start.elapsed().as_micros() as Micros
    }

    fn note(&mut self, what: What) {
        let at = self.now();
        self.seen.push(Seen { at, what });
    }

    pub fn link(&mut self, from: Side, to: Side, fault: Fault) {
        self.links.set(from, to, fault);
        self.set_doors();
        self.reached();
        // What was held goes on.
        let now = self.now();
        for at in self.conns.indices() {
            let serial = self.conns.get(at).map_or(0, |c| c.serial);
            self.due.push(Reverse((now, Due::Pump(at, serial))));
        }
        // Whatever is asked over a way at fault is not held against a host.
        let excused: Vec<u64> =
            self.ways.iter().filter(|(_, h)| self.way_at_fault(**h)).map(|(op, _)| *op).collect();
        excused.into_iter().for_each(|op| self.note(What::Excused { op }));
    }

    /// A host is stopped, or goes on: what clients ask of it meanwhile is not held against it.
    pub fn stall(&mut self, host: u32, stalled: bool) {
        self.stalled[host as usize] = stalled;
        let held: Vec<u64> = self.ways.iter().filter(|(_, h)| **h == host).map(|(op, _)| *op).collect();
        held.into_iter().for_each(|op| self.note(What::Excused { op }));
    }

    fn way_at_fault(&self, host: u32) -> bool {
        let (there, back) = (
            self.links.of(Party::Clients, Party::Host(host)),
            self.links.of(Party::Host(host), Party::Clients),
        );
        self.stalled[host as usize] || there != Fault::default() || back != Fault::default()
    }

    pub fn list_turns(&mut self, list: usize, mood: Mood) {
        let now = self.now();
        self.turns[list].turns(now, mood);
        if mood == Mood::Down {
            let of = |c: &Conn| matches!(c.carries, Carries::Call { list: l, .. } if l as usize == list);
            let calls: Vec<u32> = self.conns.iter().filter(|(_, c)| of(c)).map(|(at, _)| at).collect();
            calls.into_iter().for_each(|at| self.close(at, true));
        }
        self.set_doors();
        self.reached();
    }

    // Hosts.

    /// A host's process was started: it is asked until it is ready.
    pub fn host_up(&mut self, host: u32) {
        self.note(What::HostUp { host });
        // Its configuration has all that the service had by now.
        if self.scene.known == Known::Now {
            self.unreached.retain(|missed| missed.0 != host);
        }
        self.ready[host as usize] = Some(false);
        let at = self.now() + ASKS_READY;
        self.due.push(Reverse((at, Due::AskReady(host))));
    }

    /// Clients use it no more.
    pub fn host_down(&mut self, host: u32) {
        self.ready[host as usize] = None;
        self.idle.remove(&host);
    }

    pub fn is_ready(&self, host: u32) -> bool {
        self.ready[host as usize] == Some(true)
    }

    fn ask_ready(&mut self, host: u32) {
        if self.ready[host as usize] != Some(false) {
            return;
        }
        let again = self.now() + ASKS_READY;
        let text = b"GET /ready HTTP/1.1\r\nHost: lab\r\n\r\n";
        let asked = self.dial(host, Carries::Ready { reader: ResponseReader::default() });
        match asked {
            Some(at) => {
                self.say(at, text);
                self.over_at(at, PATIENCE);
            }
            None => self.due.push(Reverse((again, Due::AskReady(host)))),
        }
    }

    fn over_at(&mut self, at: u32, after: Micros) {
        self.serial += 1;
        let question = self.serial;
        if let Some(conn) = self.conns.get_mut(at) {
            conn.question = question;
            self.due.push(Reverse((self.now() + after, Due::Over(at, question))));
        }
    }

    /// A connection to a host, if the way lets one come up.
    fn dial(&mut self, host: u32, carries: Carries) -> Option<u32> {
        if self.links.opening(Party::Clients, Party::Host(host)) != Opening::Up {
            return None;
        }
        // On loopback a listener's queue answers at once; a socket that is over shows itself in the loop.
        let socket = std::net::TcpStream::connect(self.addresses.host(host)).ok()?;
        socket.set_nonblocking(true).ok()?;
        let _ = socket.set_nodelay(true);
        Some(self.enter(host, TcpStream::from_std(socket), carries))
    }

    fn enter(&mut self, host: u32, mut socket: TcpStream, carries: Carries) -> u32 {
        self.serial += 1;
        let token = Token(2 * self.conns.next_index() as usize + 1);
        let _ = self.poll.registry().register(&mut socket, token, Interest::READABLE | Interest::WRITABLE);
        self.conns.insert(Conn {
            host,
            socket,
            carries,
            serial: self.serial,
            question: 0,
            inward: Pipe::default(),
            outward: Pipe::default(),
            buffer: Vec::new(),
            out: Vec::new(),
            blocked: false,
        })
    }

    fn ways_of(&self, conn: &Conn) -> (Fault, Fault) {
        let host = Party::Host(conn.host);
        let party = match conn.carries {
            Carries::Call { list, .. } => Party::List(list),
            Carries::Line { node, .. } => Party::Node(node),
            _ => Party::Clients,
        };
        (self.links.of(host, party), self.links.of(party, host))
    }

    /// A party sends to a host.
    fn say(&mut self, at: u32, bytes: &[u8]) {
        let Some(conn) = self.conns.get(at) else { return };
        let fault = self.ways_of(conn).1;
        let now = self.now();
        let rng = &mut self.rng;
        if let Some(conn) = self.conns.get_mut(at) {
            conn.outward.push(now, bytes, &fault, rng);
        }
        self.pump(at);
    }

    /// Moves what has come through both directions of a connection.
    fn pump(&mut self, at: u32) {
        loop {
            let now = self.now();
            let Some(conn) = self.conns.get(at) else { return };
            let serial = conn.serial;
            let (inward, outward) = self.ways_of(conn);
            let Some(conn) = self.conns.get_mut(at) else { return };
            let mut moved = true;
            match conn.outward.take(now, &outward) {
                Out::Bytes(bytes) => conn.out.extend_from_slice(&bytes),
                Out::Reset => return self.close(at, true),
                Out::End | Out::Nothing => moved = false,
            }
            if nonblocking::write_buffer(&mut conn.socket, &mut conn.out).is_err() {
                return self.close(at, false);
            }
            match conn.inward.take(now, &inward) {
                Out::Bytes(bytes) => {
                    conn.buffer.extend_from_slice(&bytes);
                    self.heard(at);
                    moved = true;
                }
                Out::Reset => return self.close(at, true),
                Out::End => return self.close(at, false),
                Out::Nothing => {}
            }
            let Some(conn) = self.conns.get_mut(at).filter(|c| c.serial == serial) else { return };
            if !moved {
                let due =
                    [conn.inward.due(), conn.outward.due()].into_iter().flatten().filter(|d| *d > now).min();
                if let Some(due) = due {
                    self.due.push(Reverse((due, Due::Pump(at, serial))));
                }
                if std::mem::take(&mut conn.blocked) && !conn.inward.full() {
                    self.read(at);
                }
                return;
            }
        }
    }

    fn read(&mut self, at: u32) {
        loop {
            let Some(conn) = self.conns.get(at) else { return };
            let fault = self.ways_of(conn).0;
            let now = self.now();
            let Some(conn) = self.conns.get_mut(at) else { return };
            if conn.inward.full() {
                conn.blocked = true;
                return;
            }
            match nonblocking::read(&mut conn.socket, &mut self.scratch) {
                ReadOutcome::Read(count) => {
                    conn.inward.push(now, &self.scratch[..count], &fault, &mut self.rng)
                }
                ReadOutcome::WouldBlock => return self.pump(at),
                ReadOutcome::Closed(_) => {
                    conn.inward.end(now, &fault, &mut self.rng);
                    return self.pump(at);
                }
            }
        }
    }

    /// A connection is over: by the host, or because a party or the way ends it.
    fn close(&mut self, at: u32, reset: bool) {
        let Some(mut conn) = self.conns.remove(at) else { return };
        let _ = self.poll.registry().deregister(&mut conn.socket);
        if reset {
            let _ = SockRef::from(&conn.socket).set_linger(Some(Duration::ZERO));
        }
        let id = (at, conn.serial);
        match conn.carries {
            Carries::Call { list, .. } => self.turns[list as usize].gone(id),
            Carries::Line { node, open, .. } => {
                let store = &mut self.stores[node as usize];
                store.lines = store.lines.saturating_sub(1);
                store.gone(id);
                if let Some(op) = open {
                    self.note(What::Cut { node, op });
                }
            }
            Carries::Client { asked, .. } => {
                if let Some(idle) = self.idle.get_mut(&conn.host) {
                    idle.retain(|i| *i != at);
                }
                if let Some(op) = asked {
                    self.ways.remove(&op.id);
                    self.note(What::Broken { op: op.id });
                    self.again(&op, None);
                }
            }
            Carries::Ready { .. } => {
                let again = self.now() + ASKS_READY;
                self.due.push(Reverse((again, Due::AskReady(conn.host))));
            }
        }
    }

    /// A party has something new in its buffer.
    fn heard(&mut self, at: u32) {
        let Some(conn) = self.conns.get_mut(at) else { return };
        let buffer = &mut conn.buffer;
        match &mut conn.carries {
            Carries::Call { reader, .. } | Carries::Line { reader, .. } => {
                let Ok(whole) = reader.advance(buffer, BOUNDS) else { return self.close(at, true) };
                let Some(whole) = whole else { return };
                let request = buffer.drain(..whole.end).collect::<Vec<u8>>();
                reader.reset();
                match conn.carries {
                    Carries::Call { .. } => self.called(at, &request),
                    _ => self.got(at, &request),
                }
            }
            Carries::Client { reader, .. } | Carries::Ready { reader } => {
                let Ok(whole) = reader.advance(buffer, BOUNDS) else { return self.close(at, true) };
                let Some(whole) = whole else { return };
                *reader = ResponseReader::default();
                let answer = buffer.drain(..whole.end).collect::<Vec<u8>>();
                self.answered(at, &answer, whole.body);
            }
        }
    }

    // The loop.

    fn next_due(&self) -> Option<Micros> {
        let timer = self.due.peek().map(|d| d.0.0);
        let lists = self.turns.iter().filter_map(Turns::due);
        let stores = self.stores.iter().filter_map(Store::due);
        let clients = self.asking.then(|| self.callers.due());
        timer.into_iter().chain(lists).chain(stores).chain(clients).min()
    }

    /// Waits for something to happen, so long at most, and does what follows from it.
    pub fn turn(&mut self, most: Duration) {
        let wait = self
            .next_due()
            .map_or(most, |due| Duration::from_micros(due.saturating_sub(self.now())).min(most));
        let mut events = Events::with_capacity(EVENTS);
        if let Err(e) = self.poll.poll(&mut events, Some(wait)) {
            assert!(e.kind() == io::ErrorKind::Interrupted, "poll: {e}");
        }
        for event in &events {
            let Token(token) = event.token();
            if token >= ways::TOKENS {
                self.datagrams(token - ways::TOKENS);
                continue;
            }
            match token % 2 {
                0 => self.accept(token / 2),
                _ => self.read((token / 2) as u32),
            }
        }
        self.run_due();
    }

    fn run_due(&mut self) {
        let now = self.now();
        while let Some(Reverse((at, due))) = self.due.peek().copied() {
            if at > now {
                break;
            }
            self.due.pop();
            match due {
                Due::Pump(at, serial) => {
                    if self.conns.get(at).is_some_and(|c| c.serial == serial) {
                        self.pump(at);
                    }
                }
                Due::Over(at, question) => self.over(at, question),
                Due::Again(place) => {
                    if let Some(op) = self.again.remove(place as u32).filter(|_| self.asking) {
                        self.ask(op);
                    }
                }
                Due::AskReady(host) => self.ask_ready(host),
                Due::Sign => {
                    for at in self.watchers() {
                        self.say(at, chunk("\n").as_bytes());
                    }
                    self.due.push(Reverse((now + SIGN, Due::Sign)));
                }
                Due::Datagram(place) => self.arrives(place),
                Due::News => {
                    self.set_doors();
                    self.tell_news();
                }
            }
        }
        for list in 0..self.turns.len() {
            while let Some((id, handled)) = self.turns[list].next(now) {
                self.handled(id, handled);
            }
        }
        for node in 0..self.stores.len() {
            while let Some(job) = self.stores[node].next(now) {
                let (at, serial) = job.from;
                if self.conns.get(at).is_some_and(|c| c.serial == serial) {
                    self.node_says(at, node as u32, job.op, true);
                }
            }
        }
        // A loop that was kept from running has many to send; each round looks at its sockets in between.
        for _ in 0..ACCEPTS {
            if !self.asking {
                break;
            }
            let Some(op) = self.callers.next(now, &mut self.rng) else { break };
            self.ask(op);
        }
    }
}

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// Addresses that no other run on this machine uses now.
fn claim() -> Result<(Addresses, Claim), String> {
    let first = (std::process::id() * 7) % 200;
    for n in 0..200 {
        let addresses = Addresses::new(20 + ((first + n) % 200) as u8);
        if let Ok(held) = std::net::TcpListener::bind(addresses.of(0, PORT_CLAIM)) {
            return Ok((addresses, Claim { _held: held }));
        }
    }
    Err("no free loopback addresses".into())
}
