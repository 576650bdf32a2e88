//! Connections that speak one JSON object a line: one side of one, and a service's side of many.
use crate::opening::{Failure, listen};
use crate::slab::Slab;
use crate::wire::{self, ReadOutcome};
use mio::net::{TcpListener, TcpStream};
use mio::{Interest, Poll, Registry, Token};
use serde::Serialize;
use std::io;
use std::net::SocketAddr;

pub struct Lines {
    socket: TcpStream,
    partial: Vec<u8>,
    out: Vec<u8>,
}

/// What a try at reading came to.
pub enum Read {
    /// There is no more for now.
    Blocked,
    /// Whole lines, without their ends; there may be more.
    Lines(Vec<Vec<u8>>),
    /// The connection is over.
    Over(String),
}

impl Lines {
    pub fn connect(address: SocketAddr, registry: &Registry, token: Token) -> io::Result<Lines> {
        Lines::over(TcpStream::connect(address)?, registry, token)
    }

    fn over(mut socket: TcpStream, registry: &Registry, token: Token) -> io::Result<Lines> {
        let _ = socket.set_nodelay(true);
        registry.register(&mut socket, token, Interest::READABLE | Interest::WRITABLE)?;
        Ok(Lines { socket, partial: Vec::new(), out: Vec::new() })
    }

    pub fn say(&mut self, word: &impl Serialize) {
        serde_json::to_writer(&mut self.out, word).expect("words are plain");
        self.out.push(b'\n');
    }

    /// Says a word that was written down before.
    pub fn say_written(&mut self, text: &str) {
        self.out.extend_from_slice(text.as_bytes());
        self.out.push(b'\n');
    }

    /// Writes what waits, as far as the socket takes it. Error: the connection is over.
    pub fn push(&mut self) -> Result<(), String> {
        wire::write_buffer(&mut self.socket, &mut self.out).map_err(|error| error.to_string())
    }

    /// Reads once; `longest` is what a line may have.
    pub fn read(&mut self, scratch: &mut [u8], longest: usize) -> Read {
        if self.partial.len() > longest {
            return Read::Over(match longest >> 20 {
                0 => format!("a line past {} KiB", longest >> 10),
                mebi => format!("a line past {mebi} MiB"),
            });
        }
        match wire::read(&mut self.socket, scratch) {
            ReadOutcome::WouldBlock => Read::Blocked,
            ReadOutcome::Closed(why) => Read::Over(why.to_string()),
            ReadOutcome::Read(n) => {
                let mut lines = Vec::new();
                let mut rest = &scratch[..n];
                while let Some(end) = rest.iter().position(|b| *b == b'\n') {
                    self.partial.extend_from_slice(&rest[..end]);
                    rest = &rest[end + 1..];
                    lines.push(std::mem::take(&mut self.partial));
                }
                self.partial.extend_from_slice(rest);
                Read::Lines(lines)
            }
        }
    }

    pub fn end(mut self, registry: &Registry) {
        let _ = registry.deregister(&mut self.socket);
    }
}

/// A host as a service knows it.
pub struct Peer<T> {
    pub lines: Lines,
    pub name: String,
    pub about: T,
}

/// Bounds on what one host may send in a line and leave unread.
pub struct Bounds {
    pub longest: usize,
    pub waiting: usize,
}

/// The hosts that are connected to a service. One that goes past a bound is dropped.
pub struct Peers<T> {
    listener: TcpListener,
    registry: Registry,
    first: usize,
    bounds: Bounds,
    all: Slab<Peer<T>>,
}

impl<T: Default> Peers<T> {
    /// Listens; connections have tokens from `first` on.
    pub fn open(
        address: SocketAddr,
        poll: &Poll,
        own: Token,
        first: usize,
        bounds: Bounds,
    ) -> Result<Self, Failure> {
        let (listener, registry) = listen(address, poll, own)?;
        Ok(Peers { listener, registry, first, bounds, all: Slab::default() })
    }

    pub fn accept(&mut self) {
        while let Ok((socket, peer)) = self.listener.accept() {
            let token = Token(self.first + self.all.next_index() as usize);
            if let Ok(lines) = Lines::over(socket, &self.registry, token) {
                tracing::info!(%peer, "host connected");
                self.all.insert(Peer { lines, name: String::new(), about: T::default() });
            }
        }
    }

    pub fn get_mut(&mut self, at: u32) -> Option<&mut Peer<T>> {
        self.all.get_mut(at)
    }

    pub fn iter(&self) -> impl Iterator<Item = (u32, &Peer<T>)> {
        self.all.iter()
    }

    pub fn indices(&self) -> Vec<u32> {
        self.all.indices()
    }

    /// Says something to each that fits.
    pub fn say_all(&mut self, word: &impl Serialize, fits: impl Fn(&Peer<T>) -> bool) {
        for at in self.all.indices() {
            if let Some(peer) = self.all.get_mut(at).filter(|p| fits(p)) {
                peer.lines.say(word);
            }
        }
    }

    pub fn lose(&mut self, at: u32, why: &str) {
        if let Some(peer) = self.all.remove(at) {
            tracing::info!(host = peer.name, why, "host connection closed");
            peer.lines.end(&self.registry);
        }
    }

    /// Reads a host once; its lines. None: there is no more for now, or it is gone.
    pub fn read(&mut self, at: u32, scratch: &mut [u8]) -> Option<Vec<Vec<u8>>> {
        match self.all.get_mut(at)?.lines.read(scratch, self.bounds.longest) {
            Read::Lines(lines) => return Some(lines),
            Read::Over(why) => self.lose(at, &why),
            Read::Blocked => {}
        }
        None
    }

    /// Writes what waits for all.
    pub fn push(&mut self) {
        for at in self.all.indices() {
            let Some(peer) = self.all.get_mut(at) else { continue };
            let lazy = peer.lines.out.len() > self.bounds.waiting;
            let pushed = if lazy { Err("takes nothing".to_owned()) } else { peer.lines.push() };
            if let Err(why) = pushed {
                self.lose(at, &why);
            }
        }
    }
}
