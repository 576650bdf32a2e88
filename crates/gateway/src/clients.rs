//! Connections of clients.
use crate::clock::ticks_to_millis;
use crate::slab::Slab;
use crate::wire::{self, ReadOutcome};
use mallowseam_connection_policy::admission::{
    AdmissionController, ConnectionState, LoginRejection, TimeoutAction,
};
use mallowseam_iscsi::login::{Admit, Refusal, Who};
use mallowseam_iscsi::target::{Came, TargetConn, TargetTerms};
use mallowseam_scheduler::interface::Tick;
use mio::net::TcpStream;
use mio::{Interest, Registry, Token};
use std::net::SocketAddr;
use std::rc::Rc;

pub struct Client {
    socket: TcpStream,
    pub peer: SocketAddr,
    pub name: String,
    conn: TargetConn,
    dirty: bool,
    readable: bool,
    /// Commands in hand: their places at the desk, by task.
    pub commands: Vec<(u32, u32)>,
}

pub struct Clients {
    pub all: Slab<Client>,
    pub admission: AdmissionController,
    terms: Rc<TargetTerms>,
    registry: Registry,
    first_token: usize,
    dirty: Vec<u32>,
    closed: Vec<(u32, Vec<(u32, u32)>)>,
    /// Connections that another one has taken over.
    replaced: Vec<u32>,
}

/// Passes a login to the admission controller.
struct LoginAdmission<'a> {
    admission: &'a mut AdmissionController,
    at: usize,
    replaced: &'a mut Vec<u32>,
}

impl Admit for LoginAdmission<'_> {
    fn admit(&mut self, who: &Who) -> Result<u16, Refusal> {
        let session =
            self.admission.login(self.at, &who.initiator, who.target.as_deref(), who.isid, who.tsih);
        let session = session.map_err(|rejection| match rejection {
            LoginRejection::NoSuchTarget => Refusal::NOT_FOUND,
            LoginRejection::NoSuchSession => Refusal::NO_SESSION,
            LoginRejection::Draining => Refusal::UNAVAILABLE,
            LoginRejection::OutOfResources => Refusal::OUT_OF_RESOURCES,
        })?;
        self.replaced.extend(session.replaces.map(|at| at as u32));
        Ok(session.handle)
    }
}

impl Clients {
    pub fn new(
        admission: AdmissionController,
        terms: Rc<TargetTerms>,
        registry: Registry,
        first: usize,
    ) -> Self {
        Clients {
            all: Slab::default(),
            admission,
            terms,
            registry,
            first_token: first,
            dirty: Vec::new(),
            closed: Vec::new(),
            replaced: Vec::new(),
        }
    }

    pub fn accept(&mut self, mut socket: TcpStream, peer: SocketAddr, now: Tick) {
        let _ = socket.set_nodelay(true);
        let conn = TargetConn::new(Rc::clone(&self.terms));
        let at = self.all.next_index();
        if !self.admission.admit_connection(at as usize, ticks_to_millis(now)) {
            tracing::warn!(%peer, "connection turned away: no room");
            return;
        }
        let token = Token(self.first_token + at as usize);
        if let Err(e) = self.registry.register(&mut socket, token, Interest::READABLE | Interest::WRITABLE) {
            tracing::warn!(%peer, error = %e, "connection turned away");
            self.admission.connection_closed(at as usize);
            return;
        }
        let client = Client {
            socket,
            peer,
            name: String::new(),
            conn,
            dirty: false,
            readable: false,
            commands: Vec::new(),
        };
        self.all.insert(client);
        tracing::debug!(%peer, client = at, "connection opened");
    }

    /// The socket has something to say. True: there may be more to read.
    pub fn ready(&mut self, at: u32, readable: bool, scratch: &mut [u8], now: Tick) -> bool {
        if let Some(client) = self.all.get_mut(at) {
            client.readable |= readable;
            self.mark(at);
        }
        self.read(at, scratch, now)
    }

