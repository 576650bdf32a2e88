//! Connections of clients: requests are read off them one at a time, and answers written.
use crate::{MESSAGE, take_front, tidy};
use mallowseam_connection_policy::Millis;
use mallowseam_connection_policy::client_connection::{self, ClientConnection, Phase, TimeoutAction};
use mallowseam_connection_policy::graceful_shutdown::GracefulShutdown;
use mallowseam_http1::{MessageSpan, ParseError, RequestHead, RequestReader};
use mallowseam_platform::response;
use mallowseam_scheduler::interface::BioId;
use mallowseam_sockets::nonblocking::{self, ReadOutcome};
use mallowseam_sockets::outgoing_message::OutgoingMessage;
use mallowseam_sockets::slab::Slab;
use mio::net::TcpStream;
use mio::{Interest, Registry, Token};
use std::collections::VecDeque;
use std::io::ErrorKind;
use std::net::Shutdown;

#[cfg(test)]
mod tests;

struct Client {
    socket: TcpStream,
    state: ClientConnection,
    /// What has come and is not yet done with; a request in hand stands at its front.
    buffer: Vec<u8>,
    reader: RequestReader,
    whole: Option<MessageSpan>,
    bio: Option<BioId>,
    out: OutgoingMessage,
    /// The poll has told of it; the socket may have more to read; its client has ended its side; nothing follows the
    /// answer in `out`.
    told: bool,
    readable: bool,
    left: bool,
    last: bool,
    queued: bool,
}

impl Client {
    fn bytes(&self) -> usize {
        self.buffer.capacity() + self.out.capacity()
    }

    /// Whether more of a request has come that was not read yet.
    fn may_ask(&mut self) -> bool {
        if !matches!(self.state.phase(), Phase::AwaitingFirstRequest | Phase::ReceivingRequest | Phase::Idle)
        {
            return false;
        }
        self.readable |= matches!(self.socket.peek(&mut [0]), Ok(n) if n > 0);
        self.readable
    }

    /// Whether it has left, by a look at its socket ahead of the poll. The end shows once all before it is read.
    fn has_left(&mut self) -> bool {
        self.left |= match self.socket.peek(&mut [0]) {
            Ok(n) => n == 0,
            Err(e) => !matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted),
        };
        self.left
    }
}

/// What a look at a client's connection came to.
pub enum Came {
    Nothing,
    /// A whole request, to be looked at with `request`.
    Request,
}

pub struct Clients {
    all: Slab<Client>,
    registry: Registry,
    token: fn(u32) -> Token,
    most: usize,
    /// Bytes held for all clients, and the most of it.
    bytes: usize,
    bytes_most: usize,
    /// Since when the host is to end.
    pub leaving: Option<GracefulShutdown>,
    /// Those with more to read or to look at.
    pub turns: VecDeque<u32>,
    pub counts: Counts,
}

/// What came of clients' connections, for the log.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    pub accepted: u64,
    pub turned_off: u64,
    pub unreadable: u64,
    pub wrong: u64,
}

/// The status that tells of a message that can't be read.
fn status(fault: ParseError) -> u16 {
    match fault {
        ParseError::Malformed | ParseError::AmbiguousFraming => 400,
        ParseError::HeadTooLarge => 431,
        ParseError::BodyTooLarge => 413,
        ParseError::MissingLength => 411,
        ParseError::Unsupported => 501,
    }
}

impl Clients {
    pub fn new(registry: Registry, token: fn(u32) -> Token, most: usize, bytes_most: usize) -> Self {
        Clients {
            all: Slab::default(),
            registry,
            token,
            most,
            bytes: 0,
            bytes_most,
            leaving: None,
            turns: VecDeque::new(),
            counts: Counts::default(),
        }
    }

    pub fn len(&self) -> usize {
        self.all.len()
    }

    pub fn bytes(&self) -> usize {
        self.bytes
    }

    pub fn full(&self) -> bool {
        self.all.len() >= self.most
    }

    /// Whether so many bytes more can be held for clients.
    pub fn has_room(&self, bytes: usize) -> bool {
        self.bytes + bytes <= self.bytes_most
    }

    /// A connection was accepted: it has a place, another gives way, or it is closed.
    pub fn enter(&mut self, mut socket: TcpStream, now: Millis) {
        self.counts.accepted += 1;
        while self.full() {
            // One with something to read has not been looked at yet: it may just have sent its request.
            let looked = self.all.iter().filter(|(_, c)| !c.queued && !c.readable);
            let Some(at) = client_connection::eviction_candidate(looked.map(|(at, c)| (at, &c.state)), now)
            else {
                self.counts.turned_off += 1;
                return;
            };
            match self.all.get_mut(at).is_some_and(Client::may_ask) {
                true => self.queue(at),
                false => self.close(at),
            }
        }
        let _ = socket.set_nodelay(true);
        let at = self.all.next_index();
        let interest = Interest::READABLE | Interest::WRITABLE;
        if self.registry.register(&mut socket, (self.token)(at), interest).is_err() {
            return;
        }
        self.all.insert(Client {
            socket,
            state: ClientConnection::new(now),
            buffer: Vec::new(),
            reader: RequestReader::default(),
            whole: None,
            bio: None,
            out: OutgoingMessage::default(),
            told: false,
            readable: true,
            left: false,
            last: false,
            queued: false,
        });
        self.queue(at);
    }

