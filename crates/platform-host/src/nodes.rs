//! Connections to nodes: one submit at a time on each, kept and used again.
use crate::{ANSWER, tidy};
use mallowseam_connection_policy::keep_alive::{self, KeepAlivePolicy, Reusability};
use mallowseam_http1::{MessageSpan, ResponseHead, ResponseReader};
use mallowseam_platform::request;
use mallowseam_platform::response::{self, NodeResponse};
use mallowseam_scheduler::interface::{AttemptResult, BioId, NodeId, Tick};
use mallowseam_sockets::clock::ticks_to_millis;
use mallowseam_sockets::nonblocking::{self, ReadOutcome};
use mallowseam_sockets::slab::Slab;
use mio::net::TcpStream;
use mio::{Interest, Registry, Token};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::SocketAddr;

/// Bodies up to this are copied, and both buffers kept for their next use; longer ones are handed on in theirs.
const COPIED: usize = 2 * 1024;
/// Read at once while an answer's length is not known: a usual answer whole.
const FIRST: usize = 16 * 1024;
/// Timers beyond four a connection before old ones are looked for.
const TIMERS: usize = 1_024;

/// The submit that a connection carries.
#[derive(Clone, Copy)]
struct Carried {
    bio: BioId,
    /// When the scheduler submitted it; waits count from there.
    since: Tick,
    limit_at: Tick,
    connect_by: Tick,
    /// Tells it from any other that its connection has carried.
    serial: u64,
}

impl Carried {
    /// What came of it at a node, as of now.
    fn came(&self, node: NodeId, ending: AttemptResult) -> Came {
        Came { bio: self.bio, node, ending, since: self.since, until: None, said: None }
    }
}

struct Line {
    socket: TcpStream,
    node: NodeId,
    up: bool,
    carried: Option<Carried>,
    out: Vec<u8>,
    sent: usize,
    buffer: Vec<u8>,
    reader: ResponseReader,
    idle_since: Tick,
    /// It has carried a submit before.
    used: bool,
}

impl Line {
    fn written(&self) -> bool {
        self.up && self.sent == self.out.len()
    }

    fn carries(&self, bio: BioId) -> bool {
        self.carried.is_some_and(|c| c.bio == bio)
    }
}

/// A node as this host reaches it. What it showed on its sockets is counted for the log.
#[derive(Default)]
pub struct Node {
    dial: Option<SocketAddr>,
    /// Idle connections, the latest used last.
    idle: Vec<u32>,
    pub lines: usize,
    pub submits: u64,
    pub opened: u64,
    pub written: u64,
    pub answered: u64,
    pub spoilt: u64,
    /// Slowest good answer since the last log line.
    pub slowest: Tick,
}

/// What came of a submit.
#[derive(Clone, Copy)]
pub struct Came {
    pub bio: BioId,
    pub node: NodeId,
    pub ending: AttemptResult,
    pub since: Tick,
    /// When it was there to be heard; none: as of now.
    pub until: Option<Tick>,
    pub said: Option<NodeResponse>,
}

pub struct Nodes {
    all: Vec<Option<Node>>,
    lines: Slab<Line>,
    registry: Registry,
    token: fn(u32) -> Token,
    most: usize,
    /// Bytes of answers held, and the most of it.
    bytes: usize,
    bytes_most: usize,
    connect_within: Tick,
    keep_alive: KeepAlivePolicy,
    serial: u64,
    timers: BinaryHeap<Reverse<(Tick, u32, u64)>>,
}

/// A whole good answer, to be passed on; `at`: the connection that has it.
pub struct Good {
    pub at: u32,
    pub came: Came,
    whole: MessageSpan,
    close: bool,
}

/// What a ready connection came to.
pub enum Ready {
    Nothing,
    Good(Good),
    Came(Came),
}

impl Nodes {
    pub fn new(
        registry: Registry,
        token: fn(u32) -> Token,
        most: usize,
        bytes_most: usize,
        connect_within: Tick,
        keep_alive: KeepAlivePolicy,
    ) -> Self {
        Nodes {
            all: Vec::new(),
            lines: Slab::default(),
            registry,
            token,
            most,
            bytes: 0,
            bytes_most,
            connect_within,
            keep_alive,
            serial: 0,
            timers: BinaryHeap::new(),
        }
    }