    pub fn read(&mut self, at: u32, scratch: &mut [u8], now: Tick) -> bool {
        let Some(client) = self.all.get_mut(at) else { return false };
        let waiting = client.conn.out().waiting().len();
        if !client.readable || !self.admission.may_read(waiting) {
            return false;
        }
        match wire::read(&mut client.socket, scratch) {
            ReadOutcome::WouldBlock => client.readable = false,
            ReadOutcome::Read(n) => {
                self.admission.bytes_received(at as usize, ticks_to_millis(now));
                let mut login_admission = LoginAdmission {
                    admission: &mut self.admission,
                    at: at as usize,
                    replaced: &mut self.replaced,
                };
                let received = client.conn.receive(&scratch[..n], &mut login_admission);
                self.mark(at);
                match received {
                    Ok(()) => return true,
                    Err(fault) => {
                        self.flush_one(at, now);
                        self.close(at, &fault.0);
                    }
                }
            }
            ReadOutcome::Closed(why) => self.close(at, &why.to_string()),
        }
        false
    }

    pub fn came(&mut self, at: u32) -> Option<Came> {
        self.all.get_mut(at)?.conn.came()
    }

    /// The connection to answer on; what is put there is written at the end of the round.
    pub fn answer(&mut self, at: u32) -> Option<&mut TargetConn> {
        self.mark(at);
        self.all.get_mut(at).map(|c| &mut c.conn)
    }

    fn mark(&mut self, at: u32) {
        if let Some(client) = self.all.get_mut(at)
            && !std::mem::replace(&mut client.dirty, true)
        {
            self.dirty.push(at);
        }
    }

    fn flush_one(&mut self, at: u32, now: Tick) {
        let Some(client) = self.all.get_mut(at) else { return };
        client.dirty = false;
        match wire::write(&mut client.socket, client.conn.out()) {
            Ok(0) => {}
            Ok(_) => self.admission.bytes_sent(at as usize, ticks_to_millis(now)),
            Err(why) => return self.close(at, &why.to_string()),
        }
        if client.conn.closing() && client.conn.out().waiting().is_empty() {
            self.close(at, "logged out");
        }
    }

    /// Writes what waits. Clients that have taken enough to be read from again are put in `again`.
    pub fn flush(&mut self, now: Tick, again: &mut Vec<u32>) {
        while let Some(at) = self.dirty.pop() {
            self.flush_one(at, now);
            if let Some(client) = self.all.get_mut(at)
                && client.readable
                && self.admission.may_read(client.conn.out().waiting().len())
            {
                again.push(at);
            }
        }
    }

    pub fn close(&mut self, at: u32, why: &str) {
        if let Some(mut client) = self.all.remove(at) {
            let _ = self.registry.deregister(&mut client.socket);
            self.admission.connection_closed(at as usize);
            tracing::info!(peer = %client.peer, name = client.name, why, "client connection closed");
            self.closed.push((at, client.commands));
        }
    }

    /// Connections taken over by a new login are closed.
    pub fn close_replaced(&mut self) {
        while let Some(at) = self.replaced.pop() {
            self.close(at, "the same client has logged in again");
        }
    }

    /// Commands that were in hand on a connection that has closed.
    pub fn left(&mut self) -> Option<Vec<(u32, u32)>> {
        self.closed.pop().map(|c| c.1)
    }

    pub fn is_quiet(&self) -> bool {
        self.closed.is_empty()
    }

    pub fn care(&mut self, now: Tick) {
        for at in self.all.indices() {
            let Some(client) = self.all.get_mut(at) else { continue };
            let state = ConnectionState {
                pdu_incomplete: client.conn.midway(),
                unsent_bytes: client.conn.out().waiting().len(),
                in_flight: client.conn.in_hand(),
            };
            match self.admission.check_timeouts(at as usize, ticks_to_millis(now), state) {
                TimeoutAction::Nothing => {}
                TimeoutAction::Ping => {
                    client.conn.ping();
                    self.mark(at);
                }
                TimeoutAction::Close(reason) => self.close(at, reason.as_str()),
            }
        }
    }

    /// Begins to drain and asks every client to log out.
    pub fn drain(&mut self, now: Tick) -> bool {
        if !self.admission.start_draining(ticks_to_millis(now)) {
            return false;
        }
        let within = self.admission.logout_seconds();
        for at in self.all.indices() {
            if let Some(client) = self.all.get_mut(at).filter(|c| c.conn.logged_in()) {
                client.conn.ask_logout(within);
                self.mark(at);
            }
        }
        true
    }

    pub fn held(&self) -> usize {
        self.all.iter().map(|(_, c)| c.conn.held()).sum()
    }
}