    fn close(&mut self, at: u32) {
        if let Some(mut client) = self.all.remove(at) {
            self.bytes -= client.bytes();
            let _ = self.registry.deregister(&mut client.socket);
        }
    }

    fn queue(&mut self, at: u32) {
        if let Some(client) = self.all.get_mut(at)
            && !client.queued
        {
            client.queued = true;
            self.turns.push_back(at);
        }
    }

    /// The poll has something of a connection. Some: its client has left what is in hand.
    pub fn ready(&mut self, at: u32, readable: bool, ended: bool, now: Millis) -> Option<BioId> {
        let client = self.all.get_mut(at)?;
        client.told = true;
        client.readable |= readable || ended;
        client.left |= ended;
        if !client.out.is_empty() {
            self.flush(at, now);
        }
        let client = self.all.get_mut(at)?;
        if client.left && client.bio.is_some() {
            return client.bio;
        }
        self.queue(at);
        None
    }

    /// A connection's turn: reads on until a request is whole or nothing more has come.
    pub fn turn(&mut self, at: u32, scratch: &mut [u8], now: Millis) -> Came {
        let Some(client) = self.all.get_mut(at) else { return Came::Nothing };
        client.queued = false;
        if client.state.phase() == Phase::Lingering {
            self.drop_rest(at, scratch);
            return Came::Nothing;
        }
        // While it rests, or has something in hand, what it sends waits in the socket.
        if !client.state.may_read(now) {
            return Came::Nothing;
        }
        let before = client.bytes();
        let read = Self::read(client, scratch, now);
        self.bytes = self.bytes + client.bytes() - before;
        let full = self.bytes > self.bytes_most;
        match read {
            Ok(true) => Came::Request,
            Err(Some(fault)) => {
                self.counts.unreadable += 1;
                self.end(at, status(fault), fault.message(), now);
                Came::Nothing
            }
            Err(None) => {
                self.close(at);
                Came::Nothing
            }
            // All clients' bytes together have their bound: who would pass it is asked to come back.
            Ok(false) if full => {
                self.end(at, response::SHED_STATUS, "no room", now);
                Came::Nothing
            }
            Ok(false) => Came::Nothing,
        }
    }

    /// Error: the message is at fault, or (none) the connection is over.
    fn read(client: &mut Client, scratch: &mut [u8], now: Millis) -> Result<bool, Option<ParseError>> {
        loop {
            if !client.buffer.is_empty() {
                if client.state.phase() != Phase::ReceivingRequest {
                    client.state.enter_phase(Phase::ReceivingRequest, now);
                }
                client.whole = client.reader.advance(&mut client.buffer, MESSAGE).map_err(Some)?;
                if client.whole.is_some() {
                    return Ok(true);
                }
                if client.reader.take_expect_continue() {
                    client.out.head.extend_from_slice(response::CONTINUE);
                    client.out.write_to(&mut client.socket).map_err(|_| None)?;
                }
            }
            if !client.readable {
                return Ok(false);
            }
            let room = (MESSAGE.buffer_capacity() - client.buffer.len()).min(scratch.len());
            match nonblocking::read(&mut client.socket, &mut scratch[..room]) {
                ReadOutcome::Read(count) => {
                    client.buffer.extend_from_slice(&scratch[..count]);
                    // Less than there was room for: nothing more has come, and what does is told anew. The end
                    // of a client's side is told once.
                    client.readable = count == room || client.left;
                }
                ReadOutcome::WouldBlock => client.readable = false,
                ReadOutcome::Closed(_) => return Err(None),
            }
        }
    }

    /// What a client sends behind the end of its connection is read and dropped, within bounds.
    fn drop_rest(&mut self, at: u32, scratch: &mut [u8]) {
        let Some(client) = self.all.get_mut(at) else { return };
        while client.readable {
            match nonblocking::read(&mut client.socket, scratch) {
                ReadOutcome::Read(count) if client.state.bytes_discarded(count) => return self.close(at),
                ReadOutcome::Read(_) => {}
                ReadOutcome::WouldBlock => client.readable = false,
                ReadOutcome::Closed(_) => return self.close(at),
            }
        }
    }

    /// The whole request of a connection: its head and its body. None: there is none.
    pub fn request(&self, at: u32) -> Option<(RequestHead<'_>, &[u8])> {
        let client = self.all.get(at)?;
        let whole = client.whole?;
        let head = RequestHead::parse(&client.buffer, MESSAGE).ok().flatten()?;
        Some((head, &client.buffer[whole.body..whole.end]))
    }