    /// Connections held.
    pub fn len(&self) -> usize {
        self.lines.len()
    }

    /// Bytes of answers held.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    pub fn node(&self, at: NodeId) -> Option<&Node> {
        self.all.get(at.0 as usize)?.as_ref()
    }

    pub fn node_mut(&mut self, at: NodeId) -> Option<&mut Node> {
        self.all.get_mut(at.0 as usize)?.as_mut()
    }

    pub fn ids(&self) -> impl Iterator<Item = NodeId> {
        self.all.iter().enumerate().filter(|(_, n)| n.is_some()).map(|(at, _)| NodeId(at as u32))
    }

    /// The list names a node's address. `open`: new submits may go there.
    pub fn listed(&mut self, at: NodeId, dial: SocketAddr, open: bool) {
        if self.all.len() <= at.0 as usize {
            self.all.resize_with(at.0 as usize + 1, || None);
        }
        let node = self.all[at.0 as usize].get_or_insert_with(Node::default);
        let moved = node.dial.replace(dial).is_some_and(|was| was != dial);
        if moved || !open {
            self.drop_idle(at);
        }
    }

    fn drop_idle(&mut self, at: NodeId) {
        while let Some(line) = self.node(at).and_then(|n| n.idle.last().copied()) {
            self.close(line);
        }
    }

    /// A node that has left for good is forgotten.
    pub fn release(&mut self, at: NodeId) {
        self.drop_idle(at);
        if let Some(place) = self.all.get_mut(at.0 as usize) {
            *place = None;
        }
    }

    /// Submits that wait for a connection to a node that takes nothing new: they were never sent.
    pub fn call_back(&mut self, at: NodeId, came: &mut impl FnMut(Came)) {
        for line in 0..self.lines.index_bound() {
            let waits = self.lines.get(line).is_some_and(|l| l.node == at && !l.up);
            if waits && let Some(carried) = self.close(line) {
                came(carried.came(at, AttemptResult::NotSent));
            }
        }
    }

    fn close(&mut self, at: u32) -> Option<Carried> {
        let mut line = self.lines.remove(at)?;
        self.bytes -= line.buffer.capacity();
        let _ = self.registry.deregister(&mut line.socket);
        if let Some(node) = self.node_mut(line.node) {
            node.lines -= 1;
            node.idle.retain(|l| *l != at);
        }
        line.carried
    }

    /// An idle connection to a node that may carry a submit: alive, and with nothing unasked on it.
    fn idle(&mut self, at: NodeId, now: Tick) -> Option<u32> {
        let keep = self.keep_alive.idle_timeout(ticks_to_millis(now));
        loop {
            let node = self.node(at)?;
            let idle = node
                .idle
                .iter()
                .map(|l| ticks_to_millis(now - self.lines.get(*l).map_or(now, |l| l.idle_since)));
            let chosen = keep_alive::select_idle_connection(idle, keep)?;
            let line = node.idle[chosen];
            let mut byte = [0; 1];
            let read = self.lines.get_mut(line).map(|l| nonblocking::read(&mut l.socket, &mut byte));
            if let Some(ReadOutcome::WouldBlock) = read {
                self.node_mut(at)?.idle.remove(chosen);
                return Some(line);
            }
            self.close(line);
        }
    }

    fn open(&mut self, at: NodeId, now: Tick) -> Result<u32, AttemptResult> {
        if self.lines.len() >= self.most {
            // The longest idle of all gives way; with none idle, this host is what is short.
            let idle = self.lines.iter().filter(|(_, l)| l.up && l.carried.is_none());
            let oldest = idle.min_by_key(|(_, l)| l.idle_since).map(|(line, _)| line);
            self.close(oldest.ok_or(AttemptResult::NotSent)?);
        }
        let dial = self.node(at).and_then(|n| n.dial).ok_or(AttemptResult::NotSent)?;
        let mut socket = TcpStream::connect(dial).map_err(|_| AttemptResult::ConnectFailed)?;
        let _ = socket.set_nodelay(true);
        let place = self.lines.next_index();
        let interest = Interest::READABLE | Interest::WRITABLE;
        self.registry
            .register(&mut socket, (self.token)(place), interest)
            .map_err(|_| AttemptResult::NotSent)?;
        self.lines.insert(Line {
            socket,
            node: at,
            up: false,
            carried: None,
            out: Vec::new(),
            sent: 0,
            buffer: Vec::new(),
            reader: ResponseReader::default(),
            idle_since: now,
            used: false,
        });
        if let Some(node) = self.node_mut(at) {
            node.lines += 1;
            node.opened += 1;
        }
        Ok(place)
    }

    /// Sends a block I/O, written by `write`, on a connection of its own until it is answered. Error: it was
    /// not sent. Ok: the connection, and what came of it where that is known at once.
    pub fn submit(
        &mut self,
        bio: BioId,
        at: NodeId,
        now: Tick,
        limit: Tick,
        write: impl FnOnce(&mut Vec<u8>),
    ) -> Result<(u32, Option<Came>), AttemptResult> {
        let place = match self.idle(at, now) {
            Some(place) => place,
            None => self.open(at, now)?,
        };
        self.serial += 1;
        let carried = Carried {
            bio,
            since: now,
            limit_at: now + limit,
            connect_by: now + self.connect_within,
            serial: self.serial,
        };
        if let Some(node) = self.node_mut(at) {
            node.submits += 1;
        }
        let line = self.lines.get_mut(place).expect("just had");
        write(&mut line.out);
        line.carried = Some(carried);
        self.timers.push(Reverse((carried.limit_at, place, carried.serial)));
        self.drop_old_timers();
        let line = self.lines.get(place).expect("just had");
        if !line.up {
            self.timers.push(Reverse((carried.connect_by.min(carried.limit_at), place, carried.serial)));
            return Ok((place, None));
        }
        // A connection that dies under an unfinished submit says nothing of the node when it was an old one.
        Ok((place, self.push(place, AttemptResult::NotSent)))
    }

    /// Writes what a connection still has to send. Some: it broke.
    fn push(&mut self, place: u32, broken: AttemptResult) -> Option<Came> {
        let line = self.lines.get_mut(place)?;
        let carried = line.carried?;
        if line.sent == line.out.len() {
            return None;
        }
        let node = line.node;
        let (sent, fault) = match nonblocking::write(&mut line.socket, &line.out[line.sent..]) {
            Ok(sent) => (sent, false),
            Err(error) => (error.written, true),
        };
        line.sent += sent;
        let whole = line.sent == line.out.len();
        if whole && let Some(node) = self.node_mut(node) {
            node.written += 1;
        }
        if !fault {
            return None;
        }
        self.close(place);
        // Before the last byte is written nothing has run; after it, it may have.
        let ending = if whole { AttemptResult::ConnectionReset } else { broken };
        Some(carried.came(node, ending))
    }

    /// Whether a connection carries a submit of this block I/O whose last byte has not gone.
    pub fn unsent(&self, place: u32, bio: BioId) -> bool {
        self.lines.get(place).is_some_and(|l| l.carries(bio) && !l.written())
    }

    /// Ends the submit of a block I/O that a connection carries.
    pub fn cut(&mut self, place: u32, bio: BioId) -> Option<Came> {
        let line = self.lines.get(place).filter(|l| l.carries(bio))?;
        let (written, node) = (line.written(), line.node);
        let carried = self.close(place)?;
        let ending = if written { AttemptResult::Cancelled } else { AttemptResult::NotSent };
        Some(carried.came(node, ending))
    }

    /// The poll has something of a connection.
    /// `ended`: the node has closed its side, which is told once.
    /// `heard`: when what the poll has was there.
    pub fn ready(&mut self, place: u32, ended: bool, scratch: &mut [u8], now: Tick, heard: Tick) -> Ready {
        let Some(line) = self.lines.get_mut(place) else { return Ready::Nothing };
        let node = line.node;
        let Some(carried) = line.carried else {
            // Bytes unasked, or the end: either way it is of no more use.
            let mut byte = [0; 1];
            if !matches!(nonblocking::read(&mut line.socket, &mut byte), ReadOutcome::WouldBlock) {
                self.close(place);
            }
            return Ready::Nothing;
        };
        let until = Some(heard.max(carried.since));
        let came = |ending| Came { until, ..carried.came(node, ending) };
        if !line.up {
            let failed = line.socket.take_error().map_or(true, |e| e.is_some());
            if failed {
                self.close(place);
                return Ready::Came(came(AttemptResult::ConnectFailed));
            }
            if line.socket.peer_addr().is_err() {
                return Ready::Nothing;
            }
            // What a node says before it was asked is no answer to anything.
            if !matches!(nonblocking::read(&mut line.socket, &mut [0]), ReadOutcome::WouldBlock) {
                self.close(place);
                return Ready::Came(came(AttemptResult::ConnectFailed));
            }
            line.up = true;
            // What waited for its connection has less time left than it was written with.
            request::rewrite_timeout(&mut line.out, ticks_to_millis(carried.limit_at - now).max(1));
        }
        if line.sent < line.out.len()
            && let Some(came) = self.push(place, AttemptResult::ConnectFailed)
        {
            return Ready::Came(came);
        }
        self.read(place, ended, scratch, now, &came)
    }

    fn read(
        &mut self,
        place: u32,
        ended: bool,
        scratch: &mut [u8],
        now: Tick,
        came: &impl Fn(AttemptResult) -> Came,
    ) -> Ready {
        let Some(line) = self.lines.get_mut(place) else { return Ready::Nothing };
        let written = line.written();
        let cut_off = if written { AttemptResult::ConnectionReset } else { AttemptResult::ConnectFailed };
        loop {
            let had = line.buffer.len();
            let capacity = line.buffer.capacity();
            // Of a long answer just the rest is read; what stands behind it shows on the next look.
            let lacks = line.reader.remaining(had).filter(|l| *l > 0);
            let room =
                lacks.unwrap_or(FIRST).min(ANSWER.buffer_capacity() + 1 - had.min(ANSWER.buffer_capacity()));
            let room = room.min(scratch.len());
            let tried = nonblocking::read(&mut line.socket, &mut scratch[..room]);
            if let ReadOutcome::Read(count) = tried {
                line.buffer.reserve_exact(lacks.unwrap_or(0));
                line.buffer.extend_from_slice(&scratch[..count]);
            }
            self.bytes = self.bytes + line.buffer.capacity() - capacity;
            let count = match tried {
                ReadOutcome::WouldBlock => return Ready::Nothing,
                ReadOutcome::Closed(_) => {
                    let unheard = line.used && line.buffer.is_empty();
                    if let Some(carried) = line.carried.filter(|_| unheard) {
                        let idle = ticks_to_millis(carried.since - line.idle_since);
                        self.keep_alive.connection_lost(
                            idle,
                            ticks_to_millis(now - carried.since),
                            ticks_to_millis(now),
                        );
                    }
                    self.close(place);
                    return Ready::Came(came(cut_off));
                }
                ReadOutcome::Read(count) => count,
            };
            // Less than there was room for: nothing more has come, and what does is told anew.
            let drained = count < room && !ended;
            match line.reader.advance(&mut line.buffer, ANSWER) {
                // All answers together have their bound: the one that passes it counts as spoilt.
                Ok(None) if self.bytes > self.bytes_most => return self.spoilt(place, came),
                Ok(None) if drained => return Ready::Nothing,
                Ok(None) => {}
                Ok(Some(whole)) => return self.answered(place, whole, now, came),
                Err(_) => return self.spoilt(place, came),
            }
        }
    }

    /// An answer that can't be read: its submit may have run, whatever the answer was meant to be.
    fn spoilt(&mut self, place: u32, came: &impl Fn(AttemptResult) -> Came) -> Ready {
        let came = came(AttemptResult::Error);
        self.close(place);
        if let Some(node) = self.node_mut(came.node) {
            node.spoilt += 1;
        }
        Ready::Came(came)
    }

    fn answered(
        &mut self,
        place: u32,
        whole: MessageSpan,
        now: Tick,
        came: &impl Fn(AttemptResult) -> Came,
    ) -> Ready {
        let Some(line) = self.lines.get(place) else { return Ready::Nothing };
        let head =
            ResponseHead::parse(&line.buffer[whole.start..], ANSWER).ok().flatten().expect("read before");
        let said = response::parse(&head);
        // A node begins with a request's last byte: what it says before was made for another.
        if !line.written() && said.ending != AttemptResult::Rejected {
            self.close(place);
            return Ready::Came(came(AttemptResult::ConnectFailed));
        }
        let kept = keep_alive::keep_after_response(said.ending == AttemptResult::Rejected);
        let close = head.close || !kept || line.buffer.len() > whole.end || !line.written();
        let (node, fresh) = (line.node, !line.used);
        if !kept && fresh {
            self.keep_alive.new_connection_rejected(ticks_to_millis(now));
        }
        let came = Came { said: Some(said), ..came(said.ending) };
        if let Some(node) = self.node_mut(node) {
            node.answered += 1;
            if said.ending == AttemptResult::Completed {
                node.slowest = node.slowest.max(came.until.unwrap_or(now) - came.since);
            }
        }
        if said.ending == AttemptResult::Completed {
            return Ready::Good(Good { at: place, came, whole, close });
        }
        self.rest(place, close, now);
        Ready::Came(came)
    }

    /// The body of a good answer.
    pub fn body(&self, good: &Good) -> &[u8] {
        self.lines.get(good.at).map_or(&[], |l| &l.buffer[good.whole.body..good.whole.end])
    }

    /// The buffer of a good answer whose body is long, to be handed on, and where the body stands in it.
    pub fn take_body(&mut self, good: &Good) -> Option<(Vec<u8>, usize, usize)> {
        let line = self.lines.get_mut(good.at)?;
        if good.whole.end - good.whole.body <= COPIED {
            return None;
        }
        self.bytes -= line.buffer.capacity();
        Some((std::mem::take(&mut line.buffer), good.whole.body, good.whole.end))
    }

    /// A good answer was passed on.
    pub fn done(&mut self, good: &Good, now: Tick) {
        self.rest(good.at, good.close, now);
    }

    /// A connection with nothing more to do waits for its next submit, or ends.
    fn rest(&mut self, place: u32, close: bool, now: Tick) {
        if close {
            self.close(place);
            return;
        }
        let Some(line) = self.lines.get_mut(place) else { return };
        (line.carried, line.sent, line.idle_since, line.used) = (None, 0, now, true);
        line.reader = ResponseReader::default();
        tidy(&mut line.out);
        self.bytes -= line.buffer.capacity();
        tidy(&mut line.buffer);
        self.bytes += line.buffer.capacity();
        let node = line.node;
        match self.node_mut(node) {
            Some(node) => node.idle.push(place),
            None => drop(self.close(place)),
        }
    }

    /// Timers of submits that are over go once they are most of them: clients that name long waits must not
    /// leave one each behind.
    fn drop_old_timers(&mut self) {
        if self.timers.len() > 4 * self.most + TIMERS {
            let lines = &self.lines;
            let live = |t: &Reverse<(Tick, u32, u64)>| {
                lines.get(t.0.1).and_then(|l| l.carried).is_some_and(|c| c.serial == t.0.2)
            };
            self.timers.retain(live);
        }
    }

    /// When the next submit's time is up, if it is still out by then.
    pub fn next_timer(&self) -> Option<Tick> {
        self.timers.peek().map(|t| t.0.0)
    }

    /// Submits whose time is up.
    pub fn overdue(&mut self, now: Tick) -> Option<Came> {
        while let Some(&Reverse((at, place, serial))) = self.timers.peek() {
            if at > now {
                return None;
            }
            self.timers.pop();
            let Some(line) = self.lines.get(place) else { continue };
            let Some(carried) = line.carried.filter(|c| c.serial == serial) else { continue };
            let ending = if line.written() {
                AttemptResult::TimedOut
            } else if !line.up && now >= carried.connect_by {
                AttemptResult::ConnectFailed
            } else if now >= carried.limit_at {
                AttemptResult::NotSent
            } else {
                continue;
            };
            if ending == AttemptResult::TimedOut && now < carried.limit_at {
                continue;
            }
            let node = line.node;
            self.close(place);
            return Some(Came {
                bio: carried.bio,
                node,
                ending,
                since: carried.since,
                until: None,
                said: None,
            });
        }
        None
    }

    /// For how long idle connections are kept as of now.
    pub fn kept(&mut self, now: Tick) -> u64 {
        self.keep_alive.idle_timeout(ticks_to_millis(now))
    }

    /// Gives up idle connections before their nodes do.
    pub fn look(&mut self, now: Tick) {
        let keep = self.kept(now);
        for place in 0..self.lines.index_bound() {
            let idle = self
                .lines
                .get(place)
                .filter(|l| l.carried.is_none())
                .map(|l| ticks_to_millis(now - l.idle_since));
            if idle.is_some_and(|idle| keep_alive::reusability(idle, keep) == Reusability::Expired) {
                self.close(place);
            }
        }
    }
}
