//! The connection to the control service of plans, and the copy of its plans kept for a start without it.
use crate::wire::{self, Tried};
use mallowseam_plans::Millis;
use mallowseam_plans::member::{Heard, Member, Wanted};
use mallowseam_plans::state::State;
use mallowseam_plans::trail::Trail;
use mallowseam_plans::words::ToControl;
use mio::net::TcpStream;
use mio::{Interest, Registry, Token};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Longest line from the service: a whole state of some ten thousand volumes.
const LINE_MOST: usize = 4 << 20;

pub struct Follow {
    address: SocketAddr,
    kept: Option<PathBuf>,
    registry: Registry,
    token: Token,
    socket: Option<TcpStream>,
    partial: Vec<u8>,
    out: Vec<u8>,
    pub member: Member,
}

/// What is kept on disk: the state, and the hash of its line.
#[derive(serde::Serialize, serde::Deserialize)]
struct Kept {
    state: State,
    last: String,
}

impl Follow {
    pub fn new(
        host: &str,
        address: SocketAddr,
        kept: Option<PathBuf>,
        volumes: BTreeMap<String, u32>,
        registry: Registry,
        token: Token,
        now: Millis,
    ) -> Self {
        let known = kept.as_deref().and_then(read_kept);
        let member = Member::new(host, volumes, known, now);
        let (partial, out) = Default::default();
        Follow { address, kept, registry, token, socket: None, partial, out, member }
    }

    pub fn say(&mut self, word: &ToControl) {
        if self.socket.is_some() {
            serde_json::to_writer(&mut self.out, word).expect("words are plain");
            self.out.push(b'\n');
        }
    }

    /// Connects if that is due, and writes what waits.
    pub fn tend(&mut self, now: Millis, chance: u64) {
        if self.socket.is_none() && self.member.connects(now, chance) {
            match TcpStream::connect(self.address) {
                Ok(mut socket) => {
                    let _ = socket.set_nodelay(true);
                    let interest = Interest::READABLE | Interest::WRITABLE;
                    if self.registry.register(&mut socket, self.token, interest).is_ok() {
                        self.socket = Some(socket);
                        self.partial.clear();
                        self.out.clear();
                        let hello = self.member.hello();
                        self.say(&hello);
                    }
                }
                Err(e) => tracing::debug!(error = %e, "control service"),
            }
        }
        self.flush();
    }

    fn flush(&mut self) {
        if let Some(socket) = &mut self.socket
            && let Err(why) = wire::push(socket, &mut self.out)
        {
            self.lose(&why);
        }
    }

    fn lose(&mut self, why: &str) {
        if let Some(mut socket) = self.socket.take() {
            let _ = self.registry.deregister(&mut socket);
            tracing::warn!(why, "control service lost; parts of limits fall back to even ones");
        }
    }

    /// Reads what has come. True: there is a state to be taken up.
    pub fn ready(&mut self, scratch: &mut [u8], wanted: &Wanted, now: Millis) -> bool {
        let mut state = false;
        while let Some(socket) = &mut self.socket {
            match wire::read(socket, scratch) {
                Tried::Blocked => break,
                Tried::Read(n) => {
                    let mut rest = &scratch[..n];
                    while let Some(end) = rest.iter().position(|b| *b == b'\n') {
                        self.partial.extend_from_slice(&rest[..end]);
                        rest = &rest[end + 1..];
                        let line = std::mem::take(&mut self.partial);
                        let heard = match serde_json::from_slice(&line) {
                            Ok(word) => self.member.heard(word, wanted, now),
                            Err(e) => Heard::Lost(e.to_string()),
                        };
                        match heard {
                            Heard::Nothing => {}
                            Heard::State => state = true,
                            Heard::Say(word) => self.say(&word),
                            Heard::Lost(why) => self.lose(&why),
                        }
                    }
                    self.partial.extend_from_slice(rest);
                    if self.partial.len() > LINE_MOST {
                        self.lose("a line past 4 MiB");
                    }
                }
                Tried::Over(why) => self.lose(&why),
            }
        }
        self.flush();
        state
    }

    /// The host acts on the next state: kept on disk first, so that a start without the service does as well.
    pub fn acts_on(&mut self, now: Millis) {
        if let Some(word) = self.member.acts_on(now) {
            if let Some(path) = &self.kept
                && let Err(e) = write_kept(path, self.member.trail())
            {
                tracing::warn!(error = %e, path = %path.display(), "plans are not kept for the next start");
            }
            self.say(&word);
        }
        self.flush();
    }

    pub fn against(&mut self, why: &str) {
        if let Some(word) = self.member.against(why.to_owned()) {
            tracing::warn!(why, "plans turned down");
            self.say(&word);
        }
        self.flush();
    }
}

fn read_kept(path: &Path) -> Option<Trail> {
    let text = std::fs::read_to_string(path).ok()?;
    match serde_json::from_str::<Kept>(&text) {
        Ok(kept) => Some(Trail::from_base(kept.state, kept.last)),
        Err(e) => {
            tracing::warn!(error = %e, path = %path.display(), "kept plans are not used");
            None
        }
    }
}

fn write_kept(path: &Path, trail: &Trail) -> std::io::Result<()> {
    let kept = Kept { state: trail.state.clone(), last: trail.last().to_owned() };
    let beside = path.with_extension("new");
    std::fs::write(&beside, serde_json::to_string(&kept).map_err(std::io::Error::other)?)?;
    std::fs::rename(&beside, path)
}