    /// Whether the client of a whole request has gone. `looks`: what the poll has said is too old to go by.
    pub fn left(&mut self, at: u32, looks: bool) -> bool {
        self.all.get_mut(at).is_none_or(|c| c.left || (looks || !c.told) && c.has_left())
    }

    /// The request of a connection is the scheduler's now.
    pub fn taken(&mut self, at: u32, bio: BioId, now: Millis) {
        if let Some(client) = self.all.get_mut(at) {
            client.bio = Some(bio);
            client.state.request_accepted();
            client.state.enter_phase(Phase::InFlight, now);
        }
    }

    /// A request that can't be taken; its connection goes on.
    pub fn wrong(&mut self, at: u32, status: u16, words: &str, now: Millis) {
        self.counts.wrong += 1;
        if let Some(client) = self.all.get_mut(at) {
            client.state.request_rejected(now);
        }
        self.answer(at, status, words.as_bytes(), 0, now);
    }

    /// The answer to the whole request of a connection.
    pub fn answer(&mut self, at: u32, status: u16, body: &[u8], come_back: u64, now: Millis) {
        self.answer_with(at, status, body.len(), come_back, now, |out| out.head.extend_from_slice(body));
    }

    /// The same, and the last one on its connection.
    pub fn last_answer(&mut self, at: u32, status: u16, body: &[u8], now: Millis) {
        if let Some(client) = self.all.get_mut(at) {
            client.last = true;
        }
        self.answer(at, status, body, 0, now);
    }

    /// The same with a body that stands in a buffer, which is handed on.
    pub fn hand_on(&mut self, at: u32, buffer: Vec<u8>, from: usize, to: usize, now: Millis) {
        self.answer_with(at, 200, to - from, 0, now, |out| out.set_body(buffer, from, to));
    }

    fn answer_with(
        &mut self,
        at: u32,
        status: u16,
        body: usize,
        come_back: u64,
        now: Millis,
        put: impl FnOnce(&mut OutgoingMessage),
    ) {
        let Some(client) = self.all.get_mut(at) else { return };
        let before = client.bytes();
        let ends = self.leaving.is_some_and(|l| !l.admits_clients(now));
        client.last |= ends || client.left || client.reader.closes_connection();
        response::write_head(&mut client.out.head, status, body, come_back, client.last);
        put(&mut client.out);
        if let Some(whole) = client.whole.take() {
            take_front(&mut client.buffer, whole.end);
        }
        client.reader.reset();
        client.bio = None;
        client.state.enter_phase(Phase::SendingResponse, now);
        self.bytes = self.bytes + client.bytes() - before;
        self.flush(at, now);
    }

    /// An error on a connection that is of no further use.
    fn end(&mut self, at: u32, status: u16, words: &str, now: Millis) {
        if let Some(client) = self.all.get_mut(at) {
            client.whole = None;
            self.bytes -= client.bytes();
            tidy(&mut client.buffer);
            self.bytes += client.bytes();
        }
        self.last_answer(at, status, words.as_bytes(), now);
    }

    /// Writes what waits. All written, the connection is read on, or ends.
    fn flush(&mut self, at: u32, now: Millis) {
        let Some(client) = self.all.get_mut(at) else { return };
        let before = client.bytes();
        let pushed = client.out.write_to(&mut client.socket);
        if client.out.is_empty() {
            tidy(&mut client.out.head);
        }
        self.bytes = self.bytes + client.bytes() - before;
        if pushed.is_err() {
            return self.close(at);
        }
        if !client.out.is_empty() || client.state.phase() != Phase::SendingResponse {
            return;
        }
        if client.last {
            if client.socket.shutdown(Shutdown::Write).is_err() {
                return self.close(at);
            }
            client.state.enter_phase(Phase::Lingering, now);
        } else {
            client.state.enter_phase(Phase::Idle, now);
        }
        self.queue(at);
    }

    /// Looks at how all connections stand.
    pub fn look(&mut self, now: Millis) {
        for at in 0..self.all.index_bound() {
            let Some(client) = self.all.get_mut(at) else { continue };
            match client.state.check_timeouts(now, self.leaving) {
                // What stands in its socket is looked at first: it may be a whole request.
                TimeoutAction::Close | TimeoutAction::RejectLateRequest if client.queued => {}
                TimeoutAction::Close | TimeoutAction::RejectLateRequest if client.may_ask() => self.queue(at),
                TimeoutAction::Close => self.close(at),
                TimeoutAction::RejectLateRequest => self.end(at, 408, "the request is late", now),
                TimeoutAction::Nothing
                    if client.state.may_read(now) && (client.readable || !client.buffer.is_empty()) =>
                {
                    self.queue(at);
                }
                TimeoutAction::Nothing => {}
            }
        }
    }

    /// How many connections do what: for the log.
    pub fn doing(&self, phase: Phase) -> usize {
        self.all.iter().filter(|(_, c)| c.state.phase() == phase).count()
    }
}
